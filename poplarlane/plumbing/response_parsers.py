"""Parsers for the responses of targets, and what a target's own response must have."""

import h11

from poplarlane.plumbing.heads import ResponseHead

# Heads are complete before they reach a parser, so that this bounds size lines and trailers. Each
# line of a trailer costs 3 us, and all are read at once.
MAX_INCOMPLETE_BYTES = 8_192
PARSER_REQUESTS = {
    method: h11.Request(method=method, target="/", headers=[("host", "-")])
    for method in (b"GET", b"HEAD")
}


def response_fault(head: ResponseHead) -> str:
    """Return why a response is not accepted as the target's own; empty if it is."""
    if not head.signed:
        return "answer without a signature"
    return "answer with an encoded body" if head.encoded else ""


def new_parser(data: bytes, is_head: bool) -> h11.Connection:
    """Create a parser for one response, whose head is at the start of the data.

    The request itself is encoded in entry_execute.py. The parser is given a request only where it
    needs one: for the framing of a response to HEAD, and to accept an interim response.
    """
    parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_INCOMPLETE_BYTES)
    if is_head:
        parser.send(PARSER_REQUESTS[b"HEAD"])
    elif data[9:10] == b"1":
        parser.send(PARSER_REQUESTS[b"GET"])
    return parser

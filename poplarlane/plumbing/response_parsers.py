"""Heads and framing of the responses of targets, and what a target's own response must have."""

import h11

from poplarlane.plumbing.heads import ResponseHead
from poplarlane.plumbing.message_bodies import Body, ChunkedBody, LengthBody, OpenBody

MAX_RESPONSE_HEAD_BYTES = 65_536
# All trailers are read at once, and each of their lines costs some microseconds.
MAX_TRAILER_BYTES = 8_192
# The parser accepts an interim response only to a request that it has seen.
PARSER_REQUEST = h11.Request(method="GET", target="/", headers=[("host", "-")])


def response_fault(head: ResponseHead) -> str:
    """Return why a response is not accepted as the target's own; empty if it is."""
    if not head.signed:
        return "answer without a signature"
    return "answer with an encoded body" if head.encoded else ""


def parse_head(raw: bytes) -> h11.Response | h11.InformationalResponse:
    """Parse a complete head; raise h11.RemoteProtocolError if it is invalid."""
    parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_RESPONSE_HEAD_BYTES)
    if raw[9:10] == b"1":
        parser.send(PARSER_REQUEST)
    parser.receive_data(raw)
    return parser.next_event()


def body_of(head: ResponseHead, bodiless: bool) -> Body:
    """Return the framing of the body behind a head."""
    if bodiless:
        return LengthBody(0)
    if head.chunked:
        return ChunkedBody(MAX_TRAILER_BYTES)
    return OpenBody() if head.length is None else LengthBody(int(head.length))

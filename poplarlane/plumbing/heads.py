"""Validate and rewrite the heads of HTTP requests and responses.

h11 accepts bare LF, folded header lines and repeated equal content-lengths. Parsers that interpret
these differently enable request smuggling, so they are refused before h11 sees them.
"""

import json
import re

from poplarlane.decisions.customers.keys import MALFORMED_KEY, digest_of_key
from poplarlane.decisions.requests.entry_events import ResponseMetadata
from poplarlane.number_grammar import MAX_BYTES, decimal_number, whole_number
from poplarlane.outcomes import NotRun, RequestFailure, ResultCode
from poplarlane.plumbing.header_names import (
    DEFAULT_HEADERS,
    RETRY_AFTER,
    HeaderNames,
    read_cold,
    read_idle_limit,
    read_leaving,
    read_rate_limit,
    read_retry_after,
)

HEAD_END = b"\r\n\r\n"
# Each line costs 3.4 us, so that a head of 16 KB in lines of five bytes would hold the loop 15 ms.
MAX_HEAD_LINES = 256
TOO_MANY_LINES = f"head of more than {MAX_HEAD_LINES} lines"
# The captured value is empty for a line without a colon.
LENGTH_VALUE = re.compile(rb"\r\ncontent-length(?::([^\r]*)|(?=\r))")
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
# Statuses with which a target may state, by a header, that it has not run the request.
NOT_RUN_STATUSES = (400, 408, 421, 429, 503)
MISDIRECTED = 421
UNAVAILABLE = 503
POPLAR_PREFIX = b"x-poplar-"
REASONS = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    501: b"Not Implemented",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}

RawHeaders = list[tuple[bytes, bytes]]


def head_fault(head: bytes) -> str | None:
    """Return why a raw head, including its final empty line, is refused; None if it is valid."""
    ends = head.count(b"\r\n")
    if head.count(b"\n") != ends or head.count(b"\r") != ends:
        return "bare CR or LF in the head"
    if ends > MAX_HEAD_LINES:
        return TOO_MANY_LINES
    if b"\r\n " in head or b"\r\n\t" in head:
        return "folded header line"
    lower = head.lower()
    if b"\r\ncontent-length" not in lower:
        return None
    return length_fault(LENGTH_VALUE.findall(lower), b"\r\ntransfer-encoding" in lower)


def length_fault(values: list[bytes], chunked: bool) -> str | None:
    """Check the values of a head's content-length lines."""
    if len(values) > 1:
        return "more than one content-length"
    if values and chunked:
        return "content-length with transfer-encoding"
    length = whole_number(values[0], MAX_BYTES) if values else 0
    return f"content-length is {length}" if isinstance(length, str) else None


def partial_head_fault(buffer: bytes) -> str | None:
    """Return why an incomplete head can no longer become valid; None if it can."""
    ends = buffer.count(b"\r\n")
    returns = buffer.count(b"\r") - (1 if buffer.endswith(b"\r") else 0)
    if buffer.count(b"\n") != ends or returns != ends:
        return "bare CR or LF in the head"
    return TOO_MANY_LINES if ends > MAX_HEAD_LINES else None


def connection_options(value: bytes) -> frozenset[bytes]:
    """Split a connection header into its options, in lower case."""
    return frozenset(token.strip(b" \t") for token in value.lower().split(b","))


class RequestHead:
    """Parsed request head; `forwarded` holds the request line and headers to send to the target."""

    __slots__ = (
        "method",
        "path",
        "host",
        "labels",
        "deadline_ms",
        "attempt",
        "retried",
        "hedged_above",
        "request_id",
        "key_digest",
        "traceparent",
        "length",
        "chunked",
        "expects",
        "close",
        "forwarded",
        "fault",
    )

    def __init__(self, method: bytes, path: bytes) -> None:
        self.method = method
        self.path = path
        self.host = b""
        self.labels = ""
        self.deadline_ms: float | None = None
        self.attempt = 1
        self.retried = False
        self.hedged_above = False
        self.request_id = b""
        # Digest of the customer's key; empty without one.
        self.key_digest = b""
        self.traceparent = b""
        self.length = 0
        self.chunked = False
        self.expects = False
        # Whether the caller closes its connection after this request.
        self.close = False
        self.forwarded = b""
        self.fault = ""


def read_request_head(
    method: bytes,
    target: bytes,
    headers: RawHeaders,
    trusted: bool,
    names: HeaderNames = DEFAULT_HEADERS,
) -> RequestHead:
    """Parse a request's headers; reserved headers from untrusted sources are dropped."""
    head = RequestHead(method, target)
    connection_named: frozenset[bytes] = frozenset()
    kept: list[bytes] = []
    lines: RawHeaders = []
    for name, value in headers:
        lower = name.lower()
        if lower == b"host":
            head.host = value
        elif lower in names.request_dropped or lower.startswith(POPLAR_PREFIX):
            if lower == b"connection":
                connection_named |= connection_options(value)
            elif lower == b"content-length":
                head.length = int(value)
            elif lower == b"transfer-encoding":
                head.chunked = True
            elif lower == b"expect":
                head.expects = True
            elif lower == names.key:
                # Two keys are as good as none, because targets might take either.
                head.key_digest = MALFORMED_KEY if head.key_digest else digest_of_key(value)
            elif trusted:
                read_trusted_header(head, lower, value, names)
                if lower == b"x-caller-labels":
                    # A target that calls other services forwards them.
                    lines.append((name, value))
        elif lower == b"traceparent":
            head.traceparent = value
        else:
            if lower == names.request_id:
                head.request_id = value
            lines.append((name, value))
    if not target.startswith(b"/"):
        use_absolute_form(head)
    kept = [b"%b %b HTTP/1.1\r\nhost: %b\r\n" % (method, head.path, head.host)]
    if connection_named:
        head.close = b"close" in connection_named
        connection_named -= {b"close", b"keep-alive"}
    for name, value in lines:
        if not connection_named or name.lower() not in connection_named:
            kept.append(b"%b: %b\r\n" % (name, value))
    head.forwarded = b"".join(kept)
    return head


def read_trusted_header(head: RequestHead, lower: bytes, value: bytes, names: HeaderNames) -> None:
    """Parse a header that only trusted sources may set; an invalid number is a fault."""
    if lower == b"x-caller-labels":
        head.labels = value.decode("latin-1")
    elif lower == b"x-poplar-retried":
        head.retried = value == b"1"
    elif lower == b"x-poplar-hedged":
        head.hedged_above = value == b"1"
    elif lower == names.deadline:
        # Some callers send milliseconds with a fraction.
        deadline_ms = decimal_number(value)
        if isinstance(deadline_ms, str):
            head.fault = f"{lower.decode()} is {deadline_ms}"
        else:
            head.deadline_ms = deadline_ms
    elif lower == b"x-attempt":
        attempt = whole_number(value)
        if isinstance(attempt, str):
            head.fault = f"{lower.decode()} is {attempt}"
        else:
            head.attempt = max(1, attempt)


def use_absolute_form(head: RequestHead) -> None:
    """Take host and path from a request target in absolute form, which overrides the host."""
    scheme, found, rest = head.path.partition(b"://")
    if head.path == b"*" and head.method == b"OPTIONS":
        return
    if not found or scheme.lower() not in (b"http", b"https"):
        head.fault = "request target is neither a path nor an absolute URL"
        return
    authority, slash, path = rest.partition(b"/")
    head.host = authority
    head.path = slash + path if slash else b"/"


def service_host(host: bytes) -> str:
    """Return the host without its port, in lower case."""
    text = host.decode("latin-1").lower()
    if text.startswith("["):
        return text.partition("]")[0] + "]"
    return text.partition(":")[0]


class ResponseHead:
    """Parsed response head; `lines` holds the headers to send to the caller."""

    __slots__ = (
        "metadata",
        "status_line",
        "lines",
        "length",
        "chunked",
        "reusable",
        "request_id",
        "signed",
        "encoded",
        "idle_limit_s",
    )

    def __init__(self, status: int, reason: bytes) -> None:
        self.metadata = ResponseMetadata()
        self.metadata.status = status
        self.status_line = b"HTTP/1.1 %d %b\r\n" % (status, reason)
        self.lines: list[bytes] = []
        # Value of the content-length header as received, None without one.
        self.length: bytes | None = None
        self.chunked = False
        self.reusable = True
        self.request_id = b""
        # Whether the target's signature is present, and whether the body has a content encoding.
        self.signed = False
        self.encoded = False
        # Idle time-out that the target announced in its keep-alive header; 0 if unknown.
        self.idle_limit_s = 0


def read_response_head(
    status: int, reason: bytes, headers: RawHeaders, names: HeaderNames = DEFAULT_HEADERS
) -> ResponseHead:
    """Parse a response's headers and keep those that go to the caller."""
    head = ResponseHead(status, reason)
    metadata = head.metadata
    # Status 421 to a request for another instance means by itself that nothing was run.
    metadata.not_run = status == MISDIRECTED and bool(names.expected_instance)
    connection_named: frozenset[bytes] = frozenset()
    for name, value in headers:
        lower = name.lower()
        if lower in names.response_dropped or lower.startswith(POPLAR_PREFIX):
            if lower == b"content-length":
                head.length = value
            elif lower == b"connection":
                connection_named |= connection_options(value)
            elif lower == b"transfer-encoding":
                head.chunked = True
            elif lower == names.not_run:
                metadata.not_run = status in NOT_RUN_STATUSES and value == b"1"
            elif lower == b"keep-alive":
                head.idle_limit_s = read_idle_limit(metadata, value)
            elif lower == b"x-poplar-retried":
                metadata.retried = value == b"1"
            continue
        if lower == names.load:
            fault = names.read_load(metadata, value)
            if fault:
                metadata.malformed_reports[lower.decode("latin-1")] = fault
        elif lower == names.rate_limit:
            read_rate_limit(metadata, lower, value)
        elif lower == names.leaving:
            read_leaving(metadata, lower, value)
        elif lower == names.cold:
            read_cold(metadata, lower, value)
        elif lower == RETRY_AFTER and status == UNAVAILABLE:
            read_retry_after(metadata, value)
        elif lower == names.request_id:
            head.request_id = value
        elif lower == names.signature:
            head.signed = True
        elif lower == names.instance:
            metadata.instance = value.decode("latin-1")
        elif lower == b"content-encoding":
            head.encoded = value.strip().lower() not in (b"", b"identity")
        head.lines.append(b"%b: %b\r\n" % (name, value))
    if connection_named:
        head.reusable = b"close" not in connection_named
        drop_connection_options(head, connection_named)
    return head


def drop_connection_options(head: ResponseHead, connection_named: frozenset[bytes]) -> None:
    """Drop the headers that the connection header lists."""
    head.lines = [
        line for line in head.lines if line.partition(b":")[0].lower() not in connection_named
    ]


def error_response(outcome: RequestFailure, retried: bool, close: bool, with_body: bool) -> bytes:
    """Encode an error response generated by the entry."""
    code = ResultCode(outcome.code)
    body = json.dumps({"code": int(code), "result": code.name.lower(), "detail": outcome.detail})
    data = body.encode() + b"\n"
    reason = REASONS.get(outcome.status, b"Error")
    parts = [
        b"HTTP/1.1 %d %b\r\ncontent-type: application/json\r\n" % (outcome.status, reason),
        b"content-length: %d\r\nx-poplar-result: %d\r\n" % (len(data), code),
    ]
    if isinstance(outcome, NotRun) and outcome.retry_after_s:
        parts.append(b"retry-after: %.3f\r\n" % outcome.retry_after_s)
    if retried:
        parts.append(b"x-poplar-retried: 1\r\n")
    if close:
        parts.append(b"connection: close\r\n")
    parts.append(b"\r\n")
    if with_body:
        parts.append(data)
    return b"".join(parts)

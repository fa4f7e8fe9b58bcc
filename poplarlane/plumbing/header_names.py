"""Names of the headers that an entry reads and writes; they differ between deployments."""

import re
from collections.abc import Callable

from poplarlane.decisions.requests.entry_events import ResponseMetadata
from poplarlane.number_grammar import decimal_number, whole_number

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
MAX_REPORTED_IN_FLIGHT = 1_000_000.0
RETRY_AFTER = b"retry-after"
KEEP_ALIVE = "keep-alive"


class HeaderNames:
    """Lower-case header names; an empty name disables the header.

    A response without the `signature` header did not come from the target and is not forwarded.
    `adds_own_headers` tells whether the entry adds its `x-poplar-*` and `x-attempt` headers.
    """

    __slots__ = (
        "request_id",
        "deadline",
        "not_run",
        "load",
        "read_load",
        "instance",
        "expected_instance",
        "signature",
        "rate_limit",
        "leaving",
        "cold",
        "key",
        "customer",
        "adds_own_headers",
        "request_dropped",
        "response_dropped",
    )

    def __init__(
        self,
        request_id: bytes = b"x-request-id",
        deadline: bytes = b"x-deadline-ms",
        not_run: bytes = b"x-not-run",
        load: bytes = b"x-load",
        read_load: Callable[[ResponseMetadata, bytes], str] | None = None,
        instance: bytes = b"",
        expected_instance: bytes = b"",
        signature: bytes = b"",
        rate_limit: bytes = b"x-rate-limit",
        leaving: bytes = b"x-leaving",
        cold: bytes = b"",
        key: bytes = b"",
        customer: bytes = b"",
        adds_own_headers: bool = True,
    ) -> None:
        self.request_id = request_id
        self.deadline = deadline
        self.not_run = not_run
        self.load = load
        self.read_load = read_load or read_in_flight
        self.instance = instance
        self.expected_instance = expected_instance
        self.signature = signature
        self.rate_limit = rate_limit
        self.leaving = leaving
        self.cold = cold
        # The customer's key that callers send, and the customer's name that targets get.
        self.key = key
        self.customer = customer
        self.adds_own_headers = adds_own_headers
        # Set by the entry for each attempt, or meant for the entry only.
        dropped = {b"content-length", b"expect", b"x-attempt", b"x-caller-labels", deadline}
        dropped.add(expected_instance or deadline)
        dropped.update(spellings(key), spellings(customer))
        self.request_dropped = HOP_BY_HOP | dropped
        self.response_dropped = HOP_BY_HOP | {b"content-length", not_run}


def spellings(name: bytes) -> set[bytes]:
    """List the names that targets may take for this one, because some read `_` as `-`."""
    found = {b""}
    for part in re.split(rb"(-)", name):
        found = {
            head + end for head in found for end in ((b"-", b"_") if part == b"-" else (part,))
        }
    return found - {b""}


def read_rate_limit(metadata: ResponseMetadata, name: bytes, value: bytes) -> None:
    """Set the rate that the target takes."""
    metadata.rate_limit_per_s = read_decimal(metadata, name, value, metadata.rate_limit_per_s)


def read_retry_after(metadata: ResponseMetadata, value: bytes) -> None:
    """Set the time for which the target wants no request; dates are not supported."""
    metadata.retry_after_s = read_decimal(metadata, RETRY_AFTER, value, metadata.retry_after_s)


def read_cold(metadata: ResponseMetadata, name: bytes, value: bytes) -> None:
    """Set the time for which the target stays cold, given in milliseconds."""
    before = metadata.cold_s
    found_ms = read_decimal(metadata, name, value, before)
    metadata.cold_s = None if found_ms is None else found_ms / 1000.0


def read_decimal(
    metadata: ResponseMetadata, name: bytes, value: bytes, before: float | None
) -> float | None:
    """Parse a decimal number; a malformed or second line voids the header and is noted."""
    text = name.decode("latin-1")
    is_repeated = before is not None or text in metadata.malformed_statements
    found = "given more than once" if is_repeated else decimal_number(value)
    if isinstance(found, str):
        metadata.malformed_statements.setdefault(text, found)
        return None
    return found


def read_leaving(metadata: ResponseMetadata, name: bytes, value: bytes) -> None:
    """Note that the target leaves; any other value than 1 is malformed."""
    if value.strip(b" \t") == b"1":
        metadata.leaving = True
    else:
        metadata.malformed_statements[name.decode("latin-1")] = "not 1"


def read_in_flight(metadata: ResponseMetadata, value: bytes) -> str:
    """Set `in_flight` from `in_flight=N;queued=N`; return why a report is set aside, or nothing."""
    total = 0.0
    for pair in value.split(b";"):
        name, _, text = pair.strip().partition(b"=")
        if name in (b"in_flight", b"queued"):
            number = whole_number(text)
            if isinstance(number, str):
                return number
            total += number
    metadata.in_flight = min(total, MAX_REPORTED_IN_FLIGHT)
    return ""


def read_idle_limit(metadata: ResponseMetadata, value: bytes) -> int:
    """Parse the timeout of a keep-alive header in seconds; 0 if it is missing or malformed."""
    for part in value.split(b","):
        name, _, text = part.strip().partition(b"=")
        if name.lower() == b"timeout":
            found = whole_number(text)
            if isinstance(found, int):
                return found
            metadata.malformed_reports[KEEP_ALIVE] = found
    return 0


DEFAULT_HEADERS = HeaderNames()

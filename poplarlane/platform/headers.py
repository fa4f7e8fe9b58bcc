"""Header names and the load header format of the users' platform."""

from poplarlane.decisions.requests.entry_events import ResponseMetadata
from poplarlane.number_grammar import whole_number
from poplarlane.plumbing.header_names import HeaderNames

BASELINE_SLOWDOWN_PERCENT = 100.0


def read_load(metadata: ResponseMetadata, value: bytes) -> str:
    """Parse `running,waiting,slots,slowdown`, the last in percent of the usual service time.

    Returns why a report is set aside; empty if it is not.
    """
    numbers = []
    for part in value.split(b","):
        number = whole_number(part)
        if isinstance(number, str):
            return number
        numbers.append(number)
    if len(numbers) < 2:
        return "one number"
    metadata.running = numbers[0]
    metadata.waiting = numbers[1]
    metadata.in_flight = float(numbers[0] + numbers[1])
    if len(numbers) > 3:
        metadata.slowdown = max(0.1, numbers[3] / BASELINE_SLOWDOWN_PERCENT)
    return ""


PLATFORM_HEADERS = HeaderNames(
    request_id=b"x-attempt-id",
    deadline=b"x-deadline-ms",
    not_run=b"x-not-executed",
    load=b"x-server-load",
    read_load=read_load,
    instance=b"x-instance-id",
    expected_instance=b"x-expected-instance",
    signature=b"x-server-signature",
    rate_limit=b"server-limit",
    leaving=b"server-leaving",
    cold=b"x-cold-remaining-ms",
    key=b"x-api-key",
    customer=b"x-tenant-id",
    adds_own_headers=False,
)

"""What was lost, by second, route and cause, from the log lines of any number of nodes.

Each request that was refused, late or failed ends with one line, which holds the inputs that
decided about it. Lines that a node dropped under load are counted as not attributed.
"""

from collections import Counter
from collections.abc import Iterable
from enum import StrEnum

# A refusal this soon after the arrival came without a wait.
ARRIVAL_MS = 5
# A late request that spent at least this share of its time in the queue was late because of it.
QUEUE_SHARE = 0.3
# A report older than this said little about the target when it was chosen.
OLD_REPORT_MS = 100
# A target with this many requests ahead was busy.
BUSY_REQUESTS = 2
ENDINGS = frozenset({"request_refused", "request_late", "request_failed"})
ALL_ROUTES = "-"


class Cause(StrEnum):
    """Why a request was refused, late or failed."""

    REFUSED_ON_ARRIVAL = "refused on arrival"
    REFUSED_AFTER_WAIT = "refused after a wait"
    RATE_USED_UP = "refused: rates named by targets used up"
    TARGETS_PAUSED = "refused: targets turned requests away"
    QUARANTINED = "refused: in quarantine"
    CRASHES_TARGETS = "crashed its targets"
    NO_TARGET_AT_HOME = "refused: no capacity in the allowed regions"
    QUOTA = "refused: the customer's quota is used up"
    NO_BUDGET = "no budget for a repeat"
    CUT = "cut by its target"
    NO_ANSWER = "no answer by the deadline"
    FAILED_AT_TARGET = "failed at its target"
    LATE_QUEUE = "late: waited in the queue"
    LATE_SLOW = "late: target known to be slow"
    LATE_OLD_REPORT = "late: target chosen by an old report"
    LATE_BUSY = "late: busy target"
    LATE_OTHER = "late: long work or transfer"
    NOT_ATTRIBUTED = "not attributed"


STATEMENT_CAUSES = {
    "rate_limited": Cause.RATE_USED_UP,
    "targets_paused": Cause.TARGETS_PAUSED,
    "quarantined": Cause.QUARANTINED,
    "no_target_at_home": Cause.NO_TARGET_AT_HOME,
    "quota_exceeded": Cause.QUOTA,
}

Key = tuple[str, str, Cause]


def losses(lines: Iterable[dict[str, str]]) -> Counter[Key]:
    """Count the requests lost by second, route and cause."""
    endings: dict[tuple[str, str], dict[str, str]] = {}
    denied: set[tuple[str, str]] = set()
    found: Counter[Key] = Counter()
    for fields in lines:
        event = fields.get("event", "")
        request = (fields.get("process", ""), fields.get("id", ""))
        if event == "lines_dropped":
            dropped = count_of(fields, "count")
            found[second_of(fields), ALL_ROUTES, Cause.NOT_ATTRIBUTED] += dropped
        elif event == "repeat_denied":
            denied.add(request)
        elif event in ENDINGS and "route" in fields:
            # A request ends once; the last line is the one that its caller saw.
            endings[request] = fields
    for request, fields in endings.items():
        cause = Cause.NO_BUDGET if request in denied else cause_of(fields)
        found[second_of(fields), fields["route"], cause] += 1
    return found


def cause_of(fields: dict[str, str]) -> Cause:
    """Return why the request of an ending line was lost."""
    event = fields["event"]
    if event == "request_failed":
        return Cause.FAILED_AT_TARGET
    if event == "request_late":
        return late_cause(fields)
    if fields.get("result", "").startswith("deadline_after"):
        return Cause.NO_ANSWER
    if fields.get("result") == "crashes_targets":
        return Cause.CRASHES_TARGETS
    if count_of(fields, "code") >= 1300:
        return Cause.CUT
    if count_of(fields, "code") < 1200:
        return Cause.NOT_ATTRIBUTED
    if fields.get("result") in STATEMENT_CAUSES:
        return STATEMENT_CAUSES[fields["result"]]
    is_direct = count_of(fields, "age_ms") <= ARRIVAL_MS
    return Cause.REFUSED_ON_ARRIVAL if is_direct else Cause.REFUSED_AFTER_WAIT


def late_cause(fields: dict[str, str]) -> Cause:
    """Return why a request was answered late."""
    age_ms, sent_ms = count_of(fields, "age_ms"), count_of(fields, "sent_ms")
    report_ms = count_of(fields, "report_ms")
    if age_ms - sent_ms >= QUEUE_SHARE * age_ms:
        return Cause.LATE_QUEUE
    if not 0 <= report_ms <= OLD_REPORT_MS:
        return Cause.LATE_OLD_REPORT
    if number_of(fields, "pace") > 1.0:
        return Cause.LATE_SLOW
    if count_of(fields, "there") >= BUSY_REQUESTS:
        return Cause.LATE_BUSY
    return Cause.LATE_OTHER


def number_of(fields: dict[str, str], key: str) -> float:
    """Return a field as a number; 0 if the line was cut short there."""
    try:
        return float(fields.get(key, "0"))
    except ValueError:
        return 0.0


def count_of(fields: dict[str, str], key: str) -> int:
    """Return a field as a whole number."""
    return int(number_of(fields, key))


def second_of(fields: dict[str, str]) -> str:
    """Return the time of a line without its fraction."""
    return fields.get("time", "")[:19]


def by_cause(found: Counter[Key]) -> Counter[Cause]:
    """Add up the losses of all seconds and routes."""
    total: Counter[Cause] = Counter()
    for (_, _, cause), count in found.items():
        total[cause] += count
    return total


def table(found: Counter[Key]) -> list[str]:
    """Format a line per second, route and cause, and one per cause over all."""
    lines = [
        f"{second} {route:16} {count:5} {cause}"
        for (second, route, cause), count in sorted(found.items())
    ]
    total = sum(found.values())
    lines.append(f"{total} requests lost")
    for cause, count in by_cause(found).most_common():
        lines.append(f"{count:6} {count / total:6.1%} {cause}")
    return lines

"""Checkers of the invariants over what callers saw and what targets executed."""

from collections import Counter
from typing import Any

from poplarlane.bench.actions import Event
from poplarlane.bench.experiment import LayoutPlan
from poplarlane.bench.records import Record, Seen, request_id

MAX_EXAMPLES = 20
# Unknown outcomes that a planned stop may not cause; 1301 is a deadline, not a cut.
CUT_CODES = frozenset({1300, 1302, 1303})
PLANNED_STOPS = frozenset({"stop_entry", "stop_target", "drain_target", "leave_target"})
# Requests at a killed entry may fail from the kill until their connections are gone.
KILL_WINDOW_S = 0.25


class Tally:
    """Count requests and violations; `examples` names the first violations."""

    __slots__ = ("requests", "repeated", "mixed", "false_not_run", "cut", "excused", "examples")

    def __init__(self) -> None:
        self.requests = 0
        self.repeated = 0
        self.mixed = 0
        self.false_not_run = 0
        self.cut = 0
        # Requests that would count as cut, had their entry not been killed.
        self.excused = 0
        self.examples: list[str] = []

    def violate(self, counter: str, text: str) -> None:
        """Count one violation."""
        setattr(self, counter, getattr(self, counter) + 1)
        if len(self.examples) < MAX_EXAMPLES:
            self.examples.append(f"{counter}: {text}")

    def line(self) -> str:
        """Give the verdict line."""
        return (
            f"requests={self.requests} repeated={self.repeated} mixed={self.mixed} "
            f"false_not_run={self.false_not_run} cut={self.cut}"
        )

    def clean(self) -> bool:
        """Tell whether requests were made and none violated an invariant."""
        violations = self.repeated + self.mixed + self.false_not_run + self.cut
        return self.requests > 0 and violations == 0


def executions_by_id(ledgers: list[dict[str, Any]]) -> Counter[str]:
    """Count the started executions of every request id over all targets."""
    counts: Counter[str] = Counter()
    for ledger in ledgers:
        for name, executions in ledger["executions"].items():
            counts[name] += len(executions)
    return counts


def check_segment(
    tally: Tally,
    segment: str,
    layout: LayoutPlan,
    records: list[Record],
    ledgers: list[dict[str, Any]],
    events: list[Event],
    strict_cuts: bool,
) -> None:
    """Check the requests of one segment."""
    counts = executions_by_id(ledgers)
    kills = [event for event in events if not event.planned]
    stops = [event for event in events if event.what in PLANNED_STOPS]
    tally.requests += len(records)
    for record in records:
        name = request_id(segment, record.index)
        kind = layout.services[record.service].kinds[record.kind]
        started = counts[name]
        described = f"{name} {kind.name} status {record.status} code {record.code}"
        if started > 1 and not kind.idempotent:
            tally.violate("repeated", f"{described}: {started} executions")
        if record.seen == Seen.MIXED:
            tally.violate("mixed", described)
        if record.seen == Seen.NOT_RUN and started > 0:
            tally.violate("false_not_run", f"{described}: {started} executions")
        if is_cut(record, stops, strict_cuts):
            if excused(record, kills):
                tally.excused += 1
            else:
                tally.violate("cut", f"{described}: {Seen(record.seen).name.lower()}")


def is_cut(record: Record, stops: list[Event], strict: bool) -> bool:
    """Tell whether a caller was left without a whole answer.

    A closed connection always counts; an answer that did not come in time counts when a planned
    stop lies within the wait.
    """
    if record.seen in (Seen.MISSING, Seen.TRUNCATED):
        return True
    if record.seen == Seen.TIMED_OUT:
        ended_at = record.at + record.latency_s
        return strict or any(
            stop.at <= ended_at and record.at <= (stop.ended_at or stop.at) for stop in stops
        )
    return strict and record.code in CUT_CODES


def excused(record: Record, kills: list[Event]) -> bool:
    """Tell whether the entry of a request was killed while the request ran."""
    ended_at = record.at + record.latency_s
    return any(
        kill.entry == record.entry and record.at - KILL_WINDOW_S <= kill.at <= ended_at
        for kill in kills
    )


def windows_over_budget(times: list[float], per_s: float) -> int:
    """Count the windows of one second that hold more probes than the rate and one burst allow."""
    allowed = int(per_s) + 1 if per_s > 0 else 0
    times = sorted(times)
    over = 0
    for first in range(len(times) - allowed):
        over += times[first + allowed] - times[first] < 1.0
    return over

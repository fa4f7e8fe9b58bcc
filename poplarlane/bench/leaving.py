"""How long leaving targets still get new requests, and how they get traffic after their return."""

import math
import time
from typing import Any

from hdrh.histogram import HdrHistogram

from poplarlane.bench.actions import Event
from poplarlane.bench.experiment import Experiment
from poplarlane.bench.fleet import Fleet
from poplarlane.bench.report import median
from poplarlane.bench.results import Segment, histogram_of

TARGET_EVENTS = ("leave_target", "stop_target", "drain_target")
# The usual rate of a target is taken over this long before it leaves.
USUAL_S = 3.0
# The share of a returned target is restored when this part of its usual rate arrives in a window.
RESTORED_SHARE = 0.5
RESTORED_WINDOW_S = 1.0
# Entries give a returned target a growing share for this long.
FIRST_REQUESTS_S = 2.0

LOGGED_EVENTS = ("target_leaving", "target_returned")

Times = dict[str, list[float]]
# Times at which processes logged an event about a target, by event and target.
Heard = dict[tuple[str, str], list[tuple[float, str]]]


def times_heard(fleet: Fleet) -> Heard:
    """Read from the logs when processes learned that targets leave or return (CLOCK_MONOTONIC)."""
    offset = time.time() - time.monotonic()
    heard: Heard = {}
    for vm in fleet.vms:
        for process in (vm.agent, vm.entry):
            for line in list(process.lines) if process else []:
                event = line.fields.get("event")
                if event in LOGGED_EVENTS:
                    at = line.logged_at() - offset
                    heard.setdefault((event, line.fields["target"]), []).append((at, process.name))
    return heard


def heard_between(
    heard: Heard, event: str, target: str, start: float, end: float
) -> list[tuple[float, str]]:
    """List who logged an event about a target within a span of time, in order of time."""
    return sorted(item for item in heard.get((event, target), []) if start <= item[0] <= end)


def leaving_rows(segment: Segment) -> list[dict[str, Any]]:
    """Build one row per target that left in a segment."""
    arrivals: Times = {}
    announced: Times = {}
    for ledger in segment.ledgers:
        arrivals.setdefault(ledger["target"], []).extend(ledger["arrivals"])
        announced.setdefault(ledger["target"], []).extend(ledger["announcements"])
    for times in arrivals.values():
        times.sort()
    return [
        leaving_row(event, arrivals, segment.heard, announced)
        for event in segment.events
        if event.what in TARGET_EVENTS
    ]


def leaving_row(event: Event, arrivals: Times, heard: Heard, announced: Times) -> dict[str, Any]:
    """Describe one target's leave and return in seconds; `last_heard` names who was last."""
    learned = heard_between(heard, "target_leaving", event.subject, event.at, event.ended_at)
    reached_at = signal_reached_at(event, heard, announced)
    origin = event.at if reached_at is None else reached_at
    own = arrivals.get(event.subject, [])
    late = [at - origin for at in own if origin < at <= event.ended_at]
    return {
        "target": event.subject,
        "what": event.what,
        "signal": event.signal,
        "heard": reached_at is not None,
        "signal_reached_s": round(origin - event.at, 3),
        "last_new_request_s": round(max(late, default=0.0), 3),
        "requests_after_start": len(late),
        "processes_heard": len(learned),
        "last_heard_s": round(learned[-1][0] - origin, 3) if learned else None,
        "last_heard": learned[-1][1] if learned else "",
        **return_columns(event, arrivals, heard),
        "fault": event.fault,
    }


def signal_reached_at(event: Event, heard: Heard, announced: Times) -> float | None:
    """Give the time at which the signal first reached a VM; None when it reached none.

    What a target announces counts from its sending; several signals at once count from the first.
    """
    match event.signal:
        case "list":
            times = [at for at, _ in heard.get(("target_leaving", event.subject), [])]
        case "answers" | "refusals":
            times = announced.get(event.subject, [])
        case _:
            return event.at
    return min((at for at in times if event.at <= at <= event.ended_at), default=None)


def return_columns(event: Event, arrivals: Times, heard: Heard) -> dict[str, float | None]:
    """Describe the requests of a target after its return.

    `first_request_s` and `restored_s` count from the listing of the next incarnation and are None
    when no such time came. `first_share` compares the requests that it got while the first entry
    that took it back raised its share with those of the service's median target at that time.
    """
    own = arrivals.get(event.subject, [])
    usual = sum(event.at - USUAL_S <= at < event.at for at in own) / USUAL_S
    after = [at for at in own if at > event.ended_at]
    returned = heard_between(heard, "target_returned", event.subject, event.ended_at, math.inf)
    if not after or not event.returned_at or not usual:
        return {"first_request_s": None, "restored_s": None, "first_share": None}
    # An entry that had not begun to avoid the target logs no return.
    begin = returned[0][0] if returned else event.returned_at
    restored = restored_at(after, usual)
    return {
        "first_request_s": round(max(after[0] - event.returned_at, 0.0), 3),
        "restored_s": restored and round(max(restored - event.returned_at, 0.0), 3),
        "first_share": first_share(event.subject, arrivals, begin),
    }


def first_share(target: str, arrivals: Times, begin: float) -> float | None:
    """Compare a target's requests after an instant with those of the others that got any."""
    service = target.rpartition("-")[0]
    counts = {
        name: sum(0.0 <= at - begin < FIRST_REQUESTS_S for at in times)
        for name, times in arrivals.items()
        if name.rpartition("-")[0] == service
    }
    own = counts.pop(target)
    used = [count for count in counts.values() if count]
    return round(own / median(used), 3) if used else None


def restored_at(after: list[float], usual: float) -> float | None:
    """Give the end of the first window that holds a fair part of the usual requests."""
    wanted = max(int(usual * RESTORED_SHARE * RESTORED_WINDOW_S), 1)
    for first, last in zip(after, after[wanted - 1 :], strict=False):
        if last - first <= RESTORED_WINDOW_S:
            return last
    return None


def summary(experiment: Experiment, rows: list[dict[str, Any]]) -> tuple[list[str], list[str]]:
    """Give the figures as key=value words, and what missed its bound."""
    words: list[str] = []
    missed: list[str] = []
    if experiment.max_leaving_s:
        for signal in sorted({row["signal"] for row in rows if row["signal"]}):
            chosen = [row for row in rows if row["signal"] == signal]
            add_leaving(signal, chosen, experiment.max_leaving_s, words, missed)
    if experiment.max_return_s:
        add_return(rows, experiment.max_return_s, words, missed)
    return words, missed


def add_leaving(
    signal: str, rows: list[dict[str, Any]], bound_s: float, words: list[str], missed: list[str]
) -> None:
    """Add the figures of one signal; a signal that reached no VM measures nothing."""
    times = [row["last_new_request_s"] for row in rows]
    p99 = percentile_s(histogram_of(times))
    unheard = [row["target"] for row in rows if not row["heard"]]
    words.append(f"leaving_{signal}_targets={len(rows)}")
    words.append(f"leaving_{signal}_p99_s={p99:.3f}")
    words.append(f"leaving_{signal}_max_s={max(times):.3f}")
    if max(times) > bound_s:
        missed.append(f"signal {signal}: a new request after {max(times):.3f} s, bound {bound_s} s")
    if unheard:
        missed.append(f"signal {signal} of {', '.join(unheard)} reached no VM")


def percentile_s(histogram: HdrHistogram) -> float:
    """Read the p99 in seconds."""
    return histogram.get_value_at_percentile(99.0) / 1e6


def add_return(
    rows: list[dict[str, Any]], bound_s: float, words: list[str], missed: list[str]
) -> None:
    """Add the figures of the returns: none may be late, and none may begin with a burst."""
    lost = [row["target"] for row in rows if row["restored_s"] is None]
    back = [row for row in rows if row["restored_s"] is not None]
    if lost:
        missed.append(f"got no fair share after the return: {', '.join(lost)}")
    if not back:
        return
    slowest = max(row["restored_s"] for row in back)
    share = max(row["first_share"] or 0.0 for row in back)
    words.append(f"first_request_max_s={max(row['first_request_s'] for row in back):.3f}")
    words.append(f"restored_max_s={slowest:.3f}")
    words.append(f"first_share_max={share:.3f}")
    if slowest > bound_s:
        missed.append(f"a returned target waited {slowest:.3f} s for its share, bound {bound_s} s")
    if share > 1.0:
        missed.append(f"a returned target began with {share:.2f} times the others' requests")

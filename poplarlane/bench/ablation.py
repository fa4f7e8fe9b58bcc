"""What each mechanism of the decisions is worth in the model: all of them, and all but one.

A mechanism is switched off by replacing a constant or function of a decision module while the model
plays. Both variants play the same seeds, so that their difference is paired.
"""

import math
import statistics
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any

from poplarlane.bench.model_report import PATTERNS
from poplarlane.bench.service_model import Pattern, ServiceModel
from poplarlane.decisions.admission import (
    admission,
    caller_deadlines,
    queueing,
)
from poplarlane.decisions.admission.limits import ADMIT, queued_in_order
from poplarlane.decisions.choice import (
    completion,
    contention,
    dispatching,
    slowdowns,
)
from poplarlane.decisions.health import (
    trials,
    verdicts,
)
from poplarlane.decisions.probes import (
    probe_events,
    probe_rounds,
)
from poplarlane.decisions.repeats import hedging
from poplarlane.decisions.requests import responses

# Value of a late answer as a share of one in time, as operators of the platform rate it.
LATE_VALUE = 0.1
# A difference counts from this many standard errors on.
CLEAR_ERRORS = 2.0


@dataclass(frozen=True, slots=True)
class Switch:
    """A mechanism, and what replaces it while it is off."""

    name: str
    owner: Any
    attribute: str
    replacement: Any


def unlimited_concurrency(_contention: contention.Contention, slots: int) -> int:
    """Use every slot of a target."""
    return slots


SWITCHES = (
    Switch("probes before the choice", probe_rounds, "PROBES_PER_ROUND", 0),
    Switch("second and further rounds", probe_events, "needs_another_round", lambda *_: False),
    Switch("only recent reports", slowdowns, "RECENT_SHARE", math.inf),
    Switch("learned contention: limit", completion, "best_concurrency", unlimited_concurrency),
    Switch("learned contention: time", completion, "contention_factor", lambda *_: 1.0),
    Switch("expected slowdown", completion, "expected_slowdown", lambda *_: 1.0),
    Switch("limit on completion time", dispatching, "MAX_COMPLETION_RATIO", math.inf),
    Switch("cost of failures", completion, "FAILURE_COST", 0.0),
    Switch("verdicts on targets", verdicts, "AVOIDED_THRESHOLD", math.inf),
    Switch("trials", dispatching, "take_due_trial", lambda *_: None),
    Switch("slow return", trials, "ramp_eighths", lambda *_: 8),
    Switch("repeats", responses, "send_again", lambda *_: False),
    Switch("second copies", hedging, "may_be_hedged", lambda *_: False),
    Switch("early second copies", hedging, "HEDGE_RESERVE_RATIO", -math.inf),
    Switch(
        "order of the queue",
        queueing,
        "dispatch_order",
        lambda service, _: queued_in_order(service.limits),
    ),
    Switch("refusal after a wait", queueing, "give_up_at", lambda request: request.deadline),
    Switch("refusal on arrival", admission, "admit", lambda *_: ADMIT),
    Switch("time to come back", admission, "RETRY_AFTER_S", 0.0),
    Switch("spread of that time", admission, "RETRY_AFTER_SPREAD_S", 0.0),
    Switch("cost of another data centre", dispatching, "CROSS_DATA_CENTRE_SHARE", 0.0),
    Switch("preference of kept connections", probe_rounds, "NEW_CONNECTION_S", 0.0),
    Switch("late requests leave a place", dispatching, "RESERVED_SLOTS", 0),
    Switch("returning callers told apart", caller_deadlines, "elapsed_s", lambda *_: 0.0),
    Switch("longer cold starts", completion, "COLD_FACTOR", 1.0),
)


@contextmanager
def switched_off(switch: Switch | None) -> Iterator[None]:
    """Replace one mechanism for the time of the context."""
    if switch is None:
        yield
        return
    kept = getattr(switch.owner, switch.attribute)
    setattr(switch.owner, switch.attribute, switch.replacement)
    try:
        yield
    finally:
        setattr(switch.owner, switch.attribute, kept)


def value(pattern: Pattern, seed: int, nodes: int, targets: int) -> float:
    """Play one pattern; return the value per request, 1 if all were answered in time."""
    outcome = ServiceModel(pattern, "measured", nodes, targets, seed).run()
    return (outcome.in_aim + LATE_VALUE * outcome.late) / max(1, outcome.asked)


def play(switch_number: int, seed: int, nodes: int, targets: int) -> list[float]:
    """Play all patterns with one seed; -1 switches nothing off."""
    with switched_off(SWITCHES[switch_number] if switch_number >= 0 else None):
        return [value(pattern, seed, nodes, targets) for pattern in PATTERNS]


def ablate(seeds: int, nodes: int, targets: int, workers: int) -> list[str]:
    """Return a table row per mechanism: the mean difference without it, and per pattern."""
    jobs = [(number, seed) for number in range(-1, len(SWITCHES)) for seed in range(1, seeds + 1)]
    with ProcessPoolExecutor(workers) as pool:
        played = pool.map(
            play,
            [number for number, _ in jobs],
            [seed for _, seed in jobs],
            [nodes] * len(jobs),
            [targets] * len(jobs),
        )
        found = dict(zip(jobs, played, strict=True))
    lines = ["| without | mean | " + " | ".join(pattern.name for pattern in PATTERNS) + " |"]
    lines.append("|---" * (len(PATTERNS) + 2) + "|")
    for number, switch in enumerate(SWITCHES):
        rows = [
            [off - on for off, on in zip(found[number, seed], found[-1, seed], strict=True)]
            for seed in range(1, seeds + 1)
        ]
        means = show([statistics.fmean(row) for row in rows])
        cells = [show([row[index] for row in rows]) for index in range(len(PATTERNS))]
        lines.append(f"| {switch.name} | {means} | {' | '.join(cells)} |")
    return lines


def show(differences: list[float]) -> str:
    """Format a mean difference; a dot stands for one within its spread."""
    mean = statistics.fmean(differences)
    error = statistics.stdev(differences) / math.sqrt(len(differences))
    return f"{mean:+.3f}" if abs(mean) > CLEAR_ERRORS * error else "."

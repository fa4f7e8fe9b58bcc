"""Outlier detection among the targets of a service, from the traffic of one entry.

Observations are in `evidence` and verdicts in `verdicts`. This module reviews a whole service every
few milliseconds and is the public interface of the three.
"""

import math

from poplarlane.decisions.health import verdicts
from poplarlane.decisions.health.evidence import (
    FROZEN_REPORTS,
    LATENCY_MEMORY_S,
    ServiceHealth,
    current_error_rate,
    current_suspicion,
    observe_abandoned,
    observe_answer,
    observe_end,
    observe_failure,
    observe_latency,
    observe_peer_verdict,
    observe_probe,
    observe_report,
    observe_sent,
    observe_shed,
    observe_unreachable,
)
from poplarlane.decisions.health.verdicts import start_ramp
from poplarlane.types import TargetLoad, Verdict

__all__ = [
    "ServiceHealth",
    "observe_abandoned",
    "observe_answer",
    "observe_end",
    "observe_failure",
    "observe_latency",
    "observe_peer_verdict",
    "observe_probe",
    "observe_report",
    "observe_sent",
    "observe_shed",
    "observe_unreachable",
    "review",
    "start_ramp",
    "verdict",
]

# The interval between reviews is the typical latency, within these bounds.
MIN_REVIEW_INTERVAL_S = 0.005
MAX_REVIEW_INTERVAL_S = 0.05
# Sorting the latencies takes a third of a review, and quantiles change slowly.
QUANTILE_INTERVAL_S = 0.25
# Suspicion above the first value adds to a target's cost before it is enough for a verdict: the
# second is the penalty per unit, in typical latencies.
PENALTY_FREE_SUSPICION = 3.0
PENALTY_PER_DOUBT = 1.0
# Differences below two standard errors, assuming exponential latencies, are treated as noise.
NOISE_STANDARD_ERRORS = 2.0


def review(service: ServiceHealth, loads: list[TargetLoad], now: float) -> list[TargetLoad]:
    """Update the estimates and verdicts of a service when due; return changes for peers.

    `loads` holds all targets of the service that are not leaving. The result lists the targets
    that became confirmed as faulty or are no longer so.
    """
    if now < service.review_at or not loads:
        return []
    interval_s = min(MAX_REVIEW_INTERVAL_S, max(MIN_REVIEW_INTERVAL_S, service.typical_s))
    service.review_at = now + interval_s
    if now >= service.quantiles_at:
        service.quantiles_at = now + QUANTILE_INTERVAL_S
        update_quantiles(service)
    service.typical_s = median([load.latency_s for load in loads if load.latency_weight > 0.0])
    errors = median([current_error_rate(load, now) for load in loads])
    mean = sum(load.reported_in_flight for load in loads) / len(loads)
    for load in loads:
        load.typical_s = service.typical_s
        load.typical_error_rate = errors
        load.slowness = slowness(load, now)
        load.reports_trusted = trusts_reports(load, mean)
    suspicions = [current_suspicion(load, now) for load in loads]
    # Suspicion that most targets share, such as from a surge of load, is not a target's own fault.
    shared = median(suspicions)
    for load, suspicion in zip(loads, suspicions, strict=True):
        excess = max(0.0, suspicion - shared - PENALTY_FREE_SUSPICION)
        load.penalty_s = excess * PENALTY_PER_DOUBT * service.typical_s
    return verdicts.apply_suspicions(loads, suspicions, shared, now)


def update_quantiles(service: ServiceHealth) -> None:
    """Recompute the quantiles from the recent latencies."""
    if not service.latencies:
        return
    ordered = sorted(service.latencies)
    service.fast_s = ordered[int(0.1 * (len(ordered) - 1))]
    service.p95_s = ordered[int(0.95 * (len(ordered) - 1))]


def median(values: list[float]) -> float:
    """Return the lower median, or 0 without values.

    With the upper median, the slower of two targets would be compared with itself.
    """
    return sorted(values)[(len(values) - 1) // 2] if values else 0.0


def slowness(load: TargetLoad, now: float) -> float:
    """Return the ratio of latency to typical latency, moved towards 1 by the noise margin."""
    if load.typical_s <= 0.0 or load.latency_weight <= 0.0:
        return 1.0
    weight = load.latency_weight * math.exp((load.latency_at - now) / LATENCY_MEMORY_S)
    noise = NOISE_STANDARD_ERRORS / math.sqrt(max(weight, 1e-9))
    ratio = load.latency_s / load.typical_s
    if ratio >= 1.0:
        return max(1.0, ratio - noise)
    return min(1.0, ratio + noise)


def trusts_reports(load: TargetLoad, mean: float) -> bool:
    """Return whether the target's reports change and are consistent with its latency."""
    if load.report_repeats >= FROZEN_REPORTS:
        return False
    # A healthy target cannot be slower than the others and also less loaded.
    return load.slowness <= 1.0 or load.reported_in_flight >= mean


def verdict(load: TargetLoad, peers: list[TargetLoad], now: float) -> Verdict:
    """Judge a target against the other targets of its service, without changing any state."""
    shared = median([current_suspicion(peer, now) for peer in peers])
    return verdicts.judge(current_suspicion(load, now) - shared)

"""Judge targets from the traffic that one entry sends to them.

Every estimate carries the time at which it was true, and its weight falls with age.
"""

import math

from poplarlane.types import TargetLoad, Verdict

LATENCY_MEMORY_S = 10.0
MAX_LATENCY_WEIGHT = 32.0
ERROR_GAIN = 0.2
ERROR_MEMORY_S = 5.0
REVIEW_INTERVAL_S = 0.02
MAX_AVOIDED_SHARE = 1 / 3
SUSPECT_RATIO = 2.5
AVOIDED_RATIO = 4.0
FAILING_ERROR_RATE = 0.5
FAILING_IN_A_ROW = 3
TRIAL_INTERVAL_S = 0.5
RAMP_S = 2.0
PRIOR_WEIGHT = 4.0


class ServiceHealth:
    """Hold what one entry knows about a whole service."""

    __slots__ = ("latencies", "position", "typical_s", "p95_s", "reviewed_at")

    SAMPLES = 256

    def __init__(self) -> None:
        # Ring of recent latencies of successful answers.
        self.latencies: list[float] = []
        self.position = 0
        self.typical_s = 0.0
        self.p95_s = 0.0
        self.reviewed_at = -math.inf


def observe_latency(service: ServiceHealth, latency_s: float) -> None:
    """Record the latency of a successful answer of any target of the service."""
    if len(service.latencies) < ServiceHealth.SAMPLES:
        service.latencies.append(latency_s)
        return
    service.latencies[service.position] = latency_s
    service.position = (service.position + 1) % ServiceHealth.SAMPLES


def observe_sent(load: TargetLoad, request_id: int, now: float) -> None:
    """Count a request as outstanding from the moment that it is assigned to the target."""
    load.outstanding += 1
    load.sent_since_report += 1
    load.sent_at[request_id] = now


def observe_end(load: TargetLoad, request_id: int) -> None:
    """Stop counting a request, whatever its outcome."""
    if load.sent_at.pop(request_id, None) is not None:
        load.outstanding -= 1


def observe_answer(load: TargetLoad, latency_s: float, ok: bool, now: float) -> None:
    """Record an answer; `ok` is false for a server error or a refusal."""
    load.answers += 1
    age = now - load.error_at
    kept = load.error_rate * math.exp(-age / ERROR_MEMORY_S)
    load.error_rate = kept + ERROR_GAIN * ((0.0 if ok else 1.0) - kept)
    load.error_at = now
    load.consecutive_failures = 0 if ok else load.consecutive_failures + 1
    if ok:
        # The latency of a failure says nothing about how fast the target works.
        record_latency(load, latency_s, now)


def record_latency(load: TargetLoad, latency_s: float, now: float) -> None:
    """Fold one latency into the target's decayed mean."""
    kept = load.latency_weight * math.exp((load.latency_at - now) / LATENCY_MEMORY_S)
    kept = min(kept, MAX_LATENCY_WEIGHT - 1.0)
    load.latency_weight = kept + 1.0
    load.latency_s = (load.latency_s * kept + latency_s) / load.latency_weight
    load.latency_at = now


def observe_failure(load: TargetLoad, now: float) -> None:
    """Record a request that got no answer: refused connection, reset or timeout."""
    observe_answer(load, 0.0, False, now)


def observe_report(load: TargetLoad, in_flight: float, at: float, now: float) -> None:
    """Record a load report (running plus queued) that was true at `at`; older ones are ignored."""
    if at < load.reported_at or at > now:
        return
    load.reported_in_flight = in_flight
    load.reported_at = at
    load.sent_since_report = 0


def observe_peer_verdict(load: TargetLoad, verdict: Verdict, expires_at: float) -> None:
    """Record what another entry concluded; it counts until `expires_at`."""
    load.peer_verdict = verdict
    load.peer_verdict_expires_at = expires_at


def oldest_outstanding_s(load: TargetLoad, now: float) -> float:
    """Give the age of the oldest outstanding request, 0 without one."""
    for sent_at in load.sent_at.values():
        return now - sent_at
    return 0.0


def verdict(load: TargetLoad, peers: list[TargetLoad], now: float) -> Verdict:
    """Judge a target against the other targets of its service."""
    return judge(load, typical_latency_s(peers), now)


def judge(load: TargetLoad, typical_s: float, now: float) -> Verdict:
    """Judge a target against the typical latency of its service."""
    if load.consecutive_failures >= FAILING_IN_A_ROW:
        return Verdict.AVOIDED
    if current_error_rate(load, now) >= FAILING_ERROR_RATE:
        return Verdict.AVOIDED
    ratio = slowness(load, typical_s, now)
    if load.peer_verdict != Verdict.HEALTHY and now < load.peer_verdict_expires_at:
        # A peer's verdict halves the evidence that this entry needs of its own.
        ratio *= 2.0
    if ratio >= AVOIDED_RATIO:
        return Verdict.AVOIDED
    if ratio >= SUSPECT_RATIO:
        return Verdict.SUSPECT
    return Verdict.HEALTHY


def current_error_rate(load: TargetLoad, now: float) -> float:
    """Give the error estimate, decayed to now."""
    return load.error_rate * math.exp((load.error_at - now) / ERROR_MEMORY_S)


def slowness(load: TargetLoad, typical_s: float, now: float) -> float:
    """Give the target's latency as a multiple of the typical one, shrunk when evidence is thin."""
    if typical_s <= 0.0:
        return 1.0
    weight = load.latency_weight * math.exp((load.latency_at - now) / LATENCY_MEMORY_S)
    total = load.latency_s * weight + typical_s * PRIOR_WEIGHT
    weight += PRIOR_WEIGHT
    for sent_at in load.sent_at.values():
        age = now - sent_at
        if age <= 3.0 * typical_s:
            break
        # An outstanding request has taken at least its age.
        total += age
        weight += 1.0
    return total / weight / typical_s


def typical_latency_s(loads: list[TargetLoad]) -> float:
    """Give the median latency of the targets that have answered."""
    known = sorted(load.latency_s for load in loads if load.latency_weight > 0.0)
    return known[len(known) // 2] if known else 0.0


def review(service: ServiceHealth, loads: list[TargetLoad], now: float) -> list[TargetLoad]:
    """Update the verdicts of a service when due; return the targets whose verdict changed."""
    if now - service.reviewed_at < REVIEW_INTERVAL_S:
        return []
    service.reviewed_at = now
    service.typical_s = typical_latency_s(loads)
    if service.latencies:
        ordered = sorted(service.latencies)
        service.p95_s = ordered[int(0.95 * (len(ordered) - 1))]
    return apply_verdicts(service, loads, now)


def apply_verdicts(service: ServiceHealth, loads: list[TargetLoad], now: float) -> list[TargetLoad]:
    """Set new verdicts, with at most a third of the targets avoided at once."""
    judged = [(judge(load, service.typical_s, now), load) for load in loads]
    worst = sorted(
        (load for found, load in judged if found == Verdict.AVOIDED),
        key=lambda load: -slowness(load, service.typical_s, now) - load.consecutive_failures,
    )
    allowed = int(len(loads) * MAX_AVOIDED_SHARE)
    spared = {id(load) for load in worst[allowed:]}
    changed = []
    for found, load in judged:
        new = Verdict.SUSPECT if id(load) in spared else found
        if new == load.verdict:
            continue
        enter_verdict(load, new, now)
        changed.append(load)
    return changed


def enter_verdict(load: TargetLoad, new: Verdict, now: float) -> None:
    """Change the verdict; a target that returns is ramped up."""
    if new == Verdict.AVOIDED:
        load.avoided_since = now
        load.next_trial_at = now + TRIAL_INTERVAL_S
    if load.verdict == Verdict.AVOIDED:
        load.ramp_until = now + RAMP_S
    load.verdict = new

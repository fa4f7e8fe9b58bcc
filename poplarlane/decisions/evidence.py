"""Record what the traffic of one entry shows about its targets.

Every estimate carries the time at which it was true, and its weight falls with age. Evidence of a
fault is kept as `doubt`: the log-likelihood ratio between a target that is five times slower than
its peers (or fails half of its requests) and a healthy one, never below 0, as in a CUSUM test.
"""

import math

from poplarlane.decisions import verdicts
from poplarlane.types import TargetLoad, Verdict

LATENCY_MEMORY_S = 10.0
MAX_LATENCY_WEIGHT = 32.0
ERROR_GAIN = 0.2
ERROR_MEMORY_S = 5.0
SUSPICION_MEMORY_S = 10.0
MAX_SUSPICION = 12.0
# A single slow answer must not pass the threshold alone: heavy tails occur at healthy targets.
MAX_SUSPICION_PER_ANSWER = 5.0
SLOW_FACTOR = 5.0
SLOW_GAIN = 1.0 - 1.0 / SLOW_FACTOR
SLOW_OFFSET = math.log(SLOW_FACTOR)
# Least weight of a request that was cancelled later than the p95: what that age weighs with
# exponential times, three typical latencies. With fixed times the p95 is near the typical latency,
# which alone would never count against a target whose reads are all hedged and cancelled.
MIN_LATE_EVIDENCE = SLOW_GAIN * 3.0 - SLOW_OFFSET
FAULTY_ERROR_RATE = 0.5
MIN_ERROR_RATE = 0.02
PEER_SUSPICION = {Verdict.HEALTHY: 0.0, Verdict.SUSPECT: 1.5, Verdict.AVOIDED: 3.0}
# What peers say counts once this entry has evidence of its own, so that an entry with a faulty
# network cannot mislead the others. After a failure it counts more: with the word of two peers one
# failure is enough. For slow targets, 4.9 doubled the false verdicts with log-normal times.
MAX_PEER_SUSPICION = 4.9
MAX_PEER_SUSPICION_IF_SLOW = 3.9
MIN_OWN_SUSPICION = 1.0
# In a busy service the same number in this many reports in a row shows that it is not measured.
FROZEN_REPORTS = 16
# A request that is outstanding for longer has reached its target, connection set-up included.
ARRIVAL_SLACK_S = 0.01
SHED_PAUSE_S = 0.05
MAX_SHED_PAUSE_S = 1.0
# A refusal shows that the target was full; it counts as this many requests per reported one.
SHED_IN_FLIGHT = 12.0


class ServiceHealth:
    """Hold what one entry knows about a whole service."""

    __slots__ = (
        "latencies",
        "position",
        "typical_s",
        "p95_s",
        "fast_s",
        "review_at",
        "quantiles_at",
    )

    SAMPLES = 256

    def __init__(self) -> None:
        # Ring of recent latencies of successful answers.
        self.latencies: list[float] = []
        self.position = 0
        # Latency of the median target, without the distance to it; 0 is unknown.
        self.typical_s = 0.0
        self.p95_s = 0.0
        # Tenth percentile: the shortest time that an answer can be expected to take.
        self.fast_s = 0.0
        # Instants from which the next review and the next quantiles are due.
        self.review_at = -math.inf
        self.quantiles_at = -math.inf


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
    """Stop counting a request, whatever its outcome; call it before the other observations."""
    sent_at = load.sent_at.pop(request_id, None)
    if sent_at is None:
        return
    load.outstanding -= 1
    if sent_at > load.reported_at and load.sent_since_report > 0:
        load.sent_since_report -= 1


def observe_abandoned(
    service: ServiceHealth, load: TargetLoad, request_id: int, now: float
) -> None:
    """Stop counting a request that was cancelled; its age counts as a lower bound.

    Otherwise a hedge would hide the slow target that made it necessary.
    """
    sent_at = load.sent_at.get(request_id)
    observe_end(load, request_id)
    if sent_at is None:
        return
    age_s = now - sent_at
    evidence = latency_evidence(age_s - load.rtt_s, load.typical_s)
    if age_s >= service.p95_s > 0.0:
        observe_latency(service, age_s)
        evidence = max(evidence, MIN_LATE_EVIDENCE)
    if evidence > 0.0:
        add_suspicion(load, evidence, now)
        if load.verdict == Verdict.AVOIDED:
            verdicts.observe_trial(load, False, age_s, now)


def observe_answer(load: TargetLoad, latency_s: float, ok: bool, now: float) -> None:
    """Record an answer; `ok` is false for a server error, but a shed request is `observe_shed`."""
    load.answers += 1
    load.consecutive_sheds = 0
    load.consecutive_failures = 0 if ok else load.consecutive_failures + 1
    record_error(load, 0.0 if ok else 1.0, now)
    if ok:
        # The latency of a failure says nothing about how fast the target works.
        record_latency(load, latency_s - load.rtt_s, now)
    else:
        add_suspicion(load, failure_evidence(load), now)
    if load.verdict == Verdict.AVOIDED:
        verdicts.observe_trial(load, ok, latency_s - load.rtt_s, now)


def record_error(load: TargetLoad, error: float, now: float) -> None:
    """Fold one outcome into the target's decayed error rate."""
    kept = load.error_rate * math.exp((load.error_at - now) / ERROR_MEMORY_S)
    load.error_rate = kept + ERROR_GAIN * (error - kept)
    load.error_at = now


def record_latency(load: TargetLoad, latency_s: float, now: float) -> None:
    """Fold one latency into the target's decayed mean and into the doubt."""
    kept = load.latency_weight * math.exp((load.latency_at - now) / LATENCY_MEMORY_S)
    kept = min(kept, MAX_LATENCY_WEIGHT - 1.0)
    load.latency_weight = kept + 1.0
    load.latency_s = (load.latency_s * kept + latency_s) / load.latency_weight
    load.latency_at = now
    evidence = latency_evidence(latency_s, load.typical_s)
    evidence += math.log((1 - FAULTY_ERROR_RATE) / (1 - base_error_rate(load)))
    add_suspicion(load, evidence, now)


def latency_evidence(latency_s: float, typical_s: float) -> float:
    """Weigh one latency: positive when it fits a slow target better than a healthy one."""
    if typical_s <= 0.0:
        return 0.0
    return min(MAX_SUSPICION_PER_ANSWER, SLOW_GAIN * latency_s / typical_s - SLOW_OFFSET)


def failure_evidence(load: TargetLoad) -> float:
    """Weigh one failure; failures that the service's other targets share prove nothing."""
    return max(0.0, math.log(FAULTY_ERROR_RATE / base_error_rate(load)))


def base_error_rate(load: TargetLoad) -> float:
    """Give the error rate of the service's median target, within the range of the test."""
    return min(FAULTY_ERROR_RATE, max(MIN_ERROR_RATE, load.typical_error_rate))


def add_suspicion(load: TargetLoad, evidence: float, now: float) -> None:
    """Add evidence to the decayed doubt; good answers first cancel what peers said."""
    if evidence < 0.0 and load.peer_suspicion > 0.0:
        load.peer_suspicion = max(0.0, load.peer_suspicion + evidence)
    kept = load.suspicion * math.exp((load.suspicion_at - now) / SUSPICION_MEMORY_S)
    load.suspicion = min(MAX_SUSPICION, max(0.0, kept + evidence))
    load.suspicion_at = now


def observe_failure(load: TargetLoad, now: float) -> None:
    """Record a request that got no answer: refused connection, reset or timeout."""
    observe_answer(load, 0.0, False, now)


def observe_unreachable(load: TargetLoad, now: float) -> None:
    """Record a failed connection, and pause the target, longer with each failure in a row.

    Nothing listens there, so the bound on avoided targets must not make requests try it again.
    """
    observe_failure(load, now)
    row = min(load.consecutive_failures, 16)
    load.shed_until = now + min(MAX_SHED_PAUSE_S, SHED_PAUSE_S * 2.0 ** (row - 1))


def observe_shed(load: TargetLoad, now: float) -> None:
    """Record a refusal as not run: pause the target, longer with each refusal in a row."""
    load.shed_until = now + min(MAX_SHED_PAUSE_S, SHED_PAUSE_S * 2.0**load.consecutive_sheds)
    load.consecutive_sheds = min(load.consecutive_sheds + 1, 16)
    load.reported_in_flight = max(load.reported_in_flight, SHED_IN_FLIGHT)
    load.reported_at = now


def observe_report(load: TargetLoad, in_flight: float, at: float, now: float) -> None:
    """Record a load report (running plus queued) that was true at `at`; older ones are ignored."""
    if at < load.reported_at or at > now or in_flight < 0.0:
        return
    same = in_flight == load.reported_in_flight
    load.report_repeats = load.report_repeats + 1 if same else 0
    if len(load.sent_at) > in_flight and in_flight < arrived_before(load, at):
        # It cannot be true: not even this entry's own requests are counted.
        load.report_repeats = max(load.report_repeats, FROZEN_REPORTS)
    load.reported_in_flight = in_flight
    load.reported_at = at
    load.sent_since_report = sum(1 for sent_at in load.sent_at.values() if sent_at > at)


def arrived_before(load: TargetLoad, at: float) -> int:
    """Count the outstanding requests that must have been at the target at an instant."""
    limit = at - load.rtt_s - ARRIVAL_SLACK_S
    return sum(1 for sent_at in load.sent_at.values() if sent_at <= limit)


def observe_probe(load: TargetLoad, in_flight: float, at: float, now: float) -> None:
    """Record a probe result that was true at `at`.

    All entries hear of a probe at once. A low number must not send them all to the same target,
    so it serves the probe pool only; a high one also replaces an older report.
    """
    if at <= load.probed_at or at > now or in_flight < 0.0:
        return
    load.probed_in_flight = in_flight
    load.probed_at = at
    if at > load.reported_at and in_flight > load.reported_in_flight:
        load.reported_in_flight = in_flight
        load.reported_at = at


def observe_peer_verdict(load: TargetLoad, verdict: Verdict, expires_at: float, now: float) -> None:
    """Record what another entry concluded; it counts until `expires_at`."""
    if now >= load.peer_verdict_expires_at:
        load.peer_suspicion = 0.0
    if verdict == Verdict.HEALTHY and load.peer_verdict == Verdict.AVOIDED:
        verdicts.advance_trial(load, now)
    load.peer_suspicion = min(MAX_PEER_SUSPICION, load.peer_suspicion + PEER_SUSPICION[verdict])
    load.peer_verdict = verdict
    load.peer_verdict_expires_at = expires_at


def current_error_rate(load: TargetLoad, now: float) -> float:
    """Give the error estimate, decayed to now."""
    return load.error_rate * math.exp((load.error_at - now) / ERROR_MEMORY_S)


def current_suspicion(load: TargetLoad, now: float) -> float:
    """Give the evidence of a fault now: own answers, outstanding requests and peers."""
    suspicion = load.suspicion * math.exp((load.suspicion_at - now) / SUSPICION_MEMORY_S)
    if load.sent_at and load.typical_s > 0.0:
        # An outstanding request will take at least its age.
        for sent_at in load.sent_at.values():
            evidence = latency_evidence(now - sent_at - load.rtt_s, load.typical_s)
            if evidence <= 0.0:
                break
            suspicion += evidence
    if suspicion >= MIN_OWN_SUSPICION and now < load.peer_verdict_expires_at:
        failing = load.consecutive_failures > 0
        suspicion += (
            load.peer_suspicion if failing else min(load.peer_suspicion, MAX_PEER_SUSPICION_IF_SLOW)
        )
    return suspicion

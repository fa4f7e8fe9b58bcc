"""Passive health checking: estimates of target health from one entry's own traffic.

Every estimate has the time at which it was made, and its weight decays with age. Evidence of a
fault accumulates as suspicion: the log-likelihood ratio between a target that is five times slower
than its peers (or fails half of its requests) and a healthy one, never below 0, as in a CUSUM test.
"""

import math

from poplarlane.decisions.health import verdicts
from poplarlane.types import TargetLoad, Verdict

LATENCY_MEMORY_S = 10.0
MAX_LATENCY_WEIGHT = 32.0
ERROR_GAIN = 0.2
ERROR_MEMORY_S = 5.0
SUSPICION_MEMORY_S = 10.0
MAX_SUSPICION = 12.0
# Below AVOIDED_THRESHOLD, so that one slow response alone does not eject a target: latencies of
# healthy targets have heavy tails.
MAX_SUSPICION_PER_ANSWER = 5.0
SLOW_FACTOR = 5.0
SLOW_GAIN = 1.0 - 1.0 / SLOW_FACTOR
SLOW_OFFSET = math.log(SLOW_FACTOR)
# Least evidence of a request that was cancelled later than the p95. With exponential service times
# the p95 is three typical latencies, and this is the evidence of that age. With constant service
# times the p95 is near the typical latency, so without this minimum a target whose reads are all
# hedged and cancelled would never become suspicious.
MIN_LATE_EVIDENCE = SLOW_GAIN * 3.0 - SLOW_OFFSET
FAULTY_ERROR_RATE = 0.5
MIN_ERROR_RATE = 0.02
PEER_SUSPICION = {Verdict.HEALTHY: 0.0, Verdict.SUSPECT: 1.5, Verdict.AVOIDED: 3.0}
# Verdicts of peers count only once this entry has evidence of its own, so that an entry with a
# faulty network cannot mislead the others. They count more after a failure: with the verdicts of
# two peers, one failure is enough. For slow targets a maximum of 4.9 doubled the false verdicts
# under log-normal service times.
MAX_PEER_SUSPICION = 4.9
MAX_PEER_SUSPICION_IF_SLOW = 3.9
MIN_OWN_SUSPICION = 1.0
# In a busy service, the same load in this many consecutive reports means that it is not measured.
FROZEN_REPORTS = 16
# Allows for connection set-up: a request outstanding for longer than the round trip to its
# target plus this time has arrived.
ARRIVAL_SLACK_S = 0.01
SHED_PAUSE_S = 0.05
MAX_SHED_PAUSE_S = 1.0
# A shed request shows that the target was full; the target is then taken to have at least this
# many requests in flight.
SHED_IN_FLIGHT = 12.0


class ServiceHealth:
    """Latency statistics of one entry for a whole service."""

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
        # Ring buffer of recent latencies of successful responses.
        self.latencies: list[float] = []
        self.position = 0
        # Latency of the median target, without the network round trip; 0 if unknown.
        self.typical_s = 0.0
        self.p95_s = 0.0
        # Tenth percentile: the shortest time in which a response can be expected.
        self.fast_s = 0.0
        # When the next review and the next update of the quantiles are due.
        self.review_at = -math.inf
        self.quantiles_at = -math.inf


def observe_latency(service: ServiceHealth, latency_s: float) -> None:
    """Record the latency of a successful response from any target of the service."""
    if len(service.latencies) < ServiceHealth.SAMPLES:
        service.latencies.append(latency_s)
        return
    service.latencies[service.position] = latency_s
    service.position = (service.position + 1) % ServiceHealth.SAMPLES


def observe_sent(load: TargetLoad, request_id: int, now: float) -> None:
    """Count a request as outstanding from its assignment to the target."""
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
    """Stop counting a request that was cancelled; its age is a lower bound of its latency.

    Without this, hedging would hide the slow target that made the hedge necessary.
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


def observe_answer(
    load: TargetLoad, latency_s: float, ok: bool, now: float, slowdown: float = 1.0
) -> None:
    """Record a response; `ok` is false for a server error. Use `observe_shed` for shed requests.

    `slowdown` is what the target reported of its VM: that explains a slow trial, and passes.
    """
    load.answers += 1
    load.consecutive_sheds = 0
    load.consecutive_failures = 0 if ok else load.consecutive_failures + 1
    record_error(load, 0.0 if ok else 1.0, now)
    if ok:
        # The latency of a failure does not tell how fast the target works.
        record_latency(load, latency_s - load.rtt_s, now)
    else:
        add_suspicion(load, failure_evidence(load), now)
    if load.verdict == Verdict.AVOIDED:
        verdicts.observe_trial(load, ok, (latency_s - load.rtt_s) / max(1.0, slowdown), now)


def record_error(load: TargetLoad, error: float, now: float) -> None:
    """Update the target's decaying error rate with one outcome."""
    decayed = load.error_rate * math.exp((load.error_at - now) / ERROR_MEMORY_S)
    load.error_rate = decayed + ERROR_GAIN * (error - decayed)
    load.error_at = now


def record_latency(load: TargetLoad, latency_s: float, now: float) -> None:
    """Update the target's decaying mean latency and its suspicion with one latency."""
    weight = load.latency_weight * math.exp((load.latency_at - now) / LATENCY_MEMORY_S)
    weight = min(weight, MAX_LATENCY_WEIGHT - 1.0)
    load.latency_weight = weight + 1.0
    load.latency_s = (load.latency_s * weight + latency_s) / load.latency_weight
    load.latency_at = now
    evidence = latency_evidence(latency_s, load.typical_s)
    evidence += math.log((1 - FAULTY_ERROR_RATE) / (1 - base_error_rate(load)))
    add_suspicion(load, evidence, now)


def latency_evidence(latency_s: float, typical_s: float) -> float:
    """Return the evidence of one latency: positive if a slow target is more likely than not."""
    if typical_s <= 0.0:
        return 0.0
    return min(MAX_SUSPICION_PER_ANSWER, SLOW_GAIN * latency_s / typical_s - SLOW_OFFSET)


def failure_evidence(load: TargetLoad) -> float:
    """Return the evidence of one failure; 0 if the service's other targets fail as often."""
    return max(0.0, math.log(FAULTY_ERROR_RATE / base_error_rate(load)))


def base_error_rate(load: TargetLoad) -> float:
    """Return the error rate of the service's median target, clamped to the range of the test."""
    return min(FAULTY_ERROR_RATE, max(MIN_ERROR_RATE, load.typical_error_rate))


def add_suspicion(load: TargetLoad, evidence: float, now: float) -> None:
    """Add evidence to the decaying suspicion; good responses also reduce that from peers."""
    if evidence < 0.0 and load.peer_suspicion > 0.0:
        load.peer_suspicion = max(0.0, load.peer_suspicion + evidence)
    decayed = load.suspicion * math.exp((load.suspicion_at - now) / SUSPICION_MEMORY_S)
    load.suspicion = min(MAX_SUSPICION, max(0.0, decayed + evidence))
    load.suspicion_at = now


def observe_failure(load: TargetLoad, now: float) -> None:
    """Record a request without a response: refused connection, reset or timeout."""
    observe_answer(load, 0.0, False, now)


def observe_unreachable(load: TargetLoad, now: float) -> None:
    """Record a failed connection and pause the target, with exponential backoff.

    The pause is needed because the limit on the share of avoided targets could otherwise send
    requests to an address where nothing listens.
    """
    observe_failure(load, now)
    failures = min(load.consecutive_failures, 16)
    load.shed_until = now + min(MAX_SHED_PAUSE_S, SHED_PAUSE_S * 2.0 ** (failures - 1))


def observe_shed(load: TargetLoad, now: float) -> None:
    """Record a request that the target shed, and pause the target with exponential backoff."""
    load.shed_until = now + min(MAX_SHED_PAUSE_S, SHED_PAUSE_S * 2.0**load.consecutive_sheds)
    load.consecutive_sheds = min(load.consecutive_sheds + 1, 16)
    load.reported_in_flight = max(load.reported_in_flight, SHED_IN_FLIGHT)
    load.reported_at = now


def observe_report(load: TargetLoad, in_flight: float, at: float, now: float) -> None:
    """Record a load report (running plus queued) measured at `at`; older ones are ignored."""
    if at < load.reported_at or at > now or in_flight < 0.0:
        return
    unchanged = in_flight == load.reported_in_flight
    load.report_repeats = load.report_repeats + 1 if unchanged else 0
    if len(load.sent_at) > in_flight and in_flight < arrived_before(load, at):
        # The report is wrong: it does not even count this entry's own requests.
        load.report_repeats = max(load.report_repeats, FROZEN_REPORTS)
    load.reported_in_flight = in_flight
    load.reported_at = at
    load.sent_since_report = sum(1 for sent_at in load.sent_at.values() if sent_at > at)


def arrived_before(load: TargetLoad, at: float) -> int:
    """Count the outstanding requests that must have arrived at the target by `at`."""
    limit = at - load.rtt_s - ARRIVAL_SLACK_S
    return sum(1 for sent_at in load.sent_at.values() if sent_at <= limit)


def observe_probe(load: TargetLoad, in_flight: float, at: float, now: float) -> None:
    """Record a probe result measured at `at`.

    All entries receive a probe result at the same time. A low load must not send them all to the
    same target, so only the probe pool uses it; a high load also replaces an older report.
    """
    if at <= load.probed_at or at > now or in_flight < 0.0:
        return
    load.probed_in_flight = in_flight
    load.probed_at = at
    if at > load.reported_at and in_flight > load.reported_in_flight:
        load.reported_in_flight = in_flight
        load.reported_at = at


def observe_peer_verdict(load: TargetLoad, verdict: Verdict, expires_at: float, now: float) -> None:
    """Record another entry's verdict, which is valid until `expires_at`."""
    if now >= load.peer_verdict_expires_at:
        load.peer_suspicion = 0.0
    if verdict == Verdict.HEALTHY and load.peer_verdict == Verdict.AVOIDED:
        verdicts.advance_trial(load, now)
    load.peer_suspicion = min(MAX_PEER_SUSPICION, load.peer_suspicion + PEER_SUSPICION[verdict])
    load.peer_verdict = verdict
    load.peer_verdict_expires_at = expires_at


def current_error_rate(load: TargetLoad, now: float) -> float:
    """Return the error rate, decayed to now."""
    return load.error_rate * math.exp((load.error_at - now) / ERROR_MEMORY_S)


def current_suspicion(load: TargetLoad, now: float) -> float:
    """Return the suspicion now, from own responses, outstanding requests and peers' verdicts."""
    suspicion = load.suspicion * math.exp((load.suspicion_at - now) / SUSPICION_MEMORY_S)
    if load.sent_at and load.typical_s > 0.0:
        # The age of an outstanding request is a lower bound of its latency.
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

"""Synchronous probing: ask a few targets for their load before a request is sent to the best.

An entry of a large fleet sees so few responses that its knowledge of a target's load is out of
date. A round of probes costs one round trip in the data centre; the choice waits until all are
answered or a short timeout passes. The rate of probes per target is limited over the whole fleet.
"""

from poplarlane.decisions.choice import completion
from poplarlane.decisions.cold import cold_permits
from poplarlane.decisions.effects import Effect
from poplarlane.decisions.health.trials import usable_targets
from poplarlane.decisions.requests.entry_effects import ProbeTarget, SetTimer
from poplarlane.decisions.requests.entry_state import (
    EntryState,
    Probe,
    Request,
    ServiceState,
    TimerKind,
    add_timer,
)
from poplarlane.types import TargetLoad

PROBES_PER_ROUND = 2
# Most probes are answered within 3 ms.
ROUND_TIMEOUT_S = 0.012
# A target that has not answered a probe by then is considered hung.
PROBE_REPLY_TIMEOUT_S = 0.25
# A target with a report younger than this is not probed.
FRESH_REPORT_S = 0.01
# For this long a target that was seen slow or full is probed after the others.
SLOW_REPORT_S = 0.2
# A target with an overdue request that has sent nothing for this long is probed.
SILENT_AFTER_S = 0.1
# A target that answered within this time still has a kept connection; these close after 7 s idle.
KEPT_CONNECTION_S = 5.0
# A new connection costs a round trip and 1 ms of a slot at the target. The value is less than the
# delay to another data centre, so that nearby targets are still probed first.
NEW_CONNECTION_S = 0.0008
# With up to this many targets, a node has a kept connection to each of them anyway.
MAX_ALWAYS_CONNECTED = 20
# One round in this many ignores whether targets have a kept connection, so that new targets soon
# get requests.
EXPLORATION_PERIOD = 8
# Another round follows if the best target is expected to take more than this multiple of the usual
# time.
SECOND_ROUND_RATIO = 1.6


def rank_targets(
    service: ServiceState,
    targets: list[TargetLoad],
    tried: list[TargetLoad],
    service_time_s: float,
    now: float,
    random_value: int,
) -> list[TargetLoad]:
    """Rank the usable targets for probing, by estimated cost."""
    awake = [load for load in targets if load.statements.paused_until <= now]
    usable = usable_targets(awake, now, random_value) or awake
    untried = [load for load in usable if load not in tried] or usable
    count = len(untried)
    start = random_value % count if count else 0
    rotated = untried[start:] + untried[:start]
    slots = service.limits.slots_per_target
    is_exploring = (random_value >> 56) % EXPLORATION_PERIOD == 0
    new_connection_s = 0.0 if is_exploring or count <= MAX_ALWAYS_CONNECTED else NEW_CONNECTION_S
    rotated.sort(
        key=lambda load: estimated_cost(load, slots, service_time_s, new_connection_s, now)
    )
    if service.cold_until > now:
        offer_cold_target(rotated, now)
    return rotated


def offer_cold_target(ranked: list[TargetLoad], now: float) -> None:
    """Let a cold target with a permit be probed beside the best one, because permits soon lapse."""
    for index, load in enumerate(ranked):
        if index > 1 and cold_permits.is_limited(load, now):
            ranked.insert(1, ranked.pop(index))
        if index > 0 and cold_permits.is_limited(load, now):
            return


def estimated_cost(
    load: TargetLoad, slots: int, service_time_s: float, new_connection_s: float, now: float
) -> float:
    """Estimate the cost of a target before a probe: lower if near, higher if seen full or failing.

    A node of a large fleet has one or two requests a second. If it probed any of some hundred
    targets, nearly every probe would open a connection, so it prefers recently used targets.
    """
    cost = load.rtt_s + completion.failure_cost_s(load, service_time_s, now)
    if now - load.measured_at > KEPT_CONNECTION_S:
        cost += new_connection_s
    cost += load.probes_in_flight * 0.01
    if now - load.measured_at < SLOW_REPORT_S:
        cost += 0.02 * max(0.0, load.slowdown - 1.0)
        cost += 0.02 * max(0, completion.requests_at_target(load) - slots + 2)
    return cost


def start_round(
    state: EntryState,
    request: Request,
    targets: list[TargetLoad],
    now: float,
    random_value: int,
    effects: list[Effect],
) -> bool:
    """Probe a few targets for a request; return whether the request has to wait for results."""
    service = request.service
    excluded = request.tried + [attempt.load for attempt in request.attempts]
    excluded += request.probed
    ranked = rank_targets(service, targets, excluded, request.service_time_s, now, random_value)
    chosen = ranked[:PROBES_PER_ROUND]
    stale = [
        load
        for load in chosen
        if now - load.measured_at > FRESH_REPORT_S and not load.probes_in_flight
    ]
    allowed = state.probe_allowance.take(len(stale), now)
    request.probed += chosen
    can_probe = all(load.target.probe_path for load in stale)
    request.may_use_old_reports = allowed < len(stale) or not can_probe
    if not allowed:
        return False
    for load in stale[:allowed]:
        if load.target.probe_path:
            send_probe(state, request, load, now, effects)
    if not request.pending_probes:
        return False
    if add_timer(state, now + ROUND_TIMEOUT_S, TimerKind.PROBE_END, request.request_id):
        effects.append(SetTimer(state.timer_at))
    return True


def probe_if_silent(
    state: EntryState, request: Request, load: TargetLoad, now: float, effects: list[Effect]
) -> None:
    """Probe the target of an overdue request unless it has recently sent something.

    A working target answers at once. One whose VM is gone does not, and so is detected well before
    the caller's deadline.
    """
    if (
        load.probes_in_flight
        or now - load.measured_at < SILENT_AFTER_S
        or not load.target.probe_path
    ):
        return
    if state.probe_allowance.take(1, now):
        send_probe(state, request, load, now, effects)


def is_lost(load: TargetLoad, now: float) -> bool:
    """Return whether the most recent contact with a target failed and it is still paused."""
    return load.consecutive_failures > 0 and load.shed_until > now


def send_probe(
    state: EntryState, request: Request, load: TargetLoad, now: float, effects: list[Effect]
) -> None:
    """Probe one target for a request."""
    probe_id = state.next_attempt_id
    state.next_attempt_id = probe_id + 1
    load.probes_in_flight += 1
    state.probes[probe_id] = Probe(request, load, now)
    request.pending_probes.add(probe_id)
    effects.append(ProbeTarget(probe_id, load.target))
    if add_timer(state, now + PROBE_REPLY_TIMEOUT_S, TimerKind.PROBE_LIMIT, probe_id):
        effects.append(SetTimer(state.timer_at))

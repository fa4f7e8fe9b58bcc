"""Ask a few targets for their load right before a request goes to the best of them.

An entry of a large fleet sees so few answers that what it knows of a target is older than the
target's load. A round of probes costs one round trip in the data centre; the choice waits for all
of them or for a short limit. A bounded rate of probes per target holds over the whole fleet.
"""

from poplarlane.decisions import completion
from poplarlane.decisions.effects import Effect
from poplarlane.decisions.entry_effects import ProbeTarget, SetTimer
from poplarlane.decisions.entry_state import (
    EntryState,
    Probe,
    Request,
    ServiceState,
    TimerKind,
    add_timer,
)
from poplarlane.decisions.trials import usable_targets
from poplarlane.types import TargetLoad

PROBES_PER_ROUND = 2
# The choice does not wait longer than this for probes; most answer within 3 ms.
ROUND_TIMEOUT_S = 0.012
# A probe that has no answer by then tells that the target hangs.
PROBE_REPLY_TIMEOUT_S = 0.25
# A report of this age is as good as a new probe.
FRESH_REPORT_S = 0.01
# A target that holds an overdue request and told nothing for this long is asked if it is there.
SILENT_AFTER_S = 0.1
# A target heard of within this time has a kept connection; these are closed after 7 s of idleness.
KEPT_CONNECTION_S = 5.0
# A new connection takes a round trip, and 1 ms of a slot at the target; less than a request to
# another data centre, so that targets nearby are still asked first.
NEW_CONNECTION_S = 0.0008
# Of so many targets a node keeps a connection to each anyway.
MAX_ALWAYS_CONNECTED = 20
# One round in so many asks targets without a kept connection as readily as others, so that targets
# that joined get work soon.
EXPLORATION_PERIOD = 8
# Another round follows when the best target takes this multiple of the usual time.
SECOND_ROUND_RATIO = 1.6


def rank_targets(
    service: ServiceState,
    targets: list[TargetLoad],
    tried: list[TargetLoad],
    service_time_s: float,
    now: float,
    draw: int,
) -> list[TargetLoad]:
    """List the targets worth a probe, best guess first."""
    usable = usable_targets(targets, now, draw) or targets
    fresh = [load for load in usable if load not in tried] or usable
    count = len(fresh)
    start = draw % count if count else 0
    turned = fresh[start:] + fresh[:start]
    slots = service.limits.slots_per_target
    is_exploring = count <= MAX_ALWAYS_CONNECTED or (draw >> 56) % EXPLORATION_PERIOD == 0
    new_connection_s = 0.0 if is_exploring else NEW_CONNECTION_S
    turned.sort(key=lambda load: estimated_cost(load, slots, service_time_s, new_connection_s, now))
    return turned


def estimated_cost(
    load: TargetLoad, slots: int, service_time_s: float, new_connection_s: float, now: float
) -> float:
    """Order targets before a probe: near ones first, and those last seen full or failing last.

    A node of a large fleet has a request or two a second. Asking any of some hundred targets, it
    would open a connection for nearly every probe, so it prefers those that it was at lately.
    """
    cost = load.rtt_s + load.penalty_s + completion.failure_cost_s(load, service_time_s, now)
    if now - load.measured_at > KEPT_CONNECTION_S:
        cost += new_connection_s
    if load.probes_in_flight:
        cost += load.probes_in_flight * 0.01
    if now - load.measured_at < 2.0 * completion.SLOWDOWN_MEMORY_S:
        cost += 0.02 * max(0.0, load.slowdown - 1.0)
        cost += 0.02 * max(0, completion.requests_at_target(load) - slots + 2)
    return cost


def start_round(
    state: EntryState,
    request: Request,
    targets: list[TargetLoad],
    now: float,
    draw: int,
    effects: list[Effect],
) -> bool:
    """Probe a few targets for a request; false when nothing needs to be waited for."""
    service = request.service
    excluded = request.tried + [attempt.load for attempt in request.attempts]
    excluded += request.probed
    wanted = rank_targets(service, targets, excluded, request.service_time_s, now, draw)
    chosen = wanted[:PROBES_PER_ROUND]
    stale = [
        load
        for load in chosen
        if now - load.measured_at > FRESH_REPORT_S and not load.probes_in_flight
    ]
    allowed = state.probe_allowance.take(len(stale), now)
    request.probed += chosen
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
    """Probe the target that holds an overdue request unless it was heard of lately.

    A target that works answers at once; one whose VM is gone does not, and shows it so well before
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
    """Tell whether the last thing heard of a target is that it does not answer."""
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

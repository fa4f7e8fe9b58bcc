"""Which agents watch the platform, and when they call it."""

import random

from poplarlane.decisions.configuration import (
    intake,
    verification,
)
from poplarlane.decisions.effects import Effect, Log
from poplarlane.decisions.membership import membership
from poplarlane.decisions.membership.agent_effects import ListObjects, ListVms, WatchObjects
from poplarlane.decisions.membership.agent_events import PlatformFailed, PlatformObjects
from poplarlane.decisions.membership.agent_state import AgentState
from poplarlane.objects import SERVICES_KIND

# Shorter than PLATFORM_CONTACT_TIMEOUT_S, after which other agents start to watch.
WATCH_WAIT_MS = 2_000
PLATFORM_CONTACT_TIMEOUT_S = 6.0
# A full list recovers changes missed by a stale list followed by a watch. With 350 services of 4 KB
# each, one list a minute alone would exceed the budget of 19 KB/s for control work.
RELIST_S = 900.0
MAX_BACKOFF_S = 2.0
INITIAL_BACKOFF_S = 0.25
# Pause after a watch that returned early without changes, to avoid a tight loop. A watch that took
# its full time is followed by the next at once, because a change could be missed in between.
EARLY_WATCH_PAUSE_S = 0.2
HTTP_GONE = 410
# Size of one row of the VM list, and average bandwidth per agent for fetching the list.
LIST_ROW_BYTES = 130
LIST_BYTES_PER_S = 4_000.0


def decide_watching(state: AgentState, generator: random.Random) -> list[Effect]:
    """Decide by rendezvous hashing whether this agent watches for its data centre."""
    peers = membership.live_peers(state)
    names = [peer.name for peer in peers if peer.data_centre == state.data_centre]
    ranked = membership.rank_by_hash(f"watch/{state.data_centre}", [*names, state.name])
    chosen = state.name in ranked[: state.watchers] and not state.stopping
    watching = chosen or must_watch_as_fallback(state, generator, len(names) + 1)
    if watching == state.watch.watching:
        return []
    state.watch.watching = watching
    return [Log("watching" if watching else "not_watching", "info", {})]


def must_watch_as_fallback(state: AgentState, generator: random.Random, local_agents: int) -> bool:
    """Return whether this agent watches because no agent has heard from the platform recently.

    The random delay grows with the number of agents in the data centre, so that the total rate of
    calls during an outage does not.
    """
    watch = state.watch
    if state.now - watch.answered_at < PLATFORM_CONTACT_TIMEOUT_S:
        watch.fallback_at = 0.0
        return False
    if watch.fallback_at == 0.0:
        watch.fallback_at = state.now + generator.uniform(0.0, 2.0 * local_agents)
    if state.now < watch.fallback_at:
        return False
    if watch.failures > 0:
        watch.fallback_at = state.now + generator.uniform(0.0, 4.0 * local_agents)
        watch.failures = 0
        return False
    return True


def tick(state: AgentState, generator: random.Random) -> list[Effect]:
    """Start the platform calls that are due."""
    return list_vms(state) + call_platform(state, generator)


def call_platform(state: AgentState, generator: random.Random) -> list[Effect]:
    """Start the next list or watch when it is due."""
    watch = state.watch
    if not watch.watching or watch.call_pending or state.now < watch.next_at:
        return []
    watch.call_pending = True
    watch.called_at = watch.tried_at = state.now
    relist_at = watch.listed_at + RELIST_S * generator.uniform(1.0, 1.5)
    if watch.since is None or state.now > relist_at:
        return [ListObjects(SERVICES_KIND)]
    return [WatchObjects(SERVICES_KIND, watch.since, WATCH_WAIT_MS)]


def list_vms(state: AgentState) -> list[Effect]:
    """Fetch the list of VMs when it is this agent's turn.

    Agents take turns in the order of their names, so that the number of calls does not grow with
    the fleet and the cost of a long list is shared equally.
    """
    watch = state.watch
    if state.wall < watch.vm_list_slot_ends or watch.vm_list_pending or state.stopping:
        return []
    # An agent that does not know the others yet would claim every turn. When a quarter of 85 agents
    # restarted at once, each of them fetched the list.
    if state.peers and not state.verification.ready:
        return []
    names = [peer.name for peer in membership.live_peers(state) if peer.contacted]
    interval_s = vm_list_interval_s(state, len(names) + 1)
    slot = int(state.wall / interval_s)
    watch.vm_list_slot_ends = (slot + 1) * interval_s
    turns = sorted([*names, state.name])
    if turns[slot % len(turns)] != state.name:
        return []
    watch.vm_list_pending = True
    return [ListVms()]


def vm_list_interval_s(state: AgentState, agents: int) -> float:
    """Return the interval between VM lists, longer for long lists and few agents."""
    list_bytes = len(state.facts) * LIST_ROW_BYTES
    return max(state.vm_list_interval_s, list_bytes / (agents * LIST_BYTES_PER_S))


def on_objects(event: PlatformObjects, state: AgentState) -> list[Effect]:
    """Process objects from the platform; older revisions are ignored."""
    watch = state.watch
    watch.answered_at = watch.tried_at = state.now
    watch.failures = 0
    effects: list[Effect] = []
    for item in event.items:
        effects += intake.accept_if_newer(state, item.name, item.body, event.kind, True)
    if event.call == "read":
        watch.copies_pending -= {item.name for item in event.items}
        return effects
    if event.kind == SERVICES_KIND:
        watch.since = max(watch.since or 0, event.revision)
    if event.call == "list":
        watch.listed_at = state.now
        effects += verification.on_listed(state, event.kind)
    if event.kind == SERVICES_KIND:
        watch.call_pending = False
        early = state.now - watch.called_at < WATCH_WAIT_MS / 2000
        empty = event.call == "watch" and not event.items
        watch.next_at = state.now + (EARLY_WATCH_PAUSE_S if empty and early else 0.0)
        effects += call_platform(state, random.Random(event.random_value))
    return effects


def on_failed(event: PlatformFailed, state: AgentState) -> list[Effect]:
    """Back off after a failed call."""
    watch = state.watch
    watch.tried_at = state.now
    if event.call == "vms":
        watch.vm_list_pending = False
        return []
    if event.call == "read":
        watch.copies_pending.discard(event.name)
        return []
    if event.kind != SERVICES_KIND:
        return []
    watch.call_pending = False
    watch.failures += 1
    if event.status == HTTP_GONE:
        watch.since = None
    generator = random.Random(event.random_value)
    ceiling = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2 ** min(watch.failures, 8))
    watch.next_at = state.now + ceiling * generator.uniform(0.5, 1.0)
    return []

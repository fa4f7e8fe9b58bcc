"""Handler for digests of the fleet."""

import msgspec

from poplarlane.decisions.effects import Effect, Log
from poplarlane.decisions.quarantine import enforcement
from poplarlane.decisions.reducer import reduce
from poplarlane.decisions.requests.entry_events import FleetDigestReceived
from poplarlane.decisions.requests.entry_state import EntryState


@reduce.register
def fleet_digest_received(event: FleetDigestReceived, state: EntryState) -> list[Effect]:
    """Adopt the sections of a digest that this node knows."""
    state.now = event.now
    fleet = state.fleet
    was_isolated = fleet.is_isolated(event.now)
    fleet.digest_at = event.now - event.age_s
    fleet.nodes = event.nodes
    effects: list[Effect] = []
    if was_isolated:
        effects.append(Log("fleet_joined", "info", {"root": event.root, "nodes": event.nodes}))
    for name, payload in event.sections.items():
        section = fleet.sections.get(name)
        if section is None:
            continue
        try:
            effects += section.adopt_digest(payload, event.age_s, event.now)
        except msgspec.MsgspecError as error:
            fields = {"section": name, "root": event.root, "reason": str(error)}
            effects.append(Log("fleet_section_malformed", "warning", fields))
    if state.quarantine.items:
        # A root without evidence sends none, and this node may get no request that ends its own.
        enforcement.settle(state, event.now, effects)
    return effects

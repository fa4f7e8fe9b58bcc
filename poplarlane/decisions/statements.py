"""What targets state about themselves in their responses: when it takes effect and what ends it.

A statement of a target binds this node by itself, whatever the store says. It ends with a later
response that no longer makes it, or with the target process: names of targets differ between
processes, so a new process at the same address starts without statements.
"""

from enum import StrEnum

from poplarlane.decisions import rate_limits
from poplarlane.decisions.effects import Count, Effect
from poplarlane.decisions.entry_events import ResponseMetadata
from poplarlane.decisions.entry_state import EntryState
from poplarlane.decisions.request_log import append_line
from poplarlane.types import TargetLoad

# Statements of targets that no list names are kept this long, because an outage of the store may
# hide a target for a while.
KEPT_ABSENT_S = 120.0


class Source(StrEnum):
    """Kind of response that made or withdrew a statement."""

    RESPONSE = "response"
    PROBE = "probe"


def observe(
    state: EntryState,
    load: TargetLoad,
    metadata: ResponseMetadata,
    source: Source,
    random_value: int,
    effects: list[Effect],
) -> None:
    """Record what a response says about its target; malformed statements change nothing."""
    for name in metadata.malformed_statements:
        effects.append(Count("malformed_statement_total", 1.0, {"header": name}))
        fields = {"target": load.target.name, "header": name, "source": source.value}
        append_line(state, "malformed_statement", "warning", fields, effects)
    if not metadata.malformed_statements:
        limit_per_s = metadata.rate_limit_per_s
        observe_rate_limit(state, load, limit_per_s, source, random_value, effects)


def observe_rate_limit(
    state: EntryState,
    load: TargetLoad,
    limit_per_s: float | None,
    source: Source,
    random_value: int,
    effects: list[Effect],
) -> None:
    """Start, change or end the target's rate limit."""
    found = load.statements
    before = found.rate_limit_per_s
    if limit_per_s is None:
        if before is None or (source is Source.PROBE and not found.is_limit_on_probes):
            return
        found.rate_limit_per_s = None
        found.is_limit_on_probes = False
        fields = {"target": load.target.name, "source": source.value}
        append_line(state, "rate_limit_ended", "info", fields, effects)
        return
    found.is_limit_on_probes = found.is_limit_on_probes or source is Source.PROBE
    found.heard_at = state.now
    rate_limits.set_rate(found, limit_per_s, state.fleet_entries, random_value)
    if before is None:
        fields = {
            "target": load.target.name,
            "source": source.value,
            "limit_per_s": limit_per_s,
            "nodes": state.fleet_entries,
            "interval_s": round(found.permit_interval_s, 3),
        }
        append_line(state, "rate_limit_started", "info", fields, effects)


def forget_absent(state: EntryState, now: float) -> None:
    """Forget statements of targets that have been absent from the catalogue for long."""
    known = sum(len(service.loads) for service in state.services.values())
    if len(state.statements) <= 2 * known:
        return
    used = {name for service in state.services.values() for name in service.loads}
    state.statements = {
        name: found
        for name, found in state.statements.items()
        if name in used or now - found.heard_at <= KEPT_ABSENT_S
    }

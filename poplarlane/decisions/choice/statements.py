"""What targets state about themselves in their responses: when it takes effect and what ends it.

A target may say that it leaves, that it takes only so many requests a second from all nodes, or
that it wants nothing from this node for a time. A statement binds this node by itself, whatever the
store says. A rate ends with a later response that names none, a pause with its time, and leaving
only with the process: names of targets differ between processes, so a new process at the same
address starts without statements.
"""

from enum import StrEnum

from poplarlane.decisions.choice import rate_limits
from poplarlane.decisions.cold import cold_targets
from poplarlane.decisions.effects import Count, Effect
from poplarlane.decisions.requests.drain import mark_leaving
from poplarlane.decisions.requests.entry_events import ResponseMetadata
from poplarlane.decisions.requests.entry_state import EntryState
from poplarlane.decisions.requests.request_log import append_line
from poplarlane.types import TargetLoad

# Statements of targets that no list names are kept this long, because an outage of the store may
# hide a target for a while.
KEPT_ABSENT_S = 120.0
# A process that asks for a longer time is tried once after this, in case its value is a mistake.
MAX_PAUSE_S = 600.0
# Share by which a pause is lengthened at most, at random.
PAUSE_SPREAD = 0.1


class Source(StrEnum):
    """Kind of response that made or withdrew a statement."""

    RESPONSE = "response"
    INTERIM = "interim"
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
    log_malformed(
        state, load, "malformed_statement", metadata.malformed_statements, source, effects
    )
    log_malformed(state, load, "malformed_report", metadata.malformed_reports, source, effects)
    if metadata.leaving and not load.leaving:
        load.statements.heard_at = state.now
        mark_leaving(state, load.target, source.value, effects)
    observe_pause(state, load, metadata, source, random_value, effects)
    if metadata.cold_s is not None and source is not Source.INTERIM:
        cold_targets.observe(state, load, metadata.cold_s, random_value, effects)
    if not metadata.malformed_statements:
        limit_per_s = metadata.rate_limit_per_s
        observe_rate_limit(state, load, limit_per_s, source, random_value, effects)


def log_malformed(
    state: EntryState,
    load: TargetLoad,
    event: str,
    found: dict[str, str],
    source: Source,
    effects: list[Effect],
) -> None:
    """Log and count the headers that were set aside."""
    for name, reason in found.items():
        effects.append(Count(f"{event}_total", 1.0, {"header": name}))
        fields = {"target": load.target.name, "header": name, "reason": reason}
        append_line(state, event, "warning", fields | {"source": source.value}, effects)


def observe_pause(
    state: EntryState,
    load: TargetLoad,
    metadata: ResponseMetadata,
    source: Source,
    random_value: int,
    effects: list[Effect],
) -> None:
    """Start a pause that the target asks for, or end its return after one.

    A pause is never shortened, because an earlier statement holds for its whole time.
    """
    found = load.statements
    fields: dict[str, object] = {"target": load.target.name, "source": source.value}
    if metadata.retry_after_s:
        pause_s = min(MAX_PAUSE_S, metadata.retry_after_s)
        # Nodes that are turned away together do not come back together.
        pause_s *= 1.0 + PAUSE_SPREAD * rate_limits.random_share(random_value)
        found.paused_until = max(found.paused_until, state.now + pause_s)
        found.is_returning = True
        found.heard_at = state.now
        fields["retry_after_s"] = metadata.retry_after_s
        fields["pause_s"] = round(found.paused_until - state.now, 3)
        append_line(state, "target_paused", "info", fields, effects)
        effects.append(Count("target_pause_total", 1.0, {"source": source.value}))
    elif found.is_returning and state.now >= found.paused_until and source is Source.RESPONSE:
        found.is_returning = metadata.not_run
        if not found.is_returning:
            append_line(state, "target_pause_ended", "info", fields, effects)


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
        is_silent = source is Source.PROBE and not found.is_limit_on_probes
        if before is None or is_silent or source is Source.INTERIM:
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
    state.leaving &= state.statements.keys()

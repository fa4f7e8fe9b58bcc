"""Messages between the agent and the entries of its VM: view updates and reports."""

from poplarlane.decisions.configuration import distribution
from poplarlane.decisions.effects import Effect, Log
from poplarlane.decisions.membership import membership
from poplarlane.decisions.membership.agent_effects import SendToEntry
from poplarlane.decisions.membership.agent_events import EntryMessageReceived
from poplarlane.decisions.membership.agent_state import AgentState, EntryLink
from poplarlane.messages import (
    EntryHello,
    EntryReport,
    MemberNotice,
    ProbeNotice,
    ServiceBody,
    VerdictNotice,
    ViewUpdate,
)
from poplarlane.types import MemberFact, MemberKind, MemberState

MAX_UPDATE_BYTES = 262_144
RESEND_INTERVAL_S = 1.0
MAX_VERDICTS = 2_000


def on_message(event: EntryMessageReceived, state: AgentState) -> list[Effect]:
    """Handle a hello or a report."""
    if isinstance(event.message, EntryHello):
        return on_hello(event.identity, event.message, state)
    return on_report(event.identity, event.message, state)


def on_hello(identity: bytes, hello: EntryHello, state: AgentState) -> list[Effect]:
    """Register an entry and send it everything newer than what it has applied."""
    link = EntryLink(hello.entry, identity, hello.incarnation, state.now)
    known = state.entries.get(hello.entry)
    if known is not None and known.incarnation > hello.incarnation:
        return []
    state.entries[hello.entry] = link
    link.nonce = hello.nonce
    record_applied(state, link, hello.applied)
    announce_entry(state, link, MemberState.LIVE)
    is_new = known is None or known.incarnation != hello.incarnation
    if not is_new:
        link.leaving, link.sequence = known.leaving, known.sequence
        return send_view(state, link, False)
    return [Log("entry_connected", "info", {"entry": hello.entry}), *send_view(state, link, True)]


def record_applied(state: AgentState, link: EntryLink, applied: dict[str, int]) -> None:
    """Record what an entry has applied; the agent must not be behind its own entries."""
    link.applied = applied
    for name, revision in applied.items():
        if revision > state.highest_revisions.get(name, 0):
            state.highest_revisions[name] = revision


def announce_entry(state: AgentState, link: EntryLink, member_state: MemberState) -> None:
    """Record a fact about an entry of this VM, with this agent as its source."""
    membership.merge_fact(
        state,
        MemberFact(
            link.name, MemberKind.ENTRY, link.incarnation, member_state, state.wall, state.name
        ),
    )


def on_report(identity: bytes, report: EntryReport, state: AgentState) -> list[Effect]:
    """Process what an entry has applied and observed."""
    link = state.entries.get(report.entry)
    if link is None or link.incarnation < report.incarnation:
        link = EntryLink(report.entry, identity, report.incarnation, state.now)
        state.entries[report.entry] = link
        announce_entry(state, link, MemberState.LIVE)
    if link.incarnation > report.incarnation:
        return []
    link.identity = identity
    link.heard_at = state.now
    link.ready = report.ready
    link.rejected = report.rejected
    record_applied(state, link, report.applied)
    if report.draining and not link.draining:
        link.draining = True
        announce_entry(state, link, MemberState.LEAVING)
    record_leaving_targets(state, link, report.leaving_targets)
    for verdict in report.verdicts:
        merge_verdict(state, verdict)
    return resend_unapplied(state, link)


def record_leaving_targets(state: AgentState, link: EntryLink, names: list[str]) -> None:
    """Record the targets that an entry reports as leaving for the first time.

    An entry repeats its list. Only additions count, because a repeated name may refer to an
    incarnation that has been replaced since.
    """
    added = set(names) - link.leaving
    link.leaving = set(names)
    for name in sorted(added):
        membership.mark_target_leaving(state, name, link.name)


def merge_verdict(state: AgentState, verdict: VerdictNotice) -> None:
    """Store a verdict and propagate it when it is newer than the one held.

    Each agent propagates a version once. When values were compared instead, two alternating
    verdicts kept replacing each other across the fleet.
    """
    key = (verdict.service, verdict.target, verdict.source)
    known = state.verdicts.get(key)
    expires_at = state.now + verdict.valid_for_s
    if known is not None and verdict.version() <= known[0].version():
        return
    state.verdicts[key] = (verdict, expires_at)
    state.changed_verdicts.append(verdict)
    while len(state.verdicts) > MAX_VERDICTS:
        del state.verdicts[next(iter(state.verdicts))]


def expire(state: AgentState) -> list[Effect]:
    """Drop expired verdicts, and entries past their timeout."""
    expired = [key for key, (_, expires_at) in state.verdicts.items() if expires_at <= state.now]
    for key in expired:
        del state.verdicts[key]
    limit = state.now - membership.ENTRY_TIMEOUT_S
    silent = [link for link in state.entries.values() if link.heard_at < limit]
    for link in silent:
        del state.entries[link.name]
        announce_entry(state, link, MemberState.GONE)
    return [Log("entry_silent", "warning", {"entry": link.name}) for link in silent]


def resend_unapplied(state: AgentState, link: EntryLink) -> list[Effect]:
    """Resend the services that an entry has not applied in time."""
    if not state.verification.ready:
        return []
    names = [
        name
        for name, held in state.services.items()
        if held.revision > link.applied.get(name, 0)
        and name not in link.rejected
        and state.now - link.sent_at.get(name, 0.0) > RESEND_INTERVAL_S
    ]
    return send_services(state, link, names, [], [], []) if names else []


def send_view(state: AgentState, link: EntryLink, fresh: bool) -> list[Effect]:
    """Send an entry everything it lacks, or an empty update while the view is not verified.

    Live targets are only sent to a newly started entry. An entry repeats its hello whenever the
    agent has sent nothing for a while, and thousands of unchanged facts would cost it too much.
    """
    if not state.verification.ready:
        return [next_update(state, link, False, [], [], [], [])]
    names = [
        name for name, held in state.services.items() if held.revision > link.applied.get(name, 0)
    ]
    facts = [
        fact
        for fact in state.facts.values()
        if fact.kind == MemberKind.TARGET and (fresh or fact.state != MemberState.LIVE)
    ]
    verdicts = [verdict for verdict, _ in state.verdicts.values()]
    return send_services(state, link, names, facts, verdicts, [])


def send_services(
    state: AgentState,
    link: EntryLink,
    names: list[str],
    facts: list[MemberFact],
    verdicts: list[VerdictNotice],
    probes: list[ProbeNotice],
) -> list[Effect]:
    """Send services in updates of bounded size; the last one carries all other content."""
    effects: list[Effect] = []
    bodies: list[ServiceBody] = []
    size = 0
    for name in names:
        held = state.services[name]
        if bodies and size + len(held.body) > MAX_UPDATE_BYTES:
            effects.append(next_update(state, link, False, bodies, [], [], []))
            bodies, size = [], 0
        bodies.append(ServiceBody(name, held.revision, held.body))
        size += len(held.body)
        link.sent_at[name] = state.now
    members = [membership.to_notice(fact) for fact in facts]
    effects.append(next_update(state, link, True, bodies, members, verdicts, probes))
    return effects


def next_update(
    state: AgentState,
    link: EntryLink,
    complete: bool,
    bodies: list[ServiceBody],
    members: list[MemberNotice],
    verdicts: list[VerdictNotice],
    probes: list[ProbeNotice],
) -> Effect:
    """Build the next numbered update for an entry."""
    link.sequence += 1
    view = ViewUpdate(
        state.name,
        state.process,
        link.sequence,
        complete,
        bodies,
        members,
        verdicts,
        membership.fleet_entries(state),
        probes,
        membership.entry_rank(state, link.name),
        link.nonce,
    )
    return SendToEntry(link.identity, view)


def send_changes(state: AgentState, probes: list[ProbeNotice]) -> list[Effect]:
    """Send the changes of the current event to every entry of this VM."""
    if not state.verification.ready:
        return []
    facts = [fact for fact in state.changed_facts if fact.kind == MemberKind.TARGET]
    entries = membership.fleet_entries(state) if state.changed_facts else state.fleet_entries_sent
    resized = entries != state.fleet_entries_sent
    state.fleet_entries_sent = entries
    if not (state.changed or facts or state.changed_verdicts or probes or resized):
        return []
    effects: list[Effect] = []
    for link in state.entries.values():
        newer = [
            name
            for name in state.changed
            if distribution.revision_of(state, name) > link.applied.get(name, 0)
        ]
        effects += send_services(state, link, newer, facts, state.changed_verdicts, probes)
    return effects


def send_all_views(state: AgentState) -> list[Effect]:
    """Send every entry a full view after the view became complete."""
    effects: list[Effect] = []
    for link in state.entries.values():
        effects += send_view(state, link, True)
    return effects

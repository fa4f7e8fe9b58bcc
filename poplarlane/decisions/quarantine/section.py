"""Section `quarantine` of the fleet exchange: evidence of crashes, and trials after convictions."""

import math

from poplarlane.decisions.effects import Effect
from poplarlane.decisions.quarantine import convictions, enforcement
from poplarlane.decisions.quarantine.convictions import Item
from poplarlane.decisions.quarantine.messages import (
    ENCODER,
    MAX_ASKS,
    NO_ANSWER,
    REPORTS,
    VERDICTS,
    Ask,
    Evidence,
    Grant,
    Report,
    Verdicts,
    limited_evidence,
)
from poplarlane.decisions.requests.entry_state import EntryState

# Time that the node of a trial has alone. Its request has to end before.
TRIAL_LEASE_S = 5.0
# A node that made no digest for this long was not the root.
ROOT_GAP_S = 1.0


class QuarantineSection:
    """Exchange the evidence of this node with that of the others."""

    __slots__ = ("name", "state", "asks", "grants", "root_since", "root_at")

    def __init__(self, state: EntryState) -> None:
        self.name = "quarantine"
        self.state = state
        # Nodes that ask for a trial, by digest, and the trials in force: node and end.
        self.asks: dict[bytes, str] = {}
        self.grants: dict[bytes, tuple[str, float]] = {}
        # Since when this node has made the digests, and when it made the last one.
        self.root_since = -math.inf
        self.root_at = -math.inf

    def is_active(self) -> bool:
        """Return whether there is any evidence."""
        return bool(self.state.quarantine.items)

    def is_urgent(self, now: float) -> bool:
        """Return whether evidence or an ask must not wait."""
        return self.state.quarantine.is_urgent

    def take_report(self, now: float) -> bytes | None:
        """Take the asks, and the items that the root is not known to have.

        These are reported until a digest holds them, because a report may be lost.
        """
        known = self.state.quarantine
        known.is_urgent = False
        self.collect_asks()
        if not known.items and not self.asks:
            return None
        changed = [known.items[digest] for digest in known.changed if digest in known.items]
        asks = [Ask(digest, node) for digest, node in self.asks.items()][:MAX_ASKS]
        self.asks.clear()
        return ENCODER.encode(Report(limited_evidence(changed, asks, now), asks))

    def merge_report(self, sender: str, payload: bytes, now: float) -> None:
        """Merge the evidence of a child."""
        report = REPORTS.decode(payload)
        known = self.state.quarantine
        for evidence in report.evidence:
            held = known.items.get(evidence.digest)
            before = set(held.crashes) if held is not None else set()
            if self.merge(evidence, 0.0, now):
                # Answers can wait; a message for them would delay evidence by the least interval.
                is_crash = not before.issuperset(known.items[evidence.digest].crashes)
                known.note_change(evidence.digest, is_crash)
        for ask in report.asks:
            self.asks.setdefault(ask.digest, ask.node)
            known.is_urgent = True

    def merge(self, evidence: Evidence, age_s: float, now: float) -> bool:
        """Merge the evidence about one request; return whether it held something new."""
        known = self.state.quarantine
        if not evidence.crashes and evidence.digest not in known.items:
            return False
        item = known.item(evidence.digest, evidence.route)
        made_at = now - age_s
        crashes = {target: made_at - age / 1000.0 for target, age in evidence.crashes}
        convicted_at = made_at - evidence.convicted_ms / 1000.0
        answered_at = answered_time(evidence, made_at)
        return convictions.merge(item, crashes, answered_at, evidence.terms, convicted_at)

    def member_lost(self, sender: str, now: float) -> None:
        """Keep what a silent child has reported; it is true without the child."""

    def make_digest(self, now: float) -> bytes | None:
        """Make the digest of all items in force and of the trials."""
        known = self.state.quarantine
        if now - self.root_at > ROOT_GAP_S:
            self.root_since = now
        self.root_at = now
        known.is_urgent = False
        self.collect_asks()
        self.hand_out_trials(now)
        if not known.items:
            return None
        known.changed.clear()
        grants = [
            Grant(digest, node, round((until - now) * 1000.0))
            for digest, (node, until) in self.grants.items()
        ][:MAX_ASKS]
        evidence = limited_evidence(list(known.items.values()), grants, now)
        return ENCODER.encode(Verdicts(evidence, grants))

    def collect_asks(self) -> None:
        """Add the asks of this node to those of its children."""
        known = self.state.quarantine
        for digest in known.asking:
            self.asks.setdefault(digest, self.state.name)
        known.asking.clear()

    def hand_out_trials(self, now: float) -> None:
        """Allow one node per request a trial.

        A new root does not know the trials of the one before, so it waits until those have ended.
        A conviction that expired after the new root began cannot have been tried before.
        """
        self.grants = {digest: found for digest, found in self.grants.items() if found[1] > now}
        asks, self.asks = self.asks, {}
        is_new = now - self.root_since < TRIAL_LEASE_S
        for digest, node in asks.items():
            item = self.state.quarantine.items.get(digest)
            if item is None or not item.is_on_trial(now) or digest in self.grants:
                continue
            if not is_new or item.ends_at() > self.root_since + ROOT_GAP_S:
                self.grants[digest] = (node, now + TRIAL_LEASE_S)

    def adopt_digest(self, payload: bytes, age_s: float, now: float) -> list[Effect]:
        """Take the items and trials of the root into force."""
        verdicts = VERDICTS.decode(payload)
        known = self.state.quarantine
        for evidence in verdicts.evidence:
            self.merge(evidence, age_s, now)
        self.note_missing({found.digest: found for found in verdicts.evidence}, age_s, now)
        effects: list[Effect] = []
        enforcement.settle(self.state, now, effects)
        for grant in verdicts.grants:
            item = known.items.get(grant.digest)
            left_s = grant.left_ms / 1000.0 - age_s
            if grant.node == self.state.name and item is not None:
                enforcement.start_trial(self.state, item, left_s, TRIAL_LEASE_S, now, effects)
        return effects

    def note_missing(self, told: dict[bytes, Evidence], age_s: float, now: float) -> None:
        """Note what the root lacks, because it was not told yet, a report was lost or it is new."""
        known = self.state.quarantine
        for item in known.items.values():
            found = told.get(item.digest)
            if found is None or lacks_evidence(found, item, now - age_s):
                known.changed.add(item.digest)
            else:
                known.changed.discard(item.digest)


def lacks_evidence(evidence: Evidence, item: Item, made_at: float) -> bool:
    """Return whether the root does not have all that this node holds about a request."""
    crashes = {target: made_at - age / 1000.0 for target, age in evidence.crashes}
    answered_at = answered_time(evidence, made_at)
    return convictions.holds_more(item, crashes, answered_at, evidence.terms)


def answered_time(evidence: Evidence, made_at: float) -> float:
    """Return when a request was last answered, minus infinity if it was not."""
    if evidence.answered_ms == NO_ANSWER:
        return -math.inf
    return made_at - evidence.answered_ms / 1000.0

"""Section `customers` of the fleet's reports and digests: what all nodes use of each quota."""

import math

from poplarlane.decisions.customers import quotas
from poplarlane.decisions.customers.buckets import (
    DELAY_S,
    IDLE_PER_S,
    URGENT_FALL,
    URGENT_RISE,
    Bucket,
    Tolerance,
)
from poplarlane.decisions.customers.keys import Customer
from poplarlane.decisions.customers.members import (
    CHARGED_S,
    MIN_REACHED_SHARE,
    Lost,
    LostTable,
    ids_of,
    member_id,
)
from poplarlane.decisions.customers.quota_messages import (
    DIGEST_DECODER,
    ENCODER,
    MAX_LISTED_CUSTOMERS,
    MAX_REPEATED_CUSTOMERS,
    MAX_REPORTED_CUSTOMERS,
    REPEATED_REPORTS,
    REPORT_DECODER,
    Counted,
    QuotaDigest,
    QuotaReport,
)
from poplarlane.decisions.customers.quotas import Circumstances, Usage
from poplarlane.decisions.customers.rates import DecayingRate, DemandWindow
from poplarlane.decisions.effects import Effect, Log
from poplarlane.decisions.fleet.sections import DIGEST_TIMEOUT_S
from poplarlane.decisions.fleet.tree import CHILD_TIMEOUT_S
from poplarlane.decisions.requests.entry_state import EntryState, Request
from poplarlane.outcomes import NotRun

CHILD_USE_S = 2.0
REPORTED_RATE_S = 1.0
# Arrivals since the last report are urgent from this many more than twice the usual ones.
URGENT_ARRIVALS = 2
# In the first second after its start a node has not heard of all others; it takes the fleet to be
# at least this large.
START_S = 1.0
# The same where the whole system starts for the first time: nodes find each other as they come up.
BOOTSTRAP_S = 0.5
START_NODES = 256
# A node without others for this long has found no seed alive. Later it takes the fleet to be that
# large until all have read the same seeds (every 2 s) and have greeted them (once a second).
ALONE_S = 3.0
JOIN_S = 3.5
# A customer counts as unlimited again after this time without a limit.
UNLIMITED_AFTER_S = 2.0


class Child:
    """What a node that reports here has reported."""

    __slots__ = ("epoch", "sequence", "members", "use")

    def __init__(self, epoch: int, sequence: int, members: bytes) -> None:
        self.epoch = epoch
        self.sequence = sequence
        self.members = members
        self.use: dict[str, DecayingRate] = {}


class CustomersSection:
    """Count requests, decide the shares at the root, and admit by them at each node."""

    __slots__ = (
        "name",
        "state",
        "tolerance",
        "is_bootstrap",
        "epoch",
        "my_id",
        "usages",
        "pending",
        "usual",
        "reported_at",
        "sequence",
        "sent",
        "children",
        "lost",
        "buckets",
        "present_ids",
        "last_digest",
        "members_known",
        "digest_at",
        "has_heard_root",
        "fresh_since",
        "is_root",
        "urgent",
        "started_at",
        "new_until",
        "alone_from",
        "has_met_others",
    )

    def __init__(
        self, state: EntryState, tolerance: Tolerance, is_bootstrap: bool, epoch: int
    ) -> None:
        self.name = "customers"
        self.state = state
        self.tolerance = tolerance
        # Whether the whole system starts for the first time, so that nothing has been used.
        self.is_bootstrap = is_bootstrap
        self.epoch = epoch
        self.my_id = member_id(state.name)
        self.usages: dict[str, Usage] = {}
        # Used and asked since the last report, of this node and those below it.
        self.pending: dict[str, list[int]] = {}
        self.usual: dict[str, DecayingRate] = {}
        self.reported_at = 0.0
        self.sequence = 0
        # Counts of the last reports, newest first.
        self.sent: list[list[Counted]] = []
        self.children: dict[str, Child] = {}
        self.lost = LostTable()
        self.buckets: dict[str, Bucket] = {}
        # Ids of this node and those below it; None when they have to be collected again.
        self.present_ids: set[bytes] | None = None
        self.last_digest: QuotaDigest | None = None
        # Nodes in the last digest, including silent ones; 0 before the first one.
        self.members_known = 0
        self.digest_at = -math.inf
        # Whether a digest of another node has been received.
        self.has_heard_root = False
        # Since when this node is the root without knowing what was used before; None if it knows.
        self.fresh_since: float | None = None
        self.is_root = False
        self.urgent = False
        self.started_at: float | None = None
        # Until when this node may not have heard of all others, unless it hears of a root.
        self.new_until = math.inf
        # From when on this node counts as one that found no seed, while no other reports here.
        self.alone_from = math.inf
        # Whether another node has ever reported here.
        self.has_met_others = False

    # Admission.

    def admit(self, customer: Customer, random_value: int, now: float) -> NotRun | None:
        """Admit a request of a customer, or return its refusal."""
        if not customer.rate_per_s:
            return None
        self.note_start(now)
        usage = self.usages.get(customer.name)
        if usage is None:
            usage = self.usages[customer.name] = Usage(now, random_value)
        refusal = quotas.admit(usage, customer, self.circumstances(now), random_value, now)
        self.count(customer.name, refusal is None, 1, now)
        return refusal

    def credit_back(self, request: Request, now: float) -> None:
        """Take back the count of an admitted request that never ran."""
        usage = self.usages.get(request.customer.name)
        if usage is not None:
            quotas.credit_back(usage)
            self.count(request.customer.name, -1, 0, now)

    def circumstances(self, now: float) -> Circumstances:
        """Describe what this node knows of the others."""
        state = self.state
        age_s = now - max(self.digest_at, self.started_at or now)
        is_isolated = state.fleet.is_isolated(now)
        is_alone = is_isolated and not state.reached_nodes_needed
        return Circumstances(is_isolated, is_alone, self.known_nodes(now), age_s)

    def known_nodes(self, now: float) -> int:
        """Return the number of nodes that share the quotas, as far as this node knows."""
        reached = self.state.reached_nodes_needed
        known = max(self.members_known, reached) or self.state.fleet_entries
        return max(known, START_NODES) if reached and self.is_new(now) else known

    def is_new(self, now: float) -> bool:
        """Return whether this node may not have heard of all others yet."""
        if self.has_heard_root:
            return False
        # Seeds may be out of date or down, so that each node finds nobody and is a root.
        return now < self.new_until or (self.state.fleet.expects_others and not self.has_met_others)

    def note_start(self, now: float) -> None:
        """Record when this node took part first."""
        if self.started_at is None:
            self.started_at = now
            self.new_until = now + (BOOTSTRAP_S if self.is_bootstrap else START_S)
            self.alone_from = now + ALONE_S

    def note_others(self, now: float) -> None:
        """Record that another node reports here; one that comes late is the first of many."""
        if not self.has_met_others and now >= self.alone_from and self.is_new(now):
            self.new_until = now + JOIN_S
        self.has_met_others = True

    def count(self, name: str, used: int, asked: int, now: float) -> None:
        """Count requests of this node or of nodes below it."""
        if self.is_root:
            self.count_at_root(name, used, asked, now)
            return
        found = self.pending.get(name)
        if found is None:
            found = self.pending[name] = [0, 0]
        found[0] += used
        found[1] += asked
        usual = self.usual.get(name)
        usual_per_s = usual.value(now) if usual is not None else 0.0
        expected = 2.0 * usual_per_s * (now - self.reported_at)
        if asked and found[1] >= URGENT_ARRIVALS + expected:
            self.urgent = True

    # The section's part in the exchange.

    def is_active(self) -> bool:
        """Return whether there are customers.

        Those without quotas count too: digests tell a node whether it is cut off from the others,
        which may know of removed keys.
        """
        return bool(self.state.customers.by_name)

    def is_urgent(self, now: float) -> bool:
        """Return whether a surge has to be known before the next interval."""
        return self.urgent

    def take_report(self, now: float) -> bytes | None:
        """Take what was counted since the last report; the reports before it are repeated."""
        if not self.is_active():
            return None
        self.note_start(now)
        if self.is_root:
            self.is_root = False
            self.lost.drop_endless()
        order = sorted(self.pending.items(), key=lambda item: -item[1][1])
        taken = order[:MAX_REPORTED_CUSTOMERS]
        for name, (_, asked) in taken:
            usual = self.usual.get(name)
            if usual is None:
                usual = self.usual[name] = DecayingRate(now, REPORTED_RATE_S)
            usual.add(asked, now)
        self.pending = dict(order[MAX_REPORTED_CUSTOMERS:])
        counted = [Counted(name, used, asked) for name, (used, asked) in taken]
        self.sequence += 1
        report = QuotaReport(
            self.epoch,
            self.sequence,
            [counted, *(earlier[:MAX_REPEATED_CUSTOMERS] for earlier in self.sent)],
            b"".join(sorted(self.present())),
            self.lost.messages(now),
        )
        self.sent = [counted, *self.sent][: REPEATED_REPORTS - 1]
        self.urgent = False
        self.reported_at = now
        self.lost.drop_returned(self.present(), now)
        return ENCODER.encode(report)

    def merge_report(self, sender: str, payload: bytes, now: float) -> None:
        """Add the counts of a child that have not been added yet."""
        report = REPORT_DECODER.decode(payload)
        self.note_others(now)
        child = self.children.get(sender)
        new = 1
        if child is None or child.epoch != report.epoch:
            child = self.children[sender] = Child(report.epoch, report.sequence, report.members)
            self.present_ids = None
        else:
            new = report.sequence - child.sequence
            child.sequence = max(child.sequence, report.sequence)
            if child.members != report.members:
                child.members = report.members
                self.present_ids = None
        for counted in report.counts[: max(0, new)]:
            for item in counted:
                self.count(item.name, item.used, item.asked, now)
                use = child.use.get(item.name)
                if use is None:
                    use = child.use[item.name] = DecayingRate(now, CHILD_USE_S)
                use.add(item.used, now)
        for lost in self.lost.adopt(report.lost, self.present(), now):
            self.charge_silence(lost, now)

    def member_lost(self, sender: str, now: float) -> None:
        """Go on charging the use of a child that has fallen silent."""
        child = self.children.pop(sender, None)
        if child is not None:
            self.present_ids = None
            use_per_s = {name: use.value(now) for name, use in child.use.items()}
            self.charge_silence(self.lost.add(child.members, use_per_s, now, now + CHARGED_S), now)

    def charge_silence(self, lost: Lost | None, now: float) -> None:
        """Take the tokens that nodes may have used from their last report until they were missed.

        Nodes that were cut off before they knew of a surge have admitted all of it until they
        noticed that digests were missing.
        """
        if lost is None:
            return
        missing = len(lost.ids - self.present())
        share, ratio = missing / len(lost.ids), missing / len(self.present())
        for name, bucket in self.buckets.items():
            tokens = lost.use_per_s.get(name, 0.0) * share * CHILD_TIMEOUT_S
            if now - bucket.limited_since < CHILD_TIMEOUT_S + 2.0 * DELAY_S:
                surge_per_s = bucket.demand.per_s(now) * ratio
                tokens = max(tokens, surge_per_s * DIGEST_TIMEOUT_S)
            bucket.charge(tokens, now)

    def present(self) -> set[bytes]:
        """Return the ids of this node and those below it."""
        if self.present_ids is None:
            found = (ids_of(child.members) for child in self.children.values())
            self.present_ids = {self.my_id}.union(*found)
        return self.present_ids

    # The root.

    def make_digest(self, now: float) -> bytes | None:
        """Decide the shares of all customers."""
        if not self.is_active():
            return None
        if not self.is_root:
            self.become_root(now)
        present = self.present()
        self.lost.drop_returned(present, now)
        for name, bucket in list(self.buckets.items()):
            customer = self.state.customers.by_name.get(name)
            if customer is None or not customer.rate_per_s:
                del self.buckets[name]
                continue
            bucket.refill(customer, self.lost_per_s(customer, present, now), now)
            charged_per_s = self.charged_per_s(customer, present, now)
            bucket.set_share(bucket.due_share(charged_per_s, now), now)
        self.urgent = False
        listed = [bucket.listed(now) for bucket in self.buckets.values()]
        listed = [item for item in listed if item.share < 1.0 or item.use_per_s > IDLE_PER_S]
        listed.sort(key=lambda item: (item.share >= 1.0, -item.use_per_s))
        members = b"".join(sorted(present))
        digest = QuotaDigest(listed[:MAX_LISTED_CUSTOMERS], members, self.lost.messages(now))
        return ENCODER.encode(digest)

    def become_root(self, now: float) -> None:
        """Continue from the last digest; its nodes that do not report here are charged."""
        self.is_root = True
        self.note_start(now)
        self.buckets = {}
        if self.has_heard_root:
            self.continue_from(self.last_digest, now)
        elif not self.is_bootstrap and self.fresh_since is None:
            self.fresh_since = now
        pending, self.pending = self.pending, {}
        for name, (used, asked) in pending.items():
            self.count_at_root(name, used, asked, now)

    def continue_from(self, digest: QuotaDigest, now: float) -> None:
        """Take over the buckets of a digest, and charge its nodes that do not report here."""
        members = ids_of(digest.members)
        others = members - self.present()
        share = len(others) / max(1, len(members))
        use_per_s = {item.name: item.use_per_s * share for item in digest.customers}
        is_cut_off = len(self.present()) < MIN_REACHED_SHARE * self.members_known
        until = math.inf if is_cut_off else now + CHARGED_S
        self.lost.add(b"".join(sorted(others)), use_per_s, now, until)
        for item in digest.customers:
            customer = self.state.customers.by_name.get(item.name)
            if customer is not None:
                # The other part of the fleet may spend what there was.
                tokens = min(0.0, item.tokens) if is_cut_off else item.tokens
                excess_per_s = item.share * item.demand_per_s - customer.rate_per_s
                tokens -= max(0.0, excess_per_s) * quotas.LATE_DIGEST_S
                bucket = self.buckets[item.name] = Bucket(customer, self.tolerance, tokens, now)
                bucket.demand = DemandWindow(now, item.demand_per_s)
                bucket.set_share(item.share, now)

    def count_at_root(self, name: str, used: int, asked: int, now: float) -> None:
        """Take tokens; a share that falls much is urgent."""
        customer = self.state.customers.by_name.get(name)
        if customer is None or not customer.rate_per_s:
            return
        bucket = self.buckets.get(name)
        if bucket is None:
            bucket = self.buckets[name] = Bucket(
                customer, self.tolerance, self.first_tokens(customer, now), now
            )
        bucket.count(used, asked, now)
        if asked and not self.urgent:
            charged_per_s = self.charged_per_s(customer, self.present(), now)
            share = bucket.due_share(charged_per_s, now)
            is_lower = share < bucket.share * (1.0 - URGENT_FALL)
            self.urgent = is_lower or share > bucket.share + URGENT_RISE

    def first_tokens(self, customer: Customer, now: float) -> float:
        """Return the tokens of a new bucket; none at a root that knows nothing of earlier use."""
        if self.fresh_since is None:
            return customer.burst
        gained = customer.rate_per_s * (now - self.fresh_since)
        return gained - self.tolerance.cushion(customer)

    def charged_per_s(self, customer: Customer, present: set[bytes], now: float) -> float:
        """Return the rate to keep back for nodes that do not report here."""
        charged_per_s = self.lost_per_s(customer, present, now)
        if not self.is_new(now):
            return charged_per_s
        nodes = self.known_nodes(now)
        return max(charged_per_s, customer.rate_per_s * max(0, nodes - len(present)) / nodes)

    def lost_per_s(self, customer: Customer, present: set[bytes], now: float) -> float:
        """Return the rate that nodes which fell silent may be using."""
        if not self.lost.found:
            return 0.0
        return self.lost.charged_per_s(customer, present, self.known_nodes(now))

    # Digests.

    def adopt_digest(self, payload: bytes, age_s: float, now: float) -> list[Effect]:
        """Admit by the shares of a digest."""
        digest = DIGEST_DECODER.decode(payload)
        self.last_digest = digest
        self.digest_at = now - age_s
        if not self.is_root:
            self.has_heard_root = True
            self.fresh_since = None
            self.lost.adopt(digest.lost, ids_of(digest.members), now)
        members = ids_of(digest.members)
        self.members_known = len(members)
        if self.lost.found:
            self.members_known += self.lost.missing(members)
            if not self.is_root:
                self.lost.drop_returned(members, now, DIGEST_TIMEOUT_S)
        listed = {item.name: item for item in digest.customers}
        effects: list[Effect] = []
        for name, usage in self.usages.items():
            item = listed.get(name)
            quotas.adopt(usage, item, self.state.customers.by_name.get(name))
            usage.since_digest = 0
            usage.usual_per_s = usage.demand.value(now)
            usage.local_at = now
            note_limit(name, usage, now, effects)
        for item in digest.customers:
            if item.share < 1.0 and item.name not in self.usages:
                usage = self.usages[item.name] = Usage(now, hash((self.epoch, item.name)))
                quotas.adopt(usage, item, self.state.customers.by_name.get(item.name))
        return effects


def note_limit(name: str, usage: Usage, now: float, effects: list[Effect]) -> None:
    """Log when a customer begins or ceases to be limited."""
    if usage.share < 1.0:
        usage.limited_at = now
        if not usage.is_limited:
            usage.is_limited = True
            fields = {"customer": name, "share": usage.share, "tokens": usage.tokens}
            effects.append(Log("customer_limited", "warning", fields))
    elif usage.is_limited and now - usage.limited_at > UNLIMITED_AFTER_S:
        usage.is_limited = False
        effects.append(Log("customer_unlimited", "info", {"customer": name}))

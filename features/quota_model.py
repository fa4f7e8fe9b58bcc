"""A fleet of quota sections in virtual time, with delays, losses, partitions and restarts.

Reports and digests take the way of the real exchange: nodes, relays of data centres, a root.
"""

import heapq
import random

from poplarlane.decisions.customers.buckets import Tolerance
from poplarlane.decisions.customers.keys import Customer, CustomerTable
from poplarlane.decisions.customers.section import CustomersSection
from poplarlane.decisions.fleet.sections import FleetState
from poplarlane.decisions.fleet.tree import CHILD_TIMEOUT_S
from poplarlane.decisions.requests.entry_state import EntryState
from poplarlane.plumbing.fleet_exchange import REPORT_INTERVAL_S, URGENT_INTERVAL_S

TICK_S = 0.1
TOLERANCE = Tolerance(5.0, 0.1, 20.0)
# Time until the others take the place of a relay or root that has gone.
ELECTION_S = 2.0


class ModelNode:
    """One node: its section, and its part in the exchange."""

    def __init__(self, fleet, number, is_bootstrap):
        self.fleet, self.number = fleet, number
        self.state = EntryState(f"node-{number}", 1)
        self.state.fleet = FleetState()
        self.state.fleet.expects_others = True
        self.state.customers = fleet.table
        epoch = fleet.random.getrandbits(31)
        self.section = CustomersSection(self.state, TOLERANCE, is_bootstrap, epoch)
        self.children = {}
        self.due_at = self.sent_at = 0.0
        self.recipient = None
        self.newest = ("", 0)
        self.sequence = 0
        self.paused_until = 0.0

    def step(self, now):
        """Drop silent children and send what is due."""
        is_alone = now < self.fleet.alone_until[self.number]
        self.state.reached_nodes_needed = 1 if is_alone else self.fleet.known_nodes
        for child, heard_at in list(self.children.items()):
            if now - heard_at > CHILD_TIMEOUT_S:
                del self.children[child]
                self.section.member_lost(f"node-{child}", now)
        if now >= self.due_at:
            self.send(now)

    def notify(self, now):
        """Send what is urgent."""
        if self.section.is_urgent(now) and now - self.sent_at >= URGENT_INTERVAL_S:
            self.send(now)

    def send(self, now):
        """Send a report or a digest."""
        self.due_at, self.sent_at = now + REPORT_INTERVAL_S, now
        self.sequence += 1
        recipient = self.fleet.recipient(self.number, now)
        self.recipient = recipient if recipient not in self.children else None
        if self.recipient is not None:
            report = self.section.take_report(now)
            self.fleet.post(self.number, self.recipient, "report", report)
            return
        digest = (self.number, self.sequence, now, self.section.make_digest(now))
        self.forward(digest)
        self.adopt(digest, now)

    def forward(self, digest):
        """Send a digest to all children."""
        for child in self.children:
            self.fleet.post(self.number, child, "digest", digest)

    def adopt(self, digest, now):
        """Take a digest into force."""
        self.state.fleet.digest_at = digest[2]
        self.section.adopt_digest(digest[3], now - digest[2], now)

    def receive(self, sender, kind, payload, now):
        """Handle a message."""
        if kind == "report":
            if sender == self.recipient and sender not in self.children:
                return
            self.children[sender] = now
            self.section.merge_report(f"node-{sender}", payload, now)
            self.notify(now)
        elif sender == self.recipient and now - payload[2] <= 1.0:
            # A root that starts again counts from 1.
            is_restarted = payload[1] < self.newest[1] - 100
            if payload[0] == self.newest[0] and payload[1] <= self.newest[1] and not is_restarted:
                return
            self.newest = payload[:2]
            self.forward(payload)
            self.adopt(payload, now)


class ModelFleet:
    """Nodes in three data centres, and customers whose requests arrive at random nodes."""

    def __init__(self, seed, nodes, customers, hop_s=(0.02, 0.1), loss=0.0):
        self.random = random.Random(seed)
        self.count, self.hop_s, self.loss = nodes, hop_s, loss
        self.table = CustomerTable(customers)
        self.known_nodes = nodes
        self.queue, self.order = [], 0
        # Partition of each node, and when the tree follows it.
        self.part = [0] * nodes
        self.seen_part = [0] * nodes
        # Until when a node finds no seed alive.
        self.alone_until = [0.0] * nodes
        self.nodes = [ModelNode(self, number, True) for number in range(nodes)]
        self.demand = {customer.name: customer.rate_per_s / 1.6 for customer in customers}
        # Times at which requests ran, and of arrivals, by customer.
        self.ran = {customer.name: [] for customer in customers}
        self.arrived = {customer.name: [] for customer in customers}
        self.limits = [(0.0, {customer.name: customer for customer in customers})]
        for number in range(nodes):
            self.at(self.random.random() * TICK_S, self.tick, number)
        for customer in customers:
            self.at(self.gap(customer.name), self.arrive, customer.name)

    def at(self, at, function, *arguments):
        """Call a function later."""
        self.order += 1
        heapq.heappush(self.queue, (at, self.order, function, arguments))

    def run(self, until):
        """Advance the virtual time."""
        while self.queue and self.queue[0][0] <= until:
            now, _, function, arguments = heapq.heappop(self.queue)
            function(now, *arguments)

    def gap(self, name):
        """Draw the time to the next arrival."""
        return self.random.expovariate(self.demand[name]) if self.demand[name] else 0.5

    def tick(self, now, number):
        """Let a node take a step."""
        node = self.nodes[number]
        if now >= node.paused_until:
            node.step(now)
        self.at(now + TICK_S, self.tick, number)

    def arrive(self, now, name):
        """Let a request arrive at a node that runs."""
        self.at(now + self.gap(name), self.arrive, name)
        node = self.nodes[self.random.randrange(self.count)]
        if not self.demand[name] or now < node.paused_until:
            return
        customer = self.table.by_name[name]
        refusal = node.section.admit(customer, self.random.getrandbits(64), now)
        self.arrived[name].append(now)
        if refusal is None:
            self.ran[name].append(now)
        node.notify(now)

    def post(self, sender, receiver, kind, payload):
        """Carry a message, unless it is lost or the receiver is cut off."""
        if self.part[sender] != self.part[receiver] or self.random.random() < self.loss:
            return
        at = self.nodes[sender].sent_at + self.random.uniform(*self.hop_s)
        if kind == "digest":
            at = max(at, payload[2]) + self.random.uniform(*self.hop_s) * (sender != payload[0])
        self.at(at, self.deliver, sender, self.nodes[receiver], kind, payload)

    def deliver(self, now, sender, node, kind, payload):
        """Hand over a message; one for a process that has ended is lost."""
        if self.nodes[node.number] is not node:
            return
        if now < node.paused_until:
            self.at(node.paused_until, self.deliver, sender, node, kind, payload)
        else:
            node.receive(sender, kind, payload, now)

    def recipient(self, number, now):
        """Return the node that another one reports to."""
        if now < self.alone_until[number]:
            return None
        near = [
            other
            for other in range(self.count)
            if self.seen_part[other] == self.seen_part[number] and now >= self.alone_until[other]
        ]
        relay = min(other for other in near if other % 3 == number % 3)
        if relay != number:
            return relay
        return None if min(near) == number else min(near)

    def cut(self, now, numbers, part):
        """Move nodes into another partition."""
        for number in numbers:
            self.part[number] = part
        self.at(now + ELECTION_S, self.see, list(self.part))

    def see(self, _now, part):
        """Let the tree follow the partitions."""
        self.seen_part = part

    def restart(self, now, numbers):
        """Start nodes anew."""
        for number in numbers:
            self.nodes[number] = ModelNode(self, number, False)

    def restart_alone(self, now, first, last):
        """Start all nodes anew; their seeds are down until new ones reach each of them."""
        self.alone_until = [now + self.random.uniform(first, last) for _ in range(self.count)]
        self.restart(now, range(self.count))

    def pause(self, now, numbers, pause_s):
        """Suspend nodes."""
        for number in numbers:
            self.nodes[number].paused_until = now + pause_s
            self.nodes[number].state.fleet.digest_at = float("-inf")

    def set_demand(self, _now, name, per_s):
        """Change how many requests of a customer arrive."""
        self.demand[name] = per_s

    def set_limits(self, now, customers):
        """Put other quotas into force everywhere."""
        self.table = CustomerTable(customers)
        for node in self.nodes:
            node.state.customers = self.table
        self.limits.append((now, self.table.by_name))

    def allowed(self, name, began_at):
        """Return the bound of a window; a lowered quota counts from one window after it is set."""
        held = [found[name] for at, found in self.limits if at <= began_at + TOLERANCE.window_s]
        old = [found[name] for at, found in self.limits if at <= began_at - TOLERANCE.window_s]
        valid = held[max(0, len(old) - 1) :]
        most = max(found.rate_per_s * TOLERANCE.window_s + found.burst for found in valid)
        return most * (1.0 + TOLERANCE.overage) + TOLERANCE.slack

    def worst_window(self):
        """Return the largest ratio of a window's use to its bound, with customer and start."""
        worst = (0.0, "", 0.0)
        for name, times in self.ran.items():
            last = 0
            for first, began_at in enumerate(times):
                while last < len(times) and times[last] < began_at + TOLERANCE.window_s:
                    last += 1
                ratio = (last - first) / self.allowed(name, began_at)
                worst = max(worst, (ratio, name, began_at))
        return worst

    def refused_share(self, name, since, until):
        """Return the share of a customer's requests that were refused in a period."""
        arrived = sum(since <= at < until for at in self.arrived[name])
        ran = sum(since <= at < until for at in self.ran[name])
        return 1.0 - ran / arrived if arrived else 0.0


def customers_of(rates, burst_s=1.0):
    """Describe customers by their rates."""
    return [Customer(f"c{i}", [], None, rate, rate * burst_s) for i, rate in enumerate(rates)]

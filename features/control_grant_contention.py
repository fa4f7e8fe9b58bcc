"""Agents that contend for probe grants on a fake platform, with the real reducer.

The time is virtual and every delay comes from one generator, so a seed repeats a run exactly.
"""

import heapq
import itertools
import random
from collections import defaultdict
from collections.abc import Callable
from functools import partial

from poplarlane.decisions.membership import agent_effects as effects
from poplarlane.decisions.membership import agent_events as events
from poplarlane.decisions.membership import agent_handlers  # noqa: F401  registers the handlers
from poplarlane.decisions.membership.agent_state import AcceptedService, AgentState
from poplarlane.decisions.probes import grants, probe_schedule
from poplarlane.decisions.probes.probe_schedule import MAX_PROBE_FLIGHT_S, PROBE_TIMEOUT_S
from poplarlane.decisions.reducer import reduce
from poplarlane.objects import ProbeBudgetObject, ServiceObject, TargetObject

SERVICE = "contended"
TICK_S = 0.1
GRANT_S = 2.0
CALL_TIMEOUT_S = 2.0
RATE_PER_S = 4.0
COST_SHARE = 1.0
FOREVER_S = 1e9
ROUNDING_S = 1e-6
# Clocks of two VMs run at most 2% apart.
CLOCK_RATES = (0.9901, 1.0099)


def make_service(name: str, revision: int, targets: list[str], rate: float) -> ServiceObject:
    """Build a service whose targets may be probed at a rate."""
    budget = ProbeBudgetObject(
        per_target_per_s=rate, target_time_share=COST_SHARE, probe_cost_ms=1.0
    )
    placed = {
        target: TargetObject(address=f"address-of-{target}", port=1, data_centre="dc")
        for target in targets
    }
    return ServiceObject(
        service=name,
        revision=revision,
        change_id="c",
        hosts=["h"],
        probe_budget=budget,
        targets=placed,
    )


class ContendingAgent:
    """Hold one process; while paused it handles nothing, while cut off it reaches nobody."""

    def __init__(self, name: str, process: int, world: "World", clock_rate: float) -> None:
        self.world = world
        self.clock_rate = clock_rate
        self.state = AgentState(name, process, "dc", "127.0.0.1", 1)
        self.state.process = process
        self.state.grant_duration_s = world.grant_duration_s
        self.state.verification.ready = True
        self.state.now = self.clock()
        self.paused_until = 0.0
        self.cut_until = 0.0
        self.dead = False
        # Changes under way to this process, with the time at which they arrive.
        self.changes: list[tuple[float, ServiceObject]] = []

    def clock(self) -> float:
        """Give the time by this VM's clock."""
        return self.world.now * self.clock_rate

    def later(self, at: float, act: Callable[[], None]) -> None:
        """Act at a time, or when a pause that covers it has ended."""

        def run() -> None:
            if self.dead:
                return
            if self.world.now < self.paused_until:
                self.later(self.paused_until, act)
            else:
                act()

        self.world.at(at, run)

    def hold(self, service: ServiceObject, accepted_at: float) -> None:
        """Put a revision in force unless a newer one is."""
        held = self.state.services.get(service.service)
        if held is None or held.revision < service.revision:
            self.state.services[service.service] = AcceptedService(
                service.revision, b"", service, accepted_at
            )
            self.state.now = self.clock()
            probe_schedule.update_service(self.state, service.service)

    def take_changes(self) -> None:
        """Put the changes in force that have arrived."""
        now = self.world.now
        if now < self.cut_until:
            return
        for _, service in sorted(
            (change for change in self.changes if change[0] <= now),
            key=lambda change: change[1].revision,
        ):
            self.hold(service, self.clock())
        self.changes = [change for change in self.changes if change[0] > now]

    def step(self, kind: type, *fields) -> None:
        """Feed one event and carry out the effects that matter here."""
        world = self.world
        self.take_changes()
        if world.now >= self.cut_until:
            self.state.watch.answered_at = self.clock()
        now = self.clock()
        event = kind(now, now, world.generator.getrandbits(64), *fields)
        for effect in reduce(event, self.state):
            if isinstance(effect, effects.ReadGrant | effects.WriteGrant):
                world.call(self, effect)
            elif isinstance(effect, effects.SendProbe):
                world.probe(self, effect)

    def tick(self) -> None:
        """Tick for ever."""
        self.step(events.AgentTick)
        self.later(self.world.now + TICK_S, self.tick)


class World:
    """Hold the virtual time, the platform and the arrivals at the targets."""

    grant_duration_s = GRANT_S
    agent_count = 3
    lost_share = 0.1

    def __init__(self, seed: int) -> None:
        self.generator = random.Random(seed)
        self.now = 100.0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        # Version and value of the grant of each shard.
        self.stored: dict[int, tuple[int, object]] = {}
        self.outage_until = 0.0
        self.arrivals: dict[str, list[float]] = defaultdict(list)
        self.terms: set[tuple[int, int]] = set()
        self.processes = itertools.count(1)
        self.agents: list[ContendingAgent] = []
        self.begin()

    def begin(self) -> None:
        """Start the agents and what disturbs them."""
        self.agents = [self.start(f"agent-{number}") for number in range(self.agent_count)]
        self.at(self.now, self.disturb)

    def start(self, name: str, clock_rate: float | None = None) -> ContendingAgent:
        """Start a process."""
        rate = clock_rate or self.generator.uniform(*CLOCK_RATES)
        agent = ContendingAgent(name, next(self.processes), self, rate)
        self.configure(agent)
        agent.later(self.now + self.generator.random(), agent.tick)
        return agent

    def configure(self, agent: ContendingAgent) -> None:
        """Give a new process the services."""
        agent.hold(make_service(SERVICE, 1, ["t"], RATE_PER_S), 0.0)

    def at(self, at: float, act: Callable[[], None]) -> None:
        """Schedule an act."""
        heapq.heappush(self.queue, (at, next(self.order), act))

    def run(self, seconds: float) -> None:
        """Run for some seconds of virtual time."""
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            self.now, _, act = heapq.heappop(self.queue)
            act()

    def disturb(self) -> None:
        """Pause, stop, restart or cut off a process, or take the platform away for a while."""
        draw = self.generator
        number = draw.randrange(len(self.agents))
        agent = self.agents[number]
        choice = draw.random()
        if choice < 0.4:
            agent.paused_until = self.now + draw.uniform(0.0, 9.0)
        elif choice < 0.5:
            agent.cut_until = self.now + draw.uniform(0.0, 12.0)
        elif choice < 0.65:
            agent.dead = True
            self.agents[number] = self.start(agent.state.name)
        elif choice < 0.8:
            # A stop that its process does not finish before the next one starts.
            agent.step(events.AgentStopRequested)
            self.agents[number] = self.start(agent.state.name)
        else:
            self.outage_until = self.now + draw.uniform(0.0, 4.0)
        self.at(self.now + draw.uniform(0.5, 8.0), self.disturb)

    def delay(self) -> float:
        """Draw the delay of a message: mostly short, at times longer than the caller waits."""
        if self.generator.random() < 0.8:
            return self.generator.uniform(0.001, 0.05)
        return self.generator.uniform(0.05, 4.0)

    def answer_delay(self, _agent: ContendingAgent) -> float:
        """Draw the delay of an answer of the platform."""
        return self.delay()

    def call(self, agent: ContendingAgent, effect) -> None:
        """Carry a call to the platform; it may take effect after the caller gave up."""
        sent_at = agent.clock()
        cut = self.now < agent.cut_until
        settled = [False]

        def settle(kind: type, *fields) -> None:
            if not settled[0]:
                settled[0] = True
                agent.step(kind, *fields)

        def arrive() -> None:
            answer = None if cut else self.apply(effect)
            lost = self.generator.random() < self.lost_share
            if answer is not None and not lost:
                fields = (effect.shard, *answer, sent_at)
                done = partial(settle, events.GrantRead, *fields)
                agent.later(self.now + self.answer_delay(agent), done)

        self.at(self.now + self.delay(), arrive)
        give_up = partial(settle, events.GrantFailed, effect.shard, "timeout")
        agent.later(self.now + CALL_TIMEOUT_S, give_up)

    def apply(self, effect):
        """Apply a call at the platform; None during an outage."""
        if self.now < self.outage_until:
            return None
        version, stored = self.stored.get(effect.shard, (0, None))
        if isinstance(effect, effects.WriteGrant) and effect.version == version:
            self.stored[effect.shard] = (version + 1, effect.grant)
            self.terms.add((effect.shard, effect.grant.term))
            return True, version + 1, effect.grant
        return False, version, stored

    def connect_s(self, _agent: ContendingAgent) -> float:
        """Draw the time from the decision to probe until the first byte can leave."""
        if self.generator.random() < 0.9:
            return self.generator.uniform(0.0, 0.02)
        return self.generator.uniform(0.02, PROBE_TIMEOUT_S)

    def flight_s(self, _agent: ContendingAgent) -> float:
        """Draw the time until a probe arrives."""
        if self.generator.random() < 0.8:
            return self.generator.uniform(0.001, 0.1)
        return self.generator.uniform(0.1, MAX_PROBE_FLIGHT_S)

    def probe(self, agent: ContendingAgent, effect: effects.SendProbe) -> None:
        """Send a probe when its connection is open; the process may be paused until then."""
        agent.later(self.now + self.connect_s(agent), lambda: self.send(agent, effect))

    def send(self, agent: ContendingAgent, effect: effects.SendProbe) -> None:
        """Check the grant as the shell does, and let the probe arrive."""
        sent_at = agent.clock()

        def finish(sent: bool, arrived: bool, reason: str) -> None:
            # A target that never answers properly stays in doubt, so the whole budget is used.
            result = (sent, arrived, False, -1, -1, False, sent_at, 0.01, reason)
            agent.step(events.ProbeFinished, effect.service, effect.target, *result)

        if not grants.may_send(agent.state, effect, sent_at):
            finish(False, False, "deadline")
            return
        flight_s = self.flight_s(agent)
        self.at(self.now + flight_s, lambda: self.arrivals[effect.target].append(self.now))
        if flight_s <= 0.1:
            agent.later(self.now + flight_s + 0.005, lambda: finish(True, True, "status 503"))
        else:
            agent.later(self.now + PROBE_TIMEOUT_S, lambda: finish(True, False, "timeout"))


class MovingWorld(World):
    """Move targets between services of several shards, and take services out of probing."""

    names: tuple[str, ...] = ()
    in_force_s = probe_schedule.CHANGE_PROPAGATION_S

    def begin(self) -> None:
        """Place three targets and start to move them."""
        self.names = services_of_two_shards()
        self.revision = 0
        self.rates = dict.fromkeys(self.names, RATE_PER_S)
        self.places = {"t-0": self.names[0], "t-1": self.names[1], "t-2": self.names[2]}
        # Accepted objects with the time of their acceptance.
        self.history: list[tuple[float, ServiceObject]] = []
        for name in self.names:
            self.accept(name)
        self.history = [(0.0, service) for _, service in self.history]
        super().begin()
        self.at(self.now + 5.0, self.change)

    def accept(self, name: str) -> None:
        """Accept a change of a service; it is in force at every agent in bounded time."""
        self.revision += 1
        targets = [target for target, place in self.places.items() if place == name]
        service = make_service(name, self.revision, targets, self.rates[name])
        self.history.append((self.now, service))
        for agent in self.agents:
            self.announce(agent, self.now, service)

    def announce(self, agent: ContendingAgent, accepted_at: float, service: ServiceObject) -> None:
        """Let a change arrive at one agent, later if the agent is cut off."""
        began = max(accepted_at, agent.cut_until)
        agent.changes.append((began + self.generator.uniform(0.0, self.in_force_s), service))

    def configure(self, agent: ContendingAgent) -> None:
        """Give a new process what is certainly in force; the rest is under way."""
        for accepted_at, service in self.history:
            if accepted_at <= self.now - self.in_force_s:
                agent.hold(service, agent.clock() if self.now > 100.0 else 0.0)
            else:
                left_s = accepted_at + self.in_force_s - self.now
                arrives = self.now + self.generator.uniform(0.0, left_s)
                agent.changes.append((arrives, service))

    def change(self) -> None:
        """Move a target, or forbid or allow the probes of a service."""
        draw = self.generator
        if draw.random() < 0.7:
            target = draw.choice(sorted(self.places))
            left = self.places[target]
            self.places[target] = draw.choice([name for name in self.names if name != left])
            joined = self.places[target]
            self.accept(left)
            self.at(self.now + draw.uniform(0.0, 0.5), lambda: self.accept(joined))
        else:
            name = draw.choice(self.names)
            self.rates[name] = 0.0 if self.rates[name] else RATE_PER_S
            self.accept(name)
        self.at(self.now + draw.uniform(1.0, 20.0), self.change)


def services_of_two_shards() -> tuple[str, ...]:
    """Give three service names, the first and the last of one shard."""
    names = [f"moving-{number}" for number in range(1000)]
    first = names[0]
    shard = probe_schedule.shard_of(first)
    other = next(name for name in names if probe_schedule.shard_of(name) != shard)
    same = next(name for name in names[1:] if probe_schedule.shard_of(name) == shard)
    return first, other, same


def shortest_gap(arrivals: list[float]) -> float:
    """Give the shortest time between two arrivals."""
    ordered = sorted(arrivals)
    pairs = itertools.pairwise(ordered)
    return min((second - first for first, second in pairs), default=FOREVER_S)


def short_intervals(world: World, interval_s: float) -> list[tuple[str, float]]:
    """List the targets where two probes arrived too close together, with the shortest gap."""
    gaps = {target: shortest_gap(arrivals) for target, arrivals in world.arrivals.items()}
    return [(target, gap) for target, gap in gaps.items() if gap < interval_s - ROUNDING_S]

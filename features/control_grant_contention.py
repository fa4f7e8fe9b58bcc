"""Agents that contend for one probe grant on a fake platform, with the real reducer."""

import heapq
import itertools
import random
from collections.abc import Callable

from poplarlane.decisions import agent_effects as effects
from poplarlane.decisions import agent_events as events
from poplarlane.decisions import control  # noqa: F401  registers the handlers
from poplarlane.decisions.agent_state import AgentState, HeldService
from poplarlane.decisions.grants import MAX_PROBE_FLIGHT_S, PROBE_TIMEOUT_S
from poplarlane.decisions.reducer import reduce
from poplarlane.objects import ProbeBudgetObject, ServiceObject, TargetObject

SERVICE = "contended"
TICK_S = 0.1
GRANT_S = 2.0
CALL_TIMEOUT_S = 2.0
RATE_PER_S = 4.0
COST_SHARE = 1.0
FOREVER_S = 1e9


class ContendingAgent:
    """Hold one process; while paused it handles nothing."""

    def __init__(self, name: str, process: int, world: "World") -> None:
        self.world = world
        self.state = AgentState(name, process, "dc", "127.0.0.1", 1)
        self.state.process = process
        self.state.grant_s = GRANT_S
        self.state.verification.ready = True
        budget = ProbeBudgetObject(
            per_target_per_s=RATE_PER_S, target_time_share=COST_SHARE, probe_cost_ms=1.0
        )
        target = TargetObject(address="127.0.0.2", port=1, data_centre="dc")
        service = ServiceObject(
            service=SERVICE,
            revision=1,
            change_id="c",
            hosts=["h"],
            probe_budget=budget,
            targets={"t": target},
        )
        self.state.services[SERVICE] = HeldService(1, b"", service, 0.0)
        self.paused_until = 0.0
        self.dead = False

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

    def step(self, kind: type, *fields) -> None:
        """Feed one event and carry out the effects that matter here."""
        world = self.world
        self.state.watch.answered_at = world.now
        event = kind(world.now, world.now, world.generator.getrandbits(64), *fields)
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
    """Hold the virtual time, the platform and the arrivals at the target."""

    def __init__(self, seed: int) -> None:
        self.generator = random.Random(seed)
        self.now = 100.0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.version = 0
        self.grant = None
        self.outage_until = 0.0
        self.arrivals: list[float] = []
        self.terms: set[int] = set()
        self.processes = itertools.count(1)
        self.agents = [self.start(f"agent-{number}") for number in range(3)]
        self.at(self.now, self.disturb)

    def start(self, name: str) -> ContendingAgent:
        """Start a process."""
        agent = ContendingAgent(name, next(self.processes), self)
        agent.later(self.now + self.generator.random(), agent.tick)
        return agent

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
        """Pause or restart a process, or take the platform away for a while."""
        draw = self.generator
        number = draw.randrange(len(self.agents))
        agent = self.agents[number]
        choice = draw.random()
        if choice < 0.5:
            agent.paused_until = self.now + draw.uniform(0.0, 9.0)
        elif choice < 0.75:
            agent.dead = True
            self.agents[number] = self.start(agent.state.name)
        else:
            self.outage_until = self.now + draw.uniform(0.0, 4.0)
        self.at(self.now + draw.uniform(0.5, 8.0), self.disturb)

    def delay(self) -> float:
        """Draw the delay of a message: mostly short, at times longer than the caller waits."""
        if self.generator.random() < 0.8:
            return self.generator.uniform(0.001, 0.05)
        return self.generator.uniform(0.05, 4.0)

    def call(self, agent: ContendingAgent, effect) -> None:
        """Carry a call to the platform; it may take effect after the caller gave up."""
        sent_at = self.now
        settled = [False]

        def settle(kind: type, *fields) -> None:
            if not settled[0]:
                settled[0] = True
                agent.step(kind, *fields)

        def arrive() -> None:
            answer = self.apply(effect)
            lost = self.generator.random() < 0.1
            if answer is not None and not lost:
                done = lambda: settle(events.GrantRead, SERVICE, *answer, sent_at)  # noqa: E731
                agent.later(self.now + self.delay(), done)

        self.at(self.now + self.delay(), arrive)
        give_up = lambda: settle(events.GrantFailed, SERVICE, "timeout")  # noqa: E731
        agent.later(sent_at + CALL_TIMEOUT_S, give_up)

    def apply(self, effect):
        """Apply a call at the platform; None during an outage."""
        if self.now < self.outage_until:
            return None
        if isinstance(effect, effects.WriteGrant) and effect.version == self.version:
            self.version += 1
            self.grant = effect.grant
            self.terms.add(effect.grant.term)
            return True, self.version, effect.grant
        return False, self.version, self.grant

    def probe(self, agent: ContendingAgent, effect: effects.SendProbe) -> None:
        """Send a probe after a short while, in which the process may be paused."""
        agent.later(self.now + self.generator.uniform(0.0, 0.02), lambda: self.send(agent, effect))

    def send(self, agent: ContendingAgent, effect: effects.SendProbe) -> None:
        """Check the deadline as the shell does, and let the probe arrive."""
        sent_at = self.now

        def finish(sent: bool, arrived: bool, reason: str) -> None:
            # A target that never answers properly stays in doubt, so the whole budget is used.
            fields = (SERVICE, "t", sent, arrived, False, -1, -1, False, sent_at, 0.01, reason)
            agent.step(events.ProbeFinished, *fields)

        if sent_at >= effect.not_after:
            finish(False, False, "deadline")
        elif self.generator.random() < 0.8:
            arrival = sent_at + self.generator.uniform(0.001, 0.1)
            self.at(arrival, lambda: self.arrivals.append(self.now))
            agent.later(arrival + 0.005, lambda: finish(True, True, "status 503"))
        else:
            arrival = sent_at + self.generator.uniform(0.1, MAX_PROBE_FLIGHT_S)
            self.at(arrival, lambda: self.arrivals.append(self.now))
            agent.later(sent_at + PROBE_TIMEOUT_S, lambda: finish(True, False, "timeout"))


def shortest_gap(arrivals: list[float]) -> float:
    """Give the shortest time between two arrivals."""
    ordered = sorted(arrivals)
    pairs = itertools.pairwise(ordered)
    return min((second - first for first, second in pairs), default=FOREVER_S)

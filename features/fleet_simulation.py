"""Many agents in one process: the reducer driven directly over a simulated network and platform."""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from typing import Any

import msgspec

from poplarlane.bench.planned_fleet import DATA_CENTRE_DELAY_MS, REGION_DELAY_MS, REGION_OF
from poplarlane.decisions import agent_effects as effects
from poplarlane.decisions import agent_events as events
from poplarlane.decisions import control  # noqa: F401  registers the handlers
from poplarlane.decisions.agent_state import AgentState, Peer
from poplarlane.decisions.effects import Log
from poplarlane.decisions.reducer import reduce
from poplarlane.exchange_messages import EXCHANGE_DECODER
from poplarlane.messages import ENCODER

TICK_S = 0.1
BOOT_S = 1.0
CALL_S = 0.003
WALL_OFFSET_S = 1_000_000.0
EXCHANGE_PORT = 24_000


class Agent:
    """Hold one simulated agent; `life` numbers its processes, 0 is none."""

    def __init__(self, name: str, centre: str, address: str) -> None:
        self.name = name
        self.centre = centre
        self.address = address
        self.life = 0
        self.state: AgentState | None = None
        self.ready_at: float | None = None
        self.bytes = 0
        self.kinds: Counter[str] = Counter()


class SimulatedFleet:
    """Run agents, a network with delays and loss, and a platform in simulated time."""

    def __init__(self, agents: int, seed: int, loss_share: float = 0.0) -> None:
        self.generator = random.Random(seed)
        self.loss_share = loss_share
        self.now = 100.0
        self.order = itertools.count()
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        centres = list(REGION_OF)
        self.agents = {
            f"agent-{n}": Agent(f"agent-{n}", centres[n % len(centres)], f"10.0.0.{n}")
            for n in range(agents)
        }
        self.revision = 0
        self.objects: dict[str, tuple[int, bytes]] = {}
        self.watches: list[tuple[Agent, int, effects.WatchObjects]] = []
        self.rows: list[events.ListedVm] = []
        self.calls: list[tuple[float, str]] = []
        self.logs: list[tuple[float, str, str, dict[str, Any]]] = []
        self.processes = itertools.count(1)

    def at(self, delay_s: float, action: Callable[[], None]) -> None:
        """Do something later."""
        heapq.heappush(self.queue, (self.now + delay_s, next(self.order), action))

    def run(self, seconds: float) -> None:
        """Advance the time."""
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            self.now, _, action = heapq.heappop(self.queue)
            action()
        self.now = end

    def start(self, agent: Agent) -> None:
        """Start a process of an agent."""
        agent.life = next(self.processes)
        agent.ready_at = None
        incarnation = round(self.now * 1000)
        state = AgentState(agent.name, incarnation, agent.centre, agent.address, EXCHANGE_PORT)
        state.process = agent.life
        for other in self.agents.values():
            if other is not agent:
                peer = Peer(other.name, other.centre, other.address, EXCHANGE_PORT, self.now)
                peer.seed = True
                state.peers[other.name] = peer
        agent.state = state
        self.step(agent, agent.life, events.AgentStarted)
        self.tick(agent, agent.life)

    def restart(self, agent: Agent) -> None:
        """Stop an agent gracefully and start it again."""
        self.step(agent, agent.life, events.AgentStopRequested)
        agent.life = 0
        self.at(BOOT_S, lambda: self.start(agent))

    def tick(self, agent: Agent, life: int) -> None:
        """Tick until the process ends."""
        if agent.life == life:
            self.step(agent, life, events.AgentTick)
            self.at(TICK_S, lambda: self.tick(agent, life))

    def step(self, agent: Agent, life: int, kind: type[events.AgentEvent], *fields: Any) -> None:
        """Apply one event to a process that still runs."""
        if agent.life != life or not life:
            return
        draw = self.generator.getrandbits(64)
        found = reduce(kind(self.now, self.now + WALL_OFFSET_S, draw, *fields), agent.state)
        for effect in found:
            self.execute(agent, effect)
        if agent.ready_at is None and agent.state.verification.ready:
            agent.ready_at = self.now

    def execute(self, agent: Agent, effect: Any) -> None:
        """Execute one effect."""
        if isinstance(effect, effects.SendToPeer):
            self.send(agent, effect)
        elif isinstance(effect, Log):
            self.logs.append((self.now, agent.name, effect.event, effect.fields))
        elif isinstance(effect, effects.ListVms):
            rows = list(self.rows)
            self.answer(agent, "vms", events.VmsListed, self.now + WALL_OFFSET_S - 1.0, rows)
        elif isinstance(effect, effects.ListObjects):
            items = [events.StoredItem(n, v, b) for n, (v, b) in self.objects.items()]
            fields = ("list", effect.kind, self.revision, items)
            self.answer(agent, f"list {effect.kind}", events.PlatformObjects, *fields)
        elif isinstance(effect, effects.WatchObjects):
            self.calls.append((self.now, "watch"))
            watch = (agent, agent.life, effect)
            self.watches.append(watch)
            self.at(effect.wait_ms / 1000, lambda: self.end_watch(watch))
            if self.revision > effect.since:
                self.end_watch(watch)

    def answer(self, agent: Agent, call: str, kind: type, *fields: Any) -> None:
        """Answer a call to the platform."""
        self.calls.append((self.now, call))
        life = agent.life
        self.at(CALL_S, lambda: self.step(agent, life, kind, *fields))

    def end_watch(self, watch: tuple[Agent, int, effects.WatchObjects]) -> None:
        """Answer a watch that still waits."""
        if watch not in self.watches:
            return
        self.watches.remove(watch)
        agent, life, effect = watch
        items = [
            events.StoredItem(name, version, body)
            for name, (version, body) in self.objects.items()
            if version > effect.since
        ]
        fields = ("watch", effect.kind, self.revision, items)
        self.at(CALL_S, lambda: self.step(agent, life, events.PlatformObjects, *fields))

    def write(self, service: dict[str, Any]) -> None:
        """Store a service object."""
        self.revision += 1
        self.objects[service["service"]] = (self.revision, msgspec.json.encode(service))
        for watch in list(self.watches):
            self.end_watch(watch)

    def send(self, agent: Agent, effect: effects.SendToPeer) -> None:
        """Carry a message."""
        payload = ENCODER.encode(effect.message)
        receiver = self.agents[effect.name]
        agent.bytes += len(payload)
        agent.kinds[type(effect.message).__name__] += len(payload)
        if self.generator.random() < self.loss_share:
            return
        far = REGION_OF[receiver.centre] != REGION_OF[agent.centre]
        near_ms = DATA_CENTRE_DELAY_MS if receiver.centre != agent.centre else 0.1
        self.at(
            (REGION_DELAY_MS if far else near_ms) / 1000, lambda: self.receive(receiver, payload)
        )

    def receive(self, agent: Agent, payload: bytes) -> None:
        """Deliver a message to whatever process runs."""
        if agent.life:
            agent.bytes += len(payload)
            self.step(agent, agent.life, events.PeerMessage, EXCHANGE_DECODER.decode(payload))

    def logged(self, *names: str) -> list[tuple[float, str, str, dict[str, Any]]]:
        """List the log lines of some events."""
        return [line for line in self.logs if line[2] in names]

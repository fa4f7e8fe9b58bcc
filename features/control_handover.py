"""Handovers of a probe grant in which every delay and clock is at the worst permitted value."""

from features.control_grant_contention import (
    FOREVER_S,
    RATE_PER_S,
    ContendingAgent,
    World,
    make_service,
    services_of_two_shards,
)
from poplarlane.decisions.membership import agent_effects as effects
from poplarlane.decisions.membership import agent_events as events
from poplarlane.decisions.probes import probe_schedule
from poplarlane.decisions.probes.probe_schedule import MAX_PROBE_FLIGHT_S, PROBE_TIMEOUT_S

SERVICE = "handed-over"
SLOW_CLOCK, FAST_CLOCK = 0.9901, 1.0099
SHORT_S = 0.001
# Flights just within the bound, so that a rounding error breaks none.
LONGEST_FLIGHT_S = MAX_PROBE_FLIGHT_S - SHORT_S
# Many targets, so that some probe leaves directly before the end of the grant.
TARGETS = [f"t-{number}" for number in range(60)]
# The second agent acts within this time of the end of its wait.
EAGER_TICK_S = 0.01
RUN_S = 24.0


class Handover(World):
    """Let one agent obtain a grant and lose the platform, and a second one take the grant over.

    The first one's clock is slow, its answer comes late, and its probes fly long. The second one's
    clock is fast, and it reads the grant as soon as it is written.
    """

    grant_duration_s = 10.0
    lost_share = 0.0
    late_answer_s = 1.5

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self.second: ContendingAgent | None = None
        super().__init__(1)

    def begin(self) -> None:
        """Start the first agent only."""
        self.first = ContendingAgent("first", 1, self, SLOW_CLOCK)
        self.configure(self.first)
        self.first.tick()

    def configure(self, agent: ContendingAgent) -> None:
        """Give a new process the service."""
        agent.hold(make_service(SERVICE, 1, TARGETS, self.rate), 0.0)

    def apply(self, effect):
        """Apply a call and react to the writes of the first agent."""
        result = super().apply(effect)
        if isinstance(effect, effects.WriteGrant) and self.second is None:
            self.on_first_write(effect)
        return result

    def on_first_write(self, _effect: effects.WriteGrant) -> None:
        """Cut the first agent off, so that it cannot renew, and start the second one."""
        self.first.cut_until = self.now + RUN_S
        self.start_second()

    def start_second(self) -> None:
        """Start the second agent, which knows every other target from an earlier grant."""
        self.second = ContendingAgent("second", 2, self, FAST_CLOCK)
        self.second.hold(make_service(SERVICE, 0, TARGETS[::2], self.rate), 0.0)
        probe_schedule.start_term(self.second.state, probe_schedule.shard_of(SERVICE))
        self.configure(self.second)
        self.second.later(self.now + SHORT_S, self.drive_second)

    def drive_second(self) -> None:
        """Let the second agent look at its grants in every tick."""
        self.second.state.probes_checked_at = 0.0
        self.second.step(events.AgentTick)
        self.second.later(self.now + EAGER_TICK_S, self.drive_second)

    def delay(self) -> float:
        """Deliver calls at once."""
        return SHORT_S

    def answer_delay(self, agent: ContendingAgent) -> float:
        """Deliver answers to the first agent late."""
        return self.late_answer_s if agent is self.first else SHORT_S

    def connect_s(self, agent: ContendingAgent) -> float:
        """Spread the probes of the first agent, so that some leave directly before its deadline."""
        return self.generator.uniform(SHORT_S, PROBE_TIMEOUT_S) if agent is self.first else SHORT_S

    def flight_s(self, agent: ContendingAgent) -> float:
        """Let the probes of the first agent arrive as late, and those of the second as early."""
        return LONGEST_FLIGHT_S if agent is self.first else SHORT_S


class Release(Handover):
    """Let the first agent stop and release its grant while its connections are being opened.

    The process is paused directly after the release, and its connections open meanwhile, before the
    answer to the release arrives.
    """

    held_s = 5.0
    pause_s = 4.0

    def on_first_write(self, effect: effects.WriteGrant) -> None:
        """Stop the first agent after a while; the second one reads the released grant."""
        if effect.grant.released:
            self.start_second()
        else:
            self.first.later(self.now + self.held_s, self.stop_first)

    def stop_first(self) -> None:
        """Stop the first agent and pause it."""
        self.first.step(events.AgentStopRequested)
        self.first.paused_until = self.now + self.pause_s


class Reconnection(World):
    """Let the holder of one shard miss a move while it is cut off, and reach the platform again.

    Each agent seeks the grant of one of the two shards. The changes made meanwhile reach the first
    agent shortly before the time in which they must be in force.
    """

    lost_share = 0.0
    cut_s = 20.0

    def begin(self) -> None:
        """Start both agents, and move the target of the first one."""
        self.left, self.joined, _ = services_of_two_shards()
        self.first = self.holder(1, self.left)
        self.second = self.holder(2, self.joined)
        self.at(self.now + 5.0, self.cut_off)
        self.at(self.now + 6.0, self.move)

    def configure(self, agent: ContendingAgent) -> None:
        """Give a new process the services."""
        agent.hold(make_service(self.left, 1, ["t"], RATE_PER_S), 0.0)
        agent.hold(make_service(self.joined, 1, [], RATE_PER_S), 0.0)

    def holder(self, process: int, name: str) -> ContendingAgent:
        """Start an agent that seeks the grant of the shard of one service only."""
        agent = ContendingAgent(f"agent-{process}", process, self, 1.0)
        self.configure(agent)
        for shard, probes in agent.state.shards.items():
            if shard != probe_schedule.shard_of(name):
                probes.next_try_at = FOREVER_S
        agent.tick()
        return agent

    def cut_off(self) -> None:
        """Cut the first agent off."""
        self.first.cut_until = self.now + self.cut_s

    def move(self) -> None:
        """Move the target to the other service."""
        changed = [make_service(self.left, 2, [], RATE_PER_S)]
        changed.append(make_service(self.joined, 2, ["t"], RATE_PER_S))
        learned_at = self.first.cut_until + probe_schedule.CHANGE_PROPAGATION_S - SHORT_S
        self.second.changes = [(self.now, service) for service in changed]
        self.first.changes = [(learned_at, service) for service in changed]

    def delay(self) -> float:
        """Deliver calls at once."""
        return SHORT_S

    def connect_s(self, _agent: ContendingAgent) -> float:
        """Open connections at once."""
        return SHORT_S

    def flight_s(self, _agent: ContendingAgent) -> float:
        """Let probes arrive at once, so that both agents use their whole budget."""
        return SHORT_S

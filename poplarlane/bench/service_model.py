"""A model of one service in virtual time: nodes with the real reducers before modelled targets.

Policies are compared under load patterns in seconds of real time. Networks and processes are left
out: a message takes its delay, and decisions take no time.
"""

import heapq
import math
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import singledispatchmethod

from poplarlane.bench.arrival_record import ArrivalRecord
from poplarlane.bench.model_targets import ModelTarget, TargetShape, Work
from poplarlane.decisions.configuration.directory import (
    Configuration,
    Directory,
    InstanceRecord,
    ServiceRecord,
    target_name,
)
from poplarlane.decisions.configuration.route_table import Route, WeightedService
from poplarlane.decisions.effects import Effect
from poplarlane.decisions.reducer import reduce
from poplarlane.decisions.requests.entry_effects import (
    CancelAttempt,
    DeliverAnswer,
    ProbeTarget,
    RefuseRequest,
    SendRequest,
    SetTimer,
)
from poplarlane.decisions.requests.entry_events import (
    AttemptSent,
    CatalogueChanged,
    EntryEvent,
    ProbeAnswered,
    RequestArrived,
    ResponseCompleted,
    ResponseMetadata,
    TimerFired,
)
from poplarlane.decisions.requests.entry_handlers import ENTRY_HANDLERS
from poplarlane.decisions.requests.entry_state import EntryState
from poplarlane.outcomes import NotRun
from poplarlane.types import Priority, RequestKind

# Importing these modules registers their handlers.
HANDLERS = ENTRY_HANDLERS
HOST = "model.example"
SERVICE = "model"
NEAR_S = 0.0001
FAR_S = 0.0005
DATA_CENTRES = ("dc-a", "dc-b", "dc-c")
WARM_UP_S = 2.0
CALLER_RETRIES = 2
# Share of its attempts that a grey target fails at once.
GREY_SHARE = 0.45


@dataclass(frozen=True, slots=True)
class Pattern:
    """Describe a load and what goes wrong; times are seconds from the start."""

    name: str
    per_s: float = 190.0
    service_time_s: float = 0.12
    aim_s: float = 0.3
    deadline_s: float = 1.2
    length_s: float = 12.0
    burst: tuple[float, float, float] = (0.0, 0.0, 1.0)
    slow_targets: int = 0
    shedding_targets: int = 0
    failing_targets: int = 0
    grey_targets: int = 0
    fault_ends_at: float = math.inf
    lost_targets: int = 0
    cold_targets: int = 0
    # Rate that cold targets sustain, and how long they say that they stay cold.
    cold_per_s: float = 0.0
    cold_for_s: float = 3.0
    limited_targets: int = 0
    rate_limit_per_s: float = 0.0
    idempotent: bool = True
    shape: TargetShape = field(default_factory=TargetShape)

    def rate(self, at: float) -> float:
        """Give the requests per second at a time."""
        begin, end, factor = self.burst
        return self.per_s * (factor if begin <= at < end else 1.0)


@dataclass(slots=True)
class Outcome:
    """Count what callers saw, and what it cost; latencies are seconds."""

    asked: int = 0
    in_aim: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    probes: int = 0
    sends: int = 0
    refusal_s: float = 0.0
    latencies: list[float] = field(default_factory=list)

    def p99_ms(self) -> float:
        """Give the p99 of what was answered."""
        ordered = sorted(self.latencies)
        return ordered[int(0.99 * (len(ordered) - 1))] * 1000.0 if ordered else math.nan


class Asked:
    """Hold one request of a caller over its tries."""

    __slots__ = ("began_at", "tries")

    def __init__(self, began_at: float) -> None:
        self.began_at = began_at
        self.tries = 0


class ModelNode:
    """Drive one node's reducer and execute its effects in the model."""

    def __init__(self, model: "ServiceModel", name: str, data_centre: str, policy: str) -> None:
        self.model = model
        self.state = EntryState(name, 1)
        self.state.policy_name = policy
        self.state.data_centre = data_centre
        self.state.other_data_centre_s = FAR_S
        self.state.probes_per_target_s = 54.0
        self.state.extra_sends = 73.0
        self.data_centre = data_centre
        self.asked: dict[int, Asked] = {}
        self.works: dict[int, tuple[ModelTarget, Work]] = {}
        self.next_request = 1
        self.timer_at = 0.0

    def feed(self, event: EntryEvent) -> None:
        """Reduce one event and execute its effects."""
        for effect in reduce(event, self.state):
            self.execute(effect)

    def ask(self, asked: Asked, now: float) -> None:
        """Let a caller's request arrive."""
        self.next_request += 1
        asked.tries += 1
        self.asked[self.next_request] = asked
        left_ms = (asked.began_at + self.model.pattern.deadline_s * 2.0 - now) * 1000.0
        random_value = self.model.generator.getrandbits(64)
        arrived = (now, random_value, self.next_request, HOST, "GET", "/x", "", left_ms, 1, False)
        self.feed(RequestArrived(*arrived))

    def delay_s(self, target: ModelTarget) -> float:
        """Give the one-way delay to a target."""
        return NEAR_S if target.data_centre == self.data_centre else FAR_S

    def metadata(self, target: ModelTarget, status: int) -> ResponseMetadata:
        """Create what a target's answer says."""
        found = ResponseMetadata()
        found.status = status
        found.not_run = status == 503
        found.running = target.running
        found.waiting = len(target.waiting)
        found.in_flight = float(target.running + len(target.waiting))
        found.slowdown = target.slowdown
        found.rate_limit_per_s = target.rate_limit_per_s
        if target.cold_until:
            found.cold_s = max(0.0, target.cold_until - self.model.now)
        return found

    @singledispatchmethod
    def execute(self, effect: Effect) -> None:
        """Ignore what the model leaves out: logs, metrics, connections."""

    @execute.register
    def _(self, effect: SendRequest) -> None:
        model = self.model
        now = model.now
        target = model.targets[effect.target.name]
        delay_s = self.delay_s(target)
        self.feed(AttemptSent(now, 0, effect.attempt_id))

        def done(status: int) -> None:
            found = self.metadata(target, status)

            def deliver(at: float) -> None:
                if found.rate_limit_per_s is not None:
                    model.arrivals.record_statement(target.name, self.state.name, at)
                self.works.pop(effect.attempt_id, None)
                random_value = model.generator.getrandbits(64)
                self.feed(ResponseCompleted(at, random_value, effect.attempt_id, found))

            model.schedule(model.now + delay_s, deliver)

        run = (self.state.name, effect.request_id)

        def begin() -> None:
            model.runs[run] += 1

        work = Work(model.pattern.service_time_s, begin, done)
        self.works[effect.attempt_id] = (target, work)
        model.outcome.sends += now >= WARM_UP_S
        model.arrivals.record(target.name, self.state.name, now + delay_s)
        model.schedule(now + delay_s, lambda at: target.arrive(work, at))

    @execute.register
    def _(self, effect: CancelAttempt) -> None:
        found = self.works.pop(effect.attempt_id, None)
        if found is not None:
            target, work = found
            at = self.model.now + self.delay_s(target)
            self.model.schedule(at, lambda now: target.cancel(work, now))

    @execute.register
    def _(self, effect: ProbeTarget) -> None:
        model = self.model
        target = model.targets[effect.target.name]
        model.outcome.probes += model.now >= WARM_UP_S
        delay_s = self.delay_s(target)

        def reach(at: float) -> None:
            found = self.metadata(target, 200)
            random_value = model.generator.getrandbits(64)
            model.schedule(
                at + delay_s,
                lambda now: self.feed(ProbeAnswered(now, random_value, effect.probe_id, found)),
            )

        model.schedule(model.now + delay_s, reach)

    @execute.register
    def _(self, effect: SetTimer) -> None:
        at = max(effect.at, self.model.now)
        self.timer_at = at

        def fire(now: float) -> None:
            if self.timer_at == at:
                self.feed(TimerFired(now, self.model.generator.getrandbits(64)))

        self.model.schedule(at, fire)

    @execute.register
    def _(self, effect: DeliverAnswer) -> None:
        self.model.answered(self.asked.pop(effect.request_id), effect.code < 1100)

    @execute.register
    def _(self, effect: RefuseRequest) -> None:
        if isinstance(effect.outcome, NotRun):
            self.model.said_not_run.add((self.state.name, effect.request_id))
        after_s = getattr(effect.outcome, "retry_after_s", 0.0)
        self.model.refused(self.asked.pop(effect.request_id), effect.outcome.status, after_s)


class ServiceModel:
    """Play one pattern with one policy."""

    def __init__(self, pattern: Pattern, policy: str, nodes: int, targets: int, seed: int) -> None:
        self.pattern = pattern
        self.generator = random.Random(f"{pattern.name}/{seed}")
        self.outcome = Outcome()
        # How often each request was begun by a target, by node and request; and what was refused
        # as not run.
        self.runs: Counter[tuple[str, int]] = Counter()
        self.said_not_run: set[tuple[str, int]] = set()
        self.arrivals = ArrivalRecord()
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[float], None]]] = []
        self.sequence = 0
        self.targets: dict[str, ModelTarget] = {}
        self.directory = Directory(0.18, policy)
        self.directory.update_configuration(self.configuration())
        for number in range(targets):
            self.add_target(number)
        self.nodes = [
            ModelNode(self, f"node-{number}", DATA_CENTRES[number % 3], policy)
            for number in range(nodes)
        ]

    def configuration(self) -> Configuration:
        """Describe the one route and service."""
        pattern = self.pattern
        kind = RequestKind(
            "model",
            frozenset(),
            "/",
            pattern.idempotent,
            Priority.NORMAL,
            pattern.deadline_s * 1000.0,
            pattern.idempotent,
        )
        parts = [WeightedService(SERVICE, 1.0)]
        record = ServiceRecord(SERVICE, "/load", 330, pattern.cold_per_s)
        route = Route("model", HOST, "/", kind, pattern.aim_s, 2, parts)
        return Configuration(1, [route], [record], None)

    def add_target(self, number: int, cold_s: float = 0.0) -> ModelTarget:
        """Add a target to the model and to the directory."""
        record = InstanceRecord(
            f"t{number}",
            SERVICE,
            "127.0.0.1",
            1_000 + number,
            DATA_CENTRES[number % 3],
            "v1",
            self.pattern.shape.slots,
            False,
            1,
            cold_s,
        )
        name = target_name(record)
        generator = random.Random(self.generator.getrandbits(64))
        target = ModelTarget(name, record.data_centre, self.pattern.shape, self.schedule, generator)
        self.targets[name] = target
        self.directory.update_instance(record, self.now)
        target.change_pace(self.now)
        return target

    def schedule(self, at: float, action: Callable[[float], None]) -> None:
        """Call an action at a time."""
        self.sequence += 1
        heapq.heappush(self.events, (at, self.sequence, action))

    def publish(self) -> None:
        """Give the directory's catalogue to all nodes."""
        for node in self.nodes:
            found = self.directory.catalogue()
            random_value = self.generator.getrandbits(64)
            node.feed(CatalogueChanged(self.now, random_value, found, len(self.nodes)))

    def run(self) -> Outcome:
        """Play the pattern to its end."""
        self.publish()
        self.schedule(0.0, self.next_arrival)
        self.schedule(self.pattern.length_s / 3.0, self.go_wrong)
        self.schedule(self.pattern.fault_ends_at, self.recover)
        end = self.pattern.length_s + 2.0 * self.pattern.deadline_s
        while self.events and self.events[0][0] <= end:
            at, _, action = heapq.heappop(self.events)
            self.now = at
            action(at)
        return self.outcome

    def next_arrival(self, now: float) -> None:
        """Let a request arrive at a random node, and plan the next."""
        if now >= self.pattern.length_s:
            return
        self.generator.choice(self.nodes).ask(Asked(now), now)
        self.schedule(now + self.generator.expovariate(self.pattern.rate(now)), self.next_arrival)

    def go_wrong(self, now: float) -> None:
        """Begin the faults of the pattern."""
        pattern = self.pattern
        names = list(self.targets)
        for name in names[: pattern.slow_targets]:
            self.targets[name].factor = 5.0
        for name in names[: pattern.shedding_targets]:
            self.targets[name].sheds = True
        for name in names[: pattern.failing_targets]:
            self.targets[name].fails = True
        for name in names[: pattern.grey_targets]:
            self.targets[name].grey_share = GREY_SHARE
        for name in names[: pattern.limited_targets]:
            self.targets[name].rate_limit_per_s = pattern.rate_limit_per_s
        for name in names[: pattern.lost_targets]:
            self.directory.remove_instance(name.split(".")[0], now)
        for _ in range(pattern.cold_targets):
            cold_s = pattern.cold_for_s if pattern.cold_per_s else 0.0
            target = self.add_target(len(self.targets), cold_s)
            target.started_at = now
            if pattern.cold_per_s:
                target.cold_until = now + cold_s
        if pattern.lost_targets or pattern.cold_targets:
            self.publish()

    def recover(self, _now: float) -> None:
        """End the faults of the targets that are still there."""
        for target in self.targets.values():
            target.factor = 1.0
            target.grey_share = 0.0
            target.sheds = target.fails = False
            target.rate_limit_per_s = None

    def counts(self, asked: Asked) -> bool:
        """Tell whether a request came after the start, in which nothing is known."""
        return asked.began_at >= WARM_UP_S

    def answered(self, asked: Asked, ok: bool) -> None:
        """Count an answer."""
        if not self.counts(asked):
            return
        outcome = self.outcome
        outcome.asked += 1
        latency_s = self.now - asked.began_at
        if not ok:
            outcome.failed += 1
            return
        outcome.latencies.append(latency_s)
        if latency_s <= self.pattern.aim_s:
            outcome.in_aim += 1
        else:
            outcome.late += 1

    def refused(self, asked: Asked, status: int, after_s: float) -> None:
        """Let a refused caller come back, or count the end of its patience."""
        may_return = status == 503 and asked.tries <= CALLER_RETRIES
        left_s = asked.began_at + 2.0 * self.pattern.deadline_s - self.now
        if may_return and after_s < left_s / 3.0:
            node = self.generator.choice(self.nodes)
            self.schedule(self.now + after_s, lambda now: node.ask(asked, now))
            return
        if not self.counts(asked):
            return
        outcome = self.outcome
        outcome.asked += 1
        if status == 503:
            outcome.refused += 1
            outcome.refusal_s += self.now - asked.began_at
        else:
            outcome.failed += 1

"""Drawn interleavings of what callers, targets, the store and the clock do to one node's reducer.

The world runs the reducer alone. Each step draws one event: a request arrives, a connection opens
or not, a target begins, refuses, fails or answers, an answer is lost, a caller leaves, a target
drains, a configuration arrives in or out of order, time passes, the node dies. What the node does
is checked against the promises to callers; `WEAKENINGS` break one rule each, to show that a check
finds it.
"""

import math
import random
from collections.abc import Callable, Iterator

from features.node_world import NOW, SLOTS
from poplarlane.decisions.choice import rate_limits
from poplarlane.decisions.cold import cold_permits
from poplarlane.decisions.configuration.directory import (
    Catalogue,
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
    CutAnswer,
    DeliverAnswer,
    ProbeTarget,
    RefuseRequest,
    SendRequest,
)
from poplarlane.decisions.requests.entry_events import (
    AttemptFailed,
    AttemptSent,
    CallerDisconnected,
    CatalogueChanged,
    EntryEvent,
    FailureCause,
    ProbeAnswered,
    ProbeFailed,
    RequestArrived,
    ResponseCompleted,
    ResponseMetadata,
    TimerFired,
)
from poplarlane.decisions.requests.entry_handlers import ENTRY_HANDLERS
from poplarlane.decisions.requests.entry_state import EntryState
from poplarlane.outcomes import NotRun
from poplarlane.types import Priority, RequestKind, Target

# Importing these modules registers their handlers with the reducer.
HANDLERS = ENTRY_HANDLERS
HOST = "h.example"
SERVICES = ("first", "second")
TARGETS_PER_SERVICE = 3
MAX_ATTEMPTS = 2
DEADLINE_S = 1.5
STEPS = 160
NODES = 4
SLOW_RATE_PER_S = 0.8
COLD_PER_S = 4.0
READ = RequestKind("read", frozenset(), "/", True, Priority.NORMAL, DEADLINE_S * 1000.0, True)
WRITE = RequestKind("write", frozenset(), "/", False, Priority.HIGH, DEADLINE_S * 1000.0, False)


class Asked:
    """Hold one request as the caller and the targets see it."""

    def __init__(self, idempotent: bool, service: str) -> None:
        self.idempotent = idempotent
        # The service that the version in force at its arrival names.
        self.service = service
        self.runs = 0
        self.ran_on: set[str] = set()
        self.answers: list[Effect] = []
        self.excused = False


class Said:
    """Hold what a target has said of itself to the present process of the node."""

    def __init__(self) -> None:
        self.leaves = False
        self.paused_until = -math.inf
        self.rate_per_s: float | None = None
        # Requests sent to the target since it named the rate.
        self.sent_at: list[float] = []
        # End of the time in which it is cold, and the requests sent to it while it was.
        self.cold_until = -math.inf
        self.sent_cold_at: list[float] = []

    def check(self, name: str, now: float) -> None:
        """Check a request that the node sends to the target."""
        assert not self.leaves, f"a request goes to {name}, which said that it leaves"
        assert now >= self.paused_until, f"a request goes to {name}, which turned the node away"
        self.check_cold(name, now)
        if self.rate_per_s is None:
            return
        self.sent_at.append(now)
        share = rate_limits.used_share(self.rate_per_s, NODES)
        interval_s = NODES / (share * self.rate_per_s)
        window_s = rate_limits.WINDOW_S
        recent = sum(now - at < window_s for at in self.sent_at)
        most = 1 + (window_s + rate_limits.PERMIT_VALID_S) / interval_s
        assert recent <= most, f"{recent} requests go to {name}, beyond the rate that it named"

    def check_cold(self, name: str, now: float) -> None:
        """Check a request to a target that may be cold against this node's part."""
        if now >= self.cold_until:
            return
        self.sent_cold_at.append(now)
        tolerance = cold_permits.cold_tolerance()
        share = rate_limits.used_share(COLD_PER_S, NODES, tolerance)
        interval_s = NODES / (share * COLD_PER_S)
        recent = sum(now - at < tolerance.window_s for at in self.sent_cold_at)
        most = 1 + (tolerance.window_s + tolerance.permit_valid_s) / interval_s
        assert recent <= most, f"{recent} requests go to {name}, which is cold"


class Sending:
    """Hold one attempt on its way to or at a target."""

    def __init__(self, request_id: int, target: Target) -> None:
        self.request_id = request_id
        self.target = target
        self.sent = False
        self.begun = False


class World:
    """Run one drawn interleaving; raises AssertionError when a promise is broken."""

    def __init__(self, seed: int, weaken: Callable[["World", EntryEvent], None] | None) -> None:
        self.generator = random.Random(f"interleaving/{seed}")
        # Draws what targets say of being cold, and leaves the other draws as they are.
        self.cold_generator = random.Random(f"cold/{seed}")
        self.weaken = weaken
        self.now = NOW
        self.version = 1
        self.next_request = 1
        self.next_instance = 0
        self.asked: dict[int, Asked] = {}
        self.sendings: dict[int, Sending] = {}
        # Targets of the probes that are not answered yet.
        self.probes: dict[int, str] = {}
        self.said: dict[str, Said] = {}
        self.directory = Directory(0.2, "measured")
        # Targets that the node was told to send nothing to any more.
        self.left: set[str] = set()
        for service in SERVICES * TARGETS_PER_SERVICE:
            self.add_instance(service)
        self.start_node()

    def configuration(self, version: int) -> Configuration:
        """Build a version; each one leads the routes to the other service."""
        parts = [WeightedService(service_of(version), 1.0)]
        routes = [
            Route(kind.name, HOST, f"/{kind.name}/", kind, 0.4, MAX_ATTEMPTS, parts)
            for kind in (READ, WRITE)
        ]
        services = [ServiceRecord(name, "/load", 330, COLD_PER_S) for name in SERVICES]
        return Configuration(version, routes, services, None)

    def add_instance(self, service: str) -> None:
        """Add a target."""
        self.next_instance += 1
        self.directory.update_instance(
            InstanceRecord(
                f"i-{self.next_instance}",
                service,
                "127.0.0.1",
                9_000 + self.next_instance,
                "dc",
                "v1",
                SLOTS,
                False,
                1,
                0.0,
            )
        )

    def start_node(self) -> None:
        """Start the node anew; requests under way at the former process get no answer."""
        for asked in self.asked.values():
            asked.excused = asked.excused or not asked.answers
        self.sendings.clear()
        self.probes.clear()
        self.said.clear()
        self.state = EntryState("node", 1)
        self.state.policy_name = "measured"
        self.state.probes_per_target_s = 60.0
        self.state.extra_sends = 200.0
        self.publish(self.version)

    def publish(self, version: int) -> None:
        """Give the node the targets of now with a version, which may be an old one."""
        self.directory.configuration = self.configuration(version)
        found: Catalogue = self.directory.catalogue()
        present = {name for service in found.services.values() for name in service.targets}
        known = {target_name(record) for record in self.directory.instances.values()}
        assert present == known
        self.feed(CatalogueChanged(self.now, self.random_value(), found, NODES))
        self.left = {name for name in self.left if name not in present}

    def random_value(self) -> int:
        """Give random bits."""
        return self.generator.getrandbits(64)

    def feed(self, event: EntryEvent) -> None:
        """Reduce one event and execute its effects."""
        if self.weaken is not None:
            self.weaken(self, event)
        for effect in reduce(event, self.state):
            self.execute(effect)

    def execute(self, effect: Effect) -> None:
        """Do what the node asks for, and check it."""
        if isinstance(effect, SendRequest):
            self.send(effect)
        elif isinstance(effect, CancelAttempt):
            self.probes.pop(effect.attempt_id, None)
            found = self.sendings.pop(effect.attempt_id, None)
            if (
                found is not None
                and found.sent
                and not found.begun
                and self.generator.random() < 0.5
            ):
                self.begin(found)
        elif isinstance(effect, ProbeTarget):
            self.probes[effect.probe_id] = effect.target.name
        elif isinstance(effect, DeliverAnswer | RefuseRequest | CutAnswer):
            self.asked[effect.request_id].answers.append(effect)

    def send(self, effect: SendRequest) -> None:
        """Check where a request goes, and open a connection or use an idle one."""
        asked = self.asked[effect.request_id]
        name = effect.target.name
        assert name not in self.left, f"a request goes to {name}, which is leaving"
        self.said.setdefault(name, Said()).check(name, self.now)
        services = [
            record.service
            for record in self.directory.instances.values()
            if target_name(record) == name
        ]
        assert services == [asked.service], f"a request for {asked.service} goes to {services}"
        self.sendings[effect.attempt_id] = Sending(effect.request_id, effect.target)
        if self.generator.random() < 0.6:
            self.connect(effect.attempt_id)

    def connect(self, attempt_id: int) -> None:
        """Write the request."""
        self.sendings[attempt_id].sent = True
        self.feed(AttemptSent(self.now, self.random_value(), attempt_id))

    def begin(self, found: Sending) -> None:
        """Let a target begin to work."""
        found.begun = True
        asked = self.asked[found.request_id]
        asked.runs += 1
        asked.ran_on.add(found.target.name)

    def run(self) -> None:
        """Take all steps, let every deadline pass, and check the end."""
        actions = [
            (self.arrive, 10),
            (self.connection_ends, 8),
            (self.target_acts, 24),
            (self.probe_ends, 16),
            (self.caller_leaves, 1),
            (self.target_leaves, 1),
            (self.target_joins, 1),
            (self.configuration_arrives, 2),
            (self.time_passes, 8),
            (self.node_dies, 0.2),
        ]
        steps, weights = zip(*actions, strict=True)
        for step in self.generator.choices(steps, weights, k=STEPS):
            step()
            self.now += self.generator.random() * 0.004
        for _ in range(40):
            self.now += DEADLINE_S / 20.0
            self.feed(TimerFired(self.now, self.random_value()))
        self.check_end()

    def arrive(self) -> None:
        """Let a request arrive."""
        self.next_request += 1
        idempotent = self.generator.random() < 0.5
        path = "/read/1" if idempotent else "/write/1"
        number = self.next_request
        self.asked[number] = Asked(idempotent, service_of(self.version))
        left_ms = self.generator.uniform(0.2, 1.0) * DEADLINE_S * 1000.0
        asked = (HOST, "GET" if idempotent else "POST", path, "", left_ms, 1, False)
        self.feed(RequestArrived(self.now, self.random_value(), number, *asked))

    def connection_ends(self) -> None:
        """Let a connection that is being opened succeed or fail."""
        waiting = [number for number, found in self.sendings.items() if not found.sent]
        if not waiting:
            return
        number = self.generator.choice(waiting)
        if self.generator.random() < 0.7:
            self.connect(number)
        else:
            del self.sendings[number]
            self.fail(number, FailureCause.CONNECT_FAILED)

    def fail(self, number: int, cause: FailureCause) -> None:
        """Report a failed attempt."""
        self.feed(AttemptFailed(self.now, self.random_value(), number, cause, "drawn"))

    def target_acts(self) -> None:
        """Let a target begin, refuse, answer or lose the answer of a request that it has."""
        waiting = [number for number, found in self.sendings.items() if found.sent]
        if not waiting:
            return
        number = self.generator.choice(waiting)
        found = self.sendings[number]
        chance = self.generator.random()
        if not found.begun and chance < 0.75:
            self.begin(found)
            return
        del self.sendings[number]
        if chance < 0.25 or (not found.begun and chance < 0.85):
            # The connection closes; what was on its way may still be begun.
            if not found.begun and self.generator.random() < 0.5:
                self.begin(found)
            self.fail(number, FailureCause.CLOSED_BEFORE_ANSWER)
            return
        metadata = ResponseMetadata()
        metadata.not_run = not found.begun
        metadata.status = 503 if metadata.not_run else 500 if chance < 0.4 else 200
        metadata.running, metadata.slowdown = 1, self.generator.choice((1.0, 1.0, 5.0))
        self.make_statement(found.target.name, metadata, False)
        self.feed(ResponseCompleted(self.now, self.random_value(), number, metadata))

    def probe_ends(self) -> None:
        """Let a probe be answered, or fail."""
        if not self.probes:
            return
        number = self.generator.choice(sorted(self.probes))
        name = self.probes.pop(number)
        if self.generator.random() < 0.1:
            self.feed(ProbeFailed(self.now, self.random_value(), number))
            return
        metadata = ResponseMetadata()
        metadata.status, metadata.running = 200, self.generator.randrange(SLOTS)
        metadata.slowdown = self.generator.choice((1.0, 1.0, 5.0))
        self.make_statement(name, metadata, True)
        self.feed(ProbeAnswered(self.now, self.random_value(), number, metadata))

    def make_statement(self, name: str, metadata: ResponseMetadata, is_probe: bool) -> None:
        """Let a target say something of itself now and then, and go on saying what it said."""
        said = self.said.setdefault(name, Said())
        chance = self.generator.random()
        said.leaves = said.leaves or chance < 0.004
        metadata.leaving = said.leaves
        if metadata.not_run and chance > 0.7:
            metadata.retry_after_s = self.generator.uniform(0.05, 0.6)
            until = self.now + metadata.retry_after_s
            said.paused_until = max(said.paused_until, until)
        if said.rate_per_s is None and 0.1 < chance < 0.13:
            said.rate_per_s = SLOW_RATE_PER_S
        elif said.rate_per_s is not None and not is_probe and chance < 0.1:
            said.rate_per_s = None
            said.sent_at.clear()
        metadata.rate_limit_per_s = said.rate_per_s
        if self.cold_generator.random() < 0.03:
            said.cold_until = self.now + self.cold_generator.choice((0.0, 0.1, 0.6, 1.5))
        if said.cold_until > -math.inf:
            metadata.cold_s = max(0.0, said.cold_until - self.now)

    def caller_leaves(self) -> None:
        """Let a caller close its connection."""
        open_requests = [number for number, found in self.asked.items() if not found.answers]
        if open_requests:
            number = self.generator.choice(open_requests)
            self.asked[number].excused = True
            self.feed(CallerDisconnected(self.now, self.random_value(), number))

    def target_leaves(self) -> None:
        """Let a target drain; a service keeps one."""
        service = self.generator.choice(SERVICES)
        found = [
            record for record in self.directory.instances.values() if record.service == service
        ]
        if len(found) > 1:
            record = self.generator.choice(found)
            self.directory.remove_instance(record.instance, self.now)
            self.left.add(target_name(record))
            self.publish(self.version)

    def target_joins(self) -> None:
        """Add a target to a service."""
        self.add_instance(self.generator.choice(SERVICES))
        self.publish(self.version)

    def configuration_arrives(self) -> None:
        """Let a newer version arrive, or an older one again."""
        if self.generator.random() < 0.5:
            self.version += 1
            self.publish(self.version)
        else:
            self.publish(self.generator.randint(1, self.version))

    def time_passes(self) -> None:
        """Let some time pass and due timers fire."""
        self.now += self.generator.expovariate(1.0 / 0.08)
        self.feed(TimerFired(self.now, self.random_value()))

    def node_dies(self) -> None:
        """Kill the node and start another process."""
        self.start_node()

    def check_end(self) -> None:
        """Check what each caller was told against what ran."""
        for number, asked in self.asked.items():
            if not asked.excused:
                assert len(asked.answers) == 1, f"{number} has {len(asked.answers)} answers"
            assert asked.idempotent or asked.runs <= 1, f"the write {number} ran {asked.runs} times"
            on = len(asked.ran_on)
            assert on <= MAX_ATTEMPTS, f"{number} ran on {on} targets"
            for effect in asked.answers:
                told_not_run = isinstance(effect, RefuseRequest) and isinstance(
                    effect.outcome, NotRun
                )
                ran = asked.runs and not asked.idempotent
                assert not (told_not_run and ran), f"{number} ran and was refused as not run"
        assert not self.state.requests and not self.state.attempts


def service_of(version: int) -> str:
    """Name the service to which a version leads."""
    return SERVICES[version % len(SERVICES)]


def forget_sendings(world: World, event: EntryEvent) -> None:
    """Take every request for one that no target may have started."""
    for request in world.state.requests.values():
        request.possibly_started = 0


def repeat_writes(world: World, event: EntryEvent) -> None:
    """Take every request for one that may be repeated."""
    for request in world.state.requests.values():
        request.idempotent = True


def lift_attempts(world: World, event: EntryEvent) -> None:
    """Leave out the route's bound on targets."""
    for request in world.state.requests.values():
        request.sends = 0


def accept_older(world: World, event: EntryEvent) -> None:
    """Let an older version replace a newer one."""
    if isinstance(event, CatalogueChanged) and world.state.routes is not None:
        world.state.routes.version = 0


def keep_leaving(world: World, event: EntryEvent) -> None:
    """Leave the targets as they are when only targets change."""
    if isinstance(event, CatalogueChanged) and world.state.catalogue:
        world.state.catalogue.update(event.catalogue.services)


def event_metadata(event: EntryEvent) -> ResponseMetadata:
    """Give what the answer of an event says; nothing for other events."""
    is_answer = isinstance(event, ResponseCompleted | ProbeAnswered)
    return event.metadata if is_answer else ResponseMetadata()


def miss_leaving(world: World, event: EntryEvent) -> None:
    """Overlook that an answer says that its target leaves."""
    event_metadata(event).leaving = False


def miss_pauses(world: World, event: EntryEvent) -> None:
    """Overlook the time for which a target wants nothing."""
    event_metadata(event).retry_after_s = None


def miss_rates(world: World, event: EntryEvent) -> None:
    """Overlook the rate that a target names."""
    event_metadata(event).rate_limit_per_s = None


def miss_cold(world: World, event: EntryEvent) -> None:
    """Overlook that a target says that it is cold."""
    event_metadata(event).cold_s = None


def lose_deadlines(world: World, event: EntryEvent) -> None:
    """Drop every timer, so that silence is never answered."""
    world.state.timers.clear()
    world.state.timer_at = 0.0


WEAKENINGS = {
    "none": None,
    "sendings are forgotten": forget_sendings,
    "writes are repeated": repeat_writes,
    "attempts are not bounded": lift_attempts,
    "older versions are accepted": accept_older,
    "leaving targets are kept": keep_leaving,
    "timers are lost": lose_deadlines,
    "leaving in answers is missed": miss_leaving,
    "pauses are missed": miss_pauses,
    "rates are missed": miss_rates,
    "cold targets are missed": miss_cold,
}


def broken_promises(weakening: str, seeds: int) -> Iterator[str]:
    """Run drawn interleavings and give the seeds that break a promise, with what is broken."""
    for seed in range(1, seeds + 1):
        try:
            World(seed, WEAKENINGS[weakening]).run()
        except AssertionError as error:
            yield f"seed {seed}: {str(error) or 'an internal check'}"

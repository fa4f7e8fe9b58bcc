"""Steps about halts of a node, and about what refuses requests by an estimate."""

import signal
import threading
import time

from behave import given, then, when

from features.node_world import NOW, SLOTS, make_state, metadata
from features.steps.node_path_steps import SAFE_ROUTE, NodeRig, read_answer, request_bytes
from poplarlane.bench.processes import Launcher
from poplarlane.decisions.choice import completion, contention, rate_limits, slowdowns
from poplarlane.decisions.health import evidence, verdicts
from poplarlane.decisions.reducer import reduce
from poplarlane.decisions.requests.entry_effects import ProbeTarget, RefuseRequest, SendRequest
from poplarlane.decisions.requests.entry_events import (
    AttemptSent,
    ProbeAnswered,
    ProcessHalted,
    RequestArrived,
    ResponseCompleted,
    TimerFired,
)
from poplarlane.decisions.requests.entry_state import Request
from poplarlane.types import Verdict

SERVICE_S = 0.1
STEP_S = 0.01
CALLERS = 24


class HaltWorld:
    """Drive the decisions of a node whose targets answer each probe at once."""

    def __init__(self, targets: int) -> None:
        self.state = make_state(targets)
        self.service = self.state.services["reads"]
        self.now = NOW
        self.next_id = 10
        # Attempts at their targets.
        self.sent: list[int] = []
        self.refused: list[int] = []
        self.answers_probes = True

    def feed(self, event) -> None:
        """Reduce an event, write what it sends, and answer its probes."""
        for effect in reduce(event, self.state):
            if isinstance(effect, SendRequest):
                self.sent.append(effect.attempt_id)
                reduce(AttemptSent(self.now, 0, effect.attempt_id), self.state)
            elif isinstance(effect, ProbeTarget) and self.answers_probes:
                self.answer_probe(effect.probe_id)
            elif isinstance(effect, RefuseRequest):
                self.refused.append(effect.request_id)

    def answer_probe(self, probe_id: int) -> None:
        """Answer a probe of an idle target."""
        self.feed(ProbeAnswered(self.now, 3, probe_id, metadata(1.0, 0)))

    def arrive(self, left_s: float) -> Request | None:
        """Let a read arrive; gives the request unless it is refused at once."""
        self.next_id += 1
        fields = ("h.example", "GET", "/x", "", left_s * 1000.0, 1, False)
        self.feed(RequestArrived(self.now, 5, self.next_id, *fields))
        return self.state.requests.get(self.next_id)

    def pass_time(self, time_s: float) -> None:
        """Let time pass in which the node runs."""
        self.now += time_s
        self.feed(TimerFired(self.now, 9))

    def answer(self) -> None:
        """Answer all requests that are at their targets."""
        sent, self.sent = self.sent, []
        for attempt_id in sent:
            self.feed(ResponseCompleted(self.now, 9, attempt_id, metadata(1.0, 0)))

    def serve(self, count: int) -> None:
        """Let reads arrive together and be answered."""
        for _ in range(count):
            self.arrive(3.0)
        self.pass_time(SERVICE_S)
        self.answer()

    def halt(self, halt_s: float) -> None:
        """Let the process stand still."""
        self.now += halt_s
        self.feed(ProcessHalted(self.now, 0, halt_s))
        self.feed(TimerFired(self.now, 9))

    def estimates(self) -> list[object]:
        """List what the decisions have measured."""
        service, loads = self.service, self.service.limits.loads
        found: list[object] = [dict(service.service_time_s), list(service.contention.means)]
        found += [max(service.health.latencies), [load.verdict for load in loads]]
        return found


@given("a node with {targets:d} targets and {count:d} reads that are answered in 0.1 s each")
def step_node(context, targets, count):
    context.world = world = HaltWorld(targets)
    for _ in range(count):
        world.serve(1)
    assert not world.refused, world.refused


@when("the node halts for {halt_s:f} s while {count:d} reads are at their targets, {times:d} times")
def step_halts(context, halt_s, count, times):
    world = context.world
    context.before = world.estimates()
    for _ in range(times):
        for _ in range(count):
            world.arrive(10.0)
        assert len(world.sent) == count, world.sent
        world.pass_time(SERVICE_S)
        world.halt(halt_s)
        world.answer()


@then("its service time, latencies, contention and verdicts are those of before")
def step_unchanged(context):
    assert context.world.estimates() == context.before, (context.world.estimates(), context.before)


@then("a read with {left_s:f} s is admitted")
def step_admitted(context, left_s):
    assert context.world.arrive(left_s) is not None


@when("the node halts for {halt_s:f} s while targets are probed")
def step_halt_probes(context, halt_s):
    world = context.world
    world.answers_probes = False
    world.now += 5.0
    world.arrive(3.0)
    context.probes = list(world.state.probes)
    assert context.probes
    world.halt(halt_s)


@then("no target is paused, and the probes are answered after it")
def step_probes_hold(context):
    world = context.world
    assert set(context.probes) <= set(world.state.probes), world.state.probes
    assert all(load.shed_until <= world.now for load in world.service.limits.loads)
    for probe_id in context.probes:
        world.answer_probe(probe_id)
    # The request that they were for waits, and is sent at the next check of the queue.
    world.pass_time(2.0 * STEP_S)
    assert world.sent


@when("the service time of the reads is taken to be {time_s:f} s")
def step_service_time(context, time_s):
    names = list(context.world.service.service_time_s)
    assert names
    context.world.service.service_time_s = dict.fromkeys(names, time_s)


@then(
    "of reads with {left_s:f} s that arrive each 0.1 s one in {least_s:f} s to {most_s:f} s is "
    "admitted"
)
def step_one_in(context, left_s, least_s, most_s):
    world = context.world
    admitted = []
    for _ in range(200):
        if world.arrive(left_s) is not None:
            admitted.append(world.now)
        world.now += 0.1
        if len(admitted) == 2:
            break
    assert len(admitted) == 2, admitted
    assert least_s - 0.15 <= admitted[1] - admitted[0] <= most_s, admitted


@then("once it is answered in 0.1 s the next reads are admitted")
def step_corrected(context):
    world = context.world
    attempt = world.state.attempts[world.sent[-1]]
    world.now = attempt.sent_at + SERVICE_S
    world.sent = [attempt.attempt_id]
    world.answer()
    for _ in range(5):
        assert world.arrive(3.0) is not None


@then("reads with {left_s:f} s that arrive each 0.1 s for {for_s:d} s are refused")
def step_short(context, left_s, for_s):
    for _ in range(for_s * 10):
        assert context.world.arrive(left_s) is None
        context.world.now += 0.1


def shut_by_latency(world: HaltWorld) -> None:
    """Let the lowest latency of the service seem to be long."""
    world.service.limits.min_latency_s, world.service.limits.min_latency_at = 30.0, world.now


def shut_by_failures(world: HaltWorld) -> None:
    """Let connections to each target fail, many times."""
    for load in world.service.limits.loads:
        for _ in range(20):
            evidence.observe_unreachable(load, world.now)


def shut_by_refusals(world: HaltWorld) -> None:
    """Let each target refuse, many times."""
    for load in world.service.limits.loads:
        for _ in range(20):
            evidence.observe_shed(load, world.now)


def shut_by_pauses(world: HaltWorld) -> None:
    """Let each target ask for years without requests."""
    found = metadata(1.0, 0)
    found.status, found.not_run, found.retry_after_s = 503, True, 999_999_999.0
    for _ in world.service.limits.loads:
        world.arrive(3.0)
    for attempt_id in list(world.state.attempts):
        world.feed(ResponseCompleted(world.now, 9, attempt_id, found))
    world.sent.clear()


def shut_by_rates(world: HaltWorld) -> None:
    """Let each target name a rate of 0."""
    for load in world.service.limits.loads:
        load.statements.heard_at = world.now
        rate_limits.set_rate(load.statements, 0.0, world.state.fleet_entries, 1 << 47)


def shut_by_verdicts(world: HaltWorld) -> None:
    """Let each target be avoided, with trials that failed."""
    for load in world.service.limits.loads:
        load.trials_failed = 8
        verdicts.set_verdict(load, Verdict.AVOIDED, world.now)


def shut_by_contention(world: HaltWorld) -> None:
    """Let every concurrency seem to slow the targets down."""
    for _ in range(100):
        for concurrency in range(1, SLOTS + 1):
            contention.observe(world.service.contention, concurrency, 1_000.0)


def shut_by_slowdowns(world: HaltWorld) -> None:
    """Let each target report that its VM is very slow."""
    for load in world.service.limits.loads:
        for _ in range(100):
            slowdowns.observe(world.service.slowdowns, 1_000.0, 1_000.0, 0.01)
        completion.observe_load_report(load, 0, 0, 1_000.0, world.now)


GATES = {
    "the lowest latency of 30 s": shut_by_latency,
    "a failed connection": shut_by_failures,
    "a refusal": shut_by_refusals,
    "a pause named by each target": shut_by_pauses,
    "a rate of 0 named by each": shut_by_rates,
    "a verdict on each target": shut_by_verdicts,
    "contention seen at each target": shut_by_contention,
    "a slowdown of 1000 seen at each": shut_by_slowdowns,
}


@when("{gate} shuts out every read")
def step_gate(context, gate):
    GATES[gate](context.world)
    context.world.refused.clear()


@then("a read finds a target again within {limit_s:f} s")
def step_reopens(context, limit_s):
    world = context.world
    ends_at = world.now + limit_s
    step_s = max(STEP_S, limit_s / 2_000.0)
    while world.now <= ends_at:
        world.arrive(3.0)
        if world.sent:
            return
        world.pass_time(step_s)
    raise AssertionError(f"no read was sent in {limit_s} s, {len(world.refused)} were refused")


@given("a real node with targets of reads that take 0.1 s")
def step_real(context):
    context.rig = NodeRig(context.resources.enter_context(Launcher()))
    context.rig.start({"reads": 8, "books": 1})
    context.rig.control(work_ms=100)
    # Stops last longer than the time that a request has, so that a service time learned from them
    # would refuse every request.
    routes = [("/views/", "reads", SAFE_ROUTE | {"timeout_s": 1.2, "target_latency_s": 0.3})]
    context.rig.control(configuration=context.rig.configuration(6, routes))
    context.rig.node.wait_for("configuration_applied", version="6")


def keep_reading(rig, until, answers) -> None:
    """Send reads one after the other; gives when each was sent, and its status."""
    while time.monotonic() < until:
        number = len(answers)
        sent_at = time.monotonic()
        answers.append((sent_at, 0))
        try:
            with rig.connect() as caller:
                caller.sendall(
                    request_bytes("GET", "/views/x", f"{threading.get_ident()}-{number}")
                )
                answers[number] = (sent_at, read_answer(caller)[0])
        except (OSError, AssertionError):
            time.sleep(0.05)


@when("it is stopped {times:d} times for 2 to 3 s while callers send reads, and goes on")
def step_stopped(context, times):
    stops = [2.0 + index / max(1, times - 1) for index in range(times)]
    until = time.monotonic() + sum(stops) + 0.5 * times + 3.0
    context.answers = [[] for _ in range(CALLERS)]
    threads = [
        threading.Thread(target=keep_reading, args=(context.rig, until, answers))
        for answers in context.answers
    ]
    for thread in threads:
        thread.start()
    for stop_s in stops:
        time.sleep(0.5)
        context.rig.node.signal(signal.SIGSTOP)
        time.sleep(stop_s)
        context.rig.node.signal(signal.SIGCONT)
    context.goes_on_at = time.monotonic()
    for thread in threads:
        thread.join()


@then("the reads of the 2 s after that are answered with status 200")
def step_real_answers(context):
    # What waited in the node's sockets is answered in the first half second.
    start = context.goes_on_at + 0.5
    found = [
        status
        for answers in context.answers
        for sent_at, status in answers
        if start <= sent_at < start + 2.0
    ]
    assert len(found) >= 20 and set(found) == {200}, found

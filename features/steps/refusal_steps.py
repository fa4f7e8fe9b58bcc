"""Steps about requests that are refused or taken back as they are sent."""

import asyncio
from unittest.mock import patch

from behave import given, then, when

from features.node_world import SLOTS
from features.shell_world import (
    Booking,
    CallerSide,
    ShellWorld,
    load_header,
    run_world,
)
from poplarlane.decisions.choice import completion
from poplarlane.decisions.requests.entry_state import RequestState, TimerKind
from poplarlane.outcomes import REFUSAL_STATUSES
from poplarlane.plumbing import pauses
from poplarlane.plumbing.caller_requests import CallerRequest
from poplarlane.plumbing.exchanges import Exchange
from poplarlane.plumbing.heads import RequestHead

STEP_S = 0.004
CONNECTIONS = 4
DRAIN_LIMIT_S = 1.75
FIRST, SECOND, WAITING = "/book/1", "/book/2", "/book/3"


class Play:
    """Play a scenario with one world inside an event loop."""

    def __init__(self) -> None:
        self.world = ShellWorld(0)

    def run(self, steps) -> None:
        """Run a coroutine function of this play."""

        async def play():
            with patch.object(pauses, "clock", self.world.clock):
                self.world.start()
                self.world.open_idle_connections(CONNECTIONS)
                await steps(self)
            self.world.end()

        asyncio.run(play())

    def send(self, caller: CallerSide, *paths: str) -> None:
        """Send bookings in turn."""
        for path in paths:
            self.world.bookings[path] = Booking()
        caller.send(list(paths))

    def request(self, path: str):
        """Return a request of the decisions."""
        found = self.world.shell.state.requests.values()
        return next((request for request in found if request.trace_id == path), None)

    async def wait_for_room(self, path: str) -> None:
        """Let targets answer that they are full until a request is queued."""
        for _ in range(20):
            self.world.answer_probes(SLOTS + 2)
            await self.world.settle()
            request = self.request(path)
            if request.state is RequestState.QUEUED and not request.awaiting_probes:
                return
            self.world.now += STEP_S
            self.world.fire()
        raise AssertionError("the booking does not wait")

    def report(self, running: int) -> None:
        """Let all targets of the bookings report the same load."""
        for load in self.world.shell.state.services["books"].loads.values():
            completion.observe_load_report(load, running, 0, 1.0, self.world.now)


@given("a stopping node with a booking that waits for room, and an idle connection to each target")
def step_stopping(context):
    async def steps(play):
        world = play.world
        play.send(CallerSide(world), WAITING)
        await play.wait_for_room(WAITING)
        # The booking's last refusal is then some time away, and before its deadline.
        world.shell.state.drain_limit_s = DRAIN_LIMIT_S
        world.shell.stop_signalled()

    context.before = steps


@when(
    "a target has room, and the check of the queue and the booking's last refusal are due together"
)
def step_due_together(context):
    async def steps(play):
        await context.before(play)
        world = play.world
        number = play.request(WAITING).request_id
        due = [
            at
            for at, _, kind, request_id in world.shell.state.timers
            if kind is TimerKind.DRAIN_REFUSAL and request_id == number
        ]
        kinds = {timer[2] for timer in world.shell.state.timers}
        assert due and TimerKind.RECHECK in kinds, world.shell.state.timers
        world.now = min(due) + STEP_S
        play.report(0)
        world.fire()
        await world.settle()

    context.play = Play()
    context.play.run(steps)


@then("the booking is refused as not run and no target has got it")
def step_not_sent(context):
    booking = context.play.world.bookings[WAITING]
    assert booking.statuses and booking.statuses[0] in REFUSAL_STATUSES, booking.statuses
    assert booking.writes == 0, booking.writes


@given(
    "a booking that waits for room behind a caller with two more, and an idle connection to each "
    "target"
)
def step_waiting(context):
    async def steps(play):
        world = play.world
        play.report(0)
        play.send(CallerSide(world), FIRST, SECOND)
        for _ in range(20):
            if world.bookings[FIRST].writes:
                break
            world.answer_probes(0)
            await world.settle()
            world.now += STEP_S
            world.fire()
        assert world.bookings[FIRST].writes == 1
        play.report(SLOTS + 2)
        play.send(CallerSide(world), WAITING)
        await play.wait_for_room(WAITING)

    context.before = steps


@when("the first one's answer gives it room, and a pause is noticed while that answer is written")
def step_paused(context):
    async def steps(play):
        await context.before(play)
        world = play.world
        side = next(side for side in world.targets if FIRST in side.waiting)
        side.waiting.remove(FIRST)
        # The first check is that of the answer itself, the second one that of the caller's next
        # request, which starts when the answer is written.
        gaps = iter([0.0, pauses.PAUSE_THRESHOLD_S + 0.5])
        play.report(0)
        with patch.object(pauses.PauseDetector, "step", lambda _self: next(gaps, 0.0)):
            side.answer("200 OK", f"x-attempt-id: {FIRST}\r\n{load_header(0)}")
        assert next(gaps, None) is None, "no pause was noticed"
        await context.after(play)

    context.paused = steps


@when("its deadline passes")
def step_deadline(context):
    async def after(play):
        world = play.world
        for _ in range(400):
            world.answer_probes(0)
            world.now += STEP_S
            world.fire()
            await world.settle()

    context.after = after
    context.play = Play()
    context.play.run(context.paused)


@then("the booking that waited was sent at most once, and not at all if it was refused as not run")
def step_kept(context):
    world = context.play.world
    booking = world.bookings[WAITING]
    assert booking.statuses, "the caller got no answer"
    assert not world.broken(), (world.broken(), booking.writes, booking.statuses)


@when(
    "a target answers a booking with {status:d} and a body of {size:d} bytes, and not that it did "
    "not run"
)
def step_unproven(context, status, size):
    async def steps(play):
        world = play.world
        play.report(0)
        play.send(CallerSide(world), WAITING)
        await world.settle()
        side = next(side for side in world.targets if WAITING in side.waiting)
        head = f"x-attempt-id: {WAITING}\r\n{load_header(0)}"
        side.answer(f"{status} Failed", head, b"x" * size)

    context.play = Play()
    context.play.run(steps)


@then("the booking's caller gets 502")
def step_unknown(context):
    booking = context.play.world.bookings[WAITING]
    assert booking.statuses == [502] and booking.writes == 1, (booking.statuses, booking.writes)


def answer(connection, request, status, headers):
    """Carry a booking or, without one, a probe on a connection, and answer it."""
    exchange = Exchange(1_001, 0, False, WAITING.encode() if request else b"", b"GET /healthz -")
    exchange.is_probe = request is None
    exchange.request = request
    connection.send(exchange)
    text = f"HTTP/1.1 {status}\r\n{load_header(0)}{headers}content-length: 2\r\n\r\nok"
    connection.data_received(text.encode())


@given("a connection on which a target has refused a booking as not run")
def step_refused(context):
    async def steps(play):
        world = play.world
        target = next(iter(world.shell.state.services["books"].loads.values())).target
        pool = world.shell.pool(target)
        context.connection = pool.take()
        context.request = CallerRequest(
            CallerSide(world).protocol, RequestHead(b"POST", b"/"), [], 0, True, 0.0
        )
        headers = f"x-attempt-id: {WAITING}\r\nx-not-executed: 1\r\n"
        answer(context.connection, context.request, "503 Busy", headers)
        assert pool.idle[-1] is context.connection
        context.pool = pool
        await context.after(play)

    context.steps = steps


@when("a probe is answered on that connection")
def step_probed(context):
    async def after(_play):
        assert context.pool.take() is context.connection
        answer(context.connection, None, "200 OK", "")
        assert context.pool.idle[-1] is context.connection
        context.taken = context.pool.take(context.request.refused_on)

    context.after = after
    Play().run(context.steps)


@then("the booking is not sent on that connection again")
def step_other_connection(context):
    assert context.taken is not None and context.taken is not context.connection
    assert context.connection.closed


@then("{count:d} drawn runs of the shell keep their promises")
def step_drawn(context, count):
    broken = [(seed, text) for seed in range(count) for text in run_world(seed).broken()]
    assert not broken, broken


@then("{count:d} drawn runs with targets whose refusals prove nothing keep their promises")
def step_drawn_unproven(context, count):
    broken = [(seed, text) for seed in range(count) for text in run_world(seed, True).broken()]
    assert not broken, broken

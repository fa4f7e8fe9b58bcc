"""Steps about errors that nobody expects, in the shell of an entry and its reducer."""

import heapq
from collections import deque
from types import SimpleNamespace
from unittest.mock import patch

from behave import given, then, when

from features.node_world import NOW, arrive, make_state
from poplarlane.decisions.requests.entry_effects import RefuseRequest, SetTimer
from poplarlane.decisions.requests.entry_events import EntryEvent
from poplarlane.decisions.requests.entry_state import TimerKind
from poplarlane.plumbing import entry_shell
from poplarlane.plumbing.entry_shell import EntryShell
from poplarlane.plumbing.turn_meter import TurnMeter


class ShellRig:
    """Hold a shell with a node's state, without sockets; effects are recorded."""

    def __init__(self, state):
        self.now = NOW
        self.later = []
        self.executed = []
        self.logged = []
        shell = object.__new__(EntryShell)
        shell.state = state
        shell.timer = None
        shell.events = deque()
        shell.is_processing = False
        shell.meter = TurnMeter()
        shell.now = lambda: self.now
        shell.random = SimpleNamespace(getrandbits=lambda _bits: 5)
        shell.pauses = SimpleNamespace(step=lambda: 0.0)
        shell.loop = SimpleNamespace(
            call_later=lambda delay_s, function: self.later.append((delay_s, function)) or "timer"
        )
        self.shell = shell

    def run(self, function, *arguments):
        """Run a step of the shell with effects and log lines recorded."""

        def execute(effect, _shell):
            if isinstance(effect, FailingEffect):
                raise ValueError("an effect failed")
            if isinstance(effect, SetTimer):
                self.shell.timer = "timer"
            if hasattr(effect, "event"):
                self.logged.append(effect.event)
            self.executed.append(effect)

        def handler_of(function, kind):
            return execute if function is entry_shell.execute else function.dispatch(kind)

        def log(event, *_arguments, **_fields):
            self.logged.append(event)

        with (
            patch.object(entry_shell, "handler_of", handler_of),
            patch.object(entry_shell, "log", log),
        ):
            function(*arguments)

    def refused(self):
        """List the requests that were refused."""
        return [found.request_id for found in self.executed if isinstance(found, RefuseRequest)]


class FailingEffect:
    """Stand for an effect whose execution fails."""


class TwoEffects(EntryEvent):
    """Stand for an event with two effects of which the first one fails."""

    __slots__ = ()


@given("an entry's shell with a timer that fails and a request whose deadline passes with it")
def step_failing_timer(context):
    state = make_state(4)
    arrive(state)
    # No service has this number.
    heapq.heappush(state.timers, (NOW + 0.001, 0, TimerKind.RECHECK, 999))
    context.rig = ShellRig(state)
    context.rig.now = NOW + 10.0


@given("an entry's shell whose reducer fails once when a timer fires")
def step_failing_reducer(context):
    state = make_state(4)
    arrive(state)
    context.rig = ShellRig(state)
    context.rig.now = NOW + 10.0
    context.fails = True


@when("the timer fires")
def step_fires(context):
    if not getattr(context, "fails", False):
        context.rig.run(context.rig.shell.timer_fired)
        return

    def fail(*_arguments):
        raise ValueError("the reducer failed")

    with patch.object(EntryShell, "feed", fail):
        context.rig.run(context.rig.shell.timer_fired)


@then("the request is refused and the failure is logged")
def step_refused(context):
    assert context.rig.refused() == [1], context.rig.executed
    assert "timer_failed" in context.rig.logged, context.rig.logged


@then("the shell sets a timer again, and the request is refused when that fires")
def step_set_again(context):
    assert not context.rig.refused() and len(context.rig.later) == 1
    _, function = context.rig.later.pop()
    context.rig.run(function)
    assert context.rig.refused() == [1], context.rig.executed


@given("an entry's shell with an event of which the first of two effects fails")
def step_two_effects(context):
    context.rig = ShellRig(make_state(1))


@when("the event is fed")
def step_fed(context):
    kept = SimpleNamespace(event="second")

    def handle(_event, _state):
        return [FailingEffect(), kept]

    with patch.object(entry_shell.reduce, "dispatch", lambda _kind: handle):
        context.rig.run(context.rig.shell.feed, TwoEffects(NOW, 5))


@then("the second effect is executed and the failure is logged")
def step_second(context):
    assert context.rig.logged == ["effect_failed", "second"], context.rig.logged

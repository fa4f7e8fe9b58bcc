"""Steps about entries that were paused."""

import threading
import time

from behave import given, then, when

from features.control_support import make_service
from poplarlane.bench.layout import ENTRY_PORT
from poplarlane.bench.processes import Launcher
from poplarlane.bench.relayed_fleet import RelayedFleet
from poplarlane.bench.standin_client import call
from poplarlane.decisions.configuration import views  # noqa: F401  registers the handlers
from poplarlane.decisions.reducer import reduce
from poplarlane.decisions.requests.entry_effects import CancelAttempt, SendRequest, SendToAgent
from poplarlane.decisions.requests.entry_events import EntryPaused, RequestArrived, ViewReceived
from poplarlane.decisions.requests.entry_state import EntryState
from poplarlane.messages import ServiceBody, ViewUpdate
from poplarlane.objects import JSON_ENCODER

SEED = 13
SERVICE = "availability"
# Longer than the gap from which on a process takes itself for paused.
PAUSED_S = 2.0
READ_TIMEOUT_S = 15.0
READ_DEADLINE_MS = 10_000


def service_with(layout, revision, serving):
    """Build the service with one selected target."""
    built = make_service(layout, SERVICE, revision)
    for name, target in built["targets"].items():
        target["labels"] = {"role": "serving" if name == serving else "resting"}
    return built


class Reads:
    """Make reads at one entry, each on a thread of its own, and keep who answered when."""

    def __init__(self, vm, count):
        self.vm = vm
        self.answers = []
        self.threads = [threading.Thread(target=self.read, daemon=True) for _ in range(count)]
        for thread in self.threads:
            thread.start()

    def read(self):
        headers = {"host": f"{SERVICE}.example", "x-deadline-ms": str(READ_DEADLINE_MS)}
        answer = call(self.vm.address, ENTRY_PORT, "GET", "/", None, headers, READ_TIMEOUT_S)
        self.answers.append((time.time(), answer.status, answer.headers.get("x-target")))

    def wait(self):
        for thread in self.threads:
            thread.join(READ_TIMEOUT_S)
        return self.answers


@given(
    '{count:d} VMs with entries, and a service at targets "t1" and "t2" of which "t1" is selected'
)
def step_vms(context, count):
    launcher = context.resources.enter_context(Launcher())
    context.fleet = RelayedFleet(launcher, SEED, ["dc-0"])
    context.fleet.start(count)
    for name in ("t1", "t2"):
        context.fleet.layout.start_target(name, "dc-0")
    context.fleet.write(service_with(context.fleet.layout, 1, "t1"))
    context.fleet.start_entries()
    context.vm = context.fleet.vms[0]
    for vm in context.fleet.vms:
        vm.entry.wait_for("service_applied", revision="1")


@when("the first entry is paused and gets {count:d} reads")
def step_pause_entry(context, count):
    context.vm.entry.pause()
    context.paused_at = time.monotonic()
    context.reads = Reads(context.vm, count)


@when("the first VM is paused and its entry gets {count:d} reads")
def step_pause_vm(context, count):
    context.vm.agent.pause()
    step_pause_entry(context, count)


@when("the first VM's agent is killed and its entry is paused and gets {count:d} reads")
def step_kill_agent(context, count):
    context.vm.agent.kill()
    step_pause_entry(context, count)


@when('the selected target is changed to "{name}" and the first VM\'s agent holds the change')
def step_change_here(context, name):
    context.fleet.write(service_with(context.fleet.layout, 2, name))
    context.vm.agent.wait_for("object_accepted", revision="2")


@when('the selected target is changed to "{name}" and the other VMs hold the change')
def step_change_there(context, name):
    context.fleet.write(service_with(context.fleet.layout, 2, name))
    for vm in context.fleet.vms[1:]:
        vm.agent.wait_for("object_accepted", revision="2")


@when("the first entry continues after more than 1.5 s")
def step_continue(context):
    # Only a stop of some length counts as a pause, so its end cannot be an event.
    time.sleep(max(0.0, context.paused_at + PAUSED_S - time.monotonic()))
    context.vm.entry.resume()


@when("the first entry continues after more than 1.5 s, and its agent once a pause is logged")
def step_continue_both(context):
    step_continue(context)
    context.vm.entry.wait_for("paused")
    context.vm.agent.resume()


@then('all {count:d} reads are answered by "{name}"')
def step_answered_by(context, count, name):
    answers = context.reads.wait()
    assert [answer[1:] for answer in answers] == [(200, name)] * count, answers


@then("the first entry logged its pause and a confirmed view")
def step_confirmed(context):
    context.vm.entry.wait_for("paused")
    context.vm.entry.wait_for("view_confirmed")


@then("the first entry logged an unconfirmed view, and no read was answered before it")
def step_unconfirmed(context):
    line = context.vm.entry.wait_for("view_unconfirmed")
    paused = context.vm.entry.wait_for("paused")
    waited = line.logged_at() - paused.logged_at()
    assert 1.9 <= waited <= 3.0, waited
    # The log line's time has milliseconds.
    assert min(answer[0] for answer in context.reads.answers) >= line.logged_at() - 0.002


def view_of(revision, serving, reply_to=0):
    """Build a view with one service and two targets."""
    targets = {
        name: {
            "address": f"10.0.0.{number}",
            "port": 80,
            "data_centre": "dc",
            "labels": {"role": "serving" if name == serving else "resting"},
        }
        for number, name in enumerate(("t1", "t2"), 1)
    }
    service = {
        "service": SERVICE,
        "revision": revision,
        "change_id": f"c{revision}",
        "hosts": ["h.example"],
        "targets": targets,
        "selectors": {"all": {"callers": "", "targets": "role=serving"}},
    }
    body = ServiceBody(SERVICE, revision, JSON_ENCODER.encode(service))
    return ViewUpdate("agent", 1, 1, True, [body], [], [], 1, [], 0, reply_to)


def sent_to(effects):
    """List the targets of the requests sent."""
    return [effect.target.name for effect in effects if isinstance(effect, SendRequest)]


@then("in the decisions an unsent attempt is cancelled, waits and is sent by the confirmed view")
def step_taken_back(context):
    state = EntryState("entry", 1)
    reduce(ViewReceived(1.0, 1, view_of(1, "t1")), state)
    arrived = RequestArrived(1.1, 1, 7, "h.example", "POST", "/", "", 9_000, 1, False)
    assert sent_to(reduce(arrived, state)) == ["t1"]
    effects = reduce(EntryPaused(9.0, 1, 7.9), state)
    assert any(isinstance(effect, CancelAttempt) for effect in effects)
    nonce = next(e.message.nonce for e in effects if isinstance(e, SendToAgent))
    # A view that was sent before the agent saw the hello may be as old as the pause.
    assert sent_to(reduce(ViewReceived(9.1, 1, view_of(1, "t1", nonce - 1)), state)) == []
    late = RequestArrived(9.15, 1, 8, "h.example", "GET", "/", "", 9_000, 1, False)
    assert sent_to(reduce(late, state)) == []
    effects = reduce(ViewReceived(9.2, 1, view_of(2, "t2", nonce)), state)
    assert sent_to(effects) == ["t2", "t2"], effects

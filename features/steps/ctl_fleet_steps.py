"""Steps about what poplarctl sees of running agents and entries."""

import json
import re
import subprocess

from behave import given, then, when

from features.ctl_world import SERVICE, finish, wait_until
from poplarlane.bench.layout import AGENT_ADMIN_PORT, PLATFORM_PORT, Layout
from poplarlane.bench.processes import Launcher, binary_path
from poplarlane.bench.standin_client import call

IN_FORCE_BOUND_S = 4.0


class Fleet:
    """Run poplarctl against a small deployment."""

    def __init__(self, launcher: Launcher, vms: int) -> None:
        self.launcher = launcher
        self.layout = Layout(launcher, seed=5)
        self.layout.start_platform()
        for number in range(1, vms + 1):
            self.layout.add_vm(f"vm-{number}", "local")

    def start(self) -> None:
        """Start agents, apply the service, and start entries."""
        layout = self.layout
        layout.start_target("target-1", "local", service_ms=2.0)
        for vm in layout.vms:
            layout.start_agent(vm)
        self.settings = self.settings_file("ctl", agents=self.agents())
        document = layout.service_object(SERVICE, {"target-1": {"role": "serving"}})
        path = self.launcher.settings_path("service", document)
        applied = self.run("apply", path, "--wait")
        assert applied.returncode == 0, applied
        for vm in layout.vms:
            layout.start_entry(vm)

    def agents(self) -> list[dict]:
        """List the agents as poplarctl's settings do."""
        return [
            {
                "name": f"agent-{vm.name}",
                "address": vm.address,
                "port": AGENT_ADMIN_PORT,
                "data_centre": vm.data_centre,
            }
            for vm in self.layout.vms
        ]

    def settings_file(self, name: str, **more: object) -> str:
        """Write settings of poplarctl."""
        settings = {"platform_address": self.layout.platform_address, "operator": "ana"}
        settings |= {"platform_port": PLATFORM_PORT, "timeout_ms": 5000}
        return self.launcher.settings_path(name, settings | more)

    def popen(self, *words: str, settings: str | None = None):
        """Start poplarctl."""
        command = [binary_path("poplarctl"), *words, "--settings", settings or self.settings]
        return subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)

    def run(self, *words: str, settings: str | None = None):
        """Run poplarctl to its end."""
        return finish(self.popen(*words, settings=settings))

    def status(self) -> dict:
        """Run the status command."""
        return json.loads(self.run("status", "--output", "json").stdout)

    def faults(self, **faults: object) -> None:
        """Set faults of the platform."""
        call(self.layout.platform_address, PLATFORM_PORT, "POST", "/v1/faults", faults)

    def write(self, kind: str, document: dict) -> None:
        """Write an object as another tool would."""
        path = f"/v1/objects/{kind}/{SERVICE}"
        answer = call(self.layout.platform_address, PLATFORM_PORT, "PUT", path, document)
        assert answer.status == 200, answer.body


@given("{count:d} VMs with an agent and an entry each and the service of the operators")
def step_fleet(context, count):
    launcher = context.resources.enter_context(Launcher())
    context.fleet = Fleet(launcher, count)
    context.fleet.start()


@when("an operator changes a label with --wait")
def step_change(context):
    words = ("set-label", SERVICE, "target-1", "tier=gold", "--wait")
    context.result = context.fleet.run(*words)
    assert context.result.returncode == 0, context.result


@then("the change is in force on {count:d} agents and entries in at most 4 s by the printed time")
def step_in_force(context, count):
    text = context.result.stdout
    print(text)
    assert f"in force everywhere ({count} agents, {count} entries)" in text, text
    seconds = float(re.search(r"total time ([0-9.]+) s", text)[1])
    assert seconds <= IN_FORCE_BOUND_S, text


@then("wait finds the agents through the platform's VM list as well")
def step_listed(context):
    settings = context.fleet.settings_file("listed", agent_admin_port=AGENT_ADMIN_PORT)
    result = context.fleet.run("wait", SERVICE, settings=settings)
    assert result.returncode == 0 and "3 agents, 3 entries" in result.stdout, result


@then("status shows {agents:d} agents and {entries:d} entries with the same revision")
def step_status(context, agents, entries):
    shown = context.fleet.status()["agents"]
    assert len(shown) == agents, shown
    applied = [entry["applied"][SERVICE] for agent in shown for entry in agent["entries"]]
    assert len(applied) == entries, shown
    context.revision = applied[0]
    assert {context.revision} == {*applied, *(agent["revisions"][SERVICE] for agent in shown)}


@when("another tool writes an unknown field into the service and its copy")
def step_bad(context):
    shown = json.loads(context.fleet.run("get", SERVICE, "--output", "json").stdout)
    bad = shown["object"] | {"revision": context.revision + 1, "colour": "red"}
    for kind in ("services", "service-copies"):
        context.fleet.write(kind, bad)


@then("status names the rejected object, its field and its reason")
def step_rejected(context):
    wait_until(lambda: context.fleet.status()["rejected"], "a rejected object")
    text = context.fleet.run("status").stdout
    rejected = [line for line in text.splitlines() if line.startswith("rejected:")]
    assert any(
        f"services/{SERVICE}" in line and "colour" in line and "unknown field" in line
        for line in rejected
    ), text


@then("a label change is based on the object that the agents hold and is in force with --wait")
def step_recover(context):
    result = context.fleet.run("set-label", SERVICE, "target-1", "site=brasov", "--wait")
    assert result.returncode == 0 and "bad object was replaced" in result.stdout, result
    shown = json.loads(context.fleet.run("get", SERVICE, "--output", "json").stdout)["object"]
    labels = shown["targets"]["target-1"]["labels"]
    assert labels == {"role": "serving", "tier": "gold", "site": "brasov"}, labels
    assert shown["revision"] > context.revision, shown
    context.revision = shown["revision"]


@when("the platform of the fleet is in an outage")
def step_outage(context):
    context.fleet.faults(outage=True)


@then("wait for the revision in force ends with status 0 and for the next one with status 6")
def step_wait_outage(context):
    fleet, held = context.fleet, str(context.revision)
    assert fleet.run("wait", SERVICE, "--revision", held).returncode == 0
    following = str(context.revision + 1)
    words = ("wait", SERVICE, "--revision", following, "--wait-timeout", "0.2")
    assert fleet.run(*words).returncode == 6


@when("the outage is over and the third agent is paused")
def step_pause(context):
    context.fleet.faults(outage=False)
    context.fleet.layout.vms[2].agent.pause()


@then("a change with --wait ends with status 6 and names the third agent")
def step_timeout(context):
    words = ("set-label", SERVICE, "target-1", "tier=iron", "--wait", "--wait-timeout", "2.5")
    result = context.fleet.run(*words)
    assert result.returncode == 6 and "agent-vm-3" in result.stderr, result


@then("when the agent runs again wait ends with status 0")
def step_resumed(context):
    context.fleet.layout.vms[2].agent.resume()
    result = context.fleet.run("wait", SERVICE)
    assert result.returncode == 0, result

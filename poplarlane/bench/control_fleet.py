"""Agents over a generated configuration, and what they use."""

import random
import time
from typing import Any, Literal

import msgspec
import psutil

from poplarlane.bench.layout import AGENT_ADMIN_PORT, PLATFORM_PORT, Layout, Vm
from poplarlane.bench.processes import Launcher
from poplarlane.bench.standin_client import call
from poplarlane.objects import PROBE_GRANTS_KIND

MAX_IN_FORCE_S = 4.0
MAX_CPU_SHARE = 0.043
MAX_MEMORY_MB = 128.0
MAX_KB_PER_S = 19.0
# Calls in an outage and in the first seconds after it, as multiples of the usual rate.
MAX_OUTAGE_FACTOR = 3.0
DATA_CENTRES = ("dc-a", "dc-b", "dc-c")
SETTLE_S = 5.0
# Thousands of facts reach all agents in this time; they are a one-time cost.
LISTED_SETTLE_S = 20.0
# Grants are obtained within the agents' bound on calls, so hundreds of them take a while.
PROBES_SETTLE_S = 30.0
START_TIMEOUT_S = 60.0
DAILY_CHANGES = 26_000
SECONDS_PER_DAY = 86_400

Figures = dict[str, float]
Measured = tuple[Figures, bool]


class ControlExperiment(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Describe one measurement of the control work; `control` names the measure."""

    name: str
    control: Literal[
        "cost",
        "calls",
        "outage",
        "in-force",
        "fleet-cost",
        "fleet-in-force",
        "fleet-partition",
        "fleet-data-centre-lost",
        "fleet-restart-wave",
        "fleet-restarts",
        "fleet-sequence",
        "soak",
    ]
    agents: int = 24
    services: int = 3
    targets: int = 36
    sizes: tuple[int, ...] = (6, 12, 24)
    changes: int = 50
    seconds: float = 20.0
    listed: bool = False
    gzip: bool = True
    measures: tuple[str, ...] = ()
    probe_rate: float = 0.0
    loss_share: float = 0.0
    platform_fault: Literal["none", "slow", "outage"] = "none"
    operators: int = 4
    seed: int = 1


class Fleet:
    """Run agents over a generated configuration whose targets do not exist."""

    __slots__ = ("layout", "generator", "services", "probe_rate", "data_centres")

    def __init__(self, launcher: Launcher, seed: int, probe_rate: float) -> None:
        self.probe_rate = probe_rate
        self.layout = Layout(launcher, seed)
        self.generator = random.Random(seed)
        self.services: dict[str, dict[str, Any]] = {}
        self.data_centres = DATA_CENTRES

    def start(self, agents: int, services: int, targets: int) -> float:
        """Start everything; give the seconds until all agents were ready."""
        self.layout.start_platform(writes_per_s=100_000, reads_per_s=100_000)
        self.write_services(services, targets)
        for number in range(agents):
            self.layout.add_vm(f"vm-{number}", DATA_CENTRES[number % len(DATA_CENTRES)])
        began = time.monotonic()
        for vm in self.vms:
            self.layout.start_agent(vm, None)
        for vm in self.vms:
            vm.agent.wait_for("ready", START_TIMEOUT_S)
        return time.monotonic() - began

    def write_services(self, services: int, targets: int) -> None:
        """Write generated services over which the targets are spread evenly."""
        for number in range(services):
            count = targets // services + (number < targets % services)
            self.write(self.generated(f"service-{number}", count))

    @property
    def vms(self) -> list[Vm]:
        """List the VMs."""
        return self.layout.vms

    def generated(self, name: str, targets: int) -> dict[str, Any]:
        """Build a service object of about 4 KB for 15 targets."""
        built = self.layout.service_object(name, {})
        built["probe_budget"] = {
            "per_target_per_s": self.probe_rate,
            "target_time_share": 1.0,
            "probe_cost_ms": 1.0,
        }
        built["targets"] = {
            f"{name}-target-{number}": {
                # Loopback addresses on which nothing listens: a probe is refused at once.
                "address": f"127.{200 + number // 250}.{len(self.services) % 250}.{number % 250}",
                "port": 20_000 + len(self.services),
                "data_centre": self.data_centres[number % len(self.data_centres)],
                "labels": {"role": "serving", "site": "brasov", "floor": str(number % 7)},
            }
            for number in range(targets)
        }
        return built

    def write(self, service: dict[str, Any]) -> float:
        """Write an object and its copy; give the wall-clock time before the write."""
        at = time.time()
        for kind in ("services", "service-copies"):
            path = f"/v1/objects/{kind}/{service['service']}"
            answer = call(self.layout.platform_address, PLATFORM_PORT, "PUT", path, service)
            if answer.status != 200:
                raise RuntimeError(f"write of {path} failed with {answer.status}")
        self.services[service["service"]] = service
        return at

    def change(self, name: str) -> tuple[int, float]:
        """Change a label of a service; give the new revision and the time before the write."""
        service = self.services[name]
        service["revision"] += 1
        service["change_id"] = f"{name}-{service['revision']}"
        for target in service["targets"].values():
            target["labels"]["floor"] = str(self.generator.randrange(100))
            break
        return service["revision"], self.write(service)

    def list_targets(self) -> None:
        """Put every target on the platform's list of VMs."""
        for service in self.services.values():
            for name, target in service["targets"].items():
                centre = target["data_centre"]
                self.layout.register_vm(name, target["address"], centre, "target")

    def set_outage(self, outage: bool) -> None:
        """Make the platform unavailable, or available again."""
        faults = {"outage": outage}
        call(self.layout.platform_address, PLATFORM_PORT, "POST", "/v1/faults", faults)

    def calls_per_s(self, seconds: float) -> float:
        """Measure the calls of all agents over some time."""
        before, began = self.platform_calls(), time.monotonic()
        time.sleep(seconds)
        return (self.platform_calls() - before) / (time.monotonic() - began)

    def platform_calls(self) -> int:
        """Count the calls of agents."""
        callers = self.call_counts()["by_caller"].items()
        return sum(count for name, count in callers if name.startswith("agent-"))

    def grant_writes(self) -> int:
        """Count the writes of probe grants."""
        return self.call_counts()["by_kind"].get(f"put {PROBE_GRANTS_KIND}", 0)

    def call_counts(self) -> dict[str, Any]:
        """Give the platform's counts of calls."""
        return call(self.layout.platform_address, PLATFORM_PORT, "GET", "/v1/calls").json()


class Usage:
    """Hold what an agent used up to one moment."""

    __slots__ = ("cpu_s", "memory_mb", "sent_kb", "received_kb", "probes")

    def __init__(self, vm: Vm) -> None:
        process = psutil.Process(vm.agent.popen.pid)
        times = process.cpu_times()
        self.cpu_s = times.user + times.system
        self.memory_mb = process.memory_info().rss / 1e6
        shown = call(vm.address, AGENT_ADMIN_PORT, "GET", "/status").json()
        platform = shown["platform"]
        self.sent_kb = (shown["exchange"]["sent_bytes"] + platform["sent_bytes"]) / 1e3
        self.received_kb = (shown["exchange"]["received_bytes"] + platform["received_bytes"]) / 1e3
        self.probes = shown["counts"].get("probes_sent", 0)


def keep_changing(fleet: Fleet, seconds: float) -> int:
    """Make changes at the planned daily rate for some seconds; give their number."""
    interval_s = SECONDS_PER_DAY / DAILY_CHANGES
    end = time.monotonic() + seconds
    count = 0
    while time.monotonic() < end:
        fleet.change(fleet.generator.choice(list(fleet.services)))
        count += 1
        time.sleep(max(0.0, min(interval_s, end - time.monotonic())))
    return count

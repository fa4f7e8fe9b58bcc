"""Start and change the processes of an experiment: stand-ins, agents and entries."""

import sys
import time
from pathlib import Path
from typing import Any

import msgspec

from poplarlane.bench.experiment import LayoutPlan, ServicePlan, Variant
from poplarlane.bench.layout import (
    ENTRY_ADMIN_PORT,
    ENTRY_PORT,
    PLATFORM_PORT,
    TARGET_PORT,
    Vm,
    agent_settings,
    entry_settings,
    register_vm,
)
from poplarlane.bench.processes import Launcher, Process
from poplarlane.bench.standin_client import call
from poplarlane.objects import (
    SERVICE_COPIES_KIND,
    SERVICES_KIND,
    SelectorObject,
    ServiceObject,
    TargetObject,
    encode_service,
)
from poplarlane.settings import ProxyRoute

PROXY_PORT = 25_000
PROXY_ADMIN_PORT = 25_001
READY_TIMEOUT_S = 60.0
READY_POLL_S = 0.05
EXIT_TIMEOUT_S = 45.0
# Agents need a few contacts to start with; they learn the others from these.
SEED_PEERS = 4
DRAIN_NOTICE_MS = 1_000.0
NORMAL_SWITCHES = {
    "slow_factor": 1.0,
    "fail_fast": 0.0,
    "shed": 0.0,
    "shed_above_queue": -1,
    "drain": False,
    "drain_notice_ms": 0.0,
    "announce": "answers",
    "cold_start_ms": 0.0,
    "report": "true",
    "report_lag_ms": 0.0,
}


class TargetPlace:
    """Hold one target process, its place and the names of its proxy route and ledger file."""

    __slots__ = ("name", "service", "index", "address", "data_centre", "process", "incarnation")

    def __init__(self, name: str, service: ServicePlan, index: int, address: str) -> None:
        self.name = name
        self.service = service
        self.index = index
        self.address = address
        self.data_centre = ""
        self.process: Process | None = None
        self.incarnation = 1


class Fleet:
    """Hold the processes of one layout."""

    def __init__(self, launcher: Launcher, layout: LayoutPlan, seed: int, proxied: bool) -> None:
        self.launcher = launcher
        self.layout = layout
        self.seed = seed
        self.platform_address = launcher.new_host()
        self.proxy_address = launcher.new_host() if proxied else ""
        self.vms = [self.place_vm(number) for number in range(layout.entries)]
        self.targets = [
            self.place_target(service, index)
            for service in layout.services
            for index in range(service.targets)
        ]
        self.variant: Variant | None = None

    def data_centre(self, number: int) -> str:
        """Spread over the data centres in turn."""
        return self.layout.data_centres[number % len(self.layout.data_centres)]

    def place_vm(self, number: int) -> Vm:
        """Give a VM its name, address and data centre."""
        return Vm(f"vm-{number + 1}", self.launcher.new_host(), self.data_centre(number))

    def place_target(self, service: ServicePlan, index: int) -> TargetPlace:
        """Give a target its name, address and data centre."""
        name = f"{service.service}-{index + 1}"
        place = TargetPlace(name, service, index, self.launcher.new_host())
        place.data_centre = self.data_centre(index)
        return place

    def start(self, agents: bool) -> None:
        """Start everything but the entries; without agents for the pass-through alone."""
        settings = {"listen_address": self.platform_address, "listen_port": PLATFORM_PORT}
        platform = self.launch("poplarlane-standin-platform", "platform", settings)
        for place in self.targets:
            self.launch_target(place)
        self.wait_ready([platform, *(place.process for place in self.targets)])
        if self.proxy_address:
            self.start_proxy()
        self.register_all()
        self.write_services()
        if agents:
            self.start_agents()

    def launch(self, binary: str, name: str, settings: dict[str, Any]) -> Process:
        """Start one daemon without waiting for it."""
        full = {"name": name, "seed": self.seed} | settings
        return self.launcher.start(binary, full, ready_event=None)

    def wait_ready(self, processes: list[Process]) -> None:
        """Wait until each of the processes is ready."""
        for process in processes:
            process.wait_for("ready", READY_TIMEOUT_S)

    def launch_target(self, place: TargetPlace) -> None:
        """Start the process of a target."""
        service = place.service
        settings = {
            "listen_address": place.address,
            "listen_port": TARGET_PORT,
            "seed": self.seed * 1_000 + self.targets.index(place),
            "slots": service.slots,
            "service_ms": service.service_ms,
            "service_distribution": service.distribution,
            "connect_ms": self.layout.connect_ms,
            "probe_ms": service.probe_ms,
            "max_connections": service.limits.connections_per_target,
            "ledger_file": self.ledger_path(place),
            "delay_ms_by_source": {
                vm.address: self.layout.delay_ms
                for vm in self.vms
                if vm.data_centre != place.data_centre
            },
        }
        place.process = self.launch("poplarlane-standin-target", place.name, settings)

    def ledger_path(self, place: TargetPlace) -> str:
        """Name the file that a stopped target leaves its ledger in."""
        return str(Path(self.launcher.directory.name) / f"{place.name}.ledger.json")

    def start_proxy(self) -> None:
        """Start a proxy with one route per target."""
        routes = [
            ProxyRoute(
                name=place.name,
                listen_address=self.proxy_address,
                listen_port=PROXY_PORT + 2 + number,
                upstream_address=place.address,
                upstream_port=TARGET_PORT,
            )
            for number, place in enumerate(self.targets)
        ]
        settings = {
            "admin_address": self.proxy_address,
            "admin_port": PROXY_ADMIN_PORT,
            "routes": [msgspec.structs.asdict(route) for route in routes],
        }
        self.wait_ready([self.launch("poplarlane-standin-proxy", "proxy", settings)])

    def address_of(self, place: TargetPlace) -> tuple[str, int]:
        """Give the address at which entries reach a target."""
        if self.proxy_address:
            return (self.proxy_address, PROXY_PORT + 2 + self.targets.index(place))
        return (place.address, TARGET_PORT)

    def register_all(self) -> None:
        """Put every VM on the platform's list."""
        for vm in self.vms:
            register_vm(self.platform_address, vm.name, vm.address, vm.data_centre, "poplarlane")
        for place in self.targets:
            self.register_target(place, "live")

    def register_target(self, place: TargetPlace, state: str) -> None:
        """Put the state of a target on the platform's list."""
        register_vm(
            self.platform_address,
            place.name,
            place.address,
            place.data_centre,
            "target",
            state,
            place.incarnation,
        )

    def platform_call(self, method: str, path: str, document: Any) -> None:
        """Call the platform; raises RuntimeError unless it succeeds."""
        answer = call(self.platform_address, PLATFORM_PORT, method, path, document)
        if answer.status != 200:
            raise RuntimeError(f"{method} {path}: status {answer.status}: {answer.body[:200]!r}")

    def write_services(self) -> None:
        """Write the service objects and their copies."""
        for service in self.layout.services:
            body = encode_service(self.service_object(service))
            for kind in (SERVICES_KIND, SERVICE_COPIES_KIND):
                self.platform_call("PUT", f"/v1/objects/{kind}/{service.service}", body)

    def service_object(self, service: ServicePlan) -> ServiceObject:
        """Build the configuration of a service."""
        targets = {}
        for place in self.targets:
            if place.service is service:
                address, port = self.address_of(place)
                targets[place.name] = TargetObject(
                    address=address,
                    port=port,
                    data_centre=place.data_centre,
                    labels={"role": "serving"},
                )
        return ServiceObject(
            service=service.service,
            revision=1,
            change_id=f"initial-{service.service}",
            hosts=[f"{service.service}.example"],
            requests=[kind.as_object() for kind in service.kinds],
            limits=service.limits,
            probe_budget=service.probe_budget,
            targets=targets,
            selectors={"all": SelectorObject(callers="kind", targets="role=serving")},
        )

    def start_agents(self) -> None:
        """Start one agent per VM."""
        for number, vm in enumerate(self.vms):
            peers = [self.vms[(number + step) % len(self.vms)] for step in range(1, SEED_PEERS + 1)]
            settings = agent_settings(
                vm, self.platform_address, [peer for peer in peers if peer is not vm]
            )
            settings["seed"] = self.seed * 1_000 + number
            # No target changes its service here, and the phases are shorter than the wait.
            settings["moved_target_wait_ms"] = 0
            vm.agent = self.launch("poplarlane-agent", settings["name"], settings)
        self.wait_ready([vm.agent for vm in self.vms])

    def start_entries(self, variant: Variant) -> None:
        """Start the entries of a variant and wait until they are ready."""
        self.variant = variant
        if variant.direct:
            return
        for vm in self.vms:
            self.launch_entry(vm)
        self.wait_ready([vm.entry for vm in self.vms])
        for vm in self.vms:
            wait_until_ready(vm)

    def launch_entry(self, vm: Vm) -> None:
        """Start the entry of a VM as the variant wants it."""
        if self.variant.passthrough:
            self.launch_passthrough(vm)
            return
        settings = entry_settings(vm) | {
            "seed": self.seed * 1_000 + self.vms.index(vm),
            "data_centre_delay_ms": {
                other: self.layout.delay_ms
                for other in self.layout.data_centres
                if other != vm.data_centre
            },
        }
        full = settings | self.variant.settings
        vm.entry = self.launch("poplarlane-entry", settings["name"], full)

    def launch_passthrough(self, vm: Vm) -> None:
        """Start the bare pass-through in the place of a VM's entry."""
        settings = {
            "name": f"entry-{vm.name}",
            "listen_address": vm.address,
            "listen_port": ENTRY_PORT,
            "admin_port": ENTRY_ADMIN_PORT,
            "targets": self.targets_by_host(),
            **self.variant.settings,
        }
        name = settings["name"]
        path = self.launcher.settings_path(name, settings)
        module = [sys.executable, "-m", "poplarlane.bench.broken_passthrough"]
        vm.entry = Process(name, [*module, "--settings", path])
        self.launcher.processes[name] = vm.entry

    def targets_by_host(self) -> dict[str, list[tuple[str, int]]]:
        """List the addresses of the targets per host name."""
        hosts: dict[str, list[tuple[str, int]]] = {}
        for place in self.targets:
            hosts.setdefault(f"{place.service.service}.example", []).append(self.address_of(place))
        return hosts

    def end_entries(self) -> None:
        """End all entries at once, between segments."""
        for vm in self.vms:
            if vm.entry is not None:
                vm.entry.kill()
                vm.entry = None

    def caller_addresses(self) -> list[tuple[str, int, int]]:
        """List address, port and admin port of whatever callers reach; 0 means no admin port."""
        if self.variant.direct:
            return [(*self.address_of(place), 0) for place in self.targets]
        return [(vm.address, ENTRY_PORT, ENTRY_ADMIN_PORT) for vm in self.vms]

    def control(self, place: TargetPlace, switches: dict[str, Any]) -> float:
        """Set switches of a target; gives the time at the target."""
        answer = call(place.address, TARGET_PORT, "POST", "/_control", switches)
        if answer.status != 200:
            raise RuntimeError(f"{place.name}: {answer.body!r}")
        return answer.json()["now"]

    def wait_listening(self, place: TargetPlace) -> None:
        """Wait until a target that closed its listener accepts connections again."""
        deadline = time.monotonic() + READY_TIMEOUT_S
        while True:
            try:
                self.control(place, {})
                return
            except OSError:
                if time.monotonic() > deadline:
                    raise
            time.sleep(READY_POLL_S)

    def find(self, service: str, index: int) -> list[TargetPlace]:
        """Find the targets that an action names; an empty service or -1 names all."""
        return [
            place
            for place in self.targets
            if service in ("", place.service.service) and index in (-1, place.index)
        ]


def wait_until_ready(vm: Vm) -> None:
    """Wait until the readiness check of an entry succeeds."""
    deadline = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < deadline:
        try:
            if call(vm.address, ENTRY_ADMIN_PORT, "GET", "/_ready").status == 200:
                return
        except OSError:
            pass
        time.sleep(READY_POLL_S)
    raise TimeoutError(f"entry of {vm.name} is not ready")

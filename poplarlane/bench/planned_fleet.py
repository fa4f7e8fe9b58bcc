"""The planned fleet: agents in 7 data centres of 3 regions, with delays between them."""

import time
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import psutil

from poplarlane.bench.control_fleet import (
    LISTED_SETTLE_S,
    SETTLE_S,
    START_TIMEOUT_S,
    ControlExperiment,
    Fleet,
)
from poplarlane.bench.layout import Vm
from poplarlane.bench.processes import Launcher, LogLine
from poplarlane.bench.relayed_fleet import RelayedFleet

REGIONS = {
    "north": ("dc-n1", "dc-n2", "dc-n3"),
    "east": ("dc-e1", "dc-e2"),
    "south": ("dc-s1", "dc-s2"),
}
REGION_OF = {centre: region for region, centres in REGIONS.items() for centre in centres}
# One way; assumed.
REGION_DELAY_MS = 20.0
DATA_CENTRE_DELAY_MS = 1.0
ENTRY_VMS = 3
CALL_THREADS = 8
SUSPICIONS = ("agent_suspected", "agent_gone", "own_network_suspected")


class PlannedFleet:
    """Run the agents behind one relay process per data centre."""

    def __init__(self, launcher: Launcher, options: ControlExperiment) -> None:
        self.options = options
        centres = list(REGION_OF)
        self.relayed = RelayedFleet(launcher, options.seed, centres, proxy_per_data_centre=True)
        self.fleet = Fleet(launcher, options.seed, options.probe_rate)
        self.fleet.layout = self.relayed.layout
        self.fleet.data_centres = tuple(centres)
        self.threads = ThreadPoolExecutor(CALL_THREADS)
        self.relay_cpu_s = 0.0
        self.measured_from = 0.0

    def start(self) -> None:
        """Start everything, let it settle, and begin to measure the relays."""
        options = self.options
        rates = {"writes_per_s": 100_000, "reads_per_s": 100_000}
        self.relayed.prepare(options.agents, gzip=options.gzip, **rates)
        self.fleet.write_services(options.services, options.targets)
        self.delay_messages()
        self.relayed.start_agents(self.vms, START_TIMEOUT_S)
        self.relayed.start_entries_of(self.vms[:ENTRY_VMS])
        if options.listed:
            self.fleet.list_targets()
        self.relayed.lose_messages(options.loss_share)
        time.sleep(LISTED_SETTLE_S if options.listed else SETTLE_S)
        self.relay_cpu_s = self.relay_cpu()
        self.measured_from = time.monotonic()

    @property
    def vms(self) -> list[Vm]:
        """List all VMs."""
        return self.relayed.vms

    def delay_messages(self) -> None:
        """Delay messages between data centres and between regions."""
        for centre, region in REGION_OF.items():
            for vm in self.vms:
                if vm.data_centre != centre:
                    far = REGION_OF[vm.data_centre] != region
                    delay_ms = REGION_DELAY_MS if far else DATA_CENTRE_DELAY_MS
                    self.relayed.proxy(f"{centre}-{vm.name}", delay_ms=delay_ms)

    def cut_off(self, region: str, partition: bool) -> None:
        """Separate a region from the others and the platform, or join it again."""
        routes = [
            f"{centre}-{vm.name}"
            for centre in REGION_OF
            for vm in self.vms
            if (REGION_OF[centre] == region) != (REGION_OF[vm.data_centre] == region)
        ]
        routes += [f"platform-{centre}" for centre in REGIONS[region]]
        list(self.threads.map(lambda name: self.relayed.proxy(name, partition=partition), routes))

    def statuses(self, vms: list[Vm]) -> list[dict[str, Any]]:
        """Read the status of some agents."""
        return list(self.threads.map(self.relayed.status, vms))

    def all_ready(self, vms: list[Vm]) -> bool:
        """Tell whether some agents are ready."""
        return all(self.threads.map(self.relayed.is_ready, vms))

    def relay_cpu(self) -> float:
        """Give the CPU seconds of the busiest relay."""
        used = (psutil.Process(p.popen.pid).cpu_times() for p in self.relayed.proxy_processes)
        return max(times.user + times.system for times in used)

    def relay_share(self) -> float:
        """Give the share of a core that the busiest relay used since the start."""
        elapsed_s = time.monotonic() - self.measured_from
        return (self.relay_cpu() - self.relay_cpu_s) / elapsed_s

    def change(self) -> tuple[str, int, float]:
        """Change a label of any service; give service, revision and time before the write."""
        name = self.fleet.generator.choice(list(self.fleet.services))
        return name, *self.fleet.change(name)


def line_time(line: LogLine) -> float:
    """Give the wall-clock time of a log line."""
    return line.logged_at()


def accepted_at(vm: Vm, name: str, revision: int, timeout_s: float) -> float:
    """Give the time at which an agent and its entry, if any, held at least a revision."""
    times = []
    sources = [(vm.agent, "object_accepted")]
    if vm.entry is not None:
        sources.append((vm.entry, "service_applied"))
    for process, event in sources:
        line = process.wait_until(
            lambda line, event=event: line.fields.get("event") == event
            and line.fields.get("service") == name
            and int(line.fields["revision"]) >= revision,
            timeout_s,
        )
        times.append(line_time(line))
    return max(times)


def in_force_at(vms: list[Vm], name: str, revision: int, timeout_s: float) -> float:
    """Give the time from which a revision was in force at all of some VMs."""
    return max(accepted_at(vm, name, revision, timeout_s) for vm in vms)


def backward_revisions(vms: list[Vm]) -> int:
    """Count the revisions that any agent or entry took after a higher one."""
    count = 0
    for process in [vm.agent for vm in vms] + [vm.entry for vm in vms if vm.entry]:
        held: dict[str, int] = {}
        for line in list(process.lines):
            if line.fields.get("event") in ("object_accepted", "service_applied"):
                name, revision = line.fields["service"], int(line.fields["revision"])
                count += revision <= held.get(name, 0)
                held[name] = max(revision, held.get(name, 0))
    return count


def suspicions(vms: list[Vm], since: float) -> list[str]:
    """List what agents logged about others that they suspected or gave up."""
    return [
        f"{vm.name}: {line.text}"
        for vm in vms
        for line in list(vm.agent.lines)
        if line.fields.get("event") in SUSPICIONS and line_time(line) >= since
    ]

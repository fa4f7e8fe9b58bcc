"""Soak of the control work: racing operators, dying and paused processes, a faulty platform.

Real agents, entries and targets run behind the relay while seeded faults overlap. Every process is
watched through its log for its whole life. `soak_checks` says what must be 0.
"""

import asyncio
import random
import sys
import threading
import time
from concurrent.futures import Future, ThreadPoolExecutor
from functools import partial
from http.client import HTTPException

from poplarlane.bench.layout import AGENT_ADMIN_PORT, ENTRY_PORT, PLATFORM_PORT, TARGET_PORT, Vm
from poplarlane.bench.processes import Launcher, Process
from poplarlane.bench.relayed_fleet import RelayedFleet
from poplarlane.bench.soak_checks import Record, Served, Version, count_all, examples
from poplarlane.bench.soak_faults import Faults
from poplarlane.bench.standin_client import call
from poplarlane.decisions.configuration import edits
from poplarlane.decisions.configuration.edits import Edit
from poplarlane.decisions.configuration.validation import check_service
from poplarlane.objects import JSON_ENCODER, SelectorObject
from poplarlane.plumbing.ctl_client import PlatformClient
from poplarlane.programs.ctl.change_outcomes import ChangeAccepted
from poplarlane.programs.ctl.change_procedure import Change
from poplarlane.programs.ctl.fleet import held_by_fleet
from poplarlane.settings import CtlSettings, PeerSettings

DATA_CENTRES = ["dc-a", "dc-b", "dc-c"]
SERVICES = ("availability", "bookings")
TARGETS = ("t0", "t1", "t2", "t3")
ROLES = ("serving", "serving", "resting")
SELECTED = ("role=serving", "role=serving,!held")
CHANGE_TIMEOUT_S = 6.0
CHANGE_PAUSE_S = (0.05, 0.5)
READ_PAUSE_S = 0.3
# As many reads wait at a paused entry, and are sent when it continues.
READERS_PER_SERVICE = 4
# Longer than a pause, so that the reads that wait at a paused entry are answered.
READ_TIMEOUT_S = 12.0
SETTLE_S = 20.0
MAX_THREADS = 200
MAX_EXAMPLES = 10
FAULT_EVENTS = ("tick_failed", "message_failed", "message_malformed", "call_failed")


class Soak:
    """Run one soak and record what every process took."""

    def __init__(self, launcher: Launcher, agents: int, seed: int, loss_share: float) -> None:
        self.seed = seed
        self.fleet = RelayedFleet(launcher, seed, DATA_CENTRES)
        self.record = Record()
        self.changes: dict[str, Change] = {}
        self.refused = self.answered = self.failed = 0
        self.lock = threading.Lock()
        self.running = True
        self.fleet.start(agents)
        for name in TARGETS:
            self.fleet.layout.start_target(name, DATA_CENTRES[0], service_ms=2.0)
        for name in SERVICES:
            labels = {target: {"role": "serving"} for target in TARGETS}
            self.fleet.write(self.fleet.layout.service_object(name, labels))
        self.fleet.start_entries()
        self.fleet.lose_messages(loss_share)
        self.faults = Faults(self.fleet, self.record.down, SERVICES, seed)
        platform = self.fleet.layout.platform_address
        places = [
            PeerSettings(
                name=vm.name,
                address=vm.address,
                port=AGENT_ADMIN_PORT,
                data_centre=vm.data_centre,
            )
            for vm in self.fleet.vms
        ]
        self.client = PlatformClient(platform, PLATFORM_PORT)
        self.settings = CtlSettings(
            platform_address=platform, platform_port=PLATFORM_PORT, agents=places
        )

    # Operators.

    async def operate(self, number: int, end: float) -> None:
        """Make changes until the end."""
        generator = random.Random(f"{self.seed}/operator/{number}")
        step = 0
        while time.monotonic() < end:
            step += 1
            name = generator.choice(SERVICES)
            await self.change(name, f"o{number}-{step}", draw_edit(generator, number), generator)
            await asyncio.sleep(generator.uniform(*CHANGE_PAUSE_S))

    async def change(
        self,
        name: str,
        change_id: str,
        edit: Edit,
        generator: random.Random,
        timeout_s: float = 0.0,
    ) -> bool:
        """Make one change; tell whether it was accepted."""
        change = Change(
            self.client,
            name,
            edit,
            operator=change_id,
            change_id=change_id,
            at="",
            timeout_s=timeout_s or CHANGE_TIMEOUT_S,
            generator=generator,
            ask_fleet=partial(held_by_fleet, self.settings, self.client),
        )
        self.changes[change_id] = change
        done = isinstance(await change.run(), ChangeAccepted)
        if done:
            self.record.done.add(change_id)
        return done

    async def operate_all(self, operators: int, end: float) -> None:
        """Run all operators side by side."""
        await asyncio.gather(*(self.operate(number, end) for number in range(operators)))

    async def change_calmly(self) -> None:
        """Make one change per service after the faults; it replaces what another tool wrote."""
        generator = random.Random(self.seed)
        for name in SERVICES:
            edit = edits.set_label(TARGETS[0], "last", "one")
            if not await self.change(name, f"last-{name}", edit, generator, SETTLE_S):
                raise RuntimeError(f"the calm change of {name} failed")

    # Callers.

    def read(self, vm: Vm, service: str, reader: int) -> None:
        """Make reads through one entry until the end; their targets record their arrival."""
        number = 0
        while self.running:
            number += 1
            headers = {
                "host": f"{service}.example",
                "x-request-id": f"{vm.name}/{service}/{reader}-{number}",
                "x-deadline-ms": "8000",
            }
            try:
                answer = call(vm.address, ENTRY_PORT, "GET", "/", None, headers, READ_TIMEOUT_S)
                status = answer.status
            except (OSError, HTTPException):
                status = 0
            with self.lock:
                self.answered += status == 200
                self.refused += status == 503
                self.failed += status not in (200, 503)
            time.sleep(READ_PAUSE_S)

    # The run.

    def run(self, operators: int, seconds: float) -> None:
        """Run operators, callers and faults side by side, then let everything settle."""
        end = time.monotonic() + seconds
        with ThreadPoolExecutor(MAX_THREADS) as pool:
            readers = [
                pool.submit(self.read, vm, name, reader)
                for vm in self.fleet.vms
                for name in SERVICES
                for reader in range(READERS_PER_SERVICE)
            ]
            lanes: list[Future] = [pool.submit(lane, end) for lane in self.faults.lanes()]
            try:
                asyncio.run(self.operate_all(operators, end))
                for lane in lanes:
                    lane.result()
                self.settle()
            finally:
                self.running = False
            for reader in readers:
                reader.result()
        self.collect()

    def settle(self) -> None:
        """End all faults and wait until every process holds what is stored."""
        self.faults.clear()
        asyncio.run(self.change_calmly())
        deadline = time.monotonic() + SETTLE_S
        while time.monotonic() < deadline:
            self.collect_objects()
            self.collect_logs()
            stored = {name: found[-1].service.revision for name, found in self.stored().items()}
            if all(held == stored for held in self.record.final.values()):
                return
            time.sleep(0.2)

    def stored(self) -> dict[str, list[Version]]:
        """Give the versions of every service object."""
        return self.record.objects

    def collect(self) -> None:
        """Read what was stored, taken and served."""
        self.record.edits = {name: change.edit for name, change in self.changes.items()}
        self.collect_objects()
        self.collect_logs()
        for target in TARGETS:
            address = self.fleet.layout.targets[target]
            ledger = call(address, TARGET_PORT, "GET", "/_ledger").json()["executions"]
            for request_id, executions in ledger.items():
                if request_id.count("/") == 2:
                    vm, service, _ = request_id.split("/")
                    for execution in executions:
                        served = Served(service, vm, target, execution["arrived_at"], request_id)
                        self.record.served.append(served)

    def collect_objects(self) -> None:
        """Read every valid object that was ever stored."""
        self.record.objects = self.read_history("services")
        self.record.copies = self.read_history("service-copies")

    def read_history(self, kind: str) -> dict[str, list[Version]]:
        """Read the valid versions of a kind by service."""
        found: dict[str, list[Version]] = {name: [] for name in SERVICES}
        for shown in self.fleet.platform("GET", f"/v1/history/{kind}"):
            if "value" not in shown:
                continue
            checked = check_service(JSON_ENCODER.encode(shown["value"]), shown["name"])
            if not isinstance(checked, list):
                found[shown["name"]].append(Version(checked, shown["written_at"]))
        return found

    def collect_logs(self) -> None:
        """Read the revisions that every process took, in the order of its log."""
        processes = [*self.faults.replaced]
        for vm in self.fleet.vms:
            processes += [vm.agent, vm.entry]
            for process in (vm.agent, vm.entry):
                self.record.final[process.name] = dict(sorted(taken_by(process)))
        for number, process in enumerate(processes):
            self.record.taken[f"{number}/{process.name}"] = taken_by(process)

    def process_faults(self) -> int:
        """Count log lines about faults in the agents' own code, and processes that died."""
        processes = [process for vm in self.fleet.vms for process in (vm.agent, vm.entry)]
        died = sum(process.popen.poll() is not None for process in processes)
        lines = [line for process in [*processes, *self.faults.replaced] for line in process.lines]
        return died + sum(line.fields.get("event") in FAULT_EVENTS for line in lines)

    def pauses(self) -> int:
        """Count the pauses that entries noticed."""
        entries = [vm.entry for vm in self.fleet.vms]
        return sum(
            line.fields.get("event") == "paused" for entry in entries for line in entry.lines
        )


def taken_by(process: Process) -> list[tuple[str, int]]:
    """List what an agent accepted or an entry applied."""
    events = ("object_accepted", "service_applied")
    return [
        (line.fields["service"], int(line.fields["revision"]))
        for line in list(process.lines)
        if line.fields.get("event") in events
    ]


def draw_edit(generator: random.Random, number: int) -> Edit:
    """Draw a label or selector change; some labels are shared and some the operator's own."""
    target = generator.choice(TARGETS)
    kind = generator.random()
    # Roles change seldom enough for a target to stay out for longer than the 4 s of the bound.
    if kind < 0.2:
        return edits.set_label(target, "role", generator.choice(ROLES))
    if kind < 0.6:
        return edits.set_label(target, f"own{number}", str(generator.randrange(100)))
    if kind < 0.65:
        return edits.set_label(target, "held", "yes")
    if kind < 0.9:
        return edits.remove_label(target, generator.choice(("held", f"own{number}")))
    selector = SelectorObject(callers="", targets=generator.choice(SELECTED))
    return edits.set_selector("everyone", selector)


def measure(
    agents: int, operators: int, seconds: float, loss_share: float, seed: int
) -> tuple[dict[str, float], bool]:
    """Run a soak; give its figures, and whether every counter of violations is 0."""
    with Launcher() as launcher:
        soak = Soak(launcher, agents, seed, loss_share)
        soak.run(operators, seconds)
        violations = count_all(soak.record)
        for line in examples(soak.record)[:MAX_EXAMPLES]:
            print(line, file=sys.stderr)
        violations["process_faults"] = soak.process_faults()
        figures = {
            "agents": agents,
            "changes": len(soak.changes),
            "accepted": len(soak.record.done),
            "answered": soak.answered,
            "refused": soak.refused,
            "failed": soak.failed,
            "messages_lost": soak.fleet.dropped(),
            "entry_pauses": soak.pauses(),
            **soak.faults.counts,
            **violations,
        }
    return figures, not any(violations.values())

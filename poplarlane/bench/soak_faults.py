"""Seeded faults of a soak: processes, platform, network and another tool, in lanes that overlap."""

import json
import random
import time
from collections import Counter
from collections.abc import Callable
from http.client import HTTPException

from poplarlane.bench.layout import PLATFORM_PORT, Vm
from poplarlane.bench.processes import Process
from poplarlane.bench.relayed_fleet import RelayedFleet
from poplarlane.bench.standin_client import call
from poplarlane.decisions.requests.pauses import VIEW_CONFIRM_TIMEOUT_S

READY_TIMEOUT_S = 30.0
# Gaps between the faults of one lane. Watchers that backed off need up to 2 s after an outage.
PROCESS_GAP_S = (0.3, 1.5)
PLATFORM_GAP_S = (3.0, 4.5)
NETWORK_GAP_S = (1.0, 3.0)
PAUSE_S = (0.5, 8.0)
# Processes notice pauses of 1.5 s; below that they go on at once.
NOTICED_PAUSE_S = 1.7
CALM = {"outage": False, "delay_ms": 0, "stale_reads_ms": 0, "lose_answers": 0}

Lane = Callable[[float], None]


class Faults:
    """Make faults until a time; each lane makes one after the other."""

    def __init__(
        self,
        fleet: RelayedFleet,
        down: dict[str, list[tuple[float, float]]],
        services: tuple[str, ...],
        seed: int,
    ) -> None:
        self.fleet = fleet
        self.down = down
        self.services = services
        self.seed = seed
        self.replaced: list[Process] = []
        # When the entry of each VM was last paused, and when it woke.
        self.entry_paused: dict[str, tuple[float, float]] = {}
        self.counts: Counter[str] = Counter()

    def lanes(self) -> list[Lane]:
        """Give the lanes: two of processes on different VMs, the platform, the network."""
        halves = (self.fleet.vms[::2], self.fleet.vms[1::2])
        lanes = [self.lane_of_processes(number, vms) for number, vms in enumerate(halves)]
        return [*lanes, self.lane_of_platform(), self.lane_of_network()]

    def lane(
        self, name: str, faults: list[Callable[[random.Random], None]], gap_s: tuple[float, float]
    ) -> Lane:
        """Make a lane that draws its faults from a list."""
        generator = random.Random(f"{self.seed}/{name}")

        def run(end: float) -> None:
            time.sleep(generator.uniform(*gap_s))
            while time.monotonic() < end:
                fault = generator.choice(faults)
                self.counts[fault.__name__] += 1
                fault(generator)
                time.sleep(generator.uniform(*gap_s))

        return run

    def lane_of_processes(self, number: int, vms: list[Vm]) -> Lane:
        """Kill, restart and pause processes of some VMs."""

        def kill_agent(generator: random.Random) -> None:
            self.replace(generator.choice(vms), graceful=False)

        def restart_agent(generator: random.Random) -> None:
            self.replace(generator.choice(vms), graceful=True)

        def pause_agent(generator: random.Random) -> None:
            self.pause(generator.choice(vms), generator, entry=False, agent=True)

        def pause_entry(generator: random.Random) -> None:
            self.pause(generator.choice(vms), generator, entry=True, agent=False)

        def pause_vm(generator: random.Random) -> None:
            self.pause(generator.choice(vms), generator, entry=True, agent=True)

        faults = [kill_agent, restart_agent, pause_agent, pause_entry, pause_entry, pause_vm]
        return self.lane(f"processes-{number}", faults, PROCESS_GAP_S)

    def replace(self, vm: Vm, graceful: bool) -> None:
        """End an agent and start a new one in its place."""
        began = time.monotonic()
        old = vm.agent
        if graceful:
            old.terminate()
            if old.exit_status() != 0:
                raise RuntimeError(f"{old.name} ended with status {old.popen.returncode}")
        else:
            old.kill()
        self.replaced.append(old)
        new = self.fleet.start_agent(vm, None)
        new.wait_for("ready", READY_TIMEOUT_S)
        self.note_down(vm, began)

    def pause(self, vm: Vm, generator: random.Random, entry: bool, agent: bool) -> None:
        """Stop processes for some seconds."""
        processes = [vm.entry] * entry + [vm.agent] * agent
        generator.shuffle(processes)
        began = time.monotonic()
        lines = len(vm.agent.lines)
        for process in processes:
            process.pause()
        length_s = generator.uniform(*PAUSE_S)
        time.sleep(length_s)
        woke = time.monotonic()
        for process in processes:
            process.resume()
            # The two wake in any order, and some time apart.
            time.sleep(generator.uniform(0.0, 0.5) if len(processes) > 1 else 0.0)
        if agent and length_s > NOTICED_PAUSE_S:
            vm.agent.wait_for("paused", READY_TIMEOUT_S, lines)
            vm.agent.wait_for("ready", READY_TIMEOUT_S, lines)
        if entry and not agent:
            self.entry_paused[vm.name] = (began, woke)
        # An entry that was paused as well waits for its agent, so it has no excuse.
        waits = entry and length_s > NOTICED_PAUSE_S
        if agent and not (waits and time.monotonic() - woke < VIEW_CONFIRM_TIMEOUT_S):
            self.note_down(vm, began)

    def note_down(self, vm: Vm, began: float) -> None:
        """Record a time without a verified agent that ends now.

        An entry whose agent ends before it could confirm the view after a pause serves by the view
        of before that pause.
        """
        paused_at, woke = self.entry_paused.get(vm.name, (0.0, -VIEW_CONFIRM_TIMEOUT_S))
        if began - woke < VIEW_CONFIRM_TIMEOUT_S:
            began = min(began, paused_at)
        self.down.setdefault(vm.name, []).append((began, time.monotonic()))

    def lane_of_platform(self) -> Lane:
        """Make the platform stale, slow, lossy or unavailable."""

        def stale_reads(generator: random.Random) -> None:
            self.platform_for(
                generator, 2.0, 5.0, stale_reads_ms=generator.choice((300, 2_000, 60_000))
            )

        def lost_answers(generator: random.Random) -> None:
            self.platform_for(generator, 2.0, 5.0, lose_answers=0.3)

        def outage(generator: random.Random) -> None:
            self.platform_for(generator, 0.5, 4.0, outage=True)

        def slow(generator: random.Random) -> None:
            self.platform_for(generator, 1.0, 4.0, delay_ms=generator.choice((100, 400, 1_200)))

        faults = [stale_reads, lost_answers, outage, slow]
        return self.lane("platform", faults, PLATFORM_GAP_S)

    def platform_for(
        self, generator: random.Random, least: float, most: float, **faults: float
    ) -> None:
        """Set faults of the platform for some seconds."""
        self.fleet.platform_faults(**faults)
        time.sleep(generator.uniform(least, most))
        self.fleet.platform_faults(**CALM)

    def lane_of_network(self) -> Lane:
        """Cut data centres off from each other, and write bad objects."""

        def partition(generator: random.Random) -> None:
            centre = generator.choice(self.fleet.data_centres)
            self.cut(centre, True)
            time.sleep(generator.uniform(1.0, 6.0))
            self.cut(centre, False)

        def bad_object(generator: random.Random) -> None:
            name = generator.choice(self.services)
            written = self.fleet.platform("GET", "/v1/history/services")
            values = [shown["value"] for shown in written if "value" in shown]
            own = [value for value in values if value.get("service") == name]
            older = generator.choice(own)
            newer = own[-1] | {"revision": own[-1]["revision"] + 1, "colour": "red"}
            cut = json.dumps(own[-1])[:-20]
            bad = generator.choice((json.dumps(older), json.dumps(newer), cut))
            path = f"/v1/objects/services/{name}"
            address = self.fleet.layout.platform_address
            try:
                call(address, PLATFORM_PORT, "PUT", path, bad.encode())
            except (OSError, HTTPException):
                # The answer to this write may be lost as well, or the platform be unavailable.
                return

        return self.lane("network", [partition, bad_object, bad_object], NETWORK_GAP_S)

    def cut(self, centre: str, cut: bool) -> None:
        """Separate the agents of a data centre from all others, or join them again."""
        for sender in self.fleet.data_centres:
            for vm in self.fleet.vms:
                if (sender == centre) != (vm.data_centre == centre):
                    self.fleet.proxy(f"{sender}-{vm.name}", partition=cut)

    def clear(self) -> None:
        """End the faults of the platform and the network."""
        self.fleet.platform_faults(**CALM)
        for centre in self.fleet.data_centres:
            self.cut(centre, False)

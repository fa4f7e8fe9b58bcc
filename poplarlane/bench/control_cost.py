"""Measure what the control work of the agents costs; exit with status 1 past a target.

    python -m poplarlane.bench.control_cost cost --agents 24
    python -m poplarlane.bench.control_cost cost --agents 24 --services 350 --targets 5300
    python -m poplarlane.bench.control_cost calls --sizes 6 12 24
    python -m poplarlane.bench.control_cost outage --agents 24 --seconds 20
    python -m poplarlane.bench.control_cost in-force --agents 24 --changes 50
    python -m poplarlane.bench.control_cost fleet-cost --agents 85 --services 350 --targets 5300

Each command prints one key=value line. All processes share one machine, so CPU is given as a share
of one core, and bytes are those that agents send and receive among each other and exchange with
the platform. The measures named fleet-* are in `fleet_measures.py`.
"""

import argparse
import sys
import time
from collections.abc import Callable
from typing import Any

import numpy

from poplarlane.bench import control_soak
from poplarlane.bench.control_fleet import (
    DATA_CENTRES,
    LISTED_SETTLE_S,
    MAX_CPU_SHARE,
    MAX_IN_FORCE_S,
    MAX_KB_PER_S,
    MAX_MEMORY_MB,
    MAX_OUTAGE_FACTOR,
    PROBES_SETTLE_S,
    SETTLE_S,
    ControlExperiment,
    Figures,
    Fleet,
    Measured,
    Usage,
    keep_changing,
)
from poplarlane.bench.fleet_measures import FLEET_MEASURES
from poplarlane.bench.processes import Launcher, Process
from poplarlane.bench.relayed_fleet import RelayedFleet

# Calls of a fleet may not grow by more than this per added VM and second.
MAX_CALLS_SLOPE = 0.02
RECOVERY_S = 2.0

PLATFORM_FAULTS: dict[str, dict[str, Any]] = {
    "none": {"outage": False, "delay_ms": 0},
    "slow": {"outage": False, "delay_ms": 1_500},
    "outage": {"outage": True, "delay_ms": 0},
}
FAULT_RECOVERY_S = 4.0


def measure_cost(options: ControlExperiment) -> Measured:
    """Measure CPU, memory and bytes of an agent, worst and mean over the fleet."""
    with Launcher() as launcher:
        fleet = Fleet(launcher, options.seed, options.probe_rate)
        ready_s = fleet.start(options.agents, options.services, options.targets)
        if options.listed:
            fleet.list_targets()
        settle_s = LISTED_SETTLE_S if options.listed else SETTLE_S
        time.sleep(max(settle_s, PROBES_SETTLE_S) if options.probe_rate else settle_s)
        writes_before = fleet.grant_writes()
        before = [Usage(vm) for vm in fleet.vms]
        began = time.monotonic()
        changes = keep_changing(fleet, options.seconds)
        elapsed_s = time.monotonic() - began
        after = [Usage(vm) for vm in fleet.vms]
        grant_writes = fleet.grant_writes() - writes_before
    pairs = list(zip(before, after, strict=True))
    cpu = [(last.cpu_s - first.cpu_s) / elapsed_s for first, last in pairs]
    kb = [
        (last.sent_kb - first.sent_kb + last.received_kb - first.received_kb) / elapsed_s
        for first, last in pairs
    ]
    memory = [last.memory_mb for last in after]
    probes = [(last.probes - first.probes) / elapsed_s for first, last in pairs]
    figures: Figures = {
        "ready_s": ready_s,
        "changes": changes,
        "grant_writes_per_s": grant_writes / elapsed_s,
        "probes_per_s": sum(probes),
    }
    for key, values in (
        ("cpu_share", cpu),
        ("kb_per_s", kb),
        ("memory_mb", memory),
        ("agent_probes_per_s", probes),
    ):
        figures[f"{key}_mean"] = float(numpy.mean(values))
        figures[f"{key}_max"] = max(values)
    within = max(cpu) <= MAX_CPU_SHARE and max(memory) <= MAX_MEMORY_MB
    return figures, within and max(kb) <= MAX_KB_PER_S


def measure_calls(options: ControlExperiment) -> Measured:
    """Measure calls to the platform at several fleet sizes, and their slope per VM."""
    figures: Figures = {}
    rates = []
    for size in options.sizes:
        with Launcher() as launcher:
            fleet = Fleet(launcher, options.seed, options.probe_rate)
            fleet.start(size, options.services, options.targets)
            time.sleep(SETTLE_S)
            rate = fleet.calls_per_s(options.seconds)
        rates.append(rate)
        figures[f"calls_per_s_at_{size}"] = rate
    slope = float(numpy.polyfit(options.sizes, rates, 1)[0])
    figures["calls_per_s_per_vm"] = slope
    return figures, slope <= MAX_CALLS_SLOPE


def measure_outage(options: ControlExperiment) -> Measured:
    """Measure calls to the platform before, in and directly after an outage."""
    with Launcher() as launcher:
        fleet = Fleet(launcher, options.seed, options.probe_rate)
        fleet.start(options.agents, options.services, options.targets)
        time.sleep(SETTLE_S)
        usual = fleet.calls_per_s(options.seconds)
        fleet.set_outage(True)
        within = fleet.calls_per_s(options.seconds)
        fleet.set_outage(False)
        after = fleet.calls_per_s(RECOVERY_S)
    figures = {
        "calls_per_s_usual": usual,
        "calls_per_s_in_outage": within,
        "calls_per_s_after": after,
    }
    return figures, max(within, after) <= MAX_OUTAGE_FACTOR * usual


def measure_in_force(options: ControlExperiment) -> Measured:
    """Measure the time until a change is in force at every entry, also under faults.

    Messages between agents pass a relay that loses a share of them; the platform fails directly
    after each write, and recovers when the change is in force.
    """
    times = []
    with Launcher() as launcher:
        relayed = RelayedFleet(launcher, options.seed, list(DATA_CENTRES))
        fleet = Fleet(launcher, options.seed, options.probe_rate)
        fleet.layout = relayed.layout
        relayed.start(options.agents, writes_per_s=100_000, reads_per_s=100_000)
        fleet.write_services(options.services, options.targets)
        relayed.start_entries()
        relayed.lose_messages(options.loss_share)
        time.sleep(SETTLE_S)
        for _ in range(options.changes):
            times.append(time_change(fleet, relayed, options))
        dropped = relayed.dropped()
    figures = {
        "changes": len(times),
        "messages_lost": dropped,
        "in_force_p50_s": float(numpy.percentile(times, 50)),
        "in_force_p99_s": float(numpy.percentile(times, 99)),
        "in_force_max_s": max(times),
    }
    lossy = dropped > 0 or options.loss_share == 0.0
    return figures, max(times) <= MAX_IN_FORCE_S and lossy


def time_change(fleet: Fleet, relayed: RelayedFleet, options: ControlExperiment) -> float:
    """Make one change, fail the platform, and give the time until in force everywhere."""
    name = fleet.generator.choice(list(fleet.services))
    revision, at = fleet.change(name)
    relayed.platform_faults(**PLATFORM_FAULTS[options.platform_fault])
    applied = max(applied_at(vm.entry, name, revision) for vm in fleet.vms)
    relayed.platform_faults(**PLATFORM_FAULTS["none"])
    # Faster changes would be held back by the agents' bound on calls per second; after a fault
    # the watchers need a few seconds to watch again.
    pause_s = fleet.generator.uniform(0.2, 0.8)
    time.sleep(pause_s if options.platform_fault == "none" else pause_s + FAULT_RECOVERY_S)
    return applied - at


def applied_at(entry: Process, name: str, revision: int) -> float:
    """Give the wall-clock time at which an entry applied a revision."""
    line = entry.wait_for("service_applied", service=name, revision=str(revision))
    return line.logged_at()


def measure_soak(options: ControlExperiment) -> Measured:
    """Run a soak of the control work; targets are met when every violation count is 0."""
    return control_soak.measure(
        options.agents, options.operators, options.seconds, options.loss_share, options.seed
    )


MEASURES: dict[str, Callable[[ControlExperiment], Measured]] = {
    "cost": measure_cost,
    "calls": measure_calls,
    "outage": measure_outage,
    "in-force": measure_in_force,
    "soak": measure_soak,
    **FLEET_MEASURES,
}


def run(experiment: ControlExperiment) -> tuple[str, bool]:
    """Run one experiment; give its figures as one key=value line, and whether targets were met."""
    figures, within = MEASURES[experiment.control](experiment)
    pairs = [f"{key}={value:.6g}" for key, value in figures.items()]
    line = " ".join([f"experiment={experiment.name}", f"seed={experiment.seed}", *pairs])
    return f"{line} within_targets={int(within)}", within


def main() -> int:
    """Run one measurement from the command line."""
    parser = argparse.ArgumentParser(description="Measure the control work of the agents.")
    parser.add_argument("control", choices=sorted(MEASURES))
    parser.add_argument("--agents", type=int, default=24)
    parser.add_argument("--services", type=int, default=3)
    parser.add_argument("--targets", type=int, default=36)
    parser.add_argument("--sizes", type=int, nargs="+", default=[6, 12, 24])
    parser.add_argument("--changes", type=int, default=50)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--listed", action="store_true", help="put targets on the VM list")
    parser.add_argument("--measures", nargs="+", default=[], help="for fleet-sequence")
    parser.add_argument("--plain", dest="gzip", action="store_false", help="platform without gzip")
    parser.add_argument("--probe-rate", type=float, default=0.0)
    parser.add_argument("--loss-share", type=float, default=0.0)
    parser.add_argument("--platform-fault", choices=sorted(PLATFORM_FAULTS), default="none")
    parser.add_argument("--operators", type=int, default=4)
    parser.add_argument("--seed", type=int, default=1)
    options = vars(parser.parse_args())
    line, within = run(ControlExperiment(name=options["control"], **options))
    print(line)
    return 0 if within else 1


if __name__ == "__main__":
    sys.exit(main())

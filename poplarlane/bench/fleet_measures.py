"""Measures of the planned fleet under changes, loss, partitions and restarts."""

import sys
import time
from collections.abc import Callable, Iterable

import numpy

from poplarlane.bench.control_fleet import (
    MAX_CPU_SHARE,
    MAX_IN_FORCE_S,
    MAX_KB_PER_S,
    MAX_MEMORY_MB,
    MAX_OUTAGE_FACTOR,
    START_TIMEOUT_S,
    ControlExperiment,
    Figures,
    Measured,
    keep_changing,
)
from poplarlane.bench.layout import Vm
from poplarlane.bench.planned_fleet import (
    REGION_OF,
    PlannedFleet,
    backward_revisions,
    in_force_at,
    suspicions,
)
from poplarlane.bench.processes import Launcher
from poplarlane.bench.samplers import CallSampler, UsageSampler

BURST_CHANGES = 500
BURST_TIMEOUT_S = 30.0
CHANGE_PAUSE_S = (0.2, 0.5)
CUT_OFF_REGION = "south"
CHANGES_IN_PARTITION = 20
PROGRESS_TIMEOUT_S = 40.0
POLL_S = 0.25
LOST_DATA_CENTRE = "dc-n1"
RESTART_INTERVAL_S = 2.0
RESTARTED_SHARE = 4


def within_cost(figures: Figures) -> bool:
    """Tell whether the cost of every agent is within its budget."""
    return (
        figures["cpu_share_max"] <= MAX_CPU_SHARE
        and figures["memory_mb_max"] <= MAX_MEMORY_MB
        and figures["kb_per_s_window_max"] <= MAX_KB_PER_S
    )


def time_figures(prefix: str, times: Iterable[float]) -> Figures:
    """Give percentiles of times."""
    values = list(times)
    return {
        f"{prefix}_p50_s": float(numpy.percentile(values, 50)),
        f"{prefix}_p99_s": float(numpy.percentile(values, 99)),
        f"{prefix}_max_s": max(values),
    }


def tell(lines: list[str]) -> None:
    """Print the first of what went wrong beside the line of figures."""
    for line in lines[:10]:
        print(line, file=sys.stderr)


def time_changes(planned: PlannedFleet, vms: list[Vm], count: int) -> list[tuple[float, float]]:
    """Make changes one after the other; give the time of each write and until it was in force."""
    found = []
    for _ in range(count):
        name, revision, at = planned.change()
        found.append((at, in_force_at(vms, name, revision, PROGRESS_TIMEOUT_S) - at))
        time.sleep(planned.fleet.generator.uniform(*CHANGE_PAUSE_S))
    return found


def burst(planned: PlannedFleet) -> Figures:
    """Make many changes at once; give the time until all agents hold all of them."""
    fleet = planned.fleet
    names = list(fleet.services)
    chosen = [names[number % len(names)] for number in range(BURST_CHANGES)]
    # The two changes of one service must not overtake each other.
    rounds = [chosen[: len(names)], chosen[len(names) :]]
    began = time.time()
    written = [
        (name, *change)
        for part in rounds
        for name, change in zip(part, planned.threads.map(fleet.change, part), strict=True)
    ]
    written_s = time.time() - began
    delays = [
        in_force_at(planned.vms, name, revision, BURST_TIMEOUT_S) - at
        for name, revision, at in written
    ]
    last = max(at + delay for (_, _, at), delay in zip(written, delays, strict=True))
    return {
        "burst_written_s": written_s,
        "burst_change_max_s": max(delays),
        "burst_all_s": last - began,
    }


def measure_in_force(planned: PlannedFleet) -> Measured:
    """Measure single changes and a burst until in force at all agents."""
    times = [delay for _, delay in time_changes(planned, planned.vms, planned.options.changes)]
    figures = {"changes": float(len(times)), **time_figures("in_force", times)}
    figures |= burst(planned)
    figures["messages_lost"] = planned.relayed.dropped()
    slowest = max(max(times), figures["burst_change_max_s"])
    lossy = figures["messages_lost"] > 0 or planned.options.loss_share == 0.0
    return figures, slowest <= MAX_IN_FORCE_S and lossy


def measure_cost(planned: PlannedFleet) -> Measured:
    """Measure CPU, memory and bytes of the agents under the planned rate of changes."""
    with UsageSampler(planned.vms) as usage, CallSampler(planned) as calls:
        changes = keep_changing(planned.fleet, planned.options.seconds)
    figures = {"changes": float(changes), **usage.figures(), "calls_per_s": calls.rate()}
    return figures, within_cost(figures)


def measure_partition(planned: PlannedFleet) -> Measured:
    """Cut a region off for some seconds during changes; measure until all agents are equal."""
    inside = [vm for vm in planned.vms if REGION_OF[vm.data_centre] == CUT_OFF_REGION]
    outside = [vm for vm in planned.vms if vm not in inside]
    began = time.time()
    planned.cut_off(CUT_OFF_REGION, True)
    changes, times, unready = [], [], 0
    while time.time() < began + planned.options.seconds:
        name, revision, at = planned.change()
        changes.append((name, revision))
        times.append(in_force_at(outside, name, revision, PROGRESS_TIMEOUT_S) - at)
        unready += not planned.all_ready(planned.vms)
        time.sleep(planned.options.seconds / CHANGES_IN_PARTITION)
    planned.cut_off(CUT_OFF_REGION, False)
    joined = time.time()
    equal_s = max(in_force_at(inside, *change, PROGRESS_TIMEOUT_S) for change in changes) - joined
    peers_s = until_no_suspicion(planned, joined)
    later = [delay for _, delay in time_changes(planned, planned.vms, 10)]
    figures = {
        "changes": float(len(changes)),
        "checks_not_ready": float(unready),
        "outside_in_force_max_s": max(times),
        "equal_after_s": equal_s,
        "members_equal_after_s": peers_s,
        "later_in_force_max_s": max(later),
        "backward_revisions": float(backward_revisions(planned.vms)),
    }
    slowest = max(*times, equal_s, *later)
    sound = not unready and not figures["backward_revisions"]
    return figures, slowest <= MAX_IN_FORCE_S and sound


def until_no_suspicion(planned: PlannedFleet, since: float) -> float:
    """Give the seconds from some time until all agents see all others as live."""
    wanted = len(planned.vms) - 1
    deadline = time.time() + PROGRESS_TIMEOUT_S
    while time.time() < deadline:
        seen = planned.statuses(planned.vms)
        live = [sum(peer["state"] == "live" for peer in shown["members"]) for shown in seen]
        if min(live) == wanted and not any(shown["own_network_suspected"] for shown in seen):
            return time.time() - since
        time.sleep(POLL_S)
    raise TimeoutError("agents still suspect each other")


def measure_data_centre_lost(planned: PlannedFleet) -> Measured:
    """Kill all agents of a data centre; measure until changes are in force in time again."""
    with CallSampler(planned) as usual:
        time_changes(planned, planned.vms, planned.options.changes // 2)
    rest = [vm for vm in planned.vms if vm.data_centre != LOST_DATA_CENTRE]
    lost = [vm for vm in planned.vms if vm.data_centre == LOST_DATA_CENTRE]
    killed_at = time.time()
    with CallSampler(planned) as calls:
        for vm in lost:
            vm.agent.popen.kill()
        found = time_changes(planned, rest, planned.options.changes)
    slow = [at + delay - killed_at for at, delay in found if delay > MAX_IN_FORCE_S]
    told = suspicions(rest, killed_at)
    wrong = [line for line in told if not any(f"=agent-{vm.name}" in line for vm in lost)]
    tell(wrong)
    times = [delay for _, delay in found]
    figures = {
        "agents_lost": float(len(lost)),
        "changes": float(len(times)),
        "slow_until_s": max(slow, default=0.0),
        **time_figures("in_force", times),
        "false_suspicions": float(len(wrong)),
        "calls_per_s_usual": usual.rate(),
        "calls_per_s_after": calls.rate(),
        "calls_per_s_peak": calls.peak(),
    }
    within = max(times) <= MAX_IN_FORCE_S and not wrong
    return figures, within and calls.peak() <= MAX_OUTAGE_FACTOR * usual.rate()


def restart(planned: PlannedFleet, vms: list[Vm]) -> None:
    """Stop some agents gracefully and start them again, without waiting until they are ready."""
    for vm in vms:
        vm.agent.terminate()
    for vm in vms:
        vm.agent.exit_status()
    for vm in vms:
        planned.relayed.start_agent(vm, None)


def measure_restart_wave(planned: PlannedFleet) -> Measured:
    """Restart a quarter of the agents at once; measure readiness and calls."""
    with CallSampler(planned) as usual:
        keep_changing(planned.fleet, planned.options.seconds)
    chosen = planned.vms[::RESTARTED_SHARE]
    began = time.time()
    clock = time.monotonic()
    with CallSampler(planned) as calls:
        restart(planned, chosen)
        started_s = time.monotonic() - clock
        after_ms = [
            int(vm.agent.wait_for("ready", START_TIMEOUT_S).fields["after_ms"]) for vm in chosen
        ]
        ready_s = time.monotonic() - clock
        keep_changing(planned.fleet, planned.options.seconds)
    told = suspicions(planned.vms, began)
    tell(told)
    times = [delay for _, delay in time_changes(planned, planned.vms, 10)]
    figures = {
        "agents_restarted": float(len(chosen)),
        "stopped_and_started_s": started_s,
        "all_ready_s": ready_s,
        "verification_max_s": max(after_ms) / 1000,
        "calls_per_s_usual": usual.rate(),
        "calls_per_s_peak_usual": usual.peak(),
        "calls_per_s_peak": calls.peak(),
        "suspicions": float(len(told)),
        "later_in_force_max_s": max(times),
    }
    calm = calls.peak() <= MAX_OUTAGE_FACTOR * usual.rate()
    return figures, calm and not told and max(times) <= MAX_IN_FORCE_S


def measure_restarts(planned: PlannedFleet) -> Measured:
    """Restart agents one after the other; measure suspicions, bytes and calls."""
    with CallSampler(planned) as usual:
        keep_changing(planned.fleet, planned.options.seconds / 3)
    count = round(planned.options.seconds / RESTART_INTERVAL_S)
    chosen = planned.fleet.generator.sample(planned.vms[len(planned.vms) // 4 :], count)
    stayed = [vm for vm in planned.vms if vm not in chosen]
    began, clock = time.time(), time.monotonic()
    with UsageSampler(stayed) as usage, CallSampler(planned) as calls:
        changing = planned.threads.submit(keep_changing, planned.fleet, planned.options.seconds)
        for number, vm in enumerate(chosen):
            time.sleep(max(0.0, clock + number * RESTART_INTERVAL_S - time.monotonic()))
            restart(planned, [vm])
        changing.result()
        for vm in chosen:
            vm.agent.wait_for("ready", START_TIMEOUT_S)
    elapsed_s = time.monotonic() - clock
    told = suspicions(planned.vms, began)
    tell(told)
    figures = {
        "restarts": float(count),
        "restart_interval_s": elapsed_s / count,
        "suspicions": float(len(told)),
        **usage.figures(),
        "calls_per_s_usual": usual.rate(),
        "calls_per_s": calls.rate(),
    }
    calm = calls.rate() <= MAX_OUTAGE_FACTOR * usual.rate()
    return figures, not told and calm and within_cost(figures)


MEASURES: dict[str, Callable[[PlannedFleet], Measured]] = {
    "fleet-cost": measure_cost,
    "fleet-in-force": measure_in_force,
    "fleet-partition": measure_partition,
    "fleet-data-centre-lost": measure_data_centre_lost,
    "fleet-restart-wave": measure_restart_wave,
    "fleet-restarts": measure_restarts,
}


def measure_sequence(planned: PlannedFleet) -> Measured:
    """Take several measures of one fleet after each other; their names prefix the figures."""
    figures, all_within = {}, True
    for name in planned.options.measures:
        found, within = MEASURES[name](planned)
        shown = {f"{name}.{key}": value for key, value in found.items()}
        shown[f"{name}.within_targets"] = float(within)
        # A later measure that fails must not take the figures of the earlier ones with it.
        tell([" ".join(f"{key}={value:.6g}" for key, value in shown.items())])
        figures |= shown
        all_within &= within
    return figures, all_within


def run_fleet(options: ControlExperiment) -> Measured:
    """Start the planned fleet around a measure, and add the share of the busiest relay."""
    measure = MEASURES.get(options.control, measure_sequence)
    with Launcher() as launcher:
        planned = PlannedFleet(launcher, options)
        planned.start()
        figures, within = measure(planned)
        shown = {"agents": float(options.agents), **figures}
        return shown | {"relay_cpu_share_max": planned.relay_share()}, within


FLEET_MEASURES = dict.fromkeys((*MEASURES, "fleet-sequence"), run_fleet)

"""Run an experiment: start processes, send load, inject faults, check and report."""

import json
import random
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import psutil

from poplarlane.bench.actions import Schedule
from poplarlane.bench.aims import check_aims
from poplarlane.bench.checks import Tally, check_segment
from poplarlane.bench.experiment import Experiment, LayoutPlan, Variant, segment_variants
from poplarlane.bench.fleet import Fleet
from poplarlane.bench.leaving import leaving_rows, summary, times_heard
from poplarlane.bench.ledgers import collect_ledgers, proxy_counts
from poplarlane.bench.load_worker import ANSWER_GRACE_S
from poplarlane.bench.plots import plot_over_time, plot_percentiles
from poplarlane.bench.processes import Launcher
from poplarlane.bench.records import RECORDS_DECODER, WorkerPlan
from poplarlane.bench.report import markdown
from poplarlane.bench.results import Segment, segment_rows

# Workers need this long to start and to draw their arrivals.
LEAD_S = 2.0
PROGRESS_INTERVAL_S = 0.5
WORKER_MARGIN_S = 10.0

Progress = Callable[[str], None]


class Run:
    """Hold the state of one run."""

    def __init__(
        self, experiment: Experiment, layouts: list[LayoutPlan], out: Path, progress: Progress
    ) -> None:
        self.experiment = experiment
        self.layouts = layouts
        self.out = out
        self.progress = progress
        self.tally = Tally()
        self.rows: list[dict[str, Any]] = []
        self.drains: list[dict[str, Any]] = []
        self.faults: list[str] = []
        # Figures of the verdict line beside the tally.
        self.words: list[str] = []
        # What the proxy did up to the end of each segment: shows that the faults took effect.
        self.injected: list[dict[str, Any]] = []
        self.segments: list[Segment] = []
        self.done = 0

    def total(self) -> int:
        """Count the segments of the run."""
        experiment = self.experiment
        rounds = len(experiment.seeds) * experiment.repeats * len(self.layouts)
        return rounds * len(segment_variants(experiment))

    def execute(self) -> None:
        """Run every layout in turn."""
        self.out.mkdir(parents=True, exist_ok=True)
        for layout in self.layouts:
            with Launcher() as launcher:
                self.run_layout(launcher, layout)
        self.words, missed = summary(self.experiment, self.drains)
        self.faults += missed + check_aims(self.experiment.aims, self.rows)

    def line(self) -> str:
        """Give the verdict line with every figure of the run."""
        return " ".join([self.tally.line(), *self.words])

    def run_layout(self, launcher: Launcher, layout: LayoutPlan) -> None:
        """Run the rounds of one layout on the same targets and agents."""
        experiment = self.experiment
        fleet = Fleet(launcher, layout, experiment.seeds[0], experiment.through_proxy)
        self.progress(f"{layout.firm}: starting {layout.entries} VMs, {len(fleet.targets)} targets")
        fleet.start(agents=any(variant.needs_agents() for variant in experiment.variants))
        for repeat in range(experiment.repeats):
            for seed in experiment.seeds:
                variants = segment_variants(experiment)
                # The order changes with the round, so that a drift of the machine hits all alike.
                random.Random(f"{seed}/{repeat}").shuffle(variants)
                for variant in variants:
                    self.run_segment(fleet, variant, seed, repeat)

    def run_segment(self, fleet: Fleet, variant: Variant, seed: int, repeat: int) -> None:
        """Run one variant once."""
        layout = fleet.layout
        self.done += 1
        name = f"{layout.firm}.{self.done}"
        segment = Segment(name, layout, variant.name, seed, repeat)
        self.progress(
            f"[{self.done}/{self.total()}] {layout.firm} {variant.name}: starting entries"
        )
        fleet.start_entries(variant)
        schedule = Schedule(fleet)
        try:
            self.load(fleet, segment, schedule)
        finally:
            schedule.cancel()
        schedule.restore()
        segment.ledgers = collect_ledgers(fleet)
        segment.proxy_counts = proxy_counts(fleet)
        segment.heard = times_heard(fleet)
        fleet.end_entries()
        self.conclude(segment, schedule)

    def load(self, fleet: Fleet, segment: Segment, schedule: Schedule) -> None:
        """Send the load of one segment while the schedule injects its faults."""
        segment.begin = time.monotonic() + LEAD_S
        outputs = [
            Path(fleet.launcher.directory.name) / f"{segment.name}.{worker}.records"
            for worker in range(self.experiment.workers)
        ]
        workers = [
            self.start_worker(fleet, segment, number, output)
            for number, output in enumerate(outputs)
        ]
        entries_before = cpu_seconds([vm.entry for vm in fleet.vms])
        agents_before = cpu_seconds([vm.agent for vm in fleet.vms])
        try:
            schedule.plan(self.experiment, segment.begin)
            self.wait_for_workers(segment, workers)
        finally:
            for worker in workers:
                if worker.poll() is None:
                    worker.kill()
                worker.wait()
        schedule.finish()
        segment.entry_cpu_s = cpu_growth(entries_before, [vm.entry for vm in fleet.vms])
        segment.agent_cpu_s = cpu_growth(agents_before, [vm.agent for vm in fleet.vms])
        for output in outputs:
            segment.records.extend(RECORDS_DECODER.decode(output.read_bytes()))
            output.unlink()
        segment.records.sort(key=lambda record: record.index)

    def start_worker(
        self, fleet: Fleet, segment: Segment, number: int, output: Path
    ) -> subprocess.Popen:
        """Start one load worker."""
        experiment = self.experiment
        plan = WorkerPlan(
            experiment=experiment.name,
            segment=segment.name,
            layout=msgspec.json.encode(fleet.layout),
            entries=fleet.caller_addresses(),
            load=experiment.load,
            duration_s=experiment.duration_ms() / 1000,
            max_requests=experiment.max_requests,
            seed=segment.seed,
            worker=number,
            workers=experiment.workers,
            begin=segment.begin,
            cancel_share=experiment.cancel_share,
            cancel_after_s=experiment.cancel_after_ms / 1000,
            output=str(output),
        )
        path = output.with_suffix(".plan")
        path.write_bytes(msgspec.msgpack.encode(plan))
        command = [sys.executable, "-m", "poplarlane.bench.load_worker", str(path)]
        return subprocess.Popen(command, stdin=subprocess.DEVNULL)

    def wait_for_workers(self, segment: Segment, workers: list[subprocess.Popen]) -> None:
        """Wait for the load to end, bounded by the longest deadline."""
        kinds = [kind for service in segment.layout.services for kind in service.kinds]
        longest_s = max(kind.deadline_ms for kind in kinds) / 1000 + ANSWER_GRACE_S
        duration_s = self.experiment.duration_ms() / 1000
        limit = segment.begin + duration_s + longest_s + WORKER_MARGIN_S
        while any(worker.poll() is None for worker in workers):
            now = time.monotonic()
            if now > limit:
                raise TimeoutError(f"the load of {segment.name} did not end in time")
            passed_s = max(now - segment.begin, 0.0)
            self.progress(
                f"[{self.done}/{self.total()}] {segment.layout.firm} {segment.variant}: "
                f"{min(passed_s, duration_s):.0f} of {duration_s:.0f} s, {self.tally.line()}"
            )
            time.sleep(PROGRESS_INTERVAL_S)
        if any(worker.returncode != 0 for worker in workers):
            raise RuntimeError(f"a load worker of {segment.name} failed")

    def conclude(self, segment: Segment, schedule: Schedule) -> None:
        """Check one segment and add its rows."""
        segment.events = schedule.events
        check_segment(
            self.tally,
            segment.name,
            segment.layout,
            segment.records,
            segment.ledgers,
            segment.events,
            self.experiment.strict_cuts,
        )
        per_request_us = 1e6 / max(len(segment.records), 1)
        duration_s = self.experiment.duration_ms() / 1000
        for row in segment_rows(self.experiment, segment):
            row["entry_cpu_us"] = round(segment.entry_cpu_s * per_request_us, 1)
            row["agent_cpu_share"] = round(
                segment.agent_cpu_s / duration_s / segment.layout.entries, 4
            )
            self.rows.append(row)
        self.drains.extend({"policy": segment.variant, **row} for row in leaving_rows(segment))
        self.faults.extend(schedule.faults)
        self.faults.extend(
            f"{event.what} {event.subject}: {event.fault}"
            for event in segment.events
            if event.fault
        )
        if segment.proxy_counts:
            self.injected.append({"segment": segment.name, **segment.proxy_counts})
        segment.ledgers = []
        self.segments.append(segment)

    def write(self, command: str) -> None:
        """Write results.json, the Markdown report and the plots."""
        document = {
            "experiment": self.experiment.name,
            "command": command,
            "checks": self.line(),
            "cut_by_kills": self.tally.excused,
            "examples": self.tally.examples,
            "faults_of_the_run": self.faults,
            "rows": self.rows,
            "drains": self.drains,
            "injected": self.injected,
        }
        (self.out / "results.json").write_text(json.dumps(document, indent=1))
        text = markdown(
            self.experiment.name,
            self.rows,
            self.drains,
            self.injected,
            self.tally,
            self.experiment.noise_variant,
            command,
        )
        images = plot_percentiles(self.out, self.rows)
        images += plot_over_time(self.out, self.experiment, self.segments)
        text += "\n" + "\n".join(f"![{image}]({image})" for image in images) + "\n"
        (self.out / "report.md").write_text(text)

    def passed(self) -> bool:
        """Tell whether every check held and every action succeeded."""
        return self.tally.clean() and not self.faults


def cpu_seconds(processes: list) -> dict[int, float]:
    """Read the CPU time of running processes by process id."""
    found = {}
    for process in processes:
        if process is None:
            continue
        try:
            times = psutil.Process(process.popen.pid).cpu_times()
        except psutil.NoSuchProcess:
            continue
        found[process.popen.pid] = times.user + times.system
    return found


def cpu_growth(before: dict[int, float], processes: list) -> float:
    """Add up the CPU time since `before`; a process started since counts from its start."""
    after = cpu_seconds(processes)
    return sum(value - before.get(pid, 0.0) for pid, value in after.items())

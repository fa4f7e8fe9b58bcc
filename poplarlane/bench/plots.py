"""PNG plots of an experiment."""

from collections import defaultdict
from pathlib import Path
from typing import Any

import matplotlib
import numpy

from poplarlane.bench.experiment import Experiment
from poplarlane.bench.report import median, merge_rows
from poplarlane.bench.results import QUANTILES, Segment, counted_latency_s, phase_spans

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

BIN_S = 0.5
MAX_MARKED_EVENTS = 60


def plot_percentiles(directory: Path, rows: list[dict[str, Any]]) -> list[str]:
    """Draw one bar chart per firm, service and fault."""
    names = []
    for (firm, service, fault), policies in merge_rows(rows).items():
        figure, axes = pyplot.subplots(figsize=(9, 4.5))
        places = numpy.arange(len(policies))
        for number, quantile in enumerate(QUANTILES):
            heights = [median([row[quantile] for row in group]) for group in policies.values()]
            axes.bar(places + 0.27 * (number - 1), heights, 0.25, label=quantile.rstrip("_ms"))
        axes.set_xticks(places, list(policies), rotation=25, ha="right", fontsize=8)
        axes.set_yscale("log")
        axes.set_ylabel("latency from the intended start, ms")
        axes.set_title(f"{firm}, {service}, {fault}")
        axes.legend()
        names.append(save(figure, directory, f"percentiles-{firm}-{service}-{fault}"))
    return names


def plot_over_time(directory: Path, experiment: Experiment, segments: list[Segment]) -> list[str]:
    """Draw p99 over time per firm for its first service, with faults and phases marked."""
    groups: dict[str, list[Segment]] = defaultdict(list)
    for segment in segments:
        if segment.seed == experiment.seeds[0] and segment.repeat == 0:
            groups[segment.layout.firm].append(segment)
    names = []
    for firm, group in groups.items():
        figure, axes = pyplot.subplots(figsize=(9, 4.5))
        for segment in group:
            times, values = p99_over_time(segment)
            axes.plot(times, values, label=segment.variant, linewidth=1)
        for phase, start_s, _ in phase_spans(experiment):
            axes.axvline(start_s, color="black", linewidth=0.8, linestyle="--")
            axes.text(start_s, axes.get_ylim()[1], f" {phase.fault}", va="top", fontsize=8)
        for event in group[0].events[:MAX_MARKED_EVENTS]:
            axes.axvline(event.at - group[0].begin, color="red", linewidth=0.5, alpha=0.5)
        axes.set_yscale("log")
        axes.set_xlabel("s after the begin of the load")
        axes.set_ylabel(f"p99 per {BIN_S} s, ms")
        axes.set_title(f"{firm}, {group[0].layout.services[0].service}; red: faults")
        axes.legend(fontsize=7)
        names.append(save(figure, directory, f"over-time-{firm}"))
    return names


def p99_over_time(segment: Segment) -> tuple[list[float], list[float]]:
    """Compute the p99 of the first service per bin of time."""
    bins: dict[int, list[float]] = defaultdict(list)
    for record in segment.records:
        if record.service == 0:
            latency_ms = counted_latency_s(record, segment.layout) * 1000
            bins[int(record.due_s / BIN_S)].append(latency_ms)
    times = sorted(bins)
    values = [float(numpy.percentile(bins[number], 99)) for number in times]
    return [number * BIN_S for number in times], values


def save(figure: Any, directory: Path, name: str) -> str:
    """Write one plot."""
    file = f"{name.replace(' ', '-')}.png"
    figure.tight_layout()
    figure.savefig(directory / file, dpi=100)
    pyplot.close(figure)
    return file

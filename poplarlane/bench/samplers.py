"""Samples of what agents use and of their calls to the platform, taken while a fleet runs."""

import threading
import time
from typing import Self

import numpy

from poplarlane.bench.control_fleet import Figures, Usage
from poplarlane.bench.layout import Vm
from poplarlane.bench.planned_fleet import PlannedFleet

WINDOW_S = 50.0
SAMPLE_S = 5.0
CALL_SAMPLE_S = 0.25
PEAK_WINDOW_S = 1.0


class Sampler:
    """Run a loop that takes samples in a thread of its own, until the block ends."""

    __slots__ = ("stopped", "thread")

    def __init__(self) -> None:
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)

    def __enter__(self) -> Self:
        self.thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.stopped.set()
        self.thread.join()

    def run(self) -> None:
        """Sample until stopped."""
        raise NotImplementedError


class CallSampler(Sampler):
    """Sample the agents' calls to the platform."""

    __slots__ = ("planned", "samples")

    def __init__(self, planned: PlannedFleet) -> None:
        super().__init__()
        self.planned = planned
        self.samples: list[tuple[float, int]] = []

    def run(self) -> None:
        """Sample until stopped."""
        while not self.stopped.is_set():
            self.samples.append((time.monotonic(), self.planned.fleet.platform_calls()))
            self.stopped.wait(CALL_SAMPLE_S)

    def rate(self) -> float:
        """Give the mean rate."""
        (began, first), (ended, last) = self.samples[0], self.samples[-1]
        return (last - first) / (ended - began)

    def peak(self) -> float:
        """Give the highest rate in a window of about a second."""
        step = round(PEAK_WINDOW_S / CALL_SAMPLE_S)
        pairs = zip(self.samples, self.samples[step:], strict=False)
        return max((last - first) / (ended - began) for (began, first), (ended, last) in pairs)


class UsageSampler(Sampler):
    """Sample what some agents use."""

    __slots__ = ("vms", "samples")

    def __init__(self, vms: list[Vm]) -> None:
        super().__init__()
        self.vms = vms
        self.samples: list[tuple[float, list[Usage]]] = []

    def run(self) -> None:
        """Sample until stopped."""
        while True:
            self.samples.append((time.monotonic(), [Usage(vm) for vm in self.vms]))
            if self.stopped.wait(SAMPLE_S):
                break
        self.samples.append((time.monotonic(), [Usage(vm) for vm in self.vms]))

    def rates(self, start: int, end: int) -> tuple[list[float], list[float]]:
        """Give CPU shares and KB/s per agent between two samples."""
        (began, before), (ended, after) = self.samples[start], self.samples[end]
        pairs = list(zip(before, after, strict=True))
        cpu = [(last.cpu_s - first.cpu_s) / (ended - began) for first, last in pairs]
        sent = [last.sent_kb - first.sent_kb for first, last in pairs]
        received = [last.received_kb - first.received_kb for first, last in pairs]
        kb = [(x + y) / (ended - began) for x, y in zip(sent, received, strict=True)]
        return cpu, kb

    def window_kb_max(self) -> float:
        """Give the highest KB/s of any agent in any window of 50 s, or of the whole run."""
        step = min(round(WINDOW_S / SAMPLE_S), len(self.samples) - 1)
        starts = range(len(self.samples) - step)
        return max(max(self.rates(start, start + step)[1]) for start in starts)

    def figures(self) -> Figures:
        """Give the cost of an agent, worst and mean."""
        cpu, kb = self.rates(0, -1)
        memory = [usage.memory_mb for usage in self.samples[-1][1]]
        return {
            "cpu_share_mean": float(numpy.mean(cpu)),
            "cpu_share_max": max(cpu),
            "memory_mb_max": max(memory),
            "kb_per_s_mean": float(numpy.mean(kb)),
            "kb_per_s_max": max(kb),
            "kb_per_s_window_max": self.window_kb_max(),
        }

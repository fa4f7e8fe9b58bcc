"""Switches of the stand-in target and its load report."""

from collections import deque
from typing import Literal

import msgspec

MAX_KEPT_REPORTS = 20_000


class Switches(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Hold what `POST /_control` can change.

    `fail_fast` and `shed` are shares of requests. `drain` announces itself in answers for
    `drain_notice_ms`, after which new requests are refused; with `announce` set to `refusals` only
    the refusals say that the target is leaving. `closed_ms` closes the listener for that time and
    every connection once it is idle. `report` is the mode of the load
    report: `true`, `frozen` (the report of the time of the change) or `lying` (always
    `lie_in_flight`).
    """

    slow_factor: float = 1.0
    fail_fast: float = 0.0
    shed: float = 0.0
    shed_above_queue: int = -1
    drain: bool = False
    drain_notice_ms: float = 0.0
    announce: Literal["answers", "refusals"] = "answers"
    closed_ms: float = 0.0
    cold_start_ms: float = 0.0
    cold_factor: float = 1.0
    report: str = "true"
    report_lag_ms: float = 0.0
    lie_in_flight: int = 0


class LoadReport:
    """Produce the load report, which may lag, freeze or lie."""

    __slots__ = ("history", "frozen")

    def __init__(self) -> None:
        # (time, in flight, queued) at every change, oldest first.
        self.history: deque[tuple[float, int, int]] = deque(maxlen=MAX_KEPT_REPORTS)
        self.frozen = (0, 0)

    def record(self, now: float, in_flight: int, queued: int, lag_s: float) -> None:
        """Keep the load for lagging reports."""
        if lag_s <= 0:
            return
        self.history.append((now, in_flight, queued))
        while len(self.history) > 1 and self.history[1][0] <= now - lag_s:
            self.history.popleft()

    def read(self, switches: Switches, now: float, in_flight: int, queued: int) -> tuple[int, int]:
        """Give the in-flight and queued counts that the target reports."""
        if switches.report == "frozen":
            return self.frozen
        if switches.report == "lying":
            return (switches.lie_in_flight, 0)
        lag_s = switches.report_lag_ms / 1000
        if lag_s <= 0:
            return (in_flight, queued)
        self.record(now, in_flight, queued, lag_s)
        at, past_in_flight, past_queued = self.history[0]
        if at > now - lag_s:
            return (0, 0)
        return (past_in_flight, past_queued)

"""Measurement of the turns of the event loop, and what the long ones did."""

import asyncio
import selectors
import time
from collections import Counter, deque

from poplarlane.logs import log

SLOW_TURN_S = 0.05
# Notes of one turn that are kept for the log line.
MAX_NOTES = 256


class TurnMeter:
    """Log the turns that last longer than SLOW_TURN_S, with what was noted in them."""

    __slots__ = ("began_at", "ready", "notes", "note")

    def __init__(self) -> None:
        self.began_at = 0.0
        # Sockets that were ready at the start of the turn.
        self.ready = 0
        self.notes: deque[str] = deque(maxlen=MAX_NOTES)
        # Records what the turn does; called some times for each request.
        self.note = self.notes.append

    def begin(self, ready: int) -> None:
        """Start a turn."""
        self.began_at = time.monotonic()
        self.ready = ready
        self.notes.clear()

    def end(self) -> None:
        """Log the turn if it was slow."""
        took_s = time.monotonic() - self.began_at
        if took_s > SLOW_TURN_S and self.began_at:
            did = dict(Counter(self.notes).most_common(8))
            log("slow_turn", "warning", ms=round(took_s * 1000.0), sockets=self.ready, did=did)


class MeteredSelector(selectors.DefaultSelector):
    """Tell a meter when a turn of the loop begins and ends."""

    def __init__(self, meter: TurnMeter) -> None:
        super().__init__()
        self.meter = meter

    def select(self, timeout: float | None = None) -> list:
        """Wait for sockets and timers, which is the time between two turns."""
        self.meter.end()
        ready = super().select(timeout)
        self.meter.begin(len(ready))
        return ready


def metered_loop(meter: TurnMeter) -> asyncio.AbstractEventLoop:
    """Create an event loop whose turns are measured."""
    return asyncio.SelectorEventLoop(MeteredSelector(meter))

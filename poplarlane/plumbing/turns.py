"""Bounds of the work that long input may do in one turn of the event loop.

Input of many short lines costs up to a thousand times as much as the same bytes in one piece: 64 KB
in chunks of one byte take 0.11 s of a core, and more on a small VM. Connections with such input
share a queue, which works for TURN_S at a time and for WORK_SHARE of the time at most.
"""

import asyncio
import time
from collections import deque
from collections.abc import Callable
from typing import Protocol

from poplarlane.error_text import error_text
from poplarlane.logs import log

# Callers of other services wait for at most this and one piece.
TURN_S = 0.002
# The rest is left to other connections, and on a small VM to the quota of the system's scheduler.
WORK_SHARE = 1 / 3
# Input with more lines than this is long: they cost 1 ms, and usual responses have a few dozen.
LINES_AT_ONCE = 256
# Most input is shorter than this and is not searched: it holds at most 1.7 ms of work.
SHORT_BYTES = 1_024
# The first piece holds up to 85 chunks, which cost 1 ms; pieces grow while they bring little work.
PIECE_BYTES = 512
MAX_PIECE_BYTES = 4_096
# Framing beyond this much and this multiple of the body is a fault of the sender. A program that
# flushes each character has 5 bytes of framing for each, and may send bodies of 5 KB at once.
FRAMING_BYTES = 16_384
FRAMING_RATIO = 2


def is_long(data: bytes) -> bool:
    """Return whether input may hold more work than one read should do."""
    if len(data) <= SHORT_BYTES:
        return False
    # A count of all lines takes up to 70 us for 64 KB.
    position = -1
    for _ in range(LINES_AT_ONCE + 1):
        position = data.find(b"\n", position + 1)
        if position < 0:
            return False
    return True


def has_excessive_framing(read_bytes: int, body_bytes: int) -> bool:
    """Return whether the framing in what was read is out of proportion to the body."""
    return read_bytes - body_bytes > FRAMING_BYTES + FRAMING_RATIO * body_bytes


class LongInput:
    """Input that is worked on in pieces, with what has been taken of it."""

    __slots__ = ("data", "position", "piece_bytes", "taken_bytes", "body_bytes")

    def __init__(self) -> None:
        self.data = b""
        self.position = 0
        self.piece_bytes = PIECE_BYTES
        self.taken_bytes = 0
        self.body_bytes = 0

    def add(self, data: bytes) -> None:
        """Append input that arrived meanwhile."""
        self.data = self.data[self.position :] + data
        self.position = 0

    def prepend(self, data: bytes) -> None:
        """Put input that arrived earlier before the rest."""
        self.data = data + self.data[self.position :]
        self.position = 0

    def take(self, size: int = 0) -> bytes:
        """Return the next piece, of the given size or of the size that fits the work."""
        start = self.position
        self.position = min(len(self.data), start + (size or self.piece_bytes))
        self.taken_bytes += self.position - start
        return self.data[start : self.position]

    def take_all(self) -> bytes:
        """Return the rest."""
        return self.take(len(self.data))

    def take_head(self) -> bytes:
        """Return the next head with its empty line, or the rest if that is not complete."""
        end = self.data.find(b"\r\n\r\n", self.position)
        head = self.take_all() if end < 0 else self.take(end + 4 - self.position)
        # A head is no framing of the body behind it.
        self.taken_bytes = 0
        return head

    def is_done(self) -> bool:
        """Return whether all input was taken."""
        return self.position >= len(self.data)

    def note_body(self, size: int, chunks: int) -> None:
        """Record the body bytes of a piece and in how many parts they came."""
        self.body_bytes += size
        if chunks <= 2:
            self.piece_bytes = min(MAX_PIECE_BYTES, self.piece_bytes * 4)
        else:
            self.piece_bytes = PIECE_BYTES

    def has_excessive_framing(self) -> bool:
        """Return whether the framing is out of proportion to the body."""
        return has_excessive_framing(self.taken_bytes, self.body_bytes)


class Worker(Protocol):
    """A connection with long input."""

    def work(self) -> bool:
        """Work on one piece; return whether there is more."""

    def give_up(self) -> None:
        """Close the connection after an unexpected error."""


class TurnQueue:
    """Share the time for long input between the connections that have some."""

    __slots__ = ("loop", "waiting", "is_scheduled", "clock", "note")

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        note: Callable[[str], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.loop = loop
        self.waiting: deque[Worker] = deque()
        self.is_scheduled = False
        self.clock = clock
        # Records what a turn of the loop did.
        self.note = note

    def add(self, worker: Worker) -> None:
        """Let a connection work in later turns."""
        self.waiting.append(worker)
        if not self.is_scheduled:
            self.is_scheduled = True
            self.loop.call_soon(self.run)

    def run(self) -> None:
        """Work for one share, piece by piece in turn, and plan the next one."""
        self.note("long_input")
        started_at = now = self.clock()
        self.is_scheduled = False
        while self.waiting and now < started_at + TURN_S:
            worker = self.waiting.popleft()
            if self.has_more(worker):
                self.waiting.append(worker)
            now = self.clock()
        if self.waiting and not self.is_scheduled:
            self.is_scheduled = True
            self.loop.call_at(now + pause_after(now - started_at), self.run)

    def has_more(self, worker: Worker) -> bool:
        """Let a connection work; a failure ends that connection and not the work of the others."""
        try:
            return worker.work()
        except Exception as error:
            log("long_input_failed", "error", reason=error_text(error))
            worker.give_up()
            return False


def pause_after(worked_s: float, share: float = WORK_SHARE) -> float:
    """Return how long to leave the loop to others after that much work."""
    return worked_s * (1.0 / share - 1.0)


class WorkPauses:
    """Pause a coroutine that reads long input, so that it takes a share of the time at most.

    Reads return at once while input waits, so that other work of the loop would wait for the last.
    """

    __slots__ = ("share", "resumed_at", "worked_s", "steps")

    def __init__(self, share: float = WORK_SHARE) -> None:
        self.share = share
        self.resumed_at = time.monotonic()
        self.worked_s = 0.0
        self.steps = 0

    def stop(self) -> None:
        """Record that the coroutine waits for input from now on."""
        self.worked_s += time.monotonic() - self.resumed_at

    def resume(self) -> None:
        """Record that it works again."""
        self.resumed_at = time.monotonic()

    async def step(self) -> None:
        """Count a step, and pause if the turn's time is used up."""
        self.steps += 1
        # Sixteen chunks cost 0.2 ms; a look at the clock for each would cost 1% more.
        if self.steps % 16 == 0:
            await self.pause_if_due()

    async def pause_if_due(self) -> None:
        """Pause if the turn's time is used up."""
        self.stop()
        if self.worked_s > TURN_S:
            worked_s, self.worked_s = self.worked_s, 0.0
            await asyncio.sleep(pause_after(worked_s, self.share))
        self.resume()

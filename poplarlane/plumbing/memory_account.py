"""Account of the bytes that a process holds for its callers, against the memory of its VM."""

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from poplarlane.plumbing.callers import CallerConnection

# Code, tables and connections; a node uses 20 MB at the start and some more with 2000 callers.
PROCESS_BYTES = 48_000_000
# Parser input, write buffers and the allocator need this much beside each byte that is held.
COPIES = 1.3
# Bodies up to this size do not wait behind larger ones.
SMALL_BODY_BYTES = 65_536
# Share of the memory that larger bodies may take.
LARGE_SHARE = 7 / 8


class MemoryAccount:
    """Count held bytes, and admit bodies that wait for room in the order of their arrival.

    A body of known length is counted as a whole before it is read. Otherwise several uploads could
    each wait for the room that the others hold.
    """

    __slots__ = ("limit", "large_limit", "held", "waiting", "is_admitting")

    def __init__(self, memory_bytes: int) -> None:
        self.limit = max(0, int((memory_bytes - PROCESS_BYTES) / COPIES))
        self.large_limit = int(self.limit * LARGE_SHARE)
        self.held = 0
        self.waiting: deque[CallerConnection] = deque()
        self.is_admitting = False

    def take(self, size: int) -> None:
        """Count bytes that are held whatever the limit is."""
        self.held += size

    def try_take(self, size: int) -> bool:
        """Count the bytes of a body if there is room and no other body waits for it."""
        if size > SMALL_BODY_BYTES:
            if self.waiting or self.held + size > self.large_limit:
                return False
        elif self.held + size > self.limit:
            return False
        self.held += size
        return True

    def try_extend(self, size: int, body_bytes: int) -> bool:
        """Count a part of a body of unknown length, which has `body_bytes` with it, if it fits."""
        limit = self.limit if body_bytes <= SMALL_BODY_BYTES else self.large_limit
        if self.held + size > limit:
            return False
        self.held += size
        return True

    def release(self, size: int) -> None:
        """Count bytes as no longer held, and admit waiting bodies."""
        self.held -= size
        if self.waiting and not self.is_admitting:
            self.admit()

    def admit(self) -> None:
        """Let waiting callers send their bodies while there is room."""
        # An admitted request may end at once and release its bytes in here.
        self.is_admitting = True
        try:
            while self.waiting:
                size = self.waiting[0].reader.head.length
                if self.held + size > self.large_limit:
                    return
                self.held += size
                self.waiting.popleft().reader.resume_body()
        finally:
            self.is_admitting = False

    def stop_waiting(self, caller: "CallerConnection") -> None:
        """Remove a caller whose body no longer waits for room."""
        if caller in self.waiting:
            self.waiting.remove(caller)
            if not self.is_admitting:
                self.admit()

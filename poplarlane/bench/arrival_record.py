"""Record of which node sent requests to which target, checked against the targets' rate limits."""

from collections import defaultdict, deque
from collections.abc import Iterator

WINDOW_S = 4.0
# A node that has passed on a statement is bound by it this long after.
NOTICE_S = 0.5
# Windows that end earlier after the first statement do not count.
SETTLING_S = 3.0
# A window may hold this multiple of what the limit allows, and a few requests more.
TOLERANCE_RATIO = 1.5
TOLERANCE_REQUESTS = 5


class ArrivalRecord:
    """Requests that reached targets, and when nodes first passed on a statement of a target."""

    __slots__ = ("arrivals", "told_at")

    def __init__(self) -> None:
        # Time and node of each request, by target.
        self.arrivals: dict[str, list[tuple[float, str]]] = defaultdict(list)
        # When each node first passed on the target's statement, by target.
        self.told_at: dict[str, dict[str, float]] = defaultdict(dict)

    def record(self, target: str, node: str, at: float) -> None:
        """Record a request that reaches a target."""
        self.arrivals[target].append((at, node))

    def record_statement(self, target: str, node: str, at: float) -> None:
        """Record that a node passes on an answer with the target's limit."""
        self.told_at[target].setdefault(node, at)

    def most_in_window(self, target: str, until: float) -> int:
        """Return the most requests in a window that ends by `until`, from nodes that were told."""
        return max(self.windows(target, until), default=0)

    def windows(self, target: str, until: float) -> Iterator[int]:
        """Yield the number of counted requests in the window that each of them ends."""
        told_at = self.told_at[target]
        if not told_at:
            return
        counts_from = min(told_at.values()) + SETTLING_S
        window: deque[float] = deque()
        for at, node in sorted(self.arrivals[target]):
            if at > until or at < told_at.get(node, at + 1.0) + NOTICE_S:
                continue
            window.append(at)
            while window[0] <= at - WINDOW_S:
                window.popleft()
            if at >= counts_from:
                yield len(window)


def most_allowed(limit_per_s: float) -> int:
    """Return the most requests in a window at a limit."""
    return int(TOLERANCE_RATIO * limit_per_s * WINDOW_S + TOLERANCE_REQUESTS)

"""Estimates of rates from counted requests."""

import math
from collections import deque

# Multiples of the report interval, because reports bring the counts of an interval at a time.
SHORT_WINDOW_S = 0.25
LONG_WINDOW_S = 0.75
# A fall is concluded from two intervals, because a single report may be lost.
FALL_WINDOW_S = 0.5
BIN_S = 0.02
USE_BIN_S = 0.1
# Time in which all nodes have found a new root and reported to it.
FIRST_REPORTS_S = 1.0
# The long window is corrected where the short one exceeds it, or is below it, by more standard
# deviations than this. A rise that is noticed late exceeds quotas, a fall only refuses too much.
RISE_DEVIATIONS = 0.5
FALL_DEVIATIONS = 2.0


class DecayingRate:
    """Rate of requests, in which older ones count exponentially less."""

    __slots__ = ("per_s", "at", "time_s")

    def __init__(self, now: float, time_s: float, per_s: float = 0.0) -> None:
        self.per_s = per_s
        self.at = now
        # Time constant of the decay.
        self.time_s = time_s

    def add(self, count: float, now: float) -> None:
        """Count requests."""
        self.per_s = max(0.0, self.value(now) + count / self.time_s)
        self.at = now

    def value(self, now: float) -> float:
        """Return the rate per second."""
        return self.per_s * math.exp(-max(0.0, now - self.at) / self.time_s)


class WindowUse:
    """What was used within a window, by when it was, oldest first."""

    __slots__ = ("window_s", "bins", "total")

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self.bins: deque[tuple[float, float]] = deque()
        self.total = 0.0

    def add(self, amount: float, now: float) -> None:
        """Count use."""
        self.total += amount
        if self.bins and now - self.bins[-1][0] < USE_BIN_S:
            at, before = self.bins.pop()
            self.bins.append((at, before + amount))
        else:
            self.bins.append((now, amount))

    def most_per_s(self, limit: float, now: float) -> float:
        """Return the largest constant rate that keeps each coming window within a limit.

        Use leaves the window when it is `window_s` old; until then it counts in full.
        """
        while self.bins and self.bins[0][0] <= now - self.window_s:
            self.total -= self.bins.popleft()[1]
        most = limit / self.window_s
        held = self.total
        for at, amount in self.bins:
            most = min(most, (limit - held) / max(USE_BIN_S, at + self.window_s - now))
            held -= amount
        return most


class DemandWindow:
    """Rate of arrivals that follows a rise or fall within a report interval."""

    __slots__ = ("bins", "started_at", "assumed_per_s")

    def __init__(self, now: float, assumed_per_s: float = 0.0) -> None:
        self.started_at = now
        # Least rate until the reports of all nodes have been received.
        self.assumed_per_s = assumed_per_s
        self.bins: deque[tuple[float, int]] = deque()

    def add(self, count: int, now: float) -> None:
        """Count arrivals."""
        if self.bins and now - self.bins[-1][0] < BIN_S:
            at, before = self.bins.pop()
            self.bins.append((at, before + count))
        else:
            self.bins.append((now, count))
        while self.bins[0][0] < now - LONG_WINDOW_S:
            self.bins.popleft()

    def per_s(self, now: float) -> float:
        """Return the arrivals per second."""
        short = middle = long = 0
        for at, count in self.bins:
            if at > now - LONG_WINDOW_S:
                long += count
            if at > now - FALL_WINDOW_S:
                middle += count
            if at > now - SHORT_WINDOW_S:
                short += count
        window_s = min(LONG_WINDOW_S, max(SHORT_WINDOW_S, now - self.started_at))
        least = (short - RISE_DEVIATIONS * math.sqrt(max(0, short))) / SHORT_WINDOW_S
        most = (middle + FALL_DEVIATIONS * (math.sqrt(max(0, middle)) + 1.0)) / FALL_WINDOW_S
        found = min(most, max(least, long / window_s))
        is_new = now - self.started_at < FIRST_REPORTS_S
        return max(found, self.assumed_per_s) if is_new else found

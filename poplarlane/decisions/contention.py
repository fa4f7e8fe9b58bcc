"""How much slower a target works the more requests run there, learned from answers.

Some targets lose throughput when they are nearly full. The limit follows from throughput as in
gradient concurrency limits (Vegas, Netflix's concurrency-limits): one more request at a time is
worth it only while requests finish more often with it.
"""

# Answers behind a factor before it is believed.
MIN_SAMPLES = 12
# Weight of one answer; the factors of a service change only with its software.
GAIN = 0.05
# A single slow answer says little about crowding.
MAX_RATIO = 4.0
# Rates within this share of the best count as equal.
NEAR_BEST_SHARE = 0.95


class Contention:
    """Hold the time of work by the number of requests at a target, as multiples of the usual."""

    __slots__ = ("factors", "samples", "limits")

    def __init__(self) -> None:
        # Index n holds the factor of a request that is the n-th at its target.
        self.factors: list[float] = []
        self.samples: list[int] = []
        # Best number of requests at a time, by slots.
        self.limits: dict[int, int] = {}


def observe(contention: Contention, place: int, ratio: float) -> None:
    """Record the time of an answer, as a multiple of the usual, that was the n-th at its target."""
    while len(contention.factors) <= place:
        contention.factors.append(1.0)
        contention.samples.append(0)
    contention.samples[place] += 1
    gain = max(GAIN, 1.0 / contention.samples[place])
    contention.factors[place] += gain * (min(ratio, MAX_RATIO) - contention.factors[place])
    contention.limits.clear()


def contention_factor(contention: Contention, place: int) -> float:
    """Give how much longer the n-th request at a target takes; 1 until that is known."""
    if place >= len(contention.factors) or contention.samples[place] < MIN_SAMPLES:
        return 1.0
    return max(1.0, contention.factors[place])


def best_concurrency(contention: Contention, slots: int) -> int:
    """Give how many requests at a time finish most requests per second, at most `slots`."""
    found = contention.limits.get(slots)
    if found is None:
        rates = [place / contention_factor(contention, place) for place in range(1, slots + 1)]
        best = max(rates)
        # The smallest number that comes close to the best rate leaves the shortest times.
        found = next(place for place, rate in enumerate(rates, 1) if rate >= NEAR_BEST_SHARE * best)
        contention.limits[slots] = found
    return found

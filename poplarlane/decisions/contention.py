"""How service times grow with the concurrency at a target, estimated from responses.

Some targets lose throughput when nearly all of their slots are in use. The concurrency limit
follows from throughput as in gradient concurrency limits (Vegas, Netflix's concurrency-limits):
concurrency is increased only while that increases throughput.
"""

# Responses needed before a factor is used.
MIN_SAMPLES = 12
# Weight of one response; small, because the factors of a service change only with its software.
GAIN = 0.05
# Clips samples, because a single slow response says little about contention.
MAX_RATIO = 4.0
# Throughputs of at least this share of the best count as equal to it.
NEAR_BEST_SHARE = 0.95


class Contention:
    """Service time by concurrency at a target, as a multiple of the normal service time."""

    __slots__ = ("factors", "samples", "limits")

    def __init__(self) -> None:
        # Both are indexed by concurrency: the requests at the target, this one included.
        self.factors: list[float] = []
        self.samples: list[int] = []
        # Cached best concurrency, by slots.
        self.limits: dict[int, int] = {}


def observe(contention: Contention, concurrency: int, ratio: float) -> None:
    """Record a service time, as a multiple of the normal one, at a given concurrency."""
    while len(contention.factors) <= concurrency:
        contention.factors.append(1.0)
        contention.samples.append(0)
    contention.samples[concurrency] += 1
    gain = max(GAIN, 1.0 / contention.samples[concurrency])
    contention.factors[concurrency] += gain * (
        min(ratio, MAX_RATIO) - contention.factors[concurrency]
    )
    contention.limits.clear()


def contention_factor(contention: Contention, concurrency: int) -> float:
    """Return how much longer a request takes at this concurrency; 1 until that is known."""
    if concurrency >= len(contention.factors) or contention.samples[concurrency] < MIN_SAMPLES:
        return 1.0
    return max(1.0, contention.factors[concurrency])


def best_concurrency(contention: Contention, slots: int) -> int:
    """Return the concurrency with the highest throughput, at most `slots`."""
    found = contention.limits.get(slots)
    if found is None:
        rates = [count / contention_factor(contention, count) for count in range(1, slots + 1)]
        best = max(rates)
        # The lowest concurrency near the best throughput gives the shortest response times.
        found = next(count for count, rate in enumerate(rates, 1) if rate >= NEAR_BEST_SHARE * best)
        contention.limits[slots] = found
    return found

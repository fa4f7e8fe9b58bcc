"""How service times grow with the concurrency at a target, estimated from responses.

Some targets lose throughput when nearly all of their slots are in use. The concurrency limit
follows from throughput as in gradient concurrency limits (Vegas, Netflix's concurrency-limits):
concurrency is increased only while that increases throughput.

A node of a large fleet sees few responses, so an estimate starts from a prior and moves with the
first samples. Evidence ages: a limit that rests on old samples is tried again.
"""

import math

# The prior counts as this many samples.
PRIOR_SAMPLES = 2.0
# Factor assumed for the last slot of a target; it falls linearly to 1 at half of the slots.
PRIOR_FACTOR_AT_FULL = 1.3
# Bounds the weight of old evidence, so that a new version of a service is soon recognised.
MAX_SAMPLES = 20.0
# Decay time of the evidence. A full weight lasts about a minute before the limit is tried again.
EVIDENCE_MEMORY_S = 30.0
AGING_INTERVAL_S = 1.0
# Clips samples, because a single slow response says little about contention.
MAX_RATIO = 3.0
# Throughputs of at least this share of the best count as equal to it.
NEAR_BEST_SHARE = 0.95


class Contention:
    """Service time by concurrency at a target, as a multiple of the normal service time."""

    __slots__ = ("means", "samples", "limits", "aged_at")

    def __init__(self) -> None:
        # Both are indexed by concurrency: the requests at the target, this one included.
        self.means: list[float] = []
        self.samples: list[float] = []
        # Cached best concurrency, by slots.
        self.limits: dict[int, int] = {}
        self.aged_at = -math.inf


def observe(contention: Contention, concurrency: int, ratio: float) -> None:
    """Record a service time, as a multiple of the normal one, at a given concurrency."""
    while len(contention.means) <= concurrency:
        contention.means.append(1.0)
        contention.samples.append(0.0)
    samples = min(contention.samples[concurrency], MAX_SAMPLES - 1.0) + 1.0
    contention.samples[concurrency] = samples
    mean = contention.means[concurrency]
    contention.means[concurrency] = mean + (min(ratio, MAX_RATIO) - mean) / samples
    contention.limits.clear()


def age(contention: Contention, now: float) -> None:
    """Let the evidence lose weight with time."""
    if now < contention.aged_at + AGING_INTERVAL_S:
        return
    kept = math.exp((contention.aged_at - now) / EVIDENCE_MEMORY_S)
    contention.samples = [samples * kept for samples in contention.samples]
    contention.aged_at = now
    contention.limits.clear()


def prior_factor(concurrency: int, slots: int) -> float:
    """Return the factor assumed at a concurrency before any response has shown it."""
    return 1.0 + (PRIOR_FACTOR_AT_FULL - 1.0) * max(0.0, 2.0 * concurrency / slots - 1.0)


def contention_factor(contention: Contention, concurrency: int, slots: int) -> float:
    """Return how much longer a request takes at this concurrency."""
    prior = prior_factor(concurrency, slots)
    if concurrency >= len(contention.means):
        return prior
    samples = contention.samples[concurrency]
    mean = contention.means[concurrency]
    return max(1.0, (PRIOR_SAMPLES * prior + samples * mean) / (PRIOR_SAMPLES + samples))


def best_concurrency(contention: Contention, slots: int) -> int:
    """Return the concurrency with the highest throughput, at most `slots`."""
    found = contention.limits.get(slots)
    if found is None:
        rates = [
            count / contention_factor(contention, count, slots) for count in range(1, slots + 1)
        ]
        best = max(rates)
        # The lowest concurrency near the best throughput gives the shortest response times.
        found = next(count for count, rate in enumerate(rates, 1) if rate >= NEAR_BEST_SHARE * best)
        contention.limits[slots] = found
    return found

"""Seeded arrivals of an open-loop load."""

import heapq
from collections.abc import Iterator

import numpy

from poplarlane.bench.experiment import ServicePlan


class Arrival:
    """Hold one request to come; `at_s` counts from the start of the load."""

    __slots__ = ("at_s", "index", "service", "kind", "random_value", "work")

    def __init__(
        self, at_s: float, service: int, kind: int, random_value: float, work: float
    ) -> None:
        self.at_s = at_s
        self.service = service
        self.kind = kind
        # Chooses the entry, uniform in [0, 1).
        self.random_value = random_value
        # Quantile of the service time, the same for every variant.
        self.work = work
        self.index = 0


def plan_arrivals(
    services: list[ServicePlan], load: float, duration_s: float, limit: int, seed: int
) -> list[Arrival]:
    """Draw the arrivals of all services in order of time, at most `limit`."""
    streams = [
        service_arrivals(number, service, load, duration_s, seed)
        for number, service in enumerate(services)
    ]
    arrivals = []
    for arrival in heapq.merge(*streams, key=lambda arrival: arrival.at_s):
        if len(arrivals) >= limit:
            break
        arrival.index = len(arrivals)
        arrivals.append(arrival)
    return arrivals


def service_arrivals(
    number: int, service: ServicePlan, load: float, duration_s: float, seed: int
) -> Iterator[Arrival]:
    """Draw the arrivals of one service from a Poisson process."""
    generator = numpy.random.default_rng([seed, number])
    rate = load * service.capacity_per_s()
    # Six standard deviations more than the mean: the time bound then ends the list.
    count = int(rate * duration_s + 6 * (rate * duration_s) ** 0.5) + 1
    times = numpy.cumsum(generator.exponential(1 / rate, count))
    shares = numpy.array([kind.share for kind in service.kinds])
    kinds = generator.choice(len(shares), count, p=shares / shares.sum())
    random_values = generator.random((2, count)).tolist()
    for at_s, kind, random_value, work in zip(
        times.tolist(), kinds.tolist(), *random_values, strict=True
    ):
        if at_s >= duration_s:
            return
        yield Arrival(at_s, number, kind, random_value, work)

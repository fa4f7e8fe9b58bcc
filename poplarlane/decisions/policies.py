"""Policy classes, looked up by the name that the configuration gives.

A policy object belongs to one service in one entry and holds the state of its choices.
"""


class Policy:
    """Base class of all policies."""

    __slots__ = ()


class Random(Policy):
    """Choose any target with equal probability."""

    __slots__ = ()


class RoundRobin(Policy):
    """Choose targets in turn."""

    __slots__ = ("next_index",)

    def __init__(self) -> None:
        self.next_index = -1


class LeastOutstanding(Policy):
    """Choose the target with the fewest outstanding requests of this entry."""

    __slots__ = ()


class PowerOfTwo(Policy):
    """Choose the one of two random targets with fewer outstanding requests of this entry."""

    __slots__ = ()


class ProbePool(Policy):
    """Choose by requests in flight and latency as probes report them, hot targets last."""

    __slots__ = ("hot_quantile", "max_age_s")

    def __init__(self) -> None:
        self.hot_quantile = 0.84
        self.max_age_s = 1.0


class Adaptive(Policy):
    """Choose the lowest expected wait from own counts, reports, latency and verdicts."""

    __slots__ = ("slots", "entries")

    def __init__(self) -> None:
        self.slots = 6
        self.entries = 1


POLICIES: dict[str, type[Policy]] = {
    "random": Random,
    "round_robin": RoundRobin,
    "least_outstanding": LeastOutstanding,
    "power_of_two": PowerOfTwo,
    "probe_pool": ProbePool,
    "adaptive": Adaptive,
}


def policy_by_name(name: str) -> Policy | None:
    """Create the named policy; None for an unknown name."""
    kind = POLICIES.get(name)
    return kind() if kind else None

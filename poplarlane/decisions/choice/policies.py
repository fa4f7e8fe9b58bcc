"""Load balancing policies, looked up by their name in the configuration.

A policy object belongs to one service in one entry and holds the policy's state.
"""

import math

DEFAULT_SLOTS = 6


class Policy:
    """Base class of all policies."""

    __slots__ = ()


class Random(Policy):
    """Choose any target with equal probability."""

    __slots__ = ()


class RoundRobin(Policy):
    """Choose targets in rotation."""

    __slots__ = ("next_index",)

    def __init__(self) -> None:
        self.next_index = -1


class LeastOutstanding(Policy):
    """Choose the target with the fewest outstanding requests of this entry."""

    __slots__ = ()


class PowerOfTwo(Policy):
    """Choose, of two random targets, the one with fewer outstanding requests of this entry."""

    __slots__ = ()


class ProbePool(Policy):
    """Choose by requests in flight and latency as reported by probes, hot targets last."""

    __slots__ = ("trial_credit", "hot_quantile", "max_age_s")

    def __init__(self) -> None:
        self.trial_credit = 1.0
        self.hot_quantile = 0.84
        self.max_age_s = 1.0


class Adaptive(Policy):
    """Choose the lowest expected time by own counts, load reports, latency and verdicts."""

    __slots__ = ("slots", "trial_credit", "dispersion", "dispersion_at", "is_sampling")

    def __init__(self, slots: int = DEFAULT_SLOTS) -> None:
        self.slots = slots
        # Smoothed variance over mean of the targets' reports, and the time of the last update.
        self.dispersion = 0.5
        self.dispersion_at = -math.inf
        # Whether reports are so stale that only a random sample of targets is compared.
        self.is_sampling = False
        # Trials that may be sent now; each request adds a fraction.
        self.trial_credit = 1.0


class Measured(Policy):
    """Choose the lowest expected completion time by load reports taken right before the choice."""

    __slots__ = ("max_probe_rounds", "trial_credit")

    def __init__(self) -> None:
        self.trial_credit = 0.0
        self.max_probe_rounds = 6


POLICIES: dict[str, type[Policy]] = {
    "random": Random,
    "round_robin": RoundRobin,
    "least_outstanding": LeastOutstanding,
    "power_of_two": PowerOfTwo,
    "probe_pool": ProbePool,
    "adaptive": Adaptive,
    "measured": Measured,
}


def policy_by_name(name: str, slots: int = DEFAULT_SLOTS) -> Policy | None:
    """Create the named policy for a service with `slots` per target; None for an unknown name."""
    kind = POLICIES.get(name)
    if kind is None:
        return None
    return kind(slots) if kind is Adaptive else kind()

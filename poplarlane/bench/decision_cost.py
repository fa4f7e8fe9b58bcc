"""Measure what the load-balancing decisions of one request cost, with timeit.

Run as `python -m poplarlane.bench.decision_cost`. The best of several rounds is printed, because
other work on the machine only adds time.
"""

import itertools
import random
import timeit
from types import SimpleNamespace

from poplarlane.decisions.admission import limits
from poplarlane.decisions.choice.policies import POLICIES, policy_by_name
from poplarlane.decisions.choice.routing import choose_target
from poplarlane.decisions.health import health
from poplarlane.decisions.repeats import retries
from poplarlane.types import Priority, Target, TargetLoad

TARGETS = 17
SLOTS = 6
ENTRIES = 24
LATENCY_S = 0.04
REQUESTS_PER_S = 75
ROUNDS = 7
REQUESTS = 2_000


class Setting:
    """Hold the state of one entry that knows 17 targets."""

    def __init__(self, policy: str) -> None:
        self.generator = random.Random(1)
        self.policy = policy_by_name(policy)
        self.loads = [
            TargetLoad(Target(f"t-{number}", "127.0.0.1", 1, "a", {}), 0.001 * (number % 3 > 0))
            for number in range(TARGETS)
        ]
        self.service = health.ServiceHealth()
        self.limits = limits.ServiceLimits(SLOTS, 330, 256, ENTRIES, self.loads)
        self.retry = retries.retry_budget(0.1)
        self.hedge = retries.hedge_budget(0.05)
        self.ids = itertools.count()
        self.now = 100.0
        self.open: list[tuple[int, TargetLoad]] = []

    def request(self) -> None:
        """Make every decision of one request, and those of an earlier request's answer."""
        self.now += 1 / REQUESTS_PER_S
        request_id = next(self.ids)
        request = SimpleNamespace(
            request_id=request_id, priority=Priority.HIGH, deadline=self.now + 3.0
        )
        limits.admit(self.limits, request, self.now)
        retries.observe_request(self.retry)
        retries.observe_request(self.hedge)
        usable = limits.targets_with_capacity(self.limits, self.loads)
        load = choose_target(self.policy, usable, self.now, self.generator.getrandbits(64))
        health.observe_sent(load, request_id, self.now)
        self.open.append((request_id, load))
        if len(self.open) > REQUESTS_PER_S * LATENCY_S:
            self.answer()

    def answer(self) -> None:
        """Learn from the oldest outstanding request."""
        request_id, load = self.open.pop(0)
        latency_s = self.generator.expovariate(1 / LATENCY_S)
        health.observe_answer(load, latency_s, True, self.now)
        health.observe_latency(self.service, latency_s)
        health.observe_report(load, self.generator.randrange(2, 7), self.now - 0.0005, self.now)
        health.review(self.service, self.loads, self.now)
        health.observe_end(load, request_id)


def best_us(policy: str) -> float:
    """Give the microseconds of all decisions of one request."""
    setting = Setting(policy)
    rounds = timeit.repeat(setting.request, repeat=ROUNDS, number=REQUESTS)
    return min(rounds) / REQUESTS * 1e6


def main() -> None:
    """Print one line per policy."""
    for policy in POLICIES:
        print(f"policy={policy} targets={TARGETS} us_per_request={best_us(policy):.1f}")


if __name__ == "__main__":
    main()

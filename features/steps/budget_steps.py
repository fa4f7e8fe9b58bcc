"""Steps about queues, retry budgets and hedge budgets."""

import random
from types import SimpleNamespace

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from poplarlane.decisions.admission import limits
from poplarlane.decisions.health import health
from poplarlane.decisions.repeats import retries
from poplarlane.outcomes import NotRun, OutcomeUnknown, ResultCode
from poplarlane.types import Priority, Target, TargetLoad

REFUSED = NotRun(ResultCode.REFUSED_BY_TARGET, "refused")
UNKNOWN = OutcomeUnknown(ResultCode.OUTCOME_UNKNOWN, "closed")
NOW = 100.0


class Chain:
    """Run requests through levels that each decide on retries with their own budget."""

    def __init__(self, depth, refused_share, seed, markers):
        self.budgets = [retries.retry_budget(0.1) for _ in range(depth)]
        self.refused_share = refused_share
        self.generator = random.Random(seed)
        self.markers = markers
        self.leaf_calls = 0

    def call(self, level, attempt, retried):
        """Call a level; gives whether it refused, and the marker on the refusal."""
        if level == len(self.budgets):
            self.leaf_calls += 1
            return self.generator.random() < self.refused_share, False
        budget = self.budgets[level]
        request = SimpleNamespace(
            idempotent=True, attempt=attempt, deadline=NOW + 1.0, retried_below=retried
        )
        retries.observe_request(budget, request.attempt)
        while True:
            refused, marked = self.call(level + 1, *self.sent_down(request.attempt, retried))
            if not refused:
                return False, False
            request.retried_below = request.retried_below or (marked and self.markers)
            decision = retries.decide_retry(budget, request, REFUSED, NOW)
            retried = retried or decision is not retries.RetryDecision.NO
            if decision is not retries.RetryDecision.RETRY:
                return True, retried or request.retried_below
            request.attempt += 1

    def sent_down(self, attempt, retried):
        """Give the markers that travel with a request."""
        return (attempt, retried) if self.markers else (1, False)


@given("a chain of 26 levels with a retry budget of 10% each")
def step_chain(context):
    context.depth = 26


@when("5000 requests run through it and the leaf refuses {share:d}% of its calls, seed {seed:d}")
def step_run_chain(context, share, seed):
    context.calls = {}
    for markers in (True, False):
        chain = Chain(context.depth, share / 100, seed, markers)
        for _ in range(5000):
            chain.call(0, 1, False)
        context.calls[markers] = chain.leaf_calls


@then("the leaf is called at most 1.1 times per request, plus the saved-up budget of 10")
def step_amplification(context):
    assert context.calls[True] <= 1.1 * 5000 + 10, context.calls


@then("without the markers it would be called at least {times:g} times per request")
def step_without(context, times):
    assert context.calls[False] >= times * 5000, context.calls


@then("no outcome, attempt or marker makes a non-idempotent unknown request retriable")
def step_non_idempotent(context):
    for attempt in range(1, 5):
        for below in (False, True):
            request = SimpleNamespace(
                idempotent=False, attempt=attempt, deadline=NOW + 1.0, retried_below=below
            )
            budget = retries.retry_budget(1.0)
            assert not retries.may_retry(budget, request, UNKNOWN, NOW)
            assert not retries.may_hedge(budget, request, 0.01, NOW)


@then("for any pattern of requests the extra ones stay within ratio and reserve")
def step_budgets(context):
    @settings(max_examples=100)
    @for_all(st.lists(st.tuples(st.integers(1, 50), st.integers(0, 20)), max_size=50))
    def check(pattern):
        request = SimpleNamespace(
            idempotent=True, attempt=1, deadline=NOW + 1.0, retried_below=False
        )
        hedges, retry = retries.hedge_budget(0.05), retries.retry_budget(0.1)
        requests = hedged = retried = 0
        for arrivals, wishes in pattern:
            requests += arrivals
            for _ in range(arrivals):
                retries.observe_request(hedges)
                retries.observe_request(retry)
            for _ in range(wishes):
                hedged += retries.may_hedge(hedges, request, 0.01, NOW)
                retried += retries.may_retry(retry, request, REFUSED, NOW)
        assert hedged <= 0.05 * requests + retries.HEDGE_CAPACITY + 1e-6
        assert retried <= 0.1 * requests + retries.RETRY_CAPACITY + 1e-6

    check()


def make_limits(targets, queue_length, entries=1):
    """Create limits over targets that have a typical latency of 50 ms."""
    loads = [TargetLoad(Target(f"t-{n}", "127.0.0.1", 1, "a", {})) for n in range(targets)]
    for load in loads:
        load.typical_s = 0.05
        health.observe_report(load, 6, NOW - 1.0, NOW - 1.0)
    return limits.ServiceLimits(6, 330, queue_length, entries, loads)


def fill(bounds):
    """Use all room at all targets."""
    request_id = 10**6
    for load in bounds.loads:
        while limits.has_capacity(bounds, load):
            health.observe_sent(load, request_id, NOW)
            request_id += 1


def arrive(bounds, priority, left_s=5.0, now=NOW, request_id=0):
    """Let a request arrive; gives the request and the decision."""
    request = SimpleNamespace(request_id=request_id, priority=priority, deadline=now + left_s)
    return request, limits.admit(bounds, request, now)


@given("a queue for 8 requests of a service without room")
def step_queue(context):
    context.bounds = make_limits(2, 8)
    fill(context.bounds)


@when("9 low, 9 normal and 9 high requests arrive in this order")
def step_arrivals(context):
    context.queued = {}
    for priority in (Priority.LOW, Priority.NORMAL, Priority.HIGH):
        found = [arrive(context.bounds, priority, request_id=n) for n in range(9)]
        refused = [decision for _, decision in found if decision is not limits.QUEUE]
        assert all(decision.code is ResultCode.QUEUE_FULL for decision in refused)
        context.queued[priority] = 9 - len(refused)


@then(
    "{low:d} low, {normal:d} normal and {high:d} high ones are queued, "
    "the others are refused as not run"
)
def step_queued(context, low, normal, high):
    wanted = {Priority.LOW: low, Priority.NORMAL: normal, Priority.HIGH: high}
    assert context.queued == wanted, context.queued


@then("they leave in the order high, normal, low, first in first out")
def step_order(context):
    queued = limits.queued_in_order(context.bounds)
    left = [(request.priority, request.request_id) for request in queued]
    order = [Priority.HIGH, Priority.NORMAL, Priority.LOW]
    assert left == sorted(left, key=lambda item: (order.index(item[0]), item[1])), left
    assert len(left) == context.bounds.queued == 8
    assert all(limits.remove_queued(context.bounds, request) for request in queued)
    assert context.bounds.queued == 0


@given("a service whose answers take at least 50 ms")
def step_minimum(context):
    context.bounds = make_limits(2, 100)
    limits.observe_min_latency(context.bounds, 0.05, NOW)


@then("a request with 40 ms left is refused as not run and one with 60 ms left is sent")
def step_deadline(context):
    assert arrive(context.bounds, Priority.HIGH, 0.04)[1].code is ResultCode.DEADLINE_UNMEETABLE
    assert arrive(context.bounds, Priority.HIGH, 0.06)[1] is limits.ADMIT


@then("after 2 seconds without answers the request with 40 ms left is sent")
def step_forgotten(context):
    assert arrive(context.bounds, Priority.HIGH, 0.04, NOW + 2.0)[1] is limits.ADMIT


@when("the queue needs 200 ms to empty")
def step_long_queue(context):
    fill(context.bounds)
    outstanding = sum(load.outstanding for load in context.bounds.loads)
    for _ in range(int(0.2 / 0.05 * outstanding)):
        assert arrive(context.bounds, Priority.HIGH)[1] is limits.QUEUE


@then("a request with 150 ms left is refused as not run and one with 400 ms left is queued")
def step_queue_deadline(context):
    assert arrive(context.bounds, Priority.HIGH, 0.15)[1].code is ResultCode.DEADLINE_UNMEETABLE
    assert arrive(context.bounds, Priority.HIGH, 0.4)[1] is limits.QUEUE


@given("a service with 6 slots and 330 connections per target and 24 entries")
def step_fleet(context):
    context.bounds = make_limits(1, 100, entries=24)


@then("an entry keeps at most 13 connections per target")
def step_connections(context):
    assert context.bounds.loads[0].connection_share == 13


@then("it has room for 2 requests at a target that reports no free slot")
def step_no_free(context):
    fill(context.bounds)
    assert context.bounds.loads[0].outstanding == 2


@then("it has room for more at a target that reports free slots, up to its connections")
def step_free(context):
    load = context.bounds.loads[0]
    health.observe_report(load, 0, NOW + 1.0, NOW + 1.0)
    fill(context.bounds)
    assert load.outstanding == 2 + 6
    health.observe_report(load, 0, NOW + 2.0, NOW + 2.0)
    fill(context.bounds)
    assert load.outstanding == 13

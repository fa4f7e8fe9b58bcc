"""Steps about the choice of targets."""

import random
from collections import Counter

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from poplarlane.decisions.choice.policies import policy_by_name
from poplarlane.decisions.choice.routing import choose_target
from poplarlane.decisions.choice.subsets import choose_subset, interleave
from poplarlane.decisions.health import health
from poplarlane.types import Target, TargetLoad

NOW = 1000.0
SERVICE_S = 0.02
DATA_CENTRES = ("brasov", "sibiu", "cluj")


def make_loads(count, in_flight=3.0, report_age_s=0.005):
    """Create targets with equal latencies and equal reports."""
    loads = []
    for number in range(count):
        centre = DATA_CENTRES[number % 3]
        load = TargetLoad(Target(f"t-{number}", "127.0.0.1", 1, centre, {}))
        load.typical_s = SERVICE_S
        health.observe_answer(load, SERVICE_S, True, NOW - report_age_s)
        health.observe_report(load, in_flight, NOW - report_age_s, NOW - report_age_s)
        loads.append(load)
    return loads


@given('{count:d} equal targets known to the policy "{policy}"')
def step_equal(context, count, policy):
    context.loads = make_loads(count)
    context.policy = policy_by_name(policy)


@when("it chooses {times:d} times with seeded draws")
def step_choose(context, times):
    generator = random.Random(7)
    context.chosen = [
        choose_target(context.policy, context.loads, NOW, generator.getrandbits(64))
        for _ in range(times)
    ]


@then("every choice is a candidate")
def step_candidate(context):
    assert all(load in context.loads for load in context.chosen)


@then("no target is chosen more than {factor:g} times its even share")
def step_even(context, factor):
    counts = Counter(load.target.name for load in context.chosen)
    even = len(context.chosen) / len(context.loads)
    assert max(counts.values()) <= factor * even, counts


@given("24 entries whose reports say that one of 17 targets was idle 10 service times ago")
def step_stale(context):
    context.entries = [make_loads(17, 4.0, 10 * SERVICE_S) for _ in range(24)]
    for loads in context.entries:
        loads[5].reported_in_flight = 0.0


@given("24 entries that hear of a probe which found one of 17 targets idle")
def step_probed(context):
    context.entries = [make_loads(17, 4.0, 10 * SERVICE_S) for _ in range(24)]
    for loads in context.entries:
        health.observe_probe(loads[5], 0.0, NOW - 0.001, NOW)


@when("each entry chooses for one request")
def step_each(context):
    generator = random.Random(3)
    context.chosen = [
        choose_target(policy_by_name("adaptive"), loads, NOW, generator.getrandbits(64))
        for loads in context.entries
    ]


@then("the idle-looking target is chosen by at most {limit:d} of the 24 entries")
def step_herd(context, limit):
    hits = sum(load.target.name == "t-5" for load in context.chosen)
    assert hits <= limit, hits


@given("an entry with a fresh report that one of 17 targets is idle and the others hold 4 requests")
def step_fresh(context):
    context.loads = make_loads(17, 4.0, 0.001)
    context.loads[5].reported_in_flight = 0.0


@when("the entry sends {count:d} requests before any answer")
def step_burst(context, count):
    generator = random.Random(5)
    policy = policy_by_name("adaptive")
    context.chosen = []
    for number in range(count):
        load = choose_target(policy, context.loads, NOW, generator.getrandbits(64))
        health.observe_sent(load, number, NOW)
        context.chosen.append(load)


@then("the idle-looking target gets at least {least:d} and at most {most:d} of them")
def step_part(context, least, most):
    hits = sum(load.target.name == "t-5" for load in context.chosen)
    assert least <= hits <= most, hits


@given("near targets and targets 1 ms away, both with 2 requests in flight")
def step_near(context):
    context.loads = make_loads(12, 2.0, 0.001)
    for load in context.loads[4:]:
        load.rtt_s = 0.001


@when("the near targets report {count:d} requests in flight")
def step_near_busy(context, count):
    for load in context.loads[:4]:
        health.observe_report(load, count, NOW, NOW)


@then("the adaptive policy chooses a {place} target")
def step_place(context, place):
    generator = random.Random(11)
    policy = policy_by_name("adaptive")
    for _ in range(200):
        load = choose_target(policy, context.loads, NOW, generator.getrandbits(64))
        assert (load.rtt_s == 0.0) == (place == "near"), load.target.name


def subsets_of(loads, size, entries):
    """Give the target names of every entry's subset."""
    ring = interleave(loads)
    return [
        [load.target.name for load in choose_subset(ring, size, rank, entries)]
        for rank in range(entries)
    ]


@then("for any number of targets, entries and any subset size, targets differ by at most one entry")
def step_subsets(context):
    @settings(max_examples=200)
    @for_all(st.integers(1, 40), st.integers(1, 60), st.integers(1, 40))
    def check(targets, entries, size):
        subsets = subsets_of(make_loads(targets), size, entries)
        uses = Counter(name for names in subsets for name in names)
        assert all(len(names) == len(set(names)) == min(size, targets) for names in subsets)
        counts = [uses[f"t-{number}"] for number in range(targets)]
        assert max(counts) - min(counts) <= 1, counts

    check()


@then("no entry's subset prefers a data centre")
def step_centres(context):
    ring = interleave(make_loads(18))
    for rank in range(24):
        centres = Counter(load.target.data_centre for load in choose_subset(ring, 6, rank, 24))
        assert set(centres.values()) == {2}, centres


@then("an entry that is replaced changes at most {limit:d} target of each other entry's subset")
def step_churn(context, limit):
    loads = make_loads(17)
    before, after = subsets_of(loads, 6, 24), subsets_of(loads, 6, 23)
    # The entry with rank 10 goes; those behind it move up by one rank.
    left = before[:10] + before[11:]
    for old, new in zip(left, after, strict=True):
        assert len(set(old) - set(new)) <= limit, (old, new)


def report_for_ten_seconds(context, lowest, highest):
    """Let targets report random numbers while the policy chooses 100 times a second."""
    generator = random.Random(13)
    for step in range(1000):
        context.now += 0.01
        load = context.loads[step % 17]
        health.observe_report(load, generator.choice((lowest, highest)), context.now, context.now)
        choose_target(context.policy, context.loads, context.now, generator.getrandbits(64))


@given(
    "the adaptive policy and 17 targets whose reports alternate between {lowest:d} and {highest:d} "
    "for 10 seconds"
)
def step_uneven(context, lowest, highest):
    context.now = NOW
    context.policy = policy_by_name("adaptive")
    context.loads = make_loads(17)
    report_for_ten_seconds(context, lowest, highest)


@when("the reports stay between {lowest:d} and {highest:d} for 10 seconds")
def step_even_again(context, lowest, highest):
    report_for_ten_seconds(context, lowest, highest)


@then("a target that reports 0 alone gets {least} of the choices")
def step_follow(context, least):
    hits = choices_of_idle(context, 0.0)
    assert hits <= 333 if least == "at most a third" else hits > 900, hits


@then("it gets at most a tenth once the reports are half a service time old")
def step_follow_less(context):
    hits = choices_of_idle(context, SERVICE_S / 2)
    assert hits <= 100, hits


def choices_of_idle(context, age_s):
    """Count how many of 1000 choices go to the one target whose report, `age_s` old, is 0."""
    for load in context.loads:
        load.reported_in_flight, load.reported_at = 4.0, context.now - age_s
    context.loads[5].reported_in_flight = 0.0
    generator = random.Random(17)
    hits = 0
    for _ in range(1000):
        random_value = generator.getrandbits(64)
        hits += (
            choose_target(context.policy, context.loads, context.now, random_value)
            is context.loads[5]
        )
    return hits

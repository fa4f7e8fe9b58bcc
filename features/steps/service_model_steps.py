"""Steps about the model of one service."""

import dataclasses

from behave import then, when

from poplarlane.bench.model_report import PATTERNS
from poplarlane.bench.service_model import ServiceModel

NODES = 12
TARGETS = 17
LENGTH_S = 6.0


def play(policy, name, seed, idempotent, length_s=LENGTH_S):
    """Play a pattern, shortened unless told otherwise."""
    pattern = next(pattern for pattern in PATTERNS if pattern.name == name)
    length_s = length_s or pattern.length_s
    pattern = dataclasses.replace(pattern, idempotent=idempotent, length_s=length_s)
    model = ServiceModel(pattern, policy, NODES, TARGETS, seed)
    model.run()
    return model


def play_all(context, policy, pattern, first, last, idempotent):
    """Play a pattern with several seeds."""
    models = [play(policy, pattern, seed, idempotent) for seed in range(first, last + 1)]
    context.earlier = getattr(context, "models", [])
    context.models = models


@when(
    'bookings are played with the policy "{policy}" under "{pattern}" with seeds {first:d} to '
    "{last:d}"
)
def step_bookings(context, policy, pattern, first, last):
    play_all(context, policy, pattern, first, last, False)


@when(
    'reads are played with the policy "{policy}" under "{pattern}" with seeds {first:d} to '
    "{last:d}"
)
def step_reads(context, policy, pattern, first, last):
    play_all(context, policy, pattern, first, last, True)


@when(
    'reads are played whole with the policy "{policy}" under "{pattern}" with seeds {first:d} to '
    "{last:d}"
)
def step_whole(context, policy, pattern, first, last):
    context.models = [play(policy, pattern, seed, True, None) for seed in range(first, last + 1)]


def shares_of_faulty(model, begin, end):
    """Give what targets that had a fault began between two times, over an even share."""
    begun = [sum(begin <= at < end for at in target.begun_at) for target in model.targets.values()]
    pattern = model.pattern
    even = sum(begun) / len(begun)
    return [count / even for count in begun[: pattern.failing_targets + pattern.slow_targets]]


@then("from {after:d} s after the fault each of its targets begins at least half of an even share")
def step_restored(context, after):
    for model in context.models:
        begin = model.pattern.fault_ends_at + after
        found = shares_of_faulty(model, begin, model.pattern.length_s)
        assert min(found) >= 0.5, found


@then("during the fault these targets begin at most half of an even share on average")
def step_avoided(context):
    # One seed begins about 25 requests at each target in that time; all are taken together.
    found = []
    for model in context.models:
        pattern = model.pattern
        # The first second shows the fault.
        found += shares_of_faulty(model, pattern.length_s / 3.0 + 1.0, pattern.fault_ends_at)
    assert sum(found) / len(found) <= 0.5, found


@then("no booking ran more than once")
def step_once(context):
    for model in context.models:
        assert model.runs and max(model.runs.values()) == 1, model.runs.most_common(3)


@then("no booking that was refused as not run ran")
def step_true_refusals(context):
    for model in context.models:
        assert not model.said_not_run & set(model.runs)


@then("some of them ran more than once")
def step_repeats_seen(context):
    assert max(context.models[0].runs.values()) > 1


@then("each request was answered, refused or failed, once")
def step_ends(context):
    for model in context.models:
        found = model.outcome
        assert found.asked == found.in_aim + found.late + found.refused + found.failed
        assert not any(node.asked for node in model.nodes)


@then('two runs of "{name}" with seed {seed:d} give the same counts')
def step_same(context, name, seed):
    first, second = (play("measured", name, seed, True).outcome for _ in range(2))
    assert dataclasses.asdict(first) == dataclasses.asdict(second)


@then("the first missed its aim at most half as often as the second")
def step_better(context):
    first, second = (models[0].outcome for models in (context.earlier, context.models))
    assert (first.asked - first.in_aim) * 2 <= second.asked - second.in_aim, (first, second)

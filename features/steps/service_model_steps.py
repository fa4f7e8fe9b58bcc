"""Steps about the model of one service."""

import dataclasses

from behave import then, when

from poplarlane.bench.model_report import PATTERNS
from poplarlane.bench.service_model import ServiceModel

NODES = 12
TARGETS = 17
LENGTH_S = 6.0


def play(policy, name, seed, idempotent):
    """Play a shortened pattern."""
    pattern = next(pattern for pattern in PATTERNS if pattern.name == name)
    pattern = dataclasses.replace(pattern, idempotent=idempotent, length_s=LENGTH_S)
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

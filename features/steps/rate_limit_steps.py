"""Steps about targets that name the rate of requests that they take from all nodes together."""

from behave import given, then, when

from poplarlane.bench.arrival_record import most_allowed
from poplarlane.bench.service_model import Pattern, ServiceModel

LENGTH_S = 16.0


@given(
    "{nodes:d} nodes before {targets:d} targets, of which {limited:d} name {limit:f} requests a "
    "second"
)
def step_fleet(context, nodes, targets, limited, limit):
    context.nodes, context.targets = nodes, targets
    context.limited, context.limit = limited, limit


@when("{rate:d} requests a second arrive for 16 s, with seeds {first:d} to {last:d}")
def step_play(context, rate, first, last):
    pattern = Pattern(
        "limited",
        per_s=float(rate),
        length_s=LENGTH_S,
        limited_targets=context.limited,
        rate_limit_per_s=context.limit,
    )
    context.models = []
    for seed in range(first, last + 1):
        model = ServiceModel(pattern, "measured", context.nodes, context.targets, seed)
        model.run()
        context.models.append(model)


@then(
    "no target gets more than one and a half times its limit and 5 requests in 4 s from nodes that "
    "it has told"
)
def step_within_limit(context):
    allowed = most_allowed(context.limit)
    found = {
        (seed, name): model.arrivals.most_in_window(name, LENGTH_S)
        for seed, model in enumerate(context.models, 1)
        for name in list(model.targets)[: context.limited]
    }
    above = {key: count for key, count in found.items() if count > allowed}
    assert not above, f"{allowed} allowed, found {above}"

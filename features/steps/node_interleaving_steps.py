"""Steps about drawn interleavings of events at one node."""

from behave import then

from features.node_interleaving import broken_promises


@then('{seeds:d} drawn interleavings with the weakening "{weakening}" break no promise')
def step_keep(context, seeds, weakening):
    broken = list(broken_promises(weakening, seeds))
    assert not broken, broken[:5]


@then(
    '{seeds:d} drawn interleavings with the weakening "{weakening}" break a promise with "{words}"'
)
def step_found(context, seeds, weakening, words):
    assert any(words in found for found in broken_promises(weakening, seeds)), weakening

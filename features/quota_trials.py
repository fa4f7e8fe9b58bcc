"""Drawn trials of quotas: faults, surges and changed limits in fleets of 3 to 40 nodes."""

import random

from quota_model import ModelFleet, customers_of

USUAL_SHARE = 1.0 / 1.6
TRIAL_S = 24.0
FAULTS = ("cut some", "cut a data centre", "cut the root", "restart all", "restart some", "suspend")


def run_trial(seed):
    """Run a drawn trial; gives the fleet and a description."""
    draw = random.Random(seed)
    nodes = draw.choice((3, 5, 12, 25, 40))
    rates = [draw.uniform(60, 160), draw.uniform(8, 60), draw.uniform(0.5, 5)]
    shortest_s = draw.uniform(0.01, 0.05)
    hop_s = (shortest_s, shortest_s * draw.uniform(1.0, 3.0))
    hop_s = (hop_s[0], min(0.1, hop_s[1]))
    customers = customers_of(rates, draw.uniform(0.8, 1.5))
    fleet = ModelFleet(seed, nodes, customers, hop_s, draw.choice((0.0, 0.02, 0.05)))
    fault, fault_at = draw.choice(FAULTS), draw.uniform(4.0, 8.0)
    surge_at, factor = fault_at + draw.uniform(-3.0, 4.0), draw.uniform(5.0, 7.5)
    length_s = draw.choice((2.0, 12.0))
    numbers = draw.sample(range(nodes), max(1, nodes // draw.choice((3, 6, 10))))
    fleet.at(fault_at, strike, fleet, fault, numbers, length_s)
    for customer in customers[: draw.choice((1, 2))]:
        usual = customer.rate_per_s * USUAL_SHARE
        fleet.at(surge_at, fleet.set_demand, customer.name, usual * factor)
        fleet.at(surge_at + 6.0, fleet.set_demand, customer.name, usual)
    if draw.random() < 0.3:
        fleet.at(draw.uniform(3.0, 12.0), fleet.set_limits, customers_of([r * 0.5 for r in rates]))
    fleet.run(TRIAL_S)
    return (
        fleet,
        f"{nodes} nodes, {fault} at {fault_at:.1f}, surge at {surge_at:.1f} x {factor:.1f}",
    )


def strike(now, fleet, fault, numbers, length_s):
    """Let a fault happen."""
    if fault == "cut a data centre":
        numbers = range(2, fleet.count, 3)
    elif fault == "cut the root":
        numbers = [0]
    if fault.startswith("cut"):
        fleet.cut(now, numbers, 1)
        fleet.at(now + length_s, fleet.cut, range(fleet.count), 0)
    elif fault == "suspend":
        fleet.pause(now, numbers, length_s)
    else:
        fleet.restart(now, range(fleet.count) if fault == "restart all" else numbers)

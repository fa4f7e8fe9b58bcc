"""Compare policies under load patterns in the model, with a table and a plot."""

from pathlib import Path

import matplotlib

from poplarlane.bench.model_targets import TargetShape
from poplarlane.bench.service_model import Outcome, Pattern, ServiceModel

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

CALM = TargetShape(slow_share=0.0, crowded_from=99)
POLICIES = ("random", "round_robin", "least_outstanding", "power_of_two", "adaptive", "measured")
PATTERNS = (
    Pattern("healthy", shape=CALM),
    Pattern("neighbours"),
    Pattern("crowding", per_s=420.0, shape=TargetShape(slow_share=0.0)),
    Pattern("burst", burst=(4.0, 8.0, 2.2)),
    Pattern("hidden-slow", slow_targets=5),
    Pattern("shedding", shedding_targets=5),
    Pattern("failing-then-well", length_s=18.0, failing_targets=4, fault_ends_at=9.0),
    Pattern("half-grey", grey_targets=9),
    Pattern("slow-then-well", length_s=18.0, slow_targets=4, fault_ends_at=9.0),
    Pattern("third-lost", per_s=260.0, lost_targets=5),
    Pattern("cold-join", cold_targets=6),
    Pattern(
        "few-slots",
        per_s=110.0,
        service_time_s=0.16,
        aim_s=0.4,
        burst=(4.0, 7.0, 1.5),
        shape=TargetShape(slots=3, queue=6, crowded_from=3),
    ),
    Pattern("bookings", per_s=54.0, service_time_s=0.16, aim_s=0.4, idempotent=False),
)
COLUMNS = "| pattern | policy | in aim | late | refused | failed | p99 ms | sends | probes |"


def compare(
    patterns: tuple[Pattern, ...], policies: tuple[str, ...], nodes: int, targets: int, seed: int
) -> dict[tuple[str, str], Outcome]:
    """Play every pattern with every policy."""
    return {
        (pattern.name, policy): ServiceModel(pattern, policy, nodes, targets, seed).run()
        for pattern in patterns
        for policy in policies
    }


def table(found: dict[tuple[str, str], Outcome]) -> list[str]:
    """Give a row per pattern and policy; shares are of what was asked."""
    lines = [COLUMNS, "|---|---|---|---|---|---|---|---|---|"]
    for (pattern, policy), outcome in found.items():
        asked = max(1, outcome.asked)
        shares = (outcome.in_aim, outcome.late, outcome.refused, outcome.failed)
        cells = [f"{count / asked:.3f}" for count in shares]
        cells += [f"{outcome.p99_ms():.0f}", f"{outcome.sends / asked:.2f}"]
        cells.append(f"{outcome.probes / asked:.2f}")
        lines.append(f"| {pattern} | {policy} | {' | '.join(cells)} |")
    return lines


def plot(found: dict[tuple[str, str], Outcome], path: Path) -> None:
    """Draw the share answered within the aim."""
    patterns = list(dict.fromkeys(pattern for pattern, _ in found))
    policies = list(dict.fromkeys(policy for _, policy in found))
    figure, axes = pyplot.subplots(figsize=(11, 4.5))
    width = 0.8 / len(policies)
    for number, policy in enumerate(policies):
        places = [index + number * width for index in range(len(patterns))]
        heights = [
            found[pattern, policy].in_aim / max(1, found[pattern, policy].asked)
            for pattern in patterns
        ]
        axes.bar(places, heights, width, label=policy)
    middle = width * (len(policies) - 1) / 2.0
    axes.set_xticks([index + middle for index in range(len(patterns))], patterns, fontsize=8)
    axes.set_ylabel("share answered within the aim")
    axes.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    pyplot.close(figure)

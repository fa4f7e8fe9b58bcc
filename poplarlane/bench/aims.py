"""Bounds that an experiment sets on the p99 of one policy relative to another's."""

from typing import Any

from poplarlane.bench.experiment import Aim
from poplarlane.bench.report import median, merge_rows

BOUND = "bound"


def check_aims(aims: list[Aim], rows: list[dict[str, Any]]) -> list[str]:
    """List what missed its aim, per firm and service; an aim that nothing measured is missed."""
    missed = []
    for aim in aims:
        ratios = aim_ratios(aim, rows)
        if not ratios:
            missed.append(f"{aim.policy} over {aim.over}, {aim.fault}: not measured")
        missed.extend(
            f"{aim.policy} over {aim.over}, {aim.fault}, {service}: p99 ratio {ratio:.2f}, "
            f"at most {aim.at_most}"
            for service, ratio in ratios.items()
            if ratio > aim.at_most
        )
    return missed


def aim_ratios(aim: Aim, rows: list[dict[str, Any]]) -> dict[str, float]:
    """Give the ratio of an aim per firm and service."""
    ratios = {}
    for (firm, service, fault), policies in merge_rows(rows).items():
        own = policies.get(aim.policy)
        if fault != aim.fault or not own:
            continue
        name = f"{firm} {service}"
        if aim.over == BOUND:
            found = [row["p99_over_bound"] for row in own if row["p99_over_bound"]]
            if found:
                ratios[name] = median(found)
        elif aim.over in policies:
            base = median([row["p99_ms"] for row in policies[aim.over]])
            ratios[name] = median([row["p99_ms"] for row in own]) / base
    return ratios

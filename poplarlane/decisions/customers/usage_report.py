"""What a node knows of its customers' quotas, for its status page and its metrics."""

import math

from poplarlane.decisions.customers.section import CustomersSection

# Customers beyond this number, the smallest ones, share a label in metrics.
MAX_LABELS = 99
OTHER = "other"


def describe(section: CustomersSection, now: float) -> dict[str, object]:
    """Describe all customers that this node has heard of, and the age of its last digest."""
    fleet = section.state.fleet
    age_s = round(now - section.digest_at, 3) if section.digest_at > -math.inf else None
    return {
        "digest_age_s": age_s,
        "is_isolated": fleet.is_isolated(now),
        "is_root": section.is_root,
        "nodes": section.members_known,
        "customers": {
            name: describe_customer(section, name) for name in section.state.customers.by_name
        },
    }


def describe_customer(section: CustomersSection, name: str) -> dict[str, object]:
    """Describe one customer: its quota, its use at this node and the share that is admitted."""
    customer = section.state.customers.by_name[name]
    found: dict[str, object] = {
        "rate_per_s": customer.rate_per_s,
        "burst": customer.burst,
        "keys": len(customer.key_digests),
    }
    usage = section.usages.get(name)
    if usage is not None:
        found |= {
            "arrived": usage.asked,
            "used": usage.used,
            "refused": dict(usage.refused),
            "admitted_share": usage.share,
            "tokens": usage.tokens,
        }
    return found


def request_counts(section: CustomersSection) -> dict[tuple[str, str], int]:
    """Count requests by customer and outcome; small customers are counted together."""
    customers = section.state.customers.by_name.values()
    largest = sorted(customers, key=lambda customer: (-customer.rate_per_s, customer.name))
    labelled = {customer.name for customer in largest[:MAX_LABELS]}
    counts: dict[tuple[str, str], int] = {}
    for name, usage in section.usages.items():
        label = name if name in labelled else OTHER
        for outcome, count in {"used": usage.used, **usage.refused}.items():
            counts[label, outcome] = counts.get((label, outcome), 0) + count
    return counts

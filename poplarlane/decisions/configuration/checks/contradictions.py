"""Limits that contradict each other."""

from collections.abc import Iterable
from dataclasses import dataclass

from poplarlane.decisions.configuration.checks.entries import (
    ConfigurationEntries,
    CustomerEntry,
    LimitsEntry,
    RouteEntry,
    ServiceEntry,
)
from poplarlane.decisions.configuration.checks.findings import Finding, warning

# Until all nodes limit a customer that surges, the overshoot is up to 1.5 s of its rate, which the
# burst has to bear together with the tolerance of the quota (docs/design, section 4).
MIN_BURST_S = 0.5
# The window of the bound on quotas; a larger burst alone exceeds what the rate allows in a window.
MAX_BURST_S = 5.0


@dataclass(frozen=True, slots=True)
class Capacity:
    """Slots of all targets together, and the mean time for which a request occupies one."""

    slots: int
    service_time_s: float

    @property
    def rate_per_s(self) -> float:
        """Return the requests per second that all slots can serve."""
        return self.slots / self.service_time_s


def check_limits(found: ConfigurationEntries, capacity: Capacity | None) -> list[Finding]:
    """Return the limits that contradict each other."""
    findings: list[Finding] = []
    for route in found.routes:
        findings += route_times(route, capacity)
    for service in found.services:
        findings += cold_limits(service)
    for customer in found.customers:
        findings += quota(customer)
    if found.limits is not None:
        findings += size_limits(found.limits)
    if capacity is not None:
        findings += sum_of_quotas(found, capacity)
    return findings


def route_times(route: RouteEntry, capacity: Capacity | None) -> Iterable[Finding]:
    """Compare the latency objective, the timeout and the attempts of a route."""
    timeout_s, objective_s = route.timeout_s, route.latency_objective_s
    if not timeout_s:
        return
    if objective_s and objective_s > timeout_s:
        text = f"the latency objective {objective_s:g} s is above the timeout {timeout_s:g} s"
        yield warning(route.at("latency_objective_s"), text)
    if route.max_attempts <= 1:
        return
    if capacity is not None and timeout_s < 2 * capacity.service_time_s:
        text = (
            f"the timeout {timeout_s:g} s is too short for a second attempt: "
            f"one takes {capacity.service_time_s:g} s"
        )
        yield warning(route.at("timeout_s"), text)
    elif objective_s and timeout_s <= objective_s:
        text = "the timeout leaves no time for a second attempt after the latency objective"
        yield warning(route.at("timeout_s"), text)


def cold_limits(service: ServiceEntry) -> Iterable[Finding]:
    """Find a rate for cold targets that never become cold."""
    if service.cold_per_s and not service.cold_start_s:
        yield warning(service.at("cold_per_s"), "a rate of cold targets without a cold time")


def quota(customer: CustomerEntry) -> Iterable[Finding]:
    """Compare the burst of a customer with its rate."""
    rate, burst, path = customer.rate_per_s, customer.burst, customer.at("burst")
    if not rate:
        if burst:
            yield warning(path, "a burst without a rate has no effect: the customer has no quota")
        return
    seconds = burst / rate
    if not burst:
        yield warning(path, f"the burst is 0, with a rate of {rate:g} requests/s")
    elif not MIN_BURST_S <= seconds <= MAX_BURST_S:
        side = "below" if seconds < MIN_BURST_S else "above"
        yield warning(path, f"the burst is far {side} one second of the rate: {seconds:.3g} s")


def size_limits(limits: LimitsEntry) -> Iterable[Finding]:
    """Compare the size limits."""
    if limits.max_head_bytes > limits.max_body_bytes:
        text = (
            f"the limit of headers, {limits.max_head_bytes} bytes, is above that of bodies, "
            f"{limits.max_body_bytes} bytes"
        )
        yield warning(limits.at("max_head_bytes"), text)


def sum_of_quotas(found: ConfigurationEntries, capacity: Capacity) -> Iterable[Finding]:
    """Compare the quotas of all customers with the capacity of the targets."""
    total = sum(customer.rate_per_s for customer in found.customers)
    if total <= capacity.rate_per_s:
        return
    unlimited = sum(not customer.rate_per_s for customer in found.customers)
    text = (
        f"the quotas add up to {total:g} requests/s, but {capacity.slots} slots serve "
        f"{capacity.rate_per_s:g} requests/s"
    )
    if unlimited:
        text += f"; {unlimited} customers without a quota are not in the sum"
    yield warning(found.sections["customers"], text)

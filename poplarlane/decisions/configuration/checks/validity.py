"""Errors: what nodes refuse, or could only use in a way that nobody intends."""

from collections.abc import Iterable, Sequence

from poplarlane.decisions.configuration.checks.entries import (
    ConfigurationEntries,
    CustomerEntry,
    NamedEntry,
    RouteEntry,
)
from poplarlane.decisions.configuration.checks.findings import Finding, error, warning


def check_validity(found: ConfigurationEntries) -> list[Finding]:
    """Return the errors in the entries of a configuration."""
    findings: list[Finding] = []
    for entries in (found.routes, found.services, found.customers):
        findings += repeated_names(entries)
    known = found.service_names()
    for route in found.routes:
        findings += route_errors(route)
        if "" not in found.unread["services"]:
            findings += unknown_services(route, known)
    findings += repeated_routes(found.routes)
    findings += repeated_keys(found.customers)
    return findings


def repeated_names(entries: Sequence[NamedEntry]) -> Iterable[Finding]:
    """Find empty names, and names that several entries of a list have."""
    first: dict[str, NamedEntry] = {}
    for entry in entries:
        if not entry.name:
            yield error(entry.at("name"), "the name is empty")
            continue
        kept = first.setdefault(entry.name, entry)
        if kept is not entry:
            yield error(entry.at("name"), f"{kept.path} has the same name")


def route_errors(route: RouteEntry) -> Iterable[Finding]:
    """Find the errors of one route."""
    if not route.host.strip():
        yield error(route.at("host"), "the host is empty")
    prefix = route.path_prefix
    if not (prefix.startswith("/") and prefix.endswith("/")):
        yield error(route.at("path_prefix"), "the prefix does not begin and end with a slash")
    if route.max_attempts < 1:
        yield error(route.at("max_attempts"), "fewer than one attempt is allowed")
    if route.split and not any(part.weight > 0 for part in route.split):
        yield error(route.at("split"), "no service of the split has a weight above 0")
    if not route.split and not route.service:
        yield error(route.path, "the route has neither a service nor a split")
    if route.split and route.service:
        yield warning(route.at("service"), "nodes ignore the service, because there is a split")


def unknown_services(route: RouteEntry, known: set[str]) -> Iterable[Finding]:
    """Find services of a route that the configuration does not hold."""
    for name, path in route.services():
        if name not in known:
            yield error(path, f"service {name!r} is not in the configuration")


def repeated_routes(routes: list[RouteEntry]) -> Iterable[Finding]:
    """Find routes that have the host and the prefix of an earlier one."""
    first: dict[tuple[str, str], RouteEntry] = {}
    for route in routes:
        kept = first.setdefault((route.host, route.path_prefix), route)
        if kept is not route:
            text = f"route {kept.name!r} at {kept.path} has the same host and prefix"
            yield error(route.at("path_prefix"), text)


def repeated_keys(customers: list[CustomerEntry]) -> Iterable[Finding]:
    """Find keys that are listed twice, at one customer or at two."""
    first: dict[str, tuple[CustomerEntry, str]] = {}
    for customer in customers:
        for key in customer.keys:
            holder, path = first.setdefault(key.digest, (customer, key.path))
            if holder is not customer:
                yield error(key.path, f"customer {holder.name!r} has the same key at {path}")
            elif path != key.path:
                yield warning(key.path, f"the key is listed twice, first at {path}")

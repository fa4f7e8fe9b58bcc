"""Entries that can never match a request."""

import re
from collections.abc import Iterable

from poplarlane.decisions.configuration.checks.entries import ConfigurationEntries, RouteEntry
from poplarlane.decisions.configuration.checks.findings import Finding, note, warning

IMPOSSIBLE_IN_HOST = re.compile(r"[\s/]")


def check_reach(found: ConfigurationEntries) -> list[Finding]:
    """Return the entries that no request can match."""
    return [
        *impossible_hosts(found.routes),
        *shadowed_routes(found.routes),
        *zero_weights(found.routes),
        *unused_services(found),
        *unused_customers(found),
        *keys_below_public(found),
    ]


def impossible_hosts(routes: list[RouteEntry]) -> Iterable[Finding]:
    """Find hosts that differ from any that nodes look up, which have no port."""
    for route in routes:
        host = route.host
        # An IPv6 address keeps its colons and brackets.
        has_port = not host.endswith("]") if host.startswith("[") else ":" in host
        if host.strip() and (has_port or IMPOSSIBLE_IN_HOST.search(host)):
            yield warning(
                route.at("host"), "the route never matches: nodes look up host names only"
            )


def shadowed_routes(routes: list[RouteEntry]) -> Iterable[Finding]:
    """Find routes behind an earlier one with the host in another letter case.

    Nodes compare hosts without regard to case, and use the first of two equal prefixes. A longer
    prefix never hides a shorter one completely, because the shorter one itself is also a path.
    """
    first: dict[tuple[str, str], RouteEntry] = {}
    for route in routes:
        kept = first.setdefault((route.host.lower(), route.path_prefix), route)
        if kept is route or kept.host == route.host:
            continue
        text = f"the route never matches: {kept.path} has the host in another letter case"
        if route.is_public and not kept.is_public:
            text += "; requests to this public route need a key"
        yield warning(route.at("host"), text)


def zero_weights(routes: list[RouteEntry]) -> Iterable[Finding]:
    """Find services that get no requests of a split."""
    for route in routes:
        for part in route.split:
            if part.weight == 0 and len(route.split) > 1:
                yield warning(part.at("weight"), f"service {part.service!r} gets no requests here")


def unused_services(found: ConfigurationEntries) -> Iterable[Finding]:
    """Find services to which no route leads, if all routes can be read."""
    if found.unread["routes"]:
        return
    used = {name for route in found.routes for name, _ in route.services()}
    for service in found.services:
        if service.name not in used:
            yield warning(service.path, f"no route leads to service {service.name!r}")


def unused_customers(found: ConfigurationEntries) -> Iterable[Finding]:
    """Find customers that cannot send any request."""
    for customer in found.customers:
        if not customer.keys:
            yield warning(customer.at("keys"), f"customer {customer.name!r} has no key")
    if found.unread["routes"] or found.unread["customers"]:
        return
    if found.customers and found.routes and all(route.is_public for route in found.routes):
        yield warning(found.sections["customers"], "keys are never used: all routes are public")
    if not found.customers:
        for route in found.routes:
            if route.is_public:
                text = "the route is public, which has no effect without customers"
                yield note(route.at("is_public"), text)


def keys_below_public(found: ConfigurationEntries) -> Iterable[Finding]:
    """Find routes that need a key although the next shorter prefix is public."""
    if not found.customers:
        return
    enclosing: list[RouteEntry] = []
    # In this order, the routes that enclose one are the last ones that its prefix begins with.
    for route in sorted(found.routes, key=lambda item: (item.host.lower(), item.path_prefix)):
        while enclosing and not is_below(route, enclosing[-1]):
            enclosing.pop()
        if enclosing and enclosing[-1].is_public and not route.is_public:
            text = f"requests here need a key, although {enclosing[-1].path} around it is public"
            yield note(route.at("path_prefix"), text)
        enclosing.append(route)


def is_below(inner: RouteEntry, outer: RouteEntry) -> bool:
    """Return whether one route takes some of the paths of another."""
    same_host = inner.host.lower() == outer.host.lower()
    is_longer = len(inner.path_prefix) > len(outer.path_prefix)
    return same_host and is_longer and inner.path_prefix.startswith(outer.path_prefix)

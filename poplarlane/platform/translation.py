"""Conversion of the platform's configuration and instance records to internal types."""

import ipaddress
import re

import msgspec

from poplarlane.decisions.configuration.directory import (
    Configuration,
    InstanceRecord,
    ServiceRecord,
)
from poplarlane.decisions.configuration.route_table import Route, WeightedService, priority_of_rank
from poplarlane.decisions.customers.keys import Customer
from poplarlane.number_grammar import port_number
from poplarlane.platform.key_digests import read_digest
from poplarlane.store_objects import StoredObject
from poplarlane.types import CallerLimits, RequestKind

CONFIGURATION_NAME = "main"
READY = "ready"
DRAINING = "draining"
SAFE = "safe"
ROUTE_TYPES = (SAFE, "unsafe")
# For routes without `timeout_s`: long enough that only callers' deadlines bound the wait.
DEFAULT_ROUTE_TIMEOUT_S = 600.0
# An identity is sent in a header and stands in digests between nodes, which have little room.
IDENTITY = re.compile(r"[!-~]{1,200}")
# A process serves one request at a time on a connection, and has no more connections.
MAX_SLOTS = 100_000
# Counts and Unix milliseconds stay below it for thousands of years.
MAX_COUNT = 1 << 48
BROADCAST = "255.255.255.255"
# No target gets as many requests; bounds what intervals between permits are computed from.
MAX_COLD_PER_S = 1e6


class SplitDocument(msgspec.Struct):
    """One service of a traffic split, with its weight."""

    service: str
    weight: float


class RouteDocument(msgspec.Struct):
    """A route to either one service or a traffic split."""

    name: str
    host: str
    path_prefix: str
    route_type: str
    service: str | None = None
    traffic_split: list[SplitDocument] | None = None
    timeout_s: float | None = None
    target_latency_s: float | None = None
    priority: int = 2
    max_attempts: int = 1
    allowed_regions: list[str] | None = None
    public: bool = False


class ServiceDocument(msgspec.Struct):
    """A service; responses to its health path carry the load."""

    name: str
    health_path: str = ""
    max_connections: int = 100
    cold_per_s: float | None = None
    cold_start_s: float | None = None


class LimitsDocument(msgspec.Struct):
    """Size limits and timeouts for clients."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class TenantDocument(msgspec.Struct):
    """A customer; its keys are digests after the store's responses have been decoded."""

    name: str
    api_keys: list[str] = []
    priority: int | None = None
    rate_per_s: float | None = None
    burst: float | None = None
    allowed_regions: list[str] | None = None


class ConfigurationDocument(msgspec.Struct):
    """A version of the configuration."""

    version: int
    routes: list[RouteDocument]
    services: list[ServiceDocument]
    limits: LimitsDocument | None = None
    tenants: list[TenantDocument] | None = None


class InstanceInfo(msgspec.Struct):
    """Fixed properties of an instance; `version` is the version of its software."""

    service: str
    zone: str
    slots: int
    version: str = ""


class InstanceStatus(msgspec.Struct):
    """Changing properties of an instance; `cold_remaining_s` is the remaining warm-up time.

    `sequence` counts the writes of one process, across all eras of the store.
    """

    state: str
    cold_remaining_s: float | None = None
    sequence: int = 0


class InstanceDocument(msgspec.Struct):
    """Registry record of an instance; `born` is its start time in Unix milliseconds."""

    address: str
    info: InstanceInfo
    status: InstanceStatus
    born: int = 0


def configuration_of(item: StoredObject) -> Configuration | str:
    """Convert the configuration; return the reason as text when it cannot be used."""
    try:
        found = msgspec.convert(item.spec, ConfigurationDocument)
    except msgspec.ValidationError as error:
        return str(error)
    routes = []
    for route in found.routes:
        translated = route_of(route)
        if isinstance(translated, str):
            return f"route {route.name!r}: {translated}"
        routes.append(translated)
    services = [
        ServiceRecord(
            service.name,
            service.health_path,
            service.max_connections,
            min(MAX_COLD_PER_S, max(0.0, service.cold_per_s or 0.0)),
            max(0.0, service.cold_start_s or 0.0),
        )
        for service in found.services
    ]
    customers = [customer_of(tenant) for tenant in found.tenants or []]
    for customer in customers:
        if not customer.name.isprintable() or not customer.name:
            return f"tenant {customer.name!r}: the name cannot be sent in a header"
    return Configuration(found.version, routes, services, limits_of(found.limits), customers)


def version_of(item: StoredObject) -> int:
    """Return the version of a configuration object without decoding the rest; 0 if it has none."""
    version = item.spec.get("version") if isinstance(item.spec, dict) else None
    return version if item.name == CONFIGURATION_NAME and type(version) is int else 0


def route_of(route: RouteDocument) -> Route | str:
    """Convert a route; return the reason as text when it cannot be used."""
    if route.route_type not in ROUTE_TYPES:
        return f"unknown route type {route.route_type!r}"
    if route.traffic_split:
        parts = [WeightedService(part.service, part.weight) for part in route.traffic_split]
    elif route.service:
        parts = [WeightedService(route.service, 1.0)]
    else:
        return "neither service nor traffic_split is set"
    timeout_s = route.timeout_s or DEFAULT_ROUTE_TIMEOUT_S
    idempotent = route.route_type == SAFE
    kind = RequestKind(
        route.name,
        frozenset(),
        route.path_prefix,
        idempotent,
        priority_of_rank(route.priority),
        timeout_s * 1000.0,
        idempotent,
    )
    latency_objective_s = route.target_latency_s or timeout_s
    return Route(
        route.name,
        route.host,
        route.path_prefix,
        kind,
        latency_objective_s,
        max(1, route.max_attempts),
        parts,
        frozenset(route.allowed_regions) if route.allowed_regions else None,
        route.public,
    )


def customer_of(tenant: TenantDocument) -> Customer:
    """Convert a customer."""
    return Customer(
        tenant.name,
        [read_digest(key) for key in tenant.api_keys],
        None if tenant.priority is None else priority_of_rank(tenant.priority),
        max(0.0, tenant.rate_per_s or 0.0),
        max(0.0, tenant.burst or 0.0),
        frozenset(tenant.allowed_regions) if tenant.allowed_regions else None,
    )


def limits_of(limits: LimitsDocument | None) -> CallerLimits | None:
    """Convert the client limits."""
    if limits is None:
        return None
    return CallerLimits(
        limits.max_header_bytes,
        limits.max_body_bytes,
        limits.header_timeout_s,
        limits.idle_timeout_s,
    )


def instance_of(item: StoredObject) -> InstanceRecord | str | None:
    """Convert an instance record; return the reason as text when it is invalid.

    None stands for an instance in a state in which it cannot be used.
    """
    try:
        found = msgspec.convert(merge_status(item), InstanceDocument)
    except (msgspec.ValidationError, TypeError) as error:
        return str(error)
    fault = instance_fault(item.name, found)
    if fault:
        return fault
    address, _, port = found.address.rpartition(":")
    if found.status.state not in (READY, DRAINING):
        return None
    return InstanceRecord(
        item.name,
        found.info.service,
        address,
        port_number(port),
        found.info.zone,
        found.info.version,
        found.info.slots,
        found.status.state == DRAINING,
        found.born,
        max(0.0, found.status.cold_remaining_s or 0.0),
        found.status.sequence,
    )


def instance_fault(name: str, found: InstanceDocument) -> str:
    """Return why no target can have such a record; empty if one can."""
    if not IDENTITY.fullmatch(name):
        return f"an instance cannot be named {name!r}"
    address, _, port = found.address.rpartition(":")
    if isinstance(port_number(port), str) or not is_target_address(address):
        return f"{found.address!r} is not an IP address and a port"
    numbers = (
        ("slots", found.info.slots, 1, MAX_SLOTS),
        ("sequence", found.status.sequence, 0, MAX_COUNT),
        ("born", found.born, 0, MAX_COUNT),
    )
    for field, number, least, most in numbers:
        if not least <= number <= most:
            return f"{field} {number} is out of range"
    return ""


def merge_status(item: StoredObject) -> dict[str, object]:
    """Merge the spec and the status of an instance record, which the store keeps apart."""
    content: dict[str, object] = {}
    if isinstance(item.spec, dict):
        content.update(item.spec)
    if isinstance(item.status, dict):
        content["status"] = item.status.get("status", item.status)
        if "born" in item.status:
            content.setdefault("born", item.status["born"])
    return content


def is_target_address(text: str) -> bool:
    """Return whether the text is an IP address to which a connection can be opened."""
    try:
        found = ipaddress.ip_address(text)
    except ValueError:
        return False
    # ipaddress takes any text behind a %, for which connect raises errors of all kinds.
    is_group = found.is_unspecified or found.is_multicast or text == BROADCAST
    return "%" not in text and not is_group

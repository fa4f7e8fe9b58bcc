"""Parsed entries of a configuration, with the JSON paths of their fields."""

from collections.abc import Mapping
from dataclasses import dataclass, field, fields
from typing import Any


@dataclass(slots=True, kw_only=True)
class Entry:
    """An entry of the document; `names` maps attributes to the names of JSON fields."""

    path: str = field(compare=False)
    names: Mapping[str, str] = field(compare=False, repr=False)

    def at(self, attribute: str) -> str:
        """Return the JSON path of a field."""
        name = self.names[attribute]
        return f"{self.path}.{name}" if self.path else name

    def values(self) -> dict[str, Any]:
        """Return the values of the fields by attribute."""
        return {item.name: getattr(self, item.name) for item in fields(self) if item.compare}


@dataclass(slots=True, kw_only=True)
class NamedEntry(Entry):
    """An entry that is identified by its name."""

    name: str


@dataclass(slots=True, kw_only=True)
class SplitEntry(Entry):
    """One service of a traffic split."""

    service: str
    weight: float


@dataclass(slots=True, kw_only=True)
class RouteEntry(NamedEntry):
    """A route to a service or a split; optional values are None where they are missing."""

    host: str
    path_prefix: str
    kind: str
    service: str | None
    split: list[SplitEntry]
    timeout_s: float | None
    latency_objective_s: float | None
    priority: int
    max_attempts: int
    is_public: bool
    regions: list[str] | None

    def services(self) -> list[tuple[str, str]]:
        """List the services that the route uses, each with the JSON path of its name."""
        if self.split:
            return [(part.service, part.at("service")) for part in self.split]
        return [(self.service, self.at("service"))] if self.service else []


@dataclass(slots=True, kw_only=True)
class ServiceEntry(NamedEntry):
    """A service."""

    health_path: str
    max_connections: int
    cold_start_s: float
    cold_per_s: float


@dataclass(slots=True, kw_only=True)
class KeyEntry:
    """An API key; only its digest is kept, so that no finding can show the key."""

    path: str = field(compare=False)
    digest: str


@dataclass(slots=True, kw_only=True)
class CustomerEntry(NamedEntry):
    """A customer; its quota is `rate_per_s` and `burst`, 0 for none."""

    keys: list[KeyEntry]
    priority: int | None
    rate_per_s: float
    burst: float
    regions: list[str] | None


@dataclass(slots=True, kw_only=True)
class LimitsEntry(Entry):
    """Size limits and timeouts for callers."""

    max_head_bytes: int
    max_body_bytes: int
    head_timeout_s: float
    idle_timeout_s: float


@dataclass(slots=True, kw_only=True)
class ConfigurationEntries:
    """The entries of a document that can be read.

    `sections` gives the JSON names of its parts. `unread` holds, by part, the names of entries that
    cannot be read because of other faults; it holds "" for one without a name or the whole part.
    """

    version: int | None
    routes: list[RouteEntry]
    services: list[ServiceEntry]
    customers: list[CustomerEntry]
    limits: LimitsEntry | None
    sections: Mapping[str, str]
    unread: Mapping[str, set[str]]

    def service_names(self) -> set[str]:
        """Return the names of all services, also of those that have faults."""
        return {service.name for service in self.services} | self.unread["services"]

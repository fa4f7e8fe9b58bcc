"""The configuration and the target instances that the platform lists, independent of its formats.

`Directory` builds catalogues for the entry from them. A configuration is only ever replaced by a
newer one.
"""

import math

from poplarlane.decisions.configuration.route_table import Route
from poplarlane.decisions.customers.keys import Customer
from poplarlane.decisions.evacuations.evacuations import Evacuations
from poplarlane.objects import LimitsObject, SelectorObject, ServiceObject, TargetObject
from poplarlane.types import CallerLimits

# Instances whose entries expired during a platform outage register again within 2 s of its end.
EXPIRED_ENTRY_GRACE_S = 2.0
# Copies of the store are some seconds old; what left longer ago is not in them any more.
KEPT_DEPARTURES_S = 120.0
# Instances rewrite their records each second; deadlines that differ by less are the same, because a
# record is up to a second on its way.
COLD_LATER_S = 0.1
COLD_EARLIER_S = 1.0
# Time that a record may have been on its way.
RECORD_DELAY_S = 2.0
# A longer time is taken for a mistake.
MAX_COLD_S = 600.0
ALLOW_ALL_SELECTORS = {"all": SelectorObject(callers="", targets="")}


class ServiceRecord:
    """The configuration of one service.

    A target that has just started sustains `cold_per_s` requests per second from all nodes for
    `cold_start_s`; 0 means any number.
    """

    __slots__ = ("name", "probe_path", "max_connections", "cold_per_s", "cold_start_s")

    def __init__(
        self,
        name: str,
        probe_path: str,
        max_connections: int,
        cold_per_s: float = 0.0,
        cold_start_s: float = 0.0,
    ) -> None:
        self.name = name
        self.probe_path = probe_path
        self.max_connections = max_connections
        self.cold_per_s = cold_per_s
        self.cold_start_s = cold_start_s


class Configuration:
    """One version of the configuration."""

    __slots__ = ("version", "routes", "services", "caller_limits", "customers")

    def __init__(
        self,
        version: int,
        routes: list[Route],
        services: list[ServiceRecord],
        caller_limits: CallerLimits | None,
        customers: list[Customer] | None = None,
    ) -> None:
        self.version = version
        self.routes = routes
        self.services = services
        self.caller_limits = caller_limits
        self.customers = customers or []


class InstanceRecord:
    """The registration of one service process; `warm_up_s` is the rest of its slow start.

    `started_ms` distinguishes processes that use the same identity one after the other.
    """

    __slots__ = (
        "instance",
        "service",
        "address",
        "port",
        "data_centre",
        "version",
        "slots",
        "leaving",
        "started_ms",
        "warm_up_s",
        "sequence",
    )

    def __init__(
        self,
        instance: str,
        service: str,
        address: str,
        port: int,
        data_centre: str,
        version: str,
        slots: int,
        leaving: bool,
        started_ms: int,
        warm_up_s: float,
        sequence: int = 0,
    ) -> None:
        self.instance = instance
        self.service = service
        self.address = address
        self.port = port
        self.data_centre = data_centre
        self.version = version
        self.slots = slots
        self.leaving = leaving
        self.started_ms = started_ms
        self.warm_up_s = warm_up_s
        # Counts what the process has written of itself.
        self.sequence = sequence

    def is_equivalent(self, other: "InstanceRecord") -> bool:
        """Return whether another record is the same to callers."""
        return all(
            getattr(self, name) == getattr(other, name)
            for name in self.__slots__
            if name not in ("warm_up_s", "sequence")
        )


class Catalogue:
    """What an entry needs for serving: services with their targets, routes and caller limits."""

    __slots__ = (
        "services",
        "routes",
        "version",
        "caller_limits",
        "warm_up_s",
        "cold_per_s",
        "cold",
        "evacuated",
        "data_centres",
        "customers",
    )

    def __init__(
        self,
        services: dict[str, ServiceObject],
        configuration: Configuration,
        warm_up_s: dict[str, float],
    ) -> None:
        self.services = services
        self.version = configuration.version
        self.routes = configuration.routes
        self.caller_limits = configuration.caller_limits
        self.customers = configuration.customers
        # Remaining time of the slow start, by target name.
        self.warm_up_s = warm_up_s
        # Rate that cold targets sustain, by service, where there is one.
        self.cold_per_s = {
            record.name: record.cold_per_s
            for record in configuration.services
            if record.cold_per_s > 0.0
        }
        # End of the cold time and when it was stated, by target name.
        self.cold: dict[str, tuple[float, float]] = {}
        # Evacuated data centres, and while there are any, those that have targets.
        self.evacuated: frozenset[str] = frozenset()
        self.data_centres: frozenset[str] = frozenset()


class Directory:
    """The newest configuration and the instances; has no clock, callers pass the time."""

    __slots__ = (
        "configuration",
        "instances",
        "expired",
        "grace_until",
        "departures",
        "superseded",
        "cold",
        "evacuations",
        "is_disconnected",
        "retry_ratio",
        "policy",
    )

    def __init__(self, retry_ratio: float, policy: str) -> None:
        self.configuration: Configuration | None = None
        self.instances: dict[str, InstanceRecord] = {}
        # Instances whose entries vanished during a platform outage or just after it, each with the
        # end of its grace period.
        self.expired: dict[str, tuple[InstanceRecord, float]] = {}
        self.grace_until = -math.inf
        # Processes that were removed: last sequence and time, by target name.
        self.departures: dict[str, tuple[int, float]] = {}
        # Processes that had left when the store came back from a copy, which may name them as they
        # were before: records up to this sequence do not count.
        self.superseded: dict[str, int] = {}
        # End of the cold time of targets by their records and when it was stated, by target name.
        self.cold: dict[str, tuple[float, float]] = {}
        self.evacuations = Evacuations()
        # Whether the platform does not answer this process; other nodes may still pass on changes.
        self.is_disconnected = False
        self.retry_ratio = retry_ratio
        self.policy = policy

    def update_configuration(self, found: Configuration) -> bool:
        """Accept a configuration that is newer than the one held."""
        if self.configuration is not None and found.version <= self.configuration.version:
            return False
        self.configuration = found
        return True

    def update_instance(self, found: InstanceRecord, now: float = -math.inf) -> bool:
        """Record an instance; return whether this changes what callers see.

        Instances rewrite their entries every second or two, mostly without a change.
        """
        name = target_name(found)
        if found.sequence <= self.superseded.get(name, -1):
            return False
        self.superseded.pop(name, None)
        self.departures.pop(name, None)
        held = self.instances.get(found.instance)
        self.instances[found.instance] = found
        was_expired = self.expired.pop(found.instance, None) is not None
        is_colder = self.update_cold(held, found, now)
        return was_expired or is_colder or held is None or not held.is_equivalent(found)

    def update_cold(self, held: InstanceRecord | None, found: InstanceRecord, now: float) -> bool:
        """Record how long a target stays cold; return whether the end has changed.

        A record that was read before is not a new statement.
        """
        name = target_name(found)
        is_same = held is not None and target_name(held) == name
        if is_same and held.sequence and found.sequence <= held.sequence:
            return False
        known = self.cold.get(name)
        if not found.warm_up_s and known is None:
            return False
        until = now + min(found.warm_up_s, MAX_COLD_S)
        before = now if known is None else max(known[0], now)
        if before - COLD_EARLIER_S <= until <= before + COLD_LATER_S:
            return False
        # An earlier end may have been written before what the target has said since.
        heard_at = now - RECORD_DELAY_S if until < before else now
        self.cold[name] = (until, heard_at)
        return found.service in self.cold_services()

    def cold_services(self) -> set[str]:
        """Return the services whose cold targets sustain only a certain rate."""
        services = self.configuration.services if self.configuration is not None else []
        return {service.name for service in services if service.cold_per_s > 0.0}

    def remove_instance(self, instance: str, now: float) -> None:
        """Remove an instance, after a grace period if an outage may have expired its entry."""
        found = self.instances.pop(instance, None)
        until = now + EXPIRED_ENTRY_GRACE_S if self.is_disconnected else self.grace_until
        if found is not None:
            self.departures[target_name(found)] = (found.sequence, now)
        if found is not None and now < until and not found.leaving:
            self.expired[instance] = (found, until)

    def replace_instances(self, found: list[InstanceRecord], now: float) -> None:
        """Replace all instances by those of a complete list."""
        listed = {record.instance for record in found}
        for instance in list(self.instances):
            if instance not in listed:
                self.remove_instance(instance, now)
        for record in found:
            self.update_instance(record, now)

    def mark_disconnected(self) -> None:
        """Record that the platform does not answer."""
        self.is_disconnected = True

    def mark_reconnected(self, now: float) -> None:
        """Start the grace period for entries that expired during the platform outage."""
        self.is_disconnected = False
        self.grace_until = now + EXPIRED_ENTRY_GRACE_S

    def mark_restored(self, now: float) -> None:
        """Record that the store has come back from a copy, before what it holds now is applied.

        The copy lacks instances that registered since, and names as ready those that left since.
        """
        self.grace_until = max(self.grace_until, now + EXPIRED_ENTRY_GRACE_S)
        for name, (sequence, _) in self.departures.items():
            self.superseded[name] = sequence
        for held in self.instances.values():
            if held.leaving:
                self.superseded[target_name(held)] = held.sequence

    def purge_expired(self, now: float) -> bool:
        """Remove instances whose grace period has ended; return whether there were any."""
        ended = [name for name, (_, until) in self.expired.items() if now >= until]
        for name in ended:
            del self.expired[name]
        for name, (until, _) in list(self.cold.items()):
            if until < now - KEPT_DEPARTURES_S:
                del self.cold[name]
        for name, (_, left_at) in list(self.departures.items()):
            if now - left_at > KEPT_DEPARTURES_S:
                del self.departures[name]
                self.superseded.pop(name, None)
        has_ended = self.evacuations.purge(now)
        return bool(ended) or has_ended

    def catalogue(self) -> Catalogue | None:
        """Build the catalogue for the entry; None before the first configuration."""
        configuration = self.configuration
        if configuration is None:
            return None
        records = {service.name: service for service in configuration.services}
        targets: dict[str, dict[str, TargetObject]] = {name: {} for name in records}
        slots: dict[str, int] = {}
        warm_up_s = {}
        expired = [found for found, _ in self.expired.values()]
        listed = [*expired, *self.instances.values()]
        evacuated = self.evacuations.active()
        for found in listed:
            if found.leaving or found.service not in records or found.data_centre in evacuated:
                continue
            name = target_name(found)
            targets[found.service][name] = target_object(found, records[found.service])
            slots[found.service] = max(found.slots, slots.get(found.service, 1))
            if found.warm_up_s > 0.0:
                warm_up_s[name] = found.warm_up_s
        services = {
            name: self.service_object(record, targets[name], slots.get(name, 1))
            for name, record in records.items()
        }
        catalogue = Catalogue(services, configuration, warm_up_s)
        if catalogue.cold_per_s:
            catalogue.cold = dict(self.cold)
        if evacuated:
            catalogue.evacuated = evacuated
            catalogue.data_centres = frozenset(found.data_centre for found in listed)
        return catalogue

    def service_object(
        self, record: ServiceRecord, targets: dict[str, TargetObject], slots: int
    ) -> ServiceObject:
        """Convert a service's configuration to a service object."""
        return ServiceObject(
            service=record.name,
            revision=1,
            change_id="directory",
            hosts=[],
            policy=self.policy,
            limits=LimitsObject(
                slots_per_target=slots,
                connections_per_target=record.max_connections,
                retry_ratio=self.retry_ratio,
                hedge_ratio=self.retry_ratio,
            ),
            targets=targets,
            selectors=ALLOW_ALL_SELECTORS,
        )


def target_name(found: InstanceRecord) -> str:
    """Return a target name that differs between processes with the same identity."""
    return f"{found.instance}.{found.started_ms}" if found.started_ms else found.instance


def target_object(found: InstanceRecord, record: ServiceRecord) -> TargetObject:
    """Convert an instance to a target object."""
    return TargetObject(
        address=found.address,
        port=found.port,
        data_centre=found.data_centre,
        labels={"version": found.version, "data-centre": found.data_centre},
        instance=found.instance,
        probe_path=record.probe_path,
    )

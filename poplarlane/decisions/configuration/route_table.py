"""Route table: maps host and longest path prefix to weighted services and request options."""

from poplarlane.types import Priority, RequestKind

# Allows one retry of a failed non-idempotent request if it was not executed.
DEFAULT_MAX_ATTEMPTS = 2


class WeightedService:
    """A service and its weight in a route; `credit` is its current weight in the round robin."""

    __slots__ = ("service", "weight", "credit")

    def __init__(self, service: str, weight: float) -> None:
        self.service = service
        self.weight = weight
        self.credit = 0.0


class Route:
    """Services and request options for one host and path prefix.

    The timeout is `kind.deadline_ms`. An answer within `latency_objective_s` has its full value.
    `max_attempts` is the largest number of targets that one request may run on. Requests go only to
    targets in `allowed_regions`; None allows all.
    """

    __slots__ = (
        "name",
        "host",
        "path_prefix",
        "kind",
        "latency_objective_s",
        "max_attempts",
        "services",
        "allowed_regions",
        "is_public",
    )

    def __init__(
        self,
        name: str,
        host: str,
        path_prefix: str,
        kind: RequestKind,
        latency_objective_s: float,
        max_attempts: int,
        services: list[WeightedService],
        allowed_regions: frozenset[str] | None = None,
        is_public: bool = False,
    ) -> None:
        self.name = name
        self.host = host
        self.path_prefix = path_prefix
        self.kind = kind
        self.latency_objective_s = latency_objective_s
        self.max_attempts = max_attempts
        self.services = services
        self.allowed_regions = allowed_regions
        # Whether requests need no customer's key.
        self.is_public = is_public


class RouteTable:
    """Routes by host; `version` is that of the configuration."""

    __slots__ = ("version", "by_host")

    def __init__(self, version: int, routes: list[Route]) -> None:
        self.version = version
        # The routes of each host, longest prefix first.
        self.by_host: dict[str, list[Route]] = {}
        for route in routes:
            self.by_host.setdefault(route.host.lower(), []).append(route)
        for found in self.by_host.values():
            found.sort(key=prefix_length, reverse=True)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix."""
        for route in self.by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def routes(self) -> list[Route]:
        """List all routes."""
        return [route for routes in self.by_host.values() for route in routes]


def prefix_length(route: Route) -> int:
    """Return the length of a route's prefix."""
    return len(route.path_prefix)


def choose_service(route: Route, random_value: int) -> str:
    """Choose a service of a route by smooth weighted round robin.

    Any sequence of requests follows the weights closely. The starting point is random, so that
    many entries with few requests each do not all start with the service of the highest weight.
    """
    services = route.services
    if len(services) == 1:
        return services[0].service
    total = sum(candidate.weight for candidate in services)
    if all(candidate.credit == 0.0 for candidate in services):
        offset = (random_value & 0xFFFF) / 65_536.0
        for candidate in services:
            candidate.credit = candidate.weight * offset
    best = services[0]
    for candidate in services:
        candidate.credit += candidate.weight
        if candidate.credit > best.credit:
            best = candidate
    best.credit -= total
    return best.service


def priority_of_rank(rank: int) -> Priority:
    """Map a priority rank, 0 being the most urgent, to a priority of the queue."""
    if rank <= 1:
        return Priority.HIGH
    return Priority.NORMAL if rank == 2 else Priority.LOW

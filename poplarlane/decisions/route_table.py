"""Routes: host and longest path prefix to services, with how the requests are treated."""

from poplarlane.types import Priority, RequestKind

# A request that may not be repeated and fails gets one more chance where nothing has run.
DEFAULT_MAX_ATTEMPTS = 2


class WeightedService:
    """Name a service and its share of a route's requests; `credit` is the share not yet used."""

    __slots__ = ("service", "weight", "credit")

    def __init__(self, service: str, weight: float) -> None:
        self.service = service
        self.weight = weight
        self.credit = 0.0


class Route:
    """Say where the requests of one host and path prefix go, and how they are treated.

    `timeout_s` bounds the time until the answer, `latency_objective_s` is the time within which an answer is
    worth its full value; `max_attempts` bounds the targets that one request may run on.
    """

    __slots__ = (
        "name",
        "host",
        "path_prefix",
        "kind",
        "latency_objective_s",
        "max_attempts",
        "services",
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
    ) -> None:
        self.name = name
        self.host = host
        self.path_prefix = path_prefix
        self.kind = kind
        self.latency_objective_s = latency_objective_s
        self.max_attempts = max_attempts
        self.services = services


class RouteTable:
    """Find the route of a request; `version` is that of the configuration."""

    __slots__ = ("version", "by_host")

    def __init__(self, version: int, routes: list[Route]) -> None:
        self.version = version
        # Longest prefix first.
        self.by_host: dict[str, list[Route]] = {}
        for route in routes:
            self.by_host.setdefault(route.host.lower(), []).append(route)
        for found in self.by_host.values():
            found.sort(key=prefix_length, reverse=True)

    def find(self, host: str, path: str) -> Route | None:
        """Give the route with the longest prefix that begins the path."""
        for route in self.by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def routes(self) -> list[Route]:
        """List all routes."""
        return [route for routes in self.by_host.values() for route in routes]


def prefix_length(route: Route) -> int:
    """Give the length of a route's prefix."""
    return len(route.path_prefix)


def choose_service(route: Route, draw: int) -> str:
    """Choose a service of a route so that every run of requests follows the weights closely.

    Smooth weighted round robin; the first choice is random, so that many entries with few requests
    each do not all begin with the heaviest service.
    """
    services = route.services
    if len(services) == 1:
        return services[0].service
    total = sum(part.weight for part in services)
    if all(part.credit == 0.0 for part in services):
        offset = (draw & 0xFFFF) / 65_536.0
        for part in services:
            part.credit = part.weight * offset
    best = services[0]
    for part in services:
        part.credit += part.weight
        if part.credit > best.credit:
            best = part
    best.credit -= total
    return best.service


def priority_of_rank(rank: int) -> Priority:
    """Map a rank, 0 the most urgent, to the priorities of the queue."""
    if rank <= 1:
        return Priority.HIGH
    return Priority.NORMAL if rank == 2 else Priority.LOW

"""Pools of connections to targets."""

from collections import deque
from typing import TYPE_CHECKING

from poplarlane.types import Target

if TYPE_CHECKING:
    from poplarlane.plumbing.targets import TargetConnection


class ConnectionPool:
    """Connections to one target; the most recently used one is reused first."""

    __slots__ = ("target", "idle", "open", "limit")

    def __init__(self, target: Target, limit: int) -> None:
        self.target = target
        self.idle: deque[TargetConnection] = deque()
        self.open = 0
        self.limit = limit

    def take(self, refused_on: "tuple[TargetConnection, ...]" = ()) -> "TargetConnection | None":
        """Take an idle connection that is still open, if there is one.

        One on which the target has refused the same request is closed: a refusal that the target
        sends once more there could not be told from the answer.
        """
        while self.idle:
            connection = self.idle.pop()
            if connection in refused_on:
                connection.abort()
            elif connection.is_open():
                return connection
        return None

    def release(self, connection: "TargetConnection") -> None:
        """Return a reusable connection to the pool, or close it when over the limit."""
        if self.open > self.limit:
            connection.abort()
            return
        connection.idle_since = connection.shell.now()
        self.idle.append(connection)

    def discard(self, connection: "TargetConnection") -> None:
        """Remove a closed connection; a second call for it has no effect."""
        if connection.pool is self and connection.idle_since >= 0.0:
            connection.idle_since = -1.0
            self.open -= 1
            if connection in self.idle:
                self.idle.remove(connection)

    def set_limit(self, limit: int) -> None:
        """Change the limit and close idle connections in excess of it."""
        self.limit = limit
        while self.idle and self.open > limit:
            self.idle[0].abort()

    def close_idle(self, now: float) -> None:
        """Close connections that have exceeded their idle time-out."""
        expired = [found for found in self.idle if now - found.idle_since > found.idle_limit_s]
        for connection in expired:
            connection.abort()

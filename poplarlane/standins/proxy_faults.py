"""Faults and counts of one route of the stand-in proxy."""

import asyncio
import random
from typing import Any

import msgspec


class RouteFaults(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Hold the faults of a route.

    `delay_ms` holds back each chunk or message, or the `delay_share` of them. `drop_to_upstream`
    and `drop_to_client` swallow all bytes of a direction. `reset_share` and `truncate_share`
    apply per chunk from the upstream; a truncated answer is cut after `truncate_after` bytes of
    the chunk and the connection closed. `half_close` ends the direction to the client after the
    next chunk and keeps the other one open. `partition` refuses new connections and freezes the
    open ones. `loss_to_upstream` and `loss_to_client` are shares of pyzmq messages.
    """

    delay_ms: float = 0.0
    delay_share: float = 1.0
    drop_to_upstream: bool = False
    drop_to_client: bool = False
    reset_share: float = 0.0
    truncate_share: float = 0.0
    truncate_after: int = 0
    half_close: bool = False
    partition: bool = False
    loss_to_upstream: float = 0.0
    loss_to_client: float = 0.0


class RouteState:
    """Hold the faults in force on a route, its counts and its generator."""

    __slots__ = ("name", "faults", "generator", "counts", "healed")

    def __init__(self, name: str, seed: int) -> None:
        self.name = name
        self.faults = RouteFaults()
        self.generator = random.Random(f"{seed}/{name}")
        self.counts = {
            "connections": 0,
            "resets": 0,
            "truncated": 0,
            "half_closed": 0,
            "delayed": 0,
            "dropped": 0,
            "forwarded": 0,
        }
        # Set while the route is not partitioned.
        self.healed = asyncio.Event()
        self.healed.set()

    def apply(self, update: dict[str, Any]) -> None:
        """Change the faults named in the update; raises msgspec.ValidationError."""
        merged = msgspec.structs.asdict(self.faults) | update
        self.faults = msgspec.convert(merged, RouteFaults)
        if self.faults.partition:
            self.healed.clear()
        else:
            self.healed.set()

    def hit(self, share: float) -> bool:
        """Draw whether a fault of this share occurs."""
        return share > 0.0 and self.generator.random() < share

    def delay_s(self) -> float:
        """Draw the delay of one chunk or message."""
        if self.faults.delay_ms <= 0 or not self.hit(self.faults.delay_share):
            return 0.0
        self.counts["delayed"] += 1
        return self.faults.delay_ms / 1000

    def document(self) -> dict[str, Any]:
        """Show the faults and the counts."""
        return {"faults": msgspec.structs.asdict(self.faults), "counts": self.counts}

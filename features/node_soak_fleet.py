"""Stand-in fleet of the soak: targets with bounded queues that draw a fault for each request.

`GET /_soak` tells when work on each request began, and on which ones a target broke off.
"""

import asyncio
import json
import random

from poplarlane.settings import SignedFleetSettings
from poplarlane.standins.http_server import Exchange
from poplarlane.standins.signed_fleet import LATE_COPY_S, SignedFleet, SignedTarget, main

QUEUE = 8
LATE_CHANCE = 0.03
LATE_FACTOR = 12.0
LARGE_BODY = "x" * 150_000
# What happens to a request when it arrives, and when its work is done, with weights.
ARRIVALS = {"": 90, "refuse": 6, "limit": 1, "drop": 1, "refuse-twice": 2}
ENDS = {"": 92, "large": 3, "lose": 2, "fail": 1, "half-head-3": 1, "late-copy": 1}
FULL = ("refuse", "refuse", "drop", "silent")
COPY = "HTTP/1.1 503 -\r\nx-not-executed: 1\r\nx-attempt-id: {}\r\ncontent-length: 0\r\n\r\n"


class SoakTarget(SignedTarget):
    """Serve a bounded number of requests at a time, queue some, and draw faults."""

    def __init__(self, fleet: "SoakFleet", name: str, service: str, address: str) -> None:
        super().__init__(fleet, name, service, address)
        self.generator = random.Random(f"{fleet.settings.name}/{name}")
        self.usual_work_ms = self.work_ms
        self.when_full = self.generator.choice(FULL)
        self.waiting: list[tuple[Exchange, list, str]] = []

    def draw(self, weights: dict[str, int]) -> str:
        """Draw by weight."""
        return self.generator.choices(list(weights), list(weights.values()))[0]

    def load(self) -> str:
        """Format the load report."""
        return f"{self.running},{len(self.waiting)},{self.fleet.settings.slots},{self.slowdown}"

    def work(self, exchange: Exchange, headers: list, request_id: str) -> None:
        """Begin to work on a request, queue it, or refuse it."""
        fault = self.draw(ARRIVALS)
        if not fault and len(self.waiting) >= QUEUE:
            fault = self.when_full
        entry = (exchange, headers, request_id)
        if fault:
            self.refuse(fault, *entry)
        elif self.running < self.fleet.settings.slots:
            self.begin(*entry)
        else:
            self.waiting.append(entry)
            exchange.on_cancel = lambda: self.waiting.remove(entry)

    def refuse(self, fault: str, exchange: Exchange, headers: list, request_id: str) -> None:
        """Refuse a request as not run, or break off; `silent` leaves it without an answer."""
        if fault in ("drop", "silent"):
            self.fleet.broken_off.append(request_id)
        else:
            headers.append(("x-not-executed", "1"))
            exchange.reply(429 if fault == "limit" else 503, headers, b"")
        if fault == "drop":
            exchange.drop()
        if fault == "refuse-twice":
            write = exchange.connection.transport.write
            copy = COPY.format(request_id).encode()
            asyncio.get_running_loop().call_later(LATE_COPY_S, write, copy)

    def begin(self, exchange: Exchange, headers: list, request_id: str) -> None:
        """Log that work begins, and work."""
        now = asyncio.get_running_loop().time()
        self.fleet.began.setdefault(request_id, []).append((self.name, now))
        is_late = self.generator.random() < LATE_CHANCE
        factor = LATE_FACTOR if is_late else self.generator.uniform(0.3, 1.7)
        self.work_ms = self.usual_work_ms * factor
        super().work(exchange, headers, request_id)
        cancel = exchange.on_cancel
        exchange.on_cancel = lambda: (cancel(), self.begin_next())

    def answer(self, exchange: Exchange, headers: list, request_id: str) -> None:
        """Answer as was drawn, and begin with the next request."""
        self.mode = self.draw(ENDS)
        if self.mode in ("lose", "half-head-3"):
            self.fleet.broken_off.append(request_id)
        if self.mode == "large":
            found = {"target": self.name, "path": exchange.path, "pad": LARGE_BODY}
            body = json.dumps(found).encode()
            headers.append(("x-server-signature", f"{self.name}.{len(body)}"))
            exchange.reply(200, headers, body)
        else:
            super().answer(exchange, headers, request_id)
        self.mode = ""
        self.begin_next()

    def begin_next(self) -> None:
        """Begin with the oldest request that waits and still has time."""
        while self.waiting and self.running < self.fleet.settings.slots:
            entry = self.waiting.pop(0)
            exchange = entry[0]
            exchange.on_cancel = None
            limit_s = int(exchange.headers["x-deadline-ms"]) / 1000.0
            if asyncio.get_running_loop().time() < exchange.received_at + limit_s:
                self.begin(*entry)
            else:
                self.refuse("refuse", *entry)


class SoakFleet(SignedFleet):
    """Own the store and the targets, and tell what ran when."""

    def __init__(self, settings: SignedFleetSettings) -> None:
        super().__init__(settings)
        self.began: dict[str, list[tuple[str, float]]] = {}
        self.broken_off: list[str] = []
        for name, placed in settings.targets.items():
            self.targets[name] = SoakTarget(self, name, placed.service, placed.address)

    def handle(self, exchange: Exchange) -> None:
        """Tell what ran, or act as the store."""
        if exchange.path == "/_soak":
            names = ("began", "broken_off", "cancelled")
            exchange.reply_json(200, {name: getattr(self, name) for name in names})
        else:
            super().handle(exchange)


if __name__ == "__main__":
    main(SoakFleet)

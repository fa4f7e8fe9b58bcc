"""Stand-in fleet of the soak: targets with bounded queues that draw a fault for each request.

`GET /_soak` tells when work on each request began, which requests a target refused as not run, and
on which it broke off.
"""

import asyncio
import json
import random
from typing import Any

from poplarlane.settings import SignedFleetSettings, settings_from_arguments
from poplarlane.standins.daemon import run_daemon
from poplarlane.standins.http_server import Exchange
from poplarlane.standins.signed_fleet import LATE_COPY_S, SignedFleet, SignedTarget

QUEUE = 8
LATE_FACTOR = 12.0
LARGE_BODY = 150_000
# What happens to a request when it arrives, and when its work is done, with weights.
ARRIVALS = {"": 90, "refuse": 6, "limit": 1, "drop": 1, "refuse-twice": 2}
ENDS = {"": 92, "lose": 2, "fail": 1, "half-head-3": 1, "late-copy": 1, "late": 3}
FULL = ("refuse", "refuse", "drop", "silent")


class SoakTarget(SignedTarget):
    """Serve a bounded number of requests at a time, queue some, and draw faults."""

    def __init__(self, fleet: "SoakFleet", name: str, service: str, address: str) -> None:
        super().__init__(fleet, name, service, address)
        self.generator = random.Random(f"{fleet.settings.name}/{name}")
        self.usual_work_ms = self.work_ms
        self.when_full = self.generator.choice(FULL)
        self.waiting: list[tuple[Exchange, list, str, float]] = []
        # How the answers to the requests at work will end.
        self.ends: dict[Exchange, str] = {}

    def load(self) -> str:
        """Format the load report."""
        slots = self.fleet.settings.slots
        return f"{self.running},{len(self.waiting)},{slots},{self.slowdown}"

    def work(self, exchange: Exchange, headers: list, request_id: str) -> None:
        """Begin to work on a request, queue it, or refuse it."""
        fault = self.generator.choices(list(ARRIVALS), list(ARRIVALS.values()))[0]
        if not fault and len(self.waiting) >= QUEUE:
            fault = self.when_full
        if fault:
            self.refuse(fault, exchange, headers, request_id)
        elif self.running < self.fleet.settings.slots:
            self.begin(exchange, headers, request_id)
        else:
            until = exchange.received_at + int(exchange.headers["x-deadline-ms"]) / 1000.0
            entry = (exchange, headers, request_id, until)
            self.waiting.append(entry)
            exchange.on_cancel = lambda: self.waiting.remove(entry)

    def refuse(self, fault: str, exchange: Exchange, headers: list, request_id: str) -> None:
        """Refuse a request as not run, or break off; `silent` leaves it without an answer."""
        if fault in ("drop", "silent"):
            self.fleet.broken_off.append(request_id)
            if fault == "drop":
                exchange.drop()
            return
        status = 429 if fault == "limit" else 503
        self.fleet.refused.append(request_id)
        exchange.reply(status, [*headers, ("x-not-executed", "1")], b"")
        if fault == "refuse-twice":
            copy = f"HTTP/1.1 503 Busy\r\nx-not-executed: 1\r\nx-attempt-id: {request_id}\r\n"
            data = f"{copy}content-length: 0\r\n\r\n".encode()
            transport = exchange.connection.transport
            asyncio.get_running_loop().call_later(LATE_COPY_S, transport.write, data)

    def begin(self, exchange: Exchange, headers: list, request_id: str) -> None:
        """Log that work begins, and work; go on with the next one after the end."""
        now = asyncio.get_running_loop().time()
        self.fleet.began.setdefault(request_id, []).append((self.name, now))
        end = self.ends[exchange] = self.generator.choices(list(ENDS), list(ENDS.values()))[0]
        factor = LATE_FACTOR if end == "late" else self.generator.uniform(0.3, 1.7)
        self.work_ms = self.usual_work_ms * factor
        super().work(exchange, headers, request_id)
        cancel = exchange.on_cancel

        def cancelled() -> None:
            cancel()
            del self.ends[exchange]
            self.begin_next()

        exchange.on_cancel = cancelled

    def answer(self, exchange: Exchange, headers: list, request_id: str) -> None:
        """Answer as was drawn, and begin with the next request."""
        end = self.ends.pop(exchange)
        if end in ("lose", "half-head-3"):
            self.fleet.broken_off.append(request_id)
        if not end and self.generator.random() < 0.03:
            body = json.dumps({"target": self.name, "path": exchange.path, "pad": "x" * LARGE_BODY})
            signature = ("x-server-signature", f"{self.name}.{len(body)}")
            exchange.reply(200, [*headers, signature], body.encode())
        else:
            self.mode = end
            super().answer(exchange, headers, request_id)
            self.mode = ""
        self.begin_next()

    def begin_next(self) -> None:
        """Begin with the oldest request that waits and still has time."""
        while self.waiting and self.running < self.fleet.settings.slots:
            exchange, headers, request_id, until = self.waiting.pop(0)
            exchange.on_cancel = None
            if asyncio.get_running_loop().time() < until:
                self.begin(exchange, headers, request_id)
            else:
                self.refuse("refuse", exchange, headers, request_id)


class SoakFleet(SignedFleet):
    """Own the store and the targets, and tell what ran when."""

    def __init__(self, settings: SignedFleetSettings) -> None:
        super().__init__(settings)
        self.began: dict[str, list[tuple[str, float]]] = {}
        self.refused: list[str] = []
        self.broken_off: list[str] = []
        self.targets = {
            name: SoakTarget(self, name, placed.service, placed.address)
            for name, placed in settings.targets.items()
        }

    def handle(self, exchange: Exchange) -> None:
        """Tell what ran, or act as the store."""
        if exchange.path != "/_soak":
            super().handle(exchange)
            return
        document = {
            "began": self.began,
            "refused": self.refused,
            "broken_off": self.broken_off,
            "cancelled": self.cancelled,
        }
        exchange.reply_json(200, document)


def main() -> None:
    """Run the stand-in."""
    settings = settings_from_arguments(SignedFleetSettings, "Stand in for a fleet under a soak.")

    async def start() -> Any:
        return await SoakFleet(settings).start()

    run_daemon(settings, start)


if __name__ == "__main__":
    main()

"""Stand-in for the users' platform in one process: its store of objects and a few targets.

It speaks the platform's form: objects listed and watched by kind, and targets that sign answers,
name their instance and report running, waiting, slots and pace. On the store's port,
`POST /_control` changes the configuration, drains or breaks targets and takes the store down, and
`GET /_ledger` tells which requests ran where.
"""

import asyncio
import json
import os
from typing import Any

from poplarlane.settings import SignedFleetSettings, settings_from_arguments
from poplarlane.standins.daemon import run_daemon
from poplarlane.standins.endless_answers import SHAPES, start_endless
from poplarlane.standins.http_server import Exchange, HttpServer

OBJECTS_PREFIX = "/-/objects/"
MAX_WAIT_MS = 30_000
KEPT_EVENTS = 1_000
# A cold target bears this multiple of its rate and some requests more in a second.
COLD_OVERAGE = 1.5
COLD_SLACK = 8
# The next request of a caller is often on its way by then.
LATE_COPY_S = 0.006


class ObjectStore:
    """Hold objects by kind and name, with one revision counter and a history of changes."""

    def __init__(self) -> None:
        self.revision = 1
        self.objects: dict[str, dict[str, dict[str, Any]]] = {}
        self.history: list[tuple[int, str, dict[str, Any], bool]] = []
        self.first_revision = 1
        self.is_down = False
        self.calls: dict[str, int] = {}
        self.waiting: list[tuple[Exchange, str, int, asyncio.TimerHandle]] = []
        # Items of a page of a list; 0 for one page.
        self.page_items = 0
        # Whether lone surrogates in texts are sent as the bytes that they stand for (PEP 383).
        self.raw_bytes = False
        # Raw JSON, well-formed or not, that is sent in the place of a string.
        self.raw_texts: dict[str, str] = {}
        # How often the store has come back from a copy, and the copy: revision and objects.
        self.era = 1
        self.copied: tuple[int, dict[str, dict[str, dict[str, Any]]]] = (1, {})

    def put(self, kind: str, name: str, spec: Any, status: Any = None) -> None:
        """Create or replace an object."""
        self.revision += 1
        item = {"metadata": {"name": name, "revision": self.revision}, "spec": spec}
        item["status"] = status
        self.objects.setdefault(kind, {})[name] = item
        self.record(kind, item, False)

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        item = self.objects.get(kind, {}).pop(name, None)
        if item is not None:
            self.revision += 1
            self.record(kind, item, True)

    def record(self, kind: str, item: dict[str, Any], deleted: bool) -> None:
        """Add a change to the history and answer the watches that wait for it."""
        self.history.append((self.revision, kind, item, deleted))
        del self.history[:-KEPT_EVENTS]
        for entry in list(self.waiting):
            exchange, watched, after, timer = entry
            if watched == kind:
                timer.cancel()
                self.waiting.remove(entry)
                self.answer_watch(exchange, kind, after)

    def forget_history(self) -> None:
        """Drop the history, so that watches from an older revision are refused."""
        self.history.clear()
        self.first_revision = self.revision + 1
        self.revision += 1

    def copy(self) -> None:
        """Keep a copy of all objects, from which the store can come back."""
        objects = {kind: dict(found) for kind, found in self.objects.items()}
        self.copied = self.revision, objects

    def restore(self) -> None:
        """Come back from the copy: later writes are gone, and revisions are given out again."""
        self.revision, objects = self.copied
        self.objects = {kind: dict(found) for kind, found in objects.items()}
        self.history.clear()
        self.first_revision = self.revision + 1
        self.era += 1
        waiting, self.waiting = self.waiting, []
        for exchange, _, _, timer in waiting:
            timer.cancel()
            exchange.drop()

    def reply(self, exchange: Exchange, status: int, document: dict[str, Any]) -> None:
        """Answer with a document and the store's era."""
        headers = [("content-type", "application/json"), ("store-era", str(self.era))]
        text = json.dumps(document, ensure_ascii=not self.raw_bytes)
        for string, raw in self.raw_texts.items():
            text = text.replace(f'"{string}"', raw)
        exchange.reply(status, headers, text.encode("utf-8", "surrogateescape"))

    def page(self, kind: str, after: str) -> tuple[list[dict[str, Any]], bool]:
        """Return the items of a page, ordered by name, and whether there are more."""
        objects = self.objects.get(kind, {})
        left = [objects[name] for name in sorted(objects) if name > after]
        count = self.page_items or len(left)
        return left[:count], count < len(left)

    def handle(self, exchange: Exchange) -> None:
        """Answer a list or a watch."""
        kind, _, name = exchange.path.removeprefix(OBJECTS_PREFIX).partition("/")
        if name or exchange.method == "POST":
            self.handle_write(exchange, kind, name)
            return
        verb = "watch" if "watch" in exchange.query else "list"
        self.calls[verb] = self.calls.get(verb, 0) + 1
        if self.is_down:
            self.reply(exchange, 503, {"error": "down"})
        elif verb == "list":
            items, more = self.page(kind, exchange.query.get("after", ""))
            document = {"items": items, "more_pages": more, "current_rev": self.revision}
            self.reply(exchange, 200, document)
        else:
            self.watch(exchange, kind)

    def handle_write(self, exchange: Exchange, kind: str, name: str) -> None:
        """Write or delete one object."""
        if self.is_down:
            self.reply(exchange, 503, {"error": "down"})
        elif exchange.method == "POST":
            document = json.loads(exchange.body)
            self.create(exchange, kind, document["metadata"]["name"], document["spec"])
        elif exchange.method == "PUT" and name in self.objects.get(kind, {}):
            self.put(kind, name, json.loads(exchange.body)["spec"])
            self.reply(exchange, 200, {"revision": self.revision})
        elif exchange.method == "DELETE" and name in self.objects.get(kind, {}):
            self.delete(kind, name)
            self.reply(exchange, 200, {"revision": self.revision})
        else:
            self.reply(exchange, 404, {"error": "no such object"})

    def create(self, exchange: Exchange, kind: str, name: str, spec: Any) -> None:
        """Create an object unless it exists."""
        if name in self.objects.get(kind, {}):
            self.reply(exchange, 409, {"object": self.objects[kind][name]})
            return
        self.put(kind, name, spec)
        self.reply(exchange, 200, {"revision": self.revision})

    def watch(self, exchange: Exchange, kind: str) -> None:
        """Answer a watch at once, or when something changes, or when its wait has passed."""
        after = int(exchange.query["watch"])
        if after < self.first_revision - 1 or after > self.revision:
            self.reply(exchange, 410, {"error": "history gone"})
            return
        if any(revision > after and kind == found for revision, found, _, _ in self.history):
            self.answer_watch(exchange, kind, after)
            return
        wait_s = min(MAX_WAIT_MS, int(exchange.query.get("wait_ms", "0"))) / 1000.0
        loop = asyncio.get_running_loop()
        entry: list[Any] = []

        def expire() -> None:
            self.waiting = [found for found in self.waiting if found[0] is not exchange]
            self.answer_watch(exchange, kind, after)

        entry = [exchange, kind, after, loop.call_later(wait_s, expire)]
        self.waiting.append(tuple(entry))

    def answer_watch(self, exchange: Exchange, kind: str, after: int) -> None:
        """Answer a watch with the changes since its revision."""
        events = [
            {"object": item, "deleted": deleted}
            for revision, found, item, deleted in self.history
            if revision > after and found == kind
        ]
        self.reply(exchange, 200, {"events": events, "current_rev": self.revision})


class SignedTarget:
    """Serve requests as a target of the platform does; `mode` breaks it."""

    def __init__(self, fleet: "SignedFleet", name: str, service: str, address: str) -> None:
        self.fleet = fleet
        self.name = name
        self.service = service
        self.address = address
        self.mode = ""
        # What the target says about itself in all its answers: headers and their values.
        self.statements: dict[str, str] = {}
        # The request that was refused and whose refusal is sent once more, in that mode.
        self.refused_id = ""
        # How probes are answered: well, or in a shape without end.
        self.probe_mode = ""
        # Answers without end that were begun and whose callers have not closed.
        self.endless: set[asyncio.Task] = set()
        self.slowdown = 100
        self.work_ms = fleet.settings.work_ms
        self.running = 0
        self.probes = 0
        # When requests reached it, those that it refused included.
        self.arrivals: list[float] = []
        # Rate that it sustains while it is cold, above which it crashes; 0: any.
        self.cold_per_s = 0.0
        self.cold_until = 0.0
        self.has_crashed = False
        # Number of times that it wrote its entry.
        self.sequence = 0
        self.server = HttpServer(self.handle)

    def load(self) -> str:
        """Format the load report."""
        slots = self.fleet.settings.slots
        return f"{min(self.running, slots)},{max(0, self.running - slots)},{slots},{self.slowdown}"

    @property
    def cold_s(self) -> float:
        """Return how long the target stays cold."""
        return max(0.0, self.cold_until - asyncio.get_running_loop().time())

    @cold_s.setter
    def cold_s(self, value: float) -> None:
        self.cold_until = asyncio.get_running_loop().time() + value

    def is_overrun(self) -> bool:
        """Return whether a cold target got more requests in a second than it bears."""
        if not self.cold_per_s or not self.cold_s:
            return False
        since = asyncio.get_running_loop().time() - 1.0
        recent = sum(at > since for at in self.arrivals)
        return recent > COLD_OVERAGE * self.cold_per_s + COLD_SLACK

    def handle(self, exchange: Exchange) -> None:
        """Answer a probe, refuse a request for another instance, or work."""
        if self.has_crashed:
            exchange.drop()
            return
        headers = [("x-server-load", self.load()), ("x-instance-id", self.name)]
        if self.mode != "interim":
            headers += self.statements.items()
        if exchange.path == self.fleet.settings.probe_path:
            self.probes += 1
            if self.cold_until:
                headers.append(("x-cold-remaining-ms", str(round(self.cold_s * 1000.0))))
            if self.probe_mode:
                self.answer_endlessly(self.probe_mode, exchange, headers)
            else:
                exchange.reply(200, headers, b"")
            return
        request_id = exchange.headers.get("x-attempt-id", "")
        headers.append(("x-attempt-id", request_id))
        if exchange.headers.get("x-expected-instance", self.name) != self.name:
            exchange.reply(421, headers, b"")
            return
        self.arrivals.append(asyncio.get_running_loop().time())
        if self.is_overrun():
            self.has_crashed = True
            exchange.drop()
            return
        if self.mode == "interim":
            self.answer_interim(exchange)
        if self.mode == "refusal-copy" and self.refused_id:
            copy = f"HTTP/1.1 503 Busy\r\nx-not-executed: 1\r\nx-attempt-id: {self.refused_id}\r\n"
            exchange.connection.transport.write(f"{copy}content-length: 0\r\n\r\n".encode())
        elif self.mode == "refusal-copy":
            self.refused_id = request_id
            exchange.reply(503, [*headers, ("x-not-executed", "1")], b"")
            return
        if self.mode == "shed":
            exchange.reply(503, [*headers, ("x-not-executed", "1")], b"")
        else:
            self.work(exchange, headers, request_id)

    def work(self, exchange: Exchange, headers: list, request_id: str) -> None:
        """Run a request for the time of work at the present pace, or exit because of it."""
        settings = self.fleet.settings
        if settings.deadly_prefix and exchange.path.startswith(settings.deadly_prefix):
            asyncio.get_running_loop().call_later(settings.deadly_ms / 1000.0, os._exit, 1)
            return
        self.fleet.ledger.setdefault(request_id, []).append(self.name)
        self.fleet.deadlines_ms[request_id] = exchange.headers.get("x-deadline-ms", "")
        names = ("x-tenant-id", "x-api-key")
        found = {name: exchange.headers[name] for name in names if name in exchange.headers}
        self.fleet.customers[request_id] = found
        self.running += 1
        loop = asyncio.get_running_loop()

        def done() -> None:
            self.running -= 1
            self.answer(exchange, headers, request_id)

        def cancelled() -> None:
            timer.cancel()
            self.running -= 1
            self.fleet.cancelled.append(request_id)

        exchange.on_cancel = cancelled
        timer = loop.call_later(self.work_ms * self.slowdown / 100_000.0, done)

    def answer(self, exchange: Exchange, headers: list, request_id: str) -> None:
        """Answer a request that has run, whole or as the mode says."""
        body = json.dumps({"target": self.name, "path": exchange.path}).encode()
        signed = [*headers, ("x-server-signature", f"{self.name}.{len(body)}")]
        if self.mode == "lose":
            exchange.drop()
        elif self.mode.startswith("half-head"):
            self.answer_half_head(exchange, signed)
        elif self.mode == "unsigned":
            exchange.reply(200, headers, body)
        elif self.mode == "fail":
            exchange.reply(500, signed, body)
        elif self.mode == "unframed":
            self.answer_unframed(exchange, signed, body)
        elif self.mode in SHAPES:
            self.answer_endlessly(self.mode, exchange, signed)
        elif self.mode == "late-copy":
            self.answer_twice(exchange, signed, body)
        elif self.mode == "late-extra":
            self.answer_after_another(exchange, signed, body)
        else:
            exchange.reply(200, signed, body)

    def answer_half_head(self, exchange: Exchange, headers: list) -> None:
        """Stop in the middle of the head, after as many lines as the mode says, and close."""
        lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in headers), "x-cut: "]
        whole = int(self.mode.rpartition("-")[2])
        text = "".join(f"{line}\r\n" for line in lines[:whole]) + lines[whole][:4]
        exchange.finished = True
        exchange.connection.transport.write(text.encode())
        exchange.connection.transport.close()

    def answer_interim(self, exchange: Exchange) -> None:
        """Send an interim answer with the statements before the final one."""
        lines = "".join(f"{name}: {value}\r\n" for name, value in self.statements.items())
        exchange.connection.transport.write(f"HTTP/1.1 103 Early Hints\r\n{lines}\r\n".encode())
        self.statements = {}

    def answer_endlessly(self, mode: str, exchange: Exchange, headers: list) -> None:
        """Answer without end until the caller closes."""
        exchange.finished = True
        task = start_endless(mode, exchange.connection.transport, headers)
        self.endless.add(task)
        task.add_done_callback(self.endless.discard)

    def answer_unframed(self, exchange: Exchange, headers: list, body: bytes) -> None:
        """Answer without a length; the end of the connection ends the body."""
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers)
        transport = exchange.connection.transport
        exchange.finished = True
        transport.write(f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode() + body)
        transport.close()

    def answer_after_another(self, exchange: Exchange, headers: list, body: bytes) -> None:
        """Send an answer to an earlier request first, as a faulty target does."""
        late = b"HTTP/1.1 200 OK\r\nx-attempt-id: earlier\r\nx-server-signature: x\r\n"
        late += b"content-length: 4\r\n\r\nlate"
        exchange.connection.transport.write(late)
        exchange.reply(200, headers, body)

    def answer_twice(self, exchange: Exchange, headers: list, body: bytes) -> None:
        """Answer, and send the same answer again a moment later, as a faulty target does."""
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers)
        copy = f"HTTP/1.1 200 OK\r\n{lines}content-length: {len(body)}\r\n\r\n".encode() + body
        transport = exchange.connection.transport
        exchange.reply(200, headers, body)
        loop = asyncio.get_running_loop()
        loop.call_later(LATE_COPY_S, transport.write, copy)

    def register(self, state: str = "ready") -> None:
        """Write the target's entry into the store."""
        self.sequence += 1
        host, port = self.address.rsplit(":", 1)
        settings = self.fleet.settings
        spec = {
            "address": f"{host}:{port}",
            "info": {"service": self.service, "zone": settings.zone, "slots": settings.slots},
            "born": settings.born_ms,
        }
        self.fleet.store.put(
            "servers",
            self.name,
            spec,
            {"state": state, "sequence": self.sequence, "cold_remaining_s": self.cold_s},
        )


class SignedFleet:
    """Own the store, the targets and the ledger."""

    def __init__(self, settings: SignedFleetSettings) -> None:
        self.settings = settings
        self.store = ObjectStore()
        self.ledger: dict[str, list[str]] = {}
        self.cancelled: list[str] = []
        # What each request was told of the time that it has.
        self.deadlines_ms: dict[str, str] = {}
        # The customer named in each request, and the key, which no target may get.
        self.customers: dict[str, dict[str, str]] = {}
        self.targets: dict[str, SignedTarget] = {}
        for name, placed in settings.targets.items():
            self.targets[name] = SignedTarget(self, name, placed.service, placed.address)
        self.server = HttpServer(self.handle)

    async def start(self) -> Any:
        """Listen everywhere and fill the store."""
        for name, target in self.targets.items():
            host, port = target.address.rsplit(":", 1)
            if not self.settings.targets[name].is_external:
                await target.server.listen(host, int(port))
            target.register()
        if self.settings.configuration:
            self.store.put("config", "main", self.settings.configuration)
        await self.server.listen(self.settings.listen_address, self.settings.listen_port)

        async def stop() -> None:
            self.server.close()
            for target in self.targets.values():
                if target.server.listener is not None:
                    target.server.close()

        return stop

    def handle(self, exchange: Exchange) -> None:
        """Route a call of a test or of a node."""
        if exchange.path == "/_ledger":
            document = {
                "ran": self.ledger,
                "cancelled": self.cancelled,
                "deadlines_ms": self.deadlines_ms,
                "probes": {name: target.probes for name, target in self.targets.items()},
                "arrivals": {name: target.arrivals for name, target in self.targets.items()},
                "crashed": [name for name, found in self.targets.items() if found.has_crashed],
                "endless": sum(len(target.endless) for target in self.targets.values()),
                "calls": self.store.calls,
                "customers": self.customers,
            }
            exchange.reply_json(200, document)
        elif exchange.path == "/_control":
            self.control(json.loads(exchange.body))
            exchange.reply_json(200, {})
        else:
            self.store.handle(exchange)

    def control(self, switches: dict[str, Any]) -> None:
        """Change the configuration, targets or the store."""
        if switches.get("copy"):
            self.store.copy()
        if switches.get("restore"):
            self.store.restore()
        if "configuration" in switches:
            self.store.put("config", "main", switches["configuration"])
        if "down" in switches:
            self.store.is_down = switches["down"]
        for name in ("page_items", "raw_bytes", "raw_texts"):
            if name in switches:
                setattr(self.store, name, switches[name])
        if switches.get("forget_history"):
            self.store.forget_history()
        for name, entry in switches.get("entries", {}).items():
            self.store.put("servers", name, entry.get("spec"), entry.get("status"))
        for kind, objects in switches.get("objects", {}).items():
            for name, item in objects.items():
                self.store.put(kind, name, item.get("spec"), item.get("status"))
        for name in switches.get("evacuate", []):
            self.store.put("evacuations", name, {})
        for name in switches.get("end_evacuation", []):
            self.store.delete("evacuations", name)
        for name in switches.get("delete", []):
            self.store.delete("servers", name)
        for name in switches.get("drain", []):
            self.targets[name].register("draining")
        for name in switches.get("register", []):
            self.targets[name].register()
        for name, changes in switches.get("targets", {}).items():
            for key, value in changes.items():
                setattr(self.targets[name], key, value)


def main(fleet_type: type[SignedFleet] = SignedFleet) -> None:
    """Run the stand-in."""
    settings = settings_from_arguments(
        SignedFleetSettings, "Stand in for the platform's store and some of its targets."
    )

    async def start() -> Any:
        return await fleet_type(settings).start()

    run_daemon(settings, start)


if __name__ == "__main__":
    main()

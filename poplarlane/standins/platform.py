"""Stand-in for the platform: an object API with conditional updates, watches and faults."""

import asyncio
import gzip
import random
import time
from collections.abc import Callable
from typing import Any

import msgspec

from poplarlane.logs import log
from poplarlane.objects import MAX_VALUE_BYTES
from poplarlane.settings import PlatformSettings, settings_from_arguments
from poplarlane.standins.daemon import run_daemon
from poplarlane.standins.http_server import Exchange, HttpServer
from poplarlane.standins.platform_limits import (
    CALLER_HEADER,
    CallCounts,
    PlatformFaults,
    TokenBucket,
)
from poplarlane.standins.platform_store import Store, StoredVersion, VmList

MAX_WAIT_MS = 60_000
# A shorter answer gains little from compression.
MIN_GZIP_BYTES = 512
GZIP_LEVEL = 1


class Watch:
    """Hold one waiting watch."""

    __slots__ = ("exchange", "kind", "since", "timer")

    def __init__(self, exchange: Exchange, kind: str, since: int) -> None:
        self.exchange = exchange
        self.kind = kind
        self.since = since
        self.timer: asyncio.TimerHandle | None = None


class Platform:
    """Answer the calls of the object API."""

    def __init__(self, settings: PlatformSettings) -> None:
        self.loop = asyncio.get_running_loop()
        now = self.loop.time()
        self.generator = random.Random(settings.seed)
        self.store = Store(settings.kept_changes)
        self.vms = VmList(settings.vm_list_lag_ms / 1000)
        self.read_bucket = TokenBucket(settings.reads_per_s, now)
        self.write_bucket = TokenBucket(settings.writes_per_s, now)
        self.gzip = settings.gzip
        self.counts = CallCounts()
        self.faults = PlatformFaults()
        self.watches: set[Watch] = set()

    def handle(self, exchange: Exchange) -> None:
        """Route one call."""
        steps = exchange.path.strip("/").split("/")
        verb = exchange.method
        match (verb, *steps):
            case ("POST", "v1", "faults"):
                self.set_faults(exchange)
            case ("GET", "v1", "calls"):
                exchange.reply_json(200, self.counts.document())
            case ("GET", "v1", "history", kind):
                exchange.reply_json(200, msgspec.json.encode(self.store.history(kind)))
            case ("PUT", "v1", "vms", name):
                self.register_vm(exchange, name)
            case ("GET", "v1", "vms"):
                self.call(exchange, "vms", "", lambda: self.list_vms(exchange))
            case ("GET", "v1", "objects", kind):
                self.call(exchange, "list", kind, lambda: self.list_objects(exchange, kind))
            case ("GET", "v1", "objects", kind, name):
                self.call(exchange, "get", kind, lambda: self.get_object(exchange, kind, name))
            case ("PUT", "v1", "objects", kind, name):
                self.call(exchange, "put", kind, lambda: self.put_object(exchange, kind, name))
            case ("GET", "v1", "watch", kind):
                self.call(exchange, "watch", kind, lambda: self.watch(exchange, kind))
            case _:
                exchange.reply_json(404, {"error": f"no such path: {verb} {exchange.path}"})

    def call(self, exchange: Exchange, verb: str, kind: str, action: Callable[[], None]) -> None:
        """Count a call and apply rates and outage before the action."""
        self.counts.add(verb, kind, exchange.headers.get(CALLER_HEADER, "unknown"))
        if self.faults.outage:
            self.answer(exchange, 503, {"error": "the platform is unavailable"})
            return
        bucket = self.write_bucket if verb == "put" else self.read_bucket
        if not bucket.take(self.loop.time()):
            self.counts.refused += 1
            self.answer(exchange, 429, {"error": "the rate of calls is exceeded"})
            return
        action()

    def answer(self, exchange: Exchange, status: int, document: Any) -> None:
        """Answer after the delay in force."""
        body = msgspec.json.encode(document)
        headers = [("content-type", "application/json")]
        if self.gzip and len(body) >= MIN_GZIP_BYTES and accepts_gzip(exchange.headers):
            body = gzip.compress(body, GZIP_LEVEL, mtime=0)
            headers.append(("content-encoding", "gzip"))
        if self.faults.delay_ms > 0:
            delay_s = self.faults.delay_ms / 1000
            self.loop.call_later(delay_s, exchange.reply, status, headers, body)
        else:
            exchange.reply(status, headers, body)

    def set_faults(self, exchange: Exchange) -> None:
        """Change the faults named in the body and keep the others."""
        try:
            update = msgspec.json.decode(exchange.body)
            merged = msgspec.structs.asdict(self.faults) | update
            self.faults = msgspec.convert(merged, PlatformFaults)
        except (msgspec.MsgspecError, TypeError) as error:
            exchange.reply_json(400, {"error": str(error)})
            return
        log("faults_changed", faults=msgspec.json.encode(self.faults).decode())
        if self.faults.outage:
            for watch in list(self.watches):
                self.end_watch(watch, 503, {"error": "the platform is unavailable"})
        exchange.reply_json(200, msgspec.json.encode(self.faults))

    def read_time(self) -> float | None:
        """Give the time as of which reads are answered; None is now."""
        if self.faults.stale_reads_ms <= 0:
            return None
        return self.loop.time() - self.faults.stale_reads_ms / 1000

    def get_object(self, exchange: Exchange, kind: str, name: str) -> None:
        """Answer with one object."""
        found = self.store.latest(kind, name, self.read_time())
        if found is None:
            self.answer(exchange, 404, {"error": f"no object {kind}/{name}"})
        else:
            self.answer(exchange, 200, found.document())

    def list_objects(self, exchange: Exchange, kind: str) -> None:
        """Answer with all objects of a kind; a stale list carries the revision of its time."""
        as_of = self.read_time()
        revision = self.store.revision
        if as_of is not None:
            past = (change.version for change in self.store.changes if change.written_at <= as_of)
            revision = max(past, default=self.store.forgotten)
        items = [version.document() for version in self.store.list_kind(kind, as_of)]
        self.answer(exchange, 200, {"revision": revision, "items": items})

    def put_object(self, exchange: Exchange, kind: str, name: str) -> None:
        """Write one object if its condition holds."""
        if len(exchange.body) > MAX_VALUE_BYTES:
            self.answer(exchange, 413, {"error": f"a value has at most {MAX_VALUE_BYTES} bytes"})
            return
        current = self.store.latest(kind, name)
        if not condition_holds(exchange.headers, current):
            shown = current.document() if current else {"error": f"no object {kind}/{name}"}
            self.answer(exchange, 412, shown)
            return
        written = self.store.put(kind, name, exchange.body, self.loop.time())
        self.notify(kind)
        if self.faults.lose_this_answer(self.generator):
            log("answer_lost", kind=kind, name=name, version=written.version)
            exchange.drop()
            return
        self.answer(exchange, 200, {"kind": kind, "name": name, "version": written.version})

    def watch(self, exchange: Exchange, kind: str) -> None:
        """Answer with changes after a revision, at once or when one comes."""
        try:
            since = int(exchange.query.get("since", "0"))
            wait_ms = min(int(exchange.query.get("wait_ms", "0")), MAX_WAIT_MS)
        except ValueError:
            self.answer(exchange, 400, {"error": "since and wait_ms are integers"})
            return
        watch = Watch(exchange, kind, since)
        if self.answer_watch(watch):
            return
        if wait_ms <= 0:
            self.end_watch(watch, 200, self.no_changes())
            return
        self.watches.add(watch)
        exchange.on_cancel = lambda: self.forget_watch(watch)
        watch.timer = self.loop.call_later(
            wait_ms / 1000, lambda: self.end_watch(watch, 200, self.no_changes())
        )

    def no_changes(self) -> dict[str, Any]:
        """Show that nothing changed up to the current revision."""
        return {"revision": self.store.revision, "changes": []}

    def answer_watch(self, watch: Watch) -> bool:
        """Answer a watch if there is something to say."""
        changes = self.store.changes_after(watch.kind, watch.since)
        if changes is None:
            self.end_watch(watch, 410, {"error": f"revision {watch.since} is too old"})
            return True
        if not changes:
            return False
        shown = [change.document() for change in changes]
        self.end_watch(watch, 200, {"revision": self.store.revision, "changes": shown})
        return True

    def notify(self, kind: str) -> None:
        """Answer the watches of a kind after a change."""
        for watch in list(self.watches):
            if watch.kind == kind:
                self.answer_watch(watch)

    def end_watch(self, watch: Watch, status: int, document: Any) -> None:
        """Answer a watch and forget it; a watch answered before is left alone."""
        self.forget_watch(watch)
        if not watch.exchange.finished:
            self.answer(watch.exchange, status, document)

    def forget_watch(self, watch: Watch) -> None:
        """Stop waiting for changes."""
        self.watches.discard(watch)
        if watch.timer is not None:
            watch.timer.cancel()

    def register_vm(self, exchange: Exchange, name: str) -> None:
        """Record the state of a VM."""
        try:
            document = msgspec.json.decode(exchange.body, type=dict[str, Any])
        except msgspec.MsgspecError as error:
            exchange.reply_json(400, {"error": str(error)})
            return
        self.vms.register(name, document, self.loop.time())
        exchange.reply_json(200, {})

    def list_vms(self, exchange: Exchange) -> None:
        """Answer with the lagging VM list; `as_of` is in seconds of the wall clock."""
        vms = self.vms.visible(self.loop.time())
        self.answer(exchange, 200, {"as_of": time.time() - self.vms.lag_s, "vms": vms})


def accepts_gzip(headers: dict[str, str]) -> bool:
    """Tell whether the caller asked for gzip; a quality of 0 refuses it."""
    for offer in headers.get("accept-encoding", "").lower().split(","):
        coding, _, quality = offer.replace(" ", "").partition(";")
        if coding == "gzip":
            return quality not in ("q=0", "q=0.0", "q=0.00", "q=0.000")
    return False


def condition_holds(headers: dict[str, str], current: StoredVersion | None) -> bool:
    """Check `If-Match` and `If-None-Match` against the current version."""
    if headers.get("if-none-match") == "*" and current is not None:
        return False
    wanted = headers.get("if-match")
    if wanted is None:
        return True
    return current is not None and wanted.strip('"') == str(current.version)


def main() -> None:
    """Run the stand-in platform."""
    settings = settings_from_arguments(PlatformSettings, "Stand in for the platform.")

    async def start():
        server = HttpServer(Platform(settings).handle)
        await server.listen(settings.listen_address, settings.listen_port)

        async def stop() -> None:
            server.close()

        return stop

    run_daemon(settings, start)

"""Stand-in for a target: slots, queue, load report, faults and a ledger of executions."""

import asyncio
import math
import random
import zlib
from pathlib import Path
from typing import Any

import msgspec

from poplarlane.logs import log
from poplarlane.settings import TargetSettings, settings_from_arguments
from poplarlane.standins.daemon import run_daemon
from poplarlane.standins.http_server import Exchange, HttpServer
from poplarlane.standins.target_calls import NestedAnswer, call_next, chain_of
from poplarlane.standins.target_switches import LoadReport, Switches
from poplarlane.standins.target_work import (
    ENDED_CANCELLED,
    ENDED_DONE,
    ENDED_EXPIRED,
    ENDED_FAILED,
    Execution,
    Job,
    Slots,
    deadline_of,
    service_time_s,
)

ANSWER_BYTES = 256
MAX_ANSWER_BYTES = 16_000_000
# A stopped target keeps refusing requests for as long as an entry may need to learn of the stop.
STOP_LINGER_S = 2.5
STOP_POLL_S = 0.02
LARGEST_QUANTILE = 0.999999999


class Target:
    """Serve requests as a target does."""

    def __init__(self, settings: TargetSettings) -> None:
        self.settings = settings
        self.loop = asyncio.get_running_loop()
        self.generator = random.Random(settings.seed)
        self.slots = Slots(settings.slots)
        self.switches = Switches(report_lag_ms=settings.report_lag_ms)
        self.report = LoadReport()
        self.started_at = self.loop.time()
        self.drain_started_at = math.inf
        self.ledger: dict[str, list[Execution]] = {}
        self.arrivals: list[float] = []
        self.accepted_arrivals: list[float] = []
        self.probes: list[tuple[float, str]] = []
        self.probe_time_s = 0.0
        self.refusals = 0
        self.dropped_in_queue = 0
        self.open_work = 0
        # Per drain, the time of the first answer that said that the target is leaving.
        self.announcements: list[float] = []
        self.server: HttpServer | None = None

    def handle(self, exchange: Exchange) -> None:
        """Route one request; control paths have neither delay nor cost."""
        match (exchange.method, exchange.path):
            case ("GET", "/_ledger"):
                exchange.reply_json(200, msgspec.json.encode(self.ledger_document()))
                if "clear" in exchange.query:
                    self.clear_ledger()
            case ("POST", "/_control"):
                self.control(exchange)
            case ("GET", "/_probe"):
                self.after_network(exchange, self.probe)
            case _:
                self.after_network(exchange, self.work)

    def one_way_s(self, exchange: Exchange) -> float:
        """Give the one-way network delay between the source and this target."""
        return self.settings.delay_ms_by_source.get(exchange.source, 0.0) / 1000

    def after_network(self, exchange: Exchange, action) -> None:
        """Act on a request when it would have arrived; a new connection costs its set-up."""
        delay_s = self.one_way_s(exchange)
        connection = exchange.connection
        set_up_s = self.settings.connect_ms / 1000 + 2 * delay_s
        at = max(exchange.received_at, connection.opened_at + set_up_s) + delay_s
        if at <= self.loop.time():
            action(exchange)
        else:
            timer = self.loop.call_at(at, action, exchange)
            exchange.on_cancel = timer.cancel

    def answer(self, exchange: Exchange, status: int, headers: list, body: bytes) -> None:
        """Answer with the load report, after the network delay."""
        refused = ("x-not-run", "1") in headers
        in_flight, queued = self.current_report()
        headers = [
            *headers,
            ("x-request-id", exchange.headers.get("x-request-id", "")),
            ("x-target", self.settings.name),
            ("x-load", f"in_flight={in_flight};queued={queued}"),
            ("x-body-crc", f"{zlib.crc32(body):08x}"),
        ]
        if self.drain_started_at < math.inf and (refused or self.switches.announce == "answers"):
            headers.append(("x-leaving", "1"))
            if not self.announcements or self.announcements[-1] < self.drain_started_at:
                self.announcements.append(self.loop.time())
        delay_s = self.one_way_s(exchange)
        if delay_s > 0:
            self.loop.call_later(delay_s, exchange.reply, status, headers, body)
        else:
            exchange.reply(status, headers, body)

    def current_report(self) -> tuple[int, int]:
        """Give the in-flight and queued counts that the target reports."""
        return self.report.read(
            self.switches, self.loop.time(), self.slots.in_flight, len(self.slots.queue)
        )

    def record_load(self) -> None:
        """Keep the current load for lagging reports."""
        self.report.record(
            self.loop.time(),
            self.slots.in_flight,
            len(self.slots.queue),
            self.switches.report_lag_ms / 1000,
        )

    def refuse(self, exchange: Exchange, reason: str) -> None:
        """Refuse a request that was not run."""
        self.refusals += 1
        self.answer(exchange, 503, [("x-not-run", "1")], reason.encode())

    def refusal(self) -> str | None:
        """Say why a new request is refused; None accepts it."""
        now = self.loop.time()
        switches = self.switches
        queued = len(self.slots.queue)
        if now >= self.drain_started_at + switches.drain_notice_ms / 1000:
            return "draining"
        if switches.shed > 0 and self.generator.random() < switches.shed:
            return "shedding load"
        if 0 <= switches.shed_above_queue <= queued and self.slots.free == 0:
            return "shedding load"
        if queued >= self.settings.queue_length:
            return "queue full"
        return None

    def work(self, exchange: Exchange) -> None:
        """Accept or refuse one request."""
        now = self.loop.time()
        self.arrivals.append(now)
        reason = self.refusal()
        if reason is not None:
            self.refuse(exchange, reason)
            return
        self.accepted_arrivals.append(now)
        execution = Execution(exchange.method, exchange.path, exchange.headers, now)
        if self.switches.fail_fast > 0 and self.generator.random() < self.switches.fail_fast:
            self.start_execution(exchange, execution)
            self.end_execution(execution, ENDED_FAILED)
            self.answer(exchange, 500, [], b"failed at once")
            return
        self.submit(exchange, execution, deadline_of(exchange.headers, exchange.received_at))

    def submit(self, exchange: Exchange, execution: Execution, deadline: float) -> None:
        """Run a request in a slot."""

        def start() -> None:
            self.start_execution(exchange, execution)

        def done() -> None:
            self.finish_work(exchange, execution, deadline)

        def expired(started: bool) -> None:
            self.open_work -= 1
            if started:
                self.end_execution(execution, ENDED_EXPIRED)
                self.answer(exchange, 504, [], b"deadline passed")
            else:
                self.refuse(exchange, "deadline passed in the queue")
            self.record_load()

        def cancelled() -> None:
            self.open_work -= 1
            if self.slots.cancel(job):
                self.end_execution(execution, ENDED_CANCELLED)
            else:
                self.dropped_in_queue += 1
            self.record_load()

        def service_s() -> float:
            return self.service_s(exchange)

        job = Job(service_s, deadline, start, done, expired)
        self.open_work += 1
        exchange.on_cancel = cancelled
        self.slots.submit(job)
        self.record_load()

    def service_s(self, exchange: Exchange) -> float:
        """Give a service time, slowed by the switches.

        A request may bring the quantile of its service time, so that the variants of an experiment
        do the same work.
        """
        text = exchange.headers.get("x-work-quantile")
        quantile = self.generator.random() if text is None else min(float(text), LARGEST_QUANTILE)
        settings = self.settings
        drawn = service_time_s(quantile, settings.service_distribution, settings.service_ms / 1000)
        return drawn * self.switches.slow_factor * self.cold_factor()

    def cold_factor(self) -> float:
        """Give the slow-down of a cold start, which falls linearly to one."""
        switches = self.switches
        if switches.cold_start_ms <= 0:
            return 1.0
        passed = (self.loop.time() - self.started_at) * 1000 / switches.cold_start_ms
        return 1.0 + (switches.cold_factor - 1.0) * max(1.0 - passed, 0.0)

    def start_execution(self, exchange: Exchange, execution: Execution) -> None:
        """Enter an execution into the ledger."""
        execution.started_at = self.loop.time()
        key = exchange.headers.get("x-request-id", "")
        self.ledger.setdefault(key, []).append(execution)

    def end_execution(self, execution: Execution, how: str) -> None:
        """Complete an execution in the ledger."""
        execution.ended = how
        execution.ended_at = self.loop.time()

    def finish_work(self, exchange: Exchange, execution: Execution, deadline: float) -> None:
        """Answer, or first make the nested call of a chain."""
        chain = chain_of(exchange.headers)
        if not chain:
            self.complete(exchange, execution, None)
            return
        task = asyncio.ensure_future(
            call_next(exchange.method, exchange.path, exchange.headers, chain, deadline)
        )
        task.add_done_callback(
            lambda done: done.cancelled() or self.complete(exchange, execution, done.result())
        )

        def cancelled() -> None:
            task.cancel()
            self.open_work -= 1
            self.end_execution(execution, ENDED_CANCELLED)

        exchange.on_cancel = cancelled

    def complete(
        self, exchange: Exchange, execution: Execution, nested: NestedAnswer | None
    ) -> None:
        """Answer a request; a nested failure becomes 503 or 502 and keeps its retry marker."""
        exchange.on_cancel = None
        self.open_work -= 1
        self.record_load()
        headers = []
        status = 200
        if nested is not None and nested.status != 200:
            status = 503 if nested.status == 503 else 502
            if "x-poplar-retried" in nested.headers:
                headers.append(("x-poplar-retried", nested.headers["x-poplar-retried"]))
        self.end_execution(execution, ENDED_DONE if status == 200 else ENDED_FAILED)
        self.answer(exchange, status, headers, self.answer_body(exchange))

    def answer_body(self, exchange: Exchange) -> bytes:
        """Build the request id followed by seeded random bytes."""
        wanted = int(exchange.headers.get("x-answer-bytes", ANSWER_BYTES))
        request_id = exchange.headers.get("x-request-id", "").encode() + b"\n"
        return request_id + self.generator.randbytes(min(wanted, MAX_ANSWER_BYTES))

    def probe(self, exchange: Exchange) -> None:
        """Answer a probe after it has cost its time in a slot."""
        self.probes.append((self.loop.time(), exchange.source))
        cost_s = self.settings.probe_ms / 1000
        self.probe_time_s += cost_s
        if cost_s <= 0:
            self.answer_probe(exchange)
            return

        def start() -> None:
            pass

        def expired(_started: bool) -> None:
            pass

        job = Job(lambda: cost_s, math.inf, start, lambda: self.answer_probe(exchange), expired)
        exchange.on_cancel = lambda: self.slots.cancel(job)
        self.slots.submit(job)

    def answer_probe(self, exchange: Exchange) -> None:
        """Answer a probe with the load report."""
        exchange.on_cancel = None
        in_flight, queued = self.current_report()
        leaving = self.drain_started_at < math.inf
        document = {"in_flight": in_flight, "queued": queued, "leaving": leaving}
        headers = [("content-type", "application/json")]
        self.answer(exchange, 200, headers, msgspec.json.encode(document))

    def control(self, exchange: Exchange) -> None:
        """Change the switches named in the body and keep the others."""
        try:
            update = msgspec.json.decode(exchange.body)
            merged = msgspec.structs.asdict(self.switches) | update
            switches = msgspec.convert(merged, Switches)
        except (msgspec.MsgspecError, TypeError) as error:
            exchange.reply_json(400, {"error": str(error)})
            return
        self.apply(switches)
        log("switches_changed", switches=msgspec.json.encode(update).decode())
        now = self.loop.time()
        exchange.reply_json(200, {"now": now, **msgspec.structs.asdict(self.switches)})

    def apply(self, switches: Switches) -> None:
        """Put switches in force."""
        now = self.loop.time()
        if switches.report == "frozen" and self.switches.report != "frozen":
            self.report.frozen = self.current_report()
        if switches.cold_start_ms != self.switches.cold_start_ms:
            self.started_at = now
        if not switches.drain:
            self.drain_started_at = math.inf
        elif self.drain_started_at == math.inf:
            self.drain_started_at = now
        if switches.closed_ms > 0 and self.switches.closed_ms <= 0:
            asyncio.ensure_future(self.close_for_a_while(switches.closed_ms / 1000))
        self.switches = switches

    async def close_for_a_while(self, closed_s: float) -> None:
        """Close the listener and idle connections, and accept again later."""
        await self.server.close_idle()
        await asyncio.sleep(closed_s)
        await self.server.listen(self.settings.listen_address, self.settings.listen_port)
        self.switches = msgspec.structs.replace(self.switches, closed_ms=0.0)

    def clear_ledger(self) -> None:
        """Forget what has been read."""
        self.ledger.clear()
        self.arrivals.clear()
        self.accepted_arrivals.clear()
        self.probes.clear()
        self.probe_time_s = 0.0

    def ledger_document(self) -> dict[str, Any]:
        """Show executions, arrivals and probes."""
        drain = self.drain_started_at
        return {
            "target": self.settings.name,
            "now": self.loop.time(),
            "executions": {
                key: [execution.document() for execution in executions]
                for key, executions in self.ledger.items()
            },
            "arrivals": self.arrivals,
            "accepted_arrivals": self.accepted_arrivals,
            "drain_started_at": None if drain == math.inf else drain,
            "announcements": self.announcements,
            "probes": self.probes,
            "probe_time_s": self.probe_time_s,
            "refusals": self.refusals,
            "dropped_in_queue": self.dropped_in_queue,
            "in_flight": self.slots.in_flight,
            "queued": len(self.slots.queue),
        }


async def drain_and_stop(target: Target, server: HttpServer) -> None:
    """Refuse new requests, finish the running ones, and leave when the entries have left."""
    target.apply(msgspec.structs.replace(target.switches, drain=True))
    limit = target.drain_started_at + target.switches.drain_notice_ms / 1000 + STOP_LINGER_S
    while target.open_work > 0 or server.connections:
        if target.open_work == 0 and asyncio.get_running_loop().time() > limit:
            break
        await asyncio.sleep(STOP_POLL_S)
    server.close()
    if target.settings.ledger_file:
        with Path(target.settings.ledger_file).open("ab") as file:
            file.write(msgspec.json.encode(target.ledger_document()) + b"\n")


def main() -> None:
    """Run the stand-in target."""
    settings = settings_from_arguments(TargetSettings, "Stand in for a target.")

    async def start():
        target = Target(settings)
        server = target.server = HttpServer(target.handle, settings.max_connections)
        await server.listen(settings.listen_address, settings.listen_port)

        async def stop() -> None:
            await drain_and_stop(target, server)

        return stop

    run_daemon(settings, start)

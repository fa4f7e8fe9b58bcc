"""The entry's shell: turns socket and timer activity into events for the reducer."""

import asyncio
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol

from poplarlane.decisions.entry_events import (
    AttemptFailed,
    AttemptSent,
    CallerDisconnected,
    EntryEvent,
    EntryPaused,
    FailureCause,
    ProbeAnswered,
    ProbeFailed,
    ReportDue,
    RequestArrived,
    RequestMalformed,
    ResponseCompleted,
    ResponseStarted,
    StopSignalled,
    TimerFired,
    ViewReceived,
)
from poplarlane.decisions.entry_state import EntryState
from poplarlane.decisions.reducer import reduce
from poplarlane.decisions.requests import may_run_pipelined
from poplarlane.error_text import error_text
from poplarlane.logs import log
from poplarlane.messages import EntryHello, EntryReport, ViewUpdate
from poplarlane.metrics import Metrics
from poplarlane.outcomes import MalformedRequest, NotRun
from poplarlane.plumbing.acceptor import Acceptor, bind_listener
from poplarlane.plumbing.caller_requests import CallerRequest
from poplarlane.plumbing.callers import CallerConnection
from poplarlane.plumbing.entry_execute import IDLE_LINGER_S, execute
from poplarlane.plumbing.exchanges import Exchange
from poplarlane.plumbing.header_names import DEFAULT_HEADERS, HeaderNames
from poplarlane.plumbing.heads import service_host
from poplarlane.plumbing.pauses import PauseDetector
from poplarlane.plumbing.target_pools import ConnectionPool
from poplarlane.settings import EntrySettings, seeded_generator
from poplarlane.types import Target

if TYPE_CHECKING:
    from poplarlane.traces import Tracer

REPORT_INTERVAL_S = 0.5
SWEEP_INTERVAL_S = 0.1
TIMER_RETRY_S = 0.1
# Idle connections to targets are closed some seconds before their targets close them.
POOL_SWEEP_INTERVAL_S = 0.5
FAULT_LOGS_PER_S = 20
MAX_CACHED_SOURCES = 4_096
DEFAULT_CONNECTION_LIMIT = 13


class Link(Protocol):
    """Say what an entry needs of its link to the control work."""

    def start(self) -> None:
        """Receive in the background."""

    def send(self, message: EntryHello | EntryReport) -> None:
        """Send a message, or drop it."""

    def close(self) -> None:
        """End the link."""


# A plain dictionary beside singledispatch's own cache, whose weak references cost 0.5 us a call.
HANDLERS: dict[type, Callable] = {}


def handler_of(function: Any, kind: type) -> Callable:
    """Give the handler that singledispatch chooses for a class of events or effects."""
    handler = HANDLERS.get(kind)
    if handler is None:
        handler = HANDLERS[kind] = function.dispatch(kind)
    return handler


class EntryShell:
    """Own the sockets, timers and random source of one entry."""

    __slots__ = (
        "settings",
        "state",
        "metrics",
        "tracer",
        "trusted_networks",
        "random",
        "now",
        "loop",
        "link",
        "acceptor",
        "callers",
        "requests_by_id",
        "exchanges",
        "pools",
        "next_pool_sweep_at",
        "limits",
        "trusted_cache",
        "next_id",
        "timer",
        "tasks",
        "stopped",
        "head_timeout_s",
        "body_timeout_s",
        "idle_timeout_s",
        "results",
        "buffered_body_bytes",
        "stop_at",
        "faults_logged",
        "faults_logged_second",
        "pauses",
        "header_names",
        "max_head_bytes",
        "max_body_bytes",
        "target_idle_s",
        "make_link",
    )

    def __init__(
        self,
        settings: EntrySettings,
        state: EntryState,
        metrics: Metrics,
        tracer: "Tracer | None",
        trusted_networks: list,
        make_link: Callable[["EntryShell"], Link],
        header_names: HeaderNames = DEFAULT_HEADERS,
    ) -> None:
        self.settings = settings
        self.state = state
        self.metrics = metrics
        self.tracer = tracer
        self.trusted_networks = trusted_networks
        self.random = seeded_generator(settings)
        self.now = time.monotonic
        self.loop: asyncio.AbstractEventLoop
        self.link: Link
        self.make_link = make_link
        self.header_names = header_names
        self.acceptor: Acceptor
        self.callers: dict[int, CallerConnection] = {}
        self.requests_by_id: dict[int, CallerRequest] = {}
        self.exchanges: dict[int, Exchange] = {}
        self.pools: dict[tuple[str, int], ConnectionPool] = {}
        self.next_pool_sweep_at = 0.0
        self.limits: dict[tuple[str, int], int] = {}
        self.trusted_cache: dict[str, bool] = {}
        self.next_id = 1
        self.timer: asyncio.TimerHandle | None = None
        self.tasks: set[asyncio.Task] = set()
        self.stopped: asyncio.Event
        self.head_timeout_s = settings.head_timeout_ms / 1000.0
        self.body_timeout_s = settings.body_timeout_ms / 1000.0
        self.idle_timeout_s = settings.idle_timeout_ms / 1000.0
        self.max_head_bytes = settings.max_head_bytes
        self.max_body_bytes = settings.max_body_bytes
        self.target_idle_s = settings.target_idle_ms / 1000.0
        # Earliest instant at which a drained entry ends; 0 while it accepts.
        self.stop_at = 0.0
        # Faults of targets logged in the current second.
        self.faults_logged = 0
        self.faults_logged_second = 0
        # Bytes of request bodies in memory, over all callers.
        self.buffered_body_bytes = 0
        self.pauses = PauseDetector()
        # Answers by result code.
        self.results: dict[int, int] = {}

    async def start(self) -> None:
        """Bind the port, connect to the agent and start the periodic work."""
        settings = self.settings
        self.loop = asyncio.get_running_loop()
        self.stopped = asyncio.Event()
        listener = bind_listener(settings.listen_address, settings.listen_port)
        self.acceptor = Acceptor(listener, lambda: CallerConnection(self))
        self.link = self.make_link(self)
        self.link.start()
        self.sweep()
        self.report()

    def feed(self, event: EntryEvent) -> None:
        """Handle one event, and first a pause before it."""
        # An attempt that is just being sent cannot be taken back.
        if type(event) is not AttemptSent:
            self.check_for_pause()
        self.apply(event)

    def check_for_pause(self) -> None:
        """Report a pause of this process, before anything else is done after it."""
        gap_s = self.pauses.step()
        if gap_s:
            self.apply(EntryPaused(self.now(), self.draw(), gap_s))

    def apply(self, event: EntryEvent) -> None:
        """Reduce one event and execute its effects; one that fails does not stop the others."""
        for effect in handler_of(reduce, type(event))(event, self.state):
            try:
                handler_of(execute, type(effect))(effect, self)
            except Exception as error:
                name = type(effect).__name__
                log("effect_failed", "error", effect=name, reason=error_text(error))

    def draw(self) -> int:
        """Draw 64 random bits."""
        return self.random.getrandbits(64)

    def new_id(self) -> int:
        """Give a number that is unique in this process."""
        self.next_id += 1
        return self.next_id

    # Callers.

    def caller_opened(self, caller: CallerConnection) -> None:
        """Register a caller, or close its connection when there are too many."""
        if len(self.callers) >= self.settings.max_caller_connections:
            self.metrics.count("caller_refused_total", {})
            caller.closing = True
            caller.transport.abort()
            return
        caller.caller_id = self.new_id()
        caller.trusted = self.is_trusted(caller.source)
        caller.expires_at = self.now() + self.idle_timeout_s
        if not self.state.accepting:
            caller.close_after = True
            caller.expires_at = self.now() + IDLE_LINGER_S
        self.callers[caller.caller_id] = caller

    def is_trusted(self, source: str) -> bool:
        """Tell whether headers about the caller are accepted from this address."""
        known = self.trusted_cache.get(source)
        if known is None:
            known = any(network.contains(source) for network in self.trusted_networks)
            if len(self.trusted_cache) >= MAX_CACHED_SOURCES:
                self.trusted_cache.clear()
            self.trusted_cache[source] = known
        return known

    def caller_closed(self, caller: CallerConnection) -> None:
        """Forget a caller and report the requests that it leaves behind."""
        self.callers.pop(caller.caller_id, None)
        abandoned = list(caller.requests)
        caller.requests.clear()
        self.buffered_body_bytes -= caller.body_bytes + sum(
            len(request.body) for request in abandoned
        )
        for request in abandoned:
            if self.requests_by_id.pop(request.request_id, None) is not None:
                self.feed(CallerDisconnected(self.now(), self.draw(), request.request_id))

    def may_run_pipelined(self, request: CallerRequest) -> bool:
        """Tell whether a request may be worked on before the answers before it are written."""
        head = request.head
        self.metrics.count("requests_in_turn_total", {})
        return may_run_pipelined(
            self.state,
            service_host(head.host),
            head.method.decode("ascii"),
            head.path.decode("latin-1"),
        )

    def request_read(self, request: CallerRequest) -> None:
        """Report a whole request."""
        head = request.head
        request_id = self.new_id()
        request.request_id = request_id
        self.requests_by_id[request_id] = request
        host = service_host(head.host)
        method = head.method.decode("ascii")
        if self.tracer is not None:
            request.span = self.tracer.start(method, host, head.traceparent.decode("latin-1"))
        deadline_ms = head.deadline_ms
        if deadline_ms is not None:
            # The caller counts from its sending, also while earlier answers were due.
            deadline_ms = max(0.0, deadline_ms - (self.now() - request.read_at) * 1000.0)
        self.feed(
            RequestArrived(
                self.now(),
                self.random.getrandbits(64),
                request_id,
                host,
                method,
                head.path.decode("latin-1"),
                head.labels,
                deadline_ms,
                head.attempt,
                head.retried,
                head.hedged_above,
                head.request_id.decode("latin-1"),
            )
        )

    def malformed(self, caller: CallerConnection, refusal: MalformedRequest | NotRun) -> None:
        """Report input from which no request could be read."""
        event = RequestMalformed(self.now(), self.draw(), caller.caller_id, caller.source, refusal)
        self.feed(event)

    # Targets.

    def pool(self, target: Target) -> ConnectionPool:
        """Give the connection pool of a target's address."""
        key = (target.address, target.port)
        pool = self.pools.get(key)
        if pool is None:
            pool = ConnectionPool(target, self.limits.get(key, DEFAULT_CONNECTION_LIMIT))
            self.pools[key] = pool
        return pool

    def handle_response_data(self, exchange: Exchange, data: bytes) -> None:
        """Hold body bytes, or pass them on once the answer is too large to be held."""
        request = exchange.streaming_to
        if request is not None:
            request.write_body(data)
            return
        exchange.parts.append(bytes(data))
        exchange.buffered_bytes += len(data)
        if exchange.buffered_bytes > self.settings.hold_answer_bytes:
            metadata = exchange.head.metadata
            self.feed(ResponseStarted(self.now(), self.draw(), exchange.attempt_id, metadata))

    def response_read(self, exchange: Exchange) -> None:
        """Report a whole answer; an attempt that was given up is ignored by the reducer."""
        metadata = exchange.head.metadata
        if exchange.is_probe:
            self.exchanges.pop(exchange.attempt_id, None)
            self.feed(ProbeAnswered(self.now(), self.draw(), exchange.attempt_id, metadata))
            return
        self.feed(
            ResponseCompleted(
                self.now(), self.random.getrandbits(64), exchange.attempt_id, metadata
            )
        )
        self.exchanges.pop(exchange.attempt_id, None)

    def exchange_failed(self, exchange: Exchange, cause: FailureCause, detail: str) -> None:
        """Report an attempt or a probe that ended without a whole answer."""
        self.exchanges.pop(exchange.attempt_id, None)
        if exchange.is_probe:
            self.feed(ProbeFailed(self.now(), self.draw(), exchange.attempt_id))
            return
        if cause is FailureCause.ANSWER_INVALID:
            self.log_limited("answer_invalid", attempt=exchange.attempt_id, reason=detail)
        self.feed(AttemptFailed(self.now(), self.draw(), exchange.attempt_id, cause, detail))

    def log_connection_fault(self, target: Target, reason: str) -> None:
        """Log what is wrong with a connection that carries no request."""
        self.metrics.count("target_connection_fault_total", {"target": target.name})
        self.log_limited("target_connection_fault", target=target.name, reason=reason)

    def log_limited(self, event: str, **fields: object) -> None:
        """Log a fault of a target unless many were logged in this second."""
        second = int(self.now())
        if second != self.faults_logged_second:
            self.faults_logged_second = second
            self.faults_logged = 0
        self.faults_logged += 1
        if self.faults_logged <= FAULT_LOGS_PER_S:
            log(event, "warning", **fields)

    # Control.

    def view_received(self, view: ViewUpdate) -> None:
        """Report a view from the agent."""
        self.feed(ViewReceived(self.now(), self.draw(), view))

    def timer_fired(self) -> None:
        """Report that the timer is due, and again soon when the report fails."""
        self.timer = None
        try:
            self.feed(TimerFired(self.now(), self.draw()))
        except Exception as error:
            # The reducer believes that the timer is set; without it no deadline would ever pass.
            log("timer_failed", "error", reason=error_text(error))
            if self.timer is None:
                self.timer = self.loop.call_later(TIMER_RETRY_S, self.timer_fired)

    def stop_signalled(self) -> None:
        """Report a signal to stop."""
        self.feed(StopSignalled(self.now(), self.draw()))

    def report(self) -> None:
        """Report to the agent, and again after the interval."""
        self.loop.call_later(REPORT_INTERVAL_S, self.report)
        self.feed(ReportDue(self.now(), self.draw()))

    def sweep(self) -> None:
        """Expire slow callers and idle connections, and again after the interval."""
        self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)
        self.check_for_pause()
        now = self.now()
        expired = [
            caller
            for caller in self.callers.values()
            if 0.0 < caller.expires_at <= now and (caller.is_lingering or not caller.closing)
        ]
        for caller in expired:
            caller.expire()
        if now >= self.next_pool_sweep_at:
            self.next_pool_sweep_at = now + POOL_SWEEP_INTERVAL_S
            for pool in self.pools.values():
                pool.close_idle(now)
        is_drained = not self.callers and not self.acceptor.tasks and not self.state.requests
        if is_drained and 0.0 < self.stop_at <= now:
            self.stopped.set()

    async def close(self) -> None:
        """Close everything that is left."""
        self.link.close()
        for pool in self.pools.values():
            pool.set_limit(-1)
        if self.tracer is not None:
            self.tracer.close()

"""I/O shell of the entry: turns socket and timer activity into events for the reducer."""

import asyncio
import socket
import time
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol

import h11

from poplarlane.decisions.reducer import reduce
from poplarlane.decisions.requests.entry_events import (
    AttemptFailed,
    AttemptSent,
    CallerDisconnected,
    EntryEvent,
    EntryPaused,
    FailureCause,
    InterimReceived,
    ProbeAnswered,
    ProbeFailed,
    ProcessHalted,
    ReportDue,
    RequestArrived,
    RequestMalformed,
    ResponseCompleted,
    ResponseStarted,
    StopSignalled,
    TimerFired,
    ViewReceived,
)
from poplarlane.decisions.requests.entry_state import EntryState
from poplarlane.decisions.requests.requests import may_run_pipelined
from poplarlane.error_text import error_text
from poplarlane.logs import log
from poplarlane.messages import EntryHello, EntryReport, ViewUpdate
from poplarlane.metrics import Metrics
from poplarlane.outcomes import MalformedRequest, NotRun, ResultCode
from poplarlane.plumbing.acceptor import Acceptor, bind_listener
from poplarlane.plumbing.caller_requests import CallerRequest
from poplarlane.plumbing.callers import CallerConnection
from poplarlane.plumbing.entry_execute import IDLE_LINGER_S, execute
from poplarlane.plumbing.exchanges import Exchange
from poplarlane.plumbing.header_names import DEFAULT_HEADERS, HeaderNames
from poplarlane.plumbing.heads import read_response_head, service_host
from poplarlane.plumbing.memory_account import MemoryAccount
from poplarlane.plumbing.pauses import HaltDetector, PauseDetector
from poplarlane.plumbing.target_pools import ConnectionPool
from poplarlane.plumbing.turn_meter import TurnMeter
from poplarlane.plumbing.turns import TurnQueue
from poplarlane.settings import EntrySettings, seeded_generator
from poplarlane.start_timeline import REPORT_AFTER_S, StartTimeline
from poplarlane.types import Target

if TYPE_CHECKING:
    from poplarlane.plumbing.unreadable_objects import UnreadableObjects
    from poplarlane.traces import Tracer

# Callers may wait this long for a node that is starting; with its store away it takes longer, and
# they are better off at another node.
HOLD_CALLERS_S = 0.5
REPORT_INTERVAL_S = 0.5
SWEEP_INTERVAL_S = 0.1
TIMER_RETRY_S = 0.1
# Precise enough, because idle connections are closed seconds before targets close them.
POOL_SWEEP_INTERVAL_S = 0.5
FAULT_LOGS_PER_S = 20
BYTES_PER_MB = 1_000_000
# Smaller responses mostly arrive and leave at once; counting them would cost time per request.
UNCOUNTED_RESPONSE_BYTES = 65_536
MAX_CACHED_SOURCES = 4_096
DEFAULT_CONNECTION_LIMIT = 13


class Link(Protocol):
    """Interface between an entry and its source of configuration: an agent or a store."""

    def start(self) -> None:
        """Start receiving in the background."""

    def send(self, message: EntryHello | EntryReport) -> None:
        """Send a message; it may be dropped."""

    def notify_fleet(self) -> None:
        """Send what other nodes have to know at once, where nodes exchange messages."""

    def unreadable_objects(self) -> "list[UnreadableObjects]":
        """Return the objects of a store that cannot be used, by kind and cause."""

    def close(self) -> None:
        """Close the link."""


# Caches singledispatch lookups; its own cache uses weak references and costs 0.5 us a call.
HANDLERS: dict[type, Callable] = {}


def handler_of(function: Any, kind: type) -> Callable:
    """Return the singledispatch handler for a class of events or effects."""
    handler = HANDLERS.get(kind)
    if handler is None:
        handler = HANDLERS[kind] = function.dispatch(kind)
    return handler


class EntryShell:
    """Own the sockets, timers and random generator of one entry."""

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
        "memory",
        "stop_at",
        "faults_logged",
        "faults_logged_second",
        "pauses",
        "halts",
        "header_names",
        "max_head_bytes",
        "max_body_bytes",
        "target_idle_s",
        "make_link",
        "events",
        "is_processing",
        "turns",
        "sweep_at",
        "meter",
        "timeline",
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
        meter: TurnMeter | None = None,
        timeline: StartTimeline | None = None,
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
        # When the next sweep is due; it is later by the lag of the loop.
        self.sweep_at = 0.0
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
        # Earliest time at which a drained entry may stop; 0 while it accepts connections.
        self.stop_at = 0.0
        # Log lines about faults of targets in the current second.
        self.faults_logged = 0
        self.faults_logged_second = 0
        self.memory = MemoryAccount(settings.memory_mb * BYTES_PER_MB)
        self.pauses = PauseDetector()
        self.halts = HaltDetector(self.now())
        # Connections with long input, and what the turns of the loop do.
        self.turns: TurnQueue
        self.meter = meter or TurnMeter()
        self.timeline = timeline or StartTimeline(self.now)
        # Events that wait, and whether one of them is being processed.
        self.events: deque[EntryEvent] = deque()
        self.is_processing = False
        # Number of responses by result code.
        self.results: dict[int, int] = {}

    async def start(self, listener: socket.socket | None = None) -> None:
        """Bind the port unless it is already, connect to the agent, start the periodic work."""
        settings = self.settings
        self.loop = asyncio.get_running_loop()
        self.stopped = asyncio.Event()
        self.halts.step(self.now())
        self.turns = TurnQueue(self.loop, self.meter.note)
        if listener is None:
            listener = bind_listener(settings.listen_address, settings.listen_port)
        else:
            self.loop.call_later(HOLD_CALLERS_S, self.drop_waiting_callers)
        self.acceptor = Acceptor(listener, lambda: CallerConnection(self))
        self.link = self.make_link(self)
        self.link.start()
        self.sweep()
        self.report()
        self.loop.call_later(REPORT_AFTER_S, self.log_start)

    def drop_waiting_callers(self) -> None:
        """Reset the callers that wait for an entry that is still not ready."""
        if not self.state.ready:
            log("waiting_callers_dropped", "warning")
        self.acceptor.drop_waiting()

    def feed(self, event: EntryEvent) -> None:
        """Process one event, after reporting a pause of this process if there was one.

        An event that an effect raises waits until the other effects of the same event have been
        executed: the reducer must not change the state under effects that it has already decided.
        """
        self.events.append(event)
        self.process_events(event)

    def check_for_pause(self) -> None:
        """Report a pause of this process to the reducer before any other event."""
        self.note_pause()
        self.process_events()

    def note_pause(self) -> None:
        """Put a pause or halt of this process before the events that wait."""
        gap_s = self.pauses.step()
        now = self.now()
        halt_s = self.halts.step(now)
        if gap_s:
            self.events.appendleft(EntryPaused(now, self.random_value(), gap_s))
        if halt_s:
            self.events.appendleft(ProcessHalted(now, 0, halt_s))

    def process_events(self, fed: EntryEvent | None = None) -> None:
        """Process the events that wait, unless one is being processed.

        Only a failure of the event `fed` is raised; whoever feeds it must not fail by another one.
        """
        if self.is_processing:
            return
        self.is_processing = True
        failure: Exception | None = None
        try:
            while self.events:
                self.note_pause()
                event = self.events.popleft()
                self.meter.note(type(event).__name__)
                try:
                    self.apply(event)
                except Exception as error:
                    if event is fed:
                        failure = error
                    else:
                        kind, reason = type(event).__name__, error_text(error)
                        log("event_failed", "error", kind=kind, reason=reason)
        finally:
            # Even a log line may fail. Events that are left are processed with the next one.
            self.is_processing = False
        if failure is not None:
            raise failure

    def apply(self, event: EntryEvent) -> None:
        """Reduce one event and execute its effects; a failing effect does not stop the others."""
        for effect in handler_of(reduce, type(event))(event, self.state):
            try:
                handler_of(execute, type(effect))(effect, self)
            except Exception as error:
                name = type(effect).__name__
                log("effect_failed", "error", effect=name, reason=error_text(error))

    def random_value(self) -> int:
        """Draw 64 random bits."""
        return self.random.getrandbits(64)

    def count_result(self, code: ResultCode) -> None:
        """Count a response to a caller."""
        self.results[code] = self.results.get(code, 0) + 1
        self.timeline.count(code)

    def log_start(self) -> None:
        """Log how this entry started."""
        log("start_timeline", **self.timeline.log_fields())

    def new_id(self) -> int:
        """Return an ID that is unique in this process."""
        self.next_id += 1
        return self.next_id

    # Callers.

    def caller_opened(self, caller: CallerConnection) -> None:
        """Register a caller, or close its connection when the limit is reached."""
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
        """Return whether this address may set headers that describe the caller."""
        known = self.trusted_cache.get(source)
        if known is None:
            known = any(network.contains(source) for network in self.trusted_networks)
            if len(self.trusted_cache) >= MAX_CACHED_SOURCES:
                self.trusted_cache.clear()
            self.trusted_cache[source] = known
        return known

    def caller_closed(self, caller: CallerConnection) -> None:
        """Remove a caller and report its outstanding requests as abandoned."""
        self.callers.pop(caller.caller_id, None)
        abandoned = list(caller.requests)
        caller.requests.clear()
        if caller.is_awaiting_memory:
            caller.is_awaiting_memory = False
            self.memory.stop_waiting(caller)
        held = caller.reserved + caller.unread_bytes
        held += sum(request.body_bytes + request.buffered_bytes for request in abandoned)
        if held:
            self.memory.release(held)
        for request in abandoned:
            if self.requests_by_id.pop(request.request_id, None) is not None:
                self.feed(CallerDisconnected(self.now(), self.random_value(), request.request_id))

    def may_run_pipelined(self, request: CallerRequest) -> bool:
        """Return whether a pipelined request may be processed before earlier responses end."""
        head = request.head
        self.metrics.count("requests_in_turn_total", {})
        return may_run_pipelined(
            self.state,
            service_host(head.host),
            head.method.decode("ascii"),
            head.path.decode("latin-1"),
        )

    def request_read(self, request: CallerRequest) -> None:
        """Report a complete request to the reducer."""
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
            # The deadline includes the time spent waiting behind earlier requests.
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
                request,
                head.key_digest,
            )
        )

    def malformed(self, caller: CallerConnection, refusal: MalformedRequest | NotRun) -> None:
        """Report input that is not a valid request."""
        event = RequestMalformed(
            self.now(), self.random_value(), caller.caller_id, caller.source, refusal
        )
        self.feed(event)

    # Targets.

    def pool(self, target: Target) -> ConnectionPool:
        """Return the connection pool of a target's address."""
        key = (target.address, target.port)
        pool = self.pools.get(key)
        if pool is None:
            pool = ConnectionPool(target, self.limits.get(key, DEFAULT_CONNECTION_LIMIT))
            self.pools[key] = pool
        return pool

    def is_withdrawn(self, attempt_id: int, request_id: int, target: Target) -> bool:
        """Return whether an attempt that was not sent yet has been given up, and log it if so.

        The reducer may give up an attempt in the event that starts it, or before its connection is
        open. The caller may have been told by then that the request was not run.
        """
        if attempt_id in self.state.attempts:
            return False
        self.metrics.count("withdrawn_attempt_total", {})
        request = self.requests_by_id.get(request_id)
        trace_id = request.head.request_id.decode("latin-1") if request is not None else ""
        fields = {"id": trace_id, "attempt": attempt_id, "target": target.name}
        self.log_limited("attempt_withdrawn", "info", **fields)
        return True

    def attempt_sent(self, attempt_id: int) -> None:
        """Report that the first byte of an attempt is about to be written."""
        # Must not wait for other events: from here on the attempt cannot be taken back.
        self.apply(AttemptSent(self.now(), 0, attempt_id))

    def handle_response_data(self, exchange: Exchange, data: bytes) -> None:
        """Buffer body bytes, or stream them once the response exceeds the buffer limit.

        While memory is short, a response that counts is streamed at once: many that each stay below
        the limit would need more than the VM has.
        """
        request = exchange.streaming_to
        if request is not None:
            request.write_body(data)
            return
        exchange.add_part(data)
        is_short = False
        if exchange.buffered_bytes > UNCOUNTED_RESPONSE_BYTES:
            uncounted = exchange.buffered_bytes - exchange.counted_bytes
            exchange.counted_bytes += uncounted
            self.memory.take(uncounted)
            is_short = self.memory.held > self.memory.limit
        if is_short or exchange.buffered_bytes > self.settings.hold_answer_bytes:
            metadata = exchange.head.metadata
            self.feed(
                ResponseStarted(self.now(), self.random_value(), exchange.attempt_id, metadata)
            )

    def release_parts(self, exchange: Exchange) -> None:
        """Take the buffered part of a response out of the memory account."""
        if exchange.counted_bytes:
            size, exchange.counted_bytes = exchange.counted_bytes, 0
            self.memory.release(size)

    def response_read(self, exchange: Exchange) -> None:
        """Report a complete response; the reducer ignores those of cancelled attempts."""
        metadata = exchange.head.metadata
        if exchange.is_probe:
            self.exchanges.pop(exchange.attempt_id, None)
            self.feed(ProbeAnswered(self.now(), self.random_value(), exchange.attempt_id, metadata))
            return
        self.feed(
            ResponseCompleted(
                self.now(), self.random.getrandbits(64), exchange.attempt_id, metadata
            )
        )
        self.exchanges.pop(exchange.attempt_id, None)
        self.release_parts(exchange)

    def interim_read(self, exchange: Exchange, event: h11.InformationalResponse) -> None:
        """Report what an interim response to a request says about its target."""
        if exchange.is_probe:
            return
        head = read_response_head(
            event.status_code, event.reason, event.headers.raw_items(), self.header_names
        )
        now, random_value = self.now(), self.random_value()
        self.feed(InterimReceived(now, random_value, exchange.attempt_id, head.metadata))

    def exchange_failed(self, exchange: Exchange, cause: FailureCause, detail: str) -> None:
        """Report an attempt or a probe that ended without a complete response."""
        self.exchanges.pop(exchange.attempt_id, None)
        self.release_parts(exchange)
        if exchange.is_probe:
            self.feed(ProbeFailed(self.now(), self.random_value(), exchange.attempt_id))
            return
        if cause is FailureCause.ANSWER_INVALID:
            self.log_limited("answer_invalid", attempt=exchange.attempt_id, reason=detail)
        self.feed(
            AttemptFailed(self.now(), self.random_value(), exchange.attempt_id, cause, detail)
        )

    def log_connection_fault(self, target: Target, reason: str) -> None:
        """Log a fault on a connection that carries no request."""
        self.metrics.count("target_connection_fault_total", {"target": target.name})
        self.log_limited("target_connection_fault", target=target.name, reason=reason)

    def log_limited(self, event: str, level: str = "warning", **fields: object) -> None:
        """Log a fault of a target or a withdrawn attempt, up to FAULT_LOGS_PER_S."""
        second = int(self.now())
        if second != self.faults_logged_second:
            self.faults_logged_second = second
            self.faults_logged = 0
        self.faults_logged += 1
        if self.faults_logged <= FAULT_LOGS_PER_S:
            log(event, level, **fields)

    # Control.

    def view_received(self, view: ViewUpdate) -> None:
        """Report a view received from the agent."""
        self.feed(ViewReceived(self.now(), self.random_value(), view))

    def timer_fired(self) -> None:
        """Report that the timer has fired; retry soon if the event fails."""
        self.timer = None
        try:
            self.feed(TimerFired(self.now(), self.random_value()))
        except Exception as error:
            # The reducer assumes that the timer is set; without it no deadline would expire.
            log("timer_failed", "error", reason=error_text(error))
            if self.timer is None:
                self.timer = self.loop.call_later(TIMER_RETRY_S, self.timer_fired)

    def stop_signalled(self) -> None:
        """Report a stop signal."""
        self.feed(StopSignalled(self.now(), self.random_value()))

    def report(self) -> None:
        """Trigger a report to the agent, every REPORT_INTERVAL_S."""
        self.loop.call_later(REPORT_INTERVAL_S, self.report)
        self.feed(ReportDue(self.now(), self.random_value()))

    def sweep(self) -> None:
        """Expire slow callers and idle connections, every SWEEP_INTERVAL_S."""
        began_at = self.now()
        lag_s = max(0.0, began_at - self.sweep_at) if self.sweep_at else 0.0
        self.sweep_at = began_at + SWEEP_INTERVAL_S
        self.loop.call_at(self.sweep_at, self.sweep)
        self.metrics.observe("loop_lag_seconds", {}, lag_s)
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
        """Close the link, the connections to targets and the tracer."""
        self.link.close()
        for pool in self.pools.values():
            pool.set_limit(-1)
        if self.tracer is not None:
            self.tracer.close()

"""Execution of the entry's effects, one handler for each type of effect."""

import asyncio
import gc
from functools import singledispatch
from typing import TYPE_CHECKING

from poplarlane.decisions.effects import Count, Effect, Log, Observe
from poplarlane.decisions.requests.entry_effects import (
    CancelAttempt,
    CheckProcess,
    CutAnswer,
    DeliverAnswer,
    FinishStream,
    NotifyFleet,
    ProbeTarget,
    RefuseCaller,
    RefuseRequest,
    SendRequest,
    SendToAgent,
    SetCallerLimits,
    SetConnectionLimit,
    SetTimer,
    StartAccepting,
    Stop,
    StopAccepting,
    StreamAnswer,
)
from poplarlane.decisions.requests.entry_events import FailureCause, ProcessChecked
from poplarlane.error_text import error_text
from poplarlane.logs import log
from poplarlane.outcomes import ResultCode
from poplarlane.plumbing.caller_requests import CallerRequest
from poplarlane.plumbing.exchanges import Exchange
from poplarlane.plumbing.heads import ResponseHead, error_response
from poplarlane.plumbing.process_checks import is_process_gone
from poplarlane.plumbing.target_pools import ConnectionPool
from poplarlane.plumbing.targets import CONNECT_TIMEOUT_S, TargetConnection

if TYPE_CHECKING:
    from poplarlane.plumbing.entry_shell import EntryShell

# A body up to this size is written together with its head.
JOINED_BODY_BYTES = 16_384
NO_BODY_STATUSES = (204, 304)
# Idle connections of callers stay open this long after the listener has closed.
IDLE_LINGER_S = 0.25


@singledispatch
def execute(effect: Effect, shell: "EntryShell") -> None:
    """Execute one effect."""
    raise TypeError(f"no handler for effect {type(effect).__name__}")


@execute.register(Log)
def execute_log(effect: Log, shell: "EntryShell") -> None:
    """Write a log line."""
    log(effect.event, effect.level, **effect.fields)


@execute.register(Count)
def execute_count(effect: Count, shell: "EntryShell") -> None:
    """Increment a counter."""
    shell.metrics.count(effect.metric, effect.labels, effect.amount)


@execute.register(Observe)
def execute_observe(effect: Observe, shell: "EntryShell") -> None:
    """Record a value in a histogram."""
    shell.metrics.observe(effect.metric, effect.labels, effect.time_s)


@execute.register(SendRequest)
def execute_send(effect: SendRequest, shell: "EntryShell") -> None:
    """Send a request on an idle connection, or open a new one, unless it has been withdrawn."""
    if shell.is_withdrawn(effect.attempt_id, effect.request_id, effect.target):
        return
    request = shell.requests_by_id[effect.request_id]
    head = request.head
    is_head = head.method == b"HEAD"
    data = request_bytes(effect, request, shell)
    exchange = Exchange(effect.attempt_id, effect.request_id, is_head, head.request_id, data)
    exchange.request = request
    if request.body_bytes > JOINED_BODY_BYTES:
        exchange.body = request.body
    shell.exchanges[effect.attempt_id] = exchange
    pool = shell.pool(effect.target)
    connection = pool.take(request.refused_on)
    if connection is not None:
        # AttemptSent must precede a failure, and a write can fail synchronously.
        shell.attempt_sent(effect.attempt_id)
        connection.send(exchange)
        return
    exchange.task = shell.loop.create_task(connect_and_send(exchange, pool, shell))
    shell.tasks.add(exchange.task)
    exchange.task.add_done_callback(shell.tasks.discard)


def request_bytes(effect: SendRequest, request: CallerRequest, shell: "EntryShell") -> bytes:
    """Encode a request with the time until its deadline, and with its body if it is small."""
    left_ms = max(0, int((effect.deadline - shell.now()) * 1000.0))
    head = request.head
    body_bytes = request.body_bytes
    names = shell.header_names
    parts = [head.forwarded, b"%b: %d\r\n" % (names.deadline, left_ms)]
    if names.adds_own_headers:
        parts.append(b"x-attempt: %d\r\n" % effect.number)
        if effect.retried:
            parts.append(b"x-poplar-retried: 1\r\n")
        if effect.hedged_above:
            parts.append(b"x-poplar-hedged: 1\r\n")
    if names.expected_instance and effect.target.instance:
        instance = effect.target.instance.encode("ascii", "replace")
        parts.append(b"%b: %b\r\n" % (names.expected_instance, instance))
    if effect.customer and names.customer:
        parts.append(b"%b: %b\r\n" % (names.customer, effect.customer.encode("utf-8")))
    if request.span is not None:
        traceparent = shell.tracer.traceparent(request.span)
        parts.append(b"traceparent: %b\r\n" % traceparent.encode("ascii"))
    elif head.traceparent:
        parts.append(b"traceparent: %b\r\n" % head.traceparent)
    if body_bytes or head.method not in (b"GET", b"HEAD", b"OPTIONS", b"DELETE"):
        parts.append(b"content-length: %d\r\n\r\n" % body_bytes)
        if body_bytes <= JOINED_BODY_BYTES:
            parts += request.body
    else:
        parts.append(b"\r\n")
    return b"".join(parts)


async def connect_and_send(exchange: Exchange, pool: ConnectionPool, shell: "EntryShell") -> None:
    """Open a connection and send, unless the attempt has been cancelled meanwhile."""
    target = pool.target
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, connection = await shell.loop.create_connection(
                lambda: TargetConnection(shell, pool),
                target.address,
                target.port,
                local_addr=(shell.settings.listen_address, 0),
            )
    except (OSError, TimeoutError) as error:
        if not exchange.cancelled:
            detail = str(error) or "connect timed out"
            shell.exchange_failed(exchange, FailureCause.CONNECT_FAILED, detail)
        return
    # If this process was paused, the attempt is cancelled here, before its first byte is sent.
    shell.check_for_pause()
    attempt_id, request_id = exchange.attempt_id, exchange.request_id
    is_probe = exchange.is_probe
    if exchange.cancelled or (not is_probe and shell.is_withdrawn(attempt_id, request_id, target)):
        connection.abort()
        return
    exchange.task = None
    if not connection.is_open():
        connection.abort()
        detail = "connection closed before sending"
        shell.exchange_failed(exchange, FailureCause.CONNECT_FAILED, detail)
        return
    if not is_probe:
        shell.attempt_sent(attempt_id)
    connection.send(exchange)


@execute.register(ProbeTarget)
def execute_probe(effect: ProbeTarget, shell: "EntryShell") -> None:
    """Probe a target for its load on an idle connection, or open a new one."""
    target = effect.target
    data = b"GET %b HTTP/1.1\r\nhost: %b\r\n\r\n" % (
        target.probe_path.encode("ascii", "replace"),
        target.address.encode("ascii"),
    )
    exchange = Exchange(effect.probe_id, 0, False, b"", data, is_probe=True)
    shell.exchanges[effect.probe_id] = exchange
    pool = shell.pool(target)
    connection = pool.take()
    if connection is not None:
        connection.send(exchange)
        return
    exchange.task = shell.loop.create_task(connect_and_send(exchange, pool, shell))
    shell.tasks.add(exchange.task)
    exchange.task.add_done_callback(shell.tasks.discard)


@execute.register(CheckProcess)
def execute_check(effect: CheckProcess, shell: "EntryShell") -> None:
    """Check whether the process of a target is gone, in the background."""
    task = shell.loop.create_task(check_process(effect, shell))
    shell.tasks.add(task)
    task.add_done_callback(shell.tasks.discard)


async def check_process(effect: CheckProcess, shell: "EntryShell") -> None:
    """Report whether the process of a target is gone; requests wait for the report."""
    target = effect.target
    source = shell.settings.listen_address
    try:
        is_gone = await is_process_gone(target, effect.may_probe, shell.header_names, source)
    except Exception as error:
        is_gone = False
        log("process_check_failed", "error", target=target.name, reason=error_text(error))
    shell.feed(ProcessChecked(shell.now(), shell.random_value(), target.name, is_gone))


@execute.register(CancelAttempt)
def execute_cancel(effect: CancelAttempt, shell: "EntryShell") -> None:
    """Close the connection of an attempt, so that its target can cancel the work."""
    exchange = shell.exchanges.pop(effect.attempt_id, None)
    if exchange is None:
        return
    shell.release_parts(exchange)
    exchange.cancelled = True
    connection, exchange.connection = exchange.connection, None
    if connection is not None:
        connection.exchange = None
        connection.abort()
    elif exchange.task is not None:
        exchange.task.cancel()


@execute.register(DeliverAnswer)
def execute_deliver(effect: DeliverAnswer, shell: "EntryShell") -> None:
    """Write a complete response to the caller."""
    exchange = shell.exchanges.pop(effect.attempt_id)
    request = shell.requests_by_id.pop(effect.request_id)
    head = exchange.head
    parts = head_parts(effect, head, request)
    if head.length is not None and exchange.is_head:
        parts.append(b"content-length: %b\r\n\r\n" % head.length)
    elif exchange.is_head or head.metadata.status in NO_BODY_STATUSES:
        parts.append(b"\r\n")
    else:
        parts.append(b"content-length: %d\r\n\r\n" % exchange.buffered_bytes)
        parts += exchange.parts
    request.write(b"".join(parts))
    end_span(shell, request, head.metadata.status, effect.code)
    shell.count_result(effect.code)
    request.finish(effect.close)


def head_parts(effect: DeliverAnswer, head: ResponseHead, request: CallerRequest) -> list[bytes]:
    """Build a response head without its framing headers."""
    parts = [head.status_line, *head.lines]
    adds_own_headers = request.caller.shell.header_names.adds_own_headers
    if adds_own_headers:
        parts.append(b"x-poplar-result: %d\r\n" % effect.code)
    if effect.retried and adds_own_headers:
        parts.append(b"x-poplar-retried: 1\r\n")
    if request.closes_connection(effect.close):
        # No request may be read after a response that announces the close.
        request.caller.close_after = True
        parts.append(b"connection: close\r\n")
    return parts


@execute.register(StreamAnswer)
def execute_stream(effect: StreamAnswer, shell: "EntryShell") -> None:
    """Write the buffered part of a large response and stream the rest."""
    exchange = shell.exchanges[effect.attempt_id]
    request = shell.requests_by_id[effect.request_id]
    head = exchange.head
    parts = head_parts(effect, head, request)
    # HTTP/1.0 callers read until the close; a truncated response ends in a reset, never in a close.
    request.stream_chunked = head.length is None and request.is_http_11
    if head.length is not None:
        parts.append(b"content-length: %b\r\n\r\n" % head.length)
    else:
        parts.append(b"transfer-encoding: chunked\r\n\r\n" if request.stream_chunked else b"\r\n")
    request.stream_from(exchange)
    request.write(b"".join(parts))
    buffered, exchange.parts = exchange.parts, []
    exchange.streaming_to = request
    for data in buffered:
        request.write_body(data)
    shell.release_parts(exchange)
    shell.count_result(effect.code)


@execute.register(FinishStream)
def execute_finish_stream(effect: FinishStream, shell: "EntryShell") -> None:
    """Finish a streamed response."""
    exchange = shell.exchanges.pop(effect.attempt_id)
    request = shell.requests_by_id.pop(effect.request_id)
    if request.stream_chunked:
        request.write(b"0\r\n\r\n")
    end_span(shell, request, exchange.head.metadata.status, ResultCode.ANSWERED)
    request.finish(False)


@execute.register(CutAnswer)
def execute_cut(effect: CutAnswer, shell: "EntryShell") -> None:
    """Answer in turn while nothing of the response was written, else reset the connection."""
    request = shell.requests_by_id.get(effect.request_id)
    if request is None:
        return
    if not request.is_begun:
        # A reset would destroy other responses on the connection.
        request.discard_buffered()
        execute_refuse(effect, shell)
        return
    request.source = None
    del shell.requests_by_id[effect.request_id]
    end_span(shell, request, 502, ResultCode.ANSWER_TRUNCATED)
    request.caller.cut()


@execute.register(RefuseRequest)
def execute_refuse(effect: RefuseRequest | CutAnswer, shell: "EntryShell") -> None:
    """Write an error response generated by the entry."""
    request = shell.requests_by_id.pop(effect.request_id)
    outcome = effect.outcome
    close = request.closes_connection(effect.close)
    with_body = request.head.method != b"HEAD"
    request.write(error_response(outcome, effect.retried, close, with_body))
    shell.count_result(outcome.code)
    end_span(shell, request, outcome.status, outcome.code)
    request.finish(effect.close)


def end_span(shell: "EntryShell", request: CallerRequest, status: int, code: int) -> None:
    """End the request's span, if it has one."""
    if request.span is not None:
        shell.tracer.end(request.span, status, code)
        request.span = None


@execute.register(RefuseCaller)
def execute_refuse_caller(effect: RefuseCaller, shell: "EntryShell") -> None:
    """Write an error response to malformed input and close the connection."""
    caller = shell.callers.get(effect.caller_id)
    if caller is not None and not caller.closing:
        caller.respond_and_close(error_response(effect.outcome, False, True, True))
        shell.count_result(effect.outcome.code)


@execute.register(SetTimer)
def execute_timer(effect: SetTimer, shell: "EntryShell") -> None:
    """Set the timer, replacing a pending one."""
    if shell.timer is not None:
        shell.timer.cancel()
    shell.timer = shell.loop.call_at(effect.at, shell.timer_fired)


@execute.register(SetConnectionLimit)
def execute_limit(effect: SetConnectionLimit, shell: "EntryShell") -> None:
    """Set the connection limit of a target."""
    target = effect.target
    key = (target.address, target.port)
    shell.limits[key] = effect.limit
    if key in shell.pools:
        shell.pools[key].set_limit(effect.limit)


@execute.register(SetCallerLimits)
def execute_caller_limits(effect: SetCallerLimits, shell: "EntryShell") -> None:
    """Set size and time limits for callers, in force from the next check."""
    bounds = effect.limits
    shell.max_head_bytes = bounds.max_head_bytes
    shell.max_body_bytes = bounds.max_body_bytes
    shell.head_timeout_s = bounds.head_timeout_s
    shell.idle_timeout_s = bounds.idle_timeout_s


@execute.register(SendToAgent)
def execute_message(effect: SendToAgent, shell: "EntryShell") -> None:
    """Send a message to the agent."""
    shell.link.send(effect.message)


@execute.register(NotifyFleet)
def execute_notify_fleet(_: NotifyFleet, shell: "EntryShell") -> None:
    """Send urgent sections to the other nodes."""
    shell.link.notify_fleet()


@execute.register(StartAccepting)
def execute_start_accepting(effect: StartAccepting, shell: "EntryShell") -> None:
    """Start listening on the bound socket."""
    shell.acceptor.start()
    # Objects created until now live as long as the process; collections can skip them.
    gc.freeze()
    gc.enable()


@execute.register(StopAccepting)
def execute_stop_accepting(effect: StopAccepting, shell: "EntryShell") -> None:
    """Close the listener, and after IDLE_LINGER_S every idle connection of a caller."""
    shell.acceptor.stop()
    # A request may be in transit on a connection that looks idle here.
    shell.stop_at = shell.now() + IDLE_LINGER_S
    for caller in shell.callers.values():
        caller.close_after = True
        if caller.is_idle() and not caller.closing:
            caller.expires_at = shell.stop_at


@execute.register(Stop)
def execute_stop(effect: Stop, shell: "EntryShell") -> None:
    """Stop at once, or leave it to the sweep to stop when all callers have their responses."""
    if effect.at_once:
        shell.stopped.set()

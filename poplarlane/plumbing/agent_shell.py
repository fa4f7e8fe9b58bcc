"""I/O shell of the agent: feeds events to the reducer and executes its effects."""

import asyncio
import random
import time
from collections.abc import Coroutine
from functools import partial, singledispatch
from typing import Any

import msgspec

from poplarlane.decisions.effects import Count, Effect, Log
from poplarlane.decisions.membership import agent_effects as effects
from poplarlane.decisions.membership import agent_events as events
from poplarlane.decisions.membership import agent_handlers  # noqa: F401  registers the handlers
from poplarlane.decisions.membership.agent_state import AgentState
from poplarlane.decisions.probes import grants
from poplarlane.decisions.reducer import reduce
from poplarlane.error_text import error_text
from poplarlane.exchange_messages import EXCHANGE_DECODER
from poplarlane.logs import log
from poplarlane.messages import ENCODER, ENTRY_MESSAGE_DECODER
from poplarlane.metrics import Metrics
from poplarlane.objects import JSON_ENCODER, PROBE_GRANTS_KIND
from poplarlane.plumbing.pauses import PauseDetector, clock
from poplarlane.plumbing.peer_sockets import PeerSockets
from poplarlane.plumbing.platform_client import PlatformClient, PlatformFailure, PlatformResponse
from poplarlane.plumbing.platform_objects import decode_grant, decode_list, decode_vms
from poplarlane.plumbing.probe_client import probe

TICK_S = 0.1
STOP_TIMEOUT_S = 1.0
GRANT_WRITE = "grant_write"
HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 412


class AgentShell:
    """Run one agent."""

    __slots__ = (
        "state",
        "sockets",
        "platform",
        "metrics",
        "generator",
        "source",
        "pauses",
        "tasks",
        "stopped",
    )

    def __init__(
        self,
        state: AgentState,
        sockets: PeerSockets,
        platform: PlatformClient,
        metrics: Metrics,
        generator: random.Random,
        source: str,
    ) -> None:
        self.state = state
        self.sockets = sockets
        self.platform = platform
        self.metrics = metrics
        self.generator = generator
        self.source = source
        self.pauses = PauseDetector()
        self.tasks: set[asyncio.Task] = set()
        self.stopped = asyncio.Event()

    def event_fields(self) -> tuple[float, float, int]:
        """Return the fields of every event: `now`, `wall`, `random_value` (64 random bits)."""
        return clock(), time.time(), self.generator.getrandbits(64)

    def step(self, kind: type[events.AgentEvent], *fields: Any) -> None:
        """Apply one event; a pause of this process is reported to the reducer first."""
        now, wall, random_value = self.event_fields()
        gap_s = self.pauses.step()
        if gap_s:
            pause = events.AgentPaused(now, wall, self.generator.getrandbits(64), gap_s)
            self.execute(reduce(pause, self.state))
        self.execute(reduce(kind(now, wall, random_value, *fields), self.state))

    def execute(self, results: list[Effect]) -> None:
        """Execute effects in the given order."""
        for effect in results:
            execute(effect, self)

    def spawn(self, work: Coroutine, name: str = "call") -> None:
        """Run a call in a background task."""
        task = asyncio.create_task(work, name=name)
        self.tasks.add(task)
        task.add_done_callback(self.on_task_done)

    def on_task_done(self, task: asyncio.Task) -> None:
        """Remove a finished task and log its exception, if any."""
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            error = task.exception()
            log("call_failed", level="error", reason=error_text(error))

    def on_peer_message(self, _identity: bytes, payload: bytes) -> None:
        """Process a message from another agent."""
        self.step(events.PeerMessage, EXCHANGE_DECODER.decode(payload))

    def on_entry_message(self, identity: bytes, payload: bytes) -> None:
        """Process a message from an entry."""
        self.step(events.EntryMessageReceived, identity, ENTRY_MESSAGE_DECODER.decode(payload))

    async def run(self) -> None:
        """Feed messages and ticks to the reducer until the agent stops."""
        self.step(events.AgentStarted)
        # Peers keep messages for an agent that is away; before its start it has asked nobody.
        self.sockets.start_receiving(self.on_peer_message, self.on_entry_message)
        while not self.stopped.is_set():
            try:
                self.step(events.AgentTick)
            except Exception as error:
                # An error in one tick must not stop the control work of the VM.
                log("tick_failed", level="error", reason=error_text(error))
            await asyncio.sleep(TICK_S)

    async def finish_calls(self) -> None:
        """Wait, with a time-out, for writes that release probe grants; cancel all other calls."""
        others = self.tasks - {asyncio.current_task()}
        writes = {task for task in others if task.get_name() == GRANT_WRITE}
        if writes:
            await asyncio.wait(writes, timeout=STOP_TIMEOUT_S)
        for task in others:
            task.cancel()
        self.stopped.set()

    async def read_objects(self, call: str, kind: str, name: str, path: str, wait_s: float) -> None:
        """Read, list or watch objects, and report the result as an event."""
        response = await self.platform.read(f"{call}_{kind}", path, wait_s)
        revision, items = 0, []
        if isinstance(response, PlatformResponse) and response.status == HTTP_OK:
            try:
                if name:
                    response_body = b'{"revision":0,"items":[' + response.body + b"]}"
                else:
                    response_body = response.body
                revision, items = decode_list(response_body)
            except msgspec.MsgspecError as error:
                response = PlatformFailure(f"undecodable response: {error}", True)
        if isinstance(response, PlatformResponse) and response.status == HTTP_OK:
            self.step(events.PlatformObjects, call, kind, revision, items)
        else:
            status, reason = status_and_reason(response)
            self.step(events.PlatformFailed, call, kind, name, status, reason)

    async def list_vms(self) -> None:
        """Fetch the list of VMs and report it as an event."""
        response = await self.platform.read("list_vms", "/v1/vms")
        if isinstance(response, PlatformResponse) and response.status == HTTP_OK:
            try:
                as_of, vms = decode_vms(response.body)
            except msgspec.MsgspecError as error:
                response = PlatformFailure(f"undecodable response: {error}", True)
            else:
                self.step(events.VmsListed, as_of, vms)
                return
        status, reason = status_and_reason(response)
        self.step(events.PlatformFailed, "vms", "", "", status, reason)

    async def read_grant(self, shard: int) -> None:
        """Read a probe grant."""
        sent_at = clock()
        response = await self.platform.read("read_grant", grant_path(shard))
        self.handle_grant_response(shard, response, None, sent_at)

    async def write_grant(self, effect: effects.WriteGrant) -> None:
        """Write a probe grant if its stored version is still the expected one."""
        sent_at = clock()
        body = JSON_ENCODER.encode(effect.grant)
        path = grant_path(effect.shard)
        response = await self.platform.write("write_grant", path, body, effect.version)
        self.handle_grant_response(effect.shard, response, effect.grant, sent_at)

    def handle_grant_response(
        self,
        shard: int,
        response: PlatformResponse | PlatformFailure,
        written: object | None,
        sent_at: float,
    ) -> None:
        """Report the response to a grant read or write as an event."""
        status, reason = status_and_reason(response)
        try:
            if status == HTTP_OK and written is not None:
                version = msgspec.json.decode(response.body)["version"]
                self.step(events.GrantRead, shard, True, version, written, sent_at)
            elif status in (HTTP_OK, HTTP_CONFLICT):
                version, grant = decode_grant(response.body)
                self.step(events.GrantRead, shard, False, version, grant, sent_at)
            elif status == HTTP_NOT_FOUND and written is None:
                self.step(events.GrantRead, shard, False, 0, None, sent_at)
            else:
                self.step(events.GrantFailed, shard, reason)
        except (msgspec.MsgspecError, KeyError) as error:
            self.step(events.GrantFailed, shard, f"undecodable response: {error}")

    async def send_probe(self, effect: effects.SendProbe) -> None:
        """Probe a target and report the outcome as an event."""
        outcome = await probe(
            effect.address,
            effect.port,
            self.source,
            effect.timeout_s,
            clock,
            partial(grants.may_send, self.state, effect),
        )
        found = outcome.response
        self.step(
            events.ProbeFinished,
            effect.service,
            effect.target,
            outcome.sent,
            outcome.arrived,
            found is not None,
            found.in_flight if found else -1,
            found.queued if found else -1,
            bool(found and found.leaving),
            outcome.sent_at,
            outcome.latency_s,
            outcome.reason,
        )


def status_and_reason(response: PlatformResponse | PlatformFailure) -> tuple[int, str]:
    """Return status and failure reason; status 0 means that there was no response."""
    if isinstance(response, PlatformFailure):
        return 0, response.reason
    return response.status, f"status {response.status}"


def grant_path(shard: int) -> str:
    """Return the path of a grant object."""
    return f"/v1/objects/{PROBE_GRANTS_KIND}/{grants.shard_name(shard)}"


@singledispatch
def execute(effect: Effect, shell: AgentShell) -> None:
    """Execute one effect."""
    raise TypeError(f"no handler for effect {type(effect).__name__}")


@execute.register
def execute_log(effect: Log, _shell: AgentShell) -> None:
    log(effect.event, level=effect.level, **effect.fields)


@execute.register
def execute_count(effect: Count, shell: AgentShell) -> None:
    shell.metrics.count(effect.metric, effect.labels, effect.amount)


@execute.register
def execute_connect(effect: effects.ConnectPeer, shell: AgentShell) -> None:
    shell.sockets.connect(effect.name, effect.address, effect.port)


@execute.register
def execute_disconnect(effect: effects.DisconnectPeer, shell: AgentShell) -> None:
    shell.sockets.disconnect(effect.name)


@execute.register
def execute_peer(effect: effects.SendToPeer, shell: AgentShell) -> None:
    shell.sockets.send(effect.name, ENCODER.encode(effect.message))


@execute.register
def execute_entry(effect: effects.SendToEntry, shell: AgentShell) -> None:
    shell.sockets.send_to_entry(effect.identity, ENCODER.encode(effect.update))


@execute.register
def execute_list(effect: effects.ListObjects, shell: AgentShell) -> None:
    path = f"/v1/objects/{effect.kind}"
    shell.spawn(shell.read_objects("list", effect.kind, "", path, 0.0))


@execute.register
def execute_read(effect: effects.ReadObject, shell: AgentShell) -> None:
    path = f"/v1/objects/{effect.kind}/{effect.name}"
    shell.spawn(shell.read_objects("read", effect.kind, effect.name, path, 0.0))


@execute.register
def execute_watch(effect: effects.WatchObjects, shell: AgentShell) -> None:
    path = f"/v1/watch/{effect.kind}?since={effect.since}&wait_ms={effect.wait_ms}"
    shell.spawn(shell.read_objects("watch", effect.kind, "", path, effect.wait_ms / 1000))


@execute.register
def execute_vms(_effect: effects.ListVms, shell: AgentShell) -> None:
    shell.spawn(shell.list_vms())


@execute.register
def execute_read_grant(effect: effects.ReadGrant, shell: AgentShell) -> None:
    shell.spawn(shell.read_grant(effect.shard))


@execute.register
def execute_write_grant(effect: effects.WriteGrant, shell: AgentShell) -> None:
    shell.spawn(shell.write_grant(effect), GRANT_WRITE)


@execute.register
def execute_probe(effect: effects.SendProbe, shell: AgentShell) -> None:
    shell.spawn(shell.send_probe(effect))


@execute.register
def execute_stop(_effect: effects.StopAgent, shell: AgentShell) -> None:
    shell.spawn(shell.finish_calls())

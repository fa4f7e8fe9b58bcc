"""Events that the agent handles. `wall` is wall-clock time in seconds."""

from poplarlane.decisions.events import Event
from poplarlane.exchange_messages import ExchangeMessage
from poplarlane.messages import EntryHello, EntryReport


class AgentEvent(Event):
    """Base class of agent events; `random_value` is 64 random bits."""

    __slots__ = ("wall", "random_value")

    def __init__(self, now: float, wall: float, random_value: int) -> None:
        super().__init__(now)
        self.wall = wall
        self.random_value = random_value


class AgentStarted(AgentEvent):
    """The agent started and its sockets are bound."""

    __slots__ = ()


class AgentTick(AgentEvent):
    """The periodic tick is due."""

    __slots__ = ()


class AgentPaused(AgentEvent):
    """The process did not run for `gap_s`; detected before any other work was done."""

    __slots__ = ("gap_s",)

    def __init__(self, now: float, wall: float, random_value: int, gap_s: float) -> None:
        super().__init__(now, wall, random_value)
        self.gap_s = gap_s


class AgentStopRequested(AgentEvent):
    """The process was asked to stop."""

    __slots__ = ()


class PeerMessage(AgentEvent):
    """A message from another agent arrived."""

    __slots__ = ("message",)

    def __init__(
        self, now: float, wall: float, random_value: int, message: ExchangeMessage
    ) -> None:
        super().__init__(now, wall, random_value)
        self.message = message


class EntryMessageReceived(AgentEvent):
    """A message from an entry arrived; `identity` routes the reply."""

    __slots__ = ("identity", "message")

    def __init__(
        self,
        now: float,
        wall: float,
        random_value: int,
        identity: bytes,
        message: EntryHello | EntryReport,
    ) -> None:
        super().__init__(now, wall, random_value)
        self.identity = identity
        self.message = message


class StoredItem:
    """One object as the platform returned it."""

    __slots__ = ("name", "version", "body")

    def __init__(self, name: str, version: int, body: bytes) -> None:
        self.name = name
        self.version = version
        self.body = body


class PlatformObjects(AgentEvent):
    """The platform answered a list, watch or read call for services or their copies."""

    __slots__ = ("call", "kind", "revision", "items")

    def __init__(
        self,
        now: float,
        wall: float,
        random_value: int,
        call: str,
        kind: str,
        revision: int,
        items: list[StoredItem],
    ) -> None:
        super().__init__(now, wall, random_value)
        self.call = call
        self.kind = kind
        self.revision = revision
        self.items = items


class PlatformFailed(AgentEvent):
    """A call to the platform failed.

    `name` is set only for reads of one object. `status` is the HTTP status, or 0 if there was no
    response.
    """

    __slots__ = ("call", "kind", "name", "status", "reason")

    def __init__(
        self,
        now: float,
        wall: float,
        random_value: int,
        call: str,
        kind: str,
        name: str,
        status: int,
        reason: str,
    ) -> None:
        super().__init__(now, wall, random_value)
        self.call = call
        self.kind = kind
        self.name = name
        self.status = status
        self.reason = reason


class ListedVm:
    """One row of the platform's list of VMs."""

    __slots__ = ("name", "address", "data_centre", "role", "state", "incarnation")

    def __init__(
        self, name: str, address: str, data_centre: str, role: str, state: str, incarnation: int
    ) -> None:
        self.name = name
        self.address = address
        self.data_centre = data_centre
        self.role = role
        self.state = state
        self.incarnation = incarnation


class VmsListed(AgentEvent):
    """The platform returned its list of VMs, which may be stale: its data is as of `as_of`."""

    __slots__ = ("as_of", "vms")

    def __init__(
        self, now: float, wall: float, random_value: int, as_of: float, vms: list[ListedVm]
    ) -> None:
        super().__init__(now, wall, random_value)
        self.as_of = as_of
        self.vms = vms


class GrantRead(AgentEvent):
    """The platform answered a read or a write of the probe grant of a shard.

    `written` means that a conditional update by this process took effect. `sent_at` is a time
    before the request was sent. `version` is 0 and `grant` is None when no grant is stored.
    """

    __slots__ = ("shard", "written", "version", "grant", "sent_at")

    def __init__(
        self,
        now: float,
        wall: float,
        random_value: int,
        shard: int,
        written: bool,
        version: int,
        grant: object | None,
        sent_at: float,
    ) -> None:
        super().__init__(now, wall, random_value)
        self.shard = shard
        self.written = written
        self.version = version
        self.grant = grant
        self.sent_at = sent_at


class GrantFailed(AgentEvent):
    """A read or write of a probe grant failed; a write may still have taken effect."""

    __slots__ = ("shard", "reason")

    def __init__(self, now: float, wall: float, random_value: int, shard: int, reason: str) -> None:
        super().__init__(now, wall, random_value)
        self.shard = shard
        self.reason = reason


class ProbeFinished(AgentEvent):
    """A probe ended.

    `sent` is false only when it is certain that no byte left this process. `arrived` means that
    the target answered in any way, `answered` that the response was valid; `in_flight` is -1
    without a valid response. `reason` is `deadline` when the grant expired before the first byte
    could be sent.
    """

    __slots__ = (
        "service",
        "target",
        "sent",
        "arrived",
        "answered",
        "in_flight",
        "queued",
        "leaving",
        "sent_at",
        "latency_s",
        "reason",
    )

    def __init__(
        self,
        now: float,
        wall: float,
        random_value: int,
        service: str,
        target: str,
        sent: bool,
        arrived: bool,
        answered: bool,
        in_flight: int,
        queued: int,
        leaving: bool,
        sent_at: float,
        latency_s: float,
        reason: str,
    ) -> None:
        super().__init__(now, wall, random_value)
        self.service = service
        self.target = target
        self.sent = sent
        self.arrived = arrived
        self.answered = answered
        self.in_flight = in_flight
        self.queued = queued
        self.leaving = leaving
        self.sent_at = sent_at
        self.latency_s = latency_s
        self.reason = reason

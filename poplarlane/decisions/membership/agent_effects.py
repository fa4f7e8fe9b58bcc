"""Effects that the agent's handlers return and the shell executes."""

from poplarlane.decisions.effects import Effect
from poplarlane.exchange_messages import ExchangeMessage
from poplarlane.messages import ViewUpdate


class ConnectPeer(Effect):
    """Open a socket to another agent, or move it to a new address."""

    __slots__ = ("name", "address", "port")

    def __init__(self, name: str, address: str, port: int) -> None:
        self.name = name
        self.address = address
        self.port = port


class DisconnectPeer(Effect):
    """Close the socket to another agent."""

    __slots__ = ("name",)

    def __init__(self, name: str) -> None:
        self.name = name


class SendToPeer(Effect):
    """Send a message to another agent, without a guarantee of delivery."""

    __slots__ = ("name", "message")

    def __init__(self, name: str, message: ExchangeMessage) -> None:
        self.name = name
        self.message = message


class SendToEntry(Effect):
    """Send a view update to an entry."""

    __slots__ = ("identity", "update")

    def __init__(self, identity: bytes, update: ViewUpdate) -> None:
        self.identity = identity
        self.update = update


class ListObjects(Effect):
    """List all objects of a kind at the platform."""

    __slots__ = ("kind",)

    def __init__(self, kind: str) -> None:
        self.kind = kind


class ReadObject(Effect):
    """Read one object at the platform."""

    __slots__ = ("kind", "name")

    def __init__(self, kind: str, name: str) -> None:
        self.kind = kind
        self.name = name


class WatchObjects(Effect):
    """Watch a kind of objects at the platform for changes after the revision `since`."""

    __slots__ = ("kind", "since", "wait_ms")

    def __init__(self, kind: str, since: int, wait_ms: int) -> None:
        self.kind = kind
        self.since = since
        self.wait_ms = wait_ms


class ListVms(Effect):
    """Fetch the platform's list of VMs."""

    __slots__ = ()


class ReadGrant(Effect):
    """Read the probe grant of a shard at the platform."""

    __slots__ = ("shard",)

    def __init__(self, shard: int) -> None:
        self.shard = shard


class WriteGrant(Effect):
    """Write a probe grant if the stored version is still `version`; 0 creates it."""

    __slots__ = ("shard", "version", "grant")

    def __init__(self, shard: int, version: int, grant: object) -> None:
        self.shard = shard
        self.version = version
        self.grant = grant


class SendProbe(Effect):
    """Probe a target if the first byte can be sent before `not_after`.

    The grant of the shard must still be held at that moment; `grants.may_send` checks this.
    """

    __slots__ = ("shard", "service", "target", "address", "port", "not_after", "timeout_s")

    def __init__(
        self,
        shard: int,
        service: str,
        target: str,
        address: str,
        port: int,
        not_after: float,
        timeout_s: float,
    ) -> None:
        self.shard = shard
        self.service = service
        self.target = target
        self.address = address
        self.port = port
        self.not_after = not_after
        self.timeout_s = timeout_s


class StopAgent(Effect):
    """Exit with status 0 once queued messages have been sent."""

    __slots__ = ()

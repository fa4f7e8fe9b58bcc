"""Messages between nodes, encoded with msgpack and sent over pyzmq."""

import zlib

import msgspec


class MemberInfo(msgspec.Struct, array_like=True):
    """A node; `age_s` is the time since it was last heard of.

    The sender of a message adds a number of its process and when it sent, on its own clock.
    """

    name: str
    address: str
    data_centre: str
    age_s: float
    process: int = 0
    sent_at: float = 0.0


class Hello(msgspec.Struct, tag=1, array_like=True):
    """Announcement of a node; its roster is not sent again while the digest is unchanged.

    `wants_heartbeats` requests heartbeats and updates from a node of another data centre;
    `versions` holds the highest object version that the sender has of each kind with versions.
    """

    sender: MemberInfo
    roster_digest: int
    wants_heartbeats: bool = False
    versions: dict[str, int] = {}


class Roster(msgspec.Struct, tag=2, array_like=True):
    """Nodes of the receiver's data centre; `same` says that the receiver's roster is current.

    `fleet` is the total number of nodes known to the sender.
    """

    sender: MemberInfo
    members: list[MemberInfo]
    same: bool = False
    fleet: int = 0


class Heartbeat(msgspec.Struct, tag=3, array_like=True):
    """Heartbeat with the sender's revision of each kind and the time since the store answered.

    A heartbeat is direct when its sender watches the store itself; otherwise it is forwarded.
    `versions` is as in a hello.
    """

    sender: MemberInfo
    contact_age_s: float
    revisions: dict[str, int]
    is_direct: bool = True
    versions: dict[str, int] = {}


class EncodedChange(msgspec.Struct, array_like=True):
    """Encoded change of an object.

    With a `base`, `spec` holds an `object_deltas.Delta` against the object at that revision.
    """

    name: str
    revision: int
    spec: object
    status: object
    deleted: bool
    base: int = 0


class Update(msgspec.Struct, tag=4, array_like=True):
    """All changes of a kind after the revision `after`, up to `revision`.

    A direct update comes from a node that watches the store; one node of each data centre forwards
    it to the other nodes there. The receiver passes it on to the nodes named in `below`.
    """

    kind: str
    after: int
    revision: int
    changes: list[EncodedChange]
    is_direct: bool = True
    below: list[MemberInfo] = []


class Fetch(msgspec.Struct, tag=5, array_like=True):
    """Request for all objects of a kind."""

    sender: MemberInfo
    kind: str


class Snapshot(msgspec.Struct, tag=6, array_like=True):
    """All objects of a kind as of a revision."""

    kind: str
    revision: int
    objects: list[EncodedChange]


class FleetReport(msgspec.Struct, tag=7, array_like=True):
    """What a node and the `nodes` below it, including itself, have observed, by section."""

    sender: MemberInfo
    sequence: int
    nodes: int
    sections: dict[str, bytes]


class FleetDigest(msgspec.Struct, tag=8, array_like=True):
    """What the root has combined from reports; `age_s` is the time since it did.

    The receiver passes it on to the nodes named in `below`; its sender remains the relay.
    """

    sender: MemberInfo
    root: str
    sequence: int
    age_s: float
    nodes: int
    sections: dict[str, bytes]
    below: list[MemberInfo] = []


Message = Hello | Roster | Heartbeat | Update | Fetch | Snapshot | FleetReport | FleetDigest
ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Message)
# Large messages repeat field names and compress well; small ones gain nothing.
COMPRESSED_FROM_BYTES = 1_024
# Leaves room for a configuration with some thousand routes or a list of 5,300 targets.
MAX_MESSAGE_BYTES = 64_000_000
# First byte of a compressed message; msgpack never uses this byte.
COMPRESSED = b"\xc1"


def encode(message: Message) -> bytes:
    """Encode a message; large ones are compressed."""
    payload = ENCODER.encode(message)
    if len(payload) < COMPRESSED_FROM_BYTES:
        return payload
    return COMPRESSED + zlib.compress(payload, 1)


def decode(payload: bytes) -> Message:
    """Decode a message; raises msgspec.MsgspecError."""
    if payload[:1] == COMPRESSED:
        stream = zlib.decompressobj()
        try:
            payload = stream.decompress(payload[1:], MAX_MESSAGE_BYTES)
        except zlib.error as error:
            raise msgspec.DecodeError(f"message cannot be decompressed: {error}") from error
        if not stream.eof:
            raise msgspec.DecodeError("compressed message truncated or above the size limit")
    return DECODER.decode(payload)

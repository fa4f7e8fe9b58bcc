"""Typed messages between nodes, msgpack over pyzmq."""

import zlib

import msgspec


class MemberInfo(msgspec.Struct, array_like=True):
    """Place one node; `age_s` is how long ago it was heard of."""

    name: str
    address: str
    data_centre: str
    age_s: float


class Hello(msgspec.Struct, tag=1, array_like=True):
    """Announce a node; the roster that it holds is not sent again while its digest is the same.

    `wants_heartbeats` asks a node of another data centre for its beats and updates.
    """

    sender: MemberInfo
    roster_digest: int
    wants_heartbeats: bool = False


class Roster(msgspec.Struct, tag=2, array_like=True):
    """List the nodes of the receiver's data centre; `same` says that the receiver knows them.

    `fleet` is the number of all nodes that the sender knows.
    """

    sender: MemberInfo
    members: list[MemberInfo]
    same: bool = False
    fleet: int = 0


class Heartbeat(msgspec.Struct, tag=3, array_like=True):
    """Say which revision of each kind the sender has, and how long ago the store answered.

    A beat is direct when its sender follows the store, else it is passed on.
    """

    sender: MemberInfo
    contact_age_s: float
    revisions: dict[str, int]
    is_direct: bool = True


class EncodedChange(msgspec.Struct, array_like=True):
    """Carry one change of an object as the store gave it.

    With a `base`, `spec` holds an `object_deltas.Delta` against the object of that revision.
    """

    name: str
    revision: int
    spec: object
    status: object
    deleted: bool
    base: int = 0


class Update(msgspec.Struct, tag=4, array_like=True):
    """Carry all changes of a kind after one revision and up to another.

    A direct update comes from a node that follows the store; one node of each data centre passes
    it on there.
    """

    kind: str
    after: int
    revision: int
    changes: list[EncodedChange]
    is_direct: bool = True


class Fetch(msgspec.Struct, tag=5, array_like=True):
    """Ask another node for all objects of a kind."""

    sender: MemberInfo
    kind: str


class Snapshot(msgspec.Struct, tag=6, array_like=True):
    """Carry all objects of a kind as of a revision."""

    kind: str
    revision: int
    objects: list[EncodedChange]


Message = Hello | Roster | Heartbeat | Update | Fetch | Snapshot
ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Message)
# Objects of a kind repeat their field names; small messages gain nothing.
COMPRESSED_FROM_BYTES = 1_024
# A configuration of some thousand routes and a list of the planned 5,300 targets stay below.
MAX_MESSAGE_BYTES = 64_000_000
# First byte of a compressed message; no message in msgpack begins with it.
COMPRESSED = b"\xc1"


def encode(message: Message) -> bytes:
    """Encode a message, compressed when it is large."""
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
            raise msgspec.DecodeError(f"unreadable message: {error}") from error
        if not stream.eof:
            raise msgspec.DecodeError("message incomplete or too large")
    return DECODER.decode(payload)

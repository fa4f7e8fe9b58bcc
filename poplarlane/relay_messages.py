"""Typed messages between nodes, msgpack over pyzmq."""

import msgspec


class MemberNote(msgspec.Struct, array_like=True):
    """Place one node; `age_s` is how long ago it was heard of."""

    name: str
    address: str
    data_centre: str
    age_s: float


class Hello(msgspec.Struct, tag=1, array_like=True):
    """Announce a node; the roster that it holds is not sent again while its digest is the same."""

    sender: MemberNote
    roster_digest: int


class Roster(msgspec.Struct, tag=2, array_like=True):
    """List the nodes that the sender has heard of; `same` says that the receiver knows them."""

    sender: MemberNote
    members: list[MemberNote]
    same: bool = False


class Beat(msgspec.Struct, tag=3, array_like=True):
    """Say which revision of each kind the sender has, and how long ago the store answered."""

    sender: MemberNote
    contact_age_s: float
    revisions: dict[str, int]


class ChangeNote(msgspec.Struct, array_like=True):
    """Carry one change of an object as the store gave it."""

    name: str
    revision: int
    spec: object
    status: object
    deleted: bool


class Update(msgspec.Struct, tag=4, array_like=True):
    """Carry all changes of a kind after one revision and up to another."""

    kind: str
    after: int
    revision: int
    changes: list[ChangeNote]


class Fetch(msgspec.Struct, tag=5, array_like=True):
    """Ask another node for all objects of a kind."""

    sender: MemberNote
    kind: str


class Snapshot(msgspec.Struct, tag=6, array_like=True):
    """Carry all objects of a kind as of a revision."""

    kind: str
    revision: int
    objects: list[ChangeNote]


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Hello | Roster | Beat | Update | Fetch | Snapshot)

"""Gossip messages between agents, encoded with msgpack and sent over pyzmq.

Every message may be lost, delayed, duplicated or reordered. Ages are in seconds before sending, so
that clocks of different VMs are never compared.
"""

import msgspec

from poplarlane.messages import MemberNotice, ProbeNotice, ServiceBody, VerdictNotice

# Larger transfers are split, so that a lost message costs little.
MAX_MESSAGE_BODY_BYTES = 65_536


class Sender(msgspec.Struct, array_like=True):
    """The sending agent; `ready` says whether its view is complete."""

    name: str
    incarnation: int
    data_centre: str
    address: str
    port: int
    ready: bool


class AliveNotice(msgspec.Struct, array_like=True):
    """Liveness of another agent: when it was last heard from and where it listens."""

    name: str
    incarnation: int
    data_centre: str
    address: str
    port: int
    ready: bool
    age_s: float


class RejectionNotice(msgspec.Struct, array_like=True):
    """A bad object; `held_revision` is the revision that stays in force."""

    service: str
    object_name: str
    field: str
    reason: str
    held_revision: int


class Digest(msgspec.Struct, tag=1, array_like=True):
    """Anti-entropy digest of the state that the sender holds.

    `services` and `facts` are 32 bucket hashes of 4 bytes each. `nonce` requests a digest in
    return; `reply_to` repeats the nonce of the request. `platform_age_s` is the age of the
    platform's last response to a watch or list by any agent, `try_age_s` that of the last attempt.
    `ages` covers all agents heard from, each with a hash of its name (4 bytes) and its age in
    units of 0.1 s (1 byte); `alive` describes a sample of them in full.
    """

    sender: Sender
    nonce: int
    reply_to: int
    services: bytes
    facts: bytes
    recent: list[tuple[str, int]]
    alive: list[AliveNotice]
    rejected: list[RejectionNotice]
    platform_age_s: float
    try_age_s: float
    ages: bytes = b""


class RevisionList(msgspec.Struct, tag=2, array_like=True):
    """Revisions held by the sender; all revisions of the buckets listed in `buckets`, if any.

    `ask` requests the receiver's revisions of the same buckets.
    """

    sender: Sender
    buckets: list[int]
    revisions: list[tuple[str, int]]
    ask: bool
    nonce: int


class FactList(msgspec.Struct, tag=3, array_like=True):
    """All member facts of some buckets; `ask` requests the receiver's facts in return."""

    sender: Sender
    buckets: list[int]
    facts: list[MemberNotice]
    ask: bool


class FetchServices(msgspec.Struct, tag=4, array_like=True):
    """Request for the bodies of services."""

    sender: Sender
    services: list[str]


class StateUpdate(msgspec.Struct, tag=5, array_like=True):
    """New state: zlib-compressed service bodies, member facts, verdicts and probe results."""

    sender: Sender
    services: list[ServiceBody]
    facts: list[MemberNotice]
    verdicts: list[VerdictNotice]
    probes: list[ProbeNotice]


ExchangeMessage = Digest | RevisionList | FactList | FetchServices | StateUpdate
EXCHANGE_DECODER = msgspec.msgpack.Decoder(ExchangeMessage)

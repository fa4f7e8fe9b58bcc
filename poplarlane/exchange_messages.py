"""Typed messages between agents, msgpack over pyzmq.

Every message may be lost, late, duplicated or reordered. Ages are seconds before sending, so that
no clocks of two VMs are compared.
"""

import msgspec

from poplarlane.messages import MemberNotice, ProbeNotice, ServiceBody, VerdictNotice

# Body of one message; larger transfers are split, so that a loss costs little.
MAX_MESSAGE_BODY_BYTES = 65_536


class Sender(msgspec.Struct, array_like=True):
    """Identify the sending agent, and whether its view is complete."""

    name: str
    incarnation: int
    data_centre: str
    address: str
    port: int
    ready: bool


class AliveNotice(msgspec.Struct, array_like=True):
    """Tell when an agent was last heard from, and where it listens."""

    name: str
    incarnation: int
    data_centre: str
    address: str
    port: int
    ready: bool
    age_s: float


class RejectionNotice(msgspec.Struct, array_like=True):
    """Report a bad object; `held_revision` is the revision that stays in force."""

    service: str
    object_name: str
    field: str
    reason: str
    held_revision: int


class Digest(msgspec.Struct, tag=1, array_like=True):
    """Summarise what the sender holds.

    `services` and `facts` are 32 bucket hashes of 4 bytes each. `nonce` asks for a digest in
    return; `reply_to` repeats the nonce of the request. `platform_age_s` is the age of the last
    answer of the platform to a watch or list by any agent, `try_age_s` that of the last attempt.
    `ages` tells of all agents heard from: per agent a hash of the name (4 bytes) and
    the age in units of 0.1 s (1 byte); `alive` introduces a sample of them.
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
    """List revisions; with `buckets` these are all revisions that the sender holds there.

    `ask` requests the receiver's holdings in the same buckets.
    """

    sender: Sender
    buckets: list[int]
    revisions: list[tuple[str, int]]
    ask: bool
    nonce: int


class FactList(msgspec.Struct, tag=3, array_like=True):
    """Carry all facts of some buckets; `ask` requests the receiver's facts in return."""

    sender: Sender
    buckets: list[int]
    facts: list[MemberNotice]
    ask: bool


class FetchServices(msgspec.Struct, tag=4, array_like=True):
    """Request the bodies of services."""

    sender: Sender
    services: list[str]


class StateUpdate(msgspec.Struct, tag=5, array_like=True):
    """Carry service bodies, compressed with zlib, member facts, verdicts and probe results."""

    sender: Sender
    services: list[ServiceBody]
    facts: list[MemberNotice]
    verdicts: list[VerdictNotice]
    probes: list[ProbeNotice]


ExchangeMessage = Digest | RevisionList | FactList | FetchServices | StateUpdate
EXCHANGE_DECODER = msgspec.msgpack.Decoder(ExchangeMessage)

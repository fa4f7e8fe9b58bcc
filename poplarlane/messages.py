"""Typed messages between poplarlane's own processes, msgpack over pyzmq."""

import msgspec


class EntryHello(msgspec.Struct, tag=1, array_like=True):
    """Announce an entry to its agent and ask for every service newer than `applied`.

    Every view that the agent sends from then on repeats the `nonce`.
    """

    entry: str
    incarnation: int
    applied: dict[str, int]
    nonce: int = 0


class ServiceBody(msgspec.Struct, array_like=True):
    """Carry one accepted service object as its stored JSON."""

    service: str
    revision: int
    body: bytes


class MemberNotice(msgspec.Struct, array_like=True):
    """Carry one member fact; `kind` and `state` hold MemberKind and MemberState values."""

    name: str
    kind: str
    incarnation: int
    state: str
    observed_at: float
    source: str


class VerdictNotice(msgspec.Struct, array_like=True):
    """Carry an entry's verdict on a target; `valid_for_s` counts from the time of receipt.

    The source's incarnation and its sequence number order the verdicts of one source.
    """

    service: str
    target: str
    verdict: str
    source: str
    valid_for_s: float
    incarnation: int
    sequence: int

    def version(self) -> tuple[int, int]:
        """Give what orders the verdicts of one source."""
        return self.incarnation, self.sequence


class ProbeNotice(msgspec.Struct, array_like=True):
    """Carry one probe result; `age_s` counts back from sending.

    `term` is that of the grant of the service's shard. `reachable` is false when the target
    refused the connection or did not answer in time; the load fields are -1 then.
    """

    service: str
    target: str
    reachable: bool
    leaving: bool
    in_flight: int
    queued: int
    latency_s: float
    age_s: float
    term: int
    source: str


class ViewUpdate(msgspec.Struct, tag=2, array_like=True):
    """Bring an entry's view up to date; `complete` says that nothing is missing.

    `fleet_entries` is the number of live entries, which divides connections and slots, and
    `entry_rank` the place of the receiving entry among them, from 0 on. `reply_to` is the nonce of
    the last hello that the agent handled.
    """

    agent: str
    agent_incarnation: int
    sequence: int
    complete: bool
    services: list[ServiceBody]
    members: list[MemberNotice]
    verdicts: list[VerdictNotice]
    fleet_entries: int
    probes: list[ProbeNotice] = []
    entry_rank: int = 0
    reply_to: int = 0


class EntryReport(msgspec.Struct, tag=3, array_like=True):
    """Tell the agent what an entry applied and observed."""

    entry: str
    incarnation: int
    ready: bool
    draining: bool
    applied: dict[str, int]
    rejected: dict[str, str]
    leaving_targets: list[str]
    verdicts: list[VerdictNotice]


EntryMessage = EntryHello | EntryReport
ENCODER = msgspec.msgpack.Encoder()
ENTRY_MESSAGE_DECODER = msgspec.msgpack.Decoder(EntryMessage)
VIEW_DECODER = msgspec.msgpack.Decoder(ViewUpdate)

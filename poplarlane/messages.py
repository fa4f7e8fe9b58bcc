"""Messages between entries and their agent, encoded with msgpack and sent over pyzmq."""

import msgspec


class EntryHello(msgspec.Struct, tag=1, array_like=True):
    """Registration of an entry with its agent; requests every service newer than `applied`.

    The agent repeats the `nonce` in every view that it sends afterwards.
    """

    entry: str
    incarnation: int
    applied: dict[str, int]
    nonce: int = 0


class ServiceBody(msgspec.Struct, array_like=True):
    """One accepted service object as its stored JSON."""

    service: str
    revision: int
    body: bytes


class MemberNotice(msgspec.Struct, array_like=True):
    """One member fact; `kind` and `state` hold MemberKind and MemberState values."""

    name: str
    kind: str
    incarnation: int
    state: str
    observed_at: float
    source: str


class VerdictNotice(msgspec.Struct, array_like=True):
    """An entry's health verdict on a target; `valid_for_s` counts from the time of receipt.

    Verdicts of one source are ordered by its incarnation and sequence number.
    """

    service: str
    target: str
    verdict: str
    source: str
    valid_for_s: float
    incarnation: int
    sequence: int

    def version(self) -> tuple[int, int]:
        """Return the key that orders the verdicts of one source."""
        return self.incarnation, self.sequence


class ProbeNotice(msgspec.Struct, array_like=True):
    """One probe result; `age_s` is its age at the time of sending.

    `term` is the term of the probe grant for the service's shard. `reachable` is false when the
    target refused the connection or timed out; the load fields are -1 then.
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
    """Update of an entry's configuration snapshot; `complete` says that nothing is missing.

    `fleet_entries` is the number of live entries, among which connections and slots are divided;
    `entry_rank` is the receiving entry's index among them. `reply_to` is the nonce of the last
    hello that the agent handled.
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
    """What an entry has applied and observed, reported to its agent."""

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

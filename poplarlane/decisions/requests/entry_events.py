"""Events of the entry, raised by its shell."""

from enum import IntEnum

from poplarlane.decisions.configuration.directory import Catalogue
from poplarlane.decisions.events import Event
from poplarlane.decisions.quarantine.fingerprints import Content
from poplarlane.messages import ViewUpdate
from poplarlane.outcomes import RequestFailure


class EntryEvent(Event):
    """Base class of the entry's events; `random_value` is 64 random bits."""

    __slots__ = ("random_value",)

    def __init__(self, now: float, random_value: int) -> None:
        self.now = now
        self.random_value = random_value


class RequestArrived(EntryEvent):
    """A complete request has arrived.

    `labels` is empty and `deadline_ms` None from untrusted sources. `hedged_above` means that a
    process further up the call chain hedges this read; `trace_id` is the caller's request id.
    `content` gives the digest of the request if it is needed.
    process further up the call chain hedges this read; `trace_id` is the caller's request id,
    `key_digest` the digest of a customer's key.
    """

    __slots__ = (
        "request_id",
        "host",
        "method",
        "path",
        "labels",
        "deadline_ms",
        "attempt",
        "retried",
        "hedged_above",
        "trace_id",
        "content",
        "key_digest",
    )

    def __init__(
        self,
        now: float,
        random_value: int,
        request_id: int,
        host: str,
        method: str,
        path: str,
        labels: str,
        deadline_ms: float | None,
        attempt: int,
        retried: bool,
        hedged_above: bool = False,
        trace_id: str = "",
        content: Content | None = None,
        key_digest: bytes = b"",
    ) -> None:
        self.now = now
        self.random_value = random_value
        self.request_id = request_id
        self.host = host
        self.method = method
        self.path = path
        self.labels = labels
        self.deadline_ms = deadline_ms
        self.attempt = attempt
        self.retried = retried
        self.hedged_above = hedged_above
        self.trace_id = trace_id
        self.content = content
        self.key_digest = key_digest


class RequestMalformed(EntryEvent):
    """The input of a caller could not be parsed as a request."""

    __slots__ = ("caller_id", "source", "refusal")

    def __init__(
        self, now: float, random_value: int, caller_id: int, source: str, refusal: RequestFailure
    ) -> None:
        super().__init__(now, random_value)
        self.caller_id = caller_id
        self.source = source
        self.refusal = refusal


class CallerDisconnected(EntryEvent):
    """The caller of a request has closed its connection."""

    __slots__ = ("request_id",)

    def __init__(self, now: float, random_value: int, request_id: int) -> None:
        super().__init__(now, random_value)
        self.request_id = request_id


class AttemptSent(EntryEvent):
    """The first byte of a request was written to a target's socket."""

    __slots__ = ("attempt_id",)

    def __init__(self, now: float, random_value: int, attempt_id: int) -> None:
        self.now = now
        self.random_value = random_value
        self.attempt_id = attempt_id


class FailureCause(IntEnum):
    """Why an attempt ended without a complete response."""

    CONNECT_FAILED = 1
    CLOSED_BEFORE_ANSWER = 2
    ANSWER_TRUNCATED = 3
    ANSWER_INVALID = 4


class AttemptFailed(EntryEvent):
    """An attempt ended without a complete response."""

    __slots__ = ("attempt_id", "cause", "detail")

    def __init__(
        self, now: float, random_value: int, attempt_id: int, cause: FailureCause, detail: str
    ) -> None:
        super().__init__(now, random_value)
        self.attempt_id = attempt_id
        self.cause = cause
        self.detail = detail


class ResponseMetadata:
    """What the response header fields say about the target; `in_flight` includes queued requests.

    A detailed load report also gives the running and queued requests, and the slowdown as a
    multiple of the normal service time; without one, `running` is None. `rate_limit_per_s` is the
    rate that the target takes from all entries together, None if the response names none;
    `retry_after_s` is the time for which a target that turns a request away wants no other;
    `cold_s` is the time for which it stays cold;
    `malformed_statements` and `malformed_reports` hold, by header, why one was set aside; the
    former are those that a target asks for something with.
    """

    __slots__ = (
        "status",
        "not_run",
        "retried",
        "in_flight",
        "leaving",
        "running",
        "waiting",
        "slowdown",
        "instance",
        "rate_limit_per_s",
        "retry_after_s",
        "cold_s",
        "malformed_statements",
        "malformed_reports",
    )

    def __init__(self) -> None:
        self.status = 0
        self.not_run = False
        self.retried = False
        self.in_flight: float | None = None
        self.leaving = False
        self.running: int | None = None
        self.waiting = 0
        self.slowdown = 1.0
        self.instance = ""
        self.rate_limit_per_s: float | None = None
        self.retry_after_s: float | None = None
        self.cold_s: float | None = None
        self.malformed_statements: dict[str, str] = {}
        self.malformed_reports: dict[str, str] = {}


class AttemptResponse(EntryEvent):
    """A response, or a part of it, to an attempt."""

    __slots__ = ("attempt_id", "metadata")

    def __init__(
        self, now: float, random_value: int, attempt_id: int, metadata: ResponseMetadata
    ) -> None:
        self.now = now
        self.random_value = random_value
        self.attempt_id = attempt_id
        self.metadata = metadata


class InterimReceived(AttemptResponse):
    """An interim response arrived before the final response to an attempt."""

    __slots__ = ()


class ProbeAnswered(EntryEvent):
    """A probe that was sent for a request was answered."""

    __slots__ = ("probe_id", "metadata")

    def __init__(
        self, now: float, random_value: int, probe_id: int, metadata: ResponseMetadata
    ) -> None:
        super().__init__(now, random_value)
        self.probe_id = probe_id
        self.metadata = metadata


class ProbeFailed(EntryEvent):
    """A probe got no response."""

    __slots__ = ("probe_id",)

    def __init__(self, now: float, random_value: int, probe_id: int) -> None:
        super().__init__(now, random_value)
        self.probe_id = probe_id


class ProcessChecked(EntryEvent):
    """A check found that a target's process is gone, or did not find it."""

    __slots__ = ("target_name", "is_gone")

    def __init__(self, now: float, random_value: int, target_name: str, is_gone: bool) -> None:
        super().__init__(now, random_value)
        self.target_name = target_name
        self.is_gone = is_gone


class ResponseStarted(AttemptResponse):
    """A response turned out too large to buffer."""

    __slots__ = ()


class ResponseCompleted(AttemptResponse):
    """A response was received completely and parsed without error."""

    __slots__ = ()


class TimerFired(EntryEvent):
    """The instant set by SetTimer has passed."""

    __slots__ = ()


class ViewReceived(EntryEvent):
    """A view update arrived from the agent."""

    __slots__ = ("view",)

    def __init__(self, now: float, random_value: int, view: ViewUpdate) -> None:
        super().__init__(now, random_value)
        self.view = view


class EntryPaused(EntryEvent):
    """The process did not run for `gap_s` seconds."""

    __slots__ = ("gap_s",)

    def __init__(self, now: float, random_value: int, gap_s: float) -> None:
        super().__init__(now, random_value)
        self.gap_s = gap_s


class ProcessHalted(EntryEvent):
    """The event loop did not run for `halt_s` seconds of the clock that events are timed by."""

    __slots__ = ("halt_s",)

    def __init__(self, now: float, random_value: int, halt_s: float) -> None:
        super().__init__(now, random_value)
        self.halt_s = halt_s


class ReportDue(EntryEvent):
    """The next periodic report to the agent is due."""

    __slots__ = ()


class StopSignalled(EntryEvent):
    """The process received a signal to stop."""

    __slots__ = ()


class CatalogueChanged(EntryEvent):
    """A new catalogue, and the number of entries in the fleet.

    `is_confirmed` means that the catalogue was read from the store after the last process pause,
    `is_fleet_known` that the number is known from other nodes and not only the least expected.
    """

    __slots__ = ("catalogue", "fleet_entries", "is_confirmed", "is_fleet_known")

    def __init__(
        self,
        now: float,
        random_value: int,
        catalogue: Catalogue,
        fleet_entries: int,
        is_confirmed: bool = False,
        is_fleet_known: bool = True,
    ) -> None:
        super().__init__(now, random_value)
        self.is_confirmed = is_confirmed
        self.is_fleet_known = is_fleet_known
        self.catalogue = catalogue
        self.fleet_entries = fleet_entries


class FleetDigestReceived(EntryEvent):
    """A digest of the fleet, made `age_s` ago by `root` from the reports of `nodes` nodes."""

    __slots__ = ("sections", "age_s", "root", "nodes")

    def __init__(
        self,
        now: float,
        random_value: int,
        sections: dict[str, bytes],
        age_s: float,
        root: str,
        nodes: int,
    ) -> None:
        super().__init__(now, random_value)
        self.sections = sections
        self.age_s = age_s
        self.root = root
        self.nodes = nodes

"""Effects of the entry, executed by its shell."""

from poplarlane.decisions.effects import Effect
from poplarlane.messages import EntryHello, EntryReport
from poplarlane.outcomes import RequestFailure, ResultCode
from poplarlane.types import CallerLimits, Target


class SendRequest(Effect):
    """Send a request to a target as one attempt; `customer` is empty for those of none."""

    __slots__ = (
        "request_id",
        "attempt_id",
        "target",
        "number",
        "retried",
        "hedged_above",
        "deadline",
        "customer",
    )

    def __init__(
        self,
        request_id: int,
        attempt_id: int,
        target: Target,
        number: int,
        retried: bool,
        hedged_above: bool,
        deadline: float,
        customer: str = "",
    ) -> None:
        self.request_id = request_id
        self.attempt_id = attempt_id
        self.target = target
        self.number = number
        self.retried = retried
        self.hedged_above = hedged_above
        self.deadline = deadline
        self.customer = customer


class CancelAttempt(Effect):
    """Cancel an attempt or a probe and close its connection."""

    __slots__ = ("attempt_id",)

    def __init__(self, attempt_id: int) -> None:
        self.attempt_id = attempt_id


class ProbeTarget(Effect):
    """Probe a target for its load on a pooled connection; CancelAttempt cancels the probe."""

    __slots__ = ("probe_id", "target")

    def __init__(self, probe_id: int, target: Target) -> None:
        self.probe_id = probe_id
        self.target = target


class CheckProcess(Effect):
    """Check on a new connection whether the process of a target is gone.

    Without `may_probe` the connection is opened but nothing is sent, so that no budget is used.
    """

    __slots__ = ("target", "may_probe")

    def __init__(self, target: Target, may_probe: bool) -> None:
        self.target = target
        self.may_probe = may_probe


class SetCallerLimits(Effect):
    """Set the size and time limits on what callers send."""

    __slots__ = ("limits",)

    def __init__(self, limits: CallerLimits) -> None:
        self.limits = limits


class DeliverAnswer(Effect):
    """Send the complete response of a target to the caller."""

    __slots__ = ("request_id", "attempt_id", "code", "retried", "close")

    def __init__(
        self, request_id: int, attempt_id: int, code: ResultCode, retried: bool, close: bool
    ) -> None:
        self.request_id = request_id
        self.attempt_id = attempt_id
        self.code = code
        self.retried = retried
        self.close = close


class StreamAnswer(DeliverAnswer):
    """Start to stream a response that is too large to buffer."""

    __slots__ = ()


class FinishStream(Effect):
    """End a streamed response after its last byte."""

    __slots__ = ("request_id", "attempt_id")

    def __init__(self, request_id: int, attempt_id: int) -> None:
        self.request_id = request_id
        self.attempt_id = attempt_id


class CutAnswer(Effect):
    """End a streamed response: answer with the failure, or reset if a part was written.

    The reset keeps a truncated response from looking complete.
    """

    __slots__ = ("request_id", "outcome", "retried", "close")

    def __init__(
        self, request_id: int, outcome: RequestFailure, retried: bool, close: bool
    ) -> None:
        self.request_id = request_id
        self.outcome = outcome
        self.retried = retried
        self.close = close


class RefuseRequest(Effect):
    """Send the caller a response that this entry generates."""

    __slots__ = ("request_id", "outcome", "retried", "close")

    def __init__(
        self, request_id: int, outcome: RequestFailure, retried: bool, close: bool
    ) -> None:
        self.request_id = request_id
        self.outcome = outcome
        self.retried = retried
        self.close = close


class RefuseCaller(Effect):
    """Reject malformed input and close the caller's connection."""

    __slots__ = ("caller_id", "outcome")

    def __init__(self, caller_id: int, outcome: RequestFailure) -> None:
        self.caller_id = caller_id
        self.outcome = outcome


class SetTimer(Effect):
    """Raise TimerFired at an instant; replaces an earlier SetTimer."""

    __slots__ = ("at",)

    def __init__(self, at: float) -> None:
        self.at = at


class SetConnectionLimit(Effect):
    """Limit the connections kept open to one target; 0 closes the idle ones."""

    __slots__ = ("target", "limit")

    def __init__(self, target: Target, limit: int) -> None:
        self.target = target
        self.limit = limit


class SendToAgent(Effect):
    """Send a message to the agent."""

    __slots__ = ("message",)

    def __init__(self, message: EntryHello | EntryReport) -> None:
        self.message = message


class StartAccepting(Effect):
    """Start to accept connections on the port that is already bound."""

    __slots__ = ()


class StopAccepting(Effect):
    """Close the listening socket, and the idle connections of callers shortly after."""

    __slots__ = ()


class Stop(Effect):
    """End the process once every caller's connection is closed; `at_once` does not wait."""

    __slots__ = ("at_once",)

    def __init__(self, at_once: bool) -> None:
        self.at_once = at_once


class NotifyFleet(Effect):
    """Send the urgent sections of this node to the other nodes without waiting."""

    __slots__ = ()

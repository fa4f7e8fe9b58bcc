"""Stages of the start of a node, and the requests that it refused until it served well."""

from collections.abc import Callable
from enum import StrEnum

from poplarlane.outcomes import ResultCode

# A node that starts with all others serves well some seconds later.
REPORT_AFTER_S = 15.0
# Refusals for a reason of this node or of the fleet, not of the request or of its target.
OWN_REFUSALS = frozenset(
    {
        ResultCode.NOT_READY,
        ResultCode.NO_TARGET,
        ResultCode.DEADLINE_UNMEETABLE,
        ResultCode.OVERLOADED,
        ResultCode.RATE_LIMITED,
        ResultCode.CONFIGURATION_UNCONFIRMED,
        ResultCode.QUOTA_EXCEEDED,
    }
)


class Stage(StrEnum):
    """What a node reaches once after its start, in the usual order."""

    SETTINGS = "settings"
    LISTENING = "listening"
    LISTED = "listed"
    READY = "ready"
    EXCHANGE = "exchange"
    MEMBER = "member"
    DIGEST = "digest"
    FLEET = "fleet"
    ANSWER = "answer"


class StartTimeline:
    """When a node reached each stage, in seconds of its clock."""

    __slots__ = ("clock", "began_at", "reached_at", "refused", "last_refusal_at", "ends_at")

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.began_at = clock()
        self.reached_at: dict[Stage, float] = {}
        # Refusals by code until the timeline ends, and when the last of them was.
        self.refused: dict[ResultCode, int] = {}
        self.last_refusal_at: float | None = None
        self.ends_at = self.began_at + REPORT_AFTER_S

    def reach(self, stage: Stage) -> None:
        """Record that a stage has been reached, if it is the first time."""
        if stage not in self.reached_at:
            self.reached_at[stage] = self.clock()

    def count(self, code: ResultCode) -> None:
        """Count a response to a caller."""
        if code == ResultCode.ANSWERED:
            self.reach(Stage.ANSWER)
        elif code in OWN_REFUSALS:
            now = self.clock()
            if now < self.ends_at:
                self.refused[code] = self.refused.get(code, 0) + 1
                self.last_refusal_at = now

    def stages_ms(self) -> dict[str, int]:
        """Return the milliseconds from the start to each stage that has been reached."""
        return {stage.value: self.since_start_ms(at) for stage, at in self.reached_at.items()}

    def since_start_ms(self, at: float) -> int:
        """Return the milliseconds from the start to a time."""
        return round((at - self.began_at) * 1000.0)

    def document(self) -> dict:
        """Describe the start for the status page and the log."""
        last = self.last_refusal_at
        return {
            "stages_ms": self.stages_ms(),
            "refused": {str(int(code)): count for code, count in self.refused.items()},
            "last_refusal_ms": None if last is None else self.since_start_ms(last),
        }

    def log_fields(self) -> dict[str, int | str | None]:
        """Return the fields of the log line about the start."""
        fields: dict[str, int | str | None] = {
            f"{stage}_ms": found for stage, found in self.stages_ms().items()
        }
        counts = sorted(self.refused.items(), key=lambda item: -item[1])
        fields["refused"] = ",".join(f"{int(code)}:{count}" for code, count in counts) or "none"
        if self.last_refusal_at is not None:
            fields["last_refusal_ms"] = self.since_start_ms(self.last_refusal_at)
        return fields

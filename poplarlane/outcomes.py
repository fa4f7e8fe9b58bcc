"""Result codes and the failures of a request that carry them.

Codes 1200 to 1299 mean that the request was not executed, 1300 to 1399 that its outcome is unknown,
and 1400 to 1499 that it was malformed and not executed. Codes 2000 to 2999 belong to configuration
and control. `docs/result-codes.md` lists every code.
"""

from dataclasses import dataclass
from enum import IntEnum

# Callers read these statuses as "not run, and never will be", whoever has sent them.
REFUSAL_STATUSES = frozenset({408, 421, 429, 503})


class ResultCode(IntEnum):
    """Outcomes that are visible to callers and operators."""

    ANSWERED = 1000
    TARGET_FAILED = 1100
    NOT_READY = 1200
    NO_SERVICE = 1201
    NO_TARGET = 1202
    NOT_ALLOWED = 1203
    QUEUE_FULL = 1204
    DEADLINE_UNMEETABLE = 1205
    CONNECT_FAILED = 1206
    REFUSED_BY_TARGET = 1207
    SHUTTING_DOWN = 1208
    DEADLINE_BEFORE_SEND = 1209
    NO_ROUTE = 1210
    OVERLOADED = 1211
    RATE_LIMITED = 1212
    TARGETS_PAUSED = 1213
    QUARANTINED = 1214
    NO_TARGET_AT_HOME = 1218
    KEY_UNKNOWN = 1215
    CONFIGURATION_UNCONFIRMED = 1216
    QUOTA_EXCEEDED = 1217
    OUTCOME_UNKNOWN = 1300
    DEADLINE_AFTER_SEND = 1301
    ANSWER_TRUNCATED = 1302
    ANSWER_INVALID = 1303
    CRASHES_TARGETS = 1304
    REFUSAL_UNPROVEN = 1305
    BAD_REQUEST = 1400
    HEAD_TOO_LARGE = 1401
    BODY_TOO_LARGE = 1402
    REQUEST_TIMEOUT = 1403
    METHOD_UNSUPPORTED = 1404
    FRAMING_EXCESSIVE = 1405
    CHANGE_DONE = 2000
    CHANGE_FAILED = 2001
    USAGE_WRONG = 2002
    CHANGE_CONFLICT = 2003
    OBJECT_INVALID = 2004
    PLATFORM_UNREACHABLE = 2005
    CHANGE_OUTCOME_UNKNOWN = 2006
    WAIT_TIMED_OUT = 2007
    REVISION_ACCEPTED = 2100
    REVISION_STALE = 2101
    REVISION_REJECTED = 2102


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request was certainly not executed; `retry_after_s` 0 means no Retry-After time."""

    code: ResultCode
    detail: str
    status: int = 503
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """A target may have executed the request, but there is no complete response."""

    code: ResultCode
    detail: str
    status: int = 502


@dataclass(frozen=True, slots=True)
class MalformedRequest:
    """The request violates HTTP or a size limit."""

    code: ResultCode
    detail: str
    status: int = 400


RequestFailure = NotRun | OutcomeUnknown | MalformedRequest

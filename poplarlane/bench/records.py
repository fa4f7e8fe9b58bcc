"""Records of what callers saw, and of what targets executed."""

from enum import IntEnum

import msgspec


class Seen(IntEnum):
    """Name how one request ended at its caller."""

    OK = 0
    NOT_RUN = 1
    UNKNOWN = 2
    TARGET_FAILED = 3
    MALFORMED = 4
    MISSING = 5
    TRUNCATED = 6
    CANCELLED = 7
    MIXED = 8
    NO_ENTRY = 9
    TIMED_OUT = 10


class Record(msgspec.Struct, array_like=True):
    """Hold one request; times are seconds, `at` of CLOCK_MONOTONIC, `due_s` after the start."""

    index: int
    service: int
    kind: int
    entry: int
    due_s: float
    at: float
    latency_s: float
    send_lag_s: float
    status: int
    code: int
    seen: int


class WorkerPlan(msgspec.Struct):
    """Tell a load worker what to send; `entries` holds address, port and admin port."""

    experiment: str
    segment: str
    layout: bytes
    entries: list[tuple[str, int, int]]
    load: float
    duration_s: float
    max_requests: int
    seed: int
    worker: int
    workers: int
    begin: float
    cancel_share: float
    cancel_after_s: float
    output: str


RECORDS_DECODER = msgspec.msgpack.Decoder(list[Record])


def request_id(segment: str, index: int) -> str:
    """Name one request."""
    return f"{segment}-{index}"

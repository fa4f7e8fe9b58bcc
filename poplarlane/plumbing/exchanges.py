"""A request to a target, or a probe of it, with the response received so far."""

import asyncio
from typing import TYPE_CHECKING

from poplarlane.plumbing.heads import ResponseHead

if TYPE_CHECKING:
    from poplarlane.plumbing.targets import TargetConnection


class Exchange:
    """One attempt, from its start to the end of its response.

    Body parts are buffered here until the reducer decides what to do with the response.
    """

    __slots__ = (
        "attempt_id",
        "request_id",
        "is_head",
        "request_header_id",
        "data",
        "body",
        "connection",
        "task",
        "head",
        "parts",
        "buffered_bytes",
        "counted_bytes",
        "streaming_to",
        "cancelled",
        "is_probe",
    )

    def __init__(
        self,
        attempt_id: int,
        request_id: int,
        is_head: bool,
        request_header_id: bytes,
        data: bytes,
        is_probe: bool = False,
    ) -> None:
        self.attempt_id = attempt_id
        self.request_id = request_id
        self.is_head = is_head
        self.request_header_id = request_header_id
        self.data = data
        # Parts of a body that is written piece by piece after the data.
        self.body: list[bytearray] = []
        self.connection: TargetConnection | None = None
        self.task: asyncio.Task | None = None
        self.head: ResponseHead | None = None
        self.parts: list[bytes] = []
        self.buffered_bytes = 0
        # Bytes of the buffered parts that are in the memory account.
        self.counted_bytes = 0
        self.streaming_to = None
        self.cancelled = False
        # A probe has an attempt ID but belongs to no request.
        self.is_probe = is_probe

"""A request to a target, or a probe of it, with the response received so far."""

import asyncio
from typing import TYPE_CHECKING

from poplarlane.plumbing.heads import ResponseHead

if TYPE_CHECKING:
    from poplarlane.plumbing.caller_requests import CallerRequest
    from poplarlane.plumbing.targets import TargetConnection


# Parts of a body are merged up to this size.
PART_BYTES = 65_536


class Exchange:
    """One attempt, from its start to the end of its response.

    Body parts are buffered here until the reducer decides what to do with the response.
    """

    __slots__ = (
        "attempt_id",
        "request_id",
        "request",
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
        # The caller's request; None for a probe.
        self.request: CallerRequest | None = None
        self.is_head = is_head
        self.request_header_id = request_header_id
        self.data = data
        # Parts of a body that is written piece by piece after the data.
        self.body: list[bytearray] = []
        self.connection: TargetConnection | None = None
        self.task: asyncio.Task | None = None
        self.head: ResponseHead | None = None
        self.parts: list[bytes | bytearray] = []
        self.buffered_bytes = 0
        # Bytes of the buffered parts that are in the memory account.
        self.counted_bytes = 0
        self.streaming_to = None
        self.cancelled = False
        # A probe has an attempt ID but belongs to no request.
        self.is_probe = is_probe

    def add_part(self, data: bytes) -> None:
        """Buffer body bytes, merged with the last part while that is small.

        A part of its own for each chunk of some bytes would take up to 50 times their memory.
        """
        parts = self.parts
        if parts and len(parts[-1]) + len(data) <= PART_BYTES:
            if type(parts[-1]) is bytes:
                parts[-1] = bytearray(parts[-1])
            parts[-1] += data
        else:
            parts.append(data)
        self.buffered_bytes += len(data)

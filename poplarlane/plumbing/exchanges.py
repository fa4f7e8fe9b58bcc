"""One request to a target, or one probe of it, and what has arrived of its answer."""

import asyncio
from typing import TYPE_CHECKING

from poplarlane.plumbing.heads import ResponseHead

if TYPE_CHECKING:
    from poplarlane.plumbing.targets import TargetConnection


class Exchange:
    """Hold one attempt from its start to the end of its answer.

    Held body parts stay here until the reducer decides what becomes of the answer.
    """

    __slots__ = (
        "attempt_id",
        "request_id",
        "is_head",
        "request_header_id",
        "data",
        "connection",
        "task",
        "head",
        "parts",
        "buffered_bytes",
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
        self.connection: TargetConnection | None = None
        self.task: asyncio.Task | None = None
        self.head: ResponseHead | None = None
        self.parts: list[bytes] = []
        self.buffered_bytes = 0
        self.streaming_to = None
        self.cancelled = False
        # A probe takes the number of an attempt but belongs to no request.
        self.is_probe = is_probe

    def is_complete(self) -> bool:
        """Tell whether a held body has all the bytes that its head announced."""
        length = self.head.length
        return (
            length is not None and self.streaming_to is None and self.buffered_bytes == int(length)
        )

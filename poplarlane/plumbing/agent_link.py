"""ZeroMQ connection of an entry to its agent.

The entry connects a DEALER socket and the agent binds a ROUTER socket; each message is one frame.
"""

import asyncio
from collections.abc import Callable

import msgspec
import zmq
import zmq.asyncio

from poplarlane.logs import log
from poplarlane.messages import ENCODER, VIEW_DECODER, EntryHello, EntryReport, ViewUpdate
from poplarlane.plumbing.peer_sockets import DOMAIN
from poplarlane.plumbing.unreadable_objects import UnreadableObjects

# Limit for an unreachable agent; each report supersedes the ones before it.
SEND_QUEUE_MESSAGES = 16
RECONNECT_MS = 100
RECONNECT_MAX_MS = 1_000


class AgentLink:
    """Exchange messages with the agent; reconnects by itself when the agent is unreachable."""

    __slots__ = ("context", "socket", "receive", "task")

    def __init__(self, address: str, port: int, receive: Callable[[ViewUpdate], None]) -> None:
        self.context = zmq.asyncio.Context()
        self.socket = self.context.socket(zmq.DEALER)
        # Views may be larger than messages between agents.
        self.socket.setsockopt(zmq.ZAP_DOMAIN, DOMAIN)
        self.socket.setsockopt(zmq.LINGER, 0)
        self.socket.setsockopt(zmq.SNDHWM, SEND_QUEUE_MESSAGES)
        self.socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
        self.socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
        self.socket.connect(f"tcp://{address}:{port}")
        self.receive = receive
        self.task: asyncio.Task | None = None

    def start(self) -> None:
        """Receive messages in a background task."""
        self.task = asyncio.get_running_loop().create_task(self.run())

    async def run(self) -> None:
        """Pass every view to the receiver; log and drop undecodable messages."""
        while True:
            frames = await self.socket.recv_multipart()
            try:
                view = VIEW_DECODER.decode(frames[-1])
            except msgspec.MsgspecError as error:
                log("bad_message", "warning", source="agent", reason=str(error))
                continue
            self.receive(view)

    def send(self, message: EntryHello | EntryReport) -> None:
        """Send a message, or drop it when the send queue is full."""
        # The send of zmq.asyncio would wait; the synchronous one fails at once when it would block.
        try:
            zmq.Socket.send(self.socket, ENCODER.encode(message), zmq.DONTWAIT)
        except zmq.Again:
            return

    def notify_fleet(self) -> None:
        """Do nothing: entries with an agent exchange no messages."""

    def unreadable_objects(self) -> list[UnreadableObjects]:
        """Return nothing: the agent reads the objects."""
        return []

    def close(self) -> None:
        """Close the socket."""
        if self.task is not None:
            self.task.cancel()
        self.socket.close()
        self.context.term()

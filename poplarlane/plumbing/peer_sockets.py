"""ZeroMQ sockets to other agents or nodes, and of an agent to the entries of its VM."""

import asyncio
from collections.abc import Callable

import msgspec
import zmq
import zmq.asyncio

from poplarlane.error_text import error_text
from poplarlane.logs import log
from poplarlane.plumbing.turns import WorkPauses

# Queue for a peer that does not read; messages beyond it are dropped, and digests repair that.
SEND_QUEUE_MESSAGES = 1_000
LINGER_MS = 300
# Share of the time that messages of one socket may take while more of them wait.
MESSAGE_SHARE = 0.5
MAX_MESSAGE_BYTES = 4_000_000
RECONNECT_MS = 100
RECONNECT_MAX_MS = 2_000
# A connection that has gone silent, or does not open, is opened anew. The kernel would go on for
# minutes, and for several seconds after a partition has healed.
SILENCE_TIMEOUT_MS = 2_000
CONNECT_TIMEOUT_MS = 1_000
# Messages that wait at a DEALER, which nobody reads.
UNREAD_MESSAGES = 1
# Without a handler a domain changes nothing between nodes. libzmq then refuses ZMTP 1.0, which has
# no handshake: it takes almost any bytes for messages, and holds one of endless parts in memory.
DOMAIN = b"poplarlane"

MessageHandler = Callable[[bytes, bytes], None]


def limit_input(socket: zmq.Socket) -> None:
    """Bound what one connection may bring into memory; to be set before bind or connect."""
    socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
    socket.setsockopt(zmq.ZAP_DOMAIN, DOMAIN)


class PeerSockets:
    """One ROUTER to receive from peers, a DEALER to send to each peer, a ROUTER for entries."""

    __slots__ = ("context", "router", "entries", "dealers", "counts", "source", "tasks")

    def __init__(self, source: str) -> None:
        self.context = zmq.asyncio.Context()
        self.router: zmq.asyncio.Socket | None = None
        self.entries: zmq.asyncio.Socket | None = None
        self.dealers: dict[str, zmq.Socket] = {}
        self.counts = {
            "sent": 0,
            "sent_bytes": 0,
            "received": 0,
            "received_bytes": 0,
            "dropped": 0,
        }
        self.source = source
        self.tasks: set[asyncio.Future] = set()

    def bind(self, address: str, exchange_port: int, entry_port: int) -> None:
        """Bind both ROUTERs; raises zmq.ZMQError when a port is in use."""
        self.bind_peer_router(address, exchange_port)
        self.entries = self.make_router(address, entry_port)

    def bind_peer_router(self, address: str, port: int) -> None:
        """Bind the ROUTER for peers; raises zmq.ZMQError when the port is in use."""
        self.router = self.make_router(address, port)

    def start_receiving(self, peer: MessageHandler, entry: MessageHandler | None = None) -> None:
        """Pass messages on from now on, those that have waited since the sockets were bound too."""
        self.track(asyncio.ensure_future(self.receive(self.router, peer, True)))
        if entry is not None:
            self.track(asyncio.ensure_future(self.receive(self.entries, entry, False)))

    def make_router(self, address: str, port: int) -> zmq.asyncio.Socket:
        """Create and bind a ROUTER."""
        router = self.context.socket(zmq.ROUTER)
        router.setsockopt(zmq.LINGER, LINGER_MS)
        limit_input(router)
        router.setsockopt(zmq.SNDHWM, SEND_QUEUE_MESSAGES)
        # An entry that reconnects under its identity replaces its old connection.
        router.setsockopt(zmq.ROUTER_HANDOVER, 1)
        router.bind(f"tcp://{address}:{port}")
        return router

    def track(self, future: asyncio.Future) -> None:
        """Keep a reference to a future until it is done."""
        self.tasks.add(future)
        future.add_done_callback(self.on_done)

    def on_done(self, future: asyncio.Future) -> None:
        """Remove a finished future; a failed send, as to a vanished entry, is only counted."""
        self.tasks.discard(future)
        if not future.cancelled() and future.exception() is not None:
            self.counts["dropped"] += 1

    async def receive(
        self, socket: zmq.asyncio.Socket, deliver: MessageHandler, counted: bool
    ) -> None:
        """Pass received messages to a handler; log and drop malformed ones."""
        pauses = WorkPauses(MESSAGE_SHARE)
        while True:
            await pauses.pause_if_due()
            pauses.stop()
            frames = await socket.recv_multipart()
            pauses.resume()
            if counted:
                self.counts["received"] += 1
                self.counts["received_bytes"] += sum(map(len, frames))
            try:
                deliver(frames[0], frames[-1])
            except msgspec.MsgspecError as error:
                log("message_malformed", level="warning", reason=str(error))
            except Exception as error:
                # An error in one message must not stop the control work of the VM.
                log("message_failed", level="error", reason=error_text(error))

    def connect(self, name: str, address: str, port: int, keep_unsent: bool = True) -> None:
        """Open or replace the DEALER to a peer.

        Without `keep_unsent`, messages are dropped while there is no connection: a message that
        states the age of data must not be delivered late, after the peer's restart.
        """
        self.disconnect(name)
        dealer = zmq.Socket(zmq.Context.shadow(self.context.underlying), zmq.DEALER)
        limit_input(dealer)
        dealer.setsockopt(zmq.RCVHWM, UNREAD_MESSAGES)
        dealer.setsockopt(zmq.LINGER, LINGER_MS)
        dealer.setsockopt(zmq.SNDHWM, SEND_QUEUE_MESSAGES)
        dealer.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
        dealer.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
        dealer.setsockopt(zmq.TCP_MAXRT, SILENCE_TIMEOUT_MS)
        dealer.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
        dealer.setsockopt(zmq.IMMEDIATE, 0 if keep_unsent else 1)
        dealer.connect(f"tcp://{self.source}:0;{address}:{port}")
        self.dealers[name] = dealer

    def disconnect(self, name: str) -> None:
        """Close the DEALER to a peer."""
        dealer = self.dealers.pop(name, None)
        if dealer is not None:
            dealer.close(0)

    def send(self, name: str, payload: bytes) -> None:
        """Send to a peer; the message is dropped when the send queue is full."""
        dealer = self.dealers.get(name)
        if dealer is None:
            return
        try:
            dealer.send(payload, zmq.NOBLOCK)
        except zmq.Again:
            self.counts["dropped"] += 1
            return
        self.counts["sent"] += 1
        self.counts["sent_bytes"] += len(payload)

    def send_to_entry(self, identity: bytes, payload: bytes) -> None:
        """Send to an entry of this VM."""
        self.track(self.entries.send_multipart([identity, payload], zmq.NOBLOCK))

    def close(self) -> None:
        """Close all sockets; queued messages are sent for up to LINGER_MS."""
        for task in list(self.tasks):
            task.cancel()
        for dealer in self.dealers.values():
            dealer.close(LINGER_MS)
        for router in (self.router, self.entries):
            if router is not None:
                router.close(LINGER_MS)
        self.context.term()

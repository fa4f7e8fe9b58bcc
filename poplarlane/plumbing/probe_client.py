"""Load probes of targets, each on a new connection."""

import asyncio
import socket
from collections.abc import Callable
from typing import Annotated

import h11
import msgspec

from poplarlane.number_grammar import MAX_NUMBER
from poplarlane.plumbing.platform_client import read_response
from poplarlane.plumbing.resets import reset_on_close

# Responses to probes are some bytes long; one without end must not fill the agent's memory.
MAX_PROBE_BYTES = 16_384
# Larger integers cannot be encoded in a message.
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]


class ProbeDocument(msgspec.Struct):
    """A target's response to a probe."""

    in_flight: Count = 0
    queued: Count = 0
    leaving: bool = False


class ProbeOutcome:
    """Result of a probe; `sent` is false only when no byte can have been sent.

    `sent_at` is the time immediately before the first byte was sent.
    """

    __slots__ = ("sent", "sent_at", "arrived", "response", "latency_s", "reason")

    def __init__(
        self,
        sent: bool,
        sent_at: float,
        response: ProbeDocument | None,
        latency_s: float,
        reason: str,
        arrived: bool = False,
    ) -> None:
        self.sent = sent
        self.sent_at = sent_at
        self.arrived = arrived
        self.response = response
        self.latency_s = latency_s
        self.reason = reason


PROBE_DECODER = msgspec.json.Decoder(ProbeDocument)


async def probe(
    address: str,
    port: int,
    source: str,
    timeout_s: float,
    clock: Callable[[], float],
    may_send: Callable[[float], bool],
) -> ProbeOutcome:
    """Send a probe if `may_send` allows it immediately before its first byte is sent."""
    sent_at = started = clock()
    sent = False
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(address, port, local_addr=(source, 0))
            set_send_timeout(writer, timeout_s)
            connection = h11.Connection(h11.CLIENT)
            data = request_bytes(connection, f"{address}:{port}")
            # This check must directly precede the write: the process may have been paused at any
            # point before, and the grant may have expired or been released meanwhile.
            sent_at = clock()
            if not may_send(sent_at):
                return ProbeOutcome(False, sent_at, None, 0.0, "deadline")
            sent = True
            writer.write(data)
            response = await read_response(reader, connection, MAX_PROBE_BYTES)
        document = PROBE_DECODER.decode(response.body) if response.status == 200 else None
        reason = "" if document else f"status {response.status}"
        return ProbeOutcome(sent, sent_at, document, clock() - started, reason, True)
    except TimeoutError:
        return ProbeOutcome(sent, sent_at, None, clock() - started, "timeout")
    except (OSError, h11.ProtocolError, msgspec.MsgspecError) as error:
        return ProbeOutcome(sent, sent_at, None, clock() - started, type(error).__name__)
    finally:
        if writer is not None:
            writer.transport.abort()


def set_send_timeout(writer: asyncio.StreamWriter, timeout_s: float) -> None:
    """Let the kernel drop unacknowledged data on time, even while this process is paused."""
    peer: socket.socket = writer.get_extra_info("socket")
    peer.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    peer.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(timeout_s * 1000))
    reset_on_close(peer)


def request_bytes(connection: h11.Connection, host: str) -> bytes:
    """Encode the probe request."""
    headers = [("host", host), ("connection", "close")]
    head = connection.send(h11.Request(method="GET", target="/_probe", headers=headers))
    return head + (connection.send(h11.EndOfMessage()) or b"")

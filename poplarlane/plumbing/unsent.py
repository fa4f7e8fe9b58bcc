"""Bytes written to a connection that the peer has not acknowledged."""

import asyncio
import fcntl
import struct
import termios

QUEUE_SIZE = struct.Struct("i")


def unsent_bytes(transport: asyncio.Transport) -> int:
    """Return the bytes in the transport's buffer and in the kernel's send queue.

    A reset discards both.
    """
    waiting = transport.get_write_buffer_size()
    endpoint = transport.get_extra_info("socket")
    if endpoint is None or endpoint.fileno() < 0:
        return waiting
    queued = fcntl.ioctl(endpoint.fileno(), termios.TIOCOUTQ, bytes(QUEUE_SIZE.size))
    return waiting + QUEUE_SIZE.unpack(queued)[0]

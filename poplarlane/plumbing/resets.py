"""Close connections with a TCP reset instead of an orderly shutdown."""

import asyncio
import socket
import struct

RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def reset_on_close(endpoint: socket.socket) -> None:
    """Make closing the socket reset the connection."""
    endpoint.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


def reset(transport: asyncio.Transport) -> None:
    """Close a connection with a reset.

    An abort alone sends a FIN if there is no unread input, and a truncated response without a
    length would then look complete.
    """
    endpoint = transport.get_extra_info("socket")
    if endpoint is not None and endpoint.fileno() >= 0:
        reset_on_close(endpoint)
    transport.abort()

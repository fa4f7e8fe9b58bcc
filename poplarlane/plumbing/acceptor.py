"""Listening socket that can be closed without dropping accepted connections.

asyncio.Server loses a connection that it has accepted if the server is closed before the
connection's transport is created: the transport's constructor asserts that the server is open.
"""

import asyncio
import socket
from collections.abc import Callable

from poplarlane.logs import log

LISTEN_BACKLOG = 1_024
# Errors such as too many open files would otherwise recur in a busy loop.
ACCEPT_RETRY_S = 0.2


class Acceptor:
    """Accept connections on a bound, non-blocking socket; `factory` creates their protocols."""

    __slots__ = ("listener", "factory", "loop", "tasks", "listening", "is_stopped")

    def __init__(self, listener: socket.socket, factory: Callable[[], asyncio.Protocol]) -> None:
        self.listener = listener
        self.factory = factory
        self.loop = asyncio.get_running_loop()
        self.tasks: set[asyncio.Task] = set()
        self.listening = False
        self.is_stopped = False

    def drop_waiting(self) -> None:
        """Reset the connections that wait in the backlog, unless they are already accepted."""
        if self.listening or self.is_stopped:
            return
        waiting = self.listener
        # Bound first, so that the port stays this process's even if closing fails.
        self.listener = bind_listener(*waiting.getsockname()[:2])
        waiting.close()

    def start(self) -> None:
        """Start listening and accepting."""
        self.listener.listen(LISTEN_BACKLOG)
        self.listening = True
        self.watch()

    def watch(self) -> None:
        """Accept connections whenever the listener is readable."""
        if self.listening:
            self.loop.add_reader(self.listener, self.accept_waiting)

    def accept_waiting(self) -> None:
        """Accept all pending connections; the loop is bounded by the length of the backlog."""
        for _ in range(LISTEN_BACKLOG):
            try:
                connection, _ = self.listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                log("accept_failed", "error", reason=str(error))
                self.loop.remove_reader(self.listener)
                self.loop.call_later(ACCEPT_RETRY_S, self.watch)
                return
            connection.setblocking(False)
            task = self.loop.create_task(self.connect(connection))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def connect(self, connection: socket.socket) -> None:
        """Create the transport of an accepted connection."""
        try:
            await self.loop.connect_accepted_socket(self.factory, connection)
        except OSError:
            connection.close()

    def stop(self) -> None:
        """Accept all pending connections, then close the listener."""
        self.is_stopped = True
        if self.listening:
            self.listening = False
            self.loop.remove_reader(self.listener)
            self.accept_waiting()
        self.listener.close()


def bind_listener(address: str, port: int) -> socket.socket:
    """Bind a listening socket that other entries on the VM may share; raises OSError."""
    family = socket.AF_INET6 if ":" in address else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    listener.bind((address, port))
    listener.setblocking(False)
    return listener


def listen_early(address: str, port: int) -> socket.socket:
    """Listen before anything else is loaded; raises OSError.

    Callers that connect while the process starts then wait in the backlog. Without a listener
    their connections are reset, and after a loss of all VMs they have no other to go to.
    """
    listener = bind_listener(address, port)
    listener.listen(LISTEN_BACKLOG)
    return listener

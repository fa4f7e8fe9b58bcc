"""A target that answers with raw bytes, for shapes that no well-behaved server sends."""

import contextlib
import socket
import threading

RAW_PORT = 22_700


class RawTarget:
    """Answer each request with the given bytes and watch how its connection ends."""

    def __init__(self, address: str) -> None:
        self.listener = socket.create_server((address, RAW_PORT))
        self.answer = b""
        self.close_after = False
        self.heads: list[bytes] = []
        self.connections = 0
        self.closed = 0
        self.changed = threading.Condition()
        self.sockets: list[socket.socket] = []
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        """Serve each connection in a thread."""
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            with self.changed:
                self.connections += 1
                self.sockets.append(connection)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection: socket.socket) -> None:
        """Answer every head until the peer closes."""
        try:
            while data := connection.recv(65_536):
                self.heads.append(data)
                connection.sendall(self.answer)
                if self.close_after:
                    break
        except OSError:
            pass
        connection.close()
        with self.changed:
            self.closed += 1
            self.changed.notify_all()

    def wait_until_closed(self, count: int) -> bool:
        """Wait until this many connections have ended."""
        with self.changed:
            return self.changed.wait_for(lambda: self.closed >= count, timeout=5)

    def close(self) -> None:
        """Stop listening and end the connections."""
        # A shutdown wakes threads that wait in accept or recv; a close alone would not.
        for endpoint in [self.listener, *self.sockets]:
            with contextlib.suppress(OSError):
                endpoint.shutdown(socket.SHUT_RDWR)
            endpoint.close()

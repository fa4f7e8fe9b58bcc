"""A transport without a network that records what a protocol does to it."""

import socket


class RecordingTransport:
    """Keep what was written, and whether the transport is read from and has ended."""

    def __init__(self):
        self.written = b""
        self.aborted = False
        self.ended = False
        self.is_reading = True
        # Bytes that the peer has not taken yet.
        self.waiting = 0

    def get_extra_info(self, name):
        if name == "socket":
            # An open socket on which nothing has arrived.
            self.socket, self.peer = socket.socketpair()
            return self.socket
        return ("127.0.0.1", 1)

    def set_write_buffer_limits(self, high):
        """Take the bound of the write buffer."""

    def get_write_buffer_size(self):
        return self.waiting

    def is_closing(self):
        return self.aborted or self.ended

    def write(self, data):
        assert not self.ended, data
        self.written += data

    def write_eof(self):
        self.ended = True

    def abort(self):
        self.aborted = self.ended = True

    close = abort

    def pause_reading(self):
        self.is_reading = False

    def resume_reading(self):
        self.is_reading = True

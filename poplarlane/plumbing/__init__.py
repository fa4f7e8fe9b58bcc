"""Network I/O: sockets, HTTP, ZeroMQ and the platform client."""

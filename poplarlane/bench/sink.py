"""Server that answers every request with the same bytes; it costs little CPU itself."""

import argparse
import asyncio
import sys

HEAD_END = b"\r\n\r\n"
BODY = b"s" * 256
ANSWER = (
    b"HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\nx-target: sink\r\n"
    b"x-load: in_flight=1;queued=0\r\nx-body-crc: 00000000\r\ncontent-length: 256\r\n\r\n"
) + BODY


class Sink(asyncio.Protocol):
    """Answer once per head, at once or after a delay; requests have no body."""

    def __init__(self, delay_s: float) -> None:
        self.delay_s = delay_s

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Keep the transport."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Answer each head that ends in the data; heads are sent in one piece on loopback."""
        for _ in range(data.count(HEAD_END)):
            if self.delay_s:
                asyncio.get_running_loop().call_later(self.delay_s, self.transport.write, ANSWER)
            else:
                self.transport.write(ANSWER)


async def serve(listen: str, ports: int, delay_s: float) -> None:
    """Serve on consecutive ports until the process is ended."""
    address, _, first = listen.rpartition(":")
    loop = asyncio.get_running_loop()
    servers = [
        await loop.create_server(lambda: Sink(delay_s), address, port)
        for port in range(int(first), int(first) + ports)
    ]
    print("event=ready", file=sys.stderr, flush=True)
    await asyncio.gather(*(server.serve_forever() for server in servers))


def main() -> None:
    """Run the sink."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", required=True, metavar="ADDRESS:PORT")
    parser.add_argument("--ports", type=int, default=1)
    parser.add_argument("--delay-ms", type=float, default=0.0)
    arguments = parser.parse_args()
    asyncio.run(serve(arguments.listen, arguments.ports, arguments.delay_ms / 1000.0))


if __name__ == "__main__":
    main()

"""TCP routes of the stand-in proxy."""

import asyncio
import contextlib

from poplarlane.plumbing.resets import reset
from poplarlane.settings import ProxyRoute
from poplarlane.standins.proxy_faults import RouteState

READ_BYTES = 65_536


class Pair:
    """Hold the two sides of one proxied connection."""

    __slots__ = ("client", "upstream", "broken")

    def __init__(self, client: asyncio.StreamWriter, upstream: asyncio.StreamWriter) -> None:
        self.client = client
        self.upstream = upstream
        self.broken = asyncio.Event()

    def reset(self) -> None:
        """Reset both sides."""
        reset(self.client.transport)
        reset(self.upstream.transport)
        self.broken.set()


class TcpRoute:
    """Forward the connections of one route and apply its faults."""

    __slots__ = ("route", "state", "listener", "pairs")

    def __init__(self, route: ProxyRoute, state: RouteState) -> None:
        self.route = route
        self.state = state
        self.listener: asyncio.Server | None = None
        self.pairs: set[Pair] = set()

    async def listen(self) -> None:
        """Start to accept connections."""
        self.listener = await asyncio.start_server(
            self.serve, self.route.listen_address, self.route.listen_port, reuse_address=True
        )

    async def follow_faults(self) -> None:
        """Close the listener during a partition, so that new connections are refused."""
        if self.state.faults.partition and self.listener is not None:
            self.listener.close()
            self.listener = None
        elif not self.state.faults.partition and self.listener is None:
            await self.listen()

    def reset_all(self) -> None:
        """Reset every open connection."""
        for pair in list(self.pairs):
            self.state.counts["resets"] += 1
            pair.reset()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forward one connection until either side ends."""
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                self.route.upstream_address, self.route.upstream_port
            )
        except OSError:
            reset(writer.transport)
            return
        self.state.counts["connections"] += 1
        pair = Pair(writer, upstream_writer)
        self.pairs.add(pair)
        pumps = [
            asyncio.ensure_future(self.pump(pair, reader, upstream_writer, False)),
            asyncio.ensure_future(self.pump(pair, upstream_reader, writer, True)),
            asyncio.ensure_future(pair.broken.wait()),
        ]
        try:
            await self.wait_for_end(pumps)
        finally:
            for pump in pumps:
                pump.cancel()
            self.pairs.discard(pair)
            writer.close()
            upstream_writer.close()

    async def wait_for_end(self, pumps: list[asyncio.Future]) -> None:
        """Wait until both directions ended or the pair is broken."""
        to_upstream, to_client, broken = pumps
        waiting = {to_upstream, to_client}
        while waiting and not broken.done():
            done, _ = await asyncio.wait(waiting | {broken}, return_when=asyncio.FIRST_COMPLETED)
            waiting -= done

    async def pump(
        self,
        pair: Pair,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        to_client: bool,
    ) -> None:
        """Forward one direction; an orderly end is passed on as a half-close."""
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                delay_s = self.state.delay_s() if to_client else 0.0
                if delay_s:
                    await asyncio.sleep(delay_s)
                await self.state.healed.wait()
                if not await self.forward(pair, writer, data, to_client):
                    return
            await self.state.healed.wait()
            if writer.can_write_eof():
                writer.write_eof()
            return
        pair.broken.set()

    async def forward(
        self, pair: Pair, writer: asyncio.StreamWriter, data: bytes, to_client: bool
    ) -> bool:
        """Forward one chunk under the faults in force; False ends the direction."""
        faults, counts = self.state.faults, self.state.counts
        if faults.drop_to_client if to_client else faults.drop_to_upstream:
            counts["dropped"] += 1
            return True
        if to_client and self.state.hit(faults.reset_share):
            counts["resets"] += 1
            pair.reset()
            return False
        if to_client and self.state.hit(faults.truncate_share):
            counts["truncated"] += 1
            writer.write(data[: faults.truncate_after])
            writer.close()
            pair.broken.set()
            return False
        writer.write(data)
        counts["forwarded"] += 1
        await writer.drain()
        if to_client and faults.half_close:
            counts["half_closed"] += 1
            writer.write_eof()
            return False
        return True

    def close(self) -> None:
        """Stop forwarding."""
        if self.listener is not None:
            self.listener.close()
        for pair in list(self.pairs):
            pair.reset()

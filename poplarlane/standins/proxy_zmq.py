"""pyzmq routes of the stand-in proxy: a relay between DEALER clients and one ROUTER."""

import asyncio

import zmq
import zmq.asyncio

from poplarlane.settings import ProxyRoute
from poplarlane.standins.proxy_faults import RouteState

# libzmq starts the routing ids that it makes up itself with a zero byte.
GENERATED_ID_START = b"\0"
MAX_QUEUED_MESSAGES = 10_000
# Each pair of a sender and a receiver has a socket; the default of libzmq is 1,023.
MAX_SOCKETS = 16_384


class ZmqRoute:
    """Relay messages of one route; each client keeps a DEALER of its own to the upstream."""

    __slots__ = ("route", "state", "context", "router", "dealers", "tasks")

    def __init__(self, route: ProxyRoute, state: RouteState) -> None:
        self.route = route
        self.state = state
        self.context = zmq.asyncio.Context.instance()
        self.context.set(zmq.MAX_SOCKETS, MAX_SOCKETS)
        self.router: zmq.asyncio.Socket | None = None
        self.dealers: dict[bytes, zmq.asyncio.Socket] = {}
        self.tasks: set[asyncio.Task] = set()

    async def listen(self) -> None:
        """Bind the ROUTER that clients connect to."""
        self.router = self.context.socket(zmq.ROUTER)
        self.router.setsockopt(zmq.LINGER, 0)
        self.router.setsockopt(zmq.SNDHWM, MAX_QUEUED_MESSAGES)
        # A client that reconnects with its routing id replaces its old connection.
        self.router.setsockopt(zmq.ROUTER_HANDOVER, 1)
        self.router.bind(f"tcp://{self.route.listen_address}:{self.route.listen_port}")
        self.spawn(self.relay_to_upstream())

    async def follow_faults(self) -> None:
        """Do nothing: a partition drops messages, connections stay."""

    def reset_all(self) -> None:
        """Close every upstream connection; the next message of a client opens a new one."""
        for dealer in self.dealers.values():
            dealer.close(0)
        self.dealers.clear()

    def spawn(self, coroutine) -> None:
        """Run a coroutine until the route closes."""
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def dealer_for(self, client: bytes) -> zmq.asyncio.Socket:
        """Give the client's own DEALER; a routing id that the client set is kept."""
        dealer = self.dealers.get(client)
        if dealer is None:
            dealer = self.context.socket(zmq.DEALER)
            dealer.setsockopt(zmq.LINGER, 0)
            dealer.setsockopt(zmq.SNDHWM, MAX_QUEUED_MESSAGES)
            if not client.startswith(GENERATED_ID_START):
                dealer.setsockopt(zmq.IDENTITY, client)
            dealer.connect(f"tcp://{self.route.upstream_address}:{self.route.upstream_port}")
            self.dealers[client] = dealer
            self.state.counts["connections"] += 1
            self.spawn(self.relay_to_client(client, dealer))
        return dealer

    async def relay_to_upstream(self) -> None:
        """Relay messages from clients."""
        while True:
            client, *frames = await self.router.recv_multipart()
            faults = self.state.faults
            if self.lost(faults.loss_to_upstream, faults.drop_to_upstream):
                continue
            await self.send(self.dealer_for(client), frames)

    async def relay_to_client(self, client: bytes, dealer: zmq.asyncio.Socket) -> None:
        """Relay messages to one client."""
        while not dealer.closed:
            try:
                frames = await dealer.recv_multipart()
            except (zmq.ZMQError, asyncio.CancelledError):
                return
            faults = self.state.faults
            if not self.lost(faults.loss_to_client, faults.drop_to_client):
                await self.send(self.router, [client, *frames])

    def lost(self, share: float, dropped: bool) -> bool:
        """Draw whether a message is lost."""
        if dropped or self.state.faults.partition or self.state.hit(share):
            self.state.counts["dropped"] += 1
            return True
        self.state.counts["forwarded"] += 1
        return False

    async def send(self, peer: zmq.asyncio.Socket, frames: list[bytes]) -> None:
        """Send a message now, or later under a delay; messages may then overtake."""
        delay_s = self.state.delay_s()
        if delay_s:
            self.spawn(self.send_later(delay_s, peer, frames))
        elif not peer.closed:
            await peer.send_multipart(frames)

    async def send_later(self, delay_s: float, peer: zmq.asyncio.Socket, frames: list) -> None:
        """Send a delayed message."""
        await asyncio.sleep(delay_s)
        if not peer.closed:
            await peer.send_multipart(frames)

    def close(self) -> None:
        """Stop relaying."""
        for task in list(self.tasks):
            task.cancel()
        self.reset_all()
        self.router.close(0)

"""Stand-in for the network: a proxy that injects faults into TCP and pyzmq routes."""

import asyncio

import msgspec

from poplarlane.logs import log
from poplarlane.settings import ProxyRoute, ProxySettings, settings_from_arguments
from poplarlane.standins.daemon import run_daemon
from poplarlane.standins.http_server import Exchange, HttpServer
from poplarlane.standins.proxy_faults import RouteState
from poplarlane.standins.proxy_tcp import TcpRoute
from poplarlane.standins.proxy_zmq import ZmqRoute

Route = TcpRoute | ZmqRoute


class Admin:
    """Answer the calls that set faults and read counts."""

    __slots__ = ("routes", "tasks")

    def __init__(self, routes: dict[str, Route]) -> None:
        self.routes = routes
        self.tasks: set[asyncio.Task] = set()

    def handle(self, exchange: Exchange) -> None:
        """Route one call: GET /routes, GET or POST /routes/NAME."""
        steps = exchange.path.strip("/").split("/")
        if steps == ["routes"]:
            shown = {name: route.state.document() for name, route in self.routes.items()}
            exchange.reply_json(200, shown)
            return
        route = self.routes.get(steps[1]) if len(steps) == 2 and steps[0] == "routes" else None
        if route is None:
            exchange.reply_json(404, {"error": f"no such path: {exchange.path}"})
        elif exchange.method == "GET":
            exchange.reply_json(200, route.state.document())
        else:
            task = asyncio.ensure_future(self.set_faults(exchange, route))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def set_faults(self, exchange: Exchange, route: Route) -> None:
        """Change the faults named in the body; `clear` ends all, `reset_now` resets once."""
        try:
            update = msgspec.json.decode(exchange.body, type=dict)
            if update.pop("clear", False):
                route.state.faults = type(route.state.faults)()
            reset_now = update.pop("reset_now", False)
            route.state.apply(update)
        except msgspec.MsgspecError as error:
            exchange.reply_json(400, {"error": str(error)})
            return
        if reset_now:
            route.reset_all()
        await route.follow_faults()
        log("faults_changed", route=route.state.name, faults=exchange.body.decode())
        exchange.reply_json(200, route.state.document())


def make_route(route: ProxyRoute, seed: int) -> Route:
    """Build the route for its mode."""
    state = RouteState(route.name, seed)
    return ZmqRoute(route, state) if route.mode == "zmq" else TcpRoute(route, state)


def main() -> None:
    """Run the stand-in proxy."""
    settings = settings_from_arguments(ProxySettings, "Forward connections and inject faults.")

    async def start():
        routes = {route.name: make_route(route, settings.seed) for route in settings.routes}
        for route in routes.values():
            await route.listen()
        server = HttpServer(Admin(routes).handle)
        await server.listen(settings.admin_address, settings.admin_port)

        async def stop() -> None:
            for route in routes.values():
                route.close()
            server.close()

        return stop

    run_daemon(settings, start)

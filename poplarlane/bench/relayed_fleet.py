"""A fleet of agents whose messages and platform calls pass the fault-injecting proxy."""

import time
from typing import Any

from poplarlane.bench.layout import (
    AGENT_ADMIN_PORT,
    AGENT_EXCHANGE_PORT,
    PLATFORM_PORT,
    TARGET_PORT,
    Layout,
    Vm,
)
from poplarlane.bench.processes import EVENT_TIMEOUT_S, Launcher, Process
from poplarlane.bench.standin_client import call

PROXY_ADMIN_PORT = 25_000
ROUTE_PORT_BASE = 26_000
PLATFORM_ROUTE_PORT = 25_900


class RelayedFleet:
    """Run agents whose messages pass a relay per (data centre of the sender, receiver).

    The calls to the platform pass a TCP route per data centre. One proxy process relays everything,
    or with `proxy_per_data_centre` one per data centre of the receiver.
    """

    def __init__(
        self,
        launcher: Launcher,
        seed: int,
        data_centres: list[str],
        proxy_per_data_centre: bool = False,
    ) -> None:
        self.launcher = launcher
        self.layout = Layout(launcher, seed)
        self.data_centres = data_centres
        shared = "" if proxy_per_data_centre else launcher.new_host()
        self.proxies = {centre: shared or launcher.new_host() for centre in data_centres}
        self.seed = seed
        self.routes: dict[str, dict[str, Any]] = {}
        self.proxy_processes: list[Process] = []
        self.extra: dict[str, Any] = {}

    def start(self, agents: int, spare: int = 0, **platform: Any) -> None:
        """Start platform, proxy and agents; spare VMs are known but not started."""
        self.prepare(agents + spare, **platform)
        self.start_agents(self.vms[:agents])

    def prepare(self, vms: int, **platform: Any) -> None:
        """Start platform and proxies for some VMs."""
        self.layout.start_platform(**platform)
        count = len(self.data_centres)
        for number in range(vms):
            self.layout.add_vm(f"vm-{number}", self.data_centres[number % count])
        for vm in self.vms:
            for centre in self.data_centres:
                name, proxy = f"{centre}-{vm.name}", self.proxies[vm.data_centre]
                self.add_route(name, "zmq", proxy, vm.address, AGENT_EXCHANGE_PORT)
        for number, centre in enumerate(self.data_centres):
            address, proxy = self.layout.platform_address, self.proxies[centre]
            self.add_route(f"platform-{centre}", "tcp", proxy, address, PLATFORM_PORT)
            self.routes[f"platform-{centre}"]["listen_port"] = PLATFORM_ROUTE_PORT + number
        for number, proxy in enumerate(sorted(set(self.proxies.values()))):
            routes = self.routes.values()
            settings = {
                "name": f"proxy-{number}",
                "admin_address": proxy,
                "admin_port": PROXY_ADMIN_PORT,
                "seed": self.seed,
                "routes": [route for route in routes if route["listen_address"] == proxy],
            }
            process = self.launcher.start("poplarlane-standin-proxy", settings)
            self.proxy_processes.append(process)

    def start_agents(self, vms: list[Vm], timeout_s: float = EVENT_TIMEOUT_S) -> None:
        """Start the agents of some VMs and wait until they are ready."""
        for vm in vms:
            self.start_agent(vm, None)
        for vm in vms:
            vm.agent.wait_for("ready", timeout_s)

    def add_route(self, name: str, mode: str, proxy: str, address: str, port: int) -> None:
        """Describe a route of a proxy."""
        self.routes[name] = {
            "name": name,
            "mode": mode,
            "listen_address": proxy,
            "listen_port": ROUTE_PORT_BASE + len(self.routes),
            "upstream_address": address,
            "upstream_port": port,
        }

    @property
    def vms(self) -> list[Vm]:
        """List all VMs."""
        return self.layout.vms

    @property
    def running(self) -> list[Vm]:
        """List the VMs whose agent was started."""
        return [vm for vm in self.vms if vm.agent is not None]

    def start_agent(self, vm: Vm, ready_event: str | None = "ready", **settings: Any) -> Process:
        """Start an agent that reaches its peers and the platform through the proxy."""
        peers = [
            {
                "name": f"agent-{other.name}",
                "address": self.proxies[other.data_centre],
                "port": self.routes[f"{vm.data_centre}-{other.name}"]["listen_port"],
                "data_centre": other.data_centre,
            }
            for other in self.vms
            if other is not vm
        ]
        base = {
            "seed_peers": peers,
            "platform_address": self.proxies[vm.data_centre],
            "platform_port": self.routes[f"platform-{vm.data_centre}"]["listen_port"],
        }
        merged = base | self.extra | settings
        return self.layout.start_agent(vm, ready_event, **merged)

    def start_entries(self) -> None:
        """Start an entry on every running VM."""
        self.start_entries_of(self.running)

    def start_entries_of(self, vms: list[Vm]) -> None:
        """Start an entry on some VMs."""
        for vm in vms:
            self.layout.start_entry(vm, None)
        for vm in vms:
            vm.entry.wait_for("ready")

    def proxy(self, route: str, **faults: Any) -> None:
        """Set the faults of a route."""
        address = self.routes[route]["listen_address"]
        answer = call(address, PROXY_ADMIN_PORT, "POST", f"/routes/{route}", faults)
        assert answer.status == 200, answer.body

    def lose_messages(self, share: float) -> None:
        """Lose a share of the messages on every relay."""
        for name, route in self.routes.items():
            if route["mode"] == "zmq":
                self.proxy(name, loss_to_upstream=share)

    def dropped(self) -> int:
        """Count the messages that the relays lost."""
        return sum(
            route["counts"]["dropped"]
            for proxy in set(self.proxies.values())
            for route in call(proxy, PROXY_ADMIN_PORT, "GET", "/routes").json().values()
        )

    def platform(self, method: str, path: str, body: Any = None, **headers: str) -> Any:
        """Call the platform directly; asserts success."""
        shown = {key.replace("_", "-"): value for key, value in headers.items()}
        answer = call(self.layout.platform_address, PLATFORM_PORT, method, path, body, shown)
        assert answer.status == 200, (path, answer.status, answer.body)
        return answer.json()

    def platform_faults(self, **faults: Any) -> None:
        """Set faults of the platform."""
        self.platform("POST", "/v1/faults", faults)

    def write(self, service: dict[str, Any], copy: bool = True) -> float:
        """Write an object and its copy; give the time before the write."""
        at = time.time()
        self.platform("PUT", f"/v1/objects/services/{service['service']}", service)
        if copy:
            self.platform("PUT", f"/v1/objects/service-copies/{service['service']}", service)
        return at

    def write_raw(self, name: str, body: bytes) -> None:
        """Write any bytes as a service object."""
        answer = call(
            self.layout.platform_address,
            PLATFORM_PORT,
            "PUT",
            f"/v1/objects/services/{name}",
            body,
        )
        assert answer.status == 200, answer.body

    def status(self, vm: Vm) -> dict[str, Any]:
        """Read an agent's status."""
        return call(vm.address, AGENT_ADMIN_PORT, "GET", "/status").json()

    def is_ready(self, vm: Vm) -> bool:
        """Read an agent's readiness."""
        return call(vm.address, AGENT_ADMIN_PORT, "GET", "/_ready").status == 200

    def probes_at(self, target: str) -> list[float]:
        """List the arrival times of probes at a target."""
        ledger = call(self.layout.targets[target], TARGET_PORT, "GET", "/_ledger").json()
        return sorted(at for at, _ in ledger["probes"])

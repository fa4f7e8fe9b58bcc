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
from poplarlane.bench.processes import Launcher, Process
from poplarlane.bench.standin_client import call

PROXY_ADMIN_PORT = 25_000
ROUTE_PORT_BASE = 26_000
PLATFORM_ROUTE_PORT = 25_900


class RelayedFleet:
    """Run agents whose messages pass a relay per (data centre of the sender, receiver).

    The calls to the platform pass a TCP route per data centre.
    """

    def __init__(self, launcher: Launcher, seed: int, data_centres: list[str]) -> None:
        self.launcher = launcher
        self.layout = Layout(launcher, seed)
        self.data_centres = data_centres
        self.proxy_address = launcher.new_host()
        self.seed = seed
        self.routes: list[dict[str, Any]] = []
        self.extra: dict[str, Any] = {}

    def start(self, agents: int, spare: int = 0, **platform: Any) -> None:
        """Start platform, proxy and agents; spare VMs are known but not started."""
        self.layout.start_platform(**platform)
        count = len(self.data_centres)
        for number in range(agents + spare):
            self.layout.add_vm(f"vm-{number}", self.data_centres[number % count])
        for vm in self.vms:
            for centre in self.data_centres:
                self.add_route(f"{centre}-{vm.name}", "zmq", vm.address, AGENT_EXCHANGE_PORT)
        for number, centre in enumerate(self.data_centres):
            self.add_route(f"platform-{centre}", "tcp", self.layout.platform_address, PLATFORM_PORT)
            self.routes[-1]["listen_port"] = PLATFORM_ROUTE_PORT + number
        settings = {
            "name": "proxy",
            "admin_address": self.proxy_address,
            "admin_port": PROXY_ADMIN_PORT,
            "seed": self.seed,
            "routes": self.routes,
        }
        self.launcher.start("poplarlane-standin-proxy", settings)
        for vm in self.vms[:agents]:
            self.start_agent(vm, None)
        for vm in self.vms[:agents]:
            vm.agent.wait_for("ready")

    def add_route(self, name: str, mode: str, address: str, port: int) -> None:
        """Describe a route of the proxy."""
        self.routes.append(
            {
                "name": name,
                "mode": mode,
                "listen_address": self.proxy_address,
                "listen_port": ROUTE_PORT_BASE + len(self.routes),
                "upstream_address": address,
                "upstream_port": port,
            }
        )

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
        ports = {route["name"]: route["listen_port"] for route in self.routes}
        peers = [
            {
                "name": f"agent-{other.name}",
                "address": self.proxy_address,
                "port": ports[f"{vm.data_centre}-{other.name}"],
                "data_centre": other.data_centre,
            }
            for other in self.vms
            if other is not vm
        ]
        base = {
            "seed_peers": peers,
            "platform_address": self.proxy_address,
            "platform_port": ports[f"platform-{vm.data_centre}"],
        }
        merged = base | self.extra | settings
        return self.layout.start_agent(vm, ready_event, **merged)

    def start_entries(self) -> None:
        """Start an entry on every running VM."""
        for vm in self.running:
            self.layout.start_entry(vm, None)
        for vm in self.running:
            vm.entry.wait_for("ready")

    def proxy(self, route: str, **faults: Any) -> None:
        """Set the faults of a route."""
        answer = call(self.proxy_address, PROXY_ADMIN_PORT, "POST", f"/routes/{route}", faults)
        assert answer.status == 200, answer.body

    def lose_messages(self, share: float) -> None:
        """Lose a share of the messages on every relay."""
        for route in self.routes:
            if route["mode"] == "zmq":
                self.proxy(route["name"], loss_to_upstream=share)

    def dropped(self) -> int:
        """Count the messages that the relays lost."""
        answer = call(self.proxy_address, PROXY_ADMIN_PORT, "GET", "/routes").json()
        return sum(route["counts"]["dropped"] for route in answer.values())

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

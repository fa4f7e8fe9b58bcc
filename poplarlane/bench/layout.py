"""Lay out a small deployment of real processes on loopback addresses."""

from typing import Any

from poplarlane.bench.processes import Launcher, Process
from poplarlane.bench.standin_client import call

PLATFORM_PORT = 21_000
TARGET_PORT = 22_000
ENTRY_PORT = 23_000
ENTRY_ADMIN_PORT = 23_001
AGENT_EXCHANGE_PORT = 24_000
AGENT_ENTRY_PORT = 24_001
AGENT_ADMIN_PORT = 24_002


class Vm:
    """Describe one VM of poplarlane: an agent and an entry on one address."""

    __slots__ = ("name", "address", "data_centre", "agent", "entry")

    def __init__(self, name: str, address: str, data_centre: str) -> None:
        self.name = name
        self.address = address
        self.data_centre = data_centre
        self.agent: Process | None = None
        self.entry: Process | None = None


class Layout:
    """Start a platform, targets, and VMs with an agent and an entry each."""

    __slots__ = ("launcher", "platform_address", "vms", "targets", "seed")

    def __init__(self, launcher: Launcher, seed: int = 1) -> None:
        self.launcher = launcher
        self.platform_address = launcher.new_host()
        self.vms: list[Vm] = []
        self.targets: dict[str, str] = {}
        self.seed = seed

    def start_platform(self, **settings: Any) -> Process:
        """Start the stand-in platform."""
        base = {
            "name": "platform",
            "listen_address": self.platform_address,
            "listen_port": PLATFORM_PORT,
            "seed": self.seed,
        }
        return self.launcher.start("poplarlane-standin-platform", base | settings)

    def start_target(self, name: str, data_centre: str, **settings: Any) -> Process:
        """Start a stand-in target and register its VM."""
        address = self.targets.get(name) or self.launcher.new_host()
        self.targets[name] = address
        base = {
            "name": name,
            "listen_address": address,
            "listen_port": TARGET_PORT,
            "seed": self.seed + len(self.targets),
        }
        process = self.launcher.start("poplarlane-standin-target", base | settings)
        self.register_vm(name, address, data_centre, "target")
        return process

    def add_vm(self, name: str, data_centre: str) -> Vm:
        """Give a VM an address and register it, without starting its processes."""
        vm = Vm(name, self.launcher.new_host(), data_centre)
        self.vms.append(vm)
        self.register_vm(name, vm.address, data_centre, "poplarlane")
        return vm

    def start_agent(self, vm: Vm, ready_event: str | None = "ready", **settings: Any) -> Process:
        """Start the agent of a VM; the other VMs are its seed peers."""
        peers = [other for other in self.vms if other is not vm]
        base = agent_settings(vm, self.platform_address, peers) | {"seed": self.seed}
        vm.agent = self.launcher.start("poplarlane-agent", base | settings, ready_event)
        return vm.agent

    def start_entry(self, vm: Vm, ready_event: str | None = "ready", **settings: Any) -> Process:
        """Start the entry of a VM."""
        base = entry_settings(vm) | {"seed": self.seed}
        vm.entry = self.launcher.start("poplarlane-entry", base | settings, ready_event)
        return vm.entry

    def register_vm(self, name: str, address: str, data_centre: str, role: str) -> None:
        """Put a VM on the platform's list."""
        register_vm(self.platform_address, name, address, data_centre, role)

    def service_object(self, service: str, labels: dict[str, dict[str, str]]) -> dict[str, Any]:
        """Build a service object over the started targets; `labels` maps target names."""
        return {
            "service": service,
            "revision": 1,
            "change_id": f"initial-{service}",
            "hosts": [f"{service}.example"],
            "requests": [
                {"name": "read", "methods": ["GET"], "idempotent": True, "hedge": True},
                {"name": "book", "methods": ["POST"], "priority": "high"},
            ],
            "targets": {
                name: {
                    "address": self.targets[name],
                    "port": TARGET_PORT,
                    "data_centre": "local",
                    "labels": own,
                }
                for name, own in labels.items()
            },
            "selectors": {"everyone": {"callers": "", "targets": "role=serving"}},
        }


def agent_settings(vm: Vm, platform_address: str, peers: list[Vm]) -> dict[str, Any]:
    """Build the settings of a VM's agent."""
    return {
        "name": f"agent-{vm.name}",
        "data_centre": vm.data_centre,
        "listen_address": vm.address,
        "exchange_port": AGENT_EXCHANGE_PORT,
        "entry_port": AGENT_ENTRY_PORT,
        "admin_port": AGENT_ADMIN_PORT,
        "platform_address": platform_address,
        "platform_port": PLATFORM_PORT,
        "seed_peers": [peer_settings(peer) for peer in peers],
    }


def peer_settings(vm: Vm) -> dict[str, Any]:
    """Describe an agent as a seed peer."""
    return {
        "name": f"agent-{vm.name}",
        "address": vm.address,
        "port": AGENT_EXCHANGE_PORT,
        "data_centre": vm.data_centre,
    }


def entry_settings(vm: Vm) -> dict[str, Any]:
    """Build the settings of a VM's entry."""
    return {
        "name": f"entry-{vm.name}",
        "data_centre": vm.data_centre,
        "listen_address": vm.address,
        "listen_port": ENTRY_PORT,
        "admin_port": ENTRY_ADMIN_PORT,
        "agent_address": vm.address,
        "agent_port": AGENT_ENTRY_PORT,
        "trusted_sources": ["127.0.0.0/8"],
    }


def register_vm(
    platform_address: str,
    name: str,
    address: str,
    data_centre: str,
    role: str,
    state: str = "live",
    incarnation: int = 1,
) -> None:
    """Put a VM on the platform's list; raises RuntimeError unless it succeeds."""
    document = {
        "name": name,
        "address": address,
        "data_centre": data_centre,
        "role": role,
        "state": state,
        "incarnation": incarnation,
    }
    answer = call(platform_address, PLATFORM_PORT, "PUT", f"/v1/vms/{name}", document)
    if answer.status != 200:
        raise RuntimeError(f"VM {name}: status {answer.status}: {answer.body[:200]!r}")

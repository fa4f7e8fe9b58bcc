"""Settings of the daemons: JSON files that are validated at start.

The composition root converts durations in milliseconds to seconds.
"""

import argparse
import ipaddress
import random
import re
import socket
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, Literal, TypeVar

import msgspec
from msgspec import Meta

from poplarlane.addresses import is_ip, is_socket_address, split_address
from poplarlane.number_grammar import MAX_NUMBER

Port = Annotated[int, Meta(ge=1, le=65535)]
Milliseconds = Annotated[int, Meta(ge=0, le=3_600_000)]
PositiveCount = Annotated[int, Meta(ge=1, le=10_000_000)]
Positive = Annotated[float, Meta(gt=0.0, le=MAX_NUMBER)]
NotNegative = Annotated[float, Meta(ge=0.0, le=MAX_NUMBER)]
Share = Annotated[float, Meta(ge=0.0, le=1.0)]
Name = Annotated[str, Meta(pattern=r"^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$")]
SocketAddress = Annotated[str, Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$")]
Level = Literal["debug", "info", "warning", "error"]

EXIT_BAD_SETTINGS = 2

S = TypeVar("S", bound="Settings")


class Settings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Settings common to all daemons."""

    name: Name
    log_level: Level = "info"


class TracingSettings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Share of requests that are traced, and the file for their spans."""

    sample_ratio: Share = 0.0
    file: str = ""


class EntrySettings(Settings, kw_only=True):
    """Settings of an entry."""

    data_centre: Name
    listen_address: str
    listen_port: Port
    admin_port: Port
    agent_address: str
    agent_port: Port
    seed: int = 0
    policy: str = ""
    hedged_reads: bool = True
    trusted_sources: list[str] = []
    data_centre_delay_ms: dict[str, float] = {}
    max_head_bytes: PositiveCount = 16_384
    max_body_bytes: PositiveCount = 1_048_576
    hold_answer_bytes: PositiveCount = 262_144
    stream_buffer_bytes: PositiveCount = 65_536
    head_timeout_ms: Milliseconds = 5_000
    body_timeout_ms: Milliseconds = 15_000
    idle_timeout_ms: Milliseconds = 60_000
    # Shorter than the idle timeout of common servers, which would otherwise close first.
    target_idle_ms: Milliseconds = 30_000
    max_caller_connections: PositiveCount = 2_000
    # Pipelined requests of one caller connection that may be in progress at a time.
    max_requests_in_turn: PositiveCount = 8
    # Memory of the VM in millions of bytes; the default is that of the smallest one.
    memory_mb: Positive = 152.0
    drain_accept_ms: Milliseconds = 2_000
    drain_limit_ms: Milliseconds = 30_000
    tracing: TracingSettings = msgspec.field(default_factory=TracingSettings)


class NodeSettings(Settings, kw_only=True, forbid_unknown_fields=False):
    """Settings of a node; unknown keys are ignored, because the platform adds some.

    `extra_sends` limits the retries and hedges of all nodes to one service in a window, in addition
    to `extra_send_ratio` of its requests; `probes_per_target_s` limits the probes of a target.
    """

    data_centre: Name
    region: Name
    # Region of each data centre.
    zones: dict[str, str] | None = None
    front: SocketAddress
    ready: SocketAddress
    ready_path: str
    admin_port: Port
    store: SocketAddress
    # First and last port for messages between nodes, and addresses of seed nodes.
    exchange_ports: list[Port] = []
    seeds: list[SocketAddress] = []
    fleet_size: PositiveCount = 24
    # Set when all nodes start for the first time.
    bootstrap: bool = False
    seed: int = 0
    policy: str = "measured"
    trusted_sources: list[str] = msgspec.field(default_factory=lambda: ["0.0.0.0/0"])
    extra_send_ratio: Share = 0.0
    extra_sends: NotNegative = 0.0
    extra_sends_window_s: Positive = 10.0
    probes_per_target_s: NotNegative = 0.0
    other_data_centre_delay_ms: NotNegative = 1.0
    # Whether a node that may have missed the removal of a key refuses the keys that it knows.
    strict_revocation: bool = False
    # Time within which every node has to apply an accepted change.
    apply_limit_s: Positive = 2.0
    # Time within which an evacuation is in force; without it evacuations are not followed.
    evacuate_within_s: Positive | None = None
    # What a cold target bears in any one second: a multiple of its rate, and requests on top.
    cold_overage: Positive = 1.5
    cold_slack: NotNegative = 8.0
    # In any window a customer's requests may exceed its quota by the overage and the slack.
    quota_window_s: Positive = 5.0
    quota_overage: NotNegative = 0.1
    quota_slack: NotNegative = 20.0
    store_timeout_ms: Milliseconds = 800
    target_idle_ms: Milliseconds = 7_000
    max_caller_connections: PositiveCount = 2_000
    # Pipelined requests of one caller connection that may be in progress at a time.
    max_requests_in_turn: PositiveCount = 8
    # Memory of the VM in millions of bytes; the default is that of the smallest one.
    memory_mb: Positive = 152.0
    drain_accept_ms: Milliseconds = 2_500
    # Time between the stop signal and SIGKILL.
    grace_s: Positive = 6.0

    @property
    def listen_address(self) -> str:
        """Return the address that callers connect to."""
        return split_address(self.front)[0]

    @property
    def listen_port(self) -> int:
        """Return the port that callers connect to."""
        return split_address(self.front)[1]

    @property
    def ready_port(self) -> int:
        """Return the port of the readiness check."""
        return split_address(self.ready)[1]


class PeerSettings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Seed peer: an agent that a new agent contacts before it knows the fleet."""

    name: Name
    address: str
    port: Port
    data_centre: Name


class AgentSettings(Settings, kw_only=True):
    """Settings of an agent."""

    data_centre: Name
    listen_address: str
    exchange_port: Port
    entry_port: Port
    admin_port: Port
    platform_address: str
    platform_port: Port
    seed_peers: list[PeerSettings] = []
    seed: int = 0
    watchers_per_data_centre: PositiveCount = 2
    exchange_interval_ms: Milliseconds = 1_000
    vm_list_interval_ms: Milliseconds = 2_000
    platform_timeout_ms: Milliseconds = 2_000
    platform_calls_per_s: Annotated[float, Meta(gt=0.0, le=1000.0)] = 5.0
    grant_duration_ms: Milliseconds = 10_000
    # None: derived from the grant duration. Less is safe only if no target ever changes service.
    moved_target_wait_ms: Milliseconds | None = None


class CtlSettings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Settings of poplarctl."""

    platform_address: str
    platform_port: Port
    operator: str = "unknown"
    agents: list[PeerSettings] = []
    # The store of the users' platform; only `evacuate` and `restore` need it.
    store: SocketAddress | Literal[""] = ""
    # Used for VMs without an admin port in the platform's VM list.
    agent_admin_port: Port | None = None
    timeout_ms: Milliseconds = 5_000


class PlatformSettings(Settings, kw_only=True):
    """Settings of the stand-in platform."""

    listen_address: str
    listen_port: Port
    seed: int = 0
    reads_per_s: PositiveCount = 2_000
    writes_per_s: PositiveCount = 300
    vm_list_lag_ms: Milliseconds = 1_000
    kept_changes: PositiveCount = 10_000
    # Whether responses are compressed for clients that accept it.
    gzip: bool = True


class TargetSettings(Settings, kw_only=True):
    """Settings of a stand-in target; the seed determines its service times."""

    listen_address: str
    listen_port: Port
    seed: int = 0
    slots: PositiveCount = 6
    max_connections: PositiveCount = 330
    queue_length: PositiveCount = 1_000
    service_ms: float = 10.0
    service_distribution: Literal["exponential", "fixed", "lognormal"] = "exponential"
    connect_ms: float = 1.0
    probe_ms: float = 0.0
    report_lag_ms: float = 0.0
    delay_ms_by_source: dict[str, float] = {}
    ledger_file: str = ""


class SignedTargetSettings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """One target of the signed fleet; another process may serve it (`is_external`)."""

    service: str
    address: SocketAddress
    is_external: bool = False


class SignedFleetSettings(Settings, kw_only=True):
    """Settings of the stand-in for the platform's store and its targets."""

    listen_address: str
    listen_port: Port
    targets: dict[str, SignedTargetSettings] = {}
    configuration: dict[str, Any] = {}
    probe_path: str = "/healthz"
    zone: str = "zone-a"
    slots: PositiveCount = 6
    work_ms: float = 20.0
    born_ms: int = 1_000
    # The process exits `deadly_ms` after it got a request whose path starts with this.
    deadly_prefix: str = ""
    deadly_ms: float = 40.0


class ProxyRoute(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """A forwarded address: listening and upstream address, for TCP bytes or pyzmq messages."""

    name: Name
    mode: Literal["tcp", "zmq"] = "tcp"
    listen_address: str
    listen_port: Port
    upstream_address: str
    upstream_port: Port


class ProxySettings(Settings, kw_only=True):
    """Settings of the fault-injecting proxy."""

    admin_address: str
    admin_port: Port
    seed: int = 0
    routes: list[ProxyRoute] = []


@dataclass(frozen=True, slots=True)
class SettingsError:
    """A validation error; the text names the key, its value and what is accepted."""

    text: str


def load(path: str, settings_type: type[S]) -> S | SettingsError:
    """Read and validate a settings file; the text of an error is one line."""
    try:
        text = Path(path).read_bytes()
    except OSError as error:
        return SettingsError(f"settings file {path}: {error.strerror}")
    try:
        settings = msgspec.json.decode(text, type=settings_type)
    except msgspec.ValidationError as error:
        return SettingsError(explain_validation_error(str(error), text, settings_type))
    except (msgspec.DecodeError, RecursionError) as error:
        return SettingsError(f"settings file {path} is not JSON: {error}")
    return check_networks(settings)


def explain_validation_error(reason: str, text: bytes, settings_type: type) -> str:
    """Convert a msgspec error to a text with the key, its value and what is accepted."""
    message, _, path = reason.partition(" - at `$")
    path = path.rstrip("`").lstrip(".")
    if message.startswith("Object contains unknown field"):
        key = message.split("`")[1]
        accepted = ", ".join(accepted_fields(settings_type, path))
        full = f"{path}.{key}" if path else key
        return f"settings key {full!r} is unknown; accepted keys: {accepted}"
    if message.startswith("Object missing required field"):
        key = message.split("`")[1]
        return f"settings key {f'{path}.{key}' if path else key!r} is required"
    try:
        value = value_at(msgspec.json.decode(text), path)
    except msgspec.DecodeError:
        # A number that cannot be decoded without a type either.
        return f"settings key {path!r}: {message}"
    return f"settings key {path!r} has value {value!r}: {message}"


def accepted_fields(settings_type: type, path: str) -> tuple[str, ...]:
    """Return the field names accepted at a path such as `tracing` or `seed_peers[...]`."""
    info: Any = msgspec.inspect.type_info(settings_type)
    for step in re.findall(r"\w+|\[\.\.\.\]", path):
        if step == "[...]":
            info = getattr(info, "item_type", None) or info.value_type
        else:
            info = next(field.type for field in info.fields if field.name == step)
    return tuple(field.name for field in info.fields)


def value_at(document: Any, path: str) -> Any:
    """Return the value at a path, or the whole list for an indexed path."""
    for step in path.split("."):
        name = step.partition("[")[0]
        if not isinstance(document, dict) or name not in document:
            return document
        document = document[name]
        if "[" in step:
            return document
    return document


def check_networks(settings: S) -> S | SettingsError:
    """Validate every address and network of the settings."""
    for key in msgspec.structs.fields(settings):
        value = getattr(settings, key.name)
        if key.name.endswith("_address") and not is_ip(value):
            return SettingsError(f"settings key {key.name!r} has value {value!r}: expected an IP")
        for address in socket_addresses(key.type, value):
            if not is_socket_address(address):
                return SettingsError(
                    f"settings key {key.name!r} has value {address!r}: expected an IP and a port"
                )
    for network in getattr(settings, "trusted_sources", []):
        try:
            ipaddress.ip_network(network)
        except ValueError:
            return SettingsError(
                f"settings key 'trusted_sources' has value {network!r}: expected a network, "
                "for example 10.0.0.0/8"
            )
    return settings


def socket_addresses(declared: object, value: Any) -> list[str]:
    """List the addresses with ports in the value of a key of a declared type."""
    if declared == list[SocketAddress]:
        return value
    return [value] if value and declared in (SocketAddress, SocketAddress | Literal[""]) else []


def check_listen(key: str, address: str, port: int) -> SettingsError | None:
    """Check that a listen address can be bound."""
    with socket.socket(socket.AF_INET6 if ":" in address else socket.AF_INET) as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        try:
            probe.bind((address, port))
        except OSError as error:
            return SettingsError(
                f"settings key {key!r} has value {address}:{port}: {error.strerror}; "
                "expected a local address and a free port"
            )
    return None


def listen_keys(settings: Settings) -> list[tuple[str, str, int]]:
    """Return the settings key, address and port of each listening socket of a daemon."""
    address = getattr(settings, "listen_address", None) or getattr(settings, "admin_address", None)
    names = ("listen_port", "ready_port", "admin_port", "exchange_port", "entry_port")
    return [(name, address, getattr(settings, name)) for name in names if hasattr(settings, name)]


def seeded_generator(settings: EntrySettings | AgentSettings | NodeSettings) -> random.Random:
    """Create a random generator that differs between daemons with the same seed."""
    return random.Random(f"{settings.seed}/{settings.name}")


def settings_from_arguments(settings_type: type[S], description: str) -> S:
    """Load a daemon's settings; exit with status 2 on an error, 0 after a passed `--check`."""
    return checked_settings(settings_type, description)[0]


def checked_settings(settings_type: type[S], description: str) -> tuple[S, str]:
    """Load settings like `settings_from_arguments`; return the path of the file as well."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--settings", required=True, metavar="FILE", help="JSON settings file")
    parser.add_argument("--check", action="store_true", help="check the settings and exit")
    arguments = parser.parse_args()
    result = load(arguments.settings, settings_type)
    if not isinstance(result, SettingsError):
        errors = (check_listen(*key) for key in listen_keys(result))
        result = next((error for error in errors if error), result)
    if isinstance(result, SettingsError):
        print(result.text, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    if arguments.check:
        sys.exit(0)
    return result, arguments.settings

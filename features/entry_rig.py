"""Run an entry with stand-in targets, a publisher in the agent's place, and raw callers."""

import json
import socket
import time
import urllib.request
from typing import Any

import psutil

from features.entry_raw_target import RAW_PORT, RawTarget
from poplarlane.bench.processes import Launcher, Process
from poplarlane.bench.publisher import PUBLISHER_PORT, Publisher

TARGET_PORT = 22_000
PROXY_PORT = 22_500
PROXY_ADMIN_PORT = 22_501
ENTRY_PORT = 23_000
ENTRY_ADMIN_PORT = 23_001
SOCKET_TIMEOUT_S = 10.0
HOST = "climbs.example"
WAIT_LIMIT_S = 10.0


class Rig:
    """Hold one entry, its targets and its publisher."""

    def __init__(self, launcher: Launcher) -> None:
        self.launcher = launcher
        self.entry_address = launcher.new_host()
        self.targets: dict[str, tuple[str, int]] = {}
        self.direct: dict[str, str] = {}
        self.proxy_address = ""
        self.publisher = Publisher(self.entry_address)
        self.entry: Process | None = None

    def start_target(self, name: str, **settings: Any) -> Process:
        """Start a stand-in target."""
        address = launcher_host(self, name)
        self.targets[name] = (address, TARGET_PORT)
        base = {
            "name": name,
            "listen_address": address,
            "listen_port": TARGET_PORT,
            "seed": 7,
            "service_ms": 2.0,
            "service_distribution": "fixed",
            "connect_ms": 0.0,
        }
        return self.launcher.start("poplarlane-standin-target", base | settings)

    def put_proxy_before(self, name: str) -> None:
        """Reach a target through the fault proxy."""
        self.proxy_address = self.launcher.new_host()
        address, port = self.targets[name]
        route = {
            "name": name,
            "listen_address": self.proxy_address,
            "listen_port": PROXY_PORT,
            "upstream_address": address,
            "upstream_port": port,
        }
        settings = {
            "name": f"proxy-{name}",
            "admin_address": self.proxy_address,
            "admin_port": PROXY_ADMIN_PORT,
            "seed": 11,
            "routes": [route],
        }
        self.launcher.start("poplarlane-standin-proxy", settings)
        self.targets[name] = (self.proxy_address, PROXY_PORT)

    def set_faults(self, name: str, **faults: Any) -> dict:
        """Change the proxy's faults."""
        url = f"http://{self.proxy_address}:{PROXY_ADMIN_PORT}/routes/{name}"
        return call(url, faults)

    def control(self, name: str, **switches: Any) -> dict:
        """Set switches of a target."""
        return call(f"http://{self.direct[name]}:{TARGET_PORT}/_control", switches)

    def ledger(self, name: str) -> dict:
        """Read a target's ledger."""
        return call(f"http://{self.direct[name]}:{TARGET_PORT}/_ledger")

    def service(self, revision: int = 1, **changes: Any) -> dict[str, Any]:
        """Build the service object over all targets."""
        base = {
            "service": "climbs",
            "revision": revision,
            "change_id": f"change-{revision}",
            "hosts": [HOST],
            "requests": [
                {"name": "read", "methods": ["GET"], "idempotent": True},
                {"name": "book", "methods": ["POST"], "priority": "high"},
            ],
            "targets": {
                name: {
                    "address": address,
                    "port": port,
                    "data_centre": "brasov",
                    "labels": {"role": "serving"},
                }
                for name, (address, port) in self.targets.items()
            },
            "selectors": {"all": {"callers": "", "targets": "role=serving"}},
        }
        return base | changes

    def start_entry(self, **settings: Any) -> Process:
        """Start the entry with the published view."""
        base = {
            "name": "entry-1",
            "data_centre": "brasov",
            "listen_address": self.entry_address,
            "listen_port": ENTRY_PORT,
            "admin_port": ENTRY_ADMIN_PORT,
            "agent_address": self.entry_address,
            "agent_port": PUBLISHER_PORT,
            "trusted_sources": ["127.0.0.0/8"],
            "seed": 5,
            "drain_accept_ms": 200,
        }
        ready = "ready" if self.publisher.services else "listening"
        self.entry = self.launcher.start("poplarlane-entry", base | settings, ready)
        return self.entry

    def status(self) -> dict:
        """Read the entry's status page."""
        return call(f"http://{self.entry_address}:{ENTRY_ADMIN_PORT}/status")

    def caller(self, receive_buffer: int = 0) -> "Caller":
        """Connect a caller to the entry."""
        return Caller(self.entry_address, ENTRY_PORT, receive_buffer)

    def ask(self, method: str, path: str = "/", body: bytes = b"", **headers: str) -> "Reply":
        """Make one request on a connection of its own."""
        caller = self.caller()
        caller.send(request(method, path, body, **headers))
        reply = caller.reply(method)
        caller.close()
        return reply

    def close(self) -> None:
        """Stop the publisher."""
        if not self.publisher.ended:
            self.publisher.close()


def launcher_host(rig: Rig, name: str) -> str:
    """Give a target its address, the same one after a restart."""
    if name not in rig.direct:
        rig.direct[name] = rig.launcher.new_host()
    return rig.direct[name]


class Reply:
    """Hold one answer as the caller received it; `whole` is false when it was cut."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes, whole: bool) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.whole = whole

    @property
    def code(self) -> str:
        """Give the result code."""
        return self.headers.get("x-poplar-result", "")

    def __repr__(self) -> str:
        return f"Reply({self.status}, {self.headers}, {len(self.body)} bytes, whole={self.whole})"


class Caller:
    """Speak HTTP over a raw socket, so that malformed bytes can be sent."""

    def __init__(self, address: str, port: int, receive_buffer: int = 0) -> None:
        self.socket = socket.socket()
        self.socket.settimeout(SOCKET_TIMEOUT_S)
        if receive_buffer:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.socket.connect((address, port))
        self.file = self.socket.makefile("rb")

    def send(self, data: bytes) -> None:
        """Send raw bytes."""
        self.socket.sendall(data)

    def reply(self, method: str = "GET") -> Reply:
        """Read one answer; status 0 means that the connection was closed without one."""
        try:
            return self.read_reply(method)
        except ConnectionResetError:
            return Reply(0, {}, b"", False)

    def read_reply(self, method: str) -> Reply:
        """Read one answer up to its declared length."""
        line = self.file.readline()
        if not line:
            return Reply(0, {}, b"", False)
        status = int(line.split()[1])
        headers = {}
        while (line := self.file.readline()) not in (b"\r\n", b""):
            name, _, value = line.decode("latin-1").partition(":")
            headers[name.lower()] = value.strip()
        if method == "HEAD":
            return Reply(status, headers, b"", True)
        if headers.get("transfer-encoding") == "chunked":
            return self.read_chunks(status, headers)
        length = int(headers.get("content-length", "0"))
        body = bytearray()
        try:
            while len(body) < length and (piece := self.file.read1(length - len(body))):
                body += piece
        except ConnectionResetError:
            return Reply(status, headers, bytes(body), False)
        return Reply(status, headers, bytes(body), len(body) == length)

    def read_chunks(self, status: int, headers: dict[str, str]) -> Reply:
        """Read a chunked body up to its last chunk."""
        body = bytearray()
        try:
            while line := self.file.readline():
                size = int(line, 16)
                body += self.file.read(size)
                self.file.readline()
                if size == 0:
                    return Reply(status, headers, bytes(body), True)
        except ConnectionResetError:
            pass
        return Reply(status, headers, bytes(body), False)

    def at_end(self) -> bool:
        """Wait until the entry closes the connection; tell whether it did within the timeout."""
        try:
            return self.file.read(1) == b""
        except ConnectionResetError:
            return True
        except TimeoutError:
            return False

    def close(self) -> None:
        """Close the connection."""
        self.file.close()
        self.socket.close()


def request(method: str, path: str = "/", body: bytes = b"", **headers: str) -> bytes:
    """Write a request; underscores in header names become hyphens."""
    lines = [f"{method} {path} HTTP/1.1", f"host: {HOST}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"content-length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def call(url: str, document: Any = None) -> Any:
    """Make one JSON call."""
    data = None if document is None else json.dumps(document).encode()
    with urllib.request.urlopen(urllib.request.Request(url, data=data), timeout=10) as answer:
        return json.loads(answer.read())


def wait_until(predicate):
    """Poll until the predicate holds; fail after the time limit."""
    limit = time.monotonic() + WAIT_LIMIT_S
    while not predicate():
        assert time.monotonic() < limit, "the awaited state was not reached in time"


def new_rig(context) -> Rig:
    """Create a rig that ends with the scenario."""
    launcher = context.resources.enter_context(Launcher())
    context.rig = Rig(launcher)
    context.resources.callback(context.rig.close)
    return context.rig


def start_rig(context, targets, settings=None, proxied=False, service=None, **target_settings):
    """Start targets, a publisher and an entry that has their view."""
    rig = new_rig(context)
    for number in range(1, targets + 1):
        rig.start_target(f"target-{number}", **target_settings)
    if proxied:
        rig.put_proxy_before("target-1")
    rig.publisher.publish([rig.service(**(service or {}))])
    rig.start_entry(**(settings or {}))
    return rig


def start_raw_rig(context, service=None, **settings):
    """Start a publisher and an entry before one raw target."""
    rig = new_rig(context)
    context.raw = RawTarget(rig.launcher.new_host())
    context.resources.callback(context.raw.close)
    rig.targets["raw-1"] = (context.raw.listener.getsockname()[0], RAW_PORT)
    rig.publisher.publish([rig.service(**(service or {}))])
    rig.start_entry(**settings)
    return rig


def memory_bytes(process: Process) -> int:
    """Give the resident memory of a process."""
    return psutil.Process(process.popen.pid).memory_info().rss

"""Small stand-ins for the platform's store, backends and clients, and a runner of real nodes.

Everything listens on loopback addresses and free ports. The stand-ins speak what PROTOCOL.md says;
a backend is sound unless a case gives it another behaviour.
"""

import asyncio
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qsl, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
# Addresses of the nodes; the first two are the seeds.
ADDRESSES = ["127.0.0.1", "127.0.0.2", "127.0.0.3"]
SEEDS = ADDRESSES[:2]
KEEP_ALIVE_S = 10
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 67108864,
    "header_timeout_s": 3,
    "idle_timeout_s": 15,
}


def trouble() -> bool:
    """Return whether the disruption of the case is to be made."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Lines of what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.started_at = time.monotonic()

    def line(self, what: str, **fields: object) -> None:
        """Write one line."""
        pairs = " ".join(f"{name}={value}" for name, value in fields.items())
        text = f"{time.monotonic() - self.started_at:8.3f} {what} {pairs}".rstrip()
        self.file.write(text + "\n")
        self.file.flush()


class HttpServer:
    """HTTP/1.1 server; `respond` answers one request of a connection at a time."""

    def __init__(self, respond) -> None:
        self.respond = respond
        self.server = None
        self.port = 0
        self.writers = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer) -> None:
        """Serve the requests of one connection."""
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, path, _ = lines[0].split(" ", 2)
                pairs = (line.split(":", 1) for line in lines[1:] if ":" in line)
                headers = {name.strip().lower(): value.strip() for name, value in pairs}
                body = await self.read_body(reader, int(headers.get("content-length", "0")))
                if not await self.respond(method, path, headers, body, writer):
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def read_body(self, reader, length: int) -> int:
        """Read a body and return its length."""
        left = length
        while left:
            data = await reader.read(min(left, 1 << 16))
            if not data:
                raise ConnectionError("body cut")
            left -= len(data)
        return length


def head_of(status: int, headers: dict, length: int | None) -> bytes:
    """Write the head of an answer."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000


def encode(document: object) -> bytes:
    """Encode JSON as text; bytes that are no text are written as they were."""
    return json.dumps(document, ensure_ascii=False).encode("utf-8", "surrogateescape")


class Store:
    """The platform's store: objects by kind, lists in pages, and watches.

    `encode` writes documents; Python's usual encoding escapes all that is not ASCII.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.revision = 1
        self.objects: dict[str, dict[str, dict]] = {}
        self.history: list[tuple[int, str, dict, bool]] = []
        self.changed = asyncio.Event()
        self.http = HttpServer(self.respond)
        self.encode = lambda document: json.dumps(document).encode()

    def put(self, kind: str, name: str, spec: dict, status: dict | None = None) -> None:
        """Create or replace an object."""
        self.revision += 1
        item = {"metadata": {"name": name, "revision": self.revision}}
        item |= {"spec": spec, "status": status}
        self.objects.setdefault(kind, {})[name] = item
        self.history.append((self.revision, kind, item, False))
        self.changed.set()
        self.changed = asyncio.Event()

    async def respond(self, method, path, headers, body, writer) -> bool:
        """Answer a list or a watch."""
        parts = urlsplit(path)
        query = dict(parse_qsl(parts.query))
        kind = parts.path.rsplit("/", 1)[1]
        if "watch" in query:
            after = int(query["watch"])
            until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000.0
            while not self.events(kind, after) and time.monotonic() < until:
                try:
                    left_s = until - time.monotonic()
                    await asyncio.wait_for(self.changed.wait(), max(0.001, left_s))
                except TimeoutError:
                    break
            document = {"events": self.events(kind, after), "current_rev": self.revision}
        else:
            items, more = self.page(kind, query.get("after", ""))
            document = {"items": items, "more_pages": more, "current_rev": self.revision}
        data = self.encode(document)
        writer.write(head_of(200, {"Content-Type": "application/json"}, len(data)) + data)
        await writer.drain()
        return True

    def page(self, kind: str, after: str) -> tuple[list[dict], bool]:
        """Return the items of one page, by name, and whether there are more."""
        left = [item for name, item in sorted(self.objects.get(kind, {}).items()) if name > after]
        items, size = [], 0
        for item in left[:PAGE_ITEMS]:
            size += len(self.encode(item))
            if items and size > PAGE_BYTES:
                break
            items.append(item)
        return items, len(items) < len(left)

    def events(self, kind: str, after: int) -> list[dict]:
        """Return the changes of a kind after a revision."""
        return [
            {"object": item, "deleted": deleted}
            for revision, found, item, deleted in self.history
            if found == kind and revision > after
        ]


class Backend:
    """A sound backend: slots, load reports, signatures, expected instances and deadlines.

    `plan(path)` gives the seconds of work and the bytes of the answer's body.
    """

    def __init__(self, record: Record, name: str, service: str, plan, slots: int = 6) -> None:
        self.record = record
        self.name = name
        self.service = service
        self.plan = plan
        self.slots = slots
        self.running = 0
        self.waiting = 0
        self.free = asyncio.Semaphore(slots)
        self.ran: list[str] = []
        self.answered: set[str] = set()
        self.http = HttpServer(self.respond)

    def load(self) -> str:
        """Report running, waiting and slots, and the pace of the machine."""
        return f"{self.running},{self.waiting},{self.slots},100"

    def entry(self) -> tuple[dict, dict]:
        """Return the spec and the status of the backend's entry."""
        info = {"service": self.service, "version": "v1", "zone": "zone-a", "slots": self.slots}
        spec = {"address": f"{HOST}:{self.http.port}", "info": info, "born": 1_790_000_000_000}
        return spec, {"state": "ready", "sequence": 1, "cold_remaining_s": 0}

    def headers(self, request_id: str) -> dict:
        """Return the headers of every answer."""
        found = {"X-Server-Load": self.load(), "X-Instance-Id": self.name}
        found["Keep-Alive"] = f"timeout={KEEP_ALIVE_S}"
        if request_id:
            found["X-Attempt-Id"] = request_id
        return found

    async def respond(self, method, path, headers, body, writer) -> bool:
        """Answer a health check or run a request."""
        request_id = headers.get("x-attempt-id", "")
        if path == "/healthz":
            writer.write(head_of(200, self.headers(""), 0))
            return True
        if headers.get("x-expected-instance", self.name) != self.name:
            writer.write(head_of(421, self.headers(request_id), 0))
            return True
        return await self.run(path, headers, body, writer, request_id)

    async def run(self, path, headers, body, writer, request_id) -> bool:
        """Wait for a slot, work and answer."""
        self.waiting += 1
        async with self.free:
            self.waiting -= 1
            self.running += 1
            self.ran.append(request_id)
            left_ms = headers.get("x-deadline-ms", "")
            self.record.line(
                "run-begins", backend=self.name, id=request_id, body=body, deadline_ms=left_ms
            )
            work_s, size = self.plan(path)
            try:
                await asyncio.sleep(work_s)
            finally:
                self.running -= 1
        await self.answer(writer, request_id, size)
        return True

    async def answer(self, writer, request_id: str, size: int) -> None:
        """Write the whole answer."""
        signed = self.headers(request_id) | {"X-Server-Signature": f"{self.name}.{size}"}
        writer.write(head_of(200, signed, size) + body_of(request_id, size))
        await writer.drain()
        self.answered.add(request_id)
        self.record.line("run-answered", backend=self.name, id=request_id, status=200, body=size)


def body_of(request_id: str, size: int) -> bytes:
    """Return the body of the answer to a request."""
    unit = f"{request_id}/".encode()
    return (unit * (size // len(unit) + 1))[:size]


def free_ports(count: int) -> list[int]:
    """Find consecutive free ports."""
    for _ in range(100):
        with socket.socket() as probe:
            probe.bind((HOST, 0))
            first = probe.getsockname()[1]
        sockets = []
        try:
            for port in range(first, first + count):
                sockets.append(socket.socket())
                sockets[-1].bind((HOST, port))
            return list(range(first, first + count))
        except OSError:
            continue
        finally:
            for found in sockets:
                found.close()
    raise RuntimeError("no free ports")


class Node:
    """A node, started by the command of the deploy file."""

    def __init__(
        self, record: Record, folder: str, store: Store, name: str, address: str, ports: list[int]
    ) -> None:
        self.record = record
        self.name = name
        self.address = address
        self.front, self.ready_port = ports[0], ports[1]
        self.log_path = Path(folder) / f"{name}.log"
        self.settings_path = Path(folder) / f"{name}.json"
        settings = {
            "name": name,
            "log_level": "info",
            "data_centre": "zone-a",
            "region": "region",
            "front": f"{address}:{self.front}",
            "ready": f"{address}:{self.ready_port}",
            "ready_path": "/-/readyz",
            "admin_port": ports[2],
            "exchange_ports": [ports[3], ports[4]],
            "store": f"{HOST}:{store.http.port}",
            "seeds": [f"{found}:{ports[1]}" for found in SEEDS],
            "bootstrap": True,
            "extra_send_ratio": 0.2,
            "extra_sends": 81,
            "extra_sends_window_s": 10,
            "probes_per_target_s": 60,
            "grace_s": 6,
            "apply_limit_s": 2,
        }
        self.settings_path.write_text(json.dumps(settings))
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process."""
        text = (ROOT / "deploy/system.toml").read_text()
        command = re.search(r'^run = "(.*)"$', text, re.M).group(1).split()
        command = [str(self.settings_path) if "local.json" in word else word for word in command]
        command[0] = sys.executable
        environment = {
            name: value for name, value in os.environ.items() if name in ("PATH", "HOME", "LANG")
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.line("node-started", node=self.name, front=f"{self.address}:{self.front}")

    async def wait_ready(self, limit_s: float = 20.0) -> None:
        """Wait until the readiness check succeeds."""
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if await self.is_ready():
                self.record.line("node-ready", node=self.name)
                return
            if self.process.poll() is not None:
                raise RuntimeError(f"node ended with {self.process.returncode}")
            await asyncio.sleep(0.05)
        raise RuntimeError("node not ready")

    async def is_ready(self) -> bool:
        """Ask the readiness check once."""
        try:
            reader, writer = await asyncio.open_connection(self.address, self.ready_port)
            writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await reader.readline()
            writer.close()
            return b" 200 " in line
        except OSError:
            return False

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.record.line("signal", node=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    async def ended(self, limit_s: float) -> bool:
        """Wait until the process has ended; return whether it did."""
        until = time.monotonic() + limit_s
        while time.monotonic() < until and self.process.poll() is None:
            await asyncio.sleep(0.02)
        if self.process.poll() is not None:
            self.record.line("node-ended", node=self.name, status=self.process.returncode)
            return True
        return False

    def kill(self) -> None:
        """End the process whatever it does."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def request(method: str, path: str, request_id: str, deadline_ms: int, body: bytes = b"") -> bytes:
    """Write a request."""
    lines = [f"{method} {path} HTTP/1.1", "Host: h.example", f"X-Attempt-Id: {request_id}"]
    lines.append(f"X-Deadline-Ms: {deadline_ms}")
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Answer:
    """An answer, as far as it came; `whole` says whether its body has its whole length."""

    def __init__(self, status: int, headers: dict, body: bytes, end: str) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.end = end

    @property
    def whole(self) -> bool:
        """Return whether the answer is complete."""
        length = int(self.headers.get("content-length", "-1"))
        return self.status > 0 and len(self.body) == length


async def read_answer(reader, until: float) -> Answer:
    """Read one answer with a length; stop at an instant or at the end of the connection."""
    status, headers, body, end = 0, {}, b"", "whole"
    try:
        async with asyncio.timeout(max(0.0, until - time.monotonic())):
            head = await reader.readuntil(b"\r\n\r\n")
            lines = head.decode("latin-1").split("\r\n")
            status = int(lines[0].split()[1])
            pairs = (line.split(":", 1) for line in lines[1:] if ":" in line)
            headers = {name.strip().lower(): value.strip() for name, value in pairs}
            left = int(headers.get("content-length", "0"))
            while left:
                data = await reader.read(min(left, 1 << 16))
                if not data:
                    end = "closed"
                    break
                body += data
                left -= len(data)
    except asyncio.IncompleteReadError:
        end = "closed"
    except ConnectionError as error:
        end = type(error).__name__
    except TimeoutError:
        end = "deadline"
    return Answer(status, headers, body, end)


def route(name: str, prefix: str, service: str, kind: str, timeout_s: float, aim_s: float) -> dict:
    """Describe a route."""
    return {
        "name": name,
        "host": "h.example",
        "path_prefix": prefix,
        "route_type": kind,
        "timeout_s": timeout_s,
        "target_latency_s": aim_s,
        "priority": 2,
        "service": service,
        "max_attempts": 2,
    }


class Deployment:
    """A store, backends and nodes; ends everything that it started."""

    def __init__(self, folder: str, record: Record) -> None:
        self.folder = folder
        self.record = record
        self.store = Store(record)
        self.backends: list[Backend] = []
        self.nodes: list[Node] = []
        # Ports are the same on all machines: front, ready, admin and two between nodes.
        self.ports = free_ports(5)

    async def start(self, routes: list[dict], backends: list[Backend]) -> None:
        """Start the stand-ins and write the configuration and the entries."""
        await self.store.http.start()
        self.backends = backends
        names = sorted({found.service for found in backends})
        services = [
            {"name": name, "health_path": "/healthz", "max_connections": 328} for name in names
        ]
        document = {"version": 7, "routes": routes, "services": services, "limits": LIMITS}
        for backend in backends:
            await backend.http.start()
            self.store.put("servers", backend.name, *backend.entry())
        self.store.put("config", "main", document)

    def add_node(self) -> Node:
        """Prepare a node on an address of its own."""
        number = len(self.nodes)
        name, address = f"edge-a-{number + 1}", ADDRESSES[number]
        node = Node(self.record, self.folder, self.store, name, address, self.ports)
        self.nodes.append(node)
        return node

    def close(self) -> None:
        """End the nodes and add what they logged to the record."""
        for node in self.nodes:
            node.kill()
            if node.log_path.exists():
                for text in node.log_path.read_text(errors="replace").splitlines():
                    self.record.line("log", node=node.name, text=text)


def main(case, folder: Path, limit_s: float = 110.0) -> None:
    """Run a case: exit with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    record = Record(folder / "record.txt")
    record.line("case", trouble=int(trouble()))

    async def run() -> bool:
        with tempfile.TemporaryDirectory() as temporary:
            deployment = Deployment(temporary, record)
            try:
                async with asyncio.timeout(limit_s):
                    return await case(deployment, record)
            finally:
                deployment.close()

    try:
        broken = asyncio.run(run())
    except Exception as error:
        record.line("could-not-run", reason=repr(error))
        print(f"could not run: {error!r}")
        sys.exit(2)
    record.line("result", broken=broken)
    print("rule broken" if broken else "rule held")
    sys.exit(1 if broken else 0)

"""Metrics and the admin HTTP server that entry and agent share."""

import asyncio
import json
import math
from collections.abc import Callable
from typing import Any

import h11

from poplarlane.plumbing.turns import WorkPauses, has_excessive_framing

ADMIN_READ_BYTES = 65_536
ADMIN_MAX_BODY_BYTES = 1_048_576
ADMIN_TIMEOUT_S = 10.0
# Callers' latency objectives and deadlines lie between 0.15 s and 5 s.
TIME_BUCKETS_S = (0.005, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2.0, 5.0, math.inf)
# A series takes 2 KB; further label values of a histogram share the series OTHER.
MAX_HISTOGRAM_SERIES = 256
OTHER = "other"
# Values recorded before aioprometheus is loaded; a node records a few hundred in that time.
MAX_DEFERRED_VALUES = 10_000

Labels = dict[str, str]


class Metrics:
    """Metrics registry that creates counters, gauges and histograms on first use.

    aioprometheus is loaded at once or, in a process with a short start-up budget (`defer_load`),
    when `load` is called; values recorded before are buffered.
    """

    __slots__ = ("library", "registry", "collectors", "series", "deferred")

    def __init__(self, defer_load: bool = False) -> None:
        self.library: Any = None
        self.registry: Any = None
        self.collectors: dict[str, Any] = {}
        # Label values in use, by histogram.
        self.series: dict[str, set[tuple[str, ...]]] = {}
        # Calls that record the values observed before the library was loaded.
        self.deferred: list[tuple[Callable, tuple]] = []
        if not defer_load:
            self.load()

    def load(self) -> None:
        """Load aioprometheus and record the buffered values."""
        if self.library is not None:
            return
        import aioprometheus

        self.library = aioprometheus
        self.registry = aioprometheus.Registry()
        deferred, self.deferred = self.deferred, []
        for function, arguments in deferred:
            function(*arguments)

    def defer(self, function: Callable, *arguments: Any) -> None:
        """Buffer a call until aioprometheus is loaded; drop it when the buffer is full."""
        if len(self.deferred) < MAX_DEFERRED_VALUES:
            self.deferred.append((function, arguments))

    def counter(self, name: str, doc: str) -> Any:
        return self.collector(self.library.Counter, name, doc)

    def gauge(self, name: str, doc: str) -> Any:
        return self.collector(self.library.Gauge, name, doc)

    def collector(self, kind: type, name: str, doc: str) -> Any:
        """Return a collector, created on first use."""
        if name not in self.collectors:
            self.collectors[name] = kind(name, doc, registry=self.registry)
        return self.collectors[name]

    def count(self, name: str, labels: Labels, amount: float = 1.0) -> None:
        """Add to a counter whose description is its name."""
        if self.library is None:
            self.defer(self.count, name, labels, amount)
            return
        self.counter(name, name.replace("_", " ")).add(labels, amount)

    def set(self, name: str, labels: Labels, value: float) -> None:
        """Set a gauge whose description is its name."""
        if self.library is None:
            self.defer(self.set, name, labels, value)
            return
        self.gauge(name, name.replace("_", " ")).set(labels, value)

    def observe(self, name: str, labels: Labels, value: float) -> None:
        """Record a value in a histogram with at most MAX_HISTOGRAM_SERIES series."""
        if self.library is None:
            self.defer(self.observe, name, labels, value)
            return
        if name not in self.collectors:
            doc = name.replace("_", " ")
            self.collectors[name] = self.library.Histogram(
                name, doc, registry=self.registry, buckets=TIME_BUCKETS_S
            )
            self.series[name] = set()
        series = self.series[name]
        values = tuple(labels.values())
        if values not in series:
            if len(series) >= MAX_HISTOGRAM_SERIES:
                labels = dict.fromkeys(labels, OTHER)
            else:
                series.add(values)
        self.collectors[name].observe(labels, value)

    def render(self) -> bytes:
        """Render all metrics in the Prometheus text format."""
        self.load()
        body, _ = self.library.render(self.registry, ["text/plain"])
        return body


class AdminRequest:
    """A request to the admin server; `path` excludes the query."""

    __slots__ = ("method", "path", "query", "body")

    def __init__(self, method: str, path: str, query: str, body: bytes) -> None:
        self.method = method
        self.path = path
        self.query = query
        self.body = body


class AdminResponse:
    """A response of the admin server."""

    __slots__ = ("status", "content_type", "body")

    def __init__(self, status: int, body: bytes, content_type: str = "text/plain") -> None:
        self.status = status
        self.body = body
        self.content_type = content_type


AdminHandler = Callable[[AdminRequest], AdminResponse]


def json_response(document: Any, status: int = 200) -> AdminResponse:
    """Build a response with a JSON document."""
    return AdminResponse(status, json.dumps(document).encode() + b"\n", "application/json")


class AdminServer:
    """HTTP server for `/metrics` and the given handlers by path."""

    __slots__ = ("handlers", "server")

    def __init__(self, metrics: Metrics, handlers: dict[str, AdminHandler]) -> None:
        self.handlers = {"/metrics": lambda _: AdminResponse(200, metrics.render())} | handlers
        self.server: asyncio.Server | None = None

    async def start(self, address: str, port: int) -> None:
        """Bind and serve; raises OSError when the address is in use."""
        self.server = await asyncio.start_server(self.serve, address, port)

    def close(self) -> None:
        """Stop listening."""
        if self.server is not None:
            self.server.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one request and close the connection."""
        try:
            async with asyncio.timeout(ADMIN_TIMEOUT_S):
                writer.write(await self.exchange(reader))
                await writer.drain()
        except (OSError, TimeoutError, h11.ProtocolError):
            pass
        finally:
            writer.close()

    async def exchange(self, reader: asyncio.StreamReader) -> bytes:
        """Read one request and return its encoded response."""
        connection = h11.Connection(h11.SERVER)
        request = await read_request(connection, reader)
        answer = self.answer(request)
        headers = [
            ("content-type", answer.content_type),
            ("content-length", str(len(answer.body))),
            ("connection", "close"),
        ]
        head = connection.send(h11.Response(status_code=answer.status, headers=headers))
        body = b"" if request.method == "HEAD" else connection.send(h11.Data(data=answer.body))
        return head + body

    def answer(self, request: AdminRequest) -> AdminResponse:
        """Call the handler for the request's path."""
        handler = self.handlers.get(request.path)
        if handler is None:
            return json_response({"error": f"no such path {request.path}"}, 404)
        return handler(request)


async def read_request(connection: h11.Connection, reader: asyncio.StreamReader) -> AdminRequest:
    """Read one complete request; raises h11.RemoteProtocolError on malformed input."""
    head: h11.Request | None = None
    body = bytearray()
    read_bytes = 0
    pauses = WorkPauses()
    while True:
        event = connection.next_event()
        await pauses.step()
        if event is h11.NEED_DATA:
            if has_excessive_framing(read_bytes, len(body)):
                raise h11.RemoteProtocolError("framing out of proportion to the body")
            pauses.stop()
            data = await reader.read(ADMIN_READ_BYTES)
            pauses.resume()
            read_bytes += len(data)
            connection.receive_data(data)
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > ADMIN_MAX_BODY_BYTES:
                raise h11.RemoteProtocolError("admin request body too large")
        elif head is not None and isinstance(event, h11.EndOfMessage):
            break
        else:
            raise h11.RemoteProtocolError("admin connection closed without a request")
    path, _, query = head.target.decode("ascii", "replace").partition("?")
    return AdminRequest(head.method.decode("ascii"), path, query, bytes(body))

"""OpenTelemetry spans, one per hop, with W3C trace context, written as JSON lines."""

import json
from collections.abc import Sequence
from pathlib import Path

from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased
from opentelemetry.trace import Span, SpanKind, StatusCode
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

from poplarlane.settings import TracingSettings

UNKNOWN_OUTCOMES = range(1300, 1400)
PROPAGATOR = TraceContextTextMapPropagator()


class FileExporter(SpanExporter):
    """Appends spans to a file, one JSON document per line."""

    __slots__ = ("stream",)

    def __init__(self, path: str) -> None:
        self.stream = Path(path).open("a", encoding="utf-8")  # noqa: SIM115

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Write spans; called on the thread of the span processor."""
        for span in spans:
            self.stream.write(json.dumps(json.loads(span.to_json())) + "\n")
        self.stream.flush()
        return SpanExportResult.SUCCESS

    def shutdown(self) -> None:
        self.stream.close()


class Tracer:
    """Starts and ends the spans of one process."""

    __slots__ = ("provider", "tracer")

    def __init__(self, settings: TracingSettings, service: str) -> None:
        sampler = ParentBased(TraceIdRatioBased(settings.sample_ratio))
        resource = Resource.create({"service.name": service})
        self.provider = TracerProvider(sampler=sampler, resource=resource)
        if settings.file:
            self.provider.add_span_processor(BatchSpanProcessor(FileExporter(settings.file)))
        self.tracer = self.provider.get_tracer("poplarlane")

    def start(self, method: str, host: str, traceparent: str) -> Span:
        """Start the span of one request, as a child of the caller's span if there is one."""
        context = PROPAGATOR.extract({"traceparent": traceparent}) if traceparent else None
        attributes = {"http.request.method": method, "server.address": host}
        return self.tracer.start_span(method, context, SpanKind.SERVER, attributes)

    def traceparent(self, span: Span) -> str:
        """Return the header that makes the next hop a child of this span."""
        carrier: dict[str, str] = {}
        PROPAGATOR.inject(carrier, trace.set_span_in_context(span))
        return carrier.get("traceparent", "")

    def end(self, span: Span, status: int, code: int) -> None:
        """End a span with the response status and the result code."""
        span.set_attribute("http.response.status_code", status)
        span.set_attribute("poplarlane.result", code)
        if status >= 500 or code in UNKNOWN_OUTCOMES:
            span.set_status(StatusCode.ERROR)
        span.end()

    def close(self) -> None:
        """Flush pending spans and shut down."""
        self.provider.shutdown()


def new_tracer(settings: TracingSettings, service: str) -> Tracer | None:
    """Create a tracer; None when no request is sampled, to avoid its overhead."""
    return Tracer(settings, service) if settings.sample_ratio > 0.0 else None

"""The modules whose import registers the handlers of an entry's events with the reducer."""

from poplarlane.decisions import (
    catalogue,
    drain,
    probe_events,
    reports,
    requests,
    responses,
    timers,
    views,
)

ENTRY_HANDLERS = (responses, catalogue, drain, probe_events, reports, requests, timers, views)

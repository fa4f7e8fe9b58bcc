"""Imports the modules that register the entry's event handlers with the reducer."""

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

"""Imports the modules that register the entry's event handlers with the reducer."""

from poplarlane.decisions.configuration import (
    catalogue,
    views,
)
from poplarlane.decisions.fleet import digests
from poplarlane.decisions.probes import probe_events
from poplarlane.decisions.quarantine import checks
from poplarlane.decisions.requests import (
    drain,
    halts,
    reports,
    requests,
    responses,
    timers,
)

ENTRY_HANDLERS = (
    checks,
    digests,
    responses,
    catalogue,
    drain,
    halts,
    probe_events,
    reports,
    requests,
    timers,
    views,
)

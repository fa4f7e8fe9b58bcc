"""What the features of the control work share."""

import json
import time
from collections.abc import Callable
from typing import Any

from poplarlane.bench.layout import Layout
from poplarlane.bench.processes import LogLine
from poplarlane.bench.relayed_fleet import RelayedFleet

POLL_S = 0.02


def assert_no_faults(fleet: RelayedFleet) -> None:
    """Check that no agent caught a fault of its own; such faults do not end the process."""
    faults = ("tick_failed", "message_failed", "message_malformed", "call_failed")
    for process in fleet.launcher.processes.values():
        lines = [line.text for line in process.lines if line.fields.get("event") in faults]
        assert not lines, lines[:3]


def make_service(layout: Layout, name: str, revision: int, **fields: Any) -> dict[str, Any]:
    """Build a service object over the layout's targets at a revision."""
    labels = {target: {"role": "serving"} for target in layout.targets}
    service = layout.service_object(name, labels)
    return service | {"revision": revision, "change_id": f"{name}-{revision}"} | fields


def wait_until(what: str, check: Callable[[], bool], timeout_s: float) -> float:
    """Poll a condition on other processes; give the seconds that it took."""
    began = time.monotonic()
    while not check():
        if time.monotonic() - began > timeout_s:
            raise TimeoutError(f"{what}: not within {timeout_s} s")
        time.sleep(POLL_S)
    return time.monotonic() - began


def logged_at(line: LogLine) -> float:
    """Give the wall-clock time of a log line."""
    return line.logged_at()


def show(document: Any) -> str:
    """Format a document for an assertion message."""
    return json.dumps(document, indent=1)[:4000]

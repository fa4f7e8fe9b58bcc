"""Collect what targets and proxies counted."""

import json
import time
from collections import Counter
from pathlib import Path
from typing import Any

from poplarlane.bench.fleet import PROXY_ADMIN_PORT, READY_POLL_S, Fleet, TargetPlace
from poplarlane.bench.layout import TARGET_PORT
from poplarlane.bench.standin_client import call

SETTLE_TIMEOUT_S = 10.0


def collect_ledgers(fleet: Fleet) -> list[dict[str, Any]]:
    """Fetch and clear all ledgers, again while work is open, and read those of stopped ones."""
    found = []
    deadline = time.monotonic() + SETTLE_TIMEOUT_S
    for place in fleet.targets:
        found.extend(left_ledgers(fleet, place))
        while True:
            ledger = call(place.address, TARGET_PORT, "GET", "/_ledger?clear=1").json()
            found.append(ledger)
            idle = ledger["in_flight"] == ledger["queued"] == 0
            if idle or time.monotonic() > deadline:
                break
            time.sleep(READY_POLL_S)
    return found


def proxy_counts(fleet: Fleet) -> dict[str, int]:
    """Add up the counts of all proxy routes since the start of the proxy."""
    total: Counter[str] = Counter()
    if fleet.proxy_address:
        routes = call(fleet.proxy_address, PROXY_ADMIN_PORT, "GET", "/routes").json()
        for route in routes.values():
            total.update(route["counts"])
    return dict(total)


def left_ledgers(fleet: Fleet, place: TargetPlace) -> list[dict[str, Any]]:
    """Read and remove the ledger that a stopped target left."""
    path = Path(fleet.ledger_path(place))
    if not path.exists():
        return []
    ledgers = [json.loads(line) for line in path.read_text().splitlines()]
    path.unlink()
    return ledgers

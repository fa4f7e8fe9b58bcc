"""A publisher of views in the agent's place, for tests and experiments with an entry alone."""

import json
import threading
import time
from typing import Any

import zmq

from poplarlane.messages import (
    ENCODER,
    ENTRY_MESSAGE_DECODER,
    EntryHello,
    EntryReport,
    MemberNotice,
    ServiceBody,
    ViewUpdate,
)

PUBLISHER_PORT = 24_001
REPORT_TIMEOUT_S = 10.0


class Publisher:
    """Send views to entries in the agent's place and keep their reports."""

    def __init__(self, address: str, incarnation: int = 1) -> None:
        self.incarnation = incarnation
        self.context = zmq.Context()
        self.router = self.context.socket(zmq.ROUTER)
        self.router.setsockopt(zmq.LINGER, 0)
        self.router.bind(f"tcp://{address}:{PUBLISHER_PORT}")
        self.services: list[ServiceBody] = []
        self.members: list[MemberNotice] = []
        self.peers: set[bytes] = set()
        self.reports: list[EntryReport] = []
        self.changed = threading.Condition()
        self.sequence = 0
        self.ended = False
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self) -> None:
        """Answer hellos and collect reports until closed."""
        while not self.ended:
            if not self.router.poll(20):
                continue
            peer, payload = self.router.recv_multipart()
            message = ENTRY_MESSAGE_DECODER.decode(payload)
            with self.changed:
                self.peers.add(peer)
                if isinstance(message, EntryHello):
                    self.send(peer)
                else:
                    self.reports.append(message)
                self.changed.notify_all()
        self.router.close()
        self.context.term()

    def send(self, peer: bytes) -> None:
        """Send the whole view to one entry."""
        self.sequence += 1
        view = ViewUpdate(
            "publisher", self.incarnation, self.sequence, True, self.services, self.members, [], 1
        )
        self.router.send_multipart([peer, ENCODER.encode(view)])

    def publish(self, documents: list[dict[str, Any]], members: list[MemberNotice] = ()) -> None:
        """Replace the view; entries get it with their next report."""
        with self.changed:
            self.services = [
                ServiceBody(item["service"], item["revision"], json.dumps(item).encode())
                for item in documents
            ]
            self.members = list(members)
            peers = set(self.peers)
            for peer in peers:
                self.send(peer)

    def wait_for(self, wanted) -> EntryReport:
        """Wait for a report that satisfies a predicate."""
        deadline = time.monotonic() + REPORT_TIMEOUT_S
        position = 0
        with self.changed:
            while True:
                for report in self.reports[position:]:
                    if wanted(report):
                        return report
                position = len(self.reports)
                left = deadline - time.monotonic()
                if left <= 0 or not self.changed.wait(left):
                    raise TimeoutError(f"no such report; last: {self.reports[-1:]}")

    def close(self) -> None:
        """Stop, as an agent that is gone."""
        self.ended = True
        self.thread.join()

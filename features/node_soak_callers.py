"""Callers of the soak, what they saw, and the checks of it against what targets ran."""

import asyncio
import json
import random
import time
from collections import deque
from dataclasses import dataclass, field

import h11

from features.steps.node_path_steps import FRONT_PORT, request_bytes
from poplarlane.outcomes import REFUSAL_STATUSES

CONNECT_LIMIT_S = 1.0
READ_BYTES = 65_536
DEADLINES_MS = (1_200, 2_500, 3_500, 3_500)
# Times of RULES.md: how long a disruption excuses a machine, and what a cut may lag behind.
STABLE_WINDOW_S = 3.0
LOSS_SLACK_S = 0.2
AFTER_GRACE_S = 1.0
LATE_AFTER_TERM_S = 3.0
MAX_CALM_CUTS = 3
# Caller and node begin to count the deadline some time apart.
SLACK_S = 0.05


class CutError(Exception):
    """The connection ended without a complete answer."""


@dataclass(slots=True)
class Sent:
    """One request, and what its caller saw; `end` is how the wait for its answer ended."""

    request_id: str
    is_booking: bool
    node: str
    deadline_at: float = 0.0
    sent_at: float = field(default_factory=time.monotonic)
    status: int = 0
    is_signed: bool = False
    end: str = "open"
    ended_at: float = 0.0
    # Whether its connection ended while another request had to be answered first, or after an
    # answer that announced the end: it could not be answered any more.
    is_behind: bool = False

    def finish(self, end: str) -> None:
        """Note how the wait ended."""
        self.end, self.ended_at = end, time.monotonic()

    def path(self) -> str:
        """Return the path, which differs between requests."""
        return f"/{'bookings' if self.is_booking else 'views'}/{self.request_id}"

    def data(self, deadline_ms: int) -> bytes:
        """Write the request."""
        self.deadline_at = self.sent_at + deadline_ms / 1000.0
        method = "POST" if self.is_booking else "GET"
        return request_bytes(method, self.path(), self.request_id, deadline_ms)


class Caller:
    """Use one connection after the other, to nodes drawn at random, and send requests in turn.

    The rig holds the nodes, the load, what callers sent, and the answers that were wrong.
    """

    def __init__(self, rig, number: int) -> None:
        self.rig = rig
        self.name = f"s{rig.seed}c{number}"
        self.generator = random.Random(f"{rig.seed}/caller/{number}")
        self.pending: deque[Sent] = deque()
        self.is_closing = False

    def send(self, node: str, count: int) -> None:
        """Send requests in one piece."""
        data = b""
        for _ in range(count):
            request_id = f"{self.name}-{len(self.rig.sent)}"
            sent = Sent(request_id, self.generator.random() < 0.6, node)
            self.rig.sent.append(sent)
            self.pending.append(sent)
            data += sent.data(self.generator.choice(DEADLINES_MS))
        self.writer.write(data)

    async def read(self) -> bytes:
        """Read some bytes."""
        try:
            data = await self.reader.read(READ_BYTES)
        except OSError as error:
            raise CutError from error
        if not data:
            raise CutError
        return data

    async def read_answer(self) -> None:
        """Read the answer to the oldest request and check it."""
        if self.is_closing:
            raise CutError
        sent = self.pending[0]
        # The parser only has to know that a request precedes the answer.
        self.parser.send(h11.Request(method="GET", target="/", headers=[("host", "h")]))
        self.parser.send(h11.EndOfMessage())
        head, body = None, b""
        while head is None or self.parser.their_state is h11.SEND_BODY:
            try:
                event = self.parser.next_event()
            except h11.RemoteProtocolError as error:
                self.rig.mixed.append(f"{sent} got no HTTP: {error}")
                raise CutError from error
            if event is h11.NEED_DATA:
                # Targets give lengths, so that no whole answer ends with its connection.
                self.parser.receive_data(await self.read())
            elif isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
        self.pending.popleft()
        sent.finish("answered")
        self.check(sent, head, body)
        self.is_closing = self.parser.their_state is not h11.DONE
        if not self.is_closing:
            self.parser.start_next_cycle()

    def check(self, sent: Sent, head: h11.Response, body: bytes) -> None:
        """Check that an answer is whole and belongs to its request."""
        headers = {name.decode(): value.decode("latin-1") for name, value in head.headers}
        sent.status = head.status_code
        name, _, length = headers.get("x-server-signature", "").rpartition(".")
        sent.is_signed = bool(name)
        is_right = headers.get("x-attempt-id", sent.request_id) == sent.request_id
        if name and len(body) == int(length):
            found = json.loads(body)
            is_right &= found["target"] == name and found["path"] == sent.path()
        elif name or 200 <= sent.status < 300:
            is_right = False
        if not is_right:
            self.rig.mixed.append(f"{sent} got {headers} {body[:200]!r}")

    async def be_idle(self, seconds: float) -> None:
        """Send nothing for a time; nothing may arrive meanwhile."""
        data = self.parser.trailing_data[0]
        try:
            async with asyncio.timeout(seconds):
                data = data or await self.read()
        except TimeoutError:
            return
        # A node may say why it closes an idle connection.
        if not data.startswith(b"HTTP/1.1 408"):
            self.rig.mixed.append(f"bytes without a request: {data[:200]!r}")
        raise CutError

    async def run(self, until: float) -> None:
        """Send requests until a time."""
        while time.monotonic() < until:
            node = self.generator.choice(self.rig.nodes)
            try:
                async with asyncio.timeout(CONNECT_LIMIT_S):
                    opened = await asyncio.open_connection(node.address, FRONT_PORT)
            except (OSError, TimeoutError):
                await asyncio.sleep(self.generator.uniform(0.05, 0.3))
                continue
            self.reader, self.writer = opened
            self.parser = h11.Connection(h11.CLIENT)
            self.is_closing = False
            reason = "left"
            try:
                await self.use(node.name, until)
            except CutError:
                reason = "cut"
            self.writer.transport.abort()
            for number, sent in enumerate(self.pending):
                sent.is_behind = number > 0 or self.is_closing
                sent.finish(reason)
            self.pending.clear()

    async def use(self, node: str, until: float) -> None:
        """Send requests in turn; raise CutError when the node closes."""
        depth = self.generator.choice((1, 1, 2, 4, 8))
        left = self.generator.choice((1, 5, 40, 1_000))
        patience_s = self.generator.choice((0.0, 0.5, 6.0))
        leaves_early = self.generator.random() < 0.05
        while True:
            may_send = left > 0 and time.monotonic() < until and not self.is_closing
            if may_send and len(self.pending) < depth:
                count = min(left, self.generator.randint(1, depth - len(self.pending)))
                self.send(node, count)
                left -= count
            if not self.pending or leaves_early and left == 0:
                return
            try:
                async with asyncio.timeout_at(self.pending[0].deadline_at + patience_s):
                    await self.read_answer()
            except TimeoutError:
                return
            if not self.pending and may_send and not self.is_closing:
                await self.be_idle(self.rig.think_s * self.generator.uniform(0.2, 1.8))


def check_runs(all_sent: list[Sent], began: dict[str, list]) -> list[str]:
    """List the requests that ran although they must not have."""
    found = [f"UNASKED {name}" for name in began.keys() - {sent.request_id for sent in all_sent}]
    for sent in all_sent:
        runs = began.get(sent.request_id, [])
        if sent.is_booking and len(runs) > 1:
            found.append(f"TWICE {sent} ran {runs}")
        if sent.is_booking and runs and sent.status in REFUSAL_STATUSES:
            after_s = runs[0][1] - sent.ended_at
            found.append(f"REFUSED {sent} ran {runs}, {after_s:.3f} s after the answer")
    return found


def check_losses(
    all_sent: list[Sent], ran: dict, nodes: dict, grace_s: float
) -> tuple[list[str], int]:
    """List the requests that nodes cut around SIGTERM, and count those cut in calm."""
    found, calm = [], []
    broken_off, broken_by_node = set(ran["broken_off"]), set(ran["cancelled"])
    for sent in all_sent:
        began = ran["began"].get(sent.request_id, [])
        took_s = sent.ended_at - sent.sent_at
        is_cut = sent.end == "cut" and (began or took_s > LOSS_SLACK_S and not sent.is_behind)
        # The target saw its connection end during its work.
        is_own = sent.status >= 500 and not sent.is_signed and sent.request_id in broken_by_node
        is_excused = sent.request_id in broken_off or sent.ended_at + SLACK_S >= sent.deadline_at
        node = nodes[sent.node]
        if is_excused or node.is_disturbed(sent.sent_at - STABLE_WINDOW_S, sent.ended_at):
            continue
        stopped_at = node.stopped_before(sent.ended_at, grace_s + AFTER_GRACE_S)
        is_last = bool(began) and sent.ended_at >= stopped_at + grace_s * 5 / 6
        text = f"LOST {sent} ran {began}, SIGTERM {sent.ended_at - stopped_at:.3f} s before"
        if not stopped_at and is_cut and began:
            calm.append(text)
        is_last &= sent.sent_at <= stopped_at + LATE_AFTER_TERM_S
        if stopped_at and (is_cut or is_own) and not is_last:
            found.append(text)
    return found + (calm if len(calm) > MAX_CALM_CUTS else []), len(calm)

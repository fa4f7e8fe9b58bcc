"""Callers of the soak, what they saw, and the checks of it against what targets ran."""

import asyncio
import json
import random
import time
from collections import Counter, deque

import h11

from features.shell_world import NOT_RUN_STATUSES
from features.steps.node_path_steps import FRONT_PORT, request_bytes

CONNECT_LIMIT_S = 1.0
READ_BYTES = 65_536
DEADLINES_MS = (1_200, 2_500, 3_500, 3_500)
# Times of RULES.md: how long a disruption excuses a machine, and what a cut may lag behind.
STABLE_WINDOW_S = 3.0
LOSS_SLACK_S = 0.2
AFTER_GRACE_S = 1.0
LATE_AFTER_TERM_S = 3.0
MAX_CALM_CUTS = 3
# Shorter than any route's timeout; clocks of caller and node start some time apart.
DEADLINE_SLACK_S = 0.05


class CutError(Exception):
    """The connection ended without a complete answer."""


class Sent:
    """One request, and what its caller saw; `end` is how the wait for its answer ended."""

    __slots__ = (
        "request_id",
        "is_booking",
        "node",
        "sent_at",
        "deadline_at",
        "status",
        "is_signed",
        "end",
        "ended_at",
        "is_behind",
    )

    def __init__(self, request_id: str, is_booking: bool, node: str, deadline_ms: int) -> None:
        self.request_id = request_id
        self.is_booking = is_booking
        self.node = node
        self.sent_at = time.monotonic()
        self.deadline_at = self.sent_at + deadline_ms / 1000.0
        self.status = 0
        self.is_signed = False
        self.end = "open"
        self.ended_at = 0.0
        # Whether its connection ended while another one had to be answered first, or after an
        # answer that announced the end: it could not be answered any more.
        self.is_behind = False

    def finish(self, end: str) -> None:
        """Note how the wait ended."""
        self.end = end
        self.ended_at = time.monotonic()

    def path(self) -> str:
        """Return the path, which differs between requests."""
        return f"/{'bookings' if self.is_booking else 'views'}/{self.request_id}"

    def data(self, deadline_ms: int) -> bytes:
        """Write the request."""
        method = "POST" if self.is_booking else "GET"
        return request_bytes(method, self.path(), self.request_id, deadline_ms)

    def document(self) -> dict:
        """Return the fields."""
        return {name: getattr(self, name) for name in self.__slots__}


class Record:
    """What callers saw, and the answers that were wrong."""

    def __init__(self) -> None:
        self.sent: list[Sent] = []
        self.mixed: list[str] = []


class Connection:
    """A caller's open connection, on which requests are sent in turn."""

    def __init__(self, record: Record, streams: tuple, generator: random.Random) -> None:
        self.record = record
        self.reader, self.writer = streams
        self.generator = generator
        self.parser = h11.Connection(h11.CLIENT)
        self.pending: deque[Sent] = deque()
        self.is_closing = False

    def send(self, node: str, prefix: str, count: int) -> None:
        """Send requests in one piece."""
        data = b""
        for _ in range(count):
            deadline_ms = self.generator.choice(DEADLINES_MS)
            request_id = f"{prefix}-{len(self.record.sent)}"
            sent = Sent(request_id, self.generator.random() < 0.6, node, deadline_ms)
            self.record.sent.append(sent)
            self.pending.append(sent)
            data += sent.data(deadline_ms)
        self.writer.write(data)

    async def read_more(self) -> None:
        """Give the parser the next bytes."""
        try:
            data = await self.reader.read(READ_BYTES)
        except OSError as error:
            raise CutError from error
        if data:
            self.parser.receive_data(data)
        elif self.parser.their_state is h11.SEND_BODY:
            # Ends a body without a length; any other one is cut.
            self.parser.receive_data(b"")
        else:
            raise CutError

    async def read_answer(self) -> None:
        """Read the answer to the oldest request and check it."""
        if self.is_closing:
            raise CutError
        sent = self.pending[0]
        # The parser only has to know that a request precedes the answer.
        self.parser.send(h11.Request(method="GET", target="/", headers=[("host", "h")]))
        self.parser.send(h11.EndOfMessage())
        head, body = None, b""
        while True:
            try:
                event = self.parser.next_event()
            except h11.RemoteProtocolError as error:
                if "closed connection" not in str(error):
                    self.record.mixed.append(f"{sent.request_id} got no HTTP: {error}")
                raise CutError from error
            if event is h11.NEED_DATA:
                await self.read_more()
            elif isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                break
        self.pending.popleft()
        sent.finish("answered")
        self.check(sent, head, body)
        if self.parser.their_state is h11.DONE and self.parser.our_state is h11.DONE:
            self.parser.start_next_cycle()
        else:
            self.is_closing = True

    def check(self, sent: Sent, head: h11.Response, body: bytes) -> None:
        """Check that an answer is whole and belongs to its request."""
        headers = {name.decode(): value.decode("latin-1") for name, value in head.headers}
        sent.status = head.status_code
        signature = headers.get("x-server-signature", "")
        sent.is_signed = bool(signature)
        wrong = []
        if headers.get("x-attempt-id", sent.request_id) != sent.request_id:
            wrong.append(f"id {headers['x-attempt-id']}")
        if signature:
            name, _, length = signature.rpartition(".")
            found = json.loads(body) if len(body) == int(length) else {}
            if (found.get("target"), found.get("path")) != (name, sent.path()):
                wrong.append(f"a body of {len(body)} B signed {signature}: {body[:80]!r}")
        elif 200 <= sent.status < 300:
            wrong.append(f"{sent.status} without a signature")
        if wrong:
            self.record.mixed.append(f"{sent.request_id} to {sent.node} got {wrong}")

    async def be_idle(self, seconds: float) -> None:
        """Send nothing for a time; nothing may arrive meanwhile."""
        data = self.parser.trailing_data[0]
        try:
            async with asyncio.timeout(seconds):
                while not data:
                    data = await self.reader.read(READ_BYTES)
                    if not data:
                        raise CutError
        except TimeoutError:
            return
        except OSError as error:
            raise CutError from error
        # A node may say why it closes an idle connection.
        if not data.startswith(b"HTTP/1.1 408"):
            self.record.mixed.append(f"bytes without a request: {data[:200]!r}")
        raise CutError

    def end(self, reason: str) -> None:
        """Close, and note how the wait for all pending answers ended."""
        self.writer.transport.abort()
        for number, sent in enumerate(self.pending):
            sent.is_behind = number > 0 or self.is_closing
            sent.finish(reason)


class Caller:
    """Use one connection after the other, to nodes drawn at random."""

    def __init__(self, record: Record, seed: int, number: int, nodes: list, think_s: list) -> None:
        self.record = record
        self.name = f"s{seed}c{number}"
        self.generator = random.Random(f"{seed}/caller/{number}")
        self.nodes = nodes
        # One value, which the soak changes to vary the load.
        self.think_s = think_s

    async def run(self, until: float) -> None:
        """Send requests until a time."""
        while time.monotonic() < until:
            node = self.generator.choice(self.nodes)
            try:
                async with asyncio.timeout(CONNECT_LIMIT_S):
                    streams = await asyncio.open_connection(node.address, FRONT_PORT)
            except (OSError, TimeoutError):
                await asyncio.sleep(self.generator.uniform(0.05, 0.3))
                continue
            connection = Connection(self.record, streams, self.generator)
            reason = "left"
            try:
                await self.use(connection, node, until)
            except CutError:
                reason = "cut"
            finally:
                connection.end(reason)

    async def use(self, connection: Connection, node, until: float) -> None:
        """Send requests in turn; raise CutError when the node closes."""
        depth = self.generator.choice((1, 1, 2, 4, 8))
        left = self.generator.choice((1, 5, 40, 1_000))
        patience_s = self.generator.choice((0.0, 0.5, 6.0))
        leaves_early = self.generator.random() < 0.05
        while True:
            may_send = left > 0 and time.monotonic() < until and not connection.is_closing
            if may_send and len(connection.pending) < depth:
                count = min(left, self.generator.randint(1, depth - len(connection.pending)))
                connection.send(node.name, self.name, count)
                left -= count
            if not connection.pending or leaves_early and left == 0:
                return
            try:
                async with asyncio.timeout_at(connection.pending[0].deadline_at + patience_s):
                    await connection.read_answer()
            except TimeoutError:
                return
            if not connection.pending and may_send:
                await connection.be_idle(self.think_s[0] * self.generator.uniform(0.2, 1.8))


# Checks.


def check_runs(record: Record, began: dict[str, list]) -> list[str]:
    """List the requests that ran although they must not have."""
    found = []
    known = {sent.request_id: sent for sent in record.sent}
    for sent in record.sent:
        runs = began.get(sent.request_id, [])
        if sent.is_booking and len(runs) > 1:
            found.append(f"TWICE {sent.request_id} at {sent.node}: ran {runs}")
        if sent.is_booking and runs and sent.status in NOT_RUN_STATUSES:
            after_s = runs[0][1] - sent.ended_at
            found.append(
                f"REFUSED {sent.request_id} at {sent.node}: {sent.status}, ran {runs}, "
                f"{after_s:.3f} s after the answer"
            )
    found += [f"UNASKED {name}" for name in began if name not in known]
    return found


def check_losses(record: Record, ran: dict, nodes: dict, grace_s: float) -> tuple[list[str], int]:
    """List the requests that nodes cut around SIGTERM, and count those cut in calm."""
    found, calm = [], []
    broken_off = set(ran["broken_off"])
    for sent in record.sent:
        began = ran["began"].get(sent.request_id, [])
        is_own = sent.status >= 500 and sent.status != 503 and not sent.is_signed and began
        if not (sent.end == "cut" or is_own) or sent.request_id in broken_off:
            continue
        node = nodes[sent.node]
        if sent.ended_at >= sent.deadline_at - DEADLINE_SLACK_S:
            continue
        if node.is_disturbed(sent.sent_at - STABLE_WINDOW_S, sent.ended_at):
            continue
        took_s = sent.ended_at - sent.sent_at
        if not began and (sent.is_behind or took_s <= LOSS_SLACK_S):
            continue
        stopped_at = node.stopped_before(sent.ended_at, grace_s + AFTER_GRACE_S)
        text = f"LOST {sent.document()} ran {began}, SIGTERM {sent.ended_at - stopped_at:.3f} s ago"
        if not stopped_at:
            if sent.end == "cut" and began:
                calm.append(text)
        elif not (
            began
            and sent.sent_at <= stopped_at + LATE_AFTER_TERM_S
            and sent.ended_at >= stopped_at + grace_s * 5 / 6
        ):
            found.append(text)
    return found + (calm if len(calm) > MAX_CALM_CUTS else []), len(calm)


def statuses(record: Record) -> Counter:
    """Count how the requests ended."""
    return Counter(str(sent.status) if sent.status else sent.end for sent in record.sent)

"""Clients send a read behind a booking whose body is in chunks, before the booking is answered."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))
import rig

ZONE = "zone-a"
NODES = 2
CLIENTS = 6
BACKENDS = 8
TRAFFIC_S = 20.0
PAUSE_S = 0.3
DEADLINE_S = 3.0
BODY = b'{"slot":"2026-12-07T10:30","family":"Ionescu","seats":4,"deposit":"paid"}'
CHUNK_BYTES = 40
# A header of 300 bytes, as browsers and kiosks send them: well below max_header_bytes.
COOKIE = "session=" + "c0ffee42" * 36
OWN_REFUSALS = (408, 421, 429)


def booking(attempt):
    """Return a booking with its body in chunks."""
    head = (
        f"POST /book/{attempt} HTTP/1.1\r\nHost: {rig.HOST}\r\nX-Attempt-Id: {attempt}\r\n"
        f"X-Deadline-Ms: {int(DEADLINE_S * 1000)}\r\nContent-Type: application/json\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    ).encode()
    parts = [BODY[at : at + CHUNK_BYTES] for at in range(0, len(BODY), CHUNK_BYTES)]
    return head + b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts) + b"0\r\n\r\n"


def reading(attempt):
    """Return a read with a cookie."""
    return (
        f"GET /slots/{attempt} HTTP/1.1\r\nHost: {rig.HOST}\r\nX-Attempt-Id: {attempt}\r\n"
        f"X-Deadline-Ms: {int(DEADLINE_S * 1000)}\r\nCookie: {COOKIE}\r\n\r\n"
    ).encode()


async def run_client(number, node, record, until, answers):
    """Send a booking and a read behind it, again and again, on a kept connection."""
    loop = asyncio.get_running_loop()
    reader = writer = None
    sent = 0
    while loop.time() < until:
        if writer is None:
            reader, writer = await asyncio.open_connection(node.address, node.front)
        sent += 2
        attempts = [f"c{number}b{sent:04d}", f"c{number}r{sent:04d}"]
        record.add(f"client {number} sends {attempts} to {node.name}")
        writer.write(booking(attempts[0]) + (reading(attempts[1]) if rig.has_trouble() else b""))
        closes = False
        for index, attempt in enumerate(attempts):
            if index and not rig.has_trouble():
                writer.write(reading(attempt))
            try:
                async with asyncio.timeout(DEADLINE_S):
                    head = await rig.read_head(reader)
                    if head is None:
                        raise rig.Broken("closed")
                    body = await rig.read_body(reader, head[1])
            except (OSError, TimeoutError, rig.Broken, asyncio.IncompleteReadError) as error:
                answers[attempt] = (0, f"{type(error).__name__}: {error}")
                closes = True
                break
            status = int(head[0].split()[1])
            is_own = rig.SIGNATURE not in head[1]
            answers[attempt] = (status, body.decode().strip() if is_own else "")
            record.add(f"answered {attempt}: {status} {answers[attempt][1]}")
            if "close" in head[1].get("connection", "").lower():
                # What was sent behind counts as not read.
                closes = True
                break
        if closes:
            writer.transport.abort()
            writer = None
        await asyncio.sleep(PAUSE_S)


async def case(record, nodes, temporary):
    """Play the case; return its result."""
    loop = asyncio.get_running_loop()
    addresses = rig.new_addresses(30)
    store = rig.Store(addresses[0])
    await store.start()
    routes = [
        rig.route("slots", "/slots/", "availability", timeout_s=1.5),
        rig.route("book", "/book/", "bookings", "unsafe", timeout_s=1.5, target_latency_s=0.4),
    ]
    store.put("config", "main", rig.configuration(5, routes, ["availability", "bookings"]))
    backends = []
    for number in range(BACKENDS):
        service = ("availability", "bookings")[number % 2]
        backend = rig.Backend(f"b-{number}", service, addresses[10 + number], ZONE, record)
        await backend.start()
        backend.register(store)
        backends.append(backend)
    machines = addresses[1 : 1 + NODES]
    exchange = rig.free_range(machines, 4)
    seeds = [f"{address}:{exchange}" for address in machines]
    for number, address in enumerate(machines):
        node = rig.Node(f"edge-a-{number + 1}", address, ZONE, temporary, exchange)
        nodes.append(node)
        node.write_settings(f"{store.address}:{store.port}", seeds, [ZONE])
        node.start()
    for node in nodes:
        await node.wait_ready()
    record.say("all nodes are ready")
    # In touch: no start by the bench in the last stable_window_s.
    await asyncio.sleep(rig.BOUNDS["stable_window_s"])
    answers = {}
    until = loop.time() + TRAFFIC_S
    await asyncio.gather(
        *(run_client(n, nodes[n % NODES], record, until, answers) for n in range(CLIENTS))
    )
    return judge(record, answers, backends)


def judge(record, answers, backends):
    """Apply DENIED: own 3xx and 4xx, other than those that promise, to proper requests."""
    ran = {attempt for backend in backends for attempt in backend.ran}
    denied = {
        attempt: text
        for attempt, (status, text) in answers.items()
        if 300 <= status < 500 and status not in OWN_REFUSALS and text
    }
    bookings = [attempt for attempt in answers if "b" in attempt]
    lost = [attempt for attempt in bookings if attempt in denied and attempt not in ran]
    allowed = 5 + len(answers) / 500
    for attempt, text in list(denied.items())[:3]:
        record.say(f"{attempt}: {text}")
    record.say(f"bookings: {len(bookings)}, denied and never run: {len(lost)}")
    record.say(f"requests: {len(answers)}, denied {len(denied)}, allowed {allowed:.1f}")
    return rig.EXIT_BROKEN if len(denied) > allowed else rig.EXIT_HELD


rig.run_case(case, FOLDER)

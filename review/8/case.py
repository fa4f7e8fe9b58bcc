"""The whole system starts for the first time while a backend leaves; a stale page hides that."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))
import rig

ZONE = "zone-a"
NODES = 5
SEEDS = 3
AVAILABILITY = 56
BOOKINGS = 4
LEAVING = "i-ffff0001"
# What a stale read may be behind: "seconds"; platform_compact has 5.5 in the site file.
BEHIND_S = 3.0
LEAVES_BEFORE_START_S = 0.5
# Traffic starts 10 s after the machines do.
TRAFFIC_AFTER_S = 10.0
TRAFFIC_S = 8.0
REQUESTS_PER_S = 60.0
# After its drain the backend goes on for a little longer, at times many seconds, and then exits.
EXITS_AFTER_S = 16.0


async def start_backends(addresses, store, record):
    """Start the backends and write their entries."""
    backends = {}
    for number in range(AVAILABILITY + BOOKINGS):
        service = "availability" if number < AVAILABILITY else "bookings"
        name = LEAVING if number == AVAILABILITY else f"i-{number:08x}"
        backend = rig.Backend(name, service, addresses[number], ZONE, record, work_s=0.16)
        await backend.start()
        backend.register(store)
        backends[name] = backend
    return backends


async def case(record, nodes, temporary):
    """Play the case; return its result."""
    addresses = rig.new_addresses(80)
    store = rig.Store(addresses[0])
    store.page_items = 50
    store.behind_s = BEHIND_S if rig.has_trouble() else 0.0
    await store.start()
    routes = [
        rig.route("slots", "/slots/", "availability"),
        rig.route("book", "/book/", "bookings", kind="unsafe", timeout_s=1.5, target_latency_s=0.4),
    ]
    store.put("config", "main", rig.configuration(5, routes, ["availability", "bookings"]))
    backends = await start_backends(addresses[10:], store, record)
    # The entries are older than any stale read.
    await asyncio.sleep(6.5)
    leaving = backends[LEAVING]
    leaving.register(store, "draining", 5)
    acknowledged_at = asyncio.get_running_loop().time()
    record.say(f"the store has accepted that {LEAVING} is draining")
    await asyncio.sleep(LEAVES_BEFORE_START_S)
    machines = addresses[1 : 1 + NODES]
    exchange = rig.free_range(machines, 4)
    seeds = [f"{address}:{exchange}" for address in machines[:SEEDS]]
    for number, address in enumerate(machines):
        node = rig.Node(f"edge-a-{number + 1}", address, ZONE, temporary, exchange)
        nodes.append(node)
        node.write_settings(f"{store.address}:{store.port}", seeds, [ZONE])
    for node in nodes:
        node.start()
    started_at = asyncio.get_running_loop().time()
    for node in nodes:
        await node.wait_ready()
    record.say("all nodes are ready")
    await asyncio.sleep(started_at + TRAFFIC_AFTER_S - asyncio.get_running_loop().time())
    exit_at = acknowledged_at + EXITS_AFTER_S
    asyncio.get_running_loop().call_at(exit_at, leave, leaving, store, record)
    answers = await send_requests(nodes, record)
    return judge(record, answers, leaving, acknowledged_at)


def leave(backend, store, record):
    """End the backend as its process would, and remove its entry."""
    record.say(
        f"{backend.name} exits with {backend.running} requests at work; its entry is removed"
    )
    backend.stop()
    store.delete("servers", backend.name)


async def send_requests(nodes, record):
    """Send bookings through all nodes; return the node and the answer of each."""
    tasks = []
    for number in range(int(TRAFFIC_S * REQUESTS_PER_S)):
        node = nodes[number % len(nodes)]
        attempt = f"b{number:05d}"
        work = rig.ask(
            node, f"/book/{number}", attempt, record, "POST", deadline_s=3.0, body=b"slot=1"
        )
        tasks.append((node, asyncio.get_running_loop().create_task(work)))
        await asyncio.sleep(1.0 / REQUESTS_PER_S)
    return [(node, await task) for node, task in tasks]


def judge(record, answers, leaving, acknowledged_at):
    """Apply DRAIN: which requests were sent and reached the backend later than drain_s after."""
    bound = acknowledged_at + rig.BOUNDS["drain_s"]
    late = {}
    for node, found in answers:
        reached = leaving.ran.get(found.attempt, [])
        if found.sent_at > bound and any(at > bound for at in reached):
            late.setdefault(node.name, []).append(found.attempt)
    lost = [found.attempt for _, found in answers if found.status != 200]
    begun = [attempt for attempt in lost if attempt in leaving.ran]
    record.say(f"bookings: {len(answers)}, not served {len(lost)}, begun there and lost {begun}")
    for name, attempts in sorted(late.items()):
        record.say(f"through {name}, {len(attempts)} reached {leaving.name} late: {attempts[:5]}")
    record.say(f"late requests at a backend that leaves: {sum(map(len, late.values()))}")
    return rig.EXIT_BROKEN if late else rig.EXIT_HELD


rig.run_case(case, FOLDER)

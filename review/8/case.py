"""All machines lose power; the three that the others have as seeds stay away."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))
import rig

ZONE = "zone-a"
SEEDS = 3
OTHERS = 5
BACKENDS = 8
KEY = "key-of-the-hot-tenant"
RATE_PER_S, BURST = 20.0, 10.0
QUOTA = {"quota_window_s": 5, "quota_overage": 0.1, "quota_slack": 20}
# hot_tenant: one tenant sends x times its usual; 5 here, for 6.5 s (7.5 and 8 s on the site).
REQUESTS_PER_S = 100.0
FIRST_S, SECOND_S = 6.5, 6.5
# Bound of the site: how old the seeds in a settings file may be.
SEED_LAG_S = 3.0


def allowed():
    """Return what QUOTA allows in a window."""
    window_s = QUOTA["quota_window_s"]
    quota = RATE_PER_S * window_s + BURST
    return quota * (1.0 + QUOTA["quota_overage"]) + QUOTA["quota_slack"]


async def send(nodes, record, phase, for_s):
    """Send the tenant's requests through nodes that are ready; return the answers."""
    loop = asyncio.get_running_loop()
    until = loop.time() + for_s
    tasks = []
    while loop.time() < until:
        attempt = f"{phase}{len(tasks):05d}"
        node = nodes[len(tasks) % len(nodes)]
        work = rig.ask(node, f"/list/{attempt}", attempt, record, key=KEY, deadline_s=1.5)
        tasks.append(loop.create_task(work))
        await asyncio.sleep(1.0 / REQUESTS_PER_S)
    return [await task for task in tasks]


async def case(record, nodes, temporary):
    """Play the case; return its result."""
    addresses = rig.new_addresses(30)
    store = rig.Store(addresses[0])
    await store.start()
    routes = [rig.route("list", "/list/", "cartelera")]
    tenants = [
        {"name": "hot", "api_keys": [KEY], "rate_per_s": RATE_PER_S, "burst": BURST, "priority": 1},
        {"name": "calm", "api_keys": ["another"], "rate_per_s": 5.0, "burst": 5.0, "priority": 1},
    ]
    store.put("config", "main", rig.configuration(5, routes, ["cartelera"], tenants=tenants))
    backends = []
    for number in range(BACKENDS):
        backend = rig.Backend(f"b-{number}", "cartelera", addresses[15 + number], ZONE, record)
        await backend.start()
        backend.register(store)
        backends.append(backend)
    machines = addresses[1 : 1 + SEEDS + OTHERS]
    exchange = rig.free_range(machines, 4)
    seeds = [f"{address}:{exchange}" for address in machines[:SEEDS]]
    store_address = f"{store.address}:{store.port}"
    for number, address in enumerate(machines):
        node = rig.Node(f"edge-a-{number + 1}", address, ZONE, temporary, exchange)
        nodes.append(node)
        node.write_settings(store_address, seeds, [ZONE], bounds=QUOTA)
        node.start()
    for node in nodes:
        await node.wait_ready()
    record.say("all nodes are ready")
    await asyncio.sleep(4.0)
    answers = await send(nodes, record, "f", FIRST_S)
    record.say(f"before: {summary(answers)}; most in a window: {most(backends, 'f')}")
    await lose_power(nodes, record)
    others = nodes[SEEDS:]
    if not rig.has_trouble():
        others = nodes
    await asyncio.sleep(1.0)
    for node in others:
        node.write_settings(store_address, seeds, [ZONE], bounds=QUOTA, bootstrap=False)
        node.start()
    for node in others:
        await node.wait_ready()
    record.say(f"{len(others)} of {len(nodes)} nodes are back")
    await asyncio.sleep(SEED_LAG_S)
    live = [f"{node.address}:{exchange}" for node in others[:SEEDS]]
    for node in others:
        admin = node.admin
        node.write_settings(store_address, live, [ZONE], bounds=QUOTA, bootstrap=False, admin=admin)
        node.signal(signal.SIGHUP)
    record.say("the settings files name three live machines as seeds; SIGHUP")
    await asyncio.sleep(3.0)
    answers = await send(others, record, "s", SECOND_S)
    found = most(backends, "s")
    record.say(f"after: {summary(answers)}; most in a window: {found}, allowed {allowed():.0f}")
    return rig.EXIT_BROKEN if found > allowed() else rig.EXIT_HELD


async def lose_power(nodes, record):
    """Kill all nodes at once."""
    for node in nodes:
        node.signal(signal.SIGKILL)
    for node in nodes:
        await asyncio.to_thread(node.process.wait)
    record.say("all nodes are killed")


def summary(answers):
    """Count the answers by their end."""
    ends = {}
    for found in answers:
        ends[found.end] = ends.get(found.end, 0) + 1
    return ", ".join(f"{count} x {end}" for end, count in sorted(ends.items()))


def most(backends, phase):
    """Return the most requests of a phase that ran in a window."""
    window_s = QUOTA["quota_window_s"]
    ran = sorted(
        at
        for backend in backends
        for attempt, times in backend.ran.items()
        if attempt.startswith(phase)
        for at in times[:1]
    )
    return max((sum(at <= other < at + window_s for other in ran) for at in ran), default=0)


rig.run_case(case, FOLDER)

"""A backend in need names the rate that it takes with all the digits of a binary fraction."""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))
import rig

ZONE = "zone-a"
NODES = 3
BACKENDS = 4
# As Python, Java, JavaScript and Go print ten thirds. LIMIT_TEXT=3.3333 shows the rule being kept.
LIMIT_TEXT = os.environ.get("LIMIT_TEXT", str(10.0 / 3.0))
# News: in some 4 s not more than one and a half times what the rate allows, + 5 requests.
WINDOW_S, RATIO, EXTRA = 4.0, 1.5, 5
REQUESTS_PER_S = 42.0
CALM_S = 3.0
NEED_S = 20.0


class NeedyBackend(rig.Backend):
    """Name a rate while it is in need, and reset connections when it is full."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.in_need_since = None
        # Time, node and attempt of what reached it.
        self.arrivals = []
        self.resets = 0

    def borne(self):
        """Return how many requests it bears in a window."""
        return RATIO * float(LIMIT_TEXT) * WINDOW_S + EXTRA

    def write(self, writer, status, headers, body):
        """Write an answer, which names the rate."""
        if self.in_need_since is not None:
            headers = headers | {"server-limit": LIMIT_TEXT}
        super().write(writer, status, headers, body)

    async def handle(self, head, body, reader, writer):
        """Count a request, and reset its connection when the window is full."""
        if head[0].split()[1] != "/healthz":
            now = asyncio.get_running_loop().time()
            attempt = head[1].get("x-attempt-id", "")
            self.arrivals.append((now, writer.get_extra_info("peername")[0], attempt))
            recent = sum(at > now - WINDOW_S for at, _, _ in self.arrivals)
            # In need it has a while to work off what had reached it before.
            is_due = self.in_need_since is not None and now - self.in_need_since > 2 * WINDOW_S
            if is_due and recent > self.borne():
                self.resets += 1
                self.record.add(f"{attempt} reset by {self.name}, which is full")
                return False
        return await super().handle(head, body, reader, writer)


async def case(record, nodes, temporary):
    """Play the case; return its result."""
    loop = asyncio.get_running_loop()
    addresses = rig.new_addresses(20)
    store = rig.Store(addresses[0])
    await store.start()
    routes = [
        rig.route("book", "/book/", "bookings", "unsafe", timeout_s=1.5, target_latency_s=0.4)
    ]
    store.put("config", "main", rig.configuration(5, routes, ["bookings"]))
    backends = []
    for number in range(BACKENDS):
        backend = NeedyBackend(f"b-{number}", "bookings", addresses[10 + number], ZONE, record)
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
    needy = backends[0]
    began_at = loop.time()
    tasks = []
    while loop.time() - began_at < CALM_S + NEED_S:
        if rig.has_trouble() and needy.in_need_since is None and loop.time() - began_at > CALM_S:
            needy.in_need_since = loop.time()
            record.say(f"{needy.name} names Server-Limit: {LIMIT_TEXT}")
        node = nodes[len(tasks) % NODES]
        attempt = f"b{len(tasks):05d}"
        work = rig.ask(
            node, f"/book/{attempt}", attempt, record, "POST", deadline_s=3.0, body=b"slot=1"
        )
        tasks.append((node, loop.create_task(work)))
        await asyncio.sleep(1.0 / REQUESTS_PER_S)
    answers = [(node, await task) for node, task in tasks]
    return judge(record, answers, needy)


def judge(record, answers, needy):
    """Apply LIMIT to the machines that had passed on an answer which names the rate."""
    lost = [found for _, found in answers if found.status != 200]
    record.say(
        f"bookings: {len(answers)}, not served: {len(lost)}, reset by a full backend: {needy.resets}"
    )
    if needy.in_need_since is None:
        return rig.EXIT_HELD
    told_at = {}
    for node, found in answers:
        if "server-limit" in found.headers and found.ended_at is not None:
            told_at[node.address] = min(told_at.get(node.address, 1e12), found.ended_at)
    first_at = min(told_at.values())
    counted = [
        at
        for at, source, _ in needy.arrivals
        if at >= first_at + rig.BOUNDS["stable_window_s"] and at >= told_at.get(source, 1e12) + 0.5
    ]
    most = max((sum(at <= other < at + WINDOW_S for other in counted) for at in counted), default=0)
    allowed = needy.borne()
    record.say(f"most requests in {WINDOW_S:g} s at {needy.name}: {most}, allowed {allowed:.1f}")
    return rig.EXIT_BROKEN if most > allowed else rig.EXIT_HELD


rig.run_case(case, FOLDER)

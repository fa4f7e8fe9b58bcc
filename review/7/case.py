"""A machine is suspended now and then; afterwards it takes no booking any more."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))
import rig

ZONE = "zone-a"
NODES = 1
SUSPENSIONS = 8
BACKENDS = 30
# slot-book: 160 ms of work, a timeout of 1.5 s, a deadline of 3 s.
WORK_S, TIMEOUT_S, DEADLINE_S = 0.16, 1.5, 3.0
REQUESTS_PER_S = 220.0
# node_freeze lasts 3.5 s in the site files.
FREEZE_S = 2.5
CALM_S, BETWEEN_S = 6.0, 4.0
AFTER_S = 6.0


class Traffic:
    """Bookings through all machines in turn, until it is stopped."""

    def __init__(self, nodes, record):
        self.nodes, self.record = nodes, record
        self.tasks = []
        self.is_stopped = False

    async def run(self):
        """Send bookings."""
        loop = asyncio.get_running_loop()
        due = loop.time()
        while not self.is_stopped:
            attempt = f"b{len(self.tasks):06d}"
            node = self.nodes[len(self.tasks) % len(self.nodes)]
            work = rig.ask(
                node, f"/book/{attempt}", attempt, self.record, "POST", DEADLINE_S, b"slot=1"
            )
            self.tasks.append(loop.create_task(work))
            due += 1.0 / REQUESTS_PER_S
            await asyncio.sleep(max(0.0, due - loop.time()))

    async def answers(self):
        """Return all answers."""
        return [await task for task in self.tasks]


async def case(record, nodes, temporary):
    """Play the case; return its result."""
    loop = asyncio.get_running_loop()
    addresses = rig.new_addresses(50)
    store = rig.Store(addresses[0])
    await store.start()
    changes = {"timeout_s": TIMEOUT_S, "target_latency_s": 0.4, "priority": 1}
    routes = [rig.route("book", "/book/", "bookings", "unsafe", **changes)]
    store.put("config", "main", rig.configuration(5, routes, ["bookings"]))
    for number in range(BACKENDS):
        address = addresses[10 + number]
        backend = rig.Backend(f"b-{number}", "bookings", address, ZONE, record, work_s=WORK_S)
        await backend.start()
        backend.register(store)
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
    traffic = Traffic(nodes, record)
    running = loop.create_task(traffic.run())
    began_at = loop.time()
    await asyncio.sleep(CALM_S)
    before_at = loop.time()
    for node in nodes * SUSPENSIONS:
        if rig.has_trouble():
            record.say(f"{node.name} is suspended for {FREEZE_S:g} s")
            node.signal(signal.SIGSTOP)
        await asyncio.sleep(FREEZE_S)
        if rig.has_trouble():
            node.signal(signal.SIGCONT)
        await asyncio.sleep(BETWEEN_S)
    back_at = loop.time() - BETWEEN_S
    record.say("the machine runs again, for good")
    await asyncio.sleep(rig.BOUNDS["recovery_s"] - BETWEEN_S + AFTER_S)
    traffic.is_stopped = True
    await running
    answers = await traffic.answers()
    ready = [await node.is_ready() for node in nodes]
    record.say(f"ready: {ready}")
    calm = [found for found in answers if began_at + 2.0 <= found.sent_at < before_at - 2.0]
    late = [found for found in answers if found.sent_at > back_at + rig.BOUNDS["recovery_s"]]
    return judge(record, calm, late)


def judge(record, calm, late):
    """Apply RECOVER: the share that is served before, and recovery_s after the machines are back."""
    shares = []
    for text, answers in (("before", calm), ("after recovery_s", late)):
        served = sum(found.status == 200 for found in answers)
        ends = {}
        for found in answers:
            if found.status != 200:
                end = found.end + " " + found.body[:100].decode().strip()
                ends[end] = ends.get(end, 0) + 1
        shares.append(served / max(1, len(answers)))
        record.say(f"{text}: {len(answers)} bookings, served {served}; {ends}")
    return rig.EXIT_BROKEN if shares[0] >= 0.25 > shares[1] else rig.EXIT_HELD


rig.run_case(case, FOLDER)

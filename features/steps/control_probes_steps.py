"""Steps about probes and their budget."""

import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from threading import Thread

import zmq
from behave import given, then, when

from features.control_grant_contention import RATE_PER_S, MovingWorld, World, short_intervals
from features.control_support import assert_no_faults, make_service, wait_until
from poplarlane.bench.layout import AGENT_ENTRY_PORT
from poplarlane.bench.processes import Launcher
from poplarlane.bench.relayed_fleet import RelayedFleet
from poplarlane.decisions.probes.grants import shard_name
from poplarlane.decisions.probes.probe_schedule import shard_of
from poplarlane.messages import ENCODER, VIEW_DECODER, EntryHello

SEED = 13
SERVICE = "registry"
GRANT_MS = 2_000
MAX_FLIGHT_S = 2.0
REFUSING = "refusing"
REFUSING_PORT = 22_500
WINDOWS_S = (0.25, 0.5, 1.0, 2.0, 5.0, 10.0)
# Arrivals are recorded by a thread that the machine may wake late.
RECORDING_ERROR_S = 0.03
MIN_ARRIVALS = 10


class RefusingTarget:
    """Record the arrival of probes and answer 503, which keeps the target in doubt."""

    def __init__(self, address):
        arrivals = self.arrivals = []

        class Handler(BaseHTTPRequestHandler):
            def do_GET(self):  # noqa: N802  the base class prescribes the name
                arrivals.append(time.monotonic())
                self.send_response(503)
                self.send_header("content-length", "0")
                self.end_headers()

            def log_message(self, *_):
                pass

        self.server = ThreadingHTTPServer((address, REFUSING_PORT), Handler)
        Thread(target=self.server.serve_forever, daemon=True).start()

    def close(self):
        self.server.shutdown()
        self.server.server_close()


@given("a probing fleet of {agents:d} agents, {spare:d} spare VMs and a target that refuses probes")
def step_fleet(context, agents, spare):
    launcher = context.resources.enter_context(Launcher())
    fleet = context.fleet = RelayedFleet(launcher, SEED, ["dc-0", "dc-1"])
    context.resources.callback(assert_no_faults, fleet)
    fleet.extra = {"grant_duration_ms": GRANT_MS}
    context.refusing = RefusingTarget(launcher.new_host())
    context.resources.callback(context.refusing.close)
    fleet.start(agents, spare)
    fleet.layout.start_target("target-0", "dc-0", probe_ms=1.0)
    context.phases = []


def service(context, name, budget):
    """Build a service over the stand-in target and the refusing one."""
    built = make_service(context.fleet.layout, name, 1, probe_budget=budget)
    address = context.refusing.server.server_address[0]
    built["targets"][REFUSING] = {
        "address": address,
        "port": REFUSING_PORT,
        "data_centre": "dc-0",
        "labels": {"role": "serving"},
    }
    return built


@given("at most {rate:d} probes per second per target are allowed")
def step_budget(context, rate):
    context.rate = rate
    budget = {"per_target_per_s": float(rate), "target_time_share": 0.5, "probe_cost_ms": 1.0}
    context.fleet.write(service(context, SERVICE, budget))
    more_probes(context, "start")


def more_probes(context, phase):
    """Wait for three more probes and note the phase."""
    before = len(context.refusing.arrivals)
    wait_until(f"probes after {phase}", lambda: len(context.refusing.arrivals) >= before + 3, 30)
    context.phases.append(phase)


def grant_status(fleet, vm, name):
    """Give what an agent shows of the grant that covers a service."""
    return fleet.status(vm)["probes"].get(shard_name(shard_of(name)), {})


def holder(context):
    """Find the VM whose agent holds the grant."""
    found = []

    def seen():
        found[:] = [
            vm
            for vm in context.fleet.running
            if vm.agent.popen.poll() is None
            and grant_status(context.fleet, vm, SERVICE).get("held")
        ]
        return found

    wait_until("a holder of the grant", seen, 20)
    assert len(found) == 1, [vm.name for vm in found]
    return found[0]


@when("the holder of the probe grant is stopped until another agent has it, and continues")
def step_pause(context):
    first = holder(context)
    marks = {vm.name: len(vm.agent.lines) for vm in context.fleet.running}
    first.agent.pause()
    others = [vm for vm in context.fleet.running if vm is not first]

    def taken_over():
        return any(
            line.fields.get("event") == "grant_obtained"
            for vm in others
            for line in vm.agent.lines[marks[vm.name] :]
        )

    wait_until("another agent has the grant", taken_over, 40)
    more_probes(context, "takeover")
    first.agent.resume()
    first.agent.wait_for("paused")
    more_probes(context, "resumed holder")


@when("the new holder is killed and started again")
def step_kill(context):
    vm = holder(context)
    vm.agent.kill()
    context.fleet.start_agent(vm)
    more_probes(context, "restart")


@when("the platform is unavailable for longer than a grant and then loses 3 answers")
def step_outage(context):
    fleet = context.fleet
    fleet.platform_faults(outage=True)
    began = time.monotonic()
    quiet_from = began + GRANT_MS / 1000 + MAX_FLIGHT_S

    def ended():
        held = [grant_status(fleet, vm, SERVICE).get("held") for vm in fleet.running]
        return not any(held) and time.monotonic() > quiet_from + 1.0

    wait_until("the grant ended", ended, 20)
    context.quiet = (quiet_from, time.monotonic())
    fleet.platform_faults(outage=False, lose_answers=3)
    more_probes(context, "outage")


@when("two more agents join")
def step_join(context):
    for vm in context.fleet.vms[4:6]:
        context.fleet.start_agent(vm)
    more_probes(context, "join")


@then("the refusing target got probes in every phase")
def step_phases(context):
    wanted = ["start", "takeover", "resumed holder", "restart", "outage", "join"]
    assert context.phases == wanted, context.phases


@then("no probe arrived while the platform was unavailable after the grant had ended")
def step_quiet(context):
    start, end = context.quiet
    arrived = [at for at in context.refusing.arrivals if start < at < end]
    assert not arrived, arrived


@then("in no window did a target get more probes than the budget allows")
def step_windows(context):
    # Without doubt a target gets a third of the budget, so enough arrivals take longer.
    wait_until("probes", lambda: len(context.fleet.probes_at("target-0")) >= MIN_ARRIVALS, 20)
    for name, arrivals in (
        (REFUSING, sorted(context.refusing.arrivals)),
        ("target-0", context.fleet.probes_at("target-0")),
    ):
        assert len(arrivals) >= MIN_ARRIVALS, (name, len(arrivals))
        for window_s in WINDOWS_S:
            most = most_in_window(arrivals, window_s - RECORDING_ERROR_S)
            allowed = max(1, round(window_s * context.rate))
            assert most <= allowed, f"{name}: {most} probes in {window_s} s, allowed {allowed}"
        print(f"target={name} probes={len(arrivals)}")


def most_in_window(arrivals, window_s):
    """Count the most arrivals in any half-open window of a length."""
    most = first = 0
    for last, at in enumerate(arrivals):
        while arrivals[first] <= at - window_s:
            first += 1
        most = max(most, last - first + 1)
    return most


@then("a listener in place of an entry hears of the refusing target at every VM")
def step_results(context):
    for vm in context.fleet.running:
        hears_of(vm)


LISTENER_HELLO_MS = 500


def hears_of(vm):
    """Connect as an entry and wait for a result about the refusing target."""
    with zmq.Context() as sockets, sockets.socket(zmq.DEALER) as dealer:
        dealer.setsockopt(zmq.LINGER, 0)
        dealer.connect(f"tcp://{vm.address}:{AGENT_ENTRY_PORT}")
        hello = ENCODER.encode(EntryHello(f"listener-{vm.name}", 1, {}))
        deadline = time.monotonic() + 20
        while time.monotonic() < deadline:
            # An agent drops an entry that falls silent, so the listener keeps saying hello.
            dealer.send(hello)
            if not dealer.poll(LISTENER_HELLO_MS):
                continue
            view = VIEW_DECODER.decode(dealer.recv())
            for result in view.probes:
                if result.target == REFUSING:
                    assert not result.reachable and result.service == SERVICE, result
                    return
    raise AssertionError(f"{vm.name} did not hear of the refusing target")


@given("one service has no budget and another one allows {rate:d} probes per second")
def step_no_budget(context, rate):
    allowed = {"per_target_per_s": float(rate), "target_time_share": 0.5, "probe_cost_ms": 1.0}
    context.fleet.write(service(context, "silent", {}))
    probed = service(context, "probed", allowed)
    del probed["targets"]["target-0"]
    context.fleet.write(probed)


@when("{count:d} probes for the second service have arrived")
def step_arrived(context, count):
    wait_until("probes", lambda: len(context.refusing.arrivals) >= count, 30)


@then("no probe for the first service has arrived")
def step_none(context):
    assert context.fleet.probes_at("target-0") == []
    for vm in context.fleet.running:
        shards = context.fleet.status(vm)["probes"].values()
        assert not any("silent" in shard["services"] for shard in shards)
        assert shard_name(shard_of("silent")) != shard_name(shard_of("probed"))
        assert not grant_status(context.fleet, vm, "silent")


@given("contending agents with pauses, slow and lost calls, outages and restarts")
def step_contention(context):
    context.worlds = []
    context.world_kind = World


@given("targets that move between services of two shards, and services that stop to be probed")
def step_moving(context):
    context.worlds = []
    context.world_kind = MovingWorld


@when("each of {seeds:d} seeds runs for {seconds:d} seconds of virtual time")
def step_contend(context, seeds, seconds):
    for seed in range(seeds):
        world = context.world_kind(seed)
        world.run(seconds)
        context.worlds.append((seed, world))


@then("two probes never arrive closer together than the budget allows")
def step_gaps(context):
    for seed, world in context.worlds:
        short = short_intervals(world, 1 / RATE_PER_S)
        assert not short, f"seed {seed}: targets with the shortest gap in s: {short}"


@then("targets were probed under several grants")
def step_probed(context):
    probes = [sum(map(len, world.arrivals.values())) for _, world in context.worlds]
    terms = [len(world.terms) for _, world in context.worlds]
    assert min(probes) > 0 and max(terms) >= 3, (probes, terms)
    print(f"probes={sum(probes)} terms={sum(terms)}")

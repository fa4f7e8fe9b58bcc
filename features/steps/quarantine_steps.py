"""Steps about requests that crash their targets."""

import asyncio
import random
import socket

import msgspec
from behave import given, then, when

from features.node_world import NOW, metadata
from features.quarantine_fleet import MAX_DELAY_S, FaultyFleet
from features.quarantine_world import DEADLY, Content, QuarantineNode
from poplarlane.decisions.quarantine import enforcement
from poplarlane.decisions.quarantine.convictions import MAX_ITEMS
from poplarlane.decisions.quarantine.messages import REPORTS, VERDICTS
from poplarlane.decisions.requests.entry_events import (
    CallerDisconnected,
    InterimReceived,
)
from poplarlane.outcomes import NotRun, OutcomeUnknown
from poplarlane.plumbing.fleet_exchange import MAX_SECTION_BYTES
from poplarlane.plumbing.header_names import DEFAULT_HEADERS
from poplarlane.plumbing.process_checks import is_process_gone
from poplarlane.plumbing.resets import reset
from poplarlane.types import Target

# A deadly request crashes its target about 40 ms after it got it.
CRASH_DELAY_S = 0.04


@given("a node with {targets:d} targets")
def step_node(context, targets):
    context.node = QuarantineNode(targets)


@when("a deadly read is sent and its target crashes")
def step_first_crash(context):
    node = context.node
    node.arrive(1)
    context.first = node.targets_of(1)[0]
    node.now += CRASH_DELAY_S
    node.close(context.first)


@then("the read is at work at another target before the check has ended")
def step_retried(context):
    node = context.node
    assert node.checks == [context.first], node.checks
    (context.second,) = node.targets_of(1)
    assert context.second != context.first


@when("the check has ended and the second target crashes")
def step_second_crash(context):
    node = context.node
    node.check(context.first)
    assert node.notified == 1, "evidence has to travel at once"
    node.now += CRASH_DELAY_S
    node.close(context.second)


@then("the read waits for the check of the second target")
def step_waits(context):
    node = context.node
    assert node.checks == [context.second] and not node.at_work and not node.outcomes


@when("the second target is found to be gone")
def step_second_gone(context):
    context.node.check(context.second)


def assert_outcome(node, number, code, status):
    """Check what the caller of a request got."""
    outcome = node.outcomes.get(number)
    assert outcome is not None, (number, node.outcomes, node.at_work)
    assert (int(outcome.code), outcome.status) == (code, status), outcome
    kind = NotRun if code < 1300 else OutcomeUnknown
    assert isinstance(outcome, kind), outcome


@then("the read got {code:d} with status {status:d}")
def step_outcome(context, code, status):
    assert_outcome(context.node, 1, code, status)


@then("a repeat gets 1214 with status 503 and a time to come back of {time_s:g} s")
def step_repeat_refused(context, time_s):
    node = context.node
    sends = len(node.sends)
    node.arrive(101)
    assert_outcome(node, 101, 1214, 503)
    assert abs(node.outcomes[101].retry_after_s - time_s) < 0.5, node.outcomes[101]
    assert len(node.sends) == sends
    assert "quarantined_requests_total" in node.counts


@then("a read with other content is sent")
def step_other(context):
    context.node.arrive(102, body=b"other")
    assert context.node.targets_of(102)


@then("a repeat is sent")
def step_repeat_sent(context):
    context.node.arrive(101)
    assert context.node.targets_of(101)


@then("the conviction is logged with both targets and told to the other nodes at once")
def step_logged(context):
    node = context.node
    (fields,) = node.logged("request_quarantined")
    assert fields["targets"] == ",".join(sorted((context.first, context.second))), fields
    assert len(fields["digest"]) == 32 and fields["route"] == "read", fields
    assert node.notified >= 2 and node.section.is_urgent(node.now)
    assert node.counts.count("quarantine_total") == 1


@when("a deadly read is sent and two targets reset it without having crashed")
def step_resets(context):
    node = context.node
    node.arrive(1)
    for _ in range(2):
        target = node.targets_of(1)[0]
        node.close(target)
        node.check(target, is_gone=False)


@given("a target that accepts connections and resets them")
def step_resetting(context):
    context.probes = 0

    async def accept(reader, writer):
        try:
            async with asyncio.timeout(0.02):
                context.probes += bool(await reader.read(1_000))
        except TimeoutError:
            pass
        reset(writer.transport)

    context.accept = accept


@when("its process is checked")
def step_check_process(context):
    async def check():
        server = await asyncio.start_server(context.accept, "127.0.0.1", 0, family=socket.AF_INET)
        async with server:
            port = server.sockets[0].getsockname()[1]
            target = Target("i-1.1", "127.0.0.1", port, "", {}, "i-1.1", "/healthz")
            context.is_gone = await is_process_gone(target, True, DEFAULT_HEADERS, "127.0.0.1")

    asyncio.run(check())


@then("it is not gone, and got {count:d} probe")
def step_probes(context, count):
    assert not context.is_gone and context.probes == count, context.probes


@when("a read is at work at a target that announces to leave and closes")
def step_leaving(context):
    node = context.node
    node.arrive(1)
    ((attempt, (target, _)),) = node.at_work.items()
    found = metadata(1.0)
    found.leaving = True
    node.feed(InterimReceived(node.now, 5, attempt, found))
    node.close(target)


@then("no process is checked")
def step_no_check(context):
    assert not context.node.checks


@given("a node with 2 targets that are full")
def step_full(context):
    node = context.node = QuarantineNode(2)
    fill(node)


def fill(node):
    """Send other reads until the targets are full."""
    number = 1_000
    while True:
        node.arrive(number, f"/other/{number}")
        if not node.targets_of(number):
            break
        number += 1
        assert number < 1_100, "the targets never fill up"


def convict_elsewhere(node, path=DEADLY):
    """Let a node learn from a digest that others have convicted a request."""
    other = QuarantineNode(name="other")
    for target in ("x-1", "x-2"):
        digest = Content(path).fingerprint("")
        other.state.quarantine.record_crash(digest, "read", target, other.now)
    node.apply(node.section.adopt_digest(other.section.make_digest(other.now), 0.0, node.now))


@when("a deadly read waits in the queue and other nodes convict it")
def step_queued(context):
    node = context.node
    node.arrive(1)
    assert not node.targets_of(1) and 1 not in node.outcomes
    convict_elsewhere(node)


@then("nothing is sent when the targets have room again")
def step_nothing_sent(context):
    node = context.node
    for _, number in list(node.at_work.values()):
        node.answer(number)
    node.wait(0.02)
    assert 1 not in [number for number, _ in node.sends]


@when("a deadly read waits for its probes and other nodes convict it")
def step_probing(context):
    node = context.node
    # Its probes are not answered.
    apply = node.apply
    node.apply = lambda effects: None
    node.arrive(1)
    node.apply = apply
    assert 1 in node.state.requests and not node.at_work
    convict_elsewhere(node)


@when("three copies of a deadly read are at work and two of their targets crash")
def step_three(context):
    node = context.node
    for number in (1, 2, 3):
        node.arrive(number)
        node.now += 0.001
    targets = [node.targets_of(number)[0] for number in (1, 2, 3)]
    if len(set(targets)) < 3:
        raise AssertionError(targets)
    node.now += CRASH_DELAY_S
    node.close(targets[0])
    node.close(targets[1])
    for target in list(node.checks):
        node.check(target)


@then("all copies got 1304 with status 502")
def step_all_copies(context):
    for number in (1, 2, 3):
        assert_outcome(context.node, number, 1304, 502)


@then("nothing of them is at work")
def step_nothing_at_work(context):
    assert not context.node.at_work


@then("no more than {limit:d} targets ever got it")
def step_targets_got(context, limit):
    got = {target for _, target in context.node.sends}
    assert len(got) <= limit, got


def warm_up(node):
    """Answer reads until the node knows how long they take."""
    for number in range(500, 540):
        node.arrive(number, f"/other/{number}")
        node.now += 0.02
        node.answer(number)


def hedge(node, number):
    """Let a read be late until its hedge is sent; return whether it was."""
    for _ in range(40):
        node.wait(0.02)
        if len(node.targets_of(number)) > 1:
            return True
    return False


@when("a deadly read is hedged and both its targets crash")
def step_hedged(context):
    node = context.node
    warm_up(node)
    node.arrive(1)
    assert hedge(node, 1)
    for target in node.targets_of(1):
        node.crash(target)


@when("a deadly read has crashed one target and is late at the second")
def step_late(context):
    node = context.node
    warm_up(node)
    node.arrive(1)
    node.crash_with(1)


@then("it is not hedged")
def step_not_hedged(context):
    assert context.node.targets_of(1) and not hedge(context.node, 1)


@when("a write crashes its target")
def step_write(context):
    context.node.arrive(1, "/book")
    context.node.crash_with(1)


@when("the write is repeated and crashes its target")
def step_write_again(context):
    context.node.sends.clear()
    context.node.arrive(1, "/book")
    context.node.crash_with(1)


@then("the write was sent once and got {code:d}")
def step_write_once(context, code):
    assert len(context.node.sends) == 1, context.node.sends
    assert_outcome(context.node, 1, code, 502)


@when("a read beside a crash is answered by the next target and is beside another crash")
def step_innocent(context):
    node = context.node
    node.arrive(1)
    node.crash_with(1)
    node.now += CRASH_DELAY_S
    node.answer(1)
    node.now += 1.0
    node.arrive(2)
    node.crash_with(2)


@then("the read is not in quarantine")
def step_not_convicted(context):
    node = context.node
    assert node.targets_of(2) and not node.item().terms, node.item().crashes


@when("a deadly read crashes a target, gets {status:d} and crashes another one")
def step_turned_away(context, status):
    node = context.node
    node.arrive(1)
    node.crash_with(1)
    node.now += CRASH_DELAY_S
    found = metadata(1.0)
    found.status = status
    while node.targets_of(1):
        node.answer(1, found)
    node.now += 0.1
    node.arrive(2)
    node.crash_with(2)


@then("the read is in quarantine for {time_s:g} s")
def step_in_quarantine(context, time_s):
    node, item = context.node, context.node.item()
    assert item.is_convicted(node.now) and round(item.ends_at() - node.now) == time_s, item.crashes


@when("a read crashes three targets and is answered by others in between")
def step_some_targets(context):
    node = context.node
    for number in (1, 2, 3):
        node.now += 1.0
        node.arrive(number)
        node.crash_with(number)
        if node.targets_of(number):
            node.now += CRASH_DELAY_S
            node.answer(number)


def convict(node):
    """Convict the deadly read by two crashes; return the targets."""
    node.arrive(1)
    first = node.crash_with(1)
    node.now += CRASH_DELAY_S
    return first, node.crash_with(1)


@when("a deadly read is convicted and {time_s:g} s pass")
def step_convicted(context, time_s):
    convict(context.node)
    context.node.wait(time_s)


@when("three copies arrive")
def step_copies(context):
    for number in (11, 12, 13):
        context.node.arrive(number)


@then("one copy is at work, and the others are refused with 1214 after 0.5 s")
def step_one_trial(context):
    node = context.node
    assert len(node.at_work) == 1, node.at_work
    node.wait(enforcement.TRIAL_WAIT_S + 0.01)
    ((_, context.trial),) = node.at_work.values()
    for number in {11, 12, 13} - {context.trial}:
        assert_outcome(node, number, 1214, 503)


@when("the target of the trial crashes")
def step_trial_crash(context):
    context.node.crash_with(context.trial)


@then("the conviction has a term of 60 s")
def step_term(context):
    node, item = context.node, context.node.item()
    assert_outcome(node, context.trial, 1304, 502)
    assert round(item.ends_at() - node.now) == 60 and not node.at_work, item.ends_at()


@given("a node with {targets:d} targets and the policy {policy}")
def step_policy(context, targets, policy):
    context.node = QuarantineNode(targets, policy=policy)


@when("a write is convicted, its term ends and it arrives while all targets are full")
def step_write_full(context):
    node = context.node
    for number in (1, 2):
        node.arrive(number, "/book")
        node.crash_with(number)
        node.now += CRASH_DELAY_S
    assert node.item("/book").is_convicted(node.now)
    node.wait(31.0)
    fill(node)
    node.sends.clear()
    for number in (11, 12):
        node.arrive(number, "/book")
    assert not node.targets_of(11) and not node.targets_of(12)


@when("the targets have room again")
def step_room(context):
    node = context.node
    for _, number in list(node.at_work.values()):
        node.answer(number)


@then("only one copy of the write was sent, and only once")
def step_sent_once(context):
    sent = [number for number, _ in context.node.sends if number in (11, 12)]
    assert sent == [11], context.node.sends


@when("the trial is answered")
def step_trial_answered(context):
    context.node.arrive(11)
    context.node.answer(11)


@given("a node with 8 targets that asks the root for trials")
def step_peers(context):
    context.node = QuarantineNode(8, has_peers=True)


@when("{count:d} callers send a copy and leave one after the other")
def step_callers_leave(context, count):
    node = context.node
    for number in range(1_000, 1_000 + count):
        node.arrive(number)
        node.feed(CallerDisconnected(node.now, 3, number))


@then("at most {limit:d} of their requests is remembered")
def step_remembered(context, limit):
    waiting = context.node.state.quarantine.waiting.values()
    assert sum(len(found) for found in waiting) <= limit, waiting


@when("the copy on trial is answered")
def step_copy_answered(context):
    node = context.node
    ((_, number),) = node.at_work.values()
    node.now += 0.02
    node.answer(number)


@when("the root says that the read was answered")
def step_root_answered(context):
    node, root = context.node, QuarantineNode(name="root")
    assert not node.at_work
    root.now = node.now
    report = node.section.take_report(node.now)
    root.section.merge_report("node", report, root.now)
    root.state.quarantine.record_answer(Content(DEADLY).fingerprint(""), root.now)
    digest = root.section.make_digest(root.now)
    node.apply(node.section.adopt_digest(digest, 0.0, node.now))


@then("the other two copies are at work")
def step_two_at_work(context):
    assert len({number for _, number in context.node.at_work.values()}) == 2, context.node.outcomes


@then("all three copies are at work")
def step_three_at_work(context):
    assert len({number for _, number in context.node.at_work.values()}) == 3, context.node.outcomes


@then("the end of the quarantine is logged and a repeat is sent")
def step_ended(context):
    node = context.node
    node.arrive(12)
    assert node.targets_of(12)
    (fields,) = node.logged("quarantine_ended")
    assert fields["reason"] == "answered", fields


@when("a deadly read is convicted by two crashes")
def step_health(context):
    context.targets = convict(context.node)


@then("the second target has no failure, and the first one has")
def step_blameless(context):
    loads = context.node.state.services["reads"].loads
    failures = [loads[name].consecutive_failures for name in context.targets]
    assert failures == [1, 0], failures


@when("{count:d} reads are answered")
def step_many(context, count):
    Content.computed = 0
    for number in range(1, count + 1):
        context.node.arrive(number)
        context.node.answer(number)


@then("no digest was computed")
def step_no_digest(context):
    assert Content.computed == 0


D = b"d" * 16
PAYLOADS = {
    "random": b"\xc1\x00\xff",
    "short digest": msgspec.msgpack.encode([[[b"d", [["t", 1]], -1, 1, 0, "r"]], []]),
    "negative age": msgspec.msgpack.encode([[[D, [["t", -1]], -1, 1, 0, "r"]], []]),
    "too old": msgspec.msgpack.encode([[[D, [["t", 10**9]], -1, 1, 0, "r"]], []]),
    "many targets": msgspec.msgpack.encode([[[D, [["t", 1]] * 5, -1, 1, 0, "r"]], []]),
    "many items": msgspec.msgpack.encode([[[D, [["t", 1]], -1, 1, 0, "r"]] * 257, []]),
    "number": msgspec.msgpack.encode(7),
    "wrong grant": msgspec.msgpack.encode([[], [[D, 7]]]),
}


@when("it gets a {kind} payload")
def step_payload(context, kind):
    context.refused = 0
    section, payload, now = context.node.section, PAYLOADS[kind], context.node.now
    for take in (
        lambda: section.adopt_digest(payload, 0.0, now),
        lambda: section.merge_report("n", payload, now),
    ):
        try:
            take()
        except msgspec.MsgspecError:
            context.refused += 1


@then("the payload is refused as malformed and nothing is known")
def step_refused(context):
    assert context.refused == 2 and not context.node.state.quarantine.items


@when("a deadly read is convicted and {count:d} others are each beside one crash")
def step_flood(context, count):
    node = context.node
    convict(node)
    for number in range(count):
        node.now += 0.001
        digest = number.to_bytes(16, "big")
        name = f"some-service-{number:04d}.1764950000000"
        node.state.quarantine.record_crash(digest, "read", name, node.now)


@then(
    "at most {items:d} items are held, in at most {size:d} bytes, and the deadly one is among them"
)
def step_bounded(context, items, size):
    node = context.node
    assert len(node.state.quarantine.items) <= items == MAX_ITEMS
    digest = node.section.make_digest(node.now)
    assert len(digest) <= size == MAX_SECTION_BYTES, len(digest)
    other = QuarantineNode(name="other")
    other.apply(other.section.adopt_digest(digest, 0.0, other.now))
    assert other.item().is_convicted(other.now)


@when("{items:d} reads are each beside one crash and nodes with long names ask for {asks:d} trials")
def step_full_message(context, items, asks):
    node = context.node
    for number in range(items):
        digest = number.to_bytes(16, "big")
        name = f"some-service-{number:04d}.1764950000000"
        node.state.quarantine.record_crash(digest, "read", name, node.now)
        if number < asks:
            node.section.asks[digest] = "n" * 200
            node.section.grants[digest] = ("n" * 200, node.now + 5.0)


@then("the {payload} has at most {size:d} bytes and all asks or trials")
def step_fits(context, payload, size):
    section, now = context.node.section, context.node.now
    if payload == "report":
        data = section.take_report(now)
        found = REPORTS.decode(data)
        listed = found.asks
    else:
        data = section.make_digest(now)
        found = VERDICTS.decode(data)
        listed = found.grants
    assert len(data) <= size and len(listed) == 32 and found.evidence, (len(data), len(listed))


def innocents_convicted(seed):
    """Return the terms of innocent reads convicted, of 100 that were beside 20 deadly ones.

    Each first crash has 5 innocent reads beside it, of 200 popular ones. Retries choose among 16
    targets; the deadly one crashes after 40 ms, by when 4 of 10 innocent ones were answered.
    """
    generator = random.Random(seed)
    node = QuarantineNode(1)
    known = node.state.quarantine
    terms = []
    for crash in range(20):
        node.now += 1.0
        deadly, deadly_second = b"deadly" + crash.to_bytes(10, "big"), generator.randrange(16)
        known.record_crash(deadly, "read", f"t-{crash}", node.now)
        known.record_crash(deadly, "read", f"u-{crash}", node.now + CRASH_DELAY_S)
        beside = [generator.randrange(200).to_bytes(16, "big") for _ in range(5)]
        for innocent in beside:
            item = known.items.get(innocent)
            if item is not None and item.is_convicted(node.now):
                continue
            if item is not None and item.is_on_trial(node.now):
                known.record_answer(innocent, node.now - 0.1)
            known.record_crash(innocent, "read", f"t-{crash}", node.now)
            if generator.randrange(16) == deadly_second and generator.random() > 0.4:
                known.record_crash(innocent, "read", f"u-{crash}", node.now + CRASH_DELAY_S)
            else:
                known.record_answer(innocent, node.now + 0.1 * generator.random())
        enforcement.settle(node.state, node.now + CRASH_DELAY_S, [])
        assert known.items[deadly].terms == 1
        found = [known.items[innocent] for innocent in set(beside) if innocent in known.items]
        terms += [item.ends_at() - item.convicted_at for item in found if item.terms]
    return terms


@then(
    "of {total:d} reads beside crashes at most {limit:d} are convicted wrongly, each for at most "
    "{term:d} s"
)
def step_false(context, total, limit, term):
    terms = [found for seed in range(6) for found in innocents_convicted(seed)]
    print(f"wrongly convicted: {len(terms)} of {total}, terms {sorted(set(terms))}")
    assert len(terms) <= limit and max(terms) <= term, terms


# Over the exchange.


@given("{nodes:d} nodes that exchange evidence, with {faults} messages")
def step_fleet(context, nodes, faults):
    context.fleet = FaultyFleet(nodes, faults)
    context.fleet.run(1.5)


def see_crash(node, target):
    """Let a node see a crash of the deadly read and tell the others."""
    node.now = node.fleet.now
    digest = Content(DEADLY).fingerprint("")
    node.state.quarantine.record_crash(digest, "read", target, node.now)
    node.fleet.notify(node)


def convict_in_fleet(fleet):
    """Let two nodes each see one crash."""
    *_, first, second = fleet.nodes.values()
    see_crash(first, "i-1.1")
    fleet.now += 0.05
    see_crash(second, "i-2.1")


@when("two nodes each see one crash of the same read")
def step_two_nodes(context):
    convict_in_fleet(context.fleet)


def unconvicted(fleet):
    """Name the nodes that would send the deadly read."""
    return [
        name
        for name, node in fleet.nodes.items()
        if node.item() is None or not node.item().is_convicted(fleet.now)
    ]


@then("all nodes hold the conviction within {time_s:g} s")
def step_all_hold(context, time_s):
    fleet = context.fleet
    until = fleet.now + time_s
    while unconvicted(fleet):
        assert fleet.now < until, unconvicted(fleet)
        fleet.run(0.1)
    ends = [node.item().ends_at() for node in fleet.nodes.values()]
    # Ages do not count the time in transit, over four hops at most.
    assert max(ends) - min(ends) <= 4 * MAX_DELAY_S + 0.1, ends


@when("a read is convicted and a node forgets everything")
def step_forgets(context):
    convict_in_fleet(context.fleet)
    context.fleet.run(0.5)
    context.node = list(context.fleet.nodes.values())[5]
    context.node.state.quarantine.items.clear()


@then("that node holds the conviction within {time_s:g} s")
def step_one_holds(context, time_s):
    context.fleet.run(time_s)
    assert not unconvicted(context.fleet)


def fleet_sends(fleet):
    """List the nodes that have sent a copy, once per copy."""
    return [name for name, node in fleet.nodes.items() for _ in node.sends]


@when("a conviction has expired and a copy arrives at each of 10 nodes")
def step_expired(context):
    fleet = context.fleet
    convict_in_fleet(fleet)
    fleet.run(31.0)
    assert len(unconvicted(fleet)) == len(fleet.nodes)
    for number, node in enumerate(list(fleet.nodes.values())[5:15]):
        node.arrive_now(number + 1)
    fleet.run(0.4)


@then("one node has sent one copy")
def step_one_sent(context):
    assert len(fleet_sends(context.fleet)) == 1, fleet_sends(context.fleet)


@when("two reads share their crashes and copies of one arrive from the end of the term on")
def step_doubtful(context):
    fleet = context.fleet
    other = Content("/other").fingerprint("")
    *_, first, second = fleet.nodes.values()
    for node, target in ((first, "i-1.1"), (second, "i-2.1")):
        node.state.quarantine.record_crash(other, "read", target, fleet.now)
        see_crash(node, target)
        fleet.now += 0.05
    fleet.run(0.5)
    ends = [node.item().ends_at() for node in fleet.nodes.values()]
    assert max(ends) - fleet.now < 2.0, ends
    fleet.run(max(ends) - fleet.now + 0.1)
    for number, node in enumerate(list(fleet.nodes.values())[5:10]):
        node.arrive_now(number + 1)


@then("a copy is at work within {time_s:g} s")
def step_tried(context, time_s):
    context.fleet.run(time_s)
    assert len(fleet_sends(context.fleet)) == 1, fleet_sends(context.fleet)


@when("one node sees a crash and {time_s:g} seconds pass")
def step_one_crash(context, time_s):
    *_, node = context.fleet.nodes.values()
    see_crash(node, "i-1.1")
    context.fleet.run(time_s)


@then("no node holds evidence, and none sends any more")
def step_silent(context):
    nodes = context.fleet.nodes
    holding = [name for name, node in nodes.items() if node.state.quarantine.items]
    assert not holding, holding
    sent = [node.exchange.sequence for node in nodes.values()]
    context.fleet.run(2.0)
    assert [node.exchange.sequence for node in nodes.values()] == sent


@when("the root ends and a copy arrives at each of 10 other nodes within the lease")
def step_root_ends(context):
    fleet = context.fleet
    root = next(iter(fleet.nodes.values())).root
    context.sent = fleet_sends(fleet)
    fleet.end(fleet.relays[root].state.me.address)
    for number, node in enumerate(list(fleet.nodes.values())[12:22]):
        fleet.run(0.3)
        node.arrive_now(number + 100)
    fleet.run(0.4)


@then("no further copy has been sent")
def step_no_further(context):
    assert fleet_sends(context.fleet) == context.sent, fleet_sends(context.fleet)


@when("a child reports a crash, and then an answer after it")
def step_child(context):
    node, child = context.node, QuarantineNode(name="child")
    digest = Content(DEADLY).fingerprint("")
    context.urgent = []
    child.state.quarantine.record_crash(digest, "read", "i-1.1", child.now)
    for _ in range(2):
        node.section.merge_report("child", child.section.take_report(child.now), node.now)
        context.urgent.append(node.section.is_urgent(node.now))
        node.section.make_digest(node.now)
        child.now += 1.0
        node.now += 1.0
        child.state.quarantine.record_answer(digest, child.now)


@then("the crash is urgent and the answer is not")
def step_urgent(context):
    assert context.urgent == [True, False], context.urgent
    assert context.node.item().answered_at > max(context.node.item().crashes.values())


def random_evidence(generator, node, start):
    """Let a node see a few crashes and answers of the same read within some seconds."""
    digest = Content(DEADLY).fingerprint("")
    for _ in range(generator.randrange(4)):
        at = start + generator.random() * 5.0
        if generator.random() < 0.7:
            target = f"i-{generator.randrange(4)}.1"
            node.state.quarantine.record_crash(digest, "read", target, at)
        else:
            node.state.quarantine.record_answer(digest, at)


@then("for {seeds:d} seeds nodes that hear each other in any order agree about a read")
def step_agree(context, seeds):
    convicted = 0
    for seed in range(seeds):
        generator = random.Random(seed)
        nodes = [QuarantineNode(1, f"node-{number}") for number in range(3)]
        now = NOW + 6.0
        for node in nodes:
            random_evidence(generator, node, NOW)
        root, *others = nodes
        reports = [node.section.take_report(now) for node in others]
        reports = [found for found in reports if found is not None] * 2
        generator.shuffle(reports)
        for report in reports:
            root.section.merge_report("any", report, now)
        digest = root.section.make_digest(now)
        for node in nodes if digest is not None else []:
            node.section.adopt_digest(digest, 0.0, now)
            node.section.adopt_digest(digest, 0.0, now)
        items = [node.item() for node in nodes]
        views = {item and (item.terms, tuple(sorted(item.crashes))) for item in items}
        assert len(views) == 1, (seed, views)
        convicted += bool(items[0] and items[0].terms)
    print(f"{convicted} of {seeds} convicted")
    assert 0 < convicted < seeds

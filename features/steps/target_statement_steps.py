"""Steps about what targets say about themselves in their answers."""

import time

from behave import given, then, when

from features.node_world import NOW, arrive, make_directory, make_instance, make_state, metadata
from features.steps.node_path_steps import step_reads, step_send, wait_until
from features.steps.rate_limit_steps import play
from poplarlane.bench.arrival_record import WINDOW_S
from poplarlane.decisions.choice import (
    permissions,
    statements,
)
from poplarlane.decisions.choice.statements import Source
from poplarlane.decisions.effects import Count
from poplarlane.decisions.reducer import reduce
from poplarlane.decisions.requests.entry_effects import ProbeTarget
from poplarlane.decisions.requests.entry_events import (
    AttemptSent,
    CatalogueChanged,
    ProbeAnswered,
    RequestArrived,
    ResponseCompleted,
)
from poplarlane.plumbing.header_names import HeaderNames
from poplarlane.plumbing.heads import read_response_head
from poplarlane.types import Verdict

SOURCES = {
    "a response": Source.RESPONSE,
    "a refusal": Source.RESPONSE,
    "a probe": Source.PROBE,
    "an interim": Source.INTERIM,
}


def switch_target(context, name, **changes):
    """Change a target of the stand-in."""
    context.rig.control(targets={name: changes})


def arrivals(context, name):
    """Give the times at which requests reached a target."""
    return context.rig.ledger()["arrivals"][name]


@when('the target "{name}" says "{header}" with "{value}" in all its answers')
def step_says(context, name, header, value):
    switch_target(context, name, statements={header: value})


@when('the target "{name}" says "{header}" with "{value}" in an interim answer')
def step_says_interim(context, name, header, value):
    switch_target(context, name, mode="interim", statements={header: value})


@when('the target "{name}" turns requests away for {time_s:d} s')
def step_turns_away(context, name, time_s):
    switch_target(context, name, mode="shed", statements={"retry-after": str(time_s)})
    context.pause_ends = time.monotonic() + time_s


@when('every target of "{service}" turns requests away for {time_s:d} s')
def step_all_turn_away(context, service, time_s):
    for name in context.rig.names[service]:
        step_turns_away(context, name, time_s)


@when('the node has logged "{event}"')
@then('the node has logged "{event}"')
def step_logged(context, event):
    context.rig.node.wait_for(event)


@when("from now on a caller sends {count:d} reads one after the other")
def step_reads_from_now(context, count):
    context.reached = {name: len(times) for name, times in context.rig.ledger()["arrivals"].items()}
    step_reads(context, count)


@when('from now on a caller sends "{method}" "{path}" with id "{request_id}"')
def step_send_from_now(context, method, path, request_id):
    step_send(context, method, path, request_id)


@then('none of them reached "{name}"')
def step_none_reached(context, name):
    assert len(arrivals(context, name)) == context.reached[name], arrivals(context, name)


@when('"{name}" takes requests again and its time is over')
def step_time_over(context, name):
    switch_target(context, name, mode="", statements={})
    # The node lengthens a pause by up to a tenth.
    wait_until(lambda: time.monotonic() > context.pause_ends + 0.5, "the end of the pause")


@when('a caller sends reads until one reaches "{name}"')
def step_until_reached(context, name):
    before = len(arrivals(context, name))

    def reaches():
        step_reads(context, 1)
        return len(arrivals(context, name)) > before

    wait_until(reaches, f"a read at {name}")


@then("the answer has status {status:d} and a time to come back between {least:g} and {most:g} s")
def step_time_named(context, status, least, most):
    found_status, headers, _ = context.answer
    assert found_status == status, found_status
    assert least <= float(headers["retry-after"]) <= most, headers


@then('at most {most:d} requests reached "{name}" in any {window_s:d} s')
def step_at_most(context, most, name, window_s):
    times = arrivals(context, name)
    assert window_s == WINDOW_S
    counts = [sum(at <= other < at + window_s for other in times) for at in times]
    assert max(counts) <= most, counts
    assert times


@when('a target answers 503 with "{name}" of {values}')
def step_header(context, name, values):
    names = HeaderNames(leaving=b"x-leaving", not_run=b"x-not-run")
    lines = [(name.encode(), value.encode()) for value in values.split(" and again ")]
    lines.append((b"x-not-run", b"1"))
    context.metadata = read_response_head(503, b"", lines, names).metadata


@then("the node reads {read} and counts {malformed:d} malformed headers")
def step_read(context, read, malformed):
    state = make_state(2)
    state.now = NOW
    load = next(iter(state.services["reads"].loads.values()))
    effects = []
    statements.observe(state, load, context.metadata, Source.RESPONSE, 0, effects)
    counted = [
        effect
        for effect in effects
        if isinstance(effect, Count) and effect.metric == "malformed_statement_total"
    ]
    assert len(counted) == malformed, counted
    assert load.leaving == (read == "leaving")
    pause_s = float(read.rpartition(" ")[2]) if read.startswith("a pause") else 0.0
    assert abs(max(0.0, load.statements.paused_until - NOW) - pause_s) < 1e-6


def statement(text):
    """Create the notes of an answer that makes a statement."""
    found = metadata(1.0, 0)
    if text == "they leave":
        found.leaving = True
        return found
    found.status, found.not_run = 503, True
    found.retry_after_s = float(text.removeprefix("they want nothing for ").removesuffix(" s"))
    return found


def say(state, load, text, source):
    """Let a target make a statement."""
    statements.observe(state, load, statement(text), SOURCES[source], 1, [])


def make_node(context, text, source, silent):
    """Set up a node whose targets make a statement, but for a number of them."""
    context.state = make_state(4)
    context.state.now = NOW
    context.service = context.state.services["reads"]
    # A service whose latency is unknown is not hedged.
    context.service.health.p95_s = 0.1
    context.targets = list(context.service.loads.values())
    context.sends, context.probed = [], []
    speaking = context.targets[silent:]
    context.barred = {load.target.name for load in speaking}
    for load in speaking:
        say(context.state, load, text, source)


@given("a node whose targets have all said that {text} in {source}")
def step_all_say(context, text, source):
    make_node(context, text, source, 0)


@given("a node of whose targets all but the first have said that {text} in {source}")
def step_all_but_first_say(context, text, source):
    make_node(context, text, source, 1)


def send_first_read(context):
    """Send a read to the target without a statement; gives the attempt."""
    play(context, arrive(context.state), NOW + 0.02)
    (attempt,) = context.state.attempts.values()
    assert attempt.load is context.targets[0]
    effects = reduce(AttemptSent(NOW + 0.02, 3, attempt.attempt_id), context.state)
    play(context, effects, NOW + 0.03)
    return attempt


@when("a read at a target without a statement is overdue")
def step_overdue(context):
    send_first_read(context)
    play(context, [], NOW + 2.5)


@when("a booking is refused by a target without a statement")
def step_refused(context):
    attempt = send_first_read(context)
    attempt.request.idempotent = False
    found = metadata(1.0, 0)
    found.status, found.not_run = 503, True
    event = ResponseCompleted(NOW + 0.04, 9, attempt.attempt_id, found)
    play(context, reduce(event, context.state), NOW + 2.5)


@then("no probe is sent to these targets")
def step_no_probe(context):
    wrong = [name for name in context.probed if name in context.barred]
    assert not wrong, wrong


def publish(context, directory):
    """Put a directory's catalogue in force."""
    reduce(CatalogueChanged(NOW + 0.5, 7, directory.catalogue(), 24), context.state)


@when("a list names them as ready and the directory is put in force")
def step_listed_ready(context):
    publish(context, make_directory(3))
    publish(context, make_directory(4))


@when("other processes take their places and a read arrives")
def step_new_processes(context):
    directory = make_directory(0)
    records = [make_instance(f"i-{number}", started_ms=2) for number in range(4)]
    directory.replace_instances(records, NOW)
    publish(context, directory)
    context.sends.clear()
    event = RequestArrived(NOW + 0.6, 5, 2, "h.example", "GET", "/x", "", 3_000.0, 1, False)
    context.barred = set()
    play(context, reduce(event, context.state), NOW + 1.0)


@then("a request is sent")
def step_is_sent(context):
    assert context.sends


@when("they say that they want nothing for {time_s:g} s in a refusal")
def step_say_again(context, time_s):
    for load in context.targets:
        say(context.state, load, f"they want nothing for {time_s} s", "a refusal")


@then("they may not be sent a request for at least {least:g} s and at most {most:g} s")
def step_paused_for(context, least, most):
    for load in context.targets:
        wait_s = permissions.next_send_at(load, NOW) - NOW
        assert least <= wait_s <= most, wait_s
        assert not permissions.may_send(load, NOW + least - 0.01)


@then("none of them is suspected")
def step_not_suspected(context):
    for load in context.targets:
        assert load.verdict is Verdict.HEALTHY and load.suspicion == 0.0
        assert load.error_rate == 0.0 and load.consecutive_failures == 0


@when("{time_s:g} s later {count:d} reads arrive")
def step_many_arrive(context, time_s, count):
    now = NOW + time_s
    for number in range(count):
        event = RequestArrived(
            now, number << 40, 10 + number, "h.example", "GET", "/x", "", 3_000.0, 1, False
        )
        context.barred = set()
        play(context, reduce(event, context.state), now)


@then("each target has at most 1 request")
def step_one_each(context):
    counts = [load.outstanding for load in context.targets]
    assert max(counts) == 1 and sum(counts) >= 1, counts


@when("one of them is answered")
def step_one_answered(context):
    attempt = next(iter(context.state.attempts.values()))
    context.answered = attempt.load
    now = context.state.now
    reduce(AttemptSent(now, 3, attempt.attempt_id), context.state)
    found = metadata(1.0, 0)
    found.in_flight = 0.0
    effects = reduce(ResponseCompleted(now + 0.05, 9, attempt.attempt_id, found), context.state)
    play(context, effects, now + 0.2)


@then("that target may have more than 1 request")
def step_more_than_one(context):
    assert not context.answered.statements.is_returning
    assert context.answered.outstanding > 1, context.answered.outstanding


@given(
    "a node with two targets of which one leaves and the other one wants nothing for {time_s:g} s"
)
def step_two_targets(context, time_s):
    context.state = make_state(2)
    context.state.now = NOW
    first, second = context.state.services["reads"].loads.values()
    context.sends, context.probed, context.barred = [], [], set()
    say(context.state, first, "they leave", "a response")
    say(context.state, second, f"they want nothing for {time_s} s", "a refusal")


@given("a node with two targets and a read that waits for their probes")
def step_waits_for_probes(context):
    context.state = make_state(2)
    context.state.now = NOW
    context.probes = [item for item in arrive(context.state) if isinstance(item, ProbeTarget)]
    assert len(context.probes) == 2


@when("both answer their probes with a refusal and a time of {time_s:g} s")
def step_probes_refused(context, time_s):
    context.sends, context.probed, context.barred = [], [], set()
    for probe in context.probes:
        answer = statement(f"they want nothing for {time_s} s")
        play(context, reduce(ProbeAnswered(NOW, 7, probe.probe_id, answer), context.state), NOW)

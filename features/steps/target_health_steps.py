"""Steps about the detection of faulty targets; latencies are drawn with fixed seeds."""

import random

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from poplarlane.decisions.choice.policies import policy_by_name
from poplarlane.decisions.choice.routing import choose_target
from poplarlane.decisions.health import health
from poplarlane.decisions.health.verdicts import RAMP_S
from poplarlane.types import Target, TargetLoad, Verdict

SERVICE_S = 0.02
ANSWERS_PER_S = 10
SEED = 4


class Watched:
    """Hold the targets of one entry and the traffic that it sends to all of them in turn."""

    def __init__(self):
        self.generator = random.Random(SEED)
        self.loads = [TargetLoad(Target(f"t-{n}", "127.0.0.1", 1, "brasov", {})) for n in range(17)]
        self.service = health.ServiceHealth()
        self.now = 100.0
        self.next_id = 0
        self.slow = [1.0] * 17
        self.failing = set()
        self.silent = set()
        self.most_avoided = 0

    def round(self):
        """Send one request to each target; answers come back within the round."""
        begin = self.now
        answers = []
        for index, load in enumerate(self.loads):
            self.next_id += 1
            health.observe_sent(load, self.next_id, begin)
            latency_s = self.generator.expovariate(1 / SERVICE_S) * self.slow[index]
            if index not in self.silent:
                answers.append((latency_s, index, self.next_id))
        for latency_s, index, request_id in sorted(answers):
            self.answer(index, request_id, begin, latency_s)
        self.now = max(self.now, begin + 1 / ANSWERS_PER_S)
        self.review()

    def answer(self, index, request_id, begin, latency_s):
        """Deliver one answer at its time."""
        load = self.loads[index]
        self.now = max(self.now, begin + latency_s)
        ok = index not in self.failing
        health.observe_end(load, request_id)
        health.observe_answer(load, latency_s if ok else 0.001, ok, begin + latency_s)
        if ok:
            health.observe_latency(self.service, latency_s)
        health.observe_report(load, self.generator.randrange(2, 7), begin + latency_s, self.now)
        self.review()

    def review(self):
        """Review the verdicts."""
        health.review(self.service, self.loads, self.now)
        self.most_avoided = max(self.most_avoided, len(self.avoided()))

    def avoided(self):
        """List the avoided targets."""
        return [load for load in self.loads if load.verdict is Verdict.AVOIDED]


@given("17 targets that one entry has used for 20 seconds")
def step_used(context):
    context.watched = Watched()
    for _ in range(20 * ANSWERS_PER_S):
        context.watched.round()
    context.load = context.watched.loads[3]
    assert context.load.verdict is Verdict.HEALTHY


@when("the fault begins: one target {fault}")
def step_fault(context, fault):
    watched = context.watched
    if fault == "becomes 10 times slower":
        watched.slow[3] = 10.0
    elif fault == "fails at once":
        watched.failing = {3}
    else:
        watched.silent = {3}


@then("it is avoided after at most {limit:d} of its requests")
def step_detected(context, limit):
    for _ in range(limit):
        context.watched.round()
    assert context.load.verdict is Verdict.AVOIDED, context.load.suspicion


@then("at most 1 other target is avoided at the same time")
def step_not_blamed(context):
    assert len(context.watched.avoided()) <= 2


@when("all targets become 4 times slower")
def step_surge(context):
    context.watched.slow = [4.0] * 17
    for _ in range(20 * ANSWERS_PER_S):
        context.watched.round()


@when("all targets fail at once")
def step_all_fail(context):
    context.watched.failing = set(range(17))
    for _ in range(10 * ANSWERS_PER_S):
        context.watched.round()


@then("at most {limit:d} targets are avoided at any time")
def step_most(context, limit):
    assert context.watched.most_avoided <= limit, context.watched.most_avoided


OBSERVATION = st.tuples(
    st.integers(0, 16),
    st.sampled_from(["answer", "slow", "fail", "shed", "peer", "silent"]),
    st.floats(0.0, 0.2),
)


@then("for any observations at most a third of the targets is avoided")
def step_third(context):
    @settings(max_examples=100)
    @for_all(st.integers(1, 17), st.lists(OBSERVATION, min_size=20, max_size=120))
    def check(count, observations):
        watched = Watched()
        del watched.loads[count:]
        for index, what, pause_s in observations:
            watched.now += pause_s
            observe(watched, watched.loads[index % count], what)
            watched.review()
            assert len(watched.avoided()) <= count // 3

    check()


def observe(watched, load, what):
    """Apply one generated observation."""
    watched.next_id += 1
    if what == "shed":
        health.observe_shed(load, watched.now)
    elif what == "peer":
        expires_at = watched.now + 5.0
        health.observe_peer_verdict(load, Verdict.AVOIDED, expires_at, watched.now)
    elif what == "silent":
        health.observe_sent(load, watched.next_id, watched.now)
    else:
        latency_s = 1.0 if what == "slow" else SERVICE_S
        health.observe_answer(load, latency_s, what != "fail", watched.now)


@given("one target is avoided")
def step_avoided(context):
    context.watched.slow[3] = 10.0
    while context.load.verdict is not Verdict.AVOIDED:
        context.watched.round()


@when("the entry sends 100 {what} a second for 60 seconds")
def step_sixty(context, what):
    watched = context.watched
    context.policy = policy_by_name("adaptive")
    context.trials = 0
    for _ in range(6000):
        watched.now += 0.01
        random_value = watched.generator.getrandbits(64)
        repeatable = what == "requests"
        load = choose_target(context.policy, watched.loads, watched.now, random_value, repeatable)
        slow = load is context.load
        context.trials += slow
        health.observe_answer(load, SERVICE_S * (10.0 if slow else 1.0), True, watched.now)
        watched.review()


@then("the avoided target gets at least {least:d} and at most {most:d} of them while it stays slow")
def step_trials(context, least, most):
    assert least <= context.trials <= most, context.trials


@when("the avoided target answers its trials in time")
def step_recovers(context):
    for _ in range(3):
        health.observe_answer(context.load, SERVICE_S, True, context.watched.now)
    context.watched.now += 0.05
    context.watched.review()


@then("its share grows in steps of an eighth, a quarter and a half within 2 seconds")
def step_ramp(context):
    watched, begin = context.watched, context.watched.now
    assert context.load.verdict is Verdict.HEALTHY
    usual = chosen_share(context, begin + RAMP_S + 0.01)
    for part, eighths in ((0.1, 1), (0.5, 2), (0.9, 4)):
        share = chosen_share(context, begin + RAMP_S * part)
        assert 0.6 * eighths / 8 <= share / usual <= 1.4 * eighths / 8, (part, share, usual)
    assert watched.service.typical_s > 0.0


def chosen_share(context, now):
    """Give the target's share of choices between equal targets."""
    for load in context.watched.loads:
        load.slowness, load.rtt_s, load.reports_trusted = 1.0, 0.0, True
        health.observe_report(load, 3.0, now, now)
    hits = 0
    for _ in range(8000):
        random_value = context.watched.generator.getrandbits(64)
        hits += (
            choose_target(context.policy, context.watched.loads, now, random_value) is context.load
        )
    return hits / 8000


@when("{count:d} peers call a target avoided")
def step_peers(context, count):
    now = context.watched.now
    for _ in range(count):
        health.observe_peer_verdict(context.load, Verdict.AVOIDED, now + 5.0, now)
    context.watched.now += 0.05
    context.watched.review()


@then("the target of these steps is {wanted}")
def step_wanted(context, wanted):
    assert (context.load.verdict is Verdict.AVOIDED) == (wanted == "avoided")


@then("good answers of the target cancel what the peers said")
def step_cancel(context):
    for _ in range(6):
        health.observe_answer(context.load, SERVICE_S / 2, True, context.watched.now)
    assert context.load.peer_suspicion == 0.0


@then("with the peers' verdict one request without an answer is enough to avoid it")
def step_peers_and_silence(context):
    watched = context.watched
    health.observe_sent(context.load, 10**9, watched.now)
    for _ in range(3):
        now = watched.now
        health.observe_peer_verdict(context.load, Verdict.AVOIDED, now + 5.0, now)
    watched.now += 10 * SERVICE_S
    watched.review()
    assert context.load.verdict is Verdict.AVOIDED


@then("with the verdicts of two peers one failure is enough to avoid another target")
def step_peers_and_failure(context):
    watched, load = context.watched, context.watched.loads[7]
    for _ in range(2):
        now = watched.now
        health.observe_peer_verdict(load, Verdict.AVOIDED, now + 5.0, now)
    health.observe_failure(load, watched.now)
    watched.now += 0.05
    watched.review()
    assert load.verdict is Verdict.AVOIDED


@when("one target reports 0 requests in flight in 20 answers")
def step_frozen(context):
    for _ in range(20):
        context.watched.now += 0.01
        health.observe_report(context.load, 0.0, context.watched.now, context.watched.now)
    context.watched.now += 0.05
    context.watched.review()


@when("one target answers 3 times slower and reports less load than the others")
def step_lying(context):
    context.load = context.watched.loads[5]
    for number in range(20):
        context.watched.now += 0.01
        health.observe_answer(context.load, 3 * SERVICE_S, True, context.watched.now)
        health.observe_report(context.load, number % 2, context.watched.now, context.watched.now)
    context.watched.now += 0.05
    context.watched.review()


@when("one target reports 1 request in flight while 2 of this entry have long been there")
def step_impossible_report(context):
    watched = context.watched
    context.load = watched.loads[6]
    for number in range(2):
        health.observe_sent(context.load, 10**9 + number, watched.now)
    report_later(context, 1.0)


@when("it reports 2 requests in flight instead")
def step_possible_report(context):
    report_later(context, 2.0)


def report_later(context, in_flight):
    """Let the target report, long enough after the requests that they have arrived."""
    watched = context.watched
    watched.now += 0.06
    health.observe_report(context.load, in_flight, watched.now, watched.now)
    watched.review()


@then("its reports are believed")
def step_believed(context):
    assert context.load.reports_trusted


@then("its reports are not believed")
def step_not_believed(context):
    assert not context.load.reports_trusted


@when("one target refuses {count:d} requests as not run")
def step_sheds(context, count):
    for _ in range(count):
        health.observe_shed(context.load, context.watched.now)
    context.watched.review()


@when("{count:d} peers call a target avoided and it fails 4 requests")
def step_fails_after_peers(context, count):
    watched = context.watched
    context.load = watched.loads[7]
    for _ in range(count):
        expires_at = watched.now + 5.0
        health.observe_peer_verdict(context.load, Verdict.AVOIDED, expires_at, watched.now)
    for _ in range(4):
        health.observe_failure(context.load, watched.now)
    watched.now += 0.06
    context.news = health.review(watched.service, watched.loads, watched.now)


@then("the target is avoided and peers are {told}")
def step_told(context, told):
    assert context.load.verdict is Verdict.AVOIDED
    assert (context.load in context.news) == (told == "told"), told


@when("5 other targets are avoided and one target refuses 3 connections")
def step_unreachable(context):
    watched = context.watched
    for load in watched.loads[6:11]:
        load.verdict = Verdict.AVOIDED
        health.observe_failure(load, watched.now)
    context.load = watched.loads[5]
    for _ in range(3):
        health.observe_unreachable(context.load, watched.now)


@then("it is chosen for no request during the next {ms:d} ms")
def step_paused(context, ms):
    policy = policy_by_name("adaptive")
    watched = context.watched
    for step in range(ms):
        random_value = watched.generator.getrandbits(64)
        now = watched.now + step / 1000
        assert choose_target(policy, watched.loads, now, random_value) is not context.load


@when("{count:d} requests to one target are cancelled after 10 service times")
def step_cancelled(context, count):
    watched = context.watched
    for number in range(count):
        health.observe_sent(context.load, 10**9 + number, watched.now)
    watched.now += 10 * SERVICE_S
    for number in range(count):
        health.observe_abandoned(watched.service, context.load, 10**9 + number, watched.now)
    watched.now += 0.03
    watched.review()

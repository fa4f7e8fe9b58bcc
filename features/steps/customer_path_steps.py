"""Steps with two real nodes, customers, and the stand-in for the platform's store and targets."""

import json
import signal
import subprocess
import time
import urllib.request

from behave import given, then, when
from node_path_steps import (
    ADMIN_PORT,
    ANSWER_LIMIT_S,
    FRONT_PORT,
    HOST,
    READY_PORT,
    NodeRig,
    read_answer,
    wait_until,
)

from poplarlane.bench.processes import Launcher, binary_path
from poplarlane.start_timeline import Stage

EXCHANGE_PORTS = [24_010, 24_019]
KEYS = {"c1": ["first-secret", "other-secret"], "c2": ["third-secret"]}
QUOTAS = {"c1": 500, "c2": 5}
APPLY_LIMIT_S = 2.5


class CustomerRig(NodeRig):
    """Hold two nodes and their stand-in."""

    def __init__(self, launcher):
        super().__init__(launcher)
        self.addresses = [self.node_address, launcher.new_host()]
        self.nodes = []
        self.seeds = self.addresses

    def configuration(self, version, routes, removed=()):
        """Build a configuration with customers."""
        found = super().configuration(version, routes)
        found["tenants"] = [
            {
                "name": name,
                "api_keys": [key for key in keys if key not in removed],
                "priority": 1,
                "rate_per_s": QUOTAS[name],
                "burst": QUOTAS[name],
            }
            for name, keys in KEYS.items()
        ]
        return found

    def node_settings(self):
        """Give the settings of the first node."""
        return self.settings_of(0)

    def settings_of(self, number):
        """Give the settings of a node."""
        address = self.addresses[number]
        changes = {
            "name": f"node-{number + 1}",
            "front": f"{address}:{FRONT_PORT}",
            "ready": f"{address}:{READY_PORT}",
            "exchange_ports": EXCHANGE_PORTS,
            "seeds": [f"{found}:{EXCHANGE_PORTS[0]}" for found in self.seeds],
            "fleet_size": 2,
            # Without it a new fleet assumes that the quotas have just been used up.
            "bootstrap": True,
            "apply_limit_s": APPLY_LIMIT_S,
        }
        return NodeRig.node_settings(self) | changes

    def ask(self, number, request_id, key=""):
        """Send a read to a node; gives status and headers."""
        self.node_address = self.addresses[number]
        lines = [f"GET /views/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {request_id}\r\n"]
        lines += [f"X-Api-Key: {key}\r\n"] if key else []
        with self.connect() as caller:
            caller.sendall("".join([*lines, "X-Tenant-Id: c9\r\n\r\n"]).encode())
            return read_answer(caller)[:2]

    def page(self, number, path):
        """Read a page of a node's admin server."""
        url = f"http://{self.addresses[number]}:{ADMIN_PORT}{path}"
        with urllib.request.urlopen(url, timeout=ANSWER_LIMIT_S) as answer:
            return answer.read().decode()

    def hears_digests(self, number):
        """Return whether a node knows of both nodes from the fleet's digest."""
        quotas = json.loads(self.page(number, "/status"))["quotas"]
        return quotas["nodes"] == 2 and not quotas["is_isolated"]


@given('two nodes with the customers "c1" and "c2"')
def step_nodes(context):
    start_nodes(context)
    step_in_digest(context)


@given('two nodes with the customers "c1" and "c2" whose seeds are all down')
def step_nodes_alone(context):
    start_nodes(context, has_seeds=False)


def start_nodes(context, has_seeds=True):
    """Start the stand-in and two nodes."""
    rig = context.rig = CustomerRig(context.resources.enter_context(Launcher()))
    if not has_seeds:
        rig.seeds = [rig.launcher.new_host()]
    rig.start({"reads": 2, "books": 1})
    rig.nodes = [rig.node, rig.launcher.start("poplarlane-node", rig.settings_of(1), "ready")]


@then("both nodes are in a digest")
def step_in_digest(context):
    rig = context.rig
    for number in range(2):
        wait_until(lambda number=number: rig.hears_digests(number), "both nodes are in a digest")


@when("the settings files name the first node as a seed, without a signal")
def step_new_seeds(context):
    rig = context.rig
    rig.seeds = rig.addresses[:1]
    for number in range(2):
        rig.launcher.settings_path(f"node-{number + 1}", rig.settings_of(number))


@when('each node gets a request with the key "{key}" and one without a key')
def step_requests(context, key):
    rig = context.rig
    context.with_key = [rig.ask(number, f"with-{number}", key)[0] for number in range(2)]
    context.without = [rig.ask(number, f"without-{number}") for number in range(2)]


@then('the first ran at a target with the name "{name}" and no key, the other got 401')
def step_ran(context, name):
    assert context.with_key == [200, 200], context.with_key
    assert [status for status, _ in context.without] == [401, 401], context.without
    assert {headers["x-poplar-result"] for _, headers in context.without} == {"1215"}
    ledger = context.rig.ledger()
    assert set(ledger["ran"]) == {"with-0", "with-1"}, ledger["ran"]
    assert list(ledger["customers"].values()) == [{"x-tenant-id": name}] * 2, ledger


@when('the configuration no longer has the key "{key}"')
def step_remove(context, key):
    rig = context.rig
    rig.control(configuration=rig.configuration(6, rig.usual_routes(), removed=(key,)))
    context.removed_at = time.monotonic()
    context.removed = key


@then('both nodes refuse it with 401 within {limit_s:g} s and take "{key}"')
def step_refuse(context, limit_s, key):
    rig = context.rig
    for number in range(2):
        wait_until(
            lambda number=number: rig.ask(number, "late", context.removed)[0] == 401, "refusal"
        )
    took_s = time.monotonic() - context.removed_at
    assert took_s <= limit_s, took_s
    assert [rig.ask(number, f"kept-{number}", key)[0] for number in range(2)] == [200, 200]


@then("poplarctl customers shows both customers with a recent digest at both nodes")
def step_customers(context):
    nodes = [f"{address}:{ADMIN_PORT}" for address in context.rig.addresses]
    command = [binary_path("poplarctl"), "customers", *nodes, "--output", "json"]
    done = subprocess.run(command, capture_output=True, text=True, timeout=30)
    assert done.returncode == 0, done
    found = json.loads(done.stdout)["nodes"]
    assert set(found) == {"node-1", "node-2"}, found
    for status in found.values():
        assert set(status["customers"]) == set(KEYS) and status["digest_age_s"] < 1.0, status
    assert sum(status["customers"]["c1"]["used"] for status in found.values()) >= 4, found


@then("poplarctl starts shows that both nodes reached all stages, and names the slowest")
def step_starts(context):
    nodes = [f"{address}:{ADMIN_PORT}" for address in context.rig.addresses]
    command = [binary_path("poplarctl"), "starts", *nodes]

    def report():
        done = subprocess.run(command, capture_output=True, text=True, timeout=30)
        assert done.returncode == 0, done
        return done.stdout

    wait_until(lambda: "not reached" not in report(), "both nodes have reached all stages")
    text = report()
    for number in (1, 2):
        (line,) = [found for found in text.splitlines() if f"node node-{number}:" in found]
        assert all(f"{stage.value} " in line for stage in Stage), line
    assert f"slowest at {Stage.ANSWER.value}: node-" in text, text


@then("neither log nor status page of the nodes holds a key")
def step_no_key(context):
    rig = context.rig
    texts = [rig.page(number, path) for number in range(2) for path in ("/status", "/metrics")]
    texts += [line.text for node in rig.nodes for line in node.lines]
    assert not [text for text in texts if "secret" in text]
    assert any('customer_requests{customer="c1"' in text for text in texts)


@when('{count:d} requests of "{name}" are sent through both nodes')
def step_many(context, count, name):
    rig, key = context.rig, KEYS[name][0]
    context.answers = [rig.ask(n % 2, f"many-{name}-{n}", key) for n in range(count)]


@then("between {least:d} and {most:d} of them ran, and the others got 429 with a time to come back")
def step_limited(context, least, most):
    ran = sum(status == 200 for status, _ in context.answers)
    refused = [headers for status, headers in context.answers if status == 429]
    assert ran + len(refused) == len(context.answers), context.answers
    assert least <= ran <= most, ran
    assert all(0.25 <= float(headers["retry-after"]) <= 10.0 for headers in refused)


@then('requests of "c1" are served')
def step_served(context):
    assert {context.rig.ask(n % 2, f"c1-{n}", "first-secret")[0] for n in range(10)} == {200}


@when("the store is away for longer than a change may take")
def step_away(context):
    context.rig.control(down=True)
    time.sleep(APPLY_LIMIT_S + 1.0)


@then('both nodes take "{key}", and answer an unknown key with 503 and code 1216')
def step_away_answers(context, key):
    rig = context.rig
    assert [rig.ask(number, f"away-{number}", key)[0] for number in range(2)] == [200, 200]
    unknown = [rig.ask(number, "unknown", "no-such-key") for number in range(2)]
    found = [(status, headers["x-poplar-result"]) for status, headers in unknown]
    assert found == [(503, "1216")] * 2, found


@when("the store is back")
def step_back(context):
    context.rig.control(down=False)


@then("both nodes answer an unknown key with 401 again")
def step_again(context):
    for number in range(2):
        wait_until(
            lambda number=number: context.rig.ask(number, "again", "no-such-key")[0] == 401,
            "a confirmed configuration",
        )


@when('one node is suspended for {time_s:d} s and the key "{key}" is removed meanwhile')
def step_suspend(context, time_s, key):
    rig = context.rig
    rig.nodes[1].signal(signal.SIGSTOP)
    time.sleep(0.5)
    rig.control(configuration=rig.configuration(6, rig.usual_routes(), removed=(key,)))
    time.sleep(time_s - 0.5)
    context.ran_before = set(rig.ledger()["ran"])
    context.removed = key
    rig.nodes[1].signal(signal.SIGCONT)


@then("no request with the key runs there after it goes on")
def step_none_runs(context):
    rig = context.rig
    until = time.monotonic() + 2.0
    answers = []
    while time.monotonic() < until:
        answers.append(rig.ask(1, f"resumed-{len(answers)}", context.removed)[0])
    assert answers and not set(rig.ledger()["ran"]) - context.ran_before, answers
    assert set(answers) <= {401, 503} and answers[-1] == 401, answers

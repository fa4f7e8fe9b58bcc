"""Nodes that serve requests which crash targets, without a network, a clock or a process."""

from features.node_world import NOW, READ, make_instance, metadata
from poplarlane.decisions.configuration.directory import Configuration, Directory, ServiceRecord
from poplarlane.decisions.configuration.route_table import Route, WeightedService
from poplarlane.decisions.effects import Count, Log
from poplarlane.decisions.quarantine import fingerprints
from poplarlane.decisions.quarantine.section import QuarantineSection
from poplarlane.decisions.reducer import reduce
from poplarlane.decisions.requests.entry_effects import (
    CancelAttempt,
    CheckProcess,
    DeliverAnswer,
    NotifyFleet,
    ProbeTarget,
    RefuseRequest,
    SendRequest,
)
from poplarlane.decisions.requests.entry_events import (
    AttemptFailed,
    AttemptSent,
    CatalogueChanged,
    FailureCause,
    ProbeAnswered,
    ProcessChecked,
    RequestArrived,
    ResponseCompleted,
    TimerFired,
)
from poplarlane.decisions.requests.entry_state import EntryState
from poplarlane.types import Priority, RequestKind

WRITE = RequestKind("write", frozenset(), "/", False, Priority.NORMAL, 4_000, False)
DEADLY = "/deadly"


class Content:
    """The content of a request, which counts how often its digest was computed."""

    computed = 0

    def __init__(self, path, body=b""):
        self.path = path
        self.body = body

    def fingerprint(self, customer):
        """Compute the digest."""
        Content.computed += 1
        return fingerprints.digest(customer, "h.example", b"GET", self.path.encode(), [self.body])


def make_catalogue(targets):
    """Describe a service with a route for reads and one for writes."""
    directory = Directory(0.2, "measured")
    parts = [WeightedService("reads", 1.0)]
    routes = [
        Route("r", "h.example", "/", READ, 0.5, 2, parts),
        Route("w", "h.example", "/book", WRITE, 0.5, 2, parts),
    ]
    records = [ServiceRecord("reads", "/healthz", 330)]
    directory.update_configuration(Configuration(1, routes, records, None))
    instances = [make_instance(f"i-{number}") for number in range(targets)]
    directory.replace_instances(instances, NOW)
    return directory.catalogue()


class QuarantineNode:
    """One node; its requests, what it sent where, and what its callers got."""

    def __init__(self, targets=8, name="node", has_peers=False, policy="measured"):
        self.now = NOW
        self.state = EntryState(name, 1)
        self.state.policy_name = policy
        self.state.probes_per_target_s = 6_000.0
        self.state.extra_sends = 8_100.0
        self.state.quarantine.enabled = True
        self.state.quarantine.has_peers = has_peers
        self.section = QuarantineSection(self.state)
        self.state.fleet.add(self.section)
        # Attempts at work: target and request by attempt; and every send: request and target.
        self.at_work = {}
        self.sends = []
        self.outcomes = {}
        self.checks = []
        self.notified = 0
        self.logs = []
        self.counts = []
        self.feed(CatalogueChanged(NOW, 7, make_catalogue(targets), 24))

    def feed(self, event):
        """Reduce an event and take its effects into account."""
        self.apply(reduce(event, self.state))

    def apply(self, effects):
        """Take effects into account; probes are answered at once."""
        for effect in effects:
            if isinstance(effect, ProbeTarget):
                self.feed(ProbeAnswered(self.now, 3, effect.probe_id, metadata(1.0)))
            elif isinstance(effect, SendRequest):
                self.at_work[effect.attempt_id] = (effect.target.name, effect.request_id)
                self.sends.append((effect.request_id, effect.target.name))
                self.feed(AttemptSent(self.now, 0, effect.attempt_id))
            elif isinstance(effect, CancelAttempt):
                self.at_work.pop(effect.attempt_id, None)
            elif isinstance(effect, RefuseRequest):
                self.outcomes[effect.request_id] = effect.outcome
            elif isinstance(effect, DeliverAnswer):
                self.outcomes[effect.request_id] = effect.code
            elif isinstance(effect, CheckProcess):
                self.checks.append(effect.target.name)
            elif isinstance(effect, NotifyFleet):
                self.notified += 1
            elif isinstance(effect, Log):
                self.logs.append((effect.event, effect.fields))
            elif isinstance(effect, Count):
                self.counts.append(effect.metric)

    def arrive(self, number, path=DEADLY, body=b""):
        """Let a request arrive."""
        self.feed(
            RequestArrived(
                self.now,
                number * 977,
                number,
                "h.example",
                "GET",
                path,
                "",
                3_000.0,
                1,
                False,
                False,
                f"id-{number}",
                Content(path, body),
            )
        )

    def targets_of(self, number):
        """List the targets at which a request is at work."""
        return [target for target, request in self.at_work.values() if request == number]

    def close(self, target):
        """End all connections to a target."""
        ended = [found for found, (name, _) in self.at_work.items() if name == target]
        for attempt in ended:
            if self.at_work.pop(attempt, None) is not None:
                cause = FailureCause.CLOSED_BEFORE_ANSWER
                self.feed(AttemptFailed(self.now, 11, attempt, cause, "reset"))

    def check(self, target, is_gone=True):
        """End the check of a target's process."""
        self.checks.remove(target)
        self.feed(ProcessChecked(self.now, 13, target, is_gone))

    def crash(self, target):
        """Crash a target and end the check that follows."""
        self.close(target)
        if target in self.checks:
            self.check(target)

    def crash_with(self, number):
        """Crash the first target at which a request is at work; return its name."""
        target = self.targets_of(number)[0]
        self.crash(target)
        return target

    def answer(self, number, response=None):
        """Let a target answer a request, with status 200 by default."""
        attempt = next(found for found, work in self.at_work.items() if work[1] == number)
        del self.at_work[attempt]
        self.feed(ResponseCompleted(self.now, 17, attempt, response or metadata(1.0)))

    def wait(self, time_s):
        """Let time pass and the timers fire."""
        self.now += time_s
        self.feed(TimerFired(self.now, 19))

    def item(self, path=DEADLY):
        """Return what the node knows about a request."""
        return self.state.quarantine.items.get(Content(path).fingerprint(""))

    def logged(self, event):
        """List the lines of an event."""
        return [fields for found, fields in self.logs if found == event]

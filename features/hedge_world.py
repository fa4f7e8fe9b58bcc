"""Run the decisions of one entry against modelled targets, with an event queue for sockets."""

import heapq
import random

import poplarlane.decisions.configuration.views  # noqa: F401  registers the handler of views
import poplarlane.decisions.requests.responses  # noqa: F401  registers its handlers
from poplarlane.decisions.reducer import reduce
from poplarlane.decisions.requests.entry_effects import (
    CancelAttempt,
    DeliverAnswer,
    RefuseRequest,
    SendRequest,
    SetTimer,
)
from poplarlane.decisions.requests.entry_events import (
    AttemptSent,
    RequestArrived,
    ResponseCompleted,
    ResponseMetadata,
    TimerFired,
    ViewReceived,
)
from poplarlane.decisions.requests.entry_state import EntryState
from poplarlane.messages import ServiceBody, ViewUpdate
from poplarlane.objects import (
    LimitsObject,
    RequestKindObject,
    SelectorObject,
    ServiceObject,
    TargetObject,
    encode_service,
)

HOST = "climbs.example"
DEADLINE_MS = 2_000.0
# More requests than any limit allows at one target.
MANY = 1_000
READ = RequestKindObject(name="read", methods=["GET"], idempotent=True, hedge=True)


class HedgeWorld:
    """Hold an entry with two targets; times are seconds."""

    def __init__(self, seed):
        self.state = EntryState("entry-1", 1)
        self.generator = random.Random(seed)
        self.now = 100.0
        self.events = []
        self.order = 0
        self.timer_at = None
        self.service_s = {"target-1": 0.002, "target-2": 0.002}
        self.connect_s = {"target-1": 0.0, "target-2": 0.0}
        # Attempts as (target, instant of sending) by number, those given up, and answers.
        self.sent = {}
        self.cancelled = set()
        self.finished = {}
        self.next_request = 0
        self.room_at = 0.0
        self.feed(ViewReceived(self.now, 1, self.view()))
        self.service = self.state.services["climbs"]

    def view(self, services=True):
        """Give a view with the service, or one that changes nothing."""
        targets = {
            name: TargetObject(address="127.0.0.1", port=port, data_centre="a")
            for port, name in enumerate(self.service_s, 1)
        }
        found = ServiceObject(
            service="climbs",
            revision=1,
            change_id="c",
            hosts=[HOST],
            requests=[READ],
            limits=LimitsObject(hedge_ratio=0.5),
            targets=targets,
            selectors={"all": SelectorObject(callers="", targets="")},
        )
        bodies = [ServiceBody("climbs", 1, encode_service(found))] if services else []
        return ViewUpdate("agent", 1, 1 if services else 2, True, bodies, [], [], 1)

    def feed(self, event):
        """Reduce one event and model its effects."""
        for effect in reduce(event, self.state):
            self.execute(effect)

    def execute(self, effect):
        """Model one effect of the entry."""
        if isinstance(effect, SendRequest):
            name = effect.target.name
            at = self.now + self.connect_s[name]
            self.sent[effect.attempt_id] = (name, at)
            self.add(at, "sent", effect.attempt_id)
            self.add(at + self.service_s[name], "answer", effect.attempt_id)
        elif isinstance(effect, CancelAttempt):
            self.cancelled.add(effect.attempt_id)
        elif isinstance(effect, SetTimer):
            self.timer_at = effect.at
            self.add(effect.at, "timer", 0)
        elif isinstance(effect, DeliverAnswer | RefuseRequest):
            self.finished[effect.request_id] = (self.now, getattr(effect, "attempt_id", 0))

    def add(self, at, kind, number):
        """Put one event into the queue."""
        self.order += 1
        heapq.heappush(self.events, (at, self.order, kind, number))

    def step(self):
        """Feed the next event of the queue."""
        self.now, _, kind, number = heapq.heappop(self.events)
        random_value = self.generator.getrandbits(64)
        if kind == "timer":
            if self.now == self.timer_at:
                self.feed(TimerFired(self.now, random_value))
        elif kind == "room":
            self.service.loads["target-2"].outstanding -= MANY
            self.feed(ViewReceived(self.now, random_value, self.view(False)))
        elif number in self.cancelled:
            return
        elif kind == "sent":
            self.feed(AttemptSent(self.now, random_value, number))
        elif kind == "answer":
            metadata = ResponseMetadata()
            metadata.status = 200
            self.feed(ResponseCompleted(self.now, random_value, number, metadata))

    def arrive(self):
        """Let one read arrive; return its number."""
        self.next_request += 1
        random_value = self.generator.getrandbits(64)
        number = self.next_request
        self.feed(
            RequestArrived(
                self.now, random_value, number, HOST, "GET", "/", "", DEADLINE_MS, 1, False
            )
        )
        return number

    def read(self):
        """Run one read to its end; return its latency in seconds."""
        began = self.now
        number = self.arrive()
        while number not in self.finished:
            self.step()
        return self.finished[number][0] - began

    def fill_second_target(self, seconds):
        """Leave no room at target-2 for a time."""
        self.service.loads["target-2"].outstanding += MANY
        self.room_at = self.now + seconds
        self.add(self.room_at, "room", 0)

    def read_at_first_target(self, full_s=0.0):
        """Run reads until one went to target-1, with no room at target-2 after that choice."""
        while True:
            number = self.arrive()
            attempt = max(self.sent)
            chosen = self.sent[attempt][0] == "target-1"
            if chosen and full_s:
                self.fill_second_target(full_s)
            while number not in self.finished:
                self.step()
            if chosen:
                return number, attempt

    def warm_up(self):
        """Read until the entry knows how fast its targets are."""
        for _ in range(60):
            self.read()
            self.now += 0.005

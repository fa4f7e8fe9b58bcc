"""Gossip between nodes: membership, changes of the store and the age of this information."""

import asyncio
import secrets
from collections.abc import Callable, Iterable
from functools import singledispatchmethod

import xxhash

from poplarlane import relay_messages
from poplarlane.change_encoding import (
    changes_between,
    decode_objects,
    encode_changes,
    encode_object,
    resolve_changes,
)
from poplarlane.decisions.membership import (
    relay_fetches,
    relays,
    transit,
)
from poplarlane.error_text import error_text
from poplarlane.logs import log
from poplarlane.plumbing.fan_out import FanOut
from poplarlane.plumbing.fleet_exchange import FleetExchange
from poplarlane.plumbing.object_follower import ObjectFollower
from poplarlane.plumbing.pauses import clock
from poplarlane.plumbing.peer_sockets import PeerSockets
from poplarlane.plumbing.traffic_meter import TrafficMeter
from poplarlane.relay_messages import (
    Fetch,
    FleetDigest,
    FleetReport,
    Heartbeat,
    Hello,
    MemberInfo,
    Message,
    Roster,
    Snapshot,
    Update,
)
from poplarlane.store_objects import ObjectChange, StoredObject

TICK_S = 0.1
# A node without members repeats its hello sooner, because its connections are still opening.
INITIAL_HELLO_INTERVAL_S = 0.03
STARTUP_PERIOD_S = 2.0
# While no candidate follows the store, many nodes do, and each one passes its changes on. Larger
# ones are announced instead, and fetched by the nodes that miss them.
MAX_PUSHED_BYTES = 600
# Distinguishes the processes that a node runs one after the other.
PROCESS_BITS = 32


class Relay:
    """Relay changes between nodes, and decide whether this node follows the store itself."""

    __slots__ = (
        "sockets",
        "state",
        "port",
        "followers",
        "deliver",
        "deliver_all",
        "hello_due",
        "remote_hello_due",
        "heartbeat_due",
        "contact_at",
        "age_factors",
        "following",
        "task",
        "random_value",
        "subscribers",
        "snapshots",
        "failures",
        "fleet_exchange",
        "traffic",
        "fan_out",
        "process",
        "clocks",
    )

    def __init__(
        self,
        state: relays.RelayState,
        port: int,
        deliver: Callable[[str, list[ObjectChange]], None],
        deliver_all: Callable[[str, list[StoredObject]], None],
        random_value: Callable[[], float],
    ) -> None:
        self.sockets: PeerSockets
        self.state = state
        self.port = port
        self.followers: dict[str, ObjectFollower] = {}
        self.deliver = deliver
        self.deliver_all = deliver_all
        self.hello_due = 0.0
        self.remote_hello_due = 0.0
        self.heartbeat_due = 0.0
        # Time of the last successful call to the store, by kind.
        self.contact_at: dict[str, float] = {}
        # Weight of the time since the last successful call, by kind; 1 if missing. Kinds whose
        # changes have more time are watched with longer waits.
        self.age_factors: dict[str, float] = {}
        self.following: bool | None = None
        self.task: asyncio.Task | None = None
        # Returns random numbers from 0 to 1.
        self.random_value = random_value
        # Consecutive failed calls to the store, by kind.
        self.failures: dict[str, int] = {}
        # Nodes of other data centres that asked for heartbeats, with the time of their last hello.
        self.subscribers: dict[str, float] = {}
        # Last encoded snapshot of each kind, with its revision and highest version; many nodes ask
        # at the same time.
        self.snapshots: dict[str, tuple[tuple[int, int], bytes]] = {}
        # Exchange of reports and digests; None where nothing is shared.
        self.fleet_exchange: FleetExchange | None = None
        self.traffic = TrafficMeter(clock())
        self.fan_out = FanOut(state, self.send, self.record_member)
        self.process = secrets.randbits(PROCESS_BITS)
        # Clocks of the nodes that have sent messages.
        self.clocks: dict[str, transit.Clock] = {}

    def start(self) -> None:
        """Bind the socket, connect to the seeds and start the periodic steps."""
        address = self.state.me.address
        self.sockets = PeerSockets(address)
        self.sockets.bind_peer_router(address, self.port)
        for seed in self.state.seeds:
            self.connect_seed(seed)
        # The first step runs before the first message is handled.
        self.task = asyncio.get_running_loop().create_task(self.run())
        self.sockets.start_receiving(self.received)

    def connect_seed(self, seed: str) -> None:
        """Open the connection to a seed, unless it is this node."""
        if seed != self.state.me.address:
            self.sockets.connect(seed, seed, self.port, keep_unsent=False)

    def replace_seeds(self, seeds: list[str]) -> None:
        """Take other seeds into force and greet them at once."""
        before = self.state.seeds
        relays.replace_seeds(self.state, seeds)
        for seed in before:
            if seed not in seeds:
                self.sockets.disconnect(seed)
        for seed in seeds:
            if seed not in before:
                self.connect_seed(seed)
        self.hello_due = self.remote_hello_due = 0.0

    def close(self) -> None:
        """Stop the periodic steps and close the sockets."""
        if self.task is not None:
            self.task.cancel()
        self.sockets.close()

    async def run(self) -> None:
        """Run the periodic steps until cancelled."""
        while True:
            try:
                self.step(clock())
                self.measure_traffic(clock())
            except Exception as error:
                # Without these steps the node would stop following the store unnoticed.
                log("relay_step_failed", "error", reason=error_text(error))
            await asyncio.sleep(self.pause_s())

    def pause_s(self) -> float:
        """Return the time until the next step; a new node without members uses a shorter one."""
        is_new = clock() - self.state.started_at < STARTUP_PERIOD_S
        return INITIAL_HELLO_INTERVAL_S if is_new and not self.state.members else TICK_S

    def step(self, now: float) -> None:
        """Run the periodic steps that are due."""
        for name in relays.drop_silent_members(self.state, now):
            log("member_lost", member=name, members=len(self.state.members))
            self.subscribers.pop(name, None)
            self.clocks.pop(name, None)
            self.sockets.disconnect(name)
        if now >= self.hello_due:
            interval_s = relays.HELLO_INTERVAL_S if self.state.members else self.pause_s()
            self.hello_due = now + interval_s * (0.8 + 0.4 * self.random_value())
            self.send_hellos(now)
        self.update_following(now)
        if self.following and now >= self.heartbeat_due:
            self.heartbeat_due = now + relays.HEARTBEAT_INTERVAL_S
            self.heartbeat(now)
        self.request_missing(now)
        self.check_current(now)
        if self.fleet_exchange is not None:
            self.fleet_exchange.step(now)

    def measure_traffic(self, now: float) -> None:
        """Log when the messages between nodes take much of the link."""
        busy = self.traffic.step(self.sockets.counts, now)
        if busy is not None:
            log("exchange_busy", "warning", **busy)

    def clock(self) -> float:
        """Return the time on the relay's clock."""
        return clock()

    def note(self) -> MemberInfo:
        """Describe this node, as the sender of a message."""
        me = self.state.me
        return MemberInfo(me.name, me.address, me.data_centre, 0.0, self.process, clock())

    def delay_s(self, sender: MemberInfo, now: float) -> float:
        """Return how long a message has waited on the way from its sender."""
        if not sender.process:
            return 0.0
        return transit.delay_s(self.clocks, sender.name, sender.process, sender.sent_at, now)

    def digest(self, data_centre: str) -> int:
        """Return a digest of the names of the known nodes of a data centre."""
        members = [self.state.me, *self.state.members.values()]
        names = sorted(found.name for found in members if found.data_centre == data_centre)
        return xxhash.xxh32_intdigest(",".join(names).encode())

    def send_hellos(self, now: float) -> None:
        """Announce this node to the relaying nodes of its data centre, and to the seeds.

        Candidates send hellos to the seeds often, because the seeds send them heartbeats and
        changes; other nodes do so rarely.
        """
        state = self.state
        is_candidate = relays.is_candidate(state, now)
        digest = self.digest(state.me.data_centre)
        hello = Hello(self.note(), digest, is_candidate, self.versions())
        payload = relay_messages.encode(hello)
        chosen = relays.hello_recipients(state, now)
        near = relays.data_centre_members(state)
        for member in near:
            if member.name in chosen or member.address in state.seeds:
                self.send(member.name, payload)
        if near and not is_candidate and now < self.remote_hello_due:
            return
        self.remote_hello_due = now + relays.REMOTE_HELLO_INTERVAL_S * (
            0.8 + 0.4 * self.random_value()
        )
        greeted = {member.address for member in near}
        for seed in state.seeds:
            if seed not in greeted:
                self.sockets.send(seed, payload)

    def send(self, name: str, payload: bytes) -> None:
        """Send to a member, opening the connection on first use."""
        member = self.state.members.get(name)
        if member is None:
            return
        if name not in self.sockets.dealers:
            self.sockets.connect(name, member.address, self.port, keep_unsent=False)
        self.sockets.send(name, payload)

    def own_heartbeat(self, now: float) -> Heartbeat | None:
        """Build a heartbeat with revisions and their age; None if the store does not respond."""
        age_s = self.contact_age_s(now)
        is_current = all(follower.is_current for follower in self.followers.values())
        if not is_current or age_s > relays.MAX_CONTACT_AGE_FRACTION * self.state.apply_limit_s:
            return None
        revisions = {kind: found.changed_revision for kind, found in self.followers.items()}
        return Heartbeat(self.note(), age_s, revisions, versions=self.versions())

    def contact_age_s(self, now: float) -> float:
        """Return the weighted time since the store last answered a call for each kind."""
        ages = (
            (now - self.contact_at.get(kind, 0.0)) * self.age_factors.get(kind, 1.0)
            for kind in self.followers
        )
        return max(ages, default=now)

    def versions(self) -> dict[str, int]:
        """Return the highest object version that this node has of each kind with versions."""
        found = {kind: follower.newest_version() for kind, follower in self.followers.items()}
        return {kind: version for kind, version in found.items() if version}

    def heartbeat(self, now: float) -> None:
        """Send a heartbeat to the nodes that depend on this one."""
        message = self.own_heartbeat(now)
        if message is not None:
            self.broadcast(message, now)

    def broadcast(self, message: Heartbeat, now: float) -> None:
        """Send a heartbeat to all nodes of this data centre and to the current subscribers."""
        self.broadcast_near(message, self.current_subscribers(now))

    def current_subscribers(self, now: float) -> list[str]:
        """List the nodes of other data centres that have asked for heartbeats lately."""
        asked_after = now - relays.MEMBER_TIMEOUT_S
        return [name for name, asked_at in self.subscribers.items() if asked_at >= asked_after]

    def near_names(self) -> list[str]:
        """List the names of the other nodes of this data centre."""
        return [member.name for member in relays.data_centre_members(self.state)]

    def broadcast_near(self, message: Heartbeat, others: Iterable[str] = ()) -> None:
        """Send a heartbeat to all nodes of this data centre and to `others`."""
        payload = relay_messages.encode(message)
        for name in (*self.near_names(), *others):
            self.send(name, payload)

    def push(self, update: Update, now: float) -> None:
        """Pass changes on to all nodes of this data centre; those directly from the store to all.

        A node that follows the store in place of the candidates is one of many: it pushes what is
        small and announces the rest.
        """
        if update.is_direct:
            payload = relay_messages.encode(update)
            for name in self.current_subscribers(now):
                self.send(name, payload)
            if len(payload) > MAX_PUSHED_BYTES and not relays.is_candidate(self.state, now):
                self.heartbeat_due = now + relays.HEARTBEAT_INTERVAL_S
                self.heartbeat(now)
                return
        self.fan_out.send(update, self.near_names(), update.revision, now)

    def forwards(self, now: float) -> bool:
        """Return whether this node forwards direct messages within its data centre."""
        return (
            not self.following and relays.data_centre_relay(self.state, now) == self.state.me.name
        )

    def update_following(self, now: float) -> None:
        """Start or stop following the store, depending on the other nodes."""
        following = relays.must_follow_store(self.state, now)
        if following == self.following:
            return
        self.following = following
        log("following" if following else "relying", members=len(self.state.members))
        for follower in self.followers.values():
            follower.max_retry_pause_s = relays.max_retry_pause_s(self.state, now)
            follower.set_enabled(following)

    def request_missing(self, now: float) -> None:
        """Fetch announced changes that did not arrive: from another node, then from the store."""
        for kind, follower in self.followers.items():
            known = follower.known_revision()
            if not known and follower.is_current and not self.is_announced(kind, now):
                # The store has listed the kind as empty at revision 0.
                continue
            version = follower.newest_version()
            source = relay_fetches.fetch_source(
                self.state, kind, known, self.random_value(), now, version
            )
            if source is None:
                continue
            log("update_missed", "warning", kind=kind, revision=follower.revision, source=source)
            self.send(source, relay_messages.encode(Fetch(self.note(), kind)))
            if not self.following and relay_fetches.is_repeated_fetch(self.state, kind):
                follower.poll_once()

    def is_announced(self, kind: str, now: float) -> bool:
        """Return whether another node has announced objects of a kind."""
        return relay_fetches.most_recent_announcer(self.state, kind, 0, now) is not None

    def check_current(self, now: float) -> None:
        """Mark kinds as current if heartbeats of other nodes confirm it, else poll the store."""
        for kind, follower in self.followers.items():
            if follower.is_current or not follower.revision:
                continue
            known, version = follower.known_revision(), follower.newest_version()
            if relay_fetches.is_confirmed_current(self.state, kind, known, now, version):
                follower.mark_current()
            elif relays.may_poll_store(self.state, now):
                follower.poll_once()

    def store_call_finished(self, kind: str, succeeded: bool) -> None:
        """Record the result of a call to the store; tell other nodes at once when it is down.

        A single failed watch does not count, because it may be cut off at any time; the short call
        after it shows whether the store is unavailable.
        """
        now = clock()
        failures = 0 if succeeded else self.failures.get(kind, 0) + 1
        self.failures[kind] = failures
        if succeeded:
            is_first = now - self.contact_at.get(kind, 0.0) > self.state.apply_limit_s
            self.contact_at[kind] = now
            if is_first:
                # Other nodes wait for this heartbeat at start-up and after an outage.
                self.heartbeat_due = 0.0
        elif (
            self.following
            and failures >= relays.LOST_AFTER_FAILURES
            and self.contact_at.get(kind, 0.0) > 0.0
        ):
            self.contact_at[kind] = 0.0
            self.broadcast(Heartbeat(self.note(), relays.NO_CONTACT_AGE_S, {}), now)

    def changed(self, kind: str, after: int, revision: int, changes: list[ObjectChange]) -> None:
        """Relay changes that this node received from the store.

        Nodes that the store refuses depend on all nodes that it serves, not only the chosen one.
        """
        now = clock()
        if self.following or self.forwards(now):
            self.push(Update(kind, after, revision, encode_changes(changes)), now)

    def received(self, _identity: bytes, payload: bytes) -> None:
        """Decode and handle a message from another node."""
        self.handle(relay_messages.decode(payload))

    @singledispatchmethod
    def handle(self, message: Message) -> None:
        """Handle a message according to its type."""
        raise TypeError(f"no handler for {type(message).__name__}")

    @handle.register
    def _(self, message: Hello) -> None:
        now = clock()
        sender = message.sender
        self.record_member(sender, now)
        relay_fetches.record_versions(self.state, sender.name, message.versions, now)
        same = message.roster_digest == self.digest(sender.data_centre)
        members = [
            MemberInfo(found.name, found.address, found.data_centre, now - found.heard_at)
            for found in ([] if same else self.state.members.values())
            if found.data_centre == sender.data_centre
        ]
        fleet = relays.fleet_size(self.state, 0)
        self.send(sender.name, relay_messages.encode(Roster(self.note(), members, same, fleet)))
        self.subscribe(message, now)

    def subscribe(self, message: Hello, now: float) -> None:
        """Add a node of another data centre that asks for heartbeats, and send it the first one."""
        sender = message.sender
        if not message.wants_heartbeats or sender.data_centre == self.state.me.data_centre:
            self.subscribers.pop(sender.name, None)
            return
        is_new = sender.name not in self.subscribers
        self.subscribers[sender.name] = now
        heartbeat = self.own_heartbeat(now) if is_new and self.following else None
        if heartbeat is not None:
            self.send(sender.name, relay_messages.encode(heartbeat))

    @handle.register
    def _(self, message: Roster) -> None:
        now = clock()
        self.record_member(message.sender, now)
        relays.record_fleet_size(self.state, message.fleet, now)
        if message.same:
            relays.refresh_lower_ranked(self.state, message.sender.name, now)
        for found in message.members:
            if found.age_s < relays.MEMBER_TIMEOUT_S:
                self.record_member(found, now)

    @handle.register
    def _(self, message: Heartbeat) -> None:
        now = clock()
        age_s = message.contact_age_s + self.delay_s(message.sender, now)
        revisions = message.revisions
        self.record_member(message.sender, now)
        relays.record_heartbeat(
            self.state, message.sender.name, age_s, revisions, now, message.is_direct
        )
        relay_fetches.record_versions(self.state, message.sender.name, message.versions, now)
        self.check_current(now)
        is_far = message.sender.data_centre != self.state.me.data_centre
        if message.is_direct and is_far and self.forwards(now):
            self.broadcast_near(Heartbeat(self.note(), age_s, revisions, False, message.versions))

    @handle.register
    def _(self, message: Update) -> None:
        self.fan_out.pass_on(message, clock())
        follower = self.followers.get(message.kind)
        if follower is None or not follower.revision:
            return
        if message.revision <= follower.revision or message.after > follower.revision:
            return
        changes = resolve_changes(message.changes, follower.objects)
        if changes is None:
            return
        now = clock()
        if message.is_direct and self.forwards(now):
            changed = message.kind, message.after, message.revision, message.changes
            self.push(Update(*changed, is_direct=False), now)
        follower.apply_changes(message.revision, changes)
        self.deliver(message.kind, changes)

    @handle.register
    def _(self, message: Fetch) -> None:
        self.record_member(message.sender, clock())
        follower = self.followers.get(message.kind)
        if follower is None or not follower.revision:
            return
        state = follower.revision, follower.newest_version()
        held, payload = self.snapshots.get(message.kind, ((0, 0), b""))
        if held != state:
            notes = [encode_object(item, False) for item in follower.objects.values()]
            payload = relay_messages.encode(Snapshot(message.kind, follower.revision, notes))
            self.snapshots[message.kind] = state, payload
        self.send(message.sender.name, payload)

    @handle.register
    def _(self, message: Snapshot) -> None:
        follower = self.followers.get(message.kind)
        if follower is None:
            return
        items = decode_objects(message.objects)
        if message.revision <= follower.known_revision():
            self.adopt_newer(message.kind, follower, items)
            return
        after, before = follower.revision, follower.objects
        follower.replace_all(message.revision, items)
        log("snapshot_taken", kind=message.kind, revision=message.revision, objects=len(items))
        if after and self.forwards(clock()):
            # Other nodes here missed the same changes; this saves each a fetch of all objects.
            notes = encode_changes(changes_between(before, follower.objects))
            update = Update(message.kind, after, message.revision, notes, is_direct=False)
            self.push(update, clock())
        self.deliver_all(message.kind, items)
        self.check_current(clock())

    @handle.register
    def _(self, message: FleetReport) -> None:
        now = clock()
        self.record_member(message.sender, now)
        if self.fleet_exchange is not None:
            self.fleet_exchange.report_received(message, now)

    @handle.register
    def _(self, message: FleetDigest) -> None:
        now = clock()
        self.record_member(message.sender, now)
        waited_s = self.delay_s(message.sender, now)
        if self.fleet_exchange is not None:
            self.fleet_exchange.digest_received(message, waited_s)

    def adopt_newer(self, kind: str, follower: ObjectFollower, items: list[StoredObject]) -> None:
        """Take objects that another node has in a higher version than the store gave this node."""
        changes = follower.adopt_newer(items)
        if changes:
            log("version_adopted", kind=kind, version=follower.newest_version())
            self.deliver(kind, changes)
            self.check_current(clock())

    def record_member(self, found: MemberInfo, now: float) -> None:
        """Record a node as a member, or update it."""
        heard_at = now - found.age_s - self.delay_s(found, now)
        member = relays.Member(found.name, found.address, found.data_centre, heard_at)
        held = self.state.members.get(found.name)
        if held is not None and held.address != found.address:
            self.sockets.disconnect(found.name)
        if relays.record_member(self.state, member):
            log("member_found", "debug", member=found.name, members=len(self.state.members))

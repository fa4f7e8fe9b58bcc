"""Exchange between nodes: who is there, what the store says, and how fresh that is."""

import asyncio
from collections.abc import Callable
from functools import singledispatchmethod

import xxhash

from poplarlane import relay_messages
from poplarlane.decisions import relays
from poplarlane.logs import log
from poplarlane.objects_followed import ObjectChange, StoredObject
from poplarlane.plumbing.exchange_sockets import ExchangeSockets
from poplarlane.plumbing.object_follower import ObjectFollower
from poplarlane.plumbing.pauses import clock
from poplarlane.relay_messages import (
    Beat,
    ChangeNote,
    Fetch,
    Hello,
    MemberNote,
    Roster,
    Snapshot,
    Update,
)

TICK_S = 0.1
# A node that knows no other repeats its greeting sooner, because connections take a moment.
FIRST_HELLO_S = 0.1


class Relay:
    """Pass changes between nodes and switch this node's own followers on and off."""

    __slots__ = (
        "sockets",
        "state",
        "port",
        "seeds",
        "followers",
        "deliver",
        "deliver_all",
        "hello_due",
        "far_hello_due",
        "beat_due",
        "contact_at",
        "following",
        "task",
        "draw",
    )

    def __init__(
        self,
        state: relays.RelayState,
        port: int,
        seeds: list[str],
        deliver: Callable[[str, list[ObjectChange]], None],
        deliver_all: Callable[[str, list[StoredObject]], None],
        draw: Callable[[], float],
    ) -> None:
        self.sockets: ExchangeSockets
        self.state = state
        self.port = port
        # Addresses of nodes that may be there at the start.
        self.seeds = seeds
        self.followers: dict[str, ObjectFollower] = {}
        self.deliver = deliver
        self.deliver_all = deliver_all
        self.hello_due = 0.0
        self.far_hello_due = 0.0
        self.beat_due = 0.0
        # When the store last answered, by kind.
        self.contact_at: dict[str, float] = {}
        self.following: bool | None = None
        self.task: asyncio.Task | None = None
        # Random numbers from 0 to 1.
        self.draw = draw

    def start(self) -> None:
        """Bind, greet the seeds and keep going."""
        address = self.state.me.address
        self.sockets = ExchangeSockets(address)
        self.sockets.bind_exchange(address, self.port, self.received)
        for seed in self.seeds:
            if seed != address:
                self.sockets.connect(seed, seed, self.port, keep_unsent=False)
        self.task = asyncio.get_running_loop().create_task(self.run())

    def close(self) -> None:
        """End the exchange."""
        if self.task is not None:
            self.task.cancel()
        self.sockets.close()

    async def run(self) -> None:
        """Take the periodic steps."""
        while True:
            now = clock()
            for name in relays.forget_silent(self.state, now):
                log("member_lost", member=name, members=len(self.state.members))
                self.sockets.disconnect(name)
            if now >= self.hello_due:
                interval_s = relays.HELLO_INTERVAL_S if self.state.members else FIRST_HELLO_S
                self.hello_due = now + interval_s * (0.8 + 0.4 * self.draw())
                self.greet(now)
            self.choose_mode(now)
            if self.following and now >= self.beat_due:
                self.beat_due = now + relays.BEAT_INTERVAL_S
                self.beat(now)
            self.fill_gaps(now)
            await asyncio.sleep(TICK_S)

    def note(self) -> MemberNote:
        """Describe this node."""
        me = self.state.me
        return MemberNote(me.name, me.address, me.data_centre, 0.0)

    def digest(self) -> int:
        """Give a digest of the names that this node has heard of."""
        names = sorted([*self.state.members, self.state.me.name])
        return xxhash.xxh32_intdigest(",".join(names).encode())

    def greet(self, now: float) -> None:
        """Announce this node to who follows the store here, and rarely to the seeds."""
        payload = relay_messages.ENCODER.encode(Hello(self.note(), self.digest()))
        chosen = relays.followers(self.state)
        near = relays.near_members(self.state)
        for member in near:
            if member.name in chosen or member.address in self.seeds:
                self.send(member.name, payload)
        if near and now < self.far_hello_due:
            return
        self.far_hello_due = now + relays.FAR_HELLO_INTERVAL_S * (0.8 + 0.4 * self.draw())
        greeted = {member.address for member in near}
        for seed in self.seeds:
            if seed not in greeted:
                self.sockets.send(seed, payload)

    def send(self, name: str, payload: bytes) -> None:
        """Send to a node, on a connection that is opened on first use."""
        member = self.state.members.get(name)
        if member is None:
            return
        if name not in self.sockets.dealers:
            self.sockets.connect(name, member.address, self.port, keep_unsent=False)
        self.sockets.send(name, payload)

    def beat(self, now: float) -> None:
        """Tell all nodes how fresh this node's revisions are."""
        oldest = min((self.contact_at.get(kind, 0.0) for kind in self.followers), default=0.0)
        revisions = {kind: found.changed_revision for kind, found in self.followers.items()}
        if now - oldest <= relays.CONTACT_LIMIT_S:
            self.send_near(Beat(self.note(), now - oldest, revisions))

    def send_near(self, message: Beat | Update) -> None:
        """Send a message to every node of this data centre."""
        payload = relay_messages.ENCODER.encode(message)
        for member in relays.near_members(self.state):
            self.send(member.name, payload)

    def choose_mode(self, now: float) -> None:
        """Follow the store, or rely on the nodes that do."""
        following = relays.must_follow(self.state, now)
        if following == self.following:
            return
        self.following = following
        log("following" if following else "relying", members=len(self.state.members))
        for follower in self.followers.values():
            follower.set_enabled(following)

    def fill_gaps(self, now: float) -> None:
        """Ask another node for what it announced and did not arrive, and then the store as well."""
        for kind, follower in self.followers.items():
            known = follower.known_revision()
            source = relays.missing_source(self.state, kind, known, self.draw(), now)
            if source is None:
                continue
            log("update_missed", "warning", kind=kind, revision=follower.revision, source=source)
            self.send(source, relay_messages.ENCODER.encode(Fetch(self.note(), kind)))
            if not self.following and relays.was_asked_before(self.state, kind):
                follower.poll_once()

    def contact(self, kind: str, good: bool) -> None:
        """Note whether the store answered; when it did not, the others need not wait to hear it."""
        if good:
            self.contact_at[kind] = clock()
        elif self.following and self.contact_at.get(kind, 0.0) > 0.0:
            self.contact_at[kind] = 0.0
            self.send_near(Beat(self.note(), relays.NO_CONTACT_S, {}))

    def changed(self, kind: str, after: int, revision: int, changes: list[ObjectChange]) -> None:
        """Pass on changes that the store has told this node while it follows.

        Nodes that the store turns away depend on any that it serves, not only on the chosen one.
        """
        if self.following:
            notes = [change_note(change.item, change.deleted) for change in changes]
            self.send_near(Update(kind, after, revision, notes))

    def received(self, _identity: bytes, payload: bytes) -> None:
        """Handle one message."""
        self.handle(relay_messages.DECODER.decode(payload))

    @singledispatchmethod
    def handle(self, message: object) -> None:
        """Handle one message by its type."""
        raise TypeError(f"no handler for {type(message).__name__}")

    @handle.register
    def _(self, message: Hello) -> None:
        now = clock()
        self.hear(message.sender, now)
        same = message.roster_digest == self.digest()
        members = [
            MemberNote(found.name, found.address, found.data_centre, now - found.heard_at)
            for found in ([] if same else self.state.members.values())
        ]
        roster = Roster(self.note(), members, same)
        self.send(message.sender.name, relay_messages.ENCODER.encode(roster))

    @handle.register
    def _(self, message: Roster) -> None:
        now = clock()
        self.hear(message.sender, now)
        if message.same:
            relays.refresh(self.state, now)
        for found in message.members:
            if found.age_s < relays.MEMBER_LIMIT_S:
                self.hear(found, now)

    @handle.register
    def _(self, message: Beat) -> None:
        now = clock()
        self.hear(message.sender, now)
        relays.take_beat(
            self.state, message.sender.name, message.contact_age_s, message.revisions, now
        )

    @handle.register
    def _(self, message: Update) -> None:
        follower = self.followers.get(message.kind)
        if follower is None or not follower.revision:
            return
        if message.revision <= follower.revision or message.after > follower.revision:
            return
        changes = [ObjectChange(stored_object(note), note.deleted) for note in message.changes]
        follower.take_changes(message.revision, changes)
        self.deliver(message.kind, changes)

    @handle.register
    def _(self, message: Fetch) -> None:
        self.hear(message.sender, clock())
        follower = self.followers.get(message.kind)
        if follower is None or not follower.revision:
            return
        notes = [change_note(item, False) for item in follower.objects.values()]
        snapshot = Snapshot(message.kind, follower.revision, notes)
        self.send(message.sender.name, relay_messages.ENCODER.encode(snapshot))

    @handle.register
    def _(self, message: Snapshot) -> None:
        follower = self.followers.get(message.kind)
        if follower is None or message.revision <= follower.known_revision():
            return
        items = [stored_object(note) for note in message.objects]
        follower.take_all(message.revision, items)
        log("snapshot_taken", kind=message.kind, revision=message.revision, objects=len(items))
        self.deliver_all(message.kind, items)

    def hear(self, found: MemberNote, now: float) -> None:
        """Record a node."""
        member = relays.Member(found.name, found.address, found.data_centre, now - found.age_s)
        held = self.state.members.get(found.name)
        if held is not None and held.address != found.address:
            self.sockets.disconnect(found.name)
        if relays.hear_of(self.state, member):
            log("member_found", "debug", member=found.name, members=len(self.state.members))


def change_note(item: StoredObject, deleted: bool) -> ChangeNote:
    """Spell an object for another node."""
    return ChangeNote(item.name, item.revision, item.spec, item.status, deleted)


def stored_object(note: ChangeNote) -> StoredObject:
    """Read an object that another node sent."""
    return StoredObject(note.name, note.revision, note.spec, note.status)

"""Synchronise a directory with a store and pass its catalogues to the entry of this process."""

import math
from collections.abc import Callable
from typing import TYPE_CHECKING

from poplarlane.decisions.configuration.directory import (
    Configuration,
    Directory,
    InstanceRecord,
    target_name,
)
from poplarlane.decisions.customers.key_checks import is_confirmed
from poplarlane.decisions.membership.relay_fetches import confirmed_by_others_at
from poplarlane.decisions.membership.relays import (
    CONFIRMATION_TIMEOUT_S,
    LOST_AFTER_FAILURES,
    fleet_size,
    is_fleet_resized,
)
from poplarlane.decisions.requests.entry_events import CatalogueChanged, FleetDigestReceived
from poplarlane.error_text import error_text
from poplarlane.logs import log
from poplarlane.messages import EntryHello, EntryReport
from poplarlane.plumbing.entry_shell import EntryShell
from poplarlane.plumbing.object_follower import ObjectFollower
from poplarlane.plumbing.pauses import clock
from poplarlane.plumbing.unreadable_objects import UnreadableObjects
from poplarlane.relay_messages import FleetDigest
from poplarlane.start_timeline import Stage
from poplarlane.store_objects import ObjectChange, StoredObject, UnreadableObject, era_of

if TYPE_CHECKING:
    from poplarlane.plumbing.relay import Relay

EXPIRY_CHECK_INTERVAL_S = 0.25
# A node that is not serving by then asks other nodes, because the store may be unavailable.
RELAY_START_DELAY_S = 0.3
RELAY_RETRY_INTERVAL_S = 2.0
# Until then a new node does not know how many others there are.
FLEET_KNOWN_S = 2.0
# Heartbeats that other nodes sent while this process was suspended have arrived by then.
BACKLOG_S = 0.3


class Translation:
    """Functions that convert objects of the store to poplarlane's own types."""

    __slots__ = (
        "configuration_kind",
        "configuration_name",
        "configuration_of",
        "instance_of",
        "version_of",
        "evacuations_kind",
    )

    def __init__(
        self,
        configuration_kind: str,
        configuration_name: str,
        configuration_of: Callable[[StoredObject], Configuration | str],
        instance_of: Callable[[StoredObject], InstanceRecord | str | None],
        version_of: Callable[[StoredObject], int],
        evacuations_kind: str = "",
    ) -> None:
        self.configuration_kind = configuration_kind
        self.configuration_name = configuration_name
        self.configuration_of = configuration_of
        self.instance_of = instance_of
        self.version_of = version_of
        # Kind of the objects that are named after evacuated data centres.
        self.evacuations_kind = evacuations_kind


class DirectorySync:
    """Own the followers of a process; replaces an entry's link to an agent."""

    __slots__ = (
        "shell",
        "directory",
        "translation",
        "followers",
        "reachable",
        "failures",
        "listed_kinds",
        "fleet_entries",
        "relay",
        "make_relay",
        "seeds",
        "unconfirmed_kinds",
        "listed_at",
        "instances_era",
        "untranslatable",
        "evacuations_era",
        "required_listed_at",
        "heartbeats_count_from",
    )

    def __init__(
        self, shell: EntryShell, directory: Directory, translation: Translation, fleet_entries: int
    ) -> None:
        self.shell = shell
        self.directory = directory
        self.translation = translation
        self.followers: list[ObjectFollower] = []
        # Whether the store answers calls for each kind, and the last calls that failed in a row.
        self.reachable: dict[str, bool] = {}
        self.failures: dict[str, int] = {}
        self.listed_kinds: set[str] = set()
        self.fleet_entries = fleet_entries
        # Kinds not yet read from the store after a pause of this process.
        self.unconfirmed_kinds: set[str] = set()
        # Time at which all kinds had been listed for the first time; 0 before.
        self.listed_at = 0.0
        # The same for all kinds but evacuations.
        self.required_listed_at = 0.0
        # Era of the store from which the instances were last read; None before the first list.
        self.instances_era: int | None = None
        # Objects that were decoded but cannot be used, by kind.
        self.untranslatable: dict[str, UnreadableObjects] = {}
        # The same for evacuations.
        self.evacuations_era: int | None = None
        # Relay between nodes; None where every node follows the store itself.
        self.relay: Relay | None = None
        # Creates the relay, which a node needs only once it serves; None without a relay.
        self.make_relay: Callable[[], Relay] | None = None
        # Addresses of the nodes through which the relay finds the others.
        self.seeds: list[str] = []
        # Earlier heartbeats may have been sent long before they were received.
        self.heartbeats_count_from = 0.0

    def start(self) -> None:
        """Start all followers; the relay follows after a delay, or once the node serves."""
        for follower in self.followers:
            follower.start()
            follower.set_enabled(self.make_relay is None)
        self.shell.loop.call_later(RELAY_START_DELAY_S, self.start_relay)
        self.check_expired_targets()

    def start_relay(self) -> None:
        """Start the relay between nodes unless it is running."""
        if self.relay is not None or self.make_relay is None:
            return
        try:
            relay = self.make_relay()
            relay.start()
        except Exception as error:
            # Without the relay the node follows the store itself.
            log("relay_start_failed", "error", reason=error_text(error))
            for follower in self.followers:
                follower.set_enabled(True)
            self.shell.loop.call_later(RELAY_RETRY_INTERVAL_S, self.start_relay)
            return
        self.relay = relay
        self.shell.timeline.reach(Stage.EXCHANGE)

    def replace_seeds(self, seeds: list[str]) -> None:
        """Take other seeds into force, now or when the relay starts."""
        self.seeds = seeds
        if self.relay is not None:
            self.relay.replace_seeds(seeds)

    def digest_received(self, digest: FleetDigest) -> None:
        """Pass a digest of the fleet to the entry."""
        shell = self.shell
        if digest.nodes > 1:
            shell.timeline.reach(Stage.DIGEST)
        event = FleetDigestReceived(
            shell.now(),
            shell.random_value(),
            digest.sections,
            digest.age_s,
            digest.root,
            digest.nodes,
        )
        shell.feed(event)

    def notify_fleet(self) -> None:
        """Send what other nodes have to know at once."""
        if self.relay is not None and self.relay.fleet_exchange is not None:
            self.relay.fleet_exchange.notify()

    def close(self) -> None:
        """Stop the relay and all followers."""
        if self.relay is not None:
            self.relay.close()
        for follower in self.followers:
            follower.close()

    def send(self, message: EntryHello | EntryReport) -> None:
        """Poll the store when the entry has to confirm its view after a pause; ignore the rest."""
        if isinstance(message, EntryHello) and self.shell.state.unconfirmed_until:
            self.heartbeats_count_from = clock() + BACKLOG_S
            self.unconfirmed_kinds = {follower.kind for follower in self.followers}
            for follower in self.followers:
                follower.poll_once()

    def listed(self, kind: str, items: list[StoredObject]) -> None:
        """Process a complete list of a kind."""
        self.listed_kinds.add(kind)
        if len(self.listed_kinds) == len(self.followers):
            self.listed_at = self.listed_at or self.shell.now()
            self.shell.timeline.reach(Stage.LISTED)
        invalid = self.invalid_objects(kind)
        invalid.update([], invalid.by_name.keys() - {item.name for item in items})
        required = {found.kind for found in self.followers} - {self.translation.evacuations_kind}
        if required <= self.listed_kinds:
            self.required_listed_at = self.required_listed_at or self.shell.now()
        if kind == self.translation.evacuations_kind:
            self.replace_evacuations(items)
        elif kind == self.translation.configuration_kind:
            for item in items:
                self.update_configuration(item)
        else:
            self.observe_era(kind)
            found = [self.translation.instance_of(item) for item in items]
            usable = [record for record in found if isinstance(record, InstanceRecord)]
            reasons = zip(items, found, strict=True)
            invalid.replace(
                UnreadableObject(item.name, item.revision, reason)
                for item, reason in reasons
                if isinstance(reason, str)
            )
            self.directory.replace_instances(usable, self.shell.now())
            superseded = sum(
                record.sequence <= self.directory.superseded.get(target_name(record), -1)
                for record in usable
            )
            log("targets_listed", listed=len(items), usable=len(usable), superseded=superseded)
        self.publish()

    def relisted(self, kind: str, after: int, revision: int, changes: list[ObjectChange]) -> None:
        """Relay the changes found by a new list, so that no other node needs to list."""
        if self.relay is not None:
            self.relay.changed(kind, after, revision, changes)

    def changed(self, kind: str, after: int, revision: int, changes: list[ObjectChange]) -> None:
        """Relay and process changes from the store."""
        if self.relay is not None:
            self.relay.changed(kind, after, revision, changes)
        self.apply_changes(kind, changes)

    def apply_changes(self, kind: str, changes: list[ObjectChange]) -> None:
        """Process changes from the store or from another node."""
        if kind == self.translation.evacuations_kind:
            self.change_evacuations(changes)
            return
        if kind != self.translation.configuration_kind:
            self.observe_era(kind)
        has_changed = False
        for change in changes:
            if kind == self.translation.configuration_kind:
                if change.deleted:
                    self.record_translated(kind, change.item, None)
                else:
                    self.update_configuration(change.item)
                    has_changed = True
            else:
                has_changed |= self.update_instance(kind, change)
        if has_changed:
            self.publish()

    def replace_evacuations(self, items: list[StoredObject]) -> None:
        """Process a complete list of evacuations."""
        found = {item.name: item.revision for item in items}
        is_restored = self.observe_evacuations_era()
        self.directory.evacuations.replace(found, is_restored, self.shell.now())

    def change_evacuations(self, changes: list[ObjectChange]) -> None:
        """Process changes of evacuations."""
        is_restored = self.observe_evacuations_era()
        evacuations = self.directory.evacuations
        for change in changes:
            item = change.item
            log("evacuation_changed", data_centre=item.name, deleted=change.deleted)
            if change.deleted:
                evacuations.remove(item.name, is_restored, self.shell.now())
            else:
                evacuations.write(item.name, item.revision, is_restored)
        self.publish()

    def observe_evacuations_era(self) -> bool:
        """Return whether the store has come back from a copy since evacuations were last read."""
        era = self.era_held(self.translation.evacuations_kind)
        before = self.evacuations_era
        self.evacuations_era = max(era, before or 0)
        return before is not None and era > before

    def era_held(self, kind: str) -> int:
        """Return the era of the objects of a kind."""
        revisions = [found.revision for found in self.followers if found.kind == kind]
        return era_of(max(revisions, default=0))

    def observe_era(self, kind: str) -> None:
        """Prepare the directory for instances of a store that has come back from a copy."""
        era = self.era_held(kind)
        if self.instances_era is not None and era > self.instances_era:
            self.directory.mark_restored(self.shell.now())
        self.instances_era = max(era, self.instances_era or 0)

    def update_configuration(self, item: StoredObject) -> None:
        """Accept a newer configuration; an invalid one leaves the current one in force."""
        if item.name != self.translation.configuration_name:
            return
        found = self.translation.configuration_of(item)
        self.record_translated(self.translation.configuration_kind, item, found)
        if isinstance(found, str):
            return
        if not self.directory.update_configuration(found):
            log("configuration_stale", "debug", version=found.version, revision=item.revision)

    def record_translated(self, kind: str, item: StoredObject, found: object) -> None:
        """Record whether an object can be used; `found` is the reason as text if it cannot."""
        faults = []
        if isinstance(found, str):
            faults.append(UnreadableObject(item.name, item.revision, found))
        self.invalid_objects(kind).update(faults, [item.name])

    def invalid_objects(self, kind: str) -> UnreadableObjects:
        """Return the objects of a kind that were decoded but cannot be used."""
        return self.untranslatable.setdefault(kind, UnreadableObjects(kind))

    def unreadable_objects(self) -> list[UnreadableObjects]:
        """Return the objects that cannot be decoded or used, by kind and cause."""
        undecodable = [follower.unreadable for follower in self.followers]
        return undecodable + list(self.untranslatable.values())

    def update_instance(self, kind: str, change: ObjectChange) -> bool:
        """Process a change of one instance; return whether it affects routing.

        An unreadable object counts as deleted.
        """
        item = change.item
        found = None if change.deleted else self.translation.instance_of(item)
        self.record_translated(kind, item, found)
        if not isinstance(found, InstanceRecord):
            found = None
            self.directory.remove_instance(item.name, self.shell.now())
        elif not self.directory.update_instance(found, self.shell.now()):
            return False
        state = "gone" if found is None else "leaving" if found.leaving else "ready"
        log("instance_changed", instance=item.name, state=state, revision=item.revision)
        return True

    def store_call_finished(self, kind: str, succeeded: bool) -> None:
        """Record whether a call succeeded; targets may expire while the store is unreachable."""
        if succeeded and kind in self.unconfirmed_kinds:
            self.unconfirmed_kinds.discard(kind)
            if not self.unconfirmed_kinds:
                # The changes in this response are processed after this call, so publish later.
                self.shell.loop.call_soon(self.publish, True)
        if self.relay is not None:
            self.relay.store_call_finished(kind, succeeded)
        self.failures[kind] = 0 if succeeded else self.failures.get(kind, 0) + 1
        if 0 < self.failures[kind] < LOST_AFTER_FAILURES:
            return
        if succeeded:
            self.note_confirmation(kind)
        before = self.reachable.get(kind)
        self.reachable[kind] = succeeded
        if before is None or before == succeeded:
            return
        log("store_reached" if succeeded else "store_lost", "warning", kind=kind)
        if succeeded:
            self.directory.mark_reconnected(self.shell.now())
        else:
            self.directory.mark_disconnected()

    def confirmed(self, kind: str) -> None:
        """Publish a kind whose objects are known to be up to date."""
        log("kind_current", kind=kind)
        self.note_confirmation(kind)
        self.publish()

    def note_confirmation(self, kind: str) -> None:
        """Record that the store has confirmed the configuration by a call."""
        if kind == self.translation.configuration_kind:
            for follower in self.followers:
                if follower.kind == kind and follower.is_current:
                    self.confirm_as_of(follower.called_at)

    def confirm_as_of(self, at: float) -> None:
        """Pass to the entry when the configuration was confirmed; `at` counts suspensions."""
        state = self.shell.state
        confirmed_at = self.shell.now() - (clock() - at)
        if state.confirmed_at == math.inf or confirmed_at > state.confirmed_at:
            state.confirmed_at = confirmed_at

    def check_confirmation(self) -> None:
        """Take confirmations of other nodes, and count the nodes that may know of changes."""
        state, kind = self.shell.state, self.translation.configuration_kind
        if self.relay is None:
            # Until a node that has a relay hears of the others, it cannot tell what they know.
            state.reached_nodes_needed = 2 if self.make_relay is not None else 0
            return
        found = [follower for follower in self.followers if follower.kind == kind]
        if found and found[0].is_current:
            revision, version = found[0].known_revision(), found[0].newest_version()
            since = self.heartbeats_count_from
            relays = self.relay.state
            at = confirmed_by_others_at(relays, kind, revision, version, since, clock())
            self.confirm_as_of(at)
        nodes = len(self.relay.state.members) + 1
        if not is_confirmed(state, self.shell.now()):
            nodes = max(nodes, state.reached_nodes_needed)
        state.reached_nodes_needed = nodes

    def check_expired_targets(self) -> None:
        """Drop targets that did not return after an outage of the store."""
        self.shell.loop.call_later(EXPIRY_CHECK_INTERVAL_S, self.check_expired_targets)
        self.check_confirmation()
        self.note_fleet()
        has_expired = self.directory.purge_expired(self.shell.now())
        self.allow_without_evacuations()
        state = self.shell.state
        is_waiting = self.listed_at and not state.ready
        # A new node hears of the others after it began to serve with the least number of nodes.
        is_resized = state.ready and is_fleet_resized(state.fleet_entries, self.known_fleet())
        is_newly_known = (
            state.ready
            and self.is_fleet_known() != state.is_fleet_known
            and bool(self.directory.cold_services())
        )
        if has_expired or is_waiting or is_resized or is_newly_known:
            self.publish()

    def note_fleet(self) -> None:
        """Record in the timeline when other nodes are known."""
        timeline = self.shell.timeline
        if self.relay is not None and self.relay.state.members:
            timeline.reach(Stage.MEMBER)
            if self.is_fleet_known():
                timeline.reach(Stage.FLEET)

    def allow_without_evacuations(self) -> None:
        """Let a node serve whose evacuations cannot be read although all other kinds can."""
        since = self.required_listed_at
        if self.listed_at or not since or self.shell.now() - since <= CONFIRMATION_TIMEOUT_S:
            return
        log("evacuations_unknown", "error", waited_s=CONFIRMATION_TIMEOUT_S)
        self.listed_at = since

    def known_fleet(self) -> int:
        """Return the number of nodes, as far as this node knows."""
        if self.relay is None:
            return self.fleet_entries
        return fleet_size(self.relay.state, self.fleet_entries)

    def is_fleet_known(self) -> bool:
        """Return whether this node has had time to hear of the others, and has."""
        if self.make_relay is None:
            return True
        if self.relay is None or clock() - self.relay.state.started_at < FLEET_KNOWN_S:
            return False
        return bool(self.relay.state.members or self.relay.state.reported_fleet_size)

    def may_serve(self) -> bool:
        """Return whether all kinds are known to be current, or confirming that timed out."""
        if not self.listed_at:
            return False
        if all(follower.is_current for follower in self.followers):
            return True
        return self.shell.state.ready or self.shell.now() - self.listed_at > CONFIRMATION_TIMEOUT_S

    def publish(self, is_confirmed: bool = False) -> None:
        """Pass the catalogue to the entry once both kinds may be served."""
        catalogue = self.directory.catalogue()
        fleet = self.known_fleet()
        if catalogue is None or not self.may_serve():
            return
        shell = self.shell
        now, random_value = shell.now(), shell.random_value()
        is_first = not shell.state.ready
        is_known = self.is_fleet_known()
        shell.feed(CatalogueChanged(now, random_value, catalogue, fleet, is_confirmed, is_known))
        if is_first:
            shell.timeline.reach(Stage.READY)
            shell.loop.call_soon(self.start_relay)

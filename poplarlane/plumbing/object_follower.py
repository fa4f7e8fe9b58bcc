"""Mirror one kind of objects of a store: list it, then watch for changes.

Calls have a time-out, because a connection may go silent without a reset. After a failure the
follower resumes from the last revision; it lists again only if the store has dropped its history.
The first list may be stale, which is cheaper for the store; the objects then count as current once
the store, or a node that follows it, has confirmed that nothing newer is missing.
"""

import asyncio
import math
import random
from collections.abc import Callable, Iterable
from typing import TypeVar

import msgspec

from poplarlane.change_encoding import changes_between
from poplarlane.error_text import error_text
from poplarlane.logs import log
from poplarlane.plumbing.follower_interfaces import Listener, StoreApi
from poplarlane.plumbing.pauses import clock
from poplarlane.plumbing.platform_client import PlatformClient, PlatformResponse
from poplarlane.plumbing.unreadable_objects import UnreadableObjects
from poplarlane.store_objects import (
    ObjectChange,
    StoredObject,
    UnreadableObject,
    era_of,
)

T = TypeVar("T")
OK = 200
# Exponential backoff after failed calls, half of it random.
MIN_RETRY_PAUSE_S = 0.05
MAX_RETRY_PAUSE_S = 0.8
# Pages of one list; a store that times out may also be slow to list a whole kind.
MAX_PAGES = 1_000
POLL_WAIT_MS = 1
# A list of revision 0 cannot be continued by a watch. It is repeated at this interval.
EMPTY_LIST_PAUSE_S = 1.0


class ObjectFollower:
    """Keep a listener up to date with the objects of one kind."""

    __slots__ = (
        "client",
        "store_api",
        "kind",
        "listener",
        "wait_ms",
        "generator",
        "revision",
        "changed_revision",
        "objects",
        "failures",
        "task",
        "enabled",
        "following",
        "max_retry_pause_s",
        "allow_stale_list",
        "is_current",
        "is_urgent",
        "batch_delay_s",
        "era",
        "version_of",
        "unreadable",
        "called_at",
    )

    def __init__(
        self,
        client: PlatformClient,
        store_api: StoreApi,
        kind: str,
        listener: Listener,
        wait_ms: int,
        generator: random.Random,
        allow_stale_list: bool = False,
        batch_delay_s: float = 0.1,
    ) -> None:
        self.client = client
        self.store_api = store_api
        self.kind = kind
        self.listener = listener
        self.wait_ms = wait_ms
        self.generator = generator
        # Revision up to which all changes are known; 0 before the first list.
        self.revision = 0
        # Revision of the last list or of the last response with changes.
        self.changed_revision = 0
        # All objects of the kind as of `revision`, by name.
        self.objects: dict[str, StoredObject] = {}
        self.failures = 0
        self.task: asyncio.Task | None = None
        # Set while calls are to be made.
        self.enabled = asyncio.Event()
        # Whether to watch for changes after the list.
        self.following = False
        # Raises the upper limit of the backoff above MAX_RETRY_PAUSE_S.
        self.max_retry_pause_s = 0.0
        # Whether the next list may be stale; only the first one may.
        self.allow_stale_list = allow_stale_list
        # Whether the objects are known to be up to date.
        self.is_current = False
        # Whether other nodes wait for this node to reach the store.
        self.is_urgent = False
        # Delay after changes, so that the next response contains several.
        self.batch_delay_s = batch_delay_s
        # Era of the last response of the store; None before the first one that says it.
        self.era: int | None = None
        # Returns the version of an object, which its writer raises with each change, or 0. A store
        # that comes back from a copy cannot replace an object by an older version.
        self.version_of: Callable[[StoredObject], int] | None = None
        # Objects that could not be decoded when this node last read them from the store.
        self.unreadable = UnreadableObjects(kind)
        # When the last call was made, on the clock that counts suspensions. Its response may have
        # waited in the socket while this process was suspended.
        self.called_at = -math.inf

    def start(self) -> None:
        """List in the background; `set_enabled` decides whether a watch follows."""
        self.enabled.set()
        self.task = asyncio.get_running_loop().create_task(self.run())

    def set_enabled(self, following: bool) -> None:
        """Start or stop watching for changes; a call in progress is not cancelled."""
        self.is_urgent = following and not self.following
        self.following = following
        if following:
            self.enabled.set()

    def poll_once(self) -> None:
        """Poll once for changes."""
        self.enabled.set()

    def known_revision(self) -> int:
        """Return the newest known revision, even after the store has dropped its history."""
        return max(self.revision, self.changed_revision)

    def apply_changes(
        self,
        revision: int,
        changes: list[ObjectChange],
        unreadable: Iterable[UnreadableObject] = (),
    ) -> None:
        """Apply all changes up to a revision."""
        self.unreadable.update(unreadable, [change.item.name for change in changes])
        for change in changes:
            change.previous = self.objects.get(change.item.name)
            if self.is_newer(change.previous, None if change.deleted else change.item):
                continue
            if change.deleted:
                self.objects.pop(change.item.name, None)
            else:
                self.objects[change.item.name] = change.item
        self.revision = max(self.revision, revision)
        self.changed_revision = self.revision

    def replace_all(self, revision: int, items: list[StoredObject]) -> bool:
        """Replace all objects by those of a revision, unless newer ones are already known."""
        if revision < self.revision:
            return False
        objects = {item.name: item for item in items}
        self.unreadable.update([], objects)
        for name, held in self.objects.items():
            if self.is_newer(held, objects.get(name)):
                objects[name] = held
        self.objects = objects
        self.revision = self.changed_revision = revision
        return True

    def is_newer(self, held: StoredObject | None, found: StoredObject | None) -> bool:
        """Return whether a held object has a higher version than one that would replace it."""
        if held is None or self.version_of is None:
            return False
        return self.version_of(held) > (self.version_of(found) if found is not None else 0)

    def newest_version(self) -> int:
        """Return the highest version of the objects; 0 for a kind without versions."""
        if self.version_of is None:
            return 0
        return max((self.version_of(item) for item in self.objects.values()), default=0)

    def adopt_newer(self, items: list[StoredObject]) -> list[ObjectChange]:
        """Take the objects with higher versions than those held; return these changes."""
        changes = []
        for item in items:
            held = self.objects.get(item.name)
            if self.is_newer(item, held):
                self.objects[item.name] = item
                change = ObjectChange(item, False)
                change.previous = held
                changes.append(change)
        return changes

    def close(self) -> None:
        """Stop the follower."""
        if self.task is not None:
            self.task.cancel()

    async def run(self) -> None:
        """List, then watch, until cancelled."""
        while True:
            await self.enabled.wait()
            try:
                succeeded = await (self.watch() if self.revision else self.list_all())
            except Exception as error:
                # One undecodable object must not stop the follower.
                log("follower_failed", "error", kind=self.kind, reason=error_text(error))
                succeeded = False
            await self.note(succeeded)
            if succeeded and self.revision and not self.following:
                self.enabled.clear()

    async def note(self, succeeded: bool) -> None:
        """Record the result of a call, and back off after a failure."""
        if succeeded:
            self.failures = 0
            return
        longest_s = max(MAX_RETRY_PAUSE_S, self.max_retry_pause_s)
        pause_s = min(longest_s, MIN_RETRY_PAUSE_S * 2.0 ** min(self.failures, 10))
        self.failures += 1
        await asyncio.sleep(pause_s * self.generator.uniform(0.5, 1.0))

    async def list_all(self) -> bool:
        """List all pages; the watch starts from the revision of the first one."""
        items: list[StoredObject] = []
        unreadable: list[UnreadableObject] = []
        after = ""
        revision = 0
        allow_stale, self.allow_stale_list = self.allow_stale_list, False
        for _ in range(MAX_PAGES):
            path = self.store_api.list_path(self.kind, after, allow_stale)
            self.called_at = clock()
            response = await self.client.read("list", path)
            page = self.decoded(response, self.store_api.decode_page)
            if page is None:
                return False
            if revision and era_of(page.revision) != era_of(revision):
                # The store came back from a copy between two pages.
                return False
            revision = revision or page.revision
            items += page.items
            unreadable += page.unreadable
            if not page.has_more:
                break
            if page.last_name in ("", after):
                log("list_stuck", "error", kind=self.kind, after=after)
                return False
            after = page.last_name
        else:
            log("list_too_long", "error", kind=self.kind, pages=MAX_PAGES)
            return False
        self.unreadable.replace(unreadable)
        # Another node may have sent newer objects while the list was read.
        before, known = self.objects, self.changed_revision
        if self.replace_all(revision, items):
            if known:
                changes = changes_between(before, self.objects)
                self.listener.relisted(self.kind, known, revision, changes)
            self.listener.listed(self.kind, items)
        if not allow_stale:
            self.mark_current()
        if not revision:
            await asyncio.sleep(EMPTY_LIST_PAUSE_S)
        return True

    def mark_current(self) -> None:
        """Mark the objects as up to date, as confirmed by the store or another node."""
        if not self.is_current:
            self.is_current = True
            self.listener.confirmed(self.kind)

    async def watch(self) -> bool:
        """Make one watch call and process its changes."""
        # A short call gets missing changes soonest and shows after a failure if the store is up.
        may_wait = self.following and self.is_current and not self.failures and not self.is_urgent
        wait_ms = self.wait_ms if may_wait else POLL_WAIT_MS
        asked = self.revision
        path = self.store_api.watch_path(self.kind, asked, wait_ms)
        self.called_at = clock()
        response = await self.client.read("watch", path, wait_ms / 1000.0)
        if self.is_history_gone(response, asked):
            self.observe_era(response)
            log("history_gone", "warning", kind=self.kind, revision=asked)
            if self.revision == asked:
                # Otherwise another node has passed on a state to continue from.
                self.revision = 0
            return True
        found = self.decoded(response, self.store_api.decode_changes)
        if found is None:
            return False
        self.is_urgent = False
        changes, revision = found.changes, found.revision
        if era_of(self.revision) > era_of(revision):
            # Another node has passed on a state of a later era meanwhile.
            return True
        if not changes or revision <= self.revision:
            self.unreadable.update(found.unreadable, [])
            self.revision = max(self.revision, revision)
            self.mark_current()
            return True
        after = self.changed_revision
        self.apply_changes(revision, changes, found.unreadable)
        self.listener.changed(self.kind, after, revision, changes)
        self.mark_current()
        # Changes come in bursts; after the delay one response contains several of them.
        await asyncio.sleep(self.batch_delay_s)
        return True

    def is_history_gone(self, response: object, asked: int) -> bool:
        """Return whether a watch cannot continue from the revision it asked for.

        A store that came back from a copy answers 410 only while it has not passed that revision
        again; after that its answer misses what was written below it.
        """
        if not isinstance(response, PlatformResponse):
            return False
        if response.status == self.store_api.GONE_STATUS:
            return True
        return response.status == OK and self.response_era(response) > era_of(asked)

    def response_era(self, response: PlatformResponse) -> int:
        """Return the era of a response; one that does not say it continues the last one."""
        era = self.store_api.era_of(response.headers)
        return era if era is not None else self.era or 0

    def observe_era(self, response: object) -> None:
        """Log when the store has come back from an older copy of itself."""
        if not isinstance(response, PlatformResponse):
            return
        self.unreadable.log_era_fault(self.store_api.era_fault(response.headers))
        era = self.store_api.era_of(response.headers)
        if era is None or era == self.era:
            return
        if self.era is not None:
            fields = {"era": era, "previous": self.era, "revision": self.revision}
            log("store_restored", "warning", kind=self.kind, **fields)
        self.era = era

    def decoded(self, response: object, decode: Callable[[bytes, int], T]) -> T | None:
        """Decode a response and report whether the call succeeded; None if it did not."""
        reason = ""
        self.observe_era(response)
        if not isinstance(response, PlatformResponse):
            reason = response.reason
        elif response.status != OK:
            reason = f"status {response.status}"
        else:
            try:
                found = decode(response.body, self.response_era(response))
            except msgspec.MsgspecError as error:
                reason = f"undecodable response: {error}"
            else:
                self.listener.store_call_finished(self.kind, True)
                return found
        log("store_call_failed", "warning", kind=self.kind, reason=reason, row=self.failures + 1)
        self.listener.store_call_finished(self.kind, False)
        return None

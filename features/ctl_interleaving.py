"""Interleaved operators, readers and another tool on a fake platform, in virtual time."""

import asyncio
import base64
import json
import random
from dataclasses import dataclass

import msgspec

from features.ctl_world import SERVICE, service_document
from poplarlane.decisions.configuration import (
    configuration,
    edits,
)
from poplarlane.decisions.configuration.configuration import Accepted
from poplarlane.decisions.configuration.edits import content_of, value_at_path
from poplarlane.decisions.configuration.validation import check_service
from poplarlane.objects import (
    MAX_RECORDED_CHANGES,
    SERVICE_COPIES_KIND,
    SERVICES_KIND,
    SelectorObject,
)
from poplarlane.plumbing.ctl_client import (
    PlatformFailure,
    StoredValue,
    VersionConflict,
    Written,
)
from poplarlane.programs.ctl.change_outcomes import ChangeAccepted, FleetView
from poplarlane.programs.ctl.change_procedure import Change

TARGETS = 3
CHANGES_PER_OPERATOR = 7
READERS = 3
# How long a paused writer sleeps between two steps of its change.
PAUSE_S = (0.5, 3.0)


@dataclass(frozen=True, slots=True)
class Mix:
    """Say what a run consists of.

    `bad_object_share` is the chance that the other tool writes at each of its turns, and
    `pause_share` the chance that a writer sleeps for seconds around one of its calls.
    """

    operators: int = 4
    bad_object_share: float = 0.4
    pause_share: float = 0.0
    all_edits: bool = False
    timeout_s: float = 3.0


LABELS = Mix()
LABELS_ALONE = Mix(bad_object_share=0.0)
EVERYTHING = Mix(9, 0.4, 0.04, True, 8.0)
EVERYTHING_ALONE = Mix(9, 0.0, 0.04, True, 8.0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Run timers in order without waiting for them."""

    def __init__(self):
        super().__init__()
        self.virtual_s = 0.0

    def time(self):
        """Give the virtual time."""
        return self.virtual_s

    def _run_once(self):
        if not self._ready and self._scheduled:
            self.virtual_s = max(self.virtual_s, self._scheduled[0].when())
        super()._run_once()


class FakePlatform:
    """Keep every version, and lose, delay and refuse calls by seeded draws."""

    def __init__(self, generator):
        self.generator = generator
        self.version = 0
        # Per kind: (version, time, body, writer), oldest first.
        self.log = {SERVICES_KIND: [], SERVICE_COPIES_KIND: []}
        self.outage = False
        self.calm = False

    def now(self):
        return asyncio.get_running_loop().time()

    def put(self, kind, body, writer):
        """Write unconditionally."""
        self.version += 1
        self.log[kind].append((self.version, self.now(), body, writer))
        return self.version

    def show(self, record):
        """Give a version as the client decodes it."""
        version, _, body, _ = record
        try:
            msgspec.json.decode(body)
        except msgspec.DecodeError:
            return StoredValue(SERVICE, version, raw=base64.b64encode(body).decode())
        return StoredValue(SERVICE, version, msgspec.Raw(body))

    async def delay(self):
        """Take the time of half a call."""
        slow = self.generator.random() < 0.05
        await asyncio.sleep(self.generator.uniform(0.0005, 0.2 if slow else 0.005))

    async def read(self, kind, _name):
        """Read, sometimes from the past."""
        await self.delay()
        if self.outage:
            return PlatformFailure("outage", False)
        stale_s = 0.0
        if not self.calm and self.generator.random() < 0.3:
            stale_s = self.generator.uniform(0, 0.5)
        past = [record for record in self.log[kind] if record[1] <= self.now() - stale_s]
        await self.delay()
        return self.show(past[-1]) if past else StoredValue(SERVICE)

    async def write(self, kind, _name, body, version):
        """Write conditionally; a failed call may still be executed, even later."""
        await self.delay()
        if self.outage:
            return PlatformFailure("outage", False)
        fate = 1.0 if self.calm else self.generator.random()
        if fate < 0.05:
            return PlatformFailure("request lost", True)
        if fate < 0.10:
            later_s = self.generator.uniform(0, 0.4)
            asyncio.get_running_loop().call_later(later_s, self.execute, kind, body, version)
            return PlatformFailure("timed out", True)
        result = self.execute(kind, body, version)
        await self.delay()
        return PlatformFailure("answer lost", True) if fate < 0.20 else result

    def execute(self, kind, body, version):
        """Compare the version and write."""
        current = self.log[kind][-1]
        if current[0] != version:
            return VersionConflict(self.show(current))
        return Written(self.put(kind, body, "operator"))


class PausingClient:
    """Let the process of one operator sleep for seconds before or after a call."""

    def __init__(self, platform, share):
        self.platform = platform
        self.share = share

    async def sleep(self):
        """Sleep now and then, unless the faults are over."""
        if self.share and not self.platform.calm and self.platform.generator.random() < self.share:
            await asyncio.sleep(self.platform.generator.uniform(*PAUSE_S))

    async def read(self, kind, name):
        """Read; what was read may be old when the process goes on."""
        await self.sleep()
        value = await self.platform.read(kind, name)
        await self.sleep()
        return value

    async def write(self, kind, name, body, version):
        """Write; what was prepared may be old when it is sent."""
        await self.sleep()
        result = await self.platform.write(kind, name, body, version)
        await self.sleep()
        return result


class Reader:
    """Hold what an agent would hold."""

    def __init__(self):
        self.held = None

    def take(self, value):
        """Take a revision the way agents do."""
        checked = check_service(value.body(), SERVICE)
        if not isinstance(checked, list):
            outcome = configuration.accept(self.held, checked)
            if isinstance(outcome, Accepted):
                self.held = outcome.service


class InterleavedRun:
    """Run one seed."""

    def __init__(self, seed, mix):
        self.generator = random.Random(seed)
        self.mix = mix
        self.platform = FakePlatform(self.generator)
        self.readers = [Reader() for _ in range(READERS)]
        # Half of the runs have agents that can be asked.
        self.agents_answer = seed % 2 == 0
        self.changes = {}
        self.done = {}
        self.running = True

    async def ask_fleet(self, _service):
        """Answer for the readers."""
        held = [reader.held for reader in self.readers if reader.held]
        if not self.agents_answer or not held:
            return FleetView()
        newest = max(held, key=lambda service: service.revision)
        return FleetView(newest, newest.revision)

    async def run(self):
        """Run all parts, then one calm change, after which every reader must agree."""
        initial = json.dumps(service_document(TARGETS)).encode()
        for kind in (SERVICES_KIND, SERVICE_COPIES_KIND):
            self.platform.put(kind, initial, "initial")
        await asyncio.sleep(1.0)
        others = [asyncio.ensure_future(self.read(reader)) for reader in self.readers]
        others.append(asyncio.ensure_future(self.disturb()))
        await asyncio.gather(*(self.operate(number) for number in range(self.mix.operators)))
        self.running = False
        await asyncio.gather(*others)
        self.platform.outage = False
        self.platform.calm = True
        await asyncio.sleep(1.0)
        await self.change("last", edits.set_label("t1", "last", "one"), None)
        for reader in self.readers:
            reader.take(await self.platform.read(SERVICES_KIND, SERVICE))

    async def read(self, reader):
        """Read the object now and then."""
        while self.running:
            await asyncio.sleep(self.generator.uniform(0.005, 0.2))
            value = await self.platform.read(SERVICES_KIND, SERVICE)
            if isinstance(value, StoredValue) and value.version:
                reader.take(value)

    async def disturb(self):
        """Write bad objects, and begin and end outages."""
        while self.running:
            await asyncio.sleep(self.generator.uniform(0.05, 0.6))
            self.platform.outage = self.generator.random() < 0.2
            if self.generator.random() < self.mix.bad_object_share:
                self.platform.put(SERVICES_KIND, self.bad_object(), "tool")

    def bad_object(self):
        """Draw an object that no reader may apply in place of a newer one."""
        stored = self.platform.log[SERVICES_KIND]
        last, first = stored[-1][2], stored[0][2]
        kind = self.generator.choice(("cut", "field", "older"))
        if kind == "cut":
            return last[: len(last) // 2]
        if kind == "older":
            return first
        return json.dumps(json.loads(first) | {"colour": "red"}).encode()

    async def operate(self, number):
        """Make changes one after the other; some end halfway."""
        for step in range(CHANGES_PER_OPERATOR):
            edit = self.draw_edit(number, step)
            end_s = self.generator.uniform(0, 0.1) if self.generator.random() < 0.2 else None
            await self.change(f"o{number}-{step}", edit, end_s)

    def draw_edit(self, number, step):
        """Draw a label to set or, in the full mix, any other edit."""
        target = f"t{self.generator.randint(1, TARGETS)}"
        key = self.generator.choice(("shared", f"own{number}"))
        kind = self.generator.random() if self.mix.all_edits else 1.0
        if kind < 0.15:
            return edits.remove_label(target, key)
        if kind < 0.25:
            return edits.set_selector(key, SelectorObject(callers="", targets=f"shared=v{step}"))
        if kind < 0.3:
            return edits.remove_selector(key)
        if kind < 0.4:
            return self.draw_object(step)
        return edits.set_label(target, key, f"v{step}")

    def draw_object(self, step):
        """Draw a whole object, sometimes one that takes the service out of force."""
        stored = [check_service(record[2], SERVICE) for record in self.platform.log[SERVICES_KIND]]
        held = [service for service in stored if not isinstance(service, list)][-1]
        limits = msgspec.structs.replace(held.limits, queue_length=step)
        deleted = self.generator.random() < 0.3
        drawn = msgspec.structs.replace(held, limits=limits, deleted=deleted)
        return edits.apply_object(drawn, based_on=self.generator.choice((0, held.revision)))

    async def change(self, change_id, edit, end_s):
        """Run one change, ended after `end_s` if that is set."""
        change = Change(
            PausingClient(self.platform, self.mix.pause_share),
            SERVICE,
            edit,
            operator=change_id,
            change_id=change_id,
            at="",
            timeout_s=self.mix.timeout_s,
            generator=self.generator,
            ask_fleet=self.ask_fleet,
        )
        self.changes[change_id] = change
        try:
            async with asyncio.timeout(end_s):
                outcome = await change.run()
        except TimeoutError:
            return
        if isinstance(outcome, ChangeAccepted):
            self.done[change_id] = outcome

    def bad_objects(self):
        """Count the objects that the other tool wrote."""
        return sum(record[3] == "tool" for record in self.platform.log[SERVICES_KIND])

    def check_copies(self):
        """An accepted change stays, is there once, and the content follows from the history."""
        revision, ids = 0, []
        for _, _, body, _ in self.platform.log[SERVICE_COPIES_KIND]:
            held = check_service(body, SERVICE)
            assert held.revision >= revision, "the copy fell back"
            revision = held.revision
            ids += added_ids(ids, [change.change_id for change in held.changes])
        assert self.done.keys() <= set(ids), f"lost: {self.done.keys() - set(ids)}"
        assert "last" in self.done, "a calm change failed"
        replayed = check_service(self.platform.log[SERVICES_KIND][0][2], SERVICE)
        for change_id in ids:
            edit = self.changes[change_id].edit
            current, _ = value_at_path(edit.path, replayed)
            assert current == edit.expected, f"{change_id} replaced {current}"
            replayed = edits.apply_edit(edit, replayed, SERVICE)
        assert content_of(replayed) == content_of(held)

    def check_revisions(self):
        """No revision was written with two contents by operators."""
        contents = {}
        for _, _, body, writer in self.platform.log[SERVICES_KIND]:
            if writer == "operator":
                held = check_service(body, SERVICE)
                assert contents.setdefault(held.revision, held) == held, held.revision

    def check_gaps(self):
        """Without bad objects no change recovers: revisions have no gaps."""
        revisions = {
            json.loads(body)["revision"] for _, _, body, _ in self.platform.log[SERVICES_KIND]
        }
        expected = set(range(1, 1 + len(revisions)))
        assert revisions == expected, sorted(expected ^ revisions)

    def check_readers(self):
        """Every reader ends with the stored object."""
        final = check_service(self.platform.log[SERVICES_KIND][-1][2], SERVICE)
        for reader in self.readers:
            assert reader.held == final, (reader.held.revision, final.revision)


def added_ids(known, found):
    """Give the changes that a version of the copy adds to those known from earlier ones."""
    if not known:
        return found
    assert known[-1] in found, f"an accepted change was lost: {known[-1]}"
    kept = found.index(known[-1]) + 1
    assert found[:kept] == known[-kept:], (known, found)
    assert kept == len(known) or len(found) == MAX_RECORDED_CHANGES, (known, found)
    added = found[kept:]
    assert len({*known, *added}) == len(known) + len(added), f"applied twice: {added}"
    return added


def run_seed(seed, mix=LABELS):
    """Run one seed and return the run, to be checked."""
    run = InterleavedRun(seed, mix)
    loop = VirtualLoop()
    try:
        loop.run_until_complete(run.run())
    finally:
        loop.close()
    return run

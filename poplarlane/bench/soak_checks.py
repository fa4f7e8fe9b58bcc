"""Checks of a soak of the control work: what must be 0, worked out from what was recorded."""

from collections.abc import Iterable

from poplarlane.decisions.access.selectors import compile_access
from poplarlane.decisions.configuration import edits
from poplarlane.decisions.configuration.edits import Edit, content_of, value_at_path
from poplarlane.objects import MAX_RECORDED_CHANGES, ServiceObject

IN_FORCE_S = 4.0
# Between the arrival of a request at its target and the entry's choice, on a busy machine.
ARRIVAL_SLACK_S = 0.25


class Version:
    """Hold one valid object as it was stored; `written_at` is CLOCK_MONOTONIC."""

    __slots__ = ("service", "written_at")

    def __init__(self, service: ServiceObject, written_at: float) -> None:
        self.service = service
        self.written_at = written_at


class Served:
    """Hold one request that arrived at a target through the entry of a VM."""

    __slots__ = ("service", "vm", "target", "at", "request")

    def __init__(self, service: str, vm: str, target: str, at: float, request: str = "") -> None:
        self.service = service
        self.vm = vm
        self.target = target
        self.at = at
        self.request = request


class Record:
    """Hold what a soak saw.

    `taken` lists (service, revision) per process in the order of its log, `final` the revisions
    that each process holds at the end, and `down` the times per VM without a verified agent.
    """

    __slots__ = ("objects", "copies", "edits", "done", "taken", "final", "served", "down")

    def __init__(self) -> None:
        # By service, in the order of the writes.
        self.objects: dict[str, list[Version]] = {}
        self.copies: dict[str, list[Version]] = {}
        # By change id, bound to the value that each expected.
        self.edits: dict[str, Edit] = {}
        self.done: set[str] = set()
        self.taken: dict[str, list[tuple[str, int]]] = {}
        self.final: dict[str, dict[str, int]] = {}
        self.served: list[Served] = []
        self.down: dict[str, list[tuple[float, float]]] = {}


def count_all(record: Record) -> dict[str, int]:
    """Count everything that must not happen."""
    histories = [History(copies) for copies in record.copies.values()]
    accepted = {change_id for history in histories for change_id in history.ids}
    lost = record.done - accepted
    twice: set[str] = set()
    for history in histories:
        lost |= history.lost
        twice |= history.twice
    return {
        "went_back": sum(went_back(taken) for taken in record.taken.values()),
        "lost": len(lost) + sum(misses_content(record, name) for name in record.copies),
        "applied_twice": len(twice),
        "differing_at_end": len(differing(record)),
        "stale_answers": len(stale_answers(record)),
    }


def went_back(taken: Iterable[tuple[str, int]]) -> int:
    """Count the revisions of a process that are not above all that it took before."""
    highest: dict[str, int] = {}
    count = 0
    for service, revision in taken:
        count += revision <= highest.get(service, 0)
        highest[service] = max(revision, highest.get(service, 0))
    return count


class History:
    """Follow the accepted changes of one service through every version of its copy."""

    __slots__ = ("ids", "lost", "twice", "revisions")

    def __init__(self, copies: list[Version]) -> None:
        self.ids: list[str] = []
        self.lost: set[str] = set()
        self.twice: set[str] = set()
        self.revisions: dict[str, int] = {}
        for copy in copies:
            self.follow(copy.service)

    def follow(self, service: ServiceObject) -> None:
        """Take in one version; it may add changes, but drop only those beyond the recorded."""
        found = [change.change_id for change in service.changes]
        dropped = [known for known in self.ids[-MAX_RECORDED_CHANGES:] if known not in found]
        if len(found) < MAX_RECORDED_CHANGES:
            self.lost.update(dropped)
        elif dropped and self.ids[-1] not in found:
            self.lost.add(self.ids[-1])
        self.twice.update(name for name in found if found.count(name) > 1)
        for change in service.changes:
            known = self.revisions.setdefault(change.change_id, change.revision)
            if known != change.revision:
                self.twice.add(change.change_id)
        known_ids = set(self.revisions) & set(self.ids)
        self.ids += [name for name in found if name not in known_ids]


def misses_content(record: Record, name: str) -> int:
    """Tell whether the last copy differs from the first one with all accepted edits applied."""
    copies = record.copies[name]
    replayed = copies[0].service
    for change_id in History(copies).ids:
        edit = record.edits[change_id]
        if value_at_path(edit.path, replayed)[0] != edit.expected:
            return 1
        replayed = edits.apply_edit(edit, replayed, name)
    return int(content_of(replayed) != content_of(copies[-1].service))


def differing(record: Record) -> list[str]:
    """List the processes that do not hold the stored revisions at the end."""
    stored = {name: found[-1].service.revision for name, found in record.objects.items()}
    return [process for process, held in record.final.items() if held != stored]


class Configurations:
    """Answer which targets of one service an entry may still have used at some time."""

    __slots__ = ("revisions", "written_at", "accepted_at", "allowed")

    def __init__(self, objects: list[Version], copies: list[Version]) -> None:
        self.written_at: dict[int, float] = {}
        self.accepted_at: dict[int, float] = {}
        self.allowed: dict[int, frozenset[str]] = {}
        for version in [*objects, *copies]:
            revision = version.service.revision
            if revision not in self.allowed:
                self.allowed[revision] = compile_access(version.service).allowed({})
                self.written_at[revision] = version.written_at
        for version in copies:
            self.accepted_at.setdefault(version.service.revision, version.written_at)
        self.revisions = sorted(self.allowed, reverse=True)

    def usable(self, at: float, down: list[tuple[float, float]]) -> set[str]:
        """Unite the targets of the newest revision that had to be in force and of newer ones."""
        names: set[str] = set()
        for revision in self.revisions:
            if self.written_at[revision] > at:
                continue
            names |= self.allowed[revision]
            accepted_at = self.accepted_at.get(revision)
            if accepted_at is not None and due_at(accepted_at, down) < at - ARRIVAL_SLACK_S:
                break
        return names


def due_at(accepted_at: float, down: list[tuple[float, float]]) -> float:
    """Give the time from which on a revision must be in force at a VM.

    An entry whose agent is dead, paused or not verified keeps its view; the time counts from when
    the agent is verified again.
    """
    due = accepted_at + IN_FORCE_S
    for began, ended in sorted(down):
        if began < due and ended > accepted_at:
            due = max(due, ended + IN_FORCE_S)
    return due


def examples(record: Record) -> list[str]:
    """Describe what was found, a line each, for the reader of a failed run."""
    lines = [f"ends elsewhere: {name} holds {record.final[name]}" for name in differing(record)]
    for served in stale_answers(record):
        down = [
            (round(began - served.at, 2), round(ended - served.at, 2))
            for began, ended in record.down.get(served.vm, [])
        ]
        removed = [
            (version.service.revision, round(version.written_at - served.at, 2))
            for version in record.copies[served.service]
            if served.at - 20.0 < version.written_at < served.at
            and served.target not in compile_access(version.service).allowed({})
        ]
        lines.append(
            f"stale answer: {served.request} of {served.service} at {served.target}; accepted "
            f"without it (revision, s before): {removed}; agent down (s before): {down}"
        )
    return lines


def stale_answers(record: Record) -> list[Served]:
    """List the requests that reached a target which an accepted change had removed before."""
    configurations = {
        name: Configurations(record.objects[name], record.copies[name]) for name in record.objects
    }
    return [
        served
        for served in record.served
        if served.target
        not in configurations[served.service].usable(served.at, record.down.get(served.vm, []))
    ]

"""Evidence against requests, and the convictions that follow from it.

A conviction is a function of the evidence, which merges in any order and number of copies. Times
are on the entry's clock; messages carry ages.
"""

import itertools
import math
from collections.abc import Iterable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from poplarlane.decisions.requests.entry_state import Attempt

# Crashed targets from which a request is convicted.
CONVICTING_CRASHES = 2
# Crashes within EVIDENCE_S that convict a request although a target has answered it in between.
CERTAIN_CRASHES = 3
# Callers repeat within some 10 ms, and a request may wait in a queue for a few seconds before.
EVIDENCE_S = 10.0
FIRST_TERM_S = 30.0
# First term of requests that were beside each other at the crashes, or were answered in between:
# most of them are innocent. All wrong convictions in the seeded trial of
# features/quarantine.feature were of this kind.
DOUBTFUL_TERM_S = 2.0
MAX_TERM_S = 600.0
# A request that nobody sends again after its term is forgotten after this time.
REMEMBERED_S = 600.0
MAX_ITEMS = 256
MAX_CRASHES = 4
# A target needs about 3 s to start again; two reports closer than this are of the same crash.
SAME_CRASH_S = 1.0
# Ages differ by the time in transit, so answers closer than this are the same one.
SAME_ANSWER_S = 0.1


class Item:
    """Evidence about one request, and its conviction; `terms` is 0 while it is not convicted."""

    __slots__ = (
        "digest",
        "route",
        "crashes",
        "answered_at",
        "terms",
        "convicted_at",
        "trial_until",
        "is_shared",
        "is_enforced",
        "is_announced",
        "is_own",
    )

    def __init__(self, digest: bytes, route: str) -> None:
        self.digest = digest
        self.route = route
        # When targets crashed while they ran the request, by name of the target.
        self.crashes: dict[str, float] = {}
        # When a target last answered the request.
        self.answered_at = -math.inf
        self.terms = 0
        self.convicted_at = 0.0
        # End of the trial that this node was last allowed.
        self.trial_until = -math.inf
        # Whether the crashes convict another request as well.
        self.is_shared = False
        # Whether this node has ended its own copies of the request since the conviction.
        self.is_enforced = False
        # Whether the conviction has been logged, and its end has not.
        self.is_announced = False
        # Whether this node has seen one of the crashes itself.
        self.is_own = False

    def ends_at(self) -> float:
        """Return when the conviction expires."""
        term_s = FIRST_TERM_S * 2.0 ** (self.terms - 1)
        if self.terms == 1 and self.is_doubtful():
            term_s = DOUBTFUL_TERM_S
        return self.convicted_at + min(MAX_TERM_S, term_s)

    def is_doubtful(self) -> bool:
        """Return whether the crashes may well have been caused by another request."""
        return self.is_shared or len(self.fresh_crashes()) < CONVICTING_CRASHES

    def is_convicted(self, now: float) -> bool:
        """Return whether the request must not be sent."""
        return self.terms > 0 and now < self.ends_at()

    def is_on_trial(self, now: float) -> bool:
        """Return whether the conviction has expired, so that one attempt at a time may run."""
        return self.terms > 0 and now >= self.ends_at()

    def state(self, now: float) -> str:
        """Name the state of the request for operators."""
        if not self.terms:
            return "suspected"
        return "quarantined" if self.is_convicted(now) else "on_trial"

    def fresh_crashes(self) -> list[float]:
        """Return the times of the crashes since the last answer."""
        return [at for at in self.crashes.values() if at > self.answered_at]

    def newest_at(self) -> float:
        """Return the time of the latest evidence."""
        return max([self.answered_at, *self.crashes.values()])


class Suspicion:
    """A request whose connection ended at a target whose process is being checked."""

    __slots__ = ("digest", "attempt", "at")

    def __init__(self, digest: bytes, attempt: "Attempt", at: float) -> None:
        self.digest = digest
        self.attempt = attempt
        # When the connection ended; an answer after that may come before the result of the check.
        self.at = at


class Quarantine:
    """What a node knows about requests that crash targets; empty in normal operation."""

    __slots__ = (
        "enabled",
        "has_peers",
        "items",
        "changed",
        "is_urgent",
        "waiting",
        "asking",
        "suspicions",
        "unchecked",
    )

    def __init__(self) -> None:
        self.enabled = False
        # Whether trials are handed out by the root of the fleet.
        self.has_peers = False
        self.items: dict[bytes, Item] = {}
        # Digests of the items that the root of the fleet is not known to have.
        self.changed: set[bytes] = set()
        self.is_urgent = False
        # Requests that wait for a trial, by digest, and trials that the root has to be asked for.
        self.waiting: dict[bytes, list[int]] = {}
        self.asking: set[bytes] = set()
        # Requests that ran at a target whose process may be gone, by name of the target.
        self.suspicions: dict[str, list[Suspicion]] = {}
        # Requests that are not sent again before the checks end, by digest.
        self.unchecked: dict[bytes, list[int]] = {}

    def item(self, digest: bytes, route: str) -> Item:
        """Return the item of a request, made if there is none."""
        item = self.items.get(digest)
        if item is None:
            if len(self.items) >= MAX_ITEMS:
                self.drop(min(self.items.values(), key=importance).digest)
            item = self.items[digest] = Item(digest, route)
        return item

    def drop(self, digest: bytes) -> None:
        """Forget an item."""
        self.items.pop(digest, None)
        self.changed.discard(digest)

    def record_crash(self, digest: bytes, route: str, target: str, now: float) -> Item:
        """Record that a target crashed while it ran a request."""
        item = self.item(digest, route)
        item.is_own = True
        if add_crash(item, target, now):
            judge(item)
            self.note_change(digest, True)
        return item

    def record_answer(self, digest: bytes, now: float) -> None:
        """Record that a target answered a request, which shows that it survived the request."""
        item = self.items.get(digest)
        if item is None or item.is_convicted(now):
            return
        was_on_trial = item.is_on_trial(now)
        item.answered_at = max(item.answered_at, now)
        judge(item)
        self.note_change(digest, was_on_trial)

    def is_being_checked(self, digest: bytes) -> bool:
        """Return whether a target at which a request ran is being checked."""
        return any(
            found.digest == digest for listed in self.suspicions.values() for found in listed
        )

    def find_shared(self) -> None:
        """Mark the convicted requests that were beside each other at the same crashes."""
        first: dict[tuple[str, ...], Item] = {}
        for item in self.items.values():
            if item.terms:
                names = tuple(sorted(item.crashes))
                for pair in itertools.combinations(names, CONVICTING_CRASHES):
                    other = first.setdefault(pair, item)
                    if other is not item:
                        item.is_shared = other.is_shared = True

    def note_change(self, digest: bytes, is_urgent: bool) -> None:
        """Let the other nodes hear about an item."""
        self.changed.add(digest)
        self.is_urgent = self.is_urgent or is_urgent

    def take_expired(self, now: float) -> list[Item]:
        """Remove and return the items that are no longer of use."""
        for item in self.items.values():
            if not item.terms:
                forget_old_crashes(item, now)
        expired = [item for item in self.items.values() if is_over(item, now)]
        for item in expired:
            self.drop(item.digest)
        return expired


def importance(item: Item) -> tuple[bool, float]:
    """Order items by what they are worth keeping for: convictions first, then by time."""
    return item.terms > 0, item.newest_at()


def most_important(items: Iterable[Item]) -> list[Item]:
    """Sort items, the most important first."""
    return sorted(items, key=importance, reverse=True)


def is_over(item: Item, now: float) -> bool:
    """Return whether an item has no effect any more."""
    if item.terms:
        return now >= item.ends_at() + REMEMBERED_S
    return not item.crashes


def forget_old_crashes(item: Item, now: float) -> None:
    """Drop the crashes that are too old to convict a request."""
    old = [target for target, at in item.crashes.items() if now - at > EVIDENCE_S]
    for target in old:
        del item.crashes[target]


def add_crash(item: Item, target: str, at: float) -> bool:
    """Add a crash; return whether it was not known."""
    known_at = item.crashes.get(target)
    if known_at is not None and at - known_at <= SAME_CRASH_S:
        return False
    item.crashes[target] = at
    if len(item.crashes) > MAX_CRASHES:
        del item.crashes[min(item.crashes, key=lambda name: item.crashes[name])]
    return target in item.crashes


def judge(item: Item) -> None:
    """Convict or release a request by the evidence.

    An answer voids the crashes before it: the request was only running beside the one that caused
    them. Three crashes in a short time are voided only by the answer to a trial, because a request
    may crash only some targets.
    """
    newest = max(item.crashes.values(), default=-math.inf)
    recent = [at for at in item.crashes.values() if newest - at <= EVIDENCE_S]
    is_certain = len(recent) >= CERTAIN_CRASHES and item.answered_at < newest + DOUBTFUL_TERM_S
    if len(item.fresh_crashes()) < CONVICTING_CRASHES and not is_certain:
        item.terms = 0
        item.is_shared = False
        return
    if not item.terms or newest >= item.ends_at():
        item.terms += 1
        item.convicted_at = newest
        item.is_enforced = False


def merge(
    item: Item, crashes: dict[str, float], answered_at: float, terms: int, convicted_at: float
) -> bool:
    """Merge the evidence of another node; return whether it held something new."""
    added = [add_crash(item, target, at) for target, at in crashes.items()]
    is_new = any(added)
    if answered_at > item.answered_at + SAME_ANSWER_S:
        item.answered_at = answered_at
        is_new = True
    if terms > item.terms:
        item.terms, item.convicted_at = terms, convicted_at
        item.is_enforced = False
        is_new = True
    elif terms and terms == item.terms:
        # The time in transit makes a time later, never earlier.
        item.convicted_at = min(item.convicted_at, convicted_at)
    judge(item)
    return is_new


def holds_more(item: Item, crashes: dict[str, float], answered_at: float, terms: int) -> bool:
    """Return whether an item holds evidence that another node lacks."""
    missing = any(
        target not in crashes or at - crashes[target] > SAME_CRASH_S
        for target, at in item.crashes.items()
    )
    return missing or item.answered_at > answered_at + SAME_ANSWER_S or item.terms > terms

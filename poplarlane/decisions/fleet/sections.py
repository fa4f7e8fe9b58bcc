"""Sections of the fleet's reports and digests, and the state of a node that shares them."""

import math
from typing import Protocol

from poplarlane.decisions.effects import Effect

# A node without a digest for this long decides by itself, because quotas and levels shift by then.
DIGEST_TIMEOUT_S = 1.0


class Section(Protocol):
    """One kind of information that nodes combine into a statement about the whole fleet."""

    name: str

    def is_active(self) -> bool:
        """Return whether this node has to take part in the exchange for this section."""

    def is_urgent(self, now: float) -> bool:
        """Return whether a report or digest must not wait for the next interval."""

    def take_report(self, now: float) -> bytes | None:
        """Take what this node and its children have observed since the last call."""

    def merge_report(self, sender: str, payload: bytes, now: float) -> None:
        """Add the report of a child; raises msgspec.MsgspecError if it is malformed."""

    def member_lost(self, sender: str, now: float) -> None:
        """Record that a child that reported has fallen silent."""

    def make_digest(self, now: float) -> bytes | None:
        """Combine own observations and those of the children, at the root of the tree."""

    def adopt_digest(self, payload: bytes, age_s: float, now: float) -> list[Effect]:
        """Take a digest into force; raises msgspec.MsgspecError if it is malformed."""


class FleetState:
    """Sections of this node, and when it last received a digest, on the entry's clock."""

    __slots__ = ("sections", "digest_at", "nodes", "expects_others")

    def __init__(self) -> None:
        self.sections: dict[str, Section] = {}
        self.digest_at = -math.inf
        # Number of nodes that reported to the root, including itself; 0 before the first digest.
        self.nodes = 0
        # Whether the settings name other nodes, so that a node that knows none may be one of many.
        self.expects_others = False

    def add(self, section: Section) -> None:
        """Register a section under its name."""
        self.sections[section.name] = section

    def is_active(self) -> bool:
        """Return whether any section takes part in the exchange."""
        return any(section.is_active() for section in self.sections.values())

    def is_urgent(self, now: float) -> bool:
        """Return whether any section has something that must not wait."""
        return any(section.is_urgent(now) for section in self.sections.values())

    def is_isolated(self, now: float) -> bool:
        """Return whether this node has received no digest lately."""
        return now - self.digest_at > DIGEST_TIMEOUT_S

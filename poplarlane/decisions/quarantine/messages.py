"""Payloads of the section `quarantine` in reports and digests of the fleet; ages are in ms."""

from typing import Annotated

import msgspec

from poplarlane.decisions.quarantine.convictions import (
    MAX_CRASHES,
    MAX_ITEMS,
    Item,
    most_important,
)
from poplarlane.decisions.quarantine.fingerprints import DIGEST_BYTES

MAX_ITEMS_BYTES = 14_000
# The exchange drops sections above 16,384 bytes; the rest is for the frames of the lists.
MAX_PAYLOAD_BYTES = 16_200
MAX_ASKS = 32
MAX_AGE_MS = 3_600_000
NO_ANSWER = -1

AgeMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_AGE_MS)]
Digest = Annotated[bytes, msgspec.Meta(min_length=DIGEST_BYTES, max_length=DIGEST_BYTES)]
Text = Annotated[str, msgspec.Meta(max_length=256)]


class Evidence(msgspec.Struct, array_like=True):
    """What a node knows about one request."""

    digest: Digest
    crashes: Annotated[list[tuple[Text, AgeMs]], msgspec.Meta(max_length=MAX_CRASHES)]
    answered_ms: Annotated[int, msgspec.Meta(ge=NO_ANSWER, le=MAX_AGE_MS)]
    terms: Annotated[int, msgspec.Meta(ge=0, le=64)]
    convicted_ms: AgeMs
    route: Text


class Ask(msgspec.Struct, array_like=True):
    """A node that holds a request back and may run its trial."""

    digest: Digest
    node: Text


class Grant(msgspec.Struct, array_like=True):
    """The node that alone may run the trial of a request, for the time left."""

    digest: Digest
    node: Text
    left_ms: AgeMs


class Report(msgspec.Struct, array_like=True):
    """What a node and its children have observed since the last report."""

    evidence: Annotated[list[Evidence], msgspec.Meta(max_length=MAX_ITEMS)]
    asks: Annotated[list[Ask], msgspec.Meta(max_length=MAX_ASKS)]


class Verdicts(msgspec.Struct, array_like=True):
    """All evidence in force, and the trials that are allowed."""

    evidence: Annotated[list[Evidence], msgspec.Meta(max_length=MAX_ITEMS)]
    grants: Annotated[list[Grant], msgspec.Meta(max_length=MAX_ASKS)]


ENCODER = msgspec.msgpack.Encoder()
REPORTS = msgspec.msgpack.Decoder(Report)
VERDICTS = msgspec.msgpack.Decoder(Verdicts)


def age_ms(at: float, now: float) -> int:
    """Return the age of an instant, within what a message may hold."""
    return max(0, min(MAX_AGE_MS, round((now - at) * 1000.0)))


def evidence_of(item: Item, now: float) -> Evidence:
    """Describe an item for other nodes."""
    is_answered = now - item.answered_at < MAX_AGE_MS / 1000.0
    return Evidence(
        item.digest,
        [(target[:256], age_ms(at, now)) for target, at in item.crashes.items()],
        age_ms(item.answered_at, now) if is_answered else NO_ANSWER,
        item.terms,
        age_ms(item.convicted_at, now) if item.terms else 0,
        item.route[:256],
    )


def limited_evidence(
    items: list[Item], others: list[Ask] | list[Grant], now: float
) -> list[Evidence]:
    """Describe the most important items that a message has room for beside asks or grants."""
    found, size = [], 0
    room = min(MAX_ITEMS_BYTES, MAX_PAYLOAD_BYTES - len(ENCODER.encode(others)))
    for item in most_important(items):
        evidence = evidence_of(item, now)
        size += len(ENCODER.encode(evidence))
        if size > room or len(found) >= MAX_ITEMS:
            break
        found.append(evidence)
    return found

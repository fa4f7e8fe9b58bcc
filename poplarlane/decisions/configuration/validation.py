"""Validation of stored configuration objects: every fault, each with its field and reason."""

import json
from dataclasses import dataclass
from typing import Any

import msgspec

from poplarlane.decisions.configuration import content
from poplarlane.decisions.configuration.shape import check_shape
from poplarlane.objects import MAX_VALUE_BYTES, SERVICE_DECODER, SERVICES_KIND, ServiceObject

WHOLE_OBJECT = "(object)"
# A malicious object could hold one fault per byte; more than this does not help an operator.
MAX_FAULTS = 100


@dataclass(frozen=True, slots=True)
class ObjectFault:
    """A fault in one field of a stored object."""

    object_name: str
    field: str
    reason: str

    def __str__(self) -> str:
        return f"{self.object_name}: {self.field}: {self.reason}"


class DuplicateKeyError(ValueError):
    """A JSON object contains a key twice."""


def check_service(
    body: bytes, name: str, kind: str = SERVICES_KIND
) -> ServiceObject | list[ObjectFault]:
    """Decode and check a stored service object; return it or all its faults."""
    decoded = decode_service(body, name)
    if isinstance(decoded, ServiceObject):
        faults = content.service_faults(decoded, name)
        if not faults:
            return decoded
    else:
        faults = decoded
    object_name = f"{kind}/{name}"
    return [ObjectFault(object_name, field, reason) for field, reason in faults[:MAX_FAULTS]]


def decode_service(body: bytes, name: str) -> ServiceObject | list[tuple[str, str]]:
    """Decode a service; the faults are pairs of field and reason."""
    if len(body) > MAX_VALUE_BYTES:
        return [(WHOLE_OBJECT, f"has {len(body)} bytes; at most {MAX_VALUE_BYTES} are accepted")]
    try:
        document = json.loads(
            body.decode("utf-8"),
            object_pairs_hook=reject_duplicate_keys,
            parse_constant=reject_constant,
        )
    except DuplicateKeyError as error:
        return [(WHOLE_OBJECT, str(error))]
    except (ValueError, RecursionError) as error:
        return [(WHOLE_OBJECT, f"is not JSON: {error}")]
    try:
        return SERVICE_DECODER.decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
        # The decoder reports only the first fault; check_shape finds all of them.
        faults = check_shape(document, ServiceObject) or [(WHOLE_OBJECT, str(error))]
    if isinstance(document, dict) and document.get("service", name) != name:
        faults.append(("service", content.name_mismatch(document["service"], name)))
    return faults


def reject_duplicate_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Build a JSON object; raise for a repeated key, because one of its values would be lost."""
    document = dict(pairs)
    if len(document) < len(pairs):
        seen: set[str] = set()
        for key, _ in pairs:
            if key in seen:
                raise DuplicateKeyError(f"key {key!r} occurs twice in one JSON object")
            seen.add(key)
    return document


def reject_constant(text: str) -> None:
    """Reject NaN and infinities, which are not JSON."""
    raise ValueError(f"{text} is not a JSON number")

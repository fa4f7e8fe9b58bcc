"""Labels of callers and targets: syntax of keys, values and label lists."""

import re
from dataclasses import dataclass

MAX_PART_CHARACTERS = 63
MAX_PREFIX_CHARACTERS = 253
MAX_LABELS = 64
PART_PATTERN = re.compile(r"[A-Za-z0-9]([A-Za-z0-9_.-]*[A-Za-z0-9])?\Z")
PREFIX_PATTERN = re.compile(r"[a-z0-9]([a-z0-9-]*[a-z0-9])?(\.[a-z0-9]([a-z0-9-]*[a-z0-9])?)*\Z")
PART_RULE = "letters, digits, '-', '_' and '.', with a letter or digit first and last"


@dataclass(frozen=True, slots=True)
class InvalidLabels:
    """A syntax error in a label list; `position` counts characters from 1."""

    text: str
    position: int
    reason: str


def key_fault(key: str) -> str | None:
    """Return the fault of a label key; None means that it is valid."""
    prefix, slash, name = key.rpartition("/")
    if slash and (len(prefix) > MAX_PREFIX_CHARACTERS or not PREFIX_PATTERN.match(prefix)):
        return f"key prefix {prefix!r} is not a lowercase DNS name of at most 253 characters"
    if not name:
        return "key is empty"
    return part_fault("key", name)


def value_fault(value: str) -> str | None:
    """Return the fault of a label value, None if it is valid; an empty value is valid."""
    return part_fault("value", value) if value else None


def part_fault(what: str, text: str) -> str | None:
    """Check length and characters of a key's name or of a value."""
    if len(text) > MAX_PART_CHARACTERS:
        return f"{what} {text!r} has {len(text)} characters; at most {MAX_PART_CHARACTERS} allowed"
    if not PART_PATTERN.match(text):
        return f"{what} {text!r} is not made of {PART_RULE}"
    return None


def parse_labels(text: str) -> dict[str, str] | InvalidLabels:
    """Parse `kind=kiosk,site=brasov`, the form of the header `x-caller-labels`."""
    labels: dict[str, str] = {}
    if not text.strip():
        return labels
    position = 1
    for pair in text.split(","):
        key, equals, value = pair.partition("=")
        key, value = key.strip(), value.strip()
        fault = key_fault(key) or value_fault(value)
        if not equals:
            fault = f"expected key=value, found {pair.strip()!r}"
        elif key in labels:
            fault = f"key {key!r} occurs twice"
        elif len(labels) == MAX_LABELS:
            fault = f"more than {MAX_LABELS} labels"
        if fault:
            return InvalidLabels(text, position, fault)
        labels[key] = value
        position += len(pair) + 1
    return labels

"""What a check of a configuration found."""

from dataclasses import dataclass
from enum import StrEnum


class Severity(StrEnum):
    """Severities of findings; notes need no action."""

    ERROR = "error"
    WARNING = "warning"
    NOTE = "note"


@dataclass(frozen=True, slots=True)
class Finding:
    """One finding; `path` is the JSON path of the field, empty for the whole document."""

    severity: Severity
    path: str
    text: str


def error(path: str, text: str) -> Finding:
    """Return a finding that makes the configuration unusable."""
    return Finding(Severity.ERROR, path, text)


def warning(path: str, text: str) -> Finding:
    """Return a finding about something that is probably not intended."""
    return Finding(Severity.WARNING, path, text)


def note(path: str, text: str) -> Finding:
    """Return a finding that needs no action."""
    return Finding(Severity.NOTE, path, text)

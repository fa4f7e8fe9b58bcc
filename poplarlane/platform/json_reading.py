"""Decoding of a JSON file with names that are given twice in one object."""

import json
from collections.abc import Callable, Iterator
from typing import Any

# The bound of messages between nodes (plumbing/peer_sockets.py), which carry the configuration.
MAX_FILE_BYTES = 4_000_000


class Members(dict):
    """A JSON object; `repeated` lists the names that it gives more than once."""

    __slots__ = ("repeated",)

    def __init__(self, pairs: list[tuple[str, Any]]) -> None:
        super().__init__(pairs)
        self.repeated: list[str] = []
        if len(self) < len(pairs):
            seen: set[str] = set()
            for name, _ in pairs:
                if name in seen:
                    self.repeated.append(name)
                seen.add(name)


class UnreadableFile(Exception):
    """A file or a text that is no JSON document; the message never quotes its content."""


def read_file(path: str) -> Any:
    """Read and decode a file; raises UnreadableFile."""
    try:
        with open(path, "rb") as file:
            body = file.read(MAX_FILE_BYTES + 1)
    except (OSError, ValueError) as error:
        reason = error.strerror if isinstance(error, OSError) else error
        raise UnreadableFile(f"file {path!r}: {reason}") from error
    if len(body) > MAX_FILE_BYTES:
        raise UnreadableFile(f"file {path!r}: larger than {MAX_FILE_BYTES} bytes")
    try:
        return decode(body)
    except UnreadableFile as error:
        raise UnreadableFile(f"file {path!r}: {error}") from error


def decode(body: bytes) -> Any:
    """Decode a JSON document; raises UnreadableFile."""
    try:
        text = body.decode()
        return json.loads(text, object_pairs_hook=Members, parse_constant=refuse_constant)
    except UnicodeDecodeError as error:
        raise UnreadableFile(f"not UTF-8 at byte {error.start}") from error
    except json.JSONDecodeError as error:
        reason = f"not JSON at line {error.lineno}, column {error.colno}"
        raise UnreadableFile(reason) from error
    except RecursionError as error:
        raise UnreadableFile("nested too deeply") from error
    except ValueError as error:
        # The text of the error may quote the number.
        raise UnreadableFile("a number that cannot be read") from error


def refuse_constant(_text: str) -> None:
    """Refuse NaN and infinities, which JSON does not have."""
    raise ValueError


def nested_values(value: Any, shown_name: Callable[[str], str]) -> Iterator[tuple[str, Any]]:
    """Yield a value and all values inside it, with their JSON paths, without recursion."""
    waiting = [("", value)]
    while waiting:
        path, value = waiting.pop()
        yield path, value
        if isinstance(value, dict):
            waiting += [
                (member_path(path, shown_name(name)), inner) for name, inner in value.items()
            ]
        elif isinstance(value, list):
            waiting += [(f"{path}[{index}]", inner) for index, inner in enumerate(value)]


def is_nested_deeper(value: Any, levels: int) -> bool:
    """Return whether values stand inside each other on more than some levels."""
    waiting = [value]
    for _ in range(levels):
        inner: list[Any] = []
        for found in waiting:
            if isinstance(found, dict):
                inner += found.values()
            elif isinstance(found, list):
                inner += found
        if not inner:
            return False
        waiting = inner
    return True


def member_path(path: str, name: str) -> str:
    """Return the JSON path of a member of an object."""
    return f"{path}.{name}" if path else name

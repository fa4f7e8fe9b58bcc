"""Structured logging: eliot messages written as one key=value line per event.

A process with a short start-up budget may load eliot later; until then its lines are written
directly, in the same format.
"""

import json
import re
import sys
import time
from datetime import UTC, datetime
from typing import Any, TextIO

LEVELS = ("debug", "info", "warning", "error")
PLAIN_VALUE = re.compile(r"[A-Za-z0-9_.,:/@%+*()\[\]{}<>=-]+\Z")
# Index in LEVELS of the lowest level that is written; messages below it are not built.
lowest_level = 0
# Receives messages until eliot is loaded; early_fields are added to each of them.
early_destination: "KeyValueDestination | None" = None
early_fields: dict[str, str] = {}
ELIOT_FIELDS = frozenset({"task_uuid", "task_level", "timestamp", "message_type"})


class KeyValueDestination:
    """Write each eliot message as one key=value line; drop those below `level`."""

    __slots__ = ("stream", "minimum")

    def __init__(self, stream: TextIO, level: str) -> None:
        self.stream = stream
        self.minimum = LEVELS.index(level)

    def __call__(self, message: dict[str, Any]) -> None:
        if LEVELS.index(message.get("level", "info")) < self.minimum:
            return
        self.stream.write(format_line(message) + "\n")
        self.stream.flush()


def format_value(value: Any) -> str:
    """Format a value; text with characters outside PLAIN_VALUE is quoted as JSON."""
    if isinstance(value, float):
        return f"{value:.6g}"
    text = value if isinstance(value, str) else str(value)
    return text if PLAIN_VALUE.match(text) else json.dumps(text)


def format_line(message: dict[str, Any]) -> str:
    """Format an eliot message as `time=... level=... event=... key=value ...`."""
    at = datetime.fromtimestamp(message["timestamp"], UTC).isoformat(timespec="milliseconds")
    pairs = [f"time={at}", f"level={message.get('level', 'info')}"]
    pairs.append(f"event={message.get('message_type', 'message')}")
    pairs.extend(
        f"{key}={format_value(value)}"
        for key, value in message.items()
        if key not in ELIOT_FIELDS and key != "level"
    )
    return " ".join(pairs)


def start_logging(level: str, stream: TextIO = sys.stderr, **fields: str) -> None:
    """Send eliot messages to a stream; `fields` are added to every line."""
    start_logging_early(level, stream, **fields)
    load_eliot()


def start_logging_early(level: str, stream: TextIO, **fields: str) -> None:
    """Write log lines to a stream without eliot until `load_eliot` is called."""
    global lowest_level, early_destination
    lowest_level = LEVELS.index(level)
    early_fields.update(fields)
    early_destination = KeyValueDestination(stream, level)


def load_eliot() -> None:
    """Load eliot and log through it from now on."""
    global early_destination
    if early_destination is None:
        return
    import eliot

    eliot.add_global_fields(**early_fields)
    eliot.add_destinations(early_destination)
    early_destination = None


def log(event: str, level: str = "info", **fields: Any) -> None:
    if LEVELS.index(level) < lowest_level:
        return
    if early_destination is not None:
        head = {"timestamp": time.time(), "message_type": event, "level": level}
        early_destination({**head, **fields, **early_fields})
        return
    import eliot

    eliot.log_message(message_type=event, level=level, **fields)

"""Start, watch and end the real processes of a test or an experiment."""

import json
import os
import re
import shlex
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from datetime import datetime
from pathlib import Path
from typing import Any

EVENT_TIMEOUT_S = 15.0
MAX_KEPT_LINES = 20_000
QUOTING = re.compile(r"[\"'\\]")


class LogLine:
    """Hold one parsed key=value line."""

    __slots__ = ("text", "fields")

    def __init__(self, text: str) -> None:
        self.text = text
        self.fields = parse_fields(text)

    def logged_at(self) -> float:
        """Give the wall-clock time at which the line was written."""
        return datetime.fromisoformat(self.fields["time"]).timestamp()


def parse_fields(text: str) -> dict[str, str]:
    """Parse key=value pairs; values may be quoted.

    Lines without quotes take the fast way: a reader slower than a process that logs a burst would
    block it on a full pipe.
    """
    try:
        words = shlex.split(text) if QUOTING.search(text) else text.split()
    except ValueError:
        words = text.split()
    return dict(word.split("=", 1) for word in words if "=" in word)


class Process:
    """Run one daemon and collect its log lines."""

    __slots__ = ("name", "popen", "lines", "condition", "reader")

    def __init__(self, name: str, command: list[str]) -> None:
        self.name = name
        self.lines: list[LogLine] = []
        self.condition = threading.Condition()
        self.popen = subprocess.Popen(
            command, stdin=subprocess.DEVNULL, stdout=subprocess.PIPE, stderr=subprocess.STDOUT
        )
        self.reader = threading.Thread(target=self.read_lines, daemon=True)
        self.reader.start()

    def read_lines(self) -> None:
        """Collect output until the process closes it."""
        for raw in self.popen.stdout:
            line = LogLine(raw.decode("utf-8", "replace").rstrip("\n"))
            with self.condition:
                if len(self.lines) < MAX_KEPT_LINES:
                    self.lines.append(line)
                self.condition.notify_all()
        with self.condition:
            self.condition.notify_all()

    def wait_for(
        self, event: str, timeout_s: float = EVENT_TIMEOUT_S, start: int = 0, **fields: str
    ) -> LogLine:
        """Wait for a log event with the given fields, from line `start` on."""
        wanted = {"event": event, **fields}
        return self.wait_until(
            lambda line: wanted.items() <= line.fields.items(), timeout_s, start, str(wanted)
        )

    def wait_until(
        self,
        matches: Callable[[LogLine], bool],
        timeout_s: float = EVENT_TIMEOUT_S,
        start: int = 0,
        wanted: str = "that matches",
    ) -> LogLine:
        """Wait for a line that matches, from line `start` on."""
        deadline = time.monotonic() + timeout_s
        position = start
        with self.condition:
            while True:
                while position < len(self.lines):
                    line = self.lines[position]
                    position += 1
                    if matches(line):
                        return line
                left = deadline - time.monotonic()
                if left <= 0 or not self.reader.is_alive():
                    tail = "\n".join(line.text for line in self.lines[-15:])
                    raise TimeoutError(f"{self.name}: no event {wanted} in time; log:\n{tail}")
                self.condition.wait(left)

    def signal(self, number: int) -> None:
        """Send a signal to this process."""
        self.popen.send_signal(number)

    def terminate(self) -> None:
        """Ask for a graceful stop."""
        self.signal(signal.SIGTERM)

    def kill(self) -> None:
        """End the process at once and reap it."""
        if self.popen.poll() is None:
            self.popen.kill()
        self.popen.wait()

    def pause(self) -> None:
        """Stop the process with SIGSTOP."""
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue a paused process."""
        self.signal(signal.SIGCONT)

    def exit_status(self, timeout_s: float = EVENT_TIMEOUT_S) -> int:
        """Wait for the exit status."""
        return self.popen.wait(timeout_s)


class Launcher:
    """Start daemons from settings; end all of them on close.

    Each launcher has its own loopback addresses 127.A.B.N, so that runs side by side do not meet.
    """

    __slots__ = ("directory", "network", "processes", "used_hosts")

    def __init__(self) -> None:
        self.directory = tempfile.TemporaryDirectory(prefix="poplarlane-")
        number = os.getpid() % 64_000 + 256
        self.network = f"127.{number >> 8}.{number & 0xFF}"
        self.processes: dict[str, Process] = {}
        self.used_hosts = 0

    def __enter__(self) -> "Launcher":
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def new_host(self) -> str:
        """Give the next loopback address of this launcher."""
        self.used_hosts += 1
        return f"{self.network}.{self.used_hosts}"

    def settings_path(self, name: str, settings: dict[str, Any]) -> str:
        """Write a settings file and return its path."""
        path = Path(self.directory.name) / f"{name}.json"
        path.write_text(json.dumps(settings, indent=1))
        return str(path)

    def start(
        self, binary: str, settings: dict[str, Any], ready_event: str | None = "ready"
    ) -> Process:
        """Start a daemon and wait until it logs `ready_event`; None does not wait."""
        name = settings["name"]
        path = self.settings_path(name, settings)
        process = Process(name, [binary_path(binary), "--settings", path])
        self.processes[name] = process
        if ready_event is not None:
            process.wait_for(ready_event)
        return process

    def close(self) -> None:
        """End every started process that still runs."""
        for process in self.processes.values():
            process.kill()
        self.directory.cleanup()


def binary_path(name: str) -> str:
    """Find an installed binary beside the running interpreter."""
    return str(Path(sys.executable).parent / name)

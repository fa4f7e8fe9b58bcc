"""The check command: faults of a configuration, before it is sent."""

import asyncio
import sys
import time
from collections import Counter
from enum import IntEnum
from typing import Any

import msgspec
from cleo.exceptions import CleoError
from cleo.helpers import argument, option
from cleo.io.io import IO

from poplarlane.decisions.configuration.checks.contradictions import Capacity, check_limits
from poplarlane.decisions.configuration.checks.differences import check_differences
from poplarlane.decisions.configuration.checks.findings import Finding, Severity, note
from poplarlane.decisions.configuration.checks.reach import check_reach
from poplarlane.decisions.configuration.checks.validity import check_validity
from poplarlane.number_grammar import decimal_number
from poplarlane.platform.configuration_check import (
    CheckedDocument,
    hide_key_names,
    read_configuration,
)
from poplarlane.platform.configuration_in_force import (
    Found,
    NextPage,
    NotFound,
    find_in_page,
    page_path,
)
from poplarlane.platform.json_reading import UnreadableFile, read_file
from poplarlane.plumbing.http_call import CallFailure, call
from poplarlane.programs.ctl.command import CtlCommand, UsageError
from poplarlane.programs.ctl.quarantine_command import parsed as parsed_address

STORE_TIMEOUT_S = 3.0
MAX_SLOTS = 10_000_000
MAX_SERVICE_TIME_MS = 3_600_000.0


class CheckStatus(IntEnum):
    """Exit statuses of the command, which differ from those of the others."""

    CLEAN = 0
    WARNINGS = 1
    ERRORS = 2
    UNUSABLE = 3


class CheckCommand(CtlCommand):
    """Check a configuration, and compare it with the version in force."""

    name = "check"
    description = "Check a configuration before it is sent"
    arguments = [argument("file", "JSON file with the configuration")]
    options = [
        option("against", None, "File with the version in force", flag=False),
        option("store", None, "Read the version in force from the store, HOST:PORT", flag=False),
        option("slots", None, "Slots of all targets together", flag=False),
        option("service-time-ms", None, "Mean service time of a request", flag=False),
        option("json", None, "Print the findings as JSON"),
    ]

    def run(self, io: IO) -> int:
        """Run the command; a wrong command line and an internal error do not count as findings."""
        try:
            return super().run(io)
        except CleoError as error:
            return unusable(" ".join(str(error).split()), False)
        except KeyboardInterrupt:
            return unusable("interrupted", False)
        except Exception as error:
            # The text of the exception might hold a key.
            return unusable(f"internal error: {type(error).__name__}", False)

    def handle(self) -> int:
        """Print the findings and return the exit status."""
        as_json = self.option("json")
        # Names in a document may hold characters that the terminal cannot show.
        sys.stdout.reconfigure(errors="backslashreplace")
        try:
            findings = self.findings()
        except (UsageError, UnreadableFile) as error:
            return unusable(str(error), as_json)
        status = status_of(findings)
        show(findings, status, as_json)
        return int(status)

    def findings(self) -> list[Finding]:
        """Read the documents and check them."""
        if self.option("against") and self.option("store"):
            raise UsageError("options --against and --store exclude each other")
        capacity = self.capacity()
        read = read_configuration(read_file(self.argument("file")))
        in_force = None
        if self.option("against"):
            in_force = read_configuration(read_file(self.option("against")))
        elif self.option("store"):
            document = asyncio.run(read_store(*store_address(self.option("store"))))
            in_force = read_configuration(document)
        return all_findings(read, capacity, in_force)

    def capacity(self) -> Capacity | None:
        """Return the capacity that the options give, if any."""
        slots, service_time = self.option("slots"), self.option("service-time-ms")
        if slots is None and service_time is None:
            return None
        if slots is None or service_time is None:
            raise UsageError("options --slots and --service-time-ms belong together")
        count = positive("slots", slots, MAX_SLOTS)
        if not count.is_integer():
            raise UsageError(f"option --slots is {slots!r}; expected a whole number")
        time_ms = positive("service-time-ms", service_time, MAX_SERVICE_TIME_MS)
        return Capacity(int(count), time_ms / 1000.0)


def positive(name: str, text: str, highest: float) -> float:
    """Parse a number above 0."""
    value = decimal_number(text.encode("utf-8", "replace"), highest)
    if isinstance(value, str) or not value:
        raise UsageError(f"option --{name} is {text!r}; expected a number up to {highest:g}")
    return value


async def read_store(host: str, port: int) -> Any:
    """Read the configuration in force from the store; raises UsageError."""
    deadline = time.monotonic() + STORE_TIMEOUT_S
    page: Found | NotFound | NextPage = NextPage("")
    while isinstance(page, NextPage):
        left_s = max(0.0, deadline - time.monotonic())
        answer = await call(host, port, "GET", page_path(page.after), {}, b"", left_s)
        if isinstance(answer, CallFailure):
            raise UsageError(f"the store cannot be read: {answer.reason}")
        page = find_in_page(page.after, answer.status, answer.body)
    if isinstance(page, NotFound):
        raise UsageError(f"the store at {host}:{port}: {page.reason}")
    return page.document


def store_address(text: str) -> tuple[str, int]:
    """Parse the address of the store."""
    if not text.isascii() or not text.isprintable() or " " in text:
        raise UsageError(f"{text!r} is not HOST:PORT")
    return parsed_address(text)


def all_findings(
    read: CheckedDocument, capacity: Capacity | None = None, in_force: CheckedDocument | None = None
) -> list[Finding]:
    """Check a document, and compare it with the one in force if that is given."""
    entries = read.entries
    if in_force is not None:
        read.findings.extend(hide_key_names(entries, in_force.key_digests))
        in_force.findings.extend(hide_key_names(in_force.entries, read.key_digests))
    findings = [
        *read.findings,
        *check_validity(entries),
        *check_reach(entries),
        *check_limits(entries, capacity),
    ]
    if in_force is None:
        return findings
    if any(finding.severity is Severity.ERROR for finding in in_force.findings):
        text = "the version in force has errors; what cannot be read is not compared"
        findings.append(note("", text))
    return [*findings, *check_differences(entries, in_force.entries)]


def status_of(findings: list[Finding]) -> CheckStatus:
    """Return the exit status for findings; notes do not count."""
    severities = {finding.severity for finding in findings}
    if Severity.ERROR in severities:
        return CheckStatus.ERRORS
    return CheckStatus.WARNINGS if Severity.WARNING in severities else CheckStatus.CLEAN


def show(findings: list[Finding], status: CheckStatus, as_json: bool) -> None:
    """Print the findings and their number."""
    counts = Counter(finding.severity for finding in findings)
    numbers = {f"{severity}s": counts[severity] for severity in Severity}
    if as_json:
        print_json({"status": int(status), **numbers, "findings": findings})
        return
    lines = [
        f"{finding.severity}: {finding.path or 'document'}: {finding.text}" for finding in findings
    ]
    lines.append(", ".join(f"{name} {count}" for name, count in numbers.items()))
    sys.stdout.write("\n".join(lines) + "\n")


def unusable(reason: str, as_json: bool) -> int:
    """Report that no check was made."""
    if as_json:
        print_json({"status": int(CheckStatus.UNUSABLE), "reason": reason})
    else:
        sys.stderr.write(reason.encode("utf-8", "backslashreplace").decode() + "\n")
    return int(CheckStatus.UNUSABLE)


def print_json(document: dict[str, Any]) -> None:
    """Print a JSON document."""
    text = msgspec.json.format(msgspec.json.encode(document), indent=2).decode()
    sys.stdout.write(text + "\n")

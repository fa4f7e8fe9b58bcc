"""Output and exit statuses of poplarctl's commands."""

import sys
from enum import IntEnum
from typing import Any

import msgspec

from poplarlane.decisions.configuration.configuration import BaseUnavailable
from poplarlane.decisions.configuration.edits import EditConflict, EditInvalid, conflict_reason
from poplarlane.decisions.configuration.validation import ObjectFault
from poplarlane.outcomes import ResultCode
from poplarlane.plumbing.ctl_client import PlatformFailure
from poplarlane.programs.ctl.change_outcomes import Unfinished


class ExitStatus(IntEnum):
    """Exit statuses of poplarctl."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    CONFLICT = 3
    INVALID = 4
    PLATFORM = 5
    TIMEOUT = 6


EXIT_STATUSES = {
    ResultCode.CHANGE_DONE: ExitStatus.DONE,
    ResultCode.CHANGE_FAILED: ExitStatus.FAILED,
    ResultCode.USAGE_WRONG: ExitStatus.USAGE,
    ResultCode.CHANGE_CONFLICT: ExitStatus.CONFLICT,
    ResultCode.OBJECT_INVALID: ExitStatus.INVALID,
    ResultCode.PLATFORM_UNREACHABLE: ExitStatus.PLATFORM,
    ResultCode.CHANGE_OUTCOME_UNKNOWN: ExitStatus.PLATFORM,
    ResultCode.WAIT_TIMED_OUT: ExitStatus.TIMEOUT,
}


class Report:
    """Result of a command: a result code, text lines and a JSON document."""

    __slots__ = ("code", "lines", "document")

    def __init__(self, code: ResultCode, lines: list[str], document: dict[str, Any]) -> None:
        self.code = code
        self.lines = lines
        self.document = document

    @property
    def status(self) -> ExitStatus:
        """Return the exit status for the result code."""
        return EXIT_STATUSES[self.code]


def success_report(lines: list[str], **document: Any) -> Report:
    return Report(ResultCode.CHANGE_DONE, lines, document)


def error_report(code: ResultCode, lines: list[str], **document: Any) -> Report:
    """Report a command that did not succeed."""
    return Report(code, lines, {**document, "reason": "; ".join(lines)})


def usage_error(reason: str) -> Report:
    """Report an invalid command line or settings file."""
    return error_report(ResultCode.USAGE_WRONG, [reason])


def invalid_object(faults: list[ObjectFault]) -> Report:
    """Report the validation errors of an object."""
    shown = [
        {"object": fault.object_name, "field": fault.field, "reason": fault.reason}
        for fault in faults
    ]
    return error_report(ResultCode.OBJECT_INVALID, [str(fault) for fault in faults], faults=shown)


def platform_unreachable(failure: PlatformFailure) -> Report:
    """Report a failed read from the platform."""
    return error_report(
        ResultCode.PLATFORM_UNREACHABLE, [f"the platform cannot be read: {failure.reason}"]
    )


def failed_change(
    outcome: EditConflict | EditInvalid | BaseUnavailable | Unfinished, name: str
) -> Report:
    """Report a change that was not accepted, or whose outcome is unknown."""
    if isinstance(outcome, EditConflict):
        return error_report(
            outcome.code,
            [f"{name}: conflict: {conflict_reason(outcome)}"],
            service=name,
            field=outcome.field,
            expected=outcome.expected,
            current=outcome.current,
            revision=outcome.revision,
        )
    if isinstance(outcome, Unfinished):
        return unfinished(outcome, name)
    report = invalid_object(outcome.faults)
    if isinstance(outcome, BaseUnavailable):
        hint = "no accepted revision is left in the copy or on an agent; see apply --replace-bad"
        report.lines.append(f"{name}: {hint}")
    return report


def unfinished(outcome: Unfinished, name: str) -> Report:
    """Report a change that timed out."""
    text = "was not written"
    if outcome.maybe_written:
        text = "may have taken effect (see `poplarctl history`)"
    return error_report(
        outcome.code, [f"{name}: the change {text}: {outcome.reason}"], service=name
    )


def show(report: Report, output: str) -> None:
    """Print a report; errors go to standard error unless the output is JSON."""
    if output == "json":
        document = {
            "result": report.code.name.lower(),
            "code": int(report.code),
            **report.document,
        }
        text = msgspec.json.format(msgspec.json.encode(document), indent=2).decode()
        sys.stdout.write(text + "\n")
        return
    stream = sys.stdout if report.status is ExitStatus.DONE else sys.stderr
    for line in report.lines:
        stream.write(line + "\n")


def progress(line: str, output: str) -> None:
    """Print a progress line, to standard error if standard output gets a JSON document."""
    stream = sys.stderr if output == "json" else sys.stdout
    stream.write(line + "\n")
    stream.flush()

"""The trace command: follows one request through the logs of several processes."""

from pathlib import Path

from cleo.helpers import argument, option

from poplarlane.bench.processes import parse_fields
from poplarlane.outcomes import ResultCode
from poplarlane.programs.ctl.code_explanations import explanation_lines
from poplarlane.programs.ctl.command import CtlCommand, UsageError
from poplarlane.programs.ctl.reports import Report, error_report, success_report

# Events that explain the end of a request, the most specific first.
CAUSES = ("request_refused", "request_failed", "request_late", "repeat_denied", "request_repeated")
LEADING_KEYS = ("time", "process", "event")


class TraceCommand(CtlCommand):
    """Show the log lines of one request in order of time, preceded by the likely cause."""

    name = "trace"
    description = "Show what happened to a request, from log files"
    arguments = [
        argument("id", "Request id known to the caller"),
        argument("logfile", "Log files of any number of processes", multiple=True),
    ]
    options = [option("output", None, "text or json", flag=False, default="text")]

    def checked_report(self) -> Report:
        """Read the log files; needs neither the platform nor settings."""
        try:
            self.check_usage()
            return trace(self.argument("id"), self.argument("logfile"))
        except UsageError as error:
            return error_report(ResultCode.USAGE_WRONG, [str(error)])


def trace(request_id: str, paths: list[str]) -> Report:
    """Report the lines about a request in the files."""
    found = []
    for path in paths:
        found += lines_about(request_id, path)
    if not found:
        text = f"no line about request {request_id} in {len(paths)} files"
        return error_report(ResultCode.CHANGE_FAILED, [text])
    found.sort(key=lambda fields: fields.get("time", ""))
    cause = min(found, key=cause_rank)
    lines = [f"cause: {show(cause)}", *explanation_lines(cause.get("code", ""))]
    lines += [show(fields) for fields in found]
    return success_report(lines, cause=cause, story=found)


def lines_about(request_id: str, path: str) -> list[dict[str, str]]:
    """Return the parsed lines of a file that have the request id."""
    try:
        text = Path(path).read_text(encoding="utf-8", errors="replace")
    except OSError as error:
        raise UsageError(f"log file {path}: {error.strerror}") from error
    wanted = f"id={request_id}"
    parsed = (parse_fields(line) for line in text.splitlines() if wanted in line)
    return [fields for fields in parsed if fields.get("id") == request_id]


def cause_rank(fields: dict[str, str]) -> int:
    """Return the rank of a line's event in CAUSES; other events come last."""
    event = fields.get("event", "")
    return CAUSES.index(event) if event in CAUSES else len(CAUSES)


def show(fields: dict[str, str]) -> str:
    """Format a line, with time, process and event first."""
    first = " ".join(fields[name] for name in LEADING_KEYS if name in fields)
    rest = (f"{key}={value}" for key, value in fields.items() if key not in LEADING_KEYS)
    return f"{first} {' '.join(rest)}"

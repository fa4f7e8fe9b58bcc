"""The command that tells the story of one request from the logs of several processes."""

from pathlib import Path

from cleo.helpers import argument, option

from poplarlane.bench.processes import parse_fields
from poplarlane.outcomes import ResultCode
from poplarlane.programs.ctl.command import CtlCommand, UsageError
from poplarlane.programs.ctl.reports import Report, error_report, success_report

# Lines that say why a request ended as it did, in the order in which they explain most.
CAUSES = ("request_refused", "request_failed", "request_late", "repeat_denied", "request_repeated")
LEADING_KEYS = ("time", "process", "event")


class TraceCommand(CtlCommand):
    """Collect the lines about one request, the cause first and then in order of time."""

    name = "trace"
    description = "Tell from log files what happened to a request"
    arguments = [
        argument("id", "Id by which the caller knows the request"),
        argument("logfile", "Log files of any processes", multiple=True),
    ]
    options = [option("output", None, "text or json", flag=False, default="text")]

    def checked_report(self) -> Report:
        """Read the files; no platform and no settings are needed."""
        try:
            self.check_usage()
            return trace(self.argument("id"), self.argument("logfile"))
        except UsageError as error:
            return error_report(ResultCode.USAGE_WRONG, [str(error)])


def trace(request_id: str, paths: list[str]) -> Report:
    """Find the lines about a request in the files."""
    found = []
    for path in paths:
        found += lines_about(request_id, path)
    if not found:
        text = f"no line about request {request_id} in {len(paths)} files"
        return error_report(ResultCode.CHANGE_FAILED, [text])
    found.sort(key=lambda fields: fields.get("time", ""))
    cause = min(found, key=cause_rank)
    lines = [f"cause: {show(cause)}", *(show(fields) for fields in found)]
    return success_report(lines, cause=cause, story=found)


def lines_about(request_id: str, path: str) -> list[dict[str, str]]:
    """Read the lines of one file that carry the id."""
    try:
        text = Path(path).read_text(encoding="utf-8", errors="replace")
    except OSError as error:
        raise UsageError(f"log file {path}: {error.strerror}") from error
    wanted = f"id={request_id}"
    parsed = (parse_fields(line) for line in text.splitlines() if wanted in line)
    return [fields for fields in parsed if fields.get("id") == request_id]


def cause_rank(fields: dict[str, str]) -> int:
    """Order lines by how much they explain."""
    event = fields.get("event", "")
    return CAUSES.index(event) if event in CAUSES else len(CAUSES)


def show(fields: dict[str, str]) -> str:
    """Show a line with its time and process first."""
    first = " ".join(fields[name] for name in LEADING_KEYS if name in fields)
    rest = (f"{key}={value}" for key, value in fields.items() if key not in LEADING_KEYS)
    return f"{first} {' '.join(rest)}"

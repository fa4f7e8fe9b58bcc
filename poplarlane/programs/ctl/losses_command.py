"""The losses command: what was lost, and why, from the logs of several nodes."""

from collections.abc import Iterator
from pathlib import Path

from cleo.helpers import argument, option

from poplarlane.bench.processes import parse_fields
from poplarlane.programs.ctl.command import CtlCommand, UsageError
from poplarlane.programs.ctl.losses import by_cause, losses, table
from poplarlane.programs.ctl.reports import Report, success_report, usage_error


class LossesCommand(CtlCommand):
    """Show which requests were lost, by second, route and cause."""

    name = "losses"
    description = "Show what was refused, late or failed and why, from log files"
    arguments = [argument("logfile", "Log files of any number of processes", multiple=True)]
    options = [option("output", None, "text or json", flag=False, default="text")]

    def checked_report(self) -> Report:
        """Read the log files; needs neither the platform nor settings."""
        try:
            self.check_usage()
            found = losses(parsed_lines(self.argument("logfile")))
        except UsageError as error:
            return usage_error(str(error))
        rows = [
            {"second": second, "route": route, "cause": str(cause), "count": count}
            for (second, route, cause), count in sorted(found.items())
        ]
        totals = {str(cause): count for cause, count in by_cause(found).items()}
        return success_report(table(found), total=sum(found.values()), causes=totals, rows=rows)


def parsed_lines(paths: list[str]) -> Iterator[dict[str, str]]:
    """Parse the lines of the files."""
    for path in paths:
        try:
            text = Path(path).read_text(encoding="utf-8", errors="replace")
        except OSError as error:
            raise UsageError(f"log file {path}: {error.strerror}") from error
        yield from (parse_fields(line) for line in text.splitlines())

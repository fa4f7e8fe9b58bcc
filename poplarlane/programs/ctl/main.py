"""The operators' client: command table and exit statuses."""

import sys

from cleo.application import Application
from cleo.exceptions import CleoError

from poplarlane.programs.ctl.change_commands import (
    RemoveLabelCommand,
    RemoveSelectorCommand,
    SetLabelCommand,
    SetSelectorCommand,
)
from poplarlane.programs.ctl.explain_command import ExplainCommand
from poplarlane.programs.ctl.fleet_commands import StatusCommand, WaitCommand
from poplarlane.programs.ctl.object_commands import (
    ApplyCommand,
    DiffCommand,
    GetCommand,
    HistoryCommand,
)
from poplarlane.programs.ctl.reports import ExitStatus

VERSION = "0.1.0"
COMMANDS = (
    GetCommand,
    SetLabelCommand,
    RemoveLabelCommand,
    SetSelectorCommand,
    RemoveSelectorCommand,
    ApplyCommand,
    DiffCommand,
    HistoryCommand,
    ExplainCommand,
    StatusCommand,
    WaitCommand,
)


def main() -> None:
    """Run poplarctl; every failure is one line and an exit status, never a traceback."""
    application = Application("poplarctl", VERSION)
    application.auto_exits(False)
    application.catch_exceptions(False)
    for command in COMMANDS:
        application.add(command())
    sys.exit(run(application))


def run(application: Application) -> int:
    """Run the application and turn exceptions into exit statuses."""
    try:
        return application.run()
    except CleoError as error:
        sys.stderr.write(f"{one_line(error)}\n")
        return ExitStatus.USAGE
    except Exception as error:
        # A fault of poplarctl itself; operators get the line that a bug report needs.
        where = sys.exc_info()[2]
        while where.tb_next is not None:
            where = where.tb_next
        place = f"{where.tb_frame.f_code.co_filename}:{where.tb_lineno}"
        sys.stderr.write(f"internal error at {place}: {type(error).__name__}: {one_line(error)}\n")
        return ExitStatus.FAILED


def one_line(error: Exception) -> str:
    """Put the text of an exception on one line."""
    return " ".join(str(error).split())

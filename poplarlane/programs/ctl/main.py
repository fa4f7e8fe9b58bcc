"""Entry point of poplarctl."""

import sys

from cleo.application import Application
from cleo.exceptions import CleoError

from poplarlane.outcomes import ResultCode
from poplarlane.programs.ctl.change_commands import (
    RemoveLabelCommand,
    RemoveSelectorCommand,
    SetLabelCommand,
    SetSelectorCommand,
)
from poplarlane.programs.ctl.check_command import CheckCommand
from poplarlane.programs.ctl.customers_command import CustomersCommand
from poplarlane.programs.ctl.evacuation_commands import EvacuateCommand, RestoreCommand
from poplarlane.programs.ctl.explain_command import ExplainCommand
from poplarlane.programs.ctl.fleet_commands import StatusCommand, WaitCommand
from poplarlane.programs.ctl.losses_command import LossesCommand
from poplarlane.programs.ctl.object_commands import (
    ApplyCommand,
    DiffCommand,
    GetCommand,
    HistoryCommand,
)
from poplarlane.programs.ctl.quarantine_command import QuarantineCommand
from poplarlane.programs.ctl.reports import error_report, show, usage_error
from poplarlane.programs.ctl.starts_command import StartsCommand
from poplarlane.programs.ctl.trace_command import TraceCommand
from poplarlane.programs.ctl.unreadable_command import UnreadableCommand

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
    CheckCommand,
    TraceCommand,
    LossesCommand,
    QuarantineCommand,
    UnreadableCommand,
    EvacuateCommand,
    RestoreCommand,
    CustomersCommand,
    StartsCommand,
)


def main() -> None:
    """Run poplarctl; failures are reported by one line and an exit status, never a traceback."""
    application = Application("poplarctl", VERSION)
    application.auto_exits(False)
    application.catch_exceptions(False)
    for command in COMMANDS:
        application.add(command())
    sys.exit(run(application))


def run(application: Application) -> int:
    """Run the application; exceptions become reports."""
    try:
        return application.run()
    except CleoError as error:
        report = usage_error(one_line(error))
    except Exception as error:
        # A bug in poplarctl; the line contains what a bug report needs.
        text = (
            f"internal error at {source_location(error)}: {type(error).__name__}: {one_line(error)}"
        )
        report = error_report(ResultCode.CHANGE_FAILED, [text])
    show(report, requested_output(sys.argv[1:]))
    return int(report.status)


def source_location(error: Exception) -> str:
    """Return the file and line that raised an exception."""
    step = error.__traceback__
    while step.tb_next is not None:
        step = step.tb_next
    return f"{step.tb_frame.f_code.co_filename}:{step.tb_lineno}"


def requested_output(words: list[str]) -> str:
    """Return the output format that an unparseable command line requests."""
    pairs = zip(words, [*words[1:], ""], strict=True)
    wants_json = "--output=json" in words or ("--output", "json") in pairs
    return "json" if wants_json else "text"


def one_line(error: Exception) -> str:
    """Put the text of an exception on one line."""
    return " ".join(str(error).split())

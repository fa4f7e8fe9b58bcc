"""Base class of poplarctl's commands: options, settings and reports."""

import asyncio
import os
from typing import ClassVar

from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.option import Option

from poplarlane.decisions.configuration.content import NAME_PATTERN
from poplarlane.number_grammar import decimal_number, whole_number
from poplarlane.outcomes import ResultCode
from poplarlane.plumbing.ctl_client import PlatformClient
from poplarlane.programs.ctl.reports import Report, error_report, show, usage_error
from poplarlane.settings import CtlSettings, SettingsError, load

SETTINGS_VARIABLE = "POPLARCTL_SETTINGS"
DEFAULT_SETTINGS = "/etc/poplarlane/poplarctl.json"
OUTPUTS = ("text", "json")
MAX_OPTION = 10**15


class UsageError(Exception):
    """An invalid command line or settings file."""


def common_options() -> list[Option]:
    """Return the options of every command."""
    return [
        option("settings", None, f"Settings file; default ${SETTINGS_VARIABLE}", flag=False),
        option("output", None, "text or json", flag=False, default="text"),
    ]


class CtlCommand(Command):
    """A command that prints one report."""

    is_change: ClassVar[bool] = False

    def handle(self) -> int:
        """Run the command, print its report and return the exit status."""
        report = self.checked_report()
        output = self.option("output")
        show(report, output if output in OUTPUTS else "text")
        return int(report.status)

    def checked_report(self) -> Report:
        """Run the command; usage errors and interruptions become reports too."""
        try:
            self.check_usage()
            settings = self.load_settings()
            client = PlatformClient(settings.platform_address, settings.platform_port)
            return asyncio.run(self.report(settings, client))
        except UsageError as error:
            return usage_error(str(error))
        except KeyboardInterrupt:
            if self.is_change:
                reason = "interrupted; the change may have taken effect (see `poplarctl history`)"
                return error_report(ResultCode.CHANGE_OUTCOME_UNKNOWN, [reason])
            return error_report(ResultCode.CHANGE_FAILED, ["interrupted"])

    async def report(self, settings: CtlSettings, client: PlatformClient) -> Report:
        """Execute the command."""
        raise NotImplementedError

    def check_usage(self) -> None:
        """Validate the options and names that several commands have."""
        if self.option("output") not in OUTPUTS:
            raise UsageError(f"option --output is {self.option('output')!r}; accepted: text, json")
        for name in ("service", "target", "name"):
            if self.definition.has_argument(name):
                check_name(name, self.argument(name))

    def load_settings(self) -> CtlSettings:
        """Load the settings from the option, the environment or the default path."""
        path = self.option("settings") or os.environ.get(SETTINGS_VARIABLE) or DEFAULT_SETTINGS
        settings = load(path, CtlSettings)
        if isinstance(settings, SettingsError):
            raise UsageError(settings.text)
        return settings

    def number(self, name: str, default: int) -> int:
        """Parse an integer option."""
        text = self.option(name)
        if text is None:
            return default
        number = whole_number(text.encode("utf-8", "replace"), MAX_OPTION)
        if isinstance(number, str):
            raise UsageError(f"option --{name} is {text!r}; expected a whole number")
        return number

    def seconds(self, name: str) -> float:
        """Parse an option in seconds."""
        text = self.option(name)
        value = decimal_number(text.encode("utf-8", "replace"), 86_400)
        if isinstance(value, str):
            raise UsageError(f"option --{name} is {text!r}; expected 0 to 86400 seconds")
        return value


def check_name(argument: str, value: str | None) -> None:
    """Validate a name given on the command line."""
    if value is not None and not NAME_PATTERN.match(value):
        raise UsageError(f"argument {argument} is {value!r}, which is not a name")

"""Commands that change one label or selector of a service."""

import random
import time
import uuid
from datetime import UTC, datetime
from typing import Any

from cleo.helpers import argument, option
from cleo.io.inputs.option import Option

from poplarlane.decisions.access.labels import InvalidLabels, key_fault, parse_labels
from poplarlane.decisions.access.selectors import InvalidSelector, parse
from poplarlane.decisions.configuration import edits
from poplarlane.decisions.configuration.edits import Edit, Sentinel
from poplarlane.objects import SelectorObject
from poplarlane.plumbing.ctl_client import PlatformClient
from poplarlane.programs.ctl.change_outcomes import ChangeAccepted, DryRunResult, Outcome
from poplarlane.programs.ctl.change_procedure import Change
from poplarlane.programs.ctl.command import CtlCommand, UsageError, common_options
from poplarlane.programs.ctl.fleet import held_by_fleet
from poplarlane.programs.ctl.reports import Report, failed_change, progress, success_report
from poplarlane.programs.ctl.rollout_wait import RolloutWait, wait_report
from poplarlane.settings import CtlSettings

DEFAULT_WAIT_S = "30"


def change_options() -> list[Option]:
    """Return the options of every command that makes a change."""
    return [
        *common_options(),
        option("operator", None, "Operator name that is recorded", flag=False),
        option("dry-run", None, "Show what would be written and write nothing"),
        option("wait", None, "Wait until the change is in force everywhere"),
        option("wait-timeout", None, "Seconds to wait", flag=False, default=DEFAULT_WAIT_S),
    ]


def expect_options() -> list[Option]:
    """Return the options for the value that the change must replace."""
    return [
        option("expect", None, "Expected current value; any other value is a conflict", False),
        option("expect-absent", None, "Expect that there is no value yet; any value is a conflict"),
    ]


class ChangeCommand(CtlCommand):
    """Base of commands that build an edit from the command line and carry it out."""

    is_change = True
    options = change_options()

    def edit(self) -> Edit:
        """Build the edit."""
        raise NotImplementedError

    def service_name(self) -> str:
        """Return the name of the service to change."""
        return self.argument("service")

    def replaces_bad(self) -> bool:
        """Return whether a bad object may be replaced when no accepted revision is left."""
        return False

    async def report(self, settings: CtlSettings, client: PlatformClient) -> Report:
        """Carry out the edit and, with `--wait`, wait for the rollout."""
        wait_s = self.seconds("wait-timeout")
        name = self.service_name()
        outcome = await self.change(settings, client, name, self.edit())
        if isinstance(outcome, DryRunResult):
            return dry_run_report(outcome)
        if not isinstance(outcome, ChangeAccepted):
            return failed_change(outcome, name)
        report = accepted_report(outcome, name)
        if not self.option("wait"):
            return report
        return await self.wait(settings, client, outcome, wait_s, report)

    async def change(
        self, settings: CtlSettings, client: PlatformClient, name: str, edit: Edit
    ) -> Outcome:
        change = Change(
            client,
            name,
            edit,
            operator=self.option("operator") or settings.operator,
            change_id=str(uuid.uuid4()),
            at=datetime.now(UTC).isoformat(timespec="milliseconds"),
            timeout_s=settings.timeout_ms / 1000,
            generator=random.Random(),
            ask_fleet=lambda service: held_by_fleet(settings, client, service),
            dry_run=self.option("dry-run"),
            replace_bad=self.replaces_bad(),
        )
        return await change.run()

    async def wait(
        self,
        settings: CtlSettings,
        client: PlatformClient,
        outcome: ChangeAccepted,
        wait_s: float,
        accepted: Report,
    ) -> Report:
        """Wait until the accepted revision is in force everywhere."""
        name = self.service_name()
        wait = RolloutWait(settings, client, name, outcome.revision, wait_s, self.option("output"))
        for line in accepted.lines:
            progress(line, self.option("output"))
        started_at = time.monotonic()
        waited = await wait.run()
        report = wait_report(waited, name, outcome.revision)
        total_s = outcome.accepted_s + time.monotonic() - started_at
        report.lines.append(f"total time {total_s:.2f} s")
        report.document = {**accepted.document, **report.document, "total_s": round(total_s, 3)}
        return report

    def expected(self) -> Any:
        """Return the value that the operator expects to replace."""
        value = self.option("expect")
        if self.option("expect-absent"):
            if value is not None:
                raise UsageError("options --expect and --expect-absent exclude each other")
            return Sentinel.ABSENT
        return Sentinel.UNSEEN if value is None else value


def dry_run_report(outcome: DryRunResult) -> Report:
    """Report what a dry run would have written."""
    before = edits.content_of(outcome.previous) if outcome.previous else {}
    changes = edits.differences(before, edits.content_of(outcome.service))
    name, revision = outcome.service.service, outcome.service.revision
    lines = [f"{name}: would write revision {revision}; nothing was written"]
    lines.extend(difference_lines(changes))
    shown = [{"field": field, "old": old, "new": new} for field, old, new in changes]
    return success_report(lines, service=name, revision=revision, dry_run=True, changes=shown)


def difference_lines(changes: list[tuple[str, Any, Any]]) -> list[str]:
    """Format differences, one per line."""
    return [
        f"  {field}: {edits.format_value(old)} -> {edits.format_value(new)}"
        for field, old, new in changes
    ]


def accepted_report(outcome: ChangeAccepted, name: str) -> Report:
    """Report an accepted change."""
    own = next(item for item in outcome.service.changes if item.revision == outcome.revision)
    lines = [
        f"{name}: revision {outcome.revision} accepted after {outcome.accepted_s:.3f} s: "
        f"{own.summary}"
    ]
    if outcome.recovered:
        lines.append(f"{name}: a bad object was replaced; run `poplarctl history` to review it")
    return success_report(
        lines,
        service=name,
        revision=outcome.revision,
        change_id=own.change_id,
        operator=own.operator,
        recovered=outcome.recovered,
        accepted_s=round(outcome.accepted_s, 4),
    )


class SetLabelCommand(ChangeCommand):
    """Set a label of a target."""

    name = "set-label"
    description = "Set a label of a target"
    arguments = [
        argument("service", "Service name"),
        argument("target", "Target name"),
        argument("label", "key=value"),
    ]
    options = change_options() + expect_options()

    def edit(self) -> Edit:
        labels = parse_labels(self.argument("label"))
        if isinstance(labels, InvalidLabels):
            raise UsageError(f"label {labels.text!r}, position {labels.position}: {labels.reason}")
        if len(labels) != 1:
            raise UsageError("expected one label, for example tier=gold")
        ((key, value),) = labels.items()
        return edits.set_label(self.argument("target"), key, value, self.expected())


class RemoveLabelCommand(ChangeCommand):
    """Remove a label from a target."""

    name = "remove-label"
    description = "Remove a label from a target"
    arguments = [
        argument("service", "Service name"),
        argument("target", "Target name"),
        argument("key", "Label key"),
    ]
    options = change_options() + expect_options()[:1]

    def edit(self) -> Edit:
        key, expected = self.argument("key"), self.option("expect")
        fault = key_fault(key)
        if fault:
            raise UsageError(f"label key {key!r}: {fault}")
        expected = Sentinel.UNSEEN if expected is None else expected
        return edits.remove_label(self.argument("target"), key, expected)


class SetSelectorCommand(ChangeCommand):
    """Set a selector: which callers may reach which targets."""

    name = "set-selector"
    description = "Set a selector: which callers may reach which targets"
    arguments = [argument("service", "Service name"), argument("name", "Selector name")]
    options = [
        *change_options(),
        option("callers", None, "Selector of caller labels; '' selects all", flag=False),
        option("targets", None, "Selector of target labels; '' selects all", flag=False),
        option("expect-absent", None, "Conflict when the selector exists"),
    ]

    def edit(self) -> Edit:
        selector = SelectorObject(
            callers=self.selector("callers"), targets=self.selector("targets")
        )
        expected = Sentinel.ABSENT if self.option("expect-absent") else Sentinel.UNSEEN
        return edits.set_selector(self.argument("name"), selector, expected)

    def selector(self, side: str) -> str:
        """Return the selector of one side; required, because a default would admit all callers."""
        text = self.option(side)
        if text is None:
            raise UsageError(f"option --{side} is required; '' selects all")
        parsed = parse(text)
        if isinstance(parsed, InvalidSelector):
            raise UsageError(f"option --{side} {text!r}: {parsed.reason}")
        return text


class RemoveSelectorCommand(ChangeCommand):
    """Remove a selector."""

    name = "remove-selector"
    description = "Remove a selector"
    arguments = [argument("service", "Service name"), argument("name", "Selector name")]

    def edit(self) -> Edit:
        return edits.remove_selector(self.argument("name"))

"""The explain command: why a caller may or may not reach targets."""

from cleo.helpers import argument, option

from poplarlane.decisions.access.access_explanation import Explanation, explain
from poplarlane.decisions.access.labels import InvalidLabels, parse_labels
from poplarlane.objects import ServiceObject
from poplarlane.plumbing.ctl_client import PlatformClient, PlatformFailure
from poplarlane.programs.ctl.code_explanations import explanation_lines
from poplarlane.programs.ctl.command import CtlCommand, UsageError, check_name, common_options
from poplarlane.programs.ctl.object_commands import not_found, read_accepted
from poplarlane.programs.ctl.reports import (
    Report,
    platform_unreachable,
    success_report,
    usage_error,
)
from poplarlane.settings import CtlSettings


class ExplainCommand(CtlCommand):
    """Show which selectors allow a caller to reach which targets, and why."""

    name = "explain"
    description = "Explain why a caller may or may not reach targets, or what 401 or 429 means"
    arguments = [argument("service", "Service name; or 401, 429 or a result code")]
    options = [
        *common_options(),
        option("caller", None, "Labels of the caller: kind=kiosk,site=brasov", False, default=""),
        option("target", None, "Only this target", flag=False),
    ]

    def checked_report(self) -> Report:
        """Explain a status or result code without the platform, or a service with it."""
        lines = explanation_lines(self.argument("service"))
        return success_report(lines, explanation=lines) if lines else super().checked_report()

    async def report(self, settings: CtlSettings, client: PlatformClient) -> Report:
        """Read the service and evaluate its selectors."""
        caller = parse_labels(self.option("caller"))
        if isinstance(caller, InvalidLabels):
            raise UsageError(f"option --caller, position {caller.position}: {caller.reason}")
        target = self.option("target")
        check_name("target", target)
        name = self.argument("service")
        stored = await read_accepted(client, name)
        if isinstance(stored, PlatformFailure):
            return platform_unreachable(stored)
        if stored.service is None:
            return not_found(name, stored)
        if target is not None and target not in stored.service.targets:
            known = ", ".join(sorted(stored.service.targets))
            return usage_error(f"service {name} has no target {target!r}; it has {known}")
        return explained(stored.service, caller, target)


def explained(service: ServiceObject, caller: dict[str, str], target: str | None) -> Report:
    """Report the result of every selector for every target."""
    names = [target] if target else sorted(service.targets)
    explanations = explain(service, caller, names)
    allowed = sorted({item.target for item in explanations if item.allows})
    lines = [f"{service.service}, revision {service.revision}, caller {format_labels(caller)}"]
    for name in names:
        verdict = "allowed" if name in allowed else "denied"
        lines.append(f"target {name} {format_labels(service.targets[name].labels)}: {verdict}")
        lines.extend(verdict_line(item) for item in explanations if item.target == name)
        if not service.selectors:
            lines.append("  the service has no selectors, so every request is refused")
    if not allowed:
        lines.append("no selector allows this caller: its requests are refused with code 1203")
    shown = [verdict_document(item) for item in explanations]
    return success_report(
        lines,
        service=service.service,
        revision=service.revision,
        allowed_targets=allowed,
        verdicts=shown,
    )


def format_labels(labels: dict[str, str]) -> str:
    """Format labels on one line."""
    return ",".join(f"{key}={value}" for key, value in sorted(labels.items())) or "(no labels)"


def verdict_line(item: Explanation) -> str:
    """Format the result of one selector."""
    if item.allows:
        return f"  selector {item.selector}: allows"
    failures = [f"caller: {text}" for text in item.caller_failures]
    failures.extend(f"target: {text}" for text in item.target_failures)
    return f"  selector {item.selector}: does not apply: {'; '.join(failures)}"


def verdict_document(item: Explanation) -> dict[str, object]:
    """Return the result of one selector for JSON output."""
    return {
        "selector": item.selector,
        "target": item.target,
        "allows": item.allows,
        "caller_failures": item.caller_failures,
        "target_failures": item.target_failures,
    }

"""Why a caller may or may not reach each target of a service."""

from collections.abc import Mapping

from poplarlane.decisions.access.selectors import Access, Selector, compile_access
from poplarlane.objects import ServiceObject


class Explanation:
    """The requirements of one selector pair that fail for a caller and one target.

    Empty lists mean that the side matches; both empty allow the caller to reach the target.
    """

    __slots__ = ("selector", "target", "caller_failures", "target_failures")

    def __init__(
        self, selector: str, target: str, caller_failures: list[str], target_failures: list[str]
    ) -> None:
        self.selector = selector
        self.target = target
        self.caller_failures = caller_failures
        self.target_failures = target_failures

    @property
    def allows(self) -> bool:
        """Return whether this selector pair allows the caller to reach the target."""
        return not self.caller_failures and not self.target_failures


def explain(
    service: ServiceObject, caller: Mapping[str, str], targets: list[str]
) -> list[Explanation]:
    """Evaluate every selector pair of a validated service for every named target."""
    access: Access = compile_access(service)
    found = []
    for target in targets:
        labels = service.targets[target].labels
        for rule in access.rules:
            caller_failures = failed_requirements(rule.callers, caller)
            target_failures = failed_requirements(rule.targets, labels)
            found.append(Explanation(rule.name, target, caller_failures, target_failures))
    return found


def failed_requirements(selector: Selector, labels: Mapping[str, str]) -> list[str]:
    """Describe every requirement that the labels do not satisfy."""
    found = []
    for key, values in selector.allowed:
        if labels.get(key) not in values:
            found.append(
                f"{key} must be {format_values(values)}, but is {format_label(key, labels)}"
            )
    for key, values in selector.denied:
        if labels.get(key) in values:
            found.append(
                f"{key} must not be {format_values(values)}, but is {format_label(key, labels)}"
            )
    for key in selector.present:
        if key not in labels:
            found.append(f"{key} must be present, but is absent")
    for key in selector.absent:
        if key in labels:
            found.append(f"{key} must be absent, but is {format_label(key, labels)}")
    return found


def format_values(values: frozenset[str]) -> str:
    """Format accepted values as text."""
    shown = [repr(value) for value in sorted(values)]
    return shown[0] if len(shown) == 1 else "one of " + ", ".join(shown)


def format_label(key: str, labels: Mapping[str, str]) -> str:
    """Format the value of a label."""
    return repr(labels[key]) if key in labels else "absent"

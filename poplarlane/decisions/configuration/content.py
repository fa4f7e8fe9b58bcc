"""Semantic validation of a decoded service object."""

import ipaddress
import re
from collections.abc import Iterable, Iterator

from poplarlane.decisions.access.labels import MAX_LABELS, key_fault, value_fault
from poplarlane.decisions.access.selectors import InvalidSelector, parse
from poplarlane.objects import (
    MAX_RECORDED_CHANGES,
    ChangeObject,
    LimitsObject,
    ProbeBudgetObject,
    RequestKindObject,
    SelectorObject,
    ServiceObject,
    TargetObject,
)

POLICIES = (
    "random",
    "round_robin",
    "least_outstanding",
    "power_of_two",
    "probe_pool",
    "adaptive",
    "measured",
)
NAME_PATTERN = re.compile(r"[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?\Z")
NAME_RULE = "1 to 63 of lowercase letters, digits, '-' and '.', a letter or digit first and last"
HOST_PATTERN = re.compile(r"[a-z0-9_]([a-z0-9_.-]{0,251}[a-z0-9_])?\Z")
METHOD_PATTERN = re.compile(r"[A-Z][A-Z-]{0,31}\Z")
PATH_PATTERN = re.compile(r"/[!-~]{0,1023}\Z")
# JSON readers in other languages lose precision above this integer.
MAX_REVISION = 2**53 - 1
MAX_DEADLINE_MS = 3_600_000
MAX_TEXT_CHARACTERS = 1_000

Fault = tuple[str, str]

LIMIT_RANGES: dict[str, tuple[float, float]] = {
    "slots_per_target": (1, 100_000),
    "connections_per_target": (1, 100_000),
    "queue_length": (0, 1_000_000),
    "retry_ratio": (0, 1),
    "hedge_ratio": (0, 1),
    "subset_size": (0, 10_000),
}
PROBE_RANGES: dict[str, tuple[float, float]] = {
    "per_target_per_s": (0, 1_000),
    "target_time_share": (0, 1),
    "probe_cost_ms": (0, 60_000),
}


def service_faults(service: ServiceObject, name: str) -> list[Fault]:
    """List every fault of a decoded service."""
    faults = list(identity_faults(service, name))
    faults.extend(host_faults(service))
    faults.extend(request_faults(service.requests))
    if service.policy not in POLICIES:
        faults.append(
            ("policy", f"unknown policy {service.policy!r}; accepted: {accepted_policies()}")
        )
    faults.extend(range_faults("limits", service.limits, LIMIT_RANGES))
    faults.extend(range_faults("probe_budget", service.probe_budget, PROBE_RANGES))
    faults.extend(all_target_faults(service.targets))
    for selector_name, selector in service.selectors.items():
        faults.extend(selector_faults(f"selectors.{selector_name}", selector_name, selector))
    faults.extend(change_faults(service))
    return faults


def accepted_policies() -> str:
    """List the accepted policies."""
    return ", ".join(POLICIES)


def name_mismatch(found: object, name: str) -> str:
    """Describe the fault of an object that is stored under another service's name."""
    return f"is {found!r}, but the object is stored as {name!r}"


def identity_faults(service: ServiceObject, name: str) -> Iterator[Fault]:
    """Check name, revision and change id."""
    if not NAME_PATTERN.match(service.service):
        yield "service", f"expected {NAME_RULE}"
    if service.service != name:
        yield "service", name_mismatch(service.service, name)
    if not 1 <= service.revision <= MAX_REVISION:
        yield "revision", f"is {service.revision}; expected 1 to {MAX_REVISION}"
    yield from text_faults("change_id", service.change_id, 1)


def text_faults(field: str, text: str, least: int = 0) -> Iterator[Fault]:
    """Check that a text is printable and within its length."""
    if not least <= len(text) <= MAX_TEXT_CHARACTERS:
        reason = f"has {len(text)} characters; expected {least} to {MAX_TEXT_CHARACTERS}"
        yield field, reason
    elif not text.isprintable():
        yield field, "holds a character that cannot be printed"


def host_faults(service: ServiceObject) -> Iterator[Fault]:
    """Check host names; a service that is not deleted needs at least one."""
    if not service.hosts and not service.deleted:
        yield "hosts", "is empty; a service needs at least one host"
    for index, host in enumerate(service.hosts):
        if not HOST_PATTERN.match(host):
            yield f"hosts[{index}]", f"{host!r} is not a lowercase host name without a port"
    for index in duplicate_indexes(service.hosts):
        yield f"hosts[{index}]", f"{service.hosts[index]!r} occurs twice"


def duplicate_indexes(values: Iterable[object]) -> Iterator[int]:
    """Yield the index of every value that occurred before."""
    seen = set()
    for index, value in enumerate(values):
        if value in seen:
            yield index
        seen.add(value)


def request_faults(kinds: list[RequestKindObject]) -> Iterator[Fault]:
    """Check every request kind."""
    for index in duplicate_indexes(kind.name for kind in kinds):
        yield f"requests[{index}].name", f"{kinds[index].name!r} occurs twice"
    for index, kind in enumerate(kinds):
        field = f"requests[{index}]"
        if not NAME_PATTERN.match(kind.name):
            yield f"{field}.name", f"{kind.name!r} is not {NAME_RULE}"
        yield from method_faults(f"{field}.methods", kind.methods)
        if not PATH_PATTERN.match(kind.path_prefix):
            yield f"{field}.path_prefix", "expected '/' and printable ASCII, at most 1024 bytes"
        if not 1 <= kind.deadline_ms <= MAX_DEADLINE_MS:
            yield f"{field}.deadline_ms", f"is {kind.deadline_ms}; expected 1 to {MAX_DEADLINE_MS}"
        if kind.hedge and not kind.idempotent:
            yield f"{field}.hedge", "only idempotent requests may be hedged"


def method_faults(field: str, methods: list[str]) -> Iterator[Fault]:
    """Check the methods of one request kind."""
    if not methods:
        yield field, "is empty; expected at least one method"
    for index, method in enumerate(methods):
        if not METHOD_PATTERN.match(method):
            yield f"{field}[{index}]", f"{method!r} is not an uppercase HTTP method"
    for index in duplicate_indexes(methods):
        yield f"{field}[{index}]", f"{methods[index]!r} occurs twice"


def range_faults(
    field: str, held: LimitsObject | ProbeBudgetObject, ranges: dict[str, tuple[float, float]]
) -> Iterator[Fault]:
    """Check every number of a struct against its range."""
    for key, (least, most) in ranges.items():
        value = getattr(held, key)
        if not least <= value <= most:
            yield f"{field}.{key}", f"is {value:g}; expected {least} to {most}"


def all_target_faults(targets: dict[str, TargetObject]) -> Iterator[Fault]:
    """Check every target, and that no two share an address and port."""
    endpoints: dict[tuple[str, int], str] = {}
    for name, target in targets.items():
        yield from target_faults(f"targets.{name}", name, target)
        other = endpoints.setdefault((target.address, target.port), name)
        if other != name:
            reason = f"{target.address}:{target.port} is also the address of target {other!r}"
            yield f"targets.{name}.address", reason


def target_faults(field: str, name: str, target: TargetObject) -> Iterator[Fault]:
    """Check one target."""
    if not NAME_PATTERN.match(name):
        yield field, f"target name {name!r} is not {NAME_RULE}"
    if not is_ip_address(target.address):
        yield f"{field}.address", f"{target.address!r} is not an IP address"
    if not 1 <= target.port <= 65_535:
        yield f"{field}.port", f"is {target.port}; expected 1 to 65535"
    if not NAME_PATTERN.match(target.data_centre):
        yield f"{field}.data_centre", f"{target.data_centre!r} is not {NAME_RULE}"
    if len(target.labels) > MAX_LABELS:
        yield f"{field}.labels", f"has {len(target.labels)} labels; at most {MAX_LABELS} allowed"
    for key, value in target.labels.items():
        fault = key_fault(key) or value_fault(value)
        if fault:
            yield f"{field}.labels.{key}", fault


def is_ip_address(text: str) -> bool:
    """Return whether the text is an IP address without a scope."""
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return "%" not in text


def selector_faults(field: str, name: str, selector: SelectorObject) -> Iterator[Fault]:
    """Check one named selector pair."""
    if not NAME_PATTERN.match(name):
        yield field, f"selector name {name!r} is not {NAME_RULE}"
    for side in ("callers", "targets"):
        parsed = parse(getattr(selector, side))
        if isinstance(parsed, InvalidSelector):
            yield f"{field}.{side}", parsed.reason


def change_faults(service: ServiceObject) -> Iterator[Fault]:
    """Check that the recorded changes end at the object's own revision and increase."""
    changes = service.changes
    if len(changes) > MAX_RECORDED_CHANGES:
        yield "changes", f"has {len(changes)} entries; at most {MAX_RECORDED_CHANGES} allowed"
    previous = 0
    for index, change in enumerate(changes):
        field = f"changes[{index}]"
        if not previous < change.revision <= service.revision:
            reason = f"is {change.revision}; expected more than {previous}"
            yield f"{field}.revision", f"{reason} and at most {service.revision}"
        previous = change.revision
        yield from change_text_faults(field, change)
    own = [change for change in changes[-1:] if change.revision == service.revision]
    if own and own[0].change_id != service.change_id:
        yield "change_id", "differs from that of the last recorded change"


def change_text_faults(field: str, change: ChangeObject) -> Iterator[Fault]:
    """Check the texts of one recorded change."""
    yield from text_faults(f"{field}.change_id", change.change_id, 1)
    yield from text_faults(f"{field}.operator", change.operator)
    yield from text_faults(f"{field}.at", change.at)
    yield from text_faults(f"{field}.summary", change.summary)

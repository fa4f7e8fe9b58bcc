"""Strict reading of a configuration document, with all its faults and their JSON paths."""

import math
import re
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Annotated, Any, Literal, TypeVar

import msgspec

from poplarlane.decisions.configuration.checks.entries import (
    ConfigurationEntries,
    CustomerEntry,
    Entry,
    KeyEntry,
    LimitsEntry,
    RouteEntry,
    ServiceEntry,
    SplitEntry,
)
from poplarlane.decisions.configuration.checks.findings import Finding, error, warning
from poplarlane.platform.json_reading import (
    Members,
    is_nested_deeper,
    member_path,
    nested_values,
)
from poplarlane.platform.key_digests import read_digest
from poplarlane.platform.store import MAX_NESTING, is_encodable
from poplarlane.platform.translation import ROUTE_TYPES

MAX_KEY_BYTES = 256
# The end of a message of msgspec, which repeats the path inside the value.
ERROR_PATH = re.compile(r" - at `\$(.*)`\Z")
MAX_SHOWN_NAME = 40
HIDDEN_NAME = "?"
SECTIONS = {
    "version": "version",
    "routes": "routes",
    "services": "services",
    "customers": "tenants",
    "limits": "limits",
}
NAMED_SECTIONS = ("routes", "services", "customers")
TYPE_WORDS = {
    "str": "a string",
    "int": "an integer",
    "float": "a number",
    "bool": "true or false",
    "array": "a list",
    "object": "an object",
    "null": "null",
}
TYPE_NAMES = re.compile(r"`([\w |]+)`")

Positive = Annotated[int, msgspec.Meta(ge=1)]
NotNegative = Annotated[float, msgspec.Meta(ge=0)]
Duration = Annotated[float, msgspec.Meta(gt=0)]
DocumentType = type[msgspec.Struct]
EntryType = TypeVar("EntryType", bound=Entry)


def renamed(name: str, **options: Any) -> Any:
    """Declare a field that has another name in the document."""
    return msgspec.field(name=name, **options)


class SplitFields(msgspec.Struct):
    """Fields of one service of a traffic split."""

    service: str
    weight: NotNegative


class RouteFields(msgspec.Struct, kw_only=True):
    """Fields of a route; the parts of its split are read one by one."""

    name: str
    host: str
    path_prefix: str
    kind: Literal[ROUTE_TYPES] = renamed("route_type")
    service: str | None = None
    split: list[Any] | None = renamed("traffic_split", default=None)
    timeout_s: NotNegative | None = None
    latency_objective_s: NotNegative | None = renamed("target_latency_s", default=None)
    priority: int = 2
    max_attempts: int = 1
    is_public: bool = renamed("public", default=False)
    regions: list[str] | None = renamed("allowed_regions", default=None)


class ServiceFields(msgspec.Struct, kw_only=True):
    """Fields of a service."""

    name: str
    health_path: str = ""
    max_connections: Positive = 100
    cold_start_s: NotNegative = 0.0
    cold_per_s: NotNegative = 0.0


class CustomerFields(msgspec.Struct, kw_only=True):
    """Fields of a customer; its keys are read one by one."""

    name: str
    keys: list[Any] = renamed("api_keys", default_factory=list)
    priority: int | None = None
    rate_per_s: NotNegative = 0.0
    burst: NotNegative = 0.0
    regions: list[str] | None = renamed("allowed_regions", default=None)


class LimitsFields(msgspec.Struct, kw_only=True):
    """Size limits and timeouts for callers."""

    max_head_bytes: Positive = renamed("max_header_bytes")
    max_body_bytes: Positive
    head_timeout_s: Duration = renamed("header_timeout_s")
    idle_timeout_s: Duration


class ConfigurationFields(msgspec.Struct, kw_only=True):
    """Fields of the document; the entries of its lists are read one by one."""

    version: Positive
    routes: list[Any]
    services: list[Any]
    limits: dict[str, Any] | None = None
    customers: list[Any] | None = renamed("tenants", default=None)
    base_version: int | None = None


FIELD_TYPES: tuple[DocumentType, ...] = (
    SplitFields,
    RouteFields,
    ServiceFields,
    CustomerFields,
    LimitsFields,
    ConfigurationFields,
)
FIELDS = {found: msgspec.structs.fields(found) for found in FIELD_TYPES}
# JSON names by attribute.
NAMES = {
    found: {item.name: item.encode_name for item in fields} for found, fields in FIELDS.items()
}
KNOWN_NAMES = {name for names in NAMES.values() for name in names.values()}


@dataclass(frozen=True, slots=True)
class CheckedDocument:
    """What could be read of a document, the faults of the rest, and the digests of all keys."""

    entries: ConfigurationEntries
    findings: list[Finding]
    key_digests: set[str]


def read_configuration(document: Any) -> CheckedDocument:
    """Read a decoded document strictly; every fault becomes a finding."""
    findings = list(text_faults(document))
    values = fields_of(document, ConfigurationFields, "", findings)
    unread: dict[str, set[str]] = {
        section: set() if section in values else {""} for section in SECTIONS
    }
    read = {
        section: [] if raw is None else read_list(section, raw, unread[section], findings)
        for section, raw in ((name, values.get(name)) for name in NAMED_SECTIONS)
    }
    limits = None
    if values.get("limits") is not None:
        path = SECTIONS["limits"]
        limits = read_entry(values["limits"], LimitsFields, LimitsEntry, path, findings)
        if limits is None:
            unread["limits"].add("")
    entries = ConfigurationEntries(
        version=values.get("version"), limits=limits, sections=SECTIONS, unread=unread, **read
    )
    key_digests = digests_in(values.get("customers") or [])
    findings += hide_key_names(entries, key_digests)
    return CheckedDocument(entries, findings, key_digests)


def digests_in(raw_customers: list[Any]) -> set[str]:
    """Return the digests of all keys, also those of customers that cannot be read."""
    field_name = NAMES[CustomerFields]["keys"]
    lists = (raw.get(field_name) for raw in raw_customers if isinstance(raw, dict))
    keys = (key for keys in lists if isinstance(keys, list) for key in keys)
    return {digest_of(key) for key in keys if isinstance(key, str)}


def hide_key_names(entries: ConfigurationEntries, key_digests: set[str]) -> Iterator[Finding]:
    """Replace the names of customers that are keys, because findings and targets see names."""
    for customer in entries.customers:
        if digest_of(customer.name) in key_digests:
            customer.name = HIDDEN_NAME
            yield error(customer.at("name"), "the name is a key, which nodes would send to targets")


def digest_of(text: str) -> str:
    """Return the SHA-256 digest of a key, in hexadecimal digits.

    The keys of the version in force are digests already when they have been read.
    """
    return read_digest(text).hex()


def text_faults(document: Any) -> Iterator[Finding]:
    """Find what the JSON text allows and nodes refuse, or decode in another way."""
    if is_nested_deeper(document, MAX_NESTING):
        yield error("", f"nested deeper than {MAX_NESTING} levels")
        return
    for path, value in nested_values(document, shown_name):
        if isinstance(value, Members) and value.repeated:
            for name in value.repeated:
                yield error(member_path(path, shown_name(name)), "the name is given twice")
        elif isinstance(value, str) and not is_text(value):
            yield error(path, "half of a character that is no valid Unicode")
        elif isinstance(value, int) and not is_encodable([value]):
            yield error(path, "an integer beyond 64 bits")
        elif isinstance(value, float) and not math.isfinite(value):
            yield error(path, "a number out of range")


def is_text(value: str) -> bool:
    """Return whether a text can be encoded."""
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


def shown_name(name: str) -> str:
    """Return a name, hidden unless it is that of a field, because it might be a key."""
    return name if name in KNOWN_NAMES else HIDDEN_NAME


def fields_of(
    raw: Any, document: DocumentType, path: str, findings: list[Finding]
) -> dict[str, Any]:
    """Convert the fields of one object; those with faults are missing in the result."""
    if not isinstance(raw, dict):
        findings.append(error(path, "not an object"))
        return {}
    values = {}
    for item in FIELDS[document]:
        place = member_path(path, item.encode_name)
        if item.encode_name not in raw:
            if item.required:
                findings.append(error(place, "the field is missing"))
            elif item.default_factory is not msgspec.NODEFAULT:
                values[item.name] = item.default_factory()
            else:
                values[item.name] = item.default
            continue
        try:
            values[item.name] = msgspec.convert(raw[item.encode_name], item.type)
        except msgspec.ValidationError as fault:
            findings.append(conversion_fault(place, fault))
        except UnicodeEncodeError:
            findings.append(error(place, "the value is no valid Unicode"))
    findings += unknown_fields(raw, document, path)
    return values


def conversion_fault(place: str, fault: Exception) -> Finding:
    """Describe a field with a wrong value, without quoting it."""
    text = str(fault)
    inner = ERROR_PATH.search(text)
    reason = ERROR_PATH.sub("", text)
    if reason.startswith("Invalid enum value"):
        reason = f"expected one of {', '.join(ROUTE_TYPES)}"
    reason = TYPE_NAMES.sub(type_words, reason)
    return error(place + (inner[1] if inner else ""), reason.replace("Expected", "expected", 1))


def type_words(match: re.Match[str]) -> str:
    """Return the plain words for one type or several."""
    return " or ".join(TYPE_WORDS.get(name, name) for name in match[1].split(" | "))


def unknown_fields(raw: Mapping[str, Any], document: DocumentType, path: str) -> Iterator[Finding]:
    """Find fields that nodes ignore, such as misspelt ones; names inside customers stay hidden."""
    known = NAMES[document].values()
    for number, name in enumerate(raw, 1):
        if name not in known:
            shown = (
                f"number {number}" if document is CustomerFields else repr(name[:MAX_SHOWN_NAME])
            )
            yield warning(path, f"nodes ignore the unknown field {shown}")


def read_entry(
    raw: Any,
    document: DocumentType,
    entry_type: type[EntryType],
    path: str,
    findings: list[Finding],
) -> EntryType | None:
    """Read one entry; None if one of its fields has a fault."""
    values = fields_of(raw, document, path, findings)
    if len(values) < len(FIELDS[document]):
        return None
    names = NAMES[document]
    if document is RouteFields:
        place = member_path(path, names["split"])
        parts = [
            read_entry(part, SplitFields, SplitEntry, f"{place}[{index}]", findings)
            for index, part in enumerate(values["split"] or [])
        ]
        if None in parts:
            return None
        values["split"] = parts
    elif document is CustomerFields:
        place = member_path(path, names["keys"])
        values["keys"] = list(read_keys(values["keys"], place, findings))
    return entry_type(path=path, names=names, **values)


def read_keys(raw_keys: list[Any], path: str, findings: list[Finding]) -> Iterator[KeyEntry]:
    """Replace valid keys by their digests."""
    for index, key in enumerate(raw_keys):
        place = f"{path}[{index}]"
        fault = key_fault(key)
        if fault:
            findings.append(error(place, fault))
        else:
            yield KeyEntry(path=place, digest=digest_of(key))


def key_fault(key: Any) -> str:
    """Return why nodes refuse a key; empty if they do not."""
    if not isinstance(key, str):
        return "the key is not a string"
    if not key:
        return "the key is empty"
    if not key.isascii():
        return "the key is not ASCII"
    if len(key) > MAX_KEY_BYTES:
        return f"the key is longer than {MAX_KEY_BYTES} bytes"
    return ""


ENTRY_TYPES: dict[str, tuple[DocumentType, type[Entry]]] = {
    "routes": (RouteFields, RouteEntry),
    "services": (ServiceFields, ServiceEntry),
    "customers": (CustomerFields, CustomerEntry),
}


def read_list(
    section: str, raw_entries: list[Any], unread: set[str], findings: list[Finding]
) -> list[Any]:
    """Read the entries of a list; the names of those with faults are added to `unread`."""
    document, entry_type = ENTRY_TYPES[section]
    entries = []
    for index, raw in enumerate(raw_entries):
        path = f"{SECTIONS[section]}[{index}]"
        entry = read_entry(raw, document, entry_type, path, findings)
        if entry is not None:
            entries.append(entry)
        else:
            name = raw.get("name") if isinstance(raw, dict) else None
            unread.add(name if isinstance(name, str) else "")
    return entries

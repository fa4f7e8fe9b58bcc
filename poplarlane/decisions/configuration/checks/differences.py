"""Differences between a configuration and the version in force."""

from collections.abc import Iterable

from poplarlane.decisions.configuration.checks.entries import (
    ConfigurationEntries,
    CustomerEntry,
    Entry,
    KeyEntry,
    LimitsEntry,
    NamedEntry,
)
from poplarlane.decisions.configuration.checks.findings import Finding, error, note

# Enough to tell the keys of a fleet apart.
SHOWN_DIGEST_DIGITS = 12


def check_differences(new: ConfigurationEntries, old: ConfigurationEntries) -> list[Finding]:
    """Return what the new configuration adds, removes and changes, and whether its version rises.

    Entries that cannot be read in one of the two are left out.
    """
    changes = [
        *list_differences("routes", new, old),
        *list_differences("services", new, old),
        *list_differences("customers", new, old),
        *key_differences(new, old),
        *limit_differences(new, old),
    ]
    return [*version_findings(new, old, bool(changes)), *changes]


def version_findings(
    new: ConfigurationEntries, old: ConfigurationEntries, is_changed: bool
) -> Iterable[Finding]:
    """Compare the versions; nodes never replace a version by an equal or a lower one."""
    if new.version is None or old.version is None:
        return
    path = new.sections["version"]
    if new.version > old.version:
        yield note(path, f"the version rises from {old.version} to {new.version}")
    elif new.version == old.version and not is_changed:
        yield note(path, f"the configuration is the one in force, version {old.version}")
    else:
        text = f"the version does not rise: {new.version}, while {old.version} is in force"
        yield error(path, text)


def list_differences(
    section: str, new: ConfigurationEntries, old: ConfigurationEntries
) -> Iterable[Finding]:
    """Compare two lists of entries by name."""
    word = section.removesuffix("s")
    before = comparable(section, old, new)
    after = comparable(section, new, old)
    for name, entry in after.items():
        if name not in before:
            yield note(entry.path, f"{word} {name!r} is added")
        else:
            yield from field_differences(f"{word} {name!r}", entry, before[name])
    for name in before:
        if name not in after:
            yield note(new.sections[section], f"{word} {name!r} is removed")


def comparable(
    section: str, found: ConfigurationEntries, other: ConfigurationEntries
) -> dict[str, NamedEntry]:
    """Return the entries of a list by name, without those that the other document has unread."""
    entries: list[NamedEntry] = getattr(found, section)
    unread = other.unread[section]
    if "" in unread:
        present = {entry.name for entry in getattr(other, section)}
        return {entry.name: entry for entry in entries if entry.name in present}
    return {entry.name: entry for entry in entries if entry.name not in unread}


def field_differences(subject: str, new: Entry, old: Entry) -> Iterable[Finding]:
    """Compare the fields of an entry, except keys."""
    before = old.values()
    for attribute, value in new.values().items():
        if attribute != "keys" and value != before[attribute]:
            change = f"{shown(before[attribute])} -> {shown(value)}"
            yield note(new.at(attribute), f"{subject} changes: {change}")


def shown(value: object) -> str:
    """Format a value of a field."""
    if isinstance(value, list):
        parts = (
            f"{part.service!r}: {part.weight:g}" if isinstance(part, Entry) else repr(part)
            for part in value
        )
        return f"[{', '.join(parts)}]"
    return "none" if value is None else repr(value)


def key_differences(new: ConfigurationEntries, old: ConfigurationEntries) -> Iterable[Finding]:
    """Compare the keys of each customer."""
    before = comparable("customers", old, new)
    for customer in comparable("customers", new, old).values():
        yield from customer_keys(customer, before.pop(customer.name, None))
    for customer in before.values():
        if customer.keys:
            text = f"customer {customer.name!r} loses {shown_keys(customer.keys)}"
            yield note(new.sections["customers"], text)


def customer_keys(new: CustomerEntry, old: CustomerEntry | None) -> Iterable[Finding]:
    """Compare the keys of one customer."""
    old_keys = old.keys if old is not None else []
    kept = {key.digest for key in old_keys} & {key.digest for key in new.keys}
    added = [key for key in new.keys if key.digest not in kept]
    removed = [key for key in old_keys if key.digest not in kept]
    if added:
        text = f"customer {new.name!r} gets {shown_keys(added)}"
        yield note(new.at("keys"), text)
    if removed:
        text = f"customer {new.name!r} loses {shown_keys(removed)}"
        yield note(new.at("keys"), text)


def shown_keys(keys: list[KeyEntry]) -> str:
    """Count keys and list the beginnings of their digests."""
    digests = ", ".join(key.digest[:SHOWN_DIGEST_DIGITS] for key in keys)
    return f"{len(keys)} {'key' if len(keys) == 1 else 'keys'} (SHA-256 {digests})"


def limit_differences(new: ConfigurationEntries, old: ConfigurationEntries) -> Iterable[Finding]:
    """Compare the limits of callers."""
    path, after, before = new.sections["limits"], new.limits, old.limits
    if new.unread["limits"] or old.unread["limits"]:
        return
    if isinstance(after, LimitsEntry) and isinstance(before, LimitsEntry):
        yield from field_differences("the limit", after, before)
    elif after is not None:
        yield note(path, "limits are added")
    elif before is not None:
        yield note(path, "limits are removed")

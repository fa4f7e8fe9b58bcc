"""The configuration document that the store holds."""

from dataclasses import dataclass
from typing import Any

import msgspec

from poplarlane.platform.store import CONFIGURATION_KIND, decode_page, list_path
from poplarlane.platform.translation import CONFIGURATION_NAME

OK_STATUS = 200


@dataclass(frozen=True, slots=True)
class Found:
    """The document in force."""

    document: Any


@dataclass(frozen=True, slots=True)
class NotFound:
    """Why there is no document that could be compared."""

    reason: str


@dataclass(frozen=True, slots=True)
class NextPage:
    """The document may be on the page that starts after another name."""

    after: str


def page_path(after: str) -> str:
    """Return the path of a page that may hold the configuration, never an old one."""
    return list_path(CONFIGURATION_KIND, after, allow_stale=False)


def find_in_page(after: str, status: int, body: bytes) -> Found | NotFound | NextPage:
    """Find the configuration in the page after a name; pages are ordered by name."""
    if status != OK_STATUS:
        return NotFound(f"status {status}")
    try:
        page = decode_page(body)
    except (msgspec.MsgspecError, RecursionError):
        return NotFound("the response cannot be decoded")
    for item in page.items:
        if item.name == CONFIGURATION_NAME:
            return Found(item.spec)
    if any(item.name == CONFIGURATION_NAME for item in page.unreadable):
        return NotFound("the configuration in force cannot be decoded")
    if page.has_more and after < page.last_name < CONFIGURATION_NAME:
        return NextPage(page.last_name)
    return NotFound("no configuration is in force")

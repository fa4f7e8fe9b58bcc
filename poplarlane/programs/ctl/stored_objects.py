"""Decoding of service objects read from the platform."""

from poplarlane.decisions.configuration.configuration import StoredObject
from poplarlane.decisions.configuration.validation import check_service
from poplarlane.objects import SERVICES_KIND
from poplarlane.plumbing.ctl_client import StoredValue


def decode_stored(value: StoredValue, name: str, kind: str = SERVICES_KIND) -> StoredObject:
    """Decode and validate a stored value."""
    if value.version == 0:
        return StoredObject(0, None, [])
    checked = check_service(value.body(), name, kind)
    if isinstance(checked, list):
        return StoredObject(value.version, None, checked)
    return StoredObject(value.version, checked, [])

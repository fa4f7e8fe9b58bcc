"""Decoding of the platform's responses."""

import base64
import binascii

import msgspec

from poplarlane.decisions.membership.agent_events import ListedVm, StoredItem
from poplarlane.objects import PROBE_GRANT_DECODER, ProbeGrantObject


class ObjectDocument(msgspec.Struct):
    """One object; `raw` is the base64 of a value that is not JSON."""

    name: str
    version: int
    value: msgspec.Raw = msgspec.Raw(b"")
    raw: str = ""


class ListDocument(msgspec.Struct):
    """A list, or the changes of a watch."""

    revision: int
    items: list[ObjectDocument] = []
    changes: list[ObjectDocument] = []


class VmDocument(msgspec.Struct):
    """One row of the list of VMs."""

    name: str
    address: str
    data_centre: str = ""
    role: str = ""
    state: str = "live"
    incarnation: int = 0


class VmsDocument(msgspec.Struct):
    """The list of VMs; `as_of` is in seconds of wall-clock time."""

    as_of: float
    vms: list[VmDocument]


LIST_DECODER = msgspec.json.Decoder(ListDocument)
OBJECT_DECODER = msgspec.json.Decoder(ObjectDocument)
VMS_DECODER = msgspec.json.Decoder(VmsDocument)


def stored_item(document: ObjectDocument) -> StoredItem:
    """Return the stored bytes of an object; invalid base64 is kept unchanged."""
    body = bytes(document.value)
    if document.raw:
        try:
            body = base64.b64decode(document.raw)
        except binascii.Error:
            body = document.raw.encode()
    return StoredItem(document.name, document.version, body)


def decode_list(body: bytes) -> tuple[int, list[StoredItem]]:
    """Decode the response to a list or watch; raises msgspec.DecodeError."""
    document = LIST_DECODER.decode(body)
    return document.revision, [stored_item(item) for item in document.items + document.changes]


def decode_vms(body: bytes) -> tuple[float, list[ListedVm]]:
    """Decode the list of VMs; raises msgspec.DecodeError."""
    document = VMS_DECODER.decode(body)
    vms = [
        ListedVm(vm.name, vm.address, vm.data_centre, vm.role, vm.state, vm.incarnation)
        for vm in document.vms
    ]
    return document.as_of, vms


def decode_grant(body: bytes) -> tuple[int, ProbeGrantObject]:
    """Decode a stored grant and its version; raises msgspec.DecodeError."""
    item = stored_item(OBJECT_DECODER.decode(body))
    return item.version, PROBE_GRANT_DECODER.decode(item.body)

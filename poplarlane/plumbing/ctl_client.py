"""Client for the platform's object API and the agents' admin ports, used by poplarctl."""

import base64
import urllib.parse
from dataclasses import dataclass
from typing import Any

import msgspec

from poplarlane.plumbing.http_call import CallFailure, CallResponse, call

HTTP_OK = 200
HTTP_CREATED = 201
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 412
# Statuses with which the platform rejects a call without executing it.
REFUSED_STATUSES = frozenset((400, 404, 405, 413, 429, 503))
CALLER_HEADER = "x-poplarlane-caller"
CALLER = "poplarctl"
CALL_TIMEOUT_S = 2.0
AGENT_TIMEOUT_S = 1.0


class StoredValue(msgspec.Struct):
    """A stored object as the platform returns it; version 0 means that there is none.

    A value that is not JSON is in `raw`, as base64.
    """

    name: str = ""
    version: int = 0
    value: msgspec.Raw = msgspec.Raw(b"null")
    raw: str = ""

    def body(self) -> bytes:
        """Return the stored bytes."""
        return base64.b64decode(self.raw) if self.raw else bytes(self.value)


class ObjectList(msgspec.Struct):
    """All objects of one kind."""

    items: list[StoredValue]


class VmObject(msgspec.Struct):
    """A VM in the platform's list, which may be out of date."""

    name: str
    address: str
    role: str = ""
    state: str = "live"
    data_centre: str = ""
    admin_port: int = 0


class VmList(msgspec.Struct):
    """The platform's list of VMs."""

    vms: list[VmObject]


class WrittenVersion(msgspec.Struct):
    """The platform's response to a write."""

    version: int


VALUE_DECODER = msgspec.json.Decoder(StoredValue)
LIST_DECODER = msgspec.json.Decoder(ObjectList)
VMS_DECODER = msgspec.json.Decoder(VmList)
WRITTEN_DECODER = msgspec.json.Decoder(WrittenVersion)


@dataclass(frozen=True, slots=True)
class Written:
    """A conditional write that took effect."""

    version: int


@dataclass(frozen=True, slots=True)
class VersionConflict:
    """A conditional write that was rejected because another version is stored."""

    current: StoredValue


@dataclass(frozen=True, slots=True)
class PlatformFailure:
    """A call without a result; with `sent`, a write may have taken effect."""

    reason: str
    sent: bool


class PlatformClient:
    """Asynchronous client for the platform's object API."""

    __slots__ = ("address", "port")

    def __init__(self, address: str, port: int) -> None:
        self.address = address
        self.port = port

    async def read(self, kind: str, name: str) -> StoredValue | PlatformFailure:
        """Read one object; the result may be stale."""
        response = await self.request("GET", object_path(kind, name))
        if isinstance(response, CallResponse) and response.status == HTTP_NOT_FOUND:
            return StoredValue(name=name)
        return decode_response(response, VALUE_DECODER, (HTTP_OK,))

    async def write(
        self, kind: str, name: str, body: bytes, version: int
    ) -> Written | VersionConflict | PlatformFailure:
        """Write one object if `version` is the stored one; 0 creates it."""
        condition = {"if-match": str(version)} if version else {"if-none-match": "*"}
        response = await self.request("PUT", object_path(kind, name), condition, body)
        if isinstance(response, CallResponse) and response.status == HTTP_CONFLICT:
            current = decode_response(response, VALUE_DECODER, (HTTP_CONFLICT,))
            return current if isinstance(current, PlatformFailure) else VersionConflict(current)
        written = decode_response(response, WRITTEN_DECODER, (HTTP_OK, HTTP_CREATED))
        return written if isinstance(written, PlatformFailure) else Written(written.version)

    async def list_kind(self, kind: str) -> list[StoredValue] | PlatformFailure:
        """List the objects of one kind; the result may be stale."""
        response = await self.request("GET", f"/v1/objects/{kind}")
        listed = decode_response(response, LIST_DECODER, (HTTP_OK,))
        return listed if isinstance(listed, PlatformFailure) else listed.items

    async def vms(self) -> list[VmObject] | PlatformFailure:
        """Read the list of VMs, which may be out of date."""
        response = await self.request("GET", "/v1/vms")
        listed = decode_response(response, VMS_DECODER, (HTTP_OK,))
        return listed if isinstance(listed, PlatformFailure) else listed.vms

    async def request(
        self, method: str, path: str, headers: dict[str, str] | None = None, body: bytes = b""
    ) -> CallResponse | CallFailure:
        """Send one request with this client's caller header."""
        fields = {CALLER_HEADER: CALLER, **(headers or {})}
        return await call(self.address, self.port, method, path, fields, body, CALL_TIMEOUT_S)


def object_path(kind: str, name: str) -> str:
    """Build the path of one object."""
    return f"/v1/objects/{kind}/{urllib.parse.quote(name, safe='')}"


def decode_response(
    response: CallResponse | CallFailure, decoder: msgspec.json.Decoder, accepted: tuple[int, ...]
) -> Any:
    """Decode a response with an accepted status; return a PlatformFailure for any other."""
    if isinstance(response, CallFailure):
        return PlatformFailure(response.reason, response.sent)
    if response.status not in accepted:
        sent = response.status not in REFUSED_STATUSES
        text = response.body[:200].decode("utf-8", "replace")
        return PlatformFailure(f"platform answered with status {response.status}: {text}", sent)
    try:
        return decoder.decode(response.body)
    except (msgspec.DecodeError, RecursionError) as error:
        return PlatformFailure(f"platform sent an undecodable response: {error}", True)


async def read_admin(address: str, port: int, path: str) -> bytes | CallFailure:
    """Fetch a page from an admin port."""
    response = await call(address, port, "GET", path, {}, b"", AGENT_TIMEOUT_S)
    if isinstance(response, CallFailure):
        return response
    if response.status != HTTP_OK:
        return CallFailure(f"{address}:{port}{path} answered with status {response.status}", True)
    return response.body

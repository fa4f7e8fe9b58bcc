"""Digests by which nodes recognise the same request."""

import hashlib
from collections.abc import Sequence
from typing import Protocol

from poplarlane.decisions.customers.keys import Customer

DIGEST_BYTES = 16


class Content(Protocol):
    """The content of a request, which the shell holds until its caller is answered."""

    def fingerprint(self, customer: str) -> bytes:
        """Return the digest of the content as sent by a customer."""


def digest(
    customer: str, host: str, method: bytes, path: bytes, body: Sequence[bytes | bytearray]
) -> bytes:
    """Return the digest of a request, whose body comes in parts of any size.

    The hash is cryptographic: nobody can craft a request with the digest of another one to get that
    refused. Each field is preceded by its length, so that different requests differ in the input.
    """
    state = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for field in (customer.encode(), host.encode("utf-8", "surrogateescape"), method, path):
        state.update(len(field).to_bytes(8, "big"))
        state.update(field)
    for part in body:
        state.update(part)
    return state.digest()


class Held(Protocol):
    """What a digest needs of a request; `fingerprint` is empty until it was computed."""

    content: Content | None
    customer: Customer | None
    fingerprint: bytes


def fingerprint(request: Held) -> bytes:
    """Return the digest of a request, computed once; empty if the content is not known."""
    if not request.fingerprint and request.content is not None:
        name = request.customer.name if request.customer is not None else ""
        request.fingerprint = request.content.fingerprint(name)
    return request.fingerprint

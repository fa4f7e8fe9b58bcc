"""Customers and their keys, which are held and compared as digests only."""

import hashlib
import hmac

from poplarlane.types import Priority

MAX_KEY_BYTES = 256
MAX_KEY_BYTE = 127
# Stands for a key that cannot be one; no SHA-256 digest has this length.
MALFORMED_KEY = b"malformed"


class Customer:
    """A customer of the configuration; a rate of 0 means that its requests are not limited.

    `priority` None leaves the priority to the route, `allowed_regions` None the regions.
    """

    __slots__ = ("name", "key_digests", "priority", "rate_per_s", "burst", "allowed_regions")

    def __init__(
        self,
        name: str,
        key_digests: list[bytes],
        priority: Priority | None = None,
        rate_per_s: float = 0.0,
        burst: float = 0.0,
        allowed_regions: frozenset[str] | None = None,
    ) -> None:
        self.name = name
        self.key_digests = key_digests
        self.priority = priority
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.allowed_regions = allowed_regions

    def restrict(self, regions: frozenset[str] | None) -> frozenset[str] | None:
        """Return the regions that both this customer and a route allow; None allows all."""
        if regions is None or self.allowed_regions is None:
            return self.allowed_regions if regions is None else regions
        return regions & self.allowed_regions


class CustomerTable:
    """The customers of the configuration in force, by name and by the digests of their keys."""

    __slots__ = ("by_name", "by_digest")

    def __init__(self, customers: list[Customer]) -> None:
        self.by_name = {customer.name: customer for customer in customers}
        self.by_digest: dict[bytes, tuple[bytes, Customer]] = {}
        for customer in customers:
            for digest in customer.key_digests:
                self.by_digest.setdefault(digest, (digest, customer))

    def find(self, digest: bytes) -> Customer | None:
        """Return the customer that a key belongs to."""
        held = self.by_digest.get(digest)
        if held is None or not hmac.compare_digest(held[0], digest):
            return None
        return held[1]


def digest_of_key(key: bytes) -> bytes:
    """Return the digest of a key that a caller sent; MALFORMED_KEY if it cannot be one."""
    if not key or len(key) > MAX_KEY_BYTES or max(key) > MAX_KEY_BYTE:
        return MALFORMED_KEY
    return hashlib.sha256(key).digest()

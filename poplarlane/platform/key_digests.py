"""Digests in the place of keys in configuration objects.

Nodes pass configuration objects on to each other. Keys are replaced as soon as a response of the
store has been decoded, so that no node holds or sends one.
"""

import hashlib
import re

TENANTS = "tenants"
API_KEYS = "api_keys"
# Stands for a value of a wrong type that may hold keys; the translation refuses it as well.
MALFORMED = 0
PREFIX = "sha256:"
DIGEST = re.compile(PREFIX + r"([0-9a-f]{64})\Z")


def replace_keys(spec: object) -> object:
    """Return the content of an object with a digest in the place of each key."""
    if not isinstance(spec, dict) or spec.get(TENANTS) is None:
        return spec
    if not isinstance(spec[TENANTS], list):
        return spec | {TENANTS: MALFORMED}
    return spec | {TENANTS: [replace_tenant_keys(tenant) for tenant in spec[TENANTS]]}


def replace_tenant_keys(tenant: object) -> object:
    """Return a customer with a digest in the place of each key."""
    if not isinstance(tenant, dict):
        return MALFORMED
    if API_KEYS not in tenant:
        return tenant
    if not isinstance(tenant[API_KEYS], list):
        return tenant | {API_KEYS: MALFORMED}
    keys = [text_of_digest(key) if isinstance(key, str) else "" for key in tenant[API_KEYS]]
    return tenant | {API_KEYS: keys}


def text_of_digest(key: str) -> str:
    """Return the text that stands for a key."""
    return PREFIX + hashlib.sha256(key.encode("utf-8", "surrogatepass")).hexdigest()


def read_digest(text: str) -> bytes:
    """Return the digest that a text stands for; a key from another source is digested here."""
    found = DIGEST.match(text)
    return bytes.fromhex((found or DIGEST.match(text_of_digest(text)))[1])

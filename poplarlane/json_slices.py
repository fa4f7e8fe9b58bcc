"""Split JSON documents into the raw texts of their parts, whatever these hold.

A decoder refuses a whole document for one string that is not UTF-8 or one value nested too deeply.
The functions here only match quotes and brackets. They raise msgspec.DecodeError.
"""

import json
import re
from collections.abc import Iterator

import msgspec

STRING = rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"'
FILLING = rb'[^\[\]{}"]*+'
# Levels of brackets that one match of SHALLOW skips; deeper ones take a step of Python per bracket.
SHALLOW_LEVELS = 4


def shallow_pattern(levels: int) -> bytes:
    """Return a pattern for content without brackets nested deeper than some levels."""
    pattern = FILLING + rb"(?:" + STRING + FILLING + rb")*+"
    for _ in range(levels):
        group = rb"[\[{]" + pattern + rb"[\]}]"
        pattern = FILLING + rb"(?:(?:" + STRING + rb"|" + group + rb")" + FILLING + rb")*+"
    return pattern


SHALLOW = re.compile(shallow_pattern(SHALLOW_LEVELS), re.DOTALL)
# The last alternative is a string without an end.
TOKEN = re.compile(STRING + rb'|[\[{]+|[\]}]+|,|"', re.DOTALL)
KEY = re.compile(rb"\s*(" + STRING + rb")\s*:", re.DOTALL)
OPENING = b"[{"
CLOSING = b"]}"
COMMA = ord(",")


def array_items(text: bytes) -> list[bytes]:
    """Return the raw items of an array."""
    return list(parts(text, b"[", b"]"))


def object_members(text: bytes) -> dict[str, bytes]:
    """Return the raw values of an object by key; the last one of a repeated key."""
    found = {}
    for part in parts(text, b"{", b"}"):
        key = KEY.match(part)
        if key is None:
            raise msgspec.DecodeError("member without a key")
        found[text_of(key[1])] = part[key.end() :]
    return found


def text_of(string: bytes) -> str:
    """Decode a raw string; bytes that are not UTF-8 become lone surrogates (PEP 383)."""
    if not string.lstrip().startswith(b'"'):
        raise msgspec.DecodeError("not a string")
    try:
        return json.loads(string.decode("utf-8", "surrogateescape"), strict=False)
    except ValueError as error:
        raise msgspec.DecodeError(f"not a string: {error}") from error


def parts(text: bytes, opening: bytes, closing: bytes) -> Iterator[bytes]:
    """Split the content between two brackets at its outermost commas."""
    text = text.strip()
    if len(text) < 2 or not text.startswith(opening) or not text.endswith(closing):
        raise msgspec.DecodeError(f"not enclosed in {(opening + closing).decode()}")
    end = len(text) - 1
    start, depth, at = 1, 0, 1
    while token := TOKEN.search(text, at, end):
        at = token.end()
        first, length = text[token.start()], token.end() - token.start()
        if first in OPENING:
            depth += length
            at = SHALLOW.match(text, at, end).end()
        elif first in CLOSING:
            depth -= length
            if depth < 0:
                raise msgspec.DecodeError("unbalanced brackets")
            if depth:
                at = SHALLOW.match(text, at, end).end()
        elif first == COMMA:
            if not depth:
                yield text[start : token.start()]
                start = token.end()
        elif length == 1:
            raise msgspec.DecodeError("string without an end")
    if depth:
        raise msgspec.DecodeError("unbalanced brackets")
    if start > 1 or text[start:end].strip():
        yield text[start:end]

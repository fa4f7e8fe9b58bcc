"""Split JSON documents into the raw texts of their parts, whatever these hold.

A decoder refuses a whole document for one string that is not UTF-8 or one value nested too deeply.
The functions here only match quotes and brackets. They raise msgspec.DecodeError.
"""

import json
import re
from collections.abc import Iterator
from itertools import accumulate

import msgspec

STRING = rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"'
FILLING = rb'[^\[\]{}"]*+'
# Levels of brackets that one match of PART skips; deeper ones take several times as long.
SHALLOW_LEVELS = 12


def part_pattern(levels: int) -> bytes:
    """Return a pattern for content up to a comma, without brackets nested deeper than `levels`."""
    group = rb"[\[{]" + FILLING + rb"(?:" + STRING + FILLING + rb")*+[\]}]"
    for _ in range(levels - 1):
        inner = FILLING + rb"(?:(?:" + STRING + rb"|" + group + rb")" + FILLING + rb")*+"
        group = rb"[\[{]" + inner + rb"[\]}]"
    filling = FILLING.replace(b'"', b'",')
    return filling + rb"(?:(?:" + STRING + rb"|" + group + rb")" + filling + rb")*+"


PART = re.compile(part_pattern(SHALLOW_LEVELS), re.DOTALL)
# Other strings are skipped. A single quote is a string without an end.
AWKWARD_STRING = re.compile(rb'(?:[^"]++|"[^"\\\[\]{},]*+")*+(' + STRING + rb'|"|\Z)', re.DOTALL)
# What each byte adds to the depth; 255 is -1 as a signed byte.
STEPS = bytes({b"[": 1, b"{": 1, b"]": 255, b"}": 255}.get(bytes([n]), 0) for n in range(256))
KEY = re.compile(rb"\s*(" + STRING + rb")\s*:", re.DOTALL)
COMMA = ord(",")
BLOCK_BYTES = 4_096


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
    start, end = 1, len(text) - 1
    while (at := PART.match(text, start, end).end()) < end:
        if text[at] != COMMA:
            yield from deep_parts(text[start:end])
            return
        yield text[start:at]
        start = at + 1
    if start > 1 or text[start:end].strip():
        yield text[start:end]


def deep_parts(text: bytes) -> Iterator[bytes]:
    """Split a text like `parts`, in time that hardly depends on its nesting."""
    start = 0
    for comma in outer_commas(without_strings(text)):
        yield text[start:comma]
        start = comma + 1
    yield text[start:]


def outer_commas(bare: bytes) -> Iterator[int]:
    """Find the commas outside all brackets in a text without strings."""
    steps = memoryview(bare.translate(STEPS)).cast("b")
    depth = 0
    for at in range(0, len(bare), BLOCK_BYTES):
        block = bare[at : at + BLOCK_BYTES]
        closed = block.count(b"]") + block.count(b"}")
        # In a block with fewer closing brackets than are open, no comma is an outer one.
        if depth <= closed:
            depths = list(accumulate(steps[at : at + BLOCK_BYTES], initial=depth))
            if min(depths) < 0:
                raise msgspec.DecodeError("unbalanced brackets")
            commas = (comma.start() for comma in re.finditer(b",", block))
            yield from (at + comma for comma in commas if not depths[comma])
        depth += block.count(b"[") + block.count(b"{") - closed
    if depth:
        raise msgspec.DecodeError("unbalanced brackets")


def without_strings(text: bytes) -> bytes:
    """Return a text of the same length, without the strings that hold brackets or commas."""
    bare = bytearray(text)
    for found in AWKWARD_STRING.finditer(text):
        start, end = found.span(1)
        if end - start == 1:
            raise msgspec.DecodeError("string without an end")
        bare[start:end] = b"_" * (end - start)
    return bytes(bare)

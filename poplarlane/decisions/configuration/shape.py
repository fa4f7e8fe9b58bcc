"""Check of decoded JSON against a msgspec struct, reporting every fault instead of the first."""

import json
import re
from functools import singledispatch
from typing import Any

import msgspec
from msgspec import inspect

Fault = tuple[str, str]
UNQUOTED_KEY_PATTERN = re.compile(r"[A-Za-z0-9_.:/-]+\Z")


def check_shape(value: Any, kind: type) -> list[Fault]:
    """List unknown fields, missing fields and wrong types as pairs of field and reason."""
    faults: list[Fault] = []
    check(TYPE_INFO.setdefault(kind, inspect.type_info(kind)), value, "", faults)
    return faults


TYPE_INFO: dict[type, inspect.Type] = {}


@singledispatch
def check(info: inspect.Type, value: Any, path: str, faults: list[Fault]) -> None:
    """Check a value against a type; add a fault per difference."""
    raise TypeError(f"no shape check for {type(info).__name__}")


@check.register
def check_struct(info: inspect.StructType, value: Any, path: str, faults: list[Fault]) -> None:
    if not isinstance(value, dict):
        faults.append((path or "(object)", expected("an object", value)))
        return
    accepted = {field.encode_name: field for field in info.fields}
    names = ", ".join(accepted)
    for key in [key for key in value if key not in accepted]:
        faults.append((join(path, key), f"unknown field; accepted fields: {names}"))
    for key, field in accepted.items():
        if key in value:
            check(field.type, value[key], join(path, key), faults)
        elif field.required:
            faults.append((join(path, key), "required field is missing"))


@check.register
def check_list(info: inspect.ListType, value: Any, path: str, faults: list[Fault]) -> None:
    if not isinstance(value, list):
        faults.append((path, expected("a list", value)))
        return
    for index, item in enumerate(value):
        check(info.item_type, item, f"{path}[{index}]", faults)


@check.register
def check_dict(info: inspect.DictType, value: Any, path: str, faults: list[Fault]) -> None:
    if not isinstance(value, dict):
        faults.append((path, expected("an object", value)))
        return
    for key, item in value.items():
        check(info.value_type, item, join(path, key), faults)


@check.register
def check_string(info: inspect.StrType, value: Any, path: str, faults: list[Fault]) -> None:
    if not isinstance(value, str):
        faults.append((path, expected("a string", value)))


@check.register
def check_bool(info: inspect.BoolType, value: Any, path: str, faults: list[Fault]) -> None:
    if not isinstance(value, bool):
        faults.append((path, expected("true or false", value)))


@check.register
def check_integer(info: inspect.IntType, value: Any, path: str, faults: list[Fault]) -> None:
    if isinstance(value, bool) or not isinstance(value, int):
        faults.append((path, expected("an integer", value)))


@check.register
def check_float(info: inspect.FloatType, value: Any, path: str, faults: list[Fault]) -> None:
    if isinstance(value, bool) or not isinstance(value, int | float):
        faults.append((path, expected("a number", value)))


@check.register
def check_enum(info: inspect.EnumType, value: Any, path: str, faults: list[Fault]) -> None:
    accepted = [member.value for member in info.cls]
    if value not in accepted:
        faults.append((path, expected("one of " + ", ".join(accepted), value)))


def join(path: str, key: str) -> str:
    """Append a key to a field path; a key with special characters is quoted."""
    key = key if UNQUOTED_KEY_PATTERN.match(key) else json.dumps(key)
    return f"{path}.{key}" if path else key


def expected(what: str, value: Any) -> str:
    """Describe a value of the wrong type, truncated."""
    text = msgspec.json.encode(value).decode() if is_plain(value) else type(value).__name__
    return f"expected {what}, found {text if len(text) <= 60 else text[:57] + '...'}"


def is_plain(value: Any) -> bool:
    """Return whether a value can be shown as JSON text on one line."""
    return (
        value is None
        or isinstance(value, bool | float | str)
        or (isinstance(value, int) and abs(value) < 2**63)
    )

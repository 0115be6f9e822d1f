"""Checked conversion between plain data and typed records.

Phases of `convert`: first every mapping is compared with the fields of the record it stands
for, which finds unknown fields; then `msgspec` converts strictly, which finds wrong types and
values out of range.  Both name the path of the field.  Records are slotted data classes.
"""

from __future__ import annotations

import dataclasses
import json
import types
import typing
from typing import Any, TypeVar

import msgpack
import msgspec
from returns.result import Failure, Result, Success

from jacinthreel_common._codes import Fault, ResultCode

T = TypeVar("T")
_hints_by_type: dict[type, dict[str, Any]] = {}


def to_plain(record: object) -> Any:
    """Turns a record into mappings, lists, strings and numbers."""
    return msgspec.to_builtins(record)


def convert(kind: type[T], data: object) -> Result[T, Fault]:
    """Builds a record from plain data.

    Errors: UNKNOWN_FIELD, WRONG_TYPE (also a missing field), OUT_OF_RANGE.
    """
    unknown = _find_unknown_field(kind, data, "$")
    if unknown is not None:
        return Failure(Fault(ResultCode.UNKNOWN_FIELD, f"unknown field {unknown}"))
    try:
        return Success(msgspec.convert(data, kind, strict=True))
    except msgspec.ValidationError as error:
        detail = str(error)
        wrong_type = detail.startswith(("Expected `", "Object missing")) and (
            ", got" in detail or "missing" in detail
        )
        code = ResultCode.WRONG_TYPE if wrong_type else ResultCode.OUT_OF_RANGE
        return Failure(Fault(code, detail))


def convert_stored(kind: type[T], data: object) -> T | None:
    """Builds a record from a stored row, or None if it can't be read.

    Fields that this version does not know are passed over, because a newer process may have
    written the row.
    """
    try:
        return msgspec.convert(data, kind, strict=True)
    except msgspec.ValidationError:
        return None


def decode_json(kind: type[T], body: bytes) -> Result[T, Fault]:
    """Reads a record from a JSON body.  Errors: MALFORMED_BODY and those of `convert`."""
    try:
        data = json.loads(body)
    except (ValueError, RecursionError) as error:
        return Failure(Fault(ResultCode.MALFORMED_BODY, f"not JSON: {error}"))
    return convert(kind, data)


def encode_json(record: object) -> bytes:
    """Writes a record as a JSON body."""
    return msgspec.json.encode(record)


def pack(record: object) -> bytes:
    """Writes a record as msgpack."""
    packed = msgpack.packb(to_plain(record), use_bin_type=True)
    assert packed is not None
    return packed


def unpack(kind: type[T], body: bytes) -> Result[T, Fault]:
    """Reads a record from msgpack.  Errors: MALFORMED_BODY and those of `convert`."""
    try:
        data = msgpack.unpackb(body, raw=False, strict_map_key=True)
    except (ValueError, RecursionError, msgpack.UnpackException) as error:
        return Failure(Fault(ResultCode.MALFORMED_BODY, f"not msgpack: {error!r}"))
    return convert(kind, data)


def _find_unknown_field(kind: Any, data: object, path: str) -> str | None:
    """The path of the first field that `kind` does not have, or None."""
    origin = typing.get_origin(kind)
    if origin in (typing.Annotated, typing.Union, types.UnionType):
        for option in typing.get_args(kind)[: 1 if origin is typing.Annotated else None]:
            found = _find_unknown_field(option, data, path)
            if found is not None:
                return found
        return None
    if origin is list and isinstance(data, list):
        return _first_unknown(
            (typing.get_args(kind)[0], item, f"{path}[{index}]") for index, item in enumerate(data)
        )
    if origin is dict and isinstance(data, dict):
        value_kind = typing.get_args(kind)[1]
        return _first_unknown((value_kind, item, f"{path}.{key}") for key, item in data.items())
    if not (dataclasses.is_dataclass(kind) and isinstance(data, dict)):
        return None
    hints = _field_types(typing.cast(type, kind))
    for key in data:
        if key not in hints:
            return f"{path}.{key}"
    return _first_unknown((hints[key], item, f"{path}.{key}") for key, item in data.items())


def _first_unknown(items: typing.Iterable[tuple[Any, object, str]]) -> str | None:
    for kind, data, path in items:
        found = _find_unknown_field(kind, data, path)
        if found is not None:
            return found
    return None


def _field_types(kind: type) -> dict[str, Any]:
    hints = _hints_by_type.get(kind)
    if hints is None:
        hints = typing.get_type_hints(kind, include_extras=True)
        _hints_by_type[kind] = hints
    return hints

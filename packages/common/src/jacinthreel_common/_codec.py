"""Validated conversion between plain data and typed records, which are slotted data classes.

`convert` works in two phases.  The first compares every mapping with the fields of the record type
at its position and detects unknown fields; the second is a strict `msgspec` conversion, which
detects wrong types and values out of range.  Both report the path of the field.
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
from jacinthreel_common._malformed import MALFORMED_INPUT

T = TypeVar("T")
_field_types_by_class: dict[type, dict[str, Any]] = {}


def to_plain(record: object) -> Any:
    """Converts a record to mappings, lists, strings and numbers."""
    return msgspec.to_builtins(record)


def convert(target_type: type[T], data: object) -> Result[T, Fault]:
    """Builds a record from plain data.

    Errors: UNKNOWN_FIELD, WRONG_TYPE (also a missing field), OUT_OF_RANGE.
    """
    unknown_path = _find_unknown_field(target_type, data, "$")
    if unknown_path is not None:
        return Failure(Fault(ResultCode.UNKNOWN_FIELD, f"unknown field {unknown_path}"))
    try:
        return Success(msgspec.convert(data, target_type, strict=True))
    except MALFORMED_INPUT as error:
        detail = str(error)
        wrong_type = detail.startswith(("Expected `", "Object missing")) and (
            ", got" in detail or "missing" in detail
        )
        code = ResultCode.WRONG_TYPE if wrong_type else ResultCode.OUT_OF_RANGE
        return Failure(Fault(code, detail))


def convert_stored(target_type: type[T], data: object) -> T | None:
    """Builds a record from a stored row's value; returns None if the value is invalid.

    Ignores unknown fields, because a newer version of the program may have written the row.
    """
    try:
        return msgspec.convert(data, target_type, strict=True)
    except MALFORMED_INPUT:
        return None


def decode_json(target_type: type[T], body: bytes) -> Result[T, Fault]:
    """Decodes a record from a JSON body.  Errors: MALFORMED_BODY and those of `convert`."""
    try:
        data = json.loads(body)
    except (ValueError, RecursionError) as error:
        return Failure(Fault(ResultCode.MALFORMED_BODY, f"not valid JSON: {error}"))
    return convert(target_type, data)


def encode_json(record: object) -> bytes:
    """Encodes a record as a JSON body."""
    return msgspec.json.encode(record)


def pack(record: object) -> bytes:
    """Encodes a record as msgpack."""
    packed = msgpack.packb(to_plain(record), use_bin_type=True)
    assert packed is not None
    return packed


def unpack(target_type: type[T], body: bytes) -> Result[T, Fault]:
    """Decodes a record from msgpack.  Errors: MALFORMED_BODY and those of `convert`."""
    try:
        data = msgpack.unpackb(body, raw=False, strict_map_key=True)
    except (ValueError, RecursionError, msgpack.UnpackException) as error:
        return Failure(Fault(ResultCode.MALFORMED_BODY, f"not valid msgpack: {error!r}"))
    return convert(target_type, data)


def _find_unknown_field(target_type: Any, data: object, path: str) -> str | None:
    """Returns the path of the first field in `data` that `target_type` lacks, or None."""
    origin = typing.get_origin(target_type)
    if origin in (typing.Annotated, typing.Union, types.UnionType):
        for option in typing.get_args(target_type)[: 1 if origin is typing.Annotated else None]:
            unknown_path = _find_unknown_field(option, data, path)
            if unknown_path is not None:
                return unknown_path
        return None
    if origin is list and isinstance(data, list):
        return _find_unknown_in_items(
            (typing.get_args(target_type)[0], item, f"{path}[{index}]")
            for index, item in enumerate(data)
        )
    if origin is dict and isinstance(data, dict):
        value_type = typing.get_args(target_type)[1]
        return _find_unknown_in_items(
            (value_type, item, f"{path}.{key}") for key, item in data.items()
        )
    if not (dataclasses.is_dataclass(target_type) and isinstance(data, dict)):
        return None
    hints = _field_types(typing.cast(type, target_type))
    for key in data:
        if key not in hints:
            return f"{path}.{key}"
    return _find_unknown_in_items((hints[key], item, f"{path}.{key}") for key, item in data.items())


def _find_unknown_in_items(items: typing.Iterable[tuple[Any, object, str]]) -> str | None:
    for target_type, data, path in items:
        unknown_path = _find_unknown_field(target_type, data, path)
        if unknown_path is not None:
            return unknown_path
    return None


def _field_types(target_type: type) -> dict[str, Any]:
    hints = _field_types_by_class.get(target_type)
    if hints is None:
        hints = typing.get_type_hints(target_type, include_extras=True)
        _field_types_by_class[target_type] = hints
    return hints

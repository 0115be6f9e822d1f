"""Encodes and decodes the frames of the streams between the project's processes.

A frame is a four-byte big-endian length followed by an `Envelope` in msgpack.  A frame is invalid
if it is too long, is not msgpack, has a different stream version or an unknown message kind, or if
its body does not match the kind.  The receiver of an invalid frame replies once with BAD_FRAME or
UNKNOWN_VERSION and closes the connection.
"""

from __future__ import annotations

from dataclasses import dataclass, fields
from typing import Any, Final

from returns.result import Failure, Result, Success
from tornado.iostream import IOStream

from jacinthreel_common import (
    MAX_FRAME_BYTES,
    MESSAGES_BY_KIND,
    STREAM_VERSION,
    Envelope,
    Fault,
    ResultCode,
    convert,
    pack,
    to_plain,
    unpack,
)

LENGTH_BYTES: Final = 4


@dataclass(frozen=True, slots=True)
class Frame:
    """A message and the id of its call, which is 0 for a one-way notice."""

    message: Any
    call_id: int


def encode_frame(message: object, call_id: int) -> bytes:
    """Returns the frame of a message.

    >>> from jacinthreel_common import ShardStatus
    >>> frame = encode_frame(ShardStatus(), 7)
    >>> int.from_bytes(frame[:LENGTH_BYTES], "big") == len(frame) - LENGTH_BYTES
    True
    """
    body_data = _omit_absent_fields(type(message), to_plain(message))
    envelope = Envelope(STREAM_VERSION, type(message).__name__, call_id, body_data)
    body = pack(envelope)
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


def _omit_absent_fields(message_class: Any, body: dict[str, Any]) -> dict[str, Any]:
    """Returns the body without fields that are None by default and None in the message.

    Receivers refuse unknown fields.  Without the absent ones, older processes can decode messages
    that don't use a new field.
    """
    optional = {field.name for field in fields(message_class) if field.default is None}
    return {key: value for key, value in body.items() if value is not None or key not in optional}


def decode_body(body: bytes) -> Result[Frame, Fault]:
    """Decodes the body of a frame.  Errors: UNKNOWN_VERSION, BAD_FRAME."""
    match unpack(Envelope, body):
        case Failure(Fault() as fault):
            return _bad_frame(fault.detail)
        case Success(Envelope() as envelope):
            return _decode_message(envelope)
        case _:
            raise AssertionError("a Result is Success or Failure")


def _decode_message(envelope: Envelope) -> Result[Frame, Fault]:
    if envelope.version != STREAM_VERSION:
        detail = f"stream version {envelope.version}, expected {STREAM_VERSION}"
        return Failure(Fault(ResultCode.UNKNOWN_VERSION, detail))
    kind = MESSAGES_BY_KIND.get(envelope.kind)
    if kind is None:
        return _bad_frame(f"unknown message kind {envelope.kind[:40]!r}")
    match convert(kind, envelope.body):
        case Failure(Fault() as fault):
            return _bad_frame(f"{envelope.kind}: {fault.detail}")
        case Success(message):
            return Success(Frame(message, envelope.call_id))
        case _:
            raise AssertionError("a Result is Success or Failure")


async def read_frame(stream: IOStream) -> Result[Frame, Fault]:
    """Reads the next frame.  Raises `StreamClosedError` at the end of the stream."""
    header = await stream.read_bytes(LENGTH_BYTES)
    length = int.from_bytes(header, "big")
    if length > MAX_FRAME_BYTES:
        return _bad_frame(f"frame of {length} bytes exceeds the limit of {MAX_FRAME_BYTES}")
    return decode_body(await stream.read_bytes(length))


def _bad_frame(detail: str) -> Failure[Fault]:
    return Failure(Fault(ResultCode.BAD_FRAME, detail))

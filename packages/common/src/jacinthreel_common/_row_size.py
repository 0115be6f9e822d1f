"""Keeps values within the size that the store takes for one row."""

from __future__ import annotations

import zlib
from typing import Final

MAX_ROW_BYTES: Final = 48_000  # A row holds 64 KiB, and values grow by a third on the wire.
MAX_EXPANDED_BYTES: Final = 4 * 1024 * 1024
COMPRESSION_LEVEL: Final = 1
_ZLIB_HEADER: Final = b"\x78"  # No msgpack map or array begins with it.


def compress_row(value: bytes) -> bytes:
    """Returns a msgpack record, compressed if it would not fit into a row otherwise.

    >>> len(compress_row(bytes(100_000))) < 1_000
    True
    >>> compress_row(b"abc")
    b'abc'
    """
    return value if len(value) <= MAX_ROW_BYTES else zlib.compress(value, COMPRESSION_LEVEL)


def expand_row(value: bytes) -> bytes:
    """Returns what `compress_row` was given, and "" for a malformed or too large value."""
    if not value.startswith(_ZLIB_HEADER):
        return value
    expander = zlib.decompressobj()
    try:
        expanded = expander.decompress(value, MAX_EXPANDED_BYTES)
    except zlib.error:
        return b""
    return expanded if expander.eof else b""

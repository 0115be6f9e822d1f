"""The errors that decoders of untrusted input raise."""

from __future__ import annotations

from typing import Final

import msgspec

MALFORMED_INPUT: Final = (msgspec.DecodeError, RecursionError)
"""What the decoders of `msgspec` raise; input that is nested too deeply is a `RecursionError`."""

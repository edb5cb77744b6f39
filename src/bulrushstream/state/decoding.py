"""What may go wrong when a document of another process is decoded."""

from __future__ import annotations

from typing import Final

import msgspec

# Malformed text, values outside their bounds, and values that are nested too
# deeply.
DECODE_ERRORS: Final = (
    msgspec.DecodeError,
    UnicodeDecodeError,
    RecursionError,
    OverflowError,
)

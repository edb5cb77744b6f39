"""A router fleet that shares model and app capacity fairly."""

from __future__ import annotations

from typing import Final

__version__: Final = "0.1.0"

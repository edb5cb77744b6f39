"""Errors found in an input, with their location.

A check collects all findings before it reports them, so that an operator can
fix a file in one pass.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class Finding:
    """One error in an input."""

    source: str  # The file or record that was read.
    line: int  # Counted from 1; 0: the input as a whole.
    column: int  # Counted from 1; 0: the line as a whole.
    code: str  # The stable code of the kind of error.
    text: str  # A description of the error in one sentence.
    path: str = ""  # The location in the data, such as rules[2].when.

    def __str__(self) -> str:
        """Return the finding as one line."""
        location = f"{self.source}:{self.line}:{self.column}"
        suffix = f" at {self.path}" if self.path else ""
        return f"{location}: {self.code}: {self.text}{suffix}"

"""Findings: what is wrong in an input, and where.

A check collects every finding before it reports, so that an operator can
mend a file in one go.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class Finding:
    """One thing that is wrong in an input."""

    source: str  # The file or record that was read.
    line: int  # The line, from 1; 0: the input as a whole.
    column: int  # The column, from 1; 0: the line as a whole.
    code: str  # The stable code of the kind of finding.
    text: str  # What is wrong, in one sentence.
    path: str = ""  # Where in the data, such as rules[2].when.

    def __str__(self) -> str:
        """Return the finding as one line."""
        place = f"{self.source}:{self.line}:{self.column}"
        where = f" at {self.path}" if self.path else ""
        return f"{place}: {self.code}: {self.text}{where}"

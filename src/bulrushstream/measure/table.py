"""Tables and percentiles for the output of measurements."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence

Cell = float | int | str | tuple[float, ...]


def percentile(values: Sequence[float], percent: float) -> float:
    """Return a percentile by the nearest rank.

    :param values: any values, in any order
    :param percent: 0 to 100
    :returns: one of the values; NaN if there are none
    """
    if not values:
        return math.nan
    ranked = sorted(values)
    rank = math.ceil(percent / 100 * len(ranked))
    return ranked[max(rank, 1) - 1]


def print_table(
    columns: Sequence[str], rows: Mapping[str, Sequence[Cell]]
) -> None:
    """Print rows under a header line.

    :param columns: the names of the columns
    :param rows: the cells of each row, by the row's name
    """
    names = ["", *columns]
    body = [[name, *map(_text, cells)] for name, cells in rows.items()]
    widths = [
        max(map(len, column)) for column in zip(names, *body, strict=True)
    ]
    for line in [names, *body]:
        cells = [
            cell.ljust(width) if column == 0 else cell.rjust(width)
            for column, (cell, width) in enumerate(
                zip(line, widths, strict=True)
            )
        ]
        print("  ".join(cells).rstrip())


def _text(cell: Cell) -> str:
    """Return a cell as text; the values of a tuple are joined by slashes."""
    if isinstance(cell, tuple):
        return "/".join(map(_text, cell)) or "-"
    return f"{cell:.3g}" if isinstance(cell, float) else str(cell)

"""What workspaces asked for and got, and whether that was fair."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import Final, TypeAlias

WINDOW_SECONDS: Final = 6

# A shortfall of this many of the largest requests is tolerated.
TOLERATED_REQUESTS: Final = 3

_BySecond: TypeAlias = dict[str, list[float]]


@dataclass(frozen=True, slots=True)
class Ask:
    """A request that a caller sent."""

    at_s: float
    workspace: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Run:
    """A request that an engine began to work on."""

    at_s: float
    workspace: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Shortfall:
    """A workspace that got too little in one window."""

    begin_s: float
    workspace: str
    got: float
    best: str  # The best served workspace.
    best_got: float
    owed: float  # What it should have got at least.


@dataclass(slots=True)
class ServedShares:
    """Requests, runs and waits of a whole run."""

    asks: list[Ask] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    # Time and workspace of each request that was refused or late.
    waits: list[tuple[float, str]] = field(default_factory=list)

    def shortfalls(self, offset_s: float = 0.0) -> list[Shortfall]:
        """Return the windows in which a workspace got too little.

        A workspace that has a request refused or late in each second of the
        window must get half of what it asked for or of what another one
        got, whichever is less, second by second.

        :param offset_s: where the seconds begin
        """
        end = int(max(ask.at_s for ask in self.asks) - offset_s)
        asked, got, waited = (_by_second(end) for _ in range(3))
        for ask in self.asks:
            _count(asked, ask.workspace, ask.at_s - offset_s, ask.tokens)
        for run in self.runs:
            _count(got, run.workspace, run.at_s - offset_s, run.tokens)
        for at_s, workspace in self.waits:
            _count(waited, workspace, at_s - offset_s, 1)
        largest = max(ask.tokens for ask in self.asks)
        found = []
        for begin in range(end - WINDOW_SECONDS + 1):
            window = slice(begin, begin + WINDOW_SECONDS)
            totals = {name: sum(each[window]) for name, each in got.items()}
            best = max(totals, key=lambda name: totals[name], default="")
            for name in asked:
                if not all(waited[name][window]) or name == best:
                    continue
                pairs = zip(
                    asked[name][window], got[best][window], strict=True
                )
                owed = sum(min(pair) for pair in pairs) / 2
                owed -= TOLERATED_REQUESTS * largest
                if sum(got[name][window]) < owed:
                    found.append(
                        Shortfall(
                            begin + offset_s,
                            name,
                            sum(got[name][window]),
                            best,
                            totals[best],
                            owed,
                        )
                    )
        return found


def _by_second(seconds: int) -> _BySecond:
    return defaultdict(lambda: [0.0] * seconds)


def _count(
    totals: _BySecond, workspace: str, at_s: float, amount: float
) -> None:
    values = totals[workspace]
    if 0 <= at_s < len(values):
        values[int(at_s)] += amount

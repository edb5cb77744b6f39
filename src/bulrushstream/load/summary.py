"""Results of a run, by workspace and class, as JSON and as a table."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Final

from bulrushstream.load.caller import CallResult, Verdict
from bulrushstream.state.request import RequestClass

MEDIAN: Final = 0.5
HIGH: Final = 0.95


@dataclass(frozen=True, slots=True)
class Spread:
    """The spread of some times."""

    count: int  # How many there are.
    p50_s: float  # Half are at most this.
    p95_s: float  # 95 in 100 are at most this.
    max_s: float  # The longest.


@dataclass(frozen=True, slots=True)
class GroupSummary:
    """The requests of one workspace, service and class."""

    workspace: str  # Who sent them.
    service: str  # Which service they were for.
    request_class: str  # How urgent they were.
    sent: int  # How many were sent.
    whole: int  # How many were answered whole.
    waited: Spread  # Time beyond what their endpoints take alone.
    total: Spread  # Time to the end of the answer.
    first: Spread  # Time to the first token; streamed answers only.
    between: Spread  # Time between tokens; streamed answers only.


@dataclass(frozen=True, slots=True)
class LoadSummary:
    """All requests of a run."""

    scenario: str  # Which scenario it was.
    seed: int  # What decided its requests.
    elapsed_s: float  # How long it took until the last answer.
    sent: int  # How many requests were sent.
    late_s: float  # The most that a request was sent too late.
    verdicts: dict[str, int]  # By what the callers made of the answers.
    outcomes: dict[str, int]  # By what the answers say of the execution.
    codes: dict[str, int]  # Refusals by their code.
    first: Spread  # Time to the first token; streamed answers only.
    between: Spread  # Time between tokens; streamed answers only.
    groups: tuple[GroupSummary, ...]  # By workspace, service and class.

    @property
    def good(self) -> bool:
        """Return whether every answer was whole or honestly refused."""
        bad = (Verdict.WRONG, Verdict.LOST, Verdict.TRUNCATED)
        return not any(self.verdicts.get(verdict, 0) for verdict in bad)


def summarize(
    scenario: str,
    seed: int,
    results: Sequence[CallResult],
    elapsed_s: float,
    late_s: float,
) -> LoadSummary:
    """Sum up a run.

    :param scenario: The scenario's name.
    :param seed: What decided the requests.
    :param results: What came of each request.
    :param elapsed_s: How long the run took, in seconds.
    :param late_s: The most that a request was sent too late, in seconds.
    :returns: The summary.
    """
    groups: dict[tuple[str, str, str], list[CallResult]] = {}
    for result in results:
        groups.setdefault(_group_of(result), []).append(result)
    return LoadSummary(
        scenario=scenario,
        seed=seed,
        elapsed_s=round(elapsed_s, 3),
        sent=len(results),
        late_s=round(late_s, 3),
        verdicts=dict(Counter(r.verdict.value for r in results)),
        outcomes=dict(Counter(r.outcome for r in results if r.outcome)),
        codes=dict(Counter(r.code for r in results if r.code)),
        first=_first(results),
        between=_between(results),
        groups=tuple(
            _summarize_group(key, groups[key]) for key in sorted(groups)
        ),
    )


def spread_of(times_s: Iterable[float]) -> Spread:
    """Return the spread of some times.

    :param times_s: The times, in seconds.
    :returns: Percentiles by the nearest rank.
    """
    ordered = sorted(times_s)
    if not ordered:
        return Spread(0, 0.0, 0.0, 0.0)
    return Spread(
        len(ordered),
        round(_rank(ordered, MEDIAN), 6),
        round(_rank(ordered, HIGH), 6),
        round(ordered[-1], 6),
    )


def format_summary(summary: LoadSummary) -> str:
    """Return a summary as a table.

    :param summary: The summary.
    :returns: Lines of text.
    """
    lines = [
        f"{summary.scenario}, seed {summary.seed}: {summary.sent} requests"
        f" in {summary.elapsed_s:.1f} s",
        f"answers  {_counts(summary.verdicts)}",
        f"outcomes {_counts(summary.outcomes)}",
        f"refusals {_counts(summary.codes) or 'none'}",
        "",
        f"{'workspace':22}{'service':14}{'class':13}{'sent':>6}"
        f"{'whole':>7}{'wait p50':>10}{'p95':>9}{'first p95':>11}",
    ]
    lines += [
        f"{group.workspace:22}{group.service:14}{group.request_class:13}"
        f"{group.sent:6}{group.whole:7}{group.waited.p50_s:10.3f}"
        f"{group.waited.p95_s:9.3f}{group.first.p95_s:11.3f}"
        for group in summary.groups
    ]
    return "\n".join(lines)


def _group_of(result: CallResult) -> tuple[str, str, str]:
    """Return the workspace, service and class of a request."""
    flow = result.arrival.flow
    urgent = flow.interactive
    kind = RequestClass.INTERACTIVE if urgent else RequestClass.BATCH
    return result.arrival.workspace, flow.service, kind.value


def _summarize_group(
    key: tuple[str, str, str], results: list[CallResult]
) -> GroupSummary:
    """Sum up the requests of one group."""
    whole = _whole(results)
    return GroupSummary(
        *key,
        sent=len(results),
        whole=len(whole),
        waited=spread_of(r.waited_s for r in whole),
        total=spread_of(r.total_s for r in whole),
        first=_first(results),
        between=_between(results),
    )


def _whole(results: Iterable[CallResult]) -> list[CallResult]:
    """Return the requests that were answered whole."""
    return [r for r in results if r.verdict is Verdict.WHOLE]


def _first(results: Iterable[CallResult]) -> Spread:
    """Return the spread of the times to the first token."""
    return spread_of(
        r.first_s for r in _whole(results) if r.arrival.flow.stream
    )


def _between(results: Iterable[CallResult]) -> Spread:
    """Return the spread of the times between tokens."""
    return spread_of(gap for r in _whole(results) for gap in r.gaps_s)


def _rank(ordered: Sequence[float], share: float) -> float:
    """Return the value that a share of all are at most."""
    return ordered[max(math.ceil(share * len(ordered)), 1) - 1]


def _counts(counts: dict[str, int]) -> str:
    """Return counts in one line, the largest first."""
    ordered = sorted(counts.items(), key=lambda item: (-item[1], item[0]))
    return ", ".join(f"{name} {count}" for name, count in ordered)

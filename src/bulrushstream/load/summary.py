"""Summaries of a run by workspace, service and class, and their table."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Final

from bulrushstream.load.caller import CallResult, Verdict
from bulrushstream.state.request import RequestClass

P50: Final = 0.5
P95: Final = 0.95


@dataclass(frozen=True, slots=True)
class TimeStats:
    """Percentiles of a set of times; all 0 if it is empty."""

    count: int  # The number of times.
    p50_s: float
    p95_s: float
    max_s: float


@dataclass(frozen=True, slots=True)
class GroupSummary:
    """The requests of one workspace, service and class."""

    workspace: str
    service: str
    request_class: str
    sent: int  # Requests sent.
    whole: int  # Requests with a complete answer.
    waited: TimeStats  # Time beyond that of otherwise idle endpoints.
    total: TimeStats  # Time to the end of the answer.
    first: TimeStats  # Time to the first token; streamed answers only.
    between: TimeStats  # Time between tokens; streamed answers only.


@dataclass(frozen=True, slots=True)
class LoadSummary:
    """All requests of a run."""

    scenario: str
    seed: int  # Seed of the requests.
    elapsed_s: float  # From the start to the last answer.
    sent: int  # Requests sent.
    late_s: float  # Largest delay of a request behind its planned time.
    verdicts: dict[str, int]  # Requests by verdict.
    outcomes: dict[str, int]  # Answers by the execution outcome they state.
    codes: dict[str, int]  # Refusals by stable code.
    first: TimeStats  # Time to the first token; streamed answers only.
    between: TimeStats  # Time between tokens; streamed answers only.
    groups: tuple[GroupSummary, ...]  # By workspace, service and class.

    @property
    def good(self) -> bool:
        """Return whether every request was answered completely or refused."""
        bad = (Verdict.WRONG, Verdict.LOST, Verdict.TRUNCATED)
        return not any(self.verdicts.get(verdict, 0) for verdict in bad)


def summarize(
    scenario: str,
    seed: int,
    results: Sequence[CallResult],
    elapsed_s: float,
    late_s: float,
) -> LoadSummary:
    """Summarize a run.

    :param scenario: The scenario's name.
    :param seed: The seed of the requests.
    :param results: The result of each request.
    :param elapsed_s: The duration of the run, in seconds.
    :param late_s: The largest delay of a request behind its planned time,
        in seconds.
    :returns: The summary.
    """
    groups: dict[tuple[str, str, str], list[CallResult]] = {}
    for result in results:
        groups.setdefault(_group_key(result), []).append(result)
    return LoadSummary(
        scenario=scenario,
        seed=seed,
        elapsed_s=round(elapsed_s, 3),
        sent=len(results),
        late_s=round(late_s, 3),
        verdicts=dict(Counter(r.verdict.value for r in results)),
        outcomes=dict(Counter(r.outcome for r in results if r.outcome)),
        codes=dict(Counter(r.code for r in results if r.code)),
        first=_first_token_stats(results),
        between=_token_gap_stats(results),
        groups=tuple(
            _summarize_group(key, groups[key]) for key in sorted(groups)
        ),
    )


def time_stats(times_s: Iterable[float]) -> TimeStats:
    """Return statistics of times.

    :param times_s: The times, in seconds.
    :returns: Percentiles by nearest rank.
    """
    ordered = sorted(times_s)
    if not ordered:
        return TimeStats(0, 0.0, 0.0, 0.0)
    return TimeStats(
        len(ordered),
        round(_percentile(ordered, P50), 6),
        round(_percentile(ordered, P95), 6),
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
        f"answers  {_format_counts(summary.verdicts)}",
        f"outcomes {_format_counts(summary.outcomes)}",
        f"refusals {_format_counts(summary.codes) or 'none'}",
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


def _group_key(result: CallResult) -> tuple[str, str, str]:
    """Return the workspace, service and class of a request."""
    flow = result.arrival.flow
    interactive = flow.interactive
    kind = RequestClass.INTERACTIVE if interactive else RequestClass.BATCH
    return result.arrival.workspace, flow.service, kind.value


def _summarize_group(
    key: tuple[str, str, str], results: list[CallResult]
) -> GroupSummary:
    """Summarize the requests of one group."""
    complete = _complete_results(results)
    return GroupSummary(
        *key,
        sent=len(results),
        whole=len(complete),
        waited=time_stats(r.extra_s for r in complete),
        total=time_stats(r.total_s for r in complete),
        first=_first_token_stats(results),
        between=_token_gap_stats(results),
    )


def _complete_results(results: Iterable[CallResult]) -> list[CallResult]:
    """Return the results with a complete answer."""
    return [r for r in results if r.verdict is Verdict.WHOLE]


def _first_token_stats(results: Iterable[CallResult]) -> TimeStats:
    """Return statistics of the time to the first token."""
    return time_stats(
        r.first_s for r in _complete_results(results) if r.arrival.flow.stream
    )


def _token_gap_stats(results: Iterable[CallResult]) -> TimeStats:
    """Return statistics of the time between tokens."""
    return time_stats(
        gap for r in _complete_results(results) for gap in r.gaps_s
    )


def _percentile(ordered: Sequence[float], fraction: float) -> float:
    """Return a percentile of sorted values by nearest rank."""
    return ordered[max(math.ceil(fraction * len(ordered)), 1) - 1]


def _format_counts(counts: dict[str, int]) -> str:
    """Return counts on one line, the largest first."""
    ordered = sorted(counts.items(), key=lambda item: (-item[1], item[0]))
    return ", ".join(f"{name} {count}" for name, count in ordered)

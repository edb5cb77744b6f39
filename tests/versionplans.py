"""Plans of runs with endpoints of several versions, and what callers got."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final

from tests.crashplans import CrashHistory, CrashPlan, Sent

STREAM_PATH: Final = "/talk/"  # A route whose streams may be taken up.


class ChangeKind(StrEnum):
    """What happens to endpoints of the model service."""

    START = "start"
    LEAVE = "leave"  # They are listed as leaving, and serve on for a time.
    DELIST = "delist"  # The same, without a notice.
    CRASH = "crash"  # The busiest one ends; it comes back a little later.
    RETURN = "return"  # The busiest one is back at once under its id.


@dataclass(frozen=True, slots=True)
class Change:
    """A change of endpoints of one version."""

    at_s: float
    kind: ChangeKind
    version: str  # Of the endpoints; with RETURN: of the new process.
    count: int = 1


# Returns what a caller names as the first request, from the stream and the
# id of the request.
Naming = Callable[["Stream", str], tuple[str, ...]]


@dataclass(frozen=True, slots=True)
class VersionPlan(CrashPlan):
    """A run with releases, in which callers take broken streams up."""

    first_version: str = "v1"  # Of the endpoints at the beginning.
    changes: tuple[Change, ...] = ()
    streams_per_s: float = 30.0  # New streams, at all routers.
    path: str = STREAM_PATH
    naming: Naming = lambda stream, own_id: (first_id(stream),)
    tries: int = 3  # Of one caller for a stream.
    return_s: tuple[float, float] = (0.001, 0.02)  # To the next try.


@dataclass(slots=True)
class Try:
    """One request of a caller for a stream."""

    request_id: str
    router: int
    at_s: float
    after: int  # The last event that the caller has; 0: none.
    # Ready endpoints of the version that began the stream.
    serving: int = 0
    status: str = ""  # Empty: no answer.
    code: str = ""  # Of a router's own answer.
    events: list[tuple[int, str]] = field(default_factory=list)
    whole: bool = False
    data: bytes = b""  # As received.


@dataclass(slots=True)
class Stream:
    """What the caller of one stream got."""

    tries: list[Try] = field(default_factory=list)

    @property
    def events(self) -> list[tuple[int, str]]:
        """Return the number and the version of each event."""
        return [event for each in self.tries for event in each.events]

    @property
    def versions(self) -> set[str]:
        """Return the versions that wrote its events."""
        return {version for _, version in self.events}


def first_id(stream: Stream) -> str:
    """Return the request that brought a stream's first event."""
    return next(each.request_id for each in stream.tries if each.events)


@dataclass(slots=True)
class VersionHistory(CrashHistory):
    """What happened in a run, and each caller's stream."""

    streams: list[Stream] = field(default_factory=list)

    def tries(self) -> list[Try]:
        """Return all requests for streams."""
        return [each for stream in self.streams for each in stream.tries]

    def crossings(self) -> list[Stream]:
        """Return the streams with events of several versions."""
        return [each for each in self.streams if len(each.versions) > 1]

    def gaps(self) -> list[Stream]:
        """Return the streams in which events are missing or twice."""
        return [
            each
            for each in self.streams
            if [number for number, _ in each.events]
            != list(range(1, len(each.events) + 1))
        ]

    def begun_share(self, begin_s: float = 0.0) -> float:
        """Return the share of new streams that began."""
        first = [each.tries[0] for each in self.streams if each.tries]
        first = [each for each in first if each.at_s >= begin_s]
        began = [bool(each.events) for each in first if self._counts(each)]
        return sum(began) / len(began)

    def serving_take_ups(self, begin_s: float) -> list[Try]:
        """Return the take-ups that could go on, at any router.

        At least two endpoints of the stream's version are ready.
        """
        return [
            each
            for stream in self.streams
            for each in stream.tries[1:]
            if each.after and each.serving >= 2 and each.at_s >= begin_s
        ]

    def take_ups(self, begin_s: float = 0.0) -> list[Try]:
        """Return the take-ups at routers in touch that could go on.

        At least two endpoints of the stream's version are ready.
        """
        found = self.serving_take_ups(begin_s)
        return [each for each in found if self._counts(each)]

    def went_on_share(self, begin_s: float = 0.0) -> float:
        """Return the share of these take-ups that went on."""
        found = self.take_ups(begin_s)
        went_on = [bool(each.events) or each.whole for each in found]
        return sum(went_on) / len(found)

    def _counts(self, each: Try) -> bool:
        return self.in_touch(Sent(each.at_s, each.router, ""))


def release(
    old: str,
    new: str,
    begin_s: float,
    count: int = 6,
    gap_s: float = 0.4,
    lead_s: float = 1.0,
) -> tuple[Change, ...]:
    """Return the changes that replace endpoints one after the other."""
    starts = tuple(
        Change(begin_s + n * gap_s, ChangeKind.START, new)
        for n in range(count)
    )
    leaves = tuple(
        Change(begin_s + lead_s + n * gap_s, ChangeKind.LEAVE, old)
        for n in range(count)
    )
    return starts + leaves


def crashes(version: str, *at_s: float) -> tuple[Change, ...]:
    """Return crashes of the busiest endpoint of a version."""
    return tuple(Change(each, ChangeKind.CRASH, version) for each in at_s)

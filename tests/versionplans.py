"""Plans of runs with endpoints of several versions, and what callers got."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final

from tests.crashplans import CrashHistory, CrashPlan, RouterFault, Sent

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
    # From the start of a process under a known id until it is listed.
    entry_delay_s: float = 0.0


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


def returns(version: str, *at_s: float) -> tuple[Change, ...]:
    """Return returns of the busiest endpoint of another version."""
    return tuple(Change(each, ChangeKind.RETURN, version) for each in at_s)


def returns_listed_late(seed: int) -> VersionPlan:
    """Return a run in which routers end before the list names returns."""
    return VersionPlan(
        changes=returns("v2", 4.0, 4.02, 4.04),
        faults=(RouterFault(4.5, (0, 1), stops=True),),
        seed=seed,
        entry_delay_s=0.8,
        streams_per_s=150.0,
        background_per_s=0.1,
        engines=9,
        end_s=10.0,
    )


def returns_while_frozen(routers: int, seed: int) -> VersionPlan:
    """Return a run in which endpoints return while routers stand still.

    Some of the streams that break go on at the same router.
    """
    return VersionPlan(
        changes=(
            *returns("v2", *(4.2 + 0.1 * n for n in range(3))),
            *returns("v2", *(8.2 + 0.1 * n for n in range(3))),
            *crashes("v1", 4.35, 8.35),
            *crashes("v2", 4.45, 8.45),
        ),
        faults=(
            RouterFault(4.0, (0,), frozen_s=1.5, no_list_s=1.5),
            RouterFault(8.0, (0,), frozen_s=1.0, no_list_s=1.0),
        ),
        routers=routers,
        seed=seed,
        streams_per_s=30.0 * routers,
        background_per_s=0.1,
        engines=9,
        end_s=14.0,
    )


def joins_amid_take_ups(seed: int) -> VersionPlan:
    """Return a run in which take-ups need a second attempt amid a release.

    Routers end, and endpoints end that have just got a take-up.
    """
    return VersionPlan(
        changes=(
            Change(4.0, ChangeKind.START, "v2", 6),
            *crashes("v1", *(3.98 + 0.01 * n for n in range(12))),
        ),
        faults=(RouterFault(3.9, (0,)), RouterFault(3.95, (1,))),
        seed=seed,
        streams_per_s=150.0,
        background_per_s=0.1,
        engines=24,
        return_s=(0.001, 0.05),
        end_s=8.0,
    )


def peer_out_of_step(seed: int) -> VersionPlan:
    """Return a run in which two routers miss a version, and then are alone."""
    return VersionPlan(
        changes=(Change(4.0, ChangeKind.START, "v2", 6),),
        faults=(
            RouterFault(3.9, (1, 2), cut_s=3.3, no_list_s=9.0),
            RouterFault(7.0, (0, 3), stops=True),
        ),
        seed=seed,
        streams_per_s=60.0,
        background_per_s=0.1,
        return_s=(2.5, 3.0),
        end_s=14.0,
    )


def version_that_left(
    seed: int, cut_s: float, no_list_s: float, return_s: tuple[float, float]
) -> VersionPlan:
    """Return a run in which one router misses a version that serves shortly.

    Another router ends, so that its streams are taken up at that one.
    """
    return VersionPlan(
        changes=(
            Change(4.0, ChangeKind.START, "v2", 6),
            Change(6.0, ChangeKind.DELIST, "v2", 6),
        ),
        faults=(
            RouterFault(3.9, (1,), cut_s=cut_s, no_list_s=no_list_s),
            RouterFault(6.1, (0, 3), stops=True),
        ),
        seed=seed,
        streams_per_s=200.0,
        background_per_s=0.1,
        return_s=return_s,
        end_s=14.0,
    )

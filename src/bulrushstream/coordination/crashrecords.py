"""What a router keeps in the platform's store of the crashes that it found.

Strikes are with routers only, and if all of them end at once nobody is left
to tell those that start.  Each router therefore has one record, with the
crashes that it found and the requests and parts of prompts that it had in
flight there.  A new crash is written at once, and the record without a
suspect that was cleared soon after.  So a record is never added to by anybody
else, and a late write can not undo a pardon.

Routers read the records of all when they start.  Times in them are times of
day, which may be wrong by some seconds.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Final

from bulrushstream.coordination.crashids import split_id
from bulrushstream.coordination.crashsuspects import CrashSuspects
from bulrushstream.coordination.partstrikes import PartStrike
from bulrushstream.coordination.partsuspects import PartSuspects
from bulrushstream.coordination.quarantine import QuarantineOptions
from bulrushstream.state.crashrecord import RecordedCrash, RecordedPart
from bulrushstream.state.effect import Decision

# Limits of a record, and of the suspects in all records that are applied; the
# oldest crashes are left out, and further suspects of one.
MAX_CRASHES: Final = 256
MAX_SUSPECTS_OF_CRASH: Final = 128
MAX_SUSPECTS: Final = 4_096

MAX_LOGGED_HOSTS: Final = 8

_EXPIRY_S: Final = QuarantineOptions().expiry_s


@dataclass(slots=True)
class _FoundCrash:
    """A crash that this router found, before it started again or since."""

    at_ms: int  # The time of day.
    fingerprints: set[int] = field(default_factory=set)
    parts: set[int] = field(default_factory=set)


@dataclass(slots=True)
class CrashRecords:
    """The crashes that one router found, and those that it reads."""

    suspects: CrashSuspects
    parts: PartSuspects
    time_of_day: Callable[[], float]  # Unix time, in seconds.
    observe: Callable[[Decision], None]  # Logs a decision.
    on_found: Callable[[], None] = lambda: None  # Called with each crash.
    # Called when a suspect of a recorded crash may have been cleared.
    on_pardon: Callable[[], None] = lambda: None
    # By the crash's id; the last one found at the end.
    _found: OrderedDict[str, _FoundCrash] = field(default_factory=OrderedDict)

    def __post_init__(self) -> None:
        """Be told of suspects that are cleared."""
        self.suspects.on_pardon = self.parts.on_pardon = self._pardoned

    def found(
        self,
        endpoint: str,
        at_s: float,
        fingerprint: int,
        parts: Iterable[int],
        now_s: float,
    ) -> None:
        """Record that an endpoint crashed during a run of this router.

        :param endpoint: the endpoint's id
        :param at_s: when it crashed
        :param fingerprint: the request's digest
        :param parts: the suspected parts of the run's prompt
        :param now_s: the time
        """
        crash_id = self.suspects.crash_ids.identify(endpoint, at_s)
        at_ms = int((self.time_of_day() - max(0.0, now_s - at_s)) * 1000)
        crash = self._found.setdefault(crash_id, _FoundCrash(max(0, at_ms)))
        if len(crash.fingerprints) < MAX_SUSPECTS_OF_CRASH:
            crash.fingerprints.add(fingerprint)
        for part in parts:
            if len(crash.parts) < MAX_SUSPECTS_OF_CRASH:
                crash.parts.add(part)
        if len(self._found) > MAX_CRASHES:
            self._found.popitem(last=False)
        self.on_found()

    def current(self, now_s: float) -> tuple[RecordedCrash, ...]:
        """Return this router's record: its crashes with current suspects.

        :param now_s: the time
        """
        crashes: list[RecordedCrash] = []
        for crash_id, found in list(self._found.items()):
            crash = self._describe(crash_id, found, now_s)
            if crash.fingerprints or crash.parts:
                crashes.append(crash)
            else:
                del self._found[crash_id]
        return tuple(crashes[_first_kept(crashes) :])

    def restore(
        self,
        records: Sequence[tuple[str, Sequence[RecordedCrash]]],
        own_host: str,
        now_s: float,
    ) -> None:
        """Apply the records of all routers, read from the store.

        :param records: the host of each router, and its crashes
        :param own_host: this router's host, whose record it goes on with
        :param now_s: the time
        """
        now_ms = int(self.time_of_day() * 1000)
        crashes = sorted(
            (
                (crash, host)
                for host, crashes in records
                for crash in crashes
                if now_ms - crash.at_ms < _EXPIRY_S * 1000
            ),
            key=lambda each: each[0].at_ms,
        )
        crashes = crashes[_first_kept([crash for crash, _ in crashes]) :]
        for crash, host in crashes:
            age_s = max(0, now_ms - crash.at_ms) / 1000
            self._restore_crash(crash, now_s - age_s, host == own_host)
        self._log_restored(crashes, now_ms)

    def _pardoned(self) -> None:
        """Report that a suspect was cleared, if there is a record."""
        if self._found:
            self.on_pardon()

    def _restore_crash(
        self, crash: RecordedCrash, at_s: float, own: bool
    ) -> None:
        """Apply one crash of a record."""
        crash_id = self.suspects.crash_ids.restore(
            crash.endpoint, crash.number, at_s
        )
        self.suspects.restore(crash.fingerprints, crash_id, at_s)
        self.parts.restore(
            crash_id,
            {
                part.part_id: PartStrike(
                    crash.endpoint, at_s, at_s - part.in_flight_ms / 1000
                )
                for part in crash.parts
            },
        )
        if own:
            found = self._found.setdefault(crash_id, _FoundCrash(crash.at_ms))
            found.fingerprints.update(crash.fingerprints)
            found.parts.update(part.part_id for part in crash.parts)

    def _describe(
        self, crash_id: str, found: _FoundCrash, now_s: float
    ) -> RecordedCrash:
        """Return a crash with the suspects that still have its strike."""
        strikes = self.suspects.strikes
        parts = []
        for part in sorted(found.parts):
            strike = self.parts.table.find(part, crash_id)
            if strike is not None:
                in_flight_s = strike.crash_s - strike.sent_s
                parts.append(
                    RecordedPart(part, max(0, round(in_flight_s * 1000)))
                )
        return RecordedCrash(
            *split_id(crash_id),
            found.at_ms,
            tuple(
                fingerprint
                for fingerprint in sorted(found.fingerprints)
                if strikes.count(fingerprint, now_s)
                and strikes.has_strike(fingerprint, crash_id)
            ),
            tuple(parts),
        )

    def _log_restored(
        self, crashes: Sequence[tuple[RecordedCrash, str]], now_ms: int
    ) -> None:
        """Log what was read, from whose records, and how old it is."""
        if not crashes:
            return
        ages_s = [(now_ms - crash.at_ms) / 1000 for crash, _ in crashes]
        hosts = sorted({host for _, host in crashes})
        self.observe(
            Decision(
                "crashes_restored",
                "read from the store",
                inputs={
                    "reporters": len(hosts),
                    "reporter": ",".join(hosts[:MAX_LOGGED_HOSTS]),
                    "crashes": len(crashes),
                    "requests": sum(len(c.fingerprints) for c, _ in crashes),
                    "parts": sum(len(c.parts) for c, _ in crashes),
                    "youngest_s": round(min(ages_s), 3),
                    "oldest_s": round(max(ages_s), 3),
                },
            )
        )


def _first_kept(crashes: Sequence[RecordedCrash]) -> int:
    """Return the first crash from which on the suspects are not too many."""
    count = 0
    for index in range(len(crashes) - 1, -1, -1):
        crash = crashes[index]
        count += len(crash.fingerprints) + len(crash.parts)
        if count > MAX_SUSPECTS:
            return index + 1
    return 0

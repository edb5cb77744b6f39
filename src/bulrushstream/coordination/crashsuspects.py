"""The requests that crash endpoints, as far as one router knows.

A request is known by its *fingerprint*, which all its repeats share.  It
gets a *strike* for each crash of an endpoint that was running it.  With
enough of them it is refused, unless other requests explain the crashes
better, until an endpoint answers it after all.  Routers tell each other of
strikes and of answers.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Set
from dataclasses import dataclass, field, replace
from typing import Final, Protocol

from bulrushstream.coordination.crashids import CrashIds, split_id
from bulrushstream.coordination.quarantine import (
    Quarantine,
    QuarantineOptions,
)
from bulrushstream.coordination.watchlist import WatchList
from bulrushstream.state.effect import Decision
from bulrushstream.state.peerupdate import CrashSuspect, PeerUpdate

# A request with this many strikes is refused, or with one more if most of
# the crashes in the same time were without it.
MAX_STRIKES: Final = 3

# How long what this router finds is repeated to its peers, longer than a
# silent peer counts as live, and all that is known after a new peer appeared.
REPEAT_S: Final = 4.0
REPEAT_ALL_S: Final = 1.2

MAX_REPEATED: Final = 512  # In one heartbeat.

# Why a suspect is cleared, for the log.
ANSWERED: Final = "an endpoint answered such a request"
PARDONED: Final = "an operator cleared it"


class SuspectNotifier(Protocol):
    """Reports what this router finds of suspects to the other routers."""

    def report_strike(self, suspect: CrashSuspect) -> None:
        """Report that a request was in flight when an endpoint crashed."""

    def report_cleared(self, fingerprint: int) -> None:
        """Report that an endpoint answered a request and did not crash."""


@dataclass(frozen=True, slots=True)
class _OwnStrike:
    """A strike that this router found."""

    at_s: float  # When the endpoint crashed.
    reported_s: float  # When it was first reported to the peers.
    suspect: CrashSuspect


@dataclass(slots=True)
class CrashSuspects:
    """The requests with strikes, and those that are watched."""

    on_decision: Callable[[Decision], None]  # Called for each strike.
    notifier: SuspectNotifier | None = None  # None: not connected to peers.
    strikes: Quarantine = field(
        default_factory=lambda: Quarantine(QuarantineOptions())
    )
    crash_ids: CrashIds = field(default_factory=CrashIds)
    # Called when a request with several strikes was cleared.
    on_pardon: Callable[[], None] = lambda: None
    _watched: WatchList = field(default_factory=WatchList)  # By fingerprint.
    _own_strikes: deque[_OwnStrike] = field(
        default_factory=lambda: deque(maxlen=MAX_REPEATED)
    )
    _repeat_all_until_s: float = float("-inf")

    def endpoint_crashed(
        self, endpoint: str, fingerprint: int, at_s: float, now_s: float
    ) -> None:
        """Record that an endpoint crashed during a run of this router.

        :param endpoint: the endpoint's id
        :param fingerprint: the request's digest
        :param at_s: when it crashed
        :param now_s: the time
        """
        self._report(CrashSuspect(fingerprint, endpoint), at_s, now_s)

    def end_unknown(
        self, endpoint: str, fingerprint: int, at_s: float, now_s: float
    ) -> None:
        """Watch a request: nobody knows if an endpoint crashed under it.

        :param endpoint: the endpoint's id
        :param fingerprint: the request's digest
        :param at_s: when its run broke
        :param now_s: the time
        """
        suspect = CrashSuspect(fingerprint, endpoint, uncertain=True)
        self._report(suspect, at_s, now_s)

    def request_ran(self, fingerprint: int, now_s: float) -> None:
        """Record that an endpoint answered a request and did not crash.

        :param fingerprint: the request's digest
        :param now_s: the time
        """
        self._clear_everywhere(fingerprint, now_s, ANSWERED)

    def pardon(self, fingerprint: int, now_s: float) -> bool:
        """Remove a request's strikes, as an operator asks.

        :param fingerprint: the request's digest
        :param now_s: the time
        :returns: whether it was a suspect
        """
        return self._clear_everywhere(fingerprint, now_s, PARDONED)

    def apply_update(self, update: PeerUpdate, now_s: float) -> None:
        """Apply what another router reports of suspects.

        :param update: the update
        :param now_s: the time
        """
        for suspect in update.crash_suspects:
            at_s = now_s - suspect.age_s
            self._add(suspect, update.instance, at_s, now_s)
        for fingerprint in update.cleared:
            self._clear(fingerprint, update.instance, now_s, ANSWERED)

    def restore(
        self, fingerprints: Iterable[int], crash_id: str, at_s: float
    ) -> None:
        """Apply strikes that were read from the store.

        :param fingerprints: the requests' digests
        :param crash_id: the id of the crash
        :param at_s: when it was
        """
        for fingerprint in fingerprints:
            self.strikes.add_strike(fingerprint, crash_id, False, at_s)

    def peer_appeared(self, now_s: float) -> None:
        """Report all strikes with the next heartbeats, for a new peer.

        :param now_s: the time
        """
        self._repeat_all_until_s = now_s + REPEAT_ALL_S

    def strikes_to_repeat(self, now_s: float) -> tuple[CrashSuspect, ...]:
        """Return the strikes that the next heartbeat reports to the peers.

        :param now_s: the time
        """
        if now_s < self._repeat_all_until_s:
            return self._all_known(now_s)[-MAX_REPEATED:]
        return tuple(
            replace(own.suspect, age_s=max(0.0, now_s - own.at_s))
            for own in self._own_strikes
            if now_s - own.reported_s < REPEAT_S
            and self.is_watched(own.suspect.fingerprint, now_s)
        )

    def __bool__(self) -> bool:
        """Return whether any request is watched or has strikes."""
        return bool(self._watched or self.strikes.fingerprints())

    def is_watched(self, fingerprint: int, now_s: float) -> bool:
        """Return whether an endpoint crashed under a request, or may have.

        :param fingerprint: the request's digest
        :param now_s: the time
        """
        return self._watched.covers(fingerprint, now_s) or bool(
            self.strikes.count(fingerprint, now_s)
        )

    def explained_crashes(self, now_s: float) -> set[str]:
        """Return the ids of the crashes that refused requests explain.

        :param now_s: the time
        """
        return {
            strike.strike_id
            for fingerprint in self.strikes.fingerprints()
            if self.strikes.count(fingerprint, now_s) >= MAX_STRIKES
            and self.is_refused(fingerprint, now_s)
            for strike in self.strikes.strikes(fingerprint, now_s)
        }

    def is_refused(
        self, fingerprint: int, now_s: float, explained: Set[str] = frozenset()
    ) -> bool:
        """Return whether a request crashes endpoints and is refused.

        :param fingerprint: the request's digest
        :param now_s: the time
        :param explained: the ids of crashes that parts of prompts explain
        """
        if self.strikes.count(fingerprint, now_s) < MAX_STRIKES:
            return False
        count = self.strikes.unexplained_count(fingerprint, now_s, explained)
        begin_s, end_s = self.strikes.span_s(fingerprint)
        crashes = self.crash_ids.count_between(begin_s, end_s)
        limit = MAX_STRIKES if count * 2 > crashes else MAX_STRIKES + 1
        return count >= limit

    def may_reach_limit(
        self, fingerprint: int, unjudged: int, now_s: float
    ) -> bool:
        """Return whether a request is refused if its last runs were crashes.

        :param fingerprint: the request's digest, under which an endpoint
            crashed before
        :param unjudged: the number of its broken runs without a verdict
        :param now_s: the time
        """
        count = self.strikes.count(fingerprint, now_s)
        return count > 0 and count + unjudged >= MAX_STRIKES

    def _report(
        self, suspect: CrashSuspect, at_s: float, now_s: float
    ) -> None:
        """Add a strike that this router found, and report it to the peers."""
        self._add(suspect, "", at_s, now_s)
        if not suspect.uncertain:
            self._own_strikes.append(_OwnStrike(at_s, now_s, suspect))
        if self.notifier is not None:
            age_s = max(0.0, now_s - at_s)
            self.notifier.report_strike(replace(suspect, age_s=age_s))

    def _add(
        self, suspect: CrashSuspect, reporter: str, at_s: float, now_s: float
    ) -> None:
        """Add a strike to a request's fingerprint.

        :param suspect: the request and the endpoint
        :param reporter: the peer that reported it; empty: none
        :param at_s: when the endpoint crashed
        :param now_s: the time
        """
        fingerprint = suspect.fingerprint
        if suspect.uncertain:
            if not self.strikes.is_proven(fingerprint, now_s):
                self._watched.add(fingerprint, now_s)
            return
        strike_id = self.crash_ids.identify(suspect.endpoint, at_s)
        if not self.strikes.add_strike(fingerprint, strike_id, False, at_s):
            if not (
                reporter or self.strikes.has_strike(fingerprint, strike_id)
            ):
                self._log_pardoned(suspect)
            return
        self.on_decision(
            Decision(
                "strike",
                "in flight when the endpoint crashed",
                endpoint=suspect.endpoint,
                inputs={
                    "fingerprint": fingerprint,
                    "strikes": self.strikes.count(fingerprint, now_s),
                    "reporter": reporter,
                    "age_s": round(now_s - at_s, 3),
                },
            )
        )

    def _log_pardoned(self, suspect: CrashSuspect) -> None:
        """Log that a strike does not count, as a later run was answered."""
        self.on_decision(
            Decision(
                "not_counted",
                "an endpoint has answered such a request since",
                endpoint=suspect.endpoint,
                inputs={"fingerprint": suspect.fingerprint},
            )
        )

    def _clear_everywhere(
        self, fingerprint: int, now_s: float, reason: str
    ) -> bool:
        """Remove a request's strikes, at the peers too."""
        cleared = self._clear(fingerprint, "", now_s, reason)
        if cleared and self.notifier is not None:
            self.notifier.report_cleared(fingerprint)
        return cleared

    def _clear(
        self, fingerprint: int, reporter: str, now_s: float, reason: str
    ) -> bool:
        """Remove a request's strikes; return whether it was a suspect."""
        was_watched = self._watched.remove(fingerprint)
        several = self.strikes.count(fingerprint, now_s) > 1
        had_strikes = self.strikes.mark_proven(fingerprint, now_s)
        if several:
            self.on_pardon()
        if was_watched or reporter:
            # Reports of earlier crashes may still arrive.
            self.strikes.pardon(fingerprint, now_s)
        if had_strikes:
            self.on_decision(
                Decision(
                    "strikes_cleared",
                    reason,
                    inputs={"fingerprint": fingerprint, "reporter": reporter},
                )
            )
        return was_watched or had_strikes

    def _all_known(self, now_s: float) -> tuple[CrashSuspect, ...]:
        """Return all strikes and watched requests, for a new peer."""
        watched = tuple(
            CrashSuspect(fingerprint, "", now_s - at_s, uncertain=True)
            for fingerprint, at_s in self._watched
        )
        struck = tuple(
            CrashSuspect(
                fingerprint,
                split_id(strike.strike_id)[0],
                strike.age_ms / 1000,
            )
            for fingerprint in self.strikes.fingerprints()
            for strike in self.strikes.strikes(fingerprint, now_s)
        )
        return watched + struck

"""Finds the parts of prompts that crash endpoints, and keeps them away.

Ten or more runs break with each crash, and most share parts of their prompts
with each other.  Therefore a request is not refused because a part of it has
strikes (see `partstrikes`), but if it holds every part that may explain the
crashes.  Where that is not known yet, parts with strikes are *held*: their
requests run one at a time in the fleet, each on an endpoint without another
one.  What becomes of these trials shows which part it is.

Routers report strikes and proofs to each other, and take turns with trials.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Final

from bulrushstream.coordination.crashids import CrashIds
from bulrushstream.coordination.crashsuspects import PARDONED
from bulrushstream.coordination.partreports import PartReports
from bulrushstream.coordination.partrules import (
    explains_crashes,
    is_held,
    may_refuse,
    retrial_s,
)
from bulrushstream.coordination.partstrikes import (
    PartStrike,
    PartStrikeTable,
)
from bulrushstream.coordination.parttrials import PartTrials
from bulrushstream.coordination.watchlist import WatchList
from bulrushstream.state.call import part_name
from bulrushstream.state.effect import Decision
from bulrushstream.state.peerupdate import PeerUpdate

ANSWERED: Final = "an endpoint answered such a prompt"

MAX_LOGGED_PARTS: Final = 8  # Of those that share crashes with another.


class PartVerdict(IntEnum):
    """Whether a request may run, by the parts of its prompt."""

    SERVE = 1
    TRY = 2  # It is the trial of its held parts.
    HOLD = 3  # Another trial of one of its parts is under way.
    REFUSE = 4  # It holds every part that may explain the crashes.


@dataclass(frozen=True, slots=True)
class PartJudgement:
    """A verdict on a request, and the part that it is based on."""

    verdict: PartVerdict
    part: int = 0
    due_s: float = 0.0  # When a held part may be tried again.


@dataclass(frozen=True, slots=True)
class SuspectPart:
    """A part that is held or refused, for operators."""

    part: int
    refused: bool
    strikes: tuple[PartStrike, ...]
    explanations: tuple[int, ...]  # The parts that may be the cause.


_SERVE: Final = PartJudgement(PartVerdict.SERVE)


@dataclass(slots=True)
class PartSuspects:
    """The parts with strikes, and the trials that are under way."""

    on_decision: Callable[[Decision], None]  # Called for each finding.
    crash_ids: CrashIds = field(default_factory=CrashIds)
    trials: PartTrials = field(default_factory=PartTrials)
    table: PartStrikeTable = field(default_factory=PartStrikeTable)
    reports: PartReports = field(init=False)
    on_pardon: Callable[[], None] = lambda: None  # A part was cleared.
    # The held parts, and whether requests may be refused for them.
    _held: dict[int, bool] = field(default_factory=dict)
    _changed: bool = False  # Whether `_held` must be computed anew.
    _watched: WatchList = field(default_factory=WatchList)  # By part.
    _explained: frozenset[str] = frozenset()  # Crashes of whole requests.
    _explained_here: frozenset[str] = frozenset()  # By refused parts.

    def __post_init__(self) -> None:
        """Create the reports of the table's strikes."""
        self.reports = PartReports(self.table)

    # --- Requests.

    def judge(self, parts: Sequence[int], now_s: float) -> PartJudgement:
        """Return whether a request may run.

        :param parts: the shared parts of its prompt
        :param now_s: the time
        """
        self._update()
        held = [part for part in parts if part in self._held]
        if not held:
            return _SERVE
        for part in held:
            if (
                self._held[part]
                and explains_crashes(self.table, part, parts)
                and now_s < self._retrial_s(part)
            ):
                return PartJudgement(PartVerdict.REFUSE, part)
        for part in held:
            due_s = self._turn_s(part)
            if now_s < due_s:
                return PartJudgement(PartVerdict.HOLD, part, due_s)
        return PartJudgement(PartVerdict.TRY, held[0])

    def is_watched(self, parts: Sequence[int], now_s: float) -> bool:
        """Return whether an endpoint may have crashed on one of the parts.

        :param parts: the shared parts of a prompt
        :param now_s: the time
        """
        return bool(self._watched) and any(
            self._watched.covers(part, now_s) for part in parts
        )

    def placed(
        self, endpoint: str, parts: Sequence[int], now_s: float
    ) -> None:
        """Record that this router or a peer sends a request.

        :param endpoint: the endpoint's id
        :param parts: the shared parts of its prompt
        :param now_s: the time
        """
        held = [part for part in parts if part in self._held]
        self.trials.placed(endpoint, held, now_s)

    # --- Evidence.

    def endpoint_crashed(
        self,
        endpoint: str,
        parts: Sequence[int],
        sent_s: float,
        at_s: float,
        now_s: float,
    ) -> None:
        """Record that an endpoint crashed during a run of this router.

        :param endpoint: the endpoint's id
        :param parts: the shared parts of the run's prompt
        :param sent_s: when the run was sent
        :param at_s: when the endpoint crashed
        :param now_s: the time
        """
        crash_id = self.crash_ids.identify(endpoint, at_s)
        strike = PartStrike(endpoint, at_s, min(sent_s, at_s))
        new = self._strike(crash_id, dict.fromkeys(parts, strike), "", now_s)
        if new:
            self.reports.add_strikes(crash_id, new, now_s)

    def end_unknown(
        self, endpoint: str, parts: Sequence[int], at_s: float, now_s: float
    ) -> None:
        """Watch parts: nobody knows if an endpoint crashed on them.

        :param endpoint: the endpoint's id
        :param parts: the shared parts of the run's prompt
        :param at_s: when its run broke
        :param now_s: the time
        """
        new = [part for part in parts if self._watch(part, at_s)]
        self.reports.add_uncertain(endpoint, new, max(0.0, now_s - at_s))

    def answered(
        self, parts: Sequence[int], began_s: float, now_s: float
    ) -> None:
        """Record that an endpoint wrote a whole answer.

        :param parts: the shared parts of the request's prompt
        :param began_s: when the endpoint began to write
        :param now_s: the time
        """
        for part in parts:
            if self._prove(part, began_s, ""):
                self.reports.add_proof(part, began_s, now_s)

    def pardon(self, part: int, now_s: float) -> bool:
        """Remove a part's strikes, as an operator asks.

        :param part: the part's id
        :param now_s: the time
        :returns: whether it had any
        """
        had_strikes = self._prove(part, now_s, "", PARDONED)
        if had_strikes:
            self.reports.add_proof(part, now_s, now_s)
        return had_strikes

    def apply_update(self, update: PeerUpdate, now_s: float) -> None:
        """Apply what another router reports of parts.

        :param update: the update
        :param now_s: the time
        """
        for report in update.part_strikes:
            at_s = now_s - report.age_s
            if report.uncertain:
                for struck in report.parts:
                    self._watch(struck.part_id, at_s)
                continue
            strikes = {
                struck.part_id: PartStrike(
                    report.endpoint, at_s, at_s - struck.in_flight_s
                )
                for struck in report.parts
            }
            crash_id = self.crash_ids.identify(report.endpoint, at_s)
            self._strike(crash_id, strikes, update.instance, now_s)
            for part in strikes:
                # The peer does not know of this proof.
                proven_s = self.table.proven_s(part)
                if proven_s >= at_s:
                    self.reports.add_proof(part, proven_s, now_s)
        for proof in update.part_proofs:
            self._prove(proof.part_id, now_s - proof.age_s, update.instance)

    def restore(self, crash_id: str, strikes: dict[int, PartStrike]) -> None:
        """Apply strikes that were read from the store.

        Which parts are held is computed later, once for all crashes.

        :param crash_id: the id of the crash
        :param strikes: by part
        """
        for part, strike in strikes.items():
            if self.table.add(part, crash_id, strike):
                self._changed = True

    def set_explained(self, crash_ids: Iterable[str]) -> None:
        """Leave out the crashes that repeats of one request explain.

        :param crash_ids: the ids of these crashes
        """
        explained = frozenset(crash_ids)
        if explained != self._explained:
            self._explained = explained
            self._changed = True

    def explained_crashes(self) -> frozenset[str]:
        """Return the ids of the crashes that refused parts explain."""
        self._update()
        return self._explained_here

    def suspects(self) -> list[SuspectPart]:
        """Return the parts that are held or refused."""
        self._update()
        return [
            SuspectPart(
                part,
                refused,
                tuple(self.table.strikes(part)),
                tuple(sorted(self.table.explanations(part))),
            )
            for part, refused in self._held.items()
        ]

    def sweep(self, now_s: float) -> None:
        """Remove expired strikes; called often.

        :param now_s: the time
        """
        if self.table.expire(now_s):
            self._changed = True
        self._update()
        self.trials.sweep(now_s)

    def _strike(
        self,
        crash_id: str,
        strikes: dict[int, PartStrike],
        reporter: str,
        now_s: float,
    ) -> list[int]:
        """Add the strikes of one crash; return the parts that are new."""
        if crash_id in self._explained:
            return []
        new = [
            part
            for part, strike in strikes.items()
            if self.table.add(part, crash_id, strike)
        ]
        if new:
            self._changed = True
            strike = strikes[new[0]]
            self.on_decision(
                Decision(
                    "part_strikes",
                    "in flight when the endpoint crashed",
                    endpoint=strike.endpoint,
                    inputs={
                        "parts": ",".join(map(part_name, new)),
                        "reporter": reporter,
                        "age_s": round(now_s - strike.crash_s, 3),
                    },
                )
            )
            self._update()
        return new

    def _prove(
        self, part: int, began_s: float, reporter: str, reason: str = ANSWERED
    ) -> bool:
        """Record a proof; return whether the part had strikes."""
        self._watched.remove(part, before_s=began_s)
        if not self.table.prove(part, began_s):
            return False
        self._changed = True
        if part in self._held:
            self._log(part, reason, reporter)
        self.on_pardon()
        return True

    def _watch(self, part: int, at_s: float) -> bool:
        """Watch a part; return whether that is new."""
        if at_s <= self.table.proven_s(part):
            return False
        return self._watched.add(part, at_s)

    # --- Held parts.

    def _update(self) -> None:
        """Compute anew which parts are held; log what has changed."""
        if not self._changed:
            return
        self._changed = False
        self.table.discard(self._explained)
        before = self._held
        self._held = {
            part: may_refuse(self.table, self.crash_ids, part)
            for part in self.table.parts()
            if is_held(self.table, part)
        }
        for part, refused in self._held.items():
            if refused and not before.get(part):
                self._log(part, "requests with all that explains it", "")
            elif part not in before:
                self._log(part, "its requests run one at a time", "")
        self._explained_here = frozenset(
            crash_id
            for part, refused in self._held.items()
            if refused
            for crash_id, _ in self.table.items(part)
        )
        self.trials.forget(before.keys() - self._held.keys())

    def _retrial_s(self, part: int) -> float:
        """Return when a refused part is tried again."""
        return retrial_s(self.table, part, self.trials.last_s(part))

    def _turn_s(self, part: int) -> float:
        """Return when this router may try a held part."""
        strikes = self.table.strikes(part)
        return self.trials.turn_s(part, strikes[-1].crash_s, len(strikes))

    def _log(self, part: int, reason: str, reporter: str) -> None:
        """Log that a part is held, refused or cleared, and why."""
        strikes = self.table.strikes(part)
        kind = "part_cleared"
        if strikes:
            kind = "part_refused" if self._held.get(part) else "part_held"
        shared = self.table.shared_crashes(part)
        shared.pop(part, None)
        others = sorted(shared, key=lambda other: -shared[other])
        endpoints = [strike.endpoint for strike in strikes]
        explanations = sorted(self.table.explanations(part))
        self.on_decision(
            Decision(
                kind,
                reason,
                inputs={
                    "part": part_name(part),
                    "strikes": len(strikes),
                    "independent": self.table.independent_count(part),
                    "endpoints": ",".join(endpoints),
                    "explained_by": ",".join(map(part_name, explanations)),
                    "others": ",".join(
                        f"{part_name(other)}={shared[other]}"
                        for other in others[:MAX_LOGGED_PARTS]
                    ),
                    "reporter": reporter,
                },
            )
        )

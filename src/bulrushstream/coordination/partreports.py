"""What a router reports to the others of the parts that it finds.

Strikes and proofs are reported at once and repeated with the next
heartbeats, as datagrams are lost; all known strikes are reported to a router
that starts or returns.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Final, Protocol

from bulrushstream.coordination.crashsuspects import (
    MAX_REPEATED,
    REPEAT_ALL_S,
    REPEAT_S,
)
from bulrushstream.coordination.partstrikes import PartStrikeTable
from bulrushstream.state.partevidence import (
    PartProof,
    PartStrikes,
    StruckPart,
)

MAX_PARTS_OF_REPORT: Final = 64  # Of one crash; more are split.


class PartNotifier(Protocol):
    """Reports what this router finds of parts to the other routers."""

    def report_part_strikes(self, strikes: PartStrikes) -> None:
        """Report parts that were in flight when an endpoint crashed."""

    def report_part_proof(self, proof: PartProof) -> None:
        """Report that an endpoint wrote a whole answer on a part."""


@dataclass(slots=True)
class _OwnCrash:
    """A crash that this router found."""

    reported_s: float  # When parts were last added.
    parts: set[int] = field(default_factory=set)  # Those in flight there.


@dataclass(slots=True)
class _OwnProof:
    """A part that an endpoint answered for this router."""

    began_s: float  # When the endpoint began to write.
    reported_s: float  # When it was first reported.


@dataclass(slots=True)
class PartReports:
    """The strikes and proofs that this router repeats to its peers."""

    table: PartStrikeTable
    notifier: PartNotifier | None = None  # None: not connected to peers.
    _crashes: OrderedDict[str, _OwnCrash] = field(default_factory=OrderedDict)
    _proofs: OrderedDict[int, _OwnProof] = field(default_factory=OrderedDict)
    _repeat_all_until_s: float = float("-inf")

    def add_strikes(
        self, crash_id: str, parts: Sequence[int], now_s: float
    ) -> None:
        """Report new strikes.

        :param crash_id: the id of the crash
        :param parts: the parts that were in flight
        :param now_s: the time
        """
        crash = self._crashes.setdefault(crash_id, _OwnCrash(now_s))
        crash.reported_s = now_s
        crash.parts.update(parts)
        if self.notifier is not None:
            for report in self._encode(crash_id, parts, now_s):
                self.notifier.report_part_strikes(report)

    def add_uncertain(
        self, endpoint: str, parts: Sequence[int], age_s: float
    ) -> None:
        """Report parts of a run of which nobody knows if it crashed.

        :param endpoint: the endpoint's id
        :param parts: the parts
        :param age_s: how long ago the run broke
        """
        if self.notifier is not None:
            for group in _groups([StruckPart(part, 0.0) for part in parts]):
                self.notifier.report_part_strikes(
                    PartStrikes(endpoint, age_s, group, uncertain=True)
                )

    def add_proof(self, part: int, began_s: float, now_s: float) -> None:
        """Report that an endpoint answered on a part with strikes.

        :param part: the part's id
        :param began_s: when it began to write
        :param now_s: the time
        """
        known = self._proofs.get(part)
        if known is not None and began_s <= known.began_s:
            return
        self._proofs[part] = _OwnProof(began_s, now_s)
        if len(self._proofs) > MAX_REPEATED:
            self._proofs.popitem(last=False)
        if self.notifier is not None:
            self.notifier.report_part_proof(PartProof(part, now_s - began_s))

    def peer_appeared(self, now_s: float) -> None:
        """Report all strikes with the next heartbeats, for a new peer.

        :param now_s: the time
        """
        self._repeat_all_until_s = now_s + REPEAT_ALL_S

    def strikes_to_repeat(self, now_s: float) -> tuple[PartStrikes, ...]:
        """Return the strikes that the next heartbeat reports.

        :param now_s: the time
        """
        for crash_id, crash in list(self._crashes.items()):
            if now_s - crash.reported_s >= REPEAT_S:
                del self._crashes[crash_id]
        if now_s < self._repeat_all_until_s:
            by_crash = self._known_by_crash()
        else:
            by_crash = {
                crash_id: sorted(crash.parts)
                for crash_id, crash in self._crashes.items()
            }
        reports: list[PartStrikes] = []
        for crash_id, parts in by_crash.items():
            reports += self._encode(crash_id, parts, now_s)
        return tuple(reports)

    def proofs_to_repeat(self, now_s: float) -> tuple[PartProof, ...]:
        """Return the proofs that the next heartbeat reports.

        :param now_s: the time
        """
        for part, proof in list(self._proofs.items()):
            if now_s - proof.reported_s >= REPEAT_S:
                del self._proofs[part]
        return tuple(
            PartProof(part, now_s - proof.began_s)
            for part, proof in self._proofs.items()
        )

    def _known_by_crash(self) -> dict[str, list[int]]:
        """Return the parts with the most strikes, by crash."""
        parts = sorted(
            self.table.parts(), key=lambda part: -len(self.table.items(part))
        )
        by_crash: dict[str, list[int]] = {}
        for part in parts[:MAX_REPEATED]:
            for crash_id, _ in self.table.items(part):
                by_crash.setdefault(crash_id, []).append(part)
        return by_crash

    def _encode(
        self, crash_id: str, parts: Iterable[int], now_s: float
    ) -> list[PartStrikes]:
        """Return the reports of a crash's strikes that still count."""
        struck: list[StruckPart] = []
        strike = None
        for part in parts:
            known = dict(self.table.items(part)).get(crash_id)
            if known is not None:
                strike = known
                in_flight_s = known.crash_s - known.sent_s
                struck.append(StruckPart(part, in_flight_s))
        if strike is None:
            return []
        age_s = max(0.0, now_s - strike.crash_s)
        return [
            PartStrikes(strike.endpoint, age_s, group)
            for group in _groups(struck)
        ]


def _groups(parts: Sequence[StruckPart]) -> list[tuple[StruckPart, ...]]:
    """Split parts into groups that fit in a datagram."""
    return [
        tuple(parts[begin : begin + MAX_PARTS_OF_REPORT])
        for begin in range(0, len(parts), MAX_PARTS_OF_REPORT)
    ]

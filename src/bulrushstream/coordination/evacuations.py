"""Which availability zones get no requests, as operators decide it.

The store's topic of operators is the only authority.  A router reads it with
a pending read.  One that does not reach the store goes by what its peers
report.

A *view* is the set of evacuated zones after all records of the topic before
an offset, and the time at which the store is known to have held no others:
when the read was sent whose answer shows it.  Views are compared whole, so
the loss, repetition or reordering of reports does no harm, and the absence
of a zone tells that its evacuation has ended.  Of two views that were
confirmed at about the same time, the one with more records is newer.  Of
others the one that was confirmed later is, since the offsets of a store that
was reset start again at 0.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Final

from bulrushstream.state.effect import Decision
from bulrushstream.state.evacuation import EvacuatedZone, EvacuationReport
from bulrushstream.state.peerupdate import PeerUpdate

# A read is answered within this time after it was sent, or has failed: the
# store holds it for up to 1.5 s, and its call times out 1.5 s later.
MAX_READ_S: Final = 3.0

# Views that were confirmed within this time of each other are compared by
# their offsets: a read that is pending may show records that are newer than
# those of a read that was sent later.
SAME_STORE_S: Final = MAX_READ_S + 1.0

# A view counts as older by this each time that a router passes it on.  It is
# more than a datagram takes, so that routers without the store can not keep
# a view young by sending it to each other.
HOP_S: Final = 0.25

# Views whose zones' names are longer in sum are not sent to peers, as a
# datagram has a limited size.
MAX_REPORT_CHARS: Final = 8_000

# Faults that are remembered, so that each is logged once.
MAX_FAULTS: Final = 256

# Longer names of zones are cut in the log.
MAX_LOGGED_CHARS: Final = 80


@dataclass(slots=True)
class _View:
    """The evacuated zones as of a place in the topic."""

    zones: dict[str, int]  # With the offset from which each is known.
    end_offset: int
    confirmed_s: float  # When the read was sent that shows it.
    reporter: str = ""  # The router that told it; empty: the store.
    received_s: float = 0.0  # When that was.


@dataclass(slots=True)
class _Progress:
    """What became of one evacuation at this router."""

    withdrawn: int = 0  # Requests that were to be sent there and were not.
    in_force: bool = False  # Whether the last request there has ended.
    known: bool = False  # Whether the zone had an endpoint meanwhile.


def _newer(first: _View, second: _View) -> _View:
    """Return the newer of two views, the first one if they are the same."""
    apart_s = first.confirmed_s - second.confirmed_s
    records = first.end_offset - second.end_offset
    if records and abs(apart_s) <= SAME_STORE_S:
        return first if records > 0 else second
    return first if apart_s >= 0.0 else second


@dataclass(slots=True)
class Evacuations:
    """The evacuated zones that one router knows of."""

    # Logs a decision.
    observe: Callable[[Decision], None] = lambda decision: None
    # The time in seconds, which also runs while suspended.
    clock: Callable[[], float] = lambda: 0.0
    # Tells the other routers of a change that the store reported.
    report: Callable[[EvacuationReport], None] = lambda report: None
    # Called with a zone after its evacuation has begun or ended.
    on_begun: Callable[[str], None] = lambda zone: None
    on_ended: Callable[[str], None] = lambda zone: None
    # The evacuated zones, with the offset from which each is known.
    active: dict[str, int] = field(default_factory=dict)
    _own: _View | None = None  # From the store; None: not read yet.
    # When the store was found to have been reset.
    _reset_s: float = float("-inf")
    _heard: _View | None = None  # The newest one from peers.
    _progress: dict[str, _Progress] = field(default_factory=dict)
    _faults: set[str] = field(default_factory=set)

    def is_evacuated(self, zone: str) -> bool:
        """Return whether a zone's endpoints get no requests.

        :param zone: the zone
        """
        return zone in self.active

    def zones(self) -> frozenset[str]:
        """Return the evacuated zones."""
        return frozenset(self.active)

    # --- From the store.

    def listed(self, zones: Iterable[str], end_offset: int) -> None:
        """Apply the topic's newest records, which replace all before.

        :param zones: the zones whose keys exist
        :param end_offset: where the next read starts
        """
        known = self._own.zones if self._own is not None else {}
        if self._own is not None and end_offset < self._own.end_offset:
            self._reset_s = self.clock()
            if self._heard is not None and self._is_of_before_reset(
                self._heard, end_offset
            ):
                self._heard = None
        # Offsets of before a reset say nothing about the store as it is.
        found = {
            zone: min(known.get(zone, end_offset), end_offset)
            for zone in zones
            if zone
        }
        self._own = _View(found, end_offset, self.clock())
        self._refresh()

    def applied(self, zone: str, active: bool, offset: int) -> None:
        """Apply one record of the topic.

        :param zone: the zone that its key names
        :param active: whether the key exists now
        :param offset: the record's offset
        """
        if self._own is None:
            # The listing failed; no zone is taken for open because of that.
            if not active:
                return
            self._own = _View({}, 0, float("-inf"))
        if active and zone:
            self._own.zones.setdefault(zone, offset)
        else:
            self._own.zones.pop(zone, None)
        self.passed(offset)
        self._refresh()

    def passed(self, offset: int) -> None:
        """Record that a record was read, whatever it concerns.

        :param offset: the record's offset
        """
        own = self._own
        if own is None:
            return
        own.end_offset = max(own.end_offset, offset + 1)
        own.confirmed_s = max(own.confirmed_s, self.clock() - MAX_READ_S)

    def confirmed(self, sent_s: float) -> None:
        """Record that a read found nothing beyond what was applied.

        A peer's view that arrived before the read was sent holds no record
        that the store still has and that is missing here.

        :param sent_s: when the read was sent
        """
        own = self._own
        if own is None:
            return
        own.confirmed_s = max(own.confirmed_s, sent_s)
        heard = self._heard
        if heard is not None and heard.received_s <= sent_s:
            self._heard = None
        self._refresh()

    def found_fault(self, key: str, fault: str) -> None:
        """Log a key that can not be read as intended, once for each.

        :param key: the key's name, or what stands for it
        :param fault: what is wrong, and what follows from it
        """
        if key in self._faults or len(self._faults) >= MAX_FAULTS:
            return
        self._faults.add(key)
        self.observe(
            Decision(
                "bad_evacuation",
                fault,
                inputs={"zone": key[:MAX_LOGGED_CHARS]},
            )
        )

    # --- From and to peers.

    def apply_update(self, update: PeerUpdate) -> None:
        """Apply what a peer reports.

        :param update: its update; older routers report nothing
        """
        report = update.evacuations
        if report is None or report.end_offset < 0:
            return
        now_s = self.clock()
        view = _View(
            {each.zone: each.offset for each in report.zones if each.zone},
            report.end_offset,
            now_s - max(0.0, report.age_s),
            update.instance,
            now_s,
        )
        heard, own = self._heard, self._own
        if own is not None and self._is_of_before_reset(view, own.end_offset):
            return
        if heard is not None and not self._replaces(view, heard):
            return
        self._heard = view
        self._refresh()

    def to_repeat(self, now_s: float) -> EvacuationReport | None:
        """Return what heartbeats tell the peers; None: nothing is known.

        :param now_s: the time
        """
        view = self._newest()
        if view is None:
            return None
        if sum(map(len, view.zones)) > MAX_REPORT_CHARS:
            self.found_fault(
                "", "too many zones for a message; peers are not told"
            )
            return None
        hop_s = HOP_S if view.reporter else 0.0
        return EvacuationReport(
            tuple(EvacuatedZone(*each) for each in sorted(view.zones.items())),
            view.end_offset,
            max(0.0, now_s - view.confirmed_s) + hop_s,
        )

    # --- What follows.

    def withdrawn(self, zone: str) -> None:
        """Count a request that was to be sent to a zone and was not.

        :param zone: the zone
        """
        if zone in self._progress:
            self._progress[zone].withdrawn += 1

    def observe_zones(
        self, in_flight: Mapping[str, int], listed: Iterable[str]
    ) -> None:
        """Log the evacuations that are in force; called often.

        :param in_flight: this router's requests that run in each zone
        :param listed: the zones of the endpoints; empty: none are known yet
        """
        listed = set(listed)
        for zone, progress in self._progress.items():
            if not progress.in_force and not in_flight.get(zone, 0):
                progress.in_force = True
                self._log(
                    "evacuation_in_force",
                    "no request of this router runs there any more",
                    zone,
                    progress,
                )
            progress.known = progress.known or zone in listed
            if listed and not progress.known:
                self.found_fault(zone, "the zone has no endpoints")

    def _replaces(self, view: _View, heard: _View) -> bool:
        """Return whether a peer's view replaces the one from before.

        A view of the same peer does also if it is older: the time of the
        one before may be wrong, because this process stood still between
        its arrival and its reading.
        """
        if view.reporter != heard.reporter:
            return _newer(heard, view) is view
        reordered = (
            view.end_offset < heard.end_offset
            and abs(view.confirmed_s - heard.confirmed_s) <= SAME_STORE_S
        )
        return not reordered

    def _is_of_before_reset(self, view: _View, end_offset: int) -> bool:
        """Return whether a view has records that a reset store lost.

        :param view: a peer's view
        :param end_offset: the end of the store's topic as it is now
        """
        return view.confirmed_s < self._reset_s and (
            view.end_offset > end_offset
        )

    def _newest(self) -> _View | None:
        """Return the newest view; None: there is none."""
        own, heard = self._own, self._heard
        if own is None or heard is None:
            return own if heard is None else heard
        return _newer(own, heard)

    def _refresh(self) -> None:
        """Put the newest view in force; log and report what changed."""
        view = self._newest()
        if view is None:
            return
        begun = [zone for zone in view.zones if zone not in self.active]
        ended = [zone for zone in self.active if zone not in view.zones]
        # The pool of endpoints refers to this very dictionary.
        for zone in ended:
            del self.active[zone]
        self.active.update(view.zones)
        if not begun and not ended:
            return
        for zone in begun:
            progress = self._progress[zone] = _Progress()
            self._log(
                "evacuation_begun", "an operator's key exists", zone, progress
            )
        for zone in ended:
            self._faults.discard(zone)
            self._log(
                "evacuation_ended",
                "the operator's key is gone",
                zone,
                self._progress.pop(zone),
            )
        if not view.reporter:
            report = self.to_repeat(self.clock())
            if report is not None:
                self.report(report)
        for zone in ended:
            self.on_ended(zone)
        for zone in begun:
            self.on_begun(zone)

    def _log(
        self, kind: str, reason: str, zone: str, progress: _Progress
    ) -> None:
        """Log a change of a zone."""
        view = self._newest()
        assert view is not None
        self.observe(
            Decision(
                kind,
                reason,
                inputs={
                    "zone": zone[:MAX_LOGGED_CHARS],
                    "offset": view.zones.get(zone, view.end_offset),
                    "reporter": view.reporter,
                    "age_s": round(
                        min(self.clock() - view.confirmed_s, 1e6), 3
                    ),
                    "withdrawn": progress.withdrawn,
                },
            )
        )

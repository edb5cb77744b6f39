"""Checks the events of one run by what is known of its service.

A run whose events do not fit is given up before they are passed on.  What
other endpoints write alike for the same request is believed.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from typing import Final

from bulrushstream.coordination.streampatterns import (
    MAX_SHAPE_BYTES,
    StreamPattern,
)
from bulrushstream.state.eventlines import (
    CHUNK_SIZE_LINE,
    PLAIN,
    Spoiling,
    Verdict,
    is_text,
    is_well_formed,
    shape_of,
)

# Events without an id that are remembered until the next one with an id.
MAX_UNPROVEN: Final = 16

# So many endpoints must number the events of a request alike if that does not
# fit; and if a service has long kept to what is known of it.
MIN_WRITERS: Final = 2
STEADY_WRITERS: Final = 3


@dataclass(slots=True)
class Doubts:
    """What did not fit in earlier attempts of a request."""

    # Where, and which endpoints wrote it.
    refused: dict[tuple[Spoiling, int, object], set[str]] = field(
        default_factory=dict
    )
    # Whether others wrote the same; ids are not judged any more.
    confirmed: bool = False


@dataclass(slots=True)
class StreamCheck:
    """Judges the events of one run; see `RunCheck`."""

    pattern: StreamPattern
    endpoint: str
    doubts: Doubts
    resumable: bool  # Whether another endpoint may go on with the stream.
    after: int | None  # The id behind which the run is to go on.
    is_callers: bool  # Whether the caller, not the router, chose that id.
    spoiling: Spoiling | None = None
    # Events that are looked at, as no step is known.
    _learns: int = field(init=False)
    _rise: int = 0  # The last one.
    # Shapes of events behind which none is known to be missing yet.
    _unproven: list[bytes] = field(default_factory=list)
    # Whether the run has data without an id, and no event with one.
    _has_no_ids: bool = False
    _holds_foreign: bool = False  # Whether foreign bytes wait for an id.
    _revision: int = -1  # Of what is known; see `_plain`.
    _plain: tuple[re.Pattern[bytes] | None, int] = (None, 0)

    def __post_init__(self) -> None:
        self._learns = self.pattern.learns

    @property
    def _step(self) -> int:
        """Return by what ids must rise; 0: by any number."""
        if self.doubts.confirmed:
            return 0
        pattern = self.pattern
        return pattern.step if self.resumable else pattern.step_for_good

    def plain_events(self) -> tuple[re.Pattern[bytes] | None, int]:
        """Return what matches a common event; see `RunCheck`."""
        if self._revision == self.pattern.revision:
            return self._plain
        self._revision = self.pattern.revision
        step = self._step
        if step:
            self._plain = self.pattern.plain, step
        elif self._learns and not self.doubts.confirmed:
            self._plain = None, 0
        else:
            self._plain = PLAIN, 0
        return self._plain

    def passed_plain(self, count: int) -> None:
        """Take note of common events that were passed on."""
        step = self._step
        if step:
            self._prove()
            self.pattern.rise(self.endpoint, step, count)
            self.pattern.passed(count)

    def judge(
        self, event: bytes, number: int | None, before: int, *, is_new: bool
    ) -> Verdict:
        """Return what becomes of an event; see `RunCheck`."""
        if b"\r" in event and CHUNK_SIZE_LINE.search(event):
            return self._refuse(Spoiling.FRAMING)
        foreign = not self._has_no_ids and self._is_foreign(event, number)
        if number is not None or before >= 0:
            self._has_no_ids = False
        elif not foreign:
            self._has_no_ids |= b"data" in event
        if foreign and is_new and self._is_unheard_of(event, number):
            return self._refuse(Spoiling.FOREIGN)
        if not self._step:
            if not self._learns:
                return Verdict.HOLD if foreign and is_new else Verdict.PASS
            self._learns -= 1
            if not self._learns:
                self._revision = -1
        if number is not None and self._lacks_event(number, before):
            return self._refuse(Spoiling.FOREIGN)
        if number is not None and not self._takes_id(number, before):
            return Verdict.SPOILED
        self._holds_foreign |= foreign and is_new
        shape = shape_of(event, number)
        if len(self._unproven) < MAX_UNPROVEN:
            # No more than shows that it is too long to be judged.
            self._unproven.append(shape[: MAX_SHAPE_BYTES + 1])
        is_known = not self._step or self.pattern.knows(shape)
        if not is_new or (is_known and not foreign):
            return Verdict.PASS
        if self._step and self.resumable and number is not None:
            suspect = self.pattern.lacks_data(shape)
            self.pattern.see_shape(shape, self.endpoint)
            if suspect and not self._are_lines_confirmed(shape, number):
                return self._refuse(Spoiling.LINES)
        return Verdict.HOLD

    def judge_held(
        self, event: bytes, number: int | None, *, is_last: bool
    ) -> Verdict:
        """Return what becomes of an event that is held; see `RunCheck`."""
        shape = shape_of(event, number)
        if self._is_foreign(event, number):
            if not is_last:
                # Lines that readers skip may precede a long pause.
                return Verdict.HOLD
            if self.resumable and self._are_lines_confirmed(shape, number):
                return Verdict.PASS
            return self._refuse(Spoiling.FOREIGN)
        if self.pattern.knows(shape):
            return Verdict.PASS
        confirmed = self._are_lines_confirmed(shape, number)
        if self.resumable and self.pattern.is_mature and not confirmed:
            return self._refuse(Spoiling.LINES)
        # The last attempt proves nothing alone.
        if self.resumable or confirmed:
            self.pattern.prove_shape(shape)
        return Verdict.PASS

    def _is_foreign(self, event: bytes, number: int | None) -> bool:
        """Return whether bytes are no event, nor what the service writes.

        While ids may rise by any number, no other lines are learned of, and
        an id alone makes an event.
        """
        if number is not None and not self._step:
            return False
        if is_well_formed(event, number):
            return False
        return not self.pattern.has_proven(shape_of(event, number))

    def _lacks_event(self, number: int, before: int) -> bool:
        """Return whether an id was skipped where foreign bytes are held.

        They may be the event that had it.  While no step is known, the run's
        last rise tells what was to follow.
        """
        held, self._holds_foreign = self._holds_foreign, False
        known = before >= 0 and self._rise > 0
        return held and known and number - before != self._rise

    def _is_unheard_of(self, event: bytes, number: int | None) -> bool:
        """Return whether a service that is known writes no foreign bytes.

        If no other endpoint may show that it does, only what is no text is
        refused before the next id can prove it.
        """
        if not self.pattern.is_steady:
            return False
        if not self.resumable:
            return not is_text(event)
        return not self._are_lines_confirmed(shape_of(event, number), number)

    def _are_lines_confirmed(self, shape: bytes, number: int | None) -> bool:
        """Return whether another endpoint wrote an event of that shape."""
        place = -1 if number is None else number
        return self._is_confirmed((Spoiling.LINES, place, shape))

    def _takes_id(self, number: int, before: int) -> bool:
        """Return whether an id fits, and take note of it."""
        if before < 0:
            return self._takes_first(number)
        rise, step = number - before, self._step
        if step and rise != step:
            return self._takes_gap(before, rise, number)
        self.pattern.rise(self.endpoint, rise)
        if rise == (step or self._rise):
            self._prove()
        else:
            self._unproven.clear()
        self._rise = rise
        return True

    def _takes_first(self, number: int) -> bool:
        """Return whether the first id of the run fits."""
        pattern, after, step = self.pattern, self.after, self._step
        first = pattern.first if self.resumable else pattern.first_for_good
        if after is None:
            # Ids without a step may happen to begin alike.
            if not step or first in (None, number):
                pattern.begin(self.endpoint, number)
                return True
            if self._is_confirmed((Spoiling.FIRST_ID, -1, number)):
                pattern.confirm_begin(self.endpoint, number)
                return True
            pattern.refuse_begin(self.endpoint, number)
            self._refuse(Spoiling.FIRST_ID)
            return False
        rise = number - after
        if rise <= 0 or not step or rise == step:
            # It may repeat events, from any one on.
            return True
        if self.is_callers and (rise < step or number == first):
            return True
        return self._takes_gap(after, rise, number)

    def _takes_gap(self, before: int, rise: int, number: int) -> bool:
        """Return whether an id counts that does not rise by the step."""
        if self._is_confirmed((Spoiling.GAP, before, number)):
            self.pattern.confirm_rise(self.endpoint, rise)
            return True
        self.pattern.refuse_rise(self.endpoint, rise)
        self._refuse(Spoiling.GAP)
        return False

    def _is_confirmed(self, doubt: tuple[Spoiling, int, object]) -> bool:
        """Return whether other endpoints wrote the same; remember it."""
        writers = self.doubts.refused.setdefault(doubt, set())
        writers.add(self.endpoint)
        if doubt[0] is Spoiling.LINES:
            return len(writers) > 1
        # Behind the last attempt no other endpoint can be asked.
        needed = MIN_WRITERS
        if self.pattern.is_steady and self.resumable:
            needed = STEADY_WRITERS
        if len(writers) < needed:
            return False
        self.doubts.confirmed = True
        self._revision = -1
        return True

    def _prove(self) -> None:
        """Take note that no event is missing behind those before."""
        for shape in self._unproven:
            self.pattern.prove_shape(shape)
        self._unproven.clear()

    def _refuse(self, spoiling: Spoiling) -> Verdict:
        self.spoiling = spoiling
        return Verdict.SPOILED

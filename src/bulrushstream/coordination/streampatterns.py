"""How the endpoints of a service number and write the events of streams.

Nothing of it is assumed: a service may number its events in any steps, or not
at all.  What its endpoints keep to is learned, for each of its versions.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from typing import Final

from bulrushstream.coordination.usualvalues import UsualValues
from bulrushstream.state.eventlines import PLAIN, pattern_of

# So many rises of ids show a step where an event that does not fit may come
# from another endpoint; and where it would end the stream for good.  The same
# for the ids with which runs begin.
MIN_RISES: Final = 6
MIN_RISES_FOR_GOOD: Final = 16
MIN_FIRSTS: Final = 3
MIN_FIRSTS_FOR_GOOD: Final = 6

# Rises of a service without a known step are looked at once in this many.
UPDATE_INTERVAL: Final = 8

# Events of a run that are looked at while no step is known; and if many were.
MAX_LEARNED: Final = 32
MIN_LEARNED: Final = 4
MANY_RISES: Final = 512

# Shapes of events: a shape is known once it came so often with no event
# missing before the next one, and is expected if it was seen so often.
MIN_PROVEN: Final = 2
MIN_SEEN: Final = 3
MAX_SHAPES: Final = 48
MAX_SHAPE_BYTES: Final = 256
MAX_PLAIN_SHAPES: Final = 8
# After so many events, an endpoint that numbers one otherwise is suspect, and
# one that writes a new shape.
STEADY_EVENTS: Final = 64
MATURE_EVENTS: Final = 256


@dataclass(slots=True)
class _Shape:
    """How often events of one shape came."""

    proven: int = 0
    seen: int = 0
    seen_at: str = ""  # The endpoint that wrote it first.
    is_common: bool = False  # Whether several endpoints did.


@dataclass(slots=True)
class StreamPattern:
    """What is known of one version of a service."""

    # By what ids rise; 0: not known, or by any number.
    step: int = 0
    step_for_good: int = 0
    # The ids with which runs begin.
    first: int | None = None
    first_for_good: int | None = None
    plain: re.Pattern[bytes] | None = None  # Matches common events.
    _rises: UsualValues = field(default_factory=lambda: UsualValues(3, 64, 2))
    _firsts: UsualValues = field(default_factory=lambda: UsualValues(1, 8, 1))
    _shapes: dict[bytes, _Shape] = field(default_factory=dict)
    _varied: bool = False  # Whether there are too many shapes to know them.
    _proven_count: int = 0
    revision: int = 0  # Rises as what is to be known of a run changes.
    _rise_count: int = 0
    _all_have_data: bool = True  # All events with an id whose shape is known.

    def rise(self, endpoint: str, rise: int, times: int = 1) -> None:
        """Take note by what ids of an endpoint rose.

        :param endpoint: the endpoint
        :param rise: the difference
        :param times: how often
        """
        self._rises.count(endpoint, rise, times)
        self._rise_count += 1
        if self.step_for_good:
            if rise != self.step_for_good:
                self._update_step()
        elif (
            self._rise_count <= MIN_RISES_FOR_GOOD
            or not self._rise_count % UPDATE_INTERVAL
        ):
            self._update_step()

    @property
    def learns(self) -> int:
        """Return how many events of a run are looked at without a step."""
        return MAX_LEARNED if self._rise_count < MANY_RISES else MIN_LEARNED

    def passed(self, count: int) -> None:
        """Take note of events of known shapes, behind which none is missing.

        :param count: their number
        """
        self._proven_count += count

    def refuse_rise(self, endpoint: str, rise: int) -> None:
        """Take note that an id did not rise by the step.

        :param endpoint: the endpoint that wrote it
        :param rise: the difference
        """
        self._rises.refused(endpoint, rise)
        self._update_step()

    def confirm_rise(self, endpoint: str, rise: int) -> None:
        """Take note that two endpoints numbered an event alike.

        :param endpoint: one of them
        :param rise: by what the id rose
        """
        self._rises.confirmed(endpoint, rise)
        self._update_step()

    def begin(self, endpoint: str, first: int) -> None:
        """Take note of the id with which a run of an endpoint began.

        :param endpoint: the endpoint
        :param first: the id
        """
        self._firsts.count(endpoint, first)
        if first != self.first_for_good:
            self._update_first()

    def refuse_begin(self, endpoint: str, first: int) -> None:
        """Take note that a run did not begin with the usual id.

        :param endpoint: the endpoint that wrote it
        :param first: the id
        """
        self._firsts.refused(endpoint, first)
        self._update_first()

    def confirm_begin(self, endpoint: str, first: int) -> None:
        """Take note that two endpoints began a stream alike.

        :param endpoint: one of them
        :param first: the first id
        """
        self._firsts.confirmed(endpoint, first)
        self._update_first()

    def prove_shape(self, shape: bytes) -> None:
        """Take note of an event behind which none is missing.

        :param shape: its shape
        """
        found = self._shape(shape)
        self._proven_count += 1
        if found is not None:
            found.proven += 1
            if found.proven == MIN_PROVEN:
                self._update_plain()

    def see_shape(self, shape: bytes, endpoint: str) -> None:
        """Take note of an event with a shape that is not known.

        :param shape: its shape
        :param endpoint: the endpoint that wrote it
        """
        found = self._shape(shape)
        if found is None:
            return
        found.seen += 1
        found.seen_at = found.seen_at or endpoint
        if found.seen_at != endpoint or found.seen >= MIN_SEEN:
            found.is_common = True

    @property
    def is_steady(self) -> bool:
        """Return whether the service has kept to its ids for some time."""
        return self._proven_count >= STEADY_EVENTS

    @property
    def is_mature(self) -> bool:
        """Return whether much of the service's events is known."""
        return self._proven_count >= MATURE_EVENTS

    def knows(self, shape: bytes) -> bool:
        """Return whether events of a shape are usual.

        :param shape: the shape
        """
        if self._varied or not shape or len(shape) > MAX_SHAPE_BYTES:
            return True
        return self.has_proven(shape)

    def has_proven(self, shape: bytes) -> bool:
        """Return whether events of just that shape are usual.

        :param shape: the shape
        """
        found = self._shapes.get(shape)
        return found is not None and found.proven >= MIN_PROVEN

    def lacks_data(self, shape: bytes) -> bool:
        """Return whether an event has no data, as no other of the service.

        :param shape: its shape, which is not known
        """
        if not self.is_mature or not self._all_have_data:
            return False
        if b"data" in shape.split(b"\n"):
            return False
        found = self._shapes.get(shape)
        return found is None or not (found.proven or found.is_common)

    def _shape(self, shape: bytes) -> _Shape | None:
        """Return what is known of a shape; None: shapes are not judged."""
        found = self._shapes.get(shape)
        if found is not None or self._varied:
            return found
        if len(shape) > MAX_SHAPE_BYTES:
            return None
        if len(self._shapes) >= MAX_SHAPES:
            for each in list(self._shapes):
                if self._shapes[each].proven < MIN_PROVEN:
                    del self._shapes[each]
            if len(self._shapes) >= MAX_SHAPES:
                self._varied = True
                self._update_plain()
                return None
        found = self._shapes[shape] = _Shape()
        return found

    def _update_step(self) -> None:
        self.revision += 1
        step, times = self._rises.usual()
        self.step = step if step and times >= MIN_RISES else 0
        self.step_for_good = self.step if times >= MIN_RISES_FOR_GOOD else 0

    def _update_first(self) -> None:
        first, times = self._firsts.usual()
        self.first = first if times >= MIN_FIRSTS else None
        self.first_for_good = first if times >= MIN_FIRSTS_FOR_GOOD else None

    def _update_plain(self) -> None:
        self.revision += 1
        if self._varied:
            self.plain = PLAIN
            return
        known = [s for s in self._shapes if self.knows(s)]
        names = [shape.split(b"\n") for shape in known]
        self._all_have_data = all(
            b"data" in each for each in names if b"id" in each
        )
        known.sort(key=lambda s: -self._shapes[s].proven)
        self.plain = pattern_of(known[:MAX_PLAIN_SHAPES])


@dataclass(slots=True)
class StreamPatterns:
    """What is known of each service."""

    _by_version: dict[tuple[str, str], StreamPattern] = field(
        default_factory=dict
    )

    def find(self, service: str, version: str) -> StreamPattern:
        """Return what is known of a service.

        :param service: its name
        :param version: the software version of its endpoint
        """
        return self._by_version.setdefault((service, version), StreamPattern())

    def keep(self, service: str, versions: set[str]) -> None:
        """Forget what is known of a service's other versions.

        :param service: its name
        :param versions: those that its endpoints have
        """
        for key in list(self._by_version):
            if key[0] == service and key[1] not in versions:
                del self._by_version[key]

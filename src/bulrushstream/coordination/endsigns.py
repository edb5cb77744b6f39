"""What is usual around the ends of a service's streams.

An unusual end may be that of a whole stream or a cut one.  Two signs tell them
apart only where they are rare otherwise: that the endpoint closes the
connection behind an end which needs no close, and that odd ends come without a
framing.  Whole streams are short as often with a framing as without one; an
endpoint that cuts answers can pass off only those without one.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

# Endpoints close connections of their own accord if more than one in so many
# usual ends is followed by that.
USUAL_PER_CLOSE: Final = 50

# Odd ends without a framing are suspicious if they are so many times as
# frequent there as among streams with one.
SUSPICIOUS_FACTOR: Final = 3

# So many usual ends without a framing are assumed beside those that came, as
# the first ones tell little.
ASSUMED_USUAL: Final = 4

# From this number of ends on, older ones weigh half.
MAX_ENDS: Final = 1024


@dataclass(slots=True)
class _Ends:
    """Ends of streams of one service and framing."""

    count: int = 0
    marked: int = 0  # Those that have the sign.

    def add(self, *, marked: bool) -> None:
        """Record an end.

        :param marked: whether it has the sign
        """
        self.count += 1
        self.marked += marked
        if self.count >= MAX_ENDS:
            self.count //= 2
            self.marked //= 2


@dataclass(slots=True)
class EndSigns:
    """The signs of all services."""

    # Usual ends in good framing, and those behind which came a close.
    _kept: dict[str, _Ends] = field(default_factory=dict)
    # Ends of streams, and odd ones among them, by service and by whether more
    # than the connection shows them.
    _odd: dict[tuple[str, bool], _Ends] = field(default_factory=dict)

    def add_kept(self, service: str) -> None:
        """Record a usual end on a connection that is to be kept.

        :param service: the service
        """
        self._kept.setdefault(service, _Ends()).add(marked=False)

    def add_close(self, service: str) -> None:
        """Record that an endpoint closed the connection right behind one.

        :param service: the service
        """
        self._kept.setdefault(service, _Ends()).marked += 1

    def is_close_usual(self, service: str) -> bool:
        """Return whether endpoints close connections behind usual ends.

        :param service: the service
        """
        kept = self._kept.get(service, _Ends())
        return kept.marked * USUAL_PER_CLOSE > kept.count + USUAL_PER_CLOSE

    def add_end(self, service: str, *, framed: bool, odd: bool) -> None:
        """Record the end of a stream.

        Those with a framing are of whole streams, those without one of streams
        that may not be resumed, whole or cut.

        :param service: the service
        :param framed: whether more than its connection shows it
        :param odd: whether others end differently
        """
        self._odd.setdefault((service, framed), _Ends()).add(marked=odd)

    def is_unframed_suspicious(self, service: str) -> bool:
        """Return whether odd ends come without a framing more often.

        :param service: the service
        """
        framed = self._odd.get((service, True), _Ends())
        unframed = self._odd.get((service, False), _Ends())
        # One more odd end with a framing may come at any time.
        expected = SUSPICIOUS_FACTOR * (framed.marked + 1)
        count = unframed.count + ASSUMED_USUAL
        return expected * count < unframed.marked * (framed.count + 1)

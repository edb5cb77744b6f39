"""Restores the order of the numbered parts of one answer.

Parts may arrive late, twice or out of order.  Parts in order are passed on
at once.  Parts that arrive early wait in a bounded buffer; those that do not
fit are dropped, and the router requests them again.
"""

from __future__ import annotations

from bulrushstream.state.message import Part, PartKind


class AnswerAssembler:
    """Reassembles the answer of one attempt."""

    next_sequence: int  # Sequence number of the first missing part.
    acked_sequence: int  # The next_sequence last acked to the agent.
    ended: bool  # Whether the END part was passed on.
    early_bytes: int  # Size of the buffered early parts.

    __slots__ = (
        "_early",
        "acked_sequence",
        "early_bytes",
        "ended",
        "max_early_bytes",
        "max_early_parts",
        "next_sequence",
    )

    def __init__(
        self, max_early_parts: int = 1024, max_early_bytes: int = 1 << 20
    ) -> None:
        self.max_early_parts = max_early_parts
        self.max_early_bytes = max_early_bytes
        self.next_sequence = 0
        self.acked_sequence = 0
        self.ended = False
        self.early_bytes = 0
        self._early: dict[int, Part] = {}

    @property
    def has_gap(self) -> bool:
        """Return whether a part is missing before one that arrived."""
        return bool(self._early)

    @property
    def unacked(self) -> int:
        """Return the number of parts passed on since the last ack."""
        return self.next_sequence - self.acked_sequence

    def add(self, part: Part) -> list[Part]:
        """Add a part and return all parts that are now in order.

        :param part: a part of this attempt
        :returns: parts that were not returned before, in order
        """
        if self.ended or part.sequence < self.next_sequence:
            return []
        if part.sequence > self.next_sequence:
            self._buffer_early(part)
            return []
        ready = [part]
        while (last := ready[-1]).kind is not PartKind.END:
            early = self._early.pop(last.sequence + 1, None)
            if early is None:
                break
            self.early_bytes -= len(early.data)
            ready.append(early)
        self.next_sequence = ready[-1].sequence + 1
        if ready[-1].kind is PartKind.END:
            self.ended = True
            self._early.clear()
            self.early_bytes = 0
        return ready

    def _buffer_early(self, part: Part) -> None:
        if part.sequence in self._early:
            return
        if len(self._early) >= self.max_early_parts:
            return
        if self.early_bytes + len(part.data) > self.max_early_bytes:
            return
        self._early[part.sequence] = part
        self.early_bytes += len(part.data)

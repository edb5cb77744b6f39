"""Puts the numbered parts of one answer in order.

Parts may come late, twice or out of order.  Those that are in order are
given on at once; those that came too early wait in a bounded buffer, and
what does not fit there is dropped and asked for again.
"""

from __future__ import annotations

from bulrushstream.state.message import Part, PartKind


class Answer:
    """The parts of one attempt's answer, as far as they arrived."""

    next_sequence: int  # The first part that is missing.
    acked_sequence: int  # What the agent was last told of it.
    ended: bool  # Whether the end was given on.
    early_bytes: int  # Memory that parts which came too early take.

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
        """Return whether a later part is here while an earlier is not."""
        return bool(self._early)

    @property
    def unacked(self) -> int:
        """Return how many parts the agent keeps that it need not."""
        return self.next_sequence - self.acked_sequence

    def accept(self, part: Part) -> list[Part]:
        """Take a part and return all that are now in order.

        :param part: a part of this attempt
        :returns: parts that were not returned before, in order
        """
        if self.ended or part.sequence < self.next_sequence:
            return []
        if part.sequence > self.next_sequence:
            self._keep(part)
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

    def _keep(self, part: Part) -> None:
        if part.sequence in self._early:
            return
        if len(self._early) >= self.max_early_parts:
            return
        if self.early_bytes + len(part.data) > self.max_early_bytes:
            return
        self._early[part.sequence] = part
        self.early_bytes += len(part.data)

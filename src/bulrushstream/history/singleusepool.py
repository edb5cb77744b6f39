"""A simulated pool whose connections carry one request each."""

from __future__ import annotations

from bulrushstream.state.endpointsigns import ConnectionsSeen
from bulrushstream.transport.connection import Connection


class SingleUsePool:
    """The parts of `Pool` that concern connections without a request."""

    __slots__ = ()

    # Simulated endpoints always run.
    answered_s = float("inf")
    # Nothing follows their answers.
    spoiled_s = float("-inf")

    def seen(self, at_s: float) -> ConnectionsSeen:
        """Return that no connection outlives its request."""
        del at_s
        return ConnectionsSeen(ended=0, open=0, heard=False)

    def record_answer(
        self, sent_s: float, connection: Connection | None = None
    ) -> None:
        """Do nothing: the peer is known to run."""
        del sent_s, connection

    @property
    def idle_ended_s(self) -> float:
        """Return that the peer ended no other connection."""
        return float("-inf")

    @property
    def last_ended_s(self) -> float:
        """Return that the peer ended no other connection."""
        return float("-inf")

    def is_heard(self, opened_by_s: float, since_s: float) -> bool:
        """Return that no bytes came on other connections."""
        del opened_by_s, since_s
        return False

    def heard_s(self, opened_by_s: float) -> float:
        """Return that no bytes came on other connections."""
        del opened_by_s
        return float("-inf")

    def add_idle(self) -> None:
        """Do nothing: there are no idle connections."""

    def expect_unframed(self) -> None:
        """Do nothing: there are no idle connections."""

    def watch_bytes(self, since_s: float) -> None:
        """Do nothing: the peer is known to run."""
        del since_s

    def outlived(self, opened_by_s: float, closed_s: float) -> bool:
        """Return that the peer runs: simulated endpoints always do."""
        del opened_by_s, closed_s
        return True

    def retire_idle(self) -> None:
        """Do nothing: there are no idle connections."""

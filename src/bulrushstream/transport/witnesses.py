"""Idle connections that are kept to prove that a peer's process lives.

Answers without a length end with their connection, as a process does.  A
connection from before the request shows which it was, so one that carries
nothing but probes is kept for a time once a peer has sent such an answer.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from bulrushstream.transport.connection import Connection

# Peers whose answers end with their connections are expected to send such
# ones for this long.
UNFRAMED_S: Final = 600.0

# Connections that are kept if the peer ends each one after an answer.
MAX_WITNESSES: Final = 4

# A connection that ends so soon after an answer ends because of it.
USED_UP_S: Final = 1.0

# The pause after one that the peer ended sooner than this, unused: peers reset
# connections beyond a limit.
PAUSE_S: Final = 2.0


@dataclass(slots=True)
class UnframedAnswers:
    """The answers without a length of equivalent peers."""

    began_s: float = float("-inf")  # When the last one began.


@dataclass(slots=True)
class Witnesses:
    """The connections of one pool that carry nothing but probes."""

    clock: Callable[[], float]
    answers: UnframedAnswers
    idle: deque[Connection] = field(default_factory=deque)
    opening: int = 0  # Connections being opened.
    closed: bool = False  # Whether none are to be kept.
    _wanted: int = 1
    _due_s: float = float("-inf")  # None is opened before.

    @property
    def missing(self) -> int:
        """Return how many more are to be kept now."""
        now_s = self.clock()
        expired = now_s - self.answers.began_s >= UNFRAMED_S
        if expired or self.closed or now_s < self._due_s:
            return 0
        return self._wanted - len(self.idle) - self.opening

    def keep(self, connection: Connection) -> None:
        """Keep an idle connection.

        :param connection: the connection
        """
        connection.is_witness = True
        self.idle.append(connection)

    def is_used_up(self, connection: Connection, ended_by_peer: bool) -> bool:
        """Return whether a closed connection is to be replaced at once.

        More are kept from then on, as others will end in the same way.

        :param connection: the connection
        :param ended_by_peer: whether the peer closed or reset it
        """
        if not connection.is_witness:
            return False
        now_s = self.clock()
        if now_s - connection.heard_s < USED_UP_S:
            self._wanted = MAX_WITNESSES
            return True
        unused = connection.answered_s == float("-inf")
        if unused and ended_by_peer:
            self._due_s = max(self._due_s, connection.opened_s + PAUSE_S)
        return False

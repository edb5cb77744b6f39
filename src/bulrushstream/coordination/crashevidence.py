"""Detection of the requests that were in flight at an endpoint's crash.

A broken connection alone may be just a lost answer.  If the endpoint's
address refuses connections shortly after, the endpoint has crashed, and
every request whose connection to it broke is a suspect.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Final

# A refused connection within this time after a broken one means a crash.
CRASH_WINDOW_S: Final = 2.0

# The limit for one endpoint; the oldest are dropped.
MAX_SUSPECTS: Final = 256


@dataclass(slots=True)
class CrashEvidence:
    """Recently broken connections, by endpoint."""

    broken_connections: dict[str, deque[tuple[float, int]]] = field(
        default_factory=dict
    )

    def add_broken_connection(
        self, endpoint: str, fingerprint: int, now_s: float
    ) -> None:
        """Record a request whose connection ended without an answer.

        :param endpoint: the endpoint that it was sent to
        :param fingerprint: the request's digest
        :param now_s: the time
        """
        suspects = self.broken_connections.setdefault(
            endpoint, deque(maxlen=MAX_SUSPECTS)
        )
        suspects.append((now_s, fingerprint))

    def take_suspects(
        self, endpoint: str, now_s: float
    ) -> tuple[list[int], list[int]]:
        """Clear the broken connections of an endpoint's crash.

        :param endpoint: the endpoint whose address refuses connections
        :param now_s: the time
        :returns: the suspects, and the requests whose connections broke too
            long before
        """
        suspects: list[int] = []
        expired: list[int] = []
        for at_s, fingerprint in self.broken_connections.pop(endpoint, ()):
            in_time = now_s - at_s <= CRASH_WINDOW_S
            (suspects if in_time else expired).append(fingerprint)
        return suspects, expired

"""Which requests were in flight when an endpoint crashed.

A broken connection alone may be a lost answer.  If nothing listens at the
endpoint's address soon after, the endpoint has crashed, and every request
that broke off there is a suspect.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Final

# How long after a request broke off a refused connection tells of a crash.
EVIDENCE_S: Final = 2.0

# Suspects that are kept for one endpoint.
MAX_SUSPECTS: Final = 256


@dataclass(slots=True)
class CrashEvidence:
    """What broke off lately, by endpoint."""

    broken: dict[str, deque[tuple[float, int]]] = field(default_factory=dict)

    def broke_off(self, endpoint: str, fingerprint: int, now_s: float) -> None:
        """Note a request whose connection ended without an answer.

        :param endpoint: where it ran
        :param fingerprint: the request's digest
        :param now_s: the time
        """
        held = self.broken.setdefault(endpoint, deque(maxlen=MAX_SUSPECTS))
        held.append((now_s, fingerprint))

    def refused(self, endpoint: str, now_s: float) -> tuple[int, ...]:
        """Return the suspects of a crash that shows now.

        :param endpoint: where nothing listens
        :param now_s: the time
        """
        held = self.broken.pop(endpoint, ())
        return tuple(
            fingerprint
            for at_s, fingerprint in held
            if now_s - at_s <= EVIDENCE_S
        )

"""One router's part of the fleet's retries, in a sliding window.

Each router may add to a service a share of the requests that it has seen
itself, and an even part of the slack that the fleet has.  The sum over all
routers then stays within the fleet's budget, whatever they know of each
other's retries.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """The fleet's budget of retries for one service."""

    ratio: float  # Retries per request.
    slack: float  # Retries beside those, for the whole fleet.
    window_s: float  # The length of the sliding window.


@dataclass(slots=True)
class _Window:
    """What one service was sent lately."""

    requests: deque[float] = field(default_factory=deque)  # Times.
    retries: deque[float] = field(default_factory=deque)  # Times.


@dataclass(slots=True)
class RetryQuota:
    """The retries that this router may make."""

    limits: RetryLimits  # The fleet's budget.
    windows: dict[str, _Window] = field(default_factory=dict)

    def count_request(self, service: str, now_s: float) -> None:
        """Count a caller's request for a service.

        :param service: the service's name
        :param now_s: the time
        """
        window = self.windows.setdefault(service, _Window())
        self._trim(window, now_s)
        window.requests.append(now_s)

    def take(self, service: str, now_s: float, routers: int) -> bool:
        """Take one retry; return whether there was one.

        :param service: the service's name
        :param now_s: the time
        :param routers: how many routers may retry at the same time
        """
        window = self.windows.setdefault(service, _Window())
        self._trim(window, now_s)
        allowed = self.limits.ratio * len(window.requests)
        allowed += self.limits.slack / max(1, routers)
        if len(window.retries) + 1 > allowed:
            return False
        window.retries.append(now_s)
        return True

    def _trim(self, window: _Window, now_s: float) -> None:
        """Forget what lies before the window."""
        begin_s = now_s - self.limits.window_s
        for times in (window.requests, window.retries):
            while times and times[0] < begin_s:
                times.popleft()

"""One router's part of the fleet's retry budget, in a sliding window.

For each service, a router may retry a share of the requests that it has
received itself, plus an even part of the fleet's slack.  The sum over all
routers then stays within the fleet's budget without any exchange between
them.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """The fleet's budget of retries for one service."""

    ratio: float  # Retries per request.
    slack: float  # Retries in addition, for the whole fleet.
    window_s: float  # The length of the sliding window.


@dataclass(slots=True)
class _Window:
    """The times of a service's requests and retries in the window."""

    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)


@dataclass(slots=True)
class RetryQuota:
    """The retries that this router may make, by service."""

    limits: RetryLimits
    # From when on it may use slack.  A process that was started again does
    # not know what the one before it used within the window.
    slack_from_s: float = float("-inf")
    windows: dict[str, _Window] = field(default_factory=dict)

    def count_request(self, service: str, now_s: float) -> None:
        """Count a caller's request for a service.

        :param service: the service's name
        :param now_s: the time
        """
        window = self.windows.setdefault(service, _Window())
        self._trim(window, now_s)
        window.requests.append(now_s)

    def acquire(
        self, service: str, now_s: float, routers: int, share: float = 1.0
    ) -> bool:
        """Use one retry of the quota; return whether one was available.

        :param service: the service's name
        :param now_s: the time
        :param routers: the number of routers that share the slack
        :param share: the part of the quota beyond which none is available
        """
        window = self.windows.setdefault(service, _Window())
        self._trim(window, now_s)
        allowed = self.limits.ratio * len(window.requests)
        if now_s >= self.slack_from_s:
            allowed += self.limits.slack / max(1, routers)
        if len(window.retries) + 1 > allowed * share:
            return False
        window.retries.append(now_s)
        return True

    def _trim(self, window: _Window, now_s: float) -> None:
        """Drop requests and retries that are older than the window."""
        begin_s = now_s - self.limits.window_s
        for times in (window.requests, window.retries):
            while times and times[0] < begin_s:
                times.popleft()

"""Estimates of a request's cost, learned from requests that ended.

The cost of a request is known only when it ends, but the choice of the
next request has to charge those in flight.  The estimate of a workspace
and class is a moving average over its requests, combined with a *prior*:
the caller's hint, bounded to within a factor of the service's average.
The prior weighs as much as one request, and the real cost is charged when
the request ends, so a workspace that understates its costs has no lasting
gain.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import Final

from bulrushstream.state.request import RequestClass

SMOOTHING: Final = 0.1
MAX_HINT_FACTOR: Final = 4.0
MAX_KEYS: Final = 4096
# The cost of a service's first request without a hint, in service units.
DEFAULT_COST: Final = 1.0


@dataclass(slots=True)
class Average:
    """A moving average that starts as the arithmetic mean."""

    value: float = 0.0  # The average; 0 before the first sample.
    count: int = 0  # Samples, at most 1 / SMOOTHING.

    def add(self, sample: float) -> None:
        """Add one sample.

        :param sample: The sample.
        """
        self.count = min(self.count + 1, round(1 / SMOOTHING))
        self.value += (sample - self.value) / self.count


class Estimator:
    """Learned costs of one service's requests at one endpoint."""

    __slots__ = ("_averages", "cost", "run_s")

    # By workspace and class, least recently changed first.
    _averages: OrderedDict[tuple[str, RequestClass], Average]
    # Over all requests of the service, in service units.
    cost: Average
    # Over all requests of the service, in seconds at the endpoint.
    run_s: Average

    def __init__(self) -> None:
        self._averages = OrderedDict()
        self.cost = Average()
        self.run_s = Average()

    def learn(
        self,
        workspace: str,
        request_class: RequestClass,
        cost: float,
        run_s: float,
    ) -> None:
        """Add the cost of a request that ended.

        :param workspace: The request's workspace.
        :param request_class: The request's class.
        :param cost: Its cost, in service units.
        :param run_s: Its run time at the endpoint, in seconds.
        """
        key = (workspace, request_class)
        self._averages.setdefault(key, Average()).add(cost)
        self._averages.move_to_end(key)
        if len(self._averages) > MAX_KEYS:
            self._averages.popitem(last=False)
        self.cost.add(cost)
        self.run_s.add(run_s)

    def estimate(
        self, workspace: str, request_class: RequestClass, hint: float = 0.0
    ) -> float:
        """Return the expected cost of a request in service units.

        :param workspace: The request's workspace.
        :param request_class: The request's class.
        :param hint: The caller's estimate in service units; 0 for none.
        :returns: The estimate; above 0, so that every request in flight
            is charged.
        """
        average = self._averages.get((workspace, request_class))
        prior = self._prior(hint)
        if average is None or not average.count:
            return prior
        # The prior counts as one more sample.
        total = average.value * average.count
        return (total + prior) / (average.count + 1)

    def _prior(self, hint: float) -> float:
        """Return the hint, bounded to a factor of the service's average."""
        mean = self.cost.value
        if not self.cost.count:
            return hint if hint > 0 else DEFAULT_COST
        if hint <= 0:
            return mean
        low, high = mean / MAX_HINT_FACTOR, mean * MAX_HINT_FACTOR
        return min(max(hint, low), high)

"""What a request will cost, learned from those that ended.

Costs are known only when a request ends, yet a pick has to charge what is
in flight.  The estimate of a workspace and class is a moving average over
its own requests; until there are some, it leans on a *prior*: the caller's
hint, held within a factor of the service's average.  A hint weighs as much
as one request, and what a request really used is charged in the end, so a
workspace that understates its cost gains nothing lasting.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import Final

from bulrushstream.state.request import RequestClass

SMOOTHING: Final = 0.1
MAX_HINT_FACTOR: Final = 4.0
MAX_KEYS: Final = 4096
# Service units that a first request is taken to cost without a hint.
FIRST_COST: Final = 1.0


@dataclass(slots=True)
class Average:
    """A moving average that starts as the plain mean."""

    value: float = 0.0  # The average; 0 before the first sample.
    count: int = 0  # Samples taken, up to the smoothing's horizon.

    def add(self, sample: float) -> None:
        """Take one sample in.

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
        """Take in what a request cost.

        :param workspace: Whose request it was.
        :param request_class: Its class.
        :param cost: What it used, in service units.
        :param run_s: How long it ran, in seconds.
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

        :param workspace: Whose request it is.
        :param request_class: Its class.
        :param hint: The caller's guess in service units; 0 for none.
        :returns: The estimate; above 0, so that what is in flight shows.
        """
        average = self._averages.get((workspace, request_class))
        prior = self._prior(hint)
        if average is None or not average.count:
            return prior
        # The prior counts as one request beside those that were seen.
        seen = average.value * average.count
        return (seen + prior) / (average.count + 1)

    def _prior(self, hint: float) -> float:
        """Return the hint, held near the service's average."""
        usual = self.cost.value
        if not self.cost.count:
            return hint if hint > 0 else FIRST_COST
        if hint <= 0:
            return usual
        low, high = usual / MAX_HINT_FACTOR, usual * MAX_HINT_FACTOR
        return min(max(hint, low), high)

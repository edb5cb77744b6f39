"""How long work takes at an endpoint, compared with its service's others.

Two factors apply to the predicted work of an endpoint.  The *lasting* factor
compares its own *unit time* (seconds per token prefilled while it has work,
or per request at a plain service) with a reference that is common to the
service.  It is 1 until a difference is established, and it does not fade for
want of requests.  The *momentary* factor is what the endpoint itself says of
its machine, and holds for a fraction of a second.

A unit time is measured over *windows* of a few requests.  The estimate is a
moving average in which a window far from the average has no weight; if
several such windows in a row, reported by several routers or over some time,
lie on the same side, the endpoint has changed and their median replaces the
average.  A router that was frozen, or a late message, does neither.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from statistics import median, median_low
from typing import Final

from bulrushstream.state.effect import Decision


@dataclass(frozen=True, slots=True)
class SpeedTuning:
    """How the unit times of one kind of endpoint are estimated."""

    window_units: float  # A window ends with so many units of work.
    window_s: float  # It ends after so much working time, too.
    change_ratio: float  # A window that is off by more has no weight.
    differs_ratio: float  # Endpoints that differ by more are uneven.
    same_ratio: float  # Uneven ones that differ by less are equal again.


# A unit of an engine's work is a token.  The first event of a prompt may
# come some steps of the batch (about 6 ms each) later than its prefill ends,
# which is little against the 140 ms that an engine takes for 6,000 tokens.
# An engine that is several times slower ends its windows by their time.
ENGINE_TUNING: Final = SpeedTuning(6_000.0, 0.4, 1.5, 1.25, 1.12)

# A unit of a plain endpoint's work is a request.  Work times that are
# distributed exponentially deviate by their mean; the mean of 8 deviates by
# 0.35 of it, so that three windows in a row are off by 2 by chance once in
# several thousand.
PLAIN_TUNING: Final = SpeedTuning(8.0, float("inf"), 2.0, 1.35, 1.15)

# The weight of one window in the moving average.
WINDOW_GAIN: Final = 0.08

# The windows that make the first estimate.
FIRST_WINDOWS: Final = 5

# So many windows in a row that deviate to the same side are a change, if two
# routers reported them or they span this time: longer than a machine that is
# shared stays slow, which would delay the reports of the router on it.
CHANGE_WINDOWS: Final = 3
CHANGE_SPAN_S: Final = 1.0

# An estimate of few windows is less exact: with so many, an endpoint has to
# differ by twice as much.
EXACT_WINDOWS: Final = 5.0

# Bounds of the lasting factor.
MIN_LASTING: Final = 0.4
MAX_LASTING: Final = 12.0

# Machines whose speeds differ for good are up to 1.6 / 0.6 apart; a factor
# above the first, or one that grew by more than the second, is a fault, which
# may end while no request goes there.  Such an endpoint gets one request after
# the first time without any, as if it were as before the fault, and the next
# one after the second time if that took less time than expected.
MAX_UNTESTED: Final = 3.0
MAX_UNTESTED_GROWTH: Final = 2.0
TEST_AFTER_S: Final = 2.0
NEXT_TEST_AFTER_S: Final = 0.2

# A window of tests ends with this part of the usual work.
TEST_WINDOW_PART: Final = 0.1

# A shared machine is slow for this time.  If a value is read at a random
# moment of it, the chance that it still applies falls linearly.
MOMENTARY_S: Final = 0.6
MIN_MOMENTARY: Final = 0.2
MAX_MOMENTARY: Final = 20.0

# A lasting factor is logged if it differs by more from the one logged last.
LOGGED_RATIO: Final = 1.3


@dataclass(slots=True)
class UnitTime:
    """A robust moving average of an endpoint's unit time."""

    change_ratio: float  # A window that is off by more has no weight.
    value_s: float = 0.0  # Seconds per unit; 0: not known yet.
    windows: int = 0  # Windows with weight so far.
    # The first windows, later those in a row that deviate to one side: unit
    # time, reporter and time.
    _candidates: list[tuple[float, str, float]] = field(default_factory=list)

    @property
    def seems_faster(self) -> bool:
        """Return whether the last window was much faster than the average."""
        candidates = self._candidates
        return bool(candidates) and candidates[-1][0] < self.value_s

    def add(self, unit_s: float, reporter: str, now_s: float) -> None:
        """Add a window.

        :param unit_s: its working time per unit, in seconds
        :param reporter: the router that reported its end
        :param now_s: the time
        """
        if not self.value_s:
            self._candidates.append((unit_s, reporter, now_s))
            if len(self._candidates) >= FIRST_WINDOWS:
                self._adopt_candidates()
            return
        ratio = unit_s / self.value_s
        if 1.0 / self.change_ratio < ratio < self.change_ratio:
            self._candidates.clear()
            self.windows += 1
            gain = max(WINDOW_GAIN, 1.0 / self.windows)
            self.value_s *= ratio**gain
            return
        candidates = self._candidates
        if candidates and (candidates[-1][0] > self.value_s) != (ratio > 1.0):
            candidates.clear()
        candidates.append((unit_s, reporter, now_s))
        if len(candidates) < CHANGE_WINDOWS:
            return
        reporters = {each[1] for each in candidates}
        if len(reporters) > 1 or now_s - candidates[0][2] >= CHANGE_SPAN_S:
            self._adopt_candidates()
        elif len(candidates) > 2 * CHANGE_WINDOWS:
            # The first one stays, as it tells how long they have deviated.
            del candidates[1]

    def _adopt_candidates(self) -> None:
        """Start anew with the windows that deviate."""
        self.value_s = median(each[0] for each in self._candidates)
        self.windows = len(self._candidates)
        self._candidates.clear()


@dataclass(slots=True)
class EndpointSpeed:
    """What one router knows of an endpoint's speed."""

    tuning: SpeedTuning
    # The unit time over the reference; 1: no difference.
    measured: float = 1.0
    lasting: float = 1.0  # The factor that applies: lower for a test.
    uneven: bool = False  # Whether a factor may differ from 1.
    logged: float = 1.0  # What was measured at the last log line.
    unit_time: UnitTime = field(init=False)
    updated_s: float = float("-inf")  # The end of the last window.
    reported_s: float = float("-inf")  # When peers were told of an answer.
    _momentary: float = 1.0  # As told.
    _told_s: float = float("-inf")
    _told_here: bool = False  # Whether this router was told.
    _units: float = 0.0  # In the current window.
    _working_s: float = 0.0
    _placed_s: float = float("-inf")  # When it got the last request.
    _before_fault: float = 1.0  # The last factor that was no fault.
    _testing: bool = False  # Whether the window is one of tests.
    # The last first event; whether an interval may start with it.
    _event_s: float = float("-inf")
    _event_usable: bool = True

    def __post_init__(self) -> None:
        self.unit_time = UnitTime(self.tuning.change_ratio)

    def factor(self, now_s: float) -> float:
        """Return by what to multiply predicted work.

        :param now_s: the time
        """
        return self.lasting * self.momentary(now_s)

    def momentary(self, now_s: float) -> float:
        """Return the momentary factor, decayed since it was told.

        :param now_s: the time
        """
        age_s = now_s - self._told_s
        if age_s >= MOMENTARY_S or self._momentary == 1.0:
            return 1.0
        left = 1.0 - max(0.0, age_s) / MOMENTARY_S
        return 1.0 + (self._momentary - 1.0) * left

    def told(self, factor: float, now_s: float, *, here: bool = True) -> None:
        """Record the momentary factor that the endpoint tells.

        :param factor: how long work takes there, over the usual
        :param now_s: when it told that
        :param here: whether it told this router
        """
        # What a peer reports may be older than what this router was told.
        if now_s < self._told_s:
            return
        self._momentary = min(MAX_MOMENTARY, max(MIN_MOMENTARY, factor))
        self._told_s, self._told_here = now_s, here
        self.uneven = self.uneven or self._momentary != 1.0

    def told_percent(self, since_s: float) -> int:
        """Return the momentary factor that this router was told, in percent.

        :param since_s: 0 is returned if it was told before this time
        """
        if not self._told_here or self._told_s < since_s:
            return 0
        return round(100 * self._momentary)

    def prefilled(
        self,
        units: float,
        sent_s: float,
        delay_s: float,
        event_s: float,
        reporter: str,
    ) -> None:
        """Record that an engine did prefill.

        It worked since the first event before this one, or since it got
        the first of these prompts.

        :param units: the tokens, with the cost of attention and of the batch
        :param sent_s: when the first of these prompts was sent
        :param delay_s: the part of an idle engine's time to the first event
            that is no prefill
        :param event_s: the first event of the last of these prompts
        :param reporter: the router that reports it
        """
        got_s = sent_s + delay_s
        usable = got_s >= self._event_s or self._event_usable
        working_s = event_s - max(got_s, self._event_s)
        self._event_s = max(self._event_s, event_s)
        self._event_usable = True
        if usable and working_s > 0.0:
            self._add(units, working_s, reporter, event_s)

    def prefilled_untimed(self, now_s: float) -> None:
        """Record prefill of which it is not known how long it took.

        :param now_s: the time
        """
        self._event_s = max(self._event_s, now_s)
        self._event_usable = False

    def interrupted(self) -> None:
        """Record that prefill was given up, done or not."""
        self._event_usable = False

    def answered(
        self, took_s: float, requests: int, slots: int, now_s: float, by: str
    ) -> None:
        """Record a plain endpoint's answer.

        :param took_s: the time from the request to the answer
        :param requests: those in flight when it was sent, itself included
        :param slots: those that the endpoint processes concurrently
        :param now_s: the time
        :param by: the router that reports it
        """
        queue = max(1.0, requests / max(1, slots))
        self._add(1.0, took_s / queue, by, now_s)

    def is_equal(self, reference_s: float) -> bool:
        """Return whether it does not differ from the reference.

        :param reference_s: the unit time of an endpoint with factor 1
        """
        unit_time = self.unit_time
        if not reference_s or not unit_time.value_s:
            return True
        limit = self.tuning.same_ratio
        if self.measured == 1.0:
            excess = self.tuning.differs_ratio - 1.0
            limit = 1.0 + excess * (1.0 + EXACT_WINDOWS / unit_time.windows)
        return 1.0 / limit < unit_time.value_s / reference_s < limit

    def placed(self, now_s: float) -> None:
        """Record a request that is sent there; one is enough for a test.

        :param now_s: the time
        """
        self._placed_s = now_s
        self.lasting = self.measured

    def forget(self) -> None:
        """Discard what is known, as for an endpoint that starts cold."""
        self.unit_time = UnitTime(self.tuning.change_ratio)
        self.measured = self.lasting = self._momentary = 1.0
        self._before_fault = 1.0
        self.uneven = self._testing = False
        self._units = self._working_s = 0.0
        self._event_usable = False

    def update_lasting(self, reference_s: float, now_s: float) -> bool:
        """Compare the unit time with the reference.

        :param reference_s: the unit time of an endpoint with factor 1
        :param now_s: the time
        :returns: whether what was measured changed
        """
        before = self.measured
        lasting, test = 1.0, False
        if reference_s and self.unit_time.value_s:
            lasting = self.unit_time.value_s / reference_s
        if self.is_equal(reference_s):
            lasting = 1.0
        if lasting > min(
            MAX_UNTESTED, MAX_UNTESTED_GROWTH * self._before_fault
        ):
            test = self._is_test_due(now_s)
        else:
            self._before_fault = lasting
            self._testing = False
        self.measured = min(MAX_LASTING, max(MIN_LASTING, lasting))
        self.lasting = self._before_fault if test else self.measured
        self.uneven = self.measured != 1.0 or self.momentary(now_s) != 1.0
        return self.measured != before

    def _is_test_due(self, now_s: float) -> bool:
        """Return whether the next request is to be a test."""
        idle_s = now_s - max(self.updated_s, self._placed_s)
        after_s = TEST_AFTER_S
        if self._testing and self.unit_time.seems_faster:
            after_s = NEXT_TEST_AFTER_S
        if idle_s < after_s:
            return False
        if not self._testing:
            # Work from the time of the fault.
            self._units = self._working_s = 0.0
            self._testing = True
        return True

    def _add(
        self, units: float, working_s: float, reporter: str, now_s: float
    ) -> None:
        """Add work to the current window."""
        self._units += units
        self._working_s += working_s / self.momentary(now_s)
        tuning = self.tuning
        window_units = tuning.window_units
        if self._testing:
            window_units *= TEST_WINDOW_PART
        if self._units < window_units and self._working_s < tuning.window_s:
            return
        if self._units > 0.0 and self._working_s > 0.0:
            unit_s = self._working_s / self._units
            self.unit_time.add(unit_s, reporter, now_s)
            self.updated_s = now_s
        self._units = self._working_s = 0.0


@dataclass(slots=True)
class EndpointSpeeds:
    """The speeds of all endpoints at one router, compared by service."""

    on_decision: Callable[[Decision], None]  # Called for each change.
    # The unit time of an endpoint with factor 1, by service.
    _references_s: dict[str, float] = field(default_factory=dict)
    # Services of which all endpoints were known at a time.
    _settled: set[str] = field(default_factory=set)

    def compare(
        self,
        service: str,
        speeds: dict[str, EndpointSpeed],
        now_s: float,
    ) -> list[str]:
        """Update the lasting factors of a service's endpoints.

        The reference is the median until all are known, and as long as they
        are equal; it stays when they are not: the predictions of one endpoint
        must not change as another becomes faster or slower.

        :param service: the service's name
        :param speeds: the speeds of its endpoints, by their names
        :param now_s: the time
        :returns: the endpoints whose factors changed
        """
        known = [
            each.unit_time.value_s
            for each in speeds.values()
            if each.unit_time.value_s
        ]
        if len(known) >= max(2, (len(speeds) + 1) // 2):
            middle_s = median_low(known)
            if service not in self._settled or all(
                each.is_equal(middle_s) for each in speeds.values()
            ):
                self._references_s[service] = middle_s
            if len(known) == len(speeds):
                self._settled.add(service)
        reference_s = self._references_s.get(service, 0.0)
        changed = []
        for name, speed in speeds.items():
            if speed.update_lasting(reference_s, now_s):
                changed.append(name)
            if speed.measured != speed.logged:
                self._log_change(service, name, speed)
        return changed

    def _log_change(
        self, service: str, name: str, speed: EndpointSpeed
    ) -> None:
        """Log a lasting factor that changed much."""
        factor = speed.measured
        ratio = factor / speed.logged
        if 1.0 / LOGGED_RATIO < ratio < LOGGED_RATIO and factor != 1.0:
            return
        reason = "work takes as long as elsewhere"
        if factor != 1.0:
            reason = f"work takes {'longer' if factor > 1.0 else 'less time'}"
        self.on_decision(
            Decision(
                "endpoint_speed",
                reason,
                service=service,
                endpoint=name,
                inputs={
                    "factor": round(factor, 2),
                    "before": round(speed.logged, 2),
                    "unit_s": round(speed.unit_time.value_s, 7),
                    "windows": speed.unit_time.windows,
                },
            )
        )
        speed.logged = factor

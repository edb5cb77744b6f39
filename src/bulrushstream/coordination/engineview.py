"""A router's model of one model engine.

An engine processes prompts in the order of arrival, in chunks between the
steps that generate tokens; this is *prefill*.  The parts of a prompt stay
in the engine's prefix cache until others evict them.  From the requests
that all routers send to the engine, a router predicts when the engine
would return the first token of one more request: it sums up the *pending*
prefill and corrects the sum whenever the first event of a request arrives.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Final

from bulrushstream.coordination.endpointspeed import (
    ENGINE_TUNING,
    EndpointSpeed,
)
from bulrushstream.state.call import Prompt

# The prefill rate until one was observed.  The platform's figure for all
# engines covers prefill and generation together, so this is a round number
# below the rate at which such engines do prefill alone.
DEFAULT_PREFILL_TOKENS_PER_S: Final = 25_000.0

# Prefill of n tokens after a context of c tokens takes longer by the factor
# 1 + (c + n/2) / ATTENTION_CONTEXT_TOKENS: at this mean context length,
# attention costs as much as the rest of the prefill.
ATTENTION_CONTEXT_TOKENS: Final = 45_000.0

# Each running request slows the prefill of others as if every 1000 tokens
# were this many tokens more.
RUNNING_COST_TOKENS: Final = 8.0

# The share of an engine's memory that is expected to hold cached parts.
CACHE_MEMORY_SHARE: Final = 0.92

# The weight of one observation in the moving average of the slowness.
SLOWNESS_GAIN: Final = 0.4

# The duration of a shorter prefill depends on the length of a batch step
# more than on the prefill rate, so it is not used as an observation.
MIN_OBSERVED_TOKENS: Final = 800.0

MIN_SLOWNESS: Final = 0.6
MAX_SLOWNESS: Final = 12.0

# The part of the time to the first token that does not depend on the
# prompt.
FIXED_DELAY_S: Final = 0.02

# The time from the end of a prefill to the request's first event while the
# engine does prefill for others: an event holds a few tokens, and each
# token takes a step of the batch.
FIRST_EVENT_DELAY_S: Final = 0.06

# Requests that two routers send within this time may reach the engine in the
# other order: longer than the routers' updates take.
REORDER_S: Final = 0.1

# Without new observations, the difference between an engine's slowness and
# 1 halves in this time.
SLOWNESS_HALF_LIFE_S: Final = 6.0

# An engine of more than this slowness may get no request that would show that
# it recovered.  Without observations for this time, the next request is sent
# as if it had; that is long enough for a prompt on a slow engine.
MAX_UNTESTED_SLOWNESS: Final = 2.0
SLOWNESS_TEST_AFTER_S: Final = 2.5


def uncached_prefill_tokens(prompt: Prompt, cached: int) -> float:
    """Return a prompt's uncached tokens, with the cost of attention.

    :param prompt: the request's prompt
    :param cached: the length of its cached prefix, in tokens
    """
    rest = prompt.input_tokens - cached
    return rest * (1.0 + (cached + rest / 2) / ATTENTION_CONTEXT_TOKENS)


@dataclass(slots=True)
class RunningRequest:
    """One request that an engine works on."""

    tokens: int  # Memory that it holds at its end.
    prefill_s: float  # Predicted duration of the uncached prefill.
    prefill_tokens: float  # Uncached tokens, with the cost of attention.
    sent_s: float
    expires_s: float  # When it is dropped if no end is recorded.
    sent_to_idle: bool  # Whether no prefill was pending before it.
    had_capacity: bool  # Whether a slot and enough memory were free.


@dataclass(slots=True)
class EngineView:
    """The predicted state of one engine."""

    slots: int  # The size of a batch, in requests.
    memory_tokens: int  # The size of its memory.
    # The length of each part in the prefix cache, least recently used first.
    cached: OrderedDict[int, int] = field(default_factory=OrderedDict)
    cached_tokens: int = 0  # The sum of the lengths in `cached`.
    running: OrderedDict[int, RunningRequest] = field(
        default_factory=OrderedDict
    )
    running_tokens: int = 0  # Memory that running requests hold.
    pending: OrderedDict[int, RunningRequest] = field(
        default_factory=OrderedDict
    )
    prefill_done_s: float = 0.0  # The predicted end of all pending prefill.
    slowness: float = 1.0  # Observed prefill time over the expected one.
    slowness_observed_s: float = 0.0  # When `slowness` was last updated.
    # How it compares with other engines; `slowness` is beyond that.
    speed: EndpointSpeed = field(
        default_factory=lambda: EndpointSpeed(ENGINE_TUNING)
    )
    # Requests whose prefill counts as done, as that of one sent at almost the
    # same time is, and which had no first event yet.
    unconfirmed: dict[int, RunningRequest] = field(default_factory=dict)
    applied_lasting: float = 1.0  # Its lasting factor in the predictions.

    def cached_prefix_tokens(self, prompt: Prompt) -> int:
        """Return the length of a prompt's cached prefix.

        :param prompt: the request's prompt
        """
        cached = 0
        for part in prompt.parts:
            if part.part_id not in self.cached:
                break
            cached += part.tokens
        return min(cached, prompt.input_tokens - 1) if cached else 0

    def prefill_tokens(self, prompt: Prompt) -> float:
        """Return a prompt's uncached tokens, with the cost of attention.

        :param prompt: the request's prompt
        """
        return uncached_prefill_tokens(
            prompt, self.cached_prefix_tokens(prompt)
        )

    def slowness_at(self, now_s: float) -> float:
        """Return the slowness, decayed since its last observation."""
        if self.slowness == 1.0:
            return 1.0
        idle_s = max(0.0, now_s - self.slowness_observed_s)
        if self._is_test_due(idle_s):
            return 1.0
        return self._decayed_slowness(idle_s)

    def _decayed_slowness(self, idle_s: float) -> float:
        """Return the slowness so long after its last observation."""
        decay: float = 0.5 ** (idle_s / SLOWNESS_HALF_LIFE_S)
        return 1.0 + (self.slowness - 1.0) * decay

    def _is_test_due(self, idle_s: float) -> bool:
        """Return whether the next request tests if the engine recovered."""
        return (
            idle_s > SLOWNESS_TEST_AFTER_S
            and self.slowness > MAX_UNTESTED_SLOWNESS
        )

    def prefill_s(self, tokens: float, rate: float, now_s: float) -> float:
        """Return the predicted duration of a prefill.

        :param tokens: the value of `prefill_tokens`
        :param rate: the average prefill rate, in tokens per second
        :param now_s: the time
        """
        load = 1.0 + len(self.running) * RUNNING_COST_TOKENS / 1000.0
        expected_s = tokens / rate * load * self.slowness_at(now_s)
        if self.speed.uneven:
            expected_s *= self.speed.factor(now_s)
        return expected_s

    def backlog_s(self, now_s: float) -> float:
        """Return the remaining time of all pending prefill.

        :param now_s: the time
        """
        left_s = self.prefill_done_s - now_s
        return left_s if left_s > 0.0 else 0.0

    def has_capacity(self, prompt: Prompt) -> bool:
        """Return whether a slot and enough memory are free for a request.

        :param prompt: the request's prompt
        """
        if len(self.running) >= self.slots:
            return False
        need = prompt.input_tokens + prompt.output_limit
        return self.running_tokens + need <= self.memory_tokens

    def place(
        self,
        call: int,
        prompt: Prompt,
        rate: float,
        now_s: float,
        expires_s: float,
    ) -> float:
        """Record a request that was sent to the engine.

        :param call: the request's number, unique in the fleet
        :param prompt: the request's prompt
        :param rate: the average prefill rate, in tokens per second
        :param now_s: the time
        :param expires_s: when the request is dropped if no end is recorded
        :returns: the predicted duration of its prefill in seconds
        """
        if self._is_test_due(now_s - self.slowness_observed_s):
            self.slowness_observed_s = now_s  # One test at a time.
        tokens = self.prefill_tokens(prompt)
        prefill_s = self.prefill_s(tokens, rate, now_s)
        output = prompt.output_hint or prompt.output_limit
        entry = RunningRequest(
            tokens=prompt.input_tokens + output,
            prefill_s=prefill_s,
            prefill_tokens=tokens,
            sent_s=now_s,
            expires_s=expires_s,
            sent_to_idle=self.backlog_s(now_s) <= 0.0 and not self.pending,
            had_capacity=self.has_capacity(prompt),
        )
        self.prefill_done_s = max(self.prefill_done_s, now_s) + prefill_s
        self.running[call] = entry
        self.pending[call] = entry
        self.running_tokens += entry.tokens
        self._cache_parts(prompt)
        return prefill_s

    def start(
        self,
        call: int,
        now_s: float,
        event_s: float | None = None,
        reporter: str = "",
    ) -> float | None:
        """Record the first event of a request.

        The prefill of every request that was sent before it is done too.

        :param call: the request's number
        :param now_s: the time
        :param event_s: when the event came, to measure the engine's speed;
            None: not known
        :param reporter: the router that got it; empty: this one
        :returns: the observed prefill rate in tokens per second; None if
            the request was not pending, was not sent to an idle engine, or
            its prefill was too short
        """
        entry = self.pending.get(call)
        if entry is None:
            confirmed = self.unconfirmed.pop(call, None)
            if confirmed is not None:
                self._measure([confirmed], now_s, event_s, reporter)
            return None
        done = []
        while self.pending:
            first, each = self.pending.popitem(last=False)
            if first == call:
                done.append(each)
                break
            if each.sent_s > entry.sent_s - REORDER_S:
                self.unconfirmed[first] = each
            else:
                done.append(each)
        self._measure(done, now_s, event_s, reporter)
        pending_s = sum(each.prefill_s for each in self.pending.values())
        # The next prefill began while the tokens of this first event were
        # generated.
        self.prefill_done_s = now_s + max(0.0, pending_s - FIRST_EVENT_DELAY_S)
        if (
            not entry.sent_to_idle
            or entry.prefill_tokens < MIN_OBSERVED_TOKENS
        ):
            return None
        took_s = max(0.001, now_s - entry.sent_s - FIXED_DELAY_S)
        return entry.prefill_tokens / took_s

    def observe_rate(self, observed: float, rate: float, now_s: float) -> None:
        """Update the engine's slowness with an observed prefill rate.

        :param observed: the observed rate, in tokens per second
        :param rate: the average prefill rate, in tokens per second
        :param now_s: the time
        """
        if self.speed.uneven:
            observed *= self.speed.factor(now_s)
        ratio = min(MAX_SLOWNESS, max(MIN_SLOWNESS, rate / observed))
        current = self._decayed_slowness(
            max(0.0, now_s - self.slowness_observed_s)
        )
        if ratio < current / MAX_UNTESTED_SLOWNESS and (
            current > MAX_UNTESTED_SLOWNESS
        ):
            # A prompt can take longer for other reasons, but not less long.
            current = ratio
        self.slowness = current + SLOWNESS_GAIN * (ratio - current)
        self.slowness_observed_s = now_s

    def lasting_changed(self, now_s: float) -> None:
        """Correct predictions as the lasting factor of the speed changed.

        :param now_s: the time
        """
        ratio = self.speed.measured / self.applied_lasting
        self.applied_lasting = self.speed.measured
        # The slowness already accounted for a part of the change.
        slowness = self.slowness_at(now_s)
        if (slowness > 1.0) == (ratio > 1.0):
            rest = slowness / ratio
            slowness = max(1.0, rest) if ratio > 1.0 else min(1.0, rest)
            self.slowness, self.slowness_observed_s = slowness, now_s
        for each in self.pending.values():
            each.prefill_s *= ratio
        self.prefill_done_s = now_s + self.backlog_s(now_s) * ratio

    def forget_history(self) -> None:
        """Forget its cache and its speed, as its process began anew.

        Requests that run there go on.
        """
        self.cached.clear()
        self.cached_tokens = 0
        self.slowness = 1.0
        self.speed.forget()
        self.applied_lasting = 1.0

    def end(self, call: int) -> None:
        """Record the end of a request, whether it succeeded or failed.

        :param call: the request's number
        """
        entry = self.running.pop(call, None)
        if entry is None:
            return
        self.running_tokens -= entry.tokens
        if self.pending.pop(call, None) is not None:
            self.prefill_done_s -= entry.prefill_s
            self.speed.interrupted()
        elif self.unconfirmed.pop(call, None) is not None:
            self.speed.interrupted()

    def expire(self, now_s: float) -> None:
        """Drop requests whose end was not recorded in time.

        :param now_s: the time
        """
        expired = [
            call
            for call, each in self.running.items()
            if each.expires_s < now_s
        ]
        for call in expired:
            self.end(call)

    def _measure(
        self,
        done: list[RunningRequest],
        now_s: float,
        event_s: float | None,
        reporter: str,
    ) -> None:
        """Measure the engine's speed with prefill that is done."""
        # A request that waits for a slot or for memory is not prefilled.
        if event_s is None or not all(each.had_capacity for each in done):
            self.speed.prefilled_untimed(now_s)
            return
        tokens = sum(each.prefill_tokens for each in done)
        load = 1.0 + len(self.running) * RUNNING_COST_TOKENS / 1000.0
        self.speed.prefilled(
            tokens * load,
            min(each.sent_s for each in done),
            FIXED_DELAY_S,
            event_s,
            reporter,
        )

    def _cache_parts(self, prompt: Prompt) -> None:
        """Add the parts of a prompt to the cache; evict the oldest parts."""
        for part in prompt.parts:
            cached = self.cached.pop(part.part_id, None)
            if cached is not None:
                self.cached_tokens -= cached
            self.cached[part.part_id] = part.tokens
            self.cached_tokens += part.tokens
        # The parts of running requests count in `running_tokens` as well, so
        # this limit errs on the side of too few cached parts.
        limit = self.memory_tokens * CACHE_MEMORY_SHARE
        while self.cached_tokens > limit:
            _, tokens = self.cached.popitem(last=False)
            self.cached_tokens -= tokens

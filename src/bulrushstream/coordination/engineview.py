"""What a router believes of one model engine.

An engine reads prompts in the order in which they arrive, a piece at a
time between the steps that generate tokens.  Parts of prompts that it has
read stay in its memory until others displace them.  From what all routers
send there, a router predicts when the engine would give the first token
of one more request: it adds up the reading that is *pending*, and corrects
the sum whenever a first event arrives.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Final

from bulrushstream.state.call import Prompt

# Tokens read in a second before any was observed; the platform's figure
# for all engines covers reading and generating together, so this is a
# round number below what such engines read alone.
DEFAULT_READ_TOKENS_PER_S: Final = 25_000.0

# Reading n tokens after a context of c takes longer by about this much:
# attention over c + n/2 tokens costs as much as reading when it is this.
ATTENTION_CONTEXT_TOKENS: Final = 45_000.0

# A running request delays the reading of others by about this many tokens.
RUNNING_TOKENS: Final = 8.0

# The share of an engine's memory that cached parts are expected in.
USABLE_MEMORY: Final = 0.92

# How much one observation moves the estimate of an engine's speed.
SLOWNESS_GAIN: Final = 0.4

# Reads shorter than this tell more of the step than of the rate.
MIN_OBSERVED_TOKENS: Final = 800.0

MIN_SLOWNESS: Final = 0.6
MAX_SLOWNESS: Final = 12.0

# The time to the first token that does not depend on the prompt.
FIXED_DELAY_S: Final = 0.02

# The time from the end of a read to its first event while others are read:
# an event holds a few tokens, and each is a step of the batch.
FIRST_EVENT_LAG_S: Final = 0.06

# Half of what was learned of an engine's speed is forgotten in this time
# while nothing new is learned.
FORGET_HALF_S: Final = 6.0


@dataclass(slots=True)
class Running:
    """One request that an engine is taken to work on."""

    tokens: int  # Memory that it holds, at its end.
    read_s: float  # Predicted time to read what is not cached.
    read_tokens: float  # Tokens to read, with the cost of attention.
    sent_s: float  # When it was sent.
    ends_s: float  # When it is forgotten if no end is told.
    alone: bool  # Whether nothing was pending before it.


@dataclass(slots=True)
class EngineView:
    """The belief about one engine."""

    slots: int  # Requests in one batch.
    memory_tokens: int  # Tokens that it can hold.
    cached: OrderedDict[int, int] = field(default_factory=OrderedDict)
    cached_tokens: int = 0  # The sum of the lengths in `cached`.
    running: OrderedDict[int, Running] = field(default_factory=OrderedDict)
    running_tokens: int = 0  # Memory that running requests hold.
    pending: OrderedDict[int, Running] = field(default_factory=OrderedDict)
    free_s: float = 0.0  # When all pending reading is predicted to be done.
    slowness: float = 1.0  # How much longer reads take than expected.
    learned_s: float = 0.0  # When `slowness` was last observed.

    def kept(self, prompt: Prompt) -> int:
        """Return the tokens of a prompt that need not be read again.

        :param prompt: the request's prompt
        """
        kept = 0
        for part in prompt.parts:
            if part.part_id not in self.cached:
                break
            kept += part.tokens
        return min(kept, prompt.input_tokens - 1)

    def uncached(self, prompt: Prompt) -> float:
        """Return the tokens to read, with the cost of attention.

        :param prompt: the request's prompt
        """
        kept = self.kept(prompt)
        rest = prompt.input_tokens - kept
        return rest * (1.0 + (kept + rest / 2) / ATTENTION_CONTEXT_TOKENS)

    def slowness_at(self, now_s: float) -> float:
        """Return how much slower the engine is taken to be now."""
        idle_s = max(0.0, now_s - self.learned_s)
        kept: float = 0.5 ** (idle_s / FORGET_HALF_S)
        return 1.0 + (self.slowness - 1.0) * kept

    def read_s(self, tokens: float, rate: float, now_s: float) -> float:
        """Return how long the engine needs to read so many tokens.

        :param tokens: what `uncached` returned
        :param rate: tokens that a usual engine reads in a second
        :param now_s: the time
        """
        load = 1.0 + len(self.running) * RUNNING_TOKENS / 1000.0
        return tokens / rate * load * self.slowness_at(now_s)

    def backlog_s(self, now_s: float) -> float:
        """Return how long the engine still reads for others.

        :param now_s: the time
        """
        return max(0.0, self.free_s - now_s)

    def has_room(self, prompt: Prompt) -> bool:
        """Return whether slots and memory would hold one more request.

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
        ends_s: float,
    ) -> None:
        """Note that a request was sent here.

        :param call: a number that no other request in the fleet has
        :param prompt: the request's prompt
        :param rate: tokens that a usual engine reads in a second
        :param now_s: the time
        :param ends_s: when the request is forgotten at the latest
        """
        tokens = self.uncached(prompt)
        took_s = self.read_s(tokens, rate, now_s)
        output = prompt.output_hint or prompt.output_limit
        entry = Running(
            tokens=prompt.input_tokens + output,
            read_s=took_s,
            read_tokens=tokens,
            sent_s=now_s,
            ends_s=ends_s,
            alone=self.backlog_s(now_s) <= 0.0 and not self.pending,
        )
        self.free_s = max(self.free_s, now_s) + took_s
        self.running[call] = entry
        self.pending[call] = entry
        self.running_tokens += entry.tokens
        self._keep(prompt)

    def start(self, call: int, now_s: float) -> float | None:
        """Note that the first event of a request has come.

        Whatever was sent before it has been read as well.

        :param call: the request's number
        :param now_s: the time
        :returns: the tokens that were read in a second, if this told
        """
        entry = self.pending.get(call)
        if entry is None:
            return None
        while self.pending:
            first, _ = self.pending.popitem(last=False)
            if first == call:
                break
        left_s = sum(each.read_s for each in self.pending.values())
        # While the first tokens of this one were generated, the next one
        # was read already.
        self.free_s = now_s + max(0.0, left_s - FIRST_EVENT_LAG_S)
        if not entry.alone or entry.read_tokens < MIN_OBSERVED_TOKENS:
            return None
        took_s = max(0.001, now_s - entry.sent_s - FIXED_DELAY_S)
        return entry.read_tokens / took_s

    def learn(self, observed: float, rate: float, now_s: float) -> None:
        """Take an observation into the belief about the engine's speed.

        :param observed: tokens that it read in a second
        :param rate: tokens that a usual engine reads in a second
        :param now_s: the time
        """
        ratio = min(MAX_SLOWNESS, max(MIN_SLOWNESS, rate / observed))
        current = self.slowness_at(now_s)
        self.slowness = current + SLOWNESS_GAIN * (ratio - current)
        self.learned_s = now_s

    def end(self, call: int) -> None:
        """Note that a request has ended, however it did.

        :param call: the request's number
        """
        entry = self.running.pop(call, None)
        if entry is None:
            return
        self.running_tokens -= entry.tokens
        if self.pending.pop(call, None) is not None:
            self.free_s -= entry.read_s

    def expire(self, now_s: float) -> None:
        """Forget requests whose end nobody told.

        :param now_s: the time
        """
        late = [
            call for call, each in self.running.items() if each.ends_s < now_s
        ]
        for call in late:
            self.end(call)

    def _keep(self, prompt: Prompt) -> None:
        """Note that the parts of a prompt will be cached."""
        for part in prompt.parts:
            held = self.cached.pop(part.part_id, None)
            if held is not None:
                self.cached_tokens -= held
            self.cached[part.part_id] = part.tokens
            self.cached_tokens += part.tokens
        # The parts of running requests are in `running_tokens` as well, so
        # this is on the safe side.
        limit = self.memory_tokens * USABLE_MEMORY
        while self.cached_tokens > limit:
            _, tokens = self.cached.popitem(last=False)
            self.cached_tokens -= tokens

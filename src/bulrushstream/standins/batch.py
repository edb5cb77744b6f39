"""The state of a model stand-in: its batch, its reports and its faults.

The *batch* is what generates at once.  Its load is noted at each change,
so that a report can tell how it was some time ago.
"""

from __future__ import annotations

import asyncio
import random
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from bulrushstream.standins.answer import Answer
from bulrushstream.standins.cache import PrefixCache
from bulrushstream.standins.weights import Holdings, WeightStore


@dataclass(frozen=True, slots=True)
class EngineFaults:
    """What goes wrong at an engine."""

    crash_marker: str = ""  # A body with this text crashes the engine.
    down_s: float = 1.0  # How long it is down after a crash.
    break_event: int = 0  # Streams break before this event; 0: never.
    breaks: int = 0  # So many streams break; 0: all.
    stall_s: float = 0.0  # Extra time before the first token.
    slow_factor: float = 1.0  # Multiplies all times.
    outage: bool = False  # Whether every call is answered by a 503.
    frozen_load: bool = False  # Whether the load report stands still.


@dataclass(frozen=True, slots=True)
class EngineOptions:
    """How an engine behaves."""

    slots: int = 4  # Requests that generate at once.
    queue_limit: int = 64  # Requests in its own queue.
    models: tuple[str, ...] = ("model",)  # Loaded at the start.
    version: str = "1"  # Their version.
    first_token_s: float = 0.0  # Time before the first token.
    prompt_token_s: float = 0.0  # Time per uncached prompt token.
    token_s: float = 0.0  # Time per token when alone.
    batch_slowdown: float = 0.02  # More time per other request.
    cache_entries: int = 64  # Prefixes that fit into its cache.
    cache_lag_s: float = 0.0  # How late its cache events are.
    cache_gap_rate: float = 0.0  # The share of events that get lost.
    load_lag_s: float = 0.0  # How old its load report is.
    checks_token: bool = True  # Whether it refuses stale orders.
    seed: int = 0  # Decides which events get lost.
    faults: EngineFaults = EngineFaults()  # What goes wrong at first.


@dataclass(frozen=True, slots=True)
class LoadSample:
    """An engine's load at one time."""

    at_s: float  # When.
    running: int  # Requests that generate.
    waiting: int  # Requests in its own queue.


@dataclass(slots=True)
class EngineState:
    """What an engine remembers."""

    options: EngineOptions  # How it behaves.
    faults: EngineFaults  # What goes wrong now.
    now: Callable[[], float]  # The clock of its reports, in seconds.
    slots: asyncio.Semaphore  # Free slots.
    cache: PrefixCache  # Its prefix cache.
    holdings: Holdings  # What it has loaded.
    answers: OrderedDict[str, Answer] = field(default_factory=OrderedDict)
    samples: deque[LoadSample] = field(default_factory=deque)  # Of load.
    running: int = 0  # Requests that generate.
    waiting: int = 0  # Requests in its own queue.
    max_running: int = 0  # The most at once so far.
    started: int = 0  # Requests that began to generate.
    finished: int = 0  # Requests that were generated to their end.
    cancelled: int = 0  # Requests whose caller left.
    resumed: int = 0  # Streams that were resumed.
    broken: int = 0  # Streams broken since the faults were set.
    crashes: int = 0  # Crashes so far.


def report_load(state: EngineState) -> LoadSample:
    """Return the load as it was some time ago.

    :param state: The engine.
    :returns: The newest sample that is old enough.
    """
    if not state.faults.frozen_load:
        until_s = state.now() - state.options.load_lag_s
        while len(state.samples) > 1 and state.samples[1].at_s <= until_s:
            state.samples.popleft()
    return state.samples[0]


def note_load(state: EngineState) -> None:
    """Note the load for later reports."""
    sample = LoadSample(state.now(), state.running, state.waiting)
    state.samples.append(sample)
    if not state.faults.frozen_load:
        report_load(state)


def make_state(
    options: EngineOptions,
    store: WeightStore | None,
    now: Callable[[], float],
) -> EngineState:
    """Return the state of a fresh engine.

    :param options: How it behaves.
    :param store: The weight store that it shares; None: its own.
    :param now: The clock of its reports, in seconds.
    :returns: The state.
    """
    cache = PrefixCache(
        options.cache_entries,
        options.cache_lag_s,
        options.cache_gap_rate,
        random.Random(options.seed),
        now,
    )
    models = dict.fromkeys(options.models, options.version)
    holdings = Holdings(store or WeightStore(), options.checks_token, models)
    state = EngineState(
        options,
        options.faults,
        now,
        asyncio.Semaphore(options.slots),
        cache,
        holdings,
    )
    state.samples.append(LoadSample(now(), 0, 0))
    return state

"""The state of a model stand-in: its batch, load reports and faults.

The *batch* is the set of requests that are generated concurrently.  Its
load is sampled at each change, so that load reports can lag behind.
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
    """Faults of an engine."""

    crash_marker: str = ""  # A body with this text crashes the engine.
    down_s: float = 1.0  # Downtime after a crash.
    break_event: int = 0  # Streams break before this event; 0: never.
    breaks: int = 0  # Number of streams to break; 0: all.
    stall_s: float = 0.0  # Added time to the first token.
    slow_factor: float = 1.0  # Multiplies all times.
    outage: bool = False  # Answers every call with 503.
    frozen_load: bool = False  # The load report does not change.


@dataclass(frozen=True, slots=True)
class EngineOptions:
    """Options of an engine."""

    slots: int = 4  # Requests generated concurrently.
    queue_limit: int = 64  # Most requests in its queue.
    models: tuple[str, ...] = ("model",)  # Loaded at startup.
    version: str = "1"  # Their version.
    first_token_s: float = 0.0  # Time to the first token.
    prompt_token_s: float = 0.0  # Time per uncached prompt token.
    token_s: float = 0.0  # Time per token in a batch of one.
    batch_slowdown: float = 0.02  # Relative, per other request.
    cache_entries: int = 64  # Capacity of the prefix cache.
    cache_lag_s: float = 0.0  # Delay of cache events.
    cache_gap_rate: float = 0.0  # Fraction of cache events lost.
    load_lag_s: float = 0.0  # Delay of the load report.
    checks_token: bool = True  # Refuse stale orders.
    seed: int = 0  # For the choice of lost events.
    faults: EngineFaults = EngineFaults()  # Initial faults.


@dataclass(frozen=True, slots=True)
class LoadSample:
    """An engine's load at a point in time."""

    at_s: float
    running: int  # Requests being generated.
    waiting: int  # Queued requests.


@dataclass(slots=True)
class EngineState:
    """The engine's state."""

    options: EngineOptions
    faults: EngineFaults  # Current faults.
    now: Callable[[], float]  # The clock for reports, in seconds.
    slots: asyncio.Semaphore  # Acquired by running requests.
    cache: PrefixCache
    holdings: Holdings  # Loaded models and adapters.
    resumable_answers: OrderedDict[str, Answer] = field(
        default_factory=OrderedDict
    )
    samples: deque[LoadSample] = field(default_factory=deque)  # Load history.
    running: int = 0  # Requests being generated.
    waiting: int = 0  # Queued requests.
    max_running: int = 0  # Highest number of concurrent requests so far.
    started: int = 0  # Requests whose generation started.
    finished: int = 0  # Requests generated to the end.
    cancelled: int = 0  # Requests whose caller disconnected.
    resumed: int = 0  # Resumed streams.
    broken_streams: int = 0  # Since the faults were set.
    crashes: int = 0


def report_load(state: EngineState) -> LoadSample:
    """Return the load as reported, after the configured delay.

    :param state: The engine.
    :returns: The newest sample that is at least as old as the delay.
    """
    if not state.faults.frozen_load:
        until_s = state.now() - state.options.load_lag_s
        while len(state.samples) > 1 and state.samples[1].at_s <= until_s:
            state.samples.popleft()
    return state.samples[0]


def record_load(state: EngineState) -> None:
    """Record the current load for later reports."""
    sample = LoadSample(state.now(), state.running, state.waiting)
    state.samples.append(sample)
    if not state.faults.frozen_load:
        report_load(state)


def make_state(
    options: EngineOptions,
    store: WeightStore | None,
    now: Callable[[], float],
) -> EngineState:
    """Return the state of a newly started engine.

    :param options: The options.
    :param store: A weight store shared with other engines; None: a new
        one.
    :param now: The clock for reports, in seconds.
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

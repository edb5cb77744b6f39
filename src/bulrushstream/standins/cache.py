"""The model stand-in's prefix cache, with delayed and lossy events.

The cache is an LRU cache of prompt prefixes.  Each change is an event with
a sequence number.  Readers see events after a delay, and some events are
lost, which readers detect by a gap in the sequence.
"""

from __future__ import annotations

import random
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

MAX_EVENTS: Final = 1000


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """One change of a prefix cache."""

    sequence: int  # Consecutive; a jump is a lost event.
    at_s: float
    added: tuple[int, ...]  # Digests of cached prefixes.
    dropped: tuple[int, ...]  # Digests of evicted prefixes.


@dataclass(slots=True)
class PrefixCache:
    """An engine's cached prefixes and the events about them."""

    capacity: int  # In prefixes.
    lag_s: float  # Time until readers see an event.
    gap_rate: float  # Fraction of events that are lost.
    rng: random.Random  # Selects the lost events.
    now: Callable[[], float]  # The clock, in seconds.
    prefixes: OrderedDict[int, None] = field(default_factory=OrderedDict)
    events: deque[CacheEvent] = field(
        default_factory=lambda: deque(maxlen=MAX_EVENTS)
    )
    sequence: int = 0  # Of the last event.


def use_prefix(cache: PrefixCache, digest: int) -> bool:
    """Look up a prefix and add it to the cache if missing.

    :param cache: The cache.
    :param digest: The prefix.
    :returns: Whether it was cached already.
    """
    if digest in cache.prefixes:
        cache.prefixes.move_to_end(digest)
        return True
    cache.prefixes[digest] = None
    dropped: tuple[int, ...] = ()
    if len(cache.prefixes) > cache.capacity:
        oldest, _ = cache.prefixes.popitem(last=False)
        dropped = (oldest,)
    _publish(cache, (digest,), dropped)
    return False


def clear_cache(cache: PrefixCache) -> None:
    """Clear the cache and its events, as a crash does."""
    cache.prefixes.clear()
    cache.events.clear()
    cache.sequence = 0


def visible_events(cache: PrefixCache, after: int) -> list[CacheEvent]:
    """Return the events that are visible to a reader.

    :param cache: The cache.
    :param after: The number of the last event that the reader has.
    :returns: Later events that are older than the lag, by number.
    """
    until_s = cache.now() - cache.lag_s
    return [
        event
        for event in cache.events
        if event.sequence > after and event.at_s <= until_s
    ]


def _publish(
    cache: PrefixCache, added: tuple[int, ...], dropped: tuple[int, ...]
) -> None:
    """Publish a change, or lose the event at the gap rate."""
    cache.sequence += 1
    if cache.rng.random() < cache.gap_rate:
        return
    event = CacheEvent(cache.sequence, cache.now(), added, dropped)
    cache.events.append(event)

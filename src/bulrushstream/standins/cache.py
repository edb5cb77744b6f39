"""The model stand-in's prefix cache, with late and incomplete events.

The cache holds a limited number of prompt prefixes, the least recently
used one goes first.  Each change is an event with a number; readers see
events late, and some never, so that a gap in the numbers shows a loss.
"""

from __future__ import annotations

import random
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

KEPT_EVENTS: Final = 1000


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """One change of a prefix cache."""

    sequence: int  # Grows by one per event; a jump is a gap.
    at_s: float  # When it happened.
    added: tuple[int, ...]  # Prefix digests that the cache now holds.
    dropped: tuple[int, ...]  # Prefix digests that it dropped.


@dataclass(slots=True)
class PrefixCache:
    """The prefixes that an engine holds, and their events."""

    entries: int  # How many prefixes fit.
    lag_s: float  # How late readers see an event.
    gap_rate: float  # The share of events that no reader sees.
    rng: random.Random  # Decides which ones.
    now: Callable[[], float]  # The clock, in seconds.
    held: OrderedDict[int, None] = field(default_factory=OrderedDict)
    events: deque[CacheEvent] = field(
        default_factory=lambda: deque(maxlen=KEPT_EVENTS)
    )
    sequence: int = 0  # The last event's number.


def use_prefix(cache: PrefixCache, digest: int) -> bool:
    """Look a prefix up, and keep it from now on.

    :param cache: The cache.
    :param digest: The prefix.
    :returns: Whether it was held already.
    """
    if digest in cache.held:
        cache.held.move_to_end(digest)
        return True
    cache.held[digest] = None
    dropped: tuple[int, ...] = ()
    if len(cache.held) > cache.entries:
        oldest, _ = cache.held.popitem(last=False)
        dropped = (oldest,)
    _publish(cache, (digest,), dropped)
    return False


def clear_cache(cache: PrefixCache) -> None:
    """Lose every prefix, as after a crash."""
    cache.held.clear()
    cache.events.clear()
    cache.sequence = 0


def visible_events(cache: PrefixCache, after: int) -> list[CacheEvent]:
    """Return the events that a reader sees.

    :param cache: The cache.
    :param after: The number of the last event that the reader has.
    :returns: Later ones that are old enough, by number.
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
    """Publish a change, but lose it for readers now and then."""
    cache.sequence += 1
    if cache.rng.random() < cache.gap_rate:
        return
    event = CacheEvent(cache.sequence, cache.now(), added, dropped)
    cache.events.append(event)

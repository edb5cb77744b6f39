"""Requests, or parts of prompts, that may have crashed an endpoint."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Final

# How long a key is watched after a run with an unknown end.
WATCHED_S: Final = 600.0
MAX_WATCHED: Final = 4096


@dataclass(slots=True)
class WatchList:
    """The watched keys, and when a run with each last broke."""

    _broke_s: OrderedDict[int, float] = field(default_factory=OrderedDict)

    def __bool__(self) -> bool:
        """Return whether any key is watched."""
        return bool(self._broke_s)

    def __iter__(self) -> Iterator[tuple[int, float]]:
        """Iterate over the keys and times, the last added one last."""
        return iter(self._broke_s.items())

    def add(self, key: int, broke_s: float) -> bool:
        """Watch a key; forget the oldest one if there are too many.

        :param key: the key
        :param broke_s: when the run broke
        :returns: whether no run is known that broke then or later
        """
        known_s = self._broke_s.get(key, float("-inf"))
        self._broke_s[key] = max(broke_s, known_s)
        self._broke_s.move_to_end(key)
        if len(self._broke_s) > MAX_WATCHED:
            self._broke_s.popitem(last=False)
        return broke_s > known_s

    def covers(self, key: int, now_s: float) -> bool:
        """Return whether a key is watched.

        :param key: the key
        :param now_s: the time
        """
        return now_s - self._broke_s.get(key, float("-inf")) < WATCHED_S

    def remove(self, key: int, before_s: float = float("inf")) -> bool:
        """Stop watching a key if its last run broke before a time.

        :param key: the key
        :param before_s: the time
        :returns: whether it was watched
        """
        if self._broke_s.get(key, before_s) >= before_s:
            return False
        del self._broke_s[key]
        return True

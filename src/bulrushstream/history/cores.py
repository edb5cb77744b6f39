"""How the harness starts the cores that it drives.

A running core is two closures, so that the harness knows nothing of the
cores' states, and a test can put a faulty core in place of a right one.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import TypeAlias

from bulrushstream.state.effect import Effect
from bulrushstream.state.event import Event
from bulrushstream.state.identity import InstanceInfo

Handle: TypeAlias = Callable[[Event, float], list[Effect]]


@dataclass(frozen=True, slots=True)
class RunningCore:
    """One start of one core."""

    handle: Handle  # Takes an event and the core's time.
    is_idle: Callable[[], bool]  # Whether a draining core may end.


StartCore: TypeAlias = Callable[[InstanceInfo, Random, float], RunningCore]


@dataclass(frozen=True, slots=True)
class Cores:
    """How to start each role."""

    router: StartCore  # Starts a router's core.
    agent: StartCore  # Starts an agent's core.

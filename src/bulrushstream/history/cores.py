"""The interface between the harness and the cores that it runs.

A running core is two functions, so that the harness does not depend on the
cores' states, and a test can replace a correct core by a faulty one.
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
    """A core of one incarnation."""

    handle: Handle  # Takes an event and the core's local time.
    is_idle: Callable[[], bool]  # Whether a draining core may stop.


StartCore: TypeAlias = Callable[[InstanceInfo, Random, float], RunningCore]


@dataclass(frozen=True, slots=True)
class CoreFactories:
    """The functions that start a core of each role."""

    router: StartCore
    agent: StartCore

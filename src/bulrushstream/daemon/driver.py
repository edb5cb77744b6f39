"""The task that runs an instance's cores.

Other tasks post events; the driver passes each event to every core that
accepts it, in the order of posting, and has the resulting effects executed.
A core that returned `WakeAt` gets a `Ticked` event at that time.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final

from bulrushstream.state.effect import Effect, WakeAt
from bulrushstream.state.event import Event, MessageReceived, TimerFired
from bulrushstream.state.message import Message

# After this many events the driver yields to other tasks.
_BATCH_EVENTS: Final = 64

Handle = Callable[[Event, float], list[Effect]]


def _accept_all(event: Event) -> bool:
    """Accept every event."""
    del event
    return True


def accept_messages(*kinds: type[Message]) -> Callable[[Event], bool]:
    """Return a filter for a core that needs only some message types.

    :param kinds: the message types to accept
    :returns: accepts messages of these types, and all other events
    """

    def accepts(event: Event) -> bool:
        if isinstance(event, MessageReceived):
            return isinstance(event.message, kinds)
        return True

    return accepts


@dataclass(frozen=True, slots=True)
class Core:
    """One core: a handle function bound to its state."""

    name: str
    handle: Handle  # Maps an event and the time to effects.
    accepts: Callable[[Event], bool] = _accept_all


@dataclass(slots=True)
class _CoreTimer:
    """A core and its timer."""

    core: Core
    at_s: float | None = None  # When the timer fires; None: not set.
    timer: asyncio.TimerHandle | None = None


class Driver:
    """Runs the cores of one instance."""

    _timers: list[_CoreTimer]  # The cores, in calling order.
    core_cpu_s: float  # CPU time spent in the cores, if measured.
    # Events and the core that each is for; None: all that accept it.
    _inbox: deque[tuple[Event, _CoreTimer | None]]
    _has_events: asyncio.Event  # Set while the inbox holds events.
    _running: asyncio.Event  # Cleared while the driver is paused.

    def __init__(
        self,
        cores: Sequence[Core],
        execute_effect: Callable[[Effect], None],
        clock: Callable[[], float],
        cpu_clock: Callable[[], float] | None = None,
    ) -> None:
        """Create a driver.

        :param cores: the cores; only the driver may change their states
        :param execute_effect: executes an effect; must not block
        :param clock: the monotonic time in seconds
        :param cpu_clock: the CPU time in seconds; None: the cores' CPU
            time is not measured
        """
        self.core_cpu_s = 0.0
        self._cpu_clock = cpu_clock
        self._timers = [_CoreTimer(core) for core in cores]
        self._execute_effect = execute_effect
        self._clock = clock
        self._inbox = deque()
        self._has_events = asyncio.Event()
        self._running = asyncio.Event()
        self._running.set()

    def pause(self) -> None:
        """Stop handling events, as a suspended process would."""
        self._running.clear()

    def resume(self) -> None:
        """Handle events again, first those posted during the pause."""
        self._running.set()

    def post(self, event: Event) -> None:
        """Queue an event for all cores that accept it.

        :param event: the event
        """
        self._inbox.append((event, None))
        self._has_events.set()

    async def run(self) -> None:
        """Handle queued events until cancelled."""
        try:
            while True:
                await self._has_events.wait()
                await self._running.wait()
                for _ in range(min(len(self._inbox), _BATCH_EVENTS)):
                    event, target = self._inbox.popleft()
                    self._dispatch(event, target)
                if not self._inbox:
                    self._has_events.clear()
                await asyncio.sleep(0)
        finally:
            for each in self._timers:
                if each.timer is not None:
                    each.timer.cancel()

    def _dispatch(self, event: Event, target: _CoreTimer | None) -> None:
        """Pass an event to one core, or to all that accept it."""
        for timer in self._timers:
            accepted = target is timer or (
                target is None and timer.core.accepts(event)
            )
            if accepted:
                for effect in self._handle(timer.core, event):
                    self._execute(timer, effect)

    def _handle(self, core: Core, event: Event) -> list[Effect]:
        """Pass an event to a core; measure the CPU time if required."""
        now_s = self._clock()
        if self._cpu_clock is None:
            return core.handle(event, now_s)
        started_s = self._cpu_clock()
        effects = core.handle(event, now_s)
        self.core_cpu_s += self._cpu_clock() - started_s
        return effects

    def _execute(self, source: _CoreTimer, effect: Effect) -> None:
        """Execute an effect, or set the core's timer."""
        if isinstance(effect, WakeAt):
            self._wake_at(source, effect.at_s)
        else:
            self._execute_effect(effect)

    def _wake_at(self, target: _CoreTimer, at_s: float) -> None:
        """Set a core's timer unless it already fires earlier."""
        if target.at_s is not None and target.at_s <= at_s:
            return
        if target.timer is not None:
            target.timer.cancel()
            target.timer = None
        target.at_s = at_s
        if at_s == float("inf"):
            return
        loop = asyncio.get_running_loop()
        delay_s = max(0.0, at_s - self._clock())
        target.timer = loop.call_later(delay_s, self._post_tick, target)

    def _post_tick(self, target: _CoreTimer) -> None:
        """Queue a tick for one core."""
        target.at_s = None
        target.timer = None
        self._inbox.append((TimerFired(), target))
        self._has_events.set()

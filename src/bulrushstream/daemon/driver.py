"""The task that owns an instance's cores.

Other tasks *post* events; the driver hands each event to every core, in
the order of posting, and has the effects carried out.  A core that asked
to be woken gets a tick of its own when its time comes.
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

# After so many events in a row other tasks get a turn.
_BATCH_EVENTS: Final = 64

Handle = Callable[[Event, float], list[Effect]]


def _takes_all(event: Event) -> bool:
    """Want to hear of every event."""
    del event
    return True


def takes_messages(*kinds: type[Message]) -> Callable[[Event], bool]:
    """Return a filter for a core that needs few of the messages.

    :param kinds: the messages that it needs
    :returns: whether to hand it an event; all but messages are handed
    """

    def takes(event: Event) -> bool:
        if isinstance(event, MessageReceived):
            return isinstance(event.message, kinds)
        return True

    return takes


@dataclass(frozen=True, slots=True)
class Core:
    """One core: a handle function bound to its state."""

    name: str  # Names it in errors.
    handle: Handle  # Takes an event and the time, gives effects.
    takes: Callable[[Event], bool] = _takes_all  # What it wants to hear.


@dataclass(slots=True)
class _Waking:
    """When a core is to be woken."""

    core: Core  # Which core.
    at_s: float | None = None  # When; None: it has not asked.
    timer: asyncio.TimerHandle | None = None  # What wakes it.


class Driver:
    """Owner of the cores of one instance."""

    _cores: list[_Waking]  # The cores, in the order of their turn.
    core_cpu_s: float  # Processor time in the cores, if it is measured.
    _inbox: deque[tuple[Event, _Waking | None]]  # Events, and for whom.
    _awake: asyncio.Event  # Set while the inbox holds events.
    _running: asyncio.Event  # Cleared while the driver is held.

    def __init__(
        self,
        cores: Sequence[Core],
        carry_out: Callable[[Effect], None],
        clock: Callable[[], float],
        cpu_clock: Callable[[], float] | None = None,
    ) -> None:
        """Take over cores.

        :param cores: the cores; nothing else may touch their states
        :param carry_out: does what a core wants; must not block
        :param clock: the monotonic time in seconds
        :param cpu_clock: the processor time in seconds; None: the cores'
            share of it is not measured
        """
        self.core_cpu_s = 0.0
        self._cpu_clock = cpu_clock
        self._cores = [_Waking(core) for core in cores]
        self._carry_out = carry_out
        self._clock = clock
        self._inbox = deque()
        self._awake = asyncio.Event()
        self._running = asyncio.Event()
        self._running.set()

    def hold(self) -> None:
        """Stand still, as the cores of a paused process would."""
        self._running.clear()

    def go_on(self) -> None:
        """End what `hold` began; events that came meanwhile are kept."""
        self._running.set()

    def post(self, event: Event) -> None:
        """Put an event into the inbox.

        :param event: what happened; every core is told
        """
        self._inbox.append((event, None))
        self._awake.set()

    async def run(self) -> None:
        """Hand events to the cores until cancelled."""
        try:
            while True:
                await self._awake.wait()
                await self._running.wait()
                for _ in range(min(len(self._inbox), _BATCH_EVENTS)):
                    event, waking = self._inbox.popleft()
                    self._hand_out(event, waking)
                if not self._inbox:
                    self._awake.clear()
                await asyncio.sleep(0)
        finally:
            for waking in self._cores:
                if waking.timer is not None:
                    waking.timer.cancel()

    def _hand_out(self, event: Event, only: _Waking | None) -> None:
        """Hand one event to the cores that it is for."""
        for waking in self._cores:
            mine = only is waking or (
                only is None and waking.core.takes(event)
            )
            if mine:
                for effect in self._handle(waking.core, event):
                    self._take(waking, effect)

    def _handle(self, core: Core, event: Event) -> list[Effect]:
        """Have a core handle an event; measure it if asked to."""
        now_s = self._clock()
        if self._cpu_clock is None:
            return core.handle(event, now_s)
        begun_s = self._cpu_clock()
        effects = core.handle(event, now_s)
        self.core_cpu_s += self._cpu_clock() - begun_s
        return effects

    def _take(self, waking: _Waking, effect: Effect) -> None:
        """Carry an effect out, or set the core's timer."""
        if isinstance(effect, WakeAt):
            self._wake_at(waking, effect.at_s)
        else:
            self._carry_out(effect)

    def _wake_at(self, waking: _Waking, at_s: float) -> None:
        """Set a core's timer unless it rings earlier anyway."""
        if waking.at_s is not None and waking.at_s <= at_s:
            return
        if waking.timer is not None:
            waking.timer.cancel()
            waking.timer = None
        waking.at_s = at_s
        if at_s == float("inf"):
            return
        loop = asyncio.get_running_loop()
        delay_s = max(0.0, at_s - self._clock())
        waking.timer = loop.call_later(delay_s, self._ring, waking)

    def _ring(self, waking: _Waking) -> None:
        """Post a tick for one core."""
        waking.at_s = None
        waking.timer = None
        self._inbox.append((TimerFired(), waking))
        self._awake.set()

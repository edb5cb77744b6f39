"""Plays of routers and endpoints of different speeds, in virtual time.

Routers exchange their updates.  An engine prefills prompts in the order of
arrival; a plain endpoint works on as many requests as it has slots.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from bulrushstream.coordination.endpointpool import Endpoint
from bulrushstream.coordination.fleetstate import (
    SWEEP_INTERVAL_S,
    FleetState,
)
from bulrushstream.coordination.looplag import TICK_S
from bulrushstream.coordination.placement import choose_engine, choose_plain
from bulrushstream.state.call import Prompt
from bulrushstream.state.effect import Decision
from bulrushstream.state.routes import EngineTraits
from tests.deployments import a_prompt, an_entry
from tests.test_fleetstate import UpdateRecorder, a_router_state

UNIT_RATE = 42_800.0  # Tokens per second that a usual engine prefills.
PLAIN_WORK_S = 0.09
PLAIN_SLOTS = 6


@dataclass(slots=True)
class PlayedEndpoint:
    """An endpoint; its speed may change."""

    slowness: float = 1.0  # How long work takes, over the usual.
    free_s: list[float] = field(default_factory=lambda: [0.0])  # By slot.
    done: int = 0  # Requests that it got.


@dataclass(slots=True)
class SpeedPlay:
    """Routers that place requests on endpoints of one service."""

    slownesses: dict[str, float]
    plain: bool = False
    routers: int = 4
    per_s: float = 0.0  # Requests that arrive.
    prompt_tokens: int = 3_000  # Uncached; all prompts differ.
    seed: int = 1
    update_delay_s: float = 0.002
    slow_links: dict[int, float] = field(default_factory=dict)  # More delay.
    tells_percent: bool = False  # Whether endpoints tell their slowness.
    now_s: float = 0.0
    endpoints: dict[str, PlayedEndpoint] = field(default_factory=dict)
    states: list[tuple[FleetState, UpdateRecorder]] = field(
        default_factory=list
    )
    decisions: list[Decision] = field(default_factory=list)
    placed: list[tuple[float, str]] = field(default_factory=list)
    frozen_until_s: dict[int, float] = field(default_factory=dict)
    rng: Random = field(init=False)
    _events: list[tuple[float, int, Callable[[], None]]] = field(
        default_factory=list
    )
    _sequence: int = 0

    def __post_init__(self) -> None:
        self.rng = Random(self.seed)
        traits = None if self.plain else EngineTraits(64, 2_000_000)
        slots = PLAIN_SLOTS if self.plain else 1
        for name, slowness in self.slownesses.items():
            self.endpoints[name] = PlayedEndpoint(slowness, [0.0] * slots)
        for number in range(self.routers):
            state, recorder = a_router_state(number + 1)
            for name in list(state.pool.by_name):
                state.pool.remove(name)
            for name in self.slownesses:
                entry = an_entry(name, service="s", slots=PLAIN_SLOTS)
                state.pool.update(entry, traits)
            state.speeds.on_decision = self.decisions.append
            self.states.append((state, recorder))
            self._sweep(number)
            self._tick(number)
        if self.per_s:
            self._at(0.0, self._arrive)

    def run_until(self, until_s: float) -> None:
        """Play on until a time."""
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        self.now_s = until_s

    def freeze(self, router: int, for_s: float) -> None:
        """Let a router's process stand still."""
        self.frozen_until_s[router] = self.now_s + for_s

    def share(self, name: str, since_s: float) -> float:
        """Return an endpoint's share of the requests since a time."""
        recent = [each for at_s, each in self.placed if at_s >= since_s]
        return recent.count(name) / max(1, len(recent))

    def lasting(self, name: str) -> list[float]:
        """Return the lasting factors that the routers measured."""
        return [
            state.pool.by_name[name].speed.measured for state, _ in self.states
        ]

    def _at(self, at_s: float, action: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (at_s, self._sequence, action))

    def _at_router(
        self, router: int, at_s: float, action: Callable[[], None]
    ) -> None:
        """Run an action once a router is not frozen."""

        def run() -> None:
            awake_s = self.frozen_until_s.get(router, 0.0)
            if self.now_s < awake_s:
                self._at(awake_s, run)
            else:
                action()

        self._at(at_s, run)

    def _sweep(self, router: int) -> None:
        self.states[router][0].sweep(self.now_s)
        self._at_router(
            router,
            self.now_s + SWEEP_INTERVAL_S,
            lambda: self._sweep(router),
        )

    def _tick(self, router: int) -> None:
        self.states[router][0].peers.wakefulness.tick(self.now_s)
        self._at_router(
            router, self.now_s + TICK_S, lambda: self._tick(router)
        )

    def _arrive(self) -> None:
        self._at(self.now_s + self.rng.expovariate(self.per_s), self._arrive)
        router = self.rng.randrange(self.routers)
        if self.now_s < self.frozen_until_s.get(router, 0.0):
            return
        state, _ = self.states[router]
        endpoints = state.pool.usable("s", self.now_s)
        prompt = None if self.plain else self._next_prompt()
        if prompt is None:
            found = choose_plain(endpoints, "z", self.rng, self.now_s)
        else:
            choice = choose_engine(
                endpoints,
                prompt,
                state.prefill_rate,
                self.now_s,
            )
            found = choice.best.endpoint if choice is not None else None
        assert found is not None
        self._send(router, found, prompt)

    def _next_prompt(self) -> Prompt:
        # The shared part spreads the prompts over engines that tie.
        shared = self.rng.randrange(200), 1
        return a_prompt(shared, (10**6 + self._sequence, self.prompt_tokens))

    def _send(
        self, router: int, found: Endpoint, prompt: Prompt | None
    ) -> None:
        """Send a request, and play its course."""
        state, _ = self.states[router]
        sent_s = self.now_s
        number = state.place(found, prompt, "", sent_s, 1e9)
        self._publish(router)
        endpoint = self.endpoints[found.name]
        endpoint.done += 1
        self.placed.append((sent_s, found.name))
        if prompt is None:
            work_s = self.rng.uniform(0.5, 1.5) * PLAIN_WORK_S
        else:
            view = found.view
            assert view is not None
            work_s = view.running[number].prefill_tokens / UNIT_RATE
        work_s *= endpoint.slowness
        start_s = max(sent_s, heapq.heappop(endpoint.free_s))
        done_s = start_s + work_s
        heapq.heappush(endpoint.free_s, done_s)
        percent = endpoint.slowness if self.tells_percent else 0.0

        def answered() -> None:
            if percent:
                found.speed.told(percent, self.now_s)
            if self.plain:
                state.answered(found, number, sent_s, self.now_s)
                state.ended(found, number)
            else:
                state.first_event(found, number, self.now_s)
                self._at_router(router, self.now_s + 0.2, ended)
            self._publish(router)

        def ended() -> None:
            state.ended(found, number)
            self._publish(router)

        event_s = done_s
        if not self.plain:
            event_s += self.rng.uniform(0.01, 0.05)
        self._at_router(router, event_s, answered)

    def _publish(self, router: int) -> None:
        """Send a router's updates to the others."""
        _, recorder = self.states[router]
        updates, recorder.updates = recorder.updates, []
        for number, (state, _) in enumerate(self.states):
            if number == router:
                continue

            def receive(state: FleetState = state) -> None:
                for update in updates:
                    state.apply_update(update, self.now_s)

            delay_s = self.update_delay_s + self.slow_links.get(router, 0.0)
            self._at_router(number, self.now_s + delay_s, receive)

"""Which engines prefer long and which short prompts.

An engine does prefill in order of arrival, so a long prompt delays the short
ones queued behind it (*head-of-line blocking*).  A prompt counts as *long* at
an engine if its prefill there, without its cached part, takes a considerable
part of the shortest first-token target of its service.

Each router sees the placements of all routers, and so the share of prefill
that long prompts take.  The engines are ranked by a hash of their ids; the
first ones, as many as that share requires, prefer long prompts, the others
short ones.  All routers reach the same ranking without messages.  An engine
that is not usable drops out and the next one in the ranking takes over.

The preference is a cost in the score of an engine, and a request that is
refused at the preferred engine may still go where it would have gone without
a preference.  So no engine is reserved.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Final

from bulrushstream.coordination.endpointpool import Endpoint, EndpointPool
from bulrushstream.coordination.engineview import DEFAULT_PREFILL_TOKENS_PER_S
from bulrushstream.coordination.rendezvous import rank_hosts
from bulrushstream.state.effect import Decision
from bulrushstream.state.routes import PooledService, RouteConfig

# Prompts differ enough for a preference if the prefill of the memory that an
# engine has for one of its slots takes this part of the shortest target.
MIN_SLOT_PREFILL_SHARE: Final = 1.0 / 3.0

# A prompt is long at an engine if its uncached prefill takes more than this
# part of the shortest target.
LONG_PREFILL_SHARE: Final = 0.15

# The cost of an engine of the other class, as a part of the shortest target.
# It shrinks as prefill takes up the engines' time, from `LOAD_RANGE` below
# `MAX_LOAD` to nothing there, where a longer wait costs more than a mixed
# queue.
COST_SHARE: Final = 0.125
MAX_LOAD: Final = 1.0
LOAD_RANGE: Final = 0.5

# The sums of prefill halve in this time.
HALF_LIFE_S: Final = 6.0

# With less prefill than this in the sums, in seconds, the mix is not known.
MIN_PREFILL_S: Final = 1.0

# A kind that takes a smaller share of the prefill has no engines of its own.
MIN_KIND_SHARE: Final = 0.02

# The number of engines follows the long prompts' share if it is off by more
# than so many engines, or by more than half an engine for a time.
MAX_EXCESS_ENGINES: Final = 1.25
SETTLE_S: Final = 3.0


@dataclass(frozen=True, slots=True)
class Preference:
    """What an engine that prefers the other class costs a prompt."""

    long_engines: frozenset[str]  # Ids of those that prefer long prompts.
    long_prefill_s: float  # A prompt with more uncached prefill is long.
    other_class_cost_s: float  # Of an engine that prefers the other class.

    def cost_s(self, endpoint: str, prefill_s: float) -> float:
        """Return what is added to an engine's score.

        :param endpoint: the engine's id
        :param prefill_s: the prompt's uncached prefill there, at the average
            rate
        """
        is_long = prefill_s > self.long_prefill_s
        if is_long == (endpoint in self.long_engines):
            return 0.0
        return self.other_class_cost_s


def mixed_services(config: RouteConfig) -> dict[str, float]:
    """Return the services whose engines get preferences.

    These are the model services with routes of different first-token targets
    whose engines have memory for prompts that are long against the shortest
    one.

    :param config: a valid configuration
    :returns: the shortest target of each, in seconds
    """
    targets_s: dict[str, set[float]] = {}
    for route in config.routes:
        for share in route.split:
            known_s = targets_s.setdefault(share.service, set())
            known_s.add(route.latency_target_s)
    return {
        service.name: min(found_s)
        for service in config.services
        if len(found_s := targets_s.get(service.name, set())) > 1
        and _slot_prefill_s(service) >= MIN_SLOT_PREFILL_SHARE * min(found_s)
    }


def _slot_prefill_s(service: PooledService) -> float:
    """Return the prefill time of a slot's part of an engine's memory."""
    engine = service.engine
    if engine is None:
        return 0.0
    tokens = engine.memory_tokens / max(1, engine.slots)
    return tokens / DEFAULT_PREFILL_TOKENS_PER_S


@dataclass(slots=True)
class ServiceMix:
    """The mix of prompts of one service, and the engines' preferences."""

    service: str
    shortest_target_s: float
    # Moving sums of uncached prefill that all routers placed, in seconds.
    long_s: float = 0.0
    short_s: float = 0.0
    summed_s: float = 0.0  # The time of the sums.
    ranking: tuple[str, ...] = ()  # The usable engines.
    long_engines: tuple[str, ...] = ()  # The first ones of the ranking.
    preference: Preference | None = None  # None: no engine has any.
    # Since when the number of engines is off by over half an engine.
    off_since_s: float | None = None

    @property
    def long_prefill_s(self) -> float:
        """Return the uncached prefill beyond which a prompt is long."""
        return LONG_PREFILL_SHARE * self.shortest_target_s

    @property
    def cost_s(self) -> float:
        """Return the cost of an engine of the other class; 0: none."""
        found = self.preference
        return found.other_class_cost_s if found is not None else 0.0

    @property
    def long_share(self) -> float:
        """Return the share of the prefill that long prompts take."""
        total_s = self.long_s + self.short_s
        return self.long_s / total_s if total_s else 0.0

    def add(self, prefill_s: float, now_s: float) -> None:
        """Count a placed prompt.

        :param prefill_s: its uncached prefill at the average rate
        :param now_s: the time
        """
        self._decay(now_s)
        if prefill_s > self.long_prefill_s:
            self.long_s += prefill_s
        else:
            self.short_s += prefill_s

    def decide(
        self, engines: Sequence[tuple[str, float]], now_s: float
    ) -> str:
        """Decide which of the usable engines prefer which prompts.

        :param engines: the id and the speed of each, in any order
        :param now_s: the time
        :returns: why the preferences changed; empty: they did not
        """
        self._decay(now_s)
        speeds = dict(engines)
        ranking = tuple(rank_hosts(speeds, self.service.encode()))
        wanted, reason = self._wanted(
            [speeds[name] for name in ranking], now_s
        )
        chosen = ranking[:wanted]
        changed = (ranking, chosen) != (self.ranking, self.long_engines)
        if set(ranking) != set(self.ranking):
            reason = "usable engines changed"
        had_preference = self.preference is not None
        self.ranking, self.long_engines = ranking, chosen
        self.preference = None
        if chosen:
            self.preference = Preference(
                frozenset(chosen),
                self.long_prefill_s,
                self._cost_s(sum(speeds.values())),
            )
        return reason if changed and (chosen or had_preference) else ""

    def _cost_s(self, speed: float) -> float:
        """Return the cost of an engine of the other class.

        :param speed: the sum of the usable engines' speeds
        """
        window_s = HALF_LIFE_S / math.log(2.0)
        load = (self.long_s + self.short_s) / window_s / speed
        part = min(1.0, max(0.0, (MAX_LOAD - load) / LOAD_RANGE))
        return COST_SHARE * self.shortest_target_s * part

    def _wanted(
        self, speeds: Sequence[float], now_s: float
    ) -> tuple[int, str]:
        """Return how many of the ranked engines prefer long prompts, and why.

        Zero means that no engine has a preference.
        """
        share = self.long_share
        if len(speeds) < 2 or self.long_s + self.short_s < MIN_PREFILL_S:
            self.off_since_s = None
            return 0, "too few engines or prompts"
        if not MIN_KIND_SHARE <= share <= 1.0 - MIN_KIND_SHARE:
            self.off_since_s = None
            return 0, "hardly any prompts of one kind"
        due = share * sum(speeds)
        sums = [0.0]
        for speed in speeds:
            sums.append(sums[-1] + speed)
        counts = range(1, len(speeds))
        nearest = min(counts, key=lambda count: abs(sums[count] - due))
        current = len(self.long_engines)
        if not current:
            self.off_since_s = None
            return nearest, "prompts of both kinds"
        current = min(current, len(speeds) - 1)
        if nearest == current:
            self.off_since_s = None
            return current, ""
        mean = sums[-1] / len(speeds)
        if self.off_since_s is None:
            self.off_since_s = now_s
        excess = abs(sums[current] - due) / mean
        if (
            excess <= MAX_EXCESS_ENGINES
            and now_s - self.off_since_s < SETTLE_S
        ):
            return current, ""
        self.off_since_s = None
        return nearest, "share of long prompts changed"

    def _decay(self, now_s: float) -> None:
        """Bring the sums to a time."""
        passed_s = now_s - self.summed_s
        if passed_s > 0.0:
            factor = 0.5 ** (passed_s / HALF_LIFE_S)
            self.long_s *= factor
            self.short_s *= factor
            self.summed_s = now_s


@dataclass(slots=True)
class PromptMixes:
    """The mixes of the services whose engines get preferences."""

    # Called for each change.
    on_decision: Callable[[Decision], None] = lambda decision: None
    # The speed of an engine, relative to the others.
    speed_of: Callable[[Endpoint], float] = lambda endpoint: 1.0
    by_service: dict[str, ServiceMix] = field(default_factory=dict)

    def configure(self, config: RouteConfig) -> None:
        """Apply a configuration.

        :param config: a valid configuration
        """
        applicable = mixed_services(config)
        for name, mix in list(self.by_service.items()):
            if applicable.get(name) != mix.shortest_target_s:
                del self.by_service[name]
                if mix.preference is not None:
                    mix.long_engines, mix.preference = (), None
                    self._log(mix, "configuration changed")
        for name, target_s in applicable.items():
            self.by_service.setdefault(name, ServiceMix(name, target_s))

    def preference(self, service: str) -> Preference | None:
        """Return the preferences of a service's engines; None: none.

        :param service: the service's name
        """
        mix = self.by_service.get(service)
        return mix.preference if mix is not None else None

    def placed(
        self, endpoint: Endpoint, number: int, rate: float, now_s: float
    ) -> None:
        """Count a prompt that any router sent to an engine.

        :param endpoint: the engine
        :param number: the attempt's number
        :param rate: the average prefill rate, in tokens per second
        :param now_s: the time
        """
        mix = self.by_service.get(endpoint.entry.service)
        if mix is None or endpoint.view is None:
            return
        request = endpoint.view.running.get(number)
        if request is not None:
            mix.add(request.prefill_tokens / rate, now_s)

    def sweep(self, pool: EndpointPool, now_s: float) -> None:
        """Decide anew which engines prefer which prompts.

        :param pool: the endpoints
        :param now_s: the time
        """
        for name, mix in self.by_service.items():
            engines = self._usable(pool.usable(name, now_s))
            reason = mix.decide(engines, now_s)
            if reason:
                self._log(mix, reason)

    def _usable(
        self, endpoints: Iterable[Endpoint]
    ) -> list[tuple[str, float]]:
        """Return the id and the speed of the engines that take their share.

        A cold engine does not.
        """
        return [
            (endpoint.name, self.speed_of(endpoint))
            for endpoint in endpoints
            if endpoint.view is not None
            and endpoint.entry.warmup_remaining_s <= 0
        ]

    def _log(self, mix: ServiceMix, reason: str) -> None:
        """Log how many engines prefer which prompts."""
        short = 0
        if mix.preference is not None:
            short = len(mix.ranking) - len(mix.long_engines)
        self.on_decision(
            Decision(
                "prompt_mix",
                reason,
                service=mix.service,
                inputs={
                    "long_engines": len(mix.long_engines),
                    "short_engines": short,
                    "long_share": round(mix.long_share, 3),
                    "long_ms": round(mix.long_s * 1000.0),
                    "short_ms": round(mix.short_s * 1000.0),
                    "long_prefill_ms": round(mix.long_prefill_s * 1000.0, 1),
                    "cost_ms": round(mix.cost_s * 1000.0, 1),
                    "engines": " ".join(mix.long_engines),
                },
            )
        )

"""Which engines prefer long and which short prompts, in virtual time."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from itertools import count
from random import Random
from typing import Final

import pytest
import xxhash

from bulrushstream.coordination.endpointnotices import EndpointNotices
from bulrushstream.coordination.endpointpool import Endpoint, EndpointPool
from bulrushstream.coordination.placement import (
    Admission,
    admit_to_engine,
    choose_engine,
)
from bulrushstream.coordination.promptmix import (
    Preference,
    PromptMixes,
    ServiceMix,
    mixed_services,
)
from bulrushstream.metrics import count_decision, encode_metrics, make_metrics
from bulrushstream.state.call import Prompt
from bulrushstream.state.effect import Decision
from bulrushstream.state.routes import (
    EngineTraits,
    PooledService,
    RouteConfig,
    SplitShare,
)
from tests import modelfleets
from tests.deployments import a_prompt, a_route, an_engine, an_entry
from tests.modelfleets import FleetPlan, ModelFleet, Traffic
from tests.test_engine_choice import RATE, random_engines

TRAITS: Final = EngineTraits(64, 229_957)
SHORTEST_S: Final = 0.4
LONG_S: Final = 0.07  # The prefill of a long prompt,
SHORT_S: Final = 0.013  # and of a short one.

# The choices of the version before there were preferences, by the inputs of
# `test_without_a_preference_choices_are_as_before`.
CHOICES_BEFORE: Final = "57feb18a746e7281"


def llm_config(
    *targets_s: float, traits: EngineTraits | None = TRAITS
) -> RouteConfig:
    """Return a configuration with a route of each target to one service."""
    split = (SplitShare("llm", 1.0),)
    routes = [
        a_route(prefix=f"/{target_s}/", split=split, latency_target_s=target_s)
        for target_s in targets_s
    ]
    service = PooledService("llm", 100, traits)
    return RouteConfig(1, tuple(routes), (service,))


def equal_engines(number: int = 22) -> list[tuple[str, float]]:
    return [(f"e-{index}", 1.0) for index in range(number)]


def settled(share: float, engines: list[tuple[str, float]]) -> ServiceMix:
    """Return a mix in which long prompts have had a share for long."""
    mix = ServiceMix("llm", SHORTEST_S)
    mix.long_s, mix.short_s = 20.0 * share, 20.0 * (1.0 - share)
    mix.decide(engines, 0.0)
    return mix


def preferring(share: float) -> Preference:
    """Return the preferences of 22 engines for long prompts' share."""
    found = settled(share, equal_engines()).preference
    assert found is not None
    return found


def mixed_pool(
    on_decision: Callable[[Decision], None],
) -> tuple[PromptMixes, EndpointPool]:
    """Return the mixes of a service with prompts of both kinds, and it."""
    mixes = PromptMixes(on_decision)
    mixes.configure(llm_config(0.6, 0.4))
    mix = mixes.by_service["llm"]
    mix.long_s, mix.short_s = 9.0, 9.0
    pool = EndpointPool(EndpointNotices(on_decision))
    for name, _ in equal_engines(8):
        pool.update(an_entry(name, service="llm"), TRAITS)
    return mixes, pool


class ConditionSuite:
    """Guards against changed decisions in deployments without a mix."""

    def test_only_services_with_different_targets_are_mixed(self) -> None:
        assert mixed_services(llm_config(0.6, 0.5, 0.4)) == {"llm": 0.4}
        assert mixed_services(llm_config(0.4, 0.4)) == {}
        assert mixed_services(llm_config(1.2, 0.8)) == {}
        assert mixed_services(llm_config(0.6, 0.4, traits=None)) == {}

    def test_without_a_preference_choices_are_as_before(self) -> None:
        lines = []
        for seed in range(60):
            rng = Random(seed)
            engines, now_s = random_engines(rng), rng.random()
            for number in range(30):
                shared = (rng.randrange(6), 4000)
                prompt = a_prompt(shared, (10**6 + number, 800))
                found = choose_engine(engines, prompt, RATE, now_s)
                assert found is not None
                best, idle = found.best, found.idle
                lines.append(
                    f"{best.endpoint.name} {best.first_token_s!r} "
                    f"{idle and idle.endpoint.name} {found.idle_engines}"
                )
                view = best.endpoint.view
                assert view is not None
                view.place(10**7 + number, prompt, RATE, now_s, 1e9)
                now_s += 0.01
        digest = xxhash.xxh64_hexdigest("\n".join(lines).encode())
        assert digest == CHOICES_BEFORE

    def test_a_configuration_that_ends_the_mix_ends_preferences(self) -> None:
        decisions: list[Decision] = []
        mixes, pool = mixed_pool(decisions.append)
        mixes.sweep(pool, 0.0)
        assert mixes.preference("llm") is not None
        mixes.configure(llm_config(0.6, 0.6))
        assert mixes.preference("llm") is None
        found = [each.inputs for each in decisions]
        assert [each["long_engines"] for each in found] == [4, 0]
        assert [each["short_engines"] for each in found] == [4, 0]
        metrics = make_metrics()
        count_decision(metrics, decisions[0])
        line = b'prompt_mix_engines{prefers="long",service="llm"} 4.0'
        assert line in encode_metrics(metrics)


class ShareSuite:
    """Guards against engines that change class with every request."""

    def test_the_number_of_engines_follows_the_share_and_speeds(self) -> None:
        assert len(settled(0.5, equal_engines()).long_engines) == 11
        assert len(settled(0.93, equal_engines()).long_engines) == 20
        # Both kinds have an engine, unless one of them hardly occurs.
        assert len(settled(0.975, equal_engines()).long_engines) == 21
        assert settled(0.985, equal_engines()).preference is None
        assert settled(0.5, equal_engines(1)).preference is None
        ranked = settled(0.5, equal_engines()).ranking
        fast = [(name, 1.6 if name in ranked[:8] else 0.6) for name in ranked]
        assert len(settled(0.5, fast).long_engines) == 7

    def test_random_requests_rarely_change_the_number(self) -> None:
        # The share is between two numbers of engines: 18.55 are due.
        share = LONG_S / (LONG_S + SHORT_S)
        rng, mix = Random(1), settled(share, equal_engines())
        changes = 0
        for step in range(240):
            for _ in range(rng.randrange(10, 30)):
                mix.add(rng.choice((LONG_S, SHORT_S)), step * 0.25)
            changes += bool(mix.decide(equal_engines(), step * 0.25))
            assert 17 <= len(mix.long_engines) <= 20
        assert changes <= 6

    def test_the_cost_shrinks_to_nothing_as_engines_are_busy(self) -> None:
        costs_s = []
        for load in (0.1, 0.6, 0.8, 1.05):
            mix = settled(0.5, equal_engines())
            mix.long_s = mix.short_s = load * 22 * 6.0 / math.log(2.0) / 2
            mix.decide(equal_engines(), 0.0)
            costs_s.append(mix.cost_s)
        assert costs_s[0] > costs_s[1] > costs_s[2] > costs_s[3] == 0.0

    def test_a_kind_that_is_gone_leaves_all_engines(self) -> None:
        mix, at_s = settled(0.5, equal_engines()), 0.0
        while mix.preference is not None and at_s < 60.0:
            at_s += 0.25
            for _ in range(20):
                mix.add(LONG_S, at_s)
            mix.decide(equal_engines(), at_s)
        assert at_s < 25.0
        assert mix.preference is None


class LossSuite:
    """Guards against a loss that moves more than one engine."""

    @pytest.mark.parametrize("lost", range(22))
    def test_the_next_one_takes_over_and_no_other_moves(
        self, lost: int
    ) -> None:
        mix = settled(0.5, equal_engines())
        before, name = set(mix.long_engines), mix.ranking[lost]
        remaining = [each for each in equal_engines() if each[0] != name]
        reason = mix.decide(remaining, 0.1)
        assert reason == "usable engines changed"
        expected = before - {name}
        if lost < 11:
            expected.add(mix.ranking[10])
        assert set(mix.long_engines) == expected
        mix.decide(equal_engines(), 0.2)
        assert set(mix.long_engines) == before

    def test_cold_leaving_and_ejected_engines_drop_out(self) -> None:
        mixes, pool = mixed_pool(lambda decision: None)
        entries = [pool.by_name[f"e-{index}"].entry for index in range(2)]
        pool.update(replace(entries[0], warmup_remaining_s=2.0), TRAITS)
        pool.update(replace(entries[1], leaving=True), TRAITS)
        pool.by_name["e-2"].avoid_until_s = 1.0
        mixes.sweep(pool, 0.0)
        assert {"e-0", "e-1", "e-2"}.isdisjoint(
            mixes.by_service["llm"].ranking
        )
        pool.update(entries[0], TRAITS)
        mixes.sweep(pool, 2.0)
        assert {"e-0", "e-2"} <= set(mixes.by_service["llm"].ranking)


class AgreementSuite:
    """Guards against routers that rank or count engines differently."""

    def test_routers_agree_almost_always(self) -> None:
        """They differ by one engine at most, also after a partition."""
        rng, engines = Random(3), equal_engines()
        routers = [ServiceMix("llm", SHORTEST_S) for _ in range(23)]
        differing, checks = 0, 0
        for step in range(4 * 90):
            at_s = step * 0.25
            long_part = 0.5 if at_s < 45.0 else 0.25
            for number in range(60):
                prefill_s = LONG_S if rng.random() < long_part else SHORT_S
                for index, mix in enumerate(routers):
                    is_cut_off = index == 0 and 20.0 <= at_s < 30.0
                    is_heard = rng.random() >= 0.05 and not is_cut_off
                    if is_heard or index == number % 23:
                        mix.add(prefill_s, at_s)
            for mix in routers:
                mix.decide(engines, at_s + rng.random() * 0.25)
            if at_s < 5.0 or 20.0 <= at_s < 35.0 or 45.0 <= at_s < 55.0:
                continue
            counts = Counter(len(mix.long_engines) for mix in routers)
            assert max(counts) - min(counts) <= 1
            assert len({mix.long_engines[0] for mix in routers}) == 1
            differing += 23 - max(counts.values())
            checks += 23
        assert differing <= 0.05 * checks

    def test_routers_that_disagree_refuse_no_more(self) -> None:
        """Both kinds go to the engine between, the others keep theirs."""
        first, second = preferring(0.5), preferring(0.55)
        assert len(second.long_engines - first.long_engines) == 1
        rates = {"long": 60.0, "short": 200.0}
        agreeing, played = Burst(first, 1).run(rates), Burst(first, 1)
        for step in range(40):
            played.preference = (first, second)[step % 2]
            played.run(rates, 0.1 * (step + 1))
        assert played.refused_in_vain == 0
        assert played.refused <= agreeing.refused + 0.01 * 1040


class Burst:
    """Engines that serve a burst, decided by one router."""

    def __init__(self, preference: Preference | None, seed: int) -> None:
        self.preference = preference
        self.rng = Random(seed)
        self.engines = [an_engine(name) for name, _ in equal_engines()]
        self.numbers = count(10**6)
        self.now_s = 0.0
        self.used: dict[str, list[str]] = {"long": [], "short": []}
        self.refused = 0
        self.refused_in_vain = 0
        self.refused_while_idle = 0

    def run(self, rates: dict[str, float], end_s: float = 4.0) -> Burst:
        """Place prompts that come at rates per second."""
        while self.now_s < end_s:
            self.now_s += self.rng.expovariate(sum(rates.values()))
            (kind,) = self.rng.choices(list(rates), list(rates.values()))
            self.place(kind)
        return self

    def place(self, kind: str) -> None:
        own = next(self.numbers)
        shared = self.rng.randrange(40)
        parts, target_s = [(shared + 9, 172), (own, 543)], 0.4
        if kind == "long":
            parts = [(shared % 4, 2520), (shared + 99, 3780), (own, 2890)]
            target_s = 0.6
        prompt = a_prompt(*parts)
        found = self.admitted(prompt, target_s, self.preference)
        if found is None:
            self.refused += 1
            other = self.admitted(prompt, target_s, None)
            self.refused_in_vain += other is not None
            self.refused_while_idle += any(
                view.backlog_s(self.now_s) == 0 and view.has_capacity(prompt)
                for each in self.engines
                if (view := each.view) is not None
            )
            return
        self.used[kind].append(found.name)
        assert found.view is not None
        found.view.place(own, prompt, RATE, self.now_s, self.now_s + 1.0)
        found.view.expire(self.now_s)

    def admitted(
        self, prompt: Prompt, target_s: float, preference: Preference | None
    ) -> Endpoint | None:
        """Return the engine that the request is sent to."""
        found = choose_engine(
            self.engines, prompt, RATE, self.now_s, preference
        )
        assert found is not None
        for each in (found.best, found.without_preference, found.idle):
            if each is not None and (
                admit_to_engine(each, target_s, SHORTEST_S, 0.3)
                is Admission.SEND
            ):
                return each.endpoint
        return None


class BurstSuite:
    """Guards against engines that are kept for one kind of prompts."""

    @pytest.mark.parametrize("seed", [1, 2, 3])
    @pytest.mark.parametrize(
        ("long", "short"), [(67.0, 3_450.0), (247.0, 300.0), (300.0, 0.0)]
    )
    def test_engines_of_the_other_class_serve_too(
        self, long: float, short: float, seed: int
    ) -> None:
        rates = {"long": long, "short": short}
        played = Burst(preferring(0.5), seed).run(rates)
        assert len(set(played.used[max(rates, key=rates.__getitem__)])) == 22
        # With the same queues, none is refused that would have been served,
        # and none while an engine is idle.
        assert played.refused_in_vain == 0
        assert played.refused_while_idle == 0

    def test_kinds_keep_apart_and_shared_parts_have_few_copies(self) -> None:
        preference = preferring(0.5)
        placed, copies = [], []
        for used in (None, preference):
            played = Burst(used, 1).run({"long": 20.0, "short": 60.0}, 12.0)
            other = set(played.used["short"]) & preference.long_engines
            placed.append(sum(map(played.used["short"].count, other)))
            cached = [
                part
                for each in played.engines
                if each.view
                for part in each.view.cached
                if 99 <= part < 139
            ]
            copies.append(len(cached))
        assert placed[1] < placed[0] / 2
        # Each of the 40 parts has hardly more copies than engines need.
        assert copies[1] <= copies[0]
        assert copies[1] <= 2 * 40


class FleetSuite:
    """Guards against routers that do not feed or use the mix."""

    def test_routers_reach_the_same_preferences(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        targets_s = {"draft": 0.6, "ask": 0.4}
        monkeypatch.setattr(modelfleets, "LATENCY_TARGETS_S", targets_s)
        traffic = (
            Traffic("w", 15.0, "draft", 6300, 2890, 40, subjects=12),
            Traffic("w", 60.0, "ask", 172, 543, 40),
        )
        fleet = ModelFleet(FleetPlan(1, traffic, loss=0.02, end_s=9.0))
        fleet.run()
        states = [front.fleet_state for front in fleet.fronts]
        mixes = [each.prompt_mixes.by_service["llm"] for each in states]
        counts = {len(mix.long_engines) for mix in mixes}
        assert max(counts) - min(counts) <= 1
        assert min(counts) >= 4
        assert len({mix.ranking for mix in mixes}) == 1
        assert len(fleet.refusals) <= 0.05 * len(fleet.shares.asks)

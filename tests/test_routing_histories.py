"""Random histories of routing routers, and faults that they must show."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Any, Final

import pytest

from bulrushstream.coordination.endpointpool import Endpoint, EndpointPool
from bulrushstream.coordination.fleetstate import FleetState
from bulrushstream.coordination.forwarding import decide_retry
from bulrushstream.coordination.freshness import Freshness
from bulrushstream.coordination.retryquota import RetryQuota
from bulrushstream.daemon import forward
from bulrushstream.daemon.forward import Forward
from bulrushstream.history.routingcheck import run_routing_seed
from bulrushstream.history.violation import (
    RoutingViolationKind,
    ViolationKind,
)
from bulrushstream.state.events import EventSplitter

SEEDS: Final = range(40)
MUTATION_SEEDS: Final = range(40)

K = ViolationKind
R = RoutingViolationKind
Patch = Callable[[pytest.MonkeyPatch], None]


def returns(owner: type, name: str, value: Any = None) -> Patch:
    """Return a fault: a method that does nothing but return a value."""

    def patch(monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(owner, name, lambda *_, **__: value)

    return patch


def forgets_runs(monkeypatch: pytest.MonkeyPatch) -> None:
    """Take every request for one that no endpoint can have run."""
    right = decide_retry

    def forgetful(route: Any, progress: Any, *rest: Any, **more: Any) -> Any:
        return right(
            route, replace(progress, may_have_run=False), *rest, **more
        )

    monkeypatch.setattr(forward, "decide_retry", forgetful)


def splits_no_slack(monkeypatch: pytest.MonkeyPatch) -> None:
    """Give each router the whole fleet's slack."""
    right = RetryQuota.acquire

    def acquire(
        self: RetryQuota, service: str, now_s: float, routers: int
    ) -> bool:
        del routers
        return right(self, service, now_s, 1)

    monkeypatch.setattr(RetryQuota, "acquire", acquire)


def ignores_leaving(monkeypatch: pytest.MonkeyPatch) -> None:
    """Send to endpoints that leave."""

    def usable(
        self: EndpointPool,
        service: str,
        now_s: float,
        exclude: Iterable[str] = (),
    ) -> list[Endpoint]:
        del now_s
        found = self.by_service.get(service, {}).values()
        return [each for each in found if each.name not in exclude]

    monkeypatch.setattr(EndpointPool, "usable", usable)


def takes_any_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    """Pass on an answer with another request's id."""
    right = Forward.head

    def head(self: Forward, status: int, headers: Any) -> bool:
        own = (b"id", self.call.request_id.encode())
        rest = [pair for pair in headers if pair[0] != b"id"]
        return right(self, status, [own, *rest])

    monkeypatch.setattr(Forward, "head", head)


# Faults by name: how they are made, and what must show them.
FAULTS: Final[dict[str, tuple[Patch, set[K | R]]]] = {
    "forgets runs": (forgets_runs, {K.RUN_TWICE, K.FALSE_NOT_RUN}),
    "no retry budget": (returns(RetryQuota, "acquire", True), {R.OVER_BUDGET}),
    "slack for each": (splits_no_slack, {R.OVER_BUDGET}),
    "old keys": (returns(Freshness, "is_fresh_at", True), {R.REVOKED_KEY}),
    "sends to leaving": (ignores_leaving, {K.LATE_WORK}),
    "never ends": (returns(FleetState, "ended"), {R.LEFTOVER}),
    "repeats events": (returns(EventSplitter, "restart"), {K.GARBLED_ANSWER}),
    "works for nobody": (returns(Forward, "_caller_left"), {K.LATE_WORK}),
    "no timeout": (returns(Forward, "_deadline_expired"), {K.NO_ANSWER}),
    "foreign answer": (takes_any_answer, {K.GARBLED_ANSWER}),
}


class RoutingHistoriesSuite:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_right_routers_break_no_promise(self, seed: int) -> None:
        assert run_routing_seed(seed).violations == ()

    def test_a_seed_always_gives_the_same_history(self) -> None:
        first, second = run_routing_seed(7), run_routing_seed(7)
        assert first.history == second.history

    def test_every_kind_of_its_own_has_a_fault(self) -> None:
        covered = set().union(*(kinds for _, kinds in FAULTS.values()))
        assert set(R) <= covered

    @pytest.mark.parametrize("name", FAULTS)
    def test_a_fault_is_caught(
        self, name: str, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        patch, kinds = FAULTS[name]
        patch(monkeypatch)
        for seed in MUTATION_SEEDS:
            found = run_routing_seed(seed).violations
            if {violation.kind for violation in found} & kinds:
                return
        pytest.fail("No history showed the fault.")

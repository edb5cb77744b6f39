"""Faulty cores: each breaks one promise, and the checks must see it.

A mutation wraps a right core and changes what goes in or comes out, so
that it does not depend on how the core is written.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random
from typing import Final, TypeAlias

from bulrushstream.history.cores import (
    CoreFactories,
    Handle,
    RunningCore,
    StartCore,
)
from bulrushstream.history.endpoint import fingerprint_of
from bulrushstream.history.flood import flood_plan
from bulrushstream.history.generate import random_plan
from bulrushstream.history.plan import (
    Conditions,
    Crash,
    Drain,
    Plan,
    PlannedCall,
)
from bulrushstream.history.real import REAL_CORES
from bulrushstream.history.violation import ViolationKind
from bulrushstream.state.effect import (
    Effect,
    FailRequest,
    Reply,
    Send,
    StartRun,
)
from bulrushstream.state.event import (
    DrainStarted,
    Event,
    LogRead,
    MessageReceived,
    PeerLeaving,
    RequestArrived,
    RunEnd,
    TimerFired,
)
from bulrushstream.state.identity import InstanceInfo
from bulrushstream.state.message import (
    Dispatch,
    Gone,
    Goodbye,
    Part,
    PartKind,
    Pull,
    Refuse,
)
from bulrushstream.state.request import Outcome

Wrap: TypeAlias = Callable[[Handle], Handle]
K = ViolationKind


def storm(seed: int) -> Plan:
    """Return short calls at few slots, doubled and overtaken messages."""
    rng = Random(seed)
    calls = tuple(
        PlannedCall(
            at_s=rng.random() * 2.0,
            request_id=f"r{number}",
            router=number % 3,
            workspace="w1",
            run_s=0.02,
        )
        for number in range(120)
    )
    weather = Conditions(jitter_s=0.02, duplicated=0.5, reordered=0.5)
    return Plan(seed, 3, 2, 1, ("w1",), calls, conditions=weather)


def restarts(seed: int) -> Plan:
    """Return agents that start again while messages are under way."""
    rng = Random(seed)
    crashes = tuple(
        Crash(0.5 + rng.random() * 3.0, f"agent-{number % 2}", 0.01)
        for number in range(4)
    )
    weather = Conditions(
        delay_s=0.02,
        jitter_s=0.1,
        duplicated=0.8,
        reordered=0.8,
        stale_delivery=1.0,
    )
    return replace(storm(seed), faults=crashes, conditions=weather)


def drains(seed: int) -> Plan:
    """Return a drain under load."""
    calls = tuple(
        PlannedCall(number * 0.1, f"r{number}", 0, "w1", run_s=0.3)
        for number in range(100)
    )
    return Plan(seed, 1, 1, 2, ("w1",), calls, (Drain(2.0, "agent-0"),))


def same_keys(seed: int) -> Plan:
    """Return calls that repeat a key."""
    calls = tuple(
        PlannedCall(number * 0.1, f"r{number}", number, "w1", key="k")
        for number in range(6)
    )
    return Plan(seed, 2, 2, 2, ("w1",), calls)


@dataclass(frozen=True, slots=True)
class Mutation:
    """One faulty core."""

    name: str  # What it does wrong.
    cores: CoreFactories  # The cores with the fault.
    kinds: frozenset[ViolationKind]  # Any of these shows it.
    plan: Callable[[int], Plan] = random_plan  # Where it shows.


def wrapped(start: StartCore, wrap: Wrap) -> StartCore:
    """Return a start of a core whose handling is changed."""

    def begin(info: InstanceInfo, rng: Random, now_s: float) -> RunningCore:
        core = start(info, rng, now_s)
        return replace(core, handle=wrap(core.handle))

    return begin


def router(
    name: str,
    wrap: Wrap,
    *kinds: ViolationKind,
    plan: Callable[[int], Plan] = random_plan,
) -> Mutation:
    cores = replace(REAL_CORES, router=wrapped(REAL_CORES.router, wrap))
    return Mutation(name, cores, frozenset(kinds), plan)


def agent(
    name: str,
    wrap: Wrap,
    *kinds: ViolationKind,
    plan: Callable[[int], Plan] = random_plan,
) -> Mutation:
    cores = replace(REAL_CORES, agent=wrapped(REAL_CORES.agent, wrap))
    return Mutation(name, cores, frozenset(kinds), plan)


def both(
    name: str,
    wrap: Wrap,
    *kinds: ViolationKind,
    plan: Callable[[int], Plan] = random_plan,
) -> Mutation:
    cores = CoreFactories(
        wrapped(REAL_CORES.router, wrap), wrapped(REAL_CORES.agent, wrap)
    )
    return Mutation(name, cores, frozenset(kinds), plan)


def on_effects(change: Callable[[Effect], list[Effect]]) -> Wrap:
    """Return a wrap that replaces each effect."""

    def wrap(handle: Handle) -> Handle:
        def changed(event: Event, now_s: float) -> list[Effect]:
            effects = handle(event, now_s)
            return [new for old in effects for new in change(old)]

        return changed

    return wrap


def on_events(change: Callable[[Event], Event]) -> Wrap:
    """Return a wrap that replaces each event."""

    def wrap(handle: Handle) -> Handle:
        return lambda event, now_s: handle(change(event), now_s)

    return wrap


def start_twice(effect: Effect) -> list[Effect]:
    if isinstance(effect, StartRun):
        return [effect, effect]
    return [effect]


def forget_tombstones(handle: Handle) -> Handle:
    """Start a dispatch that comes after its refusal."""
    refused: set[tuple[str, int]] = set()

    def changed(event: Event, now_s: float) -> list[Effect]:
        effects = handle(event, now_s)
        started: list[Effect] = []
        match event:
            case MessageReceived(message=Dispatch() as dispatch):
                name = dispatch.request_id, dispatch.attempt
                if name in refused:
                    refused.discard(name)
                    started.append(StartRun(dispatch))
        for effect in effects:
            match effect:
                case Send(message=Gone(outcome=Outcome.NOT_RUN) as no):
                    refused.add((no.request_id, no.attempt))
                case Send(message=Refuse() as no):
                    refused.add((no.request_id, no.attempt))
        return effects + started

    return changed


def say_not_run(effect: Effect) -> list[Effect]:
    if isinstance(effect, FailRequest):
        return [replace(effect, outcome=Outcome.NOT_RUN)]
    return [effect]


def say_whole(effect: Effect) -> list[Effect]:
    match effect:
        case Reply(part=Part(kind=PartKind.END) as part):
            return [replace(effect, part=replace(part, whole=True))]
    return [effect]


def drop_failures(effect: Effect) -> list[Effect]:
    return [] if isinstance(effect, FailRequest) else [effect]


def repeat_bytes(effect: Effect) -> list[Effect]:
    match effect:
        case Reply(part=Part(kind=PartKind.BODY)):
            return [effect, effect]
    return [effect]


def keep_arrival_order(handle: Handle) -> Handle:
    """Give parts on as they come, without putting them in order."""
    numbers: dict[tuple[str, int], int] = {}

    def changed(event: Event, now_s: float) -> list[Effect]:
        match event:
            case MessageReceived(message=Part() as part):
                name = part.request_id, part.attempt
                numbers[name] = numbers.get(name, -1) + 1
                part = replace(part, sequence=numbers[name])
                event = replace(event, message=part)
        return handle(event, now_s)

    return changed


def ignore_leaving(event: Event) -> Event:
    match event:
        case (
            DrainStarted() | PeerLeaving() | MessageReceived(message=Goodbye())
        ):
            return TimerFired()
    return event


def serve_one_workspace(event: Event) -> Event:
    match event:
        case MessageReceived(message=Pull() as pull):
            return replace(event, message=replace(pull, workspace="w1"))
    return event


def claim_all_not_run(event: Event) -> Event:
    match event:
        case RunEnd(complete=False):
            return replace(event, started=False)
    return event


def ignore_keys(event: Event) -> Event:
    match event:
        case RequestArrived(request):
            return RequestArrived(replace(request, idempotency_key=""))
    return event


def tell_no_likeness(event: Event) -> Event:
    """Take each request for one of a kind, so that none is a suspect."""
    match event:
        case RequestArrived(request):
            own = fingerprint_of(
                PlannedCall(0.0, request.request_id, 0, request.workspace)
            )
            return RequestArrived(replace(request, fingerprint=own))
    return event


def forget_crashes(event: Event) -> Event:
    match event:
        case MessageReceived(message=Part(kind=PartKind.END) as part):
            return replace(event, message=replace(part, crashed=False))
        case LogRead(stream="strikes"):
            return replace(event, records=())
    return event


def run_beside(effect: Effect) -> list[Effect]:
    """Let suspects run beside other requests."""
    match effect:
        case Send(message=Dispatch(alone=True) as dispatch):
            message = replace(dispatch, alone=False)
            return [replace(effect, message=message)]
    return [effect]


def start_any_incarnation(
    info: InstanceInfo, rng: Random, now_s: float
) -> RunningCore:
    """Start an agent that takes dispatches for any start of it."""
    core = REAL_CORES.agent(info, rng, now_s)

    def changed(event: Event, at_s: float) -> list[Effect]:
        match event:
            case MessageReceived(message=Dispatch() as dispatch):
                mine = info.key.incarnation
                message = replace(dispatch, incarnation=mine)
                event = replace(event, message=message)
        return core.handle(event, at_s)

    return replace(core, handle=changed)


def stop_at_once(info: InstanceInfo, rng: Random, now_s: float) -> RunningCore:
    """Start an agent that ends under its runs."""
    core = REAL_CORES.agent(info, rng, now_s)
    return replace(core, is_idle=lambda: True)


MUTATIONS: Final = (
    agent("start each run twice", on_effects(start_twice), K.RUN_TWICE),
    agent(
        "forget tombstones",
        forget_tombstones,
        K.RUN_TWICE,
        K.FALSE_NOT_RUN,
        plan=storm,
    ),
    agent(
        "call every broken run not started",
        on_events(claim_all_not_run),
        K.FALSE_NOT_RUN,
        K.RUN_TWICE,
    ),
    Mutation(
        "accept dispatches for an earlier start",
        replace(REAL_CORES, agent=start_any_incarnation),
        frozenset({K.RUN_TWICE, K.FALSE_NOT_RUN}),
        restarts,
    ),
    both(
        "ignore who is leaving",
        on_events(ignore_leaving),
        K.LATE_WORK,
        plan=drains,
    ),
    Mutation(
        "stop under running requests",
        replace(REAL_CORES, agent=stop_at_once),
        frozenset({K.CUT_REQUEST}),
    ),
    router(
        "say not-run of every failure",
        on_effects(say_not_run),
        K.FALSE_NOT_RUN,
    ),
    router("say whole at every end", on_effects(say_whole), K.TRUNCATED_WHOLE),
    router("forget to refuse", on_effects(drop_failures), K.NO_ANSWER),
    router("repeat bytes", on_effects(repeat_bytes), K.GARBLED_ANSWER),
    router(
        "give parts on as they arrive",
        keep_arrival_order,
        K.GARBLED_ANSWER,
        K.TRUNCATED_WHOLE,
    ),
    router("ignore keys", on_events(ignore_keys), K.RUN_TWICE, plan=same_keys),
    router(
        "serve one workspace only",
        on_events(serve_one_workspace),
        K.UNFAIR,
        plan=flood_plan,
    ),
    router(
        "run copies of a suspect side by side",
        on_events(tell_no_likeness),
        K.CRASH_BOUND,
    ),
    router("forget crashes", on_events(forget_crashes), K.CRASH_BOUND),
)

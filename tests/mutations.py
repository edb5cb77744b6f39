"""Faulty cores that the history checks must detect.

A mutation wraps a correct core and changes its events or its effects, so
that it does not depend on the core's implementation.
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

HandleWrapper: TypeAlias = Callable[[Handle], Handle]
K = ViolationKind


def unreliable_network_plan(seed: int) -> Plan:
    """Return calls for few slots, with duplicate and reordered messages."""
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
    conditions = Conditions(jitter_s=0.02, duplicated=0.5, reordered=0.5)
    return Plan(seed, 3, 2, 1, ("w1",), calls, conditions=conditions)


def restart_plan(seed: int) -> Plan:
    """Return agents that restart while messages are in flight."""
    rng = Random(seed)
    crashes = tuple(
        Crash(0.5 + rng.random() * 3.0, f"agent-{number % 2}", 0.01)
        for number in range(4)
    )
    conditions = Conditions(
        delay_s=0.02,
        jitter_s=0.1,
        duplicated=0.8,
        reordered=0.8,
        stale_delivery=1.0,
    )
    return replace(
        unreliable_network_plan(seed), faults=crashes, conditions=conditions
    )


def drain_plan(seed: int) -> Plan:
    """Return an agent that drains under load."""
    calls = tuple(
        PlannedCall(number * 0.1, f"r{number}", 0, "w1", run_s=0.3)
        for number in range(100)
    )
    return Plan(seed, 1, 1, 2, ("w1",), calls, (Drain(2.0, "agent-0"),))


def same_key_plan(seed: int) -> Plan:
    """Return calls that share an idempotency key."""
    calls = tuple(
        PlannedCall(number * 0.1, f"r{number}", number, "w1", key="k")
        for number in range(6)
    )
    return Plan(seed, 2, 2, 2, ("w1",), calls)


@dataclass(frozen=True, slots=True)
class Mutation:
    """Cores with one fault."""

    name: str  # Describes the fault.
    cores: CoreFactories  # Factories of the faulty cores.
    kinds: frozenset[ViolationKind]  # One of these must be reported.
    make_plan: Callable[[int], Plan] = random_plan  # Makes a plan from a seed.


def wrap_core(start: StartCore, wrap: HandleWrapper) -> StartCore:
    """Return a core factory whose cores have a wrapped handler."""

    def begin(info: InstanceInfo, rng: Random, now_s: float) -> RunningCore:
        core = start(info, rng, now_s)
        return replace(core, handle=wrap(core.handle))

    return begin


def mutate_router(
    name: str,
    wrap: HandleWrapper,
    *kinds: ViolationKind,
    make_plan: Callable[[int], Plan] = random_plan,
) -> Mutation:
    cores = replace(REAL_CORES, router=wrap_core(REAL_CORES.router, wrap))
    return Mutation(name, cores, frozenset(kinds), make_plan)


def mutate_agent(
    name: str,
    wrap: HandleWrapper,
    *kinds: ViolationKind,
    make_plan: Callable[[int], Plan] = random_plan,
) -> Mutation:
    cores = replace(REAL_CORES, agent=wrap_core(REAL_CORES.agent, wrap))
    return Mutation(name, cores, frozenset(kinds), make_plan)


def mutate_both(
    name: str,
    wrap: HandleWrapper,
    *kinds: ViolationKind,
    make_plan: Callable[[int], Plan] = random_plan,
) -> Mutation:
    cores = CoreFactories(
        wrap_core(REAL_CORES.router, wrap), wrap_core(REAL_CORES.agent, wrap)
    )
    return Mutation(name, cores, frozenset(kinds), make_plan)


def map_effects(change: Callable[[Effect], list[Effect]]) -> HandleWrapper:
    """Return a wrapper that replaces each effect."""

    def wrap(handle: Handle) -> Handle:
        def changed(event: Event, now_s: float) -> list[Effect]:
            effects = handle(event, now_s)
            return [new for old in effects for new in change(old)]

        return changed

    return wrap


def map_events(change: Callable[[Event], Event]) -> HandleWrapper:
    """Return a wrapper that replaces each event."""

    def wrap(handle: Handle) -> Handle:
        return lambda event, now_s: handle(change(event), now_s)

    return wrap


def start_twice(effect: Effect) -> list[Effect]:
    if isinstance(effect, StartRun):
        return [effect, effect]
    return [effect]


def forget_tombstones(handle: Handle) -> Handle:
    """Start a dispatch that arrives after its attempt was refused."""
    refused: set[tuple[str, int]] = set()

    def changed(event: Event, now_s: float) -> list[Effect]:
        effects = handle(event, now_s)
        started: list[Effect] = []
        match event:
            case MessageReceived(message=Dispatch() as dispatch):
                attempt = dispatch.request_id, dispatch.attempt
                if attempt in refused:
                    refused.discard(attempt)
                    started.append(StartRun(dispatch))
        for effect in effects:
            match effect:
                case Send(message=Gone(outcome=Outcome.NOT_RUN) as refusal):
                    refused.add((refusal.request_id, refusal.attempt))
                case Send(message=Refuse() as refusal):
                    refused.add((refusal.request_id, refusal.attempt))
        return effects + started

    return changed


def report_not_run(effect: Effect) -> list[Effect]:
    if isinstance(effect, FailRequest):
        return [replace(effect, outcome=Outcome.NOT_RUN)]
    return [effect]


def report_complete(effect: Effect) -> list[Effect]:
    match effect:
        case Reply(part=Part(kind=PartKind.END) as part):
            return [replace(effect, part=replace(part, whole=True))]
    return [effect]


def drop_failures(effect: Effect) -> list[Effect]:
    return [] if isinstance(effect, FailRequest) else [effect]


def duplicate_body_parts(effect: Effect) -> list[Effect]:
    match effect:
        case Reply(part=Part(kind=PartKind.BODY)):
            return [effect, effect]
    return [effect]


def keep_arrival_order(handle: Handle) -> Handle:
    """Renumber parts as they arrive, so that late ones are not sorted."""
    last_sequences: dict[tuple[str, int], int] = {}

    def changed(event: Event, now_s: float) -> list[Effect]:
        match event:
            case MessageReceived(message=Part() as part):
                attempt = part.request_id, part.attempt
                last_sequences[attempt] = last_sequences.get(attempt, -1) + 1
                part = replace(part, sequence=last_sequences[attempt])
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


def report_broken_runs_not_started(event: Event) -> Event:
    match event:
        case RunEnd(complete=False):
            return replace(event, started=False)
    return event


def ignore_keys(event: Event) -> Event:
    match event:
        case RequestArrived(request):
            return RequestArrived(replace(request, idempotency_key=""))
    return event


def make_fingerprints_unique(event: Event) -> Event:
    """Give each request its own fingerprint, so that none is a suspect."""
    match event:
        case RequestArrived(request):
            unique = fingerprint_of(
                PlannedCall(0.0, request.request_id, 0, request.workspace)
            )
            return RequestArrived(replace(request, fingerprint=unique))
    return event


def forget_crashes(event: Event) -> Event:
    match event:
        case MessageReceived(message=Part(kind=PartKind.END) as part):
            return replace(event, message=replace(part, crashed=False))
        case LogRead(stream="strikes"):
            return replace(event, records=())
    return event


def run_suspects_concurrently(effect: Effect) -> list[Effect]:
    """Run suspected requests concurrently with other requests."""
    match effect:
        case Send(message=Dispatch(alone=True) as dispatch):
            message = replace(dispatch, alone=False)
            return [replace(effect, message=message)]
    return [effect]


def start_ignoring_incarnation(
    info: InstanceInfo, rng: Random, now_s: float
) -> RunningCore:
    """Start an agent that accepts dispatches for other incarnations."""
    core = REAL_CORES.agent(info, rng, now_s)

    def changed(event: Event, at_s: float) -> list[Effect]:
        match event:
            case MessageReceived(message=Dispatch() as dispatch):
                incarnation = info.key.incarnation
                message = replace(dispatch, incarnation=incarnation)
                event = replace(event, message=message)
        return core.handle(event, at_s)

    return replace(core, handle=changed)


def start_always_idle(
    info: InstanceInfo, rng: Random, now_s: float
) -> RunningCore:
    """Start an agent that stops during its runs when it drains."""
    core = REAL_CORES.agent(info, rng, now_s)
    return replace(core, is_idle=lambda: True)


MUTATIONS: Final = (
    mutate_agent(
        "start each run twice", map_effects(start_twice), K.RUN_TWICE
    ),
    mutate_agent(
        "forget tombstones",
        forget_tombstones,
        K.RUN_TWICE,
        K.FALSE_NOT_RUN,
        make_plan=unreliable_network_plan,
    ),
    mutate_agent(
        "call every broken run not started",
        map_events(report_broken_runs_not_started),
        K.FALSE_NOT_RUN,
        K.RUN_TWICE,
    ),
    Mutation(
        "accept dispatches for an earlier start",
        replace(REAL_CORES, agent=start_ignoring_incarnation),
        frozenset({K.RUN_TWICE, K.FALSE_NOT_RUN}),
        restart_plan,
    ),
    mutate_both(
        "ignore who is leaving",
        map_events(ignore_leaving),
        K.LATE_WORK,
        make_plan=drain_plan,
    ),
    Mutation(
        "stop under running requests",
        replace(REAL_CORES, agent=start_always_idle),
        frozenset({K.CUT_REQUEST}),
    ),
    mutate_router(
        "say not-run of every failure",
        map_effects(report_not_run),
        K.FALSE_NOT_RUN,
    ),
    mutate_router(
        "say whole at every end",
        map_effects(report_complete),
        K.TRUNCATED_WHOLE,
    ),
    mutate_router("forget to refuse", map_effects(drop_failures), K.NO_ANSWER),
    mutate_router(
        "repeat bytes", map_effects(duplicate_body_parts), K.GARBLED_ANSWER
    ),
    mutate_router(
        "give parts on as they arrive",
        keep_arrival_order,
        K.GARBLED_ANSWER,
        K.TRUNCATED_WHOLE,
    ),
    mutate_router(
        "ignore keys",
        map_events(ignore_keys),
        K.RUN_TWICE,
        make_plan=same_key_plan,
    ),
    mutate_router(
        "serve one workspace only",
        map_events(serve_one_workspace),
        K.UNFAIR,
        make_plan=flood_plan,
    ),
    mutate_router(
        "run copies of a suspect side by side",
        map_events(make_fingerprints_unique),
        K.CRASH_BOUND,
    ),
    mutate_router("forget crashes", map_events(forget_crashes), K.CRASH_BOUND),
)

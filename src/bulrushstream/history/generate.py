"""Random plans: the same seed always gives the same plan."""

from __future__ import annotations

from dataclasses import replace
from random import Random
from typing import Final

from bulrushstream.history.flood import IDLE_BOUND_S, flood_plan
from bulrushstream.history.plan import (
    Crash,
    Cut,
    Drain,
    Fault,
    LogOutage,
    Pause,
    Plan,
    PlannedCall,
    RunFault,
    Weather,
)

FAULTS_END_S: Final = 12.0  # Planned faults are over by then.
CALM_S: Final = 20.0  # When the last pause or outage is over.
LATE_CALLS_S: Final = 26.0  # When calls come that meet no faults.
END_S: Final = 62.0  # When every deadline has passed.
LATE_WORK_S: Final = 10.0  # Their work for each slot, at most.
TIMEOUT_S: Final = 25.0  # How long callers wait.
MAX_DOWN_S: Final = 4.0  # The longest time that an instance is down.
MAX_PAUSE_S: Final = 5.0  # The longest pause.
MAX_CUT_S: Final = 7.0  # The longest time without a connection.
FLOOD_EVERY: Final = 20  # One plan in so many is a flood.
LOSSY_IDLE_BOUND_S: Final = 0.3  # After messages were lost.
POISON: Final = b"poison"  # The body of calls that crash endpoints.


def random_plan(seed: int) -> Plan:
    """Return the plan of a seed.

    :param seed: any number.
    :returns: the plan; every twentieth is a flood without faults.
    """
    if seed % FLOOD_EVERY == FLOOD_EVERY - 1:
        return flood_plan(seed)
    rng = Random(seed)
    plan = Plan(
        seed=seed,
        routers=rng.randint(1, 3),
        agents=rng.randint(1, 4),
        slots=rng.randint(1, 3),
        weather=_random_weather(rng),
        calm_s=CALM_S,
        end_s=END_S,
        sure_s=LATE_CALLS_S,
    )
    calls = _random_calls(rng, plan)
    calls += _poison_calls(rng, plan) if rng.random() < 0.25 else ()
    faults = _random_faults(rng, plan)
    disturbed = any(call.fault is not RunFault.NONE for call in calls)
    calls += _late_calls(rng, plan)
    bound_s = None if disturbed else _idle_bound_s(plan)
    return replace(plan, calls=calls, faults=faults, idle_bound_s=bound_s)


def _random_weather(rng: Random) -> Weather:
    """Return how messages and the log behave until faults end."""
    weather = Weather(
        jitter_s=rng.choice((0.0, 0.002, 0.02)),
        log_delay_s=rng.choice((0.002, 0.02, 0.2)),
        log_lost_answers=rng.choice((0.0, 0.0, 0.3)),
        false_losses=rng.random() < 0.3,
    )
    if rng.random() < 0.6:
        return weather
    return replace(
        weather,
        loss=rng.choice((0.0, 0.02, 0.1)),
        doubled=rng.choice((0.0, 0.05, 0.2)),
        reordered=rng.choice((0.0, 0.1, 0.5)),
        strays=rng.choice((0.0, 0.5)),
    )


def _idle_bound_s(plan: Plan) -> float:
    """Return the bound of a plan; what was lost is told again later."""
    if plan.weather.loss or plan.weather.reordered:
        return LOSSY_IDLE_BOUND_S
    return IDLE_BOUND_S


def _random_calls(rng: Random, plan: Plan) -> tuple[PlannedCall, ...]:
    """Return the calls that come while things fail."""
    with_keys = rng.random() < 0.3
    with_run_faults = rng.random() < 0.3
    calls = []
    for number in range(rng.randint(5, 50)):
        call = _random_call(rng, plan, f"r{number}", FAULTS_END_S)
        if with_keys and rng.random() < 0.4:
            call = replace(call, key=f"k{rng.randint(1, 6)}", body=b"keyed")
        if with_run_faults and rng.random() < 0.2:
            faults = (RunFault.BREAK, RunFault.REFUSE)
            call = replace(call, fault=rng.choice(faults))
        if rng.random() < 0.05:
            call = replace(call, leaves_s=rng.random() * 3.0)
        calls.append(call)
    return tuple(calls)


def _random_call(
    rng: Random, plan: Plan, request_id: str, until_s: float
) -> PlannedCall:
    """Return one call without faults."""
    return PlannedCall(
        at_s=rng.random() * until_s,
        request_id=request_id,
        router=rng.randrange(plan.routers),
        workspace=rng.choice(plan.workspaces),
        idempotent=rng.random() < 0.4,
        interactive=rng.random() < 0.3,
        run_s=rng.choice((0.01, 0.1, 0.5, 2.0)),
        pieces=rng.choice((1, 3, 12)),
        timeout_s=TIMEOUT_S,
    )


def _poison_calls(rng: Random, plan: Plan) -> tuple[PlannedCall, ...]:
    """Return one request that crashes endpoints, sent again and again."""
    idempotent = rng.random() < 0.5
    return tuple(
        replace(
            _random_call(rng, plan, f"p{number}", CALM_S),
            workspace=plan.workspaces[0],
            idempotent=idempotent,
            body=POISON,
            fault=RunFault.CRASH,
            run_s=rng.choice((0.01, 0.1, 0.5)),
        )
        for number in range(rng.randint(1, 25))
    )


def _late_calls(rng: Random, plan: Plan) -> tuple[PlannedCall, ...]:
    """Return the calls that come when faults are over."""
    calls = []
    left_s = LATE_WORK_S * plan.agents * plan.slots
    for number in range(rng.randint(5, 30)):
        call = _random_call(rng, plan, f"late{number}", 3.0)
        left_s -= call.run_s
        if left_s < 0.0:
            break
        calls.append(replace(call, at_s=LATE_CALLS_S + call.at_s))
    return tuple(calls)


def _random_faults(rng: Random, plan: Plan) -> tuple[Fault, ...]:
    """Return what fails."""
    count = rng.choice((0, 1, 2, 4, 8))
    return tuple(_random_fault(rng, plan) for _ in range(count))


def _random_fault(rng: Random, plan: Plan) -> Fault:
    """Return one fault."""
    routers = [f"router-{number}" for number in range(plan.routers)]
    agents = [f"agent-{number}" for number in range(plan.agents)]
    names = routers + agents
    at_s = rng.random() * FAULTS_END_S
    name = rng.choice(names)
    match rng.randrange(6):
        case 0:
            return Crash(at_s, name, 0.1 + rng.random() * MAX_DOWN_S)
        case 1:
            return Pause(at_s, name, 0.1 + rng.random() * MAX_PAUSE_S)
        case 2:
            return Cut(at_s, name, "", rng.random() * MAX_CUT_S)
        case 3:
            for_s = rng.random() * MAX_CUT_S
            return Cut(at_s, rng.choice(routers), rng.choice(names), for_s)
        case 4:
            return LogOutage(at_s, 0.5 + rng.random() * MAX_CUT_S)
        case _:
            return Drain(at_s, name)

"""Random plans: the same seed always gives the same plan."""

from __future__ import annotations

from dataclasses import replace
from random import Random
from typing import Final

from bulrushstream.history.flood import IDLE_BOUND_S, flood_plan
from bulrushstream.history.plan import (
    Conditions,
    ConnectionCut,
    Crash,
    Drain,
    Fault,
    LogOutage,
    Pause,
    Plan,
    PlannedCall,
    RunFault,
)

LAST_FAULT_S: Final = 12.0  # Faults and the first calls begin before.
FAULT_EFFECTS_END_S: Final = 20.0  # The last pause or outage has ended.
FAULT_FREE_CALLS_S: Final = 26.0  # Later calls meet no faults.
END_S: Final = 62.0  # Every deadline has passed.
MAX_FAULT_FREE_WORK_S: Final = 10.0  # Maximum work of these calls per slot.
TIMEOUT_S: Final = 25.0  # Callers' timeout.
MAX_DOWN_S: Final = 4.0  # Maximum time until a restart, beyond 0.1 s.
MAX_PAUSE_S: Final = 5.0  # Maximum length of a pause, beyond 0.1 s.
MAX_CUT_S: Final = 7.0  # Maximum of a cut; log outages add 0.5 s.
FLOOD_EVERY: Final = 20  # One in this many plans is a flood.
LOSSY_IDLE_BOUND_S: Final = 0.3  # With lost or reordered messages.
CRASHING_BODY: Final = b"poison"  # Body of calls that crash endpoints.


def random_plan(seed: int) -> Plan:
    """Generate the plan of a seed.

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
        conditions=_random_conditions(rng),
        faults_end_s=FAULT_EFFECTS_END_S,
        end_s=END_S,
        must_succeed_from_s=FAULT_FREE_CALLS_S,
    )
    calls = _random_calls(rng, plan)
    calls += _crashing_calls(rng, plan) if rng.random() < 0.25 else ()
    faults = _random_faults(rng, plan)
    has_run_faults = any(call.fault is not RunFault.NONE for call in calls)
    calls += _fault_free_calls(rng, plan)
    bound_s = None if has_run_faults else _idle_bound_s(plan)
    return replace(plan, calls=calls, faults=faults, idle_bound_s=bound_s)


def _random_conditions(rng: Random) -> Conditions:
    """Generate the conditions of messages and the log."""
    conditions = Conditions(
        jitter_s=rng.choice((0.0, 0.002, 0.02)),
        log_delay_s=rng.choice((0.002, 0.02, 0.2)),
        log_lost_replies=rng.choice((0.0, 0.0, 0.3)),
        false_losses=rng.random() < 0.3,
    )
    if rng.random() < 0.6:
        return conditions
    return replace(
        conditions,
        loss=rng.choice((0.0, 0.02, 0.1)),
        duplicated=rng.choice((0.0, 0.05, 0.2)),
        reordered=rng.choice((0.0, 0.1, 0.5)),
        stale_delivery=rng.choice((0.0, 0.5)),
    )


def _idle_bound_s(plan: Plan) -> float:
    """Return the bound on idle slots; lost updates are resent later."""
    if plan.conditions.loss or plan.conditions.reordered:
        return LOSSY_IDLE_BOUND_S
    return IDLE_BOUND_S


def _random_calls(rng: Random, plan: Plan) -> tuple[PlannedCall, ...]:
    """Generate the calls of the time with faults."""
    with_keys = rng.random() < 0.3
    with_run_faults = rng.random() < 0.3
    calls = []
    for number in range(rng.randint(5, 50)):
        call = _random_call(rng, plan, f"r{number}", LAST_FAULT_S)
        if with_keys and rng.random() < 0.4:
            call = replace(call, key=f"k{rng.randint(1, 6)}", body=b"keyed")
        if with_run_faults and rng.random() < 0.2:
            faults = (RunFault.BREAK, RunFault.REFUSE)
            call = replace(call, fault=rng.choice(faults))
        if rng.random() < 0.05:
            call = replace(call, disconnects_after_s=rng.random() * 3.0)
        calls.append(call)
    return tuple(calls)


def _random_call(
    rng: Random, plan: Plan, request_id: str, until_s: float
) -> PlannedCall:
    """Generate one call without faults."""
    return PlannedCall(
        at_s=rng.random() * until_s,
        request_id=request_id,
        router=rng.randrange(plan.routers),
        workspace=rng.choice(plan.workspaces),
        idempotent=rng.random() < 0.4,
        interactive=rng.random() < 0.3,
        run_s=rng.choice((0.01, 0.1, 0.5, 2.0)),
        chunks=rng.choice((1, 3, 12)),
        timeout_s=TIMEOUT_S,
    )


def _crashing_calls(rng: Random, plan: Plan) -> tuple[PlannedCall, ...]:
    """Generate calls of one request that crashes endpoints."""
    idempotent = rng.random() < 0.5
    return tuple(
        replace(
            _random_call(rng, plan, f"p{number}", FAULT_EFFECTS_END_S),
            workspace=plan.workspaces[0],
            idempotent=idempotent,
            body=CRASHING_BODY,
            fault=RunFault.CRASH,
            run_s=rng.choice((0.01, 0.1, 0.5)),
        )
        for number in range(rng.randint(1, 25))
    )


def _fault_free_calls(rng: Random, plan: Plan) -> tuple[PlannedCall, ...]:
    """Generate the calls after all faults have ended."""
    calls = []
    remaining_work_s = MAX_FAULT_FREE_WORK_S * plan.agents * plan.slots
    for number in range(rng.randint(5, 30)):
        call = _random_call(rng, plan, f"late{number}", 3.0)
        remaining_work_s -= call.run_s
        if remaining_work_s < 0.0:
            break
        calls.append(replace(call, at_s=FAULT_FREE_CALLS_S + call.at_s))
    return tuple(calls)


def _random_faults(rng: Random, plan: Plan) -> tuple[Fault, ...]:
    """Generate the faults of instances, connections and the log."""
    count = rng.choice((0, 1, 2, 4, 8))
    return tuple(_random_fault(rng, plan) for _ in range(count))


def _random_fault(rng: Random, plan: Plan) -> Fault:
    """Generate one fault."""
    routers = [f"router-{number}" for number in range(plan.routers)]
    agents = [f"agent-{number}" for number in range(plan.agents)]
    names = routers + agents
    at_s = rng.random() * LAST_FAULT_S
    name = rng.choice(names)
    match rng.randrange(6):
        case 0:
            return Crash(at_s, name, 0.1 + rng.random() * MAX_DOWN_S)
        case 1:
            return Pause(at_s, name, 0.1 + rng.random() * MAX_PAUSE_S)
        case 2:
            return ConnectionCut(at_s, name, "", rng.random() * MAX_CUT_S)
        case 3:
            duration_s = rng.random() * MAX_CUT_S
            return ConnectionCut(
                at_s, rng.choice(routers), rng.choice(names), duration_s
            )
        case 4:
            return LogOutage(at_s, 0.5 + rng.random() * MAX_CUT_S)
        case _:
            return Drain(at_s, name)

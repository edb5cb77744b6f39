"""Carry out a plan in virtual time and check the history that it gives."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from bulrushstream.history import mishaps
from bulrushstream.history.checker import check_history
from bulrushstream.history.cores import Cores
from bulrushstream.history.fleet import Fleet, TraceStep
from bulrushstream.history.plan import (
    Crash,
    Cut,
    Drain,
    Fault,
    LogOutage,
    Pause,
    Plan,
    PlannedCall,
)
from bulrushstream.history.record import Record
from bulrushstream.history.timeline import Action
from bulrushstream.history.violation import CheckLimits, Violation

GRACE_S: Final = 3.0  # A paused router answers when it goes on.
SETTLE_S: Final = 3.0  # From the end of faults until slots must be used.


@dataclass(frozen=True, slots=True)
class Run:
    """What came of a plan."""

    plan: Plan  # What was done.
    steps: int  # How many actions the timeline ran.
    history: tuple[Record, ...]  # What callers and endpoints saw.
    violations: tuple[Violation, ...]  # What the history broke.
    trace: tuple[TraceStep, ...]  # Every step, if it was wanted.


def run_plan(plan: Plan, cores: Cores, *, with_trace: bool = False) -> Run:
    """Carry out a plan and check its history.

    :param plan: what to do.
    :param cores: how to start the cores.
    :param with_trace: whether to keep every step.
    :returns: the run, with its violations.
    """
    fleet = Fleet(plan, cores, with_trace=with_trace)
    for call in plan.calls:
        fleet.timeline.after(call.at_s, _caller(fleet, call))
    for fault in plan.faults:
        fleet.timeline.after(fault.at_s, _breaker(fleet, fault))
    fleet.timeline.after(plan.calm_s, fleet.settle)
    if plan.idle_bound_s is not None:
        fleet.timeline.after(plan.calm_s + SETTLE_S, _watcher(fleet))
    fleet.timeline.run_until(plan.end_s)
    limits = limits_of(plan)
    violations = check_history(fleet.history, limits)
    return Run(
        plan,
        fleet.timeline.steps,
        tuple(fleet.history),
        tuple(violations),
        tuple(fleet.trace or ()),
    )


def limits_of(plan: Plan) -> CheckLimits:
    """Return the limits that a plan's history must keep.

    :param plan: the plan.
    :returns: the limits.
    """
    return CheckLimits(
        answer_grace_s=GRACE_S,
        calm_s=plan.sure_s,
        idle_bound_s=plan.idle_bound_s,
        fairness_gap=plan.fairness_gap,
    )


def _caller(fleet: Fleet, call: PlannedCall) -> Action:
    """Return the action that sends a call."""
    return lambda: fleet.call(call)


def _watcher(fleet: Fleet) -> Action:
    """Return the action that begins to watch for idle slots."""

    def watch() -> None:
        """Count free slots from now on."""
        fleet.census.watch_supply = True

    return watch


def _breaker(fleet: Fleet, fault: Fault) -> Action:
    """Return the action that brings a fault about."""
    match fault:
        case Crash():
            return lambda: mishaps.crash(fleet, fault.instance, fault.down_s)
        case Pause():
            return lambda: mishaps.pause(fleet, fault.instance, fault.for_s)
        case Cut():
            return lambda: mishaps.cut(
                fleet, fault.instance, fault.other, fault.for_s
            )
        case LogOutage():
            return lambda: fleet.store.outage(fault.for_s)
        case Drain():
            return lambda: mishaps.drain(fleet, fault.instance)

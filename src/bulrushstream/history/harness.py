"""Run a plan in virtual time and check its history."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from bulrushstream.history import instancefaults
from bulrushstream.history.checker import check_history
from bulrushstream.history.cores import CoreFactories
from bulrushstream.history.fleet import Fleet, TraceStep
from bulrushstream.history.plan import (
    ConnectionCut,
    Crash,
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

ANSWER_GRACE_S: Final = 3.0  # A paused router answers late, when it resumes.
IDLE_CHECK_DELAY_S: Final = 3.0  # From the end of faults to the idle check.


@dataclass(frozen=True, slots=True)
class Run:
    """The result of running a plan."""

    plan: Plan
    steps: int  # Number of actions that the timeline ran.
    history: tuple[Record, ...]  # By time.
    violations: tuple[Violation, ...]  # Sorted.
    trace: tuple[TraceStep, ...]  # Every step; empty if not recorded.


def run_plan(
    plan: Plan, cores: CoreFactories, *, with_trace: bool = False
) -> Run:
    """Run a plan and check its history.

    :param plan: the plan to run.
    :param cores: starts the cores.
    :param with_trace: whether to record every step.
    :returns: the run, with its violations.
    """
    fleet = Fleet(plan, cores, with_trace=with_trace)
    for call in plan.calls:
        fleet.timeline.schedule(call.at_s, _call_action(fleet, call))
    for fault in plan.faults:
        fleet.timeline.schedule(fault.at_s, _fault_action(fleet, fault))
    fleet.timeline.schedule(plan.faults_end_s, fleet.end_faults)
    if plan.idle_bound_s is not None:
        fleet.timeline.schedule(
            plan.faults_end_s + IDLE_CHECK_DELAY_S, _idle_check_action(fleet)
        )
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
    """Return the limits that a plan's history is checked against.

    :param plan: the plan.
    :returns: the limits.
    """
    return CheckLimits(
        answer_grace_s=ANSWER_GRACE_S,
        must_succeed_from_s=plan.must_succeed_from_s,
        idle_bound_s=plan.idle_bound_s,
        fairness_gap=plan.fairness_gap,
    )


def _call_action(fleet: Fleet, call: PlannedCall) -> Action:
    """Return the action that sends a call."""
    return lambda: fleet.send_call(call)


def _idle_check_action(fleet: Fleet) -> Action:
    """Return the action that starts the check for idle slots."""

    def enable() -> None:
        """Record free slots from now on."""
        fleet.load.enabled = True

    return enable


def _fault_action(fleet: Fleet, fault: Fault) -> Action:
    """Return the action that begins a fault."""
    match fault:
        case Crash():
            return lambda: instancefaults.crash(
                fleet, fault.instance, fault.down_s
            )
        case Pause():
            return lambda: instancefaults.pause(
                fleet, fault.instance, fault.duration_s
            )
        case ConnectionCut():
            return lambda: instancefaults.cut(
                fleet, fault.instance, fault.other, fault.duration_s
            )
        case LogOutage():
            return lambda: fleet.store.begin_outage(fault.duration_s)
        case Drain():
            return lambda: instancefaults.begin_drain(fleet, fault.instance)

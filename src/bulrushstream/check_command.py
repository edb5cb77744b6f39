"""Check random histories for a given time.

On a failure, the seed, the violations, the smallest plan that still fails
and the steps of the cores in that plan are printed.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Final, TypeAlias

from bulrushstream.history.cores import CoreFactories
from bulrushstream.history.fleet import TraceStep
from bulrushstream.history.generate import random_plan
from bulrushstream.history.harness import Run, run_plan
from bulrushstream.history.plan import Plan
from bulrushstream.history.real import REAL_CORES
from bulrushstream.history.routingcheck import RoutingRun, run_routing_plan
from bulrushstream.history.routingplan import (
    RoutingPlan,
    random_routing_plan,
)
from bulrushstream.history.shrink import (
    MAX_TRIALS,
    shrink,
    shrink_routing,
)
from bulrushstream.state.effect import Decision, WakeAt
from bulrushstream.state.event import TimerFired
from bulrushstream.state.message import (
    Backlog,
    Digest,
    Served,
)

MAX_TRACE_LINES: Final = 200  # Steps that are shown for a failure.
MAX_VALUE_CHARS: Final = 160  # Longer values are truncated.

Print: TypeAlias = Callable[[str], None]
Clock: TypeAlias = Callable[[], float]


def run_check(
    seconds: float,
    seed: int,
    cores: CoreFactories = REAL_CORES,
    show: Print = print,
    clock: Clock = time.monotonic,
    max_trials: int = MAX_TRIALS,
) -> int:
    """Check random histories until the time is over or one fails.

    :param seconds: the time, in seconds; at least one history is checked.
    :param seed: the first history's seed; each next one is higher by 1.
    :param cores: the cores to run.
    :param show: prints a line.
    :param clock: returns the time, in seconds.
    :param max_trials: the number of plans to try when shrinking a failure.
    :returns: the exit code: 0 if no invariant was violated, else 1.
    """
    end_s = clock() + seconds
    histories, steps, records, violations = 0, 0, 0, 0
    while not violations:
        run = run_plan(random_plan(seed + histories), cores)
        routed = run_routing_plan(random_routing_plan(seed + histories))
        histories += 1
        steps += run.steps
        records += len(run.history)
        records += len(routed.history.runs) + len(routed.history.replies)
        violations = len(run.violations) + len(routed.violations)
        if clock() >= end_s:
            break
    if run.violations:
        _explain(run, cores, show, max_trials)
    if routed.violations:
        _explain_routing(routed, show, max_trials)
    show(
        f"{histories} histories, {steps} steps, {records} records,"
        f" {violations} violations"
    )
    return 1 if violations else 0


def _explain(
    run: Run, cores: CoreFactories, show: Print, max_trials: int
) -> None:
    """Print a failing seed and the smallest plan that still fails."""
    show(f"seed {run.plan.seed} fails:")
    for violation in run.violations:
        show(f"  {violation}")
    kinds = {violation.kind for violation in run.violations}

    def fails(plan: Plan) -> bool:
        """Return whether a plan violates one of the same invariants."""
        found = run_plan(plan, cores).violations
        return any(violation.kind in kinds for violation in found)

    small = run_plan(
        shrink(run.plan, fails, max_trials), cores, with_trace=True
    )
    _show_plan(small.plan, show)
    show("violations of the smallest plan:")
    for violation in small.violations:
        show(f"  {violation}")
    show("steps:")
    for line in _trace_lines(small):
        show(f"  {line}")


def _explain_routing(run: RoutingRun, show: Print, max_trials: int) -> None:
    """Print a failing seed of front-end routers and the smallest plan."""
    show(f"seed {run.plan.seed} fails:")
    for violation in run.violations:
        show(f"  {violation}")
    kinds = {violation.kind for violation in run.violations}

    def fails(plan: RoutingPlan) -> bool:
        """Return whether a plan violates one of the same invariants."""
        found = run_routing_plan(plan).violations
        return any(violation.kind in kinds for violation in found)

    small = run_routing_plan(shrink_routing(run.plan, fails, max_trials))
    plan = small.plan
    show(
        f"smallest plan: {plan.routers} routers, loss {plan.loss},"
        f" delay {plan.delay_s} s, revokes {plan.revocations},"
        f" drains {plan.drains}"
    )
    for entry in (*plan.requests, *plan.faults):
        show(f"  {entry}")
    show("violations of the smallest plan:")
    for violation in small.violations:
        show(f"  {violation}")
    show("requests that endpoints received:")
    for received in small.history.runs[:MAX_TRACE_LINES]:
        show(f"  {received}")


def _show_plan(plan: Plan, show: Print) -> None:
    """Print a plan."""
    show(
        f"smallest plan: {plan.routers} routers, {plan.agents} agents with"
        f" {plan.slots} slots, {plan.conditions}"
    )
    for call in sorted(plan.calls, key=lambda call: call.at_s):
        show(f"  {call}")
    for fault in sorted(plan.faults, key=lambda fault: fault.at_s):
        show(f"  {fault}")


def _trace_lines(run: Run) -> list[str]:
    """Format the last steps before the first violation."""
    until_s = min(
        (violation.at_s for violation in run.violations), default=0.0
    )
    steps = [step for step in run.trace if step.at_s <= until_s]
    lines = [_trace_line(step) for step in steps if _is_relevant(step)]
    return lines[-MAX_TRACE_LINES:]


def _is_relevant(step: TraceStep) -> bool:
    """Return whether a step is shown.

    Periodic reports and timers without effects are not.
    """
    message = getattr(step.event, "message", None)
    if isinstance(message, Backlog | Digest | Served):
        return False
    effects = [
        effect
        for effect in step.effects
        if not isinstance(effect, WakeAt | Decision)
    ]
    return bool(effects) or not isinstance(step.event, TimerFired)


def _trace_line(step: TraceStep) -> str:
    """Format one step as a line."""
    name = f"{step.instance.instance}/{step.instance.incarnation}"
    shown = [
        _shorten(effect)
        for effect in step.effects
        if not isinstance(effect, WakeAt | Decision)
    ]
    arrow = f" -> {'; '.join(shown)}" if shown else ""
    return f"{step.at_s:.4f} {name} {_shorten(step.event)}{arrow}"


def _shorten(value: object) -> str:
    """Format an event, effect or message, truncated if it is too long."""
    message = getattr(value, "message", None)
    if message is not None:
        peer = getattr(value, "peer", None)
        name = getattr(peer, "instance", "")
        return f"{type(value).__name__} {name} {_shorten(message)}"
    text = str(value)
    return (
        text
        if len(text) <= MAX_VALUE_CHARS
        else f"{text[:MAX_VALUE_CHARS]}..."
    )

"""Counting the service that requests use, while they use it.

A service is counted in seconds of a slot or in tokens.  Seconds are counted
up to now at every pick and report, so that a long request counts while it
runs; tokens are counted as they stream, with a charge for the prompt.
"""

from __future__ import annotations

from typing import Final

from bulrushstream.coordination.agentstate import AgentState
from bulrushstream.state.run import Run, RunPhase

MIN_ACCRUAL_S: Final = 0.01


def charge(state: AgentState, run: Run, units: float) -> None:
    """Count units that a request used.

    :param state: The agent's state.
    :param run: The request.
    :param units: What it used, in service units.
    """
    run.cost += units
    state.shares.add_served(run.dispatch.workspace, units / run.weight)


def charge_start(state: AgentState, run: Run) -> None:
    """Count what reading the request costs.

    :param state: The agent's state.
    :param run: The run.
    """
    if state.counts_tokens():
        size_bytes = len(run.dispatch.body)
        charge(state, run, size_bytes * state.options.prompt_tokens_per_byte)


def accrue_run(state: AgentState, run: Run, now_s: float) -> None:
    """Count a running request's seconds up to now.

    :param state: The agent's state.
    :param run: The run.
    :param now_s: The time.
    """
    elapsed_s = now_s - run.accounted_until_s
    if elapsed_s <= 0:
        return
    run.accounted_until_s = now_s
    if not state.counts_tokens():
        charge(state, run, elapsed_s)


def accrue(state: AgentState, now_s: float) -> None:
    """Count all running requests' seconds, if enough time has passed.

    :param state: The agent's state.
    :param now_s: The time.
    """
    for run in state.active.values():
        due = now_s - run.accounted_until_s >= MIN_ACCRUAL_S
        if due and run.phase is RunPhase.RUNNING:
            accrue_run(state, run, now_s)


def owed(state: AgentState) -> dict[str, float]:
    """Return the weighted service that accepted requests still owe.

    :param state: The agent's state.
    :returns: Sums by workspace, over held and running requests.
    """
    sums: dict[str, float] = {}
    for run in state.active.values():
        workspace = run.dispatch.workspace
        sums[workspace] = sums.get(workspace, 0.0) + run.remaining_service
    return sums

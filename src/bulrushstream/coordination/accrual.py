"""Accounts for the service that requests use, while they run.

Depending on the service, the unit is a second of a slot or a token.
Seconds are accounted up to the current time at every pick and report, so
that a long request is charged while it runs.  Tokens are accounted as they
are streamed, and the prompt is charged at the start.
"""

from __future__ import annotations

from typing import Final

from bulrushstream.coordination.agentstate import AgentState
from bulrushstream.state.run import Run, RunPhase

MIN_ACCRUAL_S: Final = 0.01


def charge(state: AgentState, run: Run, units: float) -> None:
    """Charge units of service to a request's workspace.

    :param state: The agent's state.
    :param run: The request's run.
    :param units: Seconds of a slot or tokens.
    """
    run.cost += units
    state.shares.add_served(run.dispatch.workspace, units / run.weight)


def charge_start(state: AgentState, run: Run) -> None:
    """Charge the prompt of a request, if the unit is tokens.

    :param state: The agent's state.
    :param run: The run.
    """
    if state.counts_tokens():
        size_bytes = len(run.dispatch.body)
        charge(state, run, size_bytes * state.options.prompt_tokens_per_byte)


def accrue_run(state: AgentState, run: Run, now_s: float) -> None:
    """Charge a running request's seconds up to the current time.

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
    """Charge the seconds of all runs that were not charged just before.

    :param state: The agent's state.
    :param now_s: The time.
    """
    for run in state.active.values():
        is_due = now_s - run.accounted_until_s >= MIN_ACCRUAL_S
        if is_due and run.phase is RunPhase.RUNNING:
            accrue_run(state, run, now_s)


def remaining_service(state: AgentState) -> dict[str, float]:
    """Return the weighted service that accepted requests will need.

    :param state: The agent's state.
    :returns: Sums by workspace, over held and running requests.
    """
    sums: dict[str, float] = {}
    for run in state.active.values():
        workspace = run.dispatch.workspace
        sums[workspace] = sums.get(workspace, 0.0) + run.remaining_service
    return sums

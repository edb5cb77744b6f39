"""The trials that policies are compared in, at today's fleet sizes."""

from __future__ import annotations

from typing import Final

from bulrushstream.measure.trial import Trial, WorkspaceLoad

DRAFTING_RUN_S: Final = 4.0
SHORT_RUN_S: Final = 0.08
SMALL_WORKSPACES: Final = 13
LARGE_WORKSPACES: Final = 3


def drafting_trial(name: str, *, flood: bool, skewed: bool) -> Trial:
    """Return a trial with sixteen workspaces and nine drafting endpoints.

    Three large workspaces exceed their shares throughout the trial.  The
    thirteen small ones send little, except for two that send as much as a
    large one in the middle of the trial.

    :param name: The trial's name.
    :param flood: Whether one workspace sends ten times the capacity.
    :param skewed: Whether each busy workspace uses one router only.
    :returns: The trial.
    """
    slots = 9 * 4
    capacity_per_s = slots / DRAFTING_RUN_S
    loads = []
    for number in range(LARGE_WORKSPACES):
        loads.append(
            WorkspaceLoad(
                workspace=f"council-{number}",
                rate_per_s=capacity_per_s * 0.5,
                mean_run_s=DRAFTING_RUN_S * (1 + number) / 2,
                router=number if skewed else None,
            )
        )
    for number in range(SMALL_WORKSPACES):
        busy = number < 2
        loads.append(
            WorkspaceLoad(
                workspace=f"club-{number}",
                rate_per_s=capacity_per_s * (0.5 if busy else 0.01),
                mean_run_s=DRAFTING_RUN_S,
                router=0 if skewed and busy else None,
                start_s=15.0 if busy else 0.0,
                end_s=45.0 if busy else 60.0,
            )
        )
    if flood:
        loads[0] = WorkspaceLoad(
            workspace="council-0",
            rate_per_s=capacity_per_s * 10,
            mean_run_s=DRAFTING_RUN_S,
            router=0 if skewed else None,
        )
    return Trial(name, tuple(loads))


def short_call_trial(name: str) -> Trial:
    """Return a trial that floods three endpoints with short calls.

    One workspace sends three times the capacity, in the batch class.  Thirteen
    others send little; every second one of them is in the interactive class.

    :param name: The trial's name.
    :returns: The trial.
    """
    capacity_per_s = 3 * 4 / SHORT_RUN_S
    loads = [WorkspaceLoad("council-0", capacity_per_s * 3, SHORT_RUN_S)]
    for number in range(SMALL_WORKSPACES):
        loads.append(
            WorkspaceLoad(
                workspace=f"club-{number}",
                rate_per_s=capacity_per_s * 0.01,
                mean_run_s=SHORT_RUN_S,
                interactive=number % 2 == 0,
            )
        )
    return Trial(name, tuple(loads), agents=3, slots=4, duration_s=10.0)


TRIALS: Final = (
    drafting_trial("steady", flood=False, skewed=False),
    drafting_trial("flood", flood=True, skewed=False),
    drafting_trial("skewed", flood=False, skewed=True),
    short_call_trial("desk"),
)

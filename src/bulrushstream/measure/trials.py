"""The trials that policies are compared in, at the sizes of today."""

from __future__ import annotations

from typing import Final

from bulrushstream.measure.trial import Trial, WorkspaceLoad

KOWHAI_RUN_S: Final = 4.0
DESK_RUN_S: Final = 0.08
SMALL_WORKSPACES: Final = 13
LARGE_WORKSPACES: Final = 3


def drafting(name: str, *, flood: bool, skewed: bool) -> Trial:
    """Return a load on nine drafting endpoints by sixteen workspaces.

    Three large workspaces ask for more than their shares all the time; the
    others ask for a little, and two of them for as much as the large ones
    in the middle of the trial.

    :param name: The trial's name.
    :param flood: Whether one workspace asks for ten times the capacity.
    :param skewed: Whether each large workspace uses one router only.
    :returns: The trial.
    """
    slots = 9 * 4
    capacity_per_s = slots / KOWHAI_RUN_S
    loads = []
    for number in range(LARGE_WORKSPACES):
        loads.append(
            WorkspaceLoad(
                workspace=f"council-{number}",
                per_s=capacity_per_s * 0.5,
                run_s=KOWHAI_RUN_S * (1 + number) / 2,
                router=number if skewed else None,
            )
        )
    for number in range(SMALL_WORKSPACES):
        busy = number < 2
        loads.append(
            WorkspaceLoad(
                workspace=f"club-{number}",
                per_s=capacity_per_s * (0.5 if busy else 0.01),
                run_s=KOWHAI_RUN_S,
                router=0 if skewed and busy else None,
                from_s=15.0 if busy else 0.0,
                to_s=45.0 if busy else 60.0,
            )
        )
    if flood:
        loads[0] = WorkspaceLoad(
            workspace="council-0",
            per_s=capacity_per_s * 10,
            run_s=KOWHAI_RUN_S,
            router=0 if skewed else None,
        )
    return Trial(name, tuple(loads))


def short_calls(name: str) -> Trial:
    """Return a flood of short calls on three endpoints.

    One workspace asks for three times the capacity, thirteen others for a
    little, two of them in the interactive class.

    :param name: The trial's name.
    :returns: The trial.
    """
    capacity_per_s = 3 * 4 / DESK_RUN_S
    loads = [WorkspaceLoad("council-0", capacity_per_s * 3, DESK_RUN_S)]
    for number in range(SMALL_WORKSPACES):
        loads.append(
            WorkspaceLoad(
                workspace=f"club-{number}",
                per_s=capacity_per_s * 0.01,
                run_s=DESK_RUN_S,
                interactive=number % 2 == 0,
            )
        )
    return Trial(name, tuple(loads), agents=3, slots=4, seconds=10.0)


TRIALS: Final = (
    drafting("steady", flood=False, skewed=False),
    drafting("flood", flood=True, skewed=False),
    drafting("skewed", flood=False, skewed=True),
    short_calls("desk"),
)

"""Plans of soaks of streams in virtual time."""

from __future__ import annotations

from dataclasses import dataclass, replace
from random import Random
from typing import Final

from tests.crashplans import RouterFault
from tests.eventshapes import PLAIN, Shape
from tests.spoilings import Spoiling
from tests.versionplans import VersionPlan

CUTS: Final = ("fin", "rst", "amid event", "garbage")
EXTRAS: Final = ("extra", "late extra", "extra in parts")
STALL_S: Final = 1.5
# Shorter and longer than routers wait for an event, and than callers do.
STALLS_S: Final = (0.3, 0.6, 1.0, 2.0, 4.0)


@dataclass(frozen=True, slots=True)
class SoakPlan(VersionPlan):
    """A run with random faults."""

    fault_share: float = 0.3  # Of the runs at faulty endpoints.
    unframed_share: float = 0.3  # Of all answers.
    faulty_share: float = 0.5  # Of the endpoints.
    ends_per_s: float = 0.5  # Endpoints whose process ends.
    old_callers_share: float = 0.25  # Callers of HTTP/1.0.
    # Answers without a length that faulty endpoints end in order before their
    # end, of all that they write.
    live_cut_share: float = 0.0
    # Of the processes that end: those that start again under their id.
    return_share: float = 0.0
    # How faulty endpoints spoil answers, and the share of those.
    spoilings: tuple[Spoiling, ...] = ()
    spoiled_share: float = 0.3
    fault_kinds: tuple[str, ...] = (*CUTS, *EXTRAS, "stall")
    stalls_s: tuple[float, ...] = (STALL_S,)
    shape: Shape = PLAIN


def random_plan(seed: int, path: str) -> SoakPlan:
    """Return a plan with random faults of routers."""
    rng = Random(seed)
    faults = tuple(
        RouterFault(
            at_s,
            (rng.randrange(4),),
            frozen_s=rng.choice((0.0, rng.uniform(0.2, 3.0))),
        )
        for at_s in sorted(rng.uniform(1.0, 12.0) for _ in range(5))
    )
    return SoakPlan(
        seed=seed,
        path=path,
        faults=faults,
        end_s=18.0,
        background_per_s=0.5,
        tries=3 if path == "/talk/" else 1,
    )


def hanging_plan(seed: int, path: str) -> SoakPlan:
    """Return a plan whose endpoints hang amid streams and then go on."""
    return replace(
        random_plan(seed, path),
        fault_share=0.5,
        fault_kinds=("stall",),
        stalls_s=STALLS_S,
        ends_per_s=0.05,
    )


def live_cuts_plan(seed: int) -> SoakPlan:
    """Return a plan whose endpoints cut some streams without a length."""
    return SoakPlan(
        seed=seed,
        path="/talk/",
        end_s=18.0,
        background_per_s=0.5,
        tries=3,
        fault_share=0.1,
        unframed_share=0.05,
        ends_per_s=0.05,
        live_cut_share=0.3,
    )


def spoiling_plan(seed: int, path: str, *kinds: Spoiling) -> SoakPlan:
    """Return a plan whose endpoints live and spoil some answers."""
    return SoakPlan(
        seed=seed,
        path=path,
        end_s=14.0,
        background_per_s=0.5,
        tries=3 if path == "/talk/" else 1,
        fault_share=0.0,
        unframed_share=0.1,
        ends_per_s=0.01,
        spoilings=kinds,
    )

"""Plans of front-end router runs: requests, endpoint and router faults.

Plans are plain data and are generated from a seed.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import StrEnum
from random import Random
from typing import Final

from bulrushstream.state.routes import RequestKind

FAULTS_END_S: Final = 16.0  # All planned router faults have ended.
REQUESTS_END_S: Final = 20.0  # Callers send no requests after this.
END_S: Final = 60.0  # The routers' updates to each other have expired.
MAX_FAULT_S: Final = 9.0
MAX_DARK_S: Final = 3.0  # From the end of all routers to their next start.
MAX_TRIES: Final = 3  # Of a caller for one stream.


class AttemptFault(StrEnum):
    """A fault that an endpoint simulates for one attempt."""

    NONE = "none"  # A complete, correct answer.
    REFUSED = "refused"  # The connection is refused.
    BUSY = "busy"  # An answer that says that the request was not run.
    # Status 500 from the endpoint, or one that falsely promises that the
    # request was not run.
    ERROR = "error"
    DENIED = "denied"  # Status 404 from the endpoint.
    BREAK = "break"  # The connection breaks in the middle of the answer.
    SILENT = "silent"  # No answer.
    FOREIGN = "foreign"  # Another request's answer.
    REST = "rest"  # Busy, and asks the router for rest.
    # An earlier refusal comes once more on a kept connection, and then a
    # complete, correct answer.
    REPEATED = "repeated"
    # The connection ends after a head that names no length.
    CUT_HEAD = "cut-head"
    # An answer that is too long to be buffered, of which the end is missing.
    HANGS = "hangs"


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """One request of a caller."""

    at_s: float  # When it is sent, in virtual time.
    router: int  # The number of the router that gets it.
    route: str  # A key of ROUTES.
    key: int  # The number of the workspace whose key it sends.
    disconnects_after_s: float | None  # After sending; None: never.


class OddRecord(StrEnum):
    """A record of another writer in the endpoint list."""

    NESTED = "nested"  # Too deeply to be decoded.
    VALUES = "values"  # Absurd numbers and texts.
    FAILING = "failing"  # One on which the decoder fails unexpectedly.


class RouterFaultKind(StrEnum):
    """A kind of router fault."""

    STORE = "store"  # The router cannot reach the store.
    PEERS = "peers"  # No datagrams to or from other routers.
    SUSPEND = "suspend"  # The machine of the router is suspended.


@dataclass(frozen=True, slots=True)
class RouterFault:
    """A fault of one router with a start and a duration."""

    at_s: float  # When it begins, in virtual time.
    duration_s: float
    router: int  # The router's number.
    kind: RouterFaultKind


@dataclass(frozen=True, slots=True)
class RoutingPlan:
    """The plan of one run."""

    seed: int  # Seeds the random choices made during the run.
    routers: int  # Number of routers.
    requests: tuple[PlannedRequest, ...]  # By time.
    faults: tuple[RouterFault, ...]
    # The share of attempts with each fault; drawn in this order.
    fault_rates: tuple[tuple[AttemptFault, float], ...]
    loss: float  # Share of the routers' datagrams that is lost.
    delay_s: float  # Maximum delay of a datagram.
    revocations: tuple[tuple[float, int], ...]  # Times and keys.
    drains: tuple[tuple[float, str], ...]  # Times and endpoint ids.
    # When endpoints with another version of their software are added.
    release_s: float
    # When endpoints begin to say in their answers that they leave.
    notices: tuple[tuple[float, str], ...]
    # When all routers end, and after how long they start again.
    restarts: tuple[tuple[float, float], ...] = ()
    # When odd records are added to the endpoint list.
    odd_records: tuple[tuple[float, OddRecord], ...] = ()


# Routes by name: kind, service, resumable, maximum number of attempts.
ROUTES: Final = {
    "safe": (RequestKind.IDEMPOTENT, "desk", False, 3),
    "once": (RequestKind.NON_IDEMPOTENT, "desk", False, 2),
    "talk": (RequestKind.STREAMING, "llm", True, 3),
    "tell": (RequestKind.STREAMING, "llm", False, 2),
}
ENDPOINTS: Final = {
    "d-1": "desk",
    "d-2": "desk",
    "d-3": "desk",
    "e-1": "llm",
    "e-2": "llm",
    "e-3": "llm",
    "e-4": "llm",
}
# Endpoints with another version of their software, by id.
RELEASED: Final = {"e-3": "v2", "e-4": "v2"}
FIRST_VERSION: Final = "v1"
REST_S: Final = 2.0  # How long a rest is.
KEYS: Final = 4

# Faults that are rarer than others, as one affects many requests.
FAULT_SHARES: Final = {AttemptFault.REST: 0.1}


def random_routing_plan(seed: int) -> RoutingPlan:
    """Generate the plan of a seed.

    :param seed: any number
    """
    rng = Random(seed)
    routers = rng.randint(1, 5)
    rate = rng.choice((0.0, 0.05, 0.2, 0.5))
    fault_rates = tuple(
        (fault, rate * rng.random() * FAULT_SHARES.get(fault, 1.0))
        for fault in list(AttemptFault)[1:]
        if fault not in (AttemptFault.CUT_HEAD, AttemptFault.HANGS)
    )
    requests = tuple(
        PlannedRequest(
            at_s=rng.random() * REQUESTS_END_S,
            router=rng.randrange(routers),
            route=rng.choice(list(ROUTES)),
            key=rng.randrange(KEYS),
            disconnects_after_s=rng.random() if rng.random() < 0.1 else None,
        )
        for _ in range(rng.choice((40, 200, 600)))
    )
    revocations = tuple(
        (rng.uniform(2.0, FAULTS_END_S - MAX_FAULT_S), key)
        for key in range(rng.randint(0, KEYS - 1))
    )
    faults = tuple(
        RouterFault(
            at_s=rng.random() * (FAULTS_END_S - MAX_FAULT_S),
            duration_s=rng.random() * MAX_FAULT_S,
            router=rng.randrange(routers),
            kind=rng.choice(list(RouterFaultKind)),
        )
        for _ in range(rng.randint(0, 6))
    )
    # Routers that lose the store just before a key is revoked.
    faults += tuple(
        RouterFault(
            at_s=at_s - 0.3 * rng.random(),
            duration_s=MAX_FAULT_S,
            router=rng.randrange(routers),
            kind=RouterFaultKind.STORE,
        )
        for at_s, _ in revocations
        if rng.random() < 0.4
    )
    plan = RoutingPlan(
        seed=seed,
        routers=routers,
        requests=tuple(sorted(requests, key=lambda request: request.at_s)),
        faults=faults,
        fault_rates=fault_rates,
        loss=rng.choice((0.0, 0.02, 0.3)),
        delay_s=rng.choice((0.002, 0.05)),
        revocations=revocations,
        drains=tuple(
            (rng.uniform(2.0, FAULTS_END_S), name)
            for name in rng.sample(["d-1", "e-1"], rng.randint(0, 2))
        ),
        release_s=rng.uniform(1.0, FAULTS_END_S),
        notices=tuple(
            (rng.uniform(2.0, FAULTS_END_S), name)
            for name in rng.sample(["d-2", "e-2", "e-4"], rng.randint(0, 2))
        ),
        restarts=tuple(
            sorted(
                (rng.uniform(2.0, FAULTS_END_S), rng.uniform(0.0, MAX_DARK_S))
                for _ in range(rng.choice((0, 0, 1, 3)))
            )
        ),
        odd_records=tuple(
            (rng.uniform(0.0, FAULTS_END_S), kind)
            for kind in rng.sample(list(OddRecord), rng.randint(0, 2))
        ),
    )
    # Drawn last, so that seeds keep the rest of their plans.
    cut_heads = (AttemptFault.CUT_HEAD, rate * rng.random())
    return replace(
        plan,
        fault_rates=(
            *plan.fault_rates,
            cut_heads,
            (AttemptFault.HANGS, cut_heads[1] / 2),
        ),
        faults=plan.faults + _out_of_step(plan, rng),
    )


def _out_of_step(plan: RoutingPlan, rng: Random) -> tuple[RouterFault, ...]:
    """Return faults of a router that misses the start of a new version."""
    if rng.random() < 0.5:
        return ()
    router = rng.randrange(plan.routers)
    kinds = rng.choice(
        (
            (RouterFaultKind.STORE, RouterFaultKind.PEERS),
            (RouterFaultKind.SUSPEND,),
        )
    )
    return tuple(
        RouterFault(
            max(0.0, plan.release_s - rng.random()),
            rng.uniform(0.5, 5.0),
            router,
            kind,
        )
        for kind in kinds
    )

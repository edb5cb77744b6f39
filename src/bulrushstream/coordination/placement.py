"""Where a request goes, and whether it may go there now.

A request for a model goes where its first token is predicted soonest.
Reading that another engine could spare counts more than its time, as it
also takes capacity from others.  A request for a plain service goes where
the fewest requests are, its own availability zone first.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum
from typing import Final

import xxhash

from bulrushstream.coordination.endpointpool import Endpoint
from bulrushstream.coordination.engineview import FIXED_DELAY_S
from bulrushstream.state.call import Prompt

# How much the time to read what is not cached counts beside the wait.
READ_WEIGHT: Final = 2.0

# What a running request on an engine counts, in seconds of wait.
RUNNING_WEIGHT_S: Final = 0.002

# An engine without room for one more request counts as this much later.
NO_ROOM_S: Final = 1.0

# An endpoint that is cold or in another zone counts as so many requests.
COLD_REQUESTS: Final = 2.0
OTHER_ZONE_REQUESTS: Final = 0.5

# Scores of engines that differ by less than this are a tie.
TIE_S: Final = 0.004

# Requests within their workspace's share are sent while the first token is
# predicted within this part of the objective.
WITHIN_SHARE_GOAL: Final = 0.95

# An engine reads in order of arrival, so whoever waits there makes those
# with the shortest objective wait as well.  Requests within their share are
# sent while the wait is within this part of that objective.
WITHIN_SHARE_WAIT: Final = 9.0

# Surplus is sent while the wait is within this part of the shortest
# objective, and less the longer its own objective is.
SURPLUS_WAIT: Final = 0.12
SURPLUS_SLACK_POWER: Final = 0.0

# A prompt that takes longer to read than its objective allows is late
# wherever it goes.  It is sent while no more than this part of the
# objective is spent on waiting for others.
OVERSIZE_WAIT_GOAL: Final = 0.15


@dataclass(frozen=True, slots=True)
class Prediction:
    """Where a request for a model would go, and what it would meet there."""

    endpoint: Endpoint  # The engine.
    wait_s: float  # The time that it still reads for others.
    read_s: float  # The time to read what is not cached there.
    tokens: float  # What is to be read, with the cost of attention.
    room: bool  # Whether slots and memory are left.

    @property
    def first_s(self) -> float:
        """Return the predicted time to the first token."""
        return self.wait_s + self.read_s + FIXED_DELAY_S


def choose_engine(
    endpoints: Sequence[Endpoint], prompt: Prompt, rate: float, now_s: float
) -> Prediction | None:
    """Return where a request for a model should go.

    :param endpoints: engines that take new work
    :param prompt: the request's prompt
    :param rate: tokens that a usual engine reads in a second
    :param now_s: the time
    """
    best: Prediction | None = None
    best_score = float("inf")
    for endpoint in endpoints:
        view = endpoint.view
        if view is None:
            continue
        tokens = view.uncached(prompt)
        read_s = view.read_s(tokens, rate, now_s)
        wait_s = view.backlog_s(now_s)
        room = view.has_room(prompt)
        score = wait_s + READ_WEIGHT * read_s
        score += RUNNING_WEIGHT_S * len(view.running)
        if not room:
            score += NO_ROOM_S
        # Equal engines are told apart by the prompt, so that the routers
        # agree on one without a word.
        score += TIE_S * _affinity(prompt, endpoint.name)
        if score < best_score:
            best_score = score
            best = Prediction(endpoint, wait_s, read_s, tokens, room)
    return best


def _affinity(prompt: Prompt, endpoint: str) -> float:
    """Return a number from 0 to 1 that is fixed for a prompt and engine."""
    shared = prompt.parts[-2] if len(prompt.parts) > 1 else None
    seed = shared.part & 0xFFFFFFFF if shared else 0
    drawn: int = xxhash.xxh32_intdigest(endpoint.encode(), seed)
    return drawn / 2**32


def choose_plain(
    endpoints: Sequence[Endpoint],
    availability_zone: str,
    rng: random.Random,
) -> Endpoint | None:
    """Return where a request for a plain service should go.

    :param endpoints: endpoints that take new work
    :param availability_zone: where the router runs
    :param rng: breaks ties
    """

    def load(endpoint: Endpoint) -> float:
        entry = endpoint.entry
        requests = float(endpoint.outstanding)
        if entry.availability_zone != availability_zone:
            requests += OTHER_ZONE_REQUESTS
        if entry.cold_left_s > 0:
            requests += COLD_REQUESTS
        return requests / max(1, entry.slots) + rng.random() * 1e-3

    return min(endpoints, key=load, default=None)


class Admission(IntEnum):
    """What to do with a request for a model."""

    SEND = 1  # Send it now.
    REFUSE = 2  # Tell the caller to come back.


def admit_to_engine(
    prediction: Prediction,
    goal_left_s: float,
    tightest_s: float,
    *,
    within_share: bool,
) -> Admission:
    """Return whether a request may be sent to its engine.

    :param prediction: what it would meet there
    :param goal_left_s: what is left of its latency objective
    :param tightest_s: the shortest objective of its service's routes
    :param within_share: whether its workspace's share covers it
    """
    if within_share:
        limit_s = WITHIN_SHARE_GOAL * goal_left_s
        good = prediction.first_s <= limit_s
        good = good and prediction.wait_s <= WITHIN_SHARE_WAIT * tightest_s
    else:
        slack = tightest_s / max(tightest_s, goal_left_s)
        limit_s = SURPLUS_WAIT * tightest_s * slack**SURPLUS_SLACK_POWER
        good = prediction.wait_s <= limit_s
    if prediction.read_s > goal_left_s:
        good = good or prediction.wait_s <= OVERSIZE_WAIT_GOAL * goal_left_s
    return Admission.SEND if good else Admission.REFUSE

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

# A request is sent while its first token is predicted within this part of
# its objective.
USABLE_GOAL: Final = 0.95

# An engine reads in order of arrival, so whoever waits there makes those
# with the shortest objective wait as well.  Requests within their share are
# sent while the wait is within a part of that objective, which shrinks from
# the first figure to the second as the share is used up.
UNUSED_SHARE_WAIT: Final = 0.7
USED_SHARE_WAIT: Final = 0.12

# Beyond its share a workspace yields the sooner, the more it has had.
SURPLUS_POWER: Final = 1.0

# Requests with a longer objective than the shortest yield earlier.
SLACK_POWER: Final = 1.0

# A prompt that takes longer to read than its objective allows is late
# wherever it goes.  It is sent while no more than this part of the
# objective is spent on waiting for others.
OVERSIZE_WAIT: Final = 0.15


@dataclass(frozen=True, slots=True)
class Prediction:
    """Where a request for a model would go, and what it would meet there."""

    endpoint: Endpoint  # The engine.
    wait_s: float  # The time that it still reads for others.
    read_s: float  # The time to read what is not cached there.
    tokens: float  # What is to be read, with the cost of attention.
    kept: int  # Tokens that are cached there.
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
            kept = view.kept(prompt)
            best = Prediction(endpoint, wait_s, read_s, tokens, kept, room)
    return best


def _affinity(prompt: Prompt, endpoint: str) -> float:
    """Return a number from 0 to 1 that is fixed for a prompt and engine."""
    shared = prompt.parts[-2] if len(prompt.parts) > 1 else None
    seed = shared.part_id & 0xFFFFFFFF if shared else 0
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
        if entry.warmup_remaining_s > 0:
            requests += COLD_REQUESTS
        return requests / max(1, entry.slots) + rng.random() * 1e-3

    return min(endpoints, key=load, default=None)


class Admission(IntEnum):
    """What to do with a request for a model."""

    SEND = 1  # Send it now.
    REFUSE = 2  # Tell the caller to come back.


def wait_part(share_used: float) -> float:
    """Return the part of the shortest objective that a wait may take.

    :param share_used: how much of its share a workspace has used
    """
    if share_used > 1.0:
        kept: float = share_used**-SURPLUS_POWER
        return USED_SHARE_WAIT * kept
    unused = 1.0 - share_used
    return USED_SHARE_WAIT + unused * (UNUSED_SHARE_WAIT - USED_SHARE_WAIT)


def admit_to_engine(
    prediction: Prediction,
    goal_left_s: float,
    tightest_s: float,
    share_used: float,
) -> Admission:
    """Return whether a request may be sent to its engine.

    :param prediction: what it would meet there
    :param goal_left_s: what is left of its latency objective
    :param tightest_s: the shortest objective of its service's routes
    :param share_used: how much of its workspace's share is used with it
    """
    limit_s = tightest_s * wait_part(share_used)
    slack = tightest_s / max(tightest_s, goal_left_s)
    limit_s *= slack**SLACK_POWER
    in_time_s = USABLE_GOAL * goal_left_s
    alone_s = prediction.first_s - prediction.wait_s
    if alone_s > in_time_s:
        limit_s = min(limit_s, OVERSIZE_WAIT * tightest_s)
    else:
        limit_s = min(limit_s, in_time_s - alone_s)
    good = prediction.wait_s <= limit_s
    return Admission.SEND if good else Admission.REFUSE

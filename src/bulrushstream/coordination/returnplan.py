"""When a refused request should return, so that it can be served on time."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from random import Random
from typing import Final

from bulrushstream.coordination.engineview import FIXED_DELAY_S
from bulrushstream.coordination.placement import (
    MAX_WAIT_SHARE_OVERSIZE,
    MAX_WAIT_SHARE_USED,
    USABLE_TARGET_SHARE,
    permitted_wait_s,
)

# Promised prefill is summed in slots of this length, and promises fall due
# at most so far ahead.
SLOT_S: Final = 0.025
HORIZON_S: Final = 10.0

# The value of Retry-After has two decimals.
RETRY_STEP_S: Final = 0.01

# A shorter time to return is too short for the queues to change and for the
# peers to be told.
MIN_RETRY_S: Final = 0.06

# Promises may take this part of the engines' prefill, so that new requests
# are served at any time.  The queue of promised prefill alone, if only this
# part of the engines worked on it, may last so long.
MAX_PROMISED_SHARE: Final = 0.5
MAX_PROMISED_QUEUE_S: Final = 0.1

# Callers count a third of what they have left when the answer arrives.
TRANSIT_S: Final = 0.02

# A return is planned for a wait of at most this part of the permitted one;
# the rest is for requests that other routers place meanwhile.
PLANNED_WAIT_PART: Final = 0.5


@dataclass(frozen=True, slots=True)
class ReturnNeed:
    """A refused request, and the engines that it may return to."""

    service: str
    prefill_tokens: float  # Its uncached tokens, with the cost of attention.
    prefill_s: float  # The predicted duration of their prefill.
    wait_s: float  # The least wait at an engine now.
    engines: int  # The number of engines in use.
    tokens_per_s: float  # The prefill rate of one engine.
    target_left_s: float  # Until its latency target.
    remaining_s: float  # Until the caller's deadline.
    shortest_target_s: float  # Of the service's routes.
    # The used part of its workspace's share at which the return is judged.
    share_used: float = 0.0


@dataclass(frozen=True, slots=True)
class ReturnPlan:
    """When a refused request should return."""

    retry_s: float
    on_time: bool  # Whether it can still meet its latency target then.


def plan_return(
    need: ReturnNeed,
    slots: Mapping[int, int],
    kept_share: float,
    now_s: float,
    rng: Random,
) -> ReturnPlan | None:
    """Return when a refused request should return; None: never.

    The queue of the engines is predicted slot by slot from the present
    wait and the promised prefill.  The first slot is taken in which the
    request can be admitted with time to spare, or else the first one in
    which it can be admitted.  Without any, it may return late, at a
    random time, so that late requests do not arrive in a wave.

    :param need: the request
    :param slots: the promised prefill tokens that fall due, by slot
    :param kept_share: the part of them whose callers come
    :param now_s: the time
    :param rng: spreads the returns
    """
    longest_s = min(need.remaining_s / 3.0 - TRANSIT_S, HORIZON_S)
    if longest_s < MIN_RETRY_S:
        return None
    found_s = _time_on_time(need, slots, kept_share, longest_s, now_s)
    if found_s is not None:
        spread_s = found_s + rng.uniform(0.0, SLOT_S)
        return ReturnPlan(_round_down(min(spread_s, longest_s)), True)
    # Late requests are served if the engines are nearly idle.
    late_wait_s = MAX_WAIT_SHARE_OVERSIZE * need.shortest_target_s
    serve_s = late_wait_s + need.prefill_s + FIXED_DELAY_S
    latest_s = min(longest_s, need.remaining_s - serve_s)
    if latest_s < MIN_RETRY_S:
        return None
    retry_s = rng.uniform(MIN_RETRY_S, latest_s)
    return ReturnPlan(_round_down(retry_s), False)


def _time_on_time(
    need: ReturnNeed,
    slots: Mapping[int, int],
    kept_share: float,
    longest_s: float,
    now_s: float,
) -> float | None:
    """Return the time after which a request is served on time, if any."""
    slot_s = kept_share / (max(1, need.engines) * need.tokens_per_s)
    # New requests go on to arrive and keep the queues at this length.
    floor_s = min(need.wait_s, MAX_WAIT_SHARE_USED * need.shortest_target_s)
    no_wait_s = need.prefill_s + FIXED_DELAY_S
    served_within_s = min(need.target_left_s, need.remaining_s)
    wait_s, promised_s = need.wait_s, 0.0
    fallback_s: float | None = None
    first = int(now_s / SLOT_S)
    for number in range(int(longest_s / SLOT_S) + 1):
        after_s = number * SLOT_S
        left_s = served_within_s - after_s - SLOT_S
        if no_wait_s > USABLE_TARGET_SHARE * left_s:
            break
        limit_s = permitted_wait_s(
            no_wait_s, left_s, need.shortest_target_s, need.share_used
        )
        due_s = slots.get(first + number, 0) * slot_s
        wait_s = max(floor_s, wait_s + due_s - SLOT_S)
        promised_s = max(0.0, promised_s + due_s - MAX_PROMISED_SHARE * SLOT_S)
        if after_s < MIN_RETRY_S or promised_s > MAX_PROMISED_QUEUE_S:
            continue
        if wait_s <= PLANNED_WAIT_PART * limit_s:
            return after_s
        if wait_s <= limit_s and fallback_s is None:
            fallback_s = after_s
    return fallback_s


def _round_down(time_s: float) -> float:
    """Return a time in whole steps of Retry-After."""
    return math.floor(time_s / RETRY_STEP_S + 1e-9) * RETRY_STEP_S

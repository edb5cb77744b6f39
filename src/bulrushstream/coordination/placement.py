"""Choice of the endpoint for a request, and admission to model engines.

A request for a model goes to the engine with the earliest predicted first
token.  Prefill that another engine's cache would save counts more than its
duration, because it also takes capacity from other requests.  A request
for a plain service goes to the endpoint with the fewest requests, with
preference for the router's own availability zone; if endpoints differ in
speed, to the one where the request is expected to be done first.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import IntEnum
from typing import Final

import xxhash

from bulrushstream.coordination.endpointpool import Endpoint
from bulrushstream.coordination.engineview import (
    FIXED_DELAY_S,
    EngineView,
    uncached_prefill_tokens,
)
from bulrushstream.coordination.promptmix import Preference
from bulrushstream.state.call import Prompt

# The weight of the prefill time against the wait in an engine's score.
PREFILL_WEIGHT: Final = 2.0

# Each running request on an engine counts as this much wait.
RUNNING_PENALTY_S: Final = 0.002

# An engine without capacity for one more request counts as this much wait.
NO_CAPACITY_PENALTY_S: Final = 1.0

# An endpoint that is cold, or in another zone, counts as having so many
# more requests.
COLD_PENALTY_REQUESTS: Final = 2.0
OTHER_ZONE_PENALTY_REQUESTS: Final = 0.5

# Scores of engines that differ by less than this count as a tie.
TIE_S: Final = 0.004

# A request is sent if its first token is predicted within this part of its
# latency target.
USABLE_TARGET_SHARE: Final = 0.95

# An engine does prefill in order of arrival, so every request that queues
# there delays those with the shortest latency target.  A request within its
# workspace's share is sent if the wait is at most a part of that target;
# the part shrinks from the first figure to the second as the share is used.
MAX_WAIT_SHARE_UNUSED: Final = 0.7
MAX_WAIT_SHARE_USED: Final = 0.12

# Beyond the share, the permitted wait shrinks with this power of the used
# share, so the more a workspace was granted the sooner it is refused.
SURPLUS_EXPONENT: Final = 1.0

# The permitted wait of a request with a longer latency target shrinks with
# this power of the ratio of the shortest target to its own.
SLACK_EXPONENT: Final = 1.0

# A prompt whose prefill alone takes longer than the latency target is late
# on every engine.  It is sent if the wait is at most this part of the
# shortest target.
MAX_WAIT_SHARE_OVERSIZE: Final = 0.15


@dataclass(frozen=True, slots=True)
class Prediction:
    """The predicted course of a request on the chosen engine."""

    endpoint: Endpoint
    wait_s: float  # The prefill of other requests before it.
    prefill_s: float  # The prefill of its uncached tokens.
    prefill_tokens: float  # Uncached tokens, with the cost of attention.
    cached_tokens: int  # The length of its cached prefix.
    has_capacity: bool  # Whether a slot and enough memory are free.

    @property
    def first_token_s(self) -> float:
        """Return the predicted time to the first token."""
        return self.wait_s + self.prefill_s + FIXED_DELAY_S


@dataclass(frozen=True, slots=True)
class EngineChoice:
    """The engines that a request for a model may go to."""

    best: Prediction
    # The best one of those without pending prefill; None: all have some.
    idle: Prediction | None
    idle_engines: int  # The number of those.
    # The best one without the preference for a class of prompts; None: the
    # same as `best`.
    without_preference: Prediction | None = None


def choose_engine(
    endpoints: Sequence[Endpoint],
    prompt: Prompt,
    rate: float,
    now_s: float,
    preference: Preference | None = None,
) -> EngineChoice | None:
    """Return the best engines for a request for a model; None: no engine.

    :param endpoints: engines that accept new requests
    :param prompt: the request's prompt
    :param rate: the average prefill rate, in tokens per second
    :param now_s: the time
    :param preference: which engines prefer long prompts; None: no engine has
        a preference
    """
    # The last part is the request's own text; those before it are shared.
    shared = prompt.parts[-2] if len(prompt.parts) > 1 else None
    seed = shared.part_id & 0xFFFFFFFF if shared else 0
    best: tuple[Endpoint, EngineView] | None = None
    best_score = float("inf")
    plain: tuple[Endpoint, EngineView] | None = None
    plain_score = float("inf")
    idle: tuple[Endpoint, EngineView] | None = None
    idle_score = float("inf")
    idle_engines = 0
    # Most engines keep the same parts of a prompt, or none.
    tokens_by_cached: dict[int, float] = {}
    for endpoint in endpoints:
        view = endpoint.view
        if view is None:
            continue
        wait_s = view.backlog_s(now_s)
        has_capacity = view.has_capacity(prompt)
        is_idle = has_capacity and wait_s <= 0.0
        idle_engines += is_idle
        score = wait_s + RUNNING_PENALTY_S * len(view.running)
        if not has_capacity:
            score += NO_CAPACITY_PENALTY_S
        if score >= best_score and not is_idle:
            continue
        cached = view.cached_prefix_tokens(prompt)
        tokens = tokens_by_cached.get(cached)
        if tokens is None:
            tokens = tokens_by_cached[cached] = uncached_prefill_tokens(
                prompt, cached
            )
        score += PREFILL_WEIGHT * view.prefill_s(tokens, rate, now_s)
        if score >= best_score and not (is_idle and score < idle_score):
            continue
        # A hash of the prompt breaks ties, so that all routers choose the
        # same engine without communication.
        score += TIE_S * _affinity(seed, endpoint.name)
        if is_idle and score < idle_score:
            idle, idle_score = (endpoint, view), score
        if preference is not None:
            if score < plain_score:
                plain, plain_score = (endpoint, view), score
            score += preference.cost_s(endpoint.name, tokens / rate)
        if score < best_score:
            best, best_score = (endpoint, view), score
    if best is None:
        return None
    return EngineChoice(
        predict(*best, prompt, rate, now_s),
        predict(*idle, prompt, rate, now_s) if idle is not None else None,
        idle_engines,
        predict(*plain, prompt, rate, now_s)
        if plain is not None and plain[0] is not best[0]
        else None,
    )


def predict(
    endpoint: Endpoint,
    view: EngineView,
    prompt: Prompt,
    rate: float,
    now_s: float,
) -> Prediction:
    """Return the predicted course of a request on an engine.

    :param endpoint: the engine
    :param view: its view
    :param prompt: the request's prompt
    :param rate: the average prefill rate, in tokens per second
    :param now_s: the time
    """
    cached = view.cached_prefix_tokens(prompt)
    tokens = uncached_prefill_tokens(prompt, cached)
    return Prediction(
        endpoint,
        view.backlog_s(now_s),
        view.prefill_s(tokens, rate, now_s),
        tokens,
        cached,
        view.has_capacity(prompt),
    )


def _affinity(seed: int, endpoint: str) -> float:
    """Return a hash from 0 to 1 of an engine and a prompt's shared prefix."""
    digest: int = xxhash.xxh32_intdigest(endpoint.encode(), seed)
    return digest / 2**32


def choose_plain(
    endpoints: Sequence[Endpoint],
    availability_zone: str,
    rng: random.Random,
    now_s: float = float("inf"),
) -> Endpoint | None:
    """Return the best endpoint for a plain service; None: no endpoint.

    :param endpoints: endpoints that accept new requests
    :param availability_zone: the router's zone
    :param rng: breaks ties
    :param now_s: the time; infinity: only lasting speeds count
    """
    uneven = any(each.plain_speed.uneven for each in endpoints)

    def load(endpoint: Endpoint) -> float:
        entry = endpoint.entry
        requests = float(endpoint.outstanding)
        if entry.availability_zone != availability_zone:
            requests += OTHER_ZONE_PENALTY_REQUESTS
        if entry.warmup_remaining_s > 0:
            requests += COLD_PENALTY_REQUESTS
        if uneven:
            # With equal speeds, the request itself makes no difference.
            requests = (requests + 1.0) * endpoint.plain_speed.factor(now_s)
        return requests / max(1, entry.slots) + rng.random() * 1e-3

    return min(endpoints, key=load, default=None)


class Admission(IntEnum):
    """Whether a request for a model is sent to its engine."""

    SEND = 1
    REFUSE = 2  # The caller should retry later.


def max_wait_share(share_used: float) -> float:
    """Return the part of the shortest latency target that a wait may take.

    :param share_used: the used part of the workspace's share
    """
    if share_used > 1.0:
        factor: float = share_used**-SURPLUS_EXPONENT
        return MAX_WAIT_SHARE_USED * factor
    unused = 1.0 - share_used
    return MAX_WAIT_SHARE_USED + unused * (
        MAX_WAIT_SHARE_UNUSED - MAX_WAIT_SHARE_USED
    )


def permitted_wait_s(
    no_wait_s: float,
    remaining_target_s: float,
    shortest_target_s: float,
    share_used: float,
) -> float:
    """Return the longest wait with which a request is sent, in seconds.

    :param no_wait_s: the time to its first token without any wait
    :param remaining_target_s: the time until the request's latency target
    :param shortest_target_s: the shortest target of its service's routes
    :param share_used: the used part of its workspace's share, this request
        included
    """
    limit_s = shortest_target_s * max_wait_share(share_used)
    slack = shortest_target_s / max(shortest_target_s, remaining_target_s)
    factor: float = slack**SLACK_EXPONENT
    limit_s *= factor
    in_time_s = USABLE_TARGET_SHARE * remaining_target_s
    if no_wait_s > in_time_s:
        return min(limit_s, MAX_WAIT_SHARE_OVERSIZE * shortest_target_s)
    return min(limit_s, in_time_s - no_wait_s)


def admit_to_engine(
    prediction: Prediction,
    remaining_target_s: float,
    shortest_target_s: float,
    share_used: float,
    promised_wait_s: float = 0.0,
) -> Admission:
    """Return whether a request may be sent to its engine.

    :param prediction: the request's course on the engine
    :param remaining_target_s: the time until the request's latency target
    :param shortest_target_s: the shortest target of its service's routes
    :param share_used: the used part of its workspace's share, this request
        included
    :param promised_wait_s: the wait that promises to returning requests mean
    """
    limit_s = permitted_wait_s(
        prediction.first_token_s - prediction.wait_s,
        remaining_target_s,
        shortest_target_s,
        share_used,
    )
    fits = prediction.wait_s + promised_wait_s <= limit_s
    return Admission.SEND if fits else Admission.REFUSE


def candidates_of(
    choice: EngineChoice, *, may_read_anew: bool
) -> list[Prediction]:
    """Return the engines that a request may go to, the best one first.

    :param choice: the best engines
    :param may_read_anew: whether it may go to an idle engine that keeps less
        of its prompt
    """
    candidates = [choice.best]
    if choice.without_preference is not None:
        candidates.append(choice.without_preference)
    if may_read_anew and choice.idle is not None:
        candidates.append(choice.idle)
    return candidates


def first_admitted(
    candidates: Sequence[Prediction],
    remaining_target_s: float,
    shortest_target_s: float,
    share_used: float,
    promised_wait_s: Callable[[Prediction], float],
) -> Prediction | None:
    """Return the first engine that a request may be sent to; None: none.

    :param candidates: the request's course on each engine
    :param remaining_target_s: the time until the request's latency target
    :param shortest_target_s: the shortest target of its service's routes
    :param share_used: the used part of its workspace's share, this request
        included
    :param promised_wait_s: returns the wait that promises to returning
        requests mean on an engine
    """
    for each in candidates:
        admission = admit_to_engine(
            each,
            remaining_target_s,
            shortest_target_s,
            share_used,
            promised_wait_s(each),
        )
        if admission is Admission.SEND:
            return each
    return None

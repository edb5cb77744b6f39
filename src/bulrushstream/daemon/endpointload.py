"""Records what an answer says of its endpoint's load, speed and limit."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bulrushstream.coordination.endpointpool import Endpoint
from bulrushstream.state.call import AnswerHead

if TYPE_CHECKING:
    from bulrushstream.daemon.front import Front


def observe(
    front: Front,
    endpoint: Endpoint,
    number: int,
    head: AnswerHead,
    sent_s: float,
    now_s: float,
) -> None:
    """Record what an answer says of its endpoint's load, speed and limit.

    :param front: the router
    :param endpoint: the endpoint
    :param number: the attempt's number
    :param head: the answer's head
    :param sent_s: when the request was sent
    :param now_s: the time
    """
    if front.pool.is_replaced(endpoint):
        return
    limits = front.fleet_state.limits
    if head.bad_limit:
        limits.observe_bad(endpoint.name, head.bad_limit)
    # Neither a bad value nor the answer of a full endpoint ends a limit.
    may_end = not head.bad_limit and not head.not_executed
    if head.request_limit is not None or may_end:
        limits.observe(endpoint.name, head.request_limit, sent_s, now_s)
    if head.work_factor:
        endpoint.speed.told(head.work_factor, now_s)
    # An error may take less time than the work.
    if endpoint.view is None and head.status < 400:
        front.fleet_state.answered(endpoint, number, sent_s, now_s)
    if head.load is not None and limits:
        running, waiting, _ = head.load
        limits.presence.load_told(
            endpoint.name, running + waiting, endpoint.outstanding, now_s
        )

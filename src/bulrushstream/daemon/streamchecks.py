"""Gives each attempt's event stream its check, and reports spoiled ones."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bulrushstream.coordination.streamcheck import StreamCheck
from bulrushstream.metrics import count_spoiled

if TYPE_CHECKING:
    from bulrushstream.daemon.attempt import Attempt
    from bulrushstream.daemon.front import Front


def begin(attempt: Attempt) -> None:
    """Check the events of an attempt by what is known of its service.

    :param attempt: the attempt, which has relayed no event yet
    """
    forward, entry = attempt.forward, attempt.endpoint.entry
    splitter, route = forward.splitter, forward.route
    endpoints = attempt.front.pool.by_service.get(entry.service, {})
    is_last = forward.progress.sends >= route.max_attempts
    splitter.check = StreamCheck(
        attempt.front.stream_patterns.find(entry.service, entry.version),
        attempt.endpoint.name,
        forward.doubts,
        resumable=route.repeatable and not is_last and len(endpoints) > 1,
        after=splitter.last_id,
        is_callers=not splitter.event_count,
    )


def spoiled(attempt: Attempt) -> str:
    """Count an attempt's spoiled stream; return what is wrong, for the log.

    :param attempt: the attempt
    """
    splitter = attempt.forward.splitter
    assert splitter.spoiling is not None
    kind = splitter.spoiling.value
    count_spoiled(attempt.front.metrics, attempt.endpoint.entry.service, kind)
    return f"spoiled events, {kind}: {splitter.spoiled_ids}"


def endpoint_removed(front: Front, service: str) -> None:
    """Forget what is known of a service's versions that have no endpoint.

    :param front: the router
    :param service: the service that an endpoint left
    """
    endpoints = front.pool.by_service.get(service, {})
    versions = {each.entry.version for each in endpoints.values()}
    front.stream_patterns.keep(service, versions)

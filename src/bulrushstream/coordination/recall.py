"""Takes requests back that agents pulled ahead of a free slot.

An agent pulls ahead so that its slot is not empty for a round trip.  If
another agent has a slot free before that one, the request would wait
beside an idle slot.  The router then revokes it: an agent that has not
started it refuses it, which is proof enough to dispatch it again, and one
that has started it says so and runs on.
"""

from __future__ import annotations

from bulrushstream.coordination.routing import AgentView, RouterState
from bulrushstream.state.message import Gone, Revoke
from bulrushstream.state.request import Outcome


def recall(state: RouterState, view: AgentView) -> None:
    """Revoke what an agent with free slots could start now.

    :param state: the router
    :param view: the agent that announced free slots
    """
    if state.queues.service_count(view.info.service):
        return
    wanted = view.free_slots
    for request_id in list(state.ahead):
        if not wanted:
            return
        tracked = state.tracked[request_id]
        if tracked.request.service != view.info.service:
            continue
        if tracked.agent is None or tracked.agent == view.info.key:
            continue
        del state.ahead[request_id]
        state.recalled.add(request_id)
        state.send(tracked.agent, Revoke(request_id, tracked.attempt))
        wanted -= 1


def is_too_late(state: RouterState, message: Gone) -> bool:
    """Return whether an agent only says that a recall came too late.

    Another request is then recalled in its place.

    :param state: the router
    :param message: the agent's answer to a revoke or a resume
    :returns: whether the attempt goes on
    """
    if message.request_id not in state.recalled:
        return False
    state.recalled.discard(message.request_id)
    if message.outcome is Outcome.NOT_RUN:
        return False
    service = state.tracked[message.request_id].request.service
    for view in state.agents_of(service):
        if view.usable and view.free_slots:
            recall(state, view)
            break
    return True


def forget(state: RouterState, request_id: str) -> None:
    """Note that an attempt has started or ended.

    :param state: the router
    :param request_id: which request
    """
    state.ahead.pop(request_id, None)
    state.recalled.discard(request_id)

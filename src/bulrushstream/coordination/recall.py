"""Recalls requests that agents pulled ahead, to run them elsewhere.

An agent pulls ahead so that its slot is not empty for a round trip.  If
another agent announces a free slot meanwhile, the request would wait
although a slot is idle.  The router then revokes it.  An agent that has not
started it refuses it, which proves that it can be dispatched again; one
that has started it reports that and continues.
"""

from __future__ import annotations

from bulrushstream.coordination.routerstate import AgentView, RouterState
from bulrushstream.state.message import Gone, Revoke
from bulrushstream.state.request import Outcome


def recall(state: RouterState, view: AgentView) -> None:
    """Revoke as many pulled-ahead requests as an agent has free slots.

    Nothing is revoked while other requests of the service are queued.

    :param state: the router
    :param view: the agent that announced free slots
    """
    if state.queues.service_count(view.info.service):
        return
    free_slots = view.free_slots
    for request_id in list(state.pulled_ahead):
        if not free_slots:
            return
        tracked = state.tracked[request_id]
        if tracked.request.service != view.info.service:
            continue
        if tracked.agent is None or tracked.agent == view.info.key:
            continue
        del state.pulled_ahead[request_id]
        state.recalled.add(request_id)
        state.send(tracked.agent, Revoke(request_id, tracked.attempt))
        free_slots -= 1


def handle_late_recall(state: RouterState, message: Gone) -> bool:
    """Handle the answer to a recall of an attempt that had started.

    Another request is then recalled in its place.

    :param state: the router
    :param message: the agent's answer to a revoke or a resume
    :returns: whether the answer was to a recall and the attempt continues
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
    """Exclude a request from recalls, as its attempt has ended.

    :param state: the router
    :param request_id: the request
    """
    state.pulled_ahead.pop(request_id, None)
    state.recalled.discard(request_id)

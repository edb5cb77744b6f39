"""Handles connects, disconnects and losses of the router's peers."""

from __future__ import annotations

from typing import Final

from bulrushstream.coordination import attempts, claims, gating
from bulrushstream.coordination.routerstate import (
    RouterState,
    RouterView,
    Timer,
)
from bulrushstream.state.identity import InstanceInfo, InstanceKey, Role
from bulrushstream.state.message import Goodbye

MAX_LOST: Final = 1024


def up(state: RouterState, info: InstanceInfo, now_s: float) -> None:
    """Handle a new connection to a peer.

    :param state: the router
    :param info: the peer
    :param now_s: the time on the core's clock
    """
    if info.role is Role.AGENT:
        attempts.agent_up(state, info, now_s)
    else:
        _router_up(state, info, now_s)
    if state.goodbye_sent:
        state.send(info.key, Goodbye(state.me.key.incarnation))


def down(state: RouterState, key: InstanceKey, now_s: float) -> None:
    """Handle the end of the connection to a peer.

    :param state: the router
    :param key: the peer
    :param now_s: the time on the core's clock
    """
    attempts.agent_down(state, key, now_s)
    view = state.routers.get(key)
    if view is not None:
        view.connected = False


def lost(state: RouterState, key: InstanceKey, now_s: float) -> None:
    """Remove a peer incarnation that will not return.

    :param state: the router
    :param key: the peer
    :param now_s: the time on the core's clock
    """
    attempts.agent_lost(state, key, now_s)
    if state.routers.pop(key, None) is None:
        return
    state.lost_routers[key] = None
    if len(state.lost_routers) > MAX_LOST:
        del state.lost_routers[next(iter(state.lost_routers))]
    gating.router_lost(state, key, now_s)
    claims.router_lost(state)


def leaving(state: RouterState, key: InstanceKey) -> None:
    """Stop dispatching to an agent that is leaving.

    :param state: the router
    :param key: the agent; other peers are ignored
    """
    view = state.agents.get(key)
    if view is not None:
        view.leaving = True
        view.free_slots = 0


def send_goodbyes(state: RouterState) -> None:
    """Send all peers a goodbye once a draining router's queues are empty."""
    if not state.draining or state.goodbye_sent:
        return
    if len(state.queues) or state.held_counts:
        return
    state.goodbye_sent = True
    goodbye = Goodbye(state.me.key.incarnation)
    for key in [*state.agents, *state.routers]:
        state.send(key, goodbye)


def _router_up(state: RouterState, info: InstanceInfo, now_s: float) -> None:
    for other in sorted(state.routers):
        is_same = other.instance == info.key.instance
        if is_same and other.incarnation < info.key.incarnation:
            lost(state, other, now_s)
    view = state.routers.setdefault(info.key, RouterView(info))
    view.connected = True
    # Messages on the old connection may be lost, so all is sent again.
    view.relayed_revisions.clear()
    view.agents_sent_s = float("-inf")
    gating.router_up(state, info.key, now_s)
    state.timers.set_earliest((Timer.RELAY, ""), now_s)

"""Faults of an instance of a fleet: crash, pause, cut and drain."""

from __future__ import annotations

from typing import Final

from bulrushstream.history.fleet import PEER_LOSS_DELAY_S, Fleet, Node
from bulrushstream.history.record import LeavingAnnounced
from bulrushstream.state.event import DrainStarted, PeerLeaving
from bulrushstream.state.identity import InstanceKey, Role

HEARTBEAT_TIMEOUT_S: Final = 2.0  # A silent peer is disconnected after it.
MAX_LIST_LAG_S: Final = 1.0  # Of the instance list.
DRAIN_POLL_S: Final = 0.05  # Interval of the checks whether a core is idle.
DRAIN_LIMIT_S: Final = 60.0  # A drain that takes longer is ended by a stop.


def crash(fleet: Fleet, name: str, down_s: float) -> None:
    """Stop an instance at once and start it again later.

    :param fleet: the fleet.
    :param name: the instance's name.
    :param down_s: how long it is down.
    """
    node = fleet.nodes[name]
    if not node.alive:
        return
    fleet.stop(node, planned=False)
    fleet.restart_later(node, down_s)


def pause(fleet: Fleet, name: str, duration_s: float) -> None:
    """Pause an instance for some time.

    :param fleet: the fleet.
    :param name: the instance's name.
    :param duration_s: how long.
    """
    node = fleet.nodes[name]
    if not node.alive or node.paused:
        return
    node.paused = True
    if duration_s > HEARTBEAT_TIMEOUT_S:
        fleet.timeline.schedule(HEARTBEAT_TIMEOUT_S, lambda: cut(fleet, name))
    fleet.timeline.schedule(duration_s, lambda: _resume(fleet, node))


def _resume(fleet: Fleet, node: Node) -> None:
    """Resume an instance and deliver its pending events in order."""
    node.paused = False
    pending, node.pending_events = node.pending_events, []
    for event in pending:
        fleet.deliver(node.info.key, event)


def cut(
    fleet: Fleet, name: str, other: str = "", duration_s: float = 0.0
) -> None:
    """Break connections of an instance for some time.

    :param fleet: the fleet.
    :param name: the instance's name.
    :param other: the other instance; empty: all connections.
    :param duration_s: how long new ones are blocked.
    """
    node = fleet.nodes[name]
    if not node.alive:
        return
    fleet.network.cut(name, other, duration_s)
    if (
        not fleet.network.conditions.false_losses
        or duration_s < PEER_LOSS_DELAY_S[0]
    ):
        return
    for peer in fleet.nodes.values():
        if other in ("", peer.info.key.instance):
            fleet.report_lost_later(peer.info.key, node.info.key)


def begin_drain(fleet: Fleet, name: str) -> None:
    """Drain an instance, stop it when it is idle and start it again.

    :param fleet: the fleet.
    :param name: the instance's name.
    """
    node = fleet.nodes[name]
    if not node.alive or node.paused or node.draining:
        return
    node.draining = True
    key = node.info.key
    if node.info.role is Role.AGENT:
        fleet.history.append(LeavingAnnounced(fleet.timeline.now_s, key))
        fleet.load.remove_agent(fleet.timeline.now_s, key)
    fleet.deliver(key, DrainStarted())
    for other in list(fleet.nodes.values()):
        if other is not node:
            _announce_leaving_later(fleet, other.info.key, key)
    limit_s = fleet.timeline.now_s + DRAIN_LIMIT_S
    _stop_when_idle(fleet, node, limit_s)


def _announce_leaving_later(
    fleet: Fleet, other: InstanceKey, leaving: InstanceKey
) -> None:
    """Announce a leaving instance with the lag of the instance list."""
    delay_s = fleet.rng.random() * MAX_LIST_LAG_S
    event = PeerLeaving(leaving)
    fleet.timeline.schedule(delay_s, lambda: fleet.deliver(other, event))


def _stop_when_idle(fleet: Fleet, node: Node, limit_s: float) -> None:
    """Stop a draining instance when its core is idle or time is up."""
    if not node.alive:
        return
    timed_out = fleet.timeline.now_s >= limit_s
    idle = not node.paused and node.core.is_idle()
    if idle or timed_out:
        fleet.stop(node, planned=idle)
        fleet.restart_later(node, fleet.rng.random())
        return
    fleet.timeline.schedule(
        DRAIN_POLL_S, lambda: _stop_when_idle(fleet, node, limit_s)
    )

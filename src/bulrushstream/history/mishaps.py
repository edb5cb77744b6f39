"""What can befall an instance of a fleet: crash, pause, cut and drain."""

from __future__ import annotations

from typing import Final

from bulrushstream.history.fleet import GIVE_UP_S, Fleet, Node
from bulrushstream.history.record import LeavingShown
from bulrushstream.state.event import DrainStarted, PeerLeaving
from bulrushstream.state.identity import InstanceKey, Role

HEARTBEAT_TIMEOUT_S: Final = 2.0  # After which a silent peer is cut.
NOTICE_LAG_S: Final = 1.0  # The instance list's lag.
DRAIN_POLL_S: Final = 0.05  # How often a draining core is asked.
DRAIN_LIMIT_S: Final = 60.0  # When a drain is given up.


def crash(fleet: Fleet, name: str, down_s: float) -> None:
    """End an instance at once and start it again later.

    :param fleet: the fleet.
    :param name: which instance.
    :param down_s: how long it is down.
    """
    node = fleet.nodes[name]
    if not node.alive:
        return
    fleet.end(node, planned=False)
    fleet.restart_later(node, down_s)


def pause(fleet: Fleet, name: str, for_s: float) -> None:
    """Let an instance stand still for a while.

    :param fleet: the fleet.
    :param name: which instance.
    :param for_s: how long.
    """
    node = fleet.nodes[name]
    if not node.alive or node.paused:
        return
    node.paused = True
    if for_s > HEARTBEAT_TIMEOUT_S:
        fleet.timeline.after(HEARTBEAT_TIMEOUT_S, lambda: cut(fleet, name))
    fleet.timeline.after(for_s, lambda: _resume(fleet, node))


def _resume(fleet: Fleet, node: Node) -> None:
    """Let an instance take what was held for it, in order."""
    node.paused = False
    held, node.held = node.held, []
    for event in held:
        fleet.deliver(node.info.key, event)


def cut(fleet: Fleet, name: str, other: str = "", for_s: float = 0.0) -> None:
    """Break connections of an instance for a while.

    :param fleet: the fleet.
    :param name: which instance.
    :param other: the other side; empty: everybody.
    :param for_s: how long they can not be made again.
    """
    node = fleet.nodes[name]
    if not node.alive:
        return
    fleet.network.cut(name, other, for_s)
    if not fleet.network.weather.false_losses or for_s < GIVE_UP_S[0]:
        return
    for peer in fleet.nodes.values():
        if other in ("", peer.info.key.instance):
            fleet.give_up_later(peer.info.key, node.info.key)


def drain(fleet: Fleet, name: str) -> None:
    """Ask an instance to stop, and start it again once it has ended.

    :param fleet: the fleet.
    :param name: which instance.
    """
    node = fleet.nodes[name]
    if not node.alive or node.paused or node.draining:
        return
    node.draining = True
    key = node.info.key
    if node.info.role is Role.AGENT:
        fleet.history.append(LeavingShown(fleet.timeline.now_s, key))
        fleet.census.close(fleet.timeline.now_s, key)
    fleet.deliver(key, DrainStarted())
    for other in list(fleet.nodes.values()):
        if other is not node:
            _tell_leaving_later(fleet, other.info.key, key)
    limit_s = fleet.timeline.now_s + DRAIN_LIMIT_S
    _stop_when_idle(fleet, node, limit_s)


def _tell_leaving_later(
    fleet: Fleet, other: InstanceKey, leaving: InstanceKey
) -> None:
    """Let the lagging instance list show who is leaving."""
    delay_s = fleet.rng.random() * NOTICE_LAG_S
    event = PeerLeaving(leaving)
    fleet.timeline.after(delay_s, lambda: fleet.deliver(other, event))


def _stop_when_idle(fleet: Fleet, node: Node, limit_s: float) -> None:
    """End a draining instance as soon as its core may end."""
    if not node.alive:
        return
    late = fleet.timeline.now_s >= limit_s
    idle = not node.paused and node.core.is_idle()
    if idle or late:
        fleet.end(node, planned=idle)
        fleet.restart_later(node, fleet.rng.random())
        return
    fleet.timeline.after(
        DRAIN_POLL_S, lambda: _stop_when_idle(fleet, node, limit_s)
    )

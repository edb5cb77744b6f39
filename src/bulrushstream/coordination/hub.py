"""Synchronises the ledger of service received between agents and routers.

Agents are not connected with each other.  Each reports to its routers the
service that workspaces received from it.  A router adds these reports up
and sends each agent a *digest*: per workspace, the service received from
all other agents.  All routers have nearly the same ledger, so one of the
routers connected with an agent, chosen by rendezvous hashing, is
responsible for it, and the others send their digests only at a long
interval.

Routers *relay* to each other the reports of agents that the receiver is
not connected with, and the totals of ended incarnations, which a restarted
router could not learn from any agent.
"""

from __future__ import annotations

from typing import Final

import xxhash

from bulrushstream.coordination.routerstate import (
    AgentView,
    RouterState,
    RouterView,
    Timer,
)
from bulrushstream.state.identity import InstanceInfo, InstanceKey
from bulrushstream.state.ledger import NO_REVISION, Ledger, with_sender
from bulrushstream.state.message import Digest, DigestEntry, Floor, Served
from bulrushstream.state.queues import QueueKey

CONNECTED_REPEAT_S: Final = 10.0
SPARE: Final = "spare"
MAX_RELAY_ENTRIES: Final = 500


def merge_served(
    state: RouterState, peer: InstanceKey, message: Served, now_s: float
) -> None:
    """Merge a report of an agent, or one relayed by another router.

    :param state: the router
    :param peer: the sender
    :param message: the changed ledger entries
    :param now_s: the time on the core's clock
    """
    ledger = _ledger(state, message.service)
    for entry in message.entries:
        ledger.merge(with_sender(entry, peer, message.sequence))
    view = state.routers.get(peer)
    if view is not None:
        _update_connected(view, frozenset(message.heard))
    _schedule(state, now_s)


def raise_floor(
    state: RouterState, peer: InstanceKey, message: Floor, now_s: float
) -> None:
    """Raise the floor of a workspace's service, if it is a higher one.

    Agents get it with their next digest.  A floor that came from an agent
    is forwarded to the routers that are not connected with that agent.

    :param state: the router
    :param peer: the sender
    :param message: the floor
    :param now_s: the time on the core's clock
    """
    key = QueueKey(message.service, message.workspace)
    if message.floor <= state.lifts.get(key, 0.0):
        return
    state.lifts[key] = message.floor
    for view in state.agents_of(message.service):
        view.unsent_lifts.add(message.workspace)
    if peer in state.agents:
        for other, router in sorted(state.routers.items()):
            if peer.instance not in router.agents:
                state.send(other, message)
    _schedule(state, now_s)


def sync_agent(state: RouterState, view: AgentView) -> None:
    """Send a newly connected agent the full digest and all floors.

    :param state: the router
    :param view: the agent
    """
    view.sent_entries.clear()
    view.sent_revision = NO_REVISION
    service = view.info.service
    view.unsent_lifts.update(
        key.workspace for key in state.lifts if key.service == service
    )
    _send_digest(state, view)


def fold_incarnation(state: RouterState, info: InstanceInfo) -> None:
    """Add an ended incarnation's service to its instance's total.

    :param state: the router
    :param info: the incarnation that will not come back
    """
    ledger = _ledger(state, info.service)
    ledger.fold(info.key.instance, info.key.incarnation)


def send_digests(state: RouterState, as_backup: bool, now_s: float) -> None:
    """Send digests of the changes to agents.

    :param state: the router
    :param as_backup: whether to include agents that other routers are
        responsible for
    :param now_s: the time on the core's clock
    """
    for view in state.agents.values():
        if view.connected and (as_backup or _is_responsible(state, view)):
            _send_digest(state, view)
    if not as_backup:
        due_s = now_s + state.options.backup_digest_interval_s
        state.timers.set_earliest((Timer.DIGEST, SPARE), due_s)


def relay_to_routers(state: RouterState, now_s: float) -> None:
    """Send each router the reports that it does not receive itself.

    :param state: the router
    :param now_s: the time on the core's clock
    """
    connected = frozenset(
        view.info.key.instance
        for view in state.agents.values()
        if view.connected
    )
    for peer in state.routers.values():
        if not peer.connected:
            continue
        _send_connected(state, peer, connected, now_s)
        for service, ledger in state.ledgers.items():
            _relay_service(state, peer, service, ledger, connected)
    due_s = now_s + state.options.relay_interval_s
    if state.routers:
        state.timers.set((Timer.RELAY, ""), due_s)


def _relay_service(
    state: RouterState,
    peer: RouterView,
    service: str,
    ledger: Ledger,
    connected: frozenset[str],
) -> None:
    since = peer.relayed_revisions.get(service, NO_REVISION)
    # A peer that may have no ledger also gets entries of lost agents.
    is_full = since == NO_REVISION
    entries = [
        entry
        for entry in ledger.entries(since)
        if entry.folded
        or (
            entry.agent not in peer.agents
            and (is_full or entry.agent in connected)
        )
    ]
    peer.relayed_revisions[service] = ledger.revision
    names = tuple(sorted(connected))
    for start in range(0, len(entries), MAX_RELAY_ENTRIES):
        chunk = tuple(entries[start : start + MAX_RELAY_ENTRIES])
        sequence = state.next_sequence()
        state.send(peer.info.key, Served(service, sequence, chunk, names))


def _send_connected(
    state: RouterState,
    peer: RouterView,
    connected: frozenset[str],
    now_s: float,
) -> None:
    """Send a peer this router's connected agents, on change or repeat."""
    age_s = now_s - peer.agents_sent_s
    if connected == peer.sent_agents and age_s < CONNECTED_REPEAT_S:
        return
    peer.sent_agents = connected
    peer.agents_sent_s = now_s
    message = Served("", state.next_sequence(), (), tuple(sorted(connected)))
    state.send(peer.info.key, message)


def _update_connected(view: RouterView, connected: frozenset[str]) -> None:
    """Update the set of agents that a peer is connected with."""
    if view.agents - connected:
        # Reports of the agents that it lost were not relayed to it, so it
        # needs all entries.
        view.relayed_revisions.clear()
    view.agents = connected


def _send_digest(state: RouterState, view: AgentView) -> None:
    """Send an agent the entries that changed since its last digest."""
    ledger = _ledger(state, view.info.service)
    changed = view.unsent_lifts.union(ledger.workspaces(view.sent_revision))
    view.unsent_lifts.clear()
    view.sent_revision = ledger.revision
    entries = []
    for workspace in sorted(changed):
        entry = _entry(state, view, workspace)
        if view.sent_entries.get(workspace) != entry:
            view.sent_entries[workspace] = entry
            entries.append(entry)
    if entries:
        message = Digest(
            view.info.service, state.next_sequence(), tuple(entries)
        )
        state.send(view.info.key, message)


def _entry(state: RouterState, view: AgentView, workspace: str) -> DigestEntry:
    service = view.info.service
    sums = _ledger(state, service).total(workspace, view.info.key)
    floor = state.lifts.get(QueueKey(service, workspace), 0.0)
    return DigestEntry(workspace, sums.total, sums.in_flight, floor)


def _is_responsible(state: RouterState, view: AgentView) -> bool:
    """Return whether this router is responsible for an agent's digests.

    Only routers that are connected with the agent are candidates.
    """
    agent = view.info.key.instance
    own_weight = _rendezvous_weight(state.me.key, agent)
    return all(
        _rendezvous_weight(key, agent) < own_weight
        for key, peer in state.routers.items()
        if peer.connected and agent in peer.agents
    )


def _rendezvous_weight(router: InstanceKey, agent: str) -> int:
    return xxhash.xxh64_intdigest(f"{router.instance}|{agent}".encode())


def _ledger(state: RouterState, service: str) -> Ledger:
    ledger = state.ledgers.get(service)
    if ledger is None:
        ledger = state.ledgers[service] = Ledger()
    return ledger


def _schedule(state: RouterState, now_s: float) -> None:
    due_s = now_s + state.options.digest_interval_s
    state.timers.set_earliest((Timer.DIGEST, ""), due_s)

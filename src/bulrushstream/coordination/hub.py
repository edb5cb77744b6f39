"""Carries the service ledger between agents that do not hear each other.

Agents report what they served; a router sums it up and sends each agent a
*digest*: per workspace, what all others have served.  All routers know
nearly the same, so one of those that hear an agent, chosen by rendezvous
hashing, is in charge of it and the others repeat the digest only now and
then.  Routers *relay* to each other what only one of them hears, and what
incarnations served that are over, which nobody else would tell a router
that restarted.
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

HEARD_REPEAT_S: Final = 10.0
SPARE: Final = "spare"
MAX_ENTRIES: Final = 500


def served(
    state: RouterState, peer: InstanceKey, message: Served, now_s: float
) -> None:
    """Merge what an agent served, or what a router peer knows of it.

    :param state: the router
    :param peer: who sent it
    :param message: the changes
    :param now_s: the time on the core's clock
    """
    ledger = _ledger(state, message.service)
    for entry in message.entries:
        ledger.merge(with_sender(entry, peer, message.sequence))
    view = state.routers.get(peer)
    if view is not None:
        _note_heard(view, frozenset(message.heard))
    _schedule(state, now_s)


def floor(
    state: RouterState, peer: InstanceKey, message: Floor, now_s: float
) -> None:
    """Take a workspace's lift, and pass it on to routers if it is new.

    Agents get it with their next digest.

    :param state: the router
    :param peer: who sent it
    :param message: the lift
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


def agent_up(state: RouterState, view: AgentView) -> None:
    """Tell an agent that just connected all that it may lack.

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


def agent_over(state: RouterState, info: InstanceInfo) -> None:
    """Fold away what an incarnation of an agent served.

    :param state: the router
    :param info: the incarnation that will not come back
    """
    ledger = _ledger(state, info.service)
    ledger.fold(info.key.instance, info.key.incarnation)


def digest(state: RouterState, spare: bool, now_s: float) -> None:
    """Send agents what changed.

    :param state: the router
    :param spare: whether also to agents that others are in charge of
    :param now_s: the time on the core's clock
    """
    for view in state.agents.values():
        if view.connected and (spare or _in_charge(state, view)):
            _send_digest(state, view)
    if not spare:
        due_s = now_s + state.options.backup_digest_interval_s
        state.timers.set_earliest((Timer.DIGEST, SPARE), due_s)


def relay(state: RouterState, now_s: float) -> None:
    """Send router peers what they do not hear themselves.

    :param state: the router
    :param now_s: the time on the core's clock
    """
    heard = frozenset(
        view.info.key.instance
        for view in state.agents.values()
        if view.connected
    )
    for peer in state.routers.values():
        if not peer.connected:
            continue
        _say_heard(state, peer, heard, now_s)
        for service, ledger in state.ledgers.items():
            _relay_one(state, peer, service, ledger, heard)
    due_s = now_s + state.options.relay_interval_s
    if state.routers:
        state.timers.set((Timer.RELAY, ""), due_s)


def _relay_one(
    state: RouterState,
    peer: RouterView,
    service: str,
    ledger: Ledger,
    heard: frozenset[str],
) -> None:
    since = peer.relayed_revisions.get(service, NO_REVISION)
    # A peer that may know nothing is also told of agents that are gone.
    everything = since == NO_REVISION
    entries = [
        entry
        for entry in ledger.entries(since)
        if entry.folded
        or (
            entry.agent not in peer.agents
            and (everything or entry.agent in heard)
        )
    ]
    peer.relayed_revisions[service] = ledger.revision
    names = tuple(sorted(heard))
    for start in range(0, len(entries), MAX_ENTRIES):
        some = tuple(entries[start : start + MAX_ENTRIES])
        sequence = state.next_sequence()
        state.send(peer.info.key, Served(service, sequence, some, names))


def _say_heard(
    state: RouterState, peer: RouterView, heard: frozenset[str], now_s: float
) -> None:
    """Tell a peer whom this router hears, on change and now and then."""
    age_s = now_s - peer.agents_sent_s
    if heard == peer.sent_agents and age_s < HEARD_REPEAT_S:
        return
    peer.sent_agents = heard
    peer.agents_sent_s = now_s
    message = Served("", state.next_sequence(), (), tuple(sorted(heard)))
    state.send(peer.info.key, message)


def _note_heard(view: RouterView, heard: frozenset[str]) -> None:
    """Note which agents a peer hears."""
    if view.agents - heard:
        # It has missed what it was not told of the agents that it lost.
        view.relayed_revisions.clear()
    view.agents = heard


def _send_digest(state: RouterState, view: AgentView) -> None:
    """Send an agent what changed since it was told."""
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
    lift = state.lifts.get(QueueKey(service, workspace), 0.0)
    return DigestEntry(workspace, sums.total, sums.in_flight, lift)


def _in_charge(state: RouterState, view: AgentView) -> bool:
    """Return whether this router is the one that tells an agent.

    It is one of those that hear the agent, so that it can.
    """
    agent = view.info.key.instance
    mine = _rank(state.me.key, agent)
    return all(
        _rank(key, agent) < mine
        for key, peer in state.routers.items()
        if peer.connected and agent in peer.agents
    )


def _rank(router: InstanceKey, agent: str) -> int:
    return xxhash.xxh64_intdigest(f"{router.instance}|{agent}".encode())


def _ledger(state: RouterState, service: str) -> Ledger:
    ledger = state.ledgers.get(service)
    if ledger is None:
        ledger = state.ledgers[service] = Ledger()
    return ledger


def _schedule(state: RouterState, now_s: float) -> None:
    due_s = now_s + state.options.digest_interval_s
    state.timers.set_earliest((Timer.DIGEST, ""), due_s)

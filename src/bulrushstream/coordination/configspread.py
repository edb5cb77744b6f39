"""Spread versions of the configuration from peer to peer.

Peers *announce* the version that they have, and whoever has a lower one
*fetches* it from one of them.  A new version is announced in a few rounds
to some of the peers that may lack it; those announce it in turn, so that
it reaches a large fleet with few messages from each instance.  Agents only
hear from the routers that they are connected with, so each router
announces to all of its agents at once.

Lost messages are made up for by an announcement to one random peer from
time to time, and a fetch without an answer is sent to another peer.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from random import Random
from typing import Final

from bulrushstream.coordination.configlog import (
    Verdict,
    decode_record,
    encode_checkpoint,
    encode_publish,
    open_record,
)
from bulrushstream.state.config import (
    EMPTY_CONFIG,
    NO_VERSION,
    VersionedConfig,
)
from bulrushstream.state.effect import Send
from bulrushstream.state.identity import InstanceInfo, InstanceKey, Role
from bulrushstream.state.message import ConfigFetch, ConfigPush

NEVER_S: Final = float("inf")


@dataclass(frozen=True, slots=True)
class SpreadOptions:
    """How versions are spread."""

    fanout: int = 8  # Routers that one round announces to.
    rounds: int = 3  # Rounds per version.
    round_interval_s: float = 0.2  # Time between rounds.
    fetch_timeout_s: float = 0.5  # Then another peer is asked.
    repeat_interval_s: float = 5.0  # Between announcements at random.
    history: int = 16  # Versions that deltas can start from.


@dataclass(slots=True)
class _Peer:
    """What is known of one connected peer."""

    is_agent: bool  # Whether it is an agent.
    version: int = NO_VERSION  # The highest version that it has shown.
    announced: int = NO_VERSION  # The highest version announced to it.


@dataclass(slots=True)
class SpreadState:
    """What one instance knows of its peers' versions."""

    options: SpreadOptions  # How versions are spread.
    rng: Random  # Picks peers.
    current: VersionedConfig = EMPTY_CONFIG  # The version in force.
    peers: dict[InstanceKey, _Peer] = field(default_factory=dict)
    history: deque[VersionedConfig] = field(default_factory=deque)
    bodies: dict[int, bytes] = field(default_factory=dict)  # By base.
    rounds_left: int = 0  # Rounds still due for the current version.
    round_due_s: float = NEVER_S  # When the next round is due.
    fetch_due_s: float = NEVER_S  # When an unanswered fetch is repeated.
    repeat_due_s: float = 0.0  # When the next random announcement is due.


def add_peer(state: SpreadState, info: InstanceInfo) -> list[Send]:
    """Note a connection and announce the version in force over it."""
    state.peers[info.key] = _Peer(info.role is Role.AGENT)
    return _announce(state, [info.key])


def drop_peer(state: SpreadState, peer: InstanceKey) -> None:
    """Forget a connection that broke."""
    state.peers.pop(peer, None)


def adopt(
    state: SpreadState, current: VersionedConfig, now_s: float, delay_s: float
) -> None:
    """Take a new version in force and plan its announcement.

    :param state: Changed in place.
    :param current: The new version.
    :param now_s: The time.
    :param delay_s: Until the first round, so that peers which hear of it
        from others meanwhile need no announcement.
    """
    state.history.append(state.current)
    while len(state.history) > state.options.history:
        state.history.popleft()
    state.current = current
    state.bodies.clear()
    state.rounds_left = state.options.rounds
    state.round_due_s = now_s + delay_s
    state.fetch_due_s = NEVER_S


def fetched(
    state: SpreadState, peer: InstanceKey, message: ConfigPush
) -> VersionedConfig | Verdict | None:
    """Take in an announcement or a version from a peer.

    :param state: Changed in place.
    :param peer: Who sent it.
    :param message: What was sent.
    :returns: A version that is newer than the one in force, why its body
        is refused, or None if the message holds no newer version.
    """
    _note(state, peer, message.version)
    if not message.body or message.version <= state.current.version:
        return None
    record = decode_record(message.body)
    if record is None:
        return Verdict.UNDECODABLE
    config = open_record(record, state.current)
    if isinstance(config, Verdict):
        return config
    if record.digest != message.digest:
        return Verdict.WRONG_DIGEST
    return VersionedConfig(message.version, config, record.digest)


def answer_push(
    state: SpreadState, peer: InstanceKey, now_s: float
) -> list[Send]:
    """Fetch from a peer that has more, or tell one that has less."""
    known = state.peers.get(peer)
    if known is None or known.version == state.current.version:
        return []
    if known.version < state.current.version:
        return _announce(state, [peer])
    if state.fetch_due_s != NEVER_S:
        return []
    return _fetch(state, peer, now_s)


def answer_fetch(
    state: SpreadState, peer: InstanceKey, message: ConfigFetch, now_s: float
) -> list[Send]:
    """Give a peer the version in force, if it has a lower one."""
    _note(state, peer, message.version)
    if message.version >= state.current.version:
        return answer_push(state, peer, now_s)
    current = state.current
    body = _body_for(state, message.version)
    push = ConfigPush(current.version, current.digest, body)
    return [Send(peer, push)]


def tick(state: SpreadState, now_s: float) -> list[Send]:
    """Do what is due."""
    sends: list[Send] = []
    if state.rounds_left and now_s >= state.round_due_s:
        sends += _round(state, now_s)
    if now_s >= state.fetch_due_s:
        state.fetch_due_s = NEVER_S
        sends += _fetch_again(state, now_s)
    if now_s >= state.repeat_due_s:
        spread = 0.5 + state.rng.random()
        state.repeat_due_s = now_s + state.options.repeat_interval_s * spread
        sends += _repeat(state, now_s)
    return sends


def due_s(state: SpreadState) -> float:
    """Return when `tick` has something to do next."""
    round_due_s = state.round_due_s if state.rounds_left else NEVER_S
    return min(round_due_s, state.fetch_due_s, state.repeat_due_s)


def _note(state: SpreadState, peer: InstanceKey, version: int) -> None:
    known = state.peers.get(peer)
    if known is not None:
        known.version = max(known.version, version)


def _body_for(state: SpreadState, version: int) -> bytes:
    """Return the version in force for a peer that has another one."""
    body = state.bodies.get(version)
    if body is None:
        body = _encode_for(state, version)
        state.bodies[version] = body
    return body


def _encode_for(state: SpreadState, version: int) -> bytes:
    """Encode the version in force, in full unless the base is known."""
    for known in state.history:
        if known.version == version:
            return encode_publish(known, state.current.config)
    return encode_checkpoint(state.current)


def _announce(state: SpreadState, peers: list[InstanceKey]) -> list[Send]:
    current = state.current
    if current.version == NO_VERSION:
        return []
    for peer in peers:
        state.peers[peer].announced = current.version
    push = ConfigPush(current.version, current.digest, b"")
    return [Send(peer, push) for peer in peers]


def _round(state: SpreadState, now_s: float) -> list[Send]:
    """Announce to all agents and some routers that may lack the version."""
    version = state.current.version
    lacking = [
        key
        for key, peer in state.peers.items()
        if max(peer.version, peer.announced) < version
    ]
    agents = [key for key in lacking if state.peers[key].is_agent]
    routers = [key for key in lacking if not state.peers[key].is_agent]
    if len(routers) > state.options.fanout:
        routers = state.rng.sample(routers, state.options.fanout)
    state.rounds_left -= 1
    state.round_due_s = now_s + state.options.round_interval_s
    return _announce(state, agents + routers)


def _fetch(state: SpreadState, peer: InstanceKey, now_s: float) -> list[Send]:
    state.fetch_due_s = now_s + state.options.fetch_timeout_s
    return [Send(peer, ConfigFetch(state.current.version))]


def _fetch_again(state: SpreadState, now_s: float) -> list[Send]:
    ahead = [
        key
        for key, peer in state.peers.items()
        if peer.version > state.current.version
    ]
    if not ahead:
        return []
    return _fetch(state, state.rng.choice(ahead), now_s)


def _repeat(state: SpreadState, now_s: float) -> list[Send]:
    """Announce to one peer, or ask one if there is nothing to announce."""
    if not state.peers:
        return []
    peer = state.rng.choice(list(state.peers))
    if state.current.version == NO_VERSION:
        return [Send(peer, ConfigFetch(NO_VERSION))]
    return _announce(state, [peer])

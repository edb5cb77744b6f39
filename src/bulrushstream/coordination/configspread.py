"""Spreads versions of the configuration between peers by gossip.

An instance *announces* its version to peers, and a peer with a lower
version *fetches* the configuration from one of the announcing instances.
A new version is announced in a few rounds, each to a random selection of
the routers that may lack it.  They announce it in turn, so it reaches a
large fleet with few messages per instance.  Agents receive versions only
from the routers that they are connected with, so each round of a router
includes all its agents that may lack the version.

To make up for lost messages, each instance periodically announces its
version to one random peer, and repeats an unanswered fetch with a random
peer that has a higher version.
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
    resolve_config,
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
    """Limits and intervals of announcements and fetches."""

    fanout: int = 8  # Maximum of routers per round.
    rounds: int = 3  # Per version.
    round_interval_s: float = 0.2
    fetch_timeout_s: float = 0.5  # Then another peer is asked.
    repeat_interval_s: float = 5.0  # Mean, between random announcements.
    history: int = 16  # Earlier versions kept as bases of deltas.


@dataclass(slots=True)
class _Peer:
    """The versions of one connected peer."""

    is_agent: bool
    version: int = NO_VERSION  # The highest version in its messages.
    announced: int = NO_VERSION  # The latest version announced to it.


@dataclass(slots=True)
class SpreadState:
    """The current version and the peers' versions."""

    options: SpreadOptions
    rng: Random  # Picks peers and jitter.
    current: VersionedConfig = EMPTY_CONFIG
    peers: dict[InstanceKey, _Peer] = field(default_factory=dict)
    history: deque[VersionedConfig] = field(default_factory=deque)
    encoded_bodies: dict[int, bytes] = field(default_factory=dict)  # By base.
    rounds_left: int = 0  # Rounds still due for the current version.
    round_due_s: float = NEVER_S  # Of the next round.
    fetch_due_s: float = NEVER_S  # When an unanswered fetch is repeated.
    repeat_due_s: float = 0.0  # Of the next random announcement.


def add_peer(state: SpreadState, info: InstanceInfo) -> list[Send]:
    """Add a connected peer and announce the current version to it."""
    state.peers[info.key] = _Peer(info.role is Role.AGENT)
    return _announce(state, [info.key])


def drop_peer(state: SpreadState, peer: InstanceKey) -> None:
    """Remove a peer whose connection broke."""
    state.peers.pop(peer, None)


def set_current(
    state: SpreadState, current: VersionedConfig, now_s: float, delay_s: float
) -> None:
    """Set the current version and schedule its announcement.

    :param state: Changed in place.
    :param current: The new version.
    :param now_s: The time.
    :param delay_s: Time until the first round; peers that get the version
        from others meanwhile need no announcement.
    """
    state.history.append(state.current)
    while len(state.history) > state.options.history:
        state.history.popleft()
    state.current = current
    state.encoded_bodies.clear()
    state.rounds_left = state.options.rounds
    state.round_due_s = now_s + delay_s
    state.fetch_due_s = NEVER_S


def newer_from_push(
    state: SpreadState, peer: InstanceKey, message: ConfigPush
) -> VersionedConfig | Verdict | None:
    """Record a peer's announcement, and decode a newer version in it.

    :param state: Changed in place.
    :param peer: The sender.
    :param message: An announcement (empty body) or a fetched version.
    :returns: The version if it is newer than the current one, the reason
        why its body is refused, or None if there is no newer version.
    """
    _record_version(state, peer, message.version)
    if not message.body or message.version <= state.current.version:
        return None
    record = decode_record(message.body)
    if record is None:
        return Verdict.UNDECODABLE
    config = resolve_config(record, state.current)
    if isinstance(config, Verdict):
        return config
    if record.digest != message.digest:
        return Verdict.WRONG_DIGEST
    return VersionedConfig(message.version, config, record.digest)


def answer_push(
    state: SpreadState, peer: InstanceKey, now_s: float
) -> list[Send]:
    """Fetch from a peer with a higher version, announce to a lower one."""
    sender = state.peers.get(peer)
    if sender is None or sender.version == state.current.version:
        return []
    if sender.version < state.current.version:
        return _announce(state, [peer])
    if state.fetch_due_s != NEVER_S:
        return []
    return _fetch(state, peer, now_s)


def answer_fetch(
    state: SpreadState, peer: InstanceKey, message: ConfigFetch, now_s: float
) -> list[Send]:
    """Send the current version to a peer, if it has a lower one."""
    _record_version(state, peer, message.version)
    if message.version >= state.current.version:
        return answer_push(state, peer, now_s)
    current = state.current
    body = _body_for(state, message.version)
    push = ConfigPush(current.version, current.digest, body)
    return [Send(peer, push)]


def tick(state: SpreadState, now_s: float) -> list[Send]:
    """Return the messages that are due."""
    sends: list[Send] = []
    if state.rounds_left and now_s >= state.round_due_s:
        sends += _announce_round(state, now_s)
    if now_s >= state.fetch_due_s:
        state.fetch_due_s = NEVER_S
        sends += _retry_fetch(state, now_s)
    if now_s >= state.repeat_due_s:
        spread = 0.5 + state.rng.random()
        state.repeat_due_s = now_s + state.options.repeat_interval_s * spread
        sends += _announce_random(state, now_s)
    return sends


def due_s(state: SpreadState) -> float:
    """Return when `tick` must be called next."""
    round_due_s = state.round_due_s if state.rounds_left else NEVER_S
    return min(round_due_s, state.fetch_due_s, state.repeat_due_s)


def _record_version(
    state: SpreadState, peer: InstanceKey, version: int
) -> None:
    sender = state.peers.get(peer)
    if sender is not None:
        sender.version = max(sender.version, version)


def _body_for(state: SpreadState, version: int) -> bytes:
    """Return the current version, encoded for a peer with another one."""
    body = state.encoded_bodies.get(version)
    if body is None:
        body = _encode_for(state, version)
        state.encoded_bodies[version] = body
    return body


def _encode_for(state: SpreadState, version: int) -> bytes:
    """Encode the current version, as a delta if the base is in history."""
    for base in state.history:
        if base.version == version:
            return encode_publish(base, state.current.config)
    return encode_checkpoint(state.current)


def _announce(state: SpreadState, peers: list[InstanceKey]) -> list[Send]:
    current = state.current
    if current.version == NO_VERSION:
        return []
    for peer in peers:
        state.peers[peer].announced = current.version
    push = ConfigPush(current.version, current.digest, b"")
    return [Send(peer, push) for peer in peers]


def _announce_round(state: SpreadState, now_s: float) -> list[Send]:
    """Announce to the agents and some routers that may lack the version."""
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


def _retry_fetch(state: SpreadState, now_s: float) -> list[Send]:
    ahead = [
        key
        for key, peer in state.peers.items()
        if peer.version > state.current.version
    ]
    if not ahead:
        return []
    return _fetch(state, state.rng.choice(ahead), now_s)


def _announce_random(state: SpreadState, now_s: float) -> list[Send]:
    """Announce to a random peer, or fetch from it without a version."""
    if not state.peers:
        return []
    peer = state.rng.choice(list(state.peers))
    if state.current.version == NO_VERSION:
        return [Send(peer, ConfigFetch(NO_VERSION))]
    return _announce(state, [peer])

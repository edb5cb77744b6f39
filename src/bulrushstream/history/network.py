"""Connections between instances, as the cores see them.

A connection delivers messages in order and at most once.  When it breaks,
messages in flight are lost, and each side detects the break after its own
delay.  In addition, messages may be lost, duplicated and reordered.  A real
connection never does that, but the cores must stay safe even then.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Final, TypeAlias

from bulrushstream.history.plan import Conditions
from bulrushstream.history.timeline import Timeline
from bulrushstream.state.event import Event, MessageReceived, PeerDown, PeerUp
from bulrushstream.state.identity import InstanceInfo, InstanceKey, Role
from bulrushstream.state.message import Message

MAX_DETECTION_S: Final = 1.0  # Until an end detects a break.
RECONNECT_DELAY_S: Final = 0.2  # Mean delay before a new connection attempt.
MAX_REORDER_DELAY_S: Final = 0.05  # Of a reordered message.

Deliver: TypeAlias = Callable[[InstanceKey, Event], None]
_Pair: TypeAlias = tuple[str, str]


@dataclass(slots=True)
class _Link:
    """The state of the connection between two instances."""

    ends: tuple[InstanceKey, InstanceKey] | None = None  # None: not connected.
    generation: int = 0  # Incremented by each connection and break.
    # When the last message to each end arrives, in virtual time.
    last_arrival_s: dict[InstanceKey, float] = field(default_factory=dict)
    undetected_ends: int = 0  # Ends that have not detected a break.


@dataclass(slots=True)
class Network:
    """All connections of a fleet."""

    timeline: Timeline
    rng: Random  # For delays and losses.
    conditions: Conditions  # Delays and error rates of messages.
    deliver: Deliver  # Delivers an event to an instance.
    reachable: Callable[[str], bool]  # By instance name.
    infos: dict[str, InstanceInfo] = field(default_factory=dict)
    _links: dict[_Pair, _Link] = field(default_factory=dict)
    _blocked_until_s: dict[_Pair, float] = field(default_factory=dict)

    def join(self, info: InstanceInfo) -> None:
        """Connect an instance that has just started to its peers.

        :param info: the instance.
        """
        self.infos[info.key.instance] = info
        for other in list(self.infos.values()):
            if other.key.instance != info.key.instance:
                self._connect_later(info.key.instance, other.key.instance)

    def leave(self, instance: str) -> None:
        """Break every connection of an instance that has stopped.

        :param instance: its name.
        """
        self.infos.pop(instance, None)
        for pair, link in self._links.items():
            if instance in pair:
                self._disconnect(pair, link)

    def cut(self, one: str, other: str, duration_s: float) -> None:
        """Break the connections between instances for some time.

        :param one: one instance.
        :param other: the other instance; empty: every other instance.
        :param duration_s: how long no new connection can be opened.
        """
        until_s = self.timeline.now_s + duration_s
        for name in list(self.infos):
            if name == one or other not in ("", name):
                continue
            pair = _pair_of(one, name)
            blocked_s = self._blocked_until_s.get(pair, 0.0)
            self._blocked_until_s[pair] = max(blocked_s, until_s)
            if pair in self._links:
                self._disconnect(pair, self._links[pair])

    def end_faults(self) -> None:
        """Unblock all connections and stop all message errors."""
        self._blocked_until_s.clear()
        delay_s = self.conditions.delay_s
        self.conditions = Conditions(delay_s=delay_s, jitter_s=0.0)

    def connected(self, one: InstanceKey, other: InstanceKey) -> bool:
        """Return whether two incarnations are connected.

        :param one: one of them.
        :param other: the other one.
        """
        link = self._links.get(_pair_of(one.instance, other.instance))
        return (
            link is not None
            and link.ends is not None
            and (one in link.ends and other in link.ends)
        )

    def send(
        self, sender: InstanceKey, to: InstanceKey, message: Message
    ) -> None:
        """Send a message; it is dropped if there is no connection.

        :param sender: the sending instance.
        :param to: the receiving instance.
        :param message: the message.
        """
        link = self._links.get(_pair_of(sender.instance, to.instance))
        if link is None or link.ends is None:
            return
        if sender not in link.ends or to not in link.ends:
            return
        if self.rng.random() < self.conditions.loss:
            return
        self._deliver_later(link, sender, to, message)
        if self.rng.random() < self.conditions.duplicated:
            self._deliver_later(link, sender, to, message)

    def _deliver_later(
        self,
        link: _Link,
        sender: InstanceKey,
        to: InstanceKey,
        message: Message,
    ) -> None:
        """Deliver a message after its delay unless the connection breaks."""
        now_s = self.timeline.now_s
        at_s = now_s + self.conditions.delay_s
        at_s += self.rng.random() * self.conditions.jitter_s
        if self.rng.random() < self.conditions.reordered:
            at_s += self.rng.random() * MAX_REORDER_DELAY_S
        else:
            at_s = max(at_s, link.last_arrival_s.get(to, 0.0))
            link.last_arrival_s[to] = at_s
        generation = link.generation

        def arrive() -> None:
            """Deliver the message if the connection is still the same."""
            if link.generation == generation:
                self.deliver(to, MessageReceived(sender, message))
            elif self.rng.random() < self.conditions.stale_delivery:
                self._deliver_stale(sender, to, message)

        self.timeline.schedule(at_s - now_s, arrive)

    def _deliver_stale(
        self, sender: InstanceKey, to: InstanceKey, message: Message
    ) -> None:
        """Deliver a message although its connection is broken.

        It goes to the current instance of the receiver's name, so that a
        new incarnation may get a message for an old one.
        """
        info = self.infos.get(to.instance)
        if info is not None:
            self.deliver(info.key, MessageReceived(sender, message))

    def _connect_later(self, one: str, other: str) -> None:
        """Try to connect two instances after a delay."""
        if one not in self.infos or other not in self.infos:
            return
        if not _may_connect(self.infos[one], self.infos[other]):
            return
        delay_s = RECONNECT_DELAY_S * self.rng.uniform(0.5, 1.5)
        self.timeline.schedule(delay_s, lambda: self._connect(one, other))

    def _connect(self, one: str, other: str) -> None:
        """Connect two instances, or try again later if that is impossible."""
        if one not in self.infos or other not in self.infos:
            return
        pair = _pair_of(one, other)
        link = self._links.setdefault(pair, _Link())
        if link.ends is not None:
            return
        now_s = self.timeline.now_s
        blocked = now_s < self._blocked_until_s.get(pair, 0.0)
        blocked = blocked or link.undetected_ends > 0
        if blocked or not (self.reachable(one) and self.reachable(other)):
            self._connect_later(one, other)
            return
        first, second = self.infos[one], self.infos[other]
        link.ends = (first.key, second.key)
        link.generation += 1
        link.last_arrival_s.clear()
        self.deliver(first.key, PeerUp(second))
        self.deliver(second.key, PeerUp(first))

    def _disconnect(self, pair: _Pair, link: _Link) -> None:
        """Drop messages in flight and report the break to both ends."""
        if link.ends is None:
            return
        first, second = link.ends
        link.ends = None
        link.generation += 1
        for end, lost in ((first, second), (second, first)):
            link.undetected_ends += 1
            self._report_break_later(link, end, lost)
        self._connect_later(*pair)

    def _report_break_later(
        self, link: _Link, end: InstanceKey, lost: InstanceKey
    ) -> None:
        """Report a break to one end after its detection delay."""

        def report() -> None:
            """Report the break."""
            link.undetected_ends -= 1
            self.deliver(end, PeerDown(lost))

        self.timeline.schedule(self.rng.random() * MAX_DETECTION_S, report)


def _pair_of(one: str, other: str) -> _Pair:
    """Return the key of the connection between two instances."""
    return min(one, other), max(one, other)


def _may_connect(one: InstanceInfo, other: InstanceInfo) -> bool:
    """Return whether two instances may connect: not two agents."""
    return Role.ROUTER in (one.role, other.role)

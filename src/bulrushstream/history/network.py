"""Connections between instances, as the cores see them.

A connection delivers messages in order and at most once, until it breaks
and loses what was under way; both sides notice the break, though not at
the same time.  On top of that, messages may be lost, doubled and
overtaken, which a real connection never does: the cores must stay safe
all the same.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Final, TypeAlias

from bulrushstream.history.plan import Weather
from bulrushstream.history.timeline import Timeline
from bulrushstream.state.event import Event, MessageReceived, PeerDown, PeerUp
from bulrushstream.state.identity import InstanceInfo, InstanceKey, Role
from bulrushstream.state.message import Message

NOTICE_S: Final = 1.0  # The longest time until a break is noticed.
REDIAL_S: Final = 0.2  # How long a side waits before it dials again.
OVERTAKE_S: Final = 0.05  # How late an overtaken message may be.

Deliver: TypeAlias = Callable[[InstanceKey, Event], None]
_Pair: TypeAlias = tuple[str, str]


@dataclass(slots=True)
class _Link:
    """The connection of two instances, or the lack of one."""

    ends: tuple[InstanceKey, InstanceKey] | None = None  # None: down.
    number: int = 0  # Grows with each connection and each break.
    free_s: dict[InstanceKey, float] = field(
        default_factory=dict
    )  # When the last message to each end arrives.
    unaware: int = 0  # Ends that have not noticed the last break.


@dataclass(slots=True)
class Network:
    """All connections of a fleet."""

    timeline: Timeline  # The virtual time.
    rng: Random  # Of the delays and losses.
    weather: Weather  # How badly messages behave.
    deliver: Deliver  # Hands an event to an instance.
    reachable: Callable[[str], bool]  # Whether an instance can connect.
    infos: dict[str, InstanceInfo] = field(default_factory=dict)
    _links: dict[_Pair, _Link] = field(default_factory=dict)
    _blocked_until_s: dict[_Pair, float] = field(default_factory=dict)

    def join(self, info: InstanceInfo) -> None:
        """Connect an instance that has just started with its peers.

        :param info: who started.
        """
        self.infos[info.key.instance] = info
        for other in list(self.infos.values()):
            if other.key.instance != info.key.instance:
                self._dial_later(info.key.instance, other.key.instance)

    def leave(self, instance: str) -> None:
        """Break every connection of an instance that ended.

        :param instance: its name.
        """
        self.infos.pop(instance, None)
        for pair, link in self._links.items():
            if instance in pair:
                self._break(pair, link)

    def cut(self, one: str, other: str, for_s: float) -> None:
        """Break the connections between instances for a while.

        :param one: one instance.
        :param other: the other one; empty: everybody.
        :param for_s: how long no new connection can be made.
        """
        until_s = self.timeline.now_s + for_s
        for name in list(self.infos):
            if name == one or other not in ("", name):
                continue
            pair = _pair(one, name)
            blocked_s = self._blocked_until_s.get(pair, 0.0)
            self._blocked_until_s[pair] = max(blocked_s, until_s)
            if pair in self._links:
                self._break(pair, self._links[pair])

    def heal(self) -> None:
        """Let every connection be made again, and behave well."""
        self._blocked_until_s.clear()
        delay_s = self.weather.delay_s
        self.weather = Weather(delay_s=delay_s, jitter_s=0.0)

    def connected(self, one: InstanceKey, other: InstanceKey) -> bool:
        """Return whether two starts of instances have a connection.

        :param one: one of them.
        :param other: the other one.
        """
        link = self._links.get(_pair(one.instance, other.instance))
        return (
            link is not None
            and link.ends is not None
            and (one in link.ends and other in link.ends)
        )

    def send(
        self, sender: InstanceKey, to: InstanceKey, message: Message
    ) -> None:
        """Send a message; it is dropped if there is no connection.

        :param sender: who sends it.
        :param to: to whom.
        :param message: what.
        """
        link = self._links.get(_pair(sender.instance, to.instance))
        if link is None or link.ends is None:
            return
        if sender not in link.ends or to not in link.ends:
            return
        if self.rng.random() < self.weather.loss:
            return
        self._deliver_later(link, sender, to, message)
        if self.rng.random() < self.weather.doubled:
            self._deliver_later(link, sender, to, message)

    def _deliver_later(
        self,
        link: _Link,
        sender: InstanceKey,
        to: InstanceKey,
        message: Message,
    ) -> None:
        """Deliver a message after its delay, if the connection holds."""
        now_s = self.timeline.now_s
        at_s = now_s + self.weather.delay_s
        at_s += self.rng.random() * self.weather.jitter_s
        if self.rng.random() < self.weather.reordered:
            at_s += self.rng.random() * OVERTAKE_S
        else:
            at_s = max(at_s, link.free_s.get(to, 0.0))
            link.free_s[to] = at_s
        number = link.number

        def arrive() -> None:
            """Hand the message over."""
            if link.number == number:
                self.deliver(to, MessageReceived(sender, message))
            elif self.rng.random() < self.weather.strays:
                self._stray(sender, to, message)

        self.timeline.after(at_s - now_s, arrive)

    def _stray(
        self, sender: InstanceKey, to: InstanceKey, message: Message
    ) -> None:
        """Hand a message over although its connection is gone.

        It reaches whoever has the receiver's name by then, so that a new
        incarnation may get what was meant for an old one.
        """
        info = self.infos.get(to.instance)
        if info is not None:
            self.deliver(info.key, MessageReceived(sender, message))

    def _dial_later(self, one: str, other: str) -> None:
        """Try to connect two instances after a while."""
        if one not in self.infos or other not in self.infos:
            return
        if not _talk(self.infos[one], self.infos[other]):
            return
        delay_s = REDIAL_S * self.rng.uniform(0.5, 1.5)
        self.timeline.after(delay_s, lambda: self._dial(one, other))

    def _dial(self, one: str, other: str) -> None:
        """Connect two instances if nothing is in the way."""
        if one not in self.infos or other not in self.infos:
            return
        pair = _pair(one, other)
        link = self._links.setdefault(pair, _Link())
        if link.ends is not None:
            return
        now_s = self.timeline.now_s
        blocked = now_s < self._blocked_until_s.get(pair, 0.0)
        blocked = blocked or link.unaware > 0
        if blocked or not (self.reachable(one) and self.reachable(other)):
            self._dial_later(one, other)
            return
        first, second = self.infos[one], self.infos[other]
        link.ends = (first.key, second.key)
        link.number += 1
        link.free_s.clear()
        self.deliver(first.key, PeerUp(second))
        self.deliver(second.key, PeerUp(first))

    def _break(self, pair: _Pair, link: _Link) -> None:
        """Lose what is under way and let both ends notice in time."""
        if link.ends is None:
            return
        first, second = link.ends
        link.ends = None
        link.number += 1
        for end, lost in ((first, second), (second, first)):
            link.unaware += 1
            self._notice_later(link, end, lost)
        self._dial_later(*pair)

    def _notice_later(
        self, link: _Link, end: InstanceKey, lost: InstanceKey
    ) -> None:
        """Tell one end of a break after a while."""

        def notice() -> None:
            """Tell the end."""
            link.unaware -= 1
            self.deliver(end, PeerDown(lost))

        self.timeline.after(self.rng.random() * NOTICE_S, notice)


def _pair(one: str, other: str) -> _Pair:
    """Return the name of a connection."""
    return min(one, other), max(one, other)


def _talk(one: InstanceInfo, other: InstanceInfo) -> bool:
    """Return whether two instances connect; agents do not, among them."""
    return Role.ROUTER in (one.role, other.role)

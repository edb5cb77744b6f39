"""Which instances there are, as one instance sees it.

The platform's list lags: it shows instances that are gone and lacks new
ones.  A connection is a first-hand sign and counts for more.  Signs belong
to an *incarnation*; a higher one replaces a lower one as soon as the lower
one's connection is gone.

An instance whose connection broke is *suspected*.  It is given up only
when the list does not show it either, or after so long that a partition
can not be waited for; until then it returns as the same member.  *Leaving*
is kept once any source has said it, for as long as the incarnation could
come back.  A peer whose connection keeps breaking is not dialled for a
while (route flap damping, RFC 2439), unless many do at once, which speaks
for a fault of our own.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from typing import Final

from bulrushstream.coordination.subset import SubsetOptions, agents_to_dial
from bulrushstream.state.effect import (
    Decision,
    Effect,
    NotifyCores,
    SetPeers,
    WakeAt,
)
from bulrushstream.state.event import (
    Event,
    InstancesListed,
    MessageReceived,
    PeerDown,
    PeerLeaving,
    PeerLost,
    PeerUp,
    TimerFired,
)
from bulrushstream.state.identity import InstanceInfo, InstanceKey, Role
from bulrushstream.state.message import Goodbye

NEVER_S: Final = float("inf")


@dataclass(frozen=True, slots=True)
class MembershipOptions:
    """When membership changes its mind."""

    lost_after_s: float = 10.0  # Without connection nor list entry.
    partition_limit_s: float = 300.0  # Without connection, though listed.
    list_stale_s: float = 10.0  # Then the list says nothing any more.
    flap_half_life_s: float = 30.0  # A penalty halves in this time.
    flap_limit: float = 4.0  # Broken connections until a peer is damped.
    flap_release: float = 1.5  # The penalty at which it is dialled again.
    flap_share: float = 0.34  # No damping if more of the peers flap.
    remembered: int = 4096  # Ended incarnations that are remembered.
    subset: SubsetOptions = SubsetOptions()  # noqa: RUF009


@dataclass(slots=True)
class Member:
    """One incarnation of one instance."""

    info: InstanceInfo  # Who it is; `leaving` is kept.
    connected: bool = False  # Whether a connection is up.
    was_connected: bool = False  # Whether one ever was.
    listed: bool = False  # Whether the latest list shows it.
    last_sign_s: float = 0.0  # When it was last connected, or else listed.
    lost: bool = False  # Whether it was given up while still listed.


@dataclass(slots=True)
class Flaps:
    """How often the connection to one instance broke, fading with time."""

    penalty: float  # Broken connections, halved by the half-life.
    at_s: float  # When that was the penalty.
    damped: bool = False  # Whether it is not dialled.


@dataclass(slots=True)
class MembershipState:
    """What one instance knows of the others."""

    me: InstanceInfo  # Who we are.
    options: MembershipOptions  # When to change one's mind.
    members: dict[InstanceKey, Member] = field(default_factory=dict)
    highest: OrderedDict[str, int] = field(default_factory=OrderedDict)
    left: OrderedDict[InstanceKey, None] = field(default_factory=OrderedDict)
    flaps: dict[str, Flaps] = field(default_factory=dict)
    listed_s: float = -NEVER_S  # When the list was last read.
    dialled: tuple[InstanceInfo, ...] = ()  # The latest `Dial`.
    subset_of: frozenset[InstanceKey] = frozenset()  # Input of `subset`.
    subset: frozenset[str] = frozenset()  # Names of agents to dial.


def new_membership(
    me: InstanceInfo, options: MembershipOptions | None = None
) -> MembershipState:
    """Return the state of an instance that knows no other.

    :param me: Who it is.
    :param options: When it changes its mind; None: the defaults.
    :returns: The state.
    """
    return MembershipState(me, options or MembershipOptions())


def handle(state: MembershipState, event: Event, now_s: float) -> list[Effect]:
    """Take in an event.

    :param state: Changed in place.
    :param event: What happened.
    :param now_s: The time, on the core's clock.
    :returns: What to do, in order.
    """
    effects: list[Effect] = []
    match event:
        case PeerUp(info):
            effects += _connect(state, info, now_s)
        case PeerDown(key):
            effects += _disconnect(state, key, now_s)
        case MessageReceived(key, Goodbye(incarnation)):
            if incarnation == key.incarnation:
                effects += _leave(state, key, "goodbye")
        case InstancesListed(instances):
            effects += _take_list(state, instances, now_s)
        case TimerFired():
            pass
        case _:
            return []
    effects += _give_up(state, now_s)
    effects += _dial(state, now_s)
    due_s = _due_s(state, now_s)
    if due_s < NEVER_S:
        effects.append(WakeAt(due_s))
    return effects


def instances(
    state: MembershipState, role: Role, service: str = ""
) -> tuple[InstanceInfo, ...]:
    """Return the members of a role that were not given up, by name.

    :param state: What is known.
    :param role: The role.
    :param service: For agents, the service; empty: any.
    :returns: The highest incarnation of each, leaving ones among them.
    """
    return tuple(
        info
        for info in _newest(state, role)
        if not state.members[info.key].lost and service in ("", info.service)
    )


def suspected(state: MembershipState) -> tuple[InstanceInfo, ...]:
    """Return the members that are neither connected nor given up.

    Instances that we need no connection with are not suspected.
    """
    wanted = {info.key.instance for info in state.dialled}
    found = [
        member.info
        for member in state.members.values()
        if not (member.connected or member.lost)
        and member.info.key.instance in wanted
    ]
    return tuple(sorted(found, key=lambda info: info.key))


def _newest(state: MembershipState, role: Role) -> tuple[InstanceInfo, ...]:
    """Return the highest incarnation of each instance, lost ones too."""
    found = [
        member.info
        for key, member in state.members.items()
        if member.info.role is role
        and key.incarnation == state.highest[key.instance]
    ]
    return tuple(sorted(found, key=lambda info: info.key))


def _connect(
    state: MembershipState, info: InstanceInfo, now_s: float
) -> list[Effect]:
    effects = _meet(state, info, now_s)
    # A lower incarnation that is connected is there all the same.
    known = replace(info, leaving=info.key in state.left)
    member = state.members.setdefault(info.key, Member(known))
    member.connected = True
    member.was_connected = True
    member.lost = False
    member.last_sign_s = now_s
    if info.key in state.left:
        # The other cores met it as new, so they are told again.
        effects.append(NotifyCores(PeerLeaving(info.key)))
    elif info.leaving:
        effects += _leave(state, info.key, "hello")
    return effects


def _disconnect(
    state: MembershipState, key: InstanceKey, now_s: float
) -> list[Effect]:
    member = state.members.get(key)
    if member is None or not member.connected:
        return []
    member.connected = False
    member.last_sign_s = now_s
    if member.info.leaving:
        return []
    _add_flap(state, key.instance, now_s)
    return [Decision("member", "suspected", endpoint=key.instance)]


def _take_list(
    state: MembershipState, listed: Iterable[InstanceInfo], now_s: float
) -> list[Effect]:
    effects: list[Effect] = []
    state.listed_s = now_s
    for known in state.members.values():
        known.listed = False
    for info in listed:
        if info.key.instance == state.me.key.instance:
            continue
        effects += _meet(state, info, now_s)
        member = state.members.get(info.key)
        if member is not None:
            member.listed = True
            if not member.was_connected:
                member.last_sign_s = now_s
        if info.leaving:
            effects += _leave(state, info.key, "list")
    return effects


def _meet(
    state: MembershipState, info: InstanceInfo, now_s: float
) -> list[Effect]:
    """Enter an incarnation, unless a higher one is known."""
    key = info.key
    highest = state.highest.get(key.instance, -1)
    if key.incarnation < highest:
        return []
    state.highest[key.instance] = key.incarnation
    state.highest.move_to_end(key.instance)
    if key not in state.members:
        known = replace(info, leaving=key in state.left)
        state.members[key] = Member(known, last_sign_s=now_s)
        return _replace_older(state, key)
    return []


def _replace_older(state: MembershipState, newer: InstanceKey) -> list[Effect]:
    """Give up lower incarnations that no connection speaks for."""
    older = [
        key
        for key, member in state.members.items()
        if key.instance == newer.instance
        and key.incarnation < newer.incarnation
        and not member.connected
    ]
    effects: list[Effect] = []
    for key in older:
        effects += _lose(state, key, "replaced")
    return effects


def _leave(
    state: MembershipState, key: InstanceKey, source: str
) -> list[Effect]:
    """Keep it for good that an incarnation takes no new work."""
    if key in state.left:
        return []
    state.left[key] = None
    if len(state.left) > state.options.remembered:
        state.left.popitem(last=False)
    member = state.members.get(key)
    if member is not None:
        member.info = replace(member.info, leaving=True)
    reason = f"leaving, says {source}"
    return [
        NotifyCores(PeerLeaving(key)),
        Decision("member", reason, endpoint=key.instance),
    ]


def _lose(state: MembershipState, key: InstanceKey, why: str) -> list[Effect]:
    """Give an incarnation up, once."""
    member = state.members[key]
    was_lost = member.lost
    member.lost = True
    # While the list shows it, the entry keeps it from coming back as new.
    if not member.listed or state.highest[key.instance] > key.incarnation:
        del state.members[key]
    if was_lost:
        return []
    return [
        NotifyCores(PeerLost(key)),
        Decision("member", f"given up: {why}", endpoint=key.instance),
    ]


def _give_up(state: MembershipState, now_s: float) -> list[Effect]:
    effects: list[Effect] = []
    for key, member in list(state.members.items()):
        if member.connected:
            continue
        if state.highest[key.instance] > key.incarnation:
            effects += _lose(state, key, "replaced")
        elif now_s >= _limit_s(state, member, now_s):
            effects += _lose(state, key, "no sign of life")
    _forget(state)
    return effects


def _limit_s(state: MembershipState, member: Member, now_s: float) -> float:
    """Return when a member without a connection is given up."""
    if member.lost:
        return NEVER_S if member.listed else now_s
    options = state.options
    is_fresh = now_s - state.listed_s < options.list_stale_s
    if not member.listed and is_fresh:
        return member.last_sign_s + options.lost_after_s
    if not member.was_connected:
        return NEVER_S  # Only the list can tell.
    return member.last_sign_s + options.partition_limit_s


def _forget(state: MembershipState) -> None:
    """Bound what is kept of instances that are gone."""
    extra = len(state.highest) - state.options.remembered
    if extra <= 0:
        return
    present = {key.instance for key in state.members}
    gone = [name for name in state.highest if name not in present]
    for name in gone[:extra]:
        del state.highest[name]
        state.flaps.pop(name, None)


def _add_flap(state: MembershipState, name: str, now_s: float) -> None:
    flaps = state.flaps.setdefault(name, Flaps(0.0, now_s))
    flaps.penalty = _penalty(state, flaps, now_s) + 1.0
    flaps.at_s = now_s


def _penalty(state: MembershipState, flaps: Flaps, now_s: float) -> float:
    halvings = (now_s - flaps.at_s) / state.options.flap_half_life_s
    return float(flaps.penalty * 0.5**halvings)


def _update_damped(state: MembershipState, now_s: float) -> frozenset[str]:
    """Return the names that are not dialled for now."""
    options = state.options
    for name, flaps in list(state.flaps.items()):
        penalty = _penalty(state, flaps, now_s)
        if penalty >= options.flap_limit:
            flaps.damped = True
        elif penalty <= options.flap_release:
            flaps.damped = False
        if penalty < 0.01:
            del state.flaps[name]
    damped = frozenset(n for n, f in state.flaps.items() if f.damped)
    if len(damped) > options.flap_share * len(state.members):
        return frozenset()
    return damped


def _dial(state: MembershipState, now_s: float) -> list[Effect]:
    """Say whom to keep connections with, if that changed."""
    if state.me.role is not Role.ROUTER:
        return []
    damped = _update_damped(state, now_s)
    # Those given up while listed are dialled on, as they may come back.
    routers = _newest(state, Role.ROUTER)
    agents = _newest(state, Role.AGENT)
    _update_subset(state, routers, agents)
    wanted = [a for a in agents if a.key.instance in state.subset]
    peers = tuple(
        replace(info, leaving=False)
        for info in sorted([*routers, *wanted], key=lambda info: info.key)
        if info.key.instance not in damped
    )
    if peers == state.dialled:
        return []
    state.dialled = peers
    return [SetPeers(peers)]


def _update_subset(
    state: MembershipState,
    routers: tuple[InstanceInfo, ...],
    agents: tuple[InstanceInfo, ...],
) -> None:
    """Choose the agents to dial again if there are other instances."""
    present = frozenset(info.key for info in (*routers, *agents))
    if present == state.subset_of:
        return
    names = {key.instance for key in present}
    same_names = names == {key.instance for key in state.subset_of}
    state.subset_of = present
    if same_names:
        return  # The choice follows from names alone.
    chosen: set[str] = set()
    everyone = (*routers, state.me)
    for service in {agent.service for agent in agents}:
        of_service = [a for a in agents if a.service == service]
        picked = agents_to_dial(
            state.me, everyone, of_service, state.options.subset
        )
        chosen.update(agent.key.instance for agent in picked)
    state.subset = frozenset(chosen)


def _due_s(state: MembershipState, now_s: float) -> float:
    """Return when time alone may change something."""
    limits = [
        _limit_s(state, member, now_s)
        for member in state.members.values()
        if not member.connected
    ]
    due_s = min(limits, default=NEVER_S)
    if any(flaps.damped for flaps in state.flaps.values()):
        due_s = min(due_s, now_s + 1.0)
    return max(due_s, now_s)

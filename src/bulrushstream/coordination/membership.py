"""Fleet membership as seen by one instance.

Two sources are combined: the platform's instance list and the state of the
connections.  The list lags: it still shows instances that have ended and
misses new ones, so a connection overrides it.  Each start of an instance
is an *incarnation* with a higher number; a higher incarnation replaces a
lower one once the lower one has no connection.

A member whose connection broke is *suspected*.  It is declared lost when a
fresh list does not show it either, or when it has been disconnected for
longer than a network partition is tolerated.  Until then it can reconnect
as the same member.  Once any source reports an incarnation as *leaving*,
it stays so for as long as the incarnation could return.

A peer whose connection keeps breaking is not dialled for a while (route
flap damping, RFC 2439).  If many peers flap at once, the fault is probably
on this instance's side, and none is damped.
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
    """Time limits and flap damping of membership."""

    lost_after_s: float = 10.0  # Neither connected nor listed.
    partition_limit_s: float = 300.0  # Disconnected, but listed.
    list_stale_s: float = 10.0  # A list older than this is ignored.
    flap_half_life_s: float = 30.0  # Of a flap penalty.
    damp_threshold: float = 4.0  # Penalty at which dialling stops.
    reuse_threshold: float = 1.5  # Penalty at which dialling resumes.
    max_damped_share: float = 0.34  # Of all members; above it, no damping.
    max_remembered: int = 4096  # Bounds the records of ended incarnations.
    subset: SubsetOptions = SubsetOptions()  # noqa: RUF009


@dataclass(slots=True)
class Member:
    """One incarnation of one instance."""

    info: InstanceInfo  # Its `leaving` is never reset.
    connected: bool = False
    was_connected: bool = False  # Whether it has ever been connected.
    listed: bool = False  # Whether the latest list shows it.
    last_seen_s: float = 0.0  # Last connected; if never, last listed.
    lost: bool = False  # Declared lost while still listed.


@dataclass(slots=True)
class FlapPenalty:
    """Count of broken connections to one instance, decaying over time."""

    penalty: float  # As of `updated_s`.
    updated_s: float
    damped: bool = False  # Whether dialling is suppressed.


@dataclass(slots=True)
class MembershipState:
    """The other instances as seen by one instance."""

    me: InstanceInfo  # This instance.
    options: MembershipOptions
    members: dict[InstanceKey, Member] = field(default_factory=dict)
    highest_incarnations: OrderedDict[str, int] = field(
        default_factory=OrderedDict
    )
    # Incarnations that were reported as leaving.
    departed: OrderedDict[InstanceKey, None] = field(
        default_factory=OrderedDict
    )
    flaps: dict[str, FlapPenalty] = field(default_factory=dict)
    listed_s: float = -NEVER_S  # When the list was last read.
    dial_targets: tuple[InstanceInfo, ...] = ()  # As in the latest `Dial`.
    # The instances that `subset` was chosen from.
    subset_input: frozenset[InstanceKey] = frozenset()
    subset: frozenset[str] = frozenset()  # Names of agents to dial.


def new_membership(
    me: InstanceInfo, options: MembershipOptions | None = None
) -> MembershipState:
    """Return the state of an instance that has not seen any other.

    :param me: This instance.
    :param options: Limits and damping; None: the defaults.
    :returns: The state.
    """
    return MembershipState(me, options or MembershipOptions())


def handle(state: MembershipState, event: Event, now_s: float) -> list[Effect]:
    """Apply an event to the membership.

    :param state: Changed in place.
    :param event: Events of other kinds are ignored.
    :param now_s: The time, on the core's clock.
    :returns: The effects to execute, in order.
    """
    effects: list[Effect] = []
    match event:
        case PeerUp(info):
            effects += _mark_connected(state, info, now_s)
        case PeerDown(key):
            effects += _mark_disconnected(state, key, now_s)
        case MessageReceived(key, Goodbye(incarnation)):
            if incarnation == key.incarnation:
                effects += _mark_leaving(state, key, "goodbye")
        case InstancesListed(instances):
            effects += _apply_listing(state, instances, now_s)
        case TimerFired():
            pass
        case _:
            return []
    effects += _expire_members(state, now_s)
    effects += _update_dial_targets(state, now_s)
    due_s = _due_s(state, now_s)
    if due_s < NEVER_S:
        effects.append(WakeAt(due_s))
    return effects


def instances(
    state: MembershipState, role: Role, service: str = ""
) -> tuple[InstanceInfo, ...]:
    """Return the members of a role that are not lost, sorted by key.

    :param state: The membership.
    :param role: The role.
    :param service: For agents, the service; empty: any.
    :returns: The highest incarnation of each, including leaving ones.
    """
    return tuple(
        info
        for info in _newest(state, role)
        if not state.members[info.key].lost and service in ("", info.service)
    )


def suspected(state: MembershipState) -> tuple[InstanceInfo, ...]:
    """Return the dialled members that are neither connected nor lost."""
    wanted = {info.key.instance for info in state.dial_targets}
    found = [
        member.info
        for member in state.members.values()
        if not (member.connected or member.lost)
        and member.info.key.instance in wanted
    ]
    return tuple(sorted(found, key=lambda info: info.key))


def _newest(state: MembershipState, role: Role) -> tuple[InstanceInfo, ...]:
    """Return the highest incarnation of each instance, even if lost."""
    found = [
        member.info
        for key, member in state.members.items()
        if member.info.role is role
        and key.incarnation == state.highest_incarnations[key.instance]
    ]
    return tuple(sorted(found, key=lambda info: info.key))


def _mark_connected(
    state: MembershipState, info: InstanceInfo, now_s: float
) -> list[Effect]:
    effects = _add_incarnation(state, info, now_s)
    # A lower incarnation than the highest known counts while connected.
    known = replace(info, leaving=info.key in state.departed)
    member = state.members.setdefault(info.key, Member(known))
    member.connected = True
    member.was_connected = True
    member.lost = False
    member.last_seen_s = now_s
    if info.key in state.departed:
        # Other cores may have added it as a new peer; repeat the event.
        effects.append(NotifyCores(PeerLeaving(info.key)))
    elif info.leaving:
        effects += _mark_leaving(state, info.key, "hello")
    return effects


def _mark_disconnected(
    state: MembershipState, key: InstanceKey, now_s: float
) -> list[Effect]:
    member = state.members.get(key)
    if member is None or not member.connected:
        return []
    member.connected = False
    member.last_seen_s = now_s
    if member.info.leaving:
        return []
    _add_flap(state, key.instance, now_s)
    return [Decision("member", "suspected", endpoint=key.instance)]


def _apply_listing(
    state: MembershipState, listed: Iterable[InstanceInfo], now_s: float
) -> list[Effect]:
    effects: list[Effect] = []
    state.listed_s = now_s
    for known in state.members.values():
        known.listed = False
    for info in listed:
        if info.key.instance == state.me.key.instance:
            continue
        effects += _add_incarnation(state, info, now_s)
        member = state.members.get(info.key)
        if member is not None:
            member.listed = True
            if not member.was_connected:
                member.last_seen_s = now_s
        if info.leaving:
            effects += _mark_leaving(state, info.key, "list")
    return effects


def _add_incarnation(
    state: MembershipState, info: InstanceInfo, now_s: float
) -> list[Effect]:
    """Add an incarnation, unless a higher one is known."""
    key = info.key
    highest = state.highest_incarnations.get(key.instance, -1)
    if key.incarnation < highest:
        return []
    state.highest_incarnations[key.instance] = key.incarnation
    state.highest_incarnations.move_to_end(key.instance)
    if key not in state.members:
        known = replace(info, leaving=key in state.departed)
        state.members[key] = Member(known, last_seen_s=now_s)
        return _drop_older(state, key)
    return []


def _drop_older(state: MembershipState, newer: InstanceKey) -> list[Effect]:
    """Declare lower incarnations lost that are not connected."""
    older = [
        key
        for key, member in state.members.items()
        if key.instance == newer.instance
        and key.incarnation < newer.incarnation
        and not member.connected
    ]
    effects: list[Effect] = []
    for key in older:
        effects += _mark_lost(state, key, "replaced")
    return effects


def _mark_leaving(
    state: MembershipState, key: InstanceKey, source: str
) -> list[Effect]:
    """Record for good that an incarnation accepts no new work."""
    if key in state.departed:
        return []
    state.departed[key] = None
    if len(state.departed) > state.options.max_remembered:
        state.departed.popitem(last=False)
    member = state.members.get(key)
    if member is not None:
        member.info = replace(member.info, leaving=True)
    reason = f"leaving according to {source}"
    return [
        NotifyCores(PeerLeaving(key)),
        Decision("member", reason, endpoint=key.instance),
    ]


def _mark_lost(
    state: MembershipState, key: InstanceKey, why: str
) -> list[Effect]:
    """Declare an incarnation lost; report it only the first time."""
    member = state.members[key]
    was_lost = member.lost
    member.lost = True
    # While the list shows the highest incarnation, its entry is kept, so
    # that the next list does not add it as a new member.
    if (
        not member.listed
        or state.highest_incarnations[key.instance] > key.incarnation
    ):
        del state.members[key]
    if was_lost:
        return []
    return [
        NotifyCores(PeerLost(key)),
        Decision("member", f"lost: {why}", endpoint=key.instance),
    ]


def _expire_members(state: MembershipState, now_s: float) -> list[Effect]:
    effects: list[Effect] = []
    for key, member in list(state.members.items()):
        if member.connected:
            continue
        if state.highest_incarnations[key.instance] > key.incarnation:
            effects += _mark_lost(state, key, "replaced")
        elif now_s >= _expiry_s(state, member, now_s):
            effects += _mark_lost(state, key, "disconnected for too long")
    _trim_history(state)
    return effects


def _expiry_s(state: MembershipState, member: Member, now_s: float) -> float:
    """Return when a disconnected member is declared lost."""
    if member.lost:
        return NEVER_S if member.listed else now_s
    options = state.options
    is_fresh = now_s - state.listed_s < options.list_stale_s
    if not member.listed and is_fresh:
        return member.last_seen_s + options.lost_after_s
    if not member.was_connected:
        return NEVER_S  # Decided by its absence from a fresh list.
    return member.last_seen_s + options.partition_limit_s


def _trim_history(state: MembershipState) -> None:
    """Drop the oldest records of instances that are not members."""
    extra = len(state.highest_incarnations) - state.options.max_remembered
    if extra <= 0:
        return
    present = {key.instance for key in state.members}
    ended = [
        name for name in state.highest_incarnations if name not in present
    ]
    for name in ended[:extra]:
        del state.highest_incarnations[name]
        state.flaps.pop(name, None)


def _add_flap(state: MembershipState, name: str, now_s: float) -> None:
    flaps = state.flaps.setdefault(name, FlapPenalty(0.0, now_s))
    flaps.penalty = _penalty(state, flaps, now_s) + 1.0
    flaps.updated_s = now_s


def _penalty(
    state: MembershipState, flaps: FlapPenalty, now_s: float
) -> float:
    halvings = (now_s - flaps.updated_s) / state.options.flap_half_life_s
    return float(flaps.penalty * 0.5**halvings)


def _update_damped(state: MembershipState, now_s: float) -> frozenset[str]:
    """Update the damping and return the names that must not be dialled."""
    options = state.options
    for name, flaps in list(state.flaps.items()):
        penalty = _penalty(state, flaps, now_s)
        if penalty >= options.damp_threshold:
            flaps.damped = True
        elif penalty <= options.reuse_threshold:
            flaps.damped = False
        if penalty < 0.01:
            del state.flaps[name]
    damped = frozenset(n for n, f in state.flaps.items() if f.damped)
    if len(damped) > options.max_damped_share * len(state.members):
        return frozenset()
    return damped


def _update_dial_targets(state: MembershipState, now_s: float) -> list[Effect]:
    """Emit a `Dial` if the set of peers to stay connected with changed."""
    if state.me.role is not Role.ROUTER:
        return []
    damped = _update_damped(state, now_s)
    # Lost but listed members are still dialled, as they may come back.
    routers = _newest(state, Role.ROUTER)
    agents = _newest(state, Role.AGENT)
    _update_subset(state, routers, agents)
    wanted = [a for a in agents if a.key.instance in state.subset]
    peers = tuple(
        replace(info, leaving=False)
        for info in sorted([*routers, *wanted], key=lambda info: info.key)
        if info.key.instance not in damped
    )
    if peers == state.dial_targets:
        return []
    state.dial_targets = peers
    return [SetPeers(peers)]


def _update_subset(
    state: MembershipState,
    routers: tuple[InstanceInfo, ...],
    agents: tuple[InstanceInfo, ...],
) -> None:
    """Choose the agents to dial again if the set of instances changed."""
    present = frozenset(info.key for info in (*routers, *agents))
    if present == state.subset_input:
        return
    names = {key.instance for key in present}
    same_names = names == {key.instance for key in state.subset_input}
    state.subset_input = present
    if same_names:
        return  # The choice depends on the names alone.
    chosen: set[str] = set()
    all_routers = (*routers, state.me)
    for service in {agent.service for agent in agents}:
        of_service = [a for a in agents if a.service == service]
        picked = agents_to_dial(
            state.me, all_routers, of_service, state.options.subset
        )
        chosen.update(agent.key.instance for agent in picked)
    state.subset = frozenset(chosen)


def _due_s(state: MembershipState, now_s: float) -> float:
    """Return when the passage of time may next change the state."""
    limits = [
        _expiry_s(state, member, now_s)
        for member in state.members.values()
        if not member.connected
    ]
    due_s = min(limits, default=NEVER_S)
    if any(flaps.damped for flaps in state.flaps.values()):
        due_s = min(due_s, now_s + 1.0)
    return max(due_s, now_s)

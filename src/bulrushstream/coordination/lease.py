"""Leases that are kept as records of the log's stream ``leases``.

A *claim* takes a lease.  It says how far its writer had read the stream,
and it wins only if no other record of the lease stands between there and
itself, so all readers agree on the winner.  Its offset is the *fencing
token*, which therefore grows from holder to holder (Gray and Cheriton
1989, for leases; the token as in Chubby, Burrows 2006).

A holder counts the *term* from before it sent the record, on its own
monotonic clock, and only once it has read the record back.  Another
instance counts it from when it read the holder's latest record, with a
margin for clocks that run apart, before it claims the lease.  So the
holder's term is over first, also while the holder is paused or cut off.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from random import Random
from typing import Final

import msgspec

from bulrushstream.state.effect import AppendLog, Effect, WakeAt
from bulrushstream.state.event import Event, LogRead, LogRecord, TimerFired

STREAM: Final = "leases"
NEVER_S: Final = float("inf")
TOKEN_BASE: Final = 1 << 41  # Apart from the tokens of other cores.
ID_BITS: Final = 64
NEAR_POLL_S: Final = 0.5  # While a record of ours is awaited or kept.
FAR_POLL_S: Final = 8.0  # While another holds what we want.


class LeaseKind(StrEnum):
    """What a record does to its lease."""

    CLAIM = "claim"
    RENEW = "renew"
    RELEASE = "release"


@dataclass(frozen=True, slots=True)
class LeaseRecord:
    """One record of the stream."""

    kind: LeaseKind  # What it does.
    name: str  # Which lease.
    holder: str  # The instance that wrote it.
    record_id: str  # Names the record; unique in the fleet.
    after: int  # A claim: the next offset to read; else the token.
    term_s: float  # How long the lease lasts from this record.


@dataclass(frozen=True, slots=True)
class LeaseOptions:
    """How leases are taken and kept."""

    term_s: float = 30.0  # How long a claim or renewal lasts.
    drift: float = 0.1  # The part of a term that clocks may differ by.
    renew_share: float = 1 / 3  # Renewed after this part of the term.
    retry_s: float = 2.0  # Between records that did not show up.


@dataclass(slots=True)
class _Lease:
    """What the stream says of one lease."""

    token: int  # Offset of the claim that won last.
    holder: str  # Who wrote it.
    last_offset: int  # Offset of the latest record of any kind.
    sign_s: float  # When a record of a holder was last read.
    term_s: float  # The holder's term.
    is_free: bool = False  # Whether the holder released it.


@dataclass(slots=True)
class _Hold:
    """One lease that this instance wants."""

    token: int = -1  # The token of our claim; -1: none won.
    until_s: float = -NEVER_S  # When our term ends.
    sent: dict[str, float] = field(default_factory=dict)  # By record id.
    next_s: float = -NEVER_S  # When the next record may be sent.


@dataclass(slots=True)
class LeaseState:
    """The leases as one instance sees them."""

    me: str  # The instance's name and incarnation, as it signs.
    options: LeaseOptions  # How leases are taken and kept.
    rng: Random  # Draws ids and jitter.
    leases: dict[str, _Lease] = field(default_factory=dict)  # By name.
    wanted: dict[str, _Hold] = field(default_factory=dict)  # By name.
    next_offset: int = 0  # The next record of the stream to read.
    caught_up: bool = False  # Whether it was read to its end.
    token: int = TOKEN_BASE  # Names the latest append.

    @property
    def active(self) -> bool:
        """Return whether the stream needs to be read at present."""
        return bool(self.wanted)


def new_leases(
    me: str, rng: Random, options: LeaseOptions | None = None
) -> LeaseState:
    """Return the state of an instance that holds nothing.

    :param me: How it signs its records; unique for each start.
    :param rng: The instance's own source of random numbers.
    :param options: How leases are taken and kept; None: the defaults.
    :returns: The state.
    """
    return LeaseState(me, options or LeaseOptions(), rng)


def want(state: LeaseState, name: str) -> None:
    """Try to take a lease from now on and keep it."""
    if name not in state.wanted:
        state.wanted[name] = _Hold()


def holds(state: LeaseState, name: str, now_s: float) -> int | None:
    """Return the fencing token of a lease that is held right now.

    Ask again before each use: the term may have ended meanwhile.

    :param state: What is known.
    :param name: Which lease.
    :param now_s: The time, on the core's clock.
    :returns: The token; None if the lease is not held.
    """
    hold = state.wanted.get(name)
    if hold is None or hold.token < 0 or now_s >= hold.until_s:
        return None
    return hold.token


def claimable(state: LeaseState, name: str, now_s: float) -> bool:
    """Return whether a lease looks free."""
    if not state.caught_up:
        return False
    lease = state.leases.get(name)
    if lease is None or lease.is_free or lease.holder == state.me:
        return True
    wait_s = lease.term_s * (1.0 + state.options.drift)
    return now_s >= lease.sign_s + wait_s


def poll_interval_s(state: LeaseState) -> float:
    """Return how long to wait before the stream is read again.

    Whoever waits for a lease reads seldom and at a time of its own, so
    that of many who wait only a few claim a lease that becomes free.

    :param state: What is known.
    :returns: Seconds; only of use while the state is `active`.
    """
    is_near = not state.caught_up or any(
        hold.sent or hold.token >= 0 for hold in state.wanted.values()
    )
    if is_near:
        return NEAR_POLL_S
    return state.rng.uniform(0.5, 1.0) * FAR_POLL_S


def release(state: LeaseState, name: str, now_s: float) -> list[Effect]:
    """Give a lease up, and let others have it at once.

    :param state: Changed in place.
    :param name: Which lease.
    :param now_s: The time, on the core's clock.
    :returns: What to do, in order.
    """
    token = holds(state, name, now_s)
    state.wanted.pop(name, None)
    if token is None:
        return []
    return [_append(state, LeaseKind.RELEASE, name, token)[1]]


def handle(state: LeaseState, event: Event, now_s: float) -> list[Effect]:
    """Take in an event.

    :param state: Changed in place.
    :param event: What happened; appends need no answer, as the records
        themselves are read back.
    :param now_s: The time, on the core's clock.
    :returns: What to do, in order.
    """
    if isinstance(event, LogRead):
        if event.stream != STREAM:
            return []
        _read(state, event, now_s)
    elif not isinstance(event, TimerFired):
        return []
    effects: list[Effect] = []
    for name, hold in state.wanted.items():
        effects += _keep(state, name, hold, now_s)
    due_s = _due_s(state, now_s)
    if due_s < NEVER_S:
        effects.append(WakeAt(due_s))
    return effects


def _read(state: LeaseState, event: LogRead, now_s: float) -> None:
    if event.offset > max(state.next_offset, event.first_offset):
        return
    if event.first_offset > state.next_offset:
        _forget(state, event.first_offset)
    for entry in event.records:
        if entry.offset >= state.next_offset:
            state.next_offset = entry.offset + 1
            _fold(state, entry, now_s)
    state.caught_up = event.caught_up or state.caught_up


def _forget(state: LeaseState, first_offset: int) -> None:
    """Start anew after records were missed."""
    state.next_offset = first_offset
    state.leases.clear()
    for hold in state.wanted.values():
        hold.token = -1
        hold.sent.clear()


def _fold(state: LeaseState, entry: LogRecord, now_s: float) -> None:
    try:
        record = _DECODER.decode(entry.body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return
    if not 0.0 < record.term_s < NEVER_S:
        return
    lease = state.leases.get(record.name)
    if record.kind is LeaseKind.CLAIM:
        counts = lease is None or lease.last_offset < record.after
        if counts:
            lease = _Lease(
                entry.offset, record.holder, entry.offset, now_s, record.term_s
            )
            state.leases[record.name] = lease
    else:
        lease = _fold_kept(state, record, entry.offset, now_s)
        counts = lease.token == record.after
    if lease is not None:
        lease.last_offset = entry.offset
    _take_own(state, record, entry.offset, counts)


def _fold_kept(
    state: LeaseState, record: LeaseRecord, offset: int, now_s: float
) -> _Lease:
    """Fold a renewal or a release."""
    lease = state.leases.get(record.name)
    if lease is None:
        # Its claim was dropped from the log before we began to read.
        lease = _Lease(
            record.after, record.holder, offset, now_s, record.term_s
        )
        state.leases[record.name] = lease
    lease.sign_s = now_s
    lease.term_s = max(lease.term_s, record.term_s)
    if lease.token == record.after:
        lease.is_free = record.kind is LeaseKind.RELEASE
    return lease


def _take_own(
    state: LeaseState, record: LeaseRecord, offset: int, counts: bool
) -> None:
    """Start or extend our term if a record of ours counts."""
    hold = state.wanted.get(record.name)
    if hold is None:
        return
    sent_s = hold.sent.pop(record.record_id, None)
    if record.kind is LeaseKind.CLAIM and counts:
        is_ours = sent_s is not None
        hold.token = offset if is_ours else -1
        hold.until_s = -NEVER_S
    if sent_s is not None and counts and hold.token >= 0:
        hold.until_s = max(hold.until_s, sent_s + record.term_s)


def _keep(
    state: LeaseState, name: str, hold: _Hold, now_s: float
) -> list[Effect]:
    """Claim or renew a lease when it is time."""
    if now_s < hold.next_s:
        return []
    if hold.token >= 0 and now_s < hold.until_s:
        renew_s = hold.until_s - state.options.term_s * (
            1.0 - state.options.renew_share
        )
        if now_s < renew_s:
            return []
        return _send(state, name, hold, LeaseKind.RENEW, hold.token, now_s)
    if not claimable(state, name, now_s):
        return []
    after = state.next_offset
    return _send(state, name, hold, LeaseKind.CLAIM, after, now_s)


def _send(
    state: LeaseState,
    name: str,
    hold: _Hold,
    kind: LeaseKind,
    after: int,
    now_s: float,
) -> list[Effect]:
    record_id, effect = _append(state, kind, name, after)
    oldest_s = now_s - state.options.term_s
    hold.sent = {i: at_s for i, at_s in hold.sent.items() if at_s > oldest_s}
    hold.sent[record_id] = now_s
    pause_s = state.options.retry_s * (0.5 + state.rng.random())
    hold.next_s = now_s + pause_s
    return [effect]


def _append(
    state: LeaseState, kind: LeaseKind, name: str, after: int
) -> tuple[str, AppendLog]:
    state.token += 1
    record_id = f"{state.me}/{state.rng.getrandbits(ID_BITS):016x}"
    record = LeaseRecord(
        kind, name, state.me, record_id, after, state.options.term_s
    )
    body = msgspec.json.encode(record)
    return record_id, AppendLog(STREAM, state.token, body)


def _due_s(state: LeaseState, now_s: float) -> float:
    """Return when the next record may be due."""
    due_s = NEVER_S
    for name, hold in state.wanted.items():
        at_s = max(hold.next_s, now_s + 0.2)
        if holds(state, name, now_s) is not None:
            share = 1.0 - state.options.renew_share
            at_s = max(at_s, hold.until_s - state.options.term_s * share)
        due_s = min(due_s, at_s)
    return due_s


_DECODER: Final = msgspec.json.Decoder(LeaseRecord)

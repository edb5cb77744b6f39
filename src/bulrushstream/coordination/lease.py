"""Leases that are stored as records in the log's stream ``leases``.

A *claim* acquires a lease.  It states the offset up to which its writer
had read the stream, and it succeeds only if the log holds no other record
of the lease between that offset and the claim, so all readers agree on the
holder.  The offset of the claim is the *fencing token*, which therefore
increases from holder to holder (Gray and Cheriton 1989, for leases; the
token as in Chubby, Burrows 2006).

A holder measures the *term* on its own monotonic clock, starting before it
sent the record, and relies on it only after reading the record back.
Another instance measures it from when it read the holder's latest record,
and adds a margin for clock drift before it claims the lease.  So the term
ends for the holder first, even if the holder is paused or disconnected.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from random import Random
from typing import Final

import msgspec

from bulrushstream.state.decoding import DECODE_ERRORS
from bulrushstream.state.effect import AppendLog, Effect, WakeAt
from bulrushstream.state.event import Event, LogRead, LogRecord, TimerFired

STREAM: Final = "leases"
NEVER_S: Final = float("inf")
TOKEN_BASE: Final = 1 << 41  # Keeps append tokens distinct between cores.
ID_BITS: Final = 64
ACTIVE_POLL_S: Final = 0.5  # While a record is unconfirmed or a lease held.
WAITING_POLL_S: Final = 8.0  # While another instance holds the lease.


class LeaseKind(StrEnum):
    """What a record does to its lease."""

    CLAIM = "claim"
    RENEW = "renew"
    RELEASE = "release"


@dataclass(frozen=True, slots=True)
class LeaseRecord:
    """One record of the stream."""

    kind: LeaseKind
    name: str  # Of the lease.
    holder: str  # Holder id of the instance that wrote it.
    record_id: str  # Unique in the fleet.
    after: int  # In a claim, the next offset to read; else the token.
    term_s: float  # From this record on.


@dataclass(frozen=True, slots=True)
class LeaseOptions:
    """Terms and intervals of leases."""

    term_s: float = 30.0  # Of a claim or renewal.
    clock_drift: float = 0.1  # Tolerated, as a share of the term.
    renew_share: float = 1 / 3  # Share of the term before it is renewed.
    retry_s: float = 2.0  # Mean time until a record is sent again.


@dataclass(slots=True)
class _Lease:
    """One lease as recorded in the stream."""

    token: int  # Offset of the latest successful claim.
    holder: str  # Holder id of its writer.
    last_offset: int  # Of the latest record of any kind.
    last_record_s: float  # When a holder's record was last read.
    term_s: float  # The holder's term.
    is_released: bool = False


@dataclass(slots=True)
class _WantedLease:
    """One lease that this instance tries to acquire and keep."""

    token: int = -1  # Of this instance's claim; -1: not acquired.
    term_end_s: float = -NEVER_S
    # Send times of unconfirmed records, by record id.
    sent_at_s: dict[str, float] = field(default_factory=dict)
    next_send_s: float = -NEVER_S  # No record is sent before.


@dataclass(slots=True)
class LeaseState:
    """The leases as seen by one instance."""

    holder_id: str  # The instance's name and incarnation.
    options: LeaseOptions
    rng: Random  # For record ids and jitter.
    leases: dict[str, _Lease] = field(default_factory=dict)  # By name.
    wanted: dict[str, _WantedLease] = field(default_factory=dict)  # By name.
    next_offset: int = 0  # Of the next record to read from the stream.
    caught_up: bool = False  # Whether the stream was once read to its end.
    append_token: int = TOKEN_BASE  # Identifies the latest append.

    @property
    def active(self) -> bool:
        """Return whether the stream currently needs to be read."""
        return bool(self.wanted)


def new_leases(
    holder_id: str, rng: Random, options: LeaseOptions | None = None
) -> LeaseState:
    """Return the state of an instance that holds no lease.

    :param holder_id: Identifies its records; unique for each start.
    :param rng: The instance's random number generator.
    :param options: Terms and intervals; None: the defaults.
    :returns: The state.
    """
    return LeaseState(holder_id, options or LeaseOptions(), rng)


def acquire(state: LeaseState, name: str) -> None:
    """Try to acquire a lease from now on and renew it until released."""
    if name not in state.wanted:
        state.wanted[name] = _WantedLease()


def held_token(state: LeaseState, name: str, now_s: float) -> int | None:
    """Return the fencing token of a lease if it is currently held.

    Call this before each use of the token, as the term may have ended.

    :param state: The leases.
    :param name: Of the lease.
    :param now_s: The time, on the core's clock.
    :returns: The token; None if the lease is not held.
    """
    wanted = state.wanted.get(name)
    if wanted is None or wanted.token < 0 or now_s >= wanted.term_end_s:
        return None
    return wanted.token


def claimable(state: LeaseState, name: str, now_s: float) -> bool:
    """Return whether a claim of the lease could succeed now."""
    if not state.caught_up:
        return False
    lease = state.leases.get(name)
    if lease is None or lease.is_released or lease.holder == state.holder_id:
        return True
    wait_s = lease.term_s * (1.0 + state.options.clock_drift)
    return now_s >= lease.last_record_s + wait_s


def poll_interval_s(state: LeaseState) -> float:
    """Return how long to wait before the stream is read again.

    An instance that waits for a lease reads rarely and with jitter, so that
    only a few of many waiting instances claim a lease that becomes free.

    :param state: The leases.
    :returns: Seconds; only meaningful while the state is `active`.
    """
    is_urgent = not state.caught_up or any(
        wanted.sent_at_s or wanted.token >= 0
        for wanted in state.wanted.values()
    )
    if is_urgent:
        return ACTIVE_POLL_S
    return state.rng.uniform(0.5, 1.0) * WAITING_POLL_S


def release(state: LeaseState, name: str, now_s: float) -> list[Effect]:
    """Release a lease, so that others can claim it at once.

    :param state: Changed in place.
    :param name: Of the lease.
    :param now_s: The time, on the core's clock.
    :returns: The effects to execute, in order.
    """
    token = held_token(state, name, now_s)
    state.wanted.pop(name, None)
    if token is None:
        return []
    return [_append(state, LeaseKind.RELEASE, name, token)[1]]


def handle(state: LeaseState, event: Event, now_s: float) -> list[Effect]:
    """Apply an event to the leases.

    :param state: Changed in place.
    :param event: Events of other kinds are ignored, also the results of
        appends, because the records are confirmed by reading them back.
    :param now_s: The time, on the core's clock.
    :returns: The effects to execute, in order.
    """
    if isinstance(event, LogRead):
        if event.stream != STREAM:
            return []
        _read(state, event, now_s)
    elif not isinstance(event, TimerFired):
        return []
    effects: list[Effect] = []
    for name, wanted in state.wanted.items():
        effects += _claim_or_renew(state, name, wanted, now_s)
    due_s = _due_s(state, now_s)
    if due_s < NEVER_S:
        effects.append(WakeAt(due_s))
    return effects


def _read(state: LeaseState, event: LogRead, now_s: float) -> None:
    if event.offset > max(state.next_offset, event.first_offset):
        return
    if event.first_offset > state.next_offset:
        _reset(state, event.first_offset)
    for entry in event.records:
        if entry.offset >= state.next_offset:
            state.next_offset = entry.offset + 1
            _apply_record(state, entry, now_s)
    state.caught_up = event.caught_up or state.caught_up


def _reset(state: LeaseState, first_offset: int) -> None:
    """Discard what was read, after the log dropped unread records."""
    state.next_offset = first_offset
    state.leases.clear()
    for wanted in state.wanted.values():
        wanted.token = -1
        wanted.sent_at_s.clear()


def _apply_record(state: LeaseState, entry: LogRecord, now_s: float) -> None:
    try:
        record = _DECODER.decode(entry.body)
    except DECODE_ERRORS:
        return
    if not 0.0 < record.term_s < NEVER_S:
        return
    lease = state.leases.get(record.name)
    if record.kind is LeaseKind.CLAIM:
        is_effective = lease is None or lease.last_offset < record.after
        if is_effective:
            lease = _Lease(
                entry.offset, record.holder, entry.offset, now_s, record.term_s
            )
            state.leases[record.name] = lease
    else:
        lease = _apply_renewal(state, record, entry.offset, now_s)
        is_effective = lease.token == record.after
    if lease is not None:
        lease.last_offset = entry.offset
    _apply_own_record(state, record, entry.offset, is_effective)


def _apply_renewal(
    state: LeaseState, record: LeaseRecord, offset: int, now_s: float
) -> _Lease:
    """Apply a renewal or a release."""
    lease = state.leases.get(record.name)
    if lease is None:
        # The log dropped its claim before this instance read it.
        lease = _Lease(
            record.after, record.holder, offset, now_s, record.term_s
        )
        state.leases[record.name] = lease
    lease.last_record_s = now_s
    lease.term_s = max(lease.term_s, record.term_s)
    if lease.token == record.after:
        lease.is_released = record.kind is LeaseKind.RELEASE
    return lease


def _apply_own_record(
    state: LeaseState, record: LeaseRecord, offset: int, is_effective: bool
) -> None:
    """Start or extend this instance's term by an effective own record.

    An effective claim by another instance ends the term.
    """
    wanted = state.wanted.get(record.name)
    if wanted is None:
        return
    sent_s = wanted.sent_at_s.pop(record.record_id, None)
    if record.kind is LeaseKind.CLAIM and is_effective:
        is_own = sent_s is not None
        wanted.token = offset if is_own else -1
        wanted.term_end_s = -NEVER_S
    if sent_s is not None and is_effective and wanted.token >= 0:
        wanted.term_end_s = max(wanted.term_end_s, sent_s + record.term_s)


def _claim_or_renew(
    state: LeaseState, name: str, wanted: _WantedLease, now_s: float
) -> list[Effect]:
    """Claim or renew a lease when that is due."""
    if now_s < wanted.next_send_s:
        return []
    if wanted.token >= 0 and now_s < wanted.term_end_s:
        renew_s = wanted.term_end_s - state.options.term_s * (
            1.0 - state.options.renew_share
        )
        if now_s < renew_s:
            return []
        return _send(state, name, wanted, LeaseKind.RENEW, wanted.token, now_s)
    if not claimable(state, name, now_s):
        return []
    after = state.next_offset
    return _send(state, name, wanted, LeaseKind.CLAIM, after, now_s)


def _send(
    state: LeaseState,
    name: str,
    wanted: _WantedLease,
    kind: LeaseKind,
    after: int,
    now_s: float,
) -> list[Effect]:
    record_id, effect = _append(state, kind, name, after)
    oldest_s = now_s - state.options.term_s
    wanted.sent_at_s = {
        i: at_s for i, at_s in wanted.sent_at_s.items() if at_s > oldest_s
    }
    wanted.sent_at_s[record_id] = now_s
    pause_s = state.options.retry_s * (0.5 + state.rng.random())
    wanted.next_send_s = now_s + pause_s
    return [effect]


def _append(
    state: LeaseState, kind: LeaseKind, name: str, after: int
) -> tuple[str, AppendLog]:
    state.append_token += 1
    record_id = f"{state.holder_id}/{state.rng.getrandbits(ID_BITS):016x}"
    record = LeaseRecord(
        kind, name, state.holder_id, record_id, after, state.options.term_s
    )
    body = msgspec.json.encode(record)
    return record_id, AppendLog(STREAM, state.append_token, body)


def _due_s(state: LeaseState, now_s: float) -> float:
    """Return the earliest time at which the next record may be due."""
    due_s = NEVER_S
    for name, wanted in state.wanted.items():
        at_s = max(wanted.next_send_s, now_s + 0.2)
        if held_token(state, name, now_s) is not None:
            share = 1.0 - state.options.renew_share
            at_s = max(at_s, wanted.term_end_s - state.options.term_s * share)
        due_s = min(due_s, at_s)
    return due_s


_DECODER: Final = msgspec.json.Decoder(LeaseRecord)

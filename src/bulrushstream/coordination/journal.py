"""Reads and writes the router's streams of the platform's log.

A router uses two streams: claims on idempotency keys, and strikes against
requests that crash endpoints.  The router keeps working while the log is
unavailable: records to append are queued, and records are read when the
log is available again.
"""

from __future__ import annotations

from bulrushstream.coordination import claims, gating
from bulrushstream.coordination.quarantine import (
    StrikeBatch,
    StrikeRecord,
    decode_strikes,
    encode_strikes,
)
from bulrushstream.coordination.routerstate import RouterState, Timer
from bulrushstream.state.claim import (
    ClaimBatch,
    ClaimRecord,
    ResultRecord,
    encode_batch,
)
from bulrushstream.state.effect import AppendLog
from bulrushstream.state.event import (
    LogAppended,
    LogFailed,
    LogRead,
    LogRecord,
)
from bulrushstream.state.message import Strike


def read(state: RouterState, event: LogRead, now_s: float) -> None:
    """Apply records that were read from one of the router's streams.

    :param state: the router
    :param event: the records
    :param now_s: the time on the core's clock
    """
    if event.stream == state.options.claims.stream:
        claims.apply_records(state, event.records, event.caught_up, now_s)
    elif event.stream == state.options.strikes_stream:
        for record in event.records:
            _read_strikes(state, record, now_s)
        if event.caught_up:
            gating.set_strikes_known(state)


def appended(state: RouterState, event: LogAppended) -> None:
    """Handle the acknowledgement of an append."""
    state.claim_log.appended(event.token)
    state.strike_log.appended(event.token)


def failed(state: RouterState, event: LogFailed, now_s: float) -> None:
    """Handle an append that failed or was not answered.

    :param state: the router
    :param event: identifies the append
    :param now_s: the time on the core's clock
    """
    state.claim_log.failed(event.token, state.rng, now_s)
    state.strike_log.failed(event.token, state.rng, now_s)


def write(state: RouterState, now_s: float) -> None:
    """Append the queued records, within the limits on appends.

    :param state: the router
    :param now_s: the time on the core's clock
    """
    _write_claims(state, now_s)
    _write_strikes(state, now_s)


def _write_claims(state: RouterState, now_s: float) -> None:
    options = state.options.claims
    due_s = state.claim_log.due_s()
    if due_s is None:
        return
    if due_s > now_s:
        state.timers.set((Timer.CLAIMS, ""), due_s)
        return
    # The fleet's limit on appends is divided evenly among the routers.
    interval_s = (len(state.routers) + 1) / options.fleet_appends_per_s
    token = state.next_sequence()
    records = state.claim_log.start_append(token, now_s, interval_s)
    if not records:
        return
    batch = ClaimBatch(
        at_ms=state.claims.clock.now_ms(now_s),
        results=tuple(r for r in records if isinstance(r, ResultRecord)),
        claims=tuple(r for r in records if isinstance(r, ClaimRecord)),
    )
    state.effects.append(AppendLog(options.stream, token, encode_batch(batch)))


def _write_strikes(state: RouterState, now_s: float) -> None:
    due_s = state.strike_log.due_s()
    if due_s is None:
        return
    if due_s > now_s:
        state.timers.set((Timer.STRIKES, ""), due_s)
        return
    token = state.next_sequence()
    records = state.strike_log.start_append(token, now_s, 0.0)
    if not records:
        return
    batch = StrikeBatch(
        at_ms=state.quarantine.clock.now_ms(now_s),
        strikes=tuple(r for r in records if isinstance(r, StrikeRecord)),
        pardons=tuple(r for r in records if isinstance(r, int)),
    )
    body = encode_strikes(batch)
    state.effects.append(AppendLog(state.options.strikes_stream, token, body))


def _read_strikes(state: RouterState, record: LogRecord, now_s: float) -> None:
    batch = decode_strikes(record.body)
    if batch is None:
        return
    clock = state.quarantine.clock
    clock.observe(batch.at_ms, now_s)
    # The clock of a writer that has not read the stream may lag, but its
    # record is later than all records before it.
    since_ms = max(0, clock.now_ms(now_s) - clock.time_ms)
    strikes = tuple(
        Strike(
            strike.fingerprint,
            strike.strike_id,
            strike.alone,
            since_ms + max(0, batch.at_ms - strike.at_ms),
        )
        for strike in batch.strikes
    )
    gating.merge_strikes(state, strikes, now_s)
    # A pardon does not apply to later crashes.
    pardoned_s = now_s - since_ms / 1000
    gating.apply_pardons(state, batch.pardons, pardoned_s, now_s)

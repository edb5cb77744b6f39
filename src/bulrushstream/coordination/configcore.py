"""The state machine that keeps one instance's configuration up to date.

It applies the records of the log's stream and exchanges versions with its
peers.  The version never decreases.

A reader that has read the stream without a gap since the current version
*follows* it: it judges every record.  A gap arises when the instance
starts late, or is cut off while the log drops records.  The reader then
*searches*: it reads to the end of the stream, starts from the highest
version given by a checkpoint or a reset, or from its own version if that
is higher, and reads on from there.  This is correct because each current
version is repeated by a checkpoint long before the log drops the records
that it was built from.

The instance whose random delay ends first writes the checkpoint; the
others read that record and restart their delays.  Duplicate checkpoints
are harmless.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from random import Random
from typing import Final

from bulrushstream.coordination import configspread
from bulrushstream.coordination.configlog import (
    STREAM,
    JudgedRecord,
    Verdict,
    encode_checkpoint,
    judge,
    starting_point,
)
from bulrushstream.coordination.configspread import (
    NEVER_S,
    SpreadOptions,
    SpreadState,
)
from bulrushstream.state.config import (
    EMPTY_CONFIG,
    NO_VERSION,
    VersionedConfig,
)
from bulrushstream.state.effect import (
    AppendLog,
    ApplyConfig,
    Decision,
    Effect,
    ReadLog,
    WakeAt,
)
from bulrushstream.state.event import (
    Event,
    LogAppended,
    LogFailed,
    LogRead,
    LogRecord,
    MessageReceived,
    PeerDown,
    PeerUp,
    TimerFired,
)
from bulrushstream.state.identity import InstanceKey
from bulrushstream.state.message import ConfigFetch, ConfigPush

TOKEN_BASE: Final = 1 << 40  # Keeps append tokens distinct between cores.
DEFAULT_SPREAD: Final = SpreadOptions()


@dataclass(frozen=True, slots=True)
class ConfigOptions:
    """Options of reading, checkpointing and announcing configurations."""

    reads_log: bool = True  # False: versions come from peers only.
    log_retention_s: float = 86_400.0  # How long the log keeps records.
    # Range of the checkpoint delay, as a share of the retention: when the
    # age of the latest record is known, and when it is not.
    known_age_share: tuple[float, float] = (0.25, 0.5)
    unknown_age_share: tuple[float, float] = (0.05, 0.2)
    retry_s: tuple[float, float] = (1.0, 30.0)  # After a failed append.
    announce_delay_s: float = 0.2  # Maximum; for versions from a peer.
    max_judged: int = 64  # Judged records that are kept.
    spread: SpreadOptions = DEFAULT_SPREAD


@dataclass(slots=True)
class ConfigState:
    """The configuration as seen by one instance."""

    options: ConfigOptions
    rng: Random  # For delays and the choice of peers.
    spread: SpreadState  # The current version and the peers' versions.
    next_offset: int = 0  # Of the next record to read from the stream.
    searching: bool = False  # Whether records before it were missed.
    best_start: VersionedConfig = EMPTY_CONFIG  # Highest found by the search.
    caught_up: bool = False  # Whether it follows and reached the end.
    checkpoint_due_s: float = NEVER_S
    append_token: int = TOKEN_BASE  # Identifies the latest append.
    append_pending: bool = False  # Whether that append has no answer yet.
    failed_appends: int = 0  # In a row.
    recent_judged: deque[JudgedRecord] = field(default_factory=deque)

    @property
    def current(self) -> VersionedConfig:
        """Return the current version; EMPTY_CONFIG if there is none."""
        return self.spread.current

    @property
    def highest_version(self) -> int:
        """Return the highest version known here or at a connected peer."""
        versions = (peer.version for peer in self.spread.peers.values())
        return max(self.current.version, *versions, NO_VERSION)

    @property
    def ready(self) -> bool:
        """Return whether there is a current configuration."""
        return self.current.version != NO_VERSION


def new_config(options: ConfigOptions, rng: Random) -> ConfigState:
    """Return the state of an instance without any configuration yet.

    :param options: The options.
    :param rng: The instance's random number generator.
    :returns: The state; it reads the stream from the first record.
    """
    return ConfigState(options, rng, SpreadState(options.spread, rng))


def poll_interval_s(routers: int) -> float:
    """Return the interval at which each of several routers reads the stream.

    The first router to read a record announces it to the others, so a
    record usually reaches a router before its own next read.

    :param routers: Number of routers in the fleet.
    :returns: Seconds between reads.
    """
    return min(2.0, max(1.0, routers * 0.01))


def handle(state: ConfigState, event: Event, now_s: float) -> list[Effect]:
    """Apply an event to the configuration state.

    :param state: Changed in place.
    :param event: Events of other kinds are ignored.
    :param now_s: The time, on the core's clock.
    :returns: The effects to execute, in order.
    """
    effects: list[Effect] = []
    if isinstance(event, LogRead):
        if event.stream == STREAM and state.options.reads_log:
            effects += _read_page(state, event, now_s)
    elif isinstance(event, MessageReceived):
        effects += _receive(state, event, now_s)
    elif isinstance(event, PeerUp):
        effects += configspread.add_peer(state.spread, event.peer)
    elif isinstance(event, PeerDown):
        configspread.drop_peer(state.spread, event.peer)
    elif isinstance(event, LogAppended | LogFailed):
        _handle_append_result(state, event, now_s)
    elif not isinstance(event, TimerFired):
        return []
    effects += _run_due(state, now_s)
    effects.append(WakeAt(_due_s(state)))
    return effects


def _read_page(
    state: ConfigState, event: LogRead, now_s: float
) -> list[Effect]:
    """Apply a page of records from the stream."""
    if event.offset > max(state.next_offset, event.first_offset):
        return []  # Requested before the read position was moved back.
    effects: list[Effect] = []
    if event.first_offset > state.next_offset:
        state.searching = True
        state.best_start = EMPTY_CONFIG
        state.next_offset = event.first_offset
    for entry in event.records:
        if entry.offset < state.next_offset:
            continue
        state.next_offset = entry.offset + 1
        if state.searching:
            _search_record(state, entry)
        else:
            effects += _follow_record(state, entry, now_s)
    if event.caught_up:
        if state.searching:
            effects += _end_search(state, event, now_s)
        state.caught_up = not state.searching
    return effects


def _search_record(state: ConfigState, entry: LogRecord) -> None:
    start = starting_point(entry)
    if start is None:
        return
    if start.version > state.best_start.version:
        state.best_start = start
    if start.version == entry.offset:
        _keep_judged(state, judge(EMPTY_CONFIG, entry))


def _end_search(
    state: ConfigState, event: LogRead, now_s: float
) -> list[Effect]:
    """Start following from the highest version known, if there is one."""
    effects: list[Effect] = []
    best = state.best_start
    if best.version > state.current.version:
        effects += _set_current(state, best, now_s, 0.0, "checkpoint")
    if not state.ready:
        return effects
    if best.version < state.current.version:
        # The log holds no checkpoint of the current version any more.
        state.checkpoint_due_s = now_s + state.rng.uniform(0.0, 2.0)
    elif state.checkpoint_due_s == NEVER_S:
        _schedule_checkpoint(state, now_s)
    state.searching = False
    # Records before the first retained offset can not be read any more.
    start = max(state.current.version + 1, event.first_offset)
    effects += _seek(state, start)
    return effects


def _seek(state: ConfigState, offset: int) -> list[Effect]:
    if offset == state.next_offset:
        return []
    state.next_offset = offset
    return [ReadLog(STREAM, offset)]


def _follow_record(
    state: ConfigState, entry: LogRecord, now_s: float
) -> list[Effect]:
    """Judge a record when all its predecessors have been applied."""
    judged = judge(state.current, entry)
    _keep_judged(state, judged)
    if judged.verdict is Verdict.REPEATED:
        _schedule_checkpoint(state, now_s)
        return []
    if judged.verdict is not Verdict.ACCEPTED:
        reason = f"skipped record {entry.offset}: {judged.verdict}"
        return [Decision("config", reason)]
    if state.current.version == NO_VERSION:
        _schedule_checkpoint(state, now_s)
    return _set_current(state, judged.result, now_s, 0.0, "log")


def _keep_judged(state: ConfigState, judged: JudgedRecord) -> None:
    state.recent_judged.append(judged)
    while len(state.recent_judged) > state.options.max_judged:
        state.recent_judged.popleft()


def _set_current(
    state: ConfigState,
    current: VersionedConfig,
    now_s: float,
    delay_s: float,
    source: str,
) -> list[Effect]:
    configspread.set_current(state.spread, current, now_s, delay_s)
    reason = f"applied version {current.version} from {source}"
    return [ApplyConfig(current), Decision("config", reason)]


def _receive(
    state: ConfigState, event: MessageReceived, now_s: float
) -> list[Effect]:
    message = event.message
    if isinstance(message, ConfigFetch):
        sends = configspread.answer_fetch(
            state.spread, event.peer, message, now_s
        )
        return list(sends)
    if not isinstance(message, ConfigPush):
        return []
    effects = _handle_push(state, event.peer, message, now_s)
    effects += configspread.answer_push(state.spread, event.peer, now_s)
    return effects


def _handle_push(
    state: ConfigState, peer: InstanceKey, message: ConfigPush, now_s: float
) -> list[Effect]:
    newer = configspread.newer_from_push(state.spread, peer, message)
    if newer is None:
        return []
    if isinstance(newer, Verdict):
        reason = f"refused version {message.version}: {newer}"
        return [Decision("config", reason, endpoint=peer.instance)]
    delay_s = state.rng.random() * state.options.announce_delay_s
    effects = _set_current(state, newer, now_s, delay_s, peer.instance)
    if state.options.reads_log:
        # Records after this version are judged again, based on it.
        state.searching = False
        effects += _seek(state, newer.version + 1)
        if state.checkpoint_due_s == NEVER_S:
            _schedule_checkpoint(state, now_s)
    return effects


def _schedule_checkpoint(state: ConfigState, now_s: float) -> None:
    """Set the checkpoint delay to a random share of the retention.

    It is shorter while the reader has not caught up, because a record that
    it reads may then already be old.
    """
    share = state.options.unknown_age_share
    if state.caught_up:
        share = state.options.known_age_share
    wait_s = state.rng.uniform(*share) * state.options.log_retention_s
    state.checkpoint_due_s = now_s + wait_s


def _handle_append_result(
    state: ConfigState, event: LogAppended | LogFailed, now_s: float
) -> None:
    if event.token != state.append_token or not state.append_pending:
        return
    state.append_pending = False
    if isinstance(event, LogAppended):
        state.failed_appends = 0
        # Reading the checkpoint back schedules the next one again.
        _schedule_checkpoint(state, now_s)
        return
    least_s, most_s = state.options.retry_s
    state.failed_appends += 1
    limit_s = min(most_s, least_s * 2.0 ** min(state.failed_appends, 16))
    wait_s = state.rng.uniform(least_s, limit_s)
    state.checkpoint_due_s = now_s + wait_s


def _run_due(state: ConfigState, now_s: float) -> list[Effect]:
    effects: list[Effect] = list(configspread.tick(state.spread, now_s))
    if now_s >= state.checkpoint_due_s and not state.append_pending:
        state.append_pending = True
        state.append_token += 1
        body = encode_checkpoint(state.current)
        effects.append(AppendLog(STREAM, state.append_token, body))
        reason = f"appending checkpoint of version {state.current.version}"
        effects.append(Decision("config", reason))
    return effects


def _due_s(state: ConfigState) -> float:
    due_s = configspread.due_s(state.spread)
    if state.append_pending:
        return due_s
    return min(due_s, state.checkpoint_due_s)

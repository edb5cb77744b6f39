"""The core that keeps one instance's configuration.

It folds the log's stream and exchanges versions with its peers, and it
never puts a lower version in force than the one before.

A reader that has read the stream without a gap since the version in force
*follows* it: it judges every record.  After a gap, because it started late
or was cut off while the log dropped records, it *searches*: it reads to
the stream's end, starts from the highest version that a checkpoint or a
reset gives, or from its own if that is higher, and reads on from there.
That is right because every version in force is repeated by a checkpoint
long before the log drops the records that it follows from.

Checkpoints are written by whichever instance's random delay ends first;
the others see the record and wait again.  Two of the same do no harm.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from random import Random
from typing import Final

from bulrushstream.coordination import configspread
from bulrushstream.coordination.configlog import (
    STREAM,
    Judged,
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

TOKEN_BASE: Final = 1 << 40  # Apart from the tokens of other cores.
DEFAULT_SPREAD: Final = SpreadOptions()


@dataclass(frozen=True, slots=True)
class ConfigOptions:
    """How an instance keeps its configuration."""

    reads_log: bool = True  # False: it hears of versions from peers only.
    log_retention_s: float = 86_400.0  # How long the log keeps records.
    fresh_share: tuple[float, float] = (0.25, 0.5)  # Of the retention.
    unsure_share: tuple[float, float] = (0.05, 0.2)  # If the age is unknown.
    retry_s: tuple[float, float] = (1.0, 30.0)  # After a failed append.
    announce_delay_s: float = 0.2  # For versions that came from a peer.
    verdicts: int = 64  # Judged records that are remembered.
    spread: SpreadOptions = DEFAULT_SPREAD  # How versions are spread.


@dataclass(slots=True)
class ConfigState:
    """What one instance knows of the configuration."""

    options: ConfigOptions  # How it is kept.
    rng: Random  # Draws delays and peers.
    spread: SpreadState  # The version in force and the peers' versions.
    next_offset: int = 0  # The next record of the stream to read.
    searching: bool = False  # Whether records before it were missed.
    found: VersionedConfig = EMPTY_CONFIG  # The best start of a search.
    caught_up: bool = False  # Whether it has read to the end once.
    checkpoint_due_s: float = NEVER_S  # When the next checkpoint is due.
    append_token: int = TOKEN_BASE  # Names the latest append.
    append_pending: bool = False  # Whether that append has no answer yet.
    retries: int = 0  # Appends that failed in a row.
    verdicts: deque[Judged] = field(default_factory=deque)

    @property
    def current(self) -> VersionedConfig:
        """Return the version in force; EMPTY_CONFIG if there is none."""
        return self.spread.current

    @property
    def highest_version(self) -> int:
        """Return the highest version that it or a connected peer has."""
        shown = (known.version for known in self.spread.peers.values())
        return max(self.current.version, *shown, NO_VERSION)

    @property
    def ready(self) -> bool:
        """Return whether any configuration is in force."""
        return self.current.version != NO_VERSION


def new_config(options: ConfigOptions, rng: Random) -> ConfigState:
    """Return the state of an instance that knows nothing yet.

    :param options: How the configuration is kept.
    :param rng: The instance's own source of random numbers.
    :returns: The state; its stream is read from the first record.
    """
    return ConfigState(options, rng, SpreadState(options.spread, rng))


def poll_interval_s(routers: int) -> float:
    """Return how often one of several routers reads the stream.

    Whoever reads a record first tells the others, so the fleet as a whole
    hears of it sooner than one router reads.

    :param routers: How many routers there are.
    :returns: Seconds between reads.
    """
    return min(2.0, max(1.0, routers * 0.01))


def handle(state: ConfigState, event: Event, now_s: float) -> list[Effect]:
    """Take in an event.

    :param state: Changed in place.
    :param event: What happened.
    :param now_s: The time, on the core's clock.
    :returns: What to do, in order.
    """
    effects: list[Effect] = []
    if isinstance(event, LogRead):
        if event.stream == STREAM and state.options.reads_log:
            effects += _read(state, event, now_s)
    elif isinstance(event, MessageReceived):
        effects += _receive(state, event, now_s)
    elif isinstance(event, PeerUp):
        effects += configspread.add_peer(state.spread, event.peer)
    elif isinstance(event, PeerDown):
        configspread.drop_peer(state.spread, event.peer)
    elif isinstance(event, LogAppended | LogFailed):
        _take_answer(state, event, now_s)
    elif not isinstance(event, TimerFired):
        return []
    effects += _do_due(state, now_s)
    effects.append(WakeAt(_due_s(state)))
    return effects


def _read(state: ConfigState, event: LogRead, now_s: float) -> list[Effect]:
    """Fold a page of the stream."""
    if event.offset > max(state.next_offset, event.first_offset):
        return []  # It was read before the reader was sent back.
    effects: list[Effect] = []
    if event.first_offset > state.next_offset:
        state.searching = True
        state.found = EMPTY_CONFIG
        state.next_offset = event.first_offset
    for entry in event.records:
        if entry.offset < state.next_offset:
            continue
        state.next_offset = entry.offset + 1
        if state.searching:
            _search(state, entry)
        else:
            effects += _follow(state, entry, now_s)
    if event.caught_up:
        if state.searching:
            effects += _end_search(state, event, now_s)
        state.caught_up = not state.searching
    return effects


def _search(state: ConfigState, entry: LogRecord) -> None:
    start = starting_point(entry)
    if start is None:
        return
    if start.version > state.found.version:
        state.found = start
    if start.version == entry.offset:
        _remember(state, judge(EMPTY_CONFIG, entry))


def _end_search(
    state: ConfigState, event: LogRead, now_s: float
) -> list[Effect]:
    """Start from the best version known, or go on searching for one."""
    effects: list[Effect] = []
    found = state.found
    if found.version > state.current.version:
        effects += _adopt(state, found, now_s, 0.0, "checkpoint")
    if not state.ready:
        return effects
    if found.version < state.current.version:
        # No checkpoint of what is in force is left in the log.
        state.checkpoint_due_s = now_s + state.rng.uniform(0.0, 2.0)
    elif state.checkpoint_due_s == NEVER_S:
        _plan_checkpoint(state, now_s)
    state.searching = False
    # What lies before the first record that is kept was looked for.
    start = max(state.current.version + 1, event.first_offset)
    effects += _seek(state, start)
    return effects


def _seek(state: ConfigState, offset: int) -> list[Effect]:
    if offset == state.next_offset:
        return []
    state.next_offset = offset
    return [ReadLog(STREAM, offset)]


def _follow(
    state: ConfigState, entry: LogRecord, now_s: float
) -> list[Effect]:
    """Judge a record whose predecessors are all known."""
    judged = judge(state.current, entry)
    _remember(state, judged)
    if judged.verdict is Verdict.REPEATED:
        _plan_checkpoint(state, now_s)
        return []
    if judged.verdict is not Verdict.ACCEPTED:
        reason = f"record {entry.offset} is skipped: {judged.verdict}"
        return [Decision("config", reason)]
    if state.current.version == NO_VERSION:
        _plan_checkpoint(state, now_s)
    return _adopt(state, judged.result, now_s, 0.0, "log")


def _remember(state: ConfigState, judged: Judged) -> None:
    state.verdicts.append(judged)
    while len(state.verdicts) > state.options.verdicts:
        state.verdicts.popleft()


def _adopt(
    state: ConfigState,
    current: VersionedConfig,
    now_s: float,
    delay_s: float,
    source: str,
) -> list[Effect]:
    configspread.adopt(state.spread, current, now_s, delay_s)
    reason = f"version {current.version} from {source} is in force"
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
    effects = _take_push(state, event.peer, message, now_s)
    effects += configspread.answer_push(state.spread, event.peer, now_s)
    return effects


def _take_push(
    state: ConfigState, peer: InstanceKey, message: ConfigPush, now_s: float
) -> list[Effect]:
    newer = configspread.fetched(state.spread, peer, message)
    if newer is None:
        return []
    if isinstance(newer, Verdict):
        reason = f"version {message.version} is refused: {newer}"
        return [Decision("config", reason, endpoint=peer.instance)]
    delay_s = state.rng.random() * state.options.announce_delay_s
    effects = _adopt(state, newer, now_s, delay_s, peer.instance)
    if state.options.reads_log:
        # Whatever was made of later records, they are judged from here.
        state.searching = False
        effects += _seek(state, newer.version + 1)
        if state.checkpoint_due_s == NEVER_S:
            _plan_checkpoint(state, now_s)
    return effects


def _plan_checkpoint(state: ConfigState, now_s: float) -> None:
    """Wait for a share of the retention, by how sure the age is."""
    share = state.options.unsure_share
    if state.caught_up:
        share = state.options.fresh_share
    wait_s = state.rng.uniform(*share) * state.options.log_retention_s
    state.checkpoint_due_s = now_s + wait_s


def _take_answer(
    state: ConfigState, event: LogAppended | LogFailed, now_s: float
) -> None:
    if event.token != state.append_token or not state.append_pending:
        return
    state.append_pending = False
    if isinstance(event, LogAppended):
        state.retries = 0
        # The record itself plans the next one when it is read.
        _plan_checkpoint(state, now_s)
        return
    least_s, most_s = state.options.retry_s
    state.retries += 1
    limit_s = min(most_s, least_s * 2.0 ** min(state.retries, 16))
    wait_s = state.rng.uniform(least_s, limit_s)
    state.checkpoint_due_s = now_s + wait_s


def _do_due(state: ConfigState, now_s: float) -> list[Effect]:
    effects: list[Effect] = list(configspread.tick(state.spread, now_s))
    if now_s >= state.checkpoint_due_s and not state.append_pending:
        state.append_pending = True
        state.append_token += 1
        body = encode_checkpoint(state.current)
        effects.append(AppendLog(STREAM, state.append_token, body))
        reason = f"checkpoint of version {state.current.version}"
        effects.append(Decision("config", reason))
    return effects


def _due_s(state: ConfigState) -> float:
    due_s = configspread.due_s(state.spread)
    if state.append_pending:
        return due_s
    return min(due_s, state.checkpoint_due_s)

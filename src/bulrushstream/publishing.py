"""Publish a configuration on the platform's log and determine the result.

A record contains the id of its publication.  If the answer to an append is
lost, the stream is searched for the id; if it is not found, the same record
is appended again.  Duplicates are harmless: both records name the same base
version, so at most one of them is accepted when the log is applied.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import Random
from typing import Final, TypeAlias

from bulrushstream.coordination import configcore
from bulrushstream.coordination.configcore import ConfigOptions, ConfigState
from bulrushstream.coordination.configlog import (
    STREAM,
    JudgedRecord,
    Verdict,
    canonical,
    digest_of,
    encode_publish,
    encode_reset,
)
from bulrushstream.coordination.configspread import SpreadOptions
from bulrushstream.protocol.logservice import (
    LogAnswerLostError,
    LogService,
    LogUnavailableError,
)
from bulrushstream.state.config import FleetConfig, VersionedConfig
from bulrushstream.state.event import LogRead

PAGE_RECORDS: Final = 500
HISTORY_VERSIONS: Final = 100_000
_OPTIONS: Final = ConfigOptions(
    max_judged=HISTORY_VERSIONS, spread=SpreadOptions(history=HISTORY_VERSIONS)
)

Sleep: TypeAlias = Callable[[float], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Publication:
    """A configuration to publish."""

    config: FleetConfig  # Must be valid.
    publish_id: str  # Unique in the fleet.
    base: int | None = None  # The version it derives from; None: current.
    author: str = ""
    note: str = ""  # The author's reason for the change.
    is_reset: bool = False  # Whether to replace any current version.


@dataclass(frozen=True, slots=True)
class PublishOptions:
    """How often and how fast a publication is retried."""

    attempts: int = 8  # Maximum number of attempts.
    backoff_s: float = 0.5  # Before the second attempt; doubles each time.
    max_backoff_s: float = 5.0  # Upper limit of the doubled backoff.


@dataclass(frozen=True, slots=True)
class Accepted:
    """The configuration was accepted; instances apply it within seconds."""

    current: VersionedConfig  # The published configuration.


@dataclass(frozen=True, slots=True)
class Unchanged:
    """The current configuration is the same."""

    current: VersionedConfig


@dataclass(frozen=True, slots=True)
class Conflict:
    """Another publication replaced the base version first."""

    current: VersionedConfig
    base: int  # The version that the publication is based on.
    author: str = ""  # Who published the current version; empty: not known.
    note: str = ""  # The reason given for it; empty: not known.


@dataclass(frozen=True, slots=True)
class NoVersions:
    """The log has deleted every version: only a reset can be published."""


@dataclass(frozen=True, slots=True)
class LogUnreachable:
    """The log could not be reached; nothing was published."""

    reason: str


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The record may have been appended, but its verdict is not known.

    Publishing again with the same id determines the result.
    """

    reason: str


PublishResult: TypeAlias = (
    Accepted
    | Unchanged
    | Conflict
    | NoVersions
    | LogUnreachable
    | OutcomeUnknown
)


class ConfigReader:
    """Reads the stream of configurations in the same way as an instance."""

    state: ConfigState  # The state after the records read so far.
    _log: LogService

    def __init__(self, log: LogService) -> None:
        """Make a reader that starts at the beginning of the stream."""
        self._log = log
        self.state = configcore.new_config(_OPTIONS, Random(0))

    async def read(self) -> VersionedConfig:
        """Read to the end of the stream.

        :returns: The current version; EMPTY_CONFIG if there is none.
        :raises LogUnavailableError: If the log does not answer.
        """
        while True:
            offset = self.state.next_offset
            page = await self._log.read(STREAM, offset, PAGE_RECORDS)
            next_offset = (
                page.records[-1].offset + 1 if page.records else offset
            )
            caught_up = next_offset >= page.end_offset
            event = LogRead(
                STREAM, page.records, caught_up, page.first_offset, offset
            )
            configcore.handle(self.state, event, 0.0)
            if caught_up and self.state.next_offset >= page.end_offset:
                return self.state.current

    def judged(self, publish_id: str) -> JudgedRecord | None:
        """Return a publication's record and verdict; None if not found."""
        records = [
            j for j in self.state.recent_judged if j.publish_id == publish_id
        ]
        for judged in records:
            if judged.verdict is Verdict.ACCEPTED:
                return judged
        return records[0] if records else None

    def version(self, version: int) -> VersionedConfig | None:
        """Return a version; None if the log no longer contains it."""
        for known in (self.state.current, *self.state.spread.history):
            if known.version == version:
                return known
        return None


async def publish(
    log: LogService,
    publication: Publication,
    sleep: Sleep,
    options: PublishOptions | None = None,
) -> PublishResult:
    """Publish a configuration.

    :param log: The platform's log.
    :param publication: The configuration to publish.
    :param sleep: Waits for a number of seconds.
    :param options: The retries; None: the defaults.
    :returns: The result.
    """
    reader = ConfigReader(log)
    try:
        current = await reader.read()
    except LogUnavailableError as error:
        return LogUnreachable(str(error))
    result = _result_in_log(reader, publication)
    if result is None:
        result = _result_without_append(current, reader, publication)
    if result is not None:
        return result
    body = _encode(current, publication)
    appender = _Appender(log, reader, publication, body, current.version)
    return await appender.run(sleep, options or PublishOptions())


def _result_without_append(
    current: VersionedConfig, reader: ConfigReader, publication: Publication
) -> PublishResult | None:
    """Return the result if no record has to be or can be appended."""
    if publication.is_reset:
        return None
    if reader.state.searching:
        return NoVersions()
    if digest_of(canonical(publication.config)) == current.digest:
        return Unchanged(current)
    base = publication.base
    if base is not None and base != current.version:
        return _conflict(reader, base)
    return None


def _encode(current: VersionedConfig, publication: Publication) -> bytes:
    if publication.is_reset:
        return encode_reset(
            publication.config,
            publication.publish_id,
            publication.author,
            publication.note,
        )
    return encode_publish(
        current,
        publication.config,
        publication.publish_id,
        publication.author,
        publication.note,
    )


def _result_in_log(
    reader: ConfigReader, publication: Publication, base: int | None = None
) -> PublishResult | None:
    """Return a publication's result if its record is in the stream."""
    judged = reader.judged(publication.publish_id)
    if judged is None:
        return None
    if judged.verdict is Verdict.ACCEPTED:
        return Accepted(judged.result)
    if base is None:
        base = publication.base
    return _conflict(reader, judged.result.version if base is None else base)


def _conflict(reader: ConfigReader, base: int) -> Conflict:
    current = reader.state.current
    for judged in reader.state.recent_judged:
        if judged.offset == current.version:
            return Conflict(current, base, judged.author, judged.note)
    return Conflict(current, base)


@dataclass(slots=True)
class _Appender:
    """Appends one publication's record and retries on failures."""

    log: LogService
    reader: ConfigReader
    publication: Publication
    body: bytes
    base: int
    may_be_appended: bool = False  # An append may have taken effect.
    is_appended: bool = False  # An append was confirmed.
    last_failure: str = ""

    async def run(
        self, sleep: Sleep, options: PublishOptions
    ) -> PublishResult:
        """Append the record and read the stream until the result is known."""
        for number in range(options.attempts):
            if number:
                pause_s = options.backoff_s * 2.0 ** (number - 1)
                await sleep(min(pause_s, options.max_backoff_s))
            if not self.is_appended:
                await self._append()
            result = await self._read_result()
            if result is not None:
                return result
        if self.may_be_appended:
            return OutcomeUnknown(self.last_failure)
        return LogUnreachable(self.last_failure)

    async def _append(self) -> None:
        try:
            await self.log.append(STREAM, self.body)
        except LogUnavailableError as error:
            self.last_failure = str(error)
        except LogAnswerLostError as error:
            self.last_failure = str(error)
            self.may_be_appended = True
        else:
            self.may_be_appended = True
            self.is_appended = True

    async def _read_result(self) -> PublishResult | None:
        if not self.may_be_appended:
            return None
        try:
            await self.reader.read()
        except LogUnavailableError as error:
            self.last_failure = str(error)
            return None
        return _result_in_log(self.reader, self.publication, self.base)

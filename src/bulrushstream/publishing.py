"""Publish a configuration on the platform's log and learn what became of it.

A publication has an id, which its record carries.  If the answer to an
append is lost, the stream is read back for the id; if it is not there, the
same record is appended again.  That is safe: both copies name the same
base, so the fold accepts one of them at most.
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
from bulrushstream.protocol.platform import (
    LogAnswerLostError,
    LogService,
    LogUnavailableError,
)
from bulrushstream.state.config import FleetConfig, VersionedConfig
from bulrushstream.state.event import LogRead

PAGE_RECORDS: Final = 500
KEPT_VERSIONS: Final = 100_000
_OPTIONS: Final = ConfigOptions(
    max_judged=KEPT_VERSIONS, spread=SpreadOptions(history=KEPT_VERSIONS)
)

Sleep: TypeAlias = Callable[[float], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Publication:
    """What is to be published."""

    config: FleetConfig  # The valid configuration.
    publish_id: str  # Names the publication; unique in the fleet.
    base: int | None = None  # What it derives from; None: what is in force.
    author: str = ""  # Who publishes it.
    note: str = ""  # Why.
    is_reset: bool = False  # Whether it replaces whatever is in force.


@dataclass(frozen=True, slots=True)
class PublishOptions:
    """How long a publication may take."""

    attempts: int = 8  # Tries before it is given up.
    pause_s: float = 0.5  # Before the second try; then longer.
    longest_pause_s: float = 5.0  # Between later tries.


@dataclass(frozen=True, slots=True)
class Accepted:
    """The configuration is in force, or will be within seconds."""

    current: VersionedConfig  # The configuration with its version.


@dataclass(frozen=True, slots=True)
class Unchanged:
    """The very same configuration is in force already."""

    current: VersionedConfig  # What is in force.


@dataclass(frozen=True, slots=True)
class Conflict:
    """Another configuration replaced the base first."""

    current: VersionedConfig  # What is in force instead.
    base: int  # What the publication derives from.
    author: str = ""  # Who published what is in force; empty: not known.
    note: str = ""  # Why; empty: not known.


@dataclass(frozen=True, slots=True)
class NoBase:
    """The log lost every version: only a reset can be published."""


@dataclass(frozen=True, slots=True)
class Unreached:
    """The log could not be reached; nothing was published."""

    why: str  # What went wrong.


@dataclass(frozen=True, slots=True)
class Unresolved:
    """The record may be in the log; the same id tells later."""

    why: str  # What went wrong.


Published: TypeAlias = (
    Accepted | Unchanged | Conflict | NoBase | Unreached | Unresolved
)


class ConfigReader:
    """Reads the stream of configurations as any instance does."""

    state: ConfigState  # What was read so far.
    _log: LogService  # Where it is read from.

    def __init__(self, log: LogService) -> None:
        """Make a reader that has read nothing yet."""
        self._log = log
        self.state = configcore.new_config(_OPTIONS, Random(0))

    async def read(self) -> VersionedConfig:
        """Read to the stream's end.

        :returns: The version in force; EMPTY_CONFIG if there is none.
        :raises LogUnavailableError: If the log does not answer.
        """
        while True:
            offset = self.state.next_offset
            page = await self._log.read(STREAM, offset, PAGE_RECORDS)
            last = page.records[-1].offset + 1 if page.records else offset
            caught_up = last >= page.end_offset
            event = LogRead(
                STREAM, page.records, caught_up, page.first_offset, offset
            )
            configcore.handle(self.state, event, 0.0)
            if caught_up and self.state.next_offset >= page.end_offset:
                return self.state.current

    def judged(self, publish_id: str) -> JudgedRecord | None:
        """Return what became of a publication; None if it was not seen."""
        found = [
            j for j in self.state.recent_judged if j.publish_id == publish_id
        ]
        for judged in found:
            if judged.verdict is Verdict.ACCEPTED:
                return judged
        return found[0] if found else None

    def version(self, version: int) -> VersionedConfig | None:
        """Return a version that the log still leads to."""
        for known in (self.state.current, *self.state.spread.history):
            if known.version == version:
                return known
        return None


async def publish(
    log: LogService,
    publication: Publication,
    sleep: Sleep,
    options: PublishOptions | None = None,
) -> Published:
    """Publish a configuration.

    :param log: The platform's log.
    :param publication: What is to be published.
    :param sleep: Waits for some seconds.
    :param options: How long it may take.
    :returns: What became of it.
    """
    reader = ConfigReader(log)
    try:
        current = await reader.read()
    except LogUnavailableError as error:
        return Unreached(str(error))
    settled = _settled(reader, publication)
    if settled is None:
        settled = _refused(current, reader, publication)
    if settled is not None:
        return settled
    body = _encode(current, publication)
    attempt = _Attempt(log, reader, publication, body, current.version)
    return await attempt.run(sleep, options or PublishOptions())


def _refused(
    current: VersionedConfig, reader: ConfigReader, publication: Publication
) -> Published | None:
    """Return why nothing needs to be or can be published."""
    if publication.is_reset:
        return None
    if reader.state.searching:
        return NoBase()
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


def _settled(
    reader: ConfigReader, publication: Publication, base: int | None = None
) -> Published | None:
    """Return what the stream says of a publication, if it is there."""
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
class _Attempt:
    """One publication on its way."""

    log: LogService
    reader: ConfigReader
    publication: Publication
    body: bytes
    base: int
    may_be_there: bool = False  # Whether an append may have taken effect.
    is_there: bool = False  # Whether one certainly did.
    why: str = ""  # The last failure.

    async def run(self, sleep: Sleep, options: PublishOptions) -> Published:
        """Append and read back until the outcome is known."""
        for number in range(options.attempts):
            if number:
                pause_s = options.pause_s * 2.0 ** (number - 1)
                await sleep(min(pause_s, options.longest_pause_s))
            if not self.is_there:
                await self._append()
            settled = await self._look()
            if settled is not None:
                return settled
        if self.may_be_there:
            return Unresolved(self.why)
        return Unreached(self.why)

    async def _append(self) -> None:
        try:
            await self.log.append(STREAM, self.body)
        except LogUnavailableError as error:
            self.why = str(error)
        except LogAnswerLostError as error:
            self.why = str(error)
            self.may_be_there = True
        else:
            self.may_be_there = True
            self.is_there = True

    async def _look(self) -> Published | None:
        if not self.may_be_there:
            return None
        try:
            await self.reader.read()
        except LogUnavailableError as error:
            self.why = str(error)
            return None
        return _settled(self.reader, self.publication, self.base)

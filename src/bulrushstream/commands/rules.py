"""`bulrushstream rules`: check, publish, show and compare rule lists.

Each command ends with one of the exit codes below, so that scripts can
tell a lost race from a log that is down.
"""

from __future__ import annotations

import asyncio
import getpass
import re
import sys
import uuid
from collections.abc import Awaitable, Callable
from typing import Final, NoReturn, TypeVar

import httpx
import msgspec

from bulrushstream import messages, publishing, rulefile
from bulrushstream.coordination.configdiff import compare
from bulrushstream.coordination.configlog import encode_checkpoint
from bulrushstream.messages import Notice
from bulrushstream.protocol.logservice import LogService, LogUnavailableError
from bulrushstream.publishing import (
    Accepted,
    ConfigReader,
    Conflict,
    LogUnreachable,
    NoVersions,
    OutcomeUnknown,
    Publication,
    PublishResult,
    Unchanged,
)
from bulrushstream.state.config import (
    NO_VERSION,
    FleetConfig,
    VersionedConfig,
)
from bulrushstream.state.message import ConfigPush
from bulrushstream.transport.log import LogClient

EXIT_FINDINGS: Final = 2
EXIT_CONFLICT: Final = 3
EXIT_UNRESOLVED: Final = 4
EXIT_LOG_DOWN: Final = 5
NOTIFY_TIMEOUT_S: Final = 2.0
CONFIG_ACTION: Final = "/actions/config"

_BASE_LINE: Final = re.compile(r"\A// base version: (\d+)$", re.MULTILINE)

T = TypeVar("T")


def check(file: str) -> None:
    """Check a rule list and report everything that is wrong in it.

    :param file: A file of JSON with comments.
    """
    config = _read_file(file)
    _say(
        messages.RULES_VALID,
        workspaces=len(config.workspaces),
        services=len(config.services),
        rules=len(config.rules),
    )


def publish(
    file: str,
    log: str,
    base: int | None = None,
    note: str = "",
    author: str = "",
    publish_id: str = "",
    reset: bool = False,
    routers: str = "",
) -> None:
    """Publish a rule list to the whole fleet.

    :param file: A file of JSON with comments.
    :param log: The URL of the platform's log.
    :param base: The version that the list derives from; without it, the
        one that the file's first line names, as `show` writes it, else the
        version in force.
    :param note: Why it is published.
    :param author: Who publishes it; without it, the user's name.
    :param publish_id: The id of an earlier try, to learn what became of it.
    :param reset: Replace whatever is in force; for a log that lost all.
    :param routers: Operators' addresses of routers, with commas between,
        that hear of the list at once, in case the log fails right now.
    """
    config = _read_file(file)
    if base is None:
        base = _base_of(file)
    publication = Publication(
        config,
        str(publish_id) or uuid.uuid4().hex,
        base,
        author or getpass.getuser(),
        note,
        reset,
    )
    published = _with_log(
        log, lambda client: publishing.publish(client, publication, _sleep)
    )
    if isinstance(published, Accepted) and routers:
        addresses = routers.split(",")
        asyncio.run(notify(published.current, addresses))
    code = report(published, publication)
    if code:
        raise SystemExit(code)


def show(log: str, version: int | None = None) -> None:
    """Print a version of the rule list as a file that `publish` takes.

    :param log: The URL of the platform's log.
    :param version: Which version; without it, the one in force.
    """
    current = _find(log, version)
    print(f"// base version: {current.version}")
    body = msgspec.json.encode(current.config)
    print(msgspec.json.format(body, indent=2).decode())


def diff(log: str, old: str | int = "", new: str | int = "") -> None:
    """Print how one rule list differs from another.

    :param log: The URL of the platform's log.
    :param old: A version or a file; without it, the version in force.
    :param new: A version or a file; without it, the version in force.
    """
    before = _load(log, old)
    after = _load(log, new)
    for change in compare(before, after):
        print(change)


async def notify(current: VersionedConfig, addresses: list[str]) -> None:
    """Hand an accepted version to routers, beside the log.

    A router that can not be reached gets it from the log or from a peer,
    so failures are only reported.

    :param current: The version.
    :param addresses: The routers' operators' addresses.
    """
    body = encode_checkpoint(current)
    push = ConfigPush(current.version, current.digest, body)
    encoded = msgspec.json.encode(push)
    async with httpx.AsyncClient(timeout=NOTIFY_TIMEOUT_S) as client:
        calls = [
            client.post(address.rstrip("/") + CONFIG_ACTION, content=encoded)
            for address in addresses
        ]
        answers = await asyncio.gather(*calls, return_exceptions=True)
    for address, answer in zip(addresses, answers, strict=True):
        if isinstance(answer, BaseException) or not answer.is_success:
            _warn(messages.ROUTER_NOT_NOTIFIED, router=address)


def report(published: PublishResult, publication: Publication) -> int:
    """Print what became of a publication.

    :param published: What became of it.
    :param publication: What was to be published.
    :returns: The exit code.
    """
    match published:
        case Accepted(current):
            _say(messages.PUBLISHED, version=current.version)
            return 0
        case Unchanged(current):
            _say(messages.ALREADY_CURRENT, version=current.version)
            return 0
        case Conflict():
            _report_conflict(published, publication.config)
            return EXIT_CONFLICT
        case NoVersions():
            _warn(messages.LOG_LOST_VERSIONS)
            return EXIT_LOG_DOWN
        case LogUnreachable(why):
            _warn(messages.NOT_PUBLISHED, why=why)
            return EXIT_LOG_DOWN
        case OutcomeUnknown(why):
            _warn(
                messages.PUBLISH_UNRESOLVED,
                why=why,
                publish_id=publication.publish_id,
            )
            return EXIT_UNRESOLVED


def _report_conflict(conflict: Conflict, config: FleetConfig) -> None:
    _warn(
        messages.PUBLISH_CONFLICT,
        base=conflict.base,
        version=conflict.current.version,
        author=conflict.author or "?",
        note=conflict.note or "-",
    )
    for change in compare(conflict.current.config, config):
        print(change, file=sys.stderr)


def _read_file(file: str) -> FleetConfig:
    """Return a file's configuration, or print its findings and stop."""
    result = rulefile.read_rule_file(str(file))
    if result.is_ok():
        return result.ok
    for finding in result.error:
        print(finding, file=sys.stderr)
    raise SystemExit(EXIT_FINDINGS)


def _base_of(file: str) -> int | None:
    with open(file, encoding="utf-8") as lines:
        match = _BASE_LINE.match(lines.readline().rstrip())
    return int(match[1]) if match else None


def _load(log: str, which: str | int) -> FleetConfig:
    """Return the configuration of a version or of a file."""
    if which == "":
        return _find(log, None).config
    if isinstance(which, int) or which.isdecimal():
        return _find(log, int(which)).config
    return _read_file(which)


def _find(log: str, version: int | None) -> VersionedConfig:
    """Return a version from the log, or say that it is not there."""

    async def read(client: LogService) -> VersionedConfig | None:
        reader = ConfigReader(client)
        current = await reader.read()
        if version is not None:
            return reader.version(version)
        return None if current.version == NO_VERSION else current

    found = _with_log(log, read)
    if found is None:
        wanted = "in force" if version is None else version
        _stop(messages.NO_SUCH_VERSION, EXIT_FINDINGS, version=wanted)
    return found


def _with_log(url: str, use: Callable[[LogService], Awaitable[T]]) -> T:
    """Run something with a client of the log."""

    async def run() -> T:
        client = LogClient(url)
        try:
            return await use(client)
        finally:
            await client.close()

    try:
        return asyncio.run(run())
    except LogUnavailableError as error:
        _stop(messages.LOG_UNREADABLE, EXIT_LOG_DOWN, why=error)


async def _sleep(wait_s: float) -> None:
    await asyncio.sleep(wait_s)


def _say(notice: Notice, **values: object) -> None:
    print(notice.format(**values))


def _warn(notice: Notice, **values: object) -> None:
    print(f"{notice.code}: {notice.format(**values)}", file=sys.stderr)


def _stop(notice: Notice, code: int, **values: object) -> NoReturn:
    _warn(notice, **values)
    raise SystemExit(code)

"""`bulrushstream rules`: check, publish, show and compare rule lists.

The commands use distinct exit codes, so that scripts can distinguish a
version conflict from an unavailable log.
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
from bulrushstream.state.excess import PeerKind
from bulrushstream.state.message import ConfigPush
from bulrushstream.transport.fetch import Fetcher, FetchLimits
from bulrushstream.transport.log import LogClient

EXIT_FINDINGS: Final = 2
EXIT_CONFLICT: Final = 3
EXIT_UNRESOLVED: Final = 4
EXIT_LOG_DOWN: Final = 5
NOTIFY_LIMITS: Final = FetchLimits(timeout_s=2.0, body_bytes=65_536)
CONFIG_ACTION: Final = "/actions/config"

_BASE_LINE: Final = re.compile(r"\A// base version: (\d+)$", re.MULTILINE)

T = TypeVar("T")


def check(file: str) -> None:
    """Check a rule list and report every finding.

    :param file: A file of JSON with comments.
    """
    config = _read_file(file)
    _print_notice(
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
    :param base: The version that the list is based on; by default the one
        named in the file's first line, as `show` writes it, else the
        current version.
    :param note: The reason for the change.
    :param author: The author of the change; by default the user's name.
    :param publish_id: The id of an earlier attempt, to find its outcome.
    :param reset: Replace the current version unconditionally; for a log
        that lost its data.
    :param routers: Operator addresses of routers, comma-separated, that
        receive the list directly, in case the log becomes unavailable.
    """
    config = _read_file(file)
    if base is None:
        base = _read_base_version(file)
    publication = Publication(
        config,
        str(publish_id) or uuid.uuid4().hex,
        base,
        author or getpass.getuser(),
        note,
        reset,
    )
    published = _run_with_log(
        log, lambda client: publishing.publish(client, publication, _sleep)
    )
    if isinstance(published, Accepted) and routers:
        addresses = routers.split(",")
        asyncio.run(push_to_routers(published.current, addresses))
    code = report(published, publication)
    if code:
        raise SystemExit(code)


def show(log: str, version: int | None = None) -> None:
    """Print a version of the rule list in the format that `publish` reads.

    :param log: The URL of the platform's log.
    :param version: The version; by default the current one.
    """
    current = _read_version(log, version)
    print(f"// base version: {current.version}")
    body = msgspec.json.encode(current.config)
    print(msgspec.json.format(body, indent=2).decode())


def diff(log: str, old: str | int = "", new: str | int = "") -> None:
    """Print the differences between two rule lists.

    :param log: The URL of the platform's log.
    :param old: A version or a file; by default the current version.
    :param new: A version or a file; by default the current version.
    """
    before = _load_config(log, old)
    after = _load_config(log, new)
    for change in compare(before, after):
        print(change)


async def push_to_routers(
    current: VersionedConfig, addresses: list[str]
) -> None:
    """Send an accepted version to routers directly.

    A router that cannot be reached gets it from the log or from a peer,
    so failures are only reported.

    :param current: The version.
    :param addresses: The routers' operator addresses.
    """
    body = encode_checkpoint(current)
    push = ConfigPush(current.version, current.digest, body)
    encoded = msgspec.json.encode(push)
    async with httpx.AsyncClient(timeout=NOTIFY_LIMITS.timeout_s) as client:
        fetcher = Fetcher(client, PeerKind.ROUTER)
        calls = [
            fetcher.fetch(
                "POST",
                address.rstrip("/") + CONFIG_ACTION,
                NOTIFY_LIMITS,
                content=encoded,
            )
            for address in addresses
        ]
        responses = await asyncio.gather(*calls, return_exceptions=True)
    for address, response in zip(addresses, responses, strict=True):
        if isinstance(response, BaseException) or not response.is_success:
            _print_warning(messages.ROUTER_NOT_NOTIFIED, router=address)


def report(published: PublishResult, publication: Publication) -> int:
    """Print the result of a publication.

    :param published: The result.
    :param publication: The publication.
    :returns: The exit code.
    """
    match published:
        case Accepted(current):
            _print_notice(messages.PUBLISHED, version=current.version)
            return 0
        case Unchanged(current):
            _print_notice(messages.ALREADY_CURRENT, version=current.version)
            return 0
        case Conflict():
            _report_conflict(published, publication.config)
            return EXIT_CONFLICT
        case NoVersions():
            _print_warning(messages.LOG_LOST_VERSIONS)
            return EXIT_LOG_DOWN
        case LogUnreachable(why):
            _print_warning(messages.NOT_PUBLISHED, why=why)
            return EXIT_LOG_DOWN
        case OutcomeUnknown(why):
            _print_warning(
                messages.PUBLISH_UNRESOLVED,
                why=why,
                publish_id=publication.publish_id,
            )
            return EXIT_UNRESOLVED


def _report_conflict(conflict: Conflict, config: FleetConfig) -> None:
    _print_warning(
        messages.PUBLISH_CONFLICT,
        base=conflict.base,
        version=conflict.current.version,
        author=conflict.author or "?",
        note=conflict.note or "-",
    )
    for change in compare(conflict.current.config, config):
        print(change, file=sys.stderr)


def _read_file(file: str) -> FleetConfig:
    """Return a file's configuration, or print its findings and exit."""
    result = rulefile.read_rule_file(str(file))
    if result.is_ok():
        return result.ok
    for finding in result.error:
        print(finding, file=sys.stderr)
    raise SystemExit(EXIT_FINDINGS)


def _read_base_version(file: str) -> int | None:
    with open(file, encoding="utf-8") as lines:
        match = _BASE_LINE.match(lines.readline().rstrip())
    return int(match[1]) if match else None


def _load_config(log: str, source: str | int) -> FleetConfig:
    """Return the configuration of a version or of a file; "": the current."""
    if source == "":
        return _read_version(log, None).config
    if isinstance(source, int) or source.isdecimal():
        return _read_version(log, int(source)).config
    return _read_file(source)


def _read_version(log: str, version: int | None) -> VersionedConfig:
    """Return a version from the log, or exit if the log does not have it."""

    async def read(client: LogService) -> VersionedConfig | None:
        reader = ConfigReader(client)
        current = await reader.read()
        if version is not None:
            return reader.version(version)
        return None if current.version == NO_VERSION else current

    result = _run_with_log(log, read)
    if result is None:
        requested = "in force" if version is None else version
        _exit_with(messages.NO_SUCH_VERSION, EXIT_FINDINGS, version=requested)
    return result


def _run_with_log(
    url: str, operation: Callable[[LogService], Awaitable[T]]
) -> T:
    """Run an operation with a log client; exit if the log is unavailable."""

    async def run() -> T:
        client = LogClient(url)
        try:
            return await operation(client)
        finally:
            await client.close()

    try:
        return asyncio.run(run())
    except LogUnavailableError as error:
        _exit_with(messages.LOG_UNREADABLE, EXIT_LOG_DOWN, why=error)


async def _sleep(wait_s: float) -> None:
    await asyncio.sleep(wait_s)


def _print_notice(notice: Notice, **values: object) -> None:
    print(notice.format(**values))


def _print_warning(notice: Notice, **values: object) -> None:
    print(f"{notice.code}: {notice.format(**values)}", file=sys.stderr)


def _exit_with(notice: Notice, code: int, **values: object) -> NoReturn:
    _print_warning(notice, **values)
    raise SystemExit(code)

"""The client of the platform's instance list."""

from __future__ import annotations

import builtins
import ipaddress
from typing import Any, Final
from urllib.parse import quote

import httpx
import msgspec

from bulrushstream.protocol.logservice import ListUnavailableError
from bulrushstream.state.decoding import DECODE_ERRORS
from bulrushstream.state.excess import OnExcess, PeerKind
from bulrushstream.state.identity import InstanceInfo
from bulrushstream.state.memorybudget import MemoryBudget
from bulrushstream.transport.client import make_client
from bulrushstream.transport.fetch import Fetcher, FetchLimits

INSTANCES_PATH = "/instances"

# An instance has some hundred bytes.
MAX_LIST_BYTES: Final = 8 * 2**20


class _Listing(msgspec.Struct, frozen=True):
    """The answer to a read of the list."""

    instances: builtins.list[Any]  # Live and leaving instances.


def _decode_instance(item: object) -> InstanceInfo | None:
    """Decode one instance; None if it can not be connected to."""
    try:
        info = msgspec.convert(item, InstanceInfo)
        ipaddress.ip_address(info.host)
    except (*DECODE_ERRORS, ValueError):
        return None
    return info if 0 < info.port < 65536 else None


class InstanceListClient:
    """The platform's instance list over HTTP."""

    _client: httpx.AsyncClient  # The connection pool.
    _limits: FetchLimits  # Of one call.

    def __init__(
        self,
        base_url: str,
        timeout_s: float = 2.0,
        on_excess: OnExcess | None = None,
        memory: MemoryBudget | None = None,
    ) -> None:
        """Make a client; no connection is opened yet.

        :param base_url: The list's URL.
        :param timeout_s: The time-out of one call, in seconds.
        :param on_excess: Called with answers that are too large.
        :param memory: The limit of all answers that are being read.
        """
        self._client = make_client(base_url, timeout_s)
        self._limits = FetchLimits(timeout_s, MAX_LIST_BYTES)
        self._fetcher = Fetcher(
            self._client, PeerKind.STORE, on_excess, memory
        )

    async def close(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def list(self) -> tuple[InstanceInfo, ...]:
        """Return the platform's list of instances, which may be outdated.

        :returns: Live and leaving instances.
        :raises ListUnavailableError: If the call failed.
        """
        answer = await self._call("GET", INSTANCES_PATH)
        try:
            listing = msgspec.json.decode(answer, type=_Listing)
        except DECODE_ERRORS as error:
            raise ListUnavailableError(str(error)) from error
        decoded = map(_decode_instance, listing.instances)
        return tuple(info for info in decoded if info is not None)

    async def register(self, info: InstanceInfo) -> None:
        """Add an instance to the list, or renew its entry.

        :param info: The instance.
        :raises ListUnavailableError: If the call failed.
        """
        body = msgspec.json.encode(info)
        await self._call("PUT", _path(info.key.instance), body)

    async def mark_leaving(self, instance: str) -> None:
        """Mark an instance as leaving.

        :param instance: The instance's name.
        :raises ListUnavailableError: If the call failed.
        """
        await self._call("POST", f"{_path(instance)}/leaving")

    async def remove(self, instance: str) -> None:
        """Remove an instance from the list.

        :param instance: The instance's name.
        :raises ListUnavailableError: If the call failed.
        """
        await self._call("DELETE", _path(instance))

    async def _call(
        self, method: str, path: str, body: bytes | None = None
    ) -> Any:
        """Make a call and return the body of its response."""
        try:
            answer = await self._fetcher.fetch(
                method, path, self._limits, content=body
            )
        except (httpx.HTTPError, TimeoutError) as error:
            why = f"{type(error).__name__}: {error}"
            raise ListUnavailableError(why) from error
        if not answer.is_success:
            raise ListUnavailableError(f"status {answer.status_code}")
        return answer.content


def _path(instance: str) -> str:
    """Return the path of an instance."""
    return f"{INSTANCES_PATH}/{quote(instance, safe='')}"

"""A stand-in for the platform's instance list.

An instance registers when it starts, renews its entry while it runs, is
marked as leaving before a planned stop, and is removed when it stops or
when its entry expires.  Readers see changes after a configurable lag.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any, Final

import msgspec
from litestar import Litestar, asgi, post
from litestar.params import JSONBody
from litestar.types import Receive, Scope, Send

from bulrushstream.standins.asgi import (
    make_app,
    method,
    raw_path,
    read_body,
    send_bytes,
    send_json,
)
from bulrushstream.state.identity import InstanceInfo

INSTANCES_PATH: Final = "/instances"
LEAVING_SUFFIX: Final = "/leaving"


@dataclass(frozen=True, slots=True)
class InstancesFaults:
    """Faults of the instance list."""

    outage: bool = False  # Answers every call with 503.
    slow_s: float = 0.0  # Added latency of each answer.
    frozen: bool = False  # Readers see no further changes.


@dataclass(frozen=True, slots=True)
class InstancesOptions:
    """Options of the instance list."""

    lag_s: float = 0.0  # Time until readers see a change.
    expiry_s: float = 30.0  # Entry lifetime after the last renewal.
    faults: InstancesFaults = InstancesFaults()  # Initial faults.


@dataclass(frozen=True, slots=True)
class ListChange:
    """One change of the list."""

    at_s: float
    name: str  # The instance's name.
    info: InstanceInfo | None  # The new entry; None: removed.


@dataclass(slots=True)
class InstancesState:
    """The instance list's state."""

    options: InstancesOptions
    faults: InstancesFaults  # Current faults.
    now: Callable[[], float]  # The clock, in seconds.
    # The current entries, and those that readers see, by name.
    entries: dict[str, InstanceInfo] = field(default_factory=dict)
    visible_entries: dict[str, InstanceInfo] = field(default_factory=dict)
    renewed_s: dict[str, float] = field(default_factory=dict)  # By name.
    pending: list[ListChange] = field(default_factory=list)  # Not visible yet.


@dataclass(frozen=True, slots=True)
class Instances:
    """An instance list: an ASGI app and its state."""

    asgi: Litestar
    state: InstancesState  # Read by tests.


def make_instances(
    options: InstancesOptions | None = None,
    now: Callable[[], float] = time.monotonic,
) -> Instances:
    """Make an instance list.

    :param options: The options; None: the defaults.
    :param now: The clock, in seconds.
    :returns: The app and its state.
    """
    chosen = options or InstancesOptions()
    state = InstancesState(chosen, chosen.faults, now)

    @post("/faults", status_code=200)
    async def set_faults(data: JSONBody[InstancesFaults]) -> InstancesFaults:
        state.faults = data
        return data

    @asgi(INSTANCES_PATH, is_mount=True, copy_scope=False)
    async def instances(scope: Scope, receive: Receive, send: Send) -> None:
        await _serve_list(state, scope, receive, send)

    return Instances(make_app([set_faults, instances]), state)


def register(state: InstancesState, info: InstanceInfo) -> None:
    """Register or renew an instance.

    :param state: The instance list.
    :param info: The instance.
    """
    name = info.key.instance
    state.renewed_s[name] = state.now()
    entry = state.entries.get(name)
    if entry is not None and entry.leaving and entry.key == info.key:
        info = replace(info, leaving=True)
    if entry != info:
        _change(state, name, info)


def mark_leaving(state: InstancesState, name: str) -> bool:
    """Mark an instance as leaving.

    :param state: The instance list.
    :param name: The instance's name.
    :returns: Whether the list has the instance.
    """
    entry = state.entries.get(name)
    if entry is None:
        return False
    if not entry.leaving:
        _change(state, name, replace(entry, leaving=True))
    return True


def drop_instance(state: InstancesState, name: str) -> None:
    """Remove an instance.

    :param state: The instance list.
    :param name: The instance's name.
    """
    if name in state.entries:
        _change(state, name, None)


def visible_instances(state: InstancesState) -> list[InstanceInfo]:
    """Return the list as readers see it, after the lag.

    :param state: The instance list.
    :returns: The instances, sorted by name.
    """
    _expire(state)
    if not state.faults.frozen:
        _apply_due_changes(state)
    return [
        state.visible_entries[name] for name in sorted(state.visible_entries)
    ]


def _change(
    state: InstancesState, name: str, info: InstanceInfo | None
) -> None:
    """Change an entry; readers see it after the lag."""
    if info is None:
        state.entries.pop(name, None)
        state.renewed_s.pop(name, None)
    else:
        state.entries[name] = info
    state.pending.append(ListChange(state.now(), name, info))


def _expire(state: InstancesState) -> None:
    """Remove the instances whose entries have expired."""
    oldest_s = state.now() - state.options.expiry_s
    for name, renewed_s in list(state.renewed_s.items()):
        if renewed_s < oldest_s:
            _change(state, name, None)


def _apply_due_changes(state: InstancesState) -> None:
    """Make the changes that are older than the lag visible."""
    until_s = state.now() - state.options.lag_s
    while state.pending and state.pending[0].at_s <= until_s:
        change = state.pending.pop(0)
        if change.info is None:
            state.visible_entries.pop(change.name, None)
        else:
            state.visible_entries[change.name] = change.info


async def _serve_list(
    state: InstancesState, scope: Scope, receive: Receive, send: Send
) -> None:
    """Serve one call."""
    body = await read_body(receive)
    if state.faults.outage:
        await send_bytes(send, 503, b"")
        return
    await asyncio.sleep(state.faults.slow_s)
    path = raw_path(scope).removeprefix(INSTANCES_PATH).strip("/")
    verb = method(scope)
    if verb == "GET" and not path:
        await send_json(send, 200, {"instances": visible_instances(state)})
    elif verb == "PUT" and path:
        await _put(state, path, body, send)
    elif verb == "DELETE" and path:
        drop_instance(state, path)
        await send_bytes(send, 204, b"")
    elif verb == "POST" and path.endswith(LEAVING_SUFFIX):
        known = mark_leaving(state, path.removesuffix(LEAVING_SUFFIX))
        await send_bytes(send, 204 if known else 404, b"")
    else:
        await send_bytes(send, 405, b"")


async def _put(
    state: InstancesState, name: str, body: bytes, send: Send
) -> None:
    """Register or renew an instance from a JSON body."""
    info = _decode_info(body)
    if info is None or info.key.instance != name:
        await send_bytes(send, 400, b"")
        return
    register(state, info)
    await send_bytes(send, 204, b"")


def _decode_info(body: Any) -> InstanceInfo | None:
    """Return the instance in a JSON body, or None."""
    try:
        return msgspec.json.decode(body, type=InstanceInfo)
    except msgspec.DecodeError:
        return None

"""A stand-in for the platform's instance list.

The platform keeps the list: an instance is entered when it starts,
renewed while it lives, marked as leaving before a planned stop, and
dropped when it is gone or was not renewed in time.  Readers see the list
as it was some time ago.
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
    """What goes wrong at the instance list."""

    outage: bool = False  # Whether every call is answered by a 503.
    slow_s: float = 0.0  # Extra time before each answer.
    frozen: bool = False  # Whether readers keep seeing the same list.


@dataclass(frozen=True, slots=True)
class InstancesOptions:
    """How the instance list behaves."""

    lag_s: float = 0.0  # How old the list is that readers see.
    expiry_s: float = 30.0  # How long an entry lives without renewal.
    faults: InstancesFaults = InstancesFaults()  # What is wrong at first.


@dataclass(frozen=True, slots=True)
class Change:
    """One change of the list."""

    at_s: float  # When it was made.
    name: str  # Whose entry changed.
    info: InstanceInfo | None  # The new entry; None: it was dropped.


@dataclass(slots=True)
class InstancesState:
    """What the instance list remembers."""

    options: InstancesOptions  # How it behaves.
    faults: InstancesFaults  # What goes wrong now.
    now: Callable[[], float]  # The clock, in seconds.
    live: dict[str, InstanceInfo] = field(default_factory=dict)  # As is.
    seen: dict[str, InstanceInfo] = field(default_factory=dict)  # As read.
    renewed_s: dict[str, float] = field(default_factory=dict)  # By name.
    pending: list[Change] = field(default_factory=list)  # Not seen yet.


@dataclass(frozen=True, slots=True)
class Instances:
    """An instance list: an ASGI app and what it remembers."""

    asgi: Litestar  # The app to serve.
    state: InstancesState  # What tests look at.


def make_instances(
    options: InstancesOptions | None = None,
    now: Callable[[], float] = time.monotonic,
) -> Instances:
    """Make an instance list.

    :param options: How it behaves; None: the defaults.
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
    """Enter or renew an instance.

    :param state: The instance list.
    :param info: The instance.
    """
    name = info.key.instance
    state.renewed_s[name] = state.now()
    held = state.live.get(name)
    if held is not None and held.leaving and held.key == info.key:
        info = replace(info, leaving=True)
    if held != info:
        _change(state, name, info)


def mark_leaving(state: InstancesState, name: str) -> bool:
    """Mark an instance as leaving.

    :param state: The instance list.
    :param name: The instance's name.
    :returns: Whether the list has it.
    """
    held = state.live.get(name)
    if held is None:
        return False
    if not held.leaving:
        _change(state, name, replace(held, leaving=True))
    return True


def drop_instance(state: InstancesState, name: str) -> None:
    """Drop an instance.

    :param state: The instance list.
    :param name: The instance's name.
    """
    if name in state.live:
        _change(state, name, None)


def visible(state: InstancesState) -> list[InstanceInfo]:
    """Return the list as readers see it, lagging behind.

    :param state: The instance list.
    :returns: The instances by name.
    """
    _expire(state)
    if not state.faults.frozen:
        _catch_up(state)
    return [state.seen[name] for name in sorted(state.seen)]


def _change(
    state: InstancesState, name: str, info: InstanceInfo | None
) -> None:
    """Make a change that readers see later."""
    if info is None:
        state.live.pop(name, None)
        state.renewed_s.pop(name, None)
    else:
        state.live[name] = info
    state.pending.append(Change(state.now(), name, info))


def _expire(state: InstancesState) -> None:
    """Drop the instances that were not renewed in time."""
    oldest_s = state.now() - state.options.expiry_s
    for name, renewed_s in list(state.renewed_s.items()):
        if renewed_s < oldest_s:
            _change(state, name, None)


def _catch_up(state: InstancesState) -> None:
    """Show readers the changes that are old enough."""
    until_s = state.now() - state.options.lag_s
    while state.pending and state.pending[0].at_s <= until_s:
        change = state.pending.pop(0)
        if change.info is None:
            state.seen.pop(change.name, None)
        else:
            state.seen[change.name] = change.info


async def _serve_list(
    state: InstancesState, scope: Scope, receive: Receive, send: Send
) -> None:
    """Answer one call."""
    body = await read_body(receive)
    if state.faults.outage:
        await send_bytes(send, 503, b"")
        return
    await asyncio.sleep(state.faults.slow_s)
    path = raw_path(scope).removeprefix(INSTANCES_PATH).strip("/")
    verb = method(scope)
    if verb == "GET" and not path:
        await send_json(send, 200, {"instances": visible(state)})
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
    """Enter or renew an instance from a JSON body."""
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

"""`bulrushstream standin`: run one stand-in as a separate process.

A stand-in serves until SIGINT or SIGTERM.  Faults are injected with a
POST to `/faults`.
"""

from __future__ import annotations

import asyncio
import signal
from typing import Any

from bulrushstream.standins.engine import EngineOptions, make_engine
from bulrushstream.standins.instances import (
    InstancesOptions,
    make_instances,
)
from bulrushstream.standins.log import LogOptions, make_log
from bulrushstream.standins.plain import PlainOptions, make_plain
from bulrushstream.standins.weights import WeightStore
from bulrushstream.transport.server import serve


def log(
    port: int = 0,
    host: str = "127.0.0.1",
    retention_count: int = 0,
    retention_s: float = 0.0,
    max_appends_per_s: float = 0.0,
) -> int:
    """Serve a log until interrupted.

    :param port: The port; 0: a free one.
    :param host: The IP address to listen on.
    :param retention_count: Records kept per stream; 0: all.
    :param retention_s: How long records are kept, in seconds; 0: no limit.
    :param max_appends_per_s: The append rate limit; 0: no limit.
    :returns: The exit code.
    """
    options = LogOptions(
        retention_count=retention_count,
        retention_s=retention_s,
        max_appends_per_s=max_appends_per_s,
    )
    return _run("log", make_log(options).asgi, host, port)


def instances(
    port: int = 0,
    host: str = "127.0.0.1",
    lag_s: float = 0.0,
    expiry_s: float = 30.0,
) -> int:
    """Serve an instance list until interrupted.

    :param port: The port; 0: a free one.
    :param host: The IP address to listen on.
    :param lag_s: The delay until readers see a change, in seconds.
    :param expiry_s: The time until an entry that is not renewed expires,
        in seconds.
    :returns: The exit code.
    """
    options = InstancesOptions(lag_s=lag_s, expiry_s=expiry_s)
    return _run("instances", make_instances(options).asgi, host, port)


def engine(
    port: int = 0,
    host: str = "127.0.0.1",
    slots: int = 4,
    model: str = "model",
    first_token_s: float = 0.05,
    token_s: float = 0.02,
    load_s: float = 1.0,
    load_lag_s: float = 0.5,
    checks_token: bool = True,
) -> int:
    """Serve a model engine until interrupted.

    :param port: The port; 0: a free one.
    :param host: The IP address to listen on.
    :param slots: Requests generated concurrently.
    :param model: The model that is loaded at startup.
    :param first_token_s: Time before the first token, in seconds.
    :param token_s: Time per token, in seconds.
    :param load_s: Time per load from the weight store, in seconds.
    :param load_lag_s: The delay of load reports and cache events, in
        seconds.
    :param checks_token: Whether orders with a stale fencing token are
        refused.
    :returns: The exit code.
    """
    options = EngineOptions(
        slots=slots,
        models=(model,),
        first_token_s=first_token_s,
        token_s=token_s,
        load_lag_s=load_lag_s,
        cache_lag_s=load_lag_s,
        checks_token=checks_token,
    )
    store = WeightStore(load_s=load_s)
    return _run("engine", make_engine(options, store).asgi, host, port)


def service(
    port: int = 0,
    host: str = "127.0.0.1",
    slots: int = 4,
    call_s: float = 0.05,
) -> int:
    """Serve a plain service until interrupted.

    :param port: The port; 0: a free one.
    :param host: The IP address to listen on.
    :param slots: Calls processed concurrently.
    :param call_s: Time per call, in seconds.
    :returns: The exit code.
    """
    options = PlainOptions(slots=slots, call_s=call_s)
    return _run("service", make_plain(options).asgi, host, port)


def _run(kind: str, app: Any, host: str, port: int) -> int:
    """Serve an app until SIGINT or SIGTERM; return the exit code."""
    asyncio.run(serve_until_stopped(kind, app, host, port))
    return 0


async def serve_until_stopped(
    kind: str, app: Any, host: str, port: int
) -> None:
    """Serve an app, print its address, and stop on a signal.

    :param kind: The kind of stand-in, for the printed line.
    :param app: The ASGI app.
    :param host: The IP address to listen on.
    :param port: The port; 0: a free one.
    """
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stopped.set)
    try:
        async with serve(app, host, port) as server:
            print(f"{kind} listens at {server.url}", flush=True)
            await stopped.wait()
    finally:
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.remove_signal_handler(number)

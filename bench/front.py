"""Measure the CPU time of a front-end router per request and per event.

Worker and store stand-ins, the router and the caller run in one process and
connect over loopback.  Each load is sent to the worker directly and through
the router; the difference in CPU time is the router's cost.

    python bench/front.py [REQUESTS]
"""

from __future__ import annotations

import asyncio
import random
import sys
import time

import msgspec

from bulrushstream.daemon.front import FrontDeps
from bulrushstream.daemon.frontprocess import FrontProcess, boot_clock
from bulrushstream.metrics import make_metrics
from bulrushstream.platform.dialect import PLATFORM
from bulrushstream.standins.keyedlog import KeyedLog
from bulrushstream.standins.worker import Worker
from bulrushstream.state.nodesettings import Address, NodeSettings

EVENTS = 200
KEY = "bench-key"


def config() -> bytes:
    """Return a configuration with a plain and a streaming route."""
    common = {"host": "h", "timeoutMs": 30_000, "maxAttempts": 1}
    return msgspec.json.encode(
        {
            "version": 1,
            "routes": [
                {
                    **common,
                    "name": "plain",
                    "prefix": "/plain/",
                    "kind": "idempotent",
                    "service": "desk",
                },
                {
                    **common,
                    "name": "talk",
                    "prefix": "/talk/",
                    "kind": "streaming",
                    "service": "llm",
                },
            ],
            "services": [
                {"name": "desk", "maxConns": 64},
                {
                    "name": "llm",
                    "maxConns": 64,
                    "engine": {"slots": 64, "kvTokens": 200_000},
                },
            ],
            "tenants": [{"name": "w", "apiKeys": [KEY]}],
        }
    )


def settings(store_port: int) -> NodeSettings:
    """Return a router's settings with free ports."""
    free_port = Address("127.0.0.1", 0)
    return NodeSettings(
        instance="front",
        host="127.0.0.1",
        availability_zone="z",
        caller_address=free_port,
        readiness_address=free_port,
        store_address=Address("127.0.0.1", store_port),
        peers_port=0,
        control_port=0,
        seed_hosts=(),
        memory_mb=128,
        max_descriptors=1024,
        grace_s=1.0,
        revocation_limit_s=5.0,
        retry_ratio=0.2,
        retry_slack=50,
        retry_window_s=10,
        quota_window_s=4,
    )


async def send_requests(
    port: int, path: str, count: int, extra_headers: bytes
) -> float:
    """Send requests sequentially; return CPU seconds per request."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    started_s = time.process_time()
    for number in range(count):
        writer.write(
            b"POST %b HTTP/1.1\r\nHost: h\r\nX-Request-Id: q%d\r\n"
            b"Authorization: Bearer %b\r\n%bContent-Length: 600\r\n\r\n"
            % (path.encode(), number, KEY.encode(), extra_headers)
            + b"x" * 600
        )
        head = await reader.readuntil(b"\r\n\r\n")
        lower = head.lower()
        if b"chunked" in lower:
            await reader.readuntil(b"0\r\n\r\n")
        else:
            size = lower.split(b"content-length: ")[1].split(b"\r\n")[0]
            await reader.readexactly(int(size))
    writer.close()
    return (time.process_time() - started_s) / count


async def main(count: int) -> None:
    """Run the measurement and print the results."""
    loop = asyncio.get_running_loop()
    store = KeyedLog(loop.time)
    await store.start()
    store.put("keyed.op", "config", config())
    workers = {
        service: Worker(f"i-{service}", loop.time, events=EVENTS)
        for service in ("desk", "llm")
    }
    for service, worker in workers.items():
        await worker.start()
        entry = {
            "service": service,
            "address": f"127.0.0.1:{worker.port}",
            "slots": 8,
        }
        store.put("keyed.servers", worker.name, msgspec.json.encode(entry))
    deps = FrontDeps(
        dialect=PLATFORM,
        clock=loop.time,
        boot_clock=boot_clock,
        rng=random.Random(1),
        metrics=make_metrics(),
        observe=lambda decision: None,
        report=lambda kind, text: print(kind, text),
        report_shares=lambda report: None,
    )
    process = FrontProcess("", settings(store.port), deps)
    await process.start()
    while not process.front.ready or len(process.front.pool.by_name) < 2:
        await asyncio.sleep(0.01)
    port = process.ports[0]
    token_headers = (
        b"X-Token-Counts: 100,600\r\nX-Prompt-Prefix: a:60,b:40\r\n"
    )
    loads = {
        "request": ("/plain/x", count, b"", workers["desk"].port, 1),
        "event": (
            "/talk/x",
            count // 50,
            token_headers,
            workers["llm"].port,
            EVENTS,
        ),
    }
    for name, (path, number, extra_headers, direct, events) in loads.items():
        for target in (direct, port):  # Warm up both paths.
            await send_requests(
                target, path, max(1, number // 10), extra_headers
            )
        via_s = await send_requests(port, path, number, extra_headers)
        direct_s = await send_requests(direct, path, number, extra_headers)
        cost_us = (via_s - direct_s) / events * 1e6
        print(f"{name}: {cost_us:.0f} us of the router")
    await process.stop()


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]) if len(sys.argv) > 1 else 2000))

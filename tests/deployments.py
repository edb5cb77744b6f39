"""Builders of platform documents and of deployments on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

import msgspec

from bulrushstream.coordination.endpointpool import Endpoint
from bulrushstream.coordination.engineview import EngineView
from bulrushstream.daemon.front import FrontDeps
from bulrushstream.daemon.frontprocess import FrontProcess, boot_clock
from bulrushstream.metrics import make_metrics
from bulrushstream.platform.dialect import PLATFORM
from bulrushstream.platform.headers import digest_key
from bulrushstream.standins.keyedlog import KeyedLog
from bulrushstream.standins.worker import HEALTH_PATH, Worker
from bulrushstream.state.call import Prompt, PromptPart
from bulrushstream.state.effect import Decision
from bulrushstream.state.nodesettings import Address, NodeSettings
from bulrushstream.state.routes import (
    EndpointEntry,
    RequestKind,
    Route,
    RouteConfig,
    SplitShare,
    WorkspaceKeys,
)

KEY = "k7b2ex5wa5xwyhks8nbk"
HOST = "shop.example"


def a_route(**changes: Any) -> Route:
    """Return a route of kind idempotent."""
    route = Route(
        name="r",
        host=HOST,
        prefix="/a/",
        kind=RequestKind.IDEMPOTENT,
        split=(SplitShare("desk", 1.0),),
        timeout_s=2.0,
        latency_target_s=0.1,
        max_attempts=2,
    )
    return replace(route, **changes)


def a_config(*routes: Route, version: int = 1) -> RouteConfig:
    """Return a configuration with one workspace."""
    workspace = WorkspaceKeys("club", (digest_key(KEY),))
    return RouteConfig(
        version=version,
        routes=routes,
        workspaces=(workspace,),
        requires_keys=True,
    )


def a_prompt(*parts: tuple[int, int], output: int = 50) -> Prompt:
    """Return a prompt; a part is its id and its number of tokens."""
    return Prompt(
        model="m",
        parts=tuple(PromptPart(part_id, tokens) for part_id, tokens in parts),
        input_tokens=sum(tokens for _, tokens in parts),
        output_limit=output,
    )


def an_entry(name: str = "i-1", **changes: Any) -> EndpointEntry:
    """Return the instance list's entry of a ready endpoint."""
    entry = EndpointEntry(
        endpoint=name,
        service="desk",
        host="127.0.0.1",
        port=1,
        availability_zone="z",
        slots=6,
        version="v1",
    )
    return replace(entry, **changes)


def an_engine(name: str = "e-1", memory: int = 200_000) -> Endpoint:
    """Return a model engine with an empty view."""
    return Endpoint(an_entry(name, service="llm"), EngineView(64, memory))


def wire_route(prefix: str, service: str, kind: str, **fields: Any) -> Any:
    """Return a route in the operators' format."""
    return {
        "name": "r" + prefix,
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeoutMs": 2000,
        "goalLatencyMs": 200,
        "service": service,
        "maxAttempts": 2,
        **fields,
    }


def wire_config(*routes: Any, version: int = 1, keys: Any = (KEY,)) -> bytes:
    """Return an encoded configuration in the operators' format."""
    engine = {"slots": 64, "kvTokens": 200_000}
    document = {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "desk", "maxConns": 100, "healthPath": HEALTH_PATH},
            {
                "name": "llm",
                "maxConns": 100,
                "engine": engine,
                "healthPath": HEALTH_PATH,
            },
        ],
        "limits": {"tokensPerS": 100_000},
        "tenants": [{"name": "club", "apiKeys": list(keys)}],
    }
    return msgspec.json.encode(document)


def wire_entry(
    service: str, port: int, state: str = "ready", **fields: Any
) -> bytes:
    """Return an encoded entry as a worker writes it."""
    document = {
        "service": service,
        "address": f"127.0.0.1:{port}",
        "zone": "z",
        "slots": 6,
        "state": state,
        "version": "v1",
        **fields,
    }
    return msgspec.json.encode(document)


def node_settings(store_port: int = 1, **changes: Any) -> NodeSettings:
    """Return a router's settings; free ports are assigned at its start."""
    settings = NodeSettings(
        instance="front-1",
        host="127.0.0.1",
        availability_zone="z",
        caller_address=Address("127.0.0.1", 0),
        readiness_address=Address("127.0.0.1", 0),
        store_address=Address("127.0.0.1", store_port),
        peers_port=0,
        control_port=0,
        seed_hosts=(),
        memory_mb=128,
        max_descriptors=1024,
        grace_s=0.7,
        revocation_limit_s=5.0,
        retry_ratio=0.2,
        retry_slack=50,
        retry_window_s=10,
        quota_window_s=4,
    )
    return replace(settings, **changes)


@dataclass(slots=True)
class Deployment:
    """A store, workers and one router on loopback."""

    store: KeyedLog
    process: FrontProcess
    workers: dict[str, Worker] = field(default_factory=dict)
    decisions: list[Decision] = field(default_factory=list)
    boot_offset_s: list[float] = field(default_factory=lambda: [0.0])

    @property
    def port(self) -> int:
        """Return the port for callers."""
        return self.process.ports[0]

    async def add(
        self, name: str, service: str = "desk", **options: Any
    ) -> Worker:
        """Start a worker and add it to the instance list."""
        loop = asyncio.get_running_loop()
        worker = Worker(name, loop.time, **options)
        await worker.start()
        self.workers[name] = worker
        self.put_entry(name, service)
        return worker

    def put_entry(
        self, name: str, service: str = "desk", state: str = "ready"
    ) -> None:
        """Write a worker's entry to the instance list."""
        entry = wire_entry(service, self.workers[name].port, state)
        self.store.put("keyed.servers", name, entry)

    async def wait_until(self, condition: Callable[[], object]) -> None:
        """Wait until a condition holds; fail after 10 s."""
        async with asyncio.timeout(10):
            while not condition():
                await asyncio.sleep(0.005)

    async def wait_until_ready(self, endpoints: int) -> None:
        """Wait until the router is ready and knows all endpoints."""
        front = self.process.front
        await self.wait_until(
            lambda: front.ready and len(front.pool.by_name) == endpoints
        )

    async def stop(self) -> None:
        """Stop the router, the workers and the store."""
        await self.process.stop()
        for worker in self.workers.values():
            await worker.stop()
        await self.store.stop()


async def deploy(config: bytes, **changes: Any) -> Deployment:
    """Start a store with a configuration, and a router."""
    store = KeyedLog(asyncio.get_running_loop().time)
    await store.start()
    store.put("keyed.op", "config", config)
    return await deploy_router(store, **changes)


async def deploy_router(store: KeyedLog, **changes: Any) -> Deployment:
    """Start a router on a running store."""
    loop = asyncio.get_running_loop()
    decisions: list[Decision] = []
    offset_s = [0.0]
    deps = FrontDeps(
        dialect=PLATFORM,
        clock=loop.time,
        boot_clock=lambda: boot_clock() + offset_s[0],
        time_of_day=time.time,
        rng=random.Random(1),
        metrics=make_metrics(),
        observe=decisions.append,
        report=lambda kind, text: None,
        report_shares=lambda report: None,
    )
    settings = node_settings(store.port, **changes)
    process = FrontProcess("", settings, deps)
    await process.start()
    return Deployment(store, process, {}, decisions, offset_s)


async def deploy_peer(first: Deployment) -> Deployment:
    """Start a second router on 127.0.0.2, with the first as its seed."""
    return await deploy_router(
        first.store,
        instance="front-2",
        host="127.0.0.2",
        caller_address=Address("127.0.0.2", 0),
        control_port=first.process.ports[2],
        seed_hosts=("127.0.0.1",),
    )


CONFIG = wire_config(
    wire_route("/safe/", "desk", "idempotent"),
    wire_route("/once/", "desk", "non_idempotent", maxAttempts=1),
    wire_route(
        "/talk/",
        "llm",
        "streaming",
        resumable=True,
        gapTargetMs=250,
        goalLatencyMs=800,
    ),
    wire_route("/tell/", "llm", "streaming", maxAttempts=1),
    wire_route("/open/", "desk", "idempotent", public=True),
)
COUNTS = "X-Model: m\r\nX-Token-Counts: 30,20\r\nX-Prompt-Prefix: a1:20,b2:10"


def request_bytes(
    path: str,
    request_id: str = "q1",
    *,
    method: str = "GET",
    headers: str = "",
    body: str = "",
    key: str = KEY,
) -> bytes:
    """Return a caller's request as it is sent."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: {request_id}",
        "X-Deadline-Ms: 1500",
        f"Authorization: Bearer {key}",
    ]
    if headers:
        lines.append(headers)
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join([*lines, "", ""]) + body).encode()


async def send_request(
    deployment: Deployment, raw: bytes
) -> tuple[int, str, bytes]:
    """Send a request; return the answer's status, head and body."""
    reader, writer = await asyncio.open_connection(
        "127.0.0.1", deployment.port
    )
    writer.write(raw)
    answer = await read_response(reader)
    writer.close()
    return answer


async def read_response(
    reader: asyncio.StreamReader,
) -> tuple[int, str, bytes]:
    """Read one answer from a connection."""
    async with asyncio.timeout(5):
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        status = int(head.split()[1])
        lower = head.lower()
        body = b""
        if "chunked" in lower:
            while True:
                size = int(await reader.readline(), 16)
                chunk = await reader.readexactly(size + 2)
                if not size:
                    break
                body += chunk[:-2]
        elif "content-length: " in lower:
            size = int(lower.split("content-length: ")[1].split("\r\n")[0])
            body = await reader.readexactly(size)
        elif "connection: close" in lower:
            body = await reader.read()
    return status, head, body


async def read_to_end(reader: asyncio.StreamReader) -> bytes:
    """Return all bytes until the connection is closed or reset."""
    answer = b""
    with contextlib.suppress(ConnectionError):
        async with asyncio.timeout(5):
            while chunk := await reader.read(4096):
                answer += chunk
    return answer

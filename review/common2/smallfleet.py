"""Stand-ins and a small fleet of real router processes, for the cases.

The store is the project's own stand-in; workers and clients are small new
ones.  Everything is on loopback addresses and the real clock.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Coroutine, Sequence
from pathlib import Path
from typing import Any, Final

ROOT: Final = Path(__file__).resolve().parents[2]
DEPS: Final = ROOT / "target" / "deps"
sys.path[:0] = [str(ROOT / "src"), str(DEPS)]

from bulrushstream.standins.keyedlog import KeyedLog  # noqa: E402

SIGNATURE: Final = "3e1b.07.5a2.600.0.c9f2a4d1"

# A case ends itself before this time.
CASE_S: Final = 110.0

# What is allowed to clients, as in the site files.
LIMITS: Final = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4194304,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
    "tokensPerS": 100000,
}

SETTINGS: Final = """
nodeName = "{name}"
role = "router"
machineClass = "front"
serves = ["front","control"]
ip = "{host}"
zone = "z-a"
region = "z"
portRange = [{peers},{last}]
seedNodes = {seeds}
bootstrap = {first}
faultCounted = false
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = 1200
invariants = [
    "base", "drain", "config", "cost", "retry", "recover", "engine", "stream",
    "tenants", "platform",
]
[zones]
z-a = "z"
[listenAddrs]
front = "{host}:{front}"
ready = "{host}:{ready}"
control = "{host}:{control}"
[limits]
cpuShare = 0.817
cpuCores = 1
memoryMb = {memory_mb}
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[contractBounds]
seedStalenessS = 3
addrReuseS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
downgradeSlackMs = 250
maxStretchMs = 5000
strictRevoke = true
revokeMs = 5000
retryBudgetRatio = 0.2
retryWindowS = 10
retrySlack = 54
recoveryS = 12
passMs = 120
retryAfterS = 8.5
quotaWindowS = 4
[platform]
address = "127.0.0.1:{store}"
form = "log"
writesPerS = 400
readsPerS = 2000
parts = 8
appendMs = 4.0
partMbPerS = 20.0
readMbPerS = 80.0
recordBytes = 262144
callBytes = 2097152
keep_s = 300
partMb = 200
ttlMinMs = 1000
"""

Headers = Sequence[tuple[str, object]]


class Record:
    """Writes what was sent, answered and run to a file."""

    def __init__(self, path: Path) -> None:
        """Begin a new record.

        :param path: the file
        """
        self._path = path
        self._began_s = time.monotonic()
        path.write_text("", encoding="utf-8")

    def __call__(self, text: str) -> None:
        """Add a line.

        :param text: the line
        """
        at_s = time.monotonic() - self._began_s
        with self._path.open("a", encoding="utf-8") as file:
            file.write(f"{at_s:9.3f}  {text}\n")


class Answer:
    """What a client saw of an answer."""

    def __init__(self) -> None:
        """Make one of which nothing has arrived."""
        self.status = 0  # 0: no head.
        self.headers: dict[str, str] = {}
        self.body = b""
        self.complete = False
        self.end = ""  # How it ended, if it is not complete.

    def __repr__(self) -> str:
        """Return its status and size."""
        return (
            f"{self.status} complete={self.complete} {len(self.body)} B"
            f" {self.end}"
        )


class Got:
    """A request as a worker got it."""

    def __init__(
        self, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> None:
        """Make a request.

        :param method: its method
        :param path: its path and query
        :param headers: its headers, by names in lower case
        :param body: its body
        """
        self.method, self.path = method, path
        self.headers, self.body = headers, body
        self.id = headers.get("x-request-id", "")


# Writes the answer to a request; returns whether the connection is kept.
Serve = Callable[["Worker", Got, asyncio.StreamWriter], Awaitable[bool]]


def free_ports(hosts: Sequence[str], count: int) -> int:
    """Return the first of some ports in a row that are free at all hosts.

    :param hosts: the addresses
    :param count: the number of ports
    """
    for _ in range(200):
        base = random.randint(20_000, 29_000)
        sockets: list[socket.socket] = []
        try:
            for host in hosts:
                for port in range(base, base + count):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        sock = socket.socket(socket.AF_INET, kind)
                        sockets.append(sock)
                        sock.bind((host, port))
        except OSError:
            continue
        finally:
            for sock in sockets:
                sock.close()
        return base
    raise RuntimeError("no free ports")


class Router:
    """One router process, as the deploy file starts it."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        """Make a router that has not started.

        :param fleet: the fleet
        :param number: its number, from 0
        """
        self.fleet, self.number = fleet, number
        self.name = f"front-{number}"
        self.host = f"127.0.0.{20 + number}"
        self.process: asyncio.subprocess.Process | None = None
        self._first_start = True

    async def start(self) -> None:
        """Write the settings file and start the process."""
        fleet, base = self.fleet, self.fleet.base
        settings = fleet.folder / f"{self.name}.toml"
        settings.write_text(
            SETTINGS.format(
                name=self.name,
                host=self.host,
                front=base,
                ready=base + 1,
                control=base + 2,
                peers=base + 3,
                last=base + 9,
                seeds=json.dumps(
                    [f"127.0.0.{20 + n}:{base + 2}" for n in range(3)]
                ),
                first="true" if self._first_start else "false",
                memory_mb=fleet.memory_mb,
                store=fleet.store.port,
            ),
            encoding="utf-8",
        )
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["BULRUSHSTREAM_NODE_FILE"] = str(settings)
        environment["PYTHONPATH"] = str(DEPS)
        with (fleet.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "deploy/router.py",
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self._first_start = False
        fleet.record(f"{self.name} started, pid {self.process.pid}")

    async def ready(self) -> None:
        """Wait until it says that it is ready."""
        end_s = time.monotonic() + 20.0
        while time.monotonic() < end_s:
            answer = await request(
                self.host,
                self.fleet.base + 1,
                "GET",
                "/v1/ready",
                timeout_s=1.0,
            )
            if answer.status == 200:
                return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{self.name} is not ready")

    async def kill(self) -> None:
        """End the process as the platform does, at once."""
        assert self.process is not None
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
        await self.process.wait()

    def memory_used_mb(self) -> float:
        """Return the resident memory of the process; 0: it has ended."""
        if self.process is None or self.process.returncode is not None:
            return 0.0
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in status.splitlines():
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
        return 0.0

    async def send(
        self,
        method: str,
        path: str,
        *,
        request_id: str,
        key: str,
        headers: Headers = (),
        body: bytes = b"",
        timeout_s: float = 10.0,
    ) -> Answer:
        """Send a request as a client, on a new connection.

        :param method: its method
        :param path: its path and query
        :param request_id: its id
        :param key: the API key
        :param headers: further headers
        :param body: its body
        :param timeout_s: how long the client waits
        """
        return await request(
            self.host,
            self.fleet.base,
            method,
            path,
            request_id=request_id,
            key=key,
            headers=headers,
            body=body,
            timeout_s=timeout_s,
        )


async def read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    """Read one answer from a connection, as its head frames it.

    :param reader: the connection
    :param answer: receives what arrives
    """
    try:
        lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *rest = lines.split("\r\n")
        answer.status = int(first.split(" ")[1])
        for line in filter(None, rest):
            name, _, value = line.partition(":")
            answer.headers[name.lower()] = value.strip()
        if "chunked" in answer.headers.get("transfer-encoding", ""):
            size = -1
            while size:
                line_read = await reader.readuntil(b"\r\n")
                size = int(line_read.split(b";")[0], 16)
                answer.body += (await reader.readexactly(size + 2))[:-2]
        elif answer.status not in (204, 304):
            size = int(answer.headers["content-length"])
            answer.body = await reader.readexactly(size)
        answer.complete = True
    except asyncio.IncompleteReadError as error:
        answer.body += error.partial if answer.status else b""
        answer.end = "closed early"
    except OSError as error:
        answer.end = type(error).__name__


async def request(
    ip: str,
    port: int,
    method: str,
    path: str,
    *,
    request_id: str = "",
    key: str = "",
    headers: Headers = (),
    body: bytes = b"",
    timeout_s: float = 10.0,
) -> Answer:
    """Send one request on a new connection.

    :param ip: the address
    :param port: the port
    :param method: its method
    :param path: its path and query
    :param request_id: its id; empty: none
    :param key: the API key; empty: none
    :param headers: further headers
    :param body: its body
    :param timeout_s: how long the client waits
    """
    lines = [f"{method} {path} HTTP/1.1", "Host: h.example"]
    if request_id:
        lines.append(f"X-Request-Id: {request_id}")
    if key:
        lines.append(f"Authorization: Bearer {key}")
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    encoded = "\r\n".join([*lines, "", ""]).encode("latin-1") + body
    answer, writer = Answer(), None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write(encoded)
            await read_answer(reader, answer)
    except TimeoutError:
        answer.end = "the client's time was up"
    except OSError as error:
        answer.end = type(error).__name__
    finally:
        if writer is not None:
            writer.close()
    return answer


async def read_request(reader: asyncio.StreamReader) -> Got | None:
    """Read one request; return None at the end of the connection.

    :param reader: the connection
    """
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, OSError):
        return None
    first, *rest = text.split("\r\n")
    method, path, _ = first.split(" ")
    headers = {}
    for line in filter(None, rest):
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    size = int(headers.get("content-length", "0"))
    return Got(method, path, headers, await reader.readexactly(size))


def head(
    status: int,
    got: Got,
    *,
    extra: Headers = (),
    length: int | None = None,
) -> bytes:
    """Return the head of a worker's answer, which is signed.

    :param status: its status
    :param got: the request
    :param extra: further headers
    :param length: the length of the body; None: it is not told
    """
    lines = [
        f"HTTP/1.1 {status} X",
        f"X-Request-Id: {got.id}",
        f"X-Response-Signature: {SIGNATURE}",
    ]
    lines += [f"{name}: {value}" for name, value in extra]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def own_answer(name: str, got: Got) -> bytes | None:
    """Return the answer to a call that needs no run; None: it needs one.

    :param name: the worker's id
    :param got: the call
    """
    if got.path == "/health":
        return (
            b"HTTP/1.1 200 OK\r\nX-Instance-Id: %b\r\n"
            b"Content-Length: 0\r\n\r\n" % name.encode()
        )
    if got.path.startswith("/v1/"):
        return b"HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n"
    if got.headers.get("x-expect-instance", name) != name:
        return (
            b"HTTP/1.1 421 X\r\nX-Not-Executed: 1\r\nX-Request-Id: %b\r\n"
            b"Content-Length: 0\r\n\r\n" % got.id.encode()
        )
    return None


class Worker:
    """A worker of a service."""

    def __init__(
        self, fleet: Fleet, name: str, serve: Serve, slots: int = 8
    ) -> None:
        """Make a worker that has not started.

        :param fleet: the fleet
        :param name: its id
        :param serve: writes its answers
        :param slots: how many requests it runs at once
        """
        self.fleet, self.name = fleet, name
        self.serve, self.slots = serve, slots
        self.runs: dict[str, int] = {}  # By request id.
        self.port = 0
        self.server: asyncio.Server | None = None
        self.beats = 0  # Written to the store; 0: none is to be.

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(
            self._connected, "127.0.0.1", 0, limit=2**20
        )
        self.port = self.server.sockets[0].getsockname()[1]

    def enter(self) -> None:
        """Write this worker's entry into the platform's store."""
        self.beats += 1
        entry = {
            "service": "desk",
            "address": f"127.0.0.1:{self.port}",
            "zone": "z-a",
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "coldLeftMs": 0,
            "callSeq": self.beats,
        }
        store = self.fleet.store
        store.put("keyed.servers", self.name, json.dumps(entry).encode())

    def leave(self) -> None:
        """Have the entry removed."""
        self.fleet.store.put("keyed.servers", self.name, b"")

    async def stop(self) -> None:
        """Take no further connections."""
        if self.server is not None:
            self.server.close()

    def ran(self, got: Got, note: str = "") -> None:
        """Record that a request runs.

        :param got: the request
        :param note: what else the record says
        """
        self.runs[got.id] = self.runs.get(got.id, 0) + 1
        self.fleet.record(f"{self.name} runs {got.id} {got.path} {note}")

    async def _connected(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve a connection."""
        try:
            while (got := await read_request(reader)) is not None:
                answer = own_answer(self.name, got)
                if answer is not None:
                    writer.write(answer)
                elif not await self.serve(self, got, writer):
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


async def serve_soundly(
    worker: Worker, got: Got, writer: asyncio.StreamWriter
) -> bool:
    """Run a request and answer with 200 and a body of 800 bytes.

    :param worker: the worker
    :param got: the request
    :param writer: its connection
    """
    worker.ran(got)
    await asyncio.sleep(0.02)
    body = (f"{worker.name} {got.id} " + "x" * 800)[:800].encode()
    writer.write(head(200, got, length=800) + body)
    await writer.drain()
    return True


def route(
    prefix: str, kind: str, timeout_ms: int = 3000
) -> dict[str, str | int | bool]:
    """Return a route of the configuration.

    :param prefix: its prefix
    :param kind: its kind
    :param timeout_ms: its time limit
    """
    return {
        "name": prefix.strip("/"),
        "host": "h.example",
        "prefix": prefix,
        "kind": kind,
        "service": "desk",
        "timeoutMs": timeout_ms,
        "goalLatencyMs": 200,
        "maxAttempts": 2,
        "priority": 1,
        "public": False,
    }


class Fleet:
    """A store, workers and routers, with a temporary folder."""

    def __init__(self, record: Record, routers: int, memory_mb: int) -> None:
        """Make a fleet that has not started.

        :param record: receives what happens
        :param routers: the number of routers
        :param memory_mb: the memory that each of them may use
        """
        self.record, self.memory_mb = record, memory_mb
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = KeyedLog(time.monotonic)
        self.routers = [Router(self, number) for number in range(routers)]
        self.workers: list[Worker] = []
        self.routes: list[dict[str, str | int | bool]] = []
        self.tenants: list[dict[str, Any]] = [
            {"name": "t1", "apiKeys": ["key-1"]}
        ]
        self.base = 0  # The first of the routers' ports.
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start everything, and wait until the routers are ready."""
        await self.store.start()
        count = max(3, len(self.routers))
        self.base = free_ports([f"127.0.0.{20 + n}" for n in range(count)], 10)
        config = {
            "version": 3,
            "routes": self.routes,
            "services": [
                {"name": "desk", "maxConns": 100, "healthPath": "/health"}
            ],
            "limits": LIMITS,
            "tenants": self.tenants,
        }
        self.store.put("keyed.op", "config", json.dumps(config).encode())
        for worker in self.workers:
            await worker.start()
            worker.enter()
        self.spawn(self._beat())
        for router in self.routers:
            await router.start()
        for router in self.routers:
            await router.ready()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run something until the fleet stops.

        :param work: it
        """
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _beat(self) -> None:
        """Have the workers renew their entries."""
        while True:
            await asyncio.sleep(1.2)
            for worker in self.workers:
                if worker.beats:
                    worker.enter()

    async def stop(self) -> None:
        """End all that was started."""
        for router in self.routers:
            if router.process is not None:
                await router.kill()
        for worker in self.workers:
            await worker.stop()
        await self.store.stop()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.sleep(0.2)
        shutil.rmtree(self.folder, ignore_errors=True)


# Plays a case, with the disruption or without; returns the breaches.
Play = Callable[[Fleet, bool], Awaitable[list[str]]]


def run_case(
    folder: Path, play: Play, *, routers: int, memory_mb: int = 150
) -> int:
    """Play a case; return the exit code.

    :param folder: where the record goes
    :param play: plays it
    :param routers: the number of routers
    :param memory_mb: the memory that each of them may use
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")

    async def main() -> list[str]:
        fleet = Fleet(record, routers, memory_mb)
        try:
            async with asyncio.timeout(CASE_S):
                return await play(fleet, trouble)
        finally:
            await fleet.stop()

    try:
        breaches = asyncio.run(main())
    except Exception as error:
        record(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}")
        return 2
    for breach in breaches[:40]:
        record(f"BREACH {breach}")
    if breaches:
        print(f"broken {len(breaches)} times, first: {breaches[0]}")
        return 1
    record("the rule held")
    print("the rule held")
    return 0

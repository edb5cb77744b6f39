"""Stand-ins and helpers for the scripts of the review.

Only the standard library is used.  The store, the workers and the clients
run in the script's own process and follow PROTOCOL.md; the routers run as
separate processes with the command of the deploy file.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[1]
HELD, BROKEN, NOT_RUN = 0, 1, 2
KEY = "asnmgkcuyj8pjbvk9m68"
TENANT = "hule930"
HOST = "ficu95.example"


class CouldNotRunError(Exception):
    """The case could not be played."""


class Record:
    """Writes what was sent, answered and run, with the time."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._start = time.monotonic()

    def __call__(self, text: str) -> None:
        """Write one line.

        :param text: what happened
        """
        line = f"{time.monotonic() - self._start:9.3f}  {text}"
        print(line, file=self._file, flush=True)


# --- HTTP.


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, list[tuple[str, str]]] | None:
    """Return a first line and the headers; None at the end of the stream."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers.append((name.strip().lower(), value.strip()))
    return lines[0], headers


def header(
    headers: list[tuple[str, str]], name: str, default: str = ""
) -> str:
    """Return a header's value."""
    return next((value for key, value in headers if key == name), default)


async def read_body(
    reader: asyncio.StreamReader, headers: list[tuple[str, str]]
) -> bytes:
    """Return a body; raise IncompleteReadError if it ends early."""
    if "chunked" in header(headers, "transfer-encoding").lower():
        body = b""
        while True:
            line = await reader.readline()
            if not line.endswith(b"\n"):
                raise asyncio.IncompleteReadError(line, None)
            size = int(line.split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if not size:
                return body
            body += piece[:-2]
    return await reader.readexactly(
        int(header(headers, "content-length", "0"))
    )


def http_head(line: str, headers: dict[str, str]) -> bytes:
    """Return an encoded head."""
    rows = [line, *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join(rows) + "\r\n\r\n").encode("latin-1")


# --- The platform's store.


class _Part:
    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.newest: dict[str, tuple[int, bytes]] = {}
        self.turns: dict[str, tuple[int, int, bytes]] = {}
        self.grown = asyncio.Event()

    def append(self, record: bytes, keyed: bool) -> None:
        offset = len(self.records)
        self.records.append(record)
        if keyed:
            end = 1 + record[0]
            key, value = record[1:end].decode(), record[end:]
            if value:
                self.newest[key] = (offset, value)
            else:
                self.newest.pop(key, None)
        self.grown.set()
        self.grown = asyncio.Event()


class Store:
    """A log with keyed topics; `allowed` decides whom it answers."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._parts: dict[tuple[str, int], _Part] = {}
        self._server: asyncio.Server | None = None
        self.port = 0
        # Takes the caller's IP number and the call's name; False: a 503.
        self.allowed: Callable[[str, str], bool] = lambda host, name: True
        self.silent_until_s = 0.0  # No call gets an answer before then.

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=2**22
        )
        self.port = self._server.sockets[0].getsockname()[1]

    @property
    def is_silent(self) -> bool:
        """Return whether calls get no answer now."""
        return time.monotonic() < self.silent_until_s

    def fall_silent(self, for_s: float) -> None:
        """Answer no call for a time, also none that came before.

        :param for_s: the time in seconds
        """
        self.silent_until_s = time.monotonic() + for_s
        self._record(f"store: silent for {for_s} s")

    def part(self, topic: str, number: int = 0) -> _Part:
        """Return a partition, which is made on first use."""
        return self._parts.setdefault((topic, number), _Part())

    def put(self, topic: str, key: str, value: object | None) -> None:
        """Write as the operator and the workers do; None deletes the key."""
        name = key.encode()
        data = b"" if value is None else json.dumps(value).encode()
        self.part(topic).append(bytes((len(name),)) + name + data, True)
        self._record(f"store: {topic} {key} written")

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host = writer.get_extra_info("peername")[0]
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                body = await read_body(reader, headers)
                _, target, _ = line.split(" ")
                parts = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(parts.query).items()}
                name = parts.path.rpartition("/")[2]
                if self.is_silent:
                    await asyncio.sleep(60.0)
                    return
                if not self.allowed(host, name):
                    status, answer = 503, b"{}"
                else:
                    status, answer = await self._call(name, query, body)
                if self.is_silent:
                    await asyncio.sleep(60.0)
                    return
                writer.write(
                    http_head(
                        f"HTTP/1.1 {status} X",
                        {"Content-Length": str(len(answer))},
                    )
                    + answer
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _call(
        self, name: str, query: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        topic, number = query.get("topic", ""), int(query.get("part", "0"))
        part = self.part(topic, number)
        if name == "log-newest":
            items = [
                {
                    "key": key,
                    "value": base64.b64encode(value).decode(),
                    "offset": offset,
                }
                for key, (offset, value) in sorted(part.newest.items())
                if key > query.get("after", "")
            ]
            page = {
                "items": items[:500],
                "hasMore": len(items) > 500,
                "endOffset": len(part.records),
            }
            return 200, json.dumps(page).encode()
        if name == "log-read":
            begin = int(query["from"])
            if begin >= len(part.records) and "waitMs" in query:
                try:
                    async with asyncio.timeout(int(query["waitMs"]) / 1000):
                        await part.grown.wait()
                except TimeoutError:
                    pass
            answer = struct.pack("!QQ", len(part.records), 0)
            for each in part.records[begin:]:
                answer += struct.pack("!I", len(each)) + each
            return 200, answer
        if name == "log-append":
            return self._append(topic, part, query, body)
        return 404, b"{}"

    def _append(
        self, topic: str, part: _Part, query: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        producer = query.get("producer")
        epoch = int(query.get("epoch", "0"))
        number = int(query.get("callSeq", "0"))
        if producer is not None:
            known = part.turns.get(producer)
            if known is not None and epoch < known[0]:
                return 409, b'{"reason":"fenced"}'
            if known is not None and epoch == known[0]:
                if number == known[1]:
                    return 200, known[2]
                if number != known[1] + 1:
                    return 409, b'{"reason":"seq"}'
        offset, position = len(part.records), 0
        while position + 4 <= len(body):
            (length,) = struct.unpack_from("!I", body, position)
            position += 4
            part.append(
                body[position : position + length], topic.startswith("keyed.")
            )
            position += length
        answer = json.dumps(
            {"offset": offset, "endOffset": len(part.records)}
        ).encode()
        if producer is not None:
            part.turns[producer] = (epoch, number, answer)
        return 200, answer


# --- Workers.


class Request:
    """One request at a worker."""

    def __init__(
        self,
        line: str,
        headers: list[tuple[str, str]],
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.method, self.target, _ = line.split(" ")
        self.headers = headers
        self.body = body
        self.writer = writer
        self.id = header(headers, "x-request-id")


class Worker:
    """A worker; `answer` is a coroutine that writes a request's answer.

    It returns whether the connection is kept.
    """

    def __init__(
        self,
        name: str,
        record: Record,
        answer: Callable[[Worker, Request], Awaitable[bool]],
    ) -> None:
        self.name = name
        self.signature = f"3e1b.07.{name}"
        self.port = 0
        self.runs: dict[str, int] = {}
        self._record = record
        self._answer = answer
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on its port; 0: a free one."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=2**20
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def entry(self, service: str, zone: str = "akl-a") -> dict[str, Any]:
        """Return its entry in the store."""
        return {
            "service": service,
            "address": f"127.0.0.1:{self.port}",
            "zone": zone,
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "coldLeftMs": 0,
            "callSeq": 1,
        }

    def head(self, request: Request, **more: str) -> dict[str, str]:
        """Return the headers that every answer that ran has."""
        return {
            "X-Request-Id": request.id,
            "X-Response-Signature": self.signature,
            **{name.replace("_", "-"): value for name, value in more.items()},
        }

    def crash(self) -> None:
        """Close its port and all of its connections at once."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                body = await read_body(reader, headers)
                request = Request(line, headers, body, writer)
                if line.split(" ")[1] == "/health":
                    writer.write(
                        http_head(
                            "HTTP/1.1 200 OK",
                            {
                                "X-Instance-Id": self.name,
                                "Content-Length": "0",
                            },
                        )
                    )
                    continue
                expected = header(headers, "x-expect-instance", self.name)
                if expected != self.name:
                    writer.write(
                        http_head(
                            "HTTP/1.1 421 Misdirected Request",
                            {
                                "X-Instance-Id": self.name,
                                "Content-Length": "0",
                            },
                        )
                    )
                    continue
                self.runs[request.id] = self.runs.get(request.id, 0) + 1
                self._record(f"worker {self.name}: runs {request.id}")
                if not await self._answer(self, request):
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            self._record(f"worker {self.name}: a connection ended")
        finally:
            self._writers.discard(writer)
            writer.close()


# --- Routers.


# The machines of a case; routers get their own numbers.
HOSTS = tuple(f"127.0.0.{number}" for number in range(1, 7))


def free_port(count: int) -> int:
    """Return the first of some ports in a row that are free on all hosts."""
    for _ in range(200):
        first = random.randrange(20_000, 30_000)
        sockets = []
        try:
            for host in HOSTS:
                for port in range(first, first + count):
                    sock = socket.socket()
                    sockets.append(sock)
                    sock.bind((host, port))
        except OSError:
            continue
        finally:
            for sock in sockets:
                sock.close()
        return first
    raise CouldNotRunError("no free ports")


class Ports:
    """The ports of a day, the same on every machine."""

    def __init__(self) -> None:
        first = free_port(8)
        self.front, self.ready, self.control = first, first + 1, first + 2
        self.range = (first + 3, first + 7)


class Router:
    """One router: a machine with the IP number 127.0.0.N."""

    def __init__(
        self,
        number: int,
        ports: Ports,
        store_port: int,
        folder: Path,
        record: Record,
        seeds: list[str],
    ) -> None:
        self.ip = f"127.0.0.{number}"
        self.name = f"front-akl-a-{number}"
        self.ports = ports
        self.process: asyncio.subprocess.Process | None = None
        self._record = record
        self._folder = folder
        self._path = folder / f"{self.name}.toml"
        self._store_port = store_port
        self._seeds = seeds

    def write_settings(self, bootstrap: bool) -> None:
        """Write the settings file."""
        seeds = ",".join(f'"{ip}:{self.ports.control}"' for ip in self._seeds)
        low, high = self.ports.range
        self._path.write_text(
            f"""nodeName = "{self.name}"
role = "router"
machineClass = "front"
serves = ["front","control"]
ip = "{self.ip}"
zone = "akl-a"
region = "akl"
portRange = [{low},{high}]
seedNodes = [{seeds}]
bootstrap = {str(bootstrap).lower()}
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = 1200
[zones]
akl-a = "akl"
[listenAddrs]
front = "{self.ip}:{self.ports.front}"
ready = "{self.ip}:{self.ports.ready}"
control = "{self.ip}:{self.ports.control}"
[limits]
cpuShare = 0.817
cpuCores = 1
memoryMb = 150
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
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
address = "127.0.0.1:{self._store_port}"
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
""",
            encoding="utf-8",
        )

    async def start(self, *, bootstrap: bool = True) -> None:
        """Start the process as the deploy file does."""
        self.write_settings(bootstrap)
        keep = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in keep if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["BULRUSHSTREAM_NODE_FILE"] = str(self._path)
        log = (self._folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            "python3",
            "deploy/router.py",
            cwd=ROOT,
            env=env,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self._record(f"{self.name}: started")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        assert self.process is not None
        if self.process.returncode is None:
            self.process.send_signal(number)
            self._record(f"{self.name}: {number.name}")

    async def ended(self, limit_s: float) -> int | None:
        """Wait for the end; return the exit code, None: it still runs."""
        assert self.process is not None
        try:
            async with asyncio.timeout(limit_s):
                code = await self.process.wait()
        except TimeoutError:
            return None
        self._record(f"{self.name}: ended with {code}")
        return code

    async def is_ready(self) -> bool:
        """Return whether it says that it is ready."""
        try:
            reader, writer = await asyncio.open_connection(
                self.ip, self.ports.ready
            )
        except OSError:
            return False
        writer.write(http_head("GET /v1/ready HTTP/1.1", {"Host": self.ip}))
        head = await read_head(reader)
        writer.close()
        return head is not None and " 200 " in head[0] + " "

    async def wait_ready(self, limit_s: float = 15.0) -> None:
        """Wait until it says that it is ready."""
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if await self.is_ready():
                self._record(f"{self.name}: ready")
                return
            await asyncio.sleep(0.1)
        raise CouldNotRunError(f"{self.name} does not become ready")

    async def close(self) -> None:
        """Kill the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


# --- A script's frame.


def config(
    version: int, routes: list[dict[str, Any]], services: list[dict[str, Any]]
) -> dict[str, Any]:
    """Return a configuration with one tenant."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
            "tokensPerS": 165000,
        },
        "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}],
    }


def play(
    folder: Path, case: Callable[[Record, Path, bool], Awaitable[int]]
) -> None:
    """Run a case with a temporary folder, and exit with its code."""
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    temporary = Path(tempfile.mkdtemp(prefix="review-"))
    code = NOT_RUN

    async def limited() -> int:
        async with asyncio.timeout(110.0):
            return await case(record, temporary, trouble)

    try:
        code = asyncio.run(limited())
    except CouldNotRunError as error:
        record(f"could not run: {error}")
    except Exception as error:
        record(f"could not run: {error!r}")
    verdict = {HELD: "held", BROKEN: "BROKEN", NOT_RUN: "could not run"}[code]
    record(f"the rule: {verdict}")
    print(verdict)
    if os.environ.get("KEEP_LOGS"):
        print("logs:", temporary)
    else:
        shutil.rmtree(temporary, ignore_errors=True)
    sys.exit(code)

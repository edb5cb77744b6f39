"""All routers are killed while they pass on streams, a few without a length.

Half of the workers make every twentieth of their answers end with its
connection; the others are chunked.  Nothing else goes wrong.
"""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins import (
    BROKEN,
    HELD,
    HOST,
    KEY,
    CouldNotRunError,
    Ports,
    Record,
    Request,
    Router,
    Store,
    Worker,
    config,
    header,
    http_head,
    play,
    read_body,
    read_head,
)

ROUTERS = 4
WORKERS = 8
STREAMS = 200
EVENTS = 40
PAUSE_S = 0.1
UNFRAMED_EACH = 20  # Every so many answers of a garbling worker: x = 0.05.


def event(request_id: str, number: int) -> bytes:
    """Return an encoded event."""
    return f"id: {number}\ndata: {request_id}-{number}\n\n".encode()


def whole_answer(request_id: str) -> bytes:
    """Return the whole body of an answer."""
    return b"".join(
        event(request_id, number) for number in range(1, EVENTS + 1)
    )


class Streams:
    """What the workers answer."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._answers: dict[str, int] = {}
        self.ended: set[str] = set()  # Requests whose worker was done.

    async def answer(self, worker: Worker, request: Request) -> bool:
        """Answer a request as the worker does."""
        count = self._answers[worker.name] = (
            self._answers.get(worker.name, 0) + 1
        )
        garbles = int(worker.name[-1]) < WORKERS // 2
        framed = not garbles or count % UNFRAMED_EACH != 5
        head = worker.head(request, Content_Type="text/event-stream")
        if framed:
            head["Transfer-Encoding"] = "chunked"
        else:
            head["Connection"] = "close"
            self._record(f"worker {worker.name}: {request.id} has no length")
        writer = request.writer
        writer.write(http_head("HTTP/1.1 200 OK", head))
        for number in range(1, EVENTS + 1):
            data = event(request.id, number)
            if framed:
                data = b"%x\r\n%b\r\n" % (len(data), data)
            writer.write(data)
            await writer.drain()
            await asyncio.sleep(PAUSE_S)
        if framed:
            writer.write(b"0\r\n\r\n")
        self.ended.add(request.id)
        return framed


async def ask(
    router: Router, number: int, record: Record
) -> tuple[str, str, bytes, bool]:
    """Send one request; return id, status, body and if it looks whole."""
    name = f"9c41d07be2a3{number:04d}"
    reader, writer = await asyncio.open_connection(
        router.ip, router.ports.front
    )
    head = {
        "Host": HOST,
        "X-Request-Id": name,
        "X-Model": "m",
        "X-Token-Counts": "160,120",
        "X-Prompt-Prefix": f"5c1e07a2:100,{number:x}a:60",
        "X-Deadline-Ms": "6000",
        "Authorization": f"Bearer {KEY}",
        "Content-Length": "4",
    }
    writer.write(http_head("POST /pufi791/2f HTTP/1.1", head) + b"text")
    record(f"client: sends {name} to {router.name}")
    status, body, looks_whole, ended = "", b"", False, "closed, no answer"
    try:
        found = await read_head(reader)
        if found is not None:
            line, headers = found
            status = line.split(" ")[1]
            if "chunked" in header(headers, "transfer-encoding").lower():
                body = await read_body(reader, headers)
                ended = "its last chunk came"
            elif header(headers, "content-length"):
                body = await read_body(reader, headers)
                ended = "all of its length came"
            else:
                while piece := await reader.read(65536):
                    body += piece
                ended = "no length; the connection was closed in order"
            looks_whole = True
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        ended = f"broken off: {error!r}"
    finally:
        writer.close()
    events = body.count(b"\n\n")
    record(f"client: {name} gets {status}, {events} events, {ended}")
    return name, status, body, looks_whole


async def case(record: Record, folder: Path, trouble: bool) -> int:
    """Play the case; return the exit code."""
    store = Store(record)
    await store.start()
    streams = Streams(record)
    for number in range(WORKERS):
        worker = Worker(f"i-7f3a91c{number}", record, streams.answer)
        await worker.start()
        store.put("keyed.servers", worker.name, worker.entry("huvo11a"))
    route = {
        "name": "r-mvtdhbj",
        "host": HOST,
        "prefix": "/pufi791/",
        "kind": "streaming",
        "timeoutMs": 6000,
        "goalLatencyMs": 1200,
        "priority": 1,
        "service": "huvo11a",
        "maxAttempts": 1,
        "public": False,
        "sessionAffinity": True,
        "resumable": False,
        "gapTargetMs": 250,
    }
    service = {
        "name": "huvo11a",
        "healthPath": "/health",
        "maxConns": 360,
        "engine": {"slots": 64, "kvTokens": 231335},
    }
    store.put("keyed.op", "config", config(7, [route], [service]))
    ports = Ports()
    seeds = ["127.0.0.2", "127.0.0.3", "127.0.0.4"]
    routers = [
        Router(number, ports, store.port, folder, record, seeds)
        for number in range(2, 2 + ROUTERS)
    ]
    try:
        for router in routers:
            await router.start()
        for router in routers:
            await router.wait_ready()
        await asyncio.sleep(2.0)
        tasks = []
        for number in range(STREAMS):
            router = routers[number % ROUTERS]
            tasks.append(asyncio.create_task(ask(router, number, record)))
            await asyncio.sleep(0.01)
        if trouble:
            for router in routers:
                router.signal(signal.SIGKILL)
        answers = await asyncio.gather(*tasks)
    finally:
        for router in routers:
            await router.close()
    served = sum(status == "200" for _, status, _, _ in answers)
    false = [
        name
        for name, status, body, looks_whole in answers
        if status == "200" and looks_whole and body != whole_answer(name)
    ]
    record(
        f"{served} of {STREAMS} answers began; "
        f"{len(false)} look whole and are not: {' '.join(false)}"
    )
    if not trouble and served < STREAMS / 2:
        raise CouldNotRunError("too few requests were served")
    return BROKEN if false else HELD


play(Path(__file__).resolve().parent, case)

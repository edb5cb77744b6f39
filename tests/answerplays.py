"""Random plays of one connection, and a judge of what its caller sees."""

from __future__ import annotations

import asyncio
import re
from dataclasses import dataclass, field
from random import Random
from typing import Final

from bulrushstream.history.virtualloop import run_virtually
from bulrushstream.state.memorybudget import MemoryBudget
from bulrushstream.transport.exchange import BodyWriter, Exchange
from bulrushstream.transport.ingress import Ingress, IngressLimits
from tests.callertransports import CallerTransport

STEPS: Final = 24
MEMORY_BYTES: Final = 400_000
UNREAD_BYTES: Final = 300_000
SIZES_BYTES: Final = (1, 60, 20_000, 200_000)
REQUESTS: Final = (
    "{} / HTTP/1.0\r\n",
    "{} / HTTP/1.0\r\nConnection: keep-alive\r\n",
    "{} / HTTP/1.1\r\nHost: a\r\n",
    "{} / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n",
    "{} / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n",
)
# What becomes of the connection, and how often.
ACTIONS: Final = (
    *("request", "request in part", "request with a body", "half-close"),
    *("begin", "answer", "write", "write", "write", "finish", "finish"),
    *("abort", "stop", "refuse", "make room", "memory", "fail", "kill"),
    *("read", "wait", "turn", "turn", "turn"),
)
# What is done with a request at once.
AT_ONCE: Final = (
    (),
    ("answer",),
    ("begin",),
    ("begin", "write"),
    ("begin", "write"),
    ("begin", "write", "finish"),
)
_CHUNK: Final = re.compile(rb"([0-9a-f]+)\r\n")
_INTERIM: Final = re.compile(rb"\A(HTTP/1.1 100 Continue\r\n\r\n)+")
_LENGTH: Final = re.compile(rb"content-length: (\d+)\r\n")
_REFUSAL: Final = re.compile(rb"HTTP/1.1 (400|408|413|431|503) ")


@dataclass(slots=True)
class Answer:
    """An answer, as the router wrote it."""

    exchange: Exchange
    writer: BodyWriter | None = None  # None: it was not begun.
    body: bytes = b""
    finished: bool = False


@dataclass(slots=True)
class Seen:
    """An answer, as its caller sees it."""

    head: bytes
    body: bytes
    whole: bool


@dataclass(slots=True)
class Play:
    """A connection, and the answers on it in their order."""

    rng: Random
    ingress: Ingress = field(init=False)
    transport: CallerTransport = field(init=False)
    answers: list[Answer] = field(default_factory=list)
    rest: bytes = b""  # Of a request that was received in part.
    killed: bool = False
    dropped: bool = False  # Whether bytes were written too late.

    async def run(self) -> None:
        """Act at random; then let the caller read all, and time pass."""
        rng = self.rng
        self.ingress = Ingress(
            self._handle,
            IngressLimits(unread_bytes=UNREAD_BYTES),
            asyncio.get_running_loop().time,
            MemoryBudget(MEMORY_BYTES),
        )
        room_bytes = rng.choice((2**30, 0, 100_000))
        self.transport = CallerTransport(self.ingress, room_bytes)
        self.transport.receive(self._encode_request(0))
        for _ in range(STEPS):
            if not self.killed:
                await self._act(rng.choice(ACTIONS))
        if self.killed:
            return
        self.transport.read(2**30)
        await asyncio.sleep(60.0)

    def _handle(self, exchange: Exchange) -> None:
        if self.killed:
            return
        answer = Answer(exchange)
        self.answers.append(answer)
        for action in self.rng.choice(AT_ONCE):
            self._write(answer, action)

    def _encode_request(self, body_bytes: int) -> bytes:
        """Return a request, after the rest of an earlier one."""
        method = self.rng.choice(("POST", "POST", "HEAD"))
        head = self.rng.choice(REQUESTS).format(method)
        head += f"Content-Length: {body_bytes}\r\n\r\n"
        data, self.rest = self.rest + head.encode(), b""
        return data + bytes(body_bytes)

    def _write(self, answer: Answer, action: str) -> None:
        """Begin an answer, write a piece of its body, finish or abort it."""
        exchange, writer = answer.exchange, answer.writer
        self.dropped |= self.transport.is_closing() and not exchange.ended
        if action == "answer" and not (exchange.ended or exchange.started):
            answer.body = b"a" * self.rng.choice(SIZES_BYTES)
            answer.finished = True
            exchange.answer(200, [], answer.body)
        elif action == "abort":
            exchange.abort()
        elif action == "begin" and not exchange.started:
            answer.writer = exchange.begin(200, [], None)
        elif action == "write" and writer is not None:
            piece = b"w" * self.rng.choice(SIZES_BYTES)
            if not exchange.ended:
                answer.body += piece
            writer.write(piece)
        elif action == "finish" and writer is not None:
            answer.finished = answer.finished or not exchange.ended
            writer.finish()

    async def _act(self, action: str) -> None:
        """Do one thing to the connection."""
        rng, transport, ingress = self.rng, self.transport, self.ingress
        if action == "request":
            self.transport.receive(self._encode_request(0))
        elif action == "request with a body":
            self.transport.receive(self._encode_request(100_000))
        elif action == "request in part":
            data = self._encode_request(40_000)
            cut = rng.randrange(len(data))
            self.rest = data[cut:]
            self.transport.receive(data[:cut])
        elif action == "half-close":
            transport.half_close()
        elif action == "stop":
            ingress.closing = True
            ingress.close_idle()
        elif action == "refuse":
            ingress.refuse_incomplete()
        elif action == "make room":
            ingress.limits.connections = 1
            ingress.make_room()
        elif action == "memory":
            account = ingress.memory.open(lambda: None)
            account.resize(MEMORY_BYTES - rng.choice(SIZES_BYTES))
            account.resize(0)
        elif action == "fail":
            transport.fail(OSError("no buffer space"))
        elif action == "kill":
            self.killed = True
            transport.kill()
        elif action == "read":
            transport.read(rng.choice(SIZES_BYTES))
        elif action == "wait":
            await asyncio.sleep(rng.choice((0.1, 2.5, 16.0)))
        elif action == "turn":
            await asyncio.sleep(0)
        elif self.answers:
            last = rng.random() < 0.8
            answer = self.answers[-1] if last else rng.choice(self.answers)
            self._write(answer, action)


def see(play: Play) -> list[Seen]:
    """Return the answers that the caller sees."""
    seen: list[Seen] = []
    data = play.transport.sent
    while data := _INTERIM.sub(b"", data):
        head, separator, rest = data.partition(b"\r\n\r\n")
        head += b"\r\n"
        number = len(seen)
        answer = Seen(head, b"", whole=False)
        seen.append(answer)
        length = _LENGTH.search(head)
        is_head = (
            number < len(play.answers)
            and play.answers[number].exchange.method == b"HEAD"
        )
        if is_head or not separator:
            answer.whole = bool(separator)
            data = rest
        elif length is not None:
            answer.body = rest[: int(length[1])]
            answer.whole = len(answer.body) == int(length[1])
            data = rest[int(length[1]) :]
        elif b"chunked" in head:
            answer.body, data, answer.whole = _read_chunks(rest)
        else:
            answer.body, data = rest, b""
            answer.whole = play.transport.end == "in order"
    return seen


def _read_chunks(data: bytes) -> tuple[bytes, bytes, bool]:
    """Return the body, what follows it, and whether it is whole."""
    body = b""
    while size := _CHUNK.match(data):
        size_bytes = int(size[1], 16)
        piece = data[size.end() : size.end() + size_bytes + 2]
        if len(piece) < size_bytes + 2:
            break
        data = data[size.end() + len(piece) :]
        if not size_bytes:
            return body, data, True
        body += piece[:-2]
    return body, b"", False


def judge(play: Play) -> list[str]:
    """Return what is wrong with what the caller of a play sees."""
    wrong = []
    seen, transport = see(play), play.transport
    begun = [each for each in play.answers if each.exchange.started]
    if begun != play.answers[: len(begun)]:
        wrong.append("an answer before that to an earlier request")
    for number, answer in enumerate(seen):
        if number >= len(begun):
            if answer.whole and not _REFUSAL.match(answer.head):
                wrong.append(f"no request has this answer: {answer.head!r}")
            continue
        written = begun[number]
        if written.exchange.method == b"HEAD":
            continue
        if answer.whole and not written.finished:
            wrong.append(f"answer {number} was cut, and looks whole")
        elif answer.whole and answer.body != written.body:
            wrong.append(f"answer {number} is another one than was written")
    if play.dropped or transport.aborted or transport.lost_bytes:
        return wrong
    for number, written in enumerate(begun):
        if written.finished and not (
            number < len(seen) and seen[number].whole
        ):
            wrong.append(f"answer {number} was finished, and looks cut")
    return wrong


def play(seed: int) -> tuple[Play, list[str]]:
    """Play a connection; return it, and what was wrong."""
    played = Play(Random(seed))
    errors = run_virtually(played.run())
    return played, errors + judge(played)

"""How answers end for callers, whatever ends their connections."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Final

import pytest

from bulrushstream.history.virtualloop import run_virtually
from bulrushstream.state.memorybudget import MemoryBudget
from bulrushstream.transport.exchange import Exchange
from bulrushstream.transport.ingress import Ingress, IngressLimits
from tests.answerplays import play as play_at_random
from tests.answerplays import see
from tests.callertransports import CallerTransport

REQUEST: Final = (
    b"POST / HTTP/1.0\r\nConnection: keep-alive\r\nContent-Length: 0\r\n\r\n"
)
PART: Final = REQUEST[:20]
MUCH: Final = b"x" * 20_000  # Enough to be accounted for.
UNREAD_BYTES: Final = 2 * len(MUCH)
KEPT_BYTES: Final = 4 * len(MUCH)


class Answer:
    """An answer without a length, to a caller of HTTP/1.0, that has begun."""

    def __init__(self) -> None:
        self.exchanges: list[Exchange] = []
        self.memory = MemoryBudget(KEPT_BYTES)
        self.ingress = Ingress(
            self.exchanges.append,
            IngressLimits(unread_bytes=UNREAD_BYTES),
            asyncio.get_running_loop().time,
            self.memory,
        )
        self.transport = CallerTransport(self.ingress, 2**30)
        self.transport.receive(REQUEST)
        self.exchange = self.exchanges[0]
        self.writer = self.exchange.begin(200, [], None)
        self.writer.write(b"a part")

    def fill_up(self) -> None:
        """Let the caller read nothing more for a while."""
        self.transport.room_bytes = 0
        self.writer.write(MUCH)

    def use_up_memory(self) -> None:
        """Let other connections keep many bytes, each fewer than this."""
        for _ in range(4):
            account = self.memory.open(lambda: None)
            account.resize(len(MUCH) - 1)


def deadline_and_stop(answer: Answer) -> None:
    answer.exchange.abort()
    answer.ingress.close_idle()


def deadline_and_end_of_stop(answer: Answer) -> None:
    answer.transport.receive(PART)
    answer.exchange.abort()
    answer.ingress.refuse_incomplete()


def deadline_and_memory(answer: Answer) -> None:
    answer.transport.receive(REQUEST)
    answer.exchange.abort()
    answer.transport.protocol.end_for_memory()


def too_slow_and_finish(answer: Answer) -> None:
    answer.fill_up()
    answer.writer.write(MUCH + b"the rest")
    answer.writer.finish()


def memory_and_finish(answer: Answer) -> None:
    answer.fill_up()
    answer.use_up_memory()
    answer.writer.finish()


def finish_and_memory_and_stop(answer: Answer) -> None:
    answer.fill_up()
    answer.writer.finish()
    answer.use_up_memory()
    answer.ingress.close_idle()


def half_closed_and_finish(answer: Answer) -> None:
    answer.fill_up()
    answer.transport.half_close()
    answer.writer.write(b"the rest")
    answer.writer.finish()


def failure_and_finish(answer: Answer) -> None:
    answer.transport.fail(OSError("no buffer space"))
    answer.writer.finish()


CUTS: Final = (
    deadline_and_stop,
    deadline_and_end_of_stop,
    deadline_and_memory,
    too_slow_and_finish,
    memory_and_finish,
    finish_and_memory_and_stop,
    half_closed_and_finish,
    failure_and_finish,
)


def play(act: Callable[[Answer], None]) -> Answer:
    """Act on an answer; return it once its connection has ended."""
    answers = []

    async def work() -> None:
        answer = Answer()
        answers.append(answer)
        act(answer)
        await asyncio.sleep(0.1)
        answer.transport.read(2**30)
        await asyncio.sleep(60.0)

    assert run_virtually(work()) == []
    return answers[0]


class CutAnswerSuite:
    # Guards against a cut answer whose connection is closed in order.
    @pytest.mark.parametrize("cut", CUTS, ids=lambda each: each.__name__)
    def test_nothing_makes_a_cut_answer_whole(
        self, cut: Callable[[Answer], None]
    ) -> None:
        assert play(cut).transport.end == "reset"


def finish(answer: Answer) -> None:
    answer.writer.finish()


def fill_up_and_finish(answer: Answer) -> None:
    answer.fill_up()
    answer.writer.finish()


def finish_and_stop(answer: Answer) -> None:
    answer.transport.receive(PART)
    answer.fill_up()
    answer.writer.finish()
    answer.ingress.close_idle()
    answer.ingress.refuse_incomplete()


def finish_before_another(answer: Answer) -> None:
    answer.fill_up()
    answer.transport.receive(REQUEST)
    answer.writer.finish()


def finish_half_closed(answer: Answer) -> None:
    answer.fill_up()
    answer.transport.half_close()
    answer.writer.finish()


def finish_and_killed(answer: Answer) -> None:
    answer.writer.finish()
    answer.transport.kill()


def finish_amid_a_large_read(answer: Answer) -> None:
    answer.fill_up()
    large = REQUEST.replace(b": 0", b": 40000") + bytes(40_000)
    waiting = REQUEST.replace(b"\r\n\r\n", b"\r\nExpect: 100-continue\r\n\r\n")
    answer.transport.receive(large + waiting)
    answer.writer.finish()


WHOLE: Final = (
    finish,
    finish_amid_a_large_read,
    finish_and_killed,
    fill_up_and_finish,
    finish_and_stop,
    finish_before_another,
    finish_half_closed,
)


class WholeAnswerSuite:
    # Guards against a whole answer that is cut, or to which bytes are added.
    @pytest.mark.parametrize("end", WHOLE, ids=lambda each: each.__name__)
    def test_a_finished_answer_is_whole(
        self, end: Callable[[Answer], None]
    ) -> None:
        answer = play(end)
        body = answer.transport.sent.partition(b"\r\n\r\n")[2]
        assert answer.transport.end == "in order"
        assert body in (b"a part", b"a part" + MUCH)
        assert len(answer.exchanges) == 1

    # Guards against an exception in the loop, as a connection ended twice.
    async def test_its_connection_ends_once(self) -> None:
        loop = asyncio.get_running_loop()
        errors: list[object] = []
        loop.set_exception_handler(lambda _, context: errors.append(context))

        def answer(exchange: Exchange) -> None:
            writer = exchange.begin(200, [], None)
            writer.write(bytes(900_000))
            writer.finish()

        ingress = Ingress(answer, IngressLimits(), loop.time)
        caller, accepted = socket.socketpair()
        with caller:
            caller.setblocking(False)
            await loop.connect_accepted_socket(
                ingress.make_connection, accepted
            )
            await loop.sock_sendall(caller, REQUEST)
            data = b""
            while piece := await loop.sock_recv(caller, 65_536):
                data += piece
        assert len(data.partition(b"\r\n\r\n")[2]) == 900_000
        assert not ingress.connections
        assert errors == []


class RandomPlaySuite:
    # Guards against any order of calls that joins, cuts or ends answers.
    @pytest.mark.parametrize("block", range(8))
    def test_an_answer_looks_whole_if_it_is(self, block: int) -> None:
        whole = cut = 0
        for seed in range(500 * block, 500 * (block + 1)):
            played, wrong = play_at_random(seed)
            assert wrong == [], f"seed {seed}"
            answers = see(played)
            whole += sum(answer.whole for answer in answers)
            cut += sum(not answer.whole for answer in answers)
        assert whole >= 200
        assert cut >= 80

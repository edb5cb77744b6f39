"""Endpoints that answer twice, where only the connection ends an answer.

Guards against a second answer that is read into the body of the first one.
"""

from __future__ import annotations

import asyncio
import itertools
from dataclasses import dataclass
from types import SimpleNamespace
from typing import Final

import httptools
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bulrushstream.state.call import RawHeaders
from bulrushstream.transport.extraanswers import ExtraAnswerFinder
from tests.simulatedcallers import Caller
from tests.test_cut_answers import (
    BODY,
    EVENTS,
    PATHS,
    body_that_looks_whole,
    encode_answer,
    play_before,
)
from tests.virtualnetwork import Transport

LATE_S: Final = 0.02
EXTRA: Final = encode_answer(b"q1", "close", streams=False)

# Bodies that speak of HTTP.
TEXTS: Final = (
    b"It says HTTP/1.1 200 OK\r\n",
    b"HTTP/1.1 200 OK",
    b"HTTP/1.",
    b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\nHTTP/1.1",
    b"GET / HTTP/1.1\r\nX-Request-Id: q1\r\n\r\n",
    encode_answer(b"another", "length", streams=False) * 2,
    encode_answer(b"", "length", streams=False),
)


def is_own(status: int, headers: RawHeaders) -> bool:
    return dict(headers).get(b"X-Request-Id") == b"q1"


def pieces_of(data: bytes, cuts: list[int]) -> list[bytes]:
    places = sorted({0, len(data), *(cut % len(data) for cut in cuts)})
    return [data[a:b] for a, b in itertools.pairwise(places)]


class FinderSuite:
    @given(
        st.sampled_from((*TEXTS, BODY, b"a" * 300)),
        st.lists(st.integers(0, 2000), max_size=9),
    )
    def test_extra_answers_end_a_body(
        self, text: bytes, cuts: list[int]
    ) -> None:
        # What the text leaves open must not swallow the extra answer.
        text += b"\r\n\r\n."
        finder = ExtraAnswerFinder(is_own)
        data = text + EXTRA
        body = b"".join(finder.feed(each) for each in pieces_of(data, cuts))
        assert finder.found
        assert body == text

    @given(
        st.lists(st.sampled_from(TEXTS), min_size=1, max_size=3),
        st.lists(st.integers(0, 2000), max_size=9),
    )
    def test_bodies_that_speak_of_http_are_whole(
        self, texts: list[bytes], cuts: list[int]
    ) -> None:
        text = b"\r\n.\r\n".join(texts)
        finder = ExtraAnswerFinder(is_own)
        body = b"".join(finder.feed(each) for each in pieces_of(text, cuts))
        rest = finder.finish()
        assert not finder.found
        assert rest is not None
        assert body + rest == text


class _CountingParser:
    """A parser that counts the bytes of all parsers of its kind."""

    fed_bytes = 0

    def __init__(self, protocol: object) -> None:
        self._parser = httptools.HttpResponseParser(protocol)

    def feed_data(self, data: bytes) -> None:
        type(self).fed_bytes += len(data)
        self._parser.feed_data(data)

    def get_status_code(self) -> int:
        return self._parser.get_status_code()


class FinderWorkSuite:
    """Guards against work that grows with the square of a body's length."""

    @pytest.mark.parametrize("size", (100, 1448, 262_144))
    @pytest.mark.parametrize(
        ("block", "floods"),
        [
            (b"HTTP/1.1 200 \r\n", False),
            (b"HTTP/1.1 200 OK\r\n\r\n", False),
            (b"HTTP/1.1 200 OK\r\nA: b\r\n", False),
            (b"X: HTTP/1.1 200 OK\r\n", True),
            (b"HTTP/1.1 200 HTTP/1.1 200 ", True),
        ],
    )
    def test_the_parser_sees_few_bytes(
        self,
        block: bytes,
        floods: bool,
        size: int,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        monkeypatch.setattr(_CountingParser, "fed_bytes", 0)
        monkeypatch.setattr(
            "bulrushstream.transport.extraanswers.httptools",
            SimpleNamespace(
                HttpResponseParser=_CountingParser,
                HttpParserError=httptools.HttpParserError,
                HttpParserUpgrade=httptools.HttpParserUpgrade,
            ),
        )
        finder = ExtraAnswerFinder(is_own)
        text = block * (600_000 // len(block))
        body = b""
        for start in range(0, len(text), size):
            body += finder.feed(text[start : start + size])
        assert _CountingParser.fed_bytes <= 10 * len(text)
        assert text.startswith(body)
        assert finder.flooded == floods
        if not floods:
            assert len(text) - len(body) <= 16_384

    def test_status_lines_alone_are_not_parsed(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a body of which each line costs a parser."""
        made: list[_CountingParser] = []

        def make_parser(head: object) -> _CountingParser:
            made.append(_CountingParser(head))
            return made[-1]

        monkeypatch.setattr(
            "bulrushstream.transport.extraanswers.httptools",
            SimpleNamespace(
                HttpResponseParser=make_parser,
                HttpParserError=httptools.HttpParserError,
                HttpParserUpgrade=httptools.HttpParserUpgrade,
            ),
        )
        finder = ExtraAnswerFinder(is_own)
        pieces = 20
        for _ in range(pieces):
            finder.feed(b"HTTP/1.1 200 \r\n" * 1_000)
        # One for the last line of each piece, as another one may follow it.
        assert len(made) <= pieces


@dataclass(slots=True)
class _TwiceEndpoint:
    """The end of a connection of an endpoint that answers twice."""

    path: str
    cut: int  # Where the second answer is cut in two.
    extra: bytes
    transport: Transport

    def received(self, data: bytes) -> None:
        streams = self.path.startswith("/t")
        loop = asyncio.get_running_loop()
        self.transport.send(encode_answer(b"q1", "close", streams))
        for late_s, piece in (
            (LATE_S, self.extra[: self.cut]),
            (2 * LATE_S, self.extra[self.cut :]),
        ):
            loop.call_later(late_s, self.transport.send, piece)
        loop.call_later(3 * LATE_S, self.transport.end, None)

    def closed(self) -> None:
        """Do nothing."""


def play(path: str, cut: int, extra: bytes) -> Caller:
    return play_before(
        path, lambda _, transport: _TwiceEndpoint(path, cut, extra, transport)
    )


class ExtraAnswerSuite:
    @pytest.mark.parametrize("path", PATHS)
    def test_the_caller_gets_the_first_one(self, path: str) -> None:
        streams = path.startswith("/t")
        extra = encode_answer(b"q1", "close", streams)
        for cut in range(0, len(extra), 3):
            caller = play(path, cut, extra)
            expected = EVENTS if streams else BODY
            assert body_that_looks_whole(caller.data) == expected

    @pytest.mark.parametrize("path", PATHS)
    def test_one_that_ends_amid_its_head(self, path: str) -> None:
        """What follows the answer is too short to be told from its body."""
        streams = path.startswith("/t")
        extra = encode_answer(b"q1", "close", streams)
        line_end = extra.index(b"\r\n") + 3
        head_end = extra.index(b"\r\n\r\n")
        for size in range(line_end, head_end, 5):
            caller = play(path, size, extra[:size])
            assert body_that_looks_whole(caller.data) is None

    def test_events_of_a_second_run_are_not_passed_on(self) -> None:
        """Guards against ids that go back, without the head of an answer."""
        for path in ("/tell/", "/talk/"):
            caller = play(path, 5, EVENTS)
            assert body_that_looks_whole(caller.data) is None
            assert caller.data.count(b"id: 1\n") == 1

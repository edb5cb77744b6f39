"""Bodies in chunks that are taken for bodies without a length."""

from __future__ import annotations

import random

import pytest

from bulrushstream.transport.hiddenchunks import (
    MAX_HELD_BYTES,
    MIN_CHUNKS,
    HiddenChunkFinder,
)

PIECES = [b"id: %d\ndata: %d\n\n" % (n, n**7) for n in range(1, 12)]


def in_chunks(pieces: list[bytes], more: bytes, end: bytes) -> bytes:
    """Return a body in chunks with extensions; its end may have trailers."""
    framed = [
        b"%x%b\r\n%b\r\n" % (len(each), more, each) for each in pieces if each
    ]
    return b"".join([*framed, b"0", more, b"\r\n", end])


def passed_on(finder: HiddenChunkFinder, body: bytes, seed: int) -> bytes:
    """Return what is passed on of a body that arrives in pieces."""
    rng, passed, at = random.Random(seed), b"", 0
    while at < len(body):
        size = rng.choice((1, 2, 3, 17, 200, len(body)))
        passed += finder.feed(body[at : at + size])
        at += size
    return passed


class HiddenChunkSuite:
    # Guards against chunks that are passed on, whatever their form and
    # however they arrive.
    @pytest.mark.parametrize("min_chunks", [1, MIN_CHUNKS])
    @pytest.mark.parametrize("end", [b"\r\n", b"Server-Timing: a\r\n\r\n"])
    @pytest.mark.parametrize("more", [b"", b";name=value", b" ; a"])
    @pytest.mark.parametrize("count", [0, 1, 2, len(PIECES)])
    def test_no_byte_of_chunks_is_passed_on(
        self, count: int, more: bytes, end: bytes, min_chunks: int
    ) -> None:
        body = in_chunks(PIECES[:count], more, end)
        for seed in range(40):
            finder = HiddenChunkFinder(min_chunks)
            assert passed_on(finder, body, seed) == b""
            assert finder.found

    # Guards against ordinary bodies that are held back or changed.
    @pytest.mark.parametrize(
        "body",
        [
            b"".join(PIECES),
            b"data: a field whose name begins as a size does\n\n",
            b"2f\r\nid: 1\r\ndata: x\r\n\r\n" * 9,
            b"2\r\n17\n\nfive",
            b"0\r\n0\r\n\r\n0\r\n",
            b"beef\n",
            b"10000000000000000000\r\n",
            b"%x\r\n" % MAX_HELD_BYTES + bytes(MAX_HELD_BYTES + 9),
            b"ffffff\r\n" + bytes(MAX_HELD_BYTES),
            b"\r\n5\r\nhello\r\n0\r\n\r\n",
        ],
        ids=range(10),
    )
    def test_other_bodies_are_passed_on(self, body: bytes) -> None:
        for seed in range(40):
            finder = HiddenChunkFinder(MIN_CHUNKS)
            assert passed_on(finder, body, seed) == body
            assert not finder.found

    # Guards against the beginning of a body that is lost at its end.
    @pytest.mark.parametrize("size", range(1, 30))
    def test_a_body_that_ends_undecided(self, size: int) -> None:
        body = b"1a\r\nnot as many bytes as that"[:size]
        finder = HiddenChunkFinder(MIN_CHUNKS)
        passed = passed_on(finder, body, size)
        assert passed + finder.finish(doubtful=False) == body
        finder = HiddenChunkFinder(MIN_CHUNKS)
        passed_on(finder, body, size)
        finder.finish(doubtful=True)
        assert finder.found == (size >= 4)

    # Guards against a stream that is cut between two chunks.
    def test_a_stream_that_ends_after_a_chunk(self) -> None:
        finder = HiddenChunkFinder(1)
        assert finder.feed(b"5\r\ndata:\r\n") == b""
        assert finder.finish(doubtful=False) == b""
        assert finder.found

    def test_a_list_of_numbers(self) -> None:
        body = b"2\r\n17\r\n5\r\n12345\r\n2\r\n99\r\n"
        finder = HiddenChunkFinder(MIN_CHUNKS)
        assert (
            passed_on(finder, body, 1) + finder.finish(doubtful=False) == body
        )
        assert not finder.found

"""What callers get of answers that come before the upload is read."""

from __future__ import annotations

import pytest

from tests.earlyendpoints import (
    EVENTS,
    LARGE_BYTES,
    PART,
    SERVICES,
    SMALL_BYTES,
    EarlyEndpoint,
    Ending,
    Upload,
    play_upload,
)
from tests.test_cut_answers import body_that_looks_whole, status_of

PATHS = ("/safe/", "/once/", "/tell/", "/talk/")
SIZES_BYTES = (SMALL_BYTES, LARGE_BYTES)


def an_endpoint(ending: Ending, path: str) -> EarlyEndpoint:
    part = EVENTS if path in SERVICES else PART
    return EarlyEndpoint(ending, part=part)


class EarlyAnswerSuite:
    # Guards against a part of an answer that looks whole though its
    # connection was reset while the upload was being written.
    @pytest.mark.parametrize("kept", [False, True])
    @pytest.mark.parametrize("chunked", [False, True])
    @pytest.mark.parametrize("size_bytes", SIZES_BYTES)
    @pytest.mark.parametrize("ending", [Ending.RESET, Ending.LATER_RESET])
    @pytest.mark.parametrize("path", PATHS)
    async def test_a_reset_amid_an_upload(
        self,
        path: str,
        ending: Ending,
        size_bytes: int,
        chunked: bool,
        kept: bool,
    ) -> None:
        endpoint = an_endpoint(ending, path)
        upload = Upload(path, size_bytes, chunked, kept)
        data = await play_upload(endpoint, upload)
        assert body_that_looks_whole(data) is None
        assert endpoint.uploads_after[0] == int(kept)
        assert path in SERVICES or status_of(data) == b"502"

    # Guards against the same where the endpoint closed in order before it
    # had got the request, of which the kernel kept the rest.
    @pytest.mark.parametrize("kept", [False, True])
    @pytest.mark.parametrize(
        "ending", [Ending.HALF_CLOSE, Ending.HALF_CLOSE_RESET]
    )
    @pytest.mark.parametrize("path", PATHS)
    async def test_a_close_before_the_upload_was_taken(
        self, path: str, ending: Ending, kept: bool
    ) -> None:
        endpoint = an_endpoint(ending, path)
        data = await play_upload(endpoint, Upload(path, kept=kept))
        assert body_that_looks_whole(data) is None
        assert endpoint.uploads_after[0] == int(kept)
        assert path in SERVICES or status_of(data) == b"502"

    # Guards against a request that is held until its deadline though its
    # endpoint closed in order, took no more of it, and can answer no more.
    @pytest.mark.parametrize(
        "framing",
        [
            b"Connection: close\r\n",
            b"Content-Length: 7000\r\n",
            b"Transfer-Encoding: chunked\r\n",
        ],
    )
    @pytest.mark.parametrize("path", ["/safe/", "/once/"])
    async def test_a_close_while_the_upload_is_written(
        self, path: str, framing: bytes
    ) -> None:
        part = b"4\r\npart\r\n"
        endpoint = EarlyEndpoint(Ending.HALF_CLOSE, framing, part)
        data = await play_upload(endpoint, Upload(path, LARGE_BYTES))
        assert status_of(data) == b"502"
        repeated = len(endpoint.uploads_after) > 1
        assert repeated == (path == "/safe/")

    # Guards against the loss of an answer that came early and is whole, as
    # its endpoint took the rest of the upload before it closed.
    @pytest.mark.parametrize("kept", [False, True])
    @pytest.mark.parametrize("path", PATHS)
    async def test_an_early_answer_that_is_whole(
        self, path: str, kept: bool
    ) -> None:
        endpoint = an_endpoint(Ending.READ_AND_CLOSE, path)
        data = await play_upload(endpoint, Upload(path, kept=kept))
        assert body_that_looks_whole(data) == endpoint.part
        assert endpoint.uploads_after[0] == int(kept)

"""What the agent makes of answers that come before the upload is read."""

from __future__ import annotations

import pytest

from bulrushstream.state.event import RunBody, RunEnd
from bulrushstream.transport.endpoint import EndpointRunner, RunnerOptions
from tests.builders import a_dispatch
from tests.earlyendpoints import (
    LARGE_BYTES,
    PART,
    SMALL_BYTES,
    EarlyEndpoint,
    Ending,
)


async def run_upload(
    endpoint: EarlyEndpoint, size_bytes: int, model: bool
) -> tuple[bytes, RunEnd]:
    """Run one upload; return what came of the body, and the end."""
    await endpoint.start()
    url = f"http://127.0.0.1:{endpoint.port}"
    runner = EndpointRunner(RunnerOptions(url, model))
    upload = a_dispatch(b"u" * size_bytes, path="/x", timeout_ms=4000)
    try:
        events = [event async for event in runner.run(upload)]
    finally:
        await runner.close()
        endpoint.close()
    body = b"".join(e.data for e in events if isinstance(e, RunBody))
    assert isinstance(events[-1], RunEnd)
    return body, events[-1]


@pytest.mark.parametrize("model", [False, True])
class EarlyRunSuite:
    # Guards against a part of an answer that counts as complete though its
    # connection was reset while the upload was being written.
    @pytest.mark.parametrize("size_bytes", [SMALL_BYTES, LARGE_BYTES])
    @pytest.mark.parametrize("ending", [Ending.RESET, Ending.LATER_RESET])
    async def test_a_reset_amid_an_upload(
        self, ending: Ending, size_bytes: int, model: bool
    ) -> None:
        endpoint = EarlyEndpoint(ending)
        _, end = await run_upload(endpoint, size_bytes, model)
        assert (end.complete, end.started) == (False, True)
        assert endpoint.uploads_after == [0]

    # Guards against the same where the endpoint closed in order before it
    # had got the request, and lives on.
    @pytest.mark.parametrize(
        "ending", [Ending.HALF_CLOSE, Ending.HALF_CLOSE_RESET]
    )
    async def test_a_close_before_the_upload_was_taken(
        self, ending: Ending, model: bool
    ) -> None:
        body, end = await run_upload(EarlyEndpoint(ending), SMALL_BYTES, model)
        assert body == PART
        assert (end.complete, end.started) == (False, True)

    # Guards against the loss of an answer that came early and is whole.
    async def test_an_early_answer_that_is_whole(self, model: bool) -> None:
        endpoint = EarlyEndpoint(Ending.READ_AND_CLOSE)
        body, end = await run_upload(endpoint, SMALL_BYTES, model)
        assert body == PART
        assert end.complete

"""A worker fails part of its requests with a status that promises too much.

Its health check is good.  It runs these requests and answers 503 or 429
without `X-Not-Executed`, so it does not say that they have not run.
"""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path
from typing import Final

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common2"))
from smallfleet import (
    Fleet,
    Got,
    Worker,
    head,
    route,
    run_case,
    serve_soundly,
)

WORKERS, GREY_SHARE = 7, 0.45  # One of seven workers: a share of 0.14.
PER_S, LENGTH_S = 30, 6
PROMISES: Final = (408, 421, 429, 503)


async def play(fleet: Fleet, trouble: bool) -> list[str]:
    """Play the case; return the breaches."""
    fleet.routes = [route("/book/", "non_idempotent")]
    breaches = []

    async def serve_grey(
        worker: Worker, got: Got, writer: asyncio.StreamWriter
    ) -> bool:
        if not trouble or random.random() >= GREY_SHARE:
            return await serve_soundly(worker, got, writer)
        status = random.choice((503, 429))
        worker.ran(got, f"and answers {status} without X-Not-Executed")
        await asyncio.sleep(0.02)
        body = b"the database timed out after the booking was made"
        writer.write(head(status, got, length=len(body)) + body)
        await writer.drain()
        return True

    async def book(number: int) -> None:
        request_id = f"q{number}"
        answer = await random.choice(fleet.routers).send(
            "POST",
            "/book/x",
            request_id=request_id,
            key="key-1",
            headers=[("X-Deadline-Ms", "3000")],
            body=b"one hall",
        )
        ran = sum(each.runs.get(request_id, 0) for each in fleet.workers)
        fleet.record(f"{request_id} got {answer}, it ran {ran} times")
        if answer.status in PROMISES and ran:
            breaches.append(
                f"REFUSED: {request_id} is not idempotent, ran {ran} times "
                f"and was answered {answer.status}"
            )

    fleet.workers = [
        Worker(fleet, f"i-{n}", serve_soundly if n else serve_grey)
        for n in range(WORKERS)
    ]
    await fleet.start()
    await asyncio.sleep(1)
    tasks = []
    for number in range(PER_S * LENGTH_S):
        tasks.append(asyncio.create_task(book(number)))
        await asyncio.sleep(1 / PER_S)
    await asyncio.gather(*tasks)
    return breaches


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play, routers=2))

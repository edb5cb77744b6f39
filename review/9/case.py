"""Whole streams that end before their limit are broken off, around SIGHUP.

A model worker writes up to the limit of output tokens that its caller names,
but one stream in fifty ends earlier, as models do.  It ends in good framing,
and the worker is sound.  One router gets SIGHUP as its settings file changes.
"""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from collections import Counter
from pathlib import Path
from typing import Final

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common2"))
from smallfleet import Fleet, Got, Router, Worker, head, route, run_case

ROUTERS: Final = 2
EVENTS, SHORT_EVERY = 40, 50
EVENT_S: Final = 0.01
PER_S, LEARN_S, LENGTH_S = 20.0, 8.0, 30.0  # Requests are for each router.
HUP_EVERY_S: Final = 4.0
CONFIG_APPLY_S: Final = 2.0  # `configApplyMs`


def events_of(request_id: str, count: int) -> list[bytes]:
    """Return the events of a stream."""
    return [
        b"id: %d\ndata: %b token %d\n\n" % (n, request_id.encode(), n)
        for n in range(1, count + 1)
    ]


def count_of(request_id: str) -> int:
    """Return how many events a stream has."""
    number = int(request_id.split("-")[1])
    if number % SHORT_EVERY:
        return EVENTS
    return 10 + number // SHORT_EVERY % 20


async def generate(
    worker: Worker, got: Got, writer: asyncio.StreamWriter
) -> bool:
    """Write a stream in chunks, to its end."""
    worker.ran(got, f"with {count_of(got.id)} events")
    extra = [
        ("Content-Type", "text/event-stream"),
        ("Transfer-Encoding", "chunked"),
    ]
    writer.write(head(200, got, extra=extra))
    for event in events_of(got.id, count_of(got.id)):
        writer.write(b"%x\r\n%b\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(EVENT_S)
    writer.write(b"0\r\n\r\n")
    await writer.drain()
    return True


class Callers:
    """The requests, and what became of them."""

    def __init__(self, fleet: Fleet) -> None:
        """Begin.

        :param fleet: the fleet
        """
        self._fleet = fleet
        self.hups: dict[str, list[float]] = {}  # By router; when.
        self.seen: Counter[str] = Counter()
        self.breaches: list[str] = []

    async def ask(self, router: Router, number: int) -> None:
        """Send a request, and look at its answer."""
        request_id = f"q{router.number}-{number}"
        sent_s = time.monotonic()
        answer = await router.send(
            "POST",
            "/draft/x",
            request_id=request_id,
            key="key-1",
            headers=[
                ("X-Deadline-Ms", "3000"),
                ("X-Model", "m"),
                ("X-Token-Counts", f"100,{3 * EVENTS}"),
                ("X-Prompt-Prefix", f"{number + 1:x}:100"),
            ],
            body=b"draft",
            timeout_s=4.0,
        )
        length = "short" if count_of(request_id) < EVENTS else "usual"
        result = "whole" if answer.complete else "cut"
        self.seen[f"{length} {answer.status} {result}"] += 1
        ran = any(request_id in each.runs for each in self._fleet.workers)
        whole_body = b"".join(events_of(request_id, count_of(request_id)))
        self._fleet.record(
            f"{request_id} got {answer}, all events: "
            f"{answer.body == whole_body}"
        )
        if answer.complete or not ran:
            return
        for hup_s in self.hups.get(router.name, ()):
            if 0 <= sent_s - hup_s <= CONFIG_APPLY_S:
                self.breaches.append(
                    f"LOST: {request_id}, sent {sent_s - hup_s:.2f} s after "
                    f"a SIGHUP of {router.name}, ran to its end with "
                    f"{count_of(request_id)} events and was cut: {answer}"
                )

    async def keep_asking(self, router: Router) -> None:
        """Send requests to one router."""
        began_s, number = time.monotonic(), 0
        tasks: set[asyncio.Task[None]] = set()
        while time.monotonic() - began_s < LENGTH_S:
            number += 1
            task = asyncio.create_task(self.ask(router, number))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(1 / PER_S)
        await asyncio.gather(*tasks)

    async def change_settings(self, router: Router) -> None:
        """Change the settings file of a router again and again."""
        await asyncio.sleep(LEARN_S)
        while True:
            settings = self._fleet.folder / f"{router.name}.toml"
            text = settings.read_text(encoding="utf-8")
            slack = "55" if "retrySlack = 54" in text else "54"
            other = {"54": "55", "55": "54"}[slack]
            changed = text.replace(
                f"retrySlack = {other}", f"retrySlack = {slack}"
            )
            settings.write_text(changed, encoding="utf-8")
            assert router.process is not None
            router.process.send_signal(signal.SIGHUP)
            self.hups.setdefault(router.name, []).append(time.monotonic())
            self._fleet.record(f"{router.name} gets SIGHUP")
            await asyncio.sleep(HUP_EVERY_S)


async def play(fleet: Fleet, trouble: bool) -> list[str]:
    """Play the case; return the breaches."""
    fleet.routes = [route("/draft/", "streaming")]
    fleet.workers = [
        Worker(fleet, f"i-{n}", generate, slots=64) for n in range(3)
    ]
    await fleet.start()
    await asyncio.sleep(1)
    callers = Callers(fleet)
    if trouble:
        fleet.spawn(callers.change_settings(fleet.routers[0]))
    await asyncio.gather(*map(callers.keep_asking, fleet.routers))
    for what, count in sorted(callers.seen.items()):
        fleet.record(f"{what}: {count}")
    return callers.breaches


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play, routers=ROUTERS))

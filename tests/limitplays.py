"""Plays of real routers at their limits: clocks, memory and cut links.

`python -m tests.limitplays --kind KIND --seed N` plays one.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import socket
import sys
import tempfile
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Final

from tests.eventshapes import Shape
from tests.limitedrouter import SHIFT_VARIABLE, SQUEEZE_VARIABLE
from tests.processsoak import Soak
from tests.soakendpoints import (
    HOST_IP,
    READ_BYTES,
    Behaviour,
    Endpoint,
    Proxy,
)
from tests.soakrouters import RouterProcess

SHIFTS_S: Final = (-2.4, -2.4, 0.0, 2.4, -60.0)
# How long callers wait before they go on at another router, shorter than
# routers freeze.
PATIENCE_S: Final = 1.2
HOLDS_S: Final = (0.3, 1.0, 3.0, 5.0)  # Of a link in one direction.

# Makes the C library get larger pieces of memory from the kernel each time.
UNCACHED: Final = {
    "MALLOC_MMAP_THRESHOLD_": "4096",
    "MALLOC_MMAP_MAX_": "1000000",
}

# Of streams of large events to callers that read slowly.
LONG_STREAMS: Final = Behaviour(
    shape=Shape(padding_bytes=4_000, padded_step=1),
    events=100,
    pauses_s=(0.0,),
)
SOCKET_BYTES: Final = 8_192
LONG_PER_S: Final = 15.0
READ_PAUSE_S: Final = 0.01  # Before each piece of an answer.

_Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


@dataclass(slots=True, eq=False)
class ClockPlay(Soak):
    """Clocks of routers and endpoints are set back and ahead."""

    def prepare_routers(self) -> None:
        """Let each router read how far its time of day is shifted."""
        # An endpoint's process tells an earlier start than the one before.
        self.born_step = -1
        for router in self.routers:
            path = self.folder / f"{router.ip}.shift"
            path.write_text("0", encoding="ascii")
            router.program = "tests/limitedrouter.py"
            router.environment = {SHIFT_VARIABLE: str(path)}

    async def _disturb(self, router: RouterProcess) -> None:
        step = asyncio.create_task(self._set_clock(router))
        try:
            # Not `super()`: the class is made anew for its slots.
            await Soak._disturb(self, router)
        finally:
            step.cancel()

    async def _set_clock(self, router: RouterProcess) -> None:
        rng = Random(f"{self.seed} clock {router.ip}")
        path = Path(router.environment[SHIFT_VARIABLE])
        while True:
            await asyncio.sleep(rng.uniform(0.2, 3.0))
            await asyncio.to_thread(_write, path, str(rng.choice(SHIFTS_S)))


def _write(path: Path, text: str) -> None:
    """Replace a file at once."""
    new = path.with_suffix(".new")
    new.write_text(text, encoding="ascii")
    new.replace(path)


@dataclass(slots=True, eq=False)
class HoldingProxy(Proxy):
    """A proxy that holds what comes in one direction for a while."""

    rng: Random = field(default_factory=Random)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        tasks: list[asyncio.Task[None]] = []
        try:
            inner = await asyncio.open_connection(HOST_IP, self.endpoint.port)
            for source, to in ((reader, inner[1]), (inner[0], writer)):
                work = self._pass_on(source, to)
                tasks.append(asyncio.create_task(work))
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            inner[1].close()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            for each in tasks:
                each.cancel()
            self._tasks.discard(task)
            writer.close()

    async def _pass_on(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                if self.rng.random() < 0.02:
                    await asyncio.sleep(self.rng.choice(HOLDS_S))
                writer.write(data)
                await writer.drain()


@dataclass(slots=True, eq=False)
class CutPlay(Soak):
    """Links to endpoints are cut in one direction, and routers freeze."""

    async def _start_endpoint(self, name: str) -> None:
        endpoint = Endpoint(name, self._born, self.runs)
        await endpoint.start()
        proxy = HoldingProxy(endpoint, rng=Random(f"{self.seed} {name}"))
        await proxy.start()
        self.proxies.append(proxy)
        self.store.put("keyed.servers", name, proxy.entry)


@dataclass(slots=True, eq=False)
class MemoryPlay(Soak):
    """Routers have too little memory for what their callers do not read."""

    def prepare_routers(self) -> None:
        """Let the routers run out of memory at times."""
        for router in self.routers:
            router.program = "tests/limitedrouter.py"
            seed = f"{self.seed} {router.ip}"
            router.environment = {SQUEEZE_VARIABLE: seed, **UNCACHED}

    async def _connect(
        self, router: RouterProcess, pauses: bool
    ) -> _Connection:
        del pauses  # All of them read slowly.
        sock = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BYTES)
        loop = asyncio.get_running_loop()
        try:
            await loop.sock_connect(sock, (router.ip, router.first_port))
        except OSError:
            sock.close()
            raise
        connection = await asyncio.open_connection(
            sock=sock, limit=SOCKET_BYTES
        )
        read = connection[0].readexactly

        async def read_later(n: int) -> bytes:
            await asyncio.sleep(READ_PAUSE_S)
            return await read(n)

        connection[0].readexactly = read_later  # type: ignore[method-assign]
        return connection


async def play_limits(kind: str, seed: int, folder: Path) -> Soak:
    """Play a seed and return what came of it.

    :param kind: what limits the routers: "clock", "cut" or "memory"
    :param seed: draws the faults and the callers
    :param folder: for the routers' settings and logs
    """
    if kind == "memory":
        soak: Soak = MemoryPlay(
            seed, folder, LONG_STREAMS, streams_per_s=LONG_PER_S
        )
    elif kind == "clock":
        soak = ClockPlay(seed, folder, Behaviour())
    else:
        soak = CutPlay(seed, folder, Behaviour(), limit_s=PATIENCE_S)
    await soak.play()
    return soak


def main() -> int:
    """Play one seed; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--kind", required=True)
    options = parser.parse_args()
    folder = Path(tempfile.mkdtemp(prefix=f"{options.kind}-"))
    soak = asyncio.run(play_limits(options.kind, options.seed, folder))
    print(options.kind, soak.summary)
    return 1 if soak.wrong else 0


if __name__ == "__main__":
    sys.exit(main())

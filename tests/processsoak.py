"""Random faults around streams of real routers, and callers who judge them.

`python -m tests.processsoak --seed N --count 50` plays seeds, a line each.
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import signal
import sys
import tempfile
from collections.abc import Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any, Final

from bulrushstream.standins.keyedlog import KeyedLog
from tests.deployments import HOST, KEY, wire_config, wire_route
from tests.eventshapes import Shape
from tests.soakcallers import Connection, read_body
from tests.soakendpoints import (
    READ_BYTES,
    SPOILINGS,
    Behaviour,
    Endpoint,
    Proxy,
    Runs,
    encode_head,
    read_head,
)
from tests.soakrouters import RouterProcess, free_ports
from tests.spoilings import Spoiling
from tests.streamjudge import Answer, find_crossing, judge

ROUTERS: Final = 3
ENDPOINTS: Final = 5
STREAMS_PER_S: Final = 40.0
PLAY_S: Final = 15.0
LIMIT_S: Final = 8.0
PAUSE_S: Final = 1.5  # How long some callers do not read.
SETTLE_S: Final = 1.5  # Until routers know the endpoints.


@dataclass(slots=True, eq=False)
class Soak:
    """One play."""

    seed: int
    folder: Path
    behaviour: Behaviour
    pausing_share: float = 0.0  # Of the callers.
    streams_per_s: float = STREAMS_PER_S
    limit_s: float = LIMIT_S  # How long a caller waits for an answer.
    router_count: int = ROUTERS
    streams: int = 0
    taken_up: int = 0  # Requests that go on with a stream.
    whole: int = 0
    wrong: list[str] = field(default_factory=list)
    errors: list[str] = field(default_factory=list)  # Of disturbances.
    store: KeyedLog = field(init=False)
    runs: Runs = field(init=False)
    proxies: list[Proxy] = field(default_factory=list)
    routers: list[RouterProcess] = field(default_factory=list)
    born_step: int = 1  # Between the starts of an endpoint's processes.
    _version: int = 0
    _born: int = 1_000
    _starting: list[asyncio.Task[None]] = field(default_factory=list)
    # Open connections of callers, by their router's address.
    _kept: dict[str, list[Connection]] = field(default_factory=dict)

    @property
    def summary(self) -> str:
        """Return what came of it, in one line."""
        spoiled = self.runs.spoiled
        kinds = ", ".join(f"{k} {n}" for k, n in spoiled.counts.items())
        found = ", ".join(f"{k} {n}" for k, n in spoiled.undetectable.items())
        return (
            f"seed {self.seed}: {self.streams} streams, {self.whole} whole,"
            f" {len(self.wrong)} wrong {self.wrong[:5]},"
            f" undetectable: {found or 0}, spoiled: {kinds or 0},"
            f" logs in {self.folder}"
        )

    async def play(self) -> None:
        """Start the fleet, disturb it, and judge its callers' answers."""
        loop = asyncio.get_running_loop()
        self.store = KeyedLog(loop.time)
        self.runs = Runs(self.seed, self.behaviour)
        await self.store.start()
        self._configure()
        ips = [
            f"127.0.0.{number}" for number in range(2, 2 + self.router_count)
        ]
        port = free_ports(ips)
        for number in range(ENDPOINTS):
            await self._start_endpoint(f"e-{number}")
        self.routers = [
            RouterProcess(
                ip, port, ips, await self.store_port_for(ip), self.folder
            )
            for ip in ips
        ]
        self.prepare_routers()
        disturbing: list[asyncio.Task[None]] = []
        try:
            for router in self.routers:
                await router.start(bootstrap=True)
            for router in self.routers:
                await router.wait_until_ready()
            await asyncio.sleep(SETTLE_S)
            disturbing = [
                asyncio.create_task(each) for each in self.disturbances()
            ]
            await self._ask_all()
        finally:
            for task in disturbing:
                task.cancel()
            ended = await asyncio.gather(
                *disturbing, *self._starting, return_exceptions=True
            )
            self.errors += [repr(e) for e in ended if isinstance(e, Exception)]
            for router in self.routers:
                await router.end()
            for _, writer in itertools.chain(*self._kept.values()):
                writer.transport.abort()
            for proxy in self.proxies:
                proxy.endpoint.end()
                proxy.stop()
            await self.store.stop()
            await asyncio.sleep(0.1)  # Transports end in the loop.

    # --- Faults.

    def prepare_routers(self) -> None:
        """Do nothing: plays may change how their routers are started."""

    async def store_port_for(self, ip: str) -> int:
        """Return the port at which a router calls the store.

        :param ip: the router's address
        """
        return self.store.port

    def disturbances(self) -> list[Coroutine[Any, Any, None]]:
        """Return what goes on during the play."""
        work = [self._end_endpoints(), self._change_configuration()]
        return work + [self._disturb(router) for router in self.routers[1:]]

    def _configure(self) -> None:
        """Write the next version of the configuration."""
        self._version += 1
        routes = [
            wire_route(
                prefix,
                "llm",
                "streaming",
                timeoutMs=6000,
                maxAttempts=tries,
                resumable=tries > 1,
                sessionAffinity=True,
                gapTargetMs=250,
            )
            for prefix, tries in (("/talk/", 3), ("/tell/", 1))
        ]
        more = wire_route(f"/more{self._version}/", "desk", "idempotent")
        config = wire_config(*routes, more, version=self._version)
        self.store.put("keyed.op", "config", config)

    async def _start_endpoint(self, name: str) -> None:
        endpoint = Endpoint(name, self._born, self.runs)
        await endpoint.start()
        proxy = Proxy(endpoint)
        await proxy.start()
        self.proxies.append(proxy)
        self.store.put("keyed.servers", name, proxy.entry)

    async def _end_endpoints(self) -> None:
        """End processes of endpoints; start them again, behind a proxy."""
        rng = Random(f"{self.seed} endpoints")
        while True:
            await asyncio.sleep(rng.uniform(0.4, 2.0))
            proxy = rng.choice(self.proxies[: ENDPOINTS // 2 + 1])
            ended = proxy.endpoint
            ended.end()
            self._born += self.born_step
            name = ended.name
            if rng.random() < 0.5:
                name = f"e-{self._born}-new"
                self.store.put("keyed.servers", ended.name, b"")
            await asyncio.sleep(rng.choice((0.0, rng.uniform(0.0, 0.5))))
            # The end of the play may cancel its start.
            endpoint = Endpoint(name, self._born, self.runs)
            await endpoint.start()
            proxy.endpoint = endpoint
            self.store.put("keyed.servers", name, proxy.entry)

    async def _change_configuration(self) -> None:
        rng = Random(f"{self.seed} configuration")
        while True:
            await asyncio.sleep(rng.uniform(1.0, 4.0))
            self._configure()

    async def _disturb(self, router: RouterProcess) -> None:
        """Stop, kill and freeze a router, at times during its stop."""
        rng = Random(f"{self.seed} {router.ip}")
        while True:
            await asyncio.sleep(rng.uniform(0.3, 3.0))
            kind = rng.choice(("stop", "kill", "freeze", "stop and freeze"))
            if kind.startswith("stop"):
                router.signal(signal.SIGTERM)
                await asyncio.sleep(rng.uniform(0.0, 1.0))
            if kind.endswith("freeze"):
                router.signal(signal.SIGSTOP)
                await asyncio.sleep(rng.uniform(0.1, 2.0))
                router.signal(signal.SIGCONT)
            if kind == "freeze":
                continue
            if kind == "kill":
                router.signal(signal.SIGKILL)
            assert router.process is not None
            await router.process.wait()
            await asyncio.sleep(rng.uniform(0.0, 0.5))
            start = asyncio.create_task(router.start(bootstrap=False))
            self._starting.append(start)
            await asyncio.shield(start)

    # --- Callers.

    async def _ask_all(self) -> None:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + PLAY_S
        tasks = []
        while loop.time() < end_s:
            self.streams += 1
            tasks.append(asyncio.create_task(self._ask(self.streams)))
            await asyncio.sleep(1 / self.streams_per_s)
        self.whole = sum(await asyncio.gather(*tasks))

    async def _ask(self, number: int) -> bool:
        """Ask for a stream; return whether it was received whole."""
        rng = Random(f"{self.seed} caller {number}")
        resumable = rng.random() < 0.7
        deadline_ms = 6000
        if rng.random() < 0.25:
            deadline_ms = rng.randint(200, 1200)
        first_id = f"q{number}"
        path = f"/{'talk' if resumable else 'tell'}/{number}"
        events: list[tuple[int, int]] = []
        began_by = ""  # The request that brought the first event.
        for attempt in range(3 if resumable else 1):
            headers = {
                "Host": HOST,
                "X-Request-Id": f"{first_id}-{attempt}",
                "X-Model": "m",
                "X-Token-Counts": "60,20",
                "X-Prompt-Prefix": f"a1:40,{number:x}b:20",
                "X-Deadline-Ms": str(deadline_ms),
                "Authorization": f"Bearer {KEY}",
                "Content-Length": "4",
            }
            if attempt and events:
                last_id = self.behaviour.shape.id_of(events[-1][0])
                headers["Last-Event-Id"] = str(last_id)
                headers["Resumes"] = began_by
                self.taken_up += 1
            version = rng.choice(("1.0", "1.1", "1.1"))
            line = f"POST {path} HTTP/{version}"
            router = rng.choice(self.routers)
            request = encode_head(line, headers) + b"text"
            request_id = headers["X-Request-Id"]
            pauses = rng.random() < self.pausing_share
            answer = await self._exchange(
                router, request_id, request, version, pauses
            )
            name = f"{request_id} HTTP/{version} {answer.framing}"
            if answer.status == "200":
                found = judge(
                    name,
                    answer,
                    events,
                    resumable,
                    self.behaviour.length_of(path),
                    self.behaviour.shape,
                )
                if events:
                    began_by = began_by or request_id
                # Whether an end can be checked depends on the load.
                wrong = self.runs.spoiled.blame(
                    request_id, found, resumable, checks_ends=False
                )
                crossing = find_crossing(name, events, self.runs.versions)
                wrong += map(str, crossing)
                self.wrong += wrong
                if wrong:
                    return False
                if answer.complete and not found:
                    self.runs.spoiled.whole_run(self.runs.routers[request_id])
                if answer.complete:
                    return True
            await asyncio.sleep(0.1)
        return False

    async def _connect(
        self, router: RouterProcess, pauses: bool
    ) -> Connection:
        # One that pauses lets little wait in its own buffers.
        return await asyncio.open_connection(
            router.ip,
            router.first_port,
            limit=1024 if pauses else READ_BYTES,
        )

    async def _exchange(
        self,
        router: RouterProcess,
        request_id: str,
        request: bytes,
        version: str,
        pauses: bool,
    ) -> Answer:
        """Send a request, on an open connection if there is one."""
        answer = Answer()
        connection = None
        kept = self._kept.setdefault(router.ip, [])
        try:
            async with asyncio.timeout(self.limit_s):
                if kept and version == "1.1":
                    connection = kept.pop()
                else:
                    connection = await self._connect(router, pauses)
                reader, writer = connection
                assert router.process is not None
                process = f"{router.ip} {router.process.pid}"
                self.runs.routers[request_id] = process
                writer.write(request)
                if pauses:
                    await asyncio.sleep(PAUSE_S)
                head = await read_head(reader)
                if head is not None:
                    answer.status = head[0].split(" ")[1]
                    await read_body(reader, head[1], answer)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            pass
        if connection is None:
            return answer
        if answer.complete and answer.framing != "close":
            kept.append(connection)
        else:
            connection[1].transport.abort()
        return answer


async def play_soak(
    seed: int, folder: Path, behaviour: Behaviour, pausing_share: float = 0.0
) -> Soak:
    """Play a seed and return what came of it.

    :param seed: draws the faults and the callers
    :param folder: for the routers' settings and logs
    :param behaviour: what endpoints do
    :param pausing_share: the share of callers that stop reading for a while
    """
    soak = Soak(seed, folder, behaviour, pausing_share)
    await soak.play()
    return soak


def main() -> int:
    """Play seeds with all faults; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--count", type=int, default=1)
    parser.add_argument(
        "--spoilings", nargs="*", type=Spoiling, default=SPOILINGS
    )
    parser.add_argument("--varies", action="store_true")
    options = parser.parse_args()
    behaviour = Behaviour(
        spoilings=tuple(options.spoilings),
        hang_share=0.1,
        shape=Shape(padding_bytes=10_000),
        varies=options.varies,
    )
    wrong = 0
    for seed in range(options.seed, options.seed + options.count):
        folder = Path(tempfile.mkdtemp(prefix="soak-"))
        soak = asyncio.run(play_soak(seed, folder, behaviour, 0.1))
        print(soak.summary, flush=True)
        wrong += len(soak.wrong)
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())

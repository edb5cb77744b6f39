"""Releases of endpoints while routers are out of step; callers judge versions.

Endpoints end and come back with another software version, under their ids or
under new ones.  Meanwhile routers stand still, are restarted, and can not
read the endpoint list.  `python -m tests.releasesoak --seed N --count 50`
plays seeds of both kinds, a line each.
"""

from __future__ import annotations

import argparse
import asyncio
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Coroutine
from dataclasses import dataclass, field
from enum import StrEnum
from pathlib import Path
from random import Random
from typing import Any, Final

from bulrushstream.standins.keyedlog import StoreFaults
from tests.processsoak import ENDPOINTS, Soak
from tests.soakendpoints import Behaviour, Endpoint, Proxy
from tests.soakrouters import RouterProcess

ROUTERS: Final = 4
VERSIONS: Final = ("v1", "v2")
ODD_SHARE: Final = 0.2  # Of the processes that are not of the release.
# Streams last as long as some pauses, and break off often.
BEHAVIOUR: Final = Behaviour(
    events=40, pauses_s=(0.0, 0.02, 0.06), hang_share=0.02, reset_share=0.1
)


class Return(StrEnum):
    """How endpoints come back."""

    SAME_ID = "same id"
    NEW_ID = "new id"


@dataclass(slots=True, eq=False)
class ReleaseSoak(Soak):
    """One play of releases."""

    returns: Return = Return.SAME_ID
    lag_s: float = 0.0  # Until a process is listed, at most.
    # How often each kind of fault happened.
    faults: Counter[str] = field(default_factory=Counter)
    _store_faults: dict[str, StoreFaults] = field(default_factory=dict)
    _replaced: set[str] = field(default_factory=set)  # Ids that are away.

    @property
    def refuses(self) -> bool:
        """Return whether the store refuses calls of routers."""
        return Random(f"{self.seed} store").random() < 0.5

    @property
    def closes(self) -> bool:
        """Return whether addresses are closed without their processes."""
        return Random(f"{self.seed} addresses").random() < 0.5

    @property
    def refused_calls(self) -> int:
        """Return how many calls the store refused."""
        return sum(each.refused for each in self._store_faults.values())

    @property
    def summary(self) -> str:
        """Return what came of it, in one line."""
        counts = ", ".join(f"{n} {k}" for k, n in sorted(self.faults.items()))
        return (
            f"seed {self.seed}, {self.returns}"
            f"{', addresses are closed' if self.closes else ''}:"
            f" {self.streams} streams, {self.taken_up} taken up,"
            f" {self.whole} whole, {len(self.wrong)} wrong {self.wrong[:8]};"
            f" {counts}, {self.refused_calls} refused calls,"
            f" errors {self.errors}; logs in {self.folder}"
        )

    async def store_port_for(self, ip: str) -> int:
        """Return the port at which a router calls the store.

        :param ip: the router's address
        """
        faults = self._store_faults.setdefault(ip, StoreFaults())
        return await self.store.listen(faults)

    def disturbances(self) -> list[Coroutine[Any, Any, None]]:
        """Return what goes on during the play."""
        work = [self._release(), self._change_configuration()]
        work += [self._disturb(router) for router in self.routers[1:]]
        return [*work, self._refuse_calls()] if self.refuses else work

    def _note(self, kind: str, of: str) -> None:
        """Count a fault, and write it down with the time of routers' logs.

        :param kind: the fault's
        :param of: the endpoint or router
        """
        self.faults[kind] += 1
        path = self.folder / "faults.txt"
        with path.open("a", encoding="utf-8") as notes:
            notes.write(f"{time.time():.3f} {kind} {of}\n")

    async def _release(self) -> None:
        """Replace endpoints in series, mostly by those of one version."""
        rng = Random(f"{self.seed} release")
        version = VERSIONS[-1]
        while True:
            await asyncio.sleep(rng.uniform(0.4, 2.5))
            if rng.random() < 0.4:
                version = rng.choice(VERSIONS)
            # One is never replaced.
            numbers = rng.sample(range(ENDPOINTS - 1), rng.randint(1, 4))
            for number in numbers:
                chosen = version
                if rng.random() < ODD_SHARE:
                    chosen = rng.choice(VERSIONS)
                back_s = rng.choice((0.0, rng.uniform(0.0, 2.0)))
                listed_s = rng.uniform(0.0, self.lag_s)
                replacing = self._replace(number, chosen, back_s, listed_s)
                self._starting.append(asyncio.create_task(replacing))
                await asyncio.sleep(rng.uniform(0.0, 0.5))

    async def _replace(
        self, number: int, version: str, back_s: float, listed_s: float
    ) -> None:
        """End an endpoint's process and start another one.

        :param number: the endpoint's
        :param version: of the next process
        :param back_s: until it starts
        :param listed_s: from then on until it is listed
        """
        proxy = self.proxies[number]
        ended = proxy.endpoint
        if ended.name in self._replaced:
            return
        self._replaced.add(ended.name)
        self._note(f"to {version}", ended.name)
        ended.end()
        if self.closes:
            proxy.stop()
        name = ended.name
        if self.returns is Return.NEW_ID:
            self.store.put("keyed.servers", name, b"")
        await asyncio.sleep(back_s)
        self._born += self.born_step
        if self.returns is Return.NEW_ID:
            name = f"e-{number}-{self._born}"
        endpoint = Endpoint(name, self._born, self.runs, version=version)
        await endpoint.start()
        if self.returns is Return.NEW_ID:
            # Its address is new, too; all proxies are stopped at the end.
            self.proxies.append(proxy)
            self.proxies[number] = Proxy(endpoint)
        proxy = self.proxies[number]
        proxy.endpoint = endpoint
        if self.closes or self.returns is Return.NEW_ID:
            await proxy.start()
        self._note(f"{version} starts", name)
        await asyncio.sleep(listed_s)
        self.store.put("keyed.servers", name, proxy.entry)
        self._replaced.discard(ended.name)

    async def _disturb(self, router: RouterProcess) -> None:
        """Let a router stand still or restart it, in series."""
        rng = Random(f"{self.seed} {router.ip}")
        while True:
            await asyncio.sleep(rng.uniform(0.3, 3.0))
            for _ in range(rng.randint(1, 2)):
                kind = rng.choice(("pause", "pause", "pause", "kill", "stop"))
                self._note(kind, router.ip)
                if kind == "pause":
                    router.signal(signal.SIGSTOP)
                    await asyncio.sleep(rng.uniform(0.2, 3.0))
                    router.signal(signal.SIGCONT)
                    self._note("pause ends", router.ip)
                else:
                    await self._restart(router, kind, rng)
                await asyncio.sleep(rng.uniform(0.0, 0.5))

    async def _restart(
        self, router: RouterProcess, kind: str, rng: Random
    ) -> None:
        assert router.process is not None
        stops = kind == "stop"
        router.signal(signal.SIGTERM if stops else signal.SIGKILL)
        await router.process.wait()
        await asyncio.sleep(rng.uniform(0.0, 0.5))
        start = asyncio.create_task(router.start(bootstrap=False))
        self._starting.append(start)
        await asyncio.shield(start)

    async def _refuse_calls(self) -> None:
        """Let the store refuse one router's calls for some seconds."""
        rng = Random(f"{self.seed} refusals")
        while True:
            await asyncio.sleep(rng.uniform(0.2, 2.0))
            ip = rng.choice(self.routers[1:]).ip
            faults = self._store_faults[ip]
            faults.refuse_status = 503
            self._note("store refuses", ip)
            await asyncio.sleep(rng.uniform(1.0, 4.0))
            faults.refuse_status = 0
            self._note("store answers", ip)


async def play_releases(
    seed: int, folder: Path, returns: Return, lag_s: float = 0.0
) -> ReleaseSoak:
    """Play a seed and return what came of it.

    :param seed: draws the faults and the callers
    :param folder: for the routers' settings and logs
    :param returns: how endpoints come back
    :param lag_s: how late a process is listed at most
    """
    soak = ReleaseSoak(
        seed,
        folder,
        BEHAVIOUR,
        router_count=ROUTERS,
        returns=returns,
        lag_s=lag_s,
    )
    await soak.play()
    return soak


def main() -> int:
    """Play seeds, alternately of both kinds; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--count", type=int, default=1)
    parser.add_argument("--returns", type=Return, choices=list(Return))
    parser.add_argument("--lag-s", type=float, default=0.0)
    options = parser.parse_args()
    wrong = 0
    for seed in range(options.seed, options.seed + options.count):
        returns = options.returns or list(Return)[seed % 2]
        folder = Path(tempfile.mkdtemp(prefix="releases-"))
        play = play_releases(seed, folder, returns, options.lag_s)
        soak = asyncio.run(play)
        print(soak.summary, flush=True)
        wrong += len(soak.wrong)
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())

"""Routers as processes of their own, each with its own loopback address."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import socket
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Final

ROOT: Final = Path(__file__).parents[1]
PORTS: Final = 8  # Caller, readiness and control ports, and a range of five.
READY_S: Final = 20.0  # How long a start may take.
SETTINGS: Final = """nodeName = "{name}"
role = "router"
machineClass = "front"
serves = ["front", "control"]
ip = "{ip}"
zone = "z"
region = "akl"
portRange = [{range_first}, {range_last}]
seedNodes = [{seeds}]
bootstrap = {bootstrap}
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = 1200
[zones]
z = "akl"
[listenAddrs]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpuShare = 0.8
cpuCores = 1
memoryMb = 150
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[contractBounds]
seedStalenessS = 3
addrReuseS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 6
lossSlackMs = 200
configApplyMs = 2000
downgradeSlackMs = 250
maxStretchMs = 5000
strictRevoke = true
revokeMs = 5000
retryBudgetRatio = 0.2
retryWindowS = 10
retrySlack = 54
recoveryS = 12
passMs = 120
retryAfterS = 8.5
quotaWindowS = 4
[platform]
address = "127.0.0.1:{store}"
form = "log"
writesPerS = 400
readsPerS = 2000
parts = 8
appendMs = 4.0
partMbPerS = 20.0
readMbPerS = 80.0
recordBytes = 262144
callBytes = 2097152
keep_s = 300
partMb = 200
ttlMinMs = 1000
"""


def free_ports(hosts: list[str]) -> int:
    """Return the first of some ports in a row that are free on all hosts.

    :param hosts: the hosts' addresses
    """
    while True:
        # Below those from which the kernel draws.
        first = random.randrange(20_000, 30_000)
        sockets = []
        try:
            for host in hosts:
                for port in range(first, first + PORTS):
                    sockets.append(socket.socket())
                    sockets[-1].bind((host, port))
        except OSError:
            continue
        finally:
            for each in sockets:
                each.close()
        return first


@dataclass(slots=True, eq=False)
class RouterProcess:
    """One router."""

    ip: str
    first_port: int  # Of those that all routers use.
    seeds: list[str]  # Addresses of routers to ask for the others.
    store_port: int
    folder: Path  # For its settings and its log.
    program: str = "deploy/router.py"
    environment: dict[str, str] = field(default_factory=dict)
    process: asyncio.subprocess.Process | None = None

    async def start(self, *, bootstrap: bool) -> None:
        """Start the process.

        :param bootstrap: whether the fleet starts with it
        """
        port = self.first_port
        path = self.folder / f"{self.ip}.toml"
        text = SETTINGS.format(
            name=f"front-{self.ip.rpartition('.')[2]}",
            ip=self.ip,
            front=port,
            ready=port + 1,
            control=port + 2,
            range_first=port + 3,
            range_last=port + PORTS - 1,
            seeds=",".join(f'"{ip}:{port + 2}"' for ip in self.seeds),
            bootstrap=str(bootstrap).lower(),
            store=self.store_port,
        )
        path.write_text(text, encoding="utf-8")
        with (self.folder / f"{self.ip}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                self.program,
                cwd=ROOT,
                env={
                    **os.environ,
                    **self.environment,
                    "BULRUSHSTREAM_NODE_FILE": str(path),
                },
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def wait_until_ready(self) -> None:
        """Wait until it says that it is ready."""
        async with asyncio.timeout(READY_S):
            while not await self._is_ready():
                await asyncio.sleep(0.1)

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(
                self.ip, self.first_port + 1
            )
        except OSError:
            return False
        writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: a\r\n\r\n")
        try:
            return b" 200 " in await reader.readline()
        except OSError:
            return False
        finally:
            writer.close()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs.

        :param number: the signal
        """
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

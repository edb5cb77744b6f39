"""`bulrushstream demo`: a complete fleet in one process, to try out."""

from __future__ import annotations

import asyncio
import random
import signal
from collections import Counter
from dataclasses import dataclass, field
from importlib import resources
from typing import Final

import httpx
from absl import logging as absl_logging

from bulrushstream.local import client as calls
from bulrushstream.local.client import Verdict
from bulrushstream.local.fleet import LocalFleet, run_fleet
from bulrushstream.local.plan import LocalPlan, LocalService
from bulrushstream.logs import start_logging
from bulrushstream.rulefile import read_rules
from bulrushstream.standins.engine import EngineOptions
from bulrushstream.standins.plain import PlainOptions
from bulrushstream.state.config import FleetConfig, ServiceKind

PARALLEL_REQUESTS: Final = 16
REQUEST_TIMEOUT_S: Final = 60.0
PROGRESS_EVERY: Final = 25
TOKEN_PREFIX: Final = "demo-"

KINDS: Final = ("chat", "chat-streamed", "look-up", "job-ticket")


@dataclass(slots=True)
class Tally:
    """Results of the requests that the demo sent."""

    ok: Counter[str] = field(default_factory=Counter)  # By kind.
    failed: Counter[str] = field(default_factory=Counter)  # By kind.
    problems: list[str] = field(default_factory=list)  # One per failure.

    def add(self, kind: str, verdict: Verdict) -> None:
        """Count one answer.

        :param kind: the kind of request
        :param verdict: the caller's check of the answer
        """
        (self.ok if verdict.ok else self.failed)[kind] += 1
        if not verdict.ok:
            self.problems.append(f"{kind}: {verdict.problem}")

    @property
    def total(self) -> int:
        """Return how many answers were counted."""
        return self.ok.total() + self.failed.total()


def demo_config() -> FleetConfig:
    """Return the demo's configuration, which is part of the package."""
    source = resources.files("bulrushstream.local") / "demo-rules.json"
    return read_rules(source.read_text(), "demo-rules.json").ok


def demo_plan(port: int = 0) -> LocalPlan:
    """Return the plan of the demo's fleet.

    :param port: the first router's port for callers; the second router uses
        the next one; 0: free ports
    """
    engine = EngineOptions(
        models=("proofwriter",), first_token_s=0.02, token_s=0.005
    )
    return LocalPlan(
        config=demo_config(),
        services=(
            LocalService("proofwriter", ServiceKind.MODEL, 2, engine=engine),
            LocalService(
                "floordesk",
                ServiceKind.PLAIN,
                1,
                plain=PlainOptions(call_s=0.01),
            ),
        ),
        routers=2,
        caller_ports=(port, port + 1) if port else (),
    )


def demo(requests: int = 0, port: int = 0, seed: int = 1) -> int:
    """Run a complete fleet on this machine, with platform stand-ins.

    :param requests: send this many mixed requests, print the results and
        stop; 0: run until interrupted
    :param port: the first router's port for callers; 0: a free one
    :param seed: the seed for choosing requests
    :returns: the exit code: 0 only if every answer was complete
    """
    start_logging(absl_logging.ERROR)
    return asyncio.run(_demo(requests, port, seed))


async def _demo(requests: int, port: int, seed: int) -> int:
    """Run the fleet; send the requests or, without any, wait for a signal."""
    async with run_fleet(demo_plan(port)) as fleet:
        print(_start_text(fleet))
        if not requests:
            await _until_interrupted()
            return 0
        tally = await _send_requests(fleet, requests, random.Random(seed))
        print(_summary(tally))
        return 0 if tally.total == requests and not tally.failed else 1


def _start_text(fleet: LocalFleet) -> str:
    """Return the addresses and example calls."""
    urls = [router.server.url for router in fleet.routers.values()]
    token = f"{TOKEN_PREFIX}{fleet.plan.config.workspaces[0].name}"
    command = f"curl -sN -H 'Authorization: Bearer {token}'"
    chat = (
        '{"model": "proofwriter", "max_tokens": 24, "messages": '
        '[{"role": "user", "content": "Draft a proof note."}]'
    )
    lines = [
        *(f"router for callers   {url}" for url in urls),
        f"log                  {fleet.log_server.url}",
        f"instance list        {fleet.instance_list_server.url}",
        *(
            f"endpoint {name:11} {endpoint.server.url}"
            for name, endpoint in fleet.endpoints.items()
        ),
        "",
        "A model call:",
        f"  {command} {urls[0]}/v1/chat/completions -d '{chat}}}'",
        "A streamed model call:",
        f"  {command} {urls[0]}/v1/chat/completions"
        f" -d '{chat}, \"stream\": true}}'",
        "A call of a plain service:",
        f"  {command} {urls[-1]}/services/floordesk/stock/mug-blue",
        "",
    ]
    return "\n".join(lines)


async def _until_interrupted() -> None:
    """Wait for SIGINT or SIGTERM."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stopped.set)
    print("Press Ctrl-C to stop.", flush=True)
    await stopped.wait()


async def _send_requests(
    fleet: LocalFleet, count: int, rng: random.Random
) -> Tally:
    """Send mixed requests with limited concurrency and count the answers."""
    tally = Tally()
    semaphore = asyncio.Semaphore(PARALLEL_REQUESTS)
    limits = httpx.Limits(max_connections=PARALLEL_REQUESTS)
    async with httpx.AsyncClient(
        timeout=REQUEST_TIMEOUT_S, limits=limits
    ) as client:

        async def send_counted(number: int, kind: str) -> None:
            async with semaphore:
                verdict = await _send_one(fleet, client, number, kind)
            tally.add(kind, verdict)
            if tally.total % PROGRESS_EVERY == 0 or tally.total == count:
                print(f"{tally.total}/{count} answered", flush=True)

        async with asyncio.TaskGroup() as group:
            for number in range(count):
                group.create_task(send_counted(number, rng.choice(KINDS)))
    return tally


async def _send_one(
    fleet: LocalFleet, client: httpx.AsyncClient, number: int, kind: str
) -> Verdict:
    """Send one request; routers and workspaces are used in rotation."""
    urls = [router.server.url for router in fleet.routers.values()]
    url = urls[number % len(urls)]
    workspaces = fleet.plan.config.workspaces
    token = f"{TOKEN_PREFIX}{workspaces[number % len(workspaces)].name}"
    if kind.startswith("chat"):
        return await calls.chat(
            client,
            url,
            token,
            f"Request {number}: draft a proof note.",
            model="proofwriter",
            stream=kind == "chat-streamed",
        )
    if kind == "look-up":
        return await calls.call_service(
            client, url, token, method="GET", path=f"floordesk/job/{number}"
        )
    return await calls.call_service(
        client,
        url,
        token,
        method="POST",
        path="floordesk/tickets",
        body=f"ticket {number}".encode(),
    )


def _summary(tally: Tally) -> str:
    """Return a table of results by kind of request."""
    lines = ["", f"{'request':14} {'ok':>6} {'failed':>6}"]
    for kind in KINDS:
        lines.append(f"{kind:14} {tally.ok[kind]:6} {tally.failed[kind]:6}")
    total_ok, total_failed = tally.ok.total(), tally.failed.total()
    lines.append(f"{'all':14} {total_ok:6} {total_failed:6}")
    lines += [f"  {problem}" for problem in tally.problems[:10]]
    return "\n".join(lines)

"""`bulrushstream status` and `bulrushstream quarantine`: look and lift."""

from __future__ import annotations

import asyncio
import sys
from typing import Any, Final

import httpx

from bulrushstream.messages import INSTANCE_UNREACHABLE, LIFT_REFUSED

TIMEOUT_S: Final = 3.0
UNREACHABLE_EXIT: Final = 1

STATUS_COLUMNS: Final = (
    "instance",
    "role",
    "availability_zone",
    "config_version",
    "drain",
    "peers",
)


def status(operators: str) -> int:
    """Show what instances say of themselves, and the fleet's version.

    :param operators: operators' addresses of instances, with a comma
        between
    :returns: the exit code: 0 only if every instance answered
    """
    urls = [url for url in operators.split(",") if url]
    answers = asyncio.run(_get_all(urls))
    found = [answer["common"] for answer in answers if answer is not None]
    print("  ".join(f"{name:>18}" for name in STATUS_COLUMNS))
    for common in sorted(found, key=lambda each: str(each["instance"])):
        print("  ".join(f"{common[name]!s:>18}" for name in STATUS_COLUMNS))
        for use in common["degraded"]:
            print(f"    degraded: {use['use']}: {use['effect']}")
    if found:
        highest = max(common["highest_version"] for common in found)
        print(f"version of the fleet: {highest}")
    return _silent(urls, answers)


def quarantine_list(operators: str) -> int:
    """List requests that have crashed endpoints.

    :param operators: operators' addresses of routers, with a comma between
    :returns: the exit code: 0 only if every router answered
    """
    urls = [url for url in operators.split(",") if url]
    answers = asyncio.run(_post_all(urls, "quarantine", ""))
    print(f"{'fingerprint':16}  strikes  refused  ends in s")
    held = {
        each["fingerprint"]: each
        for answer in answers
        for each in answer or ()
    }
    for name, each in sorted(held.items()):
        print(
            f"{name:16}  {each['strikes']:7}  {each['refused']!s:7}"
            f"  {each['ends_s']:9.0f}"
        )
    return _silent(urls, answers)


def quarantine_lift(fingerprint: str, operators: str) -> int:
    """Lift the quarantine of requests, in the whole fleet.

    :param fingerprint: as `quarantine list` shows it
    :param operators: operators' addresses of routers, with a comma
        between; one is enough, as routers tell each other
    :returns: the exit code: 0 only if every router named took it
    """
    urls = [url for url in operators.split(",") if url]
    answers = asyncio.run(_post_all(urls, "pardon", fingerprint))
    for url, answer in zip(urls, answers, strict=True):
        if answer is None:
            print(LIFT_REFUSED.format(url=url), file=sys.stderr)
    return UNREACHABLE_EXIT if None in answers else 0


def _silent(urls: list[str], answers: list[Any]) -> int:
    """Name the instances that did not answer; return the exit code."""
    for url, answer in zip(urls, answers, strict=True):
        if answer is None:
            print(INSTANCE_UNREACHABLE.format(url=url), file=sys.stderr)
    return UNREACHABLE_EXIT if None in answers else 0


async def _get_all(urls: list[str]) -> list[Any]:
    """Return each instance's status; None for one that is silent."""
    async with httpx.AsyncClient(timeout=TIMEOUT_S) as client:
        calls = [_json(client.get(f"{url}/status")) for url in urls]
        return await asyncio.gather(*calls)


async def _post_all(urls: list[str], action: str, body: str) -> list[Any]:
    """Return each instance's answer to an action; None for a refusal."""
    async with httpx.AsyncClient(timeout=TIMEOUT_S) as client:
        calls = [
            _json(client.post(f"{url}/actions/{action}", content=body))
            for url in urls
        ]
        return await asyncio.gather(*calls)


async def _json(call: Any) -> Any:
    """Return the JSON of a good answer, or None."""
    try:
        answer: httpx.Response = await call
    except (httpx.HTTPError, httpx.InvalidURL):
        return None
    return answer.json() if answer.is_success else None

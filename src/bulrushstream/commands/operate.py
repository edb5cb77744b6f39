"""`bulrushstream status`, `suspects`, `where` and `quarantine`."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Any, Final

import httpx

from bulrushstream.messages import (
    INSTANCE_UNREACHABLE,
    LIFT_REFUSED,
    UNREADABLE,
)
from bulrushstream.state.excess import Excess, PeerKind
from bulrushstream.transport.fetch import Fetcher, FetchLimits

LIMITS: Final = FetchLimits(timeout_s=3.0, body_bytes=8 * 2**20)
UNREACHABLE_EXIT: Final = 1
BAD_REQUEST: Final = 400

STATUS_COLUMNS: Final = (
    "instance",
    "role",
    "availability_zone",
    "config_version",
    "drain",
    "peers",
)


def status(operators: str) -> int:
    """Show the status of instances and the fleet's rule list version.

    :param operators: operator addresses of instances, comma-separated
    :returns: the exit code: 0 only if every instance answered
    """
    urls = [url for url in operators.split(",") if url]
    answers = asyncio.run(_get_all(urls, "status"))
    statuses = [answer["common"] for answer in answers if answer is not None]
    print("  ".join(f"{name:>18}" for name in STATUS_COLUMNS))
    for common in sorted(statuses, key=lambda each: str(each["instance"])):
        print("  ".join(f"{common[name]!s:>18}" for name in STATUS_COLUMNS))
        for use in common["degraded"]:
            print(f"    degraded: {use['use']}: {use['effect']}")
    if statuses:
        highest = max(common["highest_version"] for common in statuses)
        print(f"version of the fleet: {highest}")
    return _report_unanswered(urls, answers)


def suspects(routers: str, clear: str = "") -> int:
    """List what may crash endpoints, and the limits that endpoints name.

    This is for front-end routers on a platform; see also `quarantine list`.

    :param routers: addresses of routers' metrics, comma-separated
    :param clear: a suspect whose crashes no longer count from now on, such
        as "part 5c1e07a2"; routers tell each other
    :returns: the exit code: 0 only if every router answered, and knew the
        suspect
    """
    urls = [url for url in routers.split(",") if url]
    if clear:
        return _report_refused(
            urls, asyncio.run(_post_all(urls, "clear", clear))
        )
    answers = asyncio.run(_get_all(urls, "suspects"))
    for url, answer in zip(urls, answers, strict=True):
        if answer is None:
            continue
        print(url)
        for each in answer["suspects"]:
            state = "refused" if each["refused"] else "suspected"
            print(
                f"  {each['kind']:8}{each['name']:20}  {state:9}"
                f"  {each['strikes']:3} crashes"
                f"  {','.join(each['endpoints'])}"
                f"  explained by {','.join(each['explained_by']) or 'itself'}"
            )
        for each in answer["limits"]:
            print(
                f"  limit   {each['endpoint']:20}  {each['per_s']:g} a second"
                f"  share {each['share']:.2f}"
            )
    return _report_unanswered(urls, answers)


def where(routers: str, request: str) -> int:
    """Explain where a request would go now; it is not sent.

    This is for front-end routers on a platform.

    :param routers: addresses of routers' metrics, comma-separated
    :param request: a JSON file with the request's method, host, path and
        headers, as its caller would send them, and its body if that matters
    :returns: the exit code: 0 only if every router answered
    """
    try:
        body = Path(request).read_bytes()
    except OSError as error:
        print(UNREADABLE.format(why=error.strerror), file=sys.stderr)
        return UNREACHABLE_EXIT
    urls = [url for url in routers.split(",") if url]
    calls = [f"{url}/where" for url in urls]
    answers = asyncio.run(_call_all("POST", calls, body, BAD_REQUEST))
    faults = 0
    for url, answer in zip(urls, answers, strict=True):
        if answer is None:
            continue
        if "error" in answer:
            faults += 1
            print(f"{url}: {answer['error']}", file=sys.stderr)
            continue
        print(url)
        print("\n".join(f"  {line}" for line in _describe_where(answer)))
    return _report_unanswered(urls, answers) or min(1, faults)


def _describe_where(answer: Any) -> list[str]:
    """Return lines that tell where a request would go, and why."""
    if answer["sent"]:
        decision = f"sent to {answer['endpoint']}: {answer['reason']}"
    else:
        decision = f"refused, {answer['code']}: {answer['reason']}"
        if answer["wait_s"]:
            decision += f"; room in {answer['wait_s']:.3f} s"
    lines = [
        decision,
        f"route {answer['route'] or '-'}  service {answer['service'] or '-'}"
        f"  workspace {answer['workspace'] or '-'}"
        f"  share used {answer['share_used']:.2f}",
    ]
    lines += [f"note: {note}" for note in answer["notes"]]
    for each in answer["endpoints"]:
        mark = "*" if each["endpoint"] == answer["endpoint"] else " "
        line = (
            f"{mark} {each['endpoint']:20}  {each['zone']:8}"
            f"  {each['version']:8}  {each['requests']:4} requests"
            f"  speed {each['speed']:.2f}"
        )
        if each["prediction"] is not None:
            line += "  wait {wait_s:.3f} s  prefill {prefill_s:.3f} s".format(
                **each["prediction"]
            )
            line += f"  cached {each['prediction']['cached_tokens']}"
        if each["prefers"]:
            line += f"  prefers {each['prefers']}"
        lines.append(f"{line}  {'; '.join(each['excluded']) or 'candidate'}")
    return lines


def quarantine_list(operators: str) -> int:
    """List quarantined requests, which have crashed endpoints.

    :param operators: operator addresses of routers, comma-separated
    :returns: the exit code: 0 only if every router answered
    """
    urls = [url for url in operators.split(",") if url]
    answers = asyncio.run(_post_all(urls, "quarantine", ""))
    print(f"{'fingerprint':16}  strikes  refused  ends in s")
    quarantined = {
        each["fingerprint"]: each
        for answer in answers
        for each in answer or ()
    }
    for name, each in sorted(quarantined.items()):
        print(
            f"{name:16}  {each['strikes']:7}  {each['refused']!s:7}"
            f"  {each['ends_s']:9.0f}"
        )
    return _report_unanswered(urls, answers)


def quarantine_lift(fingerprint: str, operators: str) -> int:
    """Lift the quarantine of a request fingerprint in the whole fleet.

    :param fingerprint: as `quarantine list` shows it
    :param operators: operator addresses of routers, comma-separated; one
        is enough, as routers notify each other
    :returns: the exit code: 0 only if every named router accepted it
    """
    urls = [url for url in operators.split(",") if url]
    return _report_refused(
        urls, asyncio.run(_post_all(urls, "pardon", fingerprint))
    )


def _report_refused(urls: list[str], answers: list[Any]) -> int:
    """Print the addresses that lifted nothing; return the exit code."""
    for url, answer in zip(urls, answers, strict=True):
        if answer is None:
            print(LIFT_REFUSED.format(url=url), file=sys.stderr)
    return UNREACHABLE_EXIT if None in answers else 0


def _report_unanswered(urls: list[str], answers: list[Any]) -> int:
    """Print the addresses that did not answer; return the exit code."""
    for url, answer in zip(urls, answers, strict=True):
        if answer is None:
            print(INSTANCE_UNREACHABLE.format(url=url), file=sys.stderr)
    return UNREACHABLE_EXIT if None in answers else 0


async def _get_all(urls: list[str], document: str) -> list[Any]:
    """Return a document of each instance; None if it did not answer."""
    return await _call_all("GET", [f"{url}/{document}" for url in urls])


async def _post_all(urls: list[str], action: str, body: str) -> list[Any]:
    """Return each instance's answer to an action; None if it failed."""
    calls = [f"{url}/actions/{action}" for url in urls]
    return await _call_all("POST", calls, body.encode())


async def _call_all(
    method: str,
    urls: list[str],
    body: bytes | None = None,
    also_accepted: int = 200,
) -> list[Any]:
    """Return the JSON of each response; None if the call failed.

    :param also_accepted: a status whose JSON is returned, too
    """
    async with httpx.AsyncClient(timeout=LIMITS.timeout_s) as client:
        fetcher = Fetcher(client, PeerKind.ROUTER, _warn)
        return await asyncio.gather(
            *(_call(fetcher, method, url, body, also_accepted) for url in urls)
        )


async def _call(
    fetcher: Fetcher,
    method: str,
    url: str,
    body: bytes | None,
    also_accepted: int,
) -> Any:
    """Return the JSON of an accepted response, or None."""
    try:
        answer = await fetcher.fetch(method, url, LIMITS, content=body)
        accepted = answer.is_success or answer.status_code == also_accepted
        return answer.json() if accepted else None
    except (httpx.HTTPError, httpx.InvalidURL, TimeoutError, ValueError):
        return None


def _warn(excess: Excess) -> None:
    """Print who answered too much."""
    print(excess, file=sys.stderr)

"""A test client that verifies its answers.

The stand-ins derive every answer from its request, so the client can check
that an answer belongs to its request and is complete.
"""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass
from typing import Final

import httpx

from bulrushstream.standins.answer import expected_text
from bulrushstream.transport.fetch import FetchLimits, read_whole

TRUNCATED: Final = "[truncated]"
LIMITS: Final = FetchLimits(timeout_s=300.0, body_bytes=64 * 2**20)
EXECUTION_HEADER: Final = "bulrushstream-execution"


@dataclass(frozen=True, slots=True)
class Verdict:
    """The result of verifying one answer."""

    ok: bool  # Whether the answer is correct and complete.
    status: int  # The HTTP status; 0: no answer.
    outcome: str  # The execution outcome header, if any.
    problem: str  # Why it is not ok; empty: it is.
    code: str = ""  # The error code of a refusal.


async def chat(
    client: httpx.AsyncClient,
    base_url: str,
    token: str,
    message: str,
    *,
    model: str,
    stream: bool = False,
    max_tokens: int = 16,
) -> Verdict:
    """Make one model call and verify its answer.

    :param client: the HTTP client
    :param base_url: a router's address for callers
    :param token: the workspace's bearer token
    :param message: the user's message
    :param model: the model's name
    :param stream: whether to request a streamed answer
    :param max_tokens: the limit of tokens to request
    """
    body = {
        "model": model,
        "messages": [{"role": "user", "content": message}],
        "max_tokens": max_tokens,
        "stream": stream,
    }
    request = client.build_request(
        "POST",
        f"{base_url}/v1/chat/completions",
        json=body,
        headers={"Authorization": f"Bearer {token}"},
    )
    answer = await _fetch(client, request)
    if isinstance(answer, Verdict):
        return answer
    if answer.status_code != 200:
        return _refusal(answer)
    text = _stream_text(answer.text) if stream else _json_text(answer.text)
    expected = expected_text(message, max_tokens)
    problem = "" if text == expected else f"got {text!r}, not {expected!r}"
    return _verdict(answer, problem)


async def call_service(
    client: httpx.AsyncClient,
    base_url: str,
    token: str,
    *,
    method: str,
    path: str,
    body: bytes = b"",
    key: str = "",
) -> Verdict:
    """Call a plain service, which echoes the body, and verify the answer.

    :param client: the HTTP client
    :param base_url: a router's address for callers
    :param token: the workspace's bearer token
    :param method: the HTTP method
    :param path: the path under ``/services/``
    :param body: the body
    :param key: an Idempotency-Key; empty: none
    """
    headers = {"Authorization": f"Bearer {token}"}
    if key:
        headers["Idempotency-Key"] = key
    request = client.build_request(
        method,
        f"{base_url}/services/{path}",
        content=body,
        headers=headers,
    )
    answer = await _fetch(client, request)
    if isinstance(answer, Verdict):
        return answer
    if answer.status_code != 200:
        return _refusal(answer)
    problem = "" if answer.content == body else f"got {answer.content!r}"
    return _verdict(answer, problem)


async def _fetch(
    client: httpx.AsyncClient, request: httpx.Request
) -> httpx.Response | Verdict:
    """Return the complete answer, or the verdict if it failed or broke."""
    try:
        answer = await client.send(request, stream=True)
    except httpx.HTTPError as error:
        return Verdict(False, 0, "", f"{type(error).__name__}: {error}")
    try:
        async with asyncio.timeout(LIMITS.timeout_s):
            return await read_whole(answer, LIMITS.body_bytes)
    except (httpx.HTTPError, TimeoutError) as error:
        problem = f"{TRUNCATED}: {type(error).__name__}: {error}"
        return Verdict(False, answer.status_code, "", problem)
    finally:
        await answer.aclose()


def _verdict(answer: httpx.Response, problem: str) -> Verdict:
    """Return the verdict on an answer with status 200."""
    outcome = answer.headers.get(EXECUTION_HEADER, "")
    return Verdict(not problem, answer.status_code, outcome, problem)


def _refusal(answer: httpx.Response) -> Verdict:
    """Return the verdict on an answer with another status."""
    outcome = answer.headers.get(EXECUTION_HEADER, "")
    code = ""
    if "problem+json" in answer.headers.get("content-type", ""):
        code = str(answer.json().get("code", ""))
    problem = f"status {answer.status_code} {code}"
    return Verdict(False, answer.status_code, outcome, problem, code)


def _json_text(body: str) -> str:
    """Return the text of a JSON answer."""
    return str(json.loads(body)["choices"][0]["message"]["content"])


def _stream_text(body: str) -> str:
    """Return a streamed answer's text, with a mark if it is incomplete."""
    tokens = []
    complete = False
    for line in body.split("\n"):
        if line == "data: [DONE]":
            complete = True
        elif line.startswith("data: "):
            choices = json.loads(line[6:]).get("choices") or [{}]
            tokens.append(choices[0].get("delta", {}).get("content") or "")
    return "".join(tokens) + ("" if complete else f" {TRUNCATED}")

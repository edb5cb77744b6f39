"""A caller that checks its answers.

The stand-ins derive every answer from its request, so a caller can tell
whether an answer is its own and whole.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Final

import httpx

from bulrushstream.standins.answer import expected_text

TRUNCATED: Final = "[truncated]"
EXECUTION_HEADER: Final = "bulrushstream-execution"


@dataclass(frozen=True, slots=True)
class Verdict:
    """What a caller makes of one answer."""

    ok: bool  # Whether the answer is its own and whole.
    status: int  # The HTTP status; 0: no answer came.
    outcome: str  # What the answer says of the execution.
    why: str  # What is wrong with it; empty: nothing.
    code: str = ""  # A refusal's stable code.


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
    """Make one model call and check its answer.

    :param client: the HTTP client
    :param base_url: a router's address for callers
    :param token: the workspace's bearer token
    :param message: the user's message
    :param model: the model's name
    :param stream: whether to ask for a streamed answer
    :param max_tokens: the most tokens to ask for
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
    wanted = expected_text(message, max_tokens)
    why = "" if text == wanted else f"got {text!r}, not {wanted!r}"
    return _verdict(answer, why)


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
    """Call a plain service, which echoes the body, and check the answer.

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
    why = "" if answer.content == body else f"got {answer.content!r}"
    return _verdict(answer, why)


async def _fetch(
    client: httpx.AsyncClient, request: httpx.Request
) -> httpx.Response | Verdict:
    """Return the whole answer, or the verdict if none came or it broke."""
    try:
        answer = await client.send(request, stream=True)
    except httpx.HTTPError as error:
        return Verdict(False, 0, "", f"{type(error).__name__}: {error}")
    try:
        await answer.aread()
    except httpx.HTTPError as error:
        why = f"{TRUNCATED}: {type(error).__name__}: {error}"
        return Verdict(False, answer.status_code, "", why)
    finally:
        await answer.aclose()
    return answer


def _verdict(answer: httpx.Response, why: str) -> Verdict:
    """Return what a caller makes of an answer with status 200."""
    outcome = answer.headers.get(EXECUTION_HEADER, "")
    return Verdict(not why, answer.status_code, outcome, why)


def _refusal(answer: httpx.Response) -> Verdict:
    """Return what a caller makes of a refusal."""
    outcome = answer.headers.get(EXECUTION_HEADER, "")
    code = ""
    if "problem+json" in answer.headers.get("content-type", ""):
        code = str(answer.json().get("code", ""))
    why = f"status {answer.status_code} {code}"
    return Verdict(False, answer.status_code, outcome, why, code)


def _json_text(body: str) -> str:
    """Return the text of an answer that came as JSON."""
    return str(json.loads(body)["choices"][0]["message"]["content"])


def _stream_text(body: str) -> str:
    """Return the text of a streamed answer; a broken one has a mark."""
    pieces = []
    whole = False
    for line in body.split("\n"):
        if line == "data: [DONE]":
            whole = True
        elif line.startswith("data: "):
            choices = json.loads(line[6:]).get("choices") or [{}]
            pieces.append(choices[0].get("delta", {}).get("content") or "")
    return "".join(pieces) + ("" if whole else f" {TRUNCATED}")

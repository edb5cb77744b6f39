"""A caller that sends a request and checks that the answer belongs to it.

The stand-ins derive each answer from its request (see
`bulrushstream.standins.answer`), so a caller can detect the answer to
another request and a truncated answer that is marked as complete.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, Final

import httpx
import msgspec

from bulrushstream.load.plan import Arrival
from bulrushstream.load.scenario import (
    CLASS_HEADER,
    Scenario,
    bearer_token,
    find_service,
)
from bulrushstream.standins.answer import expected_text
from bulrushstream.state.config import ServiceKind
from bulrushstream.state.request import RequestClass
from bulrushstream.transport.fetch import FetchLimits, read_whole

EXECUTION_HEADER: Final = "bulrushstream-execution"
EXECUTION_COMMENT: Final = ": bulrushstream-execution "
DATA_PREFIX: Final = "data: "
DONE: Final = "[DONE]"
LIMITS: Final = FetchLimits(timeout_s=3600.0, body_bytes=64 * 2**20)


class Verdict(StrEnum):
    """The result of a caller's check of an answer."""

    WHOLE = "whole"  # Complete and derived from the request.
    REFUSED = "refused"  # A problem document.
    TRUNCATED = "truncated"  # Recognizably incomplete.
    WRONG = "wrong"  # Marked as complete, but not the expected content.
    LOST = "lost"  # No answer was received.


@dataclass(slots=True)
class CallResult:
    """One request and its result."""

    arrival: Arrival  # The request.
    verdict: Verdict = Verdict.LOST
    status: int = 0  # The HTTP status; 0: no answer was received.
    outcome: str = ""  # The execution outcome that the answer states.
    code: str = ""  # The stable code of a problem document.
    first_s: float = 0.0  # From the request to the first bytes.
    total_s: float = 0.0  # From the request to the end.
    gaps_s: list[float] = field(default_factory=list)  # Between tokens.

    @property
    def extra_s(self) -> float:
        """Return the time beyond that of an otherwise idle endpoint."""
        return max(self.total_s - self.arrival.unloaded_s, 0.0)


class _Chunk(msgspec.Struct, frozen=True):
    """One event of a streamed answer."""

    choices: list[dict[str, Any]]  # Only the first one is read.


_CHUNK_DECODER: Final = msgspec.json.Decoder(_Chunk)


async def call(
    client: httpx.AsyncClient, scenario: Scenario, arrival: Arrival
) -> CallResult:
    """Send one request and check its answer.

    :param client: A client of the arrival's router.
    :param scenario: The scenario.
    :param arrival: The request.
    :returns: The result.
    """
    result = CallResult(arrival)
    service = find_service(scenario, arrival.flow.service)
    model = service.kind is ServiceKind.MODEL
    request = (
        _chat_request(client, service.model, arrival)
        if model
        else _plain_request(client, arrival)
    )
    started_s = time.perf_counter()
    try:
        answer = await client.send(request, stream=True)
        try:
            async with asyncio.timeout(LIMITS.timeout_s):
                await _read_answer(answer, result, model, started_s)
        finally:
            await answer.aclose()
    except (httpx.HTTPError, TimeoutError):
        answered = result.status
        result.verdict = Verdict.TRUNCATED if answered else Verdict.LOST
    result.total_s = time.perf_counter() - started_s
    return result


def user_message(arrival: Arrival) -> str:
    """Return the message from which stand-ins derive the answer.

    :param arrival: The request.
    :returns: The last user message.
    """
    return f"{arrival.nonce} [tokens={arrival.tokens}]"


def _chat_request(
    client: httpx.AsyncClient, model: str, arrival: Arrival
) -> httpx.Request:
    """Build the request for a chat completion."""
    flow = arrival.flow
    phrase = f"{arrival.workspace} brief {arrival.prompt} "
    prefix = (phrase * (flow.prompt_chars // len(phrase) + 1))[
        : flow.prompt_chars
    ]
    messages = [
        {"role": "system", "content": prefix},
        {"role": "user", "content": user_message(arrival)},
    ]
    body = {"model": model, "messages": messages, "stream": flow.stream}
    return client.build_request(
        "POST",
        "/v1/chat/completions",
        content=msgspec.json.encode(body),
        headers=_headers(arrival),
    )


def _plain_request(
    client: httpx.AsyncClient, arrival: Arrival
) -> httpx.Request:
    """Build the request for a plain service."""
    return client.build_request(
        "GET" if arrival.flow.idempotent else "POST",
        f"/services/{arrival.flow.service}/jobs/{arrival.nonce}",
        content=arrival.nonce.encode(),
        headers=_headers(arrival),
    )


def _headers(arrival: Arrival) -> dict[str, str]:
    """Return a request's headers."""
    interactive = arrival.flow.interactive
    kind = RequestClass.INTERACTIVE if interactive else RequestClass.BATCH
    headers = {
        "authorization": f"Bearer {bearer_token(arrival.workspace)}",
        CLASS_HEADER: kind.value,
    }
    if arrival.hint:
        headers["bulrushstream-cost"] = f"{arrival.hint:.3f}"
    return headers


async def _read_answer(
    answer: httpx.Response, result: CallResult, model: bool, started_s: float
) -> None:
    """Read an answer and set the verdict."""
    result.status = answer.status_code
    result.outcome = answer.headers.get(EXECUTION_HEADER, "")
    kind = answer.headers.get("content-type", "")
    if kind.startswith("text/event-stream"):
        await _read_events(answer, result, started_s)
        return
    body = (await read_whole(answer, LIMITS.body_bytes)).content
    result.first_s = time.perf_counter() - started_s
    if kind.startswith("application/problem+json"):
        problem = msgspec.json.decode(body, type=dict[str, Any])
        result.code = str(problem.get("code", ""))
        result.verdict = Verdict.REFUSED
        return
    if model:
        matches = _json_text(body) == expected_text(
            user_message(result.arrival)
        )
    else:
        matches = body == result.arrival.nonce.encode()
    result.verdict = Verdict.WHOLE if matches else Verdict.WRONG


async def _read_events(
    answer: httpx.Response, result: CallResult, started_s: float
) -> None:
    """Read a streamed answer and set the verdict."""
    texts: list[str] = []
    done = False
    last_s = 0.0
    async for line in answer.aiter_lines():
        if line.startswith(EXECUTION_COMMENT):
            result.outcome = line.removeprefix(EXECUTION_COMMENT)
        if not line.startswith(DATA_PREFIX):
            continue
        now_s = time.perf_counter() - started_s
        if not result.first_s:
            result.first_s = now_s
        else:
            result.gaps_s.append(now_s - last_s)
        last_s = now_s
        data = line.removeprefix(DATA_PREFIX)
        if data == DONE:
            done = True
            result.gaps_s.pop()
        else:
            texts.append(_delta(data))
    text = "".join(texts)
    matches = text == expected_text(user_message(result.arrival))
    if not done:
        result.verdict = Verdict.TRUNCATED
    else:
        result.verdict = Verdict.WHOLE if matches else Verdict.WRONG


def _delta(data: str) -> str:
    """Return the text of one event; empty for an error event."""
    try:
        choices = _CHUNK_DECODER.decode(data).choices
    except msgspec.DecodeError:
        return ""
    delta = choices[0].get("delta", {}) if choices else {}
    return str(delta.get("content", ""))


def _json_text(body: bytes) -> str:
    """Return the text of an unstreamed answer; empty if invalid."""
    try:
        answer = msgspec.json.decode(body)
        return str(answer["choices"][0]["message"]["content"])
    except (msgspec.DecodeError, LookupError, TypeError):
        return ""

"""One caller: it sends a request and checks that the answer is its own.

The stand-ins derive each answer from its request (see
`bulrushstream.standins.answer`), so a caller can tell another's answer,
or a truncated one that claims to be whole, from its own.
"""

from __future__ import annotations

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
    service_of,
    token_of,
)
from bulrushstream.standins.answer import expected_text
from bulrushstream.state.config import ServiceKind
from bulrushstream.state.request import RequestClass

EXECUTION_HEADER: Final = "bulrushstream-execution"
EXECUTION_COMMENT: Final = ": bulrushstream-execution "
DATA_PREFIX: Final = "data: "
DONE: Final = "[DONE]"


class Verdict(StrEnum):
    """What a caller makes of an answer."""

    WHOLE = "whole"  # Its own and whole.
    REFUSED = "refused"  # A problem document came instead.
    TRUNCATED = "truncated"  # It can be told that the answer is not whole.
    WRONG = "wrong"  # It claims to be whole and own, and is not.
    LOST = "lost"  # No answer came at all.


@dataclass(slots=True)
class CallResult:
    """One request and what came of it."""

    arrival: Arrival  # The request.
    verdict: Verdict = Verdict.LOST  # What the caller made of it.
    status: int = 0  # The HTTP status; 0: none came.
    outcome: str = ""  # What it says of the execution.
    code: str = ""  # A refusal's stable code.
    first_s: float = 0.0  # From the request to the first bytes.
    total_s: float = 0.0  # From the request to the end.
    gaps_s: list[float] = field(default_factory=list)  # Between tokens.

    @property
    def waited_s(self) -> float:
        """Return the time beyond what its endpoint takes alone."""
        return max(self.total_s - self.arrival.alone_s, 0.0)


class _Chunk(msgspec.Struct, frozen=True):
    """One event of a streamed answer."""

    choices: list[dict[str, Any]]  # The first one counts.


_CHUNK_DECODER: Final = msgspec.json.Decoder(_Chunk)


async def call(
    client: httpx.AsyncClient, scenario: Scenario, arrival: Arrival
) -> CallResult:
    """Send one request and check its answer.

    :param client: The client of the arrival's router.
    :param scenario: The scenario.
    :param arrival: The request.
    :returns: What came of it.
    """
    result = CallResult(arrival)
    service = service_of(scenario, arrival.flow.service)
    model = service.kind is ServiceKind.MODEL
    request = (
        _chat_request(client, service.model, arrival)
        if model
        else _plain_request(client, arrival)
    )
    began_s = time.perf_counter()
    try:
        answer = await client.send(request, stream=True)
        try:
            await _read(answer, result, model, began_s)
        finally:
            await answer.aclose()
    except httpx.HTTPError:
        seen = result.status
        result.verdict = Verdict.TRUNCATED if seen else Verdict.LOST
    result.total_s = time.perf_counter() - began_s
    return result


def user_message(arrival: Arrival) -> str:
    """Return the message that makes a request's answer its own.

    :param arrival: The request.
    :returns: The last user message.
    """
    return f"{arrival.nonce} [tokens={arrival.tokens}]"


def _chat_request(
    client: httpx.AsyncClient, model: str, arrival: Arrival
) -> httpx.Request:
    """Return a model call."""
    flow = arrival.flow
    name = f"{arrival.workspace} brief {arrival.prompt} "
    brief = (name * (flow.prompt_chars // len(name) + 1))[: flow.prompt_chars]
    messages = [
        {"role": "system", "content": brief},
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
    """Return a call of a plain service."""
    return client.build_request(
        "GET" if arrival.flow.idempotent else "POST",
        f"/services/{arrival.flow.service}/jobs/{arrival.nonce}",
        content=arrival.nonce.encode(),
        headers=_headers(arrival),
    )


def _headers(arrival: Arrival) -> dict[str, str]:
    """Return a request's headers."""
    urgent = arrival.flow.interactive
    kind = RequestClass.INTERACTIVE if urgent else RequestClass.BATCH
    headers = {
        "authorization": f"Bearer {token_of(arrival.workspace)}",
        CLASS_HEADER: kind.value,
    }
    if arrival.hint:
        headers["bulrushstream-cost"] = f"{arrival.hint:.3f}"
    return headers


async def _read(
    answer: httpx.Response, result: CallResult, model: bool, began_s: float
) -> None:
    """Read an answer and judge it."""
    result.status = answer.status_code
    result.outcome = answer.headers.get(EXECUTION_HEADER, "")
    kind = answer.headers.get("content-type", "")
    if kind.startswith("text/event-stream"):
        await _read_events(answer, result, began_s)
        return
    body = await answer.aread()
    result.first_s = time.perf_counter() - began_s
    if kind.startswith("application/problem+json"):
        problem = msgspec.json.decode(body, type=dict[str, Any])
        result.code = str(problem.get("code", ""))
        result.verdict = Verdict.REFUSED
        return
    if model:
        own = _json_text(body) == expected_text(user_message(result.arrival))
    else:
        own = body == result.arrival.nonce.encode()
    result.verdict = Verdict.WHOLE if own else Verdict.WRONG


async def _read_events(
    answer: httpx.Response, result: CallResult, began_s: float
) -> None:
    """Read a stream of events and judge it."""
    pieces: list[str] = []
    done = False
    last_s = 0.0
    async for line in answer.aiter_lines():
        if line.startswith(EXECUTION_COMMENT):
            result.outcome = line.removeprefix(EXECUTION_COMMENT)
        if not line.startswith(DATA_PREFIX):
            continue
        now_s = time.perf_counter() - began_s
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
            pieces.append(_delta(data))
    text = "".join(pieces)
    own = text == expected_text(user_message(result.arrival))
    if not done:
        result.verdict = Verdict.TRUNCATED
    else:
        result.verdict = Verdict.WHOLE if own else Verdict.WRONG


def _delta(data: str) -> str:
    """Return the text in one event; an error event has none."""
    try:
        choices = _CHUNK_DECODER.decode(data).choices
    except msgspec.DecodeError:
        return ""
    delta = choices[0].get("delta", {}) if choices else {}
    return str(delta.get("content", ""))


def _json_text(body: bytes) -> str:
    """Return the text of an answer that was not streamed."""
    try:
        answer = msgspec.json.decode(body)
        return str(answer["choices"][0]["message"]["content"])
    except (msgspec.DecodeError, LookupError, TypeError):
        return ""

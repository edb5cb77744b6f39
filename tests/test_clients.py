"""The `openai` client library as a caller of a local fleet."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from openai import APIStatusError, AsyncOpenAI

from bulrushstream.commands.demo import demo_plan
from bulrushstream.local.fleet import LocalFleet, run_fleet
from bulrushstream.standins.answer import expected_text
from bulrushstream.standins.engine import Engine

MESSAGE = "Draft a proof note for 200 mugs."


@asynccontextmanager
async def fleet_and_client(
    token: str,
) -> AsyncIterator[tuple[LocalFleet, AsyncOpenAI]]:
    async with run_fleet(demo_plan()) as fleet:
        url = f"{fleet.routers['router-0'].server.url}/v1"
        async with AsyncOpenAI(
            base_url=url, api_key=token, max_retries=0
        ) as client:
            yield fleet, client


class ClientSuite:
    async def test_agent_knows_its_engines_cached_prefixes(self) -> None:
        async with fleet_and_client("demo-club") as (fleet, client):
            await client.chat.completions.create(
                model="proofwriter",
                messages=[{"role": "user", "content": MESSAGE}],
            )
            agents = fleet.agents.values()
            await fleet.wait_until(
                lambda: any(agent.core.cached_prefixes for agent in agents),
                "an agent knows a cached prefix",
            )
            known = {p for agent in agents for p in agent.core.cached_prefixes}
            cached = {
                prefix
                for endpoint in fleet.endpoints.values()
                if isinstance(endpoint.app, Engine)
                for prefix in endpoint.app.state.cache.prefixes
            }
        assert known == cached

    async def test_json_and_streamed_answers_are_equal(self) -> None:
        async with fleet_and_client("demo-club") as (_, client):
            answer = await client.chat.completions.create(
                model="proofwriter",
                messages=[{"role": "user", "content": MESSAGE}],
                max_tokens=12,
            )
            stream = await client.chat.completions.create(
                model="proofwriter",
                messages=[{"role": "user", "content": MESSAGE}],
                max_tokens=12,
                stream=True,
            )
            texts = [
                chunk.choices[0].delta.content or ""
                async for chunk in stream
                if chunk.choices
            ]
        expected = expected_text(MESSAGE, 12)
        assert answer.choices[0].message.content == expected
        assert "".join(texts) == expected

    async def test_invalid_token_is_rejected_without_a_run(self) -> None:
        async with fleet_and_client("wrong") as (_, client):
            try:
                await client.chat.completions.create(
                    model="proofwriter",
                    messages=[{"role": "user", "content": MESSAGE}],
                )
            except APIStatusError as error:
                refusal = error
            headers = refusal.response.headers
            assert refusal.status_code == 401
            assert headers["bulrushstream-execution"] == "not-run"

    async def test_disconnect_of_the_caller_cancels_the_run(self) -> None:
        async with fleet_and_client("demo-club") as (fleet, client):
            stream = await client.chat.completions.create(
                model="proofwriter",
                messages=[{"role": "user", "content": MESSAGE}],
                max_tokens=5000,
                stream=True,
            )
            await anext(aiter(stream))
            await stream.close()
            async with asyncio.timeout(20):
                while not cancelled_runs(fleet):
                    await asyncio.sleep(0.01)


def cancelled_runs(fleet: LocalFleet) -> int:
    states = [endpoint.app.state for endpoint in fleet.endpoints.values()]
    return sum(getattr(state, "cancelled", 0) for state in states)

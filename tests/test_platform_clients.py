"""Clients of the log and the instance list report failures exactly.

An append that may have been stored must not be reported as having no effect.
"""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator
from typing import Any

import msgspec
import pytest

from bulrushstream.protocol.logservice import (
    InstanceList,
    ListUnavailableError,
    LogAnswerLostError,
    LogService,
    LogUnavailableError,
)
from bulrushstream.standins.instances import (
    Instances,
    InstancesFaults,
    make_instances,
)
from bulrushstream.standins.log import Log, LogFaults, LogOptions, make_log
from bulrushstream.state.event import LogRecord
from bulrushstream.transport.instances import InstanceListClient
from bulrushstream.transport.log import LogClient
from bulrushstream.transport.server import serve
from tests.builders import a_router


@contextlib.asynccontextmanager
async def log_client(
    log: Log, timeout_s: float = 5.0
) -> AsyncIterator[LogClient]:
    async with serve(log.asgi) as server:
        client = LogClient(server.url, timeout_s)
        try:
            yield client
        finally:
            await client.close()


@contextlib.asynccontextmanager
async def list_client(
    instances: Instances,
) -> AsyncIterator[InstanceListClient]:
    async with serve(instances.asgi) as server:
        client = InstanceListClient(server.url, 5.0)
        try:
            yield client
        finally:
            await client.close()


class LogClientSuite:
    async def test_appends_and_reads(self) -> None:
        log = make_log(LogOptions(retention_count=2))
        async with log_client(log) as client:
            service: LogService = client
            offsets = [
                await service.append("a/b", body)
                for body in (b"x", b"\x00\xff", b"z")
            ]
            page = await service.read("a/b", 0, 10)
        assert offsets == [0, 1, 2]
        records = (LogRecord(1, b"\x00\xff"), LogRecord(2, b"z"))
        assert page.records == records
        assert (page.first_offset, page.end_offset) == (1, 3)

    async def test_outage_error_means_no_effect(self) -> None:
        log = make_log(LogOptions(faults=LogFaults(outage=True)))
        async with log_client(log) as client:
            with pytest.raises(LogUnavailableError):
                await client.append("s", b"x")
            with pytest.raises(LogUnavailableError):
                await client.read("s", 0, 1)
        assert log.state.appends == 0

    async def test_refused_connection_means_no_effect(self) -> None:
        async with log_client(make_log()) as client:
            pass
        fresh = LogClient(str(client._client.base_url), 5.0)
        with pytest.raises(LogUnavailableError):
            await fresh.append("s", b"x")
        await fresh.close()

    @pytest.mark.parametrize(
        ("faults", "appends"),
        [(LogFaults(lose_answers=1), 1), (LogFaults(lose_appends=1), 0)],
    )
    async def test_lost_answer_may_have_had_effect(
        self, faults: LogFaults, appends: int
    ) -> None:
        log = make_log(LogOptions(faults=faults))
        async with log_client(log) as client:
            with pytest.raises(LogAnswerLostError):
                await client.append("s", b"x")
            page = await client.read("s", 0, 10)
        assert len(page.records) == appends

    async def test_timeout_counts_as_a_lost_answer(self) -> None:
        """The log stores the record but answers after the timeout."""
        log = make_log(LogOptions(faults=LogFaults(answer_s=60.0)))
        async with log_client(log, timeout_s=0.05) as client:
            with pytest.raises(LogAnswerLostError):
                await client.append("s", b"x")
        assert log.state.appends == 1


class InstanceListClientSuite:
    async def test_registers_and_lists(self) -> None:
        info = a_router()
        async with list_client(make_instances()) as client:
            service: InstanceList = client
            await client.register(info)
            live = await service.list()
            await client.mark_leaving(info.key.instance)
            leaving = await service.list()
            await client.remove(info.key.instance)
            remaining = await service.list()
        assert live == (info,)
        assert leaving[0].leaving
        assert remaining == ()

    async def test_odd_entries_leave_the_others(self) -> None:
        """Guards against one entry that hides all instances."""
        info = a_router()
        sound = msgspec.to_builtins(info)
        odd = [
            {**sound, "port": 70_000},
            {**sound, "port": -1},
            {**sound, "host": "a\x00b"},
            {**sound, "host": "localhost"},
            {**sound, "role": "none"},
            {"x": 10**400},
            None,
        ]
        body = str({"instances": [*odd, sound, *odd]})
        for name, value in (("'", '"'), ("None", "null"), ("False", "false")):
            body = body.replace(name, value)

        async def app(scope: Any, receive: Any, send: Any) -> None:
            await send({"type": "http.response.start", "status": 200})
            text = body.replace("\\x00", "\\u0000").encode()
            await send({"type": "http.response.body", "body": text})

        async with serve(app) as server:
            client = InstanceListClient(server.url, 5.0)
            assert await client.list() == (info,)
            await client.close()

    async def test_outage_raises_an_error(self) -> None:
        instances = make_instances()
        instances.state.faults = InstancesFaults(outage=True)
        async with list_client(instances) as client:
            with pytest.raises(ListUnavailableError):
                await client.list()

"""Configuration, start and stop of a front-end router.

A router must not serve with revoked keys or an old configuration while the
store is unreachable, and must not drop or start requests while it stops.
"""

from __future__ import annotations

import asyncio

import pytest

from bulrushstream.platform.store import StoreClient, StoreLimits
from bulrushstream.standins.keyedlog import KeyedLog
from tests.deployments import (
    CONFIG,
    COUNTS,
    Deployment,
    deploy,
    deploy_peer,
    deploy_router,
    read_response,
    request_bytes,
    send_request,
    wire_config,
    wire_route,
)


class ConfigSuite:
    async def test_a_revoked_key_is_refused_at_once(
        self, fleet: Deployment
    ) -> None:
        fleet.store.put(
            "keyed.op", "config", wire_config(version=5, keys=("other",))
        )
        front = fleet.process.front
        await fleet.wait_until(
            lambda: front.table and front.table.config.version == 5
        )
        status, _, _ = await send_request(fleet, request_bytes("/safe/x"))
        assert status in (401, 404)

    async def test_an_older_version_is_never_applied(
        self, fleet: Deployment
    ) -> None:
        for version in (7, 3):
            fleet.store.put(
                "keyed.op",
                "config",
                wire_config(
                    wire_route("/safe/", "desk", "idempotent"),
                    version=version,
                ),
            )
        front = fleet.process.front
        await fleet.wait_until(
            lambda: front.table and front.table.config.version == 7
        )
        fleet.store.trim("keyed.op")
        await asyncio.sleep(0.05)
        assert front.table is not None
        assert front.table.config.version == 7

    async def test_keys_are_not_used_without_a_confirmation(
        self, fleet: Deployment
    ) -> None:
        fleet.store.faults.refuse_status = 503
        fleet.boot_offset_s[0] = 30.0
        status, head, _ = await send_request(fleet, request_bytes("/safe/x"))
        assert status == 503
        assert "Retry-After" in head
        assert not fleet.process.front.ready
        assert not any(each.received for each in fleet.workers.values())
        fleet.store.faults.refuse_status = 0
        await fleet.wait_until(lambda: fleet.process.front.ready)
        status, _, _ = await send_request(fleet, request_bytes("/safe/x"))
        assert status == 200

    async def test_a_trimmed_log_is_read_again(
        self, fleet: Deployment
    ) -> None:
        config = wire_config(
            wire_route("/new/", "desk", "idempotent"), version=9
        )
        fleet.store.put("keyed.op", "config", config)
        fleet.store.trim("keyed.op")
        front = fleet.process.front
        await fleet.wait_until(
            lambda: front.table and front.table.config.version == 9
        )

    async def test_too_long_an_answer_is_counted_and_passes(
        self, fleet: Deployment
    ) -> None:
        """Guards against a router that does not recover, or tells nothing."""
        front, store = fleet.process.front, fleet.store
        client = fleet.process.store
        assert isinstance(client, StoreClient)
        client.limits = StoreLimits(answer_bytes=20_000)
        counter = front.metrics.excess.labels("store", "body")
        before = counter._value.get()
        for _ in range(2):  # The first read was sent under the old limit.
            store.put("keyed.op", "config", b"x" * 50_000)
            await asyncio.sleep(0.1)
        await fleet.wait_until(lambda: counter._value.get() > before + 1)
        status, _, _ = await send_request(fleet, request_bytes("/safe/x"))
        assert status == 200
        config = wire_config(
            wire_route("/new/", "desk", "idempotent"), version=9
        )
        store.put("keyed.op", "config", config)
        store.trim("keyed.op")
        await fleet.wait_until(
            lambda: front.table and front.table.config.version == 9
        )
        assert front.memory.used_bytes == 0

    async def test_a_draining_endpoint_gets_no_new_requests(
        self, fleet: Deployment
    ) -> None:
        fleet.put_entry("d-1", state="draining")
        pool = fleet.process.front.pool
        await fleet.wait_until(lambda: pool.by_name["d-1"].entry.leaving)
        for number in range(6):
            status, _, _ = await send_request(
                fleet, request_bytes("/safe/x", f"q{number}")
            )
            assert status == 200
        assert not fleet.workers["d-1"].received

    async def test_invalid_entries_are_skipped(
        self, fleet: Deployment
    ) -> None:
        for name, value in (
            ("x-1", b"{"),
            ("x-2", b'{"service": "desk", "address": "nowhere"}'),
            ("x-3", b'{"service": 7, "address": "127.0.0.1:80"}'),
        ):
            fleet.store.put("keyed.servers", name, value)
        await fleet.add("d-3")
        pool = fleet.process.front.pool
        await fleet.wait_until(lambda: "d-3" in pool.by_name)
        assert not {"x-1", "x-2", "x-3"} & set(pool.by_name)

    async def test_an_invalid_configuration_is_ignored(
        self, fleet: Deployment
    ) -> None:
        fleet.store.put("keyed.op", "config", b"[]")
        fleet.store.put("keyed.op", "other", b"{}")
        await asyncio.sleep(0.05)
        status, _, _ = await send_request(fleet, request_bytes("/safe/x"))
        assert status == 200


class RecoverySuite:
    async def test_a_router_that_starts_without_the_store_asks_a_peer(
        self, fleet: Deployment
    ) -> None:
        fleet.store.faults.refuse_status = 503
        peer = await deploy_peer(fleet)
        await peer.wait_until_ready(4)
        reader, writer = await asyncio.open_connection("127.0.0.2", peer.port)
        writer.write(request_bytes("/safe/x"))
        status, _, _ = await read_response(reader)
        assert status == 200
        writer.close()
        await peer.process.stop()

    async def test_a_router_without_store_and_peers_refuses_requests(
        self,
    ) -> None:
        store = KeyedLog(asyncio.get_running_loop().time)
        await store.start()
        store.faults.refuse_status = 503
        router = await deploy_router(store)
        status, _, body = await send_request(router, request_bytes("/safe/x"))
        assert status == 503
        assert b"B109" in body
        assert not router.process.front.ready
        await router.stop()

    async def test_a_peers_expired_confirmation_is_not_enough(
        self, fleet: Deployment
    ) -> None:
        peer = await deploy_peer(fleet)
        await peer.wait_until_ready(4)
        fleet.store.faults.refuse_status = 503
        # Both routers' confirmations have expired.
        fleet.boot_offset_s[0] = peer.boot_offset_s[0] = 30.0
        await asyncio.sleep(0.6)
        assert not peer.process.front.ready
        await peer.process.stop()


class StopSuite:
    async def test_a_planned_stop_completes_running_requests(self) -> None:
        deployment = await deploy(CONFIG, grace_s=6.0)
        await deployment.add("e-1", "llm", events=400)
        await deployment.wait_until_ready(1)
        response_task = asyncio.create_task(
            send_request(
                deployment,
                request_bytes("/talk/x", method="POST", headers=COUNTS),
            )
        )
        await deployment.wait_until(lambda: deployment.workers["e-1"].runs)
        stop_task = asyncio.create_task(deployment.stop())
        await asyncio.sleep(0.01)
        assert not deployment.process.front.ready
        status, _, body = await response_task
        assert status == 200
        assert body.count(b"\n\n") == 400
        await stop_task

    async def test_no_request_is_started_after_accepting_has_stopped(
        self,
    ) -> None:
        deployment = await deploy(CONFIG)
        await deployment.add("e-1", "llm", events=200)
        await deployment.add("d-1")
        await deployment.wait_until_ready(2)
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", deployment.port
        )
        writer.write(request_bytes("/talk/x", method="POST", headers=COUNTS))
        await deployment.wait_until(lambda: deployment.workers["e-1"].runs)
        # Pipelined behind a request that is still being answered.
        writer.write(request_bytes("/safe/x", "q2"))
        await asyncio.sleep(0.02)
        deployment.process.stop_accepting()
        writer.write(request_bytes("/safe/x", "q3"))
        status, _, body = await read_response(reader)
        assert status == 200
        assert body.count(b"\n\n") == 200
        # What was read before is served, and what came later is refused.
        status, head, _ = await read_response(reader)
        assert status == 200
        assert "connection: close" not in head.lower()
        status, head, body = await read_response(reader)
        assert status == 503
        assert b"B110" in body
        assert "retry-after" in head.lower()
        assert "connection: close" in head.lower()
        assert len(deployment.workers["d-1"].received) == 1
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection("127.0.0.1", deployment.port)
        writer.close()
        await deployment.stop()

"""What a routing router knows, and how it starts and stops."""

from __future__ import annotations

import asyncio

import pytest

from bulrushstream.standins.keyedlog import KeyedLog
from tests.deployments import (
    CONFIG,
    COUNTS,
    Deployment,
    ask,
    deploy,
    deploy_beside,
    deploy_peer,
    read_answer,
    request,
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
        await fleet.until(
            lambda: front.table and front.table.config.version == 5
        )
        status, _, _ = await ask(fleet, request("/safe/x"))
        assert status in (401, 404)

    async def test_an_older_version_never_comes_back(
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
        await fleet.until(
            lambda: front.table and front.table.config.version == 7
        )
        fleet.store.trim("keyed.op")
        await asyncio.sleep(0.05)
        assert front.table is not None
        assert front.table.config.version == 7

    async def test_keys_are_not_used_without_a_proof(
        self, fleet: Deployment
    ) -> None:
        fleet.store.faults.refuse_status = 503
        fleet.boot_offset_s[0] = 30.0
        status, head, _ = await ask(fleet, request("/safe/x"))
        assert status == 503
        assert "Retry-After" in head
        assert not fleet.process.front.ready
        assert not any(each.received for each in fleet.workers.values())
        fleet.store.faults.refuse_status = 0
        await fleet.until(lambda: fleet.process.front.ready)
        status, _, _ = await ask(fleet, request("/safe/x"))
        assert status == 200

    async def test_a_deleted_history_is_read_anew(
        self, fleet: Deployment
    ) -> None:
        config = wire_config(
            wire_route("/new/", "desk", "idempotent"), version=9
        )
        fleet.store.put("keyed.op", "config", config)
        fleet.store.trim("keyed.op")
        front = fleet.process.front
        await fleet.until(
            lambda: front.table and front.table.config.version == 9
        )

    async def test_a_draining_endpoint_gets_nothing_new(
        self, fleet: Deployment
    ) -> None:
        fleet.enter("d-1", state="draining")
        pool = fleet.process.front.pool
        await fleet.until(lambda: pool.by_name["d-1"].entry.leaving)
        for number in range(6):
            status, _, _ = await ask(fleet, request("/safe/x", f"q{number}"))
            assert status == 200
        assert not fleet.workers["d-1"].received

    async def test_a_bad_entry_hurts_no_other(self, fleet: Deployment) -> None:
        for name, value in (
            ("x-1", b"{"),
            ("x-2", b'{"service": "desk", "address": "nowhere"}'),
            ("x-3", b'{"service": 7, "address": "127.0.0.1:80"}'),
        ):
            fleet.store.put("keyed.servers", name, value)
        await fleet.add("d-3")
        pool = fleet.process.front.pool
        await fleet.until(lambda: "d-3" in pool.by_name)
        assert not {"x-1", "x-2", "x-3"} & set(pool.by_name)

    async def test_a_bad_configuration_changes_nothing(
        self, fleet: Deployment
    ) -> None:
        fleet.store.put("keyed.op", "config", b"[]")
        fleet.store.put("keyed.op", "other", b"{}")
        await asyncio.sleep(0.05)
        status, _, _ = await ask(fleet, request("/safe/x"))
        assert status == 200


class RecoverySuite:
    async def test_a_router_that_starts_without_the_store_asks_a_peer(
        self, fleet: Deployment
    ) -> None:
        fleet.store.faults.refuse_status = 503
        late = await deploy_peer(fleet)
        await late.until_ready(4)
        reader, writer = await asyncio.open_connection("127.0.0.2", late.port)
        writer.write(request("/safe/x"))
        status, _, _ = await read_answer(reader)
        assert status == 200
        writer.close()
        await late.process.stop()

    async def test_a_router_without_store_and_peers_serves_nobody(
        self,
    ) -> None:
        store = KeyedLog(asyncio.get_running_loop().time)
        await store.start()
        store.faults.refuse_status = 503
        lonely = await deploy_beside(store)
        status, _, body = await ask(lonely, request("/safe/x"))
        assert status == 503
        assert b"B109" in body
        assert not lonely.process.front.ready
        await lonely.stop()

    async def test_a_peers_old_proof_proves_nothing_new(
        self, fleet: Deployment
    ) -> None:
        late = await deploy_peer(fleet)
        await late.until_ready(4)
        fleet.store.faults.refuse_status = 503
        # Both proofs have grown old by the same time.
        fleet.boot_offset_s[0] = late.boot_offset_s[0] = 30.0
        await asyncio.sleep(0.6)
        assert not late.process.front.ready
        await late.process.stop()


class StopSuite:
    async def test_a_planned_stop_finishes_what_runs(self) -> None:
        deployment = await deploy(CONFIG, grace_s=6.0)
        await deployment.add("e-1", "llm", events=400)
        await deployment.until_ready(1)
        asking = asyncio.create_task(
            ask(
                deployment,
                request("/talk/x", method="POST", more=COUNTS),
            )
        )
        await deployment.until(lambda: deployment.workers["e-1"].runs)
        stopping = asyncio.create_task(deployment.stop())
        await asyncio.sleep(0.01)
        assert not deployment.process.front.ready
        status, _, body = await asking
        assert status == 200
        assert body.count(b"\n\n") == 400
        await stopping

    async def test_after_the_door_closes_nothing_new_is_run(self) -> None:
        deployment = await deploy(CONFIG)
        await deployment.add("e-1", "llm", events=200)
        await deployment.add("d-1")
        await deployment.until_ready(2)
        kept_reader, kept = await asyncio.open_connection(
            "127.0.0.1", deployment.port
        )
        kept.write(request("/talk/x", method="POST", more=COUNTS))
        await deployment.until(lambda: deployment.workers["e-1"].runs)
        # It arrives behind a request that is still being answered.
        kept.write(request("/safe/x", "q2"))
        await asyncio.sleep(0.02)
        deployment.process.stop_accepting()
        status, _, body = await read_answer(kept_reader)
        assert status == 200
        assert body.count(b"\n\n") == 200
        status, head, body = await read_answer(kept_reader)
        assert status == 503
        assert b"B110" in body
        assert "retry-after" in head.lower()
        assert not deployment.workers["d-1"].received
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection("127.0.0.1", deployment.port)
        kept.close()
        await deployment.stop()

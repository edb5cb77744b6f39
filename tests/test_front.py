"""Requests through a front-end router over loopback sockets."""

from __future__ import annotations

import asyncio

import pytest

from bulrushstream.coordination.endpointlimits import LOG_INTERVAL_S
from bulrushstream.daemon import safeguards
from bulrushstream.daemon.safeguards import Refusal
from bulrushstream.standins.worker import Behaviour
from bulrushstream.state.effect import Decision
from tests.deployments import (
    CONFIG,
    COUNTS,
    Deployment,
    deploy,
    read_response,
    read_to_end,
    request_bytes,
    send_request,
)


class PlainSuite:
    async def test_an_answer_is_passed_on_unchanged(
        self, fleet: Deployment
    ) -> None:
        status, head, body = await send_request(
            fleet, request_bytes("/safe/x?y=1")
        )
        worker = next(each for each in fleet.workers.values() if each.received)
        assert status == 200
        assert body == b"answer of " + worker.name.encode()
        assert f"X-Response-Signature: {worker.name}" in head
        method, target, headers, _ = worker.received[0]
        names = {name.lower(): value for name, value in headers}
        assert (method, target) == (b"GET", b"/safe/x?y=1")
        assert names[b"x-tenant"] == b"club"
        assert names[b"x-expect-instance"] == worker.name.encode()
        assert 0 < int(names[b"x-deadline-ms"]) <= 1500
        assert b"authorization" not in names

    async def test_callers_cannot_set_internal_headers(
        self, fleet: Deployment
    ) -> None:
        forged = "\r\n".join(
            f"{name}: forged"
            for name in ("X-Tenant", "X-Hold", "Kv-From", "X-Pin-Ms")
        )
        forged += "\r\nConnection: X-Request-Id, X-Mine\r\nX-Mine: 1"
        await send_request(fleet, request_bytes("/safe/x", headers=forged))
        seen = [s for each in fleet.workers.values() for s in each.received]
        assert len(seen) == 1
        text = b"\n".join(n + b": " + v for n, v in seen[0][2])
        assert b"forged" not in text
        assert b"X-Mine" not in text
        assert b"X-Request-Id: q1" in text

    @pytest.mark.parametrize(
        ("raw", "status"),
        [
            (request_bytes("/safe/x", key="wrong"), 401),
            (request_bytes("/nothing/x"), 404),
            (b"GET /safe/x HTTP/1.1\r\nHost: a\r\n\r\n", 400),
            (request_bytes("/safe/x", headers="X-Request-Id: q2"), 400),
            (
                request_bytes(
                    "/safe/x", headers="Content-Length: 3", body="abcd"
                ),
                400,
            ),
            (
                request_bytes(
                    "/safe/x",
                    headers="Transfer-Encoding: chunked\r\nContent-Length: 4",
                ),
                400,
            ),
            (
                request_bytes("/safe/x", headers="X-Long: " + "a" * 20_000),
                431,
            ),
            (
                request_bytes("/safe/x", headers="Content-Length: 99999999"),
                413,
            ),
            (b"nonsense\r\n\r\n", 400),
        ],
    )
    async def test_invalid_requests_reach_no_endpoint(
        self, fleet: Deployment, raw: bytes, status: int
    ) -> None:
        answer_status, _, _ = await send_request(fleet, raw)
        assert answer_status == status
        assert not any(each.received for each in fleet.workers.values())

    async def test_a_public_route_needs_no_key(
        self, fleet: Deployment
    ) -> None:
        status, _, _ = await send_request(
            fleet, request_bytes("/open/x", key="wrong")
        )
        assert status == 200

    async def test_an_endpoint_that_asks_for_rest_gets_it(
        self, fleet: Deployment
    ) -> None:
        worker = fleet.workers["d-1"]
        worker.script = [Behaviour.REST]
        for number in range(12):
            status, _, _ = await send_request(
                fleet, request_bytes("/safe/x", request_id=f"r{number}")
            )
            assert status == 200
        assert len(worker.received) == 1

    async def test_an_endpoint_that_leaves_gets_nothing_new(
        self, fleet: Deployment
    ) -> None:
        worker = fleet.workers["d-1"]
        worker.leaving = True
        for number in range(12):
            status, _, _ = await send_request(
                fleet, request_bytes("/safe/x", request_id=f"r{number}")
            )
            assert status == 200
        assert len(worker.received) == 1

    async def test_a_chunked_body_arrives_complete(
        self, fleet: Deployment
    ) -> None:
        raw = request_bytes(
            "/once/x",
            method="POST",
            headers="Transfer-Encoding: chunked",
        )
        raw += b"3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n"
        status, _, _ = await send_request(fleet, raw)
        seen = [s for each in fleet.workers.values() for s in each.received]
        assert status == 200
        assert seen[0][3] == b"abcdefg"

    async def test_pipelined_requests_are_answered_in_order(
        self, fleet: Deployment
    ) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", fleet.port)
        writer.write(
            request_bytes("/safe/x", "q1") + request_bytes("/safe/x", "q2")
        )
        for wanted in ("q1", "q2"):
            _, head, _ = await read_response(reader)
            assert f"X-Request-Id: {wanted}" in head
        writer.close()


class MemorySuite:
    async def test_bodies_of_all_callers_share_one_limit(
        self, fleet: Deployment
    ) -> None:
        ingress = fleet.process.front.ingress
        ingress.limits.buffered_bytes = 300_000
        head = request_bytes(
            "/once/x", method="POST", headers="Content-Length: 200000"
        )
        first = await asyncio.open_connection("127.0.0.1", fleet.port)
        first[1].write(head + b"a" * 190_000)
        await fleet.wait_until(lambda: ingress.buffered_bytes == 190_000)
        status, _, _ = await send_request(fleet, head + b"a" * 190_000)
        assert status == 503
        first[1].close()
        await fleet.wait_until(lambda: ingress.buffered_bytes == 0)
        status, _, _ = await send_request(fleet, head + b"a" * 200_000)
        assert status == 200
        await fleet.wait_until(lambda: ingress.buffered_bytes == 0)


class AttemptSuite:
    @pytest.mark.parametrize(
        "behaviour",
        [Behaviour.LOSE, Behaviour.CUT, Behaviour.SHED, Behaviour.ERROR],
    )
    async def test_an_idempotent_request_is_retried_elsewhere(
        self, fleet: Deployment, behaviour: Behaviour
    ) -> None:
        for name in ("d-1", "d-2"):
            fleet.workers[name].script = []
        workers = fleet.workers["d-1"], fleet.workers["d-2"]
        for worker in workers:
            worker.script = [behaviour, Behaviour.SERVE]
        # Only d-1 fails, so that the retry at d-2 succeeds.
        workers[1].script = []
        workers[0].script = [behaviour]
        for number in range(4):
            status, _, _ = await send_request(
                fleet, request_bytes("/safe/x", f"q{number}")
            )
            assert status == 200

    async def test_a_non_idempotent_request_runs_once(
        self, fleet: Deployment
    ) -> None:
        for name in ("d-1", "d-2"):
            fleet.workers[name].script = [Behaviour.LOSE]
        status, _, _ = await send_request(
            fleet, request_bytes("/once/x", method="POST")
        )
        runs = sum(each.runs["q1"] for each in fleet.workers.values())
        assert (status, runs) == (502, 1)

    async def test_a_request_that_was_not_run_may_be_sent_again(
        self, fleet: Deployment
    ) -> None:
        for name in ("d-1", "d-2"):
            fleet.workers[name].script = [Behaviour.SHED]
        status, head, _ = await send_request(
            fleet, request_bytes("/once/x", method="POST")
        )
        assert status == 503
        assert "Retry-After: " in head
        assert not any(each.runs for each in fleet.workers.values())

    async def test_a_refused_caller_may_return_within_the_latency_target(
        self, fleet: Deployment
    ) -> None:
        for name in ("d-1", "d-2"):
            fleet.workers[name].script = [Behaviour.SHED] * 9
        for number in range(9):
            _, head, _ = await send_request(
                fleet, request_bytes("/once/x", f"q{number}", method="POST")
            )
            after_s = float(head.split("Retry-After: ")[1].split("\r\n")[0])
            # The route's latency target is 0.2 s.
            assert 0.0 < after_s <= 0.1

    @pytest.mark.parametrize(
        "behaviour", [Behaviour.STRAY, Behaviour.EXTRA, Behaviour.UNFRAMED]
    )
    async def test_a_stray_answer_is_not_passed_on(
        self, fleet: Deployment, behaviour: Behaviour
    ) -> None:
        for name in ("d-1", "d-2"):
            fleet.workers[name].script = [behaviour] * 3
        for number in range(8):
            status, head, body = await send_request(
                fleet, request_bytes("/safe/x", f"q{number}")
            )
            assert status == 200
            assert f"X-Request-Id: q{number}" in head
            assert body.startswith(b"answer of ")

    async def test_an_endpoints_error_is_passed_on(
        self, fleet: Deployment
    ) -> None:
        for name in ("d-1", "d-2"):
            fleet.workers[name].script = [Behaviour.ERROR] * 2
        status, head, body = await send_request(
            fleet, request_bytes("/safe/x")
        )
        assert (status, body) == (500, b"failed")
        assert "X-Response-Signature" in head

    async def test_a_repeatable_request_leaves_a_silent_endpoint(
        self, fleet: Deployment
    ) -> None:
        fleet.workers["d-1"].script = [Behaviour.SILENT] * 9
        for number in range(4):
            status, _, _ = await send_request(
                fleet, request_bytes("/safe/x", f"q{number}")
            )
            assert status == 200

    async def test_a_disconnected_caller_frees_its_endpoint(
        self, fleet: Deployment
    ) -> None:
        for name in ("d-1", "d-2"):
            fleet.workers[name].script = [Behaviour.SILENT]
        _, writer = await asyncio.open_connection("127.0.0.1", fleet.port)
        writer.write(request_bytes("/once/x", method="POST"))
        await fleet.wait_until(
            lambda: any(w.runs for w in fleet.workers.values())
        )
        writer.close()
        await fleet.wait_until(
            lambda: any(w.disconnected_ids for w in fleet.workers.values())
        )

    async def test_only_requests_that_may_have_run_use_up_a_share(
        self, fleet: Deployment
    ) -> None:
        """Guards against workspaces that pay for engines that are gone."""
        for name in ("e-1", "e-2"):
            fleet.workers[name].script = [Behaviour.SHED] * 9
        status, _, _ = await send_request(
            fleet, request_bytes("/talk/x", headers=COUNTS)
        )
        assert status == 503
        shares = fleet.process.front.fleet_state.shares
        assert shares.demand["club"] > 0
        assert shares.granted == {}
        for name in ("e-1", "e-2"):
            fleet.workers[name].script = []
        status, _, _ = await send_request(
            fleet, request_bytes("/talk/x", "q2", headers=COUNTS)
        )
        assert status == 200
        assert shares.granted["club"] > 0

    async def test_another_instance_at_the_address_does_not_run_it(
        self, fleet: Deployment
    ) -> None:
        for name in ("d-1", "d-2"):
            fleet.workers[name].name = "somebody else"
        status, _, _ = await send_request(
            fleet, request_bytes("/once/x", method="POST")
        )
        assert status == 503
        assert not any(each.runs for each in fleet.workers.values())


class CrashSuite:
    async def test_a_request_that_crashes_endpoints_is_quarantined(
        self,
    ) -> None:
        deployment = await deploy(CONFIG)
        names = [f"d-{number}" for number in range(5)]
        for name in names:
            worker = await deployment.add(name)
            worker.crash_body = b"poison"
        await deployment.wait_until_ready(5)
        crashing_requests = [
            request_bytes(
                "/once/x", f"q{number}", method="POST", body="poison"
            )
            for number in range(12)
        ]
        for raw in crashing_requests:
            await send_request(deployment, raw)
            # Other requests are refused at the crashed endpoint's port.
            for number in range(4):
                await send_request(
                    deployment, request_bytes("/safe/x", f"s{number}")
                )
        crashed = sum(bool(deployment.workers[name].crashed) for name in names)
        assert crashed == 3
        status, _, body = await send_request(deployment, crashing_requests[0])
        assert status == 503
        assert b"B128" in body
        status, _, _ = await send_request(
            deployment, request_bytes("/safe/x", "last")
        )
        assert status == 200
        await deployment.stop()


class LimitSuite:
    async def test_only_refused_requests_count_as_refused(
        self, fleet: Deployment
    ) -> None:
        """Guards against counting those that look for an alternative."""
        front = fleet.process.front
        state, now_s = front.fleet_state, front.clock()
        decisions: list[Decision] = []
        state.limits.on_decision = decisions.append
        endpoints = front.pool.usable("desk", now_s)
        for each in endpoints:
            state.limits.observe(each.name, 1.0, now_s, now_s)
        selected = safeguards.select_endpoints(state, endpoints, now_s)
        assert isinstance(selected, Refusal)
        state.limits.sweep(now_s + LOG_INTERVAL_S)
        lines = [line for line in decisions if line.kind == "limit_use"]
        assert len(lines) == len(endpoints)
        assert [line.inputs["refused"] for line in lines] == [0, 0]


class StreamSuite:
    async def test_events_arrive_complete_and_in_order(
        self, fleet: Deployment
    ) -> None:
        status, _, body = await send_request(
            fleet,
            request_bytes("/talk/x", method="POST", headers=COUNTS),
        )
        numbers = [
            int(e.split(b"\n")[0][4:]) for e in body.split(b"\n\n")[:-1]
        ]
        assert status == 200
        assert numbers == [1, 2, 3, 4, 5]

    async def test_a_resumable_stream_is_resumed_elsewhere(
        self, fleet: Deployment
    ) -> None:
        for name in ("e-1", "e-2"):
            fleet.workers[name].script = [Behaviour.CUT, Behaviour.SERVE]
        # Only e-1 breaks off, so that e-2 can resume the stream.
        fleet.workers["e-2"].script = []
        for number in range(3):
            status, _, body = await send_request(
                fleet,
                request_bytes(
                    "/talk/x",
                    f"q{number}",
                    method="POST",
                    headers=COUNTS,
                ),
            )
            events = body.split(b"\n\n")[:-1]
            numbers = [int(event.split(b"\n")[0][4:]) for event in events]
            assert status == 200
            assert numbers == [1, 2, 3, 4, 5]

    async def test_a_broken_stream_does_not_look_complete(
        self, fleet: Deployment
    ) -> None:
        for name in ("e-1", "e-2"):
            fleet.workers[name].script = [Behaviour.CUT]
        with pytest.raises((asyncio.IncompleteReadError, ValueError)):
            await send_request(
                fleet,
                request_bytes("/tell/x", method="POST", headers=COUNTS),
            )
        runs = sum(each.runs["q1"] for each in fleet.workers.values())
        assert runs == 1

    async def test_an_error_of_a_second_endpoint_is_not_added_to_a_stream(
        self, fleet: Deployment
    ) -> None:
        raw = request_bytes("/talk/x", method="POST", headers=COUNTS)
        await send_request(fleet, raw)
        engines = [fleet.workers["e-1"], fleet.workers["e-2"]]
        engines.sort(key=lambda each: -each.runs["q1"])
        engines[0].script = [Behaviour.CUT]
        engines[1].script = [Behaviour.ERROR]
        reader, writer = await asyncio.open_connection("127.0.0.1", fleet.port)
        writer.write(raw)
        answer = await read_to_end(reader)
        writer.close()
        assert engines[1].runs["q1"] == 1
        assert b"failed" not in answer
        assert not answer.endswith(b"0\r\n\r\n")

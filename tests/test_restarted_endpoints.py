"""Endpoints whose processes start again under the id that they had."""

from __future__ import annotations

from dataclasses import replace
from importlib import resources
from pathlib import Path
from typing import Any

import pytest
import thriftpy2
from thriftpy2.protocol import TBinaryProtocolFactory
from thriftpy2.utils import deserialize

from bulrushstream.coordination.endpointpool import LIST_LAG_S
from bulrushstream.daemon import platformupdates
from bulrushstream.daemon.front import Front
from bulrushstream.platform.headers import decode_answer
from bulrushstream.protocol.peercodec import (
    CHECKSUM,
    decode_update,
    encode_update,
)
from bulrushstream.state.peerupdate import (
    EndpointLimit,
    PeerUpdate,
    RequestPlaced,
)
from bulrushstream.transport.connection import Connection
from tests.crashplans import CrashPlan
from tests.crashrouters import make_router
from tests.deployments import an_entry

FIRST = an_entry("e-1", born="1")
SECOND = an_entry("e-1", born="2")
LEAVES = replace(decode_answer(503, []), rest_s=9.0, leaving=True)


def a_front() -> Front:
    """Return a router that knows the first process."""
    router = make_router(
        0,
        1,
        CrashPlan(),
        lambda: 10.0,
        lambda decision: None,
        lambda host, data: None,
    )
    platformupdates.apply_entry(router.front, FIRST)
    return router.front


def an_update(born: str = "1", **changes: Any) -> PeerUpdate:
    """Return what another router tells of a process, by default the first."""
    reports: dict[str, Any] = {
        "placements": (RequestPlaced(5 << 30, "e-1", born=born),),
        "limits": (EndpointLimit("e-1", 2.0, born=born),),
        "leaving_endpoints": ("e-1",),
        "leaving_starts": (born,) if born else (),
    }
    return PeerUpdate("front-1", 1, "10.0.0.2", **{**reports, **changes})


class ConnectionSuite:
    # Requests went to the address that the id had before.
    def test_a_process_elsewhere_gets_connections_to_its_address(
        self,
    ) -> None:
        front = a_front()
        front.connections.pool_for(front.pool.by_name["e-1"])
        entry = an_entry("e-1", born="2", port=2)
        platformupdates.apply_entry(front, entry)
        pool = front.connections.pool_for(front.pool.by_name["e-1"])
        assert pool.port == 2

    # What proved the life of one process passed for a proof of the next.
    def test_signs_of_the_earlier_process_are_not_those_of_the_next(
        self,
    ) -> None:
        front = a_front()
        first = front.pool.by_name["e-1"]
        front.connections.pool_for(first).record_answer(9.0)
        platformupdates.apply_entry(front, SECOND)
        second = front.pool.by_name["e-1"]
        assert front.connections.pool_for(second).answered_s < 9.0

    # A late request to the earlier process took the pool of the next one.
    def test_the_earlier_process_does_not_use_the_connections(self) -> None:
        front = a_front()
        first = front.pool.by_name["e-1"]
        platformupdates.apply_entry(front, SECOND)
        pool = front.connections.pool_for(front.pool.by_name["e-1"])
        assert front.connections.pool_for(first) is not pool
        second = front.pool.by_name["e-1"]
        assert front.connections.pool_for(second) is pool


class ForgottenSuite:
    # The rest, limit or departure of a process was that of the next one.
    async def test_what_the_earlier_process_said_ends_with_it(self) -> None:
        front = a_front()
        state, first = front.fleet_state, front.pool.by_name["e-1"]
        front.answer_seen(first, LEAVES)
        state.limits.observe("e-1", 1.0, 9.0, 10.0)
        platformupdates.apply_entry(front, SECOND)
        assert state.notices.unavailable(10.0) == set()
        assert state.limits.known() == []

    # A late answer of a process kept requests from the next one for good.
    async def test_late_answers_of_the_earlier_process_do_not_count(
        self,
    ) -> None:
        front = a_front()
        first = front.pool.by_name["e-1"]
        platformupdates.apply_entry(front, SECOND)
        front.answer_seen(first, LEAVES)
        assert front.fleet_state.notices.unavailable(10.0) == set()


class VersionSuite:
    # A stream of the next process passed for one of the earlier version.
    def test_a_stream_that_began_as_the_list_lagged(self) -> None:
        front = a_front()
        first = front.pool.by_name["e-1"]
        origins = front.streams.origins
        earlier, later = (
            origins.began((number,), first, began_s, began_s)[0]
            for number, began_s in enumerate((10.0 - LIST_LAG_S - 0.1, 9.9))
        )
        assert later.known_version == "v1"
        entry = replace(SECOND, version="v2")
        platformupdates.apply_entry(front, entry)
        assert earlier.known_version == "v1"
        assert later.known_version == ""
        assert origins.began((9,), first, 10.0, 10.0)[0].known_version == ""
        second = front.pool.by_name["e-1"]
        assert origins.began((9,), second, 10.0, 10.0)[0].known_version == "v2"

    # The listed process had ended, too, and its id was taken for the next.
    def test_a_connection_that_ended_as_the_list_lagged(self) -> None:
        front = a_front()
        pool = front.connections.pool_for(front.pool.by_name["e-1"])
        connection = Connection(pool)
        pool.remove(connection, ended_by_peer=True)
        platformupdates.apply_entry(front, replace(SECOND, version="v2"))
        second = front.pool.by_name["e-1"]
        assert not second.is_same_at(10.0)


class PeerSuite:
    # What peers told late of a process was believed of the next one.
    def test_late_reports_of_the_earlier_process_do_not_count(self) -> None:
        front = a_front()
        platformupdates.apply_entry(front, SECOND)
        state = front.fleet_state
        state.apply_update(an_update(), 10.0)
        assert not state.notices.is_leaving("e-1")
        assert front.pool.by_name["e-1"].outstanding == 0
        assert state.limits.known() == []

    # The end of a request at a process was counted at the next one.
    async def test_a_request_ends_at_the_process_that_ran_it(self) -> None:
        front = a_front()
        state = front.fleet_state
        state.apply_update(an_update(leaving_endpoints=()), 10.0)
        platformupdates.apply_entry(front, SECOND)
        second = front.pool.by_name["e-1"]
        state.place(second, None, "", 10.0, 20.0)
        ended = PeerUpdate("front-1", 1, "10.0.0.2", ended_calls=(5 << 30,))
        state.apply_update(ended, 10.0)
        assert second.outstanding == 1

    # A process that is not listed yet passed for the one that is.
    def test_a_notice_that_comes_before_the_entry(self) -> None:
        front = a_front()
        platformupdates.remove_endpoint(front, "e-1")
        front.fleet_state.apply_update(an_update("2"), 10.0)
        platformupdates.apply_entry(front, FIRST)
        assert not front.fleet_state.notices.is_leaving("e-1")
        front.fleet_state.apply_update(an_update("1"), 10.0)
        assert front.fleet_state.notices.is_leaving("e-1")

    # Reports without a start, of earlier routers too, were left out.
    @pytest.mark.parametrize("born", ("", "1"))
    def test_reports_of_the_listed_process_count(self, born: str) -> None:
        front = a_front()
        state = front.fleet_state
        state.apply_update(an_update(born), 10.0)
        assert state.notices.is_leaving("e-1")
        assert front.pool.by_name["e-1"].outstanding == 1
        assert state.limits.known() == [("e-1", 2.0)]

    # An update of one release could not be read by the other.
    def test_routers_of_two_releases_read_each_other(
        self, tmp_path: Path
    ) -> None:
        package = resources.files("bulrushstream.protocol")
        lines = (package / "peers.thrift").read_text().splitlines()
        added = ("string born", "leaving_starts")
        kept = [each for each in lines if not any(a in each for a in added)]
        assert len(kept) == len(lines) - 3
        (tmp_path / "earlier.thrift").write_text("\n".join(kept))
        earlier = thriftpy2.load(
            str(tmp_path / "earlier.thrift"), module_name="earlier_thrift"
        )
        update = an_update()
        data = encode_update(update)
        assert decode_update(data) == update
        factory: Any = TBinaryProtocolFactory
        body = data[CHECKSUM.size :]
        read = deserialize(earlier.Update(), body, factory())
        assert read.leaving_endpoints == ["e-1"]
        assert [each.endpoint for each in read.placed] == ["e-1"]
        assert len(encode_update(an_update(""))) < len(data)
        assert decode_update(encode_update(an_update(""))) == an_update("")

"""What another process wrote, however odd, ends nothing and hides nothing.

Guards against a record of an unknown writer that ends the task that reads
it, or the process, or that makes routers stop following all other records.
"""

from __future__ import annotations

import asyncio
import random
import struct
from collections.abc import Callable
from contextlib import suppress
from typing import Any, Final

import msgspec
import pytest
import xxhash
from hypothesis import example, given
from hypothesis import strategies as st
from thriftpy2.thrift import TType
from thriftpy2.utils import serialize

from bulrushstream.coordination.configlog import decode_record
from bulrushstream.coordination.fleetview import HOST_TIMEOUT_S, FleetView
from bulrushstream.coordination.quarantine import decode_strikes
from bulrushstream.daemon.watch import (
    Snapshot,
    TopicWatch,
    run_periodically,
    run_supervised,
)
from bulrushstream.history.simulatedstore import SimulatedStore
from bulrushstream.history.virtualloop import run_virtually
from bulrushstream.platform.documents import decode_config, decode_entry
from bulrushstream.platform.headers import (
    decode_answer,
    decode_call,
)
from bulrushstream.platform.nodefile import read_node_file
from bulrushstream.platform.store import _decode_batch, _decode_json, _Page
from bulrushstream.protocol.crashcodec import decode_crashes
from bulrushstream.protocol.dialect import DocumentError, HeadError
from bulrushstream.protocol.keyedstore import KeyedRecord, StoreError
from bulrushstream.protocol.origincodec import decode_origins
from bulrushstream.protocol.peercodec import (
    _BINARY,
    _SCHEMA,
    CHECKSUM,
    DatagramError,
    decode_update,
    encode_update,
)
from bulrushstream.protocol.prompt import decode_chat
from bulrushstream.state.claim import decode_batch
from bulrushstream.state.peerupdate import (
    PeerUpdate,
    RequestPlaced,
)
from bulrushstream.transport.datagrams import PeerSocket
from bulrushstream.transport.httpcall import Answer
from tests.deployments import (
    Deployment,
)
from tests.test_fleetstate import a_router_state
from tests.test_odd_documents import (
    BAD_ENTRIES,
    DEPTH,
    NESTED,
    NESTED_FIELD,
    ODD_ENTRIES,
    SOUND,
)

Decoder = Callable[[bytes], object]


class NeverRaisedError(Exception):
    """Stands for decoders that return None in place of an error."""


# Every decoder of what another process wrote, and how it refuses bytes.
DECODERS: Final[dict[str, tuple[Decoder, type[Exception]]]] = {
    "entry": (lambda data: decode_entry("e", data), DocumentError),
    "configuration": (
        lambda data: decode_config(data, lambda line: None),
        DocumentError,
    ),
    "page of the store": (
        lambda data: _decode_json(Answer(200, [], data), _Page),
        StoreError,
    ),
    "batch of the store": (lambda data: _decode_batch(data, 0), StoreError),
    "origins": (decode_origins, ValueError),
    "crashes": (decode_crashes, ValueError),
    "datagram": (decode_update, DatagramError),
    "chat body": (decode_chat, NeverRaisedError),
    "strikes in the log": (decode_strikes, NeverRaisedError),
    "configuration in the log": (decode_record, NeverRaisedError),
    "claims in the log": (decode_batch, NeverRaisedError),
}


class DecoderSuite:
    """All decoders, with bytes of any kind."""

    @pytest.mark.parametrize("name", DECODERS)
    @pytest.mark.parametrize(
        "data",
        (NESTED, NESTED_FIELD, b"\x91" * DEPTH, b"\x81\xa1a" * DEPTH, b"\xff"),
        ids=("lists", "tables", "packed lists", "packed tables", "no text"),
    )
    def test_nested_bytes(self, name: str, data: bytes) -> None:
        """Guards against errors that no caller expects."""
        decode, refusal = DECODERS[name]
        with suppress(refusal):
            decode(data)

    @pytest.mark.parametrize("name", DECODERS)
    @given(data=st.binary(max_size=200))
    def test_any_bytes(self, name: str, data: bytes) -> None:
        decode, refusal = DECODERS[name]
        with suppress(refusal):
            decode(data)

    def test_a_nested_body_is_no_chat(self) -> None:
        body = b'{"model":"m","messages":[],"x":' + NESTED + b"}"
        assert decode_chat(body) is None

    def test_values_that_are_no_base64(self) -> None:
        page = {"items": [{"key": "a", "value": "\u014d", "offset": 1}]}
        body = msgspec.json.encode(page)
        assert _decode_json(Answer(200, [], body), _Page).items[0].key == "a"

    def test_a_nested_node_file_is_a_finding(self, tmp_path: Any) -> None:
        path = tmp_path / "node.toml"
        path.write_text("a = " + "[" * 5000 + "]" * 5000)
        assert isinstance(read_node_file(str(path)), tuple)


class HeaderSuite:
    """Headers of endpoints and of callers."""

    @given(
        st.integers(100, 599),
        st.lists(
            st.tuples(
                st.sampled_from(
                    [
                        b"X-Server-Load",
                        b"Server-Limit",
                        b"Retry-After",
                        b"Server-Leaving",
                        b"X-Request-Id",
                        b"Content-Type",
                        b"Connection",
                    ]
                ),
                st.one_of(
                    st.binary(max_size=30),
                    st.text("0123456789,.-+ e", max_size=30).map(str.encode),
                    st.just(b"9" * 5000),
                    st.just(b"9" * 5000 + b",1,1"),
                ),
            )
        ),
    )
    def test_any_answer(
        self, status: int, headers: list[tuple[bytes, bytes]]
    ) -> None:
        head = decode_answer(status, headers)
        assert head.load is None or max(head.load) < 2**31
        assert head.rest_s >= 0.0

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(
                    [
                        b"X-Token-Counts",
                        b"X-Prompt-Prefix",
                        b"X-Length-Hint",
                        b"X-Deadline-Ms",
                        b"Last-Event-Id",
                        b"Resumes",
                        b"Authorization",
                        b"Host",
                    ]
                ),
                st.one_of(
                    st.binary(max_size=30),
                    st.text("0123456789abf:,.-+ e", max_size=30).map(
                        str.encode
                    ),
                    st.just(b"9" * 5000),
                    st.just(b"a1:" + b"9" * 40),
                ),
            )
        )
    )
    @example(
        [(b"X-Token-Counts", b"5,5"), (b"X-Prompt-Prefix", b"a1:" + b"9" * 40)]
    )
    @example([(b"X-Token-Counts", b"5,5"), (b"X-Prompt-Prefix", b"a1:-7")])
    def test_any_request_can_be_told_to_peers(
        self, headers: list[tuple[bytes, bytes]]
    ) -> None:
        """Guards against sizes that no update between routers can hold."""
        try:
            call = decode_call(
                b"POST", b"/x", [(b"X-Request-Id", b"q"), *headers]
            )
        except HeadError:
            return
        prompt = call.prompt
        if prompt is None:
            return
        assert all(0 <= part.tokens < 2**31 for part in prompt.parts)
        placed = RequestPlaced(
            1,
            "e",
            tuple(part.part_id for part in prompt.parts),
            tuple(part.tokens for part in prompt.parts),
            prompt.input_tokens,
            prompt.output_hint or prompt.output_limit,
        )
        update = PeerUpdate("r", 1, "10.0.0.1", placements=(placed,))
        assert decode_update(encode_update(update)) == update


class DatagramSuite:
    """Updates of other routers, of this version or another."""

    def a_socket(
        self, receive: Callable[[PeerUpdate], None]
    ) -> tuple[PeerSocket, list[str]]:
        reports: list[str] = []
        identity = PeerUpdate("own", 1, "10.0.0.1")
        port = PeerSocket(
            identity, 1, receive, lambda kind, text: reports.append(kind)
        )
        return port, reports

    def test_an_update_that_can_not_be_applied_is_reported(self) -> None:
        """Guards against an error that ends the reading of datagrams."""

        def receive(update: PeerUpdate) -> None:
            raise OverflowError("too large")

        port, reports = self.a_socket(receive)
        data = encode_update(PeerUpdate("other", 1, "10.0.0.2"))
        port.datagram_received(data, ("10.0.0.2", 1))
        assert reports == ["bad_datagram"]

    @given(st.binary(max_size=200))
    def test_any_bytes(self, data: bytes) -> None:
        received: list[PeerUpdate] = []
        port, reports = self.a_socket(received.append)
        port.datagram_received(data, ("10.0.0.2", 1))
        assert (received, reports) == ([], ["bad_datagram"])

    @pytest.mark.parametrize("before", [b"\x0f\x00\x06\x0a", b"\x0b\x00\x01"])
    @pytest.mark.parametrize("size", [99, 100_000, 2**20, 2**31 - 1])
    def test_a_size_beyond_the_end_is_refused(
        self, size: int, before: bytes
    ) -> None:
        """Guards against a small datagram that takes all memory.

        The reader believed sizes of lists and strings: 8 bytes for each of
        the items that a list was said to have.
        """
        update = PeerUpdate("r", 1, "10.0.0.1", ended_calls=(1, 2, 3))
        body = encode_update(update)[CHECKSUM.size :]
        start = body.index(before) + len(before)
        bad = body[:start] + struct.pack("!I", size) + body[start + 4 :]
        checksum = CHECKSUM.pack(xxhash.xxh64_intdigest(bad))
        with pytest.raises(DatagramError):
            decode_update(checksum + bad)

    @given(st.data())
    def test_updates_of_other_versions(self, data: st.DataObject) -> None:
        """Guards against fields that are missing, or have absurd values."""
        values = {
            1: st.one_of(st.none(), st.text(max_size=5), st.just("e-1")),
            2: st.one_of(
                st.none(), st.integers(-(2**31), 2**31 - 1), st.just(5)
            ),
            3: st.one_of(st.none(), st.floats()),
            4: st.one_of(st.none(), st.booleans()),
        }
        kinds = {
            TType.STRING: values[1],
            TType.I64: values[2],
            TType.I32: values[2],
            TType.DOUBLE: values[3],
            TType.BOOL: values[4],
        }

        def fill(struct_type: Any) -> Any:
            fields = {}
            for spec in struct_type.thrift_spec.values():
                kind, name = spec[0], spec[1]
                if kind == TType.LIST:
                    inner = spec[2]
                    size = data.draw(st.integers(0, 2))
                    if isinstance(inner, tuple):
                        item = [fill(inner[1]) for _ in range(size)]
                    else:
                        one = kinds[inner].filter(lambda v: v is not None)
                        item = [data.draw(one) for _ in range(size)]
                    fields[name] = data.draw(st.sampled_from([None, item]))
                else:
                    fields[name] = data.draw(kinds[kind])
            return struct_type(**fields)

        state, _ = a_router_state(1)
        port, _ = self.a_socket(lambda update: state.apply_update(update, 5.0))
        body = serialize(fill(_SCHEMA.Update), _BINARY)
        packed = CHECKSUM.pack(xxhash.xxh64_intdigest(body)) + body
        port.datagram_received(packed, ("10.0.0.2", 1))
        state.sweep(5.5)
        state.report_shares(5.5)
        encode_update(
            PeerUpdate(
                "own",
                1,
                "10.0.0.1",
                crash_suspects=state.repeated_reports(5.5).crash_suspects,
            )
        )

    def test_few_routers_are_kept(self) -> None:
        """Guards against updates that name ever more routers and hosts."""
        view = FleetView("10.0.0.1")
        for number in range(4_000):
            host = f"10.2.{number // 250}.{number % 250}"
            named = (f"10.1.{number // 250}.{number % 250}",)
            peer = PeerUpdate(f"r{number}", 1, host, known_hosts=named)
            view.receive(peer, 1.0)
        assert len(view.hosts) <= 2_048
        assert len(view.peers) <= 2_048
        now_s = 1.0 + HOST_TIMEOUT_S + 1.0
        view.sweep(now_s)
        view.receive(PeerUpdate("r", 1, "10.0.0.2"), now_s)
        assert (list(view.peers), list(view.hosts)) == (["r"], ["10.0.0.2"])

    @pytest.mark.parametrize(
        "host", ("", "localhost", "10.0\x00.0.1", "h" * 70_000, "10.0.0.300")
    )
    def test_a_host_that_is_no_address_is_not_sent_to(self, host: str) -> None:
        """Guards against heartbeats that end, or wait for a name server."""
        view = FleetView("10.0.0.1")
        view.add_host(host, 1.0)
        view.receive(PeerUpdate("r", 1, "10.0.0.2", known_hosts=(host,)), 1.0)
        assert list(view.hosts) == ["10.0.0.2"]

    def test_a_sender_whose_host_is_no_address_is_not_sent_to(self) -> None:
        view = FleetView("10.0.0.1")
        view.receive(PeerUpdate("r", 1, "localhost"), 1.0)
        assert list(view.hosts) == []


class TaskSuite:
    """The tasks that read records, not only their decoders."""

    def test_a_watch_goes_on_after_a_record_that_fails(self) -> None:
        """Guards against a reader that one record ends."""

        async def play() -> None:
            store = SimulatedStore()
            seen: list[str] = []
            faults: list[Exception] = []

            def handle(update: Snapshot | KeyedRecord) -> None:
                if isinstance(update, Snapshot):
                    raise RecursionError("snapshot")
                if update.key.startswith("odd"):
                    raise RecursionError(update.key)
                seen.append(update.key)

            loop = asyncio.get_running_loop()
            watch = TopicWatch(
                store,
                "t",
                0.1,
                loop.time,
                handle,
                lambda sent_s: None,
                lambda reason: None,
                faults.append,
                random.Random(1),
            )
            await store.append("t", "a", b"1")
            task = loop.create_task(watch.run())
            await asyncio.sleep(1.0)
            for key in ("b", "odd 1", "c", "odd 2", "d"):
                await store.append("t", key, b"1")
            await asyncio.sleep(1.0)
            assert seen == ["b", "c", "d"]
            assert len(faults) == 3
            assert not task.done()
            task.cancel()

        assert run_virtually(play()) == []

    def test_periodic_and_other_tasks_go_on_after_a_failure(self) -> None:
        """Guards against heartbeats or sweeps that one error ends."""

        async def play() -> None:
            calls: list[str] = []
            faults: list[Exception] = []

            def step() -> None:
                calls.append("step")
                if len(calls) % 2:
                    raise OverflowError("odd")

            async def work() -> None:
                calls.append("work")
                raise ValueError("odd")

            loop = asyncio.get_running_loop()
            tasks = [
                loop.create_task(run_periodically(0.5, step, faults.append)),
                loop.create_task(run_supervised(work, faults.append)),
            ]
            await asyncio.sleep(10.0)
            assert calls.count("step") >= 15
            assert calls.count("work") >= 8
            assert faults
            for task in tasks:
                assert not task.done()
                task.cancel()

        assert run_virtually(play()) == []

    @pytest.mark.asyncio
    async def test_a_router_follows_the_others(
        self, fleet: Deployment
    ) -> None:
        """Guards against odd entries that hide all later ones.

        They come both as changes and in the list that a router reads first.
        """
        front = fleet.process.front
        for number, data in enumerate(
            (*BAD_ENTRIES.values(), *ODD_ENTRIES.values())
        ):
            fleet.store.put("keyed.servers", f"odd-{number}", data)
            fleet.store.put("keyed.routers", f"odd\x00{number}", b"1")
        fleet.store.put("keyed.servers", "odd\r\nX-A: b", SOUND)
        fleet.store.put(
            "keyed.op", "config", b'{"version":9,"routes":' + NESTED
        )
        await fleet.add("d-9")
        await fleet.wait_until(lambda: "d-9" in front.pool.by_name)
        # History is gone, so the list is read anew.
        fleet.store.trim("keyed.servers")
        await fleet.add("d-10")
        await fleet.wait_until(lambda: "d-10" in front.pool.by_name)
        odd = [name for name in front.pool.by_name if "odd" in name]
        assert len(odd) == len(ODD_ENTRIES)
        assert front.ready

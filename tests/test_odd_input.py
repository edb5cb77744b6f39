"""What another process wrote, however odd, ends nothing and hides nothing.

Guards against a record of an unknown writer that ends the task that reads
it, or the process, or that makes routers stop following all other records.
"""

from __future__ import annotations

import asyncio
import random
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
from bulrushstream.coordination.fleetview import FleetView
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
    encode_request,
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
from bulrushstream.state.call import AttemptContext, Prompt, PromptPart
from bulrushstream.state.claim import decode_batch
from bulrushstream.state.peerupdate import (
    PeerUpdate,
    RequestPlaced,
)
from bulrushstream.transport.datagrams import PeerSocket
from bulrushstream.transport.httpcall import Answer
from tests.deployments import (
    Deployment,
    an_entry,
    wire_config,
    wire_entry,
    wire_route,
)
from tests.test_fleetstate import a_router_state

DEPTH: Final = 100_000
NESTED: Final = b"[" * DEPTH + b"]" * DEPTH
NESTED_FIELD: Final = b'{"a":' * DEPTH + b"1" + b"}" * DEPTH
SOUND: Final = wire_entry("desk", 8000)


def entry(**fields: Any) -> bytes:
    """Return an entry with other values in some fields."""
    return msgspec.json.encode({**msgspec.json.decode(SOUND), **fields})


def with_number(name: str, digits: bytes) -> bytes:
    """Return an entry with a number that no library would encode."""
    return SOUND.replace(b"{", b'{"%b":%b,' % (name.encode(), digits), 1)


# Entries that name no endpoint.
BAD_ENTRIES: Final = {
    "nested": b'{"service":' + NESTED + b"}",
    "nested, unknown": b'{"x":' + NESTED_FIELD + b"," + SOUND[1:],
    "no JSON": b"\xff\xfe",
    "broken text": SOUND.replace(b"desk", b"\xc3\x28"),
    "empty": b"",
    "a list": b"[]",
    "port 70000": entry(address="127.0.0.1:70000"),
    "port -1": entry(address="127.0.0.1:-1"),
    "port 1e3": entry(address="127.0.0.1:1e3"),
    "port 0": entry(address="127.0.0.1:0"),
    "port, other digits": entry(address="127.0.0.1:\u0661\u0662"),
    "port of 5,000 digits": entry(address="127.0.0.1:" + "9" * 5000),
    "no port": entry(address="127.0.0.1"),
    "host with NUL": entry(address="127.0\x00.0.1:80"),
    "host name": entry(address="localhost:80"),
    "long host": entry(address="h" * 70_000 + ":80"),
    "long service": entry(service="s" * 70_000),
    "service with lines": entry(service="desk\r\nX-A: b"),
    "slots 1e400": with_number("slots", b"1e400"),
    "slots of 5,000 digits": with_number("slots", b"9" * 5000),
    "slots null": entry(slots=None),
}

# Entries that are absurd in a field, and still name an endpoint.
ODD_ENTRIES: Final = {
    "slots of 30 digits": SOUND.replace(b'"slots":6', b'"slots":' + b"9" * 30),
    "cold for ever": SOUND.replace(b"{", b'{"coldLeftMs":1e308,', 1),
    "cold before": entry(coldLeftMs=-5.0),
    "long version": entry(version="v" * 70_000),
    "version of digits": SOUND.replace(b'"v1"', b"9" * 30),
    "long zone": entry(zone="z" * 70_000),
    "unknown fields": entry(more={"a": [1, None]}),
}

BAD_IDS: Final = ("", "e\r\nX-A: b", "e 1", "\u014d-1", "e" * 300, "e\x00")


def json_values() -> st.SearchStrategy[Any]:
    """Return any values of JSON, with absurd numbers and texts."""
    numbers = st.one_of(
        st.integers(),
        st.integers(-(10**40), 10**40),
        st.floats(allow_nan=False, allow_infinity=False),
        st.sampled_from([0, -1, 65536, 2**31, 2**63, 2**64, 1e308, -1e308]),
    )
    return st.recursive(
        st.one_of(st.none(), st.booleans(), numbers, st.text()),
        lambda inner: st.one_of(
            st.lists(inner, max_size=4),
            st.dictionaries(st.text(max_size=5), inner, max_size=4),
        ),
        max_leaves=8,
    )


def documents(*names: str) -> st.SearchStrategy[bytes]:
    """Return documents in which some fields have any values."""
    return st.fixed_dictionaries(
        {}, optional={name: json_values() for name in names}
    ).map(to_json)


def to_json(value: Any) -> bytes:
    """Encode a value; integers may have any size."""
    if isinstance(value, dict):
        items = (
            msgspec.json.encode(name) + b":" + to_json(each)
            for name, each in value.items()
        )
        return b"{" + b",".join(items) + b"}"
    if isinstance(value, list):
        return b"[" + b",".join(map(to_json, value)) + b"]"
    if isinstance(value, int) and not isinstance(value, bool):
        return b"%d" % value
    return msgspec.json.encode(value)


class EntrySuite:
    """Entries of the endpoint list, each by itself."""

    @pytest.mark.parametrize("name", BAD_ENTRIES)
    def test_a_bad_entry_is_refused(self, name: str) -> None:
        with pytest.raises(DocumentError):
            decode_entry("e-1", BAD_ENTRIES[name])

    @pytest.mark.parametrize("endpoint", BAD_IDS)
    def test_a_bad_id_is_refused(self, endpoint: str) -> None:
        with pytest.raises(DocumentError):
            decode_entry(endpoint, SOUND)

    @pytest.mark.parametrize("name", ODD_ENTRIES)
    def test_an_odd_value_is_bounded(self, name: str) -> None:
        decoded = decode_entry("e-1", ODD_ENTRIES[name])
        assert 0 <= decoded.slots < 2**31
        assert 0.0 <= decoded.warmup_remaining_s <= 1e6
        assert len(decoded.version) <= 255

    @given(st.text(max_size=8), st.binary())
    def test_any_bytes(self, endpoint: str, data: bytes) -> None:
        with suppress(DocumentError):
            decode_entry(endpoint, data)

    @given(
        documents(
            "service",
            "address",
            "zone",
            "slots",
            "state",
            "coldLeftMs",
            "version",
        )
    )
    def test_any_values(self, data: bytes) -> None:
        with suppress(DocumentError):
            decode_entry("e-1", data)
        fields = {**msgspec.json.decode(SOUND)}
        with suppress(msgspec.DecodeError):
            fields.update(msgspec.json.decode(data))
        fields["address"] = "127.0.0.1:80"
        with suppress(DocumentError):
            decoded = decode_entry("e-1", to_json(fields))
            assert 0 <= decoded.slots < 2**31
            request = decode_call(
                b"POST", b"/x", [(b"Host", b"h"), (b"X-Request-Id", b"q")]
            )
            encode_request(
                request, b"", AttemptContext(decoded.endpoint, "", 5, None)
            )


class ConfigSuite:
    """The operators' configuration."""

    @pytest.mark.parametrize(
        "data",
        (
            NESTED,
            NESTED_FIELD,
            b'{"version":1,"routes":' + NESTED + b"}",
            b'{"version":1,"x":' + NESTED_FIELD + b"}",
            b'{"version":' + b"9" * 30 + b"}",
            b'{"version":-5}',
            b"\xff",
        ),
    )
    def test_a_bad_configuration_is_refused(self, data: bytes) -> None:
        with pytest.raises(DocumentError):
            decode_config(data, lambda line: None)

    @given(
        documents("version", "routes", "services", "limits", "tenants"),
        st.lists(json_values(), max_size=3),
    )
    @example(b'{"version":1}', [{"name": "a\r\nb"}])
    def test_any_values(self, data: bytes, parts: list[Any]) -> None:
        lines: list[str] = []
        with suppress(DocumentError):
            decode_config(data, lines.append)
        document = {
            "version": 1,
            "routes": [wire_route("/a/", "desk", "idempotent"), *parts],
            "services": [{"name": "desk"}, *parts],
            "tenants": [{"name": "club", "apiKeys": ["k"]}, *parts],
        }
        config = decode_config(to_json(document), lines.append)
        assert config.routes[0].name == "r/a/"
        assert config.workspaces[0].name == "club"

    @given(json_values(), json_values(), json_values())
    def test_any_route(self, first: Any, second: Any, third: Any) -> None:
        route = wire_route("/a/", "desk", "idempotent")
        route.update(timeoutMs=first, maxAttempts=second, priority=third)
        split = [
            {"service": "a", "weight": first},
            {"service": "b", "weight": second},
        ]
        document = {"version": 1, "routes": [route, {**route, "split": split}]}
        config = decode_config(to_json(document), lambda line: None)
        for each in config.routes:
            assert 0.0 < each.timeout_s <= 1e6
            assert sum(share.weight for share in each.split) < 1e12

    def test_a_workspace_may_have_any_letters(self) -> None:
        """Guards against a name that fails as its requests are sent."""
        document = msgspec.json.decode(wire_config())
        document["tenants"][0]["name"] = "K\u014dwhai"
        config = decode_config(to_json(document), lambda line: None)
        name = config.workspaces[0].name
        call = decode_call(
            b"POST", b"/x", [(b"Host", b"h"), (b"X-Request-Id", b"q")]
        )
        sent = encode_request(call, b"", AttemptContext("e", name, 5, None))
        assert "X-Tenant: K\u014dwhai".encode() in sent


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


class BoundSuite:
    """Values that were taken, and what they do later."""

    @pytest.mark.parametrize("name", ODD_ENTRIES)
    def test_an_odd_endpoint_can_be_told_to_peers(self, name: str) -> None:
        state, recorder = a_router_state(1)
        decoded = decode_entry("e-9", ODD_ENTRIES[name])
        state.pool.update(decoded, None)
        prompt = Prompt("m", (PromptPart(2**63 - 1, 2**31 - 1),), 5, 5)
        endpoint = state.pool.by_name["e-9"]
        state.place(endpoint, prompt, "w", 1.0, 9.0)
        for update in recorder.updates:
            encode_update(update)
        assert an_entry("e-9") != decoded

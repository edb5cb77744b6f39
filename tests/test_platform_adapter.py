"""Decoding of the platform's heads, documents and datagrams."""

from __future__ import annotations

import contextlib
from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bulrushstream.platform.documents import decode_config, decode_entry
from bulrushstream.platform.headers import (
    decode_answer,
    decode_call,
    encode_request,
)
from bulrushstream.platform.nodefile import read_node_file
from bulrushstream.protocol.dialect import DocumentError, HeadError
from bulrushstream.protocol.peercodec import (
    DatagramError,
    decode_update,
    encode_update,
)
from bulrushstream.state.call import AttemptContext, PromptPart
from bulrushstream.state.nodesettings import Address, NodeSettings
from bulrushstream.state.peerupdate import (
    CrashSuspect,
    FirstEvent,
    PeerUpdate,
    RequestPlaced,
    WorkspaceTotals,
)
from bulrushstream.state.routes import RequestKind
from tests.deployments import wire_config, wire_entry, wire_route

HEAD = [
    (b"Host", b"Shop.Example:80"),
    (b"X-Request-Id", b"q1"),
    (b"X-Model", b"m"),
    (b"X-Token-Counts", b"1460,80"),
    (b"X-Prompt-Prefix", b"5c1e07a2:800,91bd3f06:410,e4402b7d:250"),
    (b"X-Length-Hint", b"60"),
    (b"X-Deadline-Ms", b"6000"),
    (b"Last-Event-Id", b"12"),
    (b"Authorization", b"bearer  abc"),
]


class AnswerSuite:
    @pytest.mark.parametrize(
        ("status", "values", "expected"),
        (
            (503, (b"3",), (3.0, "")),
            (503, (b"0.25",), (0.25, "")),
            (503, (b"0",), (0.0, "")),
            (503, (b"9" * 300,), (1e6, "")),
            (503, (b"1", b"4"), (4.0, "")),
            (503, (b"4, 1",), (4.0, "")),
            (503, (b"-3",), (0.0, "-3")),
            (503, (b"nan",), (0.0, "nan")),
            (503, (b"inf",), (0.0, "inf")),
            (503, (b"",), (0.0, "(empty)")),
            (
                503,
                (b"Fri, 04 Dec 2026 17:00:00 GMT",),
                (0.0, "Fri, 04 Dec 2026 17:00:00 GMT"),
            ),
            (503, (b"soon", b"2"), (2.0, "soon")),
            (503, (), (0.0, "")),
            (429, (b"3",), (0.0, "")),
            (200, (b"3",), (0.0, "")),
        ),
    )
    def test_rest_that_an_endpoint_asks_for(
        self,
        status: int,
        values: tuple[bytes, ...],
        expected: tuple[float, str],
    ) -> None:
        headers = [(b"Retry-After", value) for value in values]
        head = decode_answer(status, headers)
        assert (head.rest_s, head.bad_rest) == expected

    @pytest.mark.parametrize(
        ("value", "leaving"), ((b"1", True), (b"0", False), (b"", False))
    )
    @pytest.mark.parametrize("status", (200, 404, 500, 503))
    def test_endpoint_that_leaves(
        self, status: int, value: bytes, leaving: bool
    ) -> None:
        head = decode_answer(status, [(b"Server-Leaving", value)])
        assert head.leaving == leaving


class CallSuite:
    def test_a_request_head_is_decoded(self) -> None:
        call = decode_call(b"POST", b"/a/b?c=1", HEAD)
        assert (call.host, call.path) == ("shop.example", "/a/b")
        assert call.timeout_s == 6.0
        assert call.resume_after == 12
        assert call.prompt is not None
        assert call.prompt.parts[0] == PromptPart(0x5C1E07A2, 800)
        assert call.prompt.input_tokens == 1460
        assert call.prompt.quota_tokens == 1460 + 2 * 60

    @pytest.mark.parametrize(
        ("values", "expected"),
        (
            ((b"q0",), "q0"),
            ((), ""),
            ((b"q0", b"q0"), ""),
            ((b"x" * 257,), ""),
            ((b"\xff",), "\xff"),
        ),
    )
    def test_first_request_of_a_stream(
        self, values: tuple[bytes, ...], expected: str
    ) -> None:
        named = [(b"Resumes", value) for value in values]
        call = decode_call(b"POST", b"/a/", HEAD + named)
        assert call.first_request_id == expected
        # Endpoints get the header as the caller sent it.
        assert [each for each in call.headers if each in named] == named

    def test_a_request_is_forwarded_as_it_was_sent(self) -> None:
        call = decode_call(b"POST", b"/a/b?c=1", HEAD)
        raw = encode_request(
            call, b"body", AttemptContext("i-1", "club", 900, 14)
        )
        head, _, body = raw.partition(b"\r\n\r\n")
        lines = head.split(b"\r\n")
        assert lines[0] == b"POST /a/b?c=1 HTTP/1.1"
        assert body == b"body"
        for line in (
            b"X-Request-Id: q1",
            b"X-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250",
            b"X-Tenant: club",
            b"X-Expect-Instance: i-1",
            b"X-Deadline-Ms: 900",
            b"Last-Event-Id: 14",
            b"Content-Length: 4",
        ):
            assert lines.count(line) == 1
        assert b"uthorization" not in head

    @given(
        st.lists(
            st.tuples(
                st.sampled_from([name for name, _ in HEAD]), st.binary()
            ),
            max_size=8,
        ),
        st.binary(max_size=40),
    )
    def test_any_head_is_decoded_or_refused(
        self, headers: list[tuple[bytes, bytes]], target: bytes
    ) -> None:
        try:
            call = decode_call(b"GET", target, headers)
        except HeadError:
            return
        assert call.request_id
        encode_request(
            call, b"", AttemptContext("i", "", 1, call.resume_after)
        )

    def test_an_answer_shows_whether_the_request_ran(self) -> None:
        shed = decode_answer(503, [(b"X-Not-Executed", b"1")])
        other = decode_answer(421, [])
        ran = decode_answer(503, [(b"X-Response-Signature", b"s")])
        assert shed.not_executed
        assert other.not_executed
        assert not ran.not_executed
        assert ran.signed


class DocumentSuite:
    def test_a_configuration_is_decoded(self) -> None:
        problems: list[str] = []
        config = decode_config(
            wire_config(
                wire_route(
                    "/a/",
                    "",
                    "streaming",
                    split=[
                        {"service": "desk", "weight": 90},
                        {"service": "llm", "weight": 10},
                    ],
                    resumable=True,
                ),
                version=7,
            ),
            problems.append,
        )
        route = config.routes[0]
        assert problems == []
        assert config.version == 7
        assert route.kind is RequestKind.STREAMING
        assert [share.weight for share in route.split] == [90, 10]
        assert route.repeatable
        assert config.services[1].engine is not None
        assert config.services[1].engine.memory_tokens == 200_000
        assert config.requires_keys

    def test_invalid_parts_of_a_configuration_are_skipped(self) -> None:
        problems: list[str] = []
        document = msgspec.json.decode(
            wire_config(
                wire_route("/a/", "desk", "idempotent"),
                wire_route("/b/", "desk", "no such kind"),
                wire_route("/c/", "", "idempotent"),
                {"name": "x"},
                7,
            )
        )
        document["tenants"].append({"name": 5})
        document["services"].append({"name": "z", "maxConns": -1})
        config = decode_config(msgspec.json.encode(document), problems.append)
        assert [route.prefix for route in config.routes] == ["/a/"]
        assert len(config.workspaces) == 1
        assert len(config.services) == 2
        assert len(problems) == 6

    @given(st.binary(max_size=60) | st.text(max_size=60).map(str.encode))
    def test_any_bytes_are_decoded_or_refused(self, data: bytes) -> None:
        for decode in (
            lambda: decode_config(data, lambda _: None),
            lambda: decode_entry("i", data),
        ):
            with contextlib.suppress(DocumentError):
                decode()

    @given(
        st.fixed_dictionaries(
            {},
            optional={
                "service": st.text(max_size=3) | st.integers(),
                "address": st.text(max_size=12) | st.none(),
                "slots": st.integers(-2, 9) | st.text(max_size=2),
                "state": st.text(max_size=5),
                "coldLeftMs": st.floats(allow_nan=False) | st.text(max_size=2),
            },
        )
    )
    def test_any_entry_is_decoded_or_refused(self, entry: object) -> None:
        try:
            found = decode_entry("i", msgspec.json.encode(entry))
        except DocumentError:
            return
        assert found.host
        assert 0 < found.port < 65536

    def test_a_worker_that_is_not_ready_is_leaving(self) -> None:
        assert decode_entry("i", wire_entry("desk", 80, "draining")).leaving
        assert not decode_entry("i", wire_entry("desk", 80)).leaving

    @pytest.mark.parametrize(
        ("fields", "expected"),
        (
            ({"version": "v1.1"}, "v1.1"),
            ({"version": ""}, ""),
            ({"version": None}, ""),
            ({"version": 2}, ""),
        ),
    )
    def test_version_of_an_endpoint(
        self, fields: dict[str, Any], expected: str
    ) -> None:
        entry = decode_entry("i", wire_entry("desk", 80, **fields))
        assert entry.version == expected

    # The start of a process was not read at all.  What is no whole number is
    # no start: two readings of it would make two processes of one.
    @pytest.mark.parametrize(
        ("born", "expected"),
        (
            (1754, "1754"),
            (1754.0, "1754"),
            (17.5, ""),
            ("a-1", ""),
            ("1754", ""),
            (-1, ""),
            (10**30, ""),
            (1e300, ""),
            (None, ""),
            (True, ""),
            ([1], ""),
            ("b" * 256, ""),
        ),
    )
    def test_start_of_an_endpoint(self, born: Any, expected: str) -> None:
        entry = decode_entry("i", wire_entry("desk", 80, born=born))
        assert entry.born == expected

    def test_an_entry_without_a_version(self) -> None:
        fields = msgspec.json.decode(wire_entry("desk", 80))
        del fields["version"]
        entry = decode_entry("i", msgspec.json.encode(fields))
        assert entry.version == ""


NODE = """
nodeName = "front-1"
ip = "10.1.0.33"
zone = "a"
portRange = [7400, 7415]
seedNodes = ["10.1.0.33:8785", "10.2.0.18:8785"]
unknown = 1
[listenAddrs]
front = "10.1.0.33:8783"
ready = "10.1.0.33:8780"
[contractBounds]
revokeMs = 5000
strictRevoke = true
[platform]
address = "10.200.1.7:8781"
"""


class NodeFileSuite:
    def test_a_file_is_read(self, tmp_path: Path) -> None:
        file = tmp_path / "node.toml"
        file.write_text(NODE)
        settings = read_node_file(str(file))
        assert isinstance(settings, NodeSettings)
        assert settings.store_address == Address("10.200.1.7", 8781)
        assert settings.seed_hosts == ("10.1.0.33", "10.2.0.18")
        assert settings.revocation_limit_s == 5.0
        assert (settings.peers_port, settings.control_port) == (7400, 7401)
        assert settings.store_call_bytes == 2_097_152

    def test_the_largest_call_of_the_store_is_read(
        self, tmp_path: Path
    ) -> None:
        file = tmp_path / "node.toml"
        file.write_text(NODE + "callBytes = 8388608\n")
        settings = read_node_file(str(file))
        assert isinstance(settings, NodeSettings)
        assert settings.store_call_bytes == 8_388_608

    def test_all_findings_are_returned_at_once(self, tmp_path: Path) -> None:
        file = tmp_path / "node.toml"
        text = NODE.replace('ip = "10.1.0.33"\n', "")
        text = text.replace("revokeMs = 5000", 'revokeMs = "soon"')
        text = text.replace("[7400, 7415]", "7400")
        file.write_text(text)
        findings = read_node_file(str(file))
        assert isinstance(findings, tuple)
        assert sorted(finding.path for finding in findings) == [
            "contractBounds.revokeMs",
            "ip",
            "portRange",
        ]

    @pytest.mark.parametrize("text", ["x = ", "\xff"])
    def test_an_unreadable_file_is_a_finding(
        self, tmp_path: Path, text: str
    ) -> None:
        file = tmp_path / "node.toml"
        file.write_bytes(text.encode("latin-1"))
        assert isinstance(read_node_file(str(file)), tuple)
        assert isinstance(read_node_file(str(tmp_path / "none")), tuple)


class DatagramSuite:
    UPDATE = PeerUpdate(
        "front-1",
        7,
        "10.0.0.1",
        placements=(RequestPlaced(2**40, "e-1", (1, 2**62), (10, 20), 30, 5),),
        first_events=(FirstEvent(1), FirstEvent(2, 30_000)),
        ended_calls=(3,),
        totals=(WorkspaceTotals("club", 100, 50, 1.5),),
        crash_suspects=(CrashSuspect(-(2**63), "e-1"),),
        known_hosts=("10.0.0.2",),
        leaving=True,
    )

    def test_an_update_arrives_as_it_was_sent(self) -> None:
        assert decode_update(encode_update(self.UPDATE)) == self.UPDATE

    @given(st.binary(max_size=80))
    def test_arbitrary_bytes_are_refused(self, data: bytes) -> None:
        with pytest.raises(DatagramError):
            decode_update(data)

    @given(st.integers(0, 10_000), st.integers(1, 255))
    def test_a_changed_byte_is_refused(
        self, position: int, change: int
    ) -> None:
        data = bytearray(encode_update(self.UPDATE))
        data[position % len(data)] ^= change
        with pytest.raises(DatagramError):
            decode_update(bytes(data))

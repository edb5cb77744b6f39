"""Odd entries of endpoints and odd configurations.

Guards against values that are taken and fail later, or that hide all others.
"""

from __future__ import annotations

from contextlib import suppress
from typing import Any, Final

import msgspec
import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from bulrushstream.platform.documents import decode_config, decode_entry
from bulrushstream.platform.headers import (
    decode_call,
    encode_request,
)
from bulrushstream.protocol.dialect import DocumentError
from bulrushstream.protocol.peercodec import (
    encode_update,
)
from bulrushstream.state.call import AttemptContext, Prompt, PromptPart
from tests.deployments import (
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

"""The interface to everything that is specific to a platform.

A *dialect* is a set of functions that translate between a platform's
formats and the project's types.  A router gets one passed in and contains
no code for any particular platform.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from bulrushstream.protocol.keyedstore import KeyedStore
from bulrushstream.state.call import (
    AnswerHead,
    AttemptContext,
    Call,
    RawHeaders,
)
from bulrushstream.state.evacuation import EvacuationKey
from bulrushstream.state.excess import OnExcess
from bulrushstream.state.finding import Finding
from bulrushstream.state.memorybudget import MemoryBudget
from bulrushstream.state.nodesettings import NodeSettings
from bulrushstream.state.routes import EndpointEntry, RouteConfig


class HeadError(ValueError):
    """The head of a caller's request is malformed."""


class DocumentError(ValueError):
    """A record of the store can not be decoded."""


@dataclass(frozen=True, slots=True)
class Topics:
    """The topics and keys of the store that routers read or write."""

    config: str  # Written by operators.
    config_key: str  # The configuration's key in that topic.
    endpoints: str  # Keyed by endpoint id.
    routers: str  # Written by routers; keyed by IP number.
    # Written by routers; keyed by service: the version that serves, or that
    # there were several lately.
    service_versions: str
    stream_origins: str  # Written by routers; its records expire.
    # Written by routers; keyed by IP number: the crashes that they found.
    crashes: str


@dataclass(frozen=True, slots=True)
class StoreDeps:
    """Collaborators of a client of the store."""

    clock: Callable[[], float]  # Monotonic, in seconds.
    count_call: Callable[[str, bool], None]  # Receives call name and success.
    on_excess: OnExcess | None = None
    memory: MemoryBudget | None = None  # For answers that are being read.


@dataclass(frozen=True, slots=True)
class Dialect:
    """The translation functions for one platform."""

    topics: Topics

    # Reads the node file at a path; returns its settings or every finding.
    read_settings: Callable[[str], NodeSettings | tuple[Finding, ...]]

    # Makes a client of the store.
    make_store: Callable[[NodeSettings, StoreDeps], KeyedStore]

    # Decodes a configuration; reports the parts that are left out.
    decode_config: Callable[[bytes, Callable[[str], None]], RouteConfig]

    # Decodes the entry of an endpoint from its id and its record.
    decode_entry: Callable[[str, bytes], EndpointEntry]

    # Decodes a caller's request from method, target and headers.
    decode_call: Callable[[bytes, bytes, RawHeaders], Call]

    # Encodes the request with its body for an endpoint.
    encode_request: Callable[[Call, bytes, AttemptContext], bytes]

    # Decodes the head of an endpoint's answer from status and headers.
    decode_answer: Callable[[int, RawHeaders], AnswerHead]

    # Encodes a probe of an endpoint's id from the path and the endpoint.
    encode_probe: Callable[[str, EndpointEntry], bytes]

    # Returns the id in the answer to a probe, from status and headers; empty
    # if the expected endpoint answers without one, None if another one does.
    decode_probe: Callable[[int, RawHeaders], str | None]

    # Encodes a request for an endpoint's report on itself.
    encode_report_call: Callable[[EndpointEntry], bytes]

    # Decodes from such a report when the endpoint's process started, as in
    # its entry; empty: it does not tell.
    decode_start: Callable[[bytes], str]

    # Returns a refusal's headers from request id and Retry-After in seconds.
    refusal_headers: Callable[[str, float | None], RawHeaders]

    # Decodes a key of the operators' topic and its value, None if the key was
    # deleted; returns None for a key that evacuates no zone.
    decode_evacuation: Callable[[str, bytes | None], EvacuationKey | None] = (
        lambda key, value: None
    )

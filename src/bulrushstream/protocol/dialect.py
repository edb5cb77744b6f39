"""What differs from one platform to another, as functions.

A *dialect* turns what a platform says into the project's own types, and
back.  A router is given one and knows no platform's names.
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
from bulrushstream.state.finding import Finding
from bulrushstream.state.nodesettings import Address, NodeSettings
from bulrushstream.state.routes import EndpointEntry, RouteConfig


class HeadError(ValueError):
    """A request whose head can not be understood."""


class DocumentError(ValueError):
    """A record that is not what its place calls for."""


@dataclass(frozen=True, slots=True)
class Topics:
    """Where a platform's store keeps what routers follow."""

    config: str  # The topic of what operators publish.
    config_key: str  # The key of the configuration in it.
    endpoints: str  # The topic of the endpoints, by id.
    routers: str  # A topic of our own: the routers, by IP number.


@dataclass(frozen=True, slots=True)
class Dialect:
    """How one platform speaks."""

    topics: Topics  # Where its store keeps what routers follow.

    # Returns the settings in a file, or everything that is wrong in it.
    read_settings: Callable[[str], NodeSettings | tuple[Finding, ...]]

    # Returns a client of the store at an address; the function counts
    # calls by name and success.
    make_store: Callable[
        [Address, Callable[[], float], Callable[[str, bool], None]],
        KeyedStore,
    ]

    # Returns a configuration, and reports parts that are left out.
    decode_config: Callable[[bytes, Callable[[str], None]], RouteConfig]

    # Returns what the list says of the endpoint with an id.
    decode_entry: Callable[[str, bytes], EndpointEntry]

    # Returns what a caller's method, target and headers mean.
    decode_call: Callable[[bytes, bytes, RawHeaders], Call]

    # Returns a request with its body as an endpoint gets it.
    encode_request: Callable[[Call, bytes, AttemptContext], bytes]

    # Returns what the head of an endpoint's answer means.
    decode_answer: Callable[[int, RawHeaders], AnswerHead]

    # Returns the headers of a refusal, by request id and time to return.
    refusal_headers: Callable[[str, float | None], RawHeaders]

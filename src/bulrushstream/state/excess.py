"""Peers that send more than a reader accepts."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import TypeAlias


class PeerKind(StrEnum):
    """Who is at the other end of a connection."""

    ENDPOINT = "endpoint"
    CALLER = "caller"
    STORE = "store"
    ROUTER = "router"
    AGENT = "agent"
    OPERATOR = "operator"


class ExcessReason(StrEnum):
    """What exceeded its limit."""

    HEAD = "head"  # The bytes of a head.
    HEADERS = "headers"  # The number of headers.
    INTERIM = "interim"  # Interim responses before the final one.
    FRAMING = "framing"  # Trailers, extensions of chunks and the like.
    BODY = "body"
    PIPELINED = "pipelined"  # Requests that wait on one connection.
    EXTRA = "extra"  # Responses to other requests.
    EVENT = "event"  # One event of a stream.
    MEMORY = "memory"  # What the process keeps of all connections.
    TIME = "time"  # A request or response that does not end.


@dataclass(frozen=True, slots=True)
class Excess:
    """A connection that was ended as its peer sent too much."""

    peer: PeerKind
    address: str  # Host and port, as far as known.
    reason: ExcessReason

    def __str__(self) -> str:
        return f"{self.peer.value} {self.address}: {self.reason.value}"


# Logs and counts an excess.
OnExcess: TypeAlias = Callable[[Excess], None]

"""What routers tell each other of the requests that they place.

An *update* gathers what happened at one router within a few milliseconds.
A lost update is not repeated: what it said is corrected by later ones, or
expires.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Placed:
    """A request was sent to an endpoint."""

    call: int  # A number that no other request in the fleet has.
    endpoint: str  # The endpoint's id.
    parts: tuple[int, ...] = ()  # The ids of the prompt's parts.
    lengths: tuple[int, ...] = ()  # Their lengths in tokens.
    input_tokens: int = 0  # The prompt's length; 0: no model's request.
    output_tokens: int = 0  # Tokens that are expected to be generated.


@dataclass(frozen=True, slots=True)
class Started:
    """A request's first event came."""

    call: int  # The request's number.
    read_tokens_per_s: int = 0  # As its router observed; 0: not known.


@dataclass(frozen=True, slots=True)
class Asked:
    """What a workspace asked one router for since the last update."""

    workspace: str  # The workspace's name.
    asked_tokens: int  # What it asked for, served or not.
    granted_tokens: int  # What was sent to an engine.


@dataclass(frozen=True, slots=True)
class Struck:
    """A request was in flight when an endpoint crashed."""

    fingerprint: int  # Digest of the request, 64 bits with a sign.
    endpoint: str  # The id of the start that crashed.


@dataclass(frozen=True, slots=True)
class PeerUpdate:
    """What happened at one router."""

    instance: str  # The router's name.
    incarnation: int  # Grows with each of its starts.
    host: str  # Its IP number.
    placed: tuple[Placed, ...] = ()  # Requests that were sent.
    started: tuple[Started, ...] = ()  # Requests whose first event came.
    ended: tuple[int, ...] = ()  # Requests that ended.
    asked: tuple[Asked, ...] = ()  # What workspaces asked for.
    struck: tuple[Struck, ...] = ()  # Requests that may crash endpoints.
    known_hosts: tuple[str, ...] = ()  # IP numbers of its peers.
    leaving: bool = False  # Whether it is stopping.

"""The list of suspects that a front-end router serves to operators."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import msgspec

from bulrushstream.coordination.crashids import split_id
from bulrushstream.state.call import part_name

if TYPE_CHECKING:
    from bulrushstream.coordination.fleetstate import FleetState


_REQUEST: Final = re.compile(rb"request -?[0-9]{1,19}")
_PART: Final = re.compile(rb"part [0-9a-f]{1,16}")


@dataclass(frozen=True, slots=True)
class SuspectStatus:
    """A request, or a part of prompts, that may crash endpoints."""

    kind: str  # "request" or "part".
    name: str  # The fingerprint, or the part's id in hexadecimal.
    refused: bool  # Whether such requests are refused; else they are held.
    strikes: int  # Crashes that still count.
    endpoints: tuple[str, ...] = ()  # Those that crashed.
    # The parts that may be the cause, this one included; of parts only.
    explained_by: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class LimitStatus:
    """A limit that an endpoint names."""

    endpoint: str  # The endpoint's id.
    per_s: float  # Requests a second, from all routers.
    share: float  # The part of it that the routers heard here may use.


@dataclass(frozen=True, slots=True)
class SuspectList:
    """What one router knows of suspects and limits."""

    suspects: tuple[SuspectStatus, ...]
    limits: tuple[LimitStatus, ...]


def list_suspects(state: FleetState, now_s: float) -> SuspectList:
    """Return the suspects and limits that a router knows.

    :param state: the router's state
    :param now_s: the time
    """
    strikes = state.suspects.strikes
    requests = [
        SuspectStatus(
            "request",
            str(fingerprint),
            state.suspects.is_refused(fingerprint, now_s),
            strikes.count(fingerprint, now_s),
            tuple(
                split_id(strike.strike_id)[0]
                for strike in strikes.strikes(fingerprint, now_s)
            ),
        )
        for fingerprint in strikes.fingerprints()
    ]
    parts = [
        SuspectStatus(
            "part",
            part_name(suspect.part),
            suspect.refused,
            len(suspect.strikes),
            tuple(strike.endpoint for strike in suspect.strikes),
            tuple(map(part_name, suspect.explanations)),
        )
        for suspect in state.parts.suspects()
    ]
    limits = [
        LimitStatus(
            endpoint, per_s, state.limits.presence.heard_share(endpoint, now_s)
        )
        for endpoint, per_s in state.limits.known()
    ]
    return SuspectList((*parts, *requests), tuple(limits))


def clear_suspect(state: FleetState, name: bytes, now_s: float) -> bool:
    """Remove the strikes of a suspect at all routers.

    :param state: a router's state
    :param name: "request" or "part" and its name, as the list shows them
    :param now_s: the time
    :returns: whether there is such a suspect
    """
    if _REQUEST.fullmatch(name):
        fingerprint = int(name.split()[1])
        return state.suspects.pardon(fingerprint, now_s)
    if _PART.fullmatch(name):
        return state.parts.pardon(int(name.split()[1], 16), now_s)
    return False


def encode_suspects(state: FleetState, now_s: float) -> bytes:
    """Return the suspects and limits that a router knows, as JSON.

    :param state: the router's state
    :param now_s: the time
    """
    return msgspec.json.encode(list_suspects(state, now_s))

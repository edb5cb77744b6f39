"""What a router sees of an endpoint after a run there broke."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


@dataclass(frozen=True, slots=True)
class ConnectionsSeen:
    """The connections to an endpoint that were open at one time."""

    ended: int  # The endpoint has closed or reset them.
    open: int  # They are still open.
    heard: bool  # Whether bytes came on one of the open ones since then.
    ended_busy: int = 0  # Those that ended while they carried a request.
    ended_at_once: int = 0  # Those that ended at this very moment.


class Sign(StrEnum):
    """What was seen at an endpoint's address."""

    REFUSED = "it refuses connections"
    OTHER_INSTANCE = "another instance answers"
    SAME_INSTANCE = "it answers under its id"
    NO_ANSWER = "it does not answer"
    REMOVED = "the endpoint list dropped it"

"""Orders to model engines and what engines say of themselves.

Every order carries a *fencing token*: the offset of the lease record under
which it is given.  An order with a lower token than one before it comes
from a holder whose lease has passed to another, and must not take effect.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class OrderKind(StrEnum):
    """What an order asks of an engine."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    CHANGE_ROLE = "change_role"


class OrderAnswer(StrEnum):
    """What an engine says to an order."""

    ACCEPTED = "accepted"  # It is being carried out.
    STALE = "stale"  # Its token is too low.
    BUSY = "busy"  # The weight store is at its limit.
    FAILED = "failed"  # It refused, or gave no answer.


@dataclass(frozen=True, slots=True)
class EngineOrder:
    """One order."""

    kind: OrderKind  # What to do.
    token: int  # The fencing token.
    model: str = ""  # Which model.
    version: str = ""  # Which version of it.
    adapter: str = ""  # Which adapter.
    role: str = ""  # Which role.


@dataclass(frozen=True, slots=True)
class Holdings:
    """What an engine has loaded."""

    models: tuple[tuple[str, str], ...] = ()  # Names with versions.
    adapters: tuple[str, ...] = ()  # Names of adapters.
    role: str = ""  # Its role.
    loading: int = 0  # Loads that are not done yet.
    highest_token: int = -1  # The highest token that it saw; -1: none.

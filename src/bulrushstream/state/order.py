"""Orders to model engines and the state that engines report.

Every order carries a *fencing token*: the offset of the lease record under
which it is sent.  An order with a lower token than an earlier one comes from
a holder that has lost its lease, and must not take effect.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class OrderKind(StrEnum):
    """The action that an order requests."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    CHANGE_ROLE = "change_role"


class OrderAnswer(StrEnum):
    """An engine's answer to an order."""

    ACCEPTED = "accepted"  # The engine executes it.
    STALE = "stale"  # Its token is too low.
    BUSY = "busy"  # The weight store is at its limit.
    FAILED = "failed"  # It was refused, or the engine did not answer.


@dataclass(frozen=True, slots=True)
class EngineOrder:
    """An order to an engine; fields that its kind does not use are empty."""

    kind: OrderKind
    token: int  # The fencing token.
    model: str = ""
    version: str = ""  # The model's version.
    adapter: str = ""
    role: str = ""


@dataclass(frozen=True, slots=True)
class Holdings:
    """What an engine has loaded."""

    models: tuple[tuple[str, str], ...] = ()  # Names with versions.
    adapters: tuple[str, ...] = ()  # Names of adapters.
    role: str = ""
    loading: int = 0  # Number of unfinished loads.
    highest_token: int = -1  # The highest token it has received; -1: none.

"""The fleet's configuration: workspaces, services and ordered rules.

A *version* is the offset of the log record that holds the configuration.
The first rule whose condition matches a request decides how the request
is treated.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from bulrushstream.state.request import RequestClass

NO_VERSION: Final = -1


class ServiceKind(StrEnum):
    """What stands behind a service's endpoints."""

    MODEL = "model"  # Model engines with chat completions.
    PLAIN = "plain"  # Plain HTTP services.


class ServiceUnit(StrEnum):
    """What the service that a workspace receives is counted in."""

    SECONDS = "seconds"  # Seconds of one endpoint slot.
    TOKENS = "tokens"  # Generated tokens.


@dataclass(frozen=True, slots=True)
class Workspace:
    """One tenant of the fleet."""

    name: str  # Unique in the configuration.
    weight: float = 1.0  # Its share relative to the others'.
    token_sha256: tuple[str, ...] = ()  # Hex digests of its tokens.


@dataclass(frozen=True, slots=True)
class Placement:
    """What every endpoint of a model service should have loaded."""

    model: str  # The name of the model.
    version: str  # The version of the model.
    adapters: tuple[str, ...] = ()  # The names of the adapters.
    role: str = ""  # The engine's role; empty: leave it.


@dataclass(frozen=True, slots=True)
class Service:
    """A set of like endpoints and their limits."""

    name: str  # Unique in the configuration.
    kind: ServiceKind  # What its endpoints are.
    unit: ServiceUnit = ServiceUnit.SECONDS  # How service is counted.
    models: tuple[str, ...] = ()  # The models that callers may name.
    slots: int = 1  # Requests at once per endpoint, at the start.
    max_slots: int = 0  # Upper limit when slots adapt; 0: fixed.
    queue_limit: int = 1000  # Waiting requests per workspace and router.
    deadline_s: float = 60.0  # The deadline when no rule sets one.
    placement: Placement | None = None  # What to load; None: as it is.


@dataclass(frozen=True, slots=True)
class Condition:
    """When a rule applies; an empty field matches anything."""

    workspaces: tuple[str, ...] = ()  # Names of workspaces.
    services: tuple[str, ...] = ()  # Names in /services/{service}/.
    methods: tuple[str, ...] = ()  # HTTP methods, in capitals.
    path_pattern: str = ""  # A glob over the path.
    headers: tuple[tuple[str, str], ...] = ()  # Name and glob of value.
    models: tuple[str, ...] = ()  # Names of models.
    stream: bool | None = None  # Streamed, not streamed, or either.
    min_body_bytes: int = 0  # The smallest body that matches.
    max_body_bytes: int | None = None  # The largest body that matches.


@dataclass(frozen=True, slots=True)
class Treatment:
    """How a request that a rule matches is treated."""

    service: str = ""  # The service that runs it.
    request_class: RequestClass = RequestClass.BATCH  # Its urgency.
    idempotent: bool = False  # Whether it may run twice.
    deadline_s: float | None = None  # None: the service's deadline.
    cost_hint: float = 0.0  # A guess of its cost in service units.
    queue_limit: int | None = None  # None: the service's limit.
    retry_limit: int = 0  # Attempts after the first.
    affinity: bool = True  # Whether cached prefixes guide the pick.
    refuse: str = ""  # A reason to refuse it; empty: serve it.


@dataclass(frozen=True, slots=True)
class Rule:
    """One when-then rule."""

    name: str  # Unique in the configuration.
    when: Condition  # Which requests it matches.
    then: Treatment  # What happens to them.


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """One configuration, as operators publish it."""

    workspaces: tuple[Workspace, ...] = ()
    services: tuple[Service, ...] = ()
    rules: tuple[Rule, ...] = ()


@dataclass(frozen=True, slots=True)
class VersionedConfig:
    """A configuration with the version under which it is in force."""

    version: int  # Offset of its log record; NO_VERSION: none yet.
    config: FleetConfig  # What the record holds, with deltas applied.
    digest: str = ""  # Digest of the canonical form of `config`.


EMPTY_CONFIG: Final = VersionedConfig(NO_VERSION, FleetConfig())

"""The fleet's configuration: workspaces, services and ordered rules.

A *version* is the offset of the log record that holds the configuration.
The first rule whose condition matches a request determines how the request
is treated.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from bulrushstream.state.request import RequestClass

NO_VERSION: Final = -1


class ServiceKind(StrEnum):
    """The kind of a service's endpoints."""

    MODEL = "model"  # Model engines that serve chat completions.
    PLAIN = "plain"  # Plain HTTP services.


class ServiceUnit(StrEnum):
    """The unit in which received service is counted."""

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

    model: str  # The model's name.
    version: str  # The model's version.
    adapters: tuple[str, ...] = ()  # Names of adapters.
    role: str = ""  # The engine's role; empty: not changed.


@dataclass(frozen=True, slots=True)
class Service:
    """A set of equivalent endpoints and their limits."""

    name: str  # Unique in the configuration.
    kind: ServiceKind
    unit: ServiceUnit = ServiceUnit.SECONDS  # How service is counted.
    models: tuple[str, ...] = ()  # The models that callers may request.
    slots: int = 1  # Initial number of concurrent requests per endpoint.
    max_slots: int = 0  # Upper limit if slots are adaptive; 0: fixed.
    queue_limit: int = 1000  # Waiting requests per workspace and router.
    deadline_s: float = 60.0  # Used if no rule sets a deadline.
    placement: Placement | None = None  # None: nothing is loaded or changed.


@dataclass(frozen=True, slots=True)
class Condition:
    """The condition of a rule; an empty field matches anything."""

    workspaces: tuple[str, ...] = ()  # Names of workspaces.
    services: tuple[str, ...] = ()  # Names in /services/{service}/.
    methods: tuple[str, ...] = ()  # HTTP methods, in capitals.
    path_pattern: str = ""  # A glob over the path.
    headers: tuple[tuple[str, str], ...] = ()  # Name, glob over the value.
    models: tuple[str, ...] = ()  # Names of models.
    stream: bool | None = None  # Streamed, not streamed, or either.
    min_body_bytes: int = 0  # The smallest body that matches.
    max_body_bytes: int | None = None  # The largest body that matches.


@dataclass(frozen=True, slots=True)
class Treatment:
    """How a request that a rule matches is treated."""

    service: str = ""  # The service that runs it.
    request_class: RequestClass = RequestClass.BATCH
    idempotent: bool = False  # Whether it may run more than once.
    deadline_s: float | None = None  # None: the service's deadline.
    cost_hint: float = 0.0  # Estimated cost in service units; 0: none.
    queue_limit: int | None = None  # None: the service's limit.
    retry_limit: int = 0  # Attempts after the first.
    affinity: bool = True  # Whether to prefer agents with cached prefixes.
    refuse: str = ""  # The reason for refusing it; empty: serve it.


@dataclass(frozen=True, slots=True)
class Rule:
    """A rule that sets the treatment of matching requests."""

    name: str  # Unique in the configuration.
    when: Condition
    then: Treatment


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """A configuration as published by operators."""

    workspaces: tuple[Workspace, ...] = ()
    services: tuple[Service, ...] = ()
    rules: tuple[Rule, ...] = ()


@dataclass(frozen=True, slots=True)
class VersionedConfig:
    """A configuration with its version."""

    version: int  # Offset of its log record; NO_VERSION: none yet.
    config: FleetConfig  # The record's content, with deltas applied.
    digest: str = ""  # Digest of the canonical form of `config`.


EMPTY_CONFIG: Final = VersionedConfig(NO_VERSION, FleetConfig())

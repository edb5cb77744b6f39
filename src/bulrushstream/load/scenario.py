"""Scenarios: the size of a fleet and the requests of its workspaces.

A *flow* is a sequence of similar requests from some workspaces to one
service.  Times are shorter than in production, so that a run of one minute
has many requests; only the ratios between the times matter.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterator
from dataclasses import dataclass
from importlib import resources
from typing import Annotated, Final

from expression import Error, Result
from pydantic import Field

from bulrushstream import messages, validation
from bulrushstream.coordination.rulecheck import Problem, problem
from bulrushstream.state.config import (
    Condition,
    FleetConfig,
    Rule,
    Service,
    ServiceKind,
    ServiceUnit,
    Treatment,
    Workspace,
)
from bulrushstream.state.finding import Finding
from bulrushstream.state.request import RequestClass

CLASS_HEADER: Final = "x-load-class"
TOKEN_PREFIX: Final = "load-"
SUFFIX: Final = ".json"

NotNegative = Annotated[float, Field(ge=0)]
Positive = Annotated[float, Field(gt=0)]
Count = Annotated[int, Field(gt=0)]


@dataclass(frozen=True, slots=True)
class ScenarioRouter:
    """One router of a scenario."""

    name: str  # Unique in the scenario.
    availability_zone: str


@dataclass(frozen=True, slots=True)
class ScenarioService:
    """One service of a scenario and its endpoints."""

    name: str  # Unique in the scenario.
    kind: ServiceKind
    endpoints: Count  # Their number, over all availability zones.
    slots: Count  # Concurrent requests per endpoint.
    unit: ServiceUnit = ServiceUnit.SECONDS  # The unit of service.
    model: str = ""  # The model of a model service.
    first_token_s: NotNegative = 0.0  # Time before the first token.
    token_s: NotNegative = 0.0  # Time per token of the only running request.
    batch_slowdown: NotNegative = 0.0  # Added fraction per concurrent request.
    call_s: NotNegative = 0.0  # Time per call of a plain service.
    queue_limit: Count = 1000  # Waiting requests per workspace and router.
    deadline_s: Positive = 120.0  # The callers' deadline.


@dataclass(frozen=True, slots=True)
class ScenarioWorkspace:
    """One workspace of a scenario."""

    name: str  # Unique in the scenario.
    weight: Positive = 1.0  # Its share relative to the other workspaces.


@dataclass(frozen=True, slots=True)
class Flow:
    """A sequence of similar requests."""

    service: str
    workspaces: tuple[str, ...]  # The senders.
    rate_per_s: Positive  # Requests of each workspace per second.
    interactive: bool = False  # False: batch class.
    idempotent: bool = True  # Whether they may run more than once.
    stream: bool = False  # Whether answers are streamed.
    mean_tokens: Positive = 40.0  # The mean length of answers.
    max_tokens: Count = 400  # The length of the longest answer.
    hint_factor: NotNegative = 1.0  # Cost hint over cost; 0: no hint.
    prompts: Count = 8  # Number of different prompt prefixes.
    prompt_chars: Count = 1200  # The length of each prefix.
    spread: tuple[NotNegative, ...] = ()  # Weight per router; (): even.
    start_s: NotNegative = 0.0  # Since the start of the scenario.
    end_s: NotNegative = 0.0  # 0: the end of the scenario.


@dataclass(frozen=True, slots=True)
class Scenario:
    """A fleet and the load on it."""

    name: str  # Its name in results.
    seed: int  # The default seed of the load.
    duration_s: Positive  # How long requests are sent.
    region: str  # The region of all instances.
    availability_zones: tuple[str, ...]
    zone_delay_s: NotNegative  # One-way delay between availability zones.
    client_delay_s: NotNegative  # One-way, between callers and routers.
    routers: tuple[ScenarioRouter, ...]
    services: tuple[ScenarioService, ...]
    workspaces: tuple[ScenarioWorkspace, ...]
    flows: tuple[Flow, ...]


def scenario_names() -> list[str]:
    """Return the names of the scenarios included in the package."""
    folder = resources.files("bulrushstream.scenarios")
    found = (entry.name for entry in folder.iterdir())
    return sorted(
        name.removesuffix(SUFFIX) for name in found if name.endswith(SUFFIX)
    )


def read_scenario(
    name_or_path: str,
) -> Result[Scenario, tuple[Finding, ...]]:
    """Read a scenario.

    :param name_or_path: The name of an included scenario, or a file.
    :returns: The scenario, or all findings, sorted by position.
    """
    if name_or_path in scenario_names():
        folder = resources.files("bulrushstream.scenarios")
        text = (folder / f"{name_or_path}{SUFFIX}").read_text("utf-8")
        return validation.read(text, name_or_path, Scenario, check_scenario)
    if not name_or_path.endswith(SUFFIX):
        notice = messages.UNKNOWN_NAME
        text = notice.format(kind="scenario", name=name_or_path)
        finding = Finding(name_or_path, 0, 0, notice.code, text)
        return Error((finding,))
    return validation.read_file(name_or_path, Scenario, check_scenario)


def check_scenario(scenario: Scenario) -> Iterator[Problem]:
    """Yield the problems that the types alone do not exclude.

    :param scenario: The scenario.
    :returns: Unknown names and inconsistent values.
    """
    zones = set(scenario.availability_zones)
    services = {service.name for service in scenario.services}
    workspaces = {workspace.name for workspace in scenario.workspaces}
    for number, router in enumerate(scenario.routers):
        place = ("routers", number, "availability_zone")
        yield from _check_known(
            place, "availability zone", router.availability_zone, zones
        )
    for number, service in enumerate(scenario.services):
        if service.kind is ServiceKind.MODEL and not service.model:
            why = "a model service needs a model."
            place = ("services", number, "model")
            yield problem(place, messages.BAD_VALUE, why=why)
    for number, flow in enumerate(scenario.flows):
        place = ("flows", number, "service")
        yield from _check_known(place, "service", flow.service, services)
        for name in flow.workspaces:
            place = ("flows", number, "workspaces")
            yield from _check_known(place, "workspace", name, workspaces)
        weights = len(flow.spread)
        if flow.spread and (
            weights != len(scenario.routers) or not any(flow.spread)
        ):
            why = "spread needs a weight per router, and not all may be 0."
            place = ("flows", number, "spread")
            yield problem(place, messages.BAD_VALUE, why=why)


def _check_known(
    place: tuple[str | int, ...], kind: str, name: str, known: set[str]
) -> Iterator[Problem]:
    """Yield a problem if a name is not among the known ones."""
    if name not in known:
        yield problem(place, messages.UNKNOWN_NAME, kind=kind, name=name)


def bearer_token(workspace: str) -> str:
    """Return the bearer token of a scenario's workspace."""
    return TOKEN_PREFIX + workspace


def find_service(scenario: Scenario, name: str) -> ScenarioService:
    """Return the service with a name."""
    return next(s for s in scenario.services if s.name == name)


def fleet_config(scenario: Scenario) -> FleetConfig:
    """Return the configuration that a fleet needs for a scenario.

    :param scenario: The scenario.
    :returns: Its workspaces, services and rules.
    """
    workspaces = tuple(
        Workspace(each.name, each.weight, (_token_digest(each.name),))
        for each in scenario.workspaces
    )
    services = tuple(_service_config(service) for service in scenario.services)
    rules = tuple(
        rule
        for service in scenario.services
        for rule in _service_rules(service)
    )
    return FleetConfig(workspaces, services, rules)


def _token_digest(workspace: str) -> str:
    """Return the SHA-256 digest of a workspace's token."""
    return hashlib.sha256(bearer_token(workspace).encode()).hexdigest()


def _service_config(service: ScenarioService) -> Service:
    """Return the configuration of a service."""
    return Service(
        name=service.name,
        kind=service.kind,
        unit=service.unit,
        models=(service.model,) if service.model else (),
        slots=service.slots,
        queue_limit=service.queue_limit,
        deadline_s=service.deadline_s,
    )


def _service_rules(service: ScenarioService) -> Iterator[Rule]:
    """Yield a service's rules: by class, and by method if it is plain."""
    model = service.kind is ServiceKind.MODEL
    for request_class in RequestClass:
        header = ((CLASS_HEADER, request_class.value),)
        for method, idempotent in (("GET", True), ("POST", model)):
            if model and method == "GET":
                continue
            when = Condition(
                services=() if model else (service.name,),
                methods=(method,),
                headers=header,
                models=(service.model,) if model else (),
            )
            then = Treatment(
                service=service.name,
                request_class=request_class,
                idempotent=idempotent,
                retry_limit=2 if idempotent else 0,
            )
            name = f"{service.name}-{request_class.value}-{method.lower()}"
            yield Rule(name, when, then)

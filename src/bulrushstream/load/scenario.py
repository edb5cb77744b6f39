"""Scenarios: a fleet's sizes and the requests that its workspaces send.

A *flow* is a stream of like requests of some workspaces to one service.
Times are shorter than in the organisations' real work, so that a run of
a minute sees many requests; what counts is their ratio.
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
class RouterSite:
    """One router of a scenario."""

    name: str  # Unique in the scenario.
    availability_zone: str  # Where it runs.


@dataclass(frozen=True, slots=True)
class ServiceSite:
    """One service of a scenario with its endpoints."""

    name: str  # Unique in the scenario.
    kind: ServiceKind  # What its endpoints are.
    endpoints: Count  # How many; spread over the availability zones.
    slots: Count  # Requests at once per endpoint.
    unit: ServiceUnit = ServiceUnit.SECONDS  # How service is counted.
    model: str = ""  # The model of a model service.
    first_token_s: NotNegative = 0.0  # Time before the first token.
    token_s: NotNegative = 0.0  # Time per token when alone.
    batch_slowdown: NotNegative = 0.0  # More time per other request.
    call_s: NotNegative = 0.0  # Time per call of a plain service.
    queue_limit: Count = 1000  # Waiting per workspace and router.
    deadline_s: Positive = 120.0  # The callers' deadline.


@dataclass(frozen=True, slots=True)
class WorkspaceShare:
    """One workspace of a scenario."""

    name: str  # Unique in the scenario.
    weight: Positive = 1.0  # Its share relative to the others'.


@dataclass(frozen=True, slots=True)
class Flow:
    """A stream of like requests."""

    service: str  # Which service they are for.
    workspaces: tuple[str, ...]  # Who sends them.
    rate_per_s: Positive  # Requests of each workspace per second.
    interactive: bool = False  # Whether they are urgent.
    idempotent: bool = True  # Whether they may run twice.
    stream: bool = False  # Whether answers are streamed.
    mean_tokens: Positive = 40.0  # The mean length of answers.
    max_tokens: Count = 400  # The longest answer.
    hint_factor: NotNegative = 1.0  # Hint over cost; 0: no hint.
    prompts: Count = 8  # Different beginnings of prompts.
    prompt_chars: Count = 1200  # The length of each beginning.
    spread: tuple[NotNegative, ...] = ()  # Weight per router; (): even.
    start_s: NotNegative = 0.0  # When it begins.
    end_s: NotNegative = 0.0  # When it ends; 0: with the scenario.


@dataclass(frozen=True, slots=True)
class Scenario:
    """A fleet and the load on it."""

    name: str  # Names it in results.
    seed: int  # Decides every arrival.
    duration_s: Positive  # How long requests arrive.
    region: str  # The region of all instances.
    availability_zones: tuple[str, ...]  # Where instances run.
    zone_delay_s: NotNegative  # One way between availability zones.
    client_delay_s: NotNegative  # One way between callers and routers.
    routers: tuple[RouterSite, ...]  # The routers.
    services: tuple[ServiceSite, ...]  # The services.
    workspaces: tuple[WorkspaceShare, ...]  # The workspaces.
    flows: tuple[Flow, ...]  # What they send.


def scenario_names() -> list[str]:
    """Return the names of the scenarios that ship with the package."""
    folder = resources.files("bulrushstream.scenarios")
    found = (entry.name for entry in folder.iterdir())
    return sorted(
        name.removesuffix(SUFFIX) for name in found if name.endswith(SUFFIX)
    )


def read_scenario(
    name_or_path: str,
) -> Result[Scenario, tuple[Finding, ...]]:
    """Read a scenario.

    :param name_or_path: The name of one that ships, or a file.
    :returns: The scenario, or every finding, sorted by place.
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
    """Yield what the types alone do not rule out.

    :param scenario: The scenario.
    :returns: What is wrong in it.
    """
    zones = set(scenario.availability_zones)
    services = {service.name for service in scenario.services}
    spaces = {workspace.name for workspace in scenario.workspaces}
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
            yield from _check_known(place, "workspace", name, spaces)
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
    """Yield a problem if a name is not known."""
    if name not in known:
        yield problem(place, messages.UNKNOWN_NAME, kind=kind, name=name)


def token_of(workspace: str) -> str:
    """Return the bearer token of a scenario's workspace."""
    return TOKEN_PREFIX + workspace


def service_of(scenario: Scenario, name: str) -> ServiceSite:
    """Return a service by its name."""
    return next(s for s in scenario.services if s.name == name)


def fleet_config(scenario: Scenario) -> FleetConfig:
    """Return the configuration that a fleet needs for a scenario.

    :param scenario: The scenario.
    :returns: Its workspaces, services and rules.
    """
    workspaces = tuple(
        Workspace(share.name, share.weight, (_digest(share.name),))
        for share in scenario.workspaces
    )
    services = tuple(_service(site) for site in scenario.services)
    rules = tuple(rule for site in scenario.services for rule in _rules(site))
    return FleetConfig(workspaces, services, rules)


def _digest(workspace: str) -> str:
    """Return the digest of a workspace's token."""
    return hashlib.sha256(token_of(workspace).encode()).hexdigest()


def _service(site: ServiceSite) -> Service:
    """Return the service of a site."""
    return Service(
        name=site.name,
        kind=site.kind,
        unit=site.unit,
        models=(site.model,) if site.model else (),
        slots=site.slots,
        queue_limit=site.queue_limit,
        deadline_s=site.deadline_s,
    )


def _rules(site: ServiceSite) -> Iterator[Rule]:
    """Yield the rules of a site: by class, and by method if plain."""
    model = site.kind is ServiceKind.MODEL
    for request_class in RequestClass:
        header = ((CLASS_HEADER, request_class.value),)
        for method, idempotent in (("GET", True), ("POST", model)):
            if model and method == "GET":
                continue
            when = Condition(
                services=() if model else (site.name,),
                methods=(method,),
                headers=header,
                models=(site.model,) if model else (),
            )
            then = Treatment(
                service=site.name,
                request_class=request_class,
                idempotent=idempotent,
                retry_limit=2 if idempotent else 0,
            )
            name = f"{site.name}-{request_class.value}-{method.lower()}"
            yield Rule(name, when, then)

"""Which workspace a token belongs to and which rule decides a request.

The *facts* of a request are all that a rule's condition can ask about.
Most requests of one workspace share all facts but path, headers and size,
so the rules that can match such a group are remembered: the list that is
then searched in order is short.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from fnmatch import translate
from hashlib import sha256
from typing import Final, TypeAlias

from expression import Error, Ok, Result

from bulrushstream import messages
from bulrushstream.messages import Notice
from bulrushstream.state.config import (
    Condition,
    Rule,
    Service,
    VersionedConfig,
)
from bulrushstream.state.request import Headers, RequestClass

MAX_GROUPS: Final = 8192

_GLOB_SIGN: Final = re.compile(r"[*?\[]")

Group: TypeAlias = tuple[str, str, str, str, bool]


@dataclass(frozen=True, slots=True)
class RequestFacts:
    """What rules can ask about a request."""

    workspace: str  # Whose token it carries.
    service: str  # The name in /services/{service}/; empty: a model call.
    method: str  # The HTTP method, in capitals.
    path: str  # The path without the query, from its first slash.
    headers: Headers  # The headers; names in any case.
    model: str  # The model that the caller named; empty: none.
    stream: bool  # Whether the caller wants a streamed answer.
    body_bytes: int  # The size of the body.


@dataclass(frozen=True, slots=True)
class Decided:
    """How a request is treated, with the service's defaults filled in."""

    rule: str  # The name of the rule that matched.
    service: Service  # The service that runs it.
    request_class: RequestClass  # How urgent it is.
    idempotent: bool  # Whether it may run twice.
    deadline_s: float  # Time from its arrival to its deadline.
    cost_hint: float  # A guess of its cost in service units; 0: none.
    queue_limit: int  # Waiting requests per workspace and router.
    retry_limit: int  # Attempts after the first.
    affinity: bool  # Whether cached prefixes guide the pick.


@dataclass(frozen=True, slots=True)
class Denied:
    """Why a request is refused before it reaches a queue."""

    notice: Notice  # The kind of refusal.
    text: str  # Its text for the caller.
    rule: str = ""  # The rule that refused it; empty: none matched.


@dataclass(frozen=True, slots=True)
class _CompiledRule:
    """A rule with its patterns compiled."""

    rule: Rule  # The rule.
    prefix: str  # What every path that matches begins with.
    path: re.Pattern[str] | None  # None: any path.
    headers: tuple[tuple[str, re.Pattern[str]], ...]  # Names in small.
    max_body_bytes: float  # Infinite if the rule sets none.


class ConfigIndex:
    """Fast look-ups in one version of the configuration."""

    current: VersionedConfig  # The version that this indexes.
    services: dict[str, Service]  # By name.
    weights: dict[str, float]  # Each workspace's weight, by name.
    _workspaces: dict[str, str]  # Each token's workspace, by SHA-256.
    _models: dict[str, Service]  # The first service with each model.
    _rules: tuple[_CompiledRule, ...]  # In their order.
    _groups: dict[Group, tuple[_CompiledRule, ...]]  # Remembered lists.

    def __init__(self, current: VersionedConfig) -> None:
        """Build the index of a version.

        :param current: A valid configuration with its version.
        """
        config = current.config
        self.current = current
        self.services = {s.name: s for s in config.services}
        self.weights = {w.name: w.weight for w in config.workspaces}
        self._workspaces = {
            digest: workspace.name
            for workspace in config.workspaces
            for digest in workspace.token_sha256
        }
        self._models = {
            model: service
            for service in reversed(config.services)
            for model in service.models
        }
        self._rules = tuple(_compile(rule) for rule in config.rules)
        self._groups = {}

    def candidates(self, facts: RequestFacts) -> tuple[_CompiledRule, ...]:
        """Return the rules that match all but path, headers and size."""
        group = (
            facts.workspace,
            facts.service,
            facts.method,
            facts.model,
            facts.stream,
        )
        found = self._groups.get(group)
        if found is None:
            # Callers choose some of the facts, so memory must be bounded.
            if len(self._groups) >= MAX_GROUPS:
                self._groups.clear()
            found = tuple(
                r for r in self._rules if _matches_group(r.rule.when, facts)
            )
            self._groups[group] = found
        return found

    def workspace_of(self, token_sha256: str) -> str | None:
        """Return the workspace that a token's digest belongs to."""
        return self._workspaces.get(token_sha256)

    def service_of(self, rule: Rule, facts: RequestFacts) -> Service | None:
        """Return the service that runs a request, if there is one."""
        name = rule.then.service or facts.service
        if name:
            return self.services.get(name)
        return self._models.get(facts.model)


def authenticate(index: ConfigIndex, token: str) -> str | None:
    """Return the workspace that a bearer token belongs to.

    Tokens are looked up by digest, so the time that it takes says nothing
    about how much of a guess is right.

    :param index: The configuration.
    :param token: The token as the caller sent it.
    :returns: The workspace's name, or None if the token is not valid.
    """
    digest = sha256(token.encode("utf-8", "surrogateescape")).hexdigest()
    return index.workspace_of(digest)


def match(index: ConfigIndex, facts: RequestFacts) -> Result[Decided, Denied]:
    """Return what the first rule that matches decides.

    :param index: The configuration.
    :param facts: What is known of the request.
    :returns: How it is treated, or why it is refused.
    """
    path = facts.path
    for compiled in index.candidates(facts):
        # The prefix rules most of a long list out without a call.
        if path.startswith(compiled.prefix) and _matches_rest(compiled, facts):
            return _decide(index, compiled.rule, facts)
    return Error(Denied(messages.NO_RULE, messages.NO_RULE.format()))


def _decide(
    index: ConfigIndex, rule: Rule, facts: RequestFacts
) -> Result[Decided, Denied]:
    then = rule.then
    if then.refuse:
        notice = messages.REFUSED_BY_RULE
        text = notice.format(rule=rule.name, reason=then.refuse)
        return Error(Denied(notice, text, rule.name))
    service = index.service_of(rule, facts)
    if service is None or _lacks_model(service, facts.model):
        text = messages.NO_MODEL.format(model=facts.model or facts.service)
        return Error(Denied(messages.NO_MODEL, text, rule.name))
    deadline_s = then.deadline_s
    queue_limit = then.queue_limit
    if deadline_s is None:
        deadline_s = service.deadline_s
    if queue_limit is None:
        queue_limit = service.queue_limit
    return Ok(
        Decided(
            rule.name,
            service,
            then.request_class,
            then.idempotent,
            deadline_s,
            then.cost_hint,
            queue_limit,
            then.retry_limit,
            then.affinity,
        )
    )


def _lacks_model(service: Service, model: str) -> bool:
    return bool(model and service.models) and model not in service.models


def _compile(rule: Rule) -> _CompiledRule:
    when = rule.when
    path = re.compile(translate(when.path_pattern), re.DOTALL)
    headers = tuple(
        (name.lower(), re.compile(translate(value)))
        for name, value in when.headers
    )
    most = when.max_body_bytes
    return _CompiledRule(
        rule,
        _GLOB_SIGN.split(when.path_pattern, maxsplit=1)[0],
        path if when.path_pattern else None,
        headers,
        float("inf") if most is None else most,
    )


def _matches_group(when: Condition, facts: RequestFacts) -> bool:
    return (
        (not when.workspaces or facts.workspace in when.workspaces)
        and (not when.services or facts.service in when.services)
        and (not when.methods or facts.method in when.methods)
        and (not when.models or facts.model in when.models)
        and when.stream in (None, facts.stream)
    )


def _matches_rest(compiled: _CompiledRule, facts: RequestFacts) -> bool:
    if facts.body_bytes < compiled.rule.when.min_body_bytes:
        return False
    if facts.body_bytes > compiled.max_body_bytes:
        return False
    if compiled.path is not None and not compiled.path.match(facts.path):
        return False
    return not compiled.headers or _has_headers(compiled, facts.headers)


def _has_headers(compiled: _CompiledRule, headers: Headers) -> bool:
    """Return whether each wanted header has a value that matches."""
    return all(
        any(
            name.lower() == wanted and pattern.match(value)
            for name, value in headers
        )
        for wanted, pattern in compiled.headers
    )

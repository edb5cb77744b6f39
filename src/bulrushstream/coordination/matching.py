"""Finds the workspace of a token and the rule that applies to a request.

The *facts* of a request are the inputs of rule conditions.  Most requests
of a workspace share all facts but path, headers and body size.  The rules
that can match such a group are cached, which keeps the list that is
searched for each request short.
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

_GLOB_CHARS: Final = re.compile(r"[*?\[]")

Group: TypeAlias = tuple[str, str, str, str, bool]


@dataclass(frozen=True, slots=True)
class RequestFacts:
    """The properties of a request that rule conditions can match."""

    workspace: str  # Owner of the token.
    service: str  # The name in /services/{service}/; empty: a model call.
    method: str  # Upper case.
    path: str  # Without the query, from its first slash.
    headers: Headers  # Names in any case.
    model: str  # The requested model; empty: none.
    stream: bool  # Whether a streamed answer is requested.
    body_bytes: int


@dataclass(frozen=True, slots=True)
class ResolvedTreatment:
    """A rule's treatment of a request, with the service's defaults."""

    rule: str  # Name of the matching rule.
    service: Service
    request_class: RequestClass
    idempotent: bool  # Whether it may run more than once.
    deadline_s: float  # Time from arrival to deadline.
    cost_hint: float  # Expected cost in service units; 0: none.
    queue_limit: int  # Waiting requests per workspace and router.
    retry_limit: int  # Attempts after the first.
    affinity: bool  # Whether agents with a cached prefix are preferred.


@dataclass(frozen=True, slots=True)
class Rejection:
    """Reason why a request is refused before it is queued."""

    notice: Notice
    text: str  # Error text for the caller.
    rule: str = ""  # The rule that refused it; empty: none matched.


@dataclass(frozen=True, slots=True)
class _CompiledRule:
    """A rule with its patterns compiled."""

    rule: Rule
    prefix: str  # Literal prefix of every matching path.
    path: re.Pattern[str] | None  # None: any path.
    headers: tuple[tuple[str, re.Pattern[str]], ...]  # Lower-case names.
    max_body_bytes: float  # Infinite if the rule sets no limit.


class ConfigIndex:
    """Lookup tables for one version of the configuration."""

    current: VersionedConfig
    services: dict[str, Service]  # By name.
    weights: dict[str, float]  # By workspace name.
    _workspaces: dict[str, str]  # Workspace name by SHA-256 of a token.
    _models: dict[str, Service]  # The first service with each model.
    _rules: tuple[_CompiledRule, ...]  # In configured order.
    _groups: dict[Group, tuple[_CompiledRule, ...]]  # Cached candidates.

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
            # Callers control some of the facts, so the cache is bounded.
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

    Tokens are looked up by digest, so that the time of a lookup does not
    reveal how much of a guessed token is correct.

    :param index: The configuration.
    :param token: The token as the caller sent it.
    :returns: The workspace's name, or None if the token is not valid.
    """
    digest = sha256(token.encode("utf-8", "surrogateescape")).hexdigest()
    return index.workspace_of(digest)


def match(
    index: ConfigIndex, facts: RequestFacts
) -> Result[ResolvedTreatment, Rejection]:
    """Apply the first rule that matches a request.

    :param index: The configuration.
    :param facts: The request's facts.
    :returns: Its treatment, or the reason for a refusal.
    """
    path = facts.path
    for compiled in index.candidates(facts):
        # The prefix check skips most rules of a long list without a call.
        if path.startswith(compiled.prefix) and _matches_rest(compiled, facts):
            return _decide(index, compiled.rule, facts)
    return Error(Rejection(messages.NO_RULE, messages.NO_RULE.format()))


def _decide(
    index: ConfigIndex, rule: Rule, facts: RequestFacts
) -> Result[ResolvedTreatment, Rejection]:
    then = rule.then
    if then.refuse:
        notice = messages.REFUSED_BY_RULE
        text = notice.format(rule=rule.name, reason=then.refuse)
        return Error(Rejection(notice, text, rule.name))
    service = index.service_of(rule, facts)
    if service is None or _lacks_model(service, facts.model):
        text = messages.NO_MODEL.format(model=facts.model or facts.service)
        return Error(Rejection(messages.NO_MODEL, text, rule.name))
    deadline_s = then.deadline_s
    queue_limit = then.queue_limit
    if deadline_s is None:
        deadline_s = service.deadline_s
    if queue_limit is None:
        queue_limit = service.queue_limit
    return Ok(
        ResolvedTreatment(
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
    max_body_bytes = when.max_body_bytes
    return _CompiledRule(
        rule,
        _GLOB_CHARS.split(when.path_pattern, maxsplit=1)[0],
        path if when.path_pattern else None,
        headers,
        float("inf") if max_body_bytes is None else max_body_bytes,
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
    """Return whether every required header has a matching value."""
    return all(
        any(
            name.lower() == required and pattern.match(value)
            for name, value in headers
        )
        for required, pattern in compiled.headers
    )

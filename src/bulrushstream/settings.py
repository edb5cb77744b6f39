"""The settings of a router and of an agent.

Settings belong to one instance and are read once at start.  The
configuration, in contrast, is published and applies to the whole fleet.
All defaults are defined here.  The comment behind a field is its meaning
on the page that `bulrushstream reference settings` prints.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from pathlib import Path
from typing import Annotated, Final

from expression import Result
from pydantic import Field

from bulrushstream import messages, validation
from bulrushstream.coordination.rulecheck import Problem, problem
from bulrushstream.state.finding import Finding

MIN_SECRET_CHARS: Final = 16

Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
Host = Annotated[str, Field(min_length=1)]
Port = Annotated[int, Field(ge=0, le=65535)]
Url = Annotated[str, Field(pattern=r"^https?://[^\s/]+")]
Positive = Annotated[int, Field(gt=0)]
Seconds = Annotated[float, Field(gt=0, le=86_400 * 365)]


@dataclass(frozen=True, slots=True)
class ListenSettings:
    """An address that the instance listens on."""

    host: Host = "127.0.0.1"  # The IP number to bind.
    port: Port = 0  # The port to bind; 0: any free one.


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """The addresses and timeouts of the platform's services."""

    log_url: Url  # Base URL of the append-only log.
    instances_url: Url  # Base URL of the instance list.
    log_retention_s: Seconds = 86_400.0  # The log's retention period.
    timeout_s: Seconds = 2.0  # Timeout of one call.
    list_interval_s: Seconds = 1.0  # Time between reads of the instance list.


@dataclass(frozen=True, slots=True)
class SecuritySettings:
    """How instances of the fleet authenticate each other."""

    shared_secret: str = ""  # Fleet's secret; empty: from the file.
    shared_secret_file: str = ""  # File with the secret; empty: none.
    tls_certificate_file: str = ""  # PEM chain; empty: no TLS.
    tls_key_file: str = ""  # PEM private key; empty: no TLS.
    tls_authority_file: str = ""  # PEM of the peers' CA; empty: no TLS.

    def secret(self) -> bytes:
        """Return the shared secret.

        :returns: The secret, from the settings or from the file.
        :raises OSError: If the file can not be read.
        """
        if self.shared_secret:
            return self.shared_secret.encode()
        return Path(self.shared_secret_file).read_bytes().strip()


@dataclass(frozen=True, slots=True)
class LimitSettings:
    """Limits on callers' requests and connections at a router."""

    body_bytes: Positive = 4 * 2**20  # Maximum size of a request's body.
    header_bytes: Positive = 32 * 2**10  # Maximum total size of the headers.
    connections: Positive = 4096  # Maximum number of callers' connections.
    read_timeout_s: Seconds = 15.0  # Timeout for receiving a request.
    idle_timeout_s: Seconds = 75.0  # For connections without a request.
    queue_bytes: Positive = 48 * 2**20  # Maximum memory of waiting requests.


@dataclass(frozen=True, slots=True)
class RouterSettings:
    """The settings of one router."""

    instance: Name  # The instance's name, unique in the fleet.
    region: Name  # The instance's region.
    availability_zone: Name  # The instance's availability zone.
    platform: PlatformSettings
    security: SecuritySettings
    advertised_host: str = ""  # Host that peers dial; empty: the bound host.
    peers: ListenSettings = field(default_factory=ListenSettings)
    callers: ListenSettings = field(default_factory=ListenSettings)
    operators: ListenSettings = field(default_factory=ListenSettings)
    limits: LimitSettings = field(default_factory=LimitSettings)
    drain_timeout_s: Seconds = 300.0  # For running requests at shutdown.


class EndpointKind(StrEnum):
    """The kind of an agent's endpoint."""

    MODEL = "model"  # A model engine.
    PLAIN = "plain"  # An HTTP service other than an engine.


@dataclass(frozen=True, slots=True)
class EndpointSettings:
    """The endpoint that an agent serves."""

    name: Name  # The endpoint's name, unique in the fleet.
    service: Name  # The service that it belongs to.
    kind: EndpointKind  # A model engine or a plain HTTP service.
    url: Url  # Its base URL.
    slots: Annotated[int, Field(ge=0)] = 0  # 0: as configured for the service.
    checks_fencing: bool = False  # Whether it rejects stale order tokens.
    load_path: str = ""  # Path of its load report; empty: none.
    load_interval_s: Seconds = 1.0  # Time between load reports.
    events_path: str = ""  # Path of its cache events; empty: none.
    orders_path: str = ""  # Path that accepts orders; empty: none.
    holdings_path: str = ""  # Path that lists loaded models and adapters.
    health_path: str = ""  # Path of its health check; empty: none.


@dataclass(frozen=True, slots=True)
class AgentSettings:
    """The settings of one agent."""

    instance: Name  # The instance's name, unique in the fleet.
    region: Name  # The instance's region.
    availability_zone: Name  # The instance's availability zone.
    platform: PlatformSettings
    security: SecuritySettings
    endpoint: EndpointSettings  # The endpoint that it serves.
    advertised_host: str = ""  # Host that peers dial; empty: the bound host.
    peers: ListenSettings = field(default_factory=ListenSettings)
    operators: ListenSettings = field(default_factory=ListenSettings)
    drain_timeout_s: Seconds = 300.0  # For running requests at shutdown.


def read_router(path: str) -> Result[RouterSettings, tuple[Finding, ...]]:
    """Read a router's settings.

    :param path: A file of JSON with comments.
    :returns: The settings, or every finding, sorted by position.
    """
    return validation.read_file(path, RouterSettings, _check)


def read_agent(path: str) -> Result[AgentSettings, tuple[Finding, ...]]:
    """Read an agent's settings.

    :param path: A file of JSON with comments.
    :returns: The settings, or every finding, sorted by position.
    """
    return validation.read_file(path, AgentSettings, _check)


def _check(settings: RouterSettings | AgentSettings) -> Iterator[Problem]:
    """Yield the problems that the types can not express."""
    security = settings.security
    path = ("security",)
    secret_sources = bool(security.shared_secret) + bool(
        security.shared_secret_file
    )
    if secret_sources != 1:
        yield problem(path, messages.ONE_SECRET)
    if 0 < len(security.shared_secret) < MIN_SECRET_CHARS:
        yield problem(
            (*path, "shared_secret"),
            messages.SHORT_SECRET,
            chars=MIN_SECRET_CHARS,
        )
    tls = (
        security.tls_certificate_file,
        security.tls_key_file,
        security.tls_authority_file,
    )
    if any(tls) and not all(tls):
        yield problem(path, messages.PARTIAL_TLS)
    if settings.peers.host == "0.0.0.0" and not settings.advertised_host:
        yield problem(("advertised_host",), messages.NO_ADVERTISED_HOST)

"""The settings of a router and of an agent.

Settings belong to one instance and are read once, when it starts; what the
whole fleet shares is published as the configuration instead.  Every
default stands here.
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
    """Where the platform's services are and how long to wait for them."""

    log_url: Url  # The append-only log.
    instances_url: Url  # The instance list.
    log_retention_s: Seconds = 86_400.0  # How long the log keeps records.
    timeout_s: Seconds = 2.0  # The deadline of one call.
    list_interval_s: Seconds = 1.0  # Time between reads of the list.


@dataclass(frozen=True, slots=True)
class SecuritySettings:
    """How instances prove to each other that they belong to the fleet."""

    shared_secret: str = ""  # The fleet's secret; empty: from the file.
    shared_secret_file: str = ""  # A file that holds it; empty: none.
    tls_certificate_file: str = ""  # PEM chain; empty: no TLS.
    tls_key_file: str = ""  # PEM private key; empty: no TLS.
    tls_authority_file: str = ""  # PEM of who signs peers; empty: no TLS.

    def secret(self) -> bytes:
        """Return the shared secret.

        :returns: The secret, from the settings or from its file.
        :raises OSError: If the file can not be read.
        """
        if self.shared_secret:
            return self.shared_secret.encode()
        return Path(self.shared_secret_file).read_bytes().strip()


@dataclass(frozen=True, slots=True)
class LimitSettings:
    """What callers may ask of a router."""

    body_bytes: Positive = 4 * 2**20  # The largest body of a request.
    header_bytes: Positive = 32 * 2**10  # The largest set of headers.
    connections: Positive = 4096  # Callers' connections at once.
    read_timeout_s: Seconds = 15.0  # For a request to arrive.
    idle_timeout_s: Seconds = 75.0  # For a connection without a request.
    queue_bytes: Positive = 48 * 2**20  # Memory of all waiting requests.


@dataclass(frozen=True, slots=True)
class RouterSettings:
    """The settings of one router."""

    instance: Name  # Its name, unique in the fleet.
    region: Name  # The region that it runs in.
    availability_zone: Name  # The availability zone that it runs in.
    platform: PlatformSettings  # The platform's services.
    security: SecuritySettings  # The proof between instances.
    advertised_host: str = ""  # What peers dial; empty: the bound host.
    peers: ListenSettings = field(default_factory=ListenSettings)
    callers: ListenSettings = field(default_factory=ListenSettings)
    operators: ListenSettings = field(default_factory=ListenSettings)
    limits: LimitSettings = field(default_factory=LimitSettings)
    drain_timeout_s: Seconds = 300.0  # For running requests at a stop.


class EndpointKind(StrEnum):
    """What an agent's endpoint is."""

    MODEL = "model"  # A model engine.
    PLAIN = "plain"  # A plain HTTP service.


@dataclass(frozen=True, slots=True)
class EndpointSettings:
    """The endpoint that an agent stands beside."""

    name: Name  # Its name, unique in the fleet.
    service: Name  # The service that it belongs to.
    kind: EndpointKind  # What it is.
    url: Url  # Where it listens.
    slots: Annotated[int, Field(ge=0)] = 0  # 0: as the service says.
    checks_fencing: bool = False  # Whether it refuses old order tokens.
    load_path: str = ""  # The path of its load report; empty: none.
    load_interval_s: Seconds = 1.0  # Time between load reports.
    events_path: str = ""  # The path of its cache events; empty: none.
    orders_path: str = ""  # The path that takes orders; empty: none.
    holdings_path: str = ""  # The path that lists what is loaded.
    health_path: str = ""  # The path that answers when up; empty: none.


@dataclass(frozen=True, slots=True)
class AgentSettings:
    """The settings of one agent."""

    instance: Name  # Its name, unique in the fleet.
    region: Name  # The region that it runs in.
    availability_zone: Name  # The availability zone that it runs in.
    platform: PlatformSettings  # The platform's services.
    security: SecuritySettings  # The proof between instances.
    endpoint: EndpointSettings  # The endpoint beside it.
    advertised_host: str = ""  # What peers dial; empty: the bound host.
    peers: ListenSettings = field(default_factory=ListenSettings)
    operators: ListenSettings = field(default_factory=ListenSettings)
    drain_timeout_s: Seconds = 300.0  # For running requests at a stop.


def read_router(path: str) -> Result[RouterSettings, tuple[Finding, ...]]:
    """Read a router's settings.

    :param path: A file of JSON with comments.
    :returns: The settings, or every finding, sorted by place.
    """
    return validation.read_file(path, RouterSettings, _check)


def read_agent(path: str) -> Result[AgentSettings, tuple[Finding, ...]]:
    """Read an agent's settings.

    :param path: A file of JSON with comments.
    :returns: The settings, or every finding, sorted by place.
    """
    return validation.read_file(path, AgentSettings, _check)


def _check(settings: RouterSettings | AgentSettings) -> Iterator[Problem]:
    """Yield what the types alone do not rule out."""
    security = settings.security
    place = ("security",)
    given = bool(security.shared_secret) + bool(security.shared_secret_file)
    if given != 1:
        yield problem(place, messages.ONE_SECRET)
    if 0 < len(security.shared_secret) < MIN_SECRET_CHARS:
        yield problem(
            (*place, "shared_secret"),
            messages.SHORT_SECRET,
            chars=MIN_SECRET_CHARS,
        )
    tls = (
        security.tls_certificate_file,
        security.tls_key_file,
        security.tls_authority_file,
    )
    if any(tls) and not all(tls):
        yield problem(place, messages.PARTIAL_TLS)
    if settings.peers.host == "0.0.0.0" and not settings.advertised_host:
        yield problem(("advertised_host",), messages.NO_ADVERTISED_HOST)

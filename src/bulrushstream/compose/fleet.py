"""Wire routers and agents that pull requests, from their settings."""

from __future__ import annotations

import ssl
from collections.abc import Callable

from bulrushstream import logs
from bulrushstream.daemon.agent import AgentInstance
from bulrushstream.daemon.base import InstanceDeps
from bulrushstream.daemon.router import RouterInstance
from bulrushstream.metrics import count_decision, make_metrics
from bulrushstream.settings import (
    AgentSettings,
    RouterSettings,
    SecuritySettings,
)
from bulrushstream.state.effect import Decision
from bulrushstream.state.identity import InstanceInfo
from bulrushstream.transport.link import LinkOptions
from bulrushstream.transport.mesh import MeshOptions

Delay = Callable[[InstanceInfo], float]


def make_router(
    settings: RouterSettings, *, delay_for: Delay | None = None
) -> RouterInstance:
    """Return a router with all its parts.

    :param settings: the validated settings
    :param delay_for: a delay in seconds to add to what a peer sends, for
        measurements on one machine
    """
    deps = make_deps(settings.security, settings.instance, delay_for)
    return RouterInstance(settings, deps)


def make_agent(
    settings: AgentSettings, *, delay_for: Delay | None = None
) -> AgentInstance:
    """Return an agent with all its parts.

    :param settings: the validated settings
    :param delay_for: a delay in seconds to add to what a peer sends, for
        measurements on one machine
    """
    deps = make_deps(settings.security, settings.instance, delay_for)
    return AgentInstance(settings, deps)


def make_deps(
    security: SecuritySettings,
    instance: str,
    delay_for: Delay | None = None,
    cpu_clock: Callable[[], float] | None = None,
) -> InstanceDeps:
    """Return an instance's collaborators.

    :param security: the credentials for connections to peers
    :param instance: the instance's name
    :param delay_for: a delay in seconds to add to what a peer sends
    :param cpu_clock: the CPU time in seconds; None: the cores' CPU time is
        not measured
    """
    link = LinkOptions(secret=security.secret().decode())
    mesh = MeshOptions(
        link=link,
        server_tls=_tls(security, ssl.Purpose.CLIENT_AUTH),
        client_tls=_tls(security, ssl.Purpose.SERVER_AUTH),
    )
    metrics = make_metrics()
    log = logs.instance_log(instance)

    def observe(decision: Decision) -> None:
        count_decision(metrics, decision)
        log.log_decision(decision)

    return InstanceDeps(
        mesh=mesh,
        metrics=metrics,
        report=log.report,
        observe=observe,
        delay_for=delay_for,
        cpu_clock=cpu_clock,
    )


def _tls(
    security: SecuritySettings, purpose: ssl.Purpose
) -> ssl.SSLContext | None:
    """Return a context for mutual TLS; None if not configured."""
    if not security.tls_certificate_file:
        return None
    context = ssl.create_default_context(
        purpose, cafile=security.tls_authority_file
    )
    context.load_cert_chain(
        security.tls_certificate_file, security.tls_key_file
    )
    context.verify_mode = ssl.CERT_REQUIRED
    # Peers are dialled by IP address, so host names are not checked.  Every
    # peer with a certificate signed by the authority may join.
    context.check_hostname = False
    return context

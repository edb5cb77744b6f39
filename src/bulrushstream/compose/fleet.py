"""The composition root: wire the parts of an instance from its settings."""

from __future__ import annotations

import ssl
from collections.abc import Callable

from bulrushstream import logs
from bulrushstream.daemon.agent import AgentInstance
from bulrushstream.daemon.base import Surroundings
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
    """Return a router with everything that it is made of.

    :param settings: its checked settings
    :param delay_for: a delay in seconds to add to what a peer sends, for
        measurements on one machine
    """
    around = surroundings(settings.security, settings.instance, delay_for)
    return RouterInstance(settings, around)


def make_agent(
    settings: AgentSettings, *, delay_for: Delay | None = None
) -> AgentInstance:
    """Return an agent with everything that it is made of.

    :param settings: its checked settings
    :param delay_for: a delay in seconds to add to what a peer sends, for
        measurements on one machine
    """
    around = surroundings(settings.security, settings.instance, delay_for)
    return AgentInstance(settings, around)


def surroundings(
    security: SecuritySettings,
    instance: str,
    delay_for: Delay | None = None,
    cpu_clock: Callable[[], float] | None = None,
) -> Surroundings:
    """Return what an instance is given beside its settings.

    :param security: how it proves itself to its peers
    :param instance: its name
    :param delay_for: a delay in seconds to add to what a peer sends
    :param cpu_clock: the processor time in seconds, if the cores' share
        of it is to be measured
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
        log.decide(decision)

    return Surroundings(
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
    """Return a context for mutual TLS; None if the settings name none."""
    if not security.tls_certificate_file:
        return None
    context = ssl.create_default_context(
        purpose, cafile=security.tls_authority_file
    )
    context.load_cert_chain(
        security.tls_certificate_file, security.tls_key_file
    )
    context.verify_mode = ssl.CERT_REQUIRED
    # Peers are dialled by IP number; who may join is what the authority
    # signed, so the certificate's name is not compared.
    context.check_hostname = False
    return context

"""Processes of routers in virtual time, before simulated endpoints."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Final

from bulrushstream.daemon import platformupdates
from bulrushstream.daemon.front import Front, FrontDeps
from bulrushstream.history.routingplatform import host_of, settings_of
from bulrushstream.metrics import make_metrics
from bulrushstream.platform.dialect import PLATFORM
from bulrushstream.state.effect import Decision
from bulrushstream.state.peerupdate import PeerUpdate
from bulrushstream.transport.datagrams import PeerSocket
from tests.crashplans import CrashPlan, crash_config

EPOCH_S: Final = 1.8e9  # The time of day at which runs begin.


@dataclass(slots=True)
class _DatagramSender:
    """One router's socket; stands in for `UdpSocket`."""

    send: Callable[[str, bytes], None]  # Sends a datagram to a host.
    closed: bool = False

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        if not self.closed:
            self.send(address[0], data)

    def close(self) -> None:
        self.closed = True

    def is_closing(self) -> bool:
        return self.closed


@dataclass(slots=True)
class Router:
    """One process of a router."""

    front: Front
    port: PeerSocket
    running: bool = True


def make_router(
    number: int,
    incarnation: int,
    plan: CrashPlan,
    clock: Callable[[], float],
    observe: Callable[[Decision], None],
    send_datagram: Callable[[str, bytes], None],
    boot_clock: Callable[[], float] | None = None,
) -> Router:
    """Return a router that has a configuration and hears its peers."""
    deps = FrontDeps(
        dialect=PLATFORM,
        clock=clock,
        boot_clock=boot_clock or clock,
        time_of_day=lambda: (
            EPOCH_S + clock() + plan.clock_errors_s.get(number, 0.0)
        ),
        rng=Random(plan.seed * 1000 + number),
        metrics=make_metrics(),
        observe=observe,
        report=lambda kind, text: None,
        report_shares=lambda report: None,
    )
    front = Front(settings_of(number, plan.routers), deps)
    port = PeerSocket(
        PeerUpdate(f"front-{number}", incarnation, host_of(number)),
        1,
        lambda update: front.fleet_state.apply_update(update, clock()),
        lambda kind, text: None,
    )
    front.connect_peers(port)
    port.attach(_DatagramSender(send_datagram))
    platformupdates.apply_config(front, crash_config())
    return Router(front, port)

"""Puts together what a router knows of the fleet."""

from __future__ import annotations

import random
from collections.abc import Callable

from bulrushstream.coordination.coldlimits import ColdBounds
from bulrushstream.coordination.coldstarts import ColdStarts
from bulrushstream.coordination.crashids import CrashIds
from bulrushstream.coordination.crashrecords import CrashRecords
from bulrushstream.coordination.crashsuspects import CrashSuspects
from bulrushstream.coordination.endpointlimits import EndpointLimits
from bulrushstream.coordination.endpointnotices import EndpointNotices
from bulrushstream.coordination.evacuations import Evacuations
from bulrushstream.coordination.fairshare import FairShares
from bulrushstream.coordination.fleetstate import CALL_NUMBER_BITS, FleetState
from bulrushstream.coordination.fleetview import FleetView
from bulrushstream.coordination.partsuspects import PartSuspects
from bulrushstream.coordination.parttrials import PartTrials
from bulrushstream.coordination.promptmix import PromptMixes
from bulrushstream.coordination.routerpresence import RouterPresence
from bulrushstream.coordination.routerroster import RouterRoster
from bulrushstream.coordination.streamorigins import StreamOrigins
from bulrushstream.coordination.streamversions import StreamVersions
from bulrushstream.coordination.versionhistory import VersionHistory
from bulrushstream.state.effect import Decision
from bulrushstream.state.nodesettings import NodeSettings


def make_fleet_state(
    settings: NodeSettings,
    peers: FleetView,
    clock: Callable[[], float],
    boot_clock: Callable[[], float],
    rng: random.Random,
    observe: Callable[[Decision], None],
    time_of_day: Callable[[], float],
) -> FleetState:
    """Return the state of a fleet of which nothing is known yet.

    :param settings: the router's settings
    :param peers: the other routers
    :param clock: the event loop's time, in seconds
    :param boot_clock: the same, also while suspended
    :param rng: the source of all randomness
    :param observe: logs a decision
    :param time_of_day: Unix time, in seconds
    """
    crash_ids = CrashIds()
    suspects = CrashSuspects(observe, crash_ids=crash_ids)
    parts = PartSuspects(
        observe, crash_ids, PartTrials(settings.host, peers.live_hosts)
    )
    return FleetState(
        peers,
        FairShares(settings.quota_window_s),
        rng.getrandbits(38) << CALL_NUMBER_BITS,
        suspects,
        parts,
        EndpointLimits(
            observe,
            RouterPresence(
                clock(), lambda: peers.router_count, peers.wakefulness
            ),
            rng,
        ),
        StreamVersions(
            VersionHistory(observe, boot_clock),
            StreamOrigins(settings.host, peers.live_hosts),
        ),
        EndpointNotices(observe),
        CrashRecords(suspects, parts, time_of_day, observe),
        evacuations=Evacuations(observe, boot_clock),
        cold=ColdStarts(
            observe,
            ColdBounds(
                RouterRoster(
                    settings.host,
                    clock(),
                    peers.notified_hosts,
                    wakefulness=peers.wakefulness,
                ),
                rng,
                settings.cold_overshoot,
                settings.cold_slack,
            ),
        ),
        prompt_mixes=PromptMixes(
            observe, lambda endpoint: 1.0 / endpoint.speed.measured
        ),
    )

"""Keeps a router's requests from the endpoints of evacuated zones."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from bulrushstream import messages
from bulrushstream.daemon.safeguards import Refusal
from bulrushstream.daemon.watch import Snapshot
from bulrushstream.metrics import set_evacuated
from bulrushstream.protocol.keyedstore import KeyedRecord

if TYPE_CHECKING:
    from bulrushstream.daemon.attempt import Attempt
    from bulrushstream.daemon.forward import Forward
    from bulrushstream.daemon.front import Front


def apply_records(front: Front, update: Snapshot | KeyedRecord) -> None:
    """Apply what was read from the operators' topic.

    :param front: the router
    :param update: what was read
    """
    evacuations = front.fleet_state.evacuations
    if isinstance(update, Snapshot):
        zones = [
            _decode_zone(front, key, value)
            for key, value in update.values.items()
        ]
        evacuations.listed(filter(None, zones), max(0, update.end_offset))
        return
    zone = _decode_zone(front, update.key, update.value)
    if zone:
        evacuations.applied(zone, update.value is not None, update.offset)
    else:
        evacuations.passed(update.offset)


def _decode_zone(front: Front, key: str, value: bytes | None) -> str:
    """Return the zone that a key evacuates; empty: none."""
    found = front.dialect.decode_evacuation(key, value)
    if found is None:
        return ""
    if found.fault:
        # A key without a zone is told apart by its whole name.
        front.fleet_state.evacuations.found_fault(
            found.zone or key, found.fault
        )
    return found.zone


def is_closed(attempt: Attempt) -> bool:
    """Return whether an attempt must not be sent; count it if so.

    :param attempt: an attempt of which no byte was sent
    """
    evacuations = attempt.front.fleet_state.evacuations
    zone = attempt.endpoint.entry.availability_zone
    if not evacuations.is_evacuated(zone):
        return False
    evacuations.withdrawn(zone)
    attempt.front.metrics.evacuation_withdrawn.labels(zone).inc()
    return True


def withdraw_waiting(front: Front) -> None:
    """Withdraw the requests that wait for connections to evacuated zones.

    They would wait there until a request that runs makes room.

    :param front: the router
    """
    for forward in list(front.forwards):
        attempt = forward.attempt
        if (
            attempt is not None
            and attempt.in_flight
            and not attempt.sent_s
            and is_closed(attempt)
        ):
            attempt.withdraw("the zone is evacuated")


def refusal(front: Front, forward: Forward) -> Refusal | None:
    """Return the refusal of a request whose endpoints are all evacuated.

    :param front: the router
    :param forward: a request for which no endpoint is left
    :returns: the reason; None: evacuations are not why
    """
    version, now_s = forward.version, front.clock()
    pool = front.pool
    if not pool.evacuated_of(forward.service, version) or pool.usable(
        forward.service, now_s, (), version
    ):
        return None
    return Refusal(messages.ZONES_EVACUATED)


def sweep(front: Front) -> None:
    """Log and count what runs in evacuated zones; called often.

    :param front: the router
    """
    evacuations = front.fleet_state.evacuations
    zones = evacuations.zones()
    in_flight: Counter[str] = Counter()
    if zones:
        for forward in front.forwards:
            attempt = forward.attempt
            if attempt is not None and attempt.in_flight:
                in_flight[attempt.endpoint.entry.availability_zone] += 1
        listed = {
            endpoint.entry.availability_zone
            for endpoint in front.pool.by_name.values()
        }
        evacuations.observe_zones(in_flight, listed)
    set_evacuated(front.metrics, {zone: in_flight[zone] for zone in zones})

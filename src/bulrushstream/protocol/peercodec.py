"""Encode updates between routers as datagrams of Thrift structures.

A datagram begins with a checksum, because the Thrift reader trusts the
sizes that it reads and must not get corrupt data.
"""

from __future__ import annotations

import struct
import types
from importlib import resources
from typing import Any, Final

import thriftpy2
import xxhash
from thriftpy2.protocol import TCyBinaryProtocolFactory
from thriftpy2.transport import TMemoryBuffer
from thriftpy2.transport.framed.cyframed import TCyFramedTransport
from thriftpy2.utils import serialize

from bulrushstream.state.evacuation import EvacuatedZone, EvacuationReport
from bulrushstream.state.partevidence import (
    PartProof,
    PartStrikes,
    StruckPart,
)
from bulrushstream.state.peerupdate import (
    ColdEndpoint,
    CrashSuspect,
    EndpointLimit,
    FirstEvent,
    LatelyMixed,
    PeerUpdate,
    RequestPlaced,
    WorkspaceTotals,
)
from bulrushstream.state.returns import ReturnPromise
from bulrushstream.state.streamorigin import StreamOrigin

CHECKSUM: Final = struct.Struct("!Q")

_MAX_MS: Final = 2**31 - 1


class DatagramError(ValueError):
    """A datagram can not be decoded."""


def _load_schema() -> types.ModuleType:
    """Load the Thrift schema that is packaged beside this module."""
    source = resources.files(__package__) / "peers.thrift"
    with resources.as_file(source) as path:
        loaded = thriftpy2.load(str(path), module_name="peers_thrift")
    return loaded


_SCHEMA: Final[Any] = _load_schema()
_BINARY: Final[Any] = TCyBinaryProtocolFactory()  # type: ignore[no-untyped-call]
_FRAME_LENGTH: Final = struct.Struct("!I")


def encode_update(update: PeerUpdate) -> bytes:
    """Encode an update as a datagram.

    :param update: the update
    """
    wire = _SCHEMA.Update(
        instance=update.instance,
        incarnation=update.incarnation,
        host=update.host,
        placed=[
            _SCHEMA.Placed(
                each.call_id,
                each.endpoint,
                list(each.part_ids),
                list(each.part_tokens),
                each.input_tokens,
                each.output_tokens,
                each.born or None,
            )
            for each in update.placements
        ],
        started=[
            _SCHEMA.Started(
                each.call_id,
                each.prefill_tokens_per_s,
                each.took_ms or None,
                each.work_percent or None,
            )
            for each in update.first_events
        ],
        ended=list(update.ended_calls),
        known_hosts=list(update.known_hosts),
        leaving=update.leaving,
        struck=[
            _SCHEMA.Struck(
                each.fingerprint,
                each.endpoint,
                round(each.age_s * 1000),
                each.uncertain,
            )
            for each in update.crash_suspects
        ],
        # Readers of all versions do without the lists from here on.
        cleared=list(update.cleared) or None,
        part_strikes=[
            _SCHEMA.PartStrikes(
                each.endpoint,
                _to_ms(each.age_s),
                [
                    _SCHEMA.StruckPart(part.part_id, _to_ms(part.in_flight_s))
                    for part in each.parts
                ],
                each.uncertain,
            )
            for each in update.part_strikes
        ]
        or None,
        part_proofs=[
            _SCHEMA.PartProof(each.part_id, _to_ms(each.age_s))
            for each in update.part_proofs
        ]
        or None,
        limits=[
            _SCHEMA.Limit(
                each.endpoint,
                -1.0 if each.per_s is None else each.per_s,
                _to_ms(each.age_s),
                each.born or None,
            )
            for each in update.limits
        ]
        or None,
        origins=[
            _SCHEMA.Origin(
                each.stream, each.service, each.version, _to_ms(each.age_s)
            )
            for each in update.origins
        ]
        or None,
        asked_origins=list(update.asked_origins) or None,
        mixed_services=list(update.mixed_services) or None,
        lately_mixed=[
            _SCHEMA.LatelyMixed(each.service, _to_ms(each.age_s))
            for each in update.lately_mixed
        ]
        or None,
        list_age_ms=(
            None if update.list_age_s is None else _to_ms(update.list_age_s)
        ),
        leaving_endpoints=list(update.leaving_endpoints) or None,
        leaving_starts=list(update.leaving_starts) or None,
        cold=[
            _SCHEMA.Cold(each.endpoint, _to_ms(each.left_s))
            for each in update.cold_endpoints
        ]
        or None,
        promises=[
            _SCHEMA.Promise(
                each.digest,
                each.service,
                _to_ms(each.age_s),
                _to_ms(each.due_s),
                each.prefill_tokens,
                _to_ms(each.deadline_s),
            )
            for each in update.promises
        ]
        or None,
        returned=list(update.returned) or None,
        zone=update.zone or None,
        pass_on=update.pass_on or None,
        totals=[
            _SCHEMA.Totals(
                each.workspace,
                each.requested_tokens,
                each.granted_tokens,
                round(each.counted_s * 1000),
            )
            for each in update.totals
        ]
        or None,
    )
    if update.evacuations is not None:
        _add_evacuations(wire, update.evacuations)
    body = serialize(wire, _BINARY)
    return CHECKSUM.pack(xxhash.xxh64_intdigest(body)) + body


def decode_update(data: bytes) -> PeerUpdate:
    """Decode the update in a datagram.

    :param data: the datagram
    :raises DatagramError: if it can not be decoded
    """
    body = data[CHECKSUM.size :]
    if len(data) <= CHECKSUM.size:
        raise DatagramError(
            "the datagram is too short for a checksum and an update"
        )
    (expected,) = CHECKSUM.unpack_from(data)
    if xxhash.xxh64_intdigest(body) != expected:
        raise DatagramError("the checksum does not match")
    # The library raises errors of many types on bytes of another schema.
    try:
        wire = _read_update(body)
        return _from_wire(wire)
    except Exception as error:
        raise DatagramError(f"{type(error).__name__}: {error}") from error


def _read_update(body: bytes) -> Any:
    """Return the Thrift structure in a datagram.

    The library's reader goes on beyond the end of a buffer in memory, for as
    many items as a wrong size says.  In a frame it stops at the end.
    """
    framed = _FRAME_LENGTH.pack(len(body)) + body
    buffer = TMemoryBuffer(framed)  # type: ignore[no-untyped-call]
    wire = _SCHEMA.Update()
    wire.read(_BINARY.get_protocol(TCyFramedTransport(buffer)))
    return wire


def _to_ms(time_s: float) -> int:
    """Return a time in whole milliseconds, within the wire's bounds."""
    return max(0, min(_MAX_MS, round(time_s * 1000)))


def _from_wire(wire: Any) -> PeerUpdate:
    """Convert a Thrift structure to an update.

    Most updates have one or two of the lists, and many arrive.
    """
    lists: dict[str, Any] = {}
    if wire.placed:
        lists["placements"] = tuple(
            RequestPlaced(
                each.call,
                each.endpoint,
                tuple(each.parts),
                tuple(each.lengths),
                each.input_tokens,
                each.output_tokens,
                each.born or "",
            )
            for each in wire.placed
        )
    if wire.started:
        lists["first_events"] = tuple(
            FirstEvent(
                each.call,
                each.read_tokens_per_s,
                each.took_ms or 0,
                each.work_percent or 0,
            )
            for each in wire.started
        )
    if wire.ended:
        lists["ended_calls"] = tuple(wire.ended)
    # A router of an earlier version sends no totals.
    if wire.totals:
        lists["totals"] = tuple(
            WorkspaceTotals(
                each.workspace,
                each.asked_tokens,
                each.granted_tokens,
                each.counted_ms / 1000,
            )
            for each in wire.totals
        )
    if wire.known_hosts:
        lists["known_hosts"] = tuple(wire.known_hosts)
    if wire.origins:
        lists["origins"] = tuple(
            StreamOrigin(
                each.stream, each.pool, each.version, each.age_ms / 1000
            )
            for each in wire.origins
        )
    if wire.asked_origins:
        lists["asked_origins"] = tuple(wire.asked_origins)
    if wire.mixed_services:
        lists["mixed_services"] = tuple(wire.mixed_services)
    if wire.lately_mixed:
        lists["lately_mixed"] = tuple(
            LatelyMixed(each.pool, each.age_ms / 1000)
            for each in wire.lately_mixed
        )
    # A negative age would show a list that was not read yet.
    if wire.list_age_ms is not None and wire.list_age_ms >= 0:
        lists["list_age_s"] = wire.list_age_ms / 1000
    if wire.leaving_endpoints:
        lists["leaving_endpoints"] = tuple(wire.leaving_endpoints)
    if wire.leaving_starts:
        lists["leaving_starts"] = tuple(wire.leaving_starts)
    if wire.cold:
        lists["cold_endpoints"] = tuple(
            ColdEndpoint(each.endpoint, each.left_ms / 1000)
            for each in wire.cold
        )
    if wire.promises:
        lists["promises"] = tuple(
            ReturnPromise(
                each.digest,
                each.pool,
                each.age_ms / 1000,
                each.due_ms / 1000,
                each.prefill_tokens,
                each.deadline_ms / 1000,
            )
            for each in wire.promises
        )
    if wire.returned:
        lists["returned"] = tuple(wire.returned)
    if wire.limits:
        lists["limits"] = tuple(
            EndpointLimit(
                each.endpoint,
                each.per_s if each.per_s >= 0.0 else None,
                each.age_ms / 1000,
                each.born or "",
            )
            for each in wire.limits
        )
    if wire.evacuations_end is not None:
        lists["evacuations"] = _evacuations(wire)
    return PeerUpdate(
        instance=wire.instance,
        incarnation=wire.incarnation,
        host=wire.host,
        leaving=bool(wire.leaving),
        zone=wire.zone or "",
        pass_on=bool(wire.pass_on),
        **lists,
        **_crash_reports(wire),
    )


def _add_evacuations(wire: Any, report: EvacuationReport) -> None:
    """Add the evacuated zones to an update's Thrift structure."""
    wire.evacuated = [
        _SCHEMA.Evacuated(each.zone, each.offset) for each in report.zones
    ]
    wire.evacuations_end = report.end_offset
    wire.evacuations_age_ms = _to_ms(report.age_s)


def _evacuations(wire: Any) -> EvacuationReport:
    """Return the evacuated zones in an update."""
    # Without an age, the report may be of any time.
    age_ms = wire.evacuations_age_ms
    return EvacuationReport(
        tuple(
            EvacuatedZone(each.zone, each.offset)
            for each in wire.evacuated or ()
        ),
        wire.evacuations_end,
        (_MAX_MS if age_ms is None else max(0, age_ms)) / 1000,
    )


def _crash_reports(wire: Any) -> dict[str, Any]:
    """Return the lists of an update that concern crashes."""
    lists: dict[str, Any] = {}
    if wire.struck:
        lists["crash_suspects"] = tuple(
            CrashSuspect(
                each.fingerprint,
                each.endpoint,
                (each.age_ms or 0) / 1000,
                bool(each.uncertain),
            )
            for each in wire.struck
        )
    if wire.cleared:
        lists["cleared"] = tuple(wire.cleared)
    if wire.part_strikes:
        lists["part_strikes"] = tuple(
            PartStrikes(
                each.endpoint,
                each.age_ms / 1000,
                tuple(
                    StruckPart(part.part, part.in_flight_ms / 1000)
                    for part in each.parts
                ),
                bool(each.uncertain),
            )
            for each in wire.part_strikes
        )
    if wire.part_proofs:
        lists["part_proofs"] = tuple(
            PartProof(each.part, each.age_ms / 1000)
            for each in wire.part_proofs
        )
    return lists

"""Measures what it costs to keep crashes of endpoints in the store.

Prints, by number of routers, the appends and bytes that a crash causes, and
what a router reads and how long it takes to apply it when it starts after a
zone's endpoints have all crashed.
"""

from __future__ import annotations

import time
from random import Random
from typing import Final

from bulrushstream.coordination.crashids import CrashIds
from bulrushstream.coordination.crashrecords import CrashRecords
from bulrushstream.coordination.crashsuspects import CrashSuspects
from bulrushstream.coordination.originqueue import write_interval_s
from bulrushstream.coordination.partsuspects import PartSuspects
from bulrushstream.protocol.crashcodec import decode_crashes, encode_crashes
from bulrushstream.state.crashrecord import RecordedCrash

ROUTERS: Final = (4, 27, 68, 340)
ENDPOINTS_PER_ROUTER: Final = 8.5
ZONES: Final = 6
RUNS: Final = 20  # In flight at an endpoint that crashes.
SHARED_PARTS: Final = 40  # Of all prompts; each run has two of them.
STORE_WRITES_PER_S: Final = 400.0
APPEND_S: Final = 0.004  # The store carries out one at a time.


def make_records() -> CrashRecords:
    """Return the records of a router that knows of no crash."""
    crash_ids = CrashIds()
    return CrashRecords(
        CrashSuspects(lambda decision: None, crash_ids=crash_ids),
        PartSuspects(lambda decision: None, crash_ids),
        lambda: 1.8e9,
        lambda decision: None,
    )


def crash_endpoints(
    count: int, routers: int, rng: Random
) -> dict[int, tuple[RecordedCrash, ...]]:
    """Return the record of each router after some endpoints crashed.

    :param count: the number of endpoints
    :param routers: the number of routers
    :param rng: the source of randomness
    """
    by_router: dict[int, CrashRecords] = {}
    for number in range(count):
        endpoint = f"i-{rng.getrandbits(40):010x}"
        for _ in range(RUNS):
            records = by_router.setdefault(
                rng.randrange(routers), make_records()
            )
            fingerprint = rng.getrandbits(63)
            parts = [rng.randrange(SHARED_PARTS) for _ in range(2)]
            at_s = 100.0 + number / 100.0
            records.suspects.endpoint_crashed(
                endpoint, fingerprint, at_s, at_s
            )
            records.parts.endpoint_crashed(
                endpoint, parts, at_s - 0.1, at_s, at_s
            )
            records.found(endpoint, at_s, fingerprint, parts, at_s)
    now_s = 100.0 + count / 100.0
    return {
        number: records.current(now_s) for number, records in by_router.items()
    }


def main() -> None:
    """Print a row for each number of routers."""
    print(
        "routers  one crash: appends, bytes  zone: endpoints, appends, bytes,"
        " last written  start: bytes, applied"
    )
    for routers in ROUTERS:
        rng = Random(routers)
        one = crash_endpoints(1, routers, rng)
        endpoints = max(1, round(routers * ENDPOINTS_PER_ROUTER / ZONES))
        zone = crash_endpoints(endpoints, routers, rng)
        encoded = {
            f"10.0.{number // 256}.{number % 256}": encode_crashes(crashes)
            for number, crashes in zone.items()
        }
        interval_s = write_interval_s(routers, STORE_WRITES_PER_S)
        begin_s = time.process_time()
        started = make_records()
        started.restore(
            [(host, decode_crashes(data)) for host, data in encoded.items()],
            "10.0.0.0",
            1000.0,
        )
        started.parts.sweep(1000.0)
        applied_s = time.process_time() - begin_s
        size = sum(map(len, encoded.values()))
        print(
            f"{routers:7}  {len(one):7}"
            f" {sum(len(encode_crashes(each)) for each in one.values()):6}"
            f"  {endpoints:4} {len(zone):4} {size:7}"
            f" {max(interval_s, len(zone) * APPEND_S):6.2f} s"
            f"  {size:7} {applied_s * 1000:6.1f} ms"
        )


if __name__ == "__main__":
    main()

"""Decode a service's cold limits, which may be no numbers at all.

A limit that is not finite means that there is none.  JSON has no such
numbers, but its writers may produce them, and a document must not be lost for
one of them.
"""

from __future__ import annotations

import json
import math
from collections.abc import Callable
from typing import Any, Final

MAX_COLD_START_S: Final = 3_600.0
DEFAULT_COLD_START_S: Final = 3.0

# A limit in requests a second above this one is no limit in practice.
MAX_COLD_PER_S: Final = 1e6

MAX_LOGGED_CHARS: Final = 40
FIELDS: Final = ("coldPerS", "coldStartS")

Report = Callable[[str], None]


def mend_limits(data: bytes) -> bytes | None:
    """Return a configuration with texts for limits that are not finite.

    :param data: a configuration that is not valid JSON
    :returns: valid JSON; None: it is invalid for another reason
    """
    try:
        document = json.loads(data)
        for service in document["services"]:
            for name in FIELDS:
                value = service.get(name)
                if isinstance(value, float) and not math.isfinite(value):
                    service[name] = repr(value)
        return json.dumps(document, allow_nan=False).encode()
    except (
        ValueError,
        TypeError,
        KeyError,
        AttributeError,
        RecursionError,
    ):
        return None


def decode_per_s(service: str, raw: Any, report: Report) -> float | None:
    """Decode `coldPerS`; None: no number is given.

    :param service: the service's name
    :param raw: the value
    :param report: called with a line if it can not be used
    """
    per_s = _number(raw)
    if per_s is None:
        if raw is not None:
            report(
                f"service {service}: coldPerS is no number, so there is no "
                f"limit: {str(raw)[:MAX_LOGGED_CHARS]!r}"
            )
        return None
    return min(per_s, MAX_COLD_PER_S) if math.isfinite(per_s) else per_s


def decode_start_s(service: str, raw: Any, report: Report) -> float:
    """Decode `coldStartS`; what is no time stands for the default.

    :param service: the service's name
    :param raw: the value
    :param report: called with a line if it can not be used
    """
    start_s = _number(raw)
    if start_s is not None and 0.0 <= start_s <= MAX_COLD_START_S:
        return start_s
    if raw is not None:
        report(
            f"service {service}: coldStartS is no time: "
            f"{str(raw)[:MAX_LOGGED_CHARS]!r}"
        )
    return DEFAULT_COLD_START_S


def _number(raw: Any) -> float | None:
    """Return a number of a document; None: it is none."""
    if raw in ("inf", "-inf", "nan"):
        return float(raw)
    if isinstance(raw, bool) or not isinstance(raw, int | float):
        return None
    try:
        return float(raw)
    except OverflowError:
        return math.inf if raw > 0 else -math.inf

"""Rules by which parts with strikes are held, and requests refused."""

from __future__ import annotations

from collections.abc import Sequence
from itertools import pairwise
from typing import Final

from bulrushstream.coordination.crashids import CrashIds
from bulrushstream.coordination.partstrikes import PartStrikeTable

# A part is held from this many strikes on: three independent ones, or fewer
# if no answer proved it in the time before the first.
HELD_STRIKES: Final = 3
HELD_STRIKES_AT_ONCE: Final = 5
HELD_INDEPENDENT: Final = 3
HELD_INDEPENDENT_UNFAMILIAR: Final = 2
FAMILIAR_S: Final = 5.0

# A request is refused from this many strikes on; the second figure applies if
# most of the crashes in the same time were without the part.
REFUSED_STRIKES: Final = 4
REFUSED_STRIKES_AMID_OTHERS: Final = 6

# A refused part is tried again after this time without a run, in case that
# something else ended the endpoints; then after ever longer times.
RETRIAL_S: Final = 30.0
RETRIAL_GROWTH: Final = 4.0


def is_held(table: PartStrikeTable, part: int) -> bool:
    """Return whether a part's requests must run one at a time.

    :param table: the strikes
    :param part: the part's id
    """
    strikes = table.strikes(part)
    if len(strikes) < HELD_STRIKES:
        return False
    independent = table.independent_count(part)
    if independent >= HELD_INDEPENDENT:
        return True
    first_s = strikes[0].crash_s
    if table.proven_s(part) >= first_s - FAMILIAR_S:
        return False
    return (
        independent >= HELD_INDEPENDENT_UNFAMILIAR
        or len(strikes) >= HELD_STRIKES_AT_ONCE
    )


def may_refuse(table: PartStrikeTable, crash_ids: CrashIds, part: int) -> bool:
    """Return whether a held part's strikes suffice to refuse requests.

    :param table: the strikes
    :param crash_ids: all known crashes
    :param part: the part's id
    """
    strikes = table.strikes(part)
    crashes = crash_ids.count_between(strikes[0].crash_s, strikes[-1].crash_s)
    if len(strikes) * 2 > crashes:
        return len(strikes) >= REFUSED_STRIKES
    return len(strikes) >= REFUSED_STRIKES_AMID_OTHERS


def explains_crashes(
    table: PartStrikeTable, part: int, parts: Sequence[int]
) -> bool:
    """Return whether a request has all that may explain a part's crashes.

    :param table: the strikes
    :param part: the part's id
    :param parts: the shared parts of the request's prompt
    """
    return table.explanations(part) <= set(parts)


def retrial_s(table: PartStrikeTable, part: int, last_run_s: float) -> float:
    """Return when a refused part is tried again.

    :param table: the strikes
    :param part: the part's id
    :param last_run_s: when a request with it was last sent
    """
    strikes = table.strikes(part)
    retrials = sum(
        later.sent_s - earlier.crash_s >= RETRIAL_S
        for earlier, later in pairwise(strikes)
    )
    last_s = max(strikes[-1].crash_s, last_run_s)
    return last_s + RETRIAL_S * RETRIAL_GROWTH**retrials

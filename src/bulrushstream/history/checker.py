"""Check a history against all guarantees of the fleet.

Each module of checks takes the whole history and reports every violation
with its index in the history.
"""

from __future__ import annotations

from bulrushstream.history.answers import check_answers
from bulrushstream.history.instances import check_instances
from bulrushstream.history.record import History
from bulrushstream.history.runs import check_runs
from bulrushstream.history.shares import check_shares
from bulrushstream.history.violation import CheckLimits, Violation


def check_history(
    history: History, limits: CheckLimits | None = None
) -> list[Violation]:
    """Return every violation in a history, by time.

    :param history: the records, by time.
    :param limits: the limits to check; None: the defaults.
    :returns: the violations, sorted; empty if every guarantee held.
    """
    bounds = limits or CheckLimits()
    violations = check_answers(history, bounds)
    violations += check_runs(history, bounds)
    violations += check_instances(history, bounds)
    violations += check_shares(history, bounds)
    return sorted(violations)

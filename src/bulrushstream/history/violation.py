"""Violations found in a history, and the limits that are checked."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class ViolationKind(StrEnum):
    """The guarantee that a history violates."""

    FOREIGN_ANSWER = "foreign-answer"  # Bytes that no run of the request sent.
    TRUNCATED_WHOLE = "truncated-whole"  # Reported complete, but is not.
    GARBLED_ANSWER = "garbled-answer"  # Reordered, lost or repeated bytes.
    AFTER_END = "after-end"  # A record followed the final answer.
    NO_ANSWER = "no-answer"  # No final answer by the deadline.
    FALSE_NOT_RUN = "false-not-run"  # Reported not-run, but it ran.
    FALSE_RAN = "false-ran"  # Reported ran, but it did not run.
    CALM_FAILURE = "calm-failure"  # A call failed without faults.
    RUN_TWICE = "run-twice"  # A non-idempotent request ran again.
    CRASH_BOUND = "crash-bound"  # One request crashed too many endpoints.
    LATE_WORK = "late-work"  # Work started or continued too late.
    CUT_REQUEST = "cut-request"  # A planned stop cut off a request.
    UNFAIR = "unfair"  # Too large a gap between workspaces.
    IDLE_SLOT = "idle-slot"  # A slot idled while requests waited.
    VERSION_FELL = "version-fell"  # A lower configuration version applied.
    CORE_FAILED = "core-failed"  # A core raised an exception.


class RoutingViolationKind(StrEnum):
    """A guarantee of front-end routers only."""

    REVOKED_KEY = "revoked-key"  # It ran too long after its key was revoked.
    OVER_BUDGET = "over-budget"  # More attempts or retries than allowed.
    MIXED_VERSIONS = "mixed-versions"  # Events of two software versions.
    REST_BROKEN = "rest-broken"  # Requests to an endpoint that rests.
    LEFTOVER = "leftover"  # State of requests that ended long ago.


@dataclass(frozen=True, slots=True, order=True)
class Violation:
    """One violation of a guarantee in a history."""

    at_s: float  # Virtual time at which it is certain.
    index: int  # The record's index in the history; its length: the end.
    kind: ViolationKind | RoutingViolationKind
    subject: str  # The request, instance or workspaces.
    text: str  # One sentence.

    def __str__(self) -> str:
        """Return the violation as one line."""
        position = f"{self.at_s:.4f}s #{self.index}"
        return f"{position}: {self.kind}: {self.subject}: {self.text}"


@dataclass(frozen=True, slots=True)
class CheckLimits:
    """The limits that a history is checked against."""

    answer_grace_s: float = 1.0  # A final answer may be this late.
    # Later calls succeed; None: not checked.
    must_succeed_from_s: float | None = None
    crash_limit: int = 3  # Endpoints that one fingerprint may crash.
    drain_bound_s: float = 3.0  # From leaving to the last started run.
    # Idle while requests wait; None: unchecked.
    idle_bound_s: float | None = None
    fairness_gap: float | None = None  # In weighted units; None: unchecked.

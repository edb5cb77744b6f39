"""What routers tell each other, and the metrics, of callers that return."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ReturnPromise:
    """A refused request whose caller was given a time to return."""

    digest: int  # Of the request, a signed 64-bit number.
    service: str  # The service's name.
    age_s: float  # How long ago the caller's first attempt arrived.
    due_s: float  # The time until it may return.
    prefill_tokens: int  # Prefill that is kept free for it; 0: none.
    deadline_s: float  # The time until the caller's deadline.

    def after(self, elapsed_s: float) -> ReturnPromise:
        """Return the same promise as it is told some time later.

        :param elapsed_s: that time, in seconds
        """
        return ReturnPromise(
            self.digest,
            self.service,
            self.age_s + elapsed_s,
            max(0.0, self.due_s - elapsed_s),
            self.prefill_tokens,
            max(0.0, self.deadline_s - elapsed_s),
        )


@dataclass(frozen=True, slots=True)
class ReturnReport:
    """What became of refused requests at a router since the last report."""

    refusals: Mapping[str, int]  # Refused requests for models, by reason.
    returns: Mapping[str, int]  # Events of promises, by name.
    open_promises: int = 0  # Of all routers, now.
    kept_share: float = 1.0  # Of the promises whose callers came in time.

"""The limits that endpoints name, as far as one router knows.

An endpoint in need names in its answers how many requests a second it takes
from all routers together, for as long as it says so.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from bulrushstream.state.effect import Decision


@dataclass(slots=True)
class EndpointLimits:
    """The limits that are in force."""

    on_decision: Callable[[Decision], None]  # Called for each change.
    _per_s: dict[str, float] = field(default_factory=dict)
    _bad: dict[str, str] = field(default_factory=dict)  # Logged values.

    def observe(
        self, endpoint: str, per_s: float | None, bad_value: str
    ) -> None:
        """Record what an answer says of its endpoint's limit.

        :param endpoint: the endpoint's id
        :param per_s: the limit in requests a second; None: none is named
        :param bad_value: a value that is no limit; empty: none
        """
        if bad_value and endpoint not in self._bad:
            self._bad[endpoint] = bad_value
            self.on_decision(
                Decision(
                    "bad_limit",
                    "the limit can not be read",
                    endpoint=endpoint,
                    inputs={"value": bad_value},
                )
            )
        if per_s == self._per_s.get(endpoint):
            return
        if per_s is None:
            del self._per_s[endpoint]
        else:
            self._per_s[endpoint] = per_s
        self.on_decision(
            Decision(
                "endpoint_limit",
                "the endpoint names a limit" if per_s else "it names none",
                endpoint=endpoint,
                inputs={"per_s": -1.0 if per_s is None else per_s},
            )
        )

    def forget(self, endpoint: str) -> None:
        """Remove an endpoint that is no longer in the list.

        :param endpoint: the endpoint's id
        """
        self._per_s.pop(endpoint, None)
        self._bad.pop(endpoint, None)

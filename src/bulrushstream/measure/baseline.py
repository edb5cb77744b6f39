"""A router instance with a baseline policy, for measurements only."""

from __future__ import annotations

from bulrushstream.daemon.base import InstanceDeps
from bulrushstream.daemon.driver import Core
from bulrushstream.daemon.router import RouterInstance
from bulrushstream.measure.policies import (
    Policy,
    handle_baseline,
    new_baseline,
)
from bulrushstream.settings import RouterSettings


class BaselineRouter(RouterInstance):
    """A router that runs a baseline policy as its core."""

    def __init__(
        self, settings: RouterSettings, deps: InstanceDeps, policy: Policy
    ) -> None:
        """Create a router that is not yet started.

        :param settings: its validated settings
        :param deps: its collaborators
        :param policy: the baseline policy
        """
        super().__init__(settings, deps)
        self._baseline = new_baseline(self.info, policy, self.rng)

    def role_core(self) -> Core:
        """Return the baseline's core; see `RouterInstance`."""
        return Core(
            "baseline",
            lambda event, now_s: handle_baseline(self._baseline, event, now_s),
        )

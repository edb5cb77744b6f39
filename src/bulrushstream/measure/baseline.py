"""A router's process with one of the simple policies, for measuring only."""

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
    """A router whose decisions a simple policy takes."""

    def __init__(
        self, settings: RouterSettings, around: InstanceDeps, policy: Policy
    ) -> None:
        """Make a router that runs nothing yet.

        :param settings: its checked settings
        :param around: what else it is given
        :param policy: the simple policy
        """
        super().__init__(settings, around)
        self._baseline = new_baseline(self.info, policy, self.rng)

    def role_core(self) -> Core:
        """Return the simple policy; see `RouterInstance`."""
        return Core(
            "baseline",
            lambda event, now_s: handle_baseline(self._baseline, event, now_s),
        )

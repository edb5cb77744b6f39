"""The order and the ends of streams of real routers at their limits.

Guards against streams in which events are missing, come twice or belong to
two runs, as clocks are set back, memory runs out, or a link is cut in one
direction while callers go on elsewhere.
"""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.limitplays import play_limits


class LimitSuite:
    @pytest.mark.parametrize("kind", ("clock", "cut", "memory"))
    async def test_streams_are_in_order(
        self, kind: str, tmp_path: Path
    ) -> None:
        """Guards against streams out of order that only limits show."""
        soak = await play_limits(kind, 1, tmp_path)
        assert soak.wrong == []
        # Callers must be served, too.
        assert soak.whole >= 0.2 * soak.streams

"""Releases of endpoints while real routers are out of step.

Guards against streams whose events are of two software versions.
"""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.releasesoak import Return, play_releases
from tests.streamjudge import Fault, find_crossing


class ReleaseSoakSuite:
    # Guards against streams that change their version after a router stood
    # still, was restarted or could not read the list, amid a release.
    @pytest.mark.parametrize(
        ("seed", "returns"),
        [
            (2, Return.SAME_ID),
            (4, Return.SAME_ID),
            (7, Return.NEW_ID),
        ],
    )
    async def test_streams_keep_their_version(
        self, seed: int, returns: Return, tmp_path: Path
    ) -> None:
        soak = await play_releases(seed, tmp_path, returns)
        print(soak.summary)
        assert soak.wrong == [], soak.summary
        assert soak.errors == [], soak.summary
        # Callers must be served, too.
        assert soak.whole >= 0.3 * soak.streams, soak.summary
        # The play must have its faults, and streams that go on.
        assert soak.faults["pause"] and soak.faults["to v2"], soak.summary
        assert bool(soak.refused_calls) == soak.refuses, soak.summary
        assert soak.taken_up >= 20, soak.summary


class CrossingSuite:
    # Guards against a judge that passes over a change of the version, also
    # behind an event whose run is not known.
    def test_a_crossing_is_found(self) -> None:
        versions = {1: "v1", 2: "v1", 3: "v2"}
        events = [(1, 1), (2, 2), (3, 0), (4, 3)]
        found = find_crossing("q1", events, versions)
        assert [(each.fault, each.last) for each in found] == [
            (Fault.VERSION, 2)
        ]
        assert find_crossing("q1", events[:3], versions) == []

"""The list of what may have crashed an endpoint."""

from __future__ import annotations

from bulrushstream.coordination.watchlist import (
    MAX_WATCHED,
    WATCHED_S,
    WatchList,
)


class WatchListSuite:
    def test_a_key_is_watched_for_a_time_after_its_last_run(self) -> None:
        watched = WatchList()
        assert not watched
        assert watched.add(1, 10.0)
        assert watched.add(1, 20.0)
        assert watched.covers(1, 20.0 + WATCHED_S - 0.1)
        assert not watched.covers(1, 20.0 + WATCHED_S + 0.1)
        assert not watched.covers(2, 20.0)

    # Guards against late reports that shorten the watch.
    def test_an_earlier_run_changes_nothing(self) -> None:
        watched = WatchList()
        watched.add(1, 20.0)
        assert not watched.add(1, 10.0)
        assert list(watched) == [(1, 20.0)]

    def test_only_runs_before_an_answer_are_removed(self) -> None:
        watched = WatchList()
        watched.add(1, 20.0)
        assert not watched.remove(1, before_s=20.0)
        assert watched.remove(1, before_s=20.1)
        assert not watched.remove(1)
        assert not watched

    def test_the_key_that_was_added_first_is_forgotten(self) -> None:
        watched = WatchList()
        for key in range(MAX_WATCHED):
            watched.add(key, 1.0)
        watched.add(0, 2.0)
        watched.add(MAX_WATCHED, 3.0)
        assert watched.covers(0, 3.0)
        assert not watched.covers(1, 3.0)
        assert len(list(watched)) == MAX_WATCHED

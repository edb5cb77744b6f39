"""Whether a router may take all streams of a route for one version's."""

from __future__ import annotations

from dataclasses import replace

from bulrushstream.coordination.versionhistory import KEEP_S, VersionHistory
from bulrushstream.state.effect import Decision
from bulrushstream.state.routes import RequestKind, Route, SplitShare
from tests.builders import FakeClock
from tests.deployments import a_route


def a_stream_route(*services: str) -> Route:
    """Return a route whose streams go to some services."""
    return a_route(
        kind=RequestKind.STREAMING,
        split=tuple(SplitShare(name, 1.0) for name in services),
        resumable=True,
    )


ROUTE = a_stream_route("llm")


def a_history(clock: FakeClock, *versions: str) -> VersionHistory:
    """Return the history of a router that follows the endpoint list."""
    decisions: list[Decision] = []
    history = VersionHistory(decisions.append, clock.now, complete=True)
    history.configure([ROUTE])
    history.list_versions("llm", versions)
    history.list_read(clock.now())
    return history


def shows(history: VersionHistory, route: Route) -> bool:
    """Return whether the list shows one version for streams until now."""
    return history.shows_one_version_at(route, history.clock())


def hear(history: VersionHistory, list_age_s: float | None) -> None:
    """Let a router that runs without a pause hear a peer at once."""
    history.tick()
    history.tick()
    history.peer_heard(list_age_s)


class VersionHistorySuite:
    def test_one_version_is_shown(self) -> None:
        assert shows(a_history(FakeClock(), "v1", "v1"), ROUTE)

    def test_an_unknown_version_is_another_one(self) -> None:
        assert not shows(a_history(FakeClock(), "v1", ""), ROUTE)
        assert not shows(a_history(FakeClock(), ""), ROUTE)

    def test_versions_are_remembered(self) -> None:
        clock = FakeClock()
        history = a_history(clock, "v1", "v2")
        history.list_versions("llm", ("v2",))
        clock.advance(KEEP_S - 1.0)
        history.list_read(clock.now())
        assert not shows(history, ROUTE)
        clock.advance(1.5)
        history.list_read(clock.now())
        assert shows(history, ROUTE)

    def test_a_version_that_was_replaced_in_one_read(self) -> None:
        history = a_history(FakeClock(), "v1")
        history.list_versions("llm", ("v2",))
        assert not shows(history, ROUTE)

    def test_a_router_that_reads_no_list_and_hears_nobody(self) -> None:
        clock = FakeClock()
        history = a_history(clock, "v1")
        clock.advance(4.0)
        assert not shows(history, ROUTE)
        history.peer_heard()
        assert not shows(history, ROUTE)

    def test_a_router_that_has_just_started(self) -> None:
        history = a_history(FakeClock(), "v1")
        history.complete = False
        assert not shows(history, ROUTE)

    def test_a_peer_knows_another_version(self) -> None:
        history = a_history(FakeClock(), "v1")
        history.told(("llm",), "front-2")
        assert not shows(history, ROUTE)

    def test_a_route_that_moves(self) -> None:
        clock = FakeClock()
        history = a_history(clock, "v1")
        moved = replace(ROUTE, split=a_stream_route("new").split)
        history.configure([moved])
        assert not shows(history, moved)
        assert history.origins_matter("llm")
        clock.advance(KEEP_S + 1.0)
        history.list_read(clock.now())
        assert shows(history, moved)

    def test_a_route_with_several_services(self) -> None:
        history = a_history(FakeClock(), "v1")
        split = a_stream_route("llm", "new")
        history.configure([split])
        assert not shows(history, split)


class RepeatSuite:
    def test_versions_that_were_mixed_lately_are_repeated(self) -> None:
        """Guards against peers that missed a version that has left."""
        clock = FakeClock()
        first, peer = a_history(clock, "v1"), a_history(clock, "v1")
        first.list_versions("llm", ("v1", "v2"))
        assert first.lately_mixed() == ()
        first.list_versions("llm", ("v1",))
        clock.advance(KEEP_S - 1.0)
        (mixed,) = first.lately_mixed()
        peer.told((mixed.service,), "front-1", mixed.age_s)
        assert peer.had_several("llm")
        assert peer.lately_mixed() == ()
        clock.advance(1.0)
        assert not peer.had_several("llm")
        assert first.lately_mixed() == ()

    def test_nothing_is_repeated_of_one_version(self) -> None:
        """Guards against bytes where there is nothing to tell apart."""
        assert a_history(FakeClock(), "v1", "v1").lately_mixed() == ()


class TakeUpSuite:
    """What shows the version of a stream that a caller takes up.

    Guards against a router that was out of step, and takes what it knew
    before for what it knows.
    """

    def test_a_list_that_was_read_before_shows_nothing(self) -> None:
        clock = FakeClock()
        history = a_history(clock, "v1")
        history.list_read(clock.now_s)
        assert history.shows_one_version_at(ROUTE, clock.now_s)
        assert not history.shows_one_version_at(ROUTE, clock.now_s + 0.01)

    def test_peers_show_it_if_they_were_heard_without_a_pause(self) -> None:
        clock = FakeClock()
        history = a_history(clock, "v1")
        for pause_s, steps, shown in ((0.5, 6, True), (3.0, 1, False)):
            for _ in range(steps):
                clock.now_s += pause_s
                hear(history, 0.0)
            at_s = clock.now_s
            assert history.peers_show_one_version(ROUTE, at_s) is shown
            assert not history.peers_show_one_version(ROUTE, at_s + 0.01)

    def test_a_peer_shows_only_what_it_has_read(self) -> None:
        """Guards against peers who are believed without a list."""
        clock = FakeClock()
        history = a_history(clock, "v1")
        begin_s = clock.now_s
        for list_age_s, shown in ((None, False), (2.5, False), (0.5, True)):
            for _ in range(5):
                clock.now_s += 0.5
                hear(history, list_age_s)
            at_s = clock.now_s - 0.5
            assert history.peers_show_one_version(ROUTE, at_s) is shown
        assert history.peers_show_one_version(ROUTE, begin_s)

    def test_an_update_that_waited_here_is_old(self) -> None:
        """Guards against ages that are counted from after a pause."""
        clock = FakeClock()
        history = a_history(clock, "v1")
        for _ in range(6):
            clock.now_s += 0.5
            hear(history, 0.0)
        stopped_s = clock.now_s
        clock.now_s += 1.0
        # The timers run first, then the socket is read.
        history.tick()
        history.peer_heard(0.0)
        assert history.peers_show_one_version(ROUTE, stopped_s)
        assert not history.peers_show_one_version(ROUTE, stopped_s + 0.01)
        clock.now_s += 0.1
        history.tick()
        history.peer_heard(0.0)
        assert history.peers_show_one_version(ROUTE, stopped_s + 1.0)

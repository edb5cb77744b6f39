"""Zones that operators evacuate get no requests.

Guards against requests that reach an evacuated zone all the same, against
zones that stay out of use after an evacuation, and against requests that are
lost because of one.
"""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from importlib import resources
from pathlib import Path
from types import SimpleNamespace
from typing import Any, Final, cast

import pytest
import thriftpy2
import thriftpy2.utils

from bulrushstream.coordination import evacuations
from bulrushstream.coordination.endpointpool import Endpoint, EndpointPool
from bulrushstream.coordination.evacuations import Evacuations
from bulrushstream.coordination.fleetstate import FleetState
from bulrushstream.daemon import evacuating
from bulrushstream.daemon.recovery import Recovery
from bulrushstream.history.simulatedtopic import SimulatedTopic, TopicReader
from bulrushstream.history.virtualloop import run_virtually
from bulrushstream.messages import ZONES_EVACUATED
from bulrushstream.platform.documents import decode_evacuation
from bulrushstream.protocol import peercodec
from bulrushstream.state.effect import Decision
from bulrushstream.state.evacuation import EvacuatedZone, EvacuationReport
from bulrushstream.state.peerupdate import PeerUpdate
from bulrushstream.transport.httpcall import Answer
from tests.crashplans import CrashPlan, Prompts, RouterFault
from tests.crashrouters import make_router
from tests.deployments import Deployment, request_bytes, send_request
from tests.evacuationfleets import (
    EvacuationPlan,
    play_evacuation,
    watch_topic,
)

SOUND: Final = Prompts(b"sound", (("a1",), ("c1", "c2")), per_s=60.0)
LEARN_S: Final = 0.05  # From the store's answer to the last request.
HEARD_S: Final = 1.1  # The same, from two heartbeats of peers.
KEY_A: Final = "evacuate/a"
EVACUATED: Final = ((4.0, KEY_A, b"{}"), (9.0, KEY_A, None))


@dataclass
class Node:
    """The evacuations at one router, with a clock that is set."""

    name: str
    now_s: float = 100.0
    lines: list[Decision] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.state = Evacuations(self.lines.append, lambda: self.now_s)

    def hears(self, other: Node, late_s: float = 0.0) -> None:
        """Apply the other router's heartbeat, which took some time."""
        report = other.state.to_repeat(other.now_s - late_s)
        self.state.apply_update(
            PeerUpdate(other.name, 1, "", evacuations=report)
        )


def nodes(count: int) -> list[Node]:
    """Return routers that have read a topic of ten records, none of a zone."""
    found = [Node(f"front-{number}") for number in range(count)]
    for node in found:
        node.state.listed((), 10)
    return found


class ViewSuite:
    """Which of several views of the topic is in force."""

    # Offsets of before a reset outranked those of after.
    def test_a_store_that_was_reset_counts(self) -> None:
        node, stale = nodes(2)
        for each in (node, stale):
            each.state.applied("a", True, 900)
            each.now_s += 20.0
        node.state.listed(["b"], 2)
        node.hears(stale)
        stale.hears(node)
        assert node.state.zones() == stale.state.zones() == {"b"}

    # A peer's report of records that the store lost held for ever.
    def test_a_read_after_a_peers_report_refutes_it(self) -> None:
        node, stale = nodes(2)
        stale.state.applied("a", True, 500)
        node.hears(stale)
        node.state.confirmed(node.now_s - 0.2)  # Sent before the report.
        assert node.state.is_evacuated("a")
        node.state.confirmed(node.now_s)
        assert not node.state.is_evacuated("a")

    # A listing that failed would have opened every zone.
    def test_nothing_is_open_because_a_listing_failed(self) -> None:
        [peer], node = nodes(1), Node("front-1")
        assert node.state.to_repeat(node.now_s) is None
        peer.state.applied("a", True, 10)
        node.hears(peer)
        node.state.passed(11)
        node.state.applied("b", False, 12)
        node.state.confirmed(node.now_s)
        assert node.state.zones() == {"a"}

    # A router without the store knew of a begin, and never of the end.
    def test_a_router_without_the_store_learns_begin_and_end(self) -> None:
        node, peer = nodes(2)
        for active, offset in ((True, 10), (False, 11)):
            node.now_s = peer.now_s = node.now_s + 30.0
            peer.state.applied("a", active, offset)
            node.hears(peer)
            assert node.state.is_evacuated("a") is active
        assert {line.inputs["reporter"] for line in node.lines} == {peer.name}

    # A peer whose read is pending has confirmed later, and knows less.
    def test_older_and_reordered_reports_do_not_end_it(self) -> None:
        node, informed, other = nodes(3)
        before = informed.state.to_repeat(100.0)
        informed.state.applied("a", True, 10)
        node.hears(informed)
        late = PeerUpdate(informed.name, 1, "", evacuations=before)
        node.state.apply_update(late)
        other.now_s = node.now_s = 102.5
        other.state.confirmed(other.now_s)
        node.hears(other)
        assert [line.kind for line in node.lines] == ["evacuation_begun"]

    # Time that a process stands still makes old reports look young.
    def test_a_report_that_waited_is_corrected_by_the_next(self) -> None:
        node, informed, stale = nodes(3)
        informed.state.applied("a", True, 10)
        for each in (node, informed, stale):
            each.now_s = 109.0
        node.hears(stale, late_s=9.0)
        node.hears(stale)
        node.hears(informed)
        assert node.state.is_evacuated("a")

    # Two routers without the store would have outlived its later reports.
    def test_routers_do_not_keep_a_view_young(self) -> None:
        first, second, reader = nodes(3)
        reader.state.applied("a", True, 10)
        first.hears(reader)
        for _ in range(100):
            for each in (first, second, reader):
                each.now_s += 0.2
            second.hears(first, late_s=0.125)
            first.hears(second, late_s=0.125)
        reader.state.listed((), 0)  # The store was reset.
        second.hears(reader)
        first.hears(second)
        assert not first.state.zones() | second.state.zones()

    # Odd reports, or a part of the zones, could pass for all.
    def test_odd_reports_and_too_many_zones(self) -> None:
        [node] = nodes(1)
        node.state.applied("a", True, 10)
        for end, age_s in ((-1, 0.0), (5, -1e9)):
            report = EvacuationReport((EvacuatedZone("", 3),), end, age_s)
            node.state.apply_update(PeerUpdate("x", 1, "", evacuations=report))
            assert node.state.zones() == {"a"}
        count = evacuations.MAX_REPORT_CHARS // 100 + 1
        node.state.listed([f"{n:0100}" for n in range(count)], 400)
        assert node.state.to_repeat(node.now_s) is None


class WireSuite:
    # A router of an earlier version could not read the updates of a new one.
    def test_an_older_router_reads_newer_updates_and_vice_versa(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        report = EvacuationReport((EvacuatedZone("é" * 99, 7),), 2**40, 1.5)
        update = PeerUpdate("front-1", 1, "10.0.0.1", evacuations=report)
        data = peercodec.encode_update(update)
        assert peercodec.decode_update(data) == update
        schema = resources.files(peercodec.__package__) / "peers.thrift"
        path = tmp_path / "older.thrift"
        path.write_text(re.sub(r"  4[0-4]: .*\n", "", schema.read_text()))
        older: Any = thriftpy2.load(str(path), module_name="older_thrift")
        wire, body = older.Update(), data[peercodec.CHECKSUM.size :]
        thriftpy2.utils.deserialize(wire, body, peercodec._BINARY)
        assert (wire.instance, wire.host) == ("front-1", "10.0.0.1")
        monkeypatch.setattr(peercodec, "_SCHEMA", older)
        data = peercodec.encode_update(replace(update, evacuations=None))
        monkeypatch.undo()
        assert peercodec.decode_update(data).evacuations is None

    @pytest.mark.parametrize(
        ("key", "value", "expected"),
        (
            ("evacuate/a/b", b'{"until":[1]}', ("a/b", False)),
            ("evacuate/a", None, ("a", False)),
            ("evacuate/a", b"", ("a", True)),
            ("evacuate/a", b"[]", ("a", True)),
            ("evacuate/a", b"\xff{", ("a", True)),
            ("evacuate/a", b"[" * 10_000, ("a", True)),
            ("evacuate/", b"{}", ("", True)),
            ("evacuate/" + "a" * 256, b"{}", ("", True)),
            ("evacuate", b"{}", None),
        ),
    )
    def test_keys(self, key: str, value: bytes | None, expected: Any) -> None:
        """Guards against a bad key or value that undoes an evacuation."""
        found = decode_evacuation(key, value)
        assert expected == (found and (found.zone, bool(found.fault)))


class TopicSuite:
    @pytest.mark.parametrize("compacted", (False, True))
    @pytest.mark.parametrize("reset", (False, True))
    @pytest.mark.parametrize("away", (False, True))
    def test_the_end_of_an_evacuation_is_read(
        self, compacted: bool, reset: bool, away: bool
    ) -> None:
        """Guards against zones that stay out as a deletion was not seen."""

        async def work() -> None:
            loop, lines = asyncio.get_running_loop(), list[Decision]()
            topic = SimulatedTopic()
            reader = TopicReader(topic)
            router = make_router(
                0, 1, CrashPlan(), loop.time, lines.append, lambda *_: None
            )
            watch = loop.create_task(watch_topic(router, reader).run())
            state = router.front.fleet_state.evacuations
            for key in (KEY_A, "evacuate/", "config"):
                topic.put(key, b"none")
            await asyncio.sleep(0.5)
            topic.put("config", b"1")
            await asyncio.sleep(0.5)
            report = state.to_repeat(loop.time())
            ends = report and report.end_offset, topic.end_offset
            topic.compact()
            await asyncio.sleep(2.0)  # The keys are listed again.
            faults = [each for each in lines if each.kind == "bad_evacuation"]
            assert len(faults) == 2
            reader.away = away
            await asyncio.sleep(2.0)
            assert state.zones() == {"a"}
            if reset:
                topic.reset()
                topic.put("config", b"none")
            topic.put(KEY_A, None)
            topic.put("evacuate/b", b"{}")
            if compacted:
                topic.compact()
            reader.away = False
            await asyncio.sleep(2.0)
            zones = state.zones()
            watch.cancel()
            await asyncio.gather(watch, return_exceptions=True)
            assert zones == {"b"}
            assert ends[0] == ends[1]

        assert run_virtually(work()) == []

    # A router that starts without the store would serve before it knows.
    def test_recovery_from_a_peer_tells_it_before_the_endpoints(self) -> None:
        [peer], node = nodes(1), Node("front-1")
        peer.state.applied("a", True, 10)
        seen: list[frozenset[str]] = []
        asking = _recovery(node, lambda _: seen.append(node.state.zones()))
        asking.answers = _recovery(peer, lambda _: None)
        run_virtually(asking.query_peer())
        assert seen == [{"a"}]


def _recovery(node: Node, listed: Callable[[Any], None]) -> _LinkedRecovery:
    front = SimpleNamespace(
        fleet_state=SimpleNamespace(evacuations=node.state),
        settings=SimpleNamespace(instance=node.name, host="10.0.0.1"),
        freshness=SimpleNamespace(age_s=lambda now_s: 9.0),
        endpoints_listed=node.name == "front-0",
        peers=SimpleNamespace(peers={}, hosts=["10.0.0.1"]),
        table=None,
        observe=lambda decision: None,
    )
    rng = SimpleNamespace(choice=lambda hosts: hosts[0])
    clock = lambda: node.now_s  # noqa: E731
    return _LinkedRecovery(
        cast(Any, front), clock, clock, cast(Any, rng), 1, listed, listed
    )


class _LinkedRecovery(Recovery):
    """A recovery that asks another one without a network."""

    answers: Recovery

    async def _call(self, host: str, target: str) -> Answer | None:
        given: list[Any] = []
        exchange: Any = SimpleNamespace(
            target=target.encode(), answer=lambda *each: given.extend(each)
        )
        assert self.answers.answer_peer(exchange)
        return Answer(*given) if given[0] == 200 else None


def a_plan(*keys: tuple[float, str, bytes | None], **changes: Any) -> Any:
    """Return a run of many requests in which operators write keys."""
    plan = EvacuationPlan(
        prompts=(SOUND,), background_per_s=4.0, keys=keys, end_s=14.0
    )
    return replace(plan, **changes)


def late(arrivals: list[tuple[float, int]], slack_s: float = LEARN_S) -> Any:
    """Return what arrived within the evacuation."""
    return [each for each in arrivals if 4.0 + slack_s < each[0] < 9.0]


class FleetSuite:
    """Routers from a caller's request to its answer."""

    def test_a_zone_gets_no_request_and_comes_back(self) -> None:
        """Guards also against requests in flight that are ended."""
        unknown = (2.0, "evacuate/nowhere", b"{}")
        history, arrivals = play_evacuation(a_plan(*EVACUATED, unknown))
        assert late(arrivals) == []
        assert [at_s for at_s, _ in arrivals if 9.0 < at_s < 9.5]
        assert history.served_share(SOUND.label, 0.5, 11.0) == 1.0
        assert len(history.lines("bad_evacuation")) == 4  # Once a router.
        at_s: dict[str, list[float]] = {}
        for now_s, _, line in history.decisions:
            if line.inputs.get("zone") == "a":
                at_s.setdefault(line.kind, []).append(now_s)
        assert [len(each) for each in at_s.values()] == [4, 4, 4]
        assert all(4.1 < each < 8.0 for each in at_s["evacuation_in_force"])

    @pytest.mark.parametrize("loss", (0.0, 0.2))
    def test_routers_without_the_store(self, loss: float) -> None:
        """Guards against routers that only the store can tell."""
        losses = ((2.0, 0), (2.0, 1), (2.0, 2))
        plan = a_plan(*EVACUATED, losses=losses, loss=loss)
        _, arrivals = play_evacuation(plan)
        assert late(arrivals, HEARD_S) == []
        assert {router for at_s, router in arrivals if at_s > 9.0} == {
            0,
            1,
            2,
            3,
        }

    def test_routers_restart_while_the_store_is_away(self) -> None:
        """Guards against a restart that forgets an evacuation."""
        losses = tuple((5.0, number) for number in range(4))
        faults = (RouterFault(6.0, (1,)), RouterFault(7.0, (2,), dark_s=0.5))
        plan = a_plan(EVACUATED[0], losses=losses, faults=faults)
        found = late(play_evacuation(plan)[1])
        # Without a recovery, a router learns it from the next heartbeats.
        assert all(6.0 < at_s < 7.5 + HEARD_S for at_s, _ in found)
        assert {router for _, router in found} <= {1, 2}

    # A request would have waited there until its deadline.
    def test_requests_that_wait_for_a_connection_go_elsewhere(self) -> None:
        prompts = (replace(SOUND, begin_s=3.7),)
        plan = a_plan(EVACUATED[0], mute="a", prompts=prompts, end_s=10.0)
        history, arrivals = play_evacuation(
            replace(plan, background_per_s=0.01)
        )
        failed = history.lines("attempt_failed")
        assert [each for each in failed if "evacuated" in each.reason]
        assert arrivals == []
        assert history.served_share(SOUND.label, 3.7, 9.0) == 1.0

    # The same for one whose connection opens as the evacuation begins.
    def test_requests_are_withdrawn_before_bytes_go_out(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(evacuating, "withdraw_waiting", lambda front: None)
        burst = replace(SOUND, per_s=2000.0, begin_s=3.9, end_s=4.1)
        plan = a_plan(EVACUATED[0], (5.0, KEY_A, None), end_s=6.0)
        history, _ = play_evacuation(replace(plan, prompts=(burst,)))
        ended = history.lines("evacuation_ended")
        assert sum(int(line.inputs["withdrawn"]) for line in ended) > 0

    def test_all_zones_are_evacuated(self) -> None:
        """Guards against sends for want of another endpoint."""
        both = *EVACUATED, *((at, "evacuate/b", v) for at, _, v in EVACUATED)
        history, _ = play_evacuation(a_plan(*both))
        sent = [
            each for all_sent in history.arrivals.values() for each in all_sent
        ]
        assert late([(each.at_s, each.router) for each in sent]) == []
        expected = {("200", ""), ("503", ZONES_EVACUATED.code)}
        assert set(history.answers[SOUND.label]) == expected
        replies = b"".join(history.replies[SOUND.label])
        times_s = re.findall(rb"(?i)retry-after: ([0-9.]+)", replies)
        assert len(times_s) == len(history.codes(SOUND.label))
        assert all(0.0 < float(each) <= 4.0 / 3 for each in times_s)
        assert history.served_share(SOUND.label, 9.1, 11.0) == 1.0

    def test_retries_and_resumptions_stay_out(self) -> None:
        """Guards against a second attempt that goes where a first may not."""
        lost = Prompts(b"cut", (("b1",),), 5.0, b"cut", path="/talk/")
        kills = ((5.0, "llm"), (5.0, "desk"), (6.5, "llm"))
        plan = a_plan(*EVACUATED, prompts=(SOUND, lost), kills=kills)
        assert late(play_evacuation(plan)[1]) == []

    # The selection of endpoints before there were evacuations.
    def test_without_an_evacuation_decisions_are_as_before(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        kills = ((3.0, "llm"), (5.0, "desk"))
        plan = a_plan(kills=kills, end_s=8.0, losses=((2.0, 0),))
        now, _ = play_evacuation(plan)
        monkeypatch.setattr(EndpointPool, "usable", _usable_before)
        monkeypatch.setattr(Evacuations, "to_repeat", lambda self, now: None)
        before, _ = play_evacuation(plan)
        assert now == before


def _usable_before(
    pool: EndpointPool,
    service: str,
    now_s: float,
    exclude: Any = (),
    version: str | None = None,
) -> list[Endpoint]:
    unavailable = pool.notices.unavailable(now_s).union(exclude)
    serving = [
        endpoint
        for name, endpoint in pool.by_service.get(service, {}).items()
        if name not in unavailable
        and not endpoint.entry.leaving
        and (version is None or version == endpoint.entry.version)
    ]
    good = [each for each in serving if each.avoid_until_s <= now_s]
    return good or serving


class ProcessSuite:
    """The process of a router, which connects the parts."""

    async def test_an_operators_key(
        self, fleet: Deployment, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        state = fleet.process.front.fleet_state
        reopened: list[str] = []
        monkeypatch.setattr(
            FleetState,
            "zone_reopened",
            lambda self, zone, now_s: reopened.append(zone),
        )
        fleet.store.put("keyed.op", "evacuate/z", b"{}")
        await fleet.wait_until(lambda: state.evacuations.is_evacuated("z"))
        status, _, body = await send_request(fleet, request_bytes("/safe/x"))
        assert (status, ZONES_EVACUATED.code in str(body)) == (503, True)
        fleet.store.put("keyed.op", "evacuate/z", b"")
        await fleet.wait_until(lambda: not state.evacuations.zones())
        status, _, _ = await send_request(fleet, request_bytes("/safe/x"))
        assert (status, reopened) == (200, ["z"])

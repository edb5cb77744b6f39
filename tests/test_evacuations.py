"""Zones that operators evacuate get no requests.

Guards against requests that reach an evacuated zone all the same, against
zones that stay out of use after an evacuation, and against requests that are
lost because of one.
"""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from importlib import resources
from pathlib import Path
from types import SimpleNamespace
from typing import Any, Final, cast

import pytest
import thriftpy2
import thriftpy2.utils

from bulrushstream.coordination.endpointpool import Endpoint, EndpointPool
from bulrushstream.coordination.evacuations import (
    HOP_S,
    MAX_REPORT_CHARS,
    SAME_STORE_S,
    Evacuations,
)
from bulrushstream.daemon import evacuating
from bulrushstream.daemon.recovery import Recovery
from bulrushstream.history.virtualloop import run_virtually
from bulrushstream.messages import ZONES_EVACUATED
from bulrushstream.platform.documents import decode_evacuation
from bulrushstream.protocol import peercodec
from bulrushstream.state.effect import Decision
from bulrushstream.state.evacuation import (
    EvacuatedZone,
    EvacuationKey,
    EvacuationReport,
)
from bulrushstream.state.peerupdate import PeerUpdate
from bulrushstream.transport.exchange import Exchange
from bulrushstream.transport.httpcall import Answer
from tests.crashplans import CrashPlan, Prompts, RouterFault
from tests.crashrouters import make_router
from tests.deployments import Deployment, request_bytes, send_request
from tests.evacuationfleets import (
    EvacuationPlan,
    OperatorTopic,
    TopicReader,
    play_evacuation,
    watch_topic,
)

SOUND: Final = Prompts(b"sound", ((("a1",)), ("c1", "c2")), per_s=60.0)
LEARN_S: Final = 0.05  # From the store's answer to the last request.
HEARD_S: Final = 1.1  # The same, from two heartbeats of peers.
KEY_A: Final = "evacuate/a"


@dataclass
class Node:
    """The evacuations at one router, with a clock that is set."""

    name: str = "front-0"
    now_s: float = 0.0
    lines: list[Decision] = field(default_factory=list)
    changes: list[tuple[str, str]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.state = Evacuations(self.lines.append, lambda: self.now_s)
        self.state.on_begun = lambda zone: self.changes.append(("on", zone))
        self.state.on_ended = lambda zone: self.changes.append(("off", zone))

    def hears(self, other: Node, delay_s: float = 0.0) -> None:
        """Apply the other router's heartbeat, sent a time ago."""
        report = other.state.to_repeat(other.now_s - delay_s)
        update = PeerUpdate(other.name, 1, "10.0.0.9", evacuations=report)
        self.state.apply_update(update)

    def kinds(self) -> list[str]:
        return [line.kind for line in self.lines]


def nodes(count: int, now_s: float = 100.0) -> list[Node]:
    """Return routers that have read a topic of ten records, none of a zone."""
    found = [Node(f"front-{number}", now_s) for number in range(count)]
    for node in found:
        node.state.listed((), 10)
        node.state.confirmed(now_s)
    return found


def pass_time(routers: Iterable[Node], seconds_s: float) -> None:
    for node in routers:
        node.now_s += seconds_s


class StoreSuite:
    """What the store itself reports."""

    def test_a_key_begins_an_evacuation_and_its_deletion_ends_it(self) -> None:
        [node] = nodes(1)
        node.state.applied("a", True, 10)
        node.state.applied("a", True, 11)
        assert node.state.is_evacuated("a")
        node.state.applied("a", False, 12)
        assert node.state.zones() == frozenset()
        assert node.changes == [("on", "a"), ("off", "a")]
        assert node.kinds() == ["evacuation_begun", "evacuation_ended"]

    # Compaction may delete the record that ends an evacuation.
    def test_a_listing_without_the_key_ends_it(self) -> None:
        [node] = nodes(1)
        node.state.applied("a", True, 10)
        node.state.applied("b", True, 11)
        node.state.listed(["b"], 30)
        assert node.state.zones() == {"b"}

    # Offsets of before a reset outranked those of after.
    def test_a_store_that_was_reset_counts(self) -> None:
        node, stale = nodes(2)
        for each in (node, stale):
            each.state.applied("a", True, 900)
        pass_time((node, stale), 20.0)
        node.state.listed(["b"], 2)
        node.state.confirmed(node.now_s)
        node.hears(stale)
        assert node.state.zones() == {"b"}
        stale.hears(node)
        assert stale.state.zones() == {"b"}

    # A peer's report of records that the store lost held for ever.
    def test_a_read_after_a_peers_report_refutes_it(self) -> None:
        node, stale = nodes(2)
        stale.state.applied("a", True, 500)
        node.hears(stale)
        assert node.state.is_evacuated("a")
        pass_time((node,), 0.1)
        node.state.confirmed(node.now_s - 0.2)  # Sent before the report.
        assert node.state.is_evacuated("a")
        node.state.confirmed(node.now_s)
        assert not node.state.is_evacuated("a")

    # A listing that failed would have opened every zone.
    def test_nothing_is_open_because_a_listing_failed(self) -> None:
        [peer] = nodes(1)
        peer.state.applied("a", True, 10)
        node = Node("front-1", peer.now_s)
        node.hears(peer)
        node.state.passed(11)
        node.state.applied("b", False, 12)
        node.state.confirmed(node.now_s)
        assert node.state.zones() == {"a"}


class PeerSuite:
    """What routers without the store learn from others."""

    def test_a_router_without_the_store_learns_begin_and_end(self) -> None:
        node, peer = nodes(2)
        for active, offset in ((True, 10), (False, 11)):
            pass_time((node, peer), 30.0)
            peer.state.applied("a", active, offset)
            node.hears(peer)
            assert node.state.is_evacuated("a") is active
        assert node.lines[0].inputs["reporter"] == "front-1"

    # A peer whose read is pending has confirmed later, and knows less.
    def test_a_peer_that_has_not_read_it_yet_does_not_end_it(self) -> None:
        node, informed, other = nodes(3)
        informed.state.applied("a", True, 10)
        node.hears(informed)
        pass_time((node, informed, other), 0.5)
        other.state.confirmed(other.now_s)
        node.hears(other)
        assert node.state.is_evacuated("a")

    def test_reordered_and_repeated_reports_do_no_harm(self) -> None:
        node, peer = nodes(2)
        before = peer.state.to_repeat(peer.now_s)
        peer.state.applied("a", True, 10)
        for _ in range(2):
            node.hears(peer)
            late = PeerUpdate(peer.name, 1, "10.0.0.9", evacuations=before)
            node.state.apply_update(late)
        assert node.state.is_evacuated("a")
        assert node.changes == [("on", "a")]

    # Time that a process stands still makes old reports look young.
    def test_a_report_that_waited_is_corrected_by_the_next(self) -> None:
        node, informed, stale = nodes(3)
        informed.state.applied("a", True, 10)
        pass_time((informed,), 9.0)
        pass_time((node,), 9.0)
        node.state.apply_update(
            PeerUpdate(
                stale.name, 1, "", evacuations=stale.state.to_repeat(100.0)
            )
        )
        pass_time((stale,), 9.0)
        node.hears(stale)
        node.hears(informed)
        assert node.state.is_evacuated("a")

    # Two routers without the store would have outlived its later reports.
    def test_routers_do_not_keep_a_view_young(self) -> None:
        first, second, reader = nodes(3)
        reader.state.applied("a", True, 10)
        first.hears(reader)
        for _ in range(100):
            pass_time((first, second, reader), 0.2)
            second.hears(first, delay_s=HOP_S / 2)
            first.hears(second, delay_s=HOP_S / 2)
        reader.state.listed((), 0)  # The store was reset.
        reader.state.confirmed(reader.now_s)
        second.hears(reader)
        first.hears(second)
        assert not first.state.zones()
        assert not second.state.zones()

    def test_a_router_that_starts_learns_it(self) -> None:
        [peer] = nodes(1)
        peer.state.applied("a", True, 10)
        pass_time((peer,), 600.0)  # The store is away since.
        node = Node("front-1", 3.0)
        assert node.state.to_repeat(3.0) is None
        node.hears(peer)
        assert node.state.is_evacuated("a")

    @pytest.mark.parametrize(
        "report",
        (
            EvacuationReport((EvacuatedZone("", 3),), 20),
            EvacuationReport((), -1),
            EvacuationReport((), 5, -1e9),
        ),
    )
    def test_odd_reports(self, report: EvacuationReport) -> None:
        """Guards against reports that evacuate or open what they may not."""
        [node] = nodes(1)
        node.state.applied("a", True, 10)
        node.state.apply_update(PeerUpdate("x", 1, "", evacuations=report))
        expected = set() if report.end_offset == 20 else {"a"}
        assert node.state.zones() == expected

    def test_more_zones_than_a_message_holds(self) -> None:
        """Guards against a part of the zones that passes for all."""
        [node] = nodes(1)
        count = MAX_REPORT_CHARS // 100 + 1
        node.state.listed([f"{n:0100}" for n in range(count)], 400)
        assert node.state.to_repeat(node.now_s) is None
        assert node.kinds().count("bad_evacuation") == 1

    def test_the_bound_covers_reads_that_are_pending(self) -> None:
        node, peer = nodes(2)
        pass_time((node, peer), SAME_STORE_S - 1.0)
        node.state.confirmed(node.now_s)
        peer.state.applied("a", True, 10)
        node.hears(peer)
        assert node.state.is_evacuated("a")


class WireSuite:
    @pytest.mark.parametrize("zones", ((), (EvacuatedZone("é" * 100, 7),)))
    def test_reports_come_back(self, zones: tuple[EvacuatedZone, ...]) -> None:
        report = EvacuationReport(zones, 2**40, 1.5)
        update = PeerUpdate("front-1", 1, "10.0.0.1", evacuations=report)
        data = peercodec.encode_update(update)
        assert peercodec.decode_update(data) == update

    # A router of an earlier version could not read the updates of a new one.
    def test_an_older_router_reads_newer_updates_and_vice_versa(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        report = EvacuationReport((EvacuatedZone("a", 7),), 8)
        update = PeerUpdate("front-1", 1, "10.0.0.1", evacuations=report)
        data = peercodec.encode_update(update)
        schema = resources.files(peercodec.__package__) / "peers.thrift"
        path = tmp_path / "older.thrift"
        path.write_text(re.sub(r"  4[0-4]: .*\n", "", schema.read_text()))
        older: Any = thriftpy2.load(str(path), module_name="older_thrift")
        wire = older.Update()
        body = data[peercodec.CHECKSUM.size :]
        thriftpy2.utils.deserialize(wire, body, peercodec._BINARY)
        assert (wire.instance, wire.host) == ("front-1", "10.0.0.1")
        monkeypatch.setattr(peercodec, "_SCHEMA", older)
        data = peercodec.encode_update(replace(update, evacuations=None))
        monkeypatch.undo()
        assert peercodec.decode_update(data).evacuations is None

    @pytest.mark.parametrize(
        ("key", "value", "zone", "fault"),
        (
            ("evacuate/a", b"{}", "a", False),
            ("evacuate/a", b'{"until":[1]}', "a", False),
            ("evacuate/a/b", b"{}", "a/b", False),
            ("evacuate/a", None, "a", False),
            ("evacuate/a", b"", "a", True),
            ("evacuate/a", b"[]", "a", True),
            ("evacuate/a", b"\xff{", "a", True),
            ("evacuate/a", b"[" * 10_000, "a", True),
            ("evacuate/", b"{}", "", True),
            ("evacuate/" + "a" * 256, b"{}", "", True),
            ("config", b"{}", None, False),
            ("evacuate", b"{}", None, False),
        ),
    )
    def test_keys(
        self, key: str, value: bytes | None, zone: str | None, fault: bool
    ) -> None:
        """Guards against a bad key or value that undoes an evacuation."""
        found = decode_evacuation(key, value)
        if zone is None:
            assert found is None
        else:
            assert isinstance(found, EvacuationKey)
            assert (found.zone, bool(found.fault)) == (zone, fault)


class TopicSuite:
    """Routers that follow the operators' topic, and its failures."""

    @pytest.mark.parametrize("compacted", (False, True))
    @pytest.mark.parametrize("reset", (False, True))
    @pytest.mark.parametrize("away", (False, True))
    def test_the_end_of_an_evacuation_is_read(
        self, compacted: bool, reset: bool, away: bool
    ) -> None:
        """Guards against zones that stay out as a deletion was not seen."""

        async def work() -> None:
            loop = asyncio.get_running_loop()
            topic = OperatorTopic()
            reader = TopicReader(topic)
            lines: list[Decision] = []
            router = make_router(
                0, 1, CrashPlan(), loop.time, lines.append, lambda *_: None
            )
            watch = loop.create_task(watch_topic(router, reader).run())
            state = router.front.fleet_state.evacuations
            topic.put("config", b"1")
            topic.put(KEY_A, b"none")
            topic.put("evacuate/", b"{}")
            await asyncio.sleep(0.5)
            assert state.zones() == {"a"}
            report = state.to_repeat(loop.time())
            assert report is not None
            assert report.end_offset == topic.end_offset
            topic.compact()
            await asyncio.sleep(2.0)  # The key is listed again.
            faults = [each for each in lines if each.kind == "bad_evacuation"]
            assert len(faults) == 2
            reader.away = away
            await asyncio.sleep(2.0)
            assert state.zones() == {"a"}
            if reset:
                topic.reset()
                topic.put("config", b"1")
            topic.put(KEY_A, None)
            topic.put("evacuate/b", b"{}")
            if compacted:
                topic.compact()
            reader.away = False
            await asyncio.sleep(2.0)
            assert state.zones() == {"b"}
            watch.cancel()
            await asyncio.gather(watch, return_exceptions=True)

        assert run_virtually(work()) == []

    # A router that starts without the store would serve before it knows.
    def test_recovery_from_a_peer_tells_it_before_the_endpoints(self) -> None:
        peer, node = nodes(2)
        peer.state.applied("a", True, 10)
        node.state = Evacuations(node.lines.append, lambda: node.now_s)
        seen: list[frozenset[str]] = []
        asked = _recovery(node, lambda data: seen.append(node.state.zones()))
        asked.answers = _recovery(peer, lambda data: None)
        run_virtually(asked.query_peer())
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
    clock: Callable[[], float] = lambda: node.now_s  # noqa: E731
    rng = SimpleNamespace(choice=lambda hosts: hosts[0])
    return _LinkedRecovery(
        cast(Any, front), clock, clock, cast(Any, rng), 1, listed, listed
    )


class _LinkedRecovery(Recovery):
    """A recovery that asks another one without a network."""

    answers: Recovery

    async def _call(self, host: str, target: str) -> Answer | None:
        given: list[Any] = []
        exchange = SimpleNamespace(
            target=target.encode(), answer=lambda *each: given.extend(each)
        )
        assert self.answers.answer_peer(cast(Exchange, exchange))
        if given[0] != 200:
            return None
        return Answer(*given)


def a_plan(*keys: tuple[float, str, bytes | None], **changes: Any) -> Any:
    """Return a run of many requests in which operators write keys."""
    plan = EvacuationPlan(
        prompts=(SOUND,), background_per_s=4.0, keys=keys, end_s=14.0
    )
    return replace(plan, **changes)


EVACUATED: Final = ((4.0, KEY_A, b"{}"), (9.0, KEY_A, None))


class FleetSuite:
    """Routers from a caller's request to its answer."""

    def test_a_zone_gets_no_request_and_comes_back(self) -> None:
        history, arrivals = play_evacuation(a_plan(*EVACUATED))
        times_s = [at_s for at_s, _ in arrivals["a"]]
        assert not [each for each in times_s if 4.0 + LEARN_S < each < 9.0]
        assert [each for each in times_s if 9.0 < each < 9.5]
        assert history.served_share(SOUND.label, 0.5, 13.0) == 1.0
        for kind in ("begun", "in_force", "ended"):
            assert len(history.lines(f"evacuation_{kind}")) == 4

    # Requests in flight complete where they are.
    def test_a_zone_is_in_force_once_its_last_request_ended(self) -> None:
        history, _ = play_evacuation(a_plan(*EVACUATED))
        in_force_s = [
            at_s
            for at_s, _, line in history.decisions
            if line.kind == "evacuation_in_force"
        ]
        assert all(4.1 < each < 8.0 for each in in_force_s)
        assert history.served_share(SOUND.label, 3.0, 4.0) == 1.0

    @pytest.mark.parametrize("loss", (0.0, 0.2))
    def test_routers_without_the_store(self, loss: float) -> None:
        """Guards against routers that only the store can tell."""
        losses = tuple((2.0, number) for number in (0, 1, 2))
        plan = a_plan(*EVACUATED, losses=losses, loss=loss)
        _, arrivals = play_evacuation(plan)
        bound_s = 4.0 + HEARD_S
        assert not [each for each in arrivals["a"] if bound_s < each[0] < 9.0]
        back = {router for at_s, router in arrivals["a"] if at_s > 9.0}
        assert back == {0, 1, 2, 3}

    def test_a_router_restarts_while_the_store_is_away(self) -> None:
        """Guards against a restart that forgets an evacuation."""
        losses = tuple((5.0, number) for number in range(4))
        faults = (RouterFault(6.0, (1,)), RouterFault(7.0, (2,), dark_s=0.5))
        plan = a_plan(EVACUATED[0], losses=losses, faults=faults)
        _, arrivals = play_evacuation(plan)
        late = {
            (at_s, router)
            for at_s, router in arrivals["a"]
            if at_s > 4.0 + LEARN_S
        }
        # Without a recovery, a router learns it from the next heartbeats.
        assert all(6.0 < at_s < 7.5 + HEARD_S for at_s, _ in late)
        assert {router for _, router in late} <= {1, 2}

    # A request would have waited there until its deadline.
    def test_requests_that_wait_for_a_connection_go_elsewhere(self) -> None:
        prompts = replace(SOUND, begin_s=3.7, path="/tell/")
        plan = a_plan(
            *EVACUATED[:1], mute=("a",), prompts=(prompts,), end_s=10.0
        )
        history, arrivals = play_evacuation(
            replace(plan, background_per_s=0.01)
        )
        withdrawn = [
            line
            for line in history.lines("attempt_failed")
            if "the zone is evacuated" in line.reason
        ]
        assert withdrawn
        assert arrivals["a"] == []
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
        history, arrivals = play_evacuation(a_plan(*both))
        times_s = [at_s for zone in arrivals.values() for at_s, _ in zone]
        assert not [each for each in times_s if 4.0 + LEARN_S < each < 9.0]
        assert set(history.codes(SOUND.label)) == {ZONES_EVACUATED.code}
        refused = [
            reply
            for reply in history.replies[SOUND.label]
            if ZONES_EVACUATED.code.encode() in reply
        ]
        for reply in refused:
            assert reply.startswith(b"HTTP/1.1 503")
            found = re.search(rb"(?i)retry-after: ([0-9.]+)", reply)
            assert found is not None
            assert 0.0 < float(found[1]) <= 4.0 / 3
        assert history.served_share(SOUND.label, 9.1, 13.0) == 1.0

    def test_retries_and_resumptions_stay_out(self) -> None:
        """Guards against a second attempt that goes where a first may not."""
        lost = Prompts(b"cut", (("b1",),), 5.0, b"cut", path="/talk/")
        kills = ((5.0, "llm"), (5.0, "desk"), (6.5, "llm"))
        plan = a_plan(*EVACUATED, prompts=(SOUND, lost), kills=kills)
        _, arrivals = play_evacuation(plan)
        times_s = [at_s for at_s, _ in arrivals["a"]]
        assert not [each for each in times_s if 4.0 + LEARN_S < each < 9.0]

    def test_an_unknown_zone_is_logged_once(self) -> None:
        plan = a_plan((2.0, "evacuate/nowhere", b"{}"), end_s=8.0)
        history, _ = play_evacuation(plan)
        assert len(history.lines("bad_evacuation")) == 4  # Once a router.
        assert history.served_share(SOUND.label, 0.5, 7.0) == 1.0

    # The selection of endpoints before there were evacuations.
    def test_without_an_evacuation_decisions_are_as_before(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        kills = ((3.0, "llm"), (5.0, "desk"))
        plan = a_plan(kills=kills, end_s=8.0, losses=((2.0, 0),))
        now, arrivals = play_evacuation(plan)
        monkeypatch.setattr(EndpointPool, "usable", _usable_before)
        monkeypatch.setattr(Evacuations, "to_repeat", lambda self, now: None)
        before, arrivals_before = play_evacuation(plan)
        assert now.decisions == before.decisions
        assert arrivals == arrivals_before
        assert now.replies == before.replies


def _usable_before(
    pool: EndpointPool,
    service: str,
    now_s: float,
    exclude: Iterable[str] = (),
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

    async def test_an_operators_key(self, fleet: Deployment) -> None:
        state = fleet.process.front.fleet_state
        reopened: list[str] = []
        state.on_zone_reopened.append(lambda zone, now: reopened.append(zone))
        fleet.store.put("keyed.op", "evacuate/z", b"{}")
        await fleet.wait_until(lambda: state.evacuations.is_evacuated("z"))
        status, _, body = await send_request(fleet, request_bytes("/safe/x"))
        assert (status, ZONES_EVACUATED.code in str(body)) == (503, True)
        fleet.store.put("keyed.op", "evacuate/z", b"")
        await fleet.wait_until(lambda: not state.evacuations.zones())
        status, _, _ = await send_request(fleet, request_bytes("/safe/x"))
        assert (status, reopened) == (200, ["z"])

"""All instances apply the same sequence of configuration versions.

This holds during log outages, partitions, lost messages and restarts.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
)

from bulrushstream.coordination import configcore
from bulrushstream.coordination.configcore import ConfigOptions, ConfigState
from bulrushstream.coordination.configlog import (
    STREAM,
    encode_checkpoint,
    encode_publish,
    encode_reset,
    versioned,
)
from bulrushstream.state.config import EMPTY_CONFIG, VersionedConfig
from bulrushstream.state.effect import (
    AppendLog,
    ApplyConfig,
    Effect,
    ReadLog,
    Send,
)
from bulrushstream.state.event import (
    Event,
    LogAppended,
    LogFailed,
    LogRead,
    LogRecord,
    MessageReceived,
    PeerDown,
    PeerUp,
    TimerFired,
)
from bulrushstream.state.identity import InstanceInfo, InstanceKey
from bulrushstream.state.message import ConfigPush
from tests.builders import a_router, a_rule_list, an_agent
from tests.fakelog import FakeLog

RETENTION_S = 1000.0
STEP_S = 0.1
BOUND_S = 3.0
PAGE_RECORDS = 3


@dataclass(slots=True)
class Node:
    """One instance with its core and its connection to the log."""

    info: InstanceInfo
    state: ConfigState
    started_s: float
    isolated: bool = False  # Without connections to peers.
    reaches_log: bool = True
    applied: list[VersionedConfig] = field(default_factory=list)


@dataclass(slots=True)
class Fleet:
    """Simulated instances, log and network under virtual time."""

    rng: Random
    log: FakeLog = field(default_factory=lambda: FakeLog(RETENTION_S))
    nodes: dict[InstanceKey, Node] = field(default_factory=dict)
    in_transit: list[tuple[InstanceKey, Send]] = field(default_factory=list)
    published: dict[int, tuple[int, int]] = field(default_factory=dict)
    loss: float = 0.0
    start_count: int = 0
    sent_bytes: int = 0

    @property
    def now_s(self) -> float:
        return self.log.now_s

    def start(self, info: InstanceInfo, isolated: bool = False) -> Node:
        """Start an instance that has no configuration."""
        self.start_count += 1
        reads_log = info.role == "router"
        options = ConfigOptions(reads_log, log_retention_s=RETENTION_S)
        state = configcore.new_config(options, Random(self.start_count))
        node = Node(info, state, self.now_s, isolated)
        self.nodes[info.key] = node
        self.connect(node)
        return node

    def connect(self, node: Node) -> None:
        for other in list(self.nodes.values()):
            apart = other is node or other.isolated or node.isolated
            agents = {other.info.role, node.info.role} == {"agent"}
            if not apart and not agents:
                self.handle(node, PeerUp(other.info))
                self.handle(other, PeerUp(node.info))

    def disconnect(self, node: Node) -> None:
        for other in self.nodes.values():
            if other is not node:
                self.handle(other, PeerDown(node.info.key))
                self.handle(node, PeerDown(other.info.key))

    def stop(self, node: Node) -> None:
        del self.nodes[node.info.key]
        self.disconnect(node)

    def handle(self, node: Node, event: Event) -> None:
        for effect in configcore.handle(node.state, event, self.now_s):
            self.execute(node, effect)

    def execute(self, node: Node, effect: Effect) -> None:
        if isinstance(effect, ApplyConfig):
            last = node.applied[-1] if node.applied else EMPTY_CONFIG
            assert effect.config.version > last.version
            node.applied.append(effect.config)
        elif isinstance(effect, Send):
            self.in_transit.append((node.info.key, effect))
        elif isinstance(effect, AppendLog):
            self.append(node, effect)
        elif isinstance(effect, ReadLog):
            assert effect.offset == node.state.next_offset

    def append(self, node: Node, effect: AppendLog) -> None:
        cut_off = self.log.down or not node.reaches_log
        offset = -1
        if not cut_off:
            offset = self.log.append_now(effect.stream, effect.body)
        if cut_off or self.rng.random() < self.loss:
            self.handle(node, LogFailed(effect.token))
        else:
            self.handle(node, LogAppended(effect.token, offset))

    def poll(self, node: Node) -> None:
        """Read the stream to its end, page by page."""
        reads_log = node.state.options.reads_log and node.reaches_log
        if self.log.down or not reads_log:
            return
        while True:
            offset = node.state.next_offset
            page = self.log.read_now(STREAM, offset, PAGE_RECORDS)
            last = page.records[-1].offset + 1 if page.records else offset
            caught_up = last >= page.end_offset
            event = LogRead(
                STREAM, page.records, caught_up, page.first_offset, offset
            )
            self.handle(node, event)
            if caught_up and node.state.next_offset >= page.end_offset:
                return

    def deliver(self) -> None:
        in_transit, self.in_transit = self.in_transit, []
        self.rng.shuffle(in_transit)
        for sender, send in in_transit:
            node = self.nodes.get(send.peer)
            source = self.nodes.get(sender)
            if node is None or source is None:
                continue
            if node.isolated or source.isolated:
                continue
            if self.rng.random() < self.loss:
                # The message arrives late, or twice.
                self.in_transit.append((sender, send))
            if self.rng.random() >= self.loss:
                if isinstance(send.message, ConfigPush):
                    self.sent_bytes += len(send.message.body) + 80
                self.handle(node, MessageReceived(sender, send.message))

    def advance(self, by_s: float, step_s: float = STEP_S) -> None:
        until_s = self.now_s + by_s
        while self.now_s < until_s - 1e-9:
            self.log.now_s += min(step_s, until_s - self.now_s)
            for node in list(self.nodes.values()):
                self.poll(node)
                self.handle(node, TimerFired())
            self.deliver()

    def accepted_versions(self) -> list[VersionedConfig]:
        """Return the versions that must have been in force, in order."""
        accepted = [EMPTY_CONFIG]
        for offset, (base, number) in self.published.items():
            if base == accepted[-1].version:
                accepted.append(versioned(offset, a_rule_list(number)))
        return accepted

    def publish(self, base: VersionedConfig, number: int) -> int:
        body = encode_publish(base, a_rule_list(number), f"p{number}")
        offset = self.log.append_now(STREAM, body)
        self.published[offset] = (base.version, number)
        return offset


class ConfigMachine(RuleBasedStateMachine):
    """Concurrent publishers, outages, partitions and stateless restarts.

    Log outages stay short, and a router is isolated or restarted only while
    another one is old enough to write checkpoints, so that the version in
    force never expires from the log.
    """

    @initialize(seed=st.integers(0, 1 << 16))
    def begin(self, seed: int) -> None:
        self.fleet = Fleet(Random(seed))
        self.numbers = 0
        self.incarnations = 1
        self.healthy_s = 0.0
        for name in ("r1", "r2", "r3"):
            self.fleet.start(a_router(name))
        self.fleet.start(an_agent("a1"))
        self.fleet.publish(EMPTY_CONFIG, 0)

    def routers(self) -> list[Node]:
        nodes = self.fleet.nodes.values()
        return [n for n in nodes if n.state.options.reads_log]

    @rule(behind=st.integers(0, 2), publishers=st.integers(1, 3))
    def publish(self, behind: int, publishers: int) -> None:
        if self.fleet.log.down:
            return
        bases = self.fleet.accepted_versions()
        base = bases[max(0, len(bases) - 1 - behind)]
        for _ in range(publishers):
            self.numbers += 1
            self.fleet.publish(base, self.numbers)

    @rule(body=st.sampled_from([b"", b"{}", b"\xff\x00"]))
    def append_invalid_record(self, body: bytes) -> None:
        if not self.fleet.log.down:
            self.fleet.log.append_now(STREAM, body)

    @rule(steps=st.integers(1, 40))
    def pass_time(self, steps: int) -> None:
        self.fleet.advance(steps * STEP_S)

    @precondition(lambda self: not self.fleet.log.down)
    @rule(by_s=st.integers(50, 900))
    def pass_long_time(self, by_s: int) -> None:
        self.fleet.advance(float(by_s), 10.0)

    @rule(by_s=st.integers(5, 300))
    def outage(self, by_s: int) -> None:
        self.fleet.log.down = True
        self.fleet.advance(float(by_s), 5.0)
        self.fleet.log.down = False
        self.fleet.advance(70.0, 5.0)

    @rule(loss=st.sampled_from([0.0, 0.3]))
    def lose_messages(self, loss: float) -> None:
        self.fleet.loss = loss

    @rule(index=st.integers(0, 3), reaches_log=st.booleans())
    def isolate(self, index: int, reaches_log: bool) -> None:
        node = list(self.fleet.nodes.values())[index]
        if self.another_writes_checkpoints(node) and not node.isolated:
            node.isolated = True
            node.reaches_log = reaches_log
            self.fleet.disconnect(node)

    @rule()
    def rejoin(self) -> None:
        for node in list(self.fleet.nodes.values()):
            if node.isolated:
                node.isolated = False
                node.reaches_log = True
                self.fleet.connect(node)

    @rule(index=st.integers(0, 3))
    def restart(self, index: int) -> None:
        node = list(self.fleet.nodes.values())[index]
        if self.another_writes_checkpoints(node):
            self.fleet.stop(node)
            self.incarnations += 1
            name = node.info.key.instance
            if node.state.options.reads_log:
                info = a_router(name)
            else:
                info = an_agent(name)
            key = InstanceKey(name, self.incarnations)
            self.fleet.start(_with_key(info, key), node.isolated)

    def another_writes_checkpoints(self, node: Node) -> bool:
        """Return whether another router is old enough for checkpoints."""
        old_s = self.fleet.now_s - RETENTION_S * 0.25
        return any(
            other is not node
            and other.reaches_log
            and other.started_s <= old_s
            for other in self.routers()
        )

    @rule()
    def check_convergence(self) -> None:
        self.fleet.loss = 0.0
        self.fleet.advance(BOUND_S)
        accepted_versions = self.fleet.accepted_versions()
        for node in self.routers():
            if node.reaches_log:
                assert node.state.current == accepted_versions[-1]
        self.rejoin()
        self.fleet.advance(BOUND_S)
        for node in self.fleet.nodes.values():
            assert node.state.current == accepted_versions[-1]
            for version in node.applied:
                assert version in accepted_versions

    def teardown(self) -> None:
        if hasattr(self, "fleet"):
            self.check_convergence()


def _with_key(info: InstanceInfo, key: InstanceKey) -> InstanceInfo:
    return InstanceInfo(
        key,
        info.role,
        info.region,
        info.availability_zone,
        info.host,
        info.port,
        info.service,
        info.endpoint,
    )


TestConfigMachine = ConfigMachine.TestCase
TestConfigMachine.settings = settings(max_examples=40, stateful_step_count=25)


def _fleet(*infos: InstanceInfo) -> Fleet:
    fleet = Fleet(Random(1))
    for info in infos:
        fleet.start(info)
    return fleet


class ConfigCoreSuite:
    def test_start_during_outage_reads_version_from_peer(self) -> None:
        """A router that starts while the log is down can only ask a peer."""
        fleet = _fleet(a_router("r1"), an_agent("a1"))
        fleet.publish(EMPTY_CONFIG, 1)
        fleet.advance(1.0)
        fleet.log.down = True
        fleet.stop(next(iter(fleet.nodes.values())))
        late = fleet.start(a_router("r2"))
        assert not late.state.ready
        fleet.advance(1.0)
        assert late.state.current == versioned(0, a_rule_list(1))

    def test_peers_spread_a_version_while_the_log_is_down(self) -> None:
        """One router reads the version before the log fails; all get it."""
        infos = [a_router(f"r{i}") for i in range(30)]
        fleet = _fleet(*infos, an_agent("a1"))
        offset = fleet.publish(EMPTY_CONFIG, 1)
        first = fleet.nodes[infos[0].key]
        fleet.poll(first)
        fleet.log.down = True
        fleet.advance(BOUND_S)
        versions = {n.state.current.version for n in fleet.nodes.values()}
        assert versions == {offset}

    def test_version_survives_outage_longer_than_retention(self) -> None:
        """All records expire in the outage; a checkpoint must follow it."""
        fleet = _fleet(a_router("r1"), a_router("r2"))
        fleet.publish(EMPTY_CONFIG, 1)
        fleet.advance(5.0)
        fleet.log.down = True
        fleet.advance(RETENTION_S * 2, 20.0)
        fleet.log.down = False
        fleet.advance(60.0)
        for node in list(fleet.nodes.values()):
            fleet.stop(node)
        late = fleet.start(a_router("r3"))
        fleet.advance(1.0)
        assert late.state.current == versioned(0, a_rule_list(1))
        published = fleet.publish(late.state.current, 2)
        fleet.advance(1.0)
        assert late.state.current == versioned(published, a_rule_list(2))

    def test_only_a_reset_restarts_an_expired_log(self) -> None:
        """A publication whose base has expired must not be accepted."""
        fleet = _fleet(a_router("r1"))
        fleet.publish(EMPTY_CONFIG, 1)
        fleet.advance(1.0)
        fleet.stop(next(iter(fleet.nodes.values())))
        fleet.log.now_s += RETENTION_S * 2
        node = fleet.start(a_router("r2"))
        fleet.publish(EMPTY_CONFIG, 2)
        fleet.advance(1.0)
        assert not node.state.ready
        offset = fleet.log.append_now(STREAM, encode_reset(a_rule_list(3)))
        fleet.advance(1.0)
        assert node.state.current == versioned(offset, a_rule_list(3))

    @pytest.mark.parametrize("lagging_first", [True, False])
    def test_a_lagging_checkpoint_does_not_hide_a_later_version(
        self, lagging_first: bool
    ) -> None:
        """A slow router may append a checkpoint of an older version last.

        A reader that started from the last checkpoint, not from the highest
        version, would reject the publication that follows.
        """
        fleet = _fleet(a_router("r1"))
        fleet.publish(EMPTY_CONFIG, 1)
        fleet.advance(1.0)
        node = next(iter(fleet.nodes.values()))
        old = node.state.current
        fleet.publish(old, 2)
        fleet.advance(1.0)
        new = node.state.current
        fleet.log.now_s += RETENTION_S * 0.9
        for version in (old, new) if lagging_first else (new, old):
            fleet.log.append_now(STREAM, encode_checkpoint(version))
        fleet.log.now_s += RETENTION_S * 0.2
        last = fleet.publish(new, 3)
        fleet.stop(node)
        late = fleet.start(a_router("r2"))
        fleet.advance(1.0)
        assert late.applied[0] == new
        assert late.state.current.version == last

    def test_number_of_checkpoints_is_bounded(self) -> None:
        """Eight routers must not each write all checkpoints."""
        fleet = _fleet(*(a_router(f"r{i}") for i in range(8)))
        fleet.publish(EMPTY_CONFIG, 1)
        fleet.advance(RETENTION_S * 4, 1.0)
        appended = len(fleet.log.all_records[STREAM]) - 1
        assert 8 <= appended <= 24

    def test_page_read_at_another_offset_is_ignored(self) -> None:
        """A page requested before the reader moved leaves out records."""
        fleet = _fleet(a_router("r1"))
        node = next(iter(fleet.nodes.values()))
        body = encode_publish(EMPTY_CONFIG, a_rule_list(1))
        record = LogRecord(7, body)
        fleet.handle(node, LogRead(STREAM, (record,), True, 0, 7))
        assert node.state.next_offset == 0
        assert not node.state.ready

    def test_page_after_expired_records_is_applied(self) -> None:
        """The log dropped the records before 7, so the page starts there."""
        fleet = _fleet(a_router("r1"))
        node = next(iter(fleet.nodes.values()))
        current = versioned(4, a_rule_list(1))
        record = LogRecord(7, encode_checkpoint(current))
        fleet.handle(node, LogRead(STREAM, (record,), True, 7, 7))
        assert node.state.current == current

    def test_older_version_from_peer_is_ignored(self) -> None:
        """A delayed message must not restore an older configuration."""
        fleet = _fleet(a_router("r1"), a_router("r2"))
        node, peer = fleet.nodes.values()
        for version in (
            versioned(9, a_rule_list(2)),
            versioned(8, a_rule_list(1)),
        ):
            body = encode_checkpoint(version)
            push = ConfigPush(version.version, version.digest, body)
            fleet.handle(node, MessageReceived(peer.info.key, push))
        assert [v.version for v in node.applied] == [9]

    def test_invalid_version_from_peer_is_rejected(self) -> None:
        fleet = _fleet(a_router("r1"), a_router("r2"))
        node, peer = fleet.nodes.values()
        body = encode_checkpoint(versioned(9, a_rule_list(1)))
        fleet.handle(
            node, MessageReceived(peer.info.key, ConfigPush(9, "0" * 64, body))
        )
        fleet.handle(
            node, MessageReceived(peer.info.key, ConfigPush(9, "0" * 64, b"{"))
        )
        assert not node.state.ready

    def test_poll_interval_grows_with_routers_within_bound(self) -> None:
        assert configcore.poll_interval_s(2) == 1.0
        assert 340 / configcore.poll_interval_s(340) < 200
        assert configcore.poll_interval_s(10_000) < BOUND_S

"""A request that crashes endpoints crashes at most three of them.

Copies and retries of such a request may reach several routers at once. Each
crash is a strike against the request's fingerprint. A suspected request runs
only with the grants of all other routers; three strikes quarantine it.
"""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bulrushstream.coordination.quarantine import (
    Quarantine,
    QuarantineOptions,
    StrikeBatch,
    encode_strikes,
)
from bulrushstream.coordination.router import RouterOptions
from bulrushstream.messages import QUARANTINED
from bulrushstream.state.effect import AppendLog, FailRequest, Reply
from bulrushstream.state.event import (
    DrainStarted,
    LogAppended,
    LogFailed,
    LogRead,
    LogRecord,
    PeerDown,
    PeerLost,
)
from bulrushstream.state.message import (
    Dispatch,
    Strike,
    Strikes,
    TrialAsk,
    TrialGrant,
)
from bulrushstream.state.request import Outcome, Request
from tests.builders import a_request, a_router, an_agent, an_end
from tests.fleets import POISON, Faults, RouterFleet
from tests.routers import RouterDriver, sent

FINGERPRINT = 77
AGENT = an_agent()
TRIAL_SETTLE_S = RouterOptions().trial_settle_s


def a_crashing_request(
    name: str, arrived_s: float = 0.0, retries: int = 2
) -> Request:
    return a_request(
        name,
        idempotent=True,
        retry_limit=retries,
        body=POISON,
        fingerprint=FINGERPRINT,
        arrived_s=arrived_s,
        deadline_s=arrived_s + 30.0,
    )


def report_crash(router: RouterDriver, name: str, attempt: int = 1) -> None:
    """Report to the router that a request's endpoint crashed."""
    router.receive(
        AGENT,
        an_end(
            0,
            name,
            attempt,
            outcome=Outcome.UNKNOWN,
            whole=False,
            crashed=True,
            crash=attempt,
        ),
    )


def sent_appends(router: RouterDriver) -> list[AppendLog]:
    return [each for each in router.effects if isinstance(each, AppendLog)]


class BoundSuite:
    @settings(max_examples=60)
    @given(
        seed=st.integers(0, 1 << 30),
        routers=st.integers(1, 3),
        copies=st.integers(1, 30),
        lose=st.sampled_from([0.0, 0.3, 0.7]),
    )
    def test_at_most_three_endpoints_crash(
        self, seed: int, routers: int, copies: int, lose: float
    ) -> None:
        """The log is down; routers learn strikes only from each other."""
        faults = Faults(loss_rate=lose, duplicate_rate=0.2, log_down=True)
        fleet = RouterFleet(seed, routers, faults)
        rng = random.Random(seed)
        for index in range(copies):
            at_s = rng.uniform(0.0, 3.0)
            fleet.arrive(at_s, a_crashing_request(f"p{index}", at_s))
        for index in range(5):
            good = a_request(f"g{index}", fingerprint=index + 1)
            fleet.arrive(rng.uniform(0.0, 3.0), good)
        fleet.run(120.0)
        assert not fleet.leftovers()
        assert 1 <= fleet.crashes <= 3
        for index in range(copies):
            assert isinstance(fleet.final_effects[f"p{index}"][0], FailRequest)
        for index in range(5):
            assert isinstance(fleet.final_effects[f"g{index}"][0], Reply)
        assert all(len(ends) == 1 for ends in fleet.final_effects.values())

    def test_copies_sent_through_many_routers_crash_no_more(self) -> None:
        """Each copy is sent after the one before it has failed."""
        fleet = RouterFleet(5, 9, Faults(log_down=True))
        for index in range(20):
            fleet.arrive(
                index * 2.0, a_crashing_request(f"p{index}", index * 2.0, 0)
            )
        fleet.run(60.0)
        assert fleet.crashes == 3

    def test_a_restarted_router_learns_strikes_from_the_log(self) -> None:
        fleet = RouterFleet(1, 1, Faults())
        for index in range(3):
            fleet.arrive(
                index * 1.0, a_crashing_request(f"p{index}", index, 0)
            )
        fleet.run(5.0)
        fleet.crash_router(a_router("router-0").key)
        fleet.start_router(a_router("router-9"))
        fleet.arrive(1.0, a_crashing_request("again", 5.0))
        fleet.run(10.0)
        assert fleet.crashes == 3
        end = fleet.final_effects["again"][0]
        assert isinstance(end, FailRequest)
        assert (end.code, end.outcome) == (QUARANTINED.code, Outcome.NOT_RUN)
        assert end.retry_after_s > 500.0

    def test_a_router_without_known_strikes_dispatches_nothing(self) -> None:
        """A router that starts while the log is down must not dispatch.

        It cannot tell whether a request is quarantined until its peer, which
        knows three strikes, reports them.
        """
        router = RouterDriver()
        router.state.strikes_known = False
        router.connect(AGENT)
        router.arrive(a_crashing_request("a"))
        assert not sent(router.pull(AGENT), Dispatch)
        peer = a_router("router-2")
        router.connect(peer)
        strikes = tuple(
            Strike(FINGERPRINT, f"x{i}@1#1", False, 0) for i in range(3)
        )
        router.receive(peer, Strikes(strikes))
        assert router.failures("a")[0].outcome is Outcome.NOT_RUN

    def test_a_new_peer_is_sent_the_strikes_even_if_there_are_none(
        self,
    ) -> None:
        router = RouterDriver()
        assert sent(router.connect(a_router("router-2")), Strikes) == [
            Strikes(())
        ]


class SuspectSuite:
    def test_requests_with_equal_fingerprints_wait_for_the_first(self) -> None:
        router = RouterDriver()
        router.connect(AGENT)
        for name in ("a", "b", "c"):
            router.arrive(a_request(name, fingerprint=FINGERPRINT))
        assert len(sent(router.pull(AGENT), Dispatch)) == 1
        assert not sent(router.pull(AGENT), Dispatch)
        router.receive(AGENT, an_end(0, "a"))
        assert len(sent(router.pull(AGENT), Dispatch)) == 1
        assert len(sent(router.pull(AGENT), Dispatch)) == 1

    def test_a_suspected_request_waits_for_each_routers_grant(self) -> None:
        router = RouterDriver()
        peer = a_router("router-2")
        router.connect(peer)
        router.connect(AGENT)
        router.wait(TRIAL_SETTLE_S)
        router.arrive(a_crashing_request("a", retries=0))
        router.pull(AGENT)
        report_crash(router, "a")
        asks = sent(router.arrive(a_crashing_request("b")), TrialAsk)
        assert len(asks) == 1
        assert asks[0].strikes[0].fingerprint == FINGERPRINT
        assert not sent(router.pull(AGENT), Dispatch)
        again = sent(router.wait(0.6), TrialAsk)
        assert [each.number for each in again] == [asks[0].number]
        grant = TrialGrant(FINGERPRINT, asks[0].number, ())
        router.receive(peer, grant)
        assert len(sent(router.pull(AGENT), Dispatch)) == 1

    def test_no_grant_is_needed_from_a_lost_router(self) -> None:
        router = RouterDriver()
        peer = a_router("router-2")
        router.connect(peer)
        router.connect(AGENT)
        router.wait(TRIAL_SETTLE_S)
        learned = Strikes((Strike(FINGERPRINT, "x@1#r.1", False, 0),))
        router.receive(peer, learned)
        router.arrive(a_crashing_request("a"))
        assert not sent(router.pull(AGENT), Dispatch)
        router.on(PeerLost(peer.key))
        assert len(sent(router.pull(AGENT), Dispatch)) == 1

    def test_a_suspected_request_waits_for_a_returning_agents_reports(
        self,
    ) -> None:
        router = RouterDriver()
        other = an_agent("agent-2")
        router.connect(AGENT)
        router.connect(other)
        router.wait(TRIAL_SETTLE_S)
        router.on(PeerDown(other.key))
        learned = Strikes((Strike(FINGERPRINT, "x@1#r.1", False, 0),))
        router.receive(AGENT, learned)
        router.arrive(a_crashing_request("a"))
        router.wait(TRIAL_SETTLE_S)
        assert not sent(router.pull(AGENT), Dispatch)
        router.connect(other)
        router.wait(TRIAL_SETTLE_S / 2)
        assert not sent(router.pull(AGENT), Dispatch)
        router.wait(TRIAL_SETTLE_S / 2)
        assert len(sent(router.pull(AGENT), Dispatch)) == 1

    def test_a_suspected_request_does_not_wait_for_a_lost_agent(self) -> None:
        router = RouterDriver()
        other = an_agent("agent-2")
        router.connect(AGENT)
        router.connect(other)
        router.wait(TRIAL_SETTLE_S)
        router.on(PeerDown(other.key))
        router.receive(
            AGENT, Strikes((Strike(FINGERPRINT, "x@1#r.1", False, 0),))
        )
        router.arrive(a_crashing_request("a"))
        router.on(PeerLost(other.key))
        router.wait(1.0)
        assert len(sent(router.pull(AGENT), Dispatch)) == 1

    @pytest.mark.parametrize(
        ("agent_returns", "strikes"), [(False, 1), (True, 0)]
    )
    def test_a_strike_is_counted_for_an_attempt_on_a_lost_agent(
        self, agent_returns: bool, strikes: int
    ) -> None:
        router = RouterDriver()
        router.connect(AGENT)
        router.arrive(a_crashing_request("a", retries=0))
        router.pull(AGENT)
        router.on(PeerDown(AGENT.key))
        # The attempt's outcome is unknown: it may have crashed its endpoint.
        router.wait(6.0)
        assert router.failures("a")[0].outcome is Outcome.UNKNOWN
        assert router.state.quarantine.count(FINGERPRINT, router.now_s) == 0
        if agent_returns:
            router.connect(AGENT)
            router.on(PeerDown(AGENT.key))
        router.on(PeerLost(AGENT.key))
        counted = router.state.quarantine.count(FINGERPRINT, router.now_s)
        assert counted == strikes

    def test_a_crash_reported_first_by_an_agent_is_recorded(self) -> None:
        router = RouterDriver()
        router.connect(AGENT)
        router.arrive(a_crashing_request("a", retries=0))
        router.pull(AGENT)
        key = AGENT.key
        name = f"{key.instance}@{key.incarnation}#1"
        router.receive(AGENT, Strikes((Strike(FINGERPRINT, name, False, 0),)))
        assert not sent_appends(router)
        report_crash(router, "a")
        assert name.encode() in sent_appends(router)[0].body
        assert router.state.quarantine.count(FINGERPRINT, router.now_s) == 1

    def test_a_draining_router_stays_until_its_strikes_are_passed_on(
        self,
    ) -> None:
        router = RouterDriver()
        router.connect(AGENT)
        router.arrive(a_crashing_request("a", retries=0))
        router.pull(AGENT)
        report_crash(router, "a")
        router.on(DrainStarted())
        assert not router.state.idle
        router.on(LogFailed(sent_appends(router)[0].token))
        assert not router.state.idle
        router.connect(a_router("router-2"))
        assert router.state.idle

    def test_a_queued_copy_is_held_once_it_is_suspected(self) -> None:
        router = RouterDriver()
        peer = a_router("router-2")
        router.connect(peer)
        router.connect(AGENT)
        router.arrive(a_crashing_request("a"))
        learned = Strikes((Strike(FINGERPRINT, "x@1#r.1", False, 0),))
        router.receive(peer, learned)
        assert not sent(router.pull(AGENT), Dispatch)

    def test_after_two_crashes_a_request_runs_alone(self) -> None:
        router = RouterDriver()
        router.connect(AGENT)
        router.arrive(a_crashing_request("a"))
        flags = []
        for attempt in (1, 2, 3):
            flags += [d.alone for d in sent(router.pull(AGENT), Dispatch)]
            report_crash(router, "a", attempt)
            router.wait(5.0)
        assert flags == [False, False, True]
        failure = router.failures("a")[0]
        assert failure.code == QUARANTINED.code
        assert failure.outcome is Outcome.UNKNOWN

    def test_a_completed_trial_clears_a_suspected_request(self) -> None:
        router = RouterDriver()
        peer = a_router("router-2")
        router.connect(AGENT)
        router.wait(TRIAL_SETTLE_S)
        router.arrive(a_crashing_request("a"))
        router.pull(AGENT)
        report_crash(router, "a")
        strike = sent_appends(router)[0]
        router.on(LogAppended(strike.token, 0))
        router.wait(1.0)
        router.pull(AGENT)
        router.connect(peer)
        effects = router.receive(AGENT, an_end(0, "a", 2))
        assert router.replies("a")[-1].whole
        assert sent(effects, Strikes) == [Strikes((), (FINGERPRINT,))]
        assert b"pardons" in sent_appends(router)[1].body
        router.arrive(a_crashing_request("b"))
        assert len(sent(router.pull(AGENT), Dispatch)) == 1

    def test_a_pardon_in_the_log_lifts_a_quarantine(self) -> None:
        router = RouterDriver()
        router.connect(AGENT)
        strikes = tuple(
            Strike(FINGERPRINT, f"x{i}@1#r.1", False, 0) for i in range(3)
        )
        router.receive(a_router("router-2"), Strikes(strikes))
        router.arrive(a_crashing_request("a"))
        assert router.failures("a")[0].code == QUARANTINED.code
        router.wait(1.0)
        pardon = encode_strikes(StrikeBatch(0, (), (FINGERPRINT,)))
        router.on(LogRead("strikes", (LogRecord(0, pardon),), True))
        router.arrive(a_crashing_request("b"))
        assert len(sent(router.pull(AGENT), Dispatch)) == 1

    def test_a_draining_router_still_grants_trials(self) -> None:
        router = RouterDriver()
        peer = a_router("router-2")
        router.connect(peer)
        router.on(DrainStarted())
        strike = Strike(FINGERPRINT, "x@1#r.1", False, 0)
        effects = router.receive(peer, TrialAsk(FINGERPRINT, 5, (strike,)))
        assert sent(effects, TrialGrant)[0].number == 5


class StrikeSuite:
    def test_one_crash_reported_by_two_routers_counts_once(self) -> None:
        quarantine = Quarantine(QuarantineOptions())
        assert quarantine.add_strike(1, "agent@1#1", False, 10.0)
        assert not quarantine.add_strike(1, "agent@1#1", False, 10.2)
        assert quarantine.add_strike(1, "agent@1#2", False, 10.3)
        assert quarantine.add_strike(1, "agent@2#1", False, 10.3)
        assert quarantine.count(1, 10.3) == 3

    def test_strikes_expire(self) -> None:
        quarantine = Quarantine(QuarantineOptions(expiry_s=60.0))
        for index in range(3):
            quarantine.add_strike(1, f"x{index}@1#a.1", False, float(index))
        assert quarantine.is_refused(1, 59.0)
        assert quarantine.remaining_s(1, 59.0) == 1.0
        assert not quarantine.is_refused(1, 60.0)
        assert quarantine.count(1, 62.0) == 0

    def test_a_late_copy_of_a_pardoned_strike_is_ignored(self) -> None:
        quarantine = Quarantine(QuarantineOptions())
        quarantine.add_strike(1, "x@1#a.1", False, 5.0)
        quarantine.pardon(1, 6.0)
        assert not quarantine.add_strike(1, "x@1#a.1", False, 5.0)
        assert quarantine.add_strike(1, "x@1#a.2", False, 7.0)

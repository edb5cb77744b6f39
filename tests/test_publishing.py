"""A publication reports its actual outcome, or that it is unknown.

Answers and appends may be lost, and several publishers may race.
"""

from __future__ import annotations

import asyncio
from dataclasses import replace
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from bulrushstream.coordination.configlog import (
    STREAM,
    encode_publish,
    encode_reset,
    versioned,
)
from bulrushstream.publishing import (
    Accepted,
    ConfigReader,
    Conflict,
    LogUnreachable,
    NoVersions,
    OutcomeUnknown,
    Publication,
    PublishOptions,
    PublishResult,
    Unchanged,
    publish,
)
from bulrushstream.state.config import EMPTY_CONFIG
from tests.builders import a_rule_list
from tests.fakelog import FakeLog

FIRST = versioned(0, a_rule_list(1))


def _log() -> FakeLog:
    log = FakeLog(retention_s=100.0)
    log.append_now(
        STREAM, encode_publish(EMPTY_CONFIG, FIRST.config, "first", "ann")
    )
    return log


async def _skip_wait(wait_s: float) -> None:
    assert wait_s > 0.0


def _publish(log: FakeLog, publication: Publication) -> PublishResult:
    return asyncio.run(publish(log, publication, _skip_wait))


def _second(publish_id: str = "second") -> Publication:
    return Publication(a_rule_list(2), publish_id)


class PublishingSuite:
    def test_publication_on_the_current_base_is_accepted(self) -> None:
        log = _log()
        published = _publish(log, _second())
        assert published == Accepted(versioned(1, a_rule_list(2)))

    def test_unchanged_rule_list_is_not_published(self) -> None:
        log = _log()
        published = _publish(log, replace(_second(), config=FIRST.config))
        assert published == Unchanged(FIRST)
        assert len(log.all_records[STREAM]) == 1

    def test_a_stale_base_is_a_conflict_before_any_append(self) -> None:
        log = _log()
        log.append_now(
            STREAM, encode_publish(FIRST, a_rule_list(3), "x", "bob", "n")
        )
        published = _publish(log, replace(_second(), base=0))
        current = versioned(1, a_rule_list(3))
        assert published == Conflict(current, 0, "bob", "n")
        assert len(log.all_records[STREAM]) == 2

    def test_lost_answer_is_resolved_by_reading_the_log(self) -> None:
        log = _log()
        log.lose_answers = 1
        published = _publish(log, _second())
        assert published == Accepted(versioned(1, a_rule_list(2)))
        assert len(log.all_records[STREAM]) == 2

    def test_lost_append_is_retried(self) -> None:
        log = _log()
        log.lose_appends = 2
        published = _publish(log, _second())
        assert published == Accepted(versioned(1, a_rule_list(2)))

    def test_late_duplicate_record_has_no_effect(self) -> None:
        """A retried append may reach the log a second time."""
        log = _log()
        log.lose_appends = 1
        accepted = _publish(log, _second())
        copy = log.all_records[STREAM][-1][1].body
        log.append_now(STREAM, copy)
        reader = ConfigReader(log)
        assert accepted == Accepted(asyncio.run(reader.read()))

    def test_log_outage_publishes_nothing(self) -> None:
        log = _log()
        log.down = True
        assert isinstance(_publish(log, _second()), LogUnreachable)
        assert len(log.all_records[STREAM]) == 1

    def test_log_failure_after_append_is_unresolved(self) -> None:
        """The record is stored, so a retry must find it, not add another."""
        log = _log()
        log.lose_answers = 1
        log.down_after_appends = 1
        assert isinstance(_publish(log, _second()), OutcomeUnknown)
        log.down = False
        again = _publish(log, _second())
        assert again == Accepted(versioned(1, a_rule_list(2)))
        assert len(log.all_records[STREAM]) == 2

    def test_retry_after_a_lost_race_is_a_conflict(self) -> None:
        """The stored record came second, so it is not appended again."""
        log = _log()
        log.append_now(STREAM, encode_publish(FIRST, a_rule_list(3), "x"))
        log.append_now(STREAM, encode_publish(FIRST, a_rule_list(2), "second"))
        assert isinstance(_publish(log, _second()), Conflict)
        assert len(log.all_records[STREAM]) == 3

    def test_only_a_reset_can_follow_an_expired_log(self) -> None:
        log = _log()
        log.now_s = 1000.0
        assert _publish(log, _second()) == NoVersions()
        published = _publish(log, replace(_second(), is_reset=True))
        assert published == Accepted(versioned(1, a_rule_list(2)))

    def test_reset_equals_a_first_publication(self) -> None:
        log = FakeLog()
        log.append_now(STREAM, encode_reset(a_rule_list(1)))
        assert asyncio.run(ConfigReader(log).read()) == FIRST

    @given(seed=st.integers(0, 1 << 20), count=st.integers(2, 5))
    def test_of_racing_publishers_one_wins_each_base(
        self, seed: int, count: int
    ) -> None:
        log = _log()
        outcomes = asyncio.run(_race(log, Random(seed), count))
        current = asyncio.run(ConfigReader(log).read())
        accepted = [o for o in outcomes if isinstance(o, Accepted)]
        versions = [o.current.version for o in accepted]
        assert len(set(versions)) == len(versions)
        assert current.version == max([0, *versions])
        if not any(isinstance(o, OutcomeUnknown) for o in outcomes):
            assert accepted


async def _race(
    log: FakeLog, rng: Random, count: int
) -> tuple[PublishResult, ...]:
    """Publish concurrently on one base, with faults between attempts."""

    async def inject_faults(_: float) -> None:
        log.down = rng.random() < 0.2
        log.lose_answers = rng.randrange(3)
        log.lose_appends = rng.randrange(2)
        await asyncio.sleep(0)

    async def publish_one(number: int) -> PublishResult:
        for _ in range(rng.randrange(4)):
            await asyncio.sleep(0)
        publication = Publication(a_rule_list(number), f"p{number}", base=0)
        options = PublishOptions(attempts=50)
        return await publish(log, publication, inject_faults, options)

    tasks = [publish_one(number) for number in range(2, 2 + count)]
    return tuple(await asyncio.gather(*tasks))

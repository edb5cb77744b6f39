"""Decides whether an endpoint ended during a run that broke there.

A run that broke counts against its request if its endpoint ended.  However
far the answer was, a broken run alone may be a lost answer.  Two kinds of
evidence tell them apart:

- The other connections to the endpoint.  A process that ends takes all of
  them with it, so one that goes on shows that the endpoint lives, even if
  another process has its id.
- What is at its address afterwards; see `Sign`.  It shows nothing while
  older connections stay open.

If neither tells, the request is *watched*: its next run gets connections
that will.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import IntEnum
from typing import Final

from bulrushstream.state.call import AnswerProgress
from bulrushstream.state.endpointsigns import ConnectionsSeen, Sign

# The time after a break in which the ends of other connections arrive.
SETTLE_S: Final = 0.25

# Connections that are silent for this long, while new ones are answered,
# belonged to a process that ended.
SILENT_S: Final = 1.5

# A process that was only suspended answers on its old connections within
# this time after it answered on a new one.
RESUMED_S: Final = 0.2

# A part of a prompt crashes endpoints as they begin to write; one that had
# written for longer than this crashed for another reason.
BEGINNING_S: Final = 1.0

# A passive run is judged for this time only, as nothing suggests that its
# endpoint ends.
PASSIVE_S: Final = 1.0

# A run without a verdict after this time remains without one.
GIVE_UP_S: Final = 8.0

# Connections ended together if so many ended for each one that stays open;
# the notice of some ends may be late.
ENDED_PER_OPEN: Final = 3

_ENDING_SIGNS: Final = (Sign.REFUSED, Sign.OTHER_INSTANCE, Sign.REMOVED)


@dataclass(frozen=True, slots=True)
class BrokenRun:
    """A run that ended without a complete answer, or went silent."""

    request_id: str
    fingerprint: int  # The request's digest.
    broke_s: float  # When it ended; if silent, when it was last heard.
    silent: bool  # Whether its connection stayed open.
    # Whether no byte came on a connection that other requests had used; it
    # may have been dead before.
    unproven_connection: bool
    progress: AnswerProgress
    parts: tuple[int, ...] = ()  # The shared parts of its prompt.
    sent_s: float = 0.0  # When it was sent.
    # When the endpoint began to write the answer; infinity: it had not yet.
    began_s: float = float("inf")
    # Whether it broke for another reason, and is judged only by what is seen
    # of its endpoint anyway.
    passive: bool = False

    @property
    def had_just_begun(self) -> bool:
        """Return whether the endpoint had written for a moment at most."""
        return self.broke_s - self.began_s < BEGINNING_S


class Verdict(IntEnum):
    """Whether an endpoint ended during a run."""

    OPEN = 1  # Not known yet.
    ENDED = 2
    LIVES = 3
    UNKNOWN = 4  # It will not be known.


@dataclass(frozen=True, slots=True)
class Judgement:
    """A verdict and the reason for it."""

    verdict: Verdict
    reason: str = ""


_STILL_OPEN: Final = Judgement(Verdict.OPEN)


def judge_run(
    run: BrokenRun,
    seen: ConnectionsSeen,
    signs: Mapping[Sign, float],
    now_s: float,
) -> Judgement:
    """Return whether an endpoint ended during a run.

    :param run: the run
    :param seen: what became of the connections that were open when it broke
    :param signs: when each sign was last seen at the endpoint's address
    :param now_s: the time
    """
    if seen.heard:
        return Judgement(Verdict.LIVES, "another connection to it goes on")
    # One that is leaving may close its port, or hand it on, and run on.
    stays_open = bool(seen.open) and not run.silent
    for sign in () if stays_open else _ENDING_SIGNS:
        if signs.get(sign, float("-inf")) >= run.broke_s:
            return Judgement(Verdict.ENDED, sign.value)
    age_s = now_s - run.broke_s
    if age_s < SETTLE_S:
        return _STILL_OPEN
    if run.silent:
        judgement = _judge_silent(run, signs, now_s)
    else:
        judgement = _judge_closed(run, seen, signs)
    if judgement.verdict is Verdict.OPEN and age_s > GIVE_UP_S:
        return Judgement(Verdict.UNKNOWN, "nothing shows if it lives")
    return judgement


def _judge_closed(
    run: BrokenRun, seen: ConnectionsSeen, signs: Mapping[Sign, float]
) -> Judgement:
    """Judge a run whose connection was closed or reset."""
    if seen.open and seen.open >= seen.ended:
        return Judgement(Verdict.LIVES, "other connections to it stay open")
    # Connections that carried requests may have ended with lost answers, but
    # hardly at the same moment.
    enough = seen.ended > seen.ended_busy or seen.ended_at_once >= 2
    if seen.ended >= 2 and enough and seen.ended >= ENDED_PER_OPEN * seen.open:
        return Judgement(Verdict.ENDED, "its connections ended together")
    if signs.get(Sign.SAME_INSTANCE, float("-inf")) < run.broke_s:
        return _STILL_OPEN
    if seen.open:
        return Judgement(Verdict.LIVES, Sign.SAME_INSTANCE.value)
    return Judgement(Verdict.UNKNOWN, "it had no other connection")


def _judge_silent(
    run: BrokenRun, signs: Mapping[Sign, float], now_s: float
) -> Judgement:
    """Judge a run whose connection went silent."""
    answered_s = signs.get(Sign.SAME_INSTANCE, float("-inf"))
    settled_s = max(answered_s + RESUMED_S, run.broke_s + SILENT_S)
    if answered_s < run.broke_s or now_s < settled_s:
        return _STILL_OPEN
    if run.unproven_connection:
        return Judgement(
            Verdict.UNKNOWN, "its connection may have been dead before"
        )
    if signs.get(Sign.NO_ANSWER, float("-inf")) >= run.broke_s:
        return Judgement(
            Verdict.ENDED, "its connections went silent, new ones do not"
        )
    return Judgement(Verdict.UNKNOWN, "it had no other connection")

"""What of spoiled answers a router can not notice, and why.

The bytes of a spoiled answer are read by all that can be learned of its
service: the framing is whole, each event has one id, and ids rise by one from
where the request goes on.  What such a reader passes on before the first flaw
is what a router can not notice; all else that callers find is the router's
fault.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import Final

import httptools

from tests.spoilings import End, WrittenAnswer
from tests.streamjudge import Fault, Finding, ids_in, is_comment, split_blocks

# Whole streams of a service after which a router knows how its ids rise: less
# than one in 20 rises differs (at 95 percent), as 60 have been seen.
LEARNING_STREAMS: Final = 8


@dataclass(slots=True)
class Reading:
    """A spoiled answer up to its first flaw."""

    blocks: list[bytes] = field(default_factory=list)
    last: int = 0  # The id of its last event.
    whole: bool = False
    flawed: bool = False  # Rather than whole, or broken off.
    next_ids: list[bytes] | None = None  # Of the event with the flaw.


class _Body:
    """The body of an answer, as far as its framing is right."""

    def __init__(self, answer: WrittenAnswer) -> None:
        self.data = b""
        self.complete = False
        self.flawed = False
        self._names: set[bytes] = set()
        self._parser = httptools.HttpResponseParser(self)
        self._feed(answer)

    def _feed(self, answer: WrittenAnswer) -> None:
        for piece in answer.pieces:
            if self.complete:
                # It goes on behind its end.
                self.flawed = True
                return
            try:
                self._parser.feed_data(piece)
            except httptools.HttpParserError:
                self.complete = False
                self.flawed = True
                return
        framed = {b"transfer-encoding", b"content-length"} & self._names
        if not framed and answer.end is End.CLOSED:
            self.complete = True

    def on_message_begin(self) -> None:
        # Also of a second answer, in the bytes after the first.
        self.complete = False
        self.flawed = False
        self._names = set()

    def on_header(self, name: bytes, value: bytes) -> None:
        self._names.add(name.lower())

    def on_body(self, data: bytes) -> None:
        self.data += data

    def on_message_complete(self) -> None:
        self.complete = True


def read_spoiled(answer: WrittenAnswer, after: int) -> Reading:
    """Read a spoiled answer up to its first flaw.

    :param answer: the answer
    :param after: the id after which its stream goes on
    """
    body = _Body(answer)
    reading = Reading(last=after, flawed=body.flawed)
    blocks, rest = split_blocks(body.data)
    for block in blocks:
        if not block or is_comment(block):
            continue
        ids = ids_in(block)
        if ids != [b"%d" % (reading.last + 1)]:
            reading.flawed = True
            reading.next_ids = ids
            return reading
        reading.last += 1
        reading.blocks.append(block)
    reading.whole = body.complete and not rest
    return reading


@dataclass(slots=True, eq=False)
class SpoiledRun:
    """A run whose answer was spoiled."""

    kind: str
    link: tuple[str, str]  # The endpoint and the router.
    answer: WrittenAnswer
    after: int  # The id after which its stream goes on.
    reading: Reading
    knows: bool  # Whether its router knew the service's ids.
    fresh: bool  # Whether its router had not read a flaw of the endpoint.
    excused: set[Fault] = field(default_factory=set)


@dataclass(slots=True)
class SpoiledRuns:
    """All spoiled runs of a play.

    An endpoint has erred for a router once that router has read a flaw, which
    takes `delay_s` at most from when it was written.  Each run excuses one
    finding of a kind.
    """

    delay_s: float
    # Findings that no router could prevent, by the reason.
    undetectable: Counter[str] = field(default_factory=Counter)
    counts: Counter[str] = field(default_factory=Counter)  # Runs, by kind.
    _of: dict[str, list[SpoiledRun]] = field(
        default_factory=lambda: defaultdict(list)
    )
    _whole: Counter[str] = field(default_factory=Counter)
    _erred_s: dict[tuple[str, str], float] = field(default_factory=dict)

    def begin(
        self,
        request_id: str,
        link: tuple[str, str],
        kind: str,
        answer: WrittenAnswer,
        after: int,
        now_s: float,
    ) -> SpoiledRun:
        """Record a run.

        :param request_id: the request's
        :param link: the endpoint and the router
        :param kind: how it is spoiled
        :param answer: what the endpoint writes
        :param after: the id after which the stream goes on
        :param now_s: the time
        """
        knows = self._whole[link[1]] >= LEARNING_STREAMS
        fresh = now_s < self._erred_s.get(link, now_s) + self.delay_s
        reading = read_spoiled(answer, after)
        run = SpoiledRun(kind, link, answer, after, reading, knows, fresh)
        self.counts[kind] += 1
        self._of[request_id].append(run)
        return run

    def end(self, run: SpoiledRun, written: int, now_s: float) -> None:
        """Record the end of a run.

        :param run: the run
        :param written: how many pieces of its answer were written
        :param now_s: the time
        """
        answer = WrittenAnswer(run.answer.pieces[:written], End.NONE)
        if read_spoiled(answer, run.after).flawed:
            self._erred_s.setdefault(run.link, now_s)

    def whole_run(self, router: str) -> None:
        """Record a whole stream that a router has received."""
        self._whole[router] += 1

    def restarted(self, router: str) -> None:
        """Record that a router has started again."""
        self._whole[router] = 0

    def kinds(self, request_id: str) -> str:
        """Return how the answers to a request were spoiled."""
        return "+".join(run.kind for run in self._of.get(request_id, ()))

    def blame(
        self,
        request_id: str,
        findings: list[Finding],
        resumable: bool,
        *,
        checks_ends: bool = True,
    ) -> list[str]:
        """Return what the router is to blame for; count the other findings.

        :param request_id: the request's
        :param findings: what its caller found
        :param resumable: whether the stream may be resumed
        :param checks_ends: whether the ends of such streams could be checked
        """
        checked = resumable and checks_ends
        wrong = []
        for finding in findings:
            reason = self._excuse(request_id, finding, checked)
            if reason:
                self.undetectable[reason] += 1
            else:
                wrong.append(f"{finding} [{self.kinds(request_id)}]")
        return wrong

    def _excuse(self, request_id: str, finding: Finding, checked: bool) -> str:
        """Return why a router could not notice; nothing: it could."""
        runs = self._of.get(request_id, [])
        alike = [
            run.link[0]
            for run in runs
            if run.reading.last == finding.last
            and run.reading.next_ids == ids_in(finding.block)
        ]
        if finding.fault is Fault.GAP and len(set(alike)) > 1:
            return "two endpoints wrote the same id"
        for run in runs:
            reason = _excuse(run, finding, checked)
            if reason and finding.fault not in run.excused:
                run.excused.add(finding.fault)
                return reason
        return ""


def _excuse(run: SpoiledRun, finding: Finding, checked: bool) -> str:
    reading = run.reading
    if finding.fault in (Fault.TEXT, Fault.JOINED):
        if finding.block in reading.blocks:
            return "text of a lawful event"
    elif finding.fault is Fault.EARLY_END:
        ends = reading.whole and reading.last == finding.last
        if ends and not finding.block and not checked:
            return "lawful end, not to be checked"
        if ends and not finding.block and run.fresh:
            return "lawful end of an endpoint that never erred"
    elif not run.knows and (
        finding.fault is Fault.GAP or ids_in(finding.block) == []
    ):
        return "ids not known yet"
    return ""

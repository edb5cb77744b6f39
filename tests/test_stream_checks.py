"""What is learned of a service's streams, and what is refused by it."""

from __future__ import annotations

from copy import deepcopy
from itertools import accumulate
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bulrushstream.coordination.streamcheck import (
    MAX_UNPROVEN,
    Doubts,
    StreamCheck,
)
from bulrushstream.coordination.streampatterns import MAX_SHAPE_BYTES
from bulrushstream.coordination.usualvalues import (
    MAX_ENDPOINTS,
    MAX_REFUSED,
    UsualValues,
)
from bulrushstream.state.eventlines import Spoiling
from bulrushstream.state.events import EventSplitter
from tests.eventstreams import LINE_ENDS, encode, pieces
from tests.servicestreams import Service, read_events

COUNT = 8
EVENTS = [b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, COUNT + 1)]
WHOLE = b"".join(EVENTS)
BYTES = b"\x00\n\r:5iadx "
CUTS = st.lists(st.integers(0, 10_000), max_size=6)
resumable_or_not = pytest.mark.parametrize("resumable", [True, False])


def known_service(resumable: bool, body: bytes = WHOLE) -> Service:
    """Return a service of which much is known."""
    service = Service(resumable)
    for _ in range(40):
        assert service.serve([body], [])[0] == body
    return service


def damaged(kind: str, place: int, value: int) -> tuple[bytes, int]:
    """Return the body with one damage, and the event that it hits."""
    index = place % COUNT
    event, rest = EVENTS[index], EVENTS[:index] + EVENTS[index + 1 :]
    at = value % len(event)
    byte = BYTES[value % len(BYTES) :][:1]
    if kind == "event lost":
        return b"".join(rest), index
    if kind == "event moved":
        to = value % COUNT
        return b"".join([*rest[:to], event, *rest[to:]]), min(index, to)
    changed = {
        "event twice": event + event,
        "byte lost": event[:at] + event[at + 1 :],
        "byte changed": event[:at] + byte + event[at + 1 :],
        "byte added": event[:at] + byte + event[at:],
        "half lost": event[: at or 1],
        "framing": event[:at] + b"\r\n1f\r\n" + event[at:],
    }[kind]
    return b"".join([*EVENTS[:index], changed, *EVENTS[index + 1 :]]), index


class DamageSuite:
    """Guards against damaged runs of which callers see more than data."""

    @pytest.mark.parametrize(
        "kind",
        [
            "event lost",
            "event moved",
            "event twice",
            "byte lost",
            "byte changed",
            "byte added",
            "half lost",
            "framing",
        ],
    )
    @resumable_or_not
    @settings(max_examples=150)
    @given(place=st.integers(0, 99), value=st.integers(0, 10_000), cuts=CUTS)
    def test_one_damage(
        self,
        resumable: bool,
        kind: str,
        place: int,
        value: int,
        cuts: list[int],
    ) -> None:
        body, index = damaged(kind, place, value)
        if not resumable and index >= COUNT - 2:
            return  # No later event may show it.
        service = deepcopy(SERVICES[resumable])
        bodies = [body, WHOLE] if resumable else [body]
        output, splitter = service.serve(bodies, cuts)
        found, whole = read_events(output), read_events(WHOLE)
        assert b"1f\r\n" not in output
        if resumable and (kind, index) != ("event lost", COUNT - 1):
            assert len(found) == COUNT
            assert splitter.last_id == COUNT
        shown = [id_ for id_, _ in found]
        if not resumable and "byte" in kind and str(index + 1) not in shown:
            # The name of its data may be hit: it may be a lawful event.
            del whole[index]
        assert shown == [id_ for id_, _ in whole[: len(found)]]
        # Bytes of data may be damaged; no other event is hit.
        assert sum(a != b for a, b in zip(found, whole, strict=False)) <= 1


SERVICES = {each: known_service(each) for each in (True, False)}


class LawfulSuite:
    """Guards against lawful streams that are changed or given up."""

    @resumable_or_not
    @settings(max_examples=30)
    @given(
        seed=st.integers(0, 10_000),
        step=st.integers(1, 9),
        first=st.integers(0, 99),
        cuts=CUTS,
        bom=st.booleans(),
    )
    def test_odd_lines(
        self,
        resumable: bool,
        seed: int,
        step: int,
        first: int,
        cuts: list[int],
        bom: bool,
    ) -> None:
        service = Service(resumable)
        ends = ((b"\n",), (b"\r\n",), (b"\r",), LINE_ENDS)[seed % 4]
        for run in range(40):
            ids = range(first, first + 12 * step, step)
            body = encode(ids, ends, seed + run, bom=bom).data
            output, splitter = service.serve([body], cuts)
            assert output == body
            assert splitter.last_id == ids[-1]

    @resumable_or_not
    @settings(max_examples=30)
    @given(seed=st.integers(0, 10_000), most=st.integers(3, 50))
    def test_ids_rise_irregularly(
        self, resumable: bool, seed: int, most: int
    ) -> None:
        service, rng = Service(resumable), Random(seed)
        for _ in range(20):
            ids = accumulate(rng.randint(1, most) for _ in range(20))
            body = b"".join(b"id: %d\ndata: x\n\n" % id_ for id_ in ids)
            assert service.serve([body], [])[0] == body

    @resumable_or_not
    def test_some_events_have_no_id(self, resumable: bool) -> None:
        service = Service(resumable)
        for run in range(60):
            body = b": ping\n\nretry: 9\n\n" + WHOLE + b"data: [DONE]\n\n"
            if not run % 7:
                body = body.replace(b"id: 4", b"event: v\ndata: 2\n\nid: 4")
            assert service.serve([body], [])[0] == body


class GoingOnSuite:
    """Guards against events without an id that come twice, or not at all."""

    @pytest.mark.parametrize("cuts", [[], [20], [43], [45], [60]])
    def test_a_run_begins_the_stream_anew(self, cuts: list[int]) -> None:
        begin = b"event: begin\ndata: x\n\n"
        for has_more in (False, True):
            more = b"event: v\ndata: 2\n\n" if has_more else b""
            body = begin + WHOLE + more
            service = known_service(resumable=True, body=body)
            splitter, doubts = EventSplitter(), Doubts()
            service.begin(splitter, doubts)
            output = splitter.feed(begin + EVENTS[0] + EVENTS[1])
            service.begin(splitter, doubts)
            output += b"".join(map(splitter.feed, pieces(body, cuts)))
            assert output + splitter.finish() == body

    def test_a_run_goes_on_with_such_events(self) -> None:
        more = b"event: v\ndata: 2\n\n"
        body = EVENTS[0] + more + b"".join(EVENTS[1:]) + more
        service = known_service(resumable=True, body=body)
        for rest in (body[len(EVENTS[0]) :], more):
            splitter, doubts = EventSplitter(), Doubts()
            service.begin(splitter, doubts)
            output = splitter.feed(body[: -len(rest)])
            service.begin(splitter, doubts)
            output += splitter.feed(rest) + splitter.finish()
            assert output == body


class LearningSuite:
    def test_it_is_quick(self) -> None:
        """Guards against a router that learns for long after a restart."""
        service = Service(resumable=True)
        gap = b"".join(EVENTS[:7])
        output, _ = service.serve([gap + b"id: 9\ndata: x\n\n", b""], [])
        assert output == gap

    def test_one_endpoint_spoils_all(self) -> None:
        """Guards against an endpoint whose gaps pass for a service's way."""
        service = Service(resumable=True)
        for run in range(60):
            spoils = service.runs % 3 == 0
            body = b"".join(EVENTS[:3] + EVENTS[4 + run % 3 :])
            bodies = [body if spoils else WHOLE, WHOLE]
            output, _ = service.serve(bodies, [])
            assert run < 3 or output == WHOLE

    def test_framing_behind_an_event(self) -> None:
        """Guards against a line end of the framing that callers read."""
        service = deepcopy(SERVICES[True])
        head = b"".join(EVENTS[:3])
        for blank in (b"\r", b"\r\n", b"\r\n1f\r\n"):
            output, _ = service.serve([head + blank + b"id", WHOLE], [57, 58])
            assert output == WHOLE

    @resumable_or_not
    def test_halves_teach_nothing(self, resumable: bool) -> None:
        """Guards against melted events that become usual."""
        service = deepcopy(SERVICES[resumable])
        for run in range(60):
            body, index = damaged("half lost", run, 16)
            bodies = [body if service.runs % 3 == 0 else WHOLE, WHOLE]
            output, _ = service.serve(bodies[: 1 + resumable], [run * 7])
            assert WHOLE.startswith(output) or index >= COUNT - 2

    def test_a_service_counts_in_other_steps(self) -> None:
        """Guards against a new version whose streams are broken off."""
        service = known_service(resumable=False)
        body = b"".join(b"id: %d\ndata: x\n\n" % n for n in range(5, 90, 5))
        outputs = [service.serve([body], [])[0] for _ in range(60)]
        assert outputs[30:] == [body] * 30

    def test_endpoints_agree_on_a_gap(self) -> None:
        """Guards against a stream that never passes a lawful gap."""
        service = known_service(resumable=True)
        gap = b"id: 4\ndata: x\n\n"
        bodies = [EVENTS[0] + EVENTS[1] + gap, gap, gap]
        assert service.serve(bodies, [])[0] == bodies[0]

    # Guards against a retry for each stream of a route with two attempts.
    def test_the_last_attempt_confirms_new_lines(self) -> None:
        service = known_service(resumable=True)
        end, output = b"event: end\ndata: x\n\n", b""
        before = service.runs
        for _ in range(20):
            splitter, doubts = EventSplitter(), Doubts()
            for is_last in (False, True):
                service.begin(splitter, doubts, is_last=is_last)
                body = end if is_last else WHOLE + end
                output += splitter.feed(body) + splitter.finish()
                if splitter.spoiling is None:
                    break
        assert output == (WHOLE + end) * 20
        assert service.runs - before == 22

    # Guards against a lawful gap that no stream of a route with two attempts
    # ever passes.
    def test_the_last_attempt_confirms_a_gap(self) -> None:
        service = known_service(resumable=True)
        rest = b"".join(EVENTS).replace(b"id: ", b"id: 1")
        splitter, doubts = EventSplitter(), Doubts()
        service.begin(splitter, doubts)
        output = splitter.feed(WHOLE + rest)
        assert (output, splitter.spoiling) == (WHOLE, Spoiling.GAP)
        service.begin(splitter, doubts, is_last=True)
        assert splitter.feed(rest) + splitter.finish() == rest

    # Guards against a gap that one endpoint alone wrote.
    def test_an_endpoint_does_not_confirm_its_own_gap(self) -> None:
        service = known_service(resumable=True)
        splitter, doubts = EventSplitter(), Doubts()
        for is_last in (False, True):
            service.runs = 2
            service.begin(splitter, doubts, is_last=is_last)
            output = splitter.feed(EVENTS[0] + b"".join(EVENTS[2:]))
            assert output == (b"" if is_last else EVENTS[0])
            assert splitter.spoiling is Spoiling.GAP

    def test_it_forgets_refusals(self) -> None:
        """Guards against memory that grows with each new endpoint."""
        values = UsualValues(3, 64, 2)
        for number in range(2000):
            for _ in range(number % 4):
                values.refused(f"e-{number}", 5)
        for _ in range(3):
            for number in range(1900, 2000):
                values.refused(f"e-{number}", 5)
        assert len(values._refused) <= MAX_REFUSED
        assert len(values._counts) <= MAX_ENDPOINTS

    def test_it_is_bounded(self) -> None:
        """Guards against memory that grows with what endpoints write."""
        service = Service(resumable=True)
        for run in range(300):
            body = b"id: %d\nf%d: x\ndata: x\n\n" % (run * run, run)
            service.serve([WHOLE + body], [])
            splitter = EventSplitter()
            service.runs = run * 1000
            service.begin(splitter, Doubts())
        assert max(_sizes(service)) <= 64

    def test_long_lines_are_not_kept(self) -> None:
        """Guards against memory that grows with the lines of a stream."""
        service, splitter = known_service(resumable=True), EventSplitter()
        service.begin(splitter, Doubts())
        for _ in range(20):
            splitter.feed(b"x" * 100_000 + b"\n\n")
        assert isinstance(splitter.check, StreamCheck)
        kept = sum(map(len, splitter.check._unproven))
        assert kept <= MAX_UNPROVEN * (MAX_SHAPE_BYTES + 1)

    def test_framing_at_a_new_router(self) -> None:
        """Guards against sizes of chunks that go out as lines."""
        splitter = EventSplitter()
        body = b"1b\r\n" + EVENTS[0] + b"\r\n1b\r\n" + EVENTS[1]
        assert splitter.feed(body) == b""
        assert splitter.spoiling is Spoiling.FRAMING


def _sizes(service: Service) -> list[int]:
    """Return how many items are remembered of a service, in each place."""
    pattern = service.pattern
    sizes = [len(pattern._shapes)]
    for values in (pattern._rises, pattern._firsts):
        sizes.append(len(values._counts))
        sizes += [len(counts) for counts in values._counts.values()]
    return sizes

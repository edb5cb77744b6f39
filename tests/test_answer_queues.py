"""The answers that a router keeps for slow callers have one limit.

Guards against many callers who stop reading long answers, or need them whole.
"""

from __future__ import annotations

from itertools import count

import pytest

from bulrushstream.daemon.port import MAX_ANSWERS_BYTES, CallersPort
from bulrushstream.state.effect import Reply
from bulrushstream.transport.port import AnswerQueue, Overflowed
from tests.builders import a_body, a_request

PIECE = b"x" * (1 << 20)


class AnswerQueuesSuite:
    @pytest.mark.parametrize("read", (False, True))
    def test_the_largest_of_many_ends(self, read: bool) -> None:
        port = CallersPort(lambda _: None, lambda: 0.0)
        numbers = count()

        def submit(pieces: int) -> AnswerQueue:
            request_id = f"q{next(numbers)}"
            queue = port.submit(a_request(request_id))
            for number in range(1, pieces + 1):
                port.deliver(Reply(request_id, a_body(number, PIECE)))
                if read:
                    queue.next_nowait()
                    queue.hold(number * len(PIECE))
            return queue

        small = [submit(1) for _ in range(10)]
        large = [submit(3) for _ in range(40)]
        kept = [each._account.size_bytes for each in small + large]
        assert 0.9 * MAX_ANSWERS_BYTES <= sum(kept) <= MAX_ANSWERS_BYTES
        ended = [x for x in large if x.next_nowait() == Overflowed()]
        assert len(ended) == kept.count(0) >= 20
        assert kept[:10] == [len(PIECE)] * 10
        for each in small + large:
            each.close()
        assert port._answers.used_bytes == 0

"""Compares the queues with a list whose minimum is searched on each pop."""

from __future__ import annotations

from dataclasses import dataclass

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from bulrushstream.state.queues import (
    Fit,
    QueueKey,
    QueueTable,
    memory_bytes,
)
from bulrushstream.state.request import Request, RequestClass
from tests.builders import a_request

AGING_S = 30.0
WORKSPACES = ("club", "council", "school")
KEY = QueueKey("proofwriter", "school")


def warm(request: Request) -> Fit:
    return Fit.WARM if request.prefix_digest == 7 else Fit.NEUTRAL


@dataclass
class Waiting:
    """One request of the model; numbers follow the order of pushes."""

    request: Request
    number: int

    @property
    def rank(self) -> tuple[float, int]:
        batch = self.request.request_class is RequestClass.BATCH
        handicap_s = AGING_S if batch else 0.0
        return (self.request.arrived_s + handicap_s, self.number)


class QueueMachine(RuleBasedStateMachine):
    """Applies the same operations to the table and to the model."""

    def __init__(self) -> None:
        super().__init__()
        self.table = QueueTable(AGING_S)
        self.model: list[Waiting] = []
        self.taken: list[Request] = []
        self.number = 0
        self.now_s = 0.0

    @rule(
        workspace=st.sampled_from(WORKSPACES),
        interactive=st.booleans(),
        later_s=st.sampled_from([0.0, 1.0, 20.0]),
        body=st.binary(max_size=8),
    )
    def push(
        self, workspace: str, interactive: bool, later_s: float, body: bytes
    ) -> None:
        self.now_s += later_s
        request = a_request(
            f"q{self.number}",
            workspace,
            interactive=interactive,
            arrived_s=self.now_s,
            body=body,
        )
        self._push(request)

    @rule(workspace=st.sampled_from(WORKSPACES))
    def pop(self, workspace: str) -> None:
        request = self.table.pop(QueueKey("proofwriter", workspace))
        queue = self._queue(workspace)
        if not queue:
            assert request is None
            return
        first = min(queue, key=lambda each: each.rank)
        assert request == first.request
        self.model.remove(first)
        self.taken.append(first.request)

    @rule(index=st.integers(0, 100))
    def push_again(self, index: int) -> None:
        if self.taken:
            self._push(self.taken.pop(index % len(self.taken)))

    @rule(index=st.integers(0, 100))
    def remove(self, index: int) -> None:
        if not self.model:
            assert self.table.remove("none") is None
            return
        removed = self.model.pop(index % len(self.model))
        assert self.table.remove(removed.request.request_id) == removed.request

    @invariant()
    def counts_agree(self) -> None:
        assert len(self.table) == len(self.model)
        size_bytes = sum(memory_bytes(each.request) for each in self.model)
        assert self.table.size_bytes == size_bytes
        assert self.table.service_count("proofwriter") == len(self.model)
        for workspace in WORKSPACES:
            queue = self._queue(workspace)
            key = QueueKey("proofwriter", workspace)
            counts = self.table.counts(key)
            assert counts.total == len(queue)
            assert counts.interactive == sum(
                each.request.request_class is RequestClass.INTERACTIVE
                for each in queue
            )
            assert (key in set(self.table.queue_keys())) is bool(queue)
            keys = set(self.table.service_keys("proofwriter"))
            assert (key in keys) is bool(queue)

    def _push(self, request: Request) -> None:
        self.number += 1
        self.model.append(Waiting(request, self.number))
        self.table.push(request)

    def _queue(self, workspace: str) -> list[Waiting]:
        return [
            each for each in self.model if each.request.workspace == workspace
        ]


class QueueSuite:
    def test_agrees_with_a_sorted_list(self) -> None:
        run_state_machine_as_test(QueueMachine)

    def test_an_aged_batch_request_precedes_a_new_interactive_one(
        self,
    ) -> None:
        table = QueueTable(AGING_S)
        table.push(a_request("old", interactive=False, arrived_s=0.0))
        table.push(a_request("young", interactive=False, arrived_s=20.0))
        table.push(a_request("urgent", arrived_s=31.0))
        order = [table.pop(KEY) for _ in range(3)]
        names = [each.request_id for each in order if each]
        assert names == ["old", "urgent", "young"]


class AffinitySuite:
    def test_warm_requests_overtake_the_head_a_few_times(self) -> None:
        table = QueueTable(AGING_S, max_skips=2)
        table.push(a_request("head"))
        for index in range(5):
            table.push(a_request(f"warm{index}", prefix_digest=7))
        taken = [table.pop(KEY, warm) for _ in range(4)]
        names = [each.request_id for each in taken if each]
        assert names == ["warm0", "warm1", "head", "warm2"]

    def test_a_warm_batch_request_does_not_overtake_an_interactive_one(
        self,
    ) -> None:
        table = QueueTable(AGING_S)
        table.push(a_request("urgent"))
        table.push(a_request("warm", interactive=False, prefix_digest=7))
        taken = table.pop(KEY, warm)
        assert taken is not None
        assert taken.request_id == "urgent"

    def test_a_request_to_avoid_stays_in_the_queue(self) -> None:
        table = QueueTable(AGING_S)
        table.push(a_request("retry"))
        table.push(a_request("fresh", interactive=False))

        def avoid(request: Request) -> Fit:
            retry = request.request_id == "retry"
            return Fit.AVOID if retry else Fit.NEUTRAL

        taken = table.pop(KEY, avoid)
        assert taken is not None
        assert taken.request_id == "fresh"
        assert table.pop(KEY, avoid) is None
        assert "retry" in table

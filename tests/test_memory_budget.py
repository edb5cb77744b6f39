"""The limit of the bytes that a process keeps for all connections.

Guards against peers that together make a process run out of memory, and
against a greedy peer that costs the others their requests.
"""

from __future__ import annotations

from bulrushstream.state.memorybudget import MemoryBudget


class MemoryBudgetSuite:
    def test_the_largest_account_ends(self) -> None:
        ended: list[str] = []
        budget = MemoryBudget(limit_bytes=100)
        large = budget.open(lambda: ended.append("large"))
        small = budget.open(lambda: ended.append("small"))
        large.resize(80)
        small.resize(20)
        assert ended == []
        small.resize(21)
        assert ended == ["large"]
        assert budget.used_bytes == 21

    def test_an_account_that_is_too_large_ends_itself(self) -> None:
        ended: list[str] = []
        budget = MemoryBudget(limit_bytes=100)
        budget.open(lambda: ended.append("other")).resize(10)
        budget.open(lambda: ended.append("large")).resize(101)
        assert ended == ["large"]
        assert budget.used_bytes == 10

    def test_released_bytes_do_not_count(self) -> None:
        ended: list[str] = []
        budget = MemoryBudget(limit_bytes=100)
        for _ in range(50):
            account = budget.open(lambda: ended.append("account"))
            account.resize(90)
            account.resize(0)
        assert ended == []
        assert budget.used_bytes == 0

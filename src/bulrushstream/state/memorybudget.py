"""One limit for the bytes that a process keeps for all its connections.

Each connection or call has an `Account`.  When the sum exceeds the limit,
the largest account ends, so that one greedy peer does not cost the others
their requests.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field


@dataclass(slots=True)
class MemoryBudget:
    """The bytes that are kept for all connections of a process."""

    limit_bytes: int
    used_bytes: int = 0
    _accounts: set[Account] = field(default_factory=set)  # Those above 0.

    def open(self, end: Callable[[], None]) -> Account:
        """Return an empty account.

        :param end: ends the connection or call; called when the limit is
            exceeded and this is the largest account
        """
        return Account(self, end)

    def enforce(self) -> None:
        """End the largest accounts until the sum is within the limit."""
        while self.used_bytes > self.limit_bytes and self._accounts:
            largest = max(self._accounts, key=lambda each: each.size_bytes)
            # Its owner may keep the bytes for a moment; they count no more.
            largest.resize(0)
            largest.end()

    def changed(self, account: Account, size_bytes: int) -> None:
        """Record the new size of an account; see `Account.resize`."""
        self.used_bytes += size_bytes - account.size_bytes
        if size_bytes:
            self._accounts.add(account)
        else:
            self._accounts.discard(account)


@dataclass(slots=True, eq=False)
class Account:
    """The bytes that are kept for one connection or call."""

    _budget: MemoryBudget
    end: Callable[[], None]
    size_bytes: int = 0

    def resize(self, size_bytes: int) -> None:
        """Set the number of bytes that are kept.

        This may end other accounts, or this one.

        :param size_bytes: the new number
        """
        grows = size_bytes > self.size_bytes
        self._budget.changed(self, size_bytes)
        self.size_bytes = size_bytes
        if grows:
            self._budget.enforce()

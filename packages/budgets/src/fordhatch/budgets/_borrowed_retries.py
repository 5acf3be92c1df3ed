"""Retries that other nodes have lent to this one."""

from __future__ import annotations

from collections import deque

import attrs


@attrs.define
class _Loan:
    until_s: float
    count: int


@attrs.define(eq=False, repr=False)
class BorrowedRetries:
    """Loans by the time at which they expire; the lenders count them as used."""

    _loans: deque[_Loan] = attrs.field(factory=deque)

    def add(self, count: int, until_s: float) -> None:
        """Add a loan.

        Args:
            count: Number of retries.
            until_s: When they may no longer be used, in monotonic seconds.
        """
        if count > 0:
            loans = [*self._loans, _Loan(until_s, count)]
            self._loans = deque(sorted(loans, key=lambda loan: loan.until_s))

    def left(self, now_s: float) -> int:
        """Return how many may be used now."""
        while self._loans and (
            self._loans[0].until_s <= now_s or not self._loans[0].count
        ):
            self._loans.popleft()
        return sum(loan.count for loan in self._loans)

    def take(self, now_s: float) -> bool:
        """Use one of those that expire first.

        Returns:
            Whether one was left.
        """
        if not self.left(now_s):
            return False
        self._loans[0].count -= 1
        return True

"""How a node that is told to stop divides its grace period."""

from __future__ import annotations

import attrs

from fordhatch.core import Failure, ResultCode

OTHER_NODE_RETRY_AFTER_S = 0.2
"""Retry-After of a request that this node can't serve but other nodes may: a short
delay, to spare them a burst."""

MAX_LATE_REQUEST_S = 3.0
"""Requests that arrive later than this after the signal to stop are refused: the
balancer sends none by then."""

GRACE_RESERVE_S = 0.6
"""Part of the grace period that is left for the process to close and exit in, after
all requests have ended."""

LATENESS_FACTOR = 2.0
"""How much longer ``GRACE_RESERVE_S`` is for each second by which the event loop is
late: with little processor time, closing takes longer as well."""

EXIT_S = 0.15
"""Part of ``GRACE_RESERVE_S`` in which the log is written and the process exits."""

EXIT_FRACTION = 0.5
"""Part of the time after the last answers in which the process exits, where that is
more than ``EXIT_S``."""

MIN_FRACTION = 5.0 / 6.0
"""Least part of the grace period in which requests may end: only those that a backend
server still works on then may be cut."""


@attrs.frozen
class StopPlan:
    """Times of a stop, in monotonic seconds."""

    since_s: float
    """The earliest time at which the signal may have come."""
    admits_until_s: float
    """Requests that arrive later are refused."""
    answers_until_s: float
    """Requests in progress are ended at this time."""
    grace_until_s: float
    """The process is killed at this time."""

    @classmethod
    def from_grace(
        cls, since_s: float, now_s: float, grace_s: float, lateness_s: float
    ) -> StopPlan:
        """Return the plan of a stop.

        Args:
            since_s: The earliest time at which the signal may have come, in monotonic
                seconds.
            now_s: The latest time at which it may have come.
            grace_s: Time from the signal until the process is killed.
            lateness_s: How late the event loop has been lately.
        """
        spare_s = (1.0 - MIN_FRACTION) * grace_s - (now_s - since_s)
        late_s = min(LATENESS_FACTOR * lateness_s, spare_s - GRACE_RESERVE_S)
        reserve_s = GRACE_RESERVE_S + max(late_s, 0.0)
        answers_s = max(grace_s - reserve_s, 0.0)
        return cls(
            since_s,
            since_s + min(MAX_LATE_REQUEST_S, answers_s),
            since_s + answers_s,
            since_s + grace_s,
        )

    @property
    def exit_by_s(self) -> float:
        """When the process exits even if its event loop doesn't get to it.

        A process with little processor time gets to it late as well.
        """
        reserve_s = self.grace_until_s - self.answers_until_s
        return self.grace_until_s - max(EXIT_S, EXIT_FRACTION * reserve_s)

    def close_limit_s(self, now_s: float) -> float:
        """Return how long closing may take, in seconds.

        Args:
            now_s: The current time, in monotonic seconds.
        """
        return max(self.exit_by_s - now_s, 0.0)


def shutting_down() -> Failure:
    """Return the refusal of a request that has not run and has to go elsewhere."""
    return Failure.from_code(
        ResultCode.SHUTTING_DOWN, retry_after_s=OTHER_NODE_RETRY_AFTER_S
    )

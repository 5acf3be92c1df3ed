"""Whether the ends of the callers' requests are allowed."""

from __future__ import annotations

from typing import Any

import attrs
from soak_exchanges import PATIENCE_S, SLACK_S, Exchange
from soak_runs import LiveRuns, describe, was_sent_for
from soak_timeline import Timeline

LATE_REQUEST_S = 3.0
"""A stop may cut only requests that were sent within this time of the signal."""

LAST_GRACE_FRACTION = 1.0 / 6.0
"""Part of the grace period, at its end, in which a stop may cut answers."""

UNREAD_S = 1.0
"""A connection that ends within this time of a request may not have been read; a
request that no backend server has seen and that got no byte is then not accepted."""

_SERVER_ERROR = 500


@attrs.define(eq=False, repr=False)
class ExchangeChecks:
    """Checks the ends of all exchanges against what happened in the run."""

    timeline: Timeline
    attempts: list[dict[str, Any]]
    """Attempts that reached backend servers, see the stand-ins' ``AttemptLog``."""
    runs: dict[str, int]
    """Runs by request id."""
    grace_s: float
    _live: LiveRuns = attrs.field(init=False)
    _by_text: dict[str, list[dict[str, Any]]] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Index the attempts by the text of their request."""
        self._live = LiveRuns(self.timeline)
        for attempt in self.attempts:
            self._by_text.setdefault(attempt["text"], []).append(attempt)

    def attempts_of(self, exchange: Exchange) -> list[dict[str, Any]]:
        """Return the attempts at backend servers for an exchange."""
        return self._by_text.get(exchange.text, [])

    def outcome(self, exchange: Exchange) -> str:
        """Return how an exchange ended: whole, not taken, allowed or cut."""
        if exchange.is_whole and not self._was_given_up(exchange):
            return "whole" if exchange.status == 200 else f"{exchange.status}"
        if self._was_not_taken(exchange):
            return "not taken"
        reason = self._reason(exchange)
        return f"cut, {reason}" if reason else "answer cut"

    def _was_given_up(self, exchange: Exchange) -> bool:
        """Return whether a failure was sent though a run could have gone on."""
        if exchange.status < _SERVER_ERROR or self._reason(exchange):
            return False
        return bool(self.live_runs(exchange))

    def live_runs(self, exchange: Exchange) -> list[dict[str, Any]]:
        """Return the attempts for an exchange that could have gone on."""
        return self._live.find(exchange, self.attempts_of(exchange))

    def _was_not_taken(self, exchange: Exchange) -> bool:
        has_bytes = exchange.status or exchange.body
        waited_s = exchange.ended_s - exchange.sent_s
        return not (has_bytes or self.attempts_of(exchange)) and waited_s < UNREAD_S

    def _reason(self, exchange: Exchange) -> str:
        """Return a reason for which the service may cut the answer, or empty."""
        life = exchange.life
        to_s = exchange.ended_s + SLACK_S
        if life.killed_s is not None and life.killed_s <= to_s:
            return "killed"
        if exchange.is_half_closed:
            return "half-closed"
        if exchange.ended_s - exchange.sent_s >= exchange.timeout_s - SLACK_S:
            return "deadline"
        if self._was_grace_over(exchange):
            return "grace"
        # The faults below end no answer whose run could have gone on.
        return "" if self.live_runs(exchange) else self._fault(exchange)

    def _fault(self, exchange: Exchange) -> str:
        """Return a fault that leaves an answer without a run, or empty."""
        from_s, to_s = exchange.sent_s, exchange.ended_s + SLACK_S
        if any(pause.overlaps(from_s, to_s) for pause in exchange.life.pauses):
            return "frozen"
        ends = {attempt["end"] for attempt in self.attempts_of(exchange)}
        if ends & {"broken", "endless", "invalid"}:
            return "broken off"
        cuts = self.timeline.link_cuts.get(exchange.node, ())
        if any(cut.overlaps(from_s - SLACK_S, to_s) for cut in cuts):
            return "links"
        return "probes" if self._had_broken_probes(exchange) else ""

    def _had_broken_probes(self, exchange: Exchange) -> bool:
        """Return whether an end may not have been confirmed for broken answers."""
        ends_s = [
            a["ended_s"] for a in self.attempts_of(exchange) if a["is_lengthless"]
        ]
        return any(
            span.overlaps(ended_s - SLACK_S, exchange.ended_s)
            for span in self.timeline.broken_answers
            for ended_s in ends_s
        )

    def _was_grace_over(self, exchange: Exchange) -> bool:
        if not exchange.life.stop_signals_s:
            return False
        signal_s = exchange.life.stop_signals_s[0]
        full_s = self.grace_s * (1.0 - LAST_GRACE_FRACTION)
        last_s = exchange.life.earliest_stop_s + full_s
        was_at_work = any(
            attempt["end"] == "open" or attempt["ended_s"] >= last_s
            for attempt in self.attempts_of(exchange)
        )
        is_late = exchange.sent_s - signal_s > LATE_REQUEST_S
        return exchange.ended_s >= last_s and was_at_work and not is_late

    def violations(self, exchange: Exchange) -> list[str]:
        """Return the guarantees that the end of an exchange breaks."""
        found = []
        ends = {attempt["end"] for attempt in self.attempts_of(exchange)}
        # What a backend server sends without end is no answer of the service.
        if exchange.wrong and "endless" not in ends:
            found.append(f"{exchange.wrong}: {exchange}")
        if self._never_ended(exchange):
            found.append(f"no end {PATIENCE_S} s after the time limit: {exchange}")
        if self.outcome(exchange) == "answer cut":
            runs = describe(self.attempts_of(exchange), exchange)
            found.append(f"answer cut: {exchange}; attempts {runs}")
        if exchange.says_not_run and self._got_invalid_answer(exchange):
            # What is none proves nothing.
            found.append(f"refused as not run after an answer that is none: {exchange}")
        if exchange.says_not_run and self._has_run(exchange):
            found.append(f"ran though refused as not run: {exchange}")
        return found

    def _got_invalid_answer(self, exchange: Exchange) -> bool:
        """Return whether an answer to this try of a request was none."""
        return any(
            attempt["end"] == "invalid" and was_sent_for(exchange, attempt)
            for attempt in self.attempts_of(exchange)
        )

    def _never_ended(self, exchange: Exchange) -> bool:
        took_s = exchange.ended_s - exchange.sent_s
        if exchange.reads_slowly or took_s < exchange.timeout_s + PATIENCE_S - SLACK_S:
            return False
        from_s, to_s = exchange.sent_s, exchange.ended_s
        return not any(pause.overlaps(from_s, to_s) for pause in exchange.life.pauses)

    def _has_run(self, exchange: Exchange) -> bool:
        ids = {exchange.request_id}
        if not exchange.request_id and not exchange.is_retried:
            ids = {attempt["request_id"] for attempt in self.attempts_of(exchange)}
        return any(self.runs.get(request_id, 0) for request_id in ids)

"""Whether the runs of a request at backend servers could have gone on."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import attrs
from cut_links import LinkCut
from soak_exchanges import SLACK_S, Exchange
from soak_timeline import ProcessLife, Timeline

_MAY_GO_ON = frozenset(("open", "whole", "left"))
"""Ends of attempts that no backend server has brought about by a failure."""


@attrs.frozen(eq=False, repr=False)
class LiveRuns:
    """Finds runs that were given up although they could have gone on.

    A backend server that is silent for a while is no reason to end an answer: its run
    goes on, or another one does.
    """

    timeline: Timeline

    def find(
        self, exchange: Exchange, attempts: list[dict[str, Any]]
    ) -> list[dict[str, Any]]:
        """Return the attempts that neither a backend server nor a fault has ended."""
        if exchange.crashes_engines:
            return []
        return [
            attempt
            for attempt in attempts
            if attempt["end"] in _MAY_GO_ON
            and was_sent_for(exchange, attempt)
            and not self._was_lost(exchange, attempt)
            and not self._was_cut(exchange, attempt)
            and not self._is_unconfirmed(exchange, attempt)
            and not any(_replaces(other, attempt) for other in attempts)
        ]

    def _was_lost(self, exchange: Exchange, attempt: dict[str, Any]) -> bool:
        """Return whether the backend server's process ended before the answer did.

        Only a node that reaches the backend server knows that an answer without a
        length was whole.
        """
        lost_s = attempt["lost_s"]
        return lost_s is not None and lost_s <= exchange.ended_s + SLACK_S

    def _was_cut(self, exchange: Exchange, attempt: dict[str, Any]) -> bool:
        """Return whether a fault has ended the connection to the backend server."""
        from_s = attempt["ended_s"] - SLACK_S
        to_s = attempt["ended_s"] + SLACK_S
        if attempt["end"] == "open":
            from_s = to_s = exchange.ended_s
        for node in self._nodes_between(exchange):
            cuts = self.timeline.link_cuts.get(node, ())
            if any(c.kind is LinkCut.RESET and c.overlaps(from_s, to_s) for c in cuts):
                return True
        return any(
            life.killed_s is not None and from_s <= life.killed_s <= to_s
            for life in self._relays(exchange)
        )

    def _is_unconfirmed(self, exchange: Exchange, attempt: dict[str, Any]) -> bool:
        """Return whether an answer that ended with its connection can't be confirmed.

        Without a link to the backend server, or if that sends no answer to the probe
        that confirms it, it looks like one that broke off.
        """
        if attempt["end"] != "whole" or not attempt["is_lengthless"]:
            return False
        from_s, to_s = attempt["ended_s"] - SLACK_S, exchange.ended_s
        cuts = self.timeline.link_cuts.get(exchange.node, ())
        unconfirmed = [*cuts, *self.timeline.broken_answers]
        return any(span.overlaps(from_s, to_s) for span in unconfirmed)

    def _nodes_between(self, exchange: Exchange) -> Iterator[str]:
        """Yield the nodes whose links the attempts may have used.

        A node sends attempts through others while its own links are cut.
        """
        yield exchange.node
        yield from {life.node for life in self._relays(exchange)}

    def _relays(self, exchange: Exchange) -> Iterator[ProcessLife]:
        cuts = self.timeline.link_cuts.get(exchange.node, ())
        if not any(cut.overlaps(exchange.sent_s, exchange.ended_s) for cut in cuts):
            return
        for life in self.timeline.all_lives():
            if life.node != exchange.node:
                yield life


def _replaces(other: dict[str, Any], attempt: dict[str, Any]) -> bool:
    """Return whether an attempt was given up for another one that went on.

    That one sent events while both were in progress, and was still in progress when the
    first was given up. The answer then depends on it alone.
    """
    if attempt["end"] != "left" or other is attempt:
        return False
    from_s, to_s = attempt["began_s"], attempt["ended_s"]
    was_open = other["end"] == "open" or other["ended_s"] >= to_s
    return was_open and any(from_s <= at_s <= to_s for at_s in other["event_times_s"])


def was_sent_for(exchange: Exchange, attempt: dict[str, Any]) -> bool:
    """Return whether an attempt is of this exchange, not of one with equal text."""
    if exchange.request_id:
        return attempt["request_id"] == exchange.request_id
    return exchange.sent_s - SLACK_S <= attempt["began_s"] <= exchange.ended_s


def describe(attempts: list[dict[str, Any]], exchange: Exchange) -> str:
    """Return the attempts with their times since the request was sent."""
    found = []
    for attempt in attempts:
        began_s = attempt["began_s"] - exchange.sent_s
        ended_s = attempt["ended_s"] - exchange.sent_s
        until = "" if attempt["end"] == "open" else f" to {ended_s:.2f}"
        found.append(f"{attempt['end']} at {attempt['address']} {began_s:.2f}{until} s")
    return "; ".join(found) or "none"

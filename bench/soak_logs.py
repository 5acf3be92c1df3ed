"""Checks of the nodes' logs and memory at the end of a soak run."""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Container, Iterable, Sequence
from pathlib import Path
from typing import Any

from soak_exchanges import Exchange
from soak_timeline import ProcessLife

MAX_PEAK_BYTES = 300 * 10**6
"""Memory that the platform gives a node's process."""

KILL_SLACK_S = 1.0
"""Lines of requests that ended within this time before a kill may be lost."""

MAX_LINES = 20
"""Lines of the logs that are shown for one request."""

_END_LINE = re.compile(
    r" node=(\S+) event=(?:request_done|request_refused) request=(\S+)"
)


def read_logs(paths: Iterable[Path]) -> list[str]:
    """Return all lines of the nodes' logs."""
    return [line for path in paths for line in path.read_text().splitlines()]


def lines_about(
    lines: Iterable[str], exchange: Exchange, attempts: Iterable[dict[str, Any]]
) -> list[str]:
    """Return the first lines that name the request of an exchange."""
    ids = {a["request_id"] for a in attempts if a["text"] == exchange.text}
    ids = (ids | {exchange.request_id}) - {""}
    named = re.compile("=(?:" + "|".join(map(re.escape, sorted(ids))) + r")(?:\s|$)")
    found = [line for line in lines if ids and named.search(line)]
    return [f"  {line}" for line in found[:MAX_LINES]]


def end_lines(lines: Iterable[str]) -> Counter[str]:
    """Return how many lines report the end of each request, by its id."""
    found = (_END_LINE.search(line) for line in lines)
    return Counter(match.group(2) for match in found if match)


def check_end_lines(
    lines: Sequence[str],
    exchanges: Sequence[Exchange],
    attempts: Sequence[dict[str, Any]],
) -> list[str]:
    """Check that the end of each accepted request is one line of one log.

    Args:
        lines: Lines of all nodes' logs.
        exchanges: Requests of the callers.
        attempts: Attempts at backend servers, each of which has a request's id.

    Returns:
        The violations.
    """
    ends = end_lines(lines)
    by_text: dict[str, list[Exchange]] = {}
    by_id: dict[str, list[Exchange]] = {}
    for exchange in exchanges:
        by_text.setdefault(exchange.text, []).append(exchange)
        if exchange.request_id:
            by_id[exchange.request_id] = [exchange]
    for attempt in attempts:
        sources = by_text.get(attempt["text"])
        if sources:
            by_id.setdefault(attempt["request_id"], sources)
    named = {id(source) for sources in by_id.values() for source in sources}
    unnamed = [x for x in exchanges if not x.is_whole and id(x) not in named]
    return _check_unnamed(lines, unnamed, by_id) + [
        f"{ends[request_id]} lines for the end of {request_id}: {sources[-1]}"
        for request_id, sources in by_id.items()
        if ends[request_id] != 1
        and not (ends[request_id] == 0 and any(map(_may_lack_line, sources)))
    ]


def _check_unnamed(
    lines: Iterable[str], unnamed: Iterable[Exchange], known_ids: Container[str]
) -> list[str]:
    """Check that each node has a line for each cut request whose id no caller knows."""
    found = (_END_LINE.search(line) for line in lines)
    others = Counter(
        match.group(1) for match in found if match and match.group(2) not in known_ids
    )
    cut = [x for x in unnamed if not _may_lack_line(x)]
    missing = Counter(exchange.node for exchange in cut) - others
    return [
        f"no line for {count} of {node}'s requests without an id, the last is "
        f"{[x for x in cut if x.node == node][-1]}"
        for node, count in missing.items()
    ]


def _may_lack_line(exchange: Exchange) -> bool:
    """Return whether a kill has lost the line, or no node has read the request."""
    if not exchange.is_taken:
        return True
    killed_s = exchange.life.killed_s
    return killed_s is not None and exchange.ended_s > killed_s - KILL_SLACK_S


def check_memory(lives: Iterable[ProcessLife]) -> list[str]:
    """Return a violation for each process that took more memory than it has."""
    return [
        f"{life.node} pid {life.process.pid} took {life.peak_bytes / 1e6:.0f} MB"
        for life in lives
        if life.peak_bytes > MAX_PEAK_BYTES
    ]

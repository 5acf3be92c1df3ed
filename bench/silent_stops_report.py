"""How requests ended while nodes were stopped, and whether a rule allows it."""

from __future__ import annotations

import contextlib
import json
import re
import time
from collections import Counter
from pathlib import Path

import attrs
from soak_exchanges import Exchange

GRACE_S = 8.0
DEADLINE_S = 8.0
LATE_REQUEST_S = 3.0
"""A stop may cut only requests that were sent within this time of the signal."""

LAST_S = GRACE_S * 5.0 / 6.0
"""Time from the signal after which a stop may cut what an engine works on."""

SLACK_S = 0.2
"""Uncertainty of the times that callers and engines record."""

UNREAD_S = 1.0
"""A request without a byte of an answer may not have been read if its connection ends
within this time."""

LONG_GAPS_S = (0.4, 1.0, 2.0)
"""Pauses between two pieces of an answer that are counted; callers give up after the
longest of them."""

OK = 200
FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')

Lines = dict[str, list[dict[str, str]]]
"""Lines of the logs by the request that they name."""


@attrs.define(eq=False, repr=False)
class Run:
    """One attempt at an engine; times are monotonic, in seconds."""

    engine: str
    began_s: float
    ended_s: float = 0.0
    end: str = "open"
    """``whole``, ``refused``, ``broken`` by the engine or ``left`` by the node."""


@attrs.define(eq=False, repr=False)
class TimedExchange(Exchange):
    """A request with the longest pause between two pieces of its answer."""

    gap_s: float = 0.0
    _last_s: float = 0.0

    def add(self, piece: bytes) -> None:
        """Record a piece of the body."""
        now_s = time.monotonic()
        if self._last_s:
            self.gap_s = max(self.gap_s, now_s - self._last_s)
        self._last_s = now_s
        super().add(piece)


@attrs.define(eq=False, repr=False)
class Stop:
    """The end of a node's process after SIGTERM."""

    node: str
    took_s: float
    status: int


@attrs.define(eq=False, repr=False)
class StopReport:
    """Judges the requests of a run."""

    exchanges: list[TimedExchange]
    runs: dict[str, list[Run]]
    """Attempts at engines by request."""
    stops: list[Stop]
    lines: Lines

    def end(self, exchange: TimedExchange) -> str:
        """Return how a request ended; ``CUT`` where no rule allows it."""
        runs = self.runs.get(exchange.text, [])
        if exchange.is_whole:
            return _answer_kind(exchange)
        took_s = exchange.ended_s - exchange.sent_s
        if not (runs or exchange.status) and took_s < UNREAD_S:
            return "cut, maybe not read"
        if took_s >= DEADLINE_S - SLACK_S:
            return "cut, deadline"
        ends = {run.end for run in runs}
        if "broken" in ends and not ends & {"left", "open"}:
            return "cut, engine broke off"
        if self._was_in_last_sixth(exchange, runs):
            return "cut, last sixth"
        return "CUT"

    def _was_in_last_sixth(self, exchange: TimedExchange, runs: list[Run]) -> bool:
        if not exchange.life.stop_signals_s:
            return False
        signal_s = exchange.life.stop_signals_s[0]
        last_s = signal_s + LAST_S - SLACK_S
        was_at_work = any(r.end == "open" or r.ended_s >= last_s for r in runs)
        is_late = exchange.sent_s - signal_s > LATE_REQUEST_S + SLACK_S
        return exchange.ended_s >= last_s and was_at_work and not is_late

    def show(self) -> None:
        """Print the figures."""
        began = [x for x in self.exchanges if x.status == OK]
        print(f"requests {len(self.exchanges)}, streams that began {len(began)}")
        for end, count in sorted(Counter(map(self.end, self.exchanges)).items()):
            print(f"  {count:5d} {end}")
        gaps = {s: sum(x.gap_s >= s for x in began) for s in LONG_GAPS_S}
        print(f"streams by their longest pause in s, at least: {gaps}")
        unnamed = [x for x in self.exchanges if x.text not in self.lines]
        kinds = Counter(map(self.end, unnamed))
        print(f"requests that no line names: {len(unnamed)} {dict(kinds)}")
        cut = [x for x in self.exchanges if self.end(x) == "CUT"]
        reasons = Counter(_reason(self.lines.get(x.text, [])) for x in cut)
        for reason, count in reasons.most_common():
            print(f"CUT {count}: {reason}")
        for exchange in cut + [x for x in unnamed if not x.is_whole]:
            self._show_exchange(exchange)
        times = sorted(stop.took_s for stop in self.stops)
        statuses = Counter(stop.status for stop in self.stops)
        print(f"stops {len(times)}, statuses {dict(statuses)}, seconds", end=" ")
        print(*(f"{took_s:.2f}" for took_s in times))

    def _show_exchange(self, exchange: TimedExchange) -> None:
        shown = [
            f"{run.engine} {run.end} {run.began_s - exchange.sent_s:.2f} to "
            f"{run.ended_s - exchange.sent_s:.2f}"
            for run in self.runs.get(exchange.text, [])
        ]
        print(f"  {self.end(exchange)}: {exchange}; runs {shown}")
        for fields in self.lines.get(exchange.text, []):
            if fields["event"] != "request_done":
                print(f"    {' '.join(f'{k}={v}' for k, v in fields.items())}")


def read_lines(paths: list[Path]) -> Lines:
    """Return the lines of logs by the request that they name."""
    found: Lines = {}
    for path in paths:
        for line in path.read_text().splitlines():
            fields = dict(FIELD.findall(line))
            if "request" in fields:
                found.setdefault(fields["request"], []).append(fields)
    return found


def _answer_kind(exchange: TimedExchange) -> str:
    if exchange.status == OK:
        return "whole"
    with contextlib.suppress(ValueError, KeyError, TypeError):
        error = json.loads(bytes(exchange.body))["error"]
        return f"answer {exchange.status} {error.get('code')} ran {error['ran']}"
    return f"answer {exchange.status}"


def _reason(lines: list[dict[str, str]]) -> str:
    """Return what the lines say about the end of a request."""
    if not lines:
        return "no line"
    failed = [
        f"{x['problem']} {x.get('detail', '')[:24]}" for x in lines if "problem" in x
    ]
    last = lines[-1]
    ending = f"{last['event']} {last.get('outcome', '')} {last.get('ended_by', '')}"
    return " | ".join([*(re.sub(r"[\d.]+", "n", text) for text in failed), ending])

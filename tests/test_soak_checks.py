"""The checks of the soak test find the faults that they are there for."""

from __future__ import annotations

import asyncio
import json
import random
import signal
import sys
import threading
import time
from types import SimpleNamespace

import pytest
import soak_node_faults
from cut_links import LinkCut
from fleet import NodeProcess
from soak_exchange_checks import ExchangeChecks
from soak_exchanges import Exchange
from soak_http import Connection, Habits
from soak_ledger import Ledger
from soak_logs import check_end_lines, check_memory
from soak_node_faults import NodeFaults
from soak_processes import check_process_ends, was_slowed
from soak_shares import ProcessShares
from soak_timeline import ProcessLife, Span, Timeline

GRACE_S = 8.0
ID = "req-1"
DONE = f"time=t node=n event=request_done request={ID} route=r outcome=complete"
REFUSED = f"time=t node=n event=request_refused request={ID} code=SHUTTING_DOWN"
READY = "import signal, sys, time; print(flush=True); "


async def start(program: str) -> ProcessLife:
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-c", READY + program, stdout=asyncio.subprocess.PIPE
    )
    await process.stdout.readline()
    return ProcessLife("node-1", process, is_up=True)


@pytest.fixture
def life() -> ProcessLife:
    """Return a process of which only the record is used, signalled at 100 s."""
    process = SimpleNamespace(pid=1)
    return ProcessLife("node-1", process, started_s=0.0, stop_signals_s=[100.0])


def cut_exchange(life, *, sent_s=101.0, ended_s=107.5, **fields) -> Exchange:
    exchange = Exchange("text", "stream", life, 15.0, True, sent_s, ended_s, status=200)
    exchange.headers["x-request-id"] = ID
    for name, value in fields.items():
        setattr(exchange, name, value)
    return exchange


def attempt(end="left", ended_s=107.4, began_s=101.1, **fields) -> dict:
    times = {"began_s": began_s, "ended_s": ended_s, "event_times_s": []}
    record = {"text": "text", "request_id": ID, "address": "a:1", "end": end, **times}
    return {**record, "is_lengthless": False, "lost_s": None, **fields}


def checks(attempts=(), runs=None, cuts=()) -> ExchangeChecks:
    timeline = Timeline(link_cuts={"node-1": list(cuts)})
    return ExchangeChecks(timeline, list(attempts), runs or {}, GRACE_S)


# Answers that are cut. Guards against excuses that are too wide.


@pytest.mark.parametrize(
    ("fields", "attempts"),
    [
        ({"ended_s": 104.0}, [attempt(ended_s=104.0)]),
        ({"sent_s": 103.2}, [attempt()]),
        ({}, [attempt(end="whole", ended_s=105.0)]),
        ({}, []),
        ({"status": 0, "ended_s": 101.2}, [attempt(ended_s=101.2)]),
        ({"status": 0, "ended_s": 102.2}, []),
        ({"is_complete": True, "body": bytearray(b'data: {"error": {}}')}, []),
    ],
    ids=[
        "before the end of the grace period",
        "sent late",
        "backend server was done",
        "no backend server was at work",
        "no answer, but at a backend server",
        "no answer for a second",
        "ends with an error",
    ],
)
def test_an_answer_cut_without_a_reason_is_found(life, fields, attempts) -> None:
    exchange = cut_exchange(life, **fields)
    found = checks(attempts).violations(exchange)
    assert len(found) == 1
    assert f"answer cut: {ID}" in found[0]


def test_allowed_reasons_of_a_cut_answer(life) -> None:
    def outcome(exchange=None, attempts=(), cuts=()) -> str:
        return checks(attempts, cuts=cuts).outcome(exchange or cut_exchange(life))

    assert outcome(attempts=[attempt()]) == "cut, grace"
    assert outcome(attempts=[attempt("broken", 104.0)]) == "cut, broken off"
    assert outcome(cuts=[Span(102.0, 103.0)]) == "cut, links"
    assert outcome(cut_exchange(life, sent_s=92.0)) == "cut, deadline"
    assert outcome(cut_exchange(life, status=0, ended_s=101.1)) == "not taken"
    life.pauses.append(Span(106.0, 107.0))
    assert outcome() == "cut, frozen"
    life.killed_s = 107.0
    assert outcome() == "cut, killed"


@pytest.mark.parametrize(
    ("fields", "others", "cuts"),
    [
        ({}, [attempt("broken", 103.9, 103.0)], []),
        ({}, [attempt("endless", 103.9, 103.0)], []),
        ({}, [], [Span(103.0, 105.0, k) for k in (LinkCut.HANG, LinkCut.REFUSE)]),
        ({}, [], [Span(100.5, 101.5, LinkCut.RESET)]),
        ({"status": 502, "is_complete": True}, [], []),
        ({"status": 503, "is_complete": True, "is_stream": False}, [], []),
    ],
    ids=["broken off later", "endless later", "no new links", "links broke before",
         "refused", "plain call"],
)  # fmt: skip
def test_a_run_that_could_go_on_is_no_excuse(life, fields, others, cuts) -> None:
    life.pauses.append(Span(102.0, 102.5))
    exchange = cut_exchange(life, ended_s=104.0, **fields)
    runs = [attempt(ended_s=103.0), *others]
    assert "answer cut" in checks(runs, cuts=cuts).violations(exchange)[0]
    # Without that run, they are reasons.
    assert checks(others, cuts=cuts).violations(exchange) == []


@pytest.mark.parametrize(
    ("fields", "runs", "cuts"),
    [
        ({}, [attempt(ended_s=103.0, lost_s=103.5)], []),
        ({}, [attempt(ended_s=103.0)], [Span(102.0, 102.9, LinkCut.RESET)]),
        ({}, [attempt(ended_s=103.0), attempt("broken", 103.9, 102.0,
              event_times_s=[102.9])], []),
        ({}, [attempt(ended_s=103.0, began_s=102.0),
              attempt("broken", 103.9, event_times_s=[102.5])], []),
        ({}, [attempt("whole", 103.0, is_lengthless=True)],
         [Span(103.2, 103.9, LinkCut.HANG)]),
        ({"crashes_engines": True}, [attempt(ended_s=103.0)], []),
        ({"known_id": "req-2"}, [attempt(ended_s=103.0)], []),
    ],
    ids=["lost", "links broke", "replaced", "first one went on",
         "end not confirmed", "crashes engines",
         "other request"],
)  # fmt: skip
def test_runs_that_could_not_go_on(life, fields, runs, cuts) -> None:
    exchange = cut_exchange(life, ended_s=104.0, **fields)
    assert checks(runs, cuts=cuts).live_runs(exchange) == []


@pytest.mark.parametrize(
    ("fields", "cut"),
    [
        ({}, Span(103.2, 103.9, LinkCut.HANG)),
        ({"is_lengthless": True}, Span(104.1, 105.0, LinkCut.HANG)),
        ({"is_lengthless": True, "end": "left"}, Span(103.2, 103.9, LinkCut.HANG)),
    ],
    ids=["has a length", "cut later", "was in progress"],
)
def test_an_end_that_need_not_be_confirmed_or_could_be(life, fields, cut) -> None:
    runs = [attempt(**{"end": "whole", "ended_s": 103.0, **fields})]
    exchange = cut_exchange(life, ended_s=104.0)
    assert checks(runs, cuts=[cut]).live_runs(exchange) == runs


# Guards against an excuse that is too wide for answers beside broken ones.
@pytest.mark.parametrize(
    ("fields", "span", "is_live"),
    [
        ({"is_lengthless": True}, Span(102.5, 103.5), False),
        ({}, Span(102.5, 103.5), True),
        ({"is_lengthless": True}, Span(104.1, 105.0), True),
        ({"is_lengthless": True, "end": "left"}, Span(102.5, 103.5), True),
    ],
    ids=["end not confirmed", "has a length", "broken later", "was in progress"],
)
def test_an_end_is_not_confirmed_by_broken_answers(life, fields, span, is_live) -> None:
    runs = [attempt(**{"end": "whole", "ended_s": 103.0, **fields})]
    found = checks(runs)
    found.timeline.broken_answers.append(span)
    exchange = cut_exchange(life, ended_s=104.0)
    assert found.live_runs(exchange) == (runs if is_live else [])


@pytest.mark.parametrize(
    ("is_lengthless", "span", "outcome"),
    [
        (True, Span(102.5, 103.5), "cut, probes"),
        (False, Span(102.5, 103.5), "answer cut"),
        (True, Span(105.0, 106.0), "answer cut"),
    ],
)
def test_a_stream_is_cut_for_an_end_that_is_not_confirmed(
    life, is_lengthless, span, outcome
) -> None:
    found = checks([attempt("whole", 103.0, is_lengthless=is_lengthless)])
    found.timeline.broken_answers.append(span)
    assert found.outcome(cut_exchange(life, ended_s=104.0)) == outcome


@pytest.mark.parametrize(
    ("end", "request_id", "count"),
    [("invalid", ID, 1), ("refused", ID, 0), ("invalid", "an earlier try", 0)],
)
def test_not_run_after_an_answer_that_is_none_is_a_violation(
    life, end, request_id, count
) -> None:
    body = json.dumps({"error": {"ran": "no"}}).encode()
    exchange = cut_exchange(
        life, ended_s=101.2, status=503, is_complete=True, body=bytearray(body)
    )
    found = checks([attempt(end=end, ended_s=101.1, request_id=request_id)])
    texts = [v for v in found.violations(exchange) if "that is none" in v]
    assert len(texts) == count


@pytest.mark.parametrize(
    ("began_s", "ended_s", "event_s"),
    [(102.0, 103.9, None), (102.0, 103.9, 103.1), (101.0, 103.9, 101.05),
     (102.0, 102.99, 102.5)],
    ids=["no event", "event too late", "event too early", "broken first"],
)  # fmt: skip
def test_runs_that_replace_no_other(life, began_s, ended_s, event_s) -> None:
    times_s = [event_s] if event_s else []
    other = attempt("broken", ended_s, began_s, event_times_s=times_s)
    runs = [attempt(ended_s=103.0), other]
    exchange = cut_exchange(life, ended_s=104.0)
    assert checks(runs).live_runs(exchange) == runs[:1]


def test_the_grace_period_counts_from_a_pause_that_the_signal_ends(life) -> None:
    # The process can't know that the signal did not come at 98.3 s.
    exchange = cut_exchange(life, ended_s=105.1)
    runs = [attempt(ended_s=105.0)]
    for began_s, ended_s, outcome in [
        (98.3, 99.95, "cut, grace"),
        (98.5, 99.95, "answer cut"),
        (98.3, 99.7, "answer cut"),
    ]:
        life.pauses[:] = [Span(began_s, ended_s)]
        assert checks(runs).outcome(exchange) == outcome


def test_an_answer_that_never_ends_is_found(life) -> None:
    exchange = cut_exchange(life, sent_s=80.0, ended_s=103.0)
    assert "no end" in checks().violations(exchange)[0]
    exchange.reads_slowly = True
    assert checks().violations(exchange) == []
    exchange = cut_exchange(life, sent_s=80.0, ended_s=96.0)
    assert checks().violations(exchange) == []


def test_a_request_refused_as_not_run_must_not_have_run(life) -> None:
    refusal = bytearray(b'{"error": {"ran": "no"}}')
    exchange = cut_exchange(life, status=503, is_complete=True, body=refusal)
    assert checks([attempt()], {ID: 0}).violations(exchange) == []
    assert "ran though" in checks([attempt()], {ID: 1}).violations(exchange)[0]
    exchange.headers.clear()
    assert "ran though" in checks([attempt()], {ID: 1}).violations(exchange)[0]


@pytest.mark.parametrize("habits", [Habits(), Habits(pipelines=True)])
async def test_a_connection_that_ends_within_an_answer_is_seen(life, habits) -> None:
    async def answer_half(reader, writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"
        )
        writer.close()

    server = await asyncio.start_server(answer_half, "127.0.0.1", 0)
    url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
    opened = await Connection.open(url, life, habits)
    exchange = Exchange("text", "stream", life, 15.0)
    opened.send(b"POST / HTTP/1.1\r\n\r\n")
    with pytest.raises(OSError, match="ended"):
        await opened.receive(exchange)
    server.close()
    assert (exchange.status, exchange.received_bytes) == (200, 2)
    assert not exchange.is_whole
    assert not opened.is_open


# The lines of a request's end.


def test_each_known_request_needs_one_line(life) -> None:
    exchange = cut_exchange(life)
    assert check_end_lines([DONE], [exchange], []) == []
    assert check_end_lines([REFUSED], [exchange], [attempt()]) == []
    assert "0 lines" in check_end_lines([], [exchange], [])[0]
    assert "2 lines" in check_end_lines([DONE, REFUSED], [exchange], [])[0]
    exchange.headers.clear()
    assert "0 lines" in check_end_lines([], [exchange], [attempt()])[0]


def test_a_kill_or_an_unread_request_excuses_a_missing_line(life) -> None:
    exchange = cut_exchange(life)
    life.killed_s = exchange.ended_s - 0.1
    assert check_end_lines([], [exchange], []) == []
    assert check_end_lines([DONE, DONE], [exchange], []) != []
    life.killed_s = exchange.ended_s + 5.0
    assert check_end_lines([], [exchange], []) != []
    exchange.is_taken = False
    assert check_end_lines([], [exchange], []) == []


def test_cut_requests_without_an_id_need_a_line_each(life) -> None:
    cut = [cut_exchange(life, headers={}, status=0) for _ in range(2)]
    other = DONE.replace("node=n ", "node=node-1 ")
    assert "no line for 2 of node-1" in check_end_lines([], cut, [])[0]
    assert "no line for 1 of node-1" in check_end_lines([other], cut, [])[0]
    assert check_end_lines([other, other], cut, []) == []
    # A line of a request that another caller knows is none of theirs.
    lines = [other, other.replace(ID, "req-2")]
    named = cut_exchange(life)
    assert "no line for 1" in check_end_lines(lines, [*cut, named], [])[0]
    life.killed_s = 107.0
    assert check_end_lines([], cut, []) == []


# Processes.


@pytest.mark.parametrize(
    ("status", "fields", "fault"),
    [
        (0, {}, ""),
        (0, {"stop_signals_s": []}, "without a signal"),
        (None, {}, "has not ended"),
        (1, {}, "ended with 1"),
        (-9, {}, "not by the soak"),
        (-9, {"killed_s": 1.0}, ""),
        (-9, {"is_overdue": True}, ""),
        (-15, {"is_up": True}, "ended with -15"),
        (-15, {}, ""),
    ],
)
def test_each_process_ends_as_it_was_told(life, status, fields, fault) -> None:
    life.process.returncode = status
    for name, value in fields.items():
        setattr(life, name, value)
    found = check_process_ends([life])
    assert len(found) == bool(fault)
    assert fault in "".join(found)


def test_a_process_held_after_its_signal_counts_as_slowed(life) -> None:
    assert not was_slowed(life, GRACE_S)
    life.holds.append(Span(90.0, 99.0))
    assert not was_slowed(life, GRACE_S)
    life.holds.append(Span(107.0, 120.0))
    assert was_slowed(life, GRACE_S)


@pytest.mark.parametrize(
    ("program", "text"),
    [
        ("signal.signal(signal.SIGTERM, signal.SIG_IGN); print(flush=True);"
         "time.sleep(60)", "did not end within"),
        ("signal.signal(signal.SIGTERM, lambda *_: sys.exit(3)); print(flush=True);"
         "time.sleep(60)", "ended with 3"),
        ("print(flush=True); time.sleep(60)", "ended with -15"),
    ],
)  # fmt: skip
async def test_a_process_that_does_not_stop_well_is_found(
    monkeypatch, program, text
) -> None:
    monkeypatch.setattr(soak_node_faults, "GRACE_S", 0.3)
    life = await start(program)
    await life.process.stdout.readline()
    threading.Thread(target=life.watch_end, daemon=True).start()
    ledger, timeline = Ledger(), Timeline(lives={"node-1": [life]})
    faults = NodeFaults(None, random.Random(1), ledger, timeline, None)
    await faults.stop(NodeProcess("node-1", [], life.process))
    found = ledger.violations + check_process_ends([life])
    assert len(found) == 1
    assert text in found[0]


async def test_memory_above_the_limit_is_found() -> None:
    life = await start("x = b'x' * (310 * 10**6); print(flush=True); time.sleep(60)")
    life.read_memory()
    assert check_memory([life]) == []
    await life.process.stdout.readline()
    life.read_memory()
    life.process.kill()
    await life.process.wait()
    assert len(check_memory([life])) == 1


async def test_a_process_gets_only_its_share_and_continues(monkeypatch) -> None:
    monkeypatch.setattr("soak_shares.SHARES", (0.2,))
    monkeypatch.setattr("soak_shares.LENGTH_RANGE_S", (2.0, 2.0))
    life = await start("t = time.monotonic()\nwhile time.monotonic() < t + 60: pass")
    shares = ProcessShares(lambda: [life], random.Random(1))
    began_s, used_s = time.monotonic(), cpu_s(life)
    holding = asyncio.ensure_future(shares.hold_all())
    await asyncio.sleep(1.5)
    share = (cpu_s(life) - used_s) / (time.monotonic() - began_s)
    assert 0.02 < share < 0.4
    # A pause by another fault stays in effect.
    life.send(signal.SIGSTOP)
    await holding
    assert len(life.holds) == 1
    used_s = cpu_s(life)
    await asyncio.sleep(0.2)
    assert cpu_s(life) == used_s
    life.process.kill()
    await life.process.wait()


def cpu_s(life: ProcessLife) -> float:
    with open(f"/proc/{life.process.pid}/stat") as stat:
        fields = stat.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / 100.0

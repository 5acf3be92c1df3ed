"""Waits of a request for partners that don't respond, in virtual time."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from types import SimpleNamespace

import aiohttp
import pytest
from cold_nodes import cold_backends
from result import Err

from fordhatch.catalog import BackendServer, BackendState
from fordhatch.core import Ran, ResultCode, TaskSet, Timer
from fordhatch.registry import RunStage
from fordhatch.scheduling import Refuse
from fordhatch.serving import AcceptedRequest, NodeState, SendFailure, SendProblem
from fordhatch.serving._admission_control import AdmissionControl
from fordhatch.serving._body_reading import read_body
from fordhatch.serving._caller_server import CallerReply
from fordhatch.serving._caller_writes import MIN_WRITE_S
from fordhatch.serving._node_state import START_POLL_INTERVAL_S
from fordhatch.serving.crashes import CrashWatch
from fordhatch.serving.exchange import BackendExchange, ExchangeClient
from fordhatch.serving.limits._permit_issuer import issuers
from fordhatch.serving.limits._permits import UNREACHABLE_PAUSE_S
from fordhatch_lab import LimitPlay, LimitTrial, run_in_virtual_time
from fordhatch_lab._limit_ways import SERVER

BACKEND = BackendServer("b1", "app", "10.0.0.1:1", "z1", BackendState.READY, 4)
LIMIT_S = 0.3
NEVER_S = 60.0
"""Time after which a test gives up, instead of standing still."""

SILENCE_S = 0.25
"""Time after which a silent node is given up."""


async def forever(*_: object, **__: object) -> None:
    await asyncio.Event().wait()


async def took_s(timer: Timer, work: Awaitable[object]) -> tuple[object, float]:
    """Return the result of some work and the time that it took."""
    began_s = timer.now_s()
    async with asyncio.timeout(NEVER_S):
        return await work, timer.now_s() - began_s


async def refused(*_: object, **__: object) -> object:
    return Err(SendFailure(SendProblem.NOT_SENT, "refused", is_unreachable=True))


async def out_of_time(*_: object, **options: object) -> object:
    await asyncio.sleep(options["head_timeout_s"])
    return Err(SendFailure(SendProblem.SILENT))


async def searches_in_vain(_: object, __: object, options: object) -> None:
    await asyncio.sleep(options.head_timeout_s)


def exchange(send: Callable, *, is_cut_off: bool, relay: Callable) -> BackendExchange:
    """Return an exchange whose probes after a failure don't end."""
    contact = SimpleNamespace(is_cut_off=lambda _: is_cut_off)
    return BackendExchange(
        SimpleNamespace(send=send),
        contact,
        SimpleNamespace(record_failure=forever),
        Timer.from_seed(1),
        SimpleNamespace(),
        SimpleNamespace(send=relay),
    )


# Guards against attempts that outlast their limit: for probes after a failure, and for
# another node and then a connection of their own.
@pytest.mark.parametrize("send", [refused, out_of_time])
@pytest.mark.parametrize("is_cut_off", [False, True])
def test_an_attempt_with_all_its_steps_keeps_to_one_limit(send, is_cut_off) -> None:
    async def scenario() -> None:
        parts = exchange(send, is_cut_off=is_cut_off, relay=searches_in_vain)
        attempt = parts.send(None, BACKEND, head_timeout_s=LIMIT_S)
        got, took = await took_s(parts.timer, attempt)
        assert took <= LIMIT_S + 0.001
        if is_cut_off:
            # Nothing was sent: the request can be refused as not run.
            assert got.unwrap_err().problem is SendProblem.NOT_SENT
        await parts.close()

    run_in_virtual_time(scenario())


async def silent_issuer(_: str, __: object) -> None:
    await asyncio.sleep(SILENCE_S)


# Guards against requests that wait longer than they have left for permits from a node
# that is silent, or in line behind others that do.
@pytest.mark.parametrize("cold_per_s", [0.0, 5.0])
def test_requests_for_permits_end_in_time(cold_per_s) -> None:
    async def scenario() -> None:
        play = LimitPlay.create(LimitTrial("permits", 8, 5.0))
        issuer, *_ = issuers("i-1", play.nodes.ways, 1)
        name = next(n for n in play.nodes.ways if n != issuer)
        permits = play.nodes.ways[name].permits
        if cold_per_s:
            permits.pressure.cold = cold_backends(permits.timer, cold_per_s)
            backend = permits.pressure.cold.directory.backends["i-1"]
        else:
            backend = SERVER
        permits.request_permit = silent_issuer
        asks = [
            took_s(permits.timer, permits.acquire(backend, LIMIT_S)) for _ in range(9)
        ]
        got = await asyncio.gather(*asks)
        assert [is_granted for is_granted, _ in got] == [False] * 9
        assert max(took for _, took in got) <= LIMIT_S + 0.001
        permits.record_unanswered(issuer, "i-1")
        permits.record_unanswered(issuer, "i-1")
        assert permits._unreachable[issuer].pause_s == UNREACHABLE_PAUSE_S

    run_in_virtual_time(scenario())


# Guards against a request that waits longer than it has left for the probe that shows
# whether its backend server has crashed.
def test_a_request_waits_for_a_probe_only_as_long_as_it_has_time() -> None:
    async def scenario() -> None:
        timer = Timer.from_seed(1)
        shared = SimpleNamespace(secret=b"", subscribe=lambda _: None)
        watch = CrashWatch("n", timer, SimpleNamespace(probe=forever), shared, None)
        watch.quarantine = SimpleNamespace(is_suspect=lambda _: True, proofs=None)
        request = SimpleNamespace(
            fields=SimpleNamespace(shared_parts=()), left_s=lambda _: LIMIT_S
        )
        watch.connection_broken(request, BACKEND, RunStage.BEGUN)
        got, took = await took_s(timer, watch.may_retry(request, BACKEND))
        assert (got, took) == (False, pytest.approx(LIMIT_S))
        await watch._tasks.close()

    run_in_virtual_time(scenario())


class Silent:
    """A body that never comes, and an answer that is never read."""

    write = write_eof = staticmethod(forever)

    async def iter_any(self) -> AsyncIterator[bytes]:
        await forever()
        yield b""


def caller(timer: Timer, left_s: float) -> tuple[CallerReply, list]:
    """Return the reply to a caller that neither sends nor reads."""
    aborted: list[bool] = []
    request = SimpleNamespace(
        can_read_body=True,
        headers={},
        content=Silent(),
        content_length=None,
        transport=SimpleNamespace(
            abort=lambda: aborted.append(True),
            get_write_buffer_size=lambda: 1,
            set_write_buffer_limits=lambda high: None,
            is_closing=lambda: False,
            get_extra_info=lambda _: None,
        ),
        writer=SimpleNamespace(output_size=1),
    )
    state = SimpleNamespace(
        timer=timer, is_leaving=False, memory_refusal=lambda _: None
    )
    reply = CallerReply(request, state, Silent())
    reply.due_s = timer.now_s() + left_s
    return reply, aborted


# Guards against requests of callers that stop in the middle of a body, or don't read
# their answer, which stay for as long as their connection.
@pytest.mark.parametrize("left_s", [-1.0, LIMIT_S, 2.0])
def test_a_caller_that_stands_still_is_given_up_at_its_deadline(left_s) -> None:
    async def scenario() -> None:
        timer = Timer.from_seed(1)
        reply, aborted = caller(timer, left_s)
        accepted = AcceptedRequest("r1", reply.http_request, reply, 0.0)
        reading = read_body(reply.state, accepted, 1, reply.due_s)
        got, took = await took_s(timer, reading)
        assert (got.unwrap_err().code, got.unwrap_err().ran) == (
            ResultCode.DEADLINE_EXCEEDED,
            Ran.NO,
        )
        assert took == pytest.approx(max(left_s, 0.0))
        for write in (reply.write(b"x"), reply.end()):
            reply.due_s = timer.now_s() + left_s
            began_s = timer.now_s()
            with pytest.raises(ConnectionResetError):
                await write
            limit_s = max(left_s, MIN_WRITE_S)
            assert timer.now_s() - began_s == pytest.approx(limit_s)
        assert aborted == [True, True]

    run_in_virtual_time(scenario())


# Guards against requests at a node that has just started and reads no tables, which
# wait longer than their callers.
@pytest.mark.parametrize(("deadline_s", "wait_s"), [(LIMIT_S, LIMIT_S), (None, 0.8)])
def test_a_request_waits_for_the_tables_only_until_its_deadline(
    deadline_s, wait_s
) -> None:
    async def scenario() -> None:
        timer = Timer.from_seed(1)
        view = SimpleNamespace(configuration=SimpleNamespace(current=None))
        state = NodeState(None, view, timer)
        _, took = await took_s(timer, state.until_loaded(deadline_s))
        assert took <= wait_s + START_POLL_INTERVAL_S

    run_in_virtual_time(scenario())


# Guards against "may have run" for a request that was never sent, because its time was
# over before the connection was open.
@pytest.mark.parametrize(("limit_s", "is_unreachable"), [(0.01, False), (0.2, True)])
def test_a_request_whose_connection_does_not_open_in_time_has_not_run(
    monkeypatch: pytest.MonkeyPatch, limit_s: float, is_unreachable: bool
) -> None:
    monkeypatch.setattr(aiohttp.TCPConnector, "_create_connection", forever)

    async def scenario() -> None:
        client = ExchangeClient.from_timer(Timer.from_seed(1))
        request = SimpleNamespace(
            method="GET",
            target="/",
            headers=[],
            body=b"",
            workspace_name=None,
            left_s=lambda _: limit_s,
        )
        sending = client.send(request, BACKEND, head_timeout_s=limit_s)
        got, took = await took_s(client.timer, sending)
        failure = got.unwrap_err()
        assert took == pytest.approx(limit_s)
        assert failure.problem is SendProblem.NOT_SENT
        assert failure.is_unreachable is is_unreachable
        await client.close()

    run_in_virtual_time(scenario())


# Guards against held requests that are refused after their deadline: the line keeps
# them for 0.1 s longer, and decides every 0.05 s.
def test_a_held_request_is_refused_at_its_deadline() -> None:
    async def scenario() -> None:
        timer = Timer.from_seed(1)
        control = SimpleNamespace(
            timer=timer, _reviewer=None, _tasks=TaskSet(), _review_while_waiting=forever
        )
        held = SimpleNamespace(
            settled=asyncio.get_running_loop().create_future(),
            arrived_s=timer.now_s(),
            due_s=timer.now_s() + LIMIT_S,
        )
        waiting = AdmissionControl._wait(control, ("llm", "m"), held)
        decision, took = await took_s(timer, waiting)
        assert isinstance(decision, Refuse)
        assert took == pytest.approx(LIMIT_S)
        await control._tasks.close()

    run_in_virtual_time(scenario())

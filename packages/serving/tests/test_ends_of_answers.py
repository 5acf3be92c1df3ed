"""What shows that an answer without a length is complete: its process still runs."""

from __future__ import annotations

import asyncio
import time

import attrs
import pytest
from test_answers_without_length import PLAIN_BODY, plain_head
from test_stream_calls import ALL, events, head

BORN_MS = 1_760_000_000_000
STANDSTILL_S = 0.1
"""Time for which the node stands still."""
STILL_S, HUNG_S = 1.2, 6.0
"""Times for which a backend server stands still, and hangs."""
LASTS_S = 0.1
"""Time from the last byte of an answer to its end, if it doesn't end at once."""


@attrs.frozen
class Says:
    """How a process answers reports and health checks."""

    report_status: int = 404
    report: bytes = b""
    report_id: str = ""
    health_status: int = 503
    health: bytes = b""
    health_id: str = ""

    def apply(self, server) -> None:
        server.report_status, server.report = self.report_status, self.report
        server.health_status, server.health = self.health_status, self.health
        server.report_headers = _named(self.report_id)
        server.health_headers = _named(self.health_id)


def _named(runner_id: str) -> dict[str, str]:
    return {"X-Runner-Id": runner_id} if runner_id else {}


OWN, OTHER = "i-1", "i-2"
NAMELESS = Says()
OWN_HEALTH = Says(health_status=200, health_id=OWN)
OWN_REPORT = Says(report_status=200, report=b'{"born": %d}' % BORN_MS, report_id=OWN)

OTHER_PROCESS = {
    "misdirected": Says(report_status=421, report_id=OTHER),
    "misdirected, nameless": Says(report_status=421),
    "report of another id": Says(report_status=200, report=b"{}", report_id=OTHER),
    "health of another id": Says(health_status=200, health_id=OTHER),
    "health of another id, failing": Says(health_status=503, health_id=OTHER),
}
NOTHING_KNOWN = {
    "nameless": NAMELESS,
    "nameless report": Says(report_status=200, report=b"{}"),
    "malformed report": Says(report_status=200, report=b"{"),
    "server error": Says(report_status=500),
    "proxy error": Says(report_status=502, health_status=502),
    "proxy timeout": Says(report_status=504, health_status=504),
    "health without a name": Says(health_status=200),
    "health says misdirected": Says(health_status=421, health_id=OWN),
}


def answers(says: Says, *, restarts: bool, lasts_s: float = LASTS_S, late_s: float = 0):
    """Return a script that ends an answer, with the process or without.

    Args:
        says: How the process at the address answers from then on.
        restarts: Whether that is another process than the one that has answered.
        lasts_s: Time from the last byte of the answer to its end.
        late_s: Time for which the node stands still then.
    """

    async def script(request, writer) -> None:
        writer.write(plain_head(request) + PLAIN_BODY)
        if lasts_s:
            await writer.drain()
            await asyncio.sleep(lasts_s)
        says.apply(script.server)
        if restarts:
            script.server.close_connections()
        writer.close()
        await asyncio.sleep(0)
        stand_still(late_s)

    return script


def stand_still(duration_s: float) -> None:
    """Let the event loop stand still, as that of a node that is frozen."""
    time.sleep(duration_s)


async def ask(site, script, **entry):
    script.server = await site.add_backend(script, backend_id=OWN, **entry)
    return await site.ask("/once/1")


LASTING = pytest.mark.parametrize("lasts_s", [0, LASTS_S], ids=["short", "lasting"])
ANY_START = pytest.mark.parametrize(
    "entry", [{}, {"born": BORN_MS}], ids=["id", "start"]
)


# Guards against half of an answer that passes as a whole one: its process has crashed
# and another one has its address when the node, frozen meanwhile, reads the end.
@LASTING
@ANY_START
@pytest.mark.parametrize(
    "says",
    [*OTHER_PROCESS.values(), *NOTHING_KNOWN.values()],
    ids=[*OTHER_PROCESS, *NOTHING_KNOWN],
)
async def test_another_process_confirms_no_end(site, says, entry, lasts_s) -> None:
    script = answers(says, restarts=True, lasts_s=lasts_s, late_s=STANDSTILL_S)
    assert (await ask(site, script, **entry)).status == 502


# Guards against a server that crashed and started again under its id.
@LASTING
@pytest.mark.parametrize(
    "says",
    [
        OWN_HEALTH,
        Says(report_status=200, report=b"{}", report_id=OWN),
        Says(report_status=200, report=b'{"born": %d}' % (BORN_MS + 1)),
        Says(report_status=200, report=b'{"born": %d}' % (BORN_MS - 1)),
        attrs.evolve(OWN_HEALTH, health=b'{"born": %d}' % (BORN_MS + 1)),
    ],
)
async def test_a_start_again_under_the_id_confirms_no_end(site, says, lasts_s) -> None:
    script = answers(says, restarts=True, lasts_s=lasts_s)
    assert (await ask(site, script, born=BORN_MS)).status == 502


# Guards against sound answers that are lost where a server names neither id nor start.
@pytest.mark.parametrize("late_s", [0, STANDSTILL_S], ids=["at once", "late"])
@pytest.mark.parametrize("status", [200, 400, 404, 405, 429])
async def test_a_process_without_a_name_confirms_the_end_of_a_lasting_answer(
    site, status, late_s
) -> None:
    script = answers(Says(report_status=status), restarts=False, late_s=late_s)
    got = await ask(site, script, born=BORN_MS)
    assert (got.status, got.body) == (200, PLAIN_BODY)


async def test_a_process_without_a_name_does_not_confirm_the_end_of_a_short_answer(
    site,
) -> None:
    script = answers(NAMELESS, restarts=False, lasts_s=0)
    assert (await ask(site, script)).status == 502


# Guards against a proxy's word on the server behind it.
@pytest.mark.parametrize("status", [500, 502, 503, 504])
async def test_a_server_error_confirms_no_end(site, status) -> None:
    says = Says(report_status=status, health_status=status)
    assert (await ask(site, answers(says, restarts=False))).status == 502


@LASTING
@pytest.mark.parametrize(
    ("says", "entry"),
    [
        (OWN_HEALTH, {}),
        (attrs.evolve(OWN_HEALTH, report_status=500), {}),
        (attrs.evolve(OWN_HEALTH, health_status=503), {}),
        (Says(report_status=200, report_id=OWN), {}),
        (
            Says(report_status=200, report=b'{"born": %d}' % BORN_MS),
            {"born": BORN_MS},
        ),
        (
            attrs.evolve(OWN_HEALTH, health=b'{"born": %d}' % BORN_MS),
            {"born": BORN_MS},
        ),
    ],
)
async def test_the_same_start_confirms_the_end(site, says, entry, lasts_s) -> None:
    script = answers(says, restarts=False, lasts_s=lasts_s, late_s=STANDSTILL_S)
    got = await ask(site, script, **entry)
    assert (got.status, got.body) == (200, PLAIN_BODY)


async def test_a_server_that_closes_idle_connections_is_asked_for_its_name(
    site,
) -> None:
    async def script(request, writer) -> None:
        writer.write(plain_head(request) + PLAIN_BODY)
        await writer.drain()
        await asyncio.sleep(LASTS_S)
        OWN_HEALTH.apply(script.server)
        script.server.close_connections(but=writer)
        await asyncio.sleep(LASTS_S)

    assert (await ask(site, script)).status == 200


# Guards against a link that breaks: it may end the answer's connection first.
async def test_a_server_that_takes_no_new_connection_confirms_no_end(site) -> None:
    async def script(request, writer) -> None:
        writer.write(plain_head(request) + PLAIN_BODY)
        await writer.drain()
        await asyncio.sleep(LASTS_S)
        await script.server.close()

    assert (await ask(site, script)).status == 502


async def test_a_stream_of_another_process_resumes_elsewhere(site) -> None:
    async def script(request, writer) -> None:
        writer.write(head(request, chunked=False) + events(1, 2))
        await writer.drain()
        Says(report_status=421).apply(script.server)
        await asyncio.sleep(0.02)
        script.server.close_connections()

    async def rest(request, writer) -> None:
        writer.write(head(request, chunked=False) + ALL[len(events(1, 2)) :])
        await writer.drain()
        await asyncio.sleep(0.02)

    script.server = await site.add_backend(script, group="small.1")
    await site.add_backend(rest, group="small.2", zone="z2")
    got = await site.ask("/stream/1")
    assert (got.status, got.body) == (200, ALL)


async def test_the_check_takes_no_longer_than_the_request_may(site) -> None:
    late = answers(NAMELESS, restarts=True)
    health_checks: list[str] = []

    async def script(request, writer) -> None:
        if request.target == "/health":
            health_checks.append(request.method)
            await asyncio.sleep(60.0)
        script.server.runner_id, script.server.health = "", None
        await late(request, writer)
        script.server.health = None

    late.server = script.server = await site.add_backend(script, backend_id=OWN)
    got = await site.ask("/once/1", **{"X-Deadline-Ms": "800"})
    assert got.status in (502, 504)
    assert health_checks == ["GET"]


# Guards against a process that stands still at the end of its answer, and goes on: the
# answer is whole, and its request may not run again.
@ANY_START
@pytest.mark.parametrize(
    ("says", "lasts_s"),
    [(NAMELESS, LASTS_S), (OWN_REPORT, LASTS_S), (OWN_REPORT, 0)],
    ids=["nameless", "lasting", "short"],
)
async def test_a_process_that_stands_still_after_its_answer_confirms_it(
    site, says, lasts_s, entry
) -> None:
    whole = answers(says, restarts=False, lasts_s=lasts_s)

    async def script(request, writer) -> None:
        script.server.late_s = STILL_S
        await whole(request, writer)

    whole.server = script.server = await site.add_backend(
        script, backend_id=OWN, **entry
    )
    got = await site.ask("/once/1")
    assert (got.status, got.body) == (200, PLAIN_BODY)


async def test_a_stream_goes_on_elsewhere_while_its_process_stands_still(site) -> None:
    async def script(request, writer) -> None:
        writer.write(head(request, chunked=False) + ALL)
        await writer.drain()
        script.server.late_s = HUNG_S
        await asyncio.sleep(LASTS_S)

    async def rest(request, writer) -> None:
        writer.write(head(request, chunked=False))
        await writer.drain()
        await asyncio.sleep(LASTS_S)

    script.server = await site.add_backend(script, group="small.1")
    await site.add_backend(rest, group="small.2", zone="z2")
    began_s = time.monotonic()
    got = await site.ask("/stream/1")
    assert (got.status, got.body) == (200, ALL)
    assert time.monotonic() - began_s < HUNG_S / 2


async def test_a_process_that_hangs_after_its_answer_confirms_no_end(site) -> None:
    whole = answers(NAMELESS, restarts=False)

    async def script(request, writer) -> None:
        script.server.late_s = HUNG_S
        await whole(request, writer)

    whole.server = script.server = await site.add_backend(script)
    got = await site.ask("/long/1", **{"X-Deadline-Ms": "5000"})
    assert got.status == 502

"""Heads that fail reports while they serve, and what an answer to a probe proves."""

from __future__ import annotations

import attrs
import pytest
from planning_site import Site, engines_of, head_and_member, run_scenario, standard_site
from result import Err, Ok, Result

from fordhatch.adapter import BackendReport, ReplyKind
from fordhatch.catalog import BackendServer, BackendState, incarnation_id
from fordhatch.core import Failure, ResultCode, Timer
from fordhatch.placement._loss_check import UNKNOWN_PAUSE_S, LossCheck
from fordhatch.registry import SHARED_TABLE, Suspicion, suspicion_key
from fordhatch_lab import run_in_virtual_time
from fordhatch_standins import EngineModel

BORN_MS = 1_760_000_000_000
GREY_S = 6.5

SERVER = BackendServer(
    incarnation_id("i-1", BORN_MS),
    "llm",
    "10.0.0.1:80",
    "z1",
    BackendState.READY,
    13,
    born_ms=BORN_MS,
)


def suspect(site: Site, head: EngineModel) -> None:
    """Write what a node writes that gets no events from a group."""
    place = head.place
    suspicion = Suspicion(place.group, place.epoch, "n9")
    key = suspicion_key(place.group, place.epoch)
    site.store.put(SHARED_TABLE, key, suspicion.to_bytes())


# Guards against members that join another group while their head is open: the head had
# answered a report with 500 and was taken for ended.
@pytest.mark.parametrize("seed", range(1, 5))
@pytest.mark.parametrize("share", [0.4, 1.0])
@pytest.mark.parametrize("model", ["big", "small"])
def test_a_head_that_fails_reports_keeps_its_group(model, share, seed) -> None:
    async def scenario(site: Site) -> None:
        await standard_site(site)
        head, _ = head_and_member(site, model)
        place, working = head.place, site.working()
        members = [site.fleet.engines[m] for m in place.members]
        head.failed_reports = share
        for _ in range(13):
            suspect(site, head)
            await site.watch(GREY_S / 13)
        assert [m.place.group for m in members] == [place.group] * len(members)
        head.failed_reports = 0.0
        await site.watch(5)
        assert head.place is place
        assert site.working() == working

    run_scenario(scenario, seed)


def test_a_group_with_a_grey_head_that_dies_is_replaced() -> None:
    async def scenario(site: Site) -> None:
        await standard_site(site)
        working = site.working()
        head, _ = head_and_member(site, "big")
        head.failed_reports = 1.0
        suspect(site, head)
        await site.watch(2)
        site.fleet.kill(head)
        spare = site.fleet.add(head.domain)
        spare.staged = ["big"]
        site.fleet._publish(spare)
        await site.until(lambda: site.working() >= working, 10)
        assert engines_of(site, "big")

    run_scenario(scenario)


@attrs.define
class ScriptedProber:
    """Answers probes with whatever a test says."""

    answer: Result[BackendReport, Failure]
    probes: int = 0

    async def check_loss(
        self, backend: BackendServer
    ) -> Result[BackendReport, Failure]:
        self.probes += 1
        return self.answer


def said(kind: ReplyKind, born_ms: int = 0) -> Result[BackendReport, Failure]:
    return Ok(BackendReport(kind, born_ms=born_ms))


def failed(code: ResultCode) -> Result[BackendReport, Failure]:
    return Err(Failure.from_code(code))


ALIVE, LOST, REPLACED, NOTHING = (
    (True, False, False),
    (False, True, False),
    (
        False,
        True,
        True,
    ),
    (False, False, False),
)


@pytest.mark.parametrize(
    ("answer", "expected"),
    [
        (said(ReplyKind.ANSWERED, BORN_MS), ALIVE),
        (said(ReplyKind.ANSWERED), ALIVE),
        (said(ReplyKind.REJECTED), ALIVE),
        (said(ReplyKind.MISDIRECTED), REPLACED),
        (said(ReplyKind.ANSWERED, BORN_MS + 1), REPLACED),
        (said(ReplyKind.ANSWERED, BORN_MS - 1), NOTHING),
        (said(ReplyKind.FAILED), NOTHING),
        (failed(ResultCode.BACKEND_REFUSED), LOST),
        (failed(ResultCode.BACKEND_LOST), LOST),
        (failed(ResultCode.PROBE_INCONCLUSIVE), NOTHING),
    ],
)
def test_what_an_answer_to_a_probe_proves(answer, expected) -> None:
    async def scenario() -> tuple[bool, bool, bool]:
        timer = Timer.from_seed(1)
        losses = LossCheck(ScriptedProber(answer), timer)
        losses.check(SERVER)
        await timer.sleep(0.01)
        known = SERVER.backend_id
        found = (losses.is_alive(known), known in losses.dead, known in losses.replaced)
        await losses.close()
        return found

    assert run_in_virtual_time(scenario()) == expected


# Guards against a server that stays unused for as long as it is listed.
def test_a_server_taken_for_replaced_is_used_again_when_it_answers() -> None:
    async def scenario() -> None:
        timer = Timer.from_seed(1)
        prober = ScriptedProber(said(ReplyKind.MISDIRECTED))
        losses = LossCheck(prober, timer)
        losses.check(SERVER)
        await timer.sleep(0.01)
        assert SERVER.backend_id in losses.replaced
        prober.answer = said(ReplyKind.ANSWERED, BORN_MS)
        async with timer.timeout(4.0):
            while losses.dead or losses.replaced:
                await timer.sleep(0.01)
        await losses.close()

    run_in_virtual_time(scenario())


def test_a_server_that_proves_nothing_is_not_probed_without_a_pause() -> None:
    async def scenario() -> int:
        timer = Timer.from_seed(1)
        prober = ScriptedProber(said(ReplyKind.FAILED))
        losses = LossCheck(prober, timer)
        for _ in range(100):
            losses.check(SERVER)
            await timer.sleep(UNKNOWN_PAUSE_S / 10)
        return prober.probes

    assert run_in_virtual_time(scenario()) <= 11

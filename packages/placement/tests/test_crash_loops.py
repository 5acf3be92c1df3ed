"""Models that crash each backend server that joins one of their groups."""

from __future__ import annotations

from planning_site import Site, engines_of, run_scenario, standard_site

from fordhatch.core import Timer
from fordhatch.placement._crash_loops import (
    FIRST_PAUSE_S,
    MAX_CONSECUTIVE_FAILURES,
    MAX_PAUSE_S,
    CrashLoops,
)

OBSERVATION_S = 90.0


def test_pauses_grow_and_end_when_a_group_opens(monkeypatch) -> None:
    now = [100.0]
    monkeypatch.setattr(Timer, "now_s", lambda self: now[0])
    loops = CrashLoops(Timer())
    for _ in range(MAX_CONSECUTIVE_FAILURES - 1):
        loops.record_failure("m")
    assert loops.paused_models() == frozenset()
    loops.record_failure("m")
    assert loops.paused_models() == {"m"}
    now[0] += FIRST_PAUSE_S + 0.1
    assert loops.paused_models() == frozenset()
    loops.record_failure("m")
    now[0] += FIRST_PAUSE_S + 0.1
    assert loops.paused_models() == {"m"}
    for _ in range(20):
        loops.record_failure("m")
    now[0] += MAX_PAUSE_S - 0.1
    assert loops.paused_models() == {"m"}
    loops.record_opened("m")
    assert loops.paused_models() == frozenset()
    loops.record_failure("m")
    assert loops.paused_models() == frozenset()


def test_a_model_that_crashes_its_members_leaves_the_others_alone() -> None:
    async def scenario(site: Site) -> None:
        await standard_site(site)
        big = len(engines_of(site, "big"))
        site.fleet.ends_on_join.add("small")
        for engine in engines_of(site, "small"):
            site.fleet.crash(engine)
        await site.watch(OBSERVATION_S)
        # Two crashes per formation, and four formations before the first pause. Without
        # pauses, 200 crashed in this time, and one group of the other model was left.
        assert 2 * MAX_CONSECUTIVE_FAILURES <= site.fleet.ended_on_join <= 30
        assert len(engines_of(site, "big")) >= big

    run_scenario(scenario)


def test_a_repaired_model_is_served_again() -> None:
    async def scenario(site: Site) -> None:
        await standard_site(site)
        site.fleet.ends_on_join.add("small")
        for engine in engines_of(site, "small"):
            site.fleet.crash(engine)
        await site.watch(30.0)
        site.fleet.ends_on_join.clear()
        await site.until(lambda: len(engines_of(site, "small")) >= 2, MAX_PAUSE_S)

    run_scenario(scenario)

"""Pattern: a model ends each backend server that joins a group for it."""

from __future__ import annotations

from planning_site import Site, engines_of, play, standard_site

from fordhatch.core import Timer
from fordhatch.placement._crash_loops import (
    FAILURES_IN_A_ROW,
    PAUSE_FIRST_S,
    PAUSE_MOST_S,
    CrashLoops,
)

WATCHED_S = 90.0


def test_pauses_grow_and_end_with_a_group_that_opens(monkeypatch) -> None:
    now = [100.0]
    monkeypatch.setattr(Timer, "now_s", lambda self: now[0])
    loops = CrashLoops(Timer())
    for _ in range(FAILURES_IN_A_ROW - 1):
        loops.failed("m")
    assert loops.held_off() == frozenset()
    loops.failed("m")
    assert loops.held_off() == {"m"}
    now[0] += PAUSE_FIRST_S + 0.1
    assert loops.held_off() == frozenset()
    loops.failed("m")
    now[0] += PAUSE_FIRST_S + 0.1
    assert loops.held_off() == {"m"}
    for _ in range(20):
        loops.failed("m")
    now[0] += PAUSE_MOST_S - 0.1
    assert loops.held_off() == {"m"}
    loops.opened("m")
    assert loops.held_off() == frozenset()
    loops.failed("m")
    assert loops.held_off() == frozenset()


def test_a_model_that_ends_its_members_leaves_the_others_alone() -> None:
    async def scenario(site: Site) -> None:
        await standard_site(site)
        big = len(engines_of(site, "big"))
        site.fleet.ends_on_join.add("small")
        for engine in engines_of(site, "small"):
            site.fleet.crash(engine)
        await site.watch(WATCHED_S)
        # Two for each formation, of which four come before the first pause; 200 ended
        # in this time, and one group of the other model was left, without pauses.
        assert 2 * FAILURES_IN_A_ROW <= site.fleet.ended_on_join <= 30
        assert len(engines_of(site, "big")) >= big

    play(scenario)


def test_a_model_that_was_mended_is_served_again() -> None:
    async def scenario(site: Site) -> None:
        await standard_site(site)
        site.fleet.ends_on_join.add("small")
        for engine in engines_of(site, "small"):
            site.fleet.crash(engine)
        await site.watch(30.0)
        site.fleet.ends_on_join.clear()
        await site.until(lambda: len(engines_of(site, "small")) >= 2, PAUSE_MOST_S)

    play(scenario)

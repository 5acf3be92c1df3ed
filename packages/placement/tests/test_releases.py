"""Groups during a rolling release of backend servers."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from planning_site import (
    Site,
    engine_configuration,
    head_and_member,
    run_scenario,
    standard_site,
)

from fordhatch.adapter import decode_configuration
from fordhatch.catalog import BackendServer, BackendState
from fordhatch.placement import Layout, Release, ReleaseDetector, choose_group

PROFILE = decode_configuration(engine_configuration()).services["llm"].engine
READY, DRAINING = BackendState.READY, BackendState.DRAINING


def backend(
    name: str,
    version: str,
    born_ms: int = 0,
    state: BackendState = READY,
    staged: Sequence[str] = (),
) -> BackendServer:
    return BackendServer(
        name,
        "llm",
        "a:1",
        "z",
        state,
        13,
        "d0",
        tuple(staged),
        born_ms=born_ms,
        version=version,
    )


OLD = [backend(f"o{n}", "9.0", 100 + n) for n in range(4)]
LEAVING = backend("o9", "9.0", 109, DRAINING)


# Guards against preferences outside a release: versions differ for other reasons too.
def test_no_release_without_a_second_version_or_without_a_draining_server() -> None:
    detector = ReleaseDetector()
    assert detector.step([*OLD, LEAVING], 0.0) is None
    assert detector.step([*OLD, backend("n", "10.0", 500)], 1.0) is None
    unknown = [backend("u", ""), backend("v", "", state=DRAINING)]
    assert detector.step([*OLD, *unknown], 2.0) is None


# Guards against versions compared as text, and against an older version that counts as
# the newest one because one of its servers crashed and started again.
def test_the_newest_version_is_the_one_whose_servers_started_last() -> None:
    listed = [*OLD, LEAVING, backend("n", "10.0", 500), backend("c", "9.0", 600)]
    found = ReleaseDetector().step(listed, 0.0)
    assert found == Release("10.0")
    assert found.will_replace(OLD[0])
    assert not found.will_replace(backend("u", ""))


def test_without_start_times_the_newest_version_is_the_one_that_gains() -> None:
    detector = ReleaseDetector()
    old = [backend(f"o{n}", "b") for n in range(4)]
    leaving = backend("o9", "b", state=DRAINING)
    assert detector.step([*old, leaving], 0.0) is None
    assert detector.step([*old, leaving, backend("n", "a")], 1.0) == Release("a")
    # A planner that has seen no change cannot tell.
    assert ReleaseDetector().step([*old, leaving, backend("n", "a")], 1.0) is None


def test_a_release_is_over_some_seconds_after_the_last_drain() -> None:
    detector = ReleaseDetector()
    mixed = [*OLD, backend("n", "10.0", 500)]
    assert detector.step([*mixed, LEAVING], 0.0) is not None
    assert detector.step(mixed, 3.0) is not None
    assert detector.step(mixed, 5.0) is None


# Guards against one server that never finishes draining, which would keep the
# preferences of a release in force for good.
def test_a_server_that_drains_for_good_is_no_release() -> None:
    detector = ReleaseDetector()
    stuck = [*OLD, backend("n", "10.0", 500), LEAVING]
    assert detector.step(stuck, 0.0) is not None
    assert detector.step(stuck, 5.0) is None
    next_one = backend("o8", "9.0", 108, DRAINING)
    assert detector.step([*stuck, next_one], 6.0) is not None


# Guards against new groups that the next step of the release hits, though members that
# stay would have joined as quickly; and against groups that open later for it.
def test_members_that_stay_are_preferred_where_they_cost_no_time() -> None:
    staged = [backend(n, "9.0", 1, staged=["small"]) for n in "ab"]
    staged += [backend(n, "10.0", 9, staged=["small"]) for n in "xy"]
    release = Release("10.0")
    one_last = Layout(PROFILE, {"a": "small"}, backends=48, release=release)
    assert ids(one_last, staged) == ["x", "y"]
    both_last = Layout(PROFILE, {"a": "small", "b": "small"}, backends=48)
    assert ids(both_last, staged) == ["a", "b"]
    both_last.release = release
    assert ids(both_last, staged) == ["a", "b"]


# Guards against an old server as the head of a mixed group: the group would end as its
# head drains, while with another head it serves until the old one has left.
def test_the_head_of_a_mixed_group_stays() -> None:
    free = [backend("a", "9.0", 1), backend("x", "10.0", 9)]
    last = {"a": "small", "x": "small"}
    found = Layout(PROFILE, last, backends=48, release=Release("10.0"))
    assert ids(found, free) == ["x", "a"]


# Guards against waiting for servers that stay when none can join: serving now is worth
# more than a group that is kept.
def test_old_servers_form_groups_if_no_others_can() -> None:
    free = [backend(n, "9.0", 1, staged=["small"]) for n in "ab"]
    free += [backend(n, "10.0", 9) for n in "xy"]
    assert ids(Layout(PROFILE, {}, backends=48, release=Release("10.0")), free) == [
        "a",
        "b",
    ]


def ids(layout: Layout, free: Sequence[BackendServer]) -> list[str]:
    """Return the members of the group that is chosen, by rank."""
    return [m.backend_id for m in choose_group(layout, free).members]


async def begin_release(site: Site) -> None:
    """Replace one engine by a newer version; a release is in progress at the next."""
    site.fleet.tells_starts = True
    await standard_site(site)
    site.fleet.version = "v2"
    _, first = head_and_member(site, "small")
    site.fleet.drain(first)
    await asyncio.sleep(0.5)
    site.fleet.restart(first)


# Guards against giving up a group two seconds before its member leaves, each time that
# a step of the release hits it.
def test_during_a_release_a_group_serves_until_its_draining_member_leaves() -> None:
    async def scenario(site: Site) -> None:
        await begin_release(site)
        head, member = head_and_member(site, "big")
        # A spare with which the planner could replace the member.
        spare = site.fleet.add(head.domain)
        spare.staged = ["big"]
        spare.on_change(spare)
        site.fleet.drain(member)
        await site.watch(1.8)
        assert head.place is not None
        assert head.place.state == "open"
        site.fleet.kill(member)

    run_scenario(scenario)


# Guards against the members of a formation that wait for one that drains: a complete
# group with a draining member is not opened.
def test_a_formation_that_a_release_hits_is_given_up_at_once() -> None:
    async def scenario(site: Site) -> None:
        await begin_release(site)
        head, member = head_and_member(site, "big")
        others = [e for e in site.fleet.members(head) if e is not member]
        epoch = head.place.epoch
        site.fleet.restart(member)
        await site.until(
            lambda: any(e.place and e.place.epoch > epoch for e in others), 20
        )
        formation = next(iter(site.planner().planner.formations.active))
        hit = next(
            e
            for e in site.fleet.engines.values()
            if e.place and (e.place.group, e.place.epoch) == formation
            if e.place.rank > 0 and e.version == "v1"
        )
        site.fleet.drain(hit)
        await asyncio.sleep(0.3)
        assert formation not in site.planner().planner.formations.active
        assert not site.planner().planner.crash_loops.paused_models()

    run_scenario(scenario)

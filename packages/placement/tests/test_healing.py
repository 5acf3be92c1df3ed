"""Groups that lose members, or whose members the store does not hear."""

from __future__ import annotations

import pytest
from planning_site import Site, engines_of, head_and_member, play, standard_site

from fordhatch.adapter import BACKENDS_TABLE
from fordhatch.placement._group_care import UNLISTED_WORK_S


@pytest.mark.parametrize("model", ["big", "small"])
def test_a_group_that_lost_a_member_is_replaced_without_loads(model: str) -> None:
    async def scenario(site: Site) -> None:
        await standard_site(site)
        before = site.working()
        loads = site.fleet.loads
        _, member = head_and_member(site, model)
        site.fleet.kill(member)
        assert site.working() == before - 1
        spare = site.fleet.add(member.domain)
        spare.staged = [model]
        site.fleet._publish(spare)
        took_s = await site.until(lambda: site.working() >= before, 8)
        # The entry lapses after 3.6 s; probes, leaving, joining and opening follow.
        assert took_s < 3.6 + 2.6
        assert site.fleet.loads - loads <= 8

    play(scenario)


def test_a_group_goes_on_when_a_member_is_only_out_of_the_stores_reach() -> None:
    async def scenario(site: Site) -> None:
        await standard_site(site, domains=1)
        before = {e.place.group for e in engines_of(site, "big")}
        _, member = head_and_member(site, "big")
        site.fleet.cut_from_store(member)
        await site.watch(10)
        assert {e.place.group for e in engines_of(site, "big")} == before

    play(scenario)


def test_leftovers_of_two_broken_groups_make_one() -> None:
    async def scenario(site: Site) -> None:
        await standard_site(site, domains=1)
        before = site.fleet.working_groups()["small"]
        heads = [e for e in engines_of(site, "small") if e.place.rank == 0][:2]
        for head in heads:
            site.fleet.kill(site.fleet.engines[head.place.members[1]])
        # A load alone would take 12 s.
        await site.until(
            lambda: site.fleet.working_groups().get("small", 0) >= before - 1, 8
        )
        assert len({head.place.group for head in heads}) == 1

    play(scenario)


def test_a_dark_domain_that_comes_back_serves_again() -> None:
    async def scenario(site: Site) -> None:
        await standard_site(site)
        before = site.working()
        gone = [e for e in site.fleet.engines.values() if e.domain == "d1"]
        for engine in gone:
            site.fleet.kill(engine)
        await site.watch(8)
        assert site.working() < before
        for engine in gone:
            back = site.fleet.add("d1")
            back.staged = list(engine.staged)
            site.fleet._publish(back)
        took_s = await site.until(lambda: site.working() >= before, 30)
        assert took_s < 6.0

    play(scenario)


def test_a_head_that_is_no_longer_listed_finishes_its_streams() -> None:
    async def scenario(site: Site) -> None:
        await standard_site(site, nodes=1)
        before = site.working()
        head, _ = head_and_member(site, "small")
        place = head.place
        site.store.remove(BACKENDS_TABLE, head.backend_id)
        await site.watch(UNLISTED_WORK_S - 0.2)
        assert head.place == place
        await site.until(lambda: head.place is None, 3)
        await site.until(lambda: site.working() >= before - 1, 5)

    play(scenario)


def test_a_group_whose_head_is_listed_again_soon_is_kept() -> None:
    async def scenario(site: Site) -> None:
        await standard_site(site, nodes=1)
        head, _ = head_and_member(site, "small")
        place = head.place
        site.store.remove(BACKENDS_TABLE, head.backend_id)
        await site.watch(0.6)
        site.fleet._publish(head)
        await site.watch(3)
        assert head.place == place

    play(scenario)


def test_a_head_that_is_no_longer_listed_and_does_not_answer_is_not_waited_for() -> (
    None
):
    async def scenario(site: Site) -> None:
        await standard_site(site, nodes=1)
        head, member = head_and_member(site, "small")
        site.fleet.kill(head)
        site.store.remove(BACKENDS_TABLE, head.backend_id)
        took_s = await site.until(lambda: member.place is None, 8)
        assert took_s < UNLISTED_WORK_S - 0.3

    play(scenario)

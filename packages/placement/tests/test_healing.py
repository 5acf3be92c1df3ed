"""Groups that lose members, or whose members cannot reach the store."""

from __future__ import annotations

import pytest
from planning_site import Site, engines_of, head_and_member, run_scenario, standard_site

from fordhatch.adapter import BACKENDS_TABLE, GroupOrder, OrderKind
from fordhatch.placement._group_supervisor import UNLISTED_HEAD_GRACE_S
from fordhatch.registry import SHARED_TABLE, slow_key


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
        # The entry lapses after 3.6 s; probes, leaves, joins and the opening follow.
        assert took_s < 3.6 + 2.6
        assert site.fleet.loads - loads <= 8

    run_scenario(scenario)


def test_a_group_keeps_serving_when_a_member_only_loses_the_store() -> None:
    async def scenario(site: Site) -> None:
        await standard_site(site, domains=1)
        before = {e.place.group for e in engines_of(site, "big")}
        _, member = head_and_member(site, "big")
        site.fleet.cut_from_store(member)
        await site.watch(10)
        assert {e.place.group for e in engines_of(site, "big")} == before

    run_scenario(scenario)


def test_a_group_whose_member_has_left_is_dissolved() -> None:
    """The member is listed without its place: answering a probe proves nothing."""

    async def scenario(site: Site) -> None:
        await standard_site(site)
        before = site.working()
        _, member = head_and_member(site, "big")
        place = member.place
        leave = GroupOrder(
            OrderKind.LEAVE,
            place.group,
            place.epoch,
            fencing_token=member.highest_token,
        )
        site.fleet._carry_out(member, leave)
        took_s = await site.until(lambda: site.working() >= before, 8)
        # The head would break only after 5 s.
        assert took_s < 3.0

    run_scenario(scenario)


def test_survivors_of_two_broken_groups_form_one() -> None:
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

    run_scenario(scenario)


def test_a_recovered_dark_domain_serves_again() -> None:
    async def scenario(site: Site) -> None:
        await standard_site(site)
        before = site.working()
        dark = [e for e in site.fleet.engines.values() if e.domain == "d1"]
        for engine in dark:
            site.fleet.kill(engine)
        await site.watch(8)
        assert site.working() < before
        for engine in dark:
            replacement = site.fleet.add("d1")
            replacement.staged = list(engine.staged)
            site.fleet._publish(replacement)
        took_s = await site.until(lambda: site.working() >= before, 30)
        assert took_s < 6.0

    run_scenario(scenario)


def test_an_unlisted_head_finishes_its_streams() -> None:
    async def scenario(site: Site) -> None:
        await standard_site(site, nodes=1)
        before = site.working()
        head, _ = head_and_member(site, "small")
        place = head.place
        site.store.remove(BACKENDS_TABLE, head.backend_id)
        await site.watch(UNLISTED_HEAD_GRACE_S - 0.2)
        assert head.place == place
        await site.until(lambda: head.place is None, 3)
        await site.until(lambda: site.working() >= before - 1, 5)

    run_scenario(scenario)


def test_a_group_whose_head_is_soon_listed_again_is_kept() -> None:
    async def scenario(site: Site) -> None:
        await standard_site(site, nodes=1)
        head, _ = head_and_member(site, "small")
        place = head.place
        site.store.remove(BACKENDS_TABLE, head.backend_id)
        await site.watch(0.6)
        site.fleet._publish(head)
        await site.watch(3)
        assert head.place == place

    run_scenario(scenario)


def test_an_unlisted_head_that_does_not_answer_is_given_up_early() -> None:
    async def scenario(site: Site) -> None:
        await standard_site(site, nodes=1)
        head, member = head_and_member(site, "small")
        site.fleet.kill(head)
        site.store.remove(BACKENDS_TABLE, head.backend_id)
        took_s = await site.until(lambda: member.place is None, 8)
        assert took_s < UNLISTED_HEAD_GRACE_S - 0.3

    run_scenario(scenario)


def test_a_dead_spare_that_is_still_listed_delays_a_formation_briefly() -> None:
    """Pattern: during an outage of the store, dead backend servers stay listed.

    A formation waits 2.2 s or more for a member. Probing all members first takes
    0.15 s, and the next plan excludes the dead one.
    """

    async def scenario(site: Site) -> None:
        await standard_site(site, domains=1, nodes=1)
        before = site.working()
        site.fleet.lapse_s = 60.0
        dead = site.fleet.add("d0")
        dead.staged = ["small"]
        site.fleet._publish(dead)
        site.fleet.kill(dead)
        _, member = head_and_member(site, "small")
        site.store.remove(BACKENDS_TABLE, member.backend_id)
        site.fleet.kill(member)
        formations = site.planner().planner.formations
        await site.until(lambda: dead.backend_id in formations.member_ids(), 8)
        await site.until(lambda: dead.backend_id not in formations.member_ids(), 0.6)
        alive = site.fleet.add("d0")
        alive.staged = ["small"]
        site.fleet._publish(alive)
        assert await site.until(lambda: site.working() >= before, 5) < 2.5

    run_scenario(scenario)


def test_survivors_of_a_released_group_are_free_for_the_next_planner() -> None:
    """Pattern: a planner is lost while survivors of a group wait for a new group.

    The next planner cannot know that their head had left. It would hold them until the
    head must have broken, six seconds after they were released.
    """

    async def scenario(site: Site) -> None:
        await standard_site(site, domains=1)
        head, member = head_and_member(site, "big")
        others = [m for m in site.fleet.members(head) if m is not member]
        site.fleet.kill(member)
        # Two of the three form a group of the smaller model.
        await site.until(lambda: any(m.place is None for m in others), 8)
        await site.watch(3)
        before = site.working()
        old = site.planner()
        del site.nodes[old.name]
        await old.kill()
        await site.until(lambda: site.planner() is not None, 8)
        spare = site.fleet.add(member.domain)
        spare.staged = ["small"]
        site.fleet._publish(spare)
        assert await site.until(lambda: site.working() > before, 8) < 3.5

    run_scenario(scenario)


def test_a_new_planner_knows_the_lost_head_of_a_single_survivor() -> None:
    """Pattern: a planner is lost after a group's release, before all members left."""

    async def scenario(site: Site) -> None:
        await standard_site(site, domains=1)
        await site.watch(2)
        head, member = head_and_member(site, "small")
        record = site.planner().view.shared.records[head.place.group, head.place.epoch]
        assert [m.backend_id for m in record.members] == list(head.place.members)
        old = site.planner()
        del site.nodes[old.name]
        await old.kill()
        head.place = None
        site.fleet._publish(head)
        before = site.working()
        took_s = await site.until(lambda: site.working() > before, 12)
        assert member.place is not None
        # The lease expires; a join and an opening follow.
        assert took_s < 4.0

    run_scenario(scenario)


def test_a_slow_member_is_polled_until_it_has_recovered() -> None:
    """Pattern: a member works 4 to 12 times slower for 5 to 9 s and recovers."""

    async def scenario(site: Site) -> None:
        await standard_site(site, domains=1, nodes=1)
        _, member = head_and_member(site, "small")
        shared = site.planner().view.shared
        member.slow_factor = 4.0
        site.store.put(SHARED_TABLE, slow_key(member.backend_id), b"4")
        await site.watch(5)
        assert shared.slow == {member.backend_id: 4.0}
        member.slow_factor = 1.5
        await site.watch(3)
        assert member.backend_id in shared.slow
        member.slow_factor = 1.0
        await site.until(lambda: not shared.slow, 2.5)

    run_scenario(scenario)


def test_the_row_of_an_unlisted_slow_backend_is_removed() -> None:
    async def scenario(site: Site) -> None:
        await standard_site(site, domains=1, nodes=1)
        site.store.put(SHARED_TABLE, slow_key("i-gone"), b"12")
        shared = site.planner().view.shared
        await site.until(lambda: "i-gone" in shared.slow, 2)
        await site.until(lambda: not shared.slow, 2.5)

    run_scenario(scenario)


def test_a_slow_member_joins_no_group_until_it_has_recovered() -> None:
    """Pattern: members 4 to 12 times slower than usual, with a spare in the domain."""

    async def scenario(site: Site) -> None:
        await standard_site(site, domains=2, nodes=1)
        before = site.working()
        _, member = head_and_member(site, "small")
        spare = site.fleet.add(member.domain)
        spare.staged = ["small"]
        site.fleet._publish(spare)
        member.slow_factor = 12.0
        site.store.put(SHARED_TABLE, slow_key(member.backend_id), b"12")
        await site.until(lambda: member.place is None, 3)
        await site.until(lambda: site.working() >= before, 5)
        await site.watch(5)
        assert member.place is None
        member.slow_factor = 1.0
        await site.until(lambda: not site.planner().view.shared.slow, 2.5)
        await site.watch(3)

    run_scenario(scenario)


def test_the_last_group_of_a_model_keeps_serving_with_a_slow_member() -> None:
    async def scenario(site: Site) -> None:
        await standard_site(site, domains=1, nodes=1)
        head, member = head_and_member(site, "big")
        assert len({e.place.group for e in engines_of(site, "big")}) == 1
        place = head.place
        member.slow_factor = 12.0
        site.store.put(SHARED_TABLE, slow_key(member.backend_id), b"12")
        await site.watch(6)
        assert head.place == place

    run_scenario(scenario)

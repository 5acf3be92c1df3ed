from __future__ import annotations

from memory_site import expected_text, small_site


def test_callers_get_whole_answers_through_any_node(virtual) -> None:
    async def scenario(site) -> None:
        await small_site(site)
        for node in range(3):
            done = await site.ask(site.request(f"box {node}"), node)
            assert done.unwrap().text == expected_text(f"box {node}")

    virtual(scenario)


def test_a_lost_member_is_replaced_by_the_spare_and_survivors_stay(virtual) -> None:
    async def scenario(site) -> None:
        await small_site(site)
        row = site.nodes[0].groups.rows["estimator-llm-1"]
        site.engines.down.add(row.members[2].address)
        await site.until(lambda: (row.group_id, 2) in site.serving())
        now = site.nodes[0].groups.rows[row.group_id]
        assert now.members[2].instance_id == "gpu-9"
        survivors = [m.instance_id for m in now.members if m.instance_id != "gpu-9"]
        assert survivors == [m.instance_id for i, m in enumerate(row.members) if i != 2]

    virtual(scenario)

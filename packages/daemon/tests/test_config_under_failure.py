"""An accepted configuration is in force everywhere within seconds and never reverts."""

from __future__ import annotations

import asyncio
import json

from memory_site import Site, small_site

from fordhatch.config import ApplyRequest, ConfigFollower
from fordhatch.core import Ran, ResultCode


def file_with(site: Site, groups: int) -> bytes:
    return json.dumps(site.declared(groups=groups)).encode()


async def apply(site, content: bytes, base: int, name: str, node: int = 0):
    request = ApplyRequest(content, base, name, f"operator-{name}")
    return await site.nodes[node].applier.apply(request)


def audit(site) -> list[dict]:
    return [v for k, (_, v) in site.platform.rows.items() if k.startswith("audit/")]


def test_of_racing_operators_one_wins_and_the_other_is_told_who(virtual) -> None:
    async def scenario(site) -> None:
        await small_site(site)
        done = await asyncio.gather(
            *(apply(site, file_with(site, i), 1, f"r{i}", i) for i in range(3))
        )
        won = [i for i, d in enumerate(done) if d.is_ok()]
        assert len(won) == 1
        for index, result in enumerate(done):
            if index in won:
                continue
            failure = result.unwrap_err()
            assert failure.code is ResultCode.CONFIG_CONFLICT
            assert f"operator-r{won[0]}" in failure.message
        outcomes = [row["outcome"] for row in audit(site)]
        assert outcomes.count("accepted") == 2
        assert len(outcomes) == 4

    virtual(scenario)


def test_repeat_after_a_lost_answer_is_the_same_apply(virtual) -> None:
    async def scenario(site) -> None:
        await small_site(site)
        site.platform.faults.lose_answers = 1
        first = await apply(site, file_with(site, 1), 1, "a")
        again = await apply(site, file_with(site, 1), 1, "a", 1)
        assert first.unwrap() == again.unwrap()
        assert first.unwrap().revision == 2
        assert site.platform.rows["config/head"][1]["revision"] == 2

    virtual(scenario)


def test_repeat_is_recognised_after_others_have_applied(virtual) -> None:
    async def scenario(site) -> None:
        await small_site(site)
        first = await apply(site, file_with(site, 1), 1, "a")
        await apply(site, file_with(site, 2), 2, "b")
        again = await apply(site, file_with(site, 1), 1, "a")
        assert again.unwrap() == first.unwrap()

    virtual(scenario)


def test_bad_file_changes_nothing(virtual) -> None:
    async def scenario(site) -> None:
        await small_site(site)
        before = dict(site.platform.rows), dict(site.platform.objects)
        failure = (await apply(site, b'{"format": 2}', 1, "a")).unwrap_err()
        assert (failure.code, failure.ran) == (ResultCode.CONFIG_INVALID, Ran.NO)
        objects = dict(site.platform.objects)
        assert objects == before[1]
        assert site.platform.rows["config/head"] == before[0]["config/head"]

    virtual(scenario)


def test_store_out_refuses_an_apply_as_not_done(virtual) -> None:
    async def scenario(site) -> None:
        await small_site(site)
        site.platform.faults.down = True
        failure = (await apply(site, file_with(site, 1), 1, "a")).unwrap_err()
        assert failure.ran is Ran.NO
        site.platform.faults.down = False
        await asyncio.sleep(20.0)
        assert {n.config.revision for n in site.nodes} == {1}

    virtual(scenario)


def test_in_force_everywhere_within_eight_seconds_with_a_slow_store(virtual) -> None:
    async def scenario(site) -> None:
        await small_site(site)
        site.platform.faults.delay_s = 1.0
        done = await apply(site, file_with(site, 1), 1, "a")
        assert done.is_ok()
        took_s = await site.until(
            lambda: all(n.config.revision == 2 for n in site.nodes)
        )
        assert took_s < 8.0

    virtual(scenario)


def test_in_force_everywhere_though_the_store_is_lost_after_accepting(virtual) -> None:
    async def scenario(site) -> None:
        await small_site(site)
        done = await apply(site, file_with(site, 1), 1, "a")
        accepted = done.unwrap()
        site.platform.faults.down = True
        content = file_with(site, 1)
        site.nodes[0].config.adopt(accepted.revision, accepted.digest, content)
        took_s = await site.until(
            lambda: all(n.config.revision == 2 for n in site.nodes)
        )
        assert took_s < 8.0

    virtual(scenario)


def test_node_that_starts_in_an_outage_takes_the_revision_of_its_peers(virtual) -> None:
    async def scenario(site) -> None:
        await small_site(site)
        await apply(site, file_with(site, 1), 1, "a")
        await site.until(lambda: all(n.config.revision == 2 for n in site.nodes))
        site.platform.faults.down = True
        fresh = await site.add_node(4)
        assert fresh.confirmed().code is ResultCode.NO_CONFIG
        took_s = await site.until(lambda: fresh.config.revision == 2)
        assert took_s < 8.0
        await site.until(lambda: fresh.confirmed() is None)
        done = await site.ask(site.request("through the fresh node"), 3)
        assert done.is_ok()

    virtual(scenario)


def test_old_revision_from_a_peer_is_not_taken(virtual) -> None:
    async def scenario(site) -> None:
        await small_site(site)
        node = site.nodes[0]
        old = node.config.current
        await apply(site, file_with(site, 1), 1, "a")
        await site.until(lambda: node.config.revision == 2)
        assert not node.config.adopt(old.revision, old.digest, old.content)
        assert node.config.revision == 2

    virtual(scenario)


def test_content_that_does_not_match_its_digest_is_not_taken(virtual) -> None:
    async def scenario(site) -> None:
        await small_site(site)
        node = site.nodes[0]
        assert not node.config.adopt(9, "0" * 64, file_with(site, 1))
        assert node.config.revision == 1

    virtual(scenario)


def test_node_cut_off_from_store_and_peers_stops_serving(virtual) -> None:
    async def scenario(site) -> None:
        await small_site(site)
        lonely = site.nodes[2]
        address = str(lonely.settings.peers)
        site.network.cut = lambda a, b: address in (a, b)
        site.platform.faults.down = True
        timing = lonely.settings.timing
        took_s = await site.until(lambda: lonely.confirmed() is not None)
        assert took_s > timing.suspect_s
        assert lonely.confirmed().code is ResultCode.NO_CONFIG
        # The others are in touch with each other and go on.
        assert all(n.confirmed() is None for n in site.nodes[:2])
        site.network.cut = lambda a, b: False
        await site.until(lambda: lonely.confirmed() is None)

    virtual(scenario)


def test_serving_goes_on_through_a_long_outage_of_the_store(virtual) -> None:
    async def scenario(site) -> None:
        await small_site(site)
        site.platform.faults.down = True
        await asyncio.sleep(120.0)
        for node in range(3):
            done = await site.ask(site.request(f"box {node}"), node)
            assert done.is_ok()
        # A member lost meanwhile takes its group out; the other one serves.
        row = site.nodes[0].groups.rows["estimator-llm-1"]
        site.engines.down.add(row.members[0].address)
        await asyncio.sleep(10.0)
        assert (row.group_id, 1) not in site.serving()
        assert (await site.ask(site.request("during"))).is_ok()
        # Back again, the group is repaired, and nobody storms the store.
        site.platform.faults.down = False
        before = site.platform.reads + site.platform.writes
        took_s = await site.until(lambda: (row.group_id, 2) in site.serving())
        operations = site.platform.reads + site.platform.writes - before
        assert operations / took_s < 60.0

    virtual(scenario)


def test_read_at_a_lowest_revision_waits_or_refuses(virtual) -> None:
    async def scenario(site) -> None:
        await small_site(site)
        waiting = asyncio.ensure_future(site.nodes[2].config.wait_for(2, 8.0))
        await apply(site, file_with(site, 1), 1, "a")
        assert (await waiting).unwrap().revision == 2
        refused = await site.nodes[2].config.wait_for(3, 1.0)
        assert refused.unwrap_err().code is ResultCode.REVISION_NOT_REACHED

    virtual(scenario)


def test_planner_with_an_old_configuration_writes_nothing(virtual, monkeypatch) -> None:
    async def scenario(site) -> None:
        await small_site(site, engines=12)
        leader = site.planner()
        generation = leader.groups.generations["gulf-south"]
        adopt = ConfigFollower.adopt

        def deaf(follower, *revision) -> bool:
            return follower is not leader.config and adopt(follower, *revision)

        monkeypatch.setattr(ConfigFollower, "adopt", deaf)
        await apply(site, file_with(site, 1), 1, "a")
        row = leader.groups.rows["estimator-llm-1"]
        site.engines.down.add(row.members[0].address)
        await asyncio.sleep(10.0)
        assert leader.planner.is_leader()
        assert leader.groups.generations["gulf-south"] == generation
        monkeypatch.undo()
        await site.until(lambda: leader.config.revision == 2)

    virtual(scenario)

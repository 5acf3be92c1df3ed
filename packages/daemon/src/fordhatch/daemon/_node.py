"""One node: every part put together, and the messages between nodes."""

from __future__ import annotations

from functools import singledispatchmethod
from typing import Any

import attrs

from fordhatch.config import HEAD_KEY, ConfigApplier, ConfigFollower, Settings
from fordhatch.core import Failure, ResultCode, TaskSet, Timer, log_event, metrics
from fordhatch.engine import EngineClient
from fordhatch.groups import (
    GroupMap,
    GroupWatcher,
    PermitBook,
    Planner,
    head_key,
)
from fordhatch.membership import DEAD, SUSPECT, Membership
from fordhatch.protocol import Channel, PeerPool, to_refused
from fordhatch.protocol.messages import (
    Accepted,
    CommitClaims,
    ConfigReply,
    Dispatch,
    GroupReport,
    GroupsReply,
    NodeRecord,
    PullConfig,
    PullGroups,
    QueryStatus,
    StatusReply,
    VersionDigest,
)
from fordhatch.routing import ClaimService, EntryRouter, HomeDispatcher

from ._parts import Edges, PartsBuilder, Platform

PULL_TIMEOUT_S = 3.0
"""How long another node may take to send what this one lacks."""

REPORT_TIMEOUT_S = 1.0
"""How long the planner may take to accept a report."""

CLEAN_INTERVAL_S = 10.0
"""Time between passes of the claim cleaner, on the planner's node."""


@attrs.define(eq=False)
class Node:
    """The state and parts of one entry node."""

    settings: Settings
    timer: Timer
    platform: Platform
    engines: EngineClient
    pool: PeerPool
    membership: Membership
    config: ConfigFollower
    applier: ConfigApplier
    groups: GroupMap
    permits: PermitBook
    watcher: GroupWatcher
    planner: Planner
    claims: ClaimService
    home: HomeDispatcher
    entry: EntryRouter
    planners: dict[str, tuple[int, str]] = attrs.field(factory=dict)
    """Fencing token and node of each region's planner, as last heard."""
    leaving: bool = False
    _pulling: set[str] = attrs.field(factory=set)
    _tasks: TaskSet = attrs.field(factory=TaskSet)

    @classmethod
    def from_settings(cls, settings: Settings) -> Node:
        """Build all parts of a node.

        Args:
            settings: The checked settings.

        Returns:
            A node that has not been started.
        """
        timer = Timer.from_seed(settings.node_id)
        return cls.from_edges(settings, timer, Edges.from_settings(settings, timer))

    @classmethod
    def from_edges(cls, settings: Settings, timer: Timer, edges: Edges) -> Node:
        """Build all parts of a node on top of its edges to the world.

        Args:
            settings: The checked settings.
            timer: The process's timer.
            edges: Clients of the platform, the engines and the other nodes.

        Returns:
            A node that has not been started.
        """
        build = PartsBuilder.from_edges(settings, timer, edges)
        watcher, claims = build.watcher(), build.claims()
        home = build.home(claims, watcher)
        node = cls(
            settings,
            timer,
            edges.platform,
            edges.engines,
            edges.pool,
            build.membership,
            build.config,
            build.applier(),
            build.groups,
            build.permits,
            watcher,
            build.planner(),
            claims,
            home,
            build.entry(home, claims),
        )
        node._connect_parts()
        return node

    def _connect_parts(self) -> None:
        self.pool.handler = self._serve
        self.membership.digest = self.digest
        self.membership.on_digest = self._on_digest
        self.watcher.report = self._report
        self.watcher.planner_of = lambda: self.planner_of(self.settings.region)
        self.watcher.in_flight = lambda group_id: self.home.in_flight[group_id]
        self.config.subscribe(lambda _: self.membership.push())
        self.groups.subscribe(self._groups_changed)

    def _groups_changed(self) -> None:
        self.membership.push()
        self.home.forget_groups()
        self.entry.loads.keep_only(set(self.groups.rows))

    async def start(self) -> None:
        """Listen for other nodes and start every part."""
        peers, timing = self.settings.peers, self.settings.timing
        await self.pool.listen(peers.host, peers.port)
        await self.membership.start(peers.host, peers.port)
        self.watcher.start()
        self.home.start()
        every = self.timer.every
        self._tasks.spawn(
            every(timing.store_poll_interval_s, self._poll_store, name="poll"), "poll"
        )
        self._tasks.spawn(
            every(timing.plan_interval_s, self._plan, name="plan"), "plan"
        )
        self._tasks.spawn(
            every(CLEAN_INTERVAL_S, self._clean_claims, name="clean"), "clean"
        )
        log_event("node_started", region=self.settings.region, zone=self.settings.zone)

    async def _plan(self) -> None:
        if not self.leaving:
            await self.planner.step()

    async def _clean_claims(self) -> None:
        if self.planner.is_leader():
            await self.claims.clean()

    # What is in force.

    def regions(self) -> set[str]:
        """Return every region that this node knows of."""
        found = {self.settings.region, *self.groups.generations}
        current = self.config.current
        if current is not None:
            services = current.declared.model_services
            found.update(s.region for s in services)
            found.update(s.region for s in current.declared.plain_services)
        return found

    async def _poll_store(self) -> None:
        regions = sorted(self.regions())
        read = await self.platform.read([HEAD_KEY, *map(head_key, regions)])
        if read.is_err():
            return
        rows = read.unwrap()
        await self.config.observe_head(rows[HEAD_KEY])
        for region in regions:
            head = rows[head_key(region)]
            await self.groups.observe_head(self.platform, region, head)

    def confirmed(self) -> Failure | None:
        """Return why this node may not serve now, or None.

        The configuration counts as confirmed while the store has confirmed it a
        short time ago or while most of the region's nodes are in touch: in an
        outage of the store nothing newer can have been accepted, but a node that
        is cut off alone cannot tell an outage from its own isolation.
        """
        if self.config.current is None:
            return Failure.from_code(ResultCode.NO_CONFIG, retry_after_s=1.0)
        if self.config.guard.tripped or self.groups.guard.tripped:
            return Failure.from_code(ResultCode.INVARIANT_VIOLATED)
        age_s = self.timer.now_s() - self.config.store_confirmed_s
        if age_s <= self.settings.timing.confirm_s or self._in_touch():
            return None
        text = "cut off from the store and from most nodes of the region"
        return Failure.from_code(ResultCode.NO_CONFIG, text, retry_after_s=2.0)

    def _in_touch(self) -> bool:
        table = self.membership.table
        near = [
            e.record
            for e in table.entries.values()
            if e.record.region == self.settings.region
        ]
        silent = sum(record.state in (SUSPECT, DEAD) for record in near)
        known = len(near) + 1
        return (known - silent) * 2 >= known

    def digest(self) -> VersionDigest:
        """Return the newest versions this node holds."""
        if self.planner.is_leader():
            mine = (self.planner.lease.token, self.settings.node_id)
            self.planners[self.settings.region] = mine
        return VersionDigest(
            self.config.revision, dict(self.groups.generations), dict(self.planners)
        )

    def planner_of(self, region: str) -> str:
        """Return the node that plans for a region, as last heard."""
        return self.planners.get(region, (0, ""))[1]

    def _on_digest(self, digest: VersionDigest, sender: NodeRecord) -> None:
        for region, (token, node_id) in digest.planners.items():
            if token > self.planners.get(region, (0, ""))[0]:
                self.planners[region] = (token, node_id)
        if digest.config_revision > self.config.revision:
            self._pull("config", self._pull_config(sender))
        for region, generation in digest.group_generations.items():
            if generation > self.groups.generations.get(region, 0):
                self._pull(f"groups-{region}", self._pull_groups(sender, region))

    def _pull(self, name: str, work: Any) -> None:
        if name in self._pulling:
            work.close()
            return
        self._pulling.add(name)
        task = self._tasks.spawn(work, f"pull-{name}")
        task.add_done_callback(lambda _: self._pulling.discard(name))

    async def _pull_config(self, sender: NodeRecord) -> None:
        message = PullConfig(self.config.revision)
        reply = await self.pool.request(sender.address, message, PULL_TIMEOUT_S)
        if reply.is_ok() and isinstance(reply.unwrap(), ConfigReply):
            found = reply.unwrap()
            self.config.adopt(found.revision, found.digest, found.content)

    async def _pull_groups(self, sender: NodeRecord, region: str) -> None:
        message = PullGroups(region, self.groups.generations.get(region, 0))
        reply = await self.pool.request(sender.address, message, PULL_TIMEOUT_S)
        if reply.is_ok() and isinstance(reply.unwrap(), GroupsReply):
            self.groups.adopt_reply(reply.unwrap())

    async def _report(self, report: GroupReport) -> bool:
        planner = self.planner_of(self.settings.region)
        if self.planner.is_leader():
            return self.planner.take_report(report)
        record = self.membership.table.find(planner)
        if record is None or planner == self.settings.node_id:
            return False
        reply = await self.pool.request(record.address, report, REPORT_TIMEOUT_S)
        return reply.is_ok()

    # Messages from other nodes.

    async def _serve(self, message: Any, channel: Channel) -> None:
        await self._handle(message, channel)

    @singledispatchmethod
    async def _handle(self, message: Any, channel: Channel) -> None:
        metrics.FRAMES_REFUSED.labels("unexpected").inc()
        await channel.send(to_refused(Failure.from_code(ResultCode.PEER_REFUSED)))

    @_handle.register
    async def _handle_dispatch(self, message: Dispatch, channel: Channel) -> None:
        await self.home.serve(message, channel)

    @_handle.register
    async def _handle_pull_config(self, message: PullConfig, channel: Channel) -> None:
        current = self.config.current
        if current is None or current.revision <= message.after_revision:
            await channel.send(ConfigReply(self.config.revision, "", b""))
            return
        reply = ConfigReply(current.revision, current.digest, current.content)
        await channel.send(reply)

    @_handle.register
    async def _handle_pull_groups(self, message: PullGroups, channel: Channel) -> None:
        reply = self.groups.changed_after(message.region, message.after_generation)
        await channel.send(reply)

    @_handle.register
    async def _handle_report(self, message: GroupReport, channel: Channel) -> None:
        if self.planner.take_report(message):
            await channel.send(Accepted())
            return
        failure = Failure.from_code(ResultCode.PEER_REFUSED, "not the planner")
        await channel.send(to_refused(failure))

    @_handle.register
    async def _handle_claims(self, message: CommitClaims, channel: Channel) -> None:
        await channel.send(await self.claims.commit_for_peer(message))

    @_handle.register
    async def _handle_status(self, message: QueryStatus, channel: Channel) -> None:
        await channel.send(self.status())

    def status(self) -> StatusReply:
        """Return what this node has in force."""
        return StatusReply(
            self.settings.node_id,
            self.config.revision,
            self.settings.region if self.planner.is_leader() else "",
            self.permits.held(),
            self.confirmed() is None and not self.leaving,
        )

    # Leaving.

    async def leave(self) -> None:
        """Give up responsibilities; requests in flight go on."""
        self.leaving = True
        log_event("node_leaving", in_flight=self.home.total_in_flight())
        self.membership.leave()
        await self.planner.close()
        self.membership.push()

    async def close(self) -> None:
        """Stop every part."""
        await self._tasks.close()
        await self.watcher.close()
        await self.planner.close()
        await self.home.close()
        await self.claims.close()
        await self.membership.close()
        await self.pool.close()
        await self.engines.close()
        await self.platform.close()
        log_event("node_stopped")

"""The parts of a node, each built from its settings and edges."""

from __future__ import annotations

import random
from typing import Protocol

import attrs

from fordhatch.config import ConfigApplier, ConfigFollower, Settings
from fordhatch.core import Timer
from fordhatch.engine import EngineClient, HttpEngineClient
from fordhatch.groups import (
    GroupMap,
    GroupWatcher,
    OrderSender,
    PermitBook,
    Planner,
    PlannerLease,
    RegionState,
    RepairFirstPolicy,
)
from fordhatch.membership import (
    ALIVE,
    Membership,
    OpenEndpoint,
    open_udp_endpoint,
)
from fordhatch.platform import (
    HttpPlatform,
    InstanceList,
    ObjectStore,
    TableService,
)
from fordhatch.protocol import PeerPool
from fordhatch.protocol.messages import GroupReport, NodeRecord
from fordhatch.routing import (
    AffinityChooser,
    ClaimBatcher,
    ClaimService,
    EntryRouter,
    HomeDispatcher,
    LoadBook,
    RetryBudget,
)


class Platform(TableService, ObjectStore, InstanceList, Protocol):
    """All that the platform gives."""

    async def close(self) -> None:
        """Close the connections."""
        ...


@attrs.frozen
class Edges:
    """A node's edges to the world, one thin client each."""

    platform: Platform
    engines: EngineClient
    pool: PeerPool
    open_endpoint: OpenEndpoint

    @classmethod
    def from_settings(cls, settings: Settings, timer: Timer) -> Edges:
        """Return the edges of a real node."""
        return cls(
            HttpPlatform.from_url(settings.platform_url),
            HttpEngineClient.from_defaults(),
            PeerPool(settings.node_id, settings.shared_key.encode(), timer),
            open_udp_endpoint,
        )


@attrs.define
class PartsBuilder:
    """Builds each part of one node; what several parts share is built once."""

    settings: Settings
    timer: Timer
    edges: Edges
    membership: Membership
    config: ConfigFollower
    groups: GroupMap
    permits: PermitBook

    @classmethod
    def from_edges(cls, settings: Settings, timer: Timer, edges: Edges) -> PartsBuilder:
        """Return a builder with the shared parts."""
        return cls(
            settings,
            timer,
            edges,
            _membership(settings, timer, edges),
            ConfigFollower(edges.platform, timer),
            GroupMap(),
            PermitBook(timer, settings.timing.permit_s),
        )

    def applier(self) -> ConfigApplier:
        """Return what accepts operators' files."""
        platform = self.edges.platform
        return ConfigApplier(platform, platform, self.config, self.timer)

    def watcher(self) -> GroupWatcher:
        """Return what watches groups; the node connects its reports."""
        return GroupWatcher(
            self.settings.node_id,
            self.settings.region,
            self.groups,
            self.membership.table,
            self.edges.engines,
            self.permits,
            self.timer,
            self.settings.timing.probe_interval_s,
            report=_nobody,
            planner_of=str,
        )

    def planner(self) -> Planner:
        """Return the node's side of planning for its region."""
        settings, edges = self.settings, self.edges
        holder = f"{settings.node_id}/{self.membership.table.own.started}"
        lease = PlannerLease(
            settings.region,
            holder,
            edges.platform,
            self.timer,
            settings.timing.planner_lease_s,
        )
        return Planner(
            settings.node_id,
            settings.region,
            RegionState(settings.region, edges.platform),
            lease,
            OrderSender(edges.engines, lease, self.timer),
            edges.platform,
            edges.engines,
            self.config,
            self.groups,
            self.membership.table,
            RepairFirstPolicy(),
            self.timer,
            settings.timing.permit_s,
        )

    def claims(self) -> ClaimService:
        """Return what makes requests run at most once."""
        limits, platform = self.settings.limits, self.edges.platform
        return ClaimService(
            self.settings.node_id,
            self.settings.region,
            platform,
            platform,
            ClaimBatcher(platform, self.timer),
            self.edges.pool,
            self.membership.table,
            self.timer,
            limits.claim_expiry_s,
            limits.max_stored_answer_bytes,
        )

    def home(self, claims: ClaimService, watcher: GroupWatcher) -> HomeDispatcher:
        """Return what dispatches requests to the groups of this node."""
        limits = self.settings.limits
        return HomeDispatcher(
            self.groups,
            self.permits,
            self.edges.engines,
            claims,
            self.timer,
            limits.max_queued_per_group,
            limits.max_queue_wait_s,
            watcher.last_status,
        )

    def entry(self, home: HomeDispatcher, claims: ClaimService) -> EntryRouter:
        """Return what routes callers' requests."""
        return EntryRouter(
            self.settings.node_id,
            self.config,
            self.groups,
            self.membership.table,
            self.edges.pool,
            home,
            claims,
            self.edges.engines,
            AffinityChooser(random.Random(self.settings.node_id)),
            LoadBook(self.timer),
            RetryBudget(self.settings.limits.retry_budget_ratio),
            self.timer,
        )


def _membership(settings: Settings, timer: Timer, edges: Edges) -> Membership:
    # A later start has a higher incarnation than everything said of an earlier one.
    started = int(timer.wall_s() * 10)
    own = NodeRecord(
        settings.node_id,
        str(settings.peers),
        settings.region,
        settings.zone,
        started,
        ALIVE,
        started,
    )
    return Membership.from_record(
        own,
        timer,
        settings.shared_key.encode(),
        seeds=settings.seeds,
        ping_interval_s=settings.timing.ping_interval_s,
        suspect_s=settings.timing.suspect_s,
        open_endpoint=edges.open_endpoint,
    )


async def _nobody(report: GroupReport) -> bool:
    return False

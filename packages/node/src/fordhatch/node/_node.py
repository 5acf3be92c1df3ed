"""A node: assembles its components and runs their life cycle.

The listeners for callers and operators are separate modules.
"""

from __future__ import annotations

import secrets
from collections.abc import Callable

import attrs

from fordhatch.adapter import StoreVersion
from fordhatch.catalog import NodeSettings
from fordhatch.core import TaskSet, Timer, log_event, metrics
from fordhatch.placement import LeaseHolderStatus, Planner, PlannerLease
from fordhatch.protocol import Channel, PeerPool
from fordhatch.protocol.messages import (
    AskPermit,
    BorrowRetries,
    CrashesSeen,
    LoadReport,
    PressureSeen,
    ProbeBackend,
    QueryContact,
    QueryDemand,
    QueryPressure,
    QueryStatus,
    RelayRequest,
    StatusReply,
    WatchTables,
)
from fordhatch.registry import (
    OPERATORS_ROW,
    ConfigurationRow,
    NodeAddress,
    ReaderChoice,
    RelayClient,
    RelayServer,
    RowRestorer,
    SharedRows,
    StoreSource,
    StoreView,
    relay_wait_s,
)
from fordhatch.serving import CollectorChoice, NodeState, RequestPath, StopPlan

from ._clients import Clients
from ._crash_gossip import CrashGossip
from ._demand_survey import DemandSurvey, demand_reply
from ._drain import Drain, Listener
from ._load_gossip import LoadGossip
from ._message_router import MessageRouter
from ._node_relays import NodeRelays
from ._outage_survey import OutageSurvey
from ._pressure_gossip import PressureGossip
from ._registration import Registration
from ._retry_lending import RetryLending

CLEANUP_INTERVAL_S = 5.0
"""Time between removals of records of departed backend servers."""

HOLDER_QUERY_TIMEOUT_S = 0.3
"""Longest wait for a reply of the lease holder; a reachable node replies within
milliseconds."""

START_ID_BYTES = 8
"""Length of the identifier of a node's start, long enough to be unique."""

FIRST_START_SPREAD_S = 1.0
"""At the first start of the whole system, nodes begin to read at random moments within
this time, so that later ones get the tables from the first ones. Traffic begins ten
seconds later."""

STORE_CALLS_LOG_INTERVAL_S = 10.0
"""Time between log lines with the number of calls to the store."""


@attrs.define(eq=False, repr=False)
class Node:
    """The components that every node has, independent of its listeners."""

    settings: NodeSettings
    timer: Timer
    clients: Clients
    view: StoreView
    relay: RelayServer
    state: NodeState
    path: RequestPath
    lease: PlannerLease
    planner: Planner
    crash_gossip: CrashGossip
    pressure_gossip: PressureGossip
    load_gossip: LoadGossip
    relays: NodeRelays
    retry_lending: RetryLending
    start_id: str
    """Identifies this start of the node; a restart gets a new one."""
    registration: Registration
    _tasks: TaskSet = attrs.field(factory=TaskSet)

    @classmethod
    def create(
        cls,
        settings: NodeSettings,
        timer: Timer,
        clients: Clients,
        configuration_row: ConfigurationRow = OPERATORS_ROW,
    ) -> Node:
        """Build a node that has not been started.

        Args:
            settings: The node's settings.
            timer: The node's timer.
            clients: Its network clients; closed with the node.
            configuration_row: The row of the store that holds its configuration.
        """
        view, relay = _view(settings, clients, timer, configuration_row)
        state = NodeState(settings.bounds, view, timer)
        state.memory.set_memory(settings.memory_mb)
        for kind, size_bytes in clients.buffers.items():
            state.memory.add_buffers(kind, size_bytes)
        path = RequestPath.create(
            node_name=settings.node_name,
            zone=settings.zone,
            state=state,
            store=clients.store,
            backends=clients.backends,
            exchange=clients.exchange,
            timer=timer,
            is_first_start=settings.is_first_start,
        )
        relays = NodeRelays.create(settings, view, clients.pool, timer, path)
        lease = PlannerLease(
            settings.node_name,
            clients.store,
            timer,
            relays.planner_candidates,
            lambda: state.is_leaving,
            lambda name: _query_holder(clients.pool, view, name),
            relays.may_plan,
        )
        planner = Planner.create(
            view,
            lease,
            clients.store,
            clients.backends,
            path.prober,
            timer,
            settings.bounds,
            is_first_start=settings.is_first_start,
            has_traffic=lambda: state.has_served,
        )
        crash_gossip = CrashGossip(
            settings.node_name, view, clients.pool, timer, path.crashes
        )
        pressure_gossip = PressureGossip(
            settings.node_name, view, clients.pool, timer, path.permits
        )
        load_gossip = LoadGossip(
            settings.node_name,
            view,
            clients.pool,
            timer,
            path.load,
            CollectorChoice(settings.node_name),
        )
        retry_lending = RetryLending(
            settings.node_name, view, clients.pool, timer, path.budget
        )
        start_id = secrets.token_hex(START_ID_BYTES)
        return cls(
            settings,
            timer,
            clients,
            view,
            relay,
            state,
            path,
            lease,
            planner,
            crash_gossip,
            pressure_gossip,
            load_gossip,
            relays,
            retry_lending,
            start_id,
            Registration(settings, start_id, clients.store, view.shared, timer),
        )

    async def start(self) -> None:
        """Start every component."""
        log_event(
            "node_started",
            zone=self.settings.zone,
            region=self.settings.region,
            first_start=self.settings.is_first_start,
        )
        await self._listen_for_nodes()
        self.view.start()
        self.crash_gossip.start()
        self.pressure_gossip.start()
        self.load_gossip.start()
        self.relays.start()
        self.retry_lending.start()
        supervise, every = self.timer.supervise, self.timer.every
        self._tasks.spawn(supervise(self.registration.run, name="register"), "register")
        self._tasks.spawn(supervise(self.lease.run, name="lease"), "lease")
        self._tasks.spawn(supervise(self.planner.run, name="planner"), "planner")
        survey = OutageSurvey(
            self.settings.node_name, self.view, self.clients.pool, self.timer
        )
        self._tasks.spawn(supervise(survey.run, name="survey"), "survey")
        demand = DemandSurvey(
            self.settings.node_name,
            self.view,
            self.clients.pool,
            self.timer,
            self.lease,
            self.path.demand,
            self.planner.demand,
        )
        self._tasks.spawn(supervise(demand.run, name="demand"), "demand")
        self._tasks.spawn(
            every(CLEANUP_INTERVAL_S, self._clean_up, name="forget"), "forget"
        )
        log_calls = every(
            STORE_CALLS_LOG_INTERVAL_S, self._log_store_calls, name="tell-calls"
        )
        self._tasks.spawn(log_calls, "tell-calls")

    async def _listen_for_nodes(self) -> None:
        shared, pool = self.view.shared, self.clients.pool

        def apply_secret() -> None:
            pool.shared_key = shared.secret

        pool.handler = self._router().answer
        shared.subscribe(apply_secret)
        host, _, port = self.settings.peer_address.rpartition(":")
        await pool.listen(host, int(port))

    def _router(self) -> MessageRouter:
        """Return the answers to the messages of other nodes."""
        return MessageRouter(
            {
                WatchTables: self.relay.serve,
                CrashesSeen: self.crash_gossip.receive,
                BorrowRetries: self.retry_lending.answer,
                AskPermit: self.pressure_gossip.answer_permit,
                PressureSeen: self.pressure_gossip.receive,
                QueryPressure: self.pressure_gossip.send_known,
                LoadReport: self.load_gossip.receive,
                QueryContact: self.relays.server.answer_query,
                ProbeBackend: self.relays.witnesses.answer,
                RelayRequest: self.relays.server.relay,
                QueryDemand: self._answer_demand,
                QueryStatus: self._answer_status,
            }
        )

    async def _answer_demand(self, _: QueryDemand, channel: Channel) -> None:
        await channel.send(demand_reply(self.path.demand))

    async def _answer_status(self, _: QueryStatus, channel: Channel) -> None:
        await channel.send(self.status())

    def status(self) -> StatusReply:
        """Return the status that this node reports to other nodes."""
        return StatusReply(
            self.settings.node_name,
            self.start_id,
            self.view.configuration.version,
            self.state.is_ready(),
            self.lease.is_held(),
            [self.lease.version.generation, self.lease.version.number],
            self.view.configuration_age_s(),
        )

    async def _clean_up(self) -> None:
        """Remove records of departed backend servers and update the gauges."""
        self.path.prune()
        self.view.directory.expire_departures()
        for (service, kind), count in self.path.permits.pressure.counts().items():
            metrics.BACKENDS_ASKING.labels(service, kind.value).set(count)

    async def _log_store_calls(self) -> None:
        calls = self.clients.store.calls
        log_event("store_calls", **{k.replace(" ", "_"): n for k, n in calls.items()})

    def apply_settings(self, settings: NodeSettings) -> None:
        """Apply the bounds of new settings; addresses stay until the next start."""
        self.settings = settings
        self.state.bounds = settings.bounds
        self.state.memory.set_memory(settings.memory_mb)
        self.path.budget.apply_bounds(settings.bounds)
        self.planner.apply_bounds(settings.bounds)
        log_event("settings_reloaded")

    async def leave(
        self,
        listener: Listener,
        *,
        listen_for_s: float,
        since_s: float | None = None,
        lateness_s: float = 0.0,
        on_plan: Callable[[StopPlan], None] = lambda _: None,
    ) -> None:
        """Take no new callers, end all requests, and release the planner lease.

        Args:
            listener: The callers' listener.
            listen_for_s: How long connections are still accepted, in seconds.
            since_s: The earliest time at which the signal to stop may have come, in
                monotonic seconds; None for now.
            lateness_s: How late the event loop has been lately, in seconds.
            on_plan: Called with the plan of the stop.
        """
        self.state.leave(since_s, lateness_s)
        on_plan(self.state.stop)
        log_event(
            "node_leaving",
            in_flight=self.state.in_flight,
            age_s=round(self.timer.now_s() - self.state.stop.since_s, 3),
            late_s=round(lateness_s, 3),
        )
        self._tasks.spawn(self.lease.release(), "release-lease")
        self._tasks.spawn(self.registration.withdraw(), "withdraw")
        # The balancer learns of it from now on, however late that is.
        listens_until_s = self.timer.now_s() + listen_for_s
        await Drain(self.state, self.timer, listener).run(listens_until_s)

    async def close(self) -> None:
        """Close every component."""
        await self._tasks.close()
        await self.crash_gossip.close()
        await self.pressure_gossip.close()
        await self.load_gossip.close()
        await self.relays.close()
        await self.retry_lending.close()
        await self.planner.close()
        await self.path.close()
        await self.view.close()
        await self.clients.close()


async def _query_holder(
    pool: PeerPool, view: StoreView, node_name: str
) -> LeaseHolderStatus | None:
    """Query the holder of the planner lease whether it still renews the lease."""
    address = view.shared.nodes.get(node_name)
    if address is None:
        return None
    answer = await pool.request(address.address, QueryStatus(), HOLDER_QUERY_TIMEOUT_S)
    reply = answer.ok()
    if not isinstance(reply, StatusReply):
        return None
    return LeaseHolderStatus(reply.is_planner, StoreVersion(*reply.lease_version))


def _view(
    settings: NodeSettings,
    clients: Clients,
    timer: Timer,
    configuration_row: ConfigurationRow,
) -> tuple[StoreView, RelayServer]:
    """Return the node's view of the store, and the relay server for other nodes."""
    shared = SharedRows(timer)

    def nodes() -> dict[str, NodeAddress]:
        return shared.nodes if shared.secret else {}

    choice = ReaderChoice(settings.node_name, settings.zone, nodes, timer)
    bounds = settings.bounds
    view = StoreView.create(
        StoreSource(clients.store),
        timer,
        shared=shared,
        configuration_row=configuration_row,
        relay=RelayClient(
            clients.pool,
            choice,
            timer,
            relay_wait_s(min(bounds.config_apply_s, bounds.evacuate_s)),
        ),
        start_spread_s=FIRST_START_SPREAD_S if settings.is_first_start else 0.0,
        row_restorer=RowRestorer(clients.store, timer),
    )
    return view, RelayServer.create(view.followers, choice)

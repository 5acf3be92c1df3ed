"""A node: every part put together, and its life. Its edges stand before it."""

from __future__ import annotations

import secrets
from collections.abc import Callable

import attrs

from fordhatch.adapter import StoreVersion
from fordhatch.catalog import NodeSettings
from fordhatch.core import Failure, ResultCode, TaskSet, Timer, log_event, metrics
from fordhatch.placement import HolderNews, Planner, PlannerLease
from fordhatch.protocol import Channel, PeerPool, to_refused
from fordhatch.protocol.messages import (
    AskPermit,
    CrashesSeen,
    PressureSeen,
    QueryDemand,
    QueryPressure,
    QueryStatus,
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
    RowKeeper,
    SharedRows,
    StoreSource,
    StoreView,
    relay_wait_s,
)
from fordhatch.serving import NodeState, RequestPath

from ._clients import Clients
from ._crash_news import CrashNews
from ._demand_survey import DemandSurvey, demand_reply
from ._outage_survey import OutageSurvey
from ._pressure_news import PressureNews
from ._registration import Registration

TERM_POLL_S = 0.05
"""How often a leaving node looks whether its last request has ended."""

GRACE_RESERVE_S = 0.6
"""A leaving node ends this much before it would be killed."""

FORGET_S = 5.0
"""How often records of backend servers that are gone are dropped."""

ASK_HOLDER_TIMEOUT_S = 0.3
"""Longest wait for the planner's node; others answer within milliseconds."""

START_ID_BYTES = 8
"""Length of the name of a node's start: enough never to come twice."""

FIRST_START_SPREAD_S = 1.0
"""At the first start of the whole system nodes begin to read within this time: those
that come later get the tables from those that came first. Traffic begins ten seconds
later."""

TELL_CALLS_S = 10.0
"""How often the calls to the store are summed up in the log."""


@attrs.define(eq=False, repr=False)
class Node:
    """The parts that every node has, whoever its callers and operators are."""

    settings: NodeSettings
    timer: Timer
    clients: Clients
    view: StoreView
    relay: RelayServer
    state: NodeState
    path: RequestPath
    lease: PlannerLease
    planner: Planner
    news: CrashNews
    pressure: PressureNews
    start_id: str
    """Names this start of the node; a restarted one has another."""
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
            clients: How it reaches others; closed with the node.
            configuration_row: Where its configuration lies.
        """
        view, relay = _view(settings, clients, timer, configuration_row)
        state = NodeState(settings.bounds, view, timer)
        path = RequestPath.create(
            node_name=settings.node_name,
            zone=settings.zone,
            state=state,
            store=clients.store,
            backends=clients.backends,
            exchange=clients.exchange,
            timer=timer,
        )
        lease = PlannerLease(
            settings.node_name,
            clients.store,
            timer,
            lambda: set(view.shared.nodes),
            lambda: state.is_leaving,
            lambda name: _ask_holder(clients.pool, view, name),
        )
        planner = Planner.create(
            view,
            lease,
            clients.store,
            clients.backends,
            timer,
            settings.bounds,
            is_first_start=settings.is_first_start,
            has_traffic=lambda: state.has_served,
        )
        news = CrashNews(settings.node_name, view, clients.pool, timer, path.crashes)
        pressure = PressureNews(
            settings.node_name, view, clients.pool, timer, path.permits
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
            news,
            pressure,
            start_id,
            Registration(settings, start_id, clients.store, view.shared, timer),
        )

    async def start(self) -> None:
        """Start every part."""
        log_event(
            "node_started",
            zone=self.settings.zone,
            region=self.settings.region,
            first_start=self.settings.is_first_start,
        )
        await self._listen_for_nodes()
        self.view.start()
        self.news.start()
        self.pressure.start()
        keep, every = self.timer.keep, self.timer.every
        self._tasks.spawn(keep(self.registration.run, name="register"), "register")
        self._tasks.spawn(keep(self.lease.run, name="lease"), "lease")
        self._tasks.spawn(keep(self.planner.run, name="planner"), "planner")
        survey = OutageSurvey(
            self.settings.node_name, self.view, self.clients.pool, self.timer
        )
        self._tasks.spawn(keep(survey.run, name="survey"), "survey")
        demand = DemandSurvey(
            self.settings.node_name,
            self.view,
            self.clients.pool,
            self.timer,
            self.lease,
            self.path.demand,
            self.planner.demand,
        )
        self._tasks.spawn(keep(demand.run, name="demand"), "demand")
        self._tasks.spawn(every(FORGET_S, self._forget_gone, name="forget"), "forget")
        tell = every(TELL_CALLS_S, self._tell_calls, name="tell-calls")
        self._tasks.spawn(tell, "tell-calls")

    async def _listen_for_nodes(self) -> None:
        shared, pool = self.view.shared, self.clients.pool

        def take_secret() -> None:
            pool.shared_key = shared.secret

        pool.handler = self._answer_node
        shared.subscribe(take_secret)
        host, _, port = self.settings.peer_address.rpartition(":")
        await pool.listen(host, int(port))

    async def _answer_node(self, message: object, channel: Channel) -> None:
        """Answer another node."""
        match message:
            case WatchTables():
                await self.relay.serve(message, channel)
            case CrashesSeen():
                await self.news.take(message, channel)
            case AskPermit():
                await self.pressure.answer(message, channel)
            case PressureSeen():
                await self.pressure.take(message, channel)
            case QueryPressure():
                await self.pressure.tell_known(channel)
            case QueryDemand():
                await channel.send(demand_reply(self.path.demand))
            case QueryStatus():
                await channel.send(self.status())
            case _:
                failure = Failure.from_code(ResultCode.PEER_REFUSED)
                await channel.send(to_refused(failure))

    def status(self) -> StatusReply:
        """Return what this node tells others of itself."""
        return StatusReply(
            self.settings.node_name,
            self.start_id,
            self.view.configuration.version,
            self.state.is_ready(),
            self.lease.is_held(),
            [self.lease.version.generation, self.lease.version.number],
            self.view.configuration_age_s(),
        )

    async def _forget_gone(self) -> None:
        self.path.forget_gone()
        self.view.directory.forget_departures()
        for (service, kind), asking in self.path.permits.pressure.counts().items():
            metrics.BACKENDS_ASKING.labels(service, kind.value).set(asking)

    async def _tell_calls(self) -> None:
        calls = self.clients.store.calls
        log_event("store_calls", **{k.replace(" ", "_"): n for k, n in calls.items()})

    def take_settings(self, settings: NodeSettings) -> None:
        """Take the bounds of new settings; addresses hold until the next start."""
        self.settings = settings
        self.state.bounds = settings.bounds
        self.path.budget.bounds = settings.bounds
        self.planner.take_bounds(settings.bounds)
        log_event("settings_reloaded")

    async def leave(
        self, stop_listening: Callable[[], None], *, listen_for_s: float
    ) -> None:
        """Take no new callers, finish what was taken on, hand the duty on.

        Args:
            stop_listening: Closes the callers' listener; open connections go on.
            listen_for_s: How long callers may still arrive, in seconds.
        """
        self.state.leave()
        log_event("node_leaving", in_flight=self.state.in_flight)
        await self.lease.release()
        self._tasks.spawn(self.registration.withdraw(), "withdraw")
        await self.timer.sleep(listen_for_s)
        stop_listening()
        grace_s = self.settings.bounds.grace_s - GRACE_RESERVE_S
        last_s = self.state.leaving_since_s + grace_s
        while self.state.in_flight and self.timer.now_s() < last_s:
            await self.timer.sleep(TERM_POLL_S)
        log_event("node_left", in_flight=self.state.in_flight)

    async def close(self) -> None:
        """End every part."""
        await self._tasks.close()
        await self.news.close()
        await self.pressure.close()
        await self.planner.close()
        await self.path.close()
        await self.view.close()
        await self.clients.close()


async def _ask_holder(
    pool: PeerPool, view: StoreView, node_name: str
) -> HolderNews | None:
    """Ask the node that has the planner's lease whether it goes on renewing it."""
    address = view.shared.nodes.get(node_name)
    if address is None:
        return None
    asked = await pool.request(address.address, QueryStatus(), ASK_HOLDER_TIMEOUT_S)
    reply = asked.ok()
    if not isinstance(reply, StatusReply):
        return None
    return HolderNews(reply.is_planner, StoreVersion(*reply.lease_version))


def _view(
    settings: NodeSettings,
    clients: Clients,
    timer: Timer,
    configuration_row: ConfigurationRow,
) -> tuple[StoreView, RelayServer]:
    """Return the node's view of the store, and what passes it on to others."""
    shared = SharedRows(timer)

    def nodes() -> dict[str, NodeAddress]:
        return shared.nodes if shared.secret else {}

    choice = ReaderChoice(settings.node_name, settings.zone, nodes, timer)
    view = StoreView.create(
        StoreSource(clients.store),
        timer,
        shared=shared,
        configuration_row=configuration_row,
        relay=RelayClient(
            clients.pool, choice, timer, relay_wait_s(settings.bounds.config_apply_s)
        ),
        begin_spread_s=FIRST_START_SPREAD_S if settings.is_first_start else 0.0,
        keeper=RowKeeper(clients.store, timer),
    )
    return view, RelayServer.create(view.followers, choice)

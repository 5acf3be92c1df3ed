"""A node on the users' platform: every part put together."""

from __future__ import annotations

import secrets
from pathlib import Path

import attrs
from aiohttp import web

from fordhatch.adapter import (
    READY_PATH,
    BackendClient,
    DecodeError,
    RowKey,
    StoreClient,
    decode_settings,
)
from fordhatch.catalog import NodeSettings
from fordhatch.core import Failure, ResultCode, TaskSet, Timer, log_event, metrics
from fordhatch.placement import Planner, PlannerLease
from fordhatch.protocol import Channel, PeerPool, to_refused
from fordhatch.protocol.messages import WatchTable
from fordhatch.registry import (
    SECRET_KEY,
    SHARED_TABLE,
    NodeAddress,
    ReaderChoice,
    RelayServer,
    RelaySource,
    StoreSource,
    StoreView,
    node_key,
    node_value,
)
from fordhatch.serving import (
    Admission,
    BackendHealth,
    CallerServer,
    ExchangeClient,
    GroupProgress,
    HeadChoice,
    HttpServer,
    NodeState,
    PlainCalls,
    RepeatBudget,
    StallWatch,
    StreamCalls,
)

METRICS_PORT = 9464
"""Port of the metrics page on every node; the deploy file names it as well."""

METRICS_PATH = "/metrics"

REGISTER_TIMEOUT_S = 1.0
"""Longest wait for the store to take the node's own row."""

SECRET_BYTES = 32
"""Length of the key that nodes share."""

REGISTER_RETRY_S = 0.5
"""Pause between tries to write the node's own row."""

SETTINGS_LOOK_S = 1.0
"""How often the settings file is compared: it may change without a signal."""

LISTEN_AFTER_TERM_S = 3.2
"""A leaving node still accepts connections for this long: the balancer asks once a
second and takes a node out after two misses."""

TERM_POLL_S = 0.05
"""How often a leaving node looks whether its last request has ended."""

GRACE_RESERVE_S = 0.6
"""A leaving node ends this much before it would be killed."""

FORGET_S = 5.0
"""How often records of backend servers that are gone are dropped."""


@attrs.define(eq=False)
class Node:
    """One node, from its settings."""

    settings: NodeSettings
    timer: Timer
    store: StoreClient
    pool: PeerPool
    backends: BackendClient
    exchange: ExchangeClient
    view: StoreView
    state: NodeState
    budget: RepeatBudget
    health: BackendHealth
    stalls: StallWatch
    lease: PlannerLease
    planner: Planner
    callers: CallerServer
    settings_text: str = ""
    """The settings file as it was last read."""
    _servers: list[HttpServer] = attrs.field(factory=list)
    _tasks: TaskSet = attrs.field(factory=TaskSet)

    @classmethod
    def from_settings(cls, settings: NodeSettings) -> Node:
        """Build a node that has not been started; a running loop is needed."""
        timer = Timer.from_seed(settings.node_name)
        store = StoreClient.from_address(settings.store.address)
        backends = BackendClient.create()
        exchange = ExchangeClient.from_timer(timer)
        pool = PeerPool(settings.node_name, b"", timer)
        view = _view(settings, store, pool, timer)
        state = NodeState(settings.bounds, view, timer)
        health = BackendHealth(timer)
        budget = RepeatBudget(settings.bounds, timer, lambda: len(view.shared.nodes))
        stalls = StallWatch(settings.node_name, timer, store, view.shared)
        admission = Admission.from_state(state, timer)
        lease = PlannerLease(
            settings.node_name,
            store,
            timer,
            lambda: set(view.shared.nodes),
            lambda: state.is_leaving,
        )
        planner = Planner.create(
            view,
            lease,
            store,
            backends,
            timer,
            settings.bounds,
            is_first_start=settings.is_first_start,
            has_traffic=lambda: state.has_served,
        )
        choice = HeadChoice(settings.zone, view.directory, health, stalls, timer.rng)
        streams = StreamCalls.create(
            view.directory,
            timer=timer,
            health=health,
            progress=GroupProgress(timer),
            stalls=stalls,
            choice=choice,
            budget=budget,
            exchange=exchange,
            admission=admission,
        )
        plain = PlainCalls(
            settings.zone,
            timer,
            timer.rng,
            view.directory,
            health,
            budget,
            exchange,
            admission,
        )
        callers = CallerServer(state, admission, budget, streams, plain, timer)
        return cls(
            settings,
            timer,
            store,
            pool,
            backends,
            exchange,
            view,
            state,
            budget,
            health,
            stalls,
            lease,
            planner,
            callers,
        )

    async def start(self) -> None:
        """Listen and start every part."""
        log_event(
            "node_started",
            zone=self.settings.zone,
            region=self.settings.region,
            first_start=self.settings.is_first_start,
        )
        await self._listen_for_nodes()
        self.view.start()
        await self._listen(self.settings.ready_address, self._answer_ready)
        metrics_address = f"{self.settings.instance_address}:{METRICS_PORT}"
        await self._listen(metrics_address, self._answer_metrics)
        await self._listen(self.settings.caller_address, self.callers.handle)
        self._tasks.spawn(self._register(), "register")
        keep, every = self.timer.keep, self.timer.every
        self._tasks.spawn(keep(self.lease.run, name="lease"), "lease")
        self._tasks.spawn(keep(self.planner.run, name="planner"), "planner")
        self._tasks.spawn(every(FORGET_S, self._forget_gone, name="forget"), "forget")
        log_event("listening", callers=self.settings.caller_address)

    async def _listen(self, address: str, handler: object) -> None:
        self._servers.append(await HttpServer.listen(address, handler))

    async def _listen_for_nodes(self) -> None:
        shared = self.view.shared
        relay = RelayServer(self.view.followers)

        async def serve(message: object, channel: Channel) -> None:
            if isinstance(message, WatchTable):
                await relay.serve(message, channel)
            else:
                failure = Failure.from_code(ResultCode.PEER_REFUSED)
                await channel.send(to_refused(failure))

        def take_secret() -> None:
            self.pool.shared_key = shared.secret

        self.pool.handler = serve
        shared.subscribe(take_secret)
        port = self.settings.port_range[0]
        await self.pool.listen(self.settings.instance_address, port)

    async def _register(self) -> None:
        """Write the node's own row, and the shared secret if there is none."""
        own = RowKey(SHARED_TABLE, node_key(self.settings.node_name))
        port = self.settings.port_range[0]
        address = f"{self.settings.instance_address}:{port}"
        value = node_value(address, self.settings.zone)
        await self._write_until_done({}, {own: value})
        secret = RowKey(SHARED_TABLE, SECRET_KEY)
        if not self.view.shared.secret:
            proposal = secrets.token_bytes(SECRET_BYTES)
            await self._write_until_done({secret: 0}, {secret: proposal})

    async def _write_until_done(
        self, expected: dict[RowKey, int], puts: dict[RowKey, bytes]
    ) -> None:
        while True:
            written = await self.store.write(
                expected, puts, timeout_s=REGISTER_TIMEOUT_S
            )
            if written.is_ok():
                return
            log_event("node_not_registered", error=written.err().message)
            await self.timer.sleep(self.timer.jittered(REGISTER_RETRY_S))

    async def _forget_gone(self) -> None:
        backends = self.view.directory.backends
        self.health.keep_only(set(backends))
        places = {b.membership.key for b in backends.values() if b.membership}
        self.stalls.keep_only(places)

    async def _answer_ready(self, request: web.BaseRequest) -> web.Response:
        if request.raw_path != READY_PATH:
            return web.Response(status=404)
        return web.Response(status=200 if self.state.is_ready() else 503)

    async def _answer_metrics(self, request: web.BaseRequest) -> web.Response:
        if request.raw_path != METRICS_PATH:
            return web.Response(status=404)
        self._measure()
        return web.Response(body=metrics.render_metrics(), content_type="text/plain")

    def _measure(self) -> None:
        """Bring the gauges up to date, just before they are read."""
        view = self.view
        metrics.CONFIGURATION_VERSION.set(view.configuration.version)
        metrics.CONFIGURATION_AGE_SECONDS.set(view.configuration_age_s())
        backends = view.directory.backends.values()
        metrics.OPEN_GROUPS.set(sum(b.is_open_head for b in backends))
        engines = [b for b in backends if b.domain]
        metrics.STRANDED_BACKENDS.set(sum(b.membership is None for b in engines))

    # Settings that change.

    async def watch_settings(self, path: Path) -> None:
        """Take changes of the settings file until cancelled."""
        while True:
            await self.timer.sleep(SETTINGS_LOOK_S)
            self.reload(path)

    def reload(self, path: Path) -> None:
        """Take the settings file if it has changed."""
        try:
            found = path.read_text()
        except OSError as error:
            log_event("settings_unreadable", error=repr(error))
            return
        if found == self.settings_text:
            return
        self.settings_text = found
        try:
            self._apply(decode_settings(found))
        except DecodeError as error:
            log_event("settings_refused", error=str(error))

    def _apply(self, settings: NodeSettings) -> None:
        """Take the bounds of new settings; addresses hold until the next start."""
        self.settings = settings
        self.state.bounds = settings.bounds
        self.budget.bounds = settings.bounds
        self.planner.take_bounds(settings.bounds)
        log_event("settings_reloaded")

    # The end.

    async def leave(self) -> None:
        """Take no new callers, finish what was taken on, hand the duty on."""
        began_s = self.timer.now_s()
        self.state.is_leaving = True
        self.callers.leaving_since_s = began_s
        log_event("node_leaving", in_flight=self.state.in_flight)
        await self.lease.release()
        await self.timer.sleep(LISTEN_AFTER_TERM_S)
        self._servers[-1].stop_listening()
        last_s = began_s + self.settings.bounds.grace_s - GRACE_RESERVE_S
        while self.state.in_flight and self.timer.now_s() < last_s:
            await self.timer.sleep(TERM_POLL_S)
        log_event("node_left", in_flight=self.state.in_flight)

    async def close(self) -> None:
        """End every part."""
        for server in self._servers:
            await server.close()
        await self._tasks.close()
        await self.planner.close()
        await self.stalls.close()
        await self.view.close()
        await self.pool.close()
        await self.exchange.close()
        await self.backends.close()
        await self.store.close()


def _view(
    settings: NodeSettings, store: StoreClient, pool: PeerPool, timer: Timer
) -> StoreView:
    """Return the node's view of the store, which other nodes may read for it."""

    def nodes() -> dict[str, NodeAddress]:
        return view.shared.nodes if view.shared.secret else {}

    choice = ReaderChoice(settings.node_name, settings.zone, nodes, timer)
    source = RelaySource(StoreSource(store), pool, choice)
    view = StoreView.from_source(source, timer)
    return view

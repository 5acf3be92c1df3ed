"""Construction of a node's request path."""

from __future__ import annotations

import attrs

from fordhatch.adapter import BackendClient, StoreClient
from fordhatch.core import Timer
from fordhatch.registry import BackendContact, BackendProber

from ._admission import Admission
from ._admission_control import AdmissionControl
from ._dispatch import Dispatch
from ._node_state import NodeState
from .crashes import CrashRowWriter, CrashWatch
from .exchange import AnswerEndCheck, BackendExchange, ExchangeClient, HeldAnswers
from .groups import BackendHealth, GroupProgress, HeadChoice, ModelLoad, StallWatch
from .limits import BackpressureTracker, ColdBackends, PermitIssuer, Permits
from .load import DemandMeter, SharedLoad
from .plain import AnswerPassing, BackendChoice, PlainCalls, PlainRuns
from .retries import RetryBudget
from .streams import SilenceWatch, StreamCalls, StreamRuns


@attrs.define(eq=False, repr=False)
class RequestPath:
    """One node's request path, from admission to the exchange with backend servers.

    Servers for callers are built on top of it.
    """

    state: NodeState
    admission: Admission
    dispatch: Dispatch
    budget: RetryBudget
    health: BackendHealth
    stalls: StallWatch
    crashes: CrashWatch
    permits: Permits
    demand: DemandMeter
    control: AdmissionControl
    load: SharedLoad
    contact: BackendContact
    prober: BackendProber
    exchange: BackendExchange

    @classmethod
    def create(
        cls,
        *,
        node_name: str,
        zone: str,
        state: NodeState,
        store: StoreClient,
        backends: BackendClient,
        exchange: ExchangeClient,
        timer: Timer,
        is_first_start: bool = False,
    ) -> RequestPath:
        """Create the request path of a node.

        Args:
            node_name: The node's name, for reports to other nodes.
            zone: The node's availability zone; groups there are preferred.
            state: The node's state and its view of the store.
            store: Stores the rows about lost and slow members and about crashes.
            backends: Queries the members of silent groups.
            exchange: Sends requests to backend servers.
            timer: The node's timer.
            is_first_start: Whether no node of the system has run before.
        """
        view = state.view
        health = BackendHealth(timer)
        contact = BackendContact(timer, view.directory)
        prober = BackendProber(backends, contact, timer)
        ends = AnswerEndCheck(prober, timer, lambda: view.configuration.current)
        routed = BackendExchange(exchange, contact, prober, timer, ends)
        cold = ColdBackends(timer, view.directory, lambda: state.bounds)
        cold.connect(view.configuration, backends)
        view.evacuations.subscribe_returns(cold.presume_zone_cold)
        pressure = BackpressureTracker(timer, view.directory, cold)
        permits = Permits(
            node_name,
            timer,
            pressure,
            PermitIssuer(node_name, timer.rng),
            lambda: view.shared.nodes,
        )

        def node_count() -> int:
            return len(view.shared.nodes)

        budget = RetryBudget.from_bounds(
            node_name, timer, state.bounds, store, is_first_start=is_first_start
        )
        stalls = StallWatch(
            node_name, timer, store, prober, view.shared, view.directory
        )
        crashes = CrashWatch(
            node_name, timer, prober, view.shared, CrashRowWriter(store, timer)
        )
        admission = Admission.from_state(state, timer, crashes.quarantine, pressure)
        load = SharedLoad.from_configuration(timer, view.configuration)
        choice = HeadChoice(
            zone, view.directory, health, stalls, pressure, timer.rng, node_count, load
        )
        progress = GroupProgress(timer)
        held = HeldAnswers(state.memory)
        silence = SilenceWatch(
            timer,
            progress,
            stalls,
            choice,
            load,
            admission.recheck,
            budget.has_left,
        )
        runs = StreamRuns(
            timer,
            health,
            progress,
            stalls,
            silence,
            routed,
            crashes,
            pressure,
            load,
            held,
        )
        demand = DemandMeter(timer)
        control = AdmissionControl(
            timer,
            view.configuration,
            ModelLoad(timer, view.directory, choice, node_count, load),
        )
        streams = StreamCalls.create(
            view.directory,
            timer=timer,
            choice=choice,
            budget=budget,
            admission=admission,
            runs=runs,
            permits=permits,
            crashes=crashes,
            demand=demand,
            control=control,
        )
        plain_runs = PlainRuns(
            timer,
            health,
            routed,
            crashes,
            pressure,
            load,
            AnswerPassing(timer, routed),
        )
        plain = PlainCalls.create(
            timer=timer,
            directory=view.directory,
            health=health,
            budget=budget,
            admission=admission,
            crashes=crashes,
            permits=permits,
            choice=BackendChoice(
                zone, view.directory, health, pressure, load, timer.rng
            ),
            held=held,
            runs=plain_runs,
        )
        dispatch = Dispatch(state, budget, streams, plain, timer, crashes)
        return cls(
            state,
            admission,
            dispatch,
            budget,
            health,
            stalls,
            crashes,
            permits,
            demand,
            control,
            load,
            contact,
            prober,
            routed,
        )

    def prune(self) -> None:
        """Drop the state of backend servers and groups that no longer exist."""
        backends = self.state.view.directory.backends
        self.health.keep_only(set(backends))
        self.permits.keep_only(set(backends))
        places = {b.membership.key for b in backends.values() if b.membership}
        self.stalls.keep_only(places)
        self.crashes.prune()
        self.contact.keep_only({b.service for b in backends.values()})

    async def close(self) -> None:
        """Cancel background tasks."""
        await self.budget.close()
        await self.control.close()
        await self.stalls.close()
        await self.crashes.close()
        await self.exchange.close()

"""Model engine that joins groups, in memory."""

from __future__ import annotations

import asyncio
import json
import math
from collections.abc import Callable

import attrs

from fordhatch.adapter import GroupOrder, OrderKind
from fordhatch.catalog import GroupMembership, MemberState

from ._entries import entry_fields
from ._stand_still import StandStill

REJOIN_S = 0.2
REPORT_LAG_S = 0.2
"""How old the values of a report are."""

BEGUN, DONE, CONFLICT, OUTDATED = 202, 200, 409, 412


@attrs.frozen
class ModelTimes:
    """Group size and load times of a model, as seen by the engines."""

    size: int
    load_s: float
    warm_s: float


@attrs.define
class Place:
    """Membership of an engine in a group."""

    group: str
    epoch: int
    rank: int
    model: str
    members: tuple[str, ...]
    state: str = "joining"


@attrs.define(eq=False, repr=False)
class EngineModel:
    """An engine: its place, the models staged on its host, and order handling."""

    backend_id: str
    address: str
    zone: str
    domain: str
    models: dict[str, ModelTimes]
    form_s: float
    on_change: Callable[[EngineModel], None]
    on_load: Callable[[EngineModel], None]
    service: str = "llm"
    state: str = "ready"
    staged: list[str] = attrs.field(factory=list)
    keeps: int = 1
    last_model: str = ""
    place: Place | None = None
    highest_epoch: int = 0
    is_dead: bool = False
    is_listed: bool = True
    """Whether the engine publishes its entry in the store."""
    ready_as: set[tuple[str, int, tuple[str, ...]]] = attrs.field(factory=set)
    """Every group, epoch and member list in which the engine has been ready."""
    loading_until_s: float = 0.0
    """End of the latest load of weights, on the event loop's clock."""
    slow_factor: float = 1.0
    """Factor by which the engine is slower than normal."""
    is_stalled: bool = False
    """Whether the engine, as a head, makes no progress because a member is missing."""
    checks_fencing: bool = False
    """Whether orders with a fencing token below the highest one seen are refused."""
    highest_token: int = 0
    orders: int = 0
    """Number of orders that it has begun."""
    born_ms: int = 0
    """Start time in Unix milliseconds; 0 if the engine does not report it."""
    ready_before: set[tuple[str, int, tuple[str, ...]]] = attrs.field(factory=set)
    """Values of ``ready_as`` from earlier starts under the same id."""
    still_until_s: float = -math.inf
    """Until when the engine stands still: the host accepts connections for it, and it
    reads what was sent when it goes on. On the event loop's clock."""
    failed_reports: float = 0.0
    """Fraction of its reports that are answered with a server error."""
    cold_until_s: float = -math.inf
    """When the engine becomes warm, on the event loop's clock."""
    tells_cold: bool = True
    """Whether the entry reports the coldness."""
    version: str = "v1"
    """Version of the engine's software."""
    stand_still: StandStill = attrs.field(factory=StandStill)
    _order_times_s: list[float] = attrs.field(factory=list)
    _changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def stop_reading(self, for_s: float) -> None:
        """Let the engine read nothing for a while, in seconds."""
        self.still_until_s = asyncio.get_running_loop().time() + for_s

    async def until_it_reads(self, timeout_s: float) -> bool:
        """Wait while the engine stands still; return whether it went on in time.

        Args:
            timeout_s: Longest wait, in seconds.
        """
        left_s = self.still_until_s - asyncio.get_running_loop().time()
        await asyncio.sleep(min(max(left_s, 0.0), timeout_s))
        return left_s <= timeout_s

    def cold_left_s(self) -> float:
        """Return the time until the engine becomes warm, in seconds; 0 if it is."""
        return max(self.cold_until_s - asyncio.get_running_loop().time(), 0.0)

    def membership(self) -> GroupMembership | None:
        """Return the engine's group, as its report names it."""
        place = self.place
        if place is None:
            return None
        state = MemberState(place.state)
        return GroupMembership(place.group, place.epoch, place.rank, state)

    def entry(self) -> bytes:
        """Return the engine's entry for the store."""
        data = entry_fields(
            self.service,
            self.address,
            zone=self.zone,
            version=self.version,
            state=self.state,
            domain=self.domain,
            staged=list(self.staged),
            models=[],
            group=None,
        )
        if self.tells_cold and self.cold_until_s > -math.inf:
            data["cold-left-ms"] = round(1000.0 * self.cold_left_s())
        if self.born_ms:
            data["born"] = self.born_ms
        if self.place is not None:
            data["group"] = {
                "name": self.place.group,
                "epoch": self.place.epoch,
                "rank": self.place.rank,
                "state": self.place.state,
            }
        return json.dumps(data).encode()

    def take(self, order: GroupOrder) -> int:
        """Execute an order and return the status of the answer."""
        if self.checks_fencing and order.fencing_token < self.highest_token:
            return OUTDATED
        self.highest_token = max(self.highest_token, order.fencing_token)
        if order.expected_orders not in (None, self.orders):
            return CONFLICT
        status = self._carry_out(order)
        if status == BEGUN:
            self.orders += 1
            self._order_times_s.append(asyncio.get_running_loop().time())
        return status

    def reported_orders(self) -> int:
        """Return the number of orders begun, as a report has it some time later."""
        until_s = asyncio.get_running_loop().time() - REPORT_LAG_S
        return sum(begun_s <= until_s for begun_s in self._order_times_s)

    def _carry_out(self, order: GroupOrder) -> int:
        match order.kind:
            case OrderKind.JOIN:
                return self._join(order)
            case OrderKind.STAGE:
                return self._stage(order.model)
            case _:
                return self._apply_to_group(order)

    def _join(self, order: GroupOrder) -> int:
        place = self.place
        if place is not None and place.group == order.group:
            same = place.epoch == order.epoch
            if same and place.members == order.members:
                return DONE
            if same:
                return OUTDATED
        if order.epoch < self.highest_epoch:
            return OUTDATED
        self.highest_epoch = order.epoch
        rank = order.members.index(self.backend_id)
        self.wake_waiters()
        self.place = Place(order.group, order.epoch, rank, order.model, order.members)
        self._schedule(self._join_time_s(order.model), self._finish_join, self.place)
        self.on_change(self)
        return BEGUN

    def _join_time_s(self, model: str) -> float:
        if self.last_model == model:
            return REJOIN_S
        if model in self.staged:
            return self.models[model].warm_s
        self._begin_load(model)
        return self.models[model].load_s

    def _begin_load(self, model: str) -> None:
        now_s = asyncio.get_running_loop().time()
        self.loading_until_s = now_s + self.models[model].load_s
        self.on_load(self)

    def _schedule(self, delay_s: float, call: Callable, *args: object) -> None:
        asyncio.get_running_loop().call_later(delay_s, call, *args)

    def _finish_join(self, place: Place) -> None:
        if self.place is not place or self.is_dead:
            return
        place.state = "ready"
        self.last_model = place.model
        self._add_staged(place.model)
        self.ready_as.add((place.group, place.epoch, place.members))
        self.on_change(self)

    def _add_staged(self, model: str) -> None:
        if model not in self.staged:
            self.staged.append(model)
            del self.staged[: -self.keeps]

    def _stage(self, model: str) -> int:
        if model in self.staged:
            return DONE
        self._begin_load(model)
        self._schedule(self.models[model].load_s, self._finish_stage, model)
        return BEGUN

    def _finish_stage(self, model: str) -> None:
        if not self.is_dead:
            self._add_staged(model)
            self.on_change(self)

    def _apply_to_group(self, order: GroupOrder) -> int:
        place = self.place
        if place is None or (place.group, place.epoch) != (order.group, order.epoch):
            # An engine without a place in the group counts as having left it.
            return DONE if order.kind is OrderKind.LEAVE else CONFLICT
        if order.kind is OrderKind.LEAVE:
            self.place = None
            self.wake_waiters()
        elif order.kind is OrderKind.CLOSE:
            place.state = "ready"
        elif place.state == "open":
            return DONE
        elif place.state != "ready" or place.rank != 0:
            return CONFLICT
        else:
            self._schedule(self.form_s, self._finish_open, place)
            return BEGUN
        self.on_change(self)
        return DONE

    def _finish_open(self, place: Place) -> None:
        if self.place is place and not self.is_dead and place.state == "ready":
            place.state = "open"
            self.is_stalled = False
            self.on_change(self)

    @property
    def serves(self) -> bool:
        """Whether the engine accepts requests, as the head of an open group."""
        place = self.place
        is_head = place is not None and place.rank == 0 and place.state == "open"
        return is_head and not self.is_dead

    def stall(self, stall_s: float) -> None:
        """Stop making progress; the group breaks after ``stall_s`` seconds.

        A head does so when it has lost a member.
        """
        place = self.place
        if place is not None and place.state == "open":
            self.is_stalled = True
            self._schedule(stall_s, self._mark_broken, place)

    def _mark_broken(self, place: Place) -> None:
        if self.place is place and not self.is_dead and place.state == "open":
            place.state = "broken"
            self.wake_waiters()
            self.on_change(self)

    def wake_waiters(self) -> None:
        """Wake all callers of ``wait_for_change``."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_change(self) -> None:
        """Wait until the engine changes its place, breaks or terminates."""
        await self._changed.wait()

"""One model engine that takes a place in groups, in memory."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable

import attrs

from fordhatch.adapter import GroupOrder, OrderKind

from ._entries import entry_fields

REJOIN_S = 0.2
BEGUN, DONE, UNFIT, TOO_OLD = 202, 200, 409, 412


@attrs.frozen
class ModelTimes:
    """A model as the engines know it."""

    size: int
    load_s: float
    warm_s: float


@attrs.define
class Place:
    """A place in a group."""

    group: str
    epoch: int
    rank: int
    model: str
    members: tuple[str, ...]
    state: str = "joining"


@attrs.define(eq=False, repr=False)
class EngineModel:
    """An engine: its place, what is staged on its host, and its orders."""

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
    """Whether the store hears of it."""
    ready_as: set[tuple[str, int, tuple[str, ...]]] = attrs.field(factory=set)
    """Every group, epoch and list under which it has been ready."""
    loading_until_s: float = 0.0
    """End of the load of weights that is under way, if any."""
    slow_factor: float = 1.0
    """How many times slower than usual it works."""
    is_still: bool = False
    """As a head: a member is missing, and nothing moves."""
    checks_fencing: bool = False
    """Whether orders with a lower fencing token than one seen before are refused."""
    highest_token: int = 0
    born_ms: int = 0
    """Unix milliseconds of its start; 0 where it does not tell."""
    ready_before: set[tuple[str, int, tuple[str, ...]]] = attrs.field(factory=set)
    """The same for earlier starts under its id."""
    _moved: asyncio.Event = attrs.field(factory=asyncio.Event)

    def entry(self) -> bytes:
        """Return its entry in the store."""
        data = entry_fields(
            self.service,
            self.address,
            zone=self.zone,
            state=self.state,
            domain=self.domain,
            staged=list(self.staged),
            models=[],
            group=None,
        )
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
        """Carry out an order; returns the status of the answer."""
        if self.checks_fencing and order.fencing_token < self.highest_token:
            return TOO_OLD
        self.highest_token = max(self.highest_token, order.fencing_token)
        match order.kind:
            case OrderKind.JOIN:
                return self._join(order)
            case OrderKind.STAGE:
                return self._stage(order.model)
            case _:
                return self._of_group(order)

    def _join(self, order: GroupOrder) -> int:
        place = self.place
        if place is not None and place.group == order.group:
            same = place.epoch == order.epoch
            if same and place.members == order.members:
                return DONE
            if same:
                return TOO_OLD
        if order.epoch < self.highest_epoch:
            return TOO_OLD
        self.highest_epoch = order.epoch
        rank = order.members.index(self.backend_id)
        self.note_move()
        self.place = Place(order.group, order.epoch, rank, order.model, order.members)
        self._later(self._join_time_s(order.model), self._joined, self.place)
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

    def _later(self, delay_s: float, call: Callable, *args: object) -> None:
        asyncio.get_running_loop().call_later(delay_s, call, *args)

    def _joined(self, place: Place) -> None:
        if self.place is not place or self.is_dead:
            return
        place.state = "ready"
        self.last_model = place.model
        self._put_on_host(place.model)
        self.ready_as.add((place.group, place.epoch, place.members))
        self.on_change(self)

    def _put_on_host(self, model: str) -> None:
        if model not in self.staged:
            self.staged.append(model)
            del self.staged[: -self.keeps]

    def _stage(self, model: str) -> int:
        if model in self.staged:
            return DONE
        self._begin_load(model)
        self._later(self.models[model].load_s, self._is_staged, model)
        return BEGUN

    def _is_staged(self, model: str) -> None:
        if not self.is_dead:
            self._put_on_host(model)
            self.on_change(self)

    def _of_group(self, order: GroupOrder) -> int:
        place = self.place
        if place is None or (place.group, place.epoch) != (order.group, order.epoch):
            # Whoever has no place in a group has left it.
            return DONE if order.kind is OrderKind.LEAVE else UNFIT
        if order.kind is OrderKind.LEAVE:
            self.place = None
            self.note_move()
        elif order.kind is OrderKind.CLOSE:
            place.state = "ready"
        elif place.state == "open":
            return DONE
        elif place.state != "ready" or place.rank != 0:
            return UNFIT
        else:
            self._later(self.form_s, self._opened, place)
            return BEGUN
        self.on_change(self)
        return DONE

    def _opened(self, place: Place) -> None:
        if self.place is place and not self.is_dead and place.state == "ready":
            place.state = "open"
            self.is_still = False
            self.on_change(self)

    @property
    def serves(self) -> bool:
        """Whether it takes requests now, as the head of an open group."""
        place = self.place
        is_head = place is not None and place.rank == 0 and place.state == "open"
        return is_head and not self.is_dead

    def stand_still(self, stall_s: float) -> None:
        """Break, as a head does some time after it has lost a member."""
        place = self.place
        if place is not None and place.state == "open":
            self.is_still = True
            self._later(stall_s, self._broke, place)

    def _broke(self, place: Place) -> None:
        if self.place is place and not self.is_dead and place.state == "open":
            place.state = "broken"
            self.note_move()
            self.on_change(self)

    def note_move(self) -> None:
        """Wake whatever waits for this engine to go on, or to break."""
        self._moved.set()
        self._moved = asyncio.Event()

    async def until_moved(self) -> None:
        """Wait until the engine goes on, breaks or ends."""
        await self._moved.wait()

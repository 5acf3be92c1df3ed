"""HTTP interface through which a test injects faults and reads counts."""

from __future__ import annotations

import json
from typing import Any

from aiohttp import web

from fordhatch.adapter import CONFIGURATION_KEY, OPERATOR_TABLE

from ._backend_http import BackendListeners
from ._backends import Backends
from ._broken_answers import BrokenKind
from ._crashing_parts import CrashingParts
from ._endless_answers import EndlessKind
from ._engine_model import EngineModel
from ._pressure_log import PressureLog

HEARTBEAT_S = 1.2
"""Time within which all engines register again once the store is available."""

_ENGINE_ACTIONS = frozenset(
    (
        "cool",
        "slow",
        "stand_still",
        "crash_under",
        "lengthless",
        "shed",
        "endless",
        "broken",
    )
)


def control_handler(backends: Backends, listeners: BackendListeners) -> Any:
    """Return a handler that lets a test inject faults and read the run counts.

    ``GET /counts`` and ``/attempts``; ``POST /act`` with ``do`` (``kill``, ``drain``,
    ``add``, ``slow``, ``cool``, ``crash_under``, ``lengthless``, ``endless``,
    ``broken``, ``stand_still``, ``shed``, ``limit``, ``rest``, ``restart_plain``,
    ``fail_store``, ``heal_store``) and its fields.
    """

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        if request.path == "/counts":
            return web.json_response(_counts(backends))
        if request.path == "/attempts":
            found = [a.to_json() for a in backends.attempts.attempts]
            return web.json_response(found)
        if request.path == "/act":
            await _act(backends, listeners, await request.json())
            return web.json_response({"done": True})
        return web.Response(status=404)

    return handle


def _counts(backends: Backends) -> dict[str, Any]:
    engines = backends.fleet.engines.values()
    return {
        "runs": {**backends.fleet.runs, **backends.plain_runs},
        "contents": dict(backends.plain_contents),
        "crash_times_s": backends.crash_times_s,
        "repeats_s": backends.retries.repeats_s,
        "crashing_parts": _crashing_parts(backends.crashing_parts),
        "violations": [
            *backends.fleet.violations,
            *backends.pressure.breaches,
            *backends.cold.breaches,
        ],
        "engines": [e.backend_id for e in engines if not e.is_dead],
        "groups": {e.place.group: list(e.place.members) for e in engines if e.serves},
    }


def _crashing_parts(parts: CrashingParts) -> dict[str, dict[str, int]]:
    return {
        part: {"crashes": len(crashes_s), "late": parts.late_arrivals(part)}
        for part, crashes_s in parts.crashes_s.items()
    }


def _act_on_all(action: str, backends: Backends) -> None:
    match action:
        case "lapse_all":
            backends.fleet.lapse_all()
        case "come_back":
            backends.fleet.come_back(within_s=HEARTBEAT_S)
        case "restart_plain":
            backends.restart_plain_servers()
        case _:
            backends.fleet.check_fencing()


def _act_on_store(backends: Backends, body: dict[str, Any]) -> None:
    faults = backends.store.faults
    is_failing = body["do"] == "fail_store"
    if body.get("older") and backends.copies:
        lost = backends.store.restore(backends.copies[0])
        backends.store.write_again(lost, HEARTBEAT_S, backends.rng)
    faults.is_down = is_failing and body.get("how") != "silent"
    faults.is_silent = is_failing and body.get("how") == "silent"


def _act_on_engines(
    backends: Backends, engine: EngineModel | None, body: dict[str, Any]
) -> None:
    match body["do"]:
        case "cool":
            backends.fleet.make_cold(engine, float(body["for_s"]))
        case "slow":
            engine.slow_factor = float(body["factor"])
        case "stand_still":
            for server in [engine] if engine else backends.plain.values():
                server.stand_still.begin(
                    float(body["for_s"]), mutes_probes=bool(body["mutes_probes"])
                )
        case "endless":
            of_store = body.get("of") == "store"
            endless = backends.endless_store if of_store else backends.endless
            endless.share = float(body["share"])
            kinds = body.get("kinds") or list(EndlessKind)
            endless.kinds = tuple(EndlessKind(kind) for kind in kinds)
        case "broken":
            of_store = body.get("of") == "store"
            broken = backends.broken_store if of_store else backends.broken
            broken.share = float(body["share"])
            kinds = body.get("kinds") or list(BrokenKind)
            broken.kinds = tuple(BrokenKind(kind) for kind in kinds)
        case "lengthless":
            backends.lengthless_share = float(body["share"])
        case "shed":
            backends.shed_share = float(body["share"])
        case _:
            backends.crashing_parts.names = set(body["parts"])


def _act_on_pressure(pressure: PressureLog, body: dict[str, Any]) -> None:
    match body["do"]:
        case "limit":
            pressure.limit(body["backend"], body["per_s"])
        case "rest":
            pressure.rest(body["backend"], body["for_s"], body["share"])
        case _:
            pressure.excuse()


async def _act(
    backends: Backends, listeners: BackendListeners, body: dict[str, Any]
) -> None:
    engine = backends.fleet.engines.get(body.get("backend", ""))
    match body["do"]:
        case "kill":
            backends.fleet.kill(engine)
            listeners.cut_off(engine.address)
        case "drain":
            backends.pressure.leave(engine.backend_id)
            backends.fleet.drain(engine)
        case "limit" | "rest" | "excuse":
            _act_on_pressure(backends.pressure, body)
        case _ if body["do"] in _ENGINE_ACTIONS:
            _act_on_engines(backends, engine, body)
        case "add":
            address = await listeners.listen(int(body["port"]))
            backends.add_engine(body["domain"], body["zone"], address)
        case "fail_store" | "heal_store":
            _act_on_store(backends, body)
        case "lapse_all" | "come_back" | "check_fencing" | "restart_plain":
            _act_on_all(body["do"], backends)
        case "put_configuration":
            content = json.dumps(body["document"]).encode()
            backends.store.put(OPERATOR_TABLE, CONFIGURATION_KEY, content)
        case "lose_answers":
            backends.store.faults.lost_answers = int(body["count"])
        case "late_orders":
            backends.fleet.faults.late_share = float(body["share"])
        case "lose_calls":
            for plain in backends.plain.values():
                plain.lost_share = float(body["share"])

"""Attempts of chat completions at engines that leave unannounced and fall silent."""

from __future__ import annotations

import pytest
from in_process_site import InProcessSite, declared, sees_groups

from fordhatch.adapter import BACKENDS_TABLE
from fordhatch.core import metrics
from fordhatch_standins import EngineFleet
from fordhatch_standins._backend_links import CutKind

GROUPS = 4
ENGINES = 4 * GROUPS + 1
SILENT = 10_000.0
"""Factor by which a silent engine is slower."""

HEDGED = metrics.HEDGES.labels("begun")._value


# Guards against a run that isn't counted once its engine has left the list: with a
# second run beside a silent one, completions ran at more engines than their route says.
@pytest.mark.parametrize("headers", [{}, {"Idempotency-Key": "k1"}])
@pytest.mark.parametrize("is_relayed", [False, True])
async def test_silent_completions_run_no_more_than_their_attempts(
    headers, is_relayed, monkeypatch
) -> None:
    site = await InProcessSite.start(nodes=3, engines=ENGINES)
    try:
        fleet = site.backends.fleet
        await site.apply(declared(GROUPS))
        await site.until(lambda: len(fleet.check_serving()) == GROUPS)
        await site.until(lambda: all(sees_groups(n, GROUPS) for n in site.nodes))
        if is_relayed:
            node = site.nodes[0]
            for client in (node.exchange, node.daemon.node.clients.backends):
                client.links.cut(CutKind.HANG)
        ran_at: list[str] = []

        def leave_and_fall_silent(fleet, engine, request_id: str) -> None:
            ran_at.append(engine.backend_id)
            engine.is_listed = False
            engine.slow_factor = SILENT
            site.model.remove(BACKENDS_TABLE, engine.backend_id)

        monkeypatch.setattr(EngineFleet, "begin_run", leave_and_fall_silent)
        before = HEDGED.get()
        got = await site.chat("estimate", **headers, **{"X-Timeout-S": "4"})
        view = site.nodes[0].daemon.node.view
        routes = view.configuration.current.routes
        attempts = next(r.attempts for r in routes if r.name == "estimates")
        assert got.status != 200
        assert HEDGED.get() > before
        assert len(set(ran_at)) <= attempts < GROUPS
    finally:
        await site.close()

"""Attempts of repeatable requests with a key, at servers that leave unannounced."""

from __future__ import annotations

from collections.abc import AsyncIterator

import pytest
import pytest_asyncio
from in_process_site import ZONES, InProcessSite

from fordhatch.adapter import BACKENDS_TABLE
from fordhatch_standins import PlainService

SERVERS = 6


@pytest_asyncio.fixture
async def site() -> AsyncIterator[InProcessSite]:
    started = await InProcessSite.start(nodes=1)
    yield started
    await started.close()


# Guards against runs beyond the route's attempts: those at backend servers that have
# left the list were not counted.
@pytest.mark.parametrize("headers", [{}, {"Idempotency-Key": "k1"}])
async def test_runs_count_after_their_servers_left_the_list(
    site, headers, monkeypatch
) -> None:
    site.backends.plain.clear()
    site.model.remove(BACKENDS_TABLE, site.plain.backend_id)
    for _ in range(SERVERS):
        site.backends.add_plain("yard-app", ZONES[0], lost_share=1.0)
    view = site.nodes[0].daemon.node.view
    directory = view.directory
    await site.until(lambda: len(directory.plain("yard-app")) == SERVERS)
    serve = PlainService.serve

    async def leave_and_serve(server: PlainService, call: object) -> bytes:
        site.model.remove(BACKENDS_TABLE, server.backend_id)
        await site.until(lambda: server.backend_id not in directory.backends)
        return await serve(server, call)

    monkeypatch.setattr(PlainService, "serve", leave_and_serve)
    got = await site.post("/services/yard/slots/17", b"{}", **headers)
    routes = view.configuration.current.routes
    attempts = next(r.attempts for r in routes if r.name == "yard")
    assert (got.status, site.plain_runs()) == (502, attempts)
    assert attempts < SERVERS - 1

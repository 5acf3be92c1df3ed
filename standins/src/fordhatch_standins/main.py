"""``fordhatch-standin``: emulates the store and backend servers in one process."""

from __future__ import annotations

import asyncio
import random

import uvloop
from aiohttp import web
from cyclopts import App

from ._backend_http import BackendListeners
from ._backends import Backends
from ._control_http import control_handler
from ._engine_fleet import EngineFleet
from ._engine_model import ModelTimes
from ._engine_work import EnginePace
from ._store_http import store_handler
from ._store_model import StoreModel

COPY_INTERVAL_S = 1.0
"""Time between two copies of the store."""

app = App(
    name="fordhatch-standin",
    help="The platform's store and backend servers, for demonstrations and tests.",
)

HOST = "127.0.0.1"
ZONES = ("mobile-yard", "savannah-yard", "houston-yard")


@app.default
def run(
    *,
    store_port: int,
    control_port: int,
    first_port: int,
    service: str = "a100",
    model: str = "estimator@2026-11",
    size: int = 4,
    load_s: float = 0.5,
    warm_s: float = 0.2,
    domains: int = 1,
    per_domain: int = 9,
    plain_service: str = "yard-app",
    plain: int = 1,
    step_s: float = 0.01,
    seed: int = 1,
) -> None:
    """Run the store and backend servers until the process is terminated.

    Parameters
    ----------
    store_port
        Port of the store.
    control_port
        Port for injecting faults and reading the run counts.
    first_port
        Port of the first backend server; the other ports follow.
    service
        Service under which the engines register.
    model
        Model that the engines can load; its other versions have the same times.
    size
        Number of members of the model's groups.
    load_s
        Time in seconds to load its weights from the weight store.
    warm_s
        Time in seconds to load its weights from the host's memory.
    domains
        Number of fabric domains.
    per_domain
        Number of engines in each domain.
    plain_service
        Name of the plain service.
    plain
        Number of backend servers of the plain service.
    step_s
        Time of a token step in seconds.
    seed
        Seed of the random number generator.
    """
    times = ModelTimes(size, load_s, warm_s)
    rng = random.Random(seed)
    store = StoreModel()
    fleet = EngineFleet(store, _DefaultTimes({model: times}), rng, service=service)
    backends = Backends(store, fleet, EnginePace(step_s=step_s), rng)
    backends.pressure.identifies_nodes = False

    async def serve() -> None:
        listeners = BackendListeners(backends, HOST)
        handler = store_handler(store, backends.endless_store, backends.broken_store)
        await _listen(handler, store_port)
        port = first_port
        for index in range(domains * per_domain):
            domain = index // per_domain
            address = await listeners.listen(port)
            backends.add_engine(f"fabric-{domain}", ZONES[domain % 3], address)
            port += 1
        for index in range(plain):
            address = await listeners.listen(port)
            backends.add_plain(plain_service, ZONES[index % 3], address)
            port += 1
        await _listen(control_handler(backends, listeners), control_port)
        print(f"listening on {HOST}:{store_port}", flush=True)
        while True:
            if not (store.faults.is_down or store.faults.is_silent):
                backends.copies.append(store.copy())
            await asyncio.sleep(COPY_INTERVAL_S)

    uvloop.run(serve())


class _DefaultTimes(dict[str, ModelTimes]):
    """Model times that default to those of the first model.

    Other versions of a model have the same times.
    """

    def __missing__(self, name: str) -> ModelTimes:
        return next(iter(self.values()))


async def _listen(handler: object, port: int) -> None:
    server = web.Server(handler, access_log=None)
    loop = asyncio.get_running_loop()
    await loop.create_server(server, HOST, port)


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()

"""Start one stand-in: ``fordhatch-standin platform|engine|plain``."""

from __future__ import annotations

import asyncio
import sys

import aiohttp
import uvloop
from aiohttp import web
from cyclopts import App

from fordhatch.core import unstructure
from fordhatch.platform import Instance

from ._engine import Engine, EngineProfile, HttpSurroundings, engine_app
from ._plain import PlainServer, plain_app
from ._platform import MemoryPlatform, WeightStore, platform_app

app = App(name="fordhatch-standin", help="Stand-ins for the platform and back ends.")

BYTES_PER_S = 1e9
"""Default rate of the weight store."""


async def _serve(application: web.Application, host: str, port: int) -> None:
    runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.5)
    await runner.setup()
    site = web.TCPSite(runner, host, port)
    await site.start()
    print(f"listening {host}:{runner.addresses[0][1]}", flush=True)
    await asyncio.Event().wait()


async def _register(platform_url: str, instance: Instance) -> None:
    async with aiohttp.ClientSession() as session:
        url = f"{platform_url}/instances"
        async with session.put(url, json=unstructure(instance)) as reply:
            reply.raise_for_status()


@app.command
def platform(
    *,
    host: str = "127.0.0.1",
    port: int,
    weight_rate: float = BYTES_PER_S,
    list_lag_s: float = 0.5,
) -> None:
    """Run the platform: table service, object store, instance list, weight store."""
    memory = MemoryPlatform(list_lag_s=list_lag_s)
    uvloop.run(_serve(platform_app(memory, WeightStore(weight_rate)), host, port))


@app.command
def engine(
    *,
    instance_id: str,
    platform_url: str,
    port: int,
    host: str = "127.0.0.1",
    region: str = "gulf-south",
    zone: str = "savannah-yard",
    fabric_domain: str = "fabric-1",
    accelerator: str = "a100",
    ignores_fencing: bool = False,
    step_s: float = 0.01,
    load_s: float = 0.1,
    max_batch: int = 16,
) -> None:
    """Run a model engine and list its instance on the platform."""
    profile = EngineProfile(
        instance_id,
        not ignores_fencing,
        step_s=step_s,
        load_s=load_s,
        max_batch=max_batch,
    )
    instance = Instance(
        instance_id,
        f"{host}:{port}",
        region,
        zone,
        fabric_domain,
        accelerator,
        checks_orders=not ignores_fencing,
    )
    uvloop.run(
        _run(
            engine_app(Engine(profile, HttpSurroundings(platform_url))),
            platform_url,
            instance,
        )
    )


@app.command
def engines(
    *,
    instance_id: str,
    platform_url: str,
    port: int,
    count: int,
    host: str = "127.0.0.1",
    region: str = "gulf-south",
    zone: str = "savannah-yard",
    fabric_domain: str = "fabric-1",
    accelerator: str = "a100",
    step_s: float = 0.03,
) -> None:
    """Run many model engines in one process, on ports that follow each other."""

    async def run_all() -> None:
        serving = []
        for index in range(count):
            name = f"{instance_id}-{index + 1}"
            profile = EngineProfile(name, step_s=step_s)
            engine = Engine(profile, HttpSurroundings(platform_url))
            serving.append(_serve(engine_app(engine), host, port + index))
            instance = Instance(
                name,
                f"{host}:{port + index}",
                region,
                zone,
                fabric_domain,
                accelerator,
            )
            await _register(platform_url, instance)
        await asyncio.gather(*serving)

    uvloop.run(run_all())


@app.command
def plain(
    *,
    instance_id: str,
    service: str,
    platform_url: str,
    port: int,
    host: str = "127.0.0.1",
    region: str = "gulf-south",
    zone: str = "savannah-yard",
) -> None:
    """Run a plain service and list its instance on the platform."""
    instance = Instance(
        instance_id, f"{host}:{port}", region, zone, "", "", service=service
    )
    uvloop.run(_run(plain_app(PlainServer(instance_id)), platform_url, instance))


async def _run(
    application: web.Application, platform_url: str, instance: Instance
) -> None:
    host, _, port = instance.address.rpartition(":")
    serving = asyncio.ensure_future(_serve(application, host, int(port)))
    await _register(platform_url, instance)
    await serving


def main() -> None:
    """Run the command line."""
    app(sys.argv[1:])


if __name__ == "__main__":
    main()

"""Requests that could be served only in evacuated availability zones."""

from __future__ import annotations

from collections.abc import Iterable

from fordhatch.catalog import BackendServer, BackendState
from fordhatch.core import Failure, Ran, ResultCode
from fordhatch.registry import BackendDirectory

EVACUATED_RETRY_AFTER_S = 1.0
"""Retry-After of a request that finds only evacuated plain servers: an operator's
decision takes effect within about this time."""


def is_evacuated(directory: BackendDirectory, backend: BackendServer) -> bool:
    """Return whether a backend server was or is now listed in an evacuated zone."""
    if not directory.evacuations.zones():
        return False
    listed = directory.backends.get(backend.backend_id, backend)
    zones = backend.zone, listed.zone
    return any(directory.evacuations.is_evacuated(zone) for zone in zones)


def evacuated_plain_failure(
    directory: BackendDirectory, service: str, retry_after_s: float
) -> Failure | None:
    """Return the refusal if all plain servers of a service are evacuated, else None."""
    backends = directory.index.of_service(service)
    ready = (b for b in backends if b.state is BackendState.READY)
    return _failure_if_all_evacuated(directory, ready, retry_after_s)


def evacuated_stream_failure(
    directory: BackendDirectory, service: str, model: str, retry_after_s: float
) -> Failure | None:
    """Return the refusal if all open groups of a model are evacuated, else None.

    Without any open group, it is given if all engines of the service are evacuated.
    """
    heads = directory.index.open_heads(service, model)
    backends = heads or directory.index.of_service(service)
    return _failure_if_all_evacuated(directory, backends, retry_after_s)


def _failure_if_all_evacuated(
    directory: BackendDirectory,
    backends: Iterable[BackendServer],
    retry_after_s: float,
) -> Failure | None:
    zones = {b.zone for b in backends}
    if not zones or not zones <= directory.evacuations.zones():
        return None
    return Failure.from_code(
        ResultCode.ZONE_EVACUATED,
        f"evacuated: {', '.join(sorted(zones))}",
        ran=Ran.NO,
        retry_after_s=retry_after_s,
    )

"""A request of a caller from its arrival to its end."""

from __future__ import annotations

import asyncio
import secrets
from enum import StrEnum

import attrs
from aiohttp import web

from fordhatch.core import Holding

from ._request import Reply, ServedRequest

GENERATED_ID_BYTES = 10
"""Length of the id of a request that came without one, long enough to be unique."""


class EndedBy(StrEnum):
    """Who ended a request."""

    BACKEND = "backend"
    """A backend server, whose complete answer was passed on."""
    NODE = "node"
    """This node, with a refusal or a failure of its own, or by aborting the answer."""
    CALLER = "caller"
    """The caller, which closed its connection before the answer was complete."""
    STOP = "stop"
    """The end of this node's process."""
    ERROR = "error"
    """Something unexpected, which the line's ``error`` names."""


@attrs.frozen
class EarlyRefusal:
    """Why a request was refused before it was sent anywhere."""

    code: str
    """Name of the result code."""
    host: str
    """The host that the caller named."""
    age_s: float
    """Age of the configuration that decided, in seconds."""


def generate_request_id() -> str:
    """Return a new id for a request."""
    return f"req-{secrets.token_hex(GENERATED_ID_BYTES)}"


@attrs.define(eq=False, repr=False)
class AcceptedRequest:
    """A request whose head was read; the log gets one line when it ends."""

    request_id: str
    http_request: web.BaseRequest
    reply: Reply
    arrived_s: float
    served: ServedRequest | None = None
    """The request once it is admitted."""
    refusal: EarlyRefusal | None = None
    task: asyncio.Task[object] | None = None
    """The task that serves it; ending it ends the request."""
    holding: Holding | None = None
    """What the node holds of it and of its answer; set while it is in progress."""
    is_ended_by_stop: bool = False
    """Whether the node ends it because its process ends."""

    @property
    def is_connected(self) -> bool:
        """Whether the caller's connection is open."""
        transport = self.http_request.transport
        return transport is not None and not transport.is_closing()

    @property
    def bytes_written(self) -> int:
        """Bytes of the answer that were handed to the connection, its head included."""
        return self.http_request.writer.output_size

    @property
    def may_have_run(self) -> bool:
        """Whether a backend server may have run it, or may be running it."""
        return self.served is not None and self.served.may_have_run

    def end_by_stop(self) -> None:
        """Interrupt the task that serves it, because the process ends."""
        if self.is_ended_by_stop or self.task is None:
            return
        self.is_ended_by_stop = True
        if self.served is not None:
            self.served.is_refused = not self.served.may_have_run
        self.task.cancel()

"""A caller's request and its answer, free of HTTP."""

from __future__ import annotations

import hashlib
from collections.abc import Awaitable, Callable
from typing import Any

import attrs

from fordhatch.config import Application, Workspace
from fordhatch.core import new_id
from fordhatch.groups import GroupRow
from fordhatch.protocol.messages import Dispatch

PREFIX_CHARS = 256
"""Characters of the first message that choose the affine group."""

Deliver = Callable[[int, str], Awaitable[None]]
"""Passes one token on to the caller."""


@attrs.frozen
class CallerRequest:
    """One request, checked and authenticated."""

    workspace: Workspace
    application: Application
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    timeout_s: float
    repeatable: bool
    is_model: bool
    idempotency_key: str = ""
    prefix: str = ""
    """Start of the prompt; empty for plain services."""
    request_id: str = attrs.field(factory=lambda: new_id("req"))

    @property
    def claimed(self) -> bool:
        """Whether the request needs a claim before it is sent."""
        return not self.repeatable and self.idempotency_key != ""

    @property
    def digest(self) -> str:
        """What has to be equal for a repeat to be the same request."""
        parts = (self.application.name, self.method, self.path)
        head = "\n".join(parts).encode() + b"\n"
        return hashlib.sha256(head + self.body).hexdigest()

    @property
    def prefix_key(self) -> str:
        """What requests that may share cached prefixes have in common."""
        start = self.prefix[:PREFIX_CHARS]
        return f"{self.workspace.name}|{self.application.name}|{start}"

    def to_dispatch(
        self, row: GroupRow, timeout_s: float, delivered: list[str], attempt: int
    ) -> Dispatch:
        """Return the message that sends this request to a group's home.

        Args:
            row: The chosen group.
            timeout_s: Time left until the deadline.
            delivered: Tokens that the caller already has.
            attempt: Number of the attempt, from 0.
        """
        return Dispatch(
            request_id=f"{self.request_id}.{attempt}",
            group_id=row.group_id,
            epoch=row.epoch,
            workspace=self.workspace.name,
            weight=self.workspace.weight,
            priority=self.workspace.priority,
            method=self.method,
            path=self.path,
            headers=self.headers,
            body=self.body,
            streamed=self.is_model,
            timeout_s=timeout_s,
            resume_from=len(delivered),
            delivered="".join(delivered),
            repeatable=self.repeatable,
            idempotency_key=self.idempotency_key if self.claimed else "",
            request_digest=self.digest if self.claimed else "",
            adapter=self.application.adapter,
        )


@attrs.frozen
class Completion:
    """A model's whole answer."""

    text: str
    tokens: int
    reason: str
    replayed: bool = False
    cached_tokens: int = 0


@attrs.frozen
class PlainReply:
    """A plain service's whole answer."""

    status: int
    headers: dict[str, Any]
    body: bytes
    replayed: bool = False


Reply = Completion | PlainReply

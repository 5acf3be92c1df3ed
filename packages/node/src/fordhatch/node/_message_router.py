"""Hands the messages of other nodes to the components that answer them."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping

import attrs

from fordhatch.core import Failure, ResultCode
from fordhatch.protocol import Channel, to_refused

Answer = Callable[..., Awaitable[None]]
"""Answers a message; gets the message and the channel to answer on."""


@attrs.define(eq=False, repr=False)
class MessageRouter:
    """Answers the messages of other nodes by their class."""

    answers: Mapping[type, Answer]

    async def answer(self, message: object, channel: Channel) -> None:
        """Answer a message; one that no component knows is refused."""
        known = self.answers.get(type(message))
        if known is not None:
            await known(message, channel)
            return
        failure = Failure.from_code(ResultCode.PEER_REFUSED)
        await channel.send(to_refused(failure))

"""Attempts at backend servers, and whether their answers are complete."""

from __future__ import annotations

from ._answer_end import UNCONFIRMED_END, AnswerEndCheck
from ._backend_answer import BackendAnswer, ends_with_connection
from ._backend_exchange import BackendExchange, SendOptions
from ._exchange import (
    ExchangeClient,
    OutboundRequest,
    SendFailure,
    SendProblem,
    connection_problem,
)
from ._held_answers import AnswerHold, HeldAnswers, HeldBody
from ._process_witness import ProcessWitness

__all__ = [
    "UNCONFIRMED_END",
    "AnswerEndCheck",
    "AnswerHold",
    "BackendAnswer",
    "BackendExchange",
    "ExchangeClient",
    "HeldAnswers",
    "HeldBody",
    "OutboundRequest",
    "ProcessWitness",
    "SendFailure",
    "SendOptions",
    "SendProblem",
    "connection_problem",
    "ends_with_connection",
]

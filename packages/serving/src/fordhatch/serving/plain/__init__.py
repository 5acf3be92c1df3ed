"""Calls to plain services: one request, one complete answer."""

from __future__ import annotations

from ._answer_passing import AnswerPassing
from ._backend_choice import BackendChoice
from ._plain_call import PlainCalls
from ._plain_run import PlainRuns

__all__ = ["AnswerPassing", "BackendChoice", "PlainCalls", "PlainRuns"]

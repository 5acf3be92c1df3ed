"""The request path: from callers to backend servers and back."""

from __future__ import annotations

from ._admission import Admission
from ._answer_end import UNCONFIRMED_END, AnswerEndCheck
from ._backend_answer import BackendAnswer, ends_with_connection
from ._backend_exchange import BackendExchange, SendOptions
from ._backend_health import BackendHealth
from ._backpressure import BackpressureTracker, ServerLimit
from ._caller_server import CallerServer
from ._cold_backends import ColdBackends, ColdReport, ColdState
from ._collector_choice import CollectorChoice
from ._crash_watch import CrashWatch
from ._demand_meter import DemandMeter
from ._dispatch import Dispatch
from ._evacuated_zones import is_evacuated
from ._exchange import (
    ExchangeClient,
    OutboundRequest,
    SendFailure,
    SendProblem,
    connection_problem,
)
from ._group_progress import GroupProgress
from ._head_choice import HeadChoice
from ._http_server import HttpHandler, HttpServer
from ._load_book import LoadBook
from ._node_state import NodeState
from ._permit_issuer import Permit
from ._permits import Permits
from ._plain_call import PlainCalls
from ._process_witness import ProcessWitness
from ._request import Reply, ServedRequest
from ._request_path import RequestPath
from ._retry_budget import RetryBudget, RetryLoan
from ._route_table import RouteTable
from ._shared_load import BackendLoad, SharedLoad
from ._stall_watch import StallWatch
from ._stream_call import StreamCalls

__all__ = [
    "UNCONFIRMED_END",
    "Admission",
    "AnswerEndCheck",
    "BackendAnswer",
    "BackendExchange",
    "BackendHealth",
    "BackendLoad",
    "BackpressureTracker",
    "CallerServer",
    "ColdBackends",
    "ColdReport",
    "ColdState",
    "CollectorChoice",
    "CrashWatch",
    "DemandMeter",
    "Dispatch",
    "ExchangeClient",
    "GroupProgress",
    "HeadChoice",
    "HttpHandler",
    "HttpServer",
    "LoadBook",
    "NodeState",
    "OutboundRequest",
    "Permit",
    "Permits",
    "PlainCalls",
    "ProcessWitness",
    "Reply",
    "RequestPath",
    "RetryBudget",
    "RetryLoan",
    "RouteTable",
    "SendFailure",
    "SendOptions",
    "SendProblem",
    "ServedRequest",
    "ServerLimit",
    "SharedLoad",
    "StallWatch",
    "StreamCalls",
    "connection_problem",
    "ends_with_connection",
    "is_evacuated",
]

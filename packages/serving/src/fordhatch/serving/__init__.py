"""The request path: from callers to backend servers and back."""

from __future__ import annotations

from ._accepted_request import AcceptedRequest, EarlyRefusal, generate_request_id
from ._admission import Admission
from ._body_reading import read_body
from ._caller_server import CallerServer
from ._caller_writes import linger
from ._dispatch import Dispatch
from ._evacuated_zones import is_evacuated
from ._http_reply import HttpReply
from ._http_server import HttpHandler, HttpServer
from ._node_state import NodeState
from ._reply_heads import ExactStream
from ._request import Reply, ReplyTooLong, ServedRequest
from ._request_path import RequestPath
from ._requests_in_progress import RequestsInProgress
from ._route_table import RouteTable
from ._stop_plan import StopPlan
from .crashes import CrashWatch
from .exchange import (
    UNCONFIRMED_END,
    AnswerEndCheck,
    BackendAnswer,
    BackendExchange,
    ExchangeClient,
    OutboundRequest,
    ProcessWitness,
    SendFailure,
    SendOptions,
    SendProblem,
    connection_problem,
    ends_with_connection,
)
from .groups import BackendHealth, GroupProgress, HeadChoice, StallWatch
from .limits import (
    BackpressureTracker,
    ColdBackends,
    ColdReport,
    ColdState,
    Permit,
    Permits,
    ServerLimit,
)
from .load import BackendLoad, CollectorChoice, DemandMeter, LoadBook, SharedLoad
from .plain import BackendChoice, PlainCalls
from .retries import RetryBudget, RetryLoan
from .streams import StreamCalls

__all__ = [
    "UNCONFIRMED_END",
    "AcceptedRequest",
    "Admission",
    "AnswerEndCheck",
    "BackendAnswer",
    "BackendChoice",
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
    "EarlyRefusal",
    "ExactStream",
    "ExchangeClient",
    "GroupProgress",
    "HeadChoice",
    "HttpHandler",
    "HttpReply",
    "HttpServer",
    "LoadBook",
    "NodeState",
    "OutboundRequest",
    "Permit",
    "Permits",
    "PlainCalls",
    "ProcessWitness",
    "Reply",
    "ReplyTooLong",
    "RequestPath",
    "RequestsInProgress",
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
    "StopPlan",
    "StreamCalls",
    "connection_problem",
    "ends_with_connection",
    "generate_request_id",
    "is_evacuated",
    "linger",
    "read_body",
]

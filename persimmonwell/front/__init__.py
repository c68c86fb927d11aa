"""HTTP front end: server, request parsing, responses and token relay."""

from persimmonwell.front._caller_memory import CallerMemory
from persimmonwell.front._caller_service import CallerService
from persimmonwell.front._http_server import Handler, HttpServer
from persimmonwell.front._parsing import (
    HttpRequest,
    ParsedModelRequest,
    ParsedServiceCall,
    parse_request,
)
from persimmonwell.front._ports import (
    ClaimPort,
    ClaimVerdict,
    Mailbox,
    RequestDecision,
    RouterPort,
)
from persimmonwell.front._responses import (
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
    HttpResponse,
    error_response,
    json_response,
)
from persimmonwell.front._thread_limiter import ThreadLimiter

__all__ = [
    "OUTCOME_HEADER",
    "REQUEST_ID_HEADER",
    "CallerMemory",
    "CallerService",
    "ClaimPort",
    "ClaimVerdict",
    "Handler",
    "HttpRequest",
    "HttpResponse",
    "HttpServer",
    "Mailbox",
    "ParsedModelRequest",
    "ParsedServiceCall",
    "RequestDecision",
    "RouterPort",
    "ThreadLimiter",
    "error_response",
    "json_response",
    "parse_request",
]

"""Reads the requests of callers completely and matches them to routes.

Load pattern: a few hundred requests per second with bodies of some kilobytes;
a few callers send their bodies slowly or never completely. When the host
stops, ``end_incomplete`` ends the reading of the latter, so that they get a
refusal and do not delay the exit.
"""

import logging

from aiohttp import web

from kumquat_core.clock import Clock
from kumquat_core.intake.byte_budget import ENDING_CAUSES, Holding
from kumquat_core.intake.head_meter import head_size
from kumquat_core.intake.intake_gate import IntakeGate, IntakeRefusedError
from kumquat_core.log_events import log_event
from kumquat_core.result_codes import ResultCode

from .accounts.account_lookup import AccountLookup, UnknownKeyError
from .caller_request import CallerRequest
from .caller_response import CallerResponse, client_error, refusal
from .cluster_state import ClusterState
from .cutoff import Cutoff
from .intake.intake_refusal import refused_response
from .limit_history import DEFAULT_LIMITS
from .open_requests import OpenRequests
from .protocols import EngineDialect
from .request_body import BODY_FRAMING, INVALID_BODY, TOO_MANY_PARTS, read_body
from .routes import RouteTable

__all__ = [
    "HEAD_TOO_LARGE",
    "STOPPING_RETRY_AFTER_S",
    "UNREAD_REASONS",
    "RequestReader",
]

# A starting host receives its configuration within a second.
NOT_READY_RETRY_AFTER_S = 1.0
# Another host accepts the caller's next connection immediately.
STOPPING_RETRY_AFTER_S = 0.05
MAX_LOGGED_PARTS = 8
# The reason of the refusal of a complete head over the limit.
HEAD_TOO_LARGE = "head_too_large"
# Of refusals after which the rest of a request is not read.
UNREAD_REASONS = {
    BODY_FRAMING,
    HEAD_TOO_LARGE,
    INVALID_BODY,
    TOO_MANY_PARTS,
} | ENDING_CAUSES

logger = logging.getLogger(__name__)


class RequestReader:
    """Turns HTTP requests into requests with a route."""

    def __init__(
        self,
        clock: Clock,
        cluster_state: ClusterState,
        dialect: EngineDialect,
        open_requests: OpenRequests,
        gate: IntakeGate,
    ) -> None:
        self._accounts = AccountLookup(lambda: cluster_state.routes)
        self._gate = gate
        self._clock = clock
        self._cluster_state = cluster_state
        self._dialect = dialect
        self._open_requests = open_requests
        self._body_cutoff = Cutoff()

    def end_incomplete(self) -> None:
        """Refuse the requests whose bodies have not arrived completely."""
        self._body_cutoff.end_all()

    async def read(
        self, http_request: web.BaseRequest, holding: Holding
    ) -> CallerRequest | CallerResponse:
        """Return the request, or the response if it cannot be served.

        The memory of its body stays in ``holding``.
        """
        routes, limits = self._cluster_state.routes, self._cluster_state.limits
        longest = max(DEFAULT_LIMITS.max_header_bytes, limits.current.max_header_bytes)
        if head_size(http_request.raw_path, http_request.raw_headers) > longest:
            return client_error(431, ResultCode.INVALID_FIELD, HEAD_TOO_LARGE)
        try:
            async with self._body_cutoff.timeout_at(None):
                body = await read_body(http_request, limits, self._gate, holding)
        except IntakeRefusedError as error:
            return refused_response(error)
        except TimeoutError:
            metadata = self._dialect.read_request(http_request.raw_headers)
            log_event(logger, "body_incomplete", request=metadata.request_id)
            return refusal(ResultCode.DRAINING, "stopping", STOPPING_RETRY_AFTER_S)
        if isinstance(body, CallerResponse):
            return body
        if routes is None:
            return refusal(
                ResultCode.NOT_READY, "no_configuration", NOT_READY_RETRY_AFTER_S
            )
        return self._match_route(http_request, routes, body)

    def _match_route(
        self, http_request: web.BaseRequest, routes: RouteTable, body: bytes
    ) -> CallerRequest | CallerResponse:
        """Return the routed request, or the response if it has no route."""
        metadata = self._dialect.read_request(http_request.raw_headers)
        target = http_request.raw_path
        route = routes.match(metadata.host, target)
        if route is None:
            log_event(
                logger,
                "no_route",
                request=metadata.request_id,
                host=metadata.host,
                version=routes.version,
            )
            return client_error(404, ResultCode.UNKNOWN_SERVICE, "no_route")
        if not metadata.request_id:
            return client_error(400, ResultCode.INVALID_FIELD, "no_request_id")
        try:
            account = self._accounts.account_of(route, metadata.api_key)
        except UnknownKeyError:
            return _unknown_key(metadata.request_id, routes.version)
        service = route.service_for(metadata.request_id)
        request = CallerRequest(
            metadata,
            http_request.method,
            target,
            body,
            route,
            service,
            self._clock.monotonic(),
            account,
        )
        self._open_requests.add(request)
        log_event(
            logger,
            "request_read",
            request=request.id,
            route=route.name,
            service=service,
            account=account.name if account is not None else None,
            version=routes.version,
            left_ms=request.left_ms(request.arrived_s),
            objective_ms=route.objective_ms or None,
            bytes=len(body),
            prompt_tokens=metadata.prompt.prompt_tokens if metadata.prompt else None,
            expected_tokens=metadata.prompt.expected_tokens
            if metadata.prompt
            else None,
            parts=",".join(metadata.shared_parts[:MAX_LOGGED_PARTS]) or None,
            max_tokens=metadata.prompt.max_output_tokens if metadata.prompt else None,
        )
        return request


def _unknown_key(request_id: str, version: int) -> CallerResponse:
    log_event(logger, "unknown_key", request=request_id, version=version)
    return client_error(401, ResultCode.UNAUTHENTICATED, "unknown_key")

"""HTTP API for callers.

Authenticates the tenant of each request and validates the request before any
other part handles it. A request that fails validation reaches no engine.

A stopping host answers what it has read. ``stop`` ends when the answers have
left the process.
"""

import asyncio
import logging
import sys
from collections.abc import Awaitable, Callable

import aiomisc
from aiohttp import web

from kumquat_core.clock import Clock
from kumquat_core.closing_listener import close_listener
from kumquat_core.intake.byte_budget import Holding
from kumquat_core.intake.head_meter import head_size
from kumquat_core.intake.intake_gate import IntakeGate
from kumquat_core.intake.large_response import is_large
from kumquat_core.log_events import log_event
from kumquat_core.request_ids import RequestId, RequestIdGenerator
from kumquat_core.result_codes import ResultCode, RouterError
from kumquat_core.server_connections import ServerConnections
from kumquat_core.settings import Options
from kumquat_core.tickets import TicketStore

from .caller_body import expect_body, read_body
from .caller_connection import CallerConnectionFactory, drops_input
from .caller_requests import (
    Caller,
    as_router_error,
    authenticate,
    find_service,
    first_attempt,
    idempotency_key,
    model_request,
    service_path,
    truthful_error,
)
from .drain import Drain, RequestInProgress
from .input_validation import parse_completion, parse_deadline_ms
from .model_path import ModelPath, ModelRequest
from .plain_path import PlainPath, PlainRequest
from .request_observer import RequestObserver
from .response_sinks import BufferSink, StreamSink
from .responses import (
    announce_close,
    completion_document,
    engine_headers,
    error_response,
    finish_reason,
    raw_error_response,
    service_response,
    success_headers,
)

__all__ = ["CallerApi"]

# Label of requests that end before their tenant or class is known.
UNKNOWN_LABEL = "unknown"

LISTEN_BACKLOG = 1024
# Time at a stop for refusals to be sent and for callers to close their side.
MIN_CLOSE_LIMIT_S = 5.0
# For handlers whose connections were cut after that.
SHUTDOWN_TIMEOUT_S = 0.5

CUT_DETAIL = "the host ended before the request"

HOLDING = web.RequestKey("holding", Holding)
REQUEST_ID = web.RequestKey("request_id", RequestId)
TENANT = web.RequestKey("tenant", str)
CLASS_NAME = web.RequestKey("class_name", str)
STREAM_CODE = web.RequestKey("stream_code", ResultCode)

logger = logging.getLogger(__name__)

Handler = Callable[
    [web.Request, RequestId, RequestInProgress], Awaitable[web.StreamResponse]
]


class CallerApi(aiomisc.Service):
    """Serves model requests and calls to plain services over HTTP."""

    def __init__(
        self,
        options: Options,
        tickets: TicketStore,
        ids: RequestIdGenerator,
        model_path: ModelPath,
        plain_path: PlainPath,
        drain: Drain,
        clock: Clock,
        observer: RequestObserver,
        gate: IntakeGate | None = None,
    ) -> None:
        super().__init__()
        self._gate = gate or IntakeGate(options.limits.intake, clock, observer.metrics)
        self._clock = clock
        self._observer = observer
        self._options = options
        self._longest_head = options.limits.max_header_bytes
        self._tickets = tickets
        self._ids = ids
        self._model_path = model_path
        self._plain_path = plain_path
        self._drain = drain
        self._runner: web.AppRunner | None = None
        self._listener: asyncio.Server | None = None
        self._connections: ServerConnections | None = None

    def create_app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=self._options.limits.max_body_bytes)
        app.router.add_post(
            "/v1/completions", self._handle_completions, expect_handler=expect_body
        )
        app.router.add_route(
            "*",
            "/services/{service}/{path:.*}",
            self._handle_service_call,
            expect_handler=expect_body,
        )
        app.on_response_prepare.append(self._close_when_draining)
        return app

    async def _close_when_draining(
        self, http_request: web.Request, response: web.StreamResponse
    ) -> None:
        """Close kept-alive connections while draining, or without input.

        The load balancer then has to open new ones. A connection on which the
        next request was read already closes with the answer to that one.
        """
        if drops_input(http_request):
            return announce_close(response)
        connections = self._connections
        closing = connections is not None and connections.closing
        if not self._drain.draining and not closing:
            return
        request_id = str(http_request.get(REQUEST_ID, ""))
        if connections is None or not connections.record_answer(
            http_request, request_id
        ):
            announce_close(response)

    async def start(self) -> None:
        """Start listening."""
        self._runner = web.AppRunner(
            self.create_app(),
            handler_cancellation=True,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        await self._runner.setup()
        assert self._runner.server is not None
        loop = asyncio.get_running_loop()
        self._connections = ServerConnections(
            CallerConnectionFactory(
                self._runner.server, self._gate, self._longest_head, loop
            ),
            raw_error_response(RouterError(ResultCode.DRAINING, retry_after_s=1.0)),
        )
        listen = self._options.caller_listen
        self._listener = await loop.create_server(
            self._connections.create,
            listen.ip,
            listen.port,
            backlog=LISTEN_BACKLOG,
            reuse_address=True,
        )
        self._gate.buffers.prepare_listeners(self._listener, LISTEN_BACKLOG)

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop listening and close all connections."""
        await self.close(MIN_CLOSE_LIMIT_S)

    async def close(self, limit_s: float) -> None:
        """Stop listening and close all connections once they are answered.

        Answers that are not sent after ``limit_s`` are cut.
        """
        runner, self._runner = self._runner, None
        if runner is None:
            return
        if self._listener is not None and self._connections is not None:
            held = await close_listener(self._listener, self._connections.create)
            if held:
                log_event(logger, "held_connections_accepted", count=held)
            count = len(self._connections)
            self._gate.flush()
            closed = await self._connections.close(max(MIN_CLOSE_LIMIT_S, limit_s))
            self._observer.metrics.add_cut_answers(closed.cut)
            log_event(
                logger,
                "caller_connections_closed",
                connections=count,
                refused_heads=closed.refused_heads,
                cut=closed.cut,
            )
        await runner.cleanup()

    async def _handle_completions(
        self, http_request: web.Request
    ) -> web.StreamResponse:
        return await self._handle_request(http_request, self._run_completion)

    async def _handle_service_call(
        self, http_request: web.Request
    ) -> web.StreamResponse:
        return await self._handle_request(http_request, self._call_service)

    async def _handle_request(
        self, http_request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Handle a request and count its memory until its response is sent."""
        holding = http_request[HOLDING] = self._gate.open(http_request)
        try:
            response = await self._run_request(http_request, handler)
            # A stopping host writes responses at once, so that requests end.
            if is_large(response) and not self._drain.draining:
                assert isinstance(response, web.Response)
                return await self._gate.send_large(holding, http_request, response)
            return response
        finally:
            self._gate.close(holding)

    async def _run_request(
        self, http_request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Run a handler; turn every failure into a response with a code."""
        request_id = self._ids.next_id()
        http_request[REQUEST_ID] = request_id
        code, reason = ResultCode.OK, None
        request: RequestInProgress | None = None
        started_s = self._clock.monotonic()
        self._observer.metrics.request_started()
        try:
            size = head_size(http_request.raw_path, http_request.raw_headers)
            if size > self._longest_head:
                raise RouterError(ResultCode.HEAD_TOO_LARGE)
            with self._drain.request(str(request_id)) as request:
                return await handler(http_request, request_id, request)
        except RouterError as error:
            code = error.code
            if code is ResultCode.DRAINING:
                reason = "stopping"
            return error_response(truthful_error(error, http_request), request_id)
        except asyncio.CancelledError:
            code = ResultCode.CALLER_GONE
            raise
        except Exception as error:
            code = ResultCode.INTERNAL_ERROR
            log_event(
                logger,
                "request_failed",
                level=logging.ERROR,
                request=request_id,
                error=repr(error),
            )
            return error_response(RouterError(code), request_id)
        finally:
            # A stream that failed after its start has status 200; ``_stream``
            # stores the result code of the failure.
            code = http_request.get(STREAM_CODE, code)
            if request is not None and request.is_cut:
                reason = "cut_at_stop"
            self._observer.record_request_end(
                str(request_id),
                http_request.get(CLASS_NAME, UNKNOWN_LABEL),
                http_request.get(TENANT, UNKNOWN_LABEL),
                code,
                self._clock.monotonic() - started_s,
            )
            log_event(
                logger,
                "request_ended",
                request=request_id,
                tenant=http_request.get(TENANT),
                code=code.value,
                reason=reason,
            )

    def _authenticate(self, http_request: web.Request, request_id: RequestId) -> Caller:
        """Return the caller whose tenant owns the bearer token."""
        caller = authenticate(http_request, request_id, self._tickets.configuration)
        http_request[TENANT] = caller.tenant.name
        return caller

    async def _read_body(
        self, http_request: web.Request, progress: RequestInProgress
    ) -> bytes:
        """Return the body; its size and the time to send it are limited."""
        when_cut = RouterError(ResultCode.DRAINING, retry_after_s=1.0)
        limits, holding = self._options.limits, http_request[HOLDING]
        work = read_body(http_request, limits, self._gate, holding)
        return await progress.run(work, when_cut)

    async def _run_completion(
        self,
        http_request: web.Request,
        request_id: RequestId,
        progress: RequestInProgress,
    ) -> web.StreamResponse:
        caller = self._authenticate(http_request, request_id)
        body = parse_completion(await self._read_body(http_request, progress))
        request = model_request(caller, body, http_request)
        # The prompt and what is sent of it to an engine.
        size = sys.getsizeof(body.prompt)
        self._gate.begin_run(http_request[HOLDING], 2 * size)
        http_request[CLASS_NAME] = request.request_class.name
        progress.check_time_left(request.deadline_ms / 1000)
        if body.stream:
            return await self._stream(http_request, caller, request, progress)
        sink = BufferSink()
        stats = await progress.run(
            self._model_path.run(caller.configuration, request, sink),
            RouterError(ResultCode.OUTCOME_UNKNOWN, CUT_DETAIL),
        )
        document = completion_document(
            request_id,
            request.model.name,
            sink.text,
            finish_reason(request, stats),
            request.prompt_tokens,
            stats.tokens,
        )
        headers = success_headers(request_id) | engine_headers(stats)
        return web.json_response(document, headers=headers)

    async def _stream(
        self,
        http_request: web.Request,
        caller: Caller,
        request: ModelRequest,
        progress: RequestInProgress,
    ) -> web.StreamResponse:
        buffer_bytes = self._options.limits.stream_buffer_bytes
        sink = StreamSink(
            http_request, request, buffer_bytes, self._gate, http_request[HOLDING]
        )
        try:
            stats = await progress.run(
                self._model_path.run(caller.configuration, request, sink),
                RouterError(ResultCode.STREAM_INTERRUPTED, CUT_DETAIL),
            )
            return await sink.finish(finish_reason(request, stats), stats)
        except Exception as unexpected:
            if sink.response is None:
                raise
            # The status is sent: a second response on the same stream would
            # be taken for a part of the first one.
            error = as_router_error(unexpected)
            log_event(
                logger,
                "stream_failed",
                level=logging.WARNING,
                request=request.request_id,
                code=error.code.value,
                detail=error.detail,
                error=None if error is unexpected else repr(unexpected),
            )
            http_request[STREAM_CODE] = error.code
            return await sink.fail(error)

    async def _call_service(
        self,
        http_request: web.Request,
        request_id: RequestId,
        progress: RequestInProgress,
    ) -> web.StreamResponse:
        caller = self._authenticate(http_request, request_id)
        service = find_service(caller, http_request.match_info["service"])
        http_request[CLASS_NAME] = service.name
        deadline_ms = parse_deadline_ms(http_request.headers) or service.timeout_ms
        request = PlainRequest(
            request_id=request_id,
            tenant=caller.tenant.name,
            service=service,
            method=http_request.method,
            path=service_path(http_request),
            body=await self._read_body(http_request, progress),
            headers=dict(http_request.headers),
            idempotency_key=idempotency_key(http_request),
            first_attempt=first_attempt(http_request),
            deadline_ms=min(deadline_ms, service.timeout_ms),
        )
        self._gate.count_until_unused(request, len(request.body))
        self._gate.begin_run(http_request[HOLDING], 0)
        progress.check_time_left(request.longest_s)
        backend_response = await progress.run(
            self._plain_path.run(caller.configuration, request),
            RouterError(ResultCode.OUTCOME_UNKNOWN, CUT_DETAIL),
        )
        return service_response(request_id, backend_response)

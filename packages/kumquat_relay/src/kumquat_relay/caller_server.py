"""The HTTP server for callers.

Reads each request completely, matches it to a route and passes it to the plain
relay or the stream relay. When the caller disconnects, the request is
cancelled at the engine, unless it must not be retried: its outcome is worth
more than the capacity that it occupies.
"""

import asyncio
import logging
import socket
import struct
from collections.abc import Sequence
from http import HTTPStatus

import aiomisc
from aiohttp import web
from multidict import CIMultiDict

from kumquat_core.clock import Clock
from kumquat_core.log_events import log_event
from kumquat_core.result_codes import ResultCode
from kumquat_core.settings import Address

from .caller_request import CallerRequest
from .caller_response import CallerResponse, client_error, failure, refusal
from .cluster_state import ClusterState
from .plain_relay import PlainRelay
from .protocols import EngineDialect
from .relay_metrics import RelayMetrics
from .request_body import read_body
from .response_sink import CallerDisconnectedError
from .routes import CallerLimits, RouteKind, RouteTable
from .shutdown import Shutdown
from .stream_progress import COMPLETE
from .stream_relay import StreamRelay

__all__ = ["CallerServer"]

# Apply until the first configuration is received.
DEFAULT_LIMITS = CallerLimits(16384, 4 * 1024 * 1024, 3000, 15000)
# A starting host receives its configuration within a second.
NOT_READY_RETRY_AFTER_S = 1.0
# Another host accepts the caller's next connection immediately.
STOPPING_RETRY_AFTER_S = 0.05
# Callers reuse connections that were idle for up to 80 % of the idle limit.
# Closing them later than the limit loses no request.
IDLE_MARGIN_S = 2.0
LISTEN_BACKLOG = 512
MAX_LOGGED_PARTS = 8
STOP_POLL_S = 0.02
# With this SO_LINGER value a close resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)

logger = logging.getLogger(__name__)


class _StreamSink:
    """Sends a streamed response to the caller.

    ``response`` is None until its head is sent.
    """

    def __init__(self, http_request: web.BaseRequest, *, close: bool) -> None:
        self._http_request = http_request
        self._close = close
        self.response: web.StreamResponse | None = None

    @property
    def started(self) -> bool:
        return self.response is not None

    async def start(self, status: int, headers: Sequence[tuple[str, str]]) -> None:
        response = web.StreamResponse(status=status, headers=CIMultiDict(headers))
        if self._close:
            response.force_close()
        if self._http_request.version >= (1, 1):
            response.enable_chunked_encoding()
        else:
            # Its end is that of the connection, also if the caller keeps them.
            response.force_close()
        self.response = response
        try:
            await response.prepare(self._http_request)
        except ConnectionError as error:
            raise CallerDisconnectedError from error

    async def write(self, data: bytes) -> None:
        assert self.response is not None
        try:
            await self.response.write(data)
        except ConnectionError as error:
            raise CallerDisconnectedError from error

    async def finish(self) -> None:
        assert self.response is not None
        try:
            await self.response.write_eof()
        except ConnectionError as error:
            raise CallerDisconnectedError from error

    def break_off(self) -> None:
        """Close the connection so that the response is seen to be incomplete.

        A response without chunks ends with its connection, so only a reset
        tells an incomplete one from a complete one.
        """
        transport = self._http_request.transport
        if transport is None:
            return
        sock = transport.get_extra_info("socket")
        if self._http_request.version < (1, 1) and sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        transport.abort()


class CallerServer(aiomisc.Service):
    """Serves callers over HTTP/1.1.

    Requests that must not be retried run in ``_detached_tasks``, which outlive
    the connection of the caller.
    """

    def __init__(
        self,
        listen: Address,
        clock: Clock,
        cluster_state: ClusterState,
        plain: PlainRelay,
        streams: StreamRelay,
        dialect: EngineDialect,
        shutdown: Shutdown,
        metrics: RelayMetrics,
    ) -> None:
        super().__init__()
        self._listen = listen
        self._clock = clock
        self._cluster_state = cluster_state
        self._plain_relay = plain
        self._stream_relay = streams
        self._dialect = dialect
        self._shutdown = shutdown
        self._metrics = metrics
        self._detached_tasks: set[asyncio.Task[CallerResponse]] = set()
        self._server: web.Server | None = None
        self._runner: web.ServerRunner | None = None

    async def start(self) -> None:
        """Start to accept connections."""
        self._server = web.Server(
            self._handle,
            handler_cancellation=True,
            access_log=None,
            # Engines get bodies as they are, also compressed ones.
            auto_decompress=False,
            keepalive_timeout=DEFAULT_LIMITS.idle_timeout_ms / 1000 + IDLE_MARGIN_S,
            max_line_size=DEFAULT_LIMITS.max_header_bytes,
            max_field_size=DEFAULT_LIMITS.max_header_bytes,
        )
        self._runner = web.ServerRunner(self._server, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(
            self._runner, self._listen.ip, self._listen.port, backlog=LISTEN_BACKLOG
        ).start()

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop listening, wait for requests to end and close all connections.

        A request may have arrived on an open connection since the host was
        found idle, so connections in use are closed only after their
        responses.
        """
        if self._runner is None or self._server is None:
            return
        for site in list(self._runner.sites):
            await site.stop()
        self._server.pre_shutdown()
        while self._shutdown.in_progress and self._shutdown.left_s > 0:
            await asyncio.sleep(STOP_POLL_S)
        await self._runner.cleanup()

    async def _handle(self, http_request: web.BaseRequest) -> web.StreamResponse:
        with self._shutdown.track_request():
            arrived_s = self._clock.monotonic()
            result = await self._read_request(http_request)
            if isinstance(result, CallerResponse):
                self._record_end(None, result.code, result.reason, arrived_s)
                return self._to_http_response(result)
            if self._would_be_cut_off(result):
                caller_response = refusal(
                    ResultCode.DRAINING, "stopping", STOPPING_RETRY_AFTER_S
                )
                self._record_end(
                    result, caller_response.code, caller_response.reason, arrived_s
                )
                return self._to_http_response(caller_response)
            if result.route.kind is RouteKind.STREAM:
                return await self._handle_stream(http_request, result)
            return await self._handle_plain(result)

    def _would_be_cut_off(self, request: CallerRequest) -> bool:
        """Tell whether the process may exit before the response ends."""
        if request.route.kind is RouteKind.STREAM:
            return self._shutdown.refuses_streams
        return self._shutdown.left_s < request.route.objective_ms / 1000

    async def _read_request(
        self, http_request: web.BaseRequest
    ) -> CallerRequest | CallerResponse:
        """Return the request, or the response if it cannot be served."""
        routes = self._cluster_state.routes
        limits = routes.limits if routes is not None else DEFAULT_LIMITS
        if http_request.headers.get("Expect", "").lower() == "100-continue":
            assert http_request.transport is not None
            http_request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        body = await read_body(http_request, limits)
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
        service = route.service_for(metadata.request_id)
        request = CallerRequest(
            metadata,
            http_request.method,
            target,
            body,
            route,
            service,
            self._clock.monotonic(),
        )
        log_event(
            logger,
            "request_read",
            request=request.id,
            route=route.name,
            service=service,
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

    async def _handle_plain(self, request: CallerRequest) -> web.StreamResponse:
        """Relay a plain request, detached if it must not be retried."""
        task = asyncio.ensure_future(self._plain_relay.run(request))
        try:
            if request.route.allows_retry:
                caller_response = await task
            else:
                self._detached_tasks.add(task)
                task.add_done_callback(self._detached_tasks.discard)
                caller_response = await asyncio.shield(task)
        except asyncio.CancelledError:
            self._record_end(
                request, ResultCode.CALLER_GONE, "caller_gone", request.arrived_s
            )
            raise
        except Exception as error:
            caller_response = self._internal_error(request, error)
        self._record_end(
            request, caller_response.code, caller_response.reason, request.arrived_s
        )
        return self._to_http_response(caller_response)

    async def _handle_stream(
        self, http_request: web.BaseRequest, request: CallerRequest
    ) -> web.StreamResponse:
        sink = _StreamSink(http_request, close=self._shutdown.draining)
        code, reason = ResultCode.CALLER_GONE, "caller_gone"
        caller_response: CallerResponse | None = None
        try:
            outcome = await self._stream_relay.run(request, sink)
            code, reason, caller_response = (
                outcome.code,
                outcome.reason,
                outcome.response,
            )
        except CallerDisconnectedError:
            pass
        except Exception as error:
            caller_response = self._internal_error(request, error)
            code, reason = caller_response.code, caller_response.reason
        finally:
            self._record_end(request, code, reason, request.arrived_s)
            # Also when the handler is cancelled, as at the end of the process.
            if sink.started and reason != COMPLETE:
                sink.break_off()
        if sink.response is None:
            return self._to_http_response(caller_response or failure(code, reason))
        return sink.response

    def _internal_error(
        self, request: CallerRequest, error: Exception
    ) -> CallerResponse:
        """Log an unexpected error and return the response to its request."""
        log_event(
            logger,
            "request_failed",
            level=logging.ERROR,
            request=request.id,
            error=repr(error),
        )
        return failure(ResultCode.INTERNAL_ERROR, "internal_error")

    def _to_http_response(self, caller_response: CallerResponse) -> web.Response:
        response = web.Response(
            status=caller_response.status,
            reason=_reason_phrase(caller_response.status),
            headers=CIMultiDict(caller_response.headers),
            body=caller_response.body,
        )
        if self._shutdown.draining:
            response.force_close()
        return response

    def _record_end(
        self,
        request: CallerRequest | None,
        code: ResultCode,
        reason: str,
        began_s: float,
    ) -> None:
        """Record and log the end of a request.

        ``request`` is None if no valid request was received.
        """
        duration_s = self._clock.monotonic() - began_s
        kind = request.route.kind.value if request is not None else "none"
        self._metrics.record_request(kind, code, duration_s)
        log_event(
            logger,
            "request_ended",
            request=request.id if request is not None else None,
            route=request.route.name if request is not None else None,
            code=code.value,
            reason=reason,
            ms=round(duration_s * 1000, 1),
        )


def _reason_phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Status"

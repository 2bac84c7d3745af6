"""The HTTP server for callers.

Reads each request completely, matches it to a route and passes it to the plain
relay or the stream relay. When the caller disconnects, the request is
cancelled at the engine, unless it must not be retried: its outcome is worth
more than the capacity that it occupies.
"""

import asyncio
import logging

import aiomisc
from aiohttp import hdrs, web

from kumquat_core.clock import Clock
from kumquat_core.closing_listener import close_listener
from kumquat_core.intake.byte_budget import Holding
from kumquat_core.intake.intake_gate import IntakeGate
from kumquat_core.intake.large_response import PART_BYTES
from kumquat_core.log_events import log_event
from kumquat_core.result_codes import ResultCode
from kumquat_core.settings import Address

from .accounts.quota_gate import QuotaGate
from .caller_connection import CallerConnections
from .caller_request import CallerRequest
from .caller_response import CallerResponse, client_error, failure, refusal
from .caller_sink import CallerSink
from .cluster_state import ClusterState
from .cutoff import HOST_STOPPED, Cutoff
from .http_response import http_response
from .loop_passes import pass_loop
from .open_requests import OpenRequests
from .plain_relay import PlainRelay
from .protocols import EngineDialect
from .relay_metrics import RelayMetrics
from .request_reader import STOPPING_RETRY_AFTER_S, UNREAD_REASONS, RequestReader
from .response_sink import CallerDisconnectedError
from .routes import RouteKind
from .shutdown import Shutdown
from .stream_progress import COMPLETE
from .stream_relay import StreamRelay

__all__ = ["CallerServer"]

LISTEN_BACKLOG = 512
STOP_POLL_S = 0.02
# The web server parses up to a sixteenth as many chunks in one step.
READ_BUFFER_BYTES = 8 * 1024

logger = logging.getLogger(__name__)


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
        cutoff: Cutoff,
        quotas: QuotaGate,
        gate: IntakeGate,
    ) -> None:
        super().__init__()
        self._quotas = quotas
        self._gate = gate
        self._listen = listen
        self._clock = clock
        self._cluster_state = cluster_state
        self._plain_relay = plain
        self._stream_relay = streams
        self._shutdown = shutdown
        self._metrics = metrics
        self._detached_tasks: set[asyncio.Task[CallerResponse]] = set()
        self._open_requests = OpenRequests(clock, metrics)
        self._reader = RequestReader(
            clock, cluster_state, dialect, self._open_requests, gate
        )
        self._cutoff = cutoff
        self._closing = False
        self._runner: web.ServerRunner | None = None

    async def start(self) -> None:
        """Start to accept connections."""
        self._connections = CallerConnections(
            self._handle,
            lambda: self._shutdown.left_s,
            self._cluster_state.limits,
            self._gate,
            handler_cancellation=True,
            access_log=None,
            # Engines get bodies as they are, also compressed ones.
            auto_decompress=False,
            read_bufsize=READ_BUFFER_BYTES,
        )
        self._runner = web.ServerRunner(self._connections, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(
            self._runner, self._listen.ip, self._listen.port, backlog=LISTEN_BACKLOG
        )
        await site.start()
        assert site._server is not None
        self._gate.buffers.prepare_listeners(site._server, LISTEN_BACKLOG)

    async def drain(self) -> None:
        """Serve until the host may exit, then close all connections.

        New connections are accepted until the load balancer has removed the
        host.
        """
        await self._shutdown.wait_for_detection()
        await pass_loop()
        await self._stop_listening()
        reason = await self._shutdown.wait()
        log_event(
            logger,
            "exit_decided",
            reason=reason.value,
            in_progress=self._shutdown.in_progress,
            after_ms=round(self._shutdown.elapsed_s * 1000),
            grace_s=self._shutdown.grace_s,
        )
        await pass_loop()
        await self._close_connections()

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop listening, wait for requests and close all connections."""
        if self._runner is None:
            return
        await self._stop_listening()
        while self._shutdown.in_progress and self._shutdown.left_s > 0:
            await asyncio.sleep(STOP_POLL_S)
        await self._close_connections()
        await self._runner.cleanup()

    async def _stop_listening(self) -> None:
        assert self._runner is not None
        for site in list(self._runner.sites):
            server = site._server
            if server and (held := await close_listener(server, self._connections)):
                log_event(logger, "held_connections_accepted", count=held)
            await site.stop()

    async def _close_connections(self) -> None:
        """Answer every request that was read and close all connections."""
        if self._closing:
            return
        self._closing = True
        open_connections = len(self._connections.connections)
        self._cutoff.end_all()
        self._reader.end_incomplete()
        self._gate.flush()
        await self._connections.close_all()
        self._open_requests.cut_all()
        unsent = self._connections.unsent_counts
        log_event(
            logger,
            "connections_closed",
            open=open_connections,
            unsent=len(unsent),
            unsent_bytes=sum(unsent),
        )

    async def _handle(self, http_request: web.BaseRequest) -> web.StreamResponse:
        holding = self._gate.open(http_request)
        try:
            return await self._handle_held(http_request, holding)
        finally:
            self._gate.close(holding)

    async def _handle_held(
        self, http_request: web.BaseRequest, holding: Holding
    ) -> web.StreamResponse:
        arrived_s = self._clock.monotonic()
        if http_request.method == hdrs.METH_CONNECT:
            return await self._refuse_tunnel(http_request, arrived_s)
        result = await self._reader.read(http_request, holding)
        if isinstance(result, CallerResponse):
            self._record_end(None, result.code, result.reason, arrived_s)
            if result.reason in UNREAD_REASONS:
                return await self._connections.end_body(
                    http_request, http_response(result)
                )
            return await self._respond(http_request, result)
        longest_s = result.deadline_s - self._clock.monotonic()
        now_s = asyncio.get_running_loop().time()
        self._connections.expect_answer(http_request, now_s + longest_s)
        # A request behind the last response must not run: it gets no answer.
        announced = self._connections.close_announced(http_request)
        if self._closing or announced or not self._shutdown.accepts(longest_s):
            caller_response = refusal(
                ResultCode.DRAINING, "stopping", STOPPING_RETRY_AFTER_S
            )
            self._record_end(
                result, caller_response.code, caller_response.reason, arrived_s
            )
            return await self._respond(http_request, caller_response)
        with self._shutdown.track_work():
            refused = await self._check_quota(result)
            if refused is not None:
                return await self._respond(http_request, refused)
            if result.route.kind is RouteKind.STREAM:
                return await self._handle_stream(http_request, result, holding)
            caller_response = await self._handle_plain(result, holding)
        # The response takes the place of the body.
        del result
        is_large = len(caller_response.body) > PART_BYTES
        if is_large and not (self._shutdown.draining or self._closing):
            response = http_response(caller_response)
            return await self._gate.send_large(holding, http_request, response)
        return await self._respond(http_request, caller_response)

    async def _refuse_tunnel(
        self, http_request: web.BaseRequest, arrived_s: float
    ) -> web.StreamResponse:
        """Refuse a request for a tunnel, whose bytes have no end.

        What follows belongs to the tunnel, so the connection is closed.
        """
        caller_response = client_error(
            400, ResultCode.INVALID_FIELD, "method_not_supported"
        )
        self._record_end(None, caller_response.code, caller_response.reason, arrived_s)
        response = http_response(caller_response)
        await self._connections.send_last(http_request, response)
        return response

    async def _check_quota(self, request: CallerRequest) -> CallerResponse | None:
        """Return the response to a request over the quota of its account."""
        try:
            refused = await self._quotas.admit(request)
        except asyncio.CancelledError:
            code, reason = ResultCode.CALLER_GONE, "caller_gone"
            self._record_end(request, code, reason, request.arrived_s)
            raise
        except Exception as error:
            refused = self._internal_error(request, error)
        if refused is not None:
            self._record_end(request, refused.code, refused.reason, request.arrived_s)
        return refused

    async def _handle_plain(
        self, request: CallerRequest, holding: Holding
    ) -> CallerResponse:
        """Relay a plain request, detached if it must not be retried."""
        task = asyncio.ensure_future(self._plain_relay.run(request))
        try:
            if request.route.allows_retry:
                caller_response = await task
            else:
                caller_response = await asyncio.shield(task)
        except asyncio.CancelledError:
            self._record_end(
                request, ResultCode.CALLER_GONE, "caller_gone", request.arrived_s
            )
            if not request.route.allows_retry:
                self._gate.detach(holding, task)
                self._detach(request, task)
            raise
        except Exception as error:
            caller_response = self._internal_error(request, error)
        self._quotas.settle(request, caller_response)
        self._record_end(
            request, caller_response.code, caller_response.reason, request.arrived_s
        )
        return caller_response

    def _detach(
        self, request: CallerRequest, task: asyncio.Task[CallerResponse]
    ) -> None:
        """Let a request run on whose caller has closed its connection."""
        self._detached_tasks.add(task)
        self._open_requests.add(request)
        self._shutdown.begin_work()
        task.add_done_callback(lambda _: self._detached_ended(request, task))

    def _detached_ended(
        self, request: CallerRequest, task: asyncio.Task[CallerResponse]
    ) -> None:
        self._detached_tasks.discard(task)
        self._shutdown.end_work()
        self._open_requests.remove(request)
        if task.cancelled():
            return
        error = task.exception()
        response = (
            self._internal_error(request, error) if error is not None else task.result()
        )
        self._quotas.settle(request, response)
        log_event(
            logger,
            "detached_ended",
            request=request.id,
            code=response.code.value,
            reason=response.reason,
        )
        if response.reason == HOST_STOPPED:
            self._open_requests.record_cut(request)

    async def _handle_stream(
        self,
        http_request: web.BaseRequest,
        request: CallerRequest,
        holding: Holding,
    ) -> web.StreamResponse:
        # A request that was read behind this one is answered first.
        has_next = self._connections.has_next_request(http_request)
        close = self._shutdown.draining and not has_next
        sink = CallerSink(http_request, self._gate, holding, close=close)
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
            caller_response = caller_response or failure(code, reason)
            self._quotas.settle(request, caller_response)
            return await self._respond(http_request, caller_response)
        if reason == COMPLETE and sink.announces_close:
            self._connections.close_later(http_request)
        return sink.response

    def _internal_error(
        self, request: CallerRequest, error: BaseException
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

    async def _respond(
        self, http_request: web.BaseRequest, caller_response: CallerResponse
    ) -> web.Response:
        """Return a response; while the host is stopping, send it at once."""
        response = http_response(caller_response)
        if self._shutdown.draining or self._closing:
            await self._connections.send_last(http_request, response)
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
        if request is not None:
            self._open_requests.remove(request)
        if request is not None and reason == HOST_STOPPED:
            self._open_requests.record_cut(request)
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

"""The HTTP interface for callers.

Every request is validated here and its tenant authenticated before anything
else sees it. A request that fails validation touches no engine.
"""

import asyncio
import hashlib
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import aiomisc
from aiohttp import web

from kumquat_core.backend_client import BackendResponse
from kumquat_core.clock import Clock
from kumquat_core.configuration import (
    Configuration,
    RequestClass,
    Service,
    ServiceKind,
    Tenant,
)
from kumquat_core.engine_client import Token
from kumquat_core.log_events import log_event
from kumquat_core.request_ids import RequestId, RequestIdSource
from kumquat_core.result_codes import ResultCode, RouterError, spec_of
from kumquat_core.settings import Options
from kumquat_core.tickets import TicketStore

from .answers import (
    StreamFormat,
    completion_document,
    error_response,
    success_headers,
)
from .border import (
    DEFAULT_MAX_TOKENS,
    CompletionModel,
    parse_completion,
    parse_deadline_ms,
)
from .drain import Drain
from .model_path import ModelPath, ModelRequest, ModelTimes
from .plain_path import PlainPath, PlainRequest
from .request_observer import RequestObserver

__all__ = ["CallerApi"]

BEARER = "Bearer "
MAX_IDEMPOTENCY_KEY_LENGTH = 128

# Label of requests that end before their tenant or class is known.
UNKNOWN_LABEL = "unknown"

# aiohttp ends a connection that sends no request for this time.
KEEPALIVE_S = 75.0

REQUEST_ID = web.RequestKey("request_id", RequestId)
TENANT = web.RequestKey("tenant", str)
CLASS_NAME = web.RequestKey("class_name", str)
STREAM_CODE = web.RequestKey("stream_code", ResultCode)

logger = logging.getLogger(__name__)

Handler = Callable[[web.Request, RequestId], Awaitable[web.StreamResponse]]


@dataclass(frozen=True)
class _Caller:
    """An authenticated request before its body is looked at."""

    request_id: RequestId
    tenant: Tenant
    configuration: Configuration


class _StreamSink:
    """Writes tokens to the caller as server-sent events."""

    def __init__(
        self,
        http_request: web.Request,
        stream_format: StreamFormat,
        buffer_bytes: int,
    ) -> None:
        self._http_request = http_request
        self._format = stream_format
        self._buffer_bytes = buffer_bytes
        self.response: web.StreamResponse | None = None

    async def write(self, tokens: list[Token], times: ModelTimes) -> None:
        """Send tokens; waits while the caller reads slowly."""
        try:
            if self.response is None:
                self.response = await self._prepare(times)
            await self.response.write(self._format.tokens(tokens))
        except ConnectionError as error:
            raise RouterError(ResultCode.CALLER_GONE) from error

    async def finish(self, finish_reason: str, times: ModelTimes) -> web.StreamResponse:
        """Send the end of the stream."""
        try:
            if self.response is None:
                self.response = await self._prepare(times)
            await self.response.write(self._format.end(finish_reason))
            await self.response.write_eof()
        except ConnectionError as error:
            raise RouterError(ResultCode.CALLER_GONE) from error
        return self.response

    async def fail(self, error: RouterError) -> web.StreamResponse:
        """Send an error event, without the end marker."""
        assert self.response is not None
        try:
            await self.response.write(self._format.error(error))
            await self.response.write_eof()
        except ConnectionError:
            pass
        return self.response

    async def _prepare(self, times: ModelTimes) -> web.StreamResponse:
        request_id = self._http_request[REQUEST_ID]
        headers = success_headers(request_id) | _engine_headers(times)
        headers["Content-Type"] = "text/event-stream"
        headers["Cache-Control"] = "no-cache"
        if self._http_request.transport is not None:
            # Above this mark ``write`` waits, and no more tokens are read
            # from the engine.
            self._http_request.transport.set_write_buffer_limits(self._buffer_bytes)
        response = web.StreamResponse(headers=headers)
        await response.prepare(self._http_request)
        return response


class _BufferSink:
    """Collects the text of an answer that is not streamed."""

    def __init__(self) -> None:
        self._parts: list[str] = []

    @property
    def text(self) -> str:
        """Return the text received so far."""
        return "".join(self._parts)

    async def write(self, tokens: list[Token], times: ModelTimes) -> None:
        """Keep tokens."""
        self._parts.extend(token.text for token in tokens)


class CallerApi(aiomisc.Service):
    """Serves callers over HTTP."""

    def __init__(
        self,
        options: Options,
        tickets: TicketStore,
        ids: RequestIdSource,
        model_path: ModelPath,
        plain_path: PlainPath,
        drain: Drain,
        clock: Clock,
        observer: RequestObserver,
    ) -> None:
        super().__init__()
        self._clock = clock
        self._observer = observer
        self._options = options
        self._tickets = tickets
        self._ids = ids
        self._model_path = model_path
        self._plain_path = plain_path
        self._drain = drain
        self._runner: web.AppRunner | None = None

    def create_app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=self._options.limits.max_body_bytes)
        app.router.add_post("/v1/completions", self._completions)
        app.router.add_route("*", "/services/{service}/{path:.*}", self._plain)
        app.on_response_prepare.append(self._close_when_draining)
        return app

    async def _close_when_draining(
        self, _: web.Request, response: web.StreamResponse
    ) -> None:
        """End reused connections, so that the balancer opens new ones."""
        if self._drain.draining:
            response.force_close()

    async def start(self) -> None:
        """Start listening."""
        self._runner = web.AppRunner(
            self.create_app(),
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=KEEPALIVE_S,
        )
        await self._runner.setup()
        listen = self._options.caller_listen
        await web.TCPSite(self._runner, listen.ip, listen.port, backlog=1024).start()

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop listening and close all connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _completions(self, http_request: web.Request) -> web.StreamResponse:
        return await self._guarded(http_request, self._complete)

    async def _plain(self, http_request: web.Request) -> web.StreamResponse:
        return await self._guarded(http_request, self._call_service)

    async def _guarded(
        self, http_request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Run a handler; every failure becomes an answer with a code."""
        request_id = self._ids.next_id()
        http_request[REQUEST_ID] = request_id
        code = ResultCode.OK
        began_s = self._clock.monotonic()
        self._observer.metrics.request_started()
        try:
            with self._drain.request():
                return await handler(http_request, request_id)
        except RouterError as error:
            code = error.code
            return error_response(error, request_id)
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
            # A stream that failed after its start has answered with 200.
            code = http_request.get(STREAM_CODE, code)
            self._observer.finished(
                str(request_id),
                http_request.get(CLASS_NAME, UNKNOWN_LABEL),
                http_request.get(TENANT, UNKNOWN_LABEL),
                code,
                self._clock.monotonic() - began_s,
            )
            log_event(
                logger,
                "request_ended",
                request=request_id,
                tenant=http_request.get(TENANT),
                code=code.value,
            )

    def _authenticate(
        self, http_request: web.Request, request_id: RequestId
    ) -> _Caller:
        configuration = self._tickets.configuration
        if configuration.position == 0:
            raise RouterError(ResultCode.NOT_READY, retry_after_s=2.0)
        header = http_request.headers.get("Authorization", "")
        if not header.startswith(BEARER):
            raise RouterError(ResultCode.UNAUTHENTICATED, "no bearer token")
        digest = hashlib.sha256(header[len(BEARER) :].encode()).hexdigest()
        tenant = configuration.tenants_by_key_sha256.get(digest)
        if tenant is None:
            raise RouterError(ResultCode.UNAUTHENTICATED, "unknown key")
        http_request[TENANT] = tenant.name
        return _Caller(request_id, tenant, configuration)

    async def _read_body(self, http_request: web.Request) -> bytes:
        try:
            async with asyncio.timeout(self._options.limits.body_timeout_s):
                return await http_request.read()
        except TimeoutError as error:
            raise RouterError(ResultCode.SLOW_SENDER) from error
        except web.HTTPRequestEntityTooLarge as error:
            raise RouterError(ResultCode.BODY_TOO_LARGE) from error

    async def _complete(
        self, http_request: web.Request, request_id: RequestId
    ) -> web.StreamResponse:
        caller = self._authenticate(http_request, request_id)
        body = parse_completion(await self._read_body(http_request))
        request = _model_request(caller, body, http_request)
        http_request[CLASS_NAME] = request.request_class.name
        if body.stream:
            return await self._stream(http_request, caller, request)
        sink = _BufferSink()
        times = await self._model_path.run(caller.configuration, request, sink)
        document = completion_document(
            request_id,
            request.model.name,
            sink.text,
            _finish_reason(request, times),
            request.prompt_tokens,
            times.tokens,
        )
        headers = success_headers(request_id) | _engine_headers(times)
        return web.json_response(document, headers=headers)

    async def _stream(
        self, http_request: web.Request, caller: _Caller, request: ModelRequest
    ) -> web.StreamResponse:
        stream_format = StreamFormat(request.request_id, request.model.name)
        buffer_bytes = self._options.limits.stream_buffer_bytes
        sink = _StreamSink(http_request, stream_format, buffer_bytes)
        try:
            times = await self._model_path.run(caller.configuration, request, sink)
            return await sink.finish(_finish_reason(request, times), times)
        except RouterError as error:
            if sink.response is None:
                raise
            log_event(
                logger,
                "stream_failed",
                level=logging.WARNING,
                request=request.request_id,
                code=error.code.value,
                detail=error.detail,
            )
            http_request[STREAM_CODE] = error.code
            return await sink.fail(error)

    async def _call_service(
        self, http_request: web.Request, request_id: RequestId
    ) -> web.StreamResponse:
        caller = self._authenticate(http_request, request_id)
        service = _find_service(caller, http_request.match_info["service"])
        http_request[CLASS_NAME] = service.name
        deadline_ms = parse_deadline_ms(http_request.headers) or service.timeout_ms
        request = PlainRequest(
            request_id=request_id,
            tenant=caller.tenant.name,
            service=service,
            method=http_request.method,
            path=_service_path(http_request),
            body=await self._read_body(http_request),
            headers=dict(http_request.headers),
            idempotency_key=_idempotency_key(http_request),
            deadline_ms=min(deadline_ms, service.timeout_ms),
        )
        answer = await self._plain_path.run(caller.configuration, request)
        return _service_response(request_id, answer)


def _model_request(
    caller: _Caller, body: CompletionModel, http_request: web.Request
) -> ModelRequest:
    configuration, tenant = caller.configuration, caller.tenant
    pool = configuration.pool_for(tenant.name, body.model)
    model = configuration.models_by_name.get(body.model)
    if pool is None or model is None:
        raise RouterError(ResultCode.UNKNOWN_MODEL, body.model)
    prompt_tokens = max(1, round(len(body.prompt.encode()) / model.bytes_per_token))
    if prompt_tokens > model.max_prompt_tokens:
        detail = f"{prompt_tokens} > {model.max_prompt_tokens} tokens"
        raise RouterError(ResultCode.PROMPT_TOO_LONG, detail)
    max_tokens = body.max_tokens or min(DEFAULT_MAX_TOKENS, model.max_output_tokens)
    if max_tokens > model.max_output_tokens:
        detail = f"max_tokens: greater than {model.max_output_tokens}"
        raise RouterError(ResultCode.INVALID_FIELD, detail)
    request_class = _request_class(caller, http_request)
    deadline_ms = parse_deadline_ms(http_request.headers) or request_class.deadline_ms
    deadline_ms = min(deadline_ms, request_class.deadline_ms)
    return ModelRequest(
        request_id=caller.request_id,
        tenant=tenant.name,
        request_class=request_class,
        model=model,
        pool=pool.name,
        prompt=body.prompt,
        prompt_tokens=prompt_tokens,
        max_tokens=max_tokens,
        patience_ms=min(request_class.patience_ms, deadline_ms),
        deadline_ms=deadline_ms,
    )


def _request_class(caller: _Caller, http_request: web.Request) -> RequestClass:
    name = http_request.headers.get("X-Request-Class", caller.tenant.default_class)
    request_class = caller.configuration.classes_by_name.get(name)
    if request_class is None:
        raise RouterError(
            ResultCode.INVALID_FIELD, f"X-Request-Class: no class {name!r}"
        )
    return request_class


def _find_service(caller: _Caller, name: str) -> Service:
    service = caller.configuration.services_by_name.get(name)
    if service is None or service.kind is not ServiceKind.PLAIN:
        raise RouterError(ResultCode.UNKNOWN_SERVICE, name)
    if not caller.configuration.allows_service(caller.tenant.name, name):
        raise RouterError(ResultCode.FORBIDDEN, name)
    return service


def _service_path(http_request: web.Request) -> str:
    path = http_request.match_info["path"]
    query = http_request.query_string
    return f"{path}?{query}" if query else path


def _idempotency_key(http_request: web.Request) -> str | None:
    key = http_request.headers.get("Idempotency-Key")
    if key is None:
        return None
    if not 0 < len(key) <= MAX_IDEMPOTENCY_KEY_LENGTH or not key.isprintable():
        raise RouterError(ResultCode.INVALID_IDEMPOTENCY_KEY)
    return key


def _service_response(request_id: RequestId, answer: BackendResponse) -> web.Response:
    headers = success_headers(request_id)
    if answer.content_type:
        headers["Content-Type"] = answer.content_type
    if answer.status >= 500:
        headers["X-Result-Code"] = str(ResultCode.BACKEND_FAILED.value)
        headers["X-Execution"] = spec_of(ResultCode.BACKEND_FAILED).execution.value
    return web.Response(status=answer.status, body=answer.body, headers=headers)


def _engine_headers(times: ModelTimes) -> dict[str, str]:
    return {
        "X-Prefill-Engine": times.prefill_engine,
        "X-Decode-Engine": times.decode_engine,
    }


def _finish_reason(request: ModelRequest, times: ModelTimes) -> str:
    return "length" if times.tokens >= request.max_tokens else "stop"

"""Sinks for the tokens of a model request: an event stream or a buffer."""

from aiohttp import web

from kumquat_core.engine_client import Token
from kumquat_core.intake.byte_budget import Holding
from kumquat_core.intake.intake_gate import IntakeGate
from kumquat_core.result_codes import ResultCode, RouterError

from .model_request import ModelRequest, RequestStats
from .responses import StreamFormat, engine_headers, success_headers

__all__ = ["BufferSink", "StreamSink"]


class StreamSink:
    """Writes tokens to the caller as server-sent events."""

    def __init__(
        self,
        http_request: web.Request,
        request: ModelRequest,
        buffer_bytes: int,
        gate: IntakeGate,
        holding: Holding,
    ) -> None:
        self._http_request = http_request
        self._gate = gate
        self._holding = holding
        self._request_id = request.request_id
        self._format = StreamFormat(request.request_id, request.model.name)
        self._buffer_bytes = buffer_bytes
        self.response: web.StreamResponse | None = None

    async def write(self, tokens: list[Token], stats: RequestStats) -> None:
        """Send tokens; blocks while the write buffer to the caller is full."""
        try:
            if self.response is None:
                self.response = await self._prepare(stats)
            data = self._format.tokens(tokens)
            # Counted before the write, which blocks while the buffer is full.
            self._gate.stream_written(self._holding, len(data))
            await self.response.write(data)
        except ConnectionError as error:
            raise RouterError(ResultCode.CALLER_GONE) from error

    async def finish(
        self, finish_reason: str, stats: RequestStats
    ) -> web.StreamResponse:
        """Send the last event and the end marker, and close the stream."""
        try:
            if self.response is None:
                self.response = await self._prepare(stats)
            await self.response.write(self._format.end(finish_reason))
            await self.response.write_eof()
        except ConnectionError as error:
            raise RouterError(ResultCode.CALLER_GONE) from error
        return self.response

    async def fail(self, error: RouterError) -> web.StreamResponse:
        """End a started stream with an error event and no end marker."""
        assert self.response is not None
        try:
            await self.response.write(self._format.error(error))
            await self.response.write_eof()
        except ConnectionError:
            pass
        return self.response

    async def _prepare(self, stats: RequestStats) -> web.StreamResponse:
        headers = success_headers(self._request_id) | engine_headers(stats)
        headers["Content-Type"] = "text/event-stream"
        headers["Cache-Control"] = "no-cache"
        if self._http_request.transport is not None:
            # Above this limit ``write`` blocks, so that no more tokens are
            # read from the engine.
            self._http_request.transport.set_write_buffer_limits(self._buffer_bytes)
            self._gate.begin_stream(self._holding, self._http_request.transport)
        response = web.StreamResponse(headers=headers)
        await response.prepare(self._http_request)
        return response


class BufferSink:
    """Collects the text of a response that is not streamed."""

    def __init__(self) -> None:
        self._parts: list[str] = []

    @property
    def text(self) -> str:
        """Return the text received so far."""
        return "".join(self._parts)

    async def write(self, tokens: list[Token], stats: RequestStats) -> None:
        """Append the text of tokens."""
        self._parts.extend(token.text for token in tokens)

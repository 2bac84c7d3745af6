"""Common parts of the emulated HTTP servers."""

import asyncio
import json
from collections.abc import Awaitable, Callable

from aiohttp import web

from kumquat_core.proved_exchange import CALL_ID_HEADER

from .engine_state import EngineError

__all__ = ["LOOPBACK", "Handler", "error_middleware", "return_call_id", "serve_app"]

LOOPBACK = "127.0.0.1"
LISTEN_BACKLOG = 1024

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@web.middleware
async def error_middleware(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    """Return errors of an emulated server as JSON with their status."""
    try:
        return await handler(request)
    except EngineError as error:
        return web.json_response({"error": error.message}, status=error.status)
    except (KeyError, TypeError, json.JSONDecodeError) as error:
        return web.json_response({"error": f"bad request: {error}"}, status=400)


async def return_call_id(request: web.Request, response: web.StreamResponse) -> None:
    """Give a response the call id of its request."""
    call_id = request.headers.get(CALL_ID_HEADER)
    if call_id is not None:
        response.headers[CALL_ID_HEADER] = call_id


async def serve_app(app: web.Application, port: int) -> None:
    """Serve an application on loopback until cancelled."""
    # Handlers are cancelled when a caller disconnects, as a real engine
    # detects a closed connection.
    runner = web.AppRunner(app, handler_cancellation=True, access_log=None)
    await runner.setup()
    try:
        site = web.TCPSite(
            runner, LOOPBACK, port, backlog=LISTEN_BACKLOG, reuse_address=True
        )
        await site.start()
        await asyncio.Event().wait()
    finally:
        await runner.cleanup()

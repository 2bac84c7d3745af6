"""Common parts of the stand-ins' HTTP servers."""

import asyncio
import json
from collections.abc import Awaitable, Callable

from aiohttp import web

from .engine_state import EngineError

__all__ = ["LOOPBACK", "Handler", "error_middleware", "serve_app"]

LOOPBACK = "127.0.0.1"
BACKLOG = 1024

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@web.middleware
async def error_middleware(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    """Answer errors of a stand-in as JSON with their status."""
    try:
        return await handler(request)
    except EngineError as error:
        return web.json_response({"error": error.message}, status=error.status)
    except (KeyError, TypeError, json.JSONDecodeError) as error:
        return web.json_response({"error": f"bad request: {error}"}, status=400)


async def serve_app(app: web.Application, port: int) -> None:
    """Serve an application on loopback until cancelled."""
    # Handlers are cancelled when a caller disconnects, as a real engine
    # notices a broken connection.
    runner = web.AppRunner(app, handler_cancellation=True, access_log=None)
    await runner.setup()
    try:
        site = web.TCPSite(runner, LOOPBACK, port, backlog=BACKLOG, reuse_address=True)
        await site.start()
        await asyncio.Event().wait()
    finally:
        await runner.cleanup()

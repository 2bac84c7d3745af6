"""Common parts of the emulated HTTP servers."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Protocol

from aiohttp import web

from kumquat_core.proved_exchange import CALL_ID_HEADER

from .engine_state import EngineError

__all__ = [
    "LOOPBACK",
    "CrashingServer",
    "Handler",
    "error_middleware",
    "return_call_id",
    "serve_app",
]

LOOPBACK = "127.0.0.1"
LISTEN_BACKLOG = 1024
DOWN_POLL_S = 0.02

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class CrashingServer(Protocol):
    """An emulated server that a request may crash."""

    @property
    def crashed(self) -> asyncio.Event:
        """Return the event that a crash sets."""

    def is_down(self) -> bool:
        """Return whether the server has crashed and is not back yet."""


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


async def serve_app(
    app: web.Application, port: int, server: CrashingServer | None = None
) -> None:
    """Serve an application on loopback until cancelled.

    When ``server`` crashes, all its connections are reset, and new ones are
    refused until it is back.
    """
    # Handlers are cancelled when a caller disconnects, as a real engine
    # detects a closed connection.
    runner = web.AppRunner(app, handler_cancellation=True, access_log=None)
    await runner.setup()
    try:
        while True:
            site = web.TCPSite(
                runner, LOOPBACK, port, backlog=LISTEN_BACKLOG, reuse_address=True
            )
            await site.start()
            if server is None:
                await asyncio.Event().wait()
                continue
            await server.crashed.wait()
            await site.stop()
            _reset_connections(runner)
            while server.is_down():
                await asyncio.sleep(DOWN_POLL_S)
            server.crashed.clear()
    finally:
        await runner.cleanup()


def _reset_connections(runner: web.AppRunner) -> None:
    """Close all connections of a server without the rest of their answers."""
    assert runner.server is not None
    for connection in runner.server.connections:
        if connection.transport is not None:
            connection.transport.abort()

"""HTTP interface of the emulated engines, as the design page defines it.

One process serves several engines, each on its own port.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp
from aiohttp import web

from kumquat_core.clock import SystemClock

from .cost_model import EngineHostConfig
from .emulated_engine import EmulatedEngine
from .serving import Handler, error_middleware, return_call_id, serve_app
from .stutter import CopyKind, Stutter

__all__ = ["engine_app", "run_engines"]

REFUSALS = frozenset({409, 410, 412, 429, 503, 507})


def _json_handler(
    call: Callable[[dict[str, Any]], Awaitable[dict[str, Any]]],
) -> Handler:
    async def handle(request: web.Request) -> web.Response:
        return web.json_response(await call(await request.json()))

    return handle


def _kind_of_response(request: web.Request, status: int) -> CopyKind | None:
    """Return the kind of a response, or None if it is never copied.

    Engines fetch from each other, and tools of the lab read and control
    engines, without proof that a response is no copy.
    """
    if not request.path.startswith("/v1/") or request.path.startswith("/v1/kv/"):
        return None
    if status >= 400:
        return CopyKind.REFUSAL if status in REFUSALS else CopyKind.ERROR
    kinds = {"/v1/prefill": CopyKind.PREFILL, "/v1/decode": CopyKind.STREAM}
    return kinds.get(request.path, CopyKind.CONTROL)


def engine_app(engine: EmulatedEngine) -> web.Application:
    """Return the HTTP application of one engine."""

    async def export(request: web.Request) -> web.Response:
        return web.json_response(engine.begin_export(request.match_info["prefill_id"]))

    async def release(request: web.Request) -> web.Response:
        engine.end_export(request.match_info["prefill_id"])
        return web.json_response({})

    async def cancel(request: web.Request) -> web.Response:
        engine.cancel(request.match_info["request_id"])
        return web.json_response({})

    async def report(request: web.Request) -> web.Response:
        fresh = request.query.get("fresh") == "1"
        return web.json_response(engine.report() if fresh else engine.lagging_report())

    async def events(request: web.Request) -> web.Response:
        after = int(request.query.get("after", "0"))
        return web.json_response({"events": engine.cache_events(after)})

    async def order(request: web.Request) -> web.Response:
        await engine.apply_command(await request.json())
        return web.json_response({})

    stutter = Stutter(
        random.Random(f"stutter/{engine.config.engine_id}"), _kind_of_response
    )

    async def faults(request: web.Request) -> web.Response:
        body = await request.json()
        engine.apply_faults(body)
        return web.json_response({"copies": stutter.apply_fault(body)})

    async def counts(_: web.Request) -> web.Response:
        evicted = engine.results.evicted
        return web.json_response(
            {
                **engine.counts,
                "evicted": evicted,
                "busy_s": engine.busy_s,
                "prefill_seeds": engine.prefill_seeds,
            }
        )

    @web.middleware
    async def down_middleware(
        request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Close connections while the engine is down, except for faults."""
        if engine.is_down() and request.path not in ("/faults", "/counts"):
            if request.transport is not None:
                request.transport.abort()
            raise web.HTTPServiceUnavailable
        return await handler(request)

    app = web.Application(
        middlewares=[down_middleware, error_middleware], client_max_size=16_000_000
    )
    app.on_response_prepare.append(return_call_id)
    stutter.add_to(app)
    app.router.add_post("/v1/prefill", _json_handler(engine.prefill))
    app.router.add_post("/v1/import", _json_handler(engine.import_cache))
    app.router.add_post("/v1/decode", engine.decode)
    app.router.add_post("/v1/kv/{prefill_id}", export)
    app.router.add_delete("/v1/kv/{prefill_id}", release)
    app.router.add_delete("/v1/requests/{request_id}", cancel)
    app.router.add_get("/v1/report", report)
    app.router.add_get("/v1/cache-events", events)
    app.router.add_post("/v1/orders", order)
    app.router.add_post("/faults", faults)
    app.router.add_get("/counts", counts)
    return app


async def run_engines(config: EngineHostConfig) -> None:
    """Serve all engines of a configuration until cancelled."""
    clock = SystemClock()
    connector = aiohttp.TCPConnector(limit=0)
    async with (
        aiohttp.ClientSession(connector=connector) as session,
        asyncio.TaskGroup() as group,
    ):
        for item in config.engines:
            rng = random.Random(f"{config.seed}/{item.engine_id}")
            engine = EmulatedEngine(item, clock, rng, session)
            for loop_function in engine.background_loops():
                group.create_task(loop_function())
            group.create_task(serve_app(engine_app(engine), item.port, engine))

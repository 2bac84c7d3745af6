"""Emulated plain backend server.

It counts executions for each request key and for each request body, so that
a test detects a repeated execution even if the router changes the key. With
``checks_fencing`` it refuses a fence lower than the highest seen for a key.
Faults: ``delay_ms`` before the execution, ``drop_answers`` (number of
responses dropped after the execution), ``refuse`` (status 503 before it),
``crash_text`` with ``crash_s`` (a call whose path or body contains the text
crashes the server when it begins to run) and ``stutter`` (copies of
responses).
"""

import asyncio
import random
import time
from collections import Counter
from typing import Any

from aiohttp import web
from pydantic import BaseModel, ConfigDict

from .emulated_responses import receipt
from .serving import error_middleware, return_call_id, serve_app
from .stutter import CopyKind, Stutter

__all__ = [
    "BackendConfig",
    "BackendHostConfig",
    "BackendServerState",
    "backend_app",
    "run_backends",
]


class BackendConfig(BaseModel):
    """Settings of one emulated backend server."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    server_id: str
    service: str
    port: int
    checks_fencing: bool = False
    service_ms: float = 5.0


class BackendHostConfig(BaseModel):
    """The backend servers of one process, each on its own port."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    servers: tuple[BackendConfig, ...]


class BackendServerState:
    """Fences and execution counts of a backend server."""

    def __init__(self, checks_fencing: bool) -> None:
        self._checks_fencing = checks_fencing
        self._fences_by_key: dict[str, int] = {}
        self.executions_by_key: Counter[str] = Counter()
        self.executions_by_body: Counter[str] = Counter()

    def accept(self, key: str, fence: int) -> bool:
        """Record the fence of a call; return False if it is stale."""
        highest = self._fences_by_key.get(key, 0)
        self._fences_by_key[key] = max(highest, fence)
        return fence >= highest or not self._checks_fencing

    def execute(self, key: str, body: bytes) -> None:
        """Count an execution."""
        self.executions_by_key[key] += 1
        self.executions_by_body[body.decode(errors="replace")] += 1

    def raise_fence(self, key: str, fence: int) -> bool:
        """Raise the fence of a key; return whether it was ever executed."""
        highest = self._fences_by_key.get(key, 0)
        self._fences_by_key[key] = max(highest, fence)
        return self.executions_by_key[key] > 0


class _Backend:
    def __init__(self, config: BackendConfig) -> None:
        self.config = config
        self.state = BackendServerState(config.checks_fencing)
        self.delay_ms = 0.0
        self.drop_answers = 0
        self.refuse = False
        self.crash_text = ""
        self.crash_s = 1.0
        self.crashes = 0
        self.crashed = asyncio.Event()
        self._down_until_s = 0.0
        self.stutter = Stutter(
            random.Random(f"stutter/{config.server_id}"), _kind_of_response
        )

    def is_down(self) -> bool:
        """Return whether the server has crashed and is not back yet."""
        return time.monotonic() < self._down_until_s

    def _crash_under(self, request: web.Request, body: bytes) -> None:
        """Crash if the call is one that crashes the server."""
        text = self.crash_text.encode()
        if not text or text not in request.path.encode() + b"\n" + body:
            return
        self.crashes += 1
        self._down_until_s = time.monotonic() + self.crash_s
        self.crashed.set()
        if request.transport is not None:
            request.transport.abort()
        raise web.HTTPServiceUnavailable

    async def call(self, request: web.Request) -> web.StreamResponse:
        """Execute a call, once its fence is accepted."""
        body = await request.read()
        if self.refuse:
            return web.Response(status=503)
        if request.method in ("GET", "HEAD"):
            self._crash_under(request, body)
            return self._response(body)
        key = request.headers.get("X-Request-Key", "")
        if not self.state.accept(key, int(request.headers.get("X-Fence", "0"))):
            return web.json_response({"error": "stale fence"}, status=412)
        # An accepted call cannot be withdrawn: it continues when the caller
        # disconnects.
        return await asyncio.shield(self._execute(request, key, body))

    async def _execute(
        self, request: web.Request, key: str, body: bytes
    ) -> web.StreamResponse:
        self.state.execute(key, body)
        self._crash_under(request, body)
        await asyncio.sleep((self.config.service_ms + self.delay_ms) / 1000)
        if self.drop_answers > 0:
            self.drop_answers -= 1
            if request.transport is not None:
                request.transport.abort()
        return self._response(body)

    def _response(self, body: bytes) -> web.Response:
        content = receipt(self.config.service, body)
        return web.Response(body=content, content_type="application/json")

    async def fence(self, request: web.Request) -> web.Response:
        """Raise the fence of a key."""
        body = await request.json()
        seen = self.state.raise_fence(body["key"], int(body["fence"]))
        return web.json_response({"seen": seen})

    async def executions(self, _: web.Request) -> web.Response:
        """Return the execution counts."""
        return web.json_response(
            {
                "by_key": self.state.executions_by_key,
                "by_body": self.state.executions_by_body,
                "crashes": self.crashes,
            }
        )

    async def faults(self, request: web.Request) -> web.Response:
        """Set faults."""
        body: dict[str, Any] = await request.json()
        self.delay_ms = float(body.get("delay_ms", self.delay_ms))
        self.drop_answers = int(body.get("drop_answers", self.drop_answers))
        self.refuse = bool(body.get("refuse", self.refuse))
        self.crash_text = str(body.get("crash_text", self.crash_text))
        self.crash_s = float(body.get("crash_s", self.crash_s))
        return web.json_response({"copies": self.stutter.apply_fault(body)})


def _kind_of_response(request: web.Request, status: int) -> CopyKind | None:
    """Return the kind of a response, or None if it is never copied."""
    if request.path in ("/executions", "/faults"):
        return None
    if status >= 400:
        return CopyKind.REFUSAL if status in (412, 503) else CopyKind.ERROR
    return CopyKind.CONTROL if request.path == "/fence" else CopyKind.SUCCESS


def backend_app(config: BackendConfig) -> web.Application:
    """Return the HTTP application of a backend server."""
    return _backend_app(_Backend(config))


def _backend_app(backend: _Backend) -> web.Application:
    app = web.Application(middlewares=[error_middleware])
    app.on_response_prepare.append(return_call_id)
    backend.stutter.add_to(app)
    app.router.add_post("/fence", backend.fence)
    app.router.add_get("/executions", backend.executions)
    app.router.add_post("/faults", backend.faults)
    app.router.add_route("*", "/{path:.*}", backend.call)
    return app


async def run_backends(config: BackendHostConfig) -> None:
    """Serve all backend servers of a configuration until cancelled."""
    async with asyncio.TaskGroup() as group:
        for item in config.servers:
            backend = _Backend(item)
            app = _backend_app(backend)
            group.create_task(serve_app(app, item.port, backend))

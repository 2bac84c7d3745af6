"""HTTP interface for the balancer and operators, on a port of its own."""

from collections.abc import Callable
from typing import Any

import aiomisc
from aiohttp import web

from kumquat_core.settings import Address

from .drain import Drain

__all__ = ["AdminApi"]

StatusSource = Callable[[], dict[str, Any]]


class AdminApi(aiomisc.Service):
    """Serves liveness, readiness, status and drain."""

    def __init__(
        self,
        listen: Address,
        is_ready: Callable[[], bool],
        status: StatusSource,
        drain: Drain,
    ) -> None:
        super().__init__()
        self._listen = listen
        self._is_ready = is_ready
        self._status = status
        self._drain = drain
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Start listening."""
        app = web.Application()
        app.router.add_get("/livez", self._livez)
        app.router.add_get("/readyz", self._readyz)
        app.router.add_get("/admin/status", self._get_status)
        app.router.add_post("/admin/drain", self._begin_drain)
        app.router.add_post("/admin/undrain", self._end_drain)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        await web.TCPSite(self._runner, self._listen.ip, self._listen.port).start()

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _livez(self, _: web.Request) -> web.Response:
        return web.json_response({"live": True})

    async def _readyz(self, _: web.Request) -> web.Response:
        ready = self._is_ready() and not self._drain.draining
        return web.json_response({"ready": ready}, status=200 if ready else 503)

    async def _get_status(self, _: web.Request) -> web.Response:
        return web.json_response(self._status())

    async def _begin_drain(self, _: web.Request) -> web.Response:
        self._drain.begin()
        return web.json_response({"draining": True})

    async def _end_drain(self, _: web.Request) -> web.Response:
        self._drain.end()
        return web.json_response({"draining": False})

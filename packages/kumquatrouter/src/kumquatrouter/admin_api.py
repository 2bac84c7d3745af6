"""HTTP API for the load balancer and operators, on a separate port.

It has no authentication, so the settings must bind it to an address that
only the load balancer and operators can reach.
"""

from collections.abc import Callable
from typing import Any

import aiomisc
from aiohttp import web

from kumquat_core.metrics import CONTENT_TYPE_LATEST
from kumquat_core.settings import Address

from .decision_log import DecisionLog
from .drain import Drain

__all__ = ["AdminApi"]

StatusSource = Callable[[], dict[str, Any]]
MetricsSource = Callable[[], bytes]


class AdminApi(aiomisc.Service):
    """Serves liveness, readiness, metrics, status, decisions and drain."""

    def __init__(
        self,
        listen: Address,
        is_ready: Callable[[], bool],
        status: StatusSource,
        drain: Drain,
        metrics: MetricsSource,
        decisions: DecisionLog,
    ) -> None:
        super().__init__()
        self._metrics = metrics
        self._decisions = decisions
        self._listen = listen
        self._is_ready = is_ready
        self._status = status
        self._drain = drain
        self._runner: web.AppRunner | None = None

    def create_app(self) -> web.Application:
        """Return the web application."""
        app = web.Application()
        app.router.add_get("/livez", self._livez)
        app.router.add_get("/readyz", self._readyz)
        app.router.add_get("/metrics", self._get_metrics)
        app.router.add_get("/admin/status", self._get_status)
        app.router.add_get("/admin/explain/{identifier}", self._explain)
        app.router.add_post("/admin/drain", self._begin_drain)
        app.router.add_post("/admin/undrain", self._end_drain)
        return app

    async def start(self) -> None:
        """Start listening."""
        self._runner = web.AppRunner(self.create_app(), access_log=None)
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

    async def _get_metrics(self, _: web.Request) -> web.Response:
        headers = {"Content-Type": CONTENT_TYPE_LATEST}
        return web.Response(body=self._metrics(), headers=headers)

    async def _explain(self, request: web.Request) -> web.Response:
        """Return the recorded decisions about a request or an attempt."""
        identifier = request.match_info["identifier"]
        decisions = self._decisions.find(identifier)
        documents = [decision.to_document() for decision in decisions]
        return web.json_response({"identifier": identifier, "decisions": documents})

    async def _begin_drain(self, _: web.Request) -> web.Response:
        self._drain.begin()
        return web.json_response(self._drain_document())

    async def _end_drain(self, _: web.Request) -> web.Response:
        self._drain.end()
        return web.json_response(self._drain_document())

    def _drain_document(self) -> dict[str, Any]:
        return {
            "draining": self._drain.draining,
            "in_progress": self._drain.in_progress,
        }

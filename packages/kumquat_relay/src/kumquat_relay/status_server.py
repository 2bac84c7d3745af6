"""HTTP servers for the readiness check and for the metrics."""

from collections.abc import Callable

import aiomisc
from aiohttp import web
from prometheus_client import CONTENT_TYPE_LATEST

from kumquat_core.settings import Address

__all__ = ["MetricsServer", "ReadinessServer"]

KEEPALIVE_S = 10.0


class _SingleResponseServer(aiomisc.Service):
    """An HTTP server that responds to every path in the same way."""

    def __init__(self, listen: Address) -> None:
        super().__init__()
        self._listen = listen
        self._runner: web.ServerRunner | None = None

    async def start(self) -> None:
        """Start to accept connections."""
        server = web.Server(
            self._respond, access_log=None, keepalive_timeout=KEEPALIVE_S
        )
        self._runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, self._listen.ip, self._listen.port).start()

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop listening and close all connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _respond(self, http_request: web.BaseRequest) -> web.StreamResponse:
        raise NotImplementedError


class ReadinessServer(_SingleResponseServer):
    """Responds with 200 while the host accepts new callers, else with 503."""

    def __init__(self, listen: Address, is_ready: Callable[[], bool]) -> None:
        super().__init__(listen)
        self._is_ready = is_ready

    async def _respond(self, http_request: web.BaseRequest) -> web.StreamResponse:
        ready = self._is_ready()
        return web.Response(
            status=200 if ready else 503, text="ready\n" if ready else "not ready\n"
        )


class MetricsServer(_SingleResponseServer):
    """Responds with the metrics in the Prometheus text format."""

    def __init__(self, listen: Address, text: Callable[[], bytes]) -> None:
        super().__init__(listen)
        self._text = text

    async def _respond(self, http_request: web.BaseRequest) -> web.StreamResponse:
        return web.Response(
            body=self._text(), headers={"Content-Type": CONTENT_TYPE_LATEST}
        )

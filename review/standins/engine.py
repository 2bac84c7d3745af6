"""A stand-in for an engine: a model engine, or a plain one without a stage."""

import asyncio
import time
from collections.abc import Callable
from typing import Any

from aiohttp import web

from .serving import Server
from .store import Store

__all__ = ["Engine", "Order"]

SEAL = "0.0.0.0.0.0"
HEARTBEAT_S = 1.2
TOKENS_PER_S = 55_556
EVENTS = 10
EVENT_GAP_S = 0.045
FLOOD_CHUNKS = 2000


class Order:
    """An order as it arrived; ``at_s`` is the monotonic time."""

    def __init__(self, at_s: float, body: dict[str, Any]) -> None:
        self.at_s = at_s
        self.holder = str(body["holder"])
        self.fence = int(body["fence"])
        self.stage = str(body["stage"])
        self.expected = body.get("expected_rev")


class Engine(Server):
    """Answers as the pages say; each start is a new incarnation."""

    def __init__(
        self,
        engine_id: str,
        service: str,
        store: Store,
        stage: str | None = None,
        switch_s: float = 6.0,
    ) -> None:
        super().__init__()
        self.id = engine_id
        self.service = service
        self.stage = stage
        self.initial_stage = stage
        self.switch_s = switch_s
        self.orders: list[Order] = []
        self.answers_orders = True
        # Delay of an order without an answer until it is carried out.
        self.late_s = 8.0
        self.work_s = 0.03
        # Method, target, id and arrival time of each request.
        self.arrivals: list[tuple[float, str, str, str]] = []
        self.runs: list[tuple[float, str]] = []
        self.pause_s = 0.0
        # Whether answers have a body without end, and how many had.
        self.floods = False
        self.floods_begun = 0
        # Spoils one in so many answers, none if 0; the ids of their requests.
        self.spoils_every = 0
        self.spoiled: list[str] = []
        self._answers = 0
        self._handles = 0
        self.reply = b"done"
        self._store = store
        self._accepted = 0
        self._busy = False
        self._seq = 0
        self._born_ms = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self.on_order: Callable[[Order], None] = lambda order: None

    async def begin(self) -> None:
        """Start, and write the entry with each heartbeat."""
        await self.start()
        self.restart()
        self._spawn(self._beat())

    def restart(self) -> None:
        """Go on as a new incarnation under the same id."""
        self._born_ms = int(time.time() * 1000)
        self.stage, self._accepted, self._busy = self.initial_stage, 0, False
        self._seq = 0
        self.list()

    def list(self, state: str = "ready") -> None:
        """Write the entry."""
        self._seq += 1
        entry: dict[str, Any] = {
            "service": self.service,
            "addr": self.address,
            "zone": "fjord-a",
            "version": "v1",
            "slots": 12,
            "state": state,
            "cold_left_ms": 0,
            "seq": self._seq,
            "born": self._born_ms,
        }
        if self.stage is not None:
            entry["stage"] = self.stage
            entry["models"] = [{"name": "m", "version": 1, "adapters": []}]
        self._store.put("servers", self.id, entry)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a request."""
        expected = request.headers.get("X-Expect-Instance", self.id)
        if expected != self.id:
            return web.Response(status=421, headers={"X-Instance-Id": self.id})
        if request.path == "/api/report":
            return web.json_response(self._report())
        if request.path == "/api/order":
            return await self._order(await request.json())
        if request.path == "/api/hold-take":
            self._handles += 1
            return web.json_response({"hold": f"h{self._handles:x}"})
        if request.path.startswith("/api/"):
            return web.Response()
        body = await request.content.read()
        return await self.serve(request, body)

    async def serve(self, request: web.BaseRequest, body: bytes) -> web.StreamResponse:
        """Run a request, or refuse it while a pause is asked for."""
        request_id = request.headers.get("X-Request-Id", "")
        now_s = time.monotonic()
        self.arrivals.append((now_s, request.method, request.path, request_id))
        headers = {"X-Request-Id": request_id}
        if self.floods:
            return await self._flood(request, headers)
        if self.pause_s > 0:
            headers |= {"X-Not-Executed": "1", "Retry-After": f"{self.pause_s:g}"}
            return web.Response(status=503, headers=headers)
        if self.stage is not None:
            return await self._serve_model(request, headers)
        self.runs.append((now_s, request_id))
        await asyncio.sleep(self.work_s)
        headers[self._seal_name(request_id)] = SEAL
        return web.Response(body=self.reply, headers=headers)

    def spoil(self, every: int) -> None:
        """Spoil one in so many answers from now on, none if 0."""
        self.spoils_every, self._answers = every, 0

    def _seal_name(self, request_id: str) -> str:
        """Return the name of the seal's header, a wrong one if spoiled."""
        self._answers += 1
        if self.spoils_every and self._answers % self.spoils_every == 0:
            self.spoiled.append(request_id)
            return "X-Response-Sea1"
        return "X-Response-Seal"

    async def _flood(
        self, request: web.BaseRequest, headers: dict[str, str]
    ) -> web.StreamResponse:
        """Send a body without end, until the caller closes the connection."""
        response = web.StreamResponse(headers=headers)
        transport = request.transport
        assert transport is not None
        response.enable_chunked_encoding()
        await response.prepare(request)
        self.floods_begun += 1
        # One byte a chunk, as ``response.write`` would frame each write.
        part = b"1\r\n \r\n" * FLOOD_CHUNKS
        while not transport.is_closing():
            transport.write(part)
            while transport.get_write_buffer_size() and not transport.is_closing():
                await asyncio.sleep(0.001)
        return response

    async def _serve_model(
        self, request: web.BaseRequest, headers: dict[str, str]
    ) -> web.StreamResponse:
        """Read a prompt, or stream the events of a run."""
        is_prefill = request.headers.get("X-Stage") == "prefill"
        if is_prefill != (self.stage == "prefill"):
            return web.Response(status=421, headers=headers)
        tokens = int(request.headers["X-Token-Counts"].split(",")[0])
        if is_prefill:
            await asyncio.sleep(tokens / TOKENS_PER_S)
            self._handles += 1
            answer = {"kv_handle": f"{self._handles:x}", "tokens": tokens, "version": 1}
            return web.json_response(answer, headers=headers)
        self.runs.append((time.monotonic(), request.headers["X-Request-Id"]))
        headers |= {"X-Response-Seal": SEAL, "Content-Type": "text/event-stream"}
        response = web.StreamResponse(headers=headers)
        response.enable_chunked_encoding()
        await response.prepare(request)
        for number in range(1, EVENTS + 1):
            await response.write(b"id: %d\ndata: e\n\n" % number)
            await asyncio.sleep(EVENT_GAP_S)
        await response.write_eof()
        return response

    def _report(self) -> dict[str, Any]:
        return {
            "stage": self.stage,
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": self._busy,
            "seq": self._accepted,
            "waiting": 0,
            "running": 0,
            "kv_used_tokens": 0,
            "kv_total": 144611,
            "handles": 0,
        }

    async def _order(self, body: dict[str, Any]) -> web.Response:
        order = Order(time.monotonic(), body)
        self.orders.append(order)
        if not self.answers_orders:
            self.on_order(order)
            self._spawn(self._carry_out_late(order))
            await asyncio.sleep(60)
        status = self._accept(order)
        self.on_order(order)
        return web.Response(status=status)

    def _accept(self, order: Order) -> int:
        if self._busy or order.expected not in (None, self._accepted):
            return 409
        if order.stage == self.stage:
            return 200
        self._accepted += 1
        self._busy = True
        self._spawn(self._switch(order.stage, self._born_ms))
        return 202

    async def _carry_out_late(self, order: Order) -> None:
        await asyncio.sleep(self.late_s)
        self._accept(order)

    async def _switch(self, stage: str, born_ms: int) -> None:
        await asyncio.sleep(self.switch_s)
        if born_ms == self._born_ms:
            self.stage, self._busy = stage, False
            self.list()

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.list()

    def _spawn(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

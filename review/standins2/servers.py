"""Model engines and backend servers, and the configuration that names them.

They follow the platform's pages: an engine answers a run with a stream of
events that bear ids, reads a prompt apart from its run, keeps reservations,
and says with ``X-Not-Executed`` that a request has not run.
"""

import asyncio
import json
import time
from collections.abc import Callable
from typing import Any

from http_io import Connection, Request, Server, head

HOST_NAME = "ficu95.example"
MODEL_SERVICE = "lohu930"
PLAIN_SERVICE = "pule252"
HEARTBEAT_S = 1.2
MISSED_HEARTBEATS = 3
ENGINE_SLOTS = 64
ENGINE_TOKENS = 60729
PLAIN_SLOTS = 6
DECODE_TOKENS_PER_MS = 27.8
PREFILL_TOKENS_PER_MS = 55.5
SWITCH_S = 6.0


def route(name: str, service: str, kind: str, **more: Any) -> dict[str, Any]:
    """Return a route whose prefix is its name."""
    return {
        "name": name,
        "host": HOST_NAME,
        "prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeout_ms": 1500,
        "target_latency_ms": 200,
        "priority": 2,
        "max_attempts": 1,
        **more,
    }


def configuration(routes: list[dict[str, Any]], version: int = 3) -> dict[str, Any]:
    """Return a configuration of the size of a small deployment."""
    engine = {
        "slots": ENGINE_SLOTS,
        "kv_tokens": ENGINE_TOKENS,
        "stride": 14,
        "handle_ttl_s": 0.5,
        "switch_s": 6.0,
        "hold_ms": 2000.0,
    }
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": MODEL_SERVICE, "max_conns": 164, "engine": engine},
            {"name": PLAIN_SERVICE, "max_conns": 110},
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


class Backend:
    """What engines and backend servers share: an id, a listing, a log.

    ``note`` is called with each event that the record of the case gets.
    """

    stage: str | None = None
    service = PLAIN_SERVICE
    slots = PLAIN_SLOTS

    def __init__(self, server_id: str, note: Callable[[str], None]) -> None:
        self.id = server_id
        self.note = note
        self.server = Server(self._handle)
        self.born_ms = int(time.time() * 1000)
        # Loop times by request id: of the first arrival, and of the first run.
        self.arrived_s: dict[str, float] = {}
        self.ran_s: dict[str, float] = {}
        self._heartbeats = 0

    async def start(self) -> None:
        """Begin to listen."""
        await self.server.start()

    def entry(self, state: str = "ready") -> dict[str, Any]:
        """Return the entry that the server writes to the store."""
        self._heartbeats += 1
        entry = {
            "service": self.service,
            "addr": self.server.address,
            "zone": "mombasa",
            "version": "1",
            "slots": self.slots,
            "state": state,
            "cold_left_ms": 0,
            "seq": self._heartbeats,
            "born": self.born_ms,
        }
        return entry if self.stage is None else {**entry, "stage": self.stage}

    async def _handle(self, request: Request, connection: Connection) -> None:
        if request.path == "/healthz":
            await connection.answer(200, {"X-Instance-Id": self.id})
            return
        expected = request.headers.get("x-expect-instance", self.id)
        request_id = request.headers.get("x-request-id", "")
        echo = {"X-Request-Id": request_id} if request_id else {}
        if expected != self.id:
            fields = {**echo, "X-Instance-Id": self.id}
            await connection.answer(421, fields)
            return
        if request.path.startswith("/api/"):
            await self.control(request, connection)
            return
        now_s = asyncio.get_running_loop().time()
        self.arrived_s.setdefault(request_id, now_s)
        await self.serve(request, connection, echo)

    def record_run(self, request_id: str) -> None:
        """Record that a request begins to run."""
        self.ran_s.setdefault(request_id, asyncio.get_running_loop().time())
        self.note(f"{self.id} runs {request_id}")

    async def control(self, request: Request, connection: Connection) -> None:
        """Answer a call of the platform's own."""
        await connection.answer(404)

    async def serve(
        self, request: Request, connection: Connection, echo: dict[str, str]
    ) -> None:
        """Run a request and answer it."""
        raise NotImplementedError


class PlainServer(Backend):
    """A backend server; a request takes ``work_s`` in one of its slots.

    It queues a few more and turns away what comes beyond.
    """

    work_s = 0.045
    queue = 24

    def __init__(self, server_id: str, note: Callable[[str], None]) -> None:
        super().__init__(server_id, note)
        self._slots = asyncio.Semaphore(self.slots)
        self._held = 0

    async def serve(
        self, request: Request, connection: Connection, echo: dict[str, str]
    ) -> None:
        """Run a request, or turn it away if too many wait."""
        if self._held >= self.slots + self.queue:
            await connection.answer(503, {**echo, "X-Not-Executed": "1"})
            return
        self._held += 1
        try:
            async with self._slots:
                await self._run(connection, echo)
        finally:
            self._held -= 1

    async def _run(self, connection: Connection, echo: dict[str, str]) -> None:
        if connection.left.is_set():
            return
        self.record_run(echo["X-Request-Id"])
        await asyncio.sleep(self.work_s)
        fields = {**echo, "X-Response-Seal": f"seal-{self.id}"}
        await connection.answer(200, fields, b"x" * 800)


class Engine(Backend):
    """A model engine that reads prompts one after the other."""

    service = MODEL_SERVICE
    slots = ENGINE_SLOTS
    events = 5
    event_s = 0.05

    def __init__(self, server_id: str, stage: str, note: Callable[[str], None]) -> None:
        super().__init__(server_id, note)
        self.stage = stage
        self.running: set[str] = set()
        self._reading = asyncio.Lock()
        self._handles = self._orders = 0
        self._busy = False
        # Called with the engine after its stage has changed.
        self.on_change: Callable[[Engine], None] = lambda engine: None

    async def control(self, request: Request, connection: Connection) -> None:
        """Answer a reservation, a report, a release or an order."""
        match request.method, request.path.split("/")[2]:
            case "POST", "hold-take":
                self._handles += 1
                body = f'{{"hold":"h{self.id}{self._handles}"}}'.encode()
                await connection.answer(200, {}, body)
            case "GET", "report":
                report = {"stage": self.stage, "busy": self._busy, "seq": self._orders}
                await connection.answer(200, {}, json.dumps(report).encode())
            case "DELETE", "hold-drop" | "kv-handle":
                await connection.answer(200)
            case "POST", "order":
                await self._order(json.loads(request.body), connection)
            case _:
                await connection.answer(404)

    async def _order(self, order: dict[str, Any], connection: Connection) -> None:
        """Begin a change of the stage, which takes ``SWITCH_S``."""
        if order.get("expected_rev", self._orders) != self._orders or self._busy:
            await connection.answer(409)
            return
        self.note(f"{self.id} is ordered to the stage {order['stage']}")
        self._orders += 1
        self._busy = True
        asyncio.get_running_loop().call_later(SWITCH_S, self._switch, order["stage"])
        await connection.answer(202)

    def _switch(self, stage: str) -> None:
        self.stage, self._busy = stage, False
        self.on_change(self)

    async def serve(
        self, request: Request, connection: Connection, echo: dict[str, str]
    ) -> None:
        """Read a prompt, or run a request in one of the slots."""
        if self._busy:
            await connection.answer(503, {**echo, "X-Not-Executed": "1"})
            return
        tokens = int(request.headers["x-token-counts"].split(",")[0])
        is_prefill = request.headers.get("x-stage") == "prefill"
        if is_prefill != (self.stage == "prefill"):
            await connection.answer(421, {**echo, "X-Instance-Id": self.id})
            return
        if is_prefill:
            async with self._reading:
                await asyncio.sleep(tokens / PREFILL_TOKENS_PER_MS / 1000)
            self._handles += 1
            handle = f"{self.id}{self._handles}"
            result = {"kv_handle": handle, "tokens": tokens, "version": 1}
            await connection.answer(200, echo, json.dumps(result).encode())
            return
        if len(self.running) >= self.slots:
            await connection.answer(503, {**echo, "X-Not-Executed": "1"})
            return
        request_id = echo["X-Request-Id"]
        self.running.add(request_id)
        try:
            if "x-kv-source" not in request.headers:
                async with self._reading:
                    await asyncio.sleep(tokens / DECODE_TOKENS_PER_MS / 1000)
            if connection.left.is_set():
                return
            await self.generate(request, connection, echo)
        finally:
            self.running.discard(request_id)

    async def generate(
        self, request: Request, connection: Connection, echo: dict[str, str]
    ) -> None:
        """Send the events of a run."""
        self.record_run(echo["X-Request-Id"])
        fields = {
            **echo,
            "X-Response-Seal": f"seal-{self.id}",
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        await connection.write(head(200, fields))
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.event_s)
            if connection.left.is_set():
                return
            await connection.write(chunk(f"id: {number}\ndata: e{number}\n\n"))
        await connection.write(b"0\r\n\r\n")


def chunk(text: str) -> bytes:
    """Return a chunk of a body."""
    data = text.encode()
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"

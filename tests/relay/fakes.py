"""In-process fakes of the platform.

``FakeStore`` serves versioned rows with conditional writes and long polls;
``FakeEngine`` is a model engine or a backend server. Both speak the platform's
HTTP API on the loopback interface and can inject faults.
"""

import asyncio
import json
import math
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from aiohttp import web

from kumquat_core.settings import Address

from .fake_server import FakeServer
from .fake_store import FakeStore, Row
from .odd_streams import OddAnswer

__all__ = ["FakeEngine", "FakeStore", "LimitPeriod", "Row"]

# With random answers, the shares of refusals and of errors.
REFUSED_SHARE = 0.3
ERROR_SHARE = 0.2


@dataclass
class LimitPeriod:
    """A period in which an engine names one limit; loop times in seconds."""

    rate_per_s: float
    began_s: float
    ended_s: float = math.inf


class FakeEngine(FakeServer):
    """A fake model engine, or a plain backend server if ``stage`` is None."""

    def __init__(self, engine_id: str, stage: str | None = None) -> None:
        super().__init__()
        self.id = engine_id
        self.stage = stage
        self.events = 5
        self.gap_s = 0.002
        # Size of each event, filled up with a comment.
        self.event_bytes = 0
        # Whether the data of each event names its request.
        self.events_name_request = False
        # Method, path, headers and body of each request.
        self.received: list[tuple[str, str, dict[str, str], bytes]] = []
        # Loop time of the arrival of each request, control calls included.
        self.arrivals_s: list[float] = []
        self.runs: list[str] = []
        self.role_commands: list[dict[str, Any]] = []
        # Answers to the role commands from now on.
        self.role_command_status = 202
        # Paths of the control calls, such as reservations.
        self.calls: list[str] = []
        # Prefill results by the id of their request, and reservations.
        self.request_ids_by_handle: dict[str, str] = {}
        self.holds: set[str] = set()
        self.full = False
        # Refuses requests and answers with errors at random, if set.
        self.random_answers: random.Random | None = None
        # Rejects requests that name a prefill result, as if it had expired.
        self.prefills_expired = False
        # Event counts after which streams break, each used once. Engines may
        # share the list.
        self.break_after: list[int] = []
        # Answers to requests that resume a stream, and to those after a stream
        # that broke without an event, each used once. Engines may share them.
        self.odd_answers: list[OddAnswer] = []
        self.odd_first_answers: list[OddAnswer] = []
        # Whether streams begin with a comment, before their first event.
        self.comments = False
        # While cleared, requests wait without a response.
        self.responsive = asyncio.Event()
        self.responsive.set()
        self.status = 200
        self.cancelled = 0
        self.born_ms = 1000
        self.processing_s = 0.0
        self.response_body = b"whole"
        # Number of plain requests to execute without sending a response.
        self.drop_responses = 0
        # Added to every response, for example to announce a shutdown.
        self.extra_headers: dict[str, str] = {}
        # Whether answers to requests bear the ids of these.
        self.returns_ids = True
        # The limits that it has named, in order.
        self.limit_periods: list[LimitPeriod] = []
        # Ids of prompt parts under which the engine crashes when it begins to
        # answer. It starts again after ``restart_s`` as a new incarnation.
        self.crashing_parts: set[str] = set()
        # Bodies of requests under which the engine crashes likewise, after
        # ``deadly_delay_s``.
        self.deadly_bodies: set[bytes] = set()
        self.deadly_delay_s = 0.02
        # Whether it falls silent at a crash, as a process that loses power.
        self.crashes_silently = False
        self.crashes = 0
        self._heartbeats = 0
        # Loop times of the crashes and of arrivals by crashing part or body.
        self.crash_times: list[tuple[str, float]] = []
        self.deadly_arrivals: list[tuple[str, float]] = []
        # Whether it starts again under the same id.
        self.keeps_id = False
        self.restart_s = 0.4
        self.on_restart: Callable[[str], None] = lambda previous_id: None
        self._restart: asyncio.Task[None] | None = None
        # Listed in the store instead of its own address, if set.
        self.advertised_address: Address | None = None
        # Connections that a loss of power has ended without notice.
        self._ended_transports: set[asyncio.BaseTransport] = set()

    async def stop(self) -> None:
        if self._restart is not None:
            await self._restart
        await super().stop()

    async def crash(self) -> None:
        """End all connections and accept none until the restart."""
        if self._restart is not None and not self._restart.done():
            return
        self.crashes += 1
        for site in list(self._runner.sites):
            await site.stop()
        self.abort_connections()
        self._restart = asyncio.ensure_future(self._start_again())

    def lose_power(self) -> None:
        """Go on as a new incarnation that knows none of the connections.

        Nobody is told that they ended; they are reset when they are used.
        """
        for connection in self._server.connections:
            if connection.transport is not None:
                self._ended_transports.add(connection.transport)
        self.crashes += 1
        if not self.keeps_id:
            self.id = f"{self.id.partition('.')[0]}.{self.crashes}"
        self.born_ms += 1000

    async def _crash_under_request(self, body: bytes) -> None:
        """End like a process that a request has crashed; never returns."""
        await asyncio.sleep(self.deadly_delay_s)
        if self.crashes_silently:
            self.responsive.clear()
            await asyncio.sleep(self.restart_s)
            self.responsive.set()
        crashes = self.crashes
        await self.crash()
        if self.crashes > crashes:
            now_s = asyncio.get_running_loop().time()
            self.crash_times.append((body.decode(), now_s))
        await asyncio.Event().wait()

    async def _start_again(self) -> None:
        await asyncio.sleep(self.restart_s)
        previous_id = self.id
        if not self.keeps_id:
            self.id = f"{previous_id.partition('.')[0]}.{self.crashes}"
        self.born_ms += 1000
        await web.TCPSite(
            self._runner, "127.0.0.1", self.address.port, reuse_address=True
        ).start()
        self.on_restart(previous_id)

    def begin_limit(self, rate_per_s: float) -> None:
        """Name a limit in all responses from now on."""
        self.end_limit()
        self.extra_headers["Server-Limit"] = str(rate_per_s)
        now_s = asyncio.get_running_loop().time()
        self.limit_periods.append(LimitPeriod(rate_per_s, now_s))

    def end_limit(self) -> None:
        """Name no limit from now on."""
        if self.extra_headers.pop("Server-Limit", None) is not None:
            self.limit_periods[-1].ended_s = asyncio.get_running_loop().time()

    def entry(self, service: str, state: str = "ready") -> dict[str, Any]:
        self._heartbeats += 1
        entry: dict[str, Any] = {
            "service": service,
            "addr": (self.advertised_address or self.address).text,
            "zone": "a",
            "version": "v1",
            "slots": 12,
            "state": state,
            "cold_left_ms": 0,
            "seq": self._heartbeats,
            "born": self.born_ms,
        }
        if self.stage is not None:
            entry["stage"] = self.stage
        return entry

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.transport in self._ended_transports:
            request.transport.abort()
            await asyncio.Event().wait()
        response = await self._handle(request)
        if not response.prepared:
            response.headers.update(self.extra_headers)
            if not self.returns_ids:
                response.headers.pop("X-Request-Id", None)
        return response

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        body = await request.read()
        headers = {name.lower(): value for name, value in request.headers.items()}
        expected = headers.get("x-expect-instance", self.id)
        if expected != self.id:
            wrong_instance = {"X-Instance-Id": self.id}
            if "x-request-id" in headers:
                wrong_instance["X-Request-Id"] = headers["x-request-id"]
            return web.Response(status=421, headers=wrong_instance)
        self.arrivals_s.append(asyncio.get_running_loop().time())
        if request.path.startswith("/api/"):
            return self._api(request, body)
        self.received.append((request.method, request.raw_path, headers, body))
        number = len(self.received)
        self.deadly_arrivals += [
            (part, self.arrivals_s[-1]) for part in self._deadly_parts(headers)
        ]
        if body in self.deadly_bodies:
            self.deadly_arrivals.append((body.decode(), self.arrivals_s[-1]))
        try:
            await self.responsive.wait()
            return await self._serve(request, headers, number)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        except ConnectionError:
            # The relay host closed the connection between two writes.
            self.cancelled += 1
            return web.Response(status=500)

    def _api(self, request: web.BaseRequest, body: bytes) -> web.Response:
        self.calls.append(request.path)
        match request.path:
            case "/api/report":
                return web.json_response(
                    {"stage": self.stage, "busy": False, "seq": len(self.role_commands)}
                )
            case "/api/order":
                self.role_commands.append(json.loads(body))
                return web.Response(status=self.role_command_status)
            case "/api/hold-take":
                if self.full or self._chance(REFUSED_SHARE):
                    return web.Response(status=503)
                hold = f"hold{len(self.calls)}"
                self.holds.add(hold)
                return web.json_response({"hold": hold})
        return web.Response(status=200)

    async def _serve(
        self, request: web.BaseRequest, headers: dict[str, str], number: int
    ) -> web.StreamResponse:
        request_id = headers["x-request-id"]
        if self.full or self._chance(REFUSED_SHARE):
            return self._not_executed(request_id)
        if headers.get("x-stage") == "prefill":
            handle = f"k{number}"
            self.request_ids_by_handle[handle] = request_id
            return web.json_response(
                {"kv_handle": handle, "tokens": 10, "version": 1},
                headers={"X-Request-Id": request_id},
            )
        if self.prefills_expired and "x-kv-source" in headers:
            return self._not_executed(request_id)
        self.runs.append(request_id)
        body = await request.read()
        if body in self.deadly_bodies:
            await self._crash_under_request(body)
        response_headers = {
            "X-Request-Id": request_id,
            "X-Response-Seal": f"seal-{self.id}",
        }
        if self.stage is None:
            await asyncio.sleep(self.processing_s)
            if self.drop_responses > 0:
                self.drop_responses -= 1
                assert request.transport is not None
                request.transport.abort()
            status = 500 if self._chance(ERROR_SHARE) else self.status
            return web.Response(
                status=status, headers=response_headers, body=self.response_body
            )
        if self.odd_answers and "last-event-id" in headers:
            after = int(headers["last-event-id"])
            answer = self.odd_answers.pop(0)
            return await answer(request, response_headers, after)
        if self.odd_first_answers and not self.break_after:
            answer = self.odd_first_answers.pop(0)
            return await answer(request, response_headers, 0)
        return await self._stream(request, headers, response_headers)

    def _chance(self, share: float) -> bool:
        """Decide at random, if answers are random at all."""
        return self.random_answers is not None and self.random_answers.random() < share

    def _deadly_parts(self, headers: dict[str, str]) -> set[str]:
        """Return the parts of a prompt under which this engine crashes."""
        parts = headers.get("x-prefix-hash", "").split(",")[:-1]
        return self.crashing_parts.intersection(
            part.partition(":")[0] for part in parts
        )

    def _not_executed(self, request_id: str) -> web.Response:
        headers = {"X-Not-Executed": "1", "X-Request-Id": request_id}
        return web.Response(status=503, headers=headers)

    async def _stream(
        self,
        request: web.BaseRequest,
        headers: dict[str, str],
        response_headers: dict[str, str],
    ) -> web.StreamResponse:
        if not self.returns_ids:
            del response_headers["X-Request-Id"]
        response = web.StreamResponse(
            headers={
                **response_headers,
                **self.extra_headers,
                "Content-Type": "text/event-stream",
            }
        )
        await response.prepare(request)
        deadly_parts = self._deadly_parts(headers)
        if deadly_parts:
            await asyncio.sleep(self.gap_s)
            now_s = asyncio.get_running_loop().time()
            self.crash_times += [(part, now_s) for part in deadly_parts]
            await self.crash()
            return response
        if self.comments:
            await response.write(b": odd\n\n")
        first_event = int(headers.get("last-event-id", "0")) + 1
        for number in range(first_event, self.events + 1):
            if self.break_after and number > self.break_after[0]:
                self.break_after.pop(0)
                await response.write(b"id: 99\ndata: part")
                assert request.transport is not None
                request.transport.abort()
                return response
            text = headers["x-request-id"] if self.events_name_request else "e"
            event = f"id: {number}\ndata: {text}{number}\n".encode()
            if self.event_bytes:
                event += b":".ljust(self.event_bytes, b"a") + b"\n"
            await response.write(event + b"\n")
            await asyncio.sleep(self.gap_s)
        await response.write_eof()
        return response

"""Bytes that arrive just before a request begins, or before the first one.

The loop may read from a connection between any two steps of its task. Guards
against connections that stayed open for ever without reading, and against
bodies whose rest was invalid and that were taken as complete.
"""

import asyncio
import gc
from collections.abc import Awaitable, Callable
from typing import cast

import pytest
from aiohttp import web

from kumquat_core.clock import ManualClock
from kumquat_core.intake.intake_gate import IntakeGate
from kumquat_core.intake.intake_limits import MB, IntakeLimits
from kumquat_core.intake.receive_buffers import ReceiveBuffers
from kumquat_relay.relay_metrics import RelayMetrics
from kumquatrouter.caller_connection import CallerConnection, CallerConnectionFactory

BUDGET_BYTES = 8 * MB
LONGEST_HEAD = 16 * 1024
CHUNKED_HEAD = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
SMALL_HEAD = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
STEPS = 20


class FakeTransport(asyncio.Transport):
    """A transport that keeps what is written."""

    def __init__(self) -> None:
        super().__init__()
        self.written = b""
        self.is_closed = False

    def write(self, data: bytes | bytearray | memoryview) -> None:
        self.written += data

    def close(self) -> None:
        self.is_closed = True

    def abort(self) -> None:
        self.is_closed = True

    def is_closing(self) -> bool:
        return self.is_closed

    def pause_reading(self) -> None:
        """Nothing is read from a socket."""

    def resume_reading(self) -> None:
        """Nothing is read from a socket."""


class NoBuffers(ReceiveBuffers):
    """Buffers of connections without sockets."""

    def opened(self, connection: object, *sock: object) -> None:
        """Leave the buffer as it is."""

    def expect_body(self, connection: object, sock: object, size: int) -> None:
        """Leave the buffer as it is."""


class Server:
    """Connections whose transports are fakes."""

    def __init__(self) -> None:
        limits = IntakeLimits(BUDGET_BYTES, 0, 100)
        self.gate = IntakeGate(limits, ManualClock(), RelayMetrics())
        self.gate.buffers = NoBuffers(limits)
        self.bodies: list[bytes | None] = []
        self._factory = CallerConnectionFactory(
            web.Server(self._handle, handler_cancellation=True),
            self.gate,
            LONGEST_HEAD,
            asyncio.get_running_loop(),
        )

    def connect(self) -> tuple[CallerConnection, FakeTransport]:
        """Return a new connection, whose task has not begun."""
        connection, transport = self._factory(), FakeTransport()
        connection.connection_made(transport)
        return connection, transport

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        try:
            self.bodies.append(await request.read())
        except web.RequestPayloadError:
            self.bodies.append(None)
            raise
        return web.Response()


async def run_steps() -> None:
    """Let the tasks of all connections go on."""
    for _ in range(STEPS):
        await asyncio.sleep(0)


def play(scenario: Callable[[Server], Awaitable[None]]) -> None:
    async def run() -> None:
        await scenario(Server())

    asyncio.run(run())


@pytest.mark.parametrize("steps", range(6))
@pytest.mark.parametrize("rest", [b"zz\r\n", b"0\r\n" + b"t:1\r\n" * 8_000])
def test_a_body_with_an_invalid_rest_is_not_complete(steps: int, rest: bytes) -> None:
    """The rest arrives after each step of the task of the connection."""

    async def scenario(server: Server) -> None:
        connection, transport = server.connect()
        await run_steps()
        connection.data_received(CHUNKED_HEAD + b"4\r\nbody\r\n")
        for _ in range(steps):
            await asyncio.sleep(0)
        connection.data_received(rest)
        await run_steps()
        assert server.bodies == [None]
        assert b" 200 " not in transport.written
        assert transport.is_closed

    play(scenario)


@pytest.mark.parametrize("steps", range(6))
@pytest.mark.parametrize("before", [b"", SMALL_HEAD])
def test_a_head_that_is_dropped_closes_its_connection(
    steps: int, before: bytes
) -> None:
    """Heads take too much after each step of the task of the connection."""

    async def scenario(server: Server) -> None:
        server.gate.budget.change_unframed(BUDGET_BYTES)
        connection, transport = server.connect()
        if before:
            await run_steps()
            connection.data_received(before)
        for _ in range(steps):
            await asyncio.sleep(0)
        connection.data_received(b"GET / HTTP/1.1\r\nX-1: 1")
        await run_steps()
        assert transport.is_closed
        assert len(server.bodies) == (1 if before else 0)

    play(scenario)


@pytest.mark.parametrize("steps", range(6))
@pytest.mark.parametrize("before", [b"", SMALL_HEAD])
def test_a_head_over_the_limit_closes_its_connection(steps: int, before: bytes) -> None:
    """The head arrives after each step of the task of the connection."""

    async def scenario(server: Server) -> None:
        connection, transport = server.connect()
        if before:
            await run_steps()
            connection.data_received(before)
        for _ in range(steps):
            await asyncio.sleep(0)
        connection.data_received(b"GET / HTTP/1.1\r\nX-1: " + b"h" * LONGEST_HEAD)
        await run_steps()
        assert transport.is_closed
        assert len(server.bodies) == (1 if before else 0)

    play(scenario)


@pytest.mark.parametrize("steps", range(6))
def test_a_request_is_refused_before_the_task_of_its_connection_begins(
    steps: int,
) -> None:
    """Guards against requests that were not counted until they began."""

    async def scenario(server: Server) -> None:
        budget = server.gate.budget
        holding = budget.open(0.0)
        budget.begin_run(holding, BUDGET_BYTES)
        budget._expected = budget._max_waiting
        connection, transport = server.connect()
        for _ in range(steps):
            await asyncio.sleep(0)
        connection.data_received(SMALL_HEAD)
        await run_steps()
        assert transport.is_closed
        assert cast(bytes, transport.written).startswith(b"HTTP/1.1 503 ")
        assert server.bodies == []

    play(scenario)


def test_a_lost_connection_is_freed_without_a_collection() -> None:
    """Guards against crowds whose memory stayed until a late collection."""

    async def scenario(server: Server) -> None:
        connection, _ = server.connect()
        await run_steps()
        connection.data_received(CHUNKED_HEAD + b"4\r\nbody\r\n")
        await run_steps()
        connection.connection_lost(None)
        await run_steps()
        del connection
        await run_steps()
        kept = [item for item in gc.get_objects() if isinstance(item, CallerConnection)]
        assert not kept

    gc.collect()
    gc.disable()
    try:
        play(scenario)
    finally:
        gc.enable()

"""Tests of responses that end with their connection.

They have neither a length nor chunks, so a caller would take the part that had
arrived before a failure for the whole response.
"""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable

import pytest

from kumquat_core.clock import SystemClock
from kumquat_core.settings import Address
from kumquat_relay.engine_connection import ConnectionBrokenError, EngineConnection
from kumquat_relay.engine_pool import EnginePool
from kumquat_relay.event_stream import EventSplitter
from kumquat_relay.open_stream import OpenStream, RunFailedError
from kumquat_relay.stream_limits import EventTimeouts

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
EVENT = b"id: 1\ndata: e1\n\n"


def exchange(
    body: bytes,
    check: Callable[[EngineConnection], Awaitable[None]],
    *,
    reset: bool = False,
    head: bytes = HEAD,
    pause_at: int | None = None,
) -> None:
    """Run ``check`` on a connection whose server sends ``body`` and ends.

    With ``pause_at`` the body is written in two parts.
    """

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(head + body[:pause_at])
        if pause_at is not None:
            await asyncio.sleep(0.02)
            writer.write(body[pause_at:])
        await writer.drain()
        if reset:
            # The data must arrive before the reset discards what is queued.
            await asyncio.sleep(0.05)
            linger = struct.pack("ii", 1, 0)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
        else:
            writer.close()

    async def run() -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        connection = await EngineConnection.open(Address("127.0.0.1", port), 1.0)
        connection.send("POST", "/", [(b"Host", b"engine")], b"body")
        await connection.read_head()
        await check(connection)
        connection.abort()
        await asyncio.sleep(0)
        server.close()

    asyncio.run(run())


async def read(connection: EngineConnection) -> bytes:
    return b"".join([part async for part in connection.read_body()])


async def read_events(connection: EngineConnection) -> bytes:
    clock = SystemClock()
    stream = OpenStream(
        "e", 200, [], True, connection, EnginePool(clock), clock, head_ms=1.0
    )
    events = stream.events(EventSplitter(), EventTimeouts(2.0, 2.0), lambda _: None)
    return b"".join([part async for part in events])


def test_response_that_ends_with_its_connection_is_complete_but_not_reused() -> None:
    async def check(connection: EngineConnection) -> None:
        assert await read(connection) == b"whole"
        assert not connection.finish()
        assert not connection.usable

    exchange(b"whole", check)


def test_stream_that_ends_with_its_connection_is_complete() -> None:
    async def check(connection: EngineConnection) -> None:
        assert await read_events(connection) == EVENT

    exchange(EVENT, check)


@pytest.mark.parametrize("body", [b"", b"part"])
def test_reset_response_is_not_complete(body: bytes) -> None:
    async def check(connection: EngineConnection) -> None:
        with pytest.raises(ConnectionBrokenError) as raised:
            await read(connection)
        assert raised.value.closed_by_peer

    exchange(body, check, reset=True)


@pytest.mark.parametrize("body", [b"", EVENT + b"id: 2\nda", b"id: 1\n"])
def test_stream_that_ends_within_an_event_is_broken(body: bytes) -> None:
    """One that ends before any event has been broken off as well."""

    async def check(connection: EngineConnection) -> None:
        with pytest.raises(RunFailedError) as raised:
            await read_events(connection)
        assert raised.value.closed_by_engine

    exchange(body, check)


def test_reset_stream_is_broken_after_whole_events() -> None:
    async def check(connection: EngineConnection) -> None:
        with pytest.raises(RunFailedError) as raised:
            await read_events(connection)
        assert raised.value.closed_by_engine

    exchange(EVENT, check, reset=True)


@pytest.mark.parametrize("pause_at", [None, 5, 12, 17, 30])
def test_a_copy_behind_a_response_is_no_part_of_it(pause_at: int | None) -> None:
    """Nothing but its head tells a copy from the rest of such a body."""

    async def check(connection: EngineConnection) -> None:
        with pytest.raises(ConnectionBrokenError):
            await read(connection)

    exchange(b"whole" + HEAD + b"whole", check, pause_at=pause_at)


def test_a_copy_behind_a_stream_is_no_part_of_it() -> None:
    """The caller got the head and the events of the copy."""

    async def check(connection: EngineConnection) -> None:
        with pytest.raises(RunFailedError):
            await read_events(connection)

    exchange(EVENT + HEAD + EVENT, check)


@pytest.mark.parametrize(
    "body",
    [b"HTTP/1.1 200 OK", b"see HTTP/1.1 404\nHost: b", b"HTTP/1.1 200 OK\r\ntext"],
)
def test_a_body_may_name_the_protocol(body: bytes) -> None:
    async def check(connection: EngineConnection) -> None:
        assert await read(connection) == body

    exchange(body, check)


def test_a_framed_body_may_contain_a_whole_response() -> None:
    """Its length shows that it belongs to the response."""

    async def check(connection: EngineConnection) -> None:
        assert await read(connection) == HEAD

    length = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(HEAD)
    exchange(HEAD, check, head=length)

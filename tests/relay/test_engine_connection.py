"""Tests of incomplete, extra and late responses, and of connection reuse."""

import asyncio

import pytest

from kumquat_core.clock import ManualClock
from kumquat_relay import engine_connection
from kumquat_relay.engine_connection import (
    ConnectionBrokenError,
    EngineConnection,
    SendFailedError,
)
from kumquat_relay.engine_pool import NO_REUSE_S, EnginePool

from .scripted_peer import ScriptedPeer, respond_with

COMPLETE_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
REQUEST_HEADERS = [(b"Host", b"h")]


async def exchange(connection: EngineConnection) -> bytes:
    connection.send("GET", "/x?y=%2F", REQUEST_HEADERS, b"")
    await connection.read_head()
    return b"".join([part async for part in connection.read_body()])


async def single_exchange(peer: ScriptedPeer) -> tuple[bytes, bool]:
    connection = await EngineConnection.open(peer.address, 1.0)
    body = await exchange(connection)
    await asyncio.sleep(0.02)
    return body, connection.finish()


def test_a_connection_is_reusable_after_a_complete_response() -> None:
    async def run() -> None:
        async with ScriptedPeer(
            respond_with(COMPLETE_RESPONSE, COMPLETE_RESPONSE)
        ) as peer:
            assert await single_exchange(peer) == (b"ok", True)

    asyncio.run(run())


@pytest.mark.parametrize(
    "response",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
        b"HTTP/1.1 200 OK\r\n\r\nok",
        b"no answer at all\r\n\r\n",
    ],
    ids=["short", "no last chunk", "no length and reset", "not HTTP"],
)
def test_a_truncated_or_invalid_response_raises(response: bytes) -> None:
    async def run() -> None:
        async with ScriptedPeer(respond_with(response, then_reset=True)) as peer:
            with pytest.raises(ConnectionBrokenError):
                await single_exchange(peer)

    asyncio.run(run())


def test_a_response_without_a_length_ends_when_the_connection_closes() -> None:
    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\n\r\nok")

    async def run() -> None:
        async with ScriptedPeer(script) as peer:
            assert await single_exchange(peer) == (b"ok", False)

    asyncio.run(run())


def test_a_connection_whose_reuse_was_ended_is_closed_after_the_exchange() -> None:
    """A copy of an answer without an id could be taken for the next answer."""

    async def run() -> None:
        async with ScriptedPeer(respond_with(COMPLETE_RESPONSE)) as peer:
            connection = await EngineConnection.open(peer.address, 1.0)
            connection.end_reuse()
            assert await exchange(connection) == b"ok"
            assert not connection.finish()
            assert not connection.usable

    asyncio.run(run())


def test_an_interim_response_that_contains_the_final_one_closes() -> None:
    """A cut interim response hid the answer, and its body became the head."""
    joined = b"HTTP/1.1 103 Early Hints\r\nLink: <a>" + COMPLETE_RESPONSE

    async def run() -> None:
        async with ScriptedPeer(respond_with(joined + COMPLETE_RESPONSE)) as peer:
            connection = await EngineConnection.open(peer.address, 1.0)
            with pytest.raises(ConnectionBrokenError, match="joined interim"):
                await exchange(connection)

    asyncio.run(run())


def test_an_extra_response_prevents_reuse_of_the_connection() -> None:
    async def run() -> None:
        async with ScriptedPeer(
            respond_with(COMPLETE_RESPONSE + COMPLETE_RESPONSE)
        ) as peer:
            assert await single_exchange(peer) == (b"ok", False)

    asyncio.run(run())


def test_a_late_extra_response_closes_the_idle_connection() -> None:
    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(COMPLETE_RESPONSE)
        await asyncio.sleep(0.03)
        writer.write(COMPLETE_RESPONSE)
        await reader.read()

    async def run() -> None:
        async with ScriptedPeer(script) as peer:
            connection = await EngineConnection.open(peer.address, 1.0)
            await exchange(connection)
            assert connection.finish()
            await asyncio.sleep(0.06)
            assert not connection.usable
            with pytest.raises(SendFailedError):
                connection.send("GET", "/", REQUEST_HEADERS, b"")

    asyncio.run(run())


def test_a_refused_connection_raises_send_failed_error() -> None:
    async def run() -> None:
        async with ScriptedPeer(respond_with()) as peer:
            address = peer.address
        with pytest.raises(SendFailedError):
            await EngineConnection.open(address, 1.0)

    asyncio.run(run())


def test_requests_that_must_not_be_retried_reuse_no_long_idle_connection() -> None:
    """A request on a connection that the server has closed is lost."""

    async def run() -> None:
        clock = ManualClock()
        pool = EnginePool(clock)
        async with ScriptedPeer(
            respond_with(COMPLETE_RESPONSE, COMPLETE_RESPONSE, COMPLETE_RESPONSE)
        ) as peer:
            connection = await pool.acquire(
                peer.address, recently_used=True, timeout_s=1.0
            )
            await exchange(connection)
            pool.release(connection)
            clock.advance(1.0)
            reused = await pool.acquire(peer.address, recently_used=True, timeout_s=1.0)
            assert reused is connection
            await exchange(reused)
            pool.release(reused)
            clock.advance(2.0)
            new_connection = await pool.acquire(
                peer.address, recently_used=True, timeout_s=1.0
            )
            assert new_connection is not connection
            assert (
                await pool.acquire(peer.address, recently_used=False, timeout_s=1.0)
                is reused
            )
            pool.close()

    asyncio.run(run())


def test_the_announced_idle_timeout_is_respected() -> None:
    response = COMPLETE_RESPONSE.replace(
        b"\r\n\r\n", b"\r\nKeep-Alive: timeout=3\r\n\r\n"
    )

    async def run() -> None:
        clock = ManualClock()
        pool = EnginePool(clock)
        async with ScriptedPeer(respond_with(response, response)) as peer:
            connection = await pool.acquire(
                peer.address, recently_used=False, timeout_s=1.0
            )
            await exchange(connection)
            pool.release(connection)
            clock.advance(2.5)
            other = await pool.acquire(peer.address, recently_used=False, timeout_s=1.0)
            assert other is not connection
            pool.close()

    asyncio.run(run())


def test_a_request_is_not_sent_twice_over_one_connection() -> None:
    """A copy of its first answer would bear the right id."""

    async def run() -> None:
        pool = EnginePool(ManualClock())
        async with ScriptedPeer(respond_with(*[COMPLETE_RESPONSE] * 3)) as peer:
            first = await pool.acquire(
                peer.address, recently_used=True, timeout_s=1.0, request_id="a"
            )
            first.send("GET", "/", REQUEST_HEADERS, b"", "a")
            await first.read_head()
            assert [part async for part in first.read_body()] == [b"ok"]
            first.returns_ids = True
            pool.release(first)
            second = await pool.acquire(
                peer.address, recently_used=True, timeout_s=1.0, request_id="a"
            )
            assert second is not first
            other = await pool.acquire(
                peer.address, recently_used=True, timeout_s=1.0, request_id="b"
            )
            assert other is first
            second.abort()
            other.abort()

    asyncio.run(run())


def test_a_connection_is_closed_after_its_last_exchange(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The ids that a connection has carried must not take unbounded memory."""
    monkeypatch.setattr(engine_connection, "MAX_EXCHANGES", 2)

    async def run() -> None:
        async with ScriptedPeer(respond_with(*[COMPLETE_RESPONSE] * 2)) as peer:
            connection = await EngineConnection.open(peer.address, 1.0)
            assert await exchange(connection) == b"ok"
            assert connection.finish()
            assert await exchange(connection) == b"ok"
            assert not connection.finish()

    asyncio.run(run())


def test_an_answer_before_the_request_was_sent_prevents_reuse() -> None:
    """The rest of the request would come before the next one."""

    async def run() -> None:
        async with ScriptedPeer(respond_with(COMPLETE_RESPONSE)) as peer:
            connection = await EngineConnection.open(peer.address, 1.0)
            connection.send("POST", "/", REQUEST_HEADERS, bytes(64 * 1024 * 1024))
            await connection.read_head()
            assert [part async for part in connection.read_body()] == [b"ok"]
            assert not connection.finish()

    asyncio.run(run())


def test_reuse_is_suspended_for_some_time() -> None:
    """Each copy of an engine that copies every answer fails a request."""

    async def run() -> None:
        clock = ManualClock()
        pool = EnginePool(clock)

        async def acquire() -> EngineConnection:
            return await pool.acquire(peer.address, recently_used=True, timeout_s=1.0)

        async with ScriptedPeer(respond_with(*[COMPLETE_RESPONSE] * 3)) as peer:
            idle, used = await acquire(), await acquire()
            pool.release(idle)
            pool.suspend_reuse(peer.address)
            assert not idle.usable
            await exchange(used)
            pool.release(used)
            assert not used.usable
            clock.advance(NO_REUSE_S + 0.1)
            pool.close_stale()
            again = await acquire()
            await exchange(again)
            pool.release(again)
            assert await acquire() is again
            again.abort()

    asyncio.run(run())


@pytest.mark.parametrize("closes", ["acquire", "close_stale"])
@pytest.mark.parametrize(
    ("late", "suspended"),
    [
        (COMPLETE_RESPONSE, True),
        (COMPLETE_RESPONSE[:20], True),
        (b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n", False),
        (b"\r\n", False),
    ],
)
def test_a_copy_on_an_idle_connection_suspends_reuse(
    late: bytes, suspended: bool, closes: str
) -> None:
    """The next copy would fail a request on another connection.

    Sound servers may announce with 408 that they close an idle connection.
    """

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while await reader.readuntil(b"\r\n\r\n"):
            writer.write(COMPLETE_RESPONSE)
            if not late_written:
                late_written.append(True)
                await idle.wait()
                writer.write(late)

    late_written: list[bool] = []
    idle = asyncio.Event()

    async def run() -> None:
        pool = EnginePool(ManualClock())

        async def acquire() -> EngineConnection:
            return await pool.acquire(peer.address, recently_used=True, timeout_s=1.0)

        async with ScriptedPeer(script) as peer:
            first, second = await acquire(), await acquire()
            await exchange(first)
            await exchange(second)
            pool.release(second)
            pool.release(first)
            idle.set()
            async with asyncio.timeout(2.0):
                while first.usable:
                    await asyncio.sleep(0.001)
            if closes == "close_stale":
                pool.close_stale()
            third = await acquire()
            assert (third is second) is not suspended
            assert second.usable is not suspended
            third.abort()
            second.abort()

    asyncio.run(run())

"""Guards against bytes that a planned stop of a host loses.

What was read from a connection is answered, what was answered arrives, and
all other bytes stay unread.
"""

import asyncio
import socket
import time
from collections.abc import Callable

import pytest
import uvloop
from aiohttp import web

from kumquat_relay.caller_server import CallerServer

from .raw_caller import RawCaller, request_bytes
from .relay_harness import RelayHarness
from .stopping_host import (
    DETECTION_S,
    STOP_S,
    arrivals,
    assert_refused,
    connect,
    hold_servers,
    release_servers,
    run_scenario,
    runs,
    stop_host,
)


def test_pipelined_requests_are_all_answered() -> None:
    """The first response closed the connection, and the others were lost."""

    async def scenario(harness: RelayHarness) -> None:
        caller = await connect(harness)
        stop = stop_host(harness.host)
        await asyncio.sleep(0.1)
        caller.writer.write(
            b"".join(request_bytes("once", f"p{number}") for number in range(4))
        )
        responses = [await caller.read() for _ in range(4)]
        assert [item.status for item in responses] == [200] * 4
        assert [item.closes for item in responses] == [False] * 3 + [True]
        await stop

    run_scenario(scenario)


def test_requests_pipelined_behind_work_are_answered_at_the_exit() -> None:
    async def scenario(harness: RelayHarness) -> None:
        caller = await connect(harness)
        await hold_servers(harness, caller, "once")
        stop = stop_host(harness.host)
        await asyncio.sleep(DETECTION_S + 0.1)
        caller.writer.write(request_bytes("once", "p1") + request_bytes("once", "p2"))
        await asyncio.sleep(0.05)
        release_servers(harness)
        assert (await caller.read()).status == 200
        assert (await caller.read()).status == 503
        assert_refused(await caller.read())
        assert await caller.at_end()
        await stop
        assert runs(harness) == {"held"}

    run_scenario(scenario)


def test_a_request_behind_a_stream_that_began_before_the_stop_is_answered() -> None:
    """The head of such a stream did not announce the close."""

    async def scenario(harness: RelayHarness) -> None:
        for engine in harness.decode_engines:
            engine.gap_s = 0.2
        caller = await connect(harness)
        caller.writer.write(request_bytes("tale", "stream", 2500))
        head = await caller.reader.readuntil(b"\r\n\r\n")
        assert b"connection: close" not in head.lower()
        stop = stop_host(harness.host)
        await asyncio.sleep(DETECTION_S + 0.05)
        caller.writer.write(request_bytes("once", "behind"))
        await caller.reader.readuntil(b"0\r\n\r\n")
        assert_refused(await caller.read())
        await stop

    run_scenario(scenario)


@pytest.mark.parametrize("sent_bytes", [20, -2], ids=["head", "body"])
def test_an_incomplete_request_is_refused_and_does_not_delay_the_exit(
    sent_bytes: int,
) -> None:
    """A slow sender got a closed connection, or kept the host alive."""

    async def scenario(harness: RelayHarness) -> None:
        loop = asyncio.get_running_loop()
        caller = await connect(harness)
        caller.writer.write(request_bytes("once", "slow")[:sent_bytes])
        await asyncio.sleep(0.05)
        began_s = loop.time()
        stop = stop_host(harness.host)
        assert_refused(await caller.read())
        assert await caller.at_end()
        await stop
        assert loop.time() - began_s < STOP_S
        assert runs(harness) == set()

    run_scenario(scenario)


CHUNKED = b"\r\nTransfer-Encoding: chunked\r\n"


@pytest.mark.parametrize("sent_bytes", [1, 20, -5], ids=["method", "line", "end"])
@pytest.mark.parametrize("framing", ["length", "chunks"])
def test_part_of_a_head_behind_a_complete_request_is_refused(
    framing: str, sent_bytes: int
) -> None:
    """Both came in one segment: the caller got a closed connection, since only
    bytes of a segment without a request counted as part of a head."""
    first = request_bytes("once", "first")
    if framing == "chunks":
        first = first.replace(b"\r\nContent-Length: 4\r\n", CHUNKED)
        first = first.replace(b"\r\n\r\nbody", b"\r\n\r\n4\r\nbody\r\n0\r\n\r\n")

    async def scenario(harness: RelayHarness) -> None:
        caller = await connect(harness)
        rest = request_bytes("once", "behind", body=b"")[:sent_bytes]
        caller.writer.write(first + rest)
        response = await caller.read()
        assert (response.status, response.closes) == (200, False)
        stop = stop_host(harness.host)
        assert_refused(await caller.read())
        assert await caller.at_end()
        await stop
        assert runs(harness) == {"first"}

    run_scenario(scenario)


def test_empty_lines_on_an_idle_connection_get_no_response() -> None:
    """Some callers send an empty line after a request."""

    async def scenario(harness: RelayHarness) -> None:
        caller = await connect(harness)
        caller.writer.write(request_bytes("once", "first"))
        assert (await caller.read()).status == 200
        caller.writer.write(b"\r\n")
        await asyncio.sleep(0.05)
        stop = stop_host(harness.host)
        assert await caller.at_end()
        await stop

    run_scenario(scenario)


def test_unread_bytes_do_not_destroy_the_response_before_them() -> None:
    """Closing a connection with unread bytes resets it."""

    async def scenario(harness: RelayHarness) -> None:
        caller = await connect(harness)
        stop = stop_host(harness.host)
        await asyncio.sleep(0.1)
        caller.writer.write(request_bytes("once", "first"))
        await harness.wait_until(lambda: "first" in runs(harness))
        for number in range(50):
            caller.writer.write(request_bytes("once", f"x{number}", body=b"x" * 2000))
            await asyncio.sleep(0)
        await asyncio.sleep(0.1)
        assert (await caller.read()).status == 200
        await stop

    run_scenario(scenario)


@pytest.mark.parametrize("connection", ["keep-alive", "close"])
def test_a_response_in_a_buffer_arrives_before_the_exit(connection: str) -> None:
    """The event loop ended while responses were still in its buffers."""
    body = b"0123456789" * 400_000

    async def large(*_: object) -> web.Response:
        headers = {"X-Request-Id": "large", "X-Response-Seal": "seal"}
        return web.Response(body=body, headers=headers)

    async def scenario(harness: RelayHarness) -> None:
        for engine in harness.backend_servers:
            engine._serve = large  # type: ignore[method-assign]
        caller = await connect(harness, receive_buffer=4096)
        request = request_bytes("once", "large")
        header = f"\r\nConnection: {connection}\r\n".encode()
        caller.writer.write(request.replace(b"\r\n", header, 1))
        await harness.wait_until(lambda: arrivals(harness) > 0)
        stop = stop_host(harness.host)
        await asyncio.sleep(DETECTION_S + 0.5)
        assert not stop.done()
        response = await caller.read()
        assert response.body == body
        await stop

    run_scenario(scenario)


async def _send_until_refused(harness: RelayHarness, name: str) -> list[str]:
    """Open a connection for each request; return those without a response."""
    unanswered = []
    for number in range(1000):
        request_id = f"{name}-{number}"
        try:
            caller = await connect(harness)
        except ConnectionError:
            return unanswered
        caller.writer.write(request_bytes("once", request_id))
        try:
            await caller.read()
        except (ConnectionError, EOFError):
            unanswered.append(request_id)
        caller.close()
    return unanswered


def test_callers_that_connect_while_the_listener_closes() -> None:
    """They are answered, or their requests are not run."""

    async def scenario(harness: RelayHarness) -> None:
        for engine in harness.backend_servers:
            engine.processing_s = 0.01
        callers = asyncio.gather(
            *(_send_until_refused(harness, f"c{number}") for number in range(20))
        )
        await harness.wait_until(lambda: len(runs(harness)) > 50)
        stop = stop_host(harness.host)
        unanswered = {name for names in await callers for name in names}
        await stop
        assert unanswered & runs(harness) == set()

    run_scenario(scenario)


def test_several_hundred_connections_are_answered_and_closed() -> None:
    async def scenario(harness: RelayHarness) -> None:
        callers = [await connect(harness) for _ in range(300)]
        for engine in harness.backend_servers:
            engine.processing_s = 0.3
        for number, caller in enumerate(callers[:150]):
            caller.writer.write(request_bytes("again", f"m{number}", 2000))
        await harness.wait_until(lambda: arrivals(harness) >= 50)
        stop = stop_host(harness.host)
        responses = await asyncio.gather(*(item.read() for item in callers[:150]))
        assert {item.status for item in responses} <= {200, 503}
        assert sum(item.status == 200 for item in responses) >= 100
        assert all(await asyncio.gather(*(item.at_end() for item in callers)))
        await stop

    run_scenario(scenario)


def test_a_connection_that_waits_while_the_host_is_busy_is_answered() -> None:
    """The listener was closed before it had accepted the connections that had
    arrived while the event loop was busy; the kernel reset them."""

    async def run() -> None:
        async with RelayHarness() as harness:
            host = harness.host
            stop = stop_host(host)
            await asyncio.sleep(0.2)
            callers = harness.options.callers
            sock = socket.create_connection((callers.ip, callers.port))
            sock.sendall(request_bytes("once", "waits"))
            time.sleep(2.5)
            caller = RawCaller(*await asyncio.open_connection(sock=sock))
            assert_refused(await caller.read())
            caller.close()
            await stop

    # The loop of the platform's hosts runs timers before it accepts.
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run())


@pytest.mark.parametrize("new_loop", [asyncio.new_event_loop, uvloop.new_event_loop])
def test_connections_that_the_kernel_holds_when_the_listener_closes(
    new_loop: Callable[[], asyncio.AbstractEventLoop],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """They had arrived since the host last accepted any; the kernel reset
    them. With 250 callers that never paused that were 14 of 15,986."""
    socks: list[socket.socket] = []
    stop_listening = CallerServer._stop_listening

    async def connect_and_stop_listening(server: CallerServer) -> None:
        for number in range(5 if not socks else 0):
            sock = socket.create_connection((server._listen.ip, server._listen.port))
            sock.sendall(request_bytes("once", f"held{number}"))
            socks.append(sock)
        await stop_listening(server)

    monkeypatch.setattr(CallerServer, "_stop_listening", connect_and_stop_listening)
    monkeypatch.setattr("kumquat_relay.shutdown.DETECTION_S", DETECTION_S)

    async def run() -> None:
        async with RelayHarness() as harness:
            stop = stop_host(harness.host)
            await harness.wait_until(lambda: len(socks) == 5)
            for sock in socks:
                caller = RawCaller(*await asyncio.open_connection(sock=sock))
                assert_refused(await caller.read())
                caller.close()
            await stop
            assert runs(harness) == set()

    with asyncio.Runner(loop_factory=new_loop) as runner:
        runner.run(run())

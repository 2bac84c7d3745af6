"""Guards against requests that are lost when the limits of callers change."""

import asyncio
import dataclasses
import os
import threading
import time
from typing import Any

import uvloop

from kumquat_core.clock import ManualClock
from kumquat_relay import limit_history
from kumquat_relay.limit_history import DEFAULT_LIMITS, LimitHistory

from .raw_caller import RawCaller, RawResponse, request_bytes
from .relay_harness import RelayHarness, configuration, run_scenario

SHORT_IDLE_MS = 300
LONG_IDLE_MS = 6000
BUSY_S = 0.6
# Connections were closed this long after the idle limit.
OLD_MARGIN_S = 2.0


async def _change_limits(harness: RelayHarness, version: int, **limits: Any) -> None:
    """Put a configuration in force at the host that differs in its limits."""
    merged = configuration()["limits"] | limits
    harness.store.put("op", "config", configuration(version, limits=merged))
    state = harness.host._parts.cluster_state
    await harness.wait_until(lambda: state.version == version)


async def _connect(harness: RelayHarness) -> RawCaller:
    return await RawCaller.connect(harness.host._options.callers)


async def _request(caller: RawCaller, request_id: str) -> RawResponse:
    caller.writer.write(request_bytes("again", request_id))
    async with asyncio.timeout(3.0):
        return await caller.read()


def test_kept_connection_follows_an_idle_limit_that_grows() -> None:
    """Connections were closed after the idle limit of the time at which they
    were opened, while callers used them for four fifths of the new one."""

    async def scenario(harness: RelayHarness) -> None:
        await _change_limits(harness, 4, idle_timeout_ms=SHORT_IDLE_MS)
        used, idle = await _connect(harness), await _connect(harness)
        assert (await _request(used, "first")).status == 200
        await _change_limits(harness, 5, idle_timeout_ms=LONG_IDLE_MS)
        await asyncio.sleep(SHORT_IDLE_MS / 1000 + OLD_MARGIN_S + 0.3)
        for caller, request_id in ((used, "second"), (idle, "third")):
            assert (await _request(caller, request_id)).status == 200
            caller.close()

    run_scenario(scenario)


def test_idle_limit_that_shrinks_keeps_connections_that_are_idle() -> None:
    """Guards against connections that are closed before the limit that was in
    force when they became idle, up to which their callers use them."""

    async def scenario(harness: RelayHarness) -> None:
        await _change_limits(harness, 4, idle_timeout_ms=LONG_IDLE_MS)
        caller = await _connect(harness)
        assert (await _request(caller, "first")).status == 200
        await _change_limits(harness, 5, idle_timeout_ms=SHORT_IDLE_MS)
        await asyncio.sleep(SHORT_IDLE_MS / 1000 + OLD_MARGIN_S + 0.3)
        assert (await _request(caller, "second")).status == 200
        caller.close()

    run_scenario(scenario)


def test_head_that_is_being_read_does_not_end_as_idle() -> None:
    """A head that began just before the end of the idle limit was cut: its
    connection was closed without an answer, within the header timeout."""

    async def scenario(harness: RelayHarness) -> None:
        await _change_limits(harness, 4, idle_timeout_ms=SHORT_IDLE_MS)
        caller = await _connect(harness)
        assert (await _request(caller, "first")).status == 200
        await asyncio.sleep(SHORT_IDLE_MS / 1000 + OLD_MARGIN_S - 0.3)
        request = request_bytes("again", "second")
        caller.writer.write(request[:40])
        await asyncio.sleep(1.0)
        caller.writer.write(request[40:])
        async with asyncio.timeout(3.0):
            assert (await caller.read()).status == 200
        caller.close()

    run_scenario(scenario)


def test_head_that_never_ends_is_refused() -> None:
    """Guards against a close without an answer, and against a part of a head
    that holds its connection for good."""

    async def scenario(harness: RelayHarness) -> None:
        await _change_limits(
            harness, 4, idle_timeout_ms=SHORT_IDLE_MS, header_timeout_ms=500
        )
        caller = await _connect(harness)
        caller.writer.write(request_bytes("again", "never")[:40])
        async with asyncio.timeout(5.0):
            response = await caller.read()
            assert response.status == 408
            assert response.closes
            assert await caller.at_end()
        caller.close()

    run_scenario(scenario)


def test_many_changes_keep_the_longest_limit() -> None:
    """Guards against a history that grows or loses a limit at a change."""
    clock = ManualClock()
    history = LimitHistory(clock)
    limits = DEFAULT_LIMITS
    for number in range(200):
        clock.advance(0.01)
        idle_ms = LONG_IDLE_MS * 10 if number == 0 else SHORT_IDLE_MS + number
        limits = dataclasses.replace(limits, idle_timeout_ms=idle_ms)
        history.change(limits)
    assert history.widest_over_last(10.0).idle_timeout_ms == LONG_IDLE_MS * 10
    assert len(history._ended) <= limit_history.MAX_ENDED
    clock.advance(10.01)
    assert history.widest_over_last(10.0) == limits


class _BusyProtocol(asyncio.Protocol):
    """Keeps the event loop busy while it reads."""

    def data_received(self, data: bytes) -> None:
        time.sleep(BUSY_S)


def test_request_that_came_while_the_host_was_busy_is_not_closed_as_idle() -> None:
    """The event loop of the hosts runs timers after it has read, so a host
    that was busy reading at the end of the idle limit closed a connection
    whose next request had arrived meanwhile, and the caller got no answer."""

    async def run() -> None:
        loop = asyncio.get_running_loop()
        busy = await loop.create_server(_BusyProtocol, "127.0.0.1", 0)
        async with RelayHarness() as harness:
            await _change_limits(harness, 4, idle_timeout_ms=SHORT_IDLE_MS)
            caller = await _connect(harness)
            other = await asyncio.open_connection(*busy.sockets[0].getsockname())
            assert (await _request(caller, "first")).status == 200
            await asyncio.sleep(SHORT_IDLE_MS / 1000 + OLD_MARGIN_S - BUSY_S / 2)
            other[1].write(b"busy")
            # The bytes arrive while the loop is busy.
            sock = caller.writer.get_extra_info("socket")
            request = request_bytes("again", "second")
            timer = threading.Timer(BUSY_S / 2, os.write, (sock.fileno(), request))
            timer.start()
            async with asyncio.timeout(3.0):
                assert (await caller.read()).status == 200
            other[1].close()
            caller.close()
        busy.close()

    uvloop.run(run())


def test_body_limit_that_grows_while_a_body_is_read_applies_to_it() -> None:
    """A body was held to the limit of the time of its head, at a host that
    learned of a larger one later than its caller, and rejected for good."""

    async def scenario(harness: RelayHarness) -> None:
        await _change_limits(harness, 4, max_body_bytes=1000)
        request = request_bytes("again", "grows", body=b"b" * 5000)
        caller = await _connect(harness)
        caller.writer.write(request[:900])
        await asyncio.sleep(0.1)
        await _change_limits(harness, 5, max_body_bytes=10_000)
        caller.writer.write(request[900:])
        async with asyncio.timeout(3.0):
            assert (await caller.read()).status == 200
        await _change_limits(harness, 6, max_body_bytes=1000)
        caller.writer.write(request_bytes("again", "later", body=b"b" * 5000))
        async with asyncio.timeout(3.0):
            assert (await caller.read()).status == 413
        caller.close()

    run_scenario(scenario)


def test_line_of_a_head_may_be_as_long_as_the_configuration_allows() -> None:
    """A line of over 16 KB was answered 400, whatever the configuration."""

    async def scenario(harness: RelayHarness) -> None:
        await _change_limits(harness, 4, max_header_bytes=40_000)
        caller = await _connect(harness)
        for length, status in ((30_000, 404), (50_000, 400)):
            request = request_bytes("none/" + "t" * length, "long")
            caller.writer.write(request)
            async with asyncio.timeout(3.0):
                assert (await caller.read()).status == status
        caller.close()

    run_scenario(scenario)


def test_body_that_came_while_the_host_was_paused_is_not_late() -> None:
    """The event loop of the hosts ran the timer of the body before it read the
    rest that had arrived, and the caller was refused as a slow sender."""

    async def run() -> None:
        async with RelayHarness() as harness:
            await _change_limits(harness, 4, idle_timeout_ms=SHORT_IDLE_MS)
            caller = await _connect(harness)
            request = request_bytes("again", "paused", body=b"b" * 500)
            caller.writer.write(request[:-100])
            await asyncio.sleep(0.1)
            sock = caller.writer.get_extra_info("socket")
            os.write(sock.fileno(), request[-100:])
            # The loop does nothing, like that of a process that is stopped.
            time.sleep(BUSY_S)
            async with asyncio.timeout(3.0):
                assert (await caller.read()).status == 200
            caller.close()

    uvloop.run(run())

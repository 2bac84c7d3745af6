"""Tests of callers that do not read their answers while a host stops."""

import asyncio
import itertools

import pytest
from aiohttp import web

from kumquat_core.log_events import KeyValueFormatter

from .raw_caller import RawCaller, request_bytes
from .relay_harness import RelayHarness
from .stopping_host import arrivals, connect, run_scenario, stop_host

BODY = b"0123456789" * 400_000
CHUNK = 65536
# With a pause after each, they take longer than the deadline and the time that
# a caller may read nothing.
SLOW_READS = 80
# Far longer than what any of these tests waits for.
GRACE_S = 40.0
EXIT_TIMEOUT_S = 20.0


async def _large(*_: object) -> web.Response:
    headers = {"X-Request-Id": "large", "X-Response-Seal": "seal"}
    return web.Response(body=BODY, headers=headers)


async def _leave_unread(harness: RelayHarness, deadline_ms: int) -> RawCaller:
    """Send a request whose answer fits into no buffer, and read nothing."""
    harness.host._parts.shutdown.grace_s = GRACE_S
    for engine in harness.backend_servers:
        engine._serve = _large  # type: ignore[method-assign]
    caller = await connect(harness, receive_buffer=4096)
    caller.reader._limit = 1024  # type: ignore[attr-defined]
    caller.writer.write(request_bytes("once", "large", deadline_ms))
    await harness.wait_until(lambda: arrivals(harness) > 0)
    return caller


@pytest.mark.parametrize("stops_first", [False, True])
def test_a_caller_that_never_reads_does_not_keep_a_host(
    stops_first: bool, caplog: pytest.LogCaptureFixture
) -> None:
    """It kept the host until the end of the grace period, and all hosts that
    are stopped after it from being stopped."""

    async def scenario(harness: RelayHarness) -> None:
        if stops_first:
            harness.host._parts.shutdown.grace_s = GRACE_S
            stop = stop_host(harness.host)
            await _leave_unread(harness, 500)
        else:
            await _leave_unread(harness, 500)
            stop = stop_host(harness.host)
        async with asyncio.timeout(EXIT_TIMEOUT_S):
            await stop

    with caplog.at_level("INFO"):
        run_scenario(scenario)
    lines = [KeyValueFormatter().format(record) for record in caplog.records]
    (closed,) = [line for line in lines if "event=connections_closed" in line]
    assert " unsent=1 " in closed


def test_a_caller_that_reads_slowly_gets_its_whole_answer() -> None:
    """It reads on after its deadline: as long as it does, the host waits."""

    async def scenario(harness: RelayHarness) -> None:
        caller = await _leave_unread(harness, 300)
        stop = stop_host(harness.host)
        received = 0
        head = await caller.reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200")
        for pause_s in itertools.chain([0.05] * SLOW_READS, itertools.repeat(0)):
            chunk = await caller.reader.read(CHUNK)
            if not chunk:
                break
            received += len(chunk)
            await asyncio.sleep(pause_s)
        assert received == len(BODY)
        await stop

    run_scenario(scenario)


def test_a_caller_that_reads_late_but_in_time_gets_its_whole_answer() -> None:
    """Until its deadline it may read at any time."""

    async def scenario(harness: RelayHarness) -> None:
        caller = await _leave_unread(harness, 4000)
        stop = stop_host(harness.host)
        await asyncio.sleep(3.0)
        assert (await caller.read()).body == BODY
        await stop

    run_scenario(scenario)

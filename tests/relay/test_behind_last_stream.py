"""Guards against requests that run behind the last response."""

import asyncio

import pytest

from .raw_caller import request_bytes
from .relay_harness import RelayHarness
from .stopping_host import connect, run_scenario, runs, stop_host


def test_a_request_read_with_a_stream_is_answered_behind_it() -> None:
    """Such a request ran, and its caller got a closed connection."""

    async def scenario(harness: RelayHarness) -> None:
        caller = await connect(harness)
        stop = stop_host(harness.host)
        await asyncio.sleep(0.02)
        caller.writer.write(
            request_bytes("tale", "stream", 1000)
            + request_bytes("once", "behind", 1000)
        )
        async with asyncio.timeout(5):
            received = await caller.reader.read()
            await stop
        assert received.startswith(b"HTTP/1.1 200")
        assert received.count(b"HTTP/1.1 ") == 2

    run_scenario(scenario)


def test_a_request_behind_the_last_stream_of_a_connection_does_not_run() -> None:
    """The head of the stream announced the close: its answer is not sent."""

    async def scenario(harness: RelayHarness) -> None:
        for engine in harness.decode_engines:
            engine.gap_s = 0.05
        caller = await connect(harness)
        stop = stop_host(harness.host)
        await asyncio.sleep(0.02)
        caller.writer.write(request_bytes("tale", "stream", 1500))
        async with asyncio.timeout(5):
            head = await caller.reader.readuntil(b"\r\n\r\n")
            caller.writer.write(request_bytes("once", "behind", 1000))
            received = await caller.reader.read()
            await stop
        assert b"connection: close" in head.lower()
        assert received.endswith(b"0\r\n\r\n")
        assert "behind" not in runs(harness)

    run_scenario(scenario)


@pytest.mark.parametrize("route", ["once", "tale"])
def test_a_request_behind_an_upgrade_request_does_not_run_unanswered(
    route: str,
) -> None:
    """aiohttp parses such a request after the last response was sent."""
    upgrade = b"\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n"

    async def scenario(harness: RelayHarness) -> None:
        caller = await connect(harness)
        stop = stop_host(harness.host)
        await asyncio.sleep(0.02)
        caller.writer.write(
            request_bytes(route, "first", 1000).replace(b"\r\n", upgrade, 1)
            + request_bytes("once", "behind", 1000)
        )
        async with asyncio.timeout(5):
            received = await caller.reader.read()
            await stop
        assert received.startswith(b"HTTP/1.1 200")
        is_answered = received.count(b"HTTP/1.1 200") == 2
        assert ("behind" in runs(harness)) == is_answered

    run_scenario(scenario)

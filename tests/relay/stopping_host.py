"""Stops a relay host as the platform does and counts what its servers saw.

The load balancer detects the stop after ``DETECTION_S`` instead of 2.5 s.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from kumquat_relay.relay_host import RelayHost

from .raw_caller import RawCaller, RawResponse, request_bytes
from .relay_harness import RelayHarness, run_scenario as run_with_harness

__all__ = [
    "DETECTION_S",
    "STOP_S",
    "arrivals",
    "assert_refused",
    "connect",
    "hold_servers",
    "release_servers",
    "run_scenario",
    "runs",
    "stop_host",
]

DETECTION_S = 0.4
# A stop without work ends soon after the detection, also on a busy machine.
STOP_S = DETECTION_S + 1.0


def run_scenario(
    scenario: Callable[[RelayHarness], Awaitable[None]], host_count: int = 1
) -> None:
    """Run a scenario with a new harness and close its callers afterwards.

    The detection is short meanwhile.
    """

    async def run(harness: RelayHarness) -> None:
        try:
            await scenario(harness)
        finally:
            for caller in RawCaller.opened:
                caller.close()
            RawCaller.opened.clear()
            await asyncio.sleep(0)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr("kumquat_relay.shutdown.DETECTION_S", DETECTION_S)
        run_with_harness(run, host_count)


def stop_host(host: RelayHost) -> asyncio.Task[None]:
    """Begin a planned stop, as SIGTERM does."""

    async def stop() -> None:
        await host.drain()
        await host.stop()

    return asyncio.ensure_future(stop())


async def connect(harness: RelayHarness, **options: Any) -> RawCaller:
    """Open a connection to the first host."""
    return await RawCaller.connect(harness.options.callers, **options)


async def hold_servers(harness: RelayHarness, caller: RawCaller, route: str) -> None:
    """Send a request and return when its server holds it."""
    for engine in harness.backend_servers:
        engine.responsive.clear()
    sent = arrivals(harness)
    caller.writer.write(request_bytes(route, "held", 3000))
    await harness.wait_until(lambda: arrivals(harness) > sent)


def arrivals(harness: RelayHarness) -> int:
    """Return how many requests have reached backend servers."""
    return sum(len(engine.received) for engine in harness.backend_servers)


def release_servers(harness: RelayHarness) -> None:
    """Let backend servers answer again."""
    for engine in harness.backend_servers:
        engine.responsive.set()


def runs(harness: RelayHarness) -> set[str]:
    """Return the ids of the plain requests that have run."""
    return {run for engine in harness.backend_servers for run in engine.runs}


def assert_refused(response: RawResponse) -> None:
    """Check that the caller may go to another host at once."""
    assert response.status == 503
    assert response.closes
    assert float(response.headers["retry-after"]) <= 0.05

"""Guards against unanswered requests after a short grace period."""

import asyncio

import pytest

from .raw_caller import RawCaller
from .relay_harness import RelayHarness
from .stopping_host import (
    connect,
    hold_servers,
    release_servers,
    run_scenario,
    stop_host,
)


@pytest.mark.parametrize("grace_s", [0.0, 0.3, 0.5])
def test_a_request_is_answered_when_the_grace_period_is_very_short(
    grace_s: float,
) -> None:
    """The connection was closed before its handler could answer."""

    async def scenario(harness: RelayHarness) -> None:
        caller: RawCaller = await connect(harness)
        await hold_servers(harness, caller, "once")
        harness.host._parts.shutdown.grace_s = grace_s
        stop = stop_host(harness.host)
        async with asyncio.timeout(3):
            assert (await caller.read()).status == 504
            await stop
        release_servers(harness)

    run_scenario(scenario)


def test_a_request_is_answered_when_the_grace_period_is_over_at_a_reload() -> None:
    """A reload can shorten the grace period below the time that has passed."""

    async def scenario(harness: RelayHarness) -> None:
        caller: RawCaller = await connect(harness)
        await hold_servers(harness, caller, "once")
        stop = stop_host(harness.host)
        await asyncio.sleep(1.2)
        harness.host._parts.shutdown.grace_s = 1.0
        async with asyncio.timeout(3):
            assert (await caller.read()).status == 504
            await stop
        release_servers(harness)

    run_scenario(scenario)

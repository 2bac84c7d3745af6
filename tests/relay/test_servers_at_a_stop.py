"""Guards against requests lost when servers fail or leave while a host stops.

What the host has accepted is retried, answered or refused as truthfully as
while it runs, and the servers that are left decide when it may exit.
"""

import asyncio

import pytest

from .fakes import FakeEngine
from .raw_caller import RawCaller, request_bytes
from .relay_harness import RelayHarness
from .stopping_host import (
    arrivals,
    connect,
    release_servers,
    run_scenario,
    runs,
    stop_host,
)

# No request of these tests reaches its deadline, also on a busy machine.
DEADLINE_MS = 2500


async def _hold(harness: RelayHarness, route: str) -> tuple[RawCaller, FakeEngine]:
    """Send a request; return its caller and the server that holds it."""
    for engine in harness.backend_servers:
        engine.responsive.clear()
    caller = await connect(harness)
    caller.writer.write(request_bytes(route, "held", DEADLINE_MS))
    await harness.wait_until(lambda: arrivals(harness) == 1)
    (holder,) = [item for item in harness.backend_servers if item.received]
    return caller, holder


@pytest.mark.parametrize(("route", "status"), [("once", 502), ("again", 200)])
def test_a_server_that_fails_while_the_host_stops(route: str, status: int) -> None:
    """A request that may be repeated goes to another server; of the other one
    nothing is known, so it is not refused."""

    async def scenario(harness: RelayHarness) -> None:
        caller, holder = await _hold(harness, route)
        stop = stop_host(harness.host)
        await asyncio.sleep(0.1)
        await holder.crash()
        release_servers(harness)
        response = await caller.read()
        assert (response.status, response.closes) == (status, True)
        assert await caller.at_end()
        await stop
        assert len(runs(harness)) == (1 if status == 200 else 0)

    run_scenario(scenario)


@pytest.mark.parametrize("route", ["once", "again"])
def test_a_server_that_leaves_while_the_host_stops(route: str) -> None:
    """It finishes what it has, and requests that the host still accepts go to
    another server."""

    async def scenario(harness: RelayHarness) -> None:
        caller, holder = await _hold(harness, route)
        idle = await connect(harness)
        registry = harness.host._parts.cluster_state.registry
        stop = stop_host(harness.host)
        harness.list_engine(holder, "draining")
        await harness.wait_until(
            lambda: holder.id not in {e.id for e in registry.usable("plain")}
        )
        release_servers(harness)
        idle.writer.write(request_bytes(route, "next", DEADLINE_MS))
        first, second = await caller.read(), await idle.read()
        assert first.status == 200
        # The load balancer may have removed the host by then.
        assert second.status in (200, 503)
        assert ("next" in runs(harness)) == (second.status == 200)
        await stop
        assert "next" not in holder.runs

    run_scenario(scenario)


def test_all_servers_fail_while_the_host_stops() -> None:
    """Requests that reached no server are refused and delay nothing."""

    async def scenario(harness: RelayHarness) -> None:
        callers = [await connect(harness) for _ in range(4)]
        stop = stop_host(harness.host)
        for engine in harness.backend_servers:
            # They stay away until the harness ends.
            engine.restart_s = 1.0
            await engine.crash()
        for number, caller in enumerate(callers):
            caller.writer.write(request_bytes("once", f"f{number}", DEADLINE_MS))
        responses = [await caller.read() for caller in callers]
        assert [item.status for item in responses] == [503] * len(callers)
        assert all(item.closes for item in responses)
        await stop
        assert runs(harness) == set()

    run_scenario(scenario)


@pytest.mark.parametrize("route", ["story", "tale"])
def test_an_engine_that_fails_while_the_host_stops(route: str) -> None:
    """A stream that may be resumed goes on at another engine; another one is
    seen to be incomplete."""

    async def scenario(harness: RelayHarness) -> None:
        harness.break_next_stream(after=3)
        for engine in harness.decode_engines:
            engine.gap_s = 0.1
        caller = await connect(harness)
        caller.writer.write(request_bytes(route, "stream", DEADLINE_MS))
        received = await caller.reader.readuntil(b"id: 1\n")
        stop = stop_host(harness.host)
        received += await caller.reader.read()
        await stop
        assert received.endswith(b"0\r\n\r\n") == (route == "story")
        assert received.count(b"data: e5\n") == (1 if route == "story" else 0)

    run_scenario(scenario)

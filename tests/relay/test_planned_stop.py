"""Guards against requests that a planned stop of a host loses.

A host answers every request that it has read, truthfully, before it exits.
"""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from kumquat_core.log_events import KeyValueFormatter
from kumquat_relay.relay_host import RelayHost

from .raw_caller import RawCaller, request_bytes
from .relay_harness import RelayHarness
from .stopping_host import (
    DETECTION_S,
    arrivals,
    assert_refused,
    connect,
    hold_servers,
    release_servers,
    run_scenario,
    runs,
    stop_host,
)


def test_a_request_on_an_idle_connection_is_served_while_it_fits() -> None:
    async def scenario(harness: RelayHarness) -> None:
        caller = await connect(harness)
        stop = stop_host(harness.host)
        await asyncio.sleep(0.1)
        caller.writer.write(request_bytes("once", "fits", 1000))
        response = await caller.read()
        assert (response.status, response.closes) == (200, True)
        assert await caller.at_end()
        await stop

    run_scenario(scenario)


@pytest.mark.parametrize("route", ["once", "again", "story", "tale"])
def test_a_request_that_may_last_longer_than_the_host_is_refused(route: str) -> None:
    """Its usual time was compared with the time left, so it was cut off.
    Streams were accepted for two seconds, whatever they may last."""

    async def scenario(harness: RelayHarness) -> None:
        harness.host._parts.shutdown.grace_s = 3.0
        caller = await connect(harness)
        stop = stop_host(harness.host)
        await asyncio.sleep(0.05)
        caller.writer.write(request_bytes(route, "long", 2500))
        assert_refused(await caller.read())
        await stop
        assert "long" not in runs(harness)

    run_scenario(scenario)


def test_requests_after_the_detection_are_refused_and_delay_nothing() -> None:
    """Callers that never paused kept the host until the end of its grace
    period, since it waited for half a second without a request."""

    async def scenario(harness: RelayHarness) -> None:
        loop = asyncio.get_running_loop()
        callers = [await connect(harness) for _ in range(5)]
        holder = await connect(harness)
        await hold_servers(harness, holder, "once")
        began_s = loop.time()
        stop = stop_host(harness.host)
        await asyncio.sleep(DETECTION_S + 0.1)
        for number, caller in enumerate(callers):
            caller.writer.write(request_bytes("once", f"late{number}", 100))
            assert_refused(await caller.read())
            await asyncio.sleep(0.1)
        release_servers(harness)
        released_s = loop.time()
        assert (await holder.read()).status == 200
        await stop
        assert loop.time() - released_s < 1.0
        assert loop.time() - began_s < harness.options.stop_grace_s
        assert runs(harness) == {"held"}

    run_scenario(scenario)


def test_work_whose_caller_has_left_is_finished() -> None:
    """A request that must not be repeated was cancelled at its server, since
    only requests with a connection counted as in progress."""

    async def scenario(harness: RelayHarness) -> None:
        caller = await connect(harness)
        await hold_servers(harness, caller, "once")
        caller.close()
        await asyncio.sleep(0.05)
        stop = stop_host(harness.host)
        await asyncio.sleep(DETECTION_S + 0.3)
        assert not stop.done()
        release_servers(harness)
        await stop
        assert runs(harness) == {"held"}
        assert sum(engine.cancelled for engine in harness.backend_servers) == 0

    run_scenario(scenario)


def test_a_request_that_outlasts_the_grace_period_is_answered_and_counted(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Its caller got a closed connection, and no line named it."""

    async def scenario(harness: RelayHarness) -> None:
        caller = await connect(harness)
        await hold_servers(harness, caller, "once")
        harness.host._parts.shutdown.grace_s = 1.5
        stop = stop_host(harness.host)
        response = await caller.read()
        assert (response.status, response.closes) == (504, True)
        await stop
        release_servers(harness)
        text = harness.host.metrics.text().decode()
        assert 'kumquat_relay_requests_cut_total{kind="once"} 1.0' in text

    with caplog.at_level("INFO"):
        run_scenario(scenario)
    lines = [KeyValueFormatter().format(record) for record in caplog.records]
    (cut,) = [line for line in lines if "event=request_cut" in line]
    assert "request=held" in cut
    (decision,) = [line for line in lines if "event=exit_decided" in line]
    assert "reason=grace_over" in decision


def test_a_grace_period_that_is_changed_while_stopping_is_followed() -> None:
    async def scenario(harness: RelayHarness) -> None:
        loop = asyncio.get_running_loop()
        caller = await connect(harness)
        await hold_servers(harness, caller, "once")
        began_s = loop.time()
        stop = stop_host(harness.host)
        await asyncio.sleep(DETECTION_S + 0.1)
        harness.host._parts.shutdown.grace_s = 1.5
        assert (await caller.read()).status == 504
        await stop
        assert loop.time() - began_s < 1.5
        release_servers(harness)

    run_scenario(scenario)


def test_a_stop_without_the_store_answers_the_work() -> None:
    async def scenario(harness: RelayHarness) -> None:
        caller = await connect(harness)
        await hold_servers(harness, caller, "once")
        harness.store.unavailable = True
        stop = stop_host(harness.host)
        await asyncio.sleep(DETECTION_S + 0.3)
        release_servers(harness)
        assert (await caller.read()).status == 200
        await stop
        harness.store.unavailable = False

    run_scenario(scenario)


def _with_owner(
    check: Callable[[RelayHarness, RelayHost, RelayHost], Awaitable[None]],
) -> Callable[[RelayHarness], Awaitable[None]]:
    """Return a scenario that knows the owner of the queue and another host."""

    async def scenario(harness: RelayHarness) -> None:
        first, second = harness.hosts
        owner_id = first._owner_selection.owner("llm")
        owner = first if owner_id == first._options.host_id else second
        await check(harness, owner, second if owner is first else first)

    return scenario


def test_streams_of_other_hosts_survive_the_stop_of_their_queues_owner() -> None:
    """The owner closed its connections to other hosts before its callers'."""

    async def check(harness: RelayHarness, owner: RelayHost, other: RelayHost) -> None:
        for engine in harness.decode_engines:
            engine.gap_s = 0.15
        async with harness.send("story", host=other) as response:
            stop = stop_host(owner)
            first = await response.read()
        async with harness.send("story", host=other) as response:
            assert await response.read() == first
            assert response.status == 200
        await stop

    run_scenario(_with_owner(check), host_count=2)


def test_streams_of_the_stopping_owner_itself_are_finished() -> None:
    async def check(harness: RelayHarness, owner: RelayHost, other: RelayHost) -> None:
        for engine in harness.decode_engines:
            engine.gap_s = 0.3
        async with (
            harness.send("tale", host=owner) as response,
            harness.send("tale", host=other) as second,
        ):
            stop = stop_host(owner)
            assert await response.read() == await second.read()
            assert (response.status, second.status) == (200, 200)
        await stop

    run_scenario(_with_owner(check), host_count=2)


def test_two_hosts_that_stop_at_once_answer_their_requests() -> None:
    async def scenario(harness: RelayHarness) -> None:
        addresses = [host._options.callers for host in harness.hosts]
        callers = [await RawCaller.connect(address) for address in addresses]
        for engine in harness.backend_servers:
            engine.processing_s = 0.8
        for number, caller in enumerate(callers):
            caller.writer.write(request_bytes("once", f"t{number}", 2000))
        await harness.wait_until(lambda: arrivals(harness) == len(callers))
        stops = [stop_host(host) for host in harness.hosts[:2]]
        responses = [await caller.read() for caller in callers]
        assert [item.status for item in responses] == [200] * len(callers)
        await asyncio.gather(*stops)

    run_scenario(scenario, host_count=3)

"""Guards against requests that a planned stop of a host loses.

A host answers every request that it has read, truthfully, before it exits, or
leaves its bytes unread. Each test stops a host of its own; the load balancer
detects it after ``DETECTION_S`` instead of 2.5 s.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from aiohttp import web

from kumquat_core.log_events import KeyValueFormatter
from kumquat_relay.relay_host import RelayHost

from .raw_caller import RawCaller, RawResponse, request_bytes
from .relay_harness import RelayHarness, run_scenario as run_with_harness

DETECTION_S = 0.4
# A stop without work ends soon after the detection, also on a busy machine.
STOP_S = DETECTION_S + 1.0


@pytest.fixture(autouse=True)
def _fast_detection(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("kumquat_relay.shutdown.DETECTION_S", DETECTION_S)


def run_scenario(
    scenario: Callable[[RelayHarness], Awaitable[None]], host_count: int = 1
) -> None:
    """Run a scenario with a new harness and close its callers afterwards."""

    async def run(harness: RelayHarness) -> None:
        try:
            await scenario(harness)
        finally:
            for caller in RawCaller.opened:
                caller.close()
            RawCaller.opened.clear()
            await asyncio.sleep(0)

    run_with_harness(run, host_count)


def _stop(host: RelayHost) -> asyncio.Task[None]:
    """Begin a planned stop, as SIGTERM does."""

    async def stop() -> None:
        await host.drain()
        await host.stop()

    return asyncio.ensure_future(stop())


async def _connect(harness: RelayHarness, **options: Any) -> RawCaller:
    return await RawCaller.connect(harness.options.callers, **options)


async def _hold_servers(harness: RelayHarness, caller: RawCaller, route: str) -> None:
    """Send a request and return when its server holds it."""
    for engine in harness.backend_servers:
        engine.responsive.clear()
    sent = _arrivals(harness)
    caller.writer.write(request_bytes(route, "held", 3000))
    await harness.wait_until(lambda: _arrivals(harness) > sent)


def _arrivals(harness: RelayHarness) -> int:
    return sum(len(engine.received) for engine in harness.backend_servers)


def _release_servers(harness: RelayHarness) -> None:
    for engine in harness.backend_servers:
        engine.responsive.set()


def _runs(harness: RelayHarness) -> set[str]:
    return {run for engine in harness.backend_servers for run in engine.runs}


def _assert_refused(response: RawResponse) -> None:
    """Check that the caller may go to another host at once."""
    assert response.status == 503
    assert response.closes
    assert float(response.headers["retry-after"]) <= 0.05


def test_a_request_on_an_idle_connection_is_served_while_it_fits() -> None:
    async def scenario(harness: RelayHarness) -> None:
        caller = await _connect(harness)
        stop = _stop(harness.host)
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
        caller = await _connect(harness)
        stop = _stop(harness.host)
        await asyncio.sleep(0.05)
        caller.writer.write(request_bytes(route, "long", 2500))
        _assert_refused(await caller.read())
        await stop
        assert "long" not in _runs(harness)

    run_scenario(scenario)


def test_requests_after_the_detection_are_refused_and_delay_nothing() -> None:
    """Callers that never paused kept the host until the end of its grace
    period, since it waited for half a second without a request."""

    async def scenario(harness: RelayHarness) -> None:
        loop = asyncio.get_running_loop()
        callers = [await _connect(harness) for _ in range(5)]
        holder = await _connect(harness)
        await _hold_servers(harness, holder, "once")
        began_s = loop.time()
        stop = _stop(harness.host)
        await asyncio.sleep(DETECTION_S + 0.1)
        for number, caller in enumerate(callers):
            caller.writer.write(request_bytes("once", f"late{number}", 100))
            _assert_refused(await caller.read())
            await asyncio.sleep(0.1)
        _release_servers(harness)
        released_s = loop.time()
        assert (await holder.read()).status == 200
        await stop
        assert loop.time() - released_s < 1.0
        assert loop.time() - began_s < harness.options.stop_grace_s
        assert _runs(harness) == {"held"}

    run_scenario(scenario)


def test_pipelined_requests_are_all_answered() -> None:
    """The first response closed the connection, and the others were lost."""

    async def scenario(harness: RelayHarness) -> None:
        caller = await _connect(harness)
        stop = _stop(harness.host)
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
        caller = await _connect(harness)
        await _hold_servers(harness, caller, "once")
        stop = _stop(harness.host)
        await asyncio.sleep(DETECTION_S + 0.1)
        caller.writer.write(request_bytes("once", "p1") + request_bytes("once", "p2"))
        await asyncio.sleep(0.05)
        _release_servers(harness)
        assert (await caller.read()).status == 200
        assert (await caller.read()).status == 503
        _assert_refused(await caller.read())
        assert await caller.at_end()
        await stop
        assert _runs(harness) == {"held"}

    run_scenario(scenario)


def test_a_request_behind_a_stream_that_began_before_the_stop_is_answered() -> None:
    """The head of such a stream did not announce the close."""

    async def scenario(harness: RelayHarness) -> None:
        for engine in harness.decode_engines:
            engine.gap_s = 0.2
        caller = await _connect(harness)
        caller.writer.write(request_bytes("tale", "stream", 2500))
        head = await caller.reader.readuntil(b"\r\n\r\n")
        assert b"connection: close" not in head.lower()
        stop = _stop(harness.host)
        await asyncio.sleep(DETECTION_S + 0.05)
        caller.writer.write(request_bytes("once", "behind"))
        await caller.reader.readuntil(b"0\r\n\r\n")
        _assert_refused(await caller.read())
        await stop

    run_scenario(scenario)


@pytest.mark.parametrize("sent_bytes", [20, -2], ids=["head", "body"])
def test_an_incomplete_request_is_refused_and_does_not_delay_the_exit(
    sent_bytes: int,
) -> None:
    """A slow sender got a closed connection, or kept the host alive."""

    async def scenario(harness: RelayHarness) -> None:
        loop = asyncio.get_running_loop()
        caller = await _connect(harness)
        caller.writer.write(request_bytes("once", "slow")[:sent_bytes])
        await asyncio.sleep(0.05)
        began_s = loop.time()
        stop = _stop(harness.host)
        _assert_refused(await caller.read())
        assert await caller.at_end()
        await stop
        assert loop.time() - began_s < STOP_S
        assert _runs(harness) == set()

    run_scenario(scenario)


def test_empty_lines_on_an_idle_connection_get_no_response() -> None:
    """Some callers send an empty line after a request."""

    async def scenario(harness: RelayHarness) -> None:
        caller = await _connect(harness)
        caller.writer.write(request_bytes("once", "first"))
        assert (await caller.read()).status == 200
        caller.writer.write(b"\r\n")
        await asyncio.sleep(0.05)
        stop = _stop(harness.host)
        assert await caller.at_end()
        await stop

    run_scenario(scenario)


def test_unread_bytes_do_not_destroy_the_response_before_them() -> None:
    """Closing a connection with unread bytes resets it."""

    async def scenario(harness: RelayHarness) -> None:
        caller = await _connect(harness)
        stop = _stop(harness.host)
        await asyncio.sleep(0.1)
        caller.writer.write(request_bytes("once", "first"))
        await harness.wait_until(lambda: "first" in _runs(harness))
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
        caller = await _connect(harness, receive_buffer=4096)
        request = request_bytes("once", "large")
        header = f"\r\nConnection: {connection}\r\n".encode()
        caller.writer.write(request.replace(b"\r\n", header, 1))
        await harness.wait_until(lambda: _arrivals(harness) > 0)
        stop = _stop(harness.host)
        await asyncio.sleep(DETECTION_S + 0.5)
        assert not stop.done()
        response = await caller.read()
        assert response.body == body
        await stop

    run_scenario(scenario)


def test_work_whose_caller_has_left_is_finished() -> None:
    """A request that must not be repeated was cancelled at its server, since
    only requests with a connection counted as in progress."""

    async def scenario(harness: RelayHarness) -> None:
        caller = await _connect(harness)
        await _hold_servers(harness, caller, "once")
        caller.close()
        await asyncio.sleep(0.05)
        stop = _stop(harness.host)
        await asyncio.sleep(DETECTION_S + 0.3)
        assert not stop.done()
        _release_servers(harness)
        await stop
        assert _runs(harness) == {"held"}
        assert sum(engine.cancelled for engine in harness.backend_servers) == 0

    run_scenario(scenario)


def test_a_request_that_outlasts_the_grace_period_is_answered_and_counted(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Its caller got a closed connection, and no line named it."""

    async def scenario(harness: RelayHarness) -> None:
        caller = await _connect(harness)
        await _hold_servers(harness, caller, "once")
        harness.host._parts.shutdown.grace_s = 1.5
        stop = _stop(harness.host)
        response = await caller.read()
        assert (response.status, response.closes) == (504, True)
        await stop
        _release_servers(harness)
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
        caller = await _connect(harness)
        await _hold_servers(harness, caller, "once")
        began_s = loop.time()
        stop = _stop(harness.host)
        await asyncio.sleep(DETECTION_S + 0.1)
        harness.host._parts.shutdown.grace_s = 1.5
        assert (await caller.read()).status == 504
        await stop
        assert loop.time() - began_s < 1.5
        _release_servers(harness)

    run_scenario(scenario)


async def _send_until_refused(harness: RelayHarness, name: str) -> list[str]:
    """Open a connection for each request; return those without a response."""
    unanswered = []
    for number in range(1000):
        request_id = f"{name}-{number}"
        try:
            caller = await _connect(harness)
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
        await asyncio.sleep(0.1)
        stop = _stop(harness.host)
        unanswered = {name for names in await callers for name in names}
        await stop
        assert unanswered & _runs(harness) == set()
        assert len(_runs(harness)) > 50

    run_scenario(scenario)


def test_several_hundred_connections_are_answered_and_closed() -> None:
    async def scenario(harness: RelayHarness) -> None:
        callers = [await _connect(harness) for _ in range(300)]
        for engine in harness.backend_servers:
            engine.processing_s = 0.3
        for number, caller in enumerate(callers[:150]):
            caller.writer.write(request_bytes("again", f"m{number}", 2000))
        await harness.wait_until(lambda: _arrivals(harness) >= 50)
        stop = _stop(harness.host)
        responses = await asyncio.gather(*(item.read() for item in callers[:150]))
        assert {item.status for item in responses} <= {200, 503}
        assert sum(item.status == 200 for item in responses) >= 100
        assert all(await asyncio.gather(*(item.at_end() for item in callers)))
        await stop

    run_scenario(scenario)


def test_a_stop_without_the_store_answers_the_work() -> None:
    async def scenario(harness: RelayHarness) -> None:
        caller = await _connect(harness)
        await _hold_servers(harness, caller, "once")
        harness.store.unavailable = True
        stop = _stop(harness.host)
        await asyncio.sleep(DETECTION_S + 0.3)
        _release_servers(harness)
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
            stop = _stop(owner)
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
            stop = _stop(owner)
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
        await harness.wait_until(lambda: _arrivals(harness) == len(callers))
        stops = [_stop(host) for host in harness.hosts[:2]]
        responses = [await caller.read() for caller in callers]
        assert [item.status for item in responses] == [200] * len(callers)
        await asyncio.gather(*stops)

    run_scenario(scenario, host_count=3)

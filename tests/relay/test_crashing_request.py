"""Tests that a request which crashes servers is found and refused.

It comes again with new ids at any host. Each run would crash one more server
and end the other requests there.
"""

import asyncio
from collections.abc import Iterable

import aiohttp
import pytest

from kumquat_relay.relay_host import RelayHost

from .fakes import FakeEngine
from .relay_harness import PLAIN, RelayHarness, configuration, run_scenario

DEADLY = b"deadly"
HOSTS = 3
SERVERS = 4
# Crashes after which the request must not reach servers any more.
MAX_CRASHES = 3
METHODS = {"again": "GET", "once": "POST", "story": "POST", "tale": "POST"}

Result = tuple[int, str | None]


async def send(
    harness: RelayHarness,
    route: str,
    body: bytes,
    host: RelayHost | None = None,
    **headers: str,
) -> Result:
    """Send a request; return its status, 0 if broken off, and Retry-After."""
    try:
        async with harness.send(
            route, METHODS[route], host=host, body=body, **headers
        ) as response:
            await response.read()
            return response.status, response.headers.get("Retry-After")
    except aiohttp.ClientError:
        return 0, None


async def send_in_turn(
    harness: RelayHarness, route: str, count: int, pause_s: float = 0.1
) -> list[Result]:
    """Send the deadly request to the hosts in turn."""
    results = []
    for number in range(count):
        host = harness.hosts[number % len(harness.hosts)]
        results.append(await send(harness, route, DEADLY, host))
        await asyncio.sleep(pause_s)
    return results


def engines_of(harness: RelayHarness, route: str) -> list[FakeEngine]:
    is_plain = route in ("again", "once")
    return harness.backend_servers if is_plain else harness.decode_engines


def make_deadly(engines: Iterable[FakeEngine], *, restart_s: float = 0.6) -> None:
    for engine in engines:
        engine.deadly_bodies = {DEADLY}
        engine.restart_s = restart_s


async def wait_for_contact(harness: RelayHarness) -> None:
    """Wait until all hosts know each other."""
    states = [host._parts.cluster_state for host in harness.hosts]
    await harness.wait_until(
        lambda: all(len(state.hosts_by_id) == len(states) for state in states)
    )


def crashes(engines: Iterable[FakeEngine]) -> int:
    return sum(engine.crashes for engine in engines)


@pytest.mark.parametrize("route", ["again", "once", "story", "tale"])
def test_request_that_crashes_servers_is_refused_by_all_hosts(route: str) -> None:
    """Nobody compared the requests under which servers had ended."""

    async def scenario(harness: RelayHarness) -> None:
        engines = engines_of(harness, route)
        make_deadly(engines)
        await wait_for_contact(harness)
        await send_in_turn(harness, route, 12, pause_s=0.2)
        assert crashes(engines) <= MAX_CRASHES
        before = crashes(engines)
        results = await send_in_turn(harness, route, 2 * HOSTS)
        assert crashes(engines) == before
        assert results == [(503, None)] * (2 * HOSTS)

    run_scenario(scenario, HOSTS, SERVERS, backend_servers=SERVERS)


def test_server_that_falls_silent_and_starts_again_has_crashed() -> None:
    """Only closed connections counted as the end of a server."""

    async def scenario(harness: RelayHarness) -> None:
        servers = harness.backend_servers
        make_deadly(servers)
        for server in servers:
            server.crashes_silently = True
        await wait_for_contact(harness)
        await send_in_turn(harness, "again", 8)
        assert crashes(servers) <= MAX_CRASHES
        before = crashes(servers)
        assert await send_in_turn(harness, "again", HOSTS) == [(503, None)] * HOSTS
        assert crashes(servers) == before

    run_scenario(scenario, HOSTS, backend_servers=SERVERS)


@pytest.mark.parametrize("route", ["again", "once"])
def test_pause_of_a_server_is_no_crash(route: str) -> None:
    """A server that is silent for a second looks as if it had ended."""

    async def scenario(harness: RelayHarness) -> None:
        await wait_for_contact(harness)
        for _ in range(3):
            for server in harness.backend_servers:
                server.responsive.clear()
            pending = [
                asyncio.ensure_future(send(harness, route, b"sound", host))
                for host in harness.hosts
            ]
            await asyncio.sleep(1.1)
            for server in harness.backend_servers:
                server.responsive.set()
            assert await asyncio.gather(*pending) == [(200, None)] * HOSTS

    run_scenario(scenario, HOSTS)


def test_requests_beside_a_deadly_one_are_served() -> None:
    """Their servers crash as well, and they come again."""

    async def scenario(harness: RelayHarness) -> None:
        servers = harness.backend_servers
        make_deadly(servers, restart_s=0.3)
        for server in servers:
            server.processing_s = 0.05
        await wait_for_contact(harness)
        deadly = asyncio.ensure_future(send_in_turn(harness, "again", 10))
        statuses = []
        while not deadly.done():
            host = harness.hosts[len(statuses) % HOSTS]
            body = f"sound{len(statuses) % 4}".encode()
            statuses.append(asyncio.ensure_future(send(harness, "again", body, host)))
            await asyncio.sleep(0.03)
        results = await asyncio.gather(*statuses)
        assert crashes(servers) <= MAX_CRASHES
        for number in range(4):
            body = f"sound{number}".encode()
            assert await send(harness, "again", body) == (200, None)
        refused = [result for result in results if result == (503, None)]
        assert not refused

    run_scenario(scenario, HOSTS, backend_servers=SERVERS)


def test_servers_that_crash_by_themselves_cost_no_repeatable_request() -> None:
    """A sound request that was there at a crash was taken for the cause."""

    async def scenario(harness: RelayHarness) -> None:
        servers = harness.backend_servers
        for server in servers:
            server.processing_s = 0.05
            server.restart_s = 0.3
        await wait_for_contact(harness)
        pending = []
        for number in range(40):
            host = harness.hosts[number % HOSTS]
            body = f"sound{number % 5}".encode()
            pending.append(asyncio.ensure_future(send(harness, "again", body, host)))
            await asyncio.sleep(0.03)
            if number % 10 == 5:
                await servers[number // 10].crash()
        assert await asyncio.gather(*pending) == [(200, None)] * 40
        assert crashes(servers) == SERVERS

    run_scenario(scenario, HOSTS, backend_servers=SERVERS)


def test_only_the_request_that_crashes_servers_is_refused() -> None:
    """Others share its path, its body or its length."""

    async def scenario(harness: RelayHarness) -> None:
        make_deadly(harness.backend_servers)
        await wait_for_contact(harness)
        await send_in_turn(harness, "again", 6)
        for server in harness.backend_servers:
            server.deadly_bodies = set()
        await asyncio.sleep(0.8)
        assert await send(harness, "again", DEADLY) == (503, None)
        assert await send(harness, "again", b"lively") == (200, None)
        other = await send(harness, "again", DEADLY, Authorization="Bearer other")
        assert other == (200, None)
        assert await send(harness, "once", DEADLY) == (200, None)

    run_scenario(scenario, HOSTS, backend_servers=SERVERS)


def test_started_host_refuses_a_request_that_crashes_servers() -> None:
    async def scenario(harness: RelayHarness) -> None:
        servers = harness.backend_servers
        make_deadly(servers)
        await wait_for_contact(harness)
        await send_in_turn(harness, "once", 6)
        host = harness.new_host("h9")
        await host.start()
        harness.hosts.append(host)
        await harness.wait_until(host.is_ready)
        await asyncio.sleep(1.0)
        before = crashes(servers)
        assert await send(harness, "once", DEADLY, host) == (503, None)
        assert crashes(servers) == before

    run_scenario(scenario, HOSTS, backend_servers=SERVERS)


def test_verdict_holds_after_the_service_of_the_route_is_replaced() -> None:
    async def scenario(harness: RelayHarness) -> None:
        servers = harness.backend_servers
        make_deadly(servers)
        await wait_for_contact(harness)
        await send_in_turn(harness, "again", 6)
        document = configuration(version=4)
        for route in document["routes"]:
            if route["service"] == PLAIN:
                route["service"] = "replacement"
        document["services"].append({"name": "replacement", "max_conns": 110})
        new_server = FakeEngine("new0")
        make_deadly([new_server])
        await new_server.start()
        harness.store.put("servers", "new0", new_server.entry("replacement"))
        harness.store.put("op", "config", document)
        await harness.wait_until(
            lambda: all(
                host._parts.cluster_state.routes.version == 4 for host in harness.hosts
            )
        )
        assert await send_in_turn(harness, "again", HOSTS) == [(503, None)] * HOSTS
        assert new_server.crashes == 0
        await new_server.stop()

    run_scenario(scenario, HOSTS, backend_servers=SERVERS)


def test_deadly_stream_does_not_convict_a_part_that_it_shares() -> None:
    """All streams with the common first part of the service were refused."""

    async def scenario(harness: RelayHarness) -> None:
        engines = harness.decode_engines
        make_deadly(engines)
        await wait_for_contact(harness)
        for number in range(8):
            host = harness.hosts[number % HOSTS]
            parts = "ab:200,d1:5"
            await send(harness, "story", DEADLY, host, X_Prefix_Hash=parts)
            await asyncio.sleep(0.2)
        assert crashes(engines) <= MAX_CRASHES
        await asyncio.sleep(0.7)
        for number in range(6):
            parts = f"ab:200,e{number}:5"
            host = harness.hosts[number % HOSTS]
            body = b"sound%d" % number
            result = await send(harness, "story", body, host, X_Prefix_Hash=parts)
            assert result == (200, None)

    run_scenario(scenario, HOSTS, SERVERS)

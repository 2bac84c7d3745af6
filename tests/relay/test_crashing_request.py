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
from .relay_harness import RelayHarness, run_scenario

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


def crashes(engines: Iterable[FakeEngine]) -> int:
    return sum(engine.crashes for engine in engines)


@pytest.mark.parametrize("route", ["again", "once", "story", "tale"])
def test_request_that_crashes_servers_is_refused_by_all_hosts(route: str) -> None:
    """Nobody compared the requests under which servers had ended."""

    async def scenario(harness: RelayHarness) -> None:
        engines = engines_of(harness, route)
        make_deadly(engines)
        await send_in_turn(harness, route, 12, pause_s=0.2)
        assert crashes(engines) <= MAX_CRASHES
        before = crashes(engines)
        results = await send_in_turn(harness, route, 2 * HOSTS)
        assert crashes(engines) == before
        assert results == [(503, None)] * (2 * HOSTS)

    run_scenario(scenario, HOSTS, SERVERS, backend_servers=SERVERS)

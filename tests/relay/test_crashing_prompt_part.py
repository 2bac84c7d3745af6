"""Tests that a prompt part which crashes engines is found and refused.

Each request with the part would crash one more engine, and each crash ends the
other streams of that engine.
"""

import asyncio

import pytest

from kumquat_relay.relay_host import RelayHost

from .relay_harness import RelayHarness, run_scenario

DEADLY = "dead"
HOSTS = 4


def prompt(*parts: str) -> str:
    return ",".join(f"{part}:200" for part in parts)


def crash_on(harness: RelayHarness, *parts: str) -> None:
    for engine in harness.decode_engines:
        engine.crashing_parts = set(parts)


def crashes(harness: RelayHarness) -> int:
    return sum(engine.crashes for engine in harness.decode_engines)


def reached(harness: RelayHarness, part: str) -> int:
    """Return how often requests with a part reached an engine."""
    engines = [harness.prefill_engine, *harness.decode_engines]
    return sum(
        part in headers.get("x-prefix-hash", "")
        for engine in engines
        for _, _, headers, _ in engine.received
    )


async def send(
    harness: RelayHarness,
    parts: str,
    route: str = "tale",
    host: RelayHost | None = None,
) -> tuple[int, str | None]:
    """Send a request; return its status, 0 if broken off, and Retry-After."""
    try:
        async with harness.send(
            route, host=host, **{"X-Prefix-Hash": parts}
        ) as response:
            await response.read()
            return response.status, response.headers.get("Retry-After")
    except Exception:
        return 0, None


async def send_deadly(
    harness: RelayHarness, count: int, route: str, pause_s: float = 0.1
) -> list[tuple[int, str | None]]:
    """Send deadly requests to the hosts in turn, mixed with harmless ones."""
    results = []
    for number in range(count):
        host = harness.hosts[number % len(harness.hosts)]
        await send(harness, prompt("a", f"s{number}", f"x{number}"), host=host)
        parts = prompt("a", DEADLY, f"y{number}")
        results.append(await send(harness, parts, route, host))
        await asyncio.sleep(pause_s)
    return results


@pytest.mark.parametrize("route", ["tale", "story"])
def test_engines_stop_crashing_under_a_prompt_part(route: str) -> None:
    """Requests of a route that allows retries reach further engines."""

    async def scenario(harness: RelayHarness) -> None:
        crash_on(harness, DEADLY)
        await send_deadly(harness, 12, route)
        assert crashes(harness) <= 5
        before = reached(harness, DEADLY)
        results = await send_deadly(harness, 8, route, pause_s=0.2)
        assert reached(harness, DEADLY) == before
        assert results == [(503, None)] * 8

    run_scenario(scenario, HOSTS)

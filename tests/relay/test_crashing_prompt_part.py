"""Tests that a prompt part which crashes engines is found and refused.

Each request with the part would crash one more engine, and each crash ends the
other streams of that engine.
"""

import asyncio

import pytest

from kumquat_relay.relay_host import RelayHost

from .fakes import FakeEngine
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


def test_part_is_not_refused_when_engines_crash_for_other_reasons() -> None:
    """The engines are killed while a request with the part begins."""

    async def scenario(harness: RelayHarness) -> None:
        for number in range(2):
            parts = prompt("a", "session", f"x{number}")
            for engine in harness.decode_engines:
                engine.responsive.clear()
            pending = asyncio.ensure_future(send(harness, parts))
            await harness.wait_until(
                lambda: any(
                    "session" in _sent_parts(engine)
                    for engine in harness.decode_engines
                )
            )
            for engine in harness.decode_engines:
                if "session" in _sent_parts(engine):
                    await engine.crash()
                engine.responsive.set()
                engine.received.clear()
            await pending
            await asyncio.sleep(0.7)
            status, _ = await send(harness, prompt("a", "session", f"y{number}"))
            assert status == 200
        for host in harness.hosts:
            result = await send(harness, prompt("a", "session", "z"), host=host)
            assert result == (200, None)

    run_scenario(scenario, 2)


def test_started_host_refuses_what_the_others_have_found() -> None:
    async def scenario(harness: RelayHarness) -> None:
        crash_on(harness, DEADLY)
        await send_deadly(harness, 8, "tale")
        await asyncio.sleep(0.6)
        host = harness.new_host("h9")
        await host.start()
        harness.hosts.append(host)
        await harness.wait_until(host.is_ready)
        await asyncio.sleep(0.6)
        before = reached(harness, DEADLY)
        assert await send(harness, prompt("a", DEADLY, "n"), host=host) == (503, None)
        assert reached(harness, DEADLY) == before

    run_scenario(scenario, HOSTS)


def test_second_part_is_found_after_the_first() -> None:
    async def scenario(harness: RelayHarness) -> None:
        crash_on(harness, DEADLY)
        await send_deadly(harness, 8, "tale")
        first = crashes(harness)
        crash_on(harness, DEADLY, "bad")
        for number in range(10):
            host = harness.hosts[number % HOSTS]
            await send(harness, prompt("a", "bad", f"b{number}"), host=host)
            await asyncio.sleep(0.6)
        assert crashes(harness) - first <= 5
        for host in harness.hosts:
            assert await send(harness, prompt("a", "bad", "q"), host=host) == (
                503,
                None,
            )
            assert await send(harness, prompt("a", "ok", "q"), host=host) == (200, None)

    run_scenario(scenario, HOSTS)


def _sent_parts(engine: FakeEngine) -> str:
    """Return the prompts of the requests that an engine has received."""
    return " ".join(
        headers.get("x-prefix-hash", "") for _, _, headers, _ in engine.received
    )

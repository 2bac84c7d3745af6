"""Large responses of servers are read in turns.

Guards against hosts that took more than their memory for responses, or broke
responses of sound servers and avoided these since many came at once.
"""

import asyncio

import pytest

from kumquat_relay.engine_health import Failure

from .relay_harness import RelayHarness, run_scenario

LARGE_BYTES = 4 * 1024 * 1024
CALLERS = 8
SMALL = b"small"


async def large_response(harness: RelayHarness, **headers: str) -> tuple[int, int]:
    """Send a request; return the status and the size of the response."""
    async with harness.send("once", **headers) as response:
        return response.status, len(await response.read())


def test_large_responses_of_one_server_are_all_served() -> None:
    async def scenario(harness: RelayHarness) -> None:
        (server,) = harness.backend_servers
        server.response_body = bytes(LARGE_BYTES)
        responses = await asyncio.gather(
            *[large_response(harness) for _ in range(CALLERS)]
        )
        assert responses == [(200, LARGE_BYTES)] * CALLERS

    run_scenario(scenario, backend_servers=1)


@pytest.mark.parametrize("size", [LARGE_BYTES, len(SMALL)])
def test_a_server_is_not_blamed_for_a_response_that_waits(
    size: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its request may have run; small responses are read meanwhile."""

    async def scenario(harness: RelayHarness) -> None:
        (server,) = harness.backend_servers
        server.response_body = bytes(size)
        failures: list[Failure] = []
        health = harness.host._parts.health
        monkeypatch.setattr(
            health, "record_failure", lambda _, failure: failures.append(failure)
        )
        budget = harness.host._callers._gate.budget
        excess = budget._limits.budget_bytes + 1
        server.processing_s = 0.2
        sent = asyncio.ensure_future(
            large_response(harness, **{"X-Deadline-Ms": "600"})
        )
        await harness.wait_until(lambda: len(server.runs) == 1)
        budget.change_unframed(excess)
        expected = (504, False) if size > len(SMALL) else (200, True)
        status, received = await sent
        assert (status, received == size) == expected
        assert failures == []
        budget.change_unframed(-excess)
        assert await large_response(harness) == (200, size)

    run_scenario(scenario, backend_servers=1)

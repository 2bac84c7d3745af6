"""Large responses of servers are read in turns.

Guards against hosts that took more than their memory for responses, or broke
responses of sound servers since many came at once.
"""

import asyncio

from .relay_harness import RelayHarness, run_scenario

LARGE_BYTES = 4 * 1024 * 1024
CALLERS = 8


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

"""Guards against connections that a server without power has left behind."""

import pytest

from .relay_harness import RelayHarness, run_scenario


@pytest.mark.parametrize("keeps_id", [True, False])
@pytest.mark.parametrize("route", ["once", "again", "story", "tale"])
def test_no_request_goes_over_a_connection_to_an_earlier_incarnation(
    route: str, keeps_id: bool
) -> None:
    """Two streams were resumed on kept connections of the server before."""

    async def scenario(harness: RelayHarness) -> None:
        servers = harness.decode_engines + harness.backend_servers
        assert await harness.request_status(route) == 200
        registry = harness.host._parts.cluster_state.registry
        for server in servers:
            server.keeps_id = keeps_id
            server.lose_power()
            # Under a new id, the entry of the one before is still listed.
            harness.list_engine(server)
        await harness.wait_until(
            lambda: all(
                (entry := registry.get(server.id)) is not None
                and entry.born_ms == server.born_ms
                for server in servers
            )
        )
        assert await harness.request_status(route) == 200
        served = [item for server in servers for item in server.received]
        assert len(served) == 2

    run_scenario(scenario, decode_engines=1, backend_servers=1)

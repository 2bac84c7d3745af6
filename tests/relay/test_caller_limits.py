"""Guards against limits of callers that do not follow the configuration."""

from .relay_harness import RelayHarness, configuration, run_scenario


def test_the_idle_limit_of_a_connection_follows_the_configuration() -> None:
    """Connections were closed after the default limit and two seconds, while
    callers still used them up to four fifths of the configured limit."""

    async def scenario(harness: RelayHarness) -> None:
        limits = configuration()["limits"] | {"idle_timeout_ms": 60_000}
        harness.store.put("op", "config", configuration(4, limits=limits))
        cluster_state = harness.host._parts.cluster_state
        await harness.wait_until(
            lambda: (
                cluster_state.routes is not None and cluster_state.routes.version == 4
            )
        )
        assert await harness.request_status("again") == 200
        (connection,) = harness.host._callers._connections.connections
        assert connection.keepalive_timeout == 62.0

    run_scenario(scenario)

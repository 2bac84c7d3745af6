"""Tests that all hosts together leave an engine connections for requests."""

import asyncio

import pytest

from kumquat_core.clock import ManualClock
from kumquat_relay.engine_pool import DEFAULT_IDLE_LIMIT_S, EnginePool

from .scripted_peer import ScriptedPeer, respond_with

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
MAX_CONNECTIONS = 164
BURST = 12


async def idle_after_burst(peer: ScriptedPeer, hosts: int, wait_s: float) -> list[int]:
    """Return the connections that each of some hosts still has open.

    Each host has sent a burst of requests at once and has waited since then.
    """
    counts = []
    for _ in range(min(hosts, 3)):
        clock = ManualClock(100.0)
        pool = EnginePool(clock)
        pool.set_connection_limit(MAX_CONNECTIONS, hosts)
        connections = [await pool.open(peer.address, 1.0) for _ in range(BURST)]
        for connection in connections:
            connection.send("GET", "/", [(b"Host", b"h")], b"")
            await connection.read_head()
            async for _ in connection.read_body():
                pass
            pool.release(connection)
        clock.advance(wait_s)
        pool.close_stale()
        counts.append(sum(connection.usable for connection in connections))
        pool.close()
    return counts


@pytest.mark.parametrize("hosts", [1, 8, 61, 82])
def test_idle_connections_of_all_hosts_leave_room_for_requests(hosts: int) -> None:
    """Eight for each of 61 hosts were 488, and an engine accepted 164."""

    async def run() -> None:
        async with ScriptedPeer(respond_with(RESPONSE)) as peer:
            counts = await idle_after_burst(peer, hosts, 0.0)
            assert min(counts) >= 1
            assert max(counts) * hosts <= MAX_CONNECTIONS / 2

    asyncio.run(run())


def test_hosts_with_less_than_one_connection_close_it_early() -> None:
    async def run() -> None:
        async with ScriptedPeer(respond_with(RESPONSE)) as peer:
            share = 0.5 * MAX_CONNECTIONS / 380
            assert await idle_after_burst(peer, 380, 0.0) == [1, 1, 1]
            wait_s = share * DEFAULT_IDLE_LIMIT_S + 0.01
            assert await idle_after_burst(peer, 380, wait_s) == [0, 0, 0]

    asyncio.run(run())

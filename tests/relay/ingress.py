"""A fake of the platform's load balancer in front of the hosts.

It forwards new connections to the hosts in rotation by turns and checks the
readiness of each host once per second. Two failed checks remove a host from
rotation, one successful check adds it again. If fewer than half of the hosts
are in rotation, all hosts get connections.
"""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass

from kumquat_core.settings import Address

__all__ = ["FakeIngress"]

CHECK_PERIOD_S = 1.0
CHECK_TIMEOUT_S = 0.8
MAX_FAILED_CHECKS = 2
CHUNK_BYTES = 65536
READY = b"HTTP/1.1 200"


@dataclass
class _Target:
    callers: Address
    readiness: Address
    failed_checks: int = MAX_FAILED_CHECKS

    @property
    def in_rotation(self) -> bool:
        return self.failed_checks < MAX_FAILED_CHECKS


class FakeIngress:
    """Forwards connections to hosts.

    ``targets`` maps a host id to its addresses for callers and readiness.
    """

    def __init__(self, targets: Mapping[str, tuple[Address, Address]]) -> None:
        self._targets_by_host = {
            host_id: _Target(callers, readiness)
            for host_id, (callers, readiness) in targets.items()
        }
        self.address = Address("127.0.0.1", 0)
        self._connections = 0
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start to accept connections and to check the hosts."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = Address("127.0.0.1", port)
        for target in self._targets_by_host.values():
            self._tasks.append(asyncio.ensure_future(self._poll_readiness(target)))

    async def stop(self) -> None:
        """Stop listening and checking."""
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def in_rotation(self) -> set[str]:
        """Return the ids of the hosts in rotation."""
        return {
            host_id
            for host_id, target in self._targets_by_host.items()
            if target.in_rotation
        }

    async def _poll_readiness(self, target: _Target) -> None:
        while True:
            ready = await self._is_ready(target.readiness)
            target.failed_checks = 0 if ready else target.failed_checks + 1
            await asyncio.sleep(CHECK_PERIOD_S)

    async def _is_ready(self, address: Address) -> bool:
        try:
            async with asyncio.timeout(CHECK_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(address.ip, address.port)
                writer.write(b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return line.startswith(READY)

    def _next_target(self) -> _Target:
        targets = list(self._targets_by_host.values())
        ready = [target for target in targets if target.in_rotation]
        if len(ready) * 2 < len(targets):
            ready = targets
        self._connections += 1
        return ready[self._connections % len(ready)]

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        address = self._next_target().callers
        try:
            target_reader, target_writer = await asyncio.open_connection(
                address.ip, address.port
            )
            async with asyncio.TaskGroup() as group:
                group.create_task(_forward(reader, target_writer))
                group.create_task(_forward(target_reader, writer))
        except* OSError:
            # One side has closed its connection; the other one ends as well.
            pass
        finally:
            writer.transport.abort()


async def _forward(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        while data := await reader.read(CHUNK_BYTES):
            writer.write(data)
            await writer.drain()
    finally:
        writer.close()

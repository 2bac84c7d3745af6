"""The clients of a host: platform services, engines and backend servers."""

from dataclasses import dataclass

import aiohttp

from kumquat_core.backend_client import HttpBackendClient
from kumquat_core.clock import Clock
from kumquat_core.engine_client import HttpEngineClient
from kumquat_core.host_list_client import HttpHostListClient
from kumquat_core.http_client import create_session
from kumquat_core.intake.intake_gate import IntakeGate
from kumquat_core.intake.response_room import ResponseRoom
from kumquat_core.metrics import RouterMetrics
from kumquat_core.object_client import HttpObjectClient
from kumquat_core.settings import Options
from kumquat_core.table_client import HttpTableClient

from .host_directory import HostDirectory
from .metered_clients import MeteredTableClient

__all__ = ["PlatformClients"]


@dataclass(frozen=True)
class PlatformClients:
    """Clients that share their connections.

    Calls to backend servers use each connection once.
    """

    directory: HostDirectory
    table: MeteredTableClient
    objects: HttpObjectClient
    engines: HttpEngineClient
    backends: HttpBackendClient
    sessions: tuple[aiohttp.ClientSession, ...]

    @classmethod
    def from_config(
        cls,
        options: Options,
        metrics: RouterMetrics,
        clock: Clock,
        gate: IntakeGate,
    ) -> "PlatformClients":
        """Return the clients; must be called inside a running event loop.

        ``gate`` bounds the memory of responses of backend servers.
        """
        timing = options.timing
        room = ResponseRoom(
            gate.limits.response_bytes, gate.wait_for_room, gate.count_until_unused
        )
        connect_s, store_s = timing.engine_connect_timeout_s, timing.store_timeout_s
        session = create_session(connect_s)
        single_use_session = create_session(connect_s, reuse_connections=False)
        table = HttpTableClient(session, options.table_service_url, store_s)
        return cls(
            directory=HostDirectory(
                HttpHostListClient(session, options.host_list_url, store_s)
            ),
            table=MeteredTableClient(table, metrics, clock),
            objects=HttpObjectClient(session, options.object_store_url, store_s),
            engines=HttpEngineClient(session, timing.stream_idle_timeout_s),
            backends=HttpBackendClient(single_use_session, room),
            sessions=(session, single_use_session),
        )

    async def close(self) -> None:
        """Close all connections."""
        for session in self.sessions:
            await session.close()

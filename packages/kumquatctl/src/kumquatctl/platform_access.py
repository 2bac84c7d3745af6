"""Clients of the tool for platform services and hosts' admin listeners."""

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any, Protocol

import aiohttp
from returns.result import Failure, Success

from kumquat_core.configuration import ServerState
from kumquat_core.host_list_client import (
    HostListClient,
    HttpHostListClient,
    ListedHost,
)
from kumquat_core.http_client import create_session, request_json
from kumquat_core.object_client import HttpObjectClient, ObjectClient
from kumquat_core.result_codes import ResultCode, RouterError
from kumquat_core.table_client import HttpTableClient, TableClient
from kumquat_core.ticket_log import TicketLog
from kumquat_core.tickets import Ticket, TicketStore

from .tool_settings import ToolSettings

__all__ = [
    "AdminClient",
    "HostResponse",
    "HttpAdminClient",
    "Platform",
    "call_hosts",
    "open_platform",
    "read_log",
    "read_state",
]

# Limits the open sockets of a command that calls hundreds of hosts.
MAX_CONCURRENT_HOSTS = 50


class AdminClient(Protocol):
    """Calls a host's admin listener."""

    async def call(self, method: str, url: str) -> tuple[int, Any]:
        """Return status and JSON body; raises ``RouterError``."""


class HttpAdminClient:
    """Admin client over HTTP."""

    def __init__(self, session: aiohttp.ClientSession, timeout_s: float) -> None:
        self._session = session
        self._timeout_s = timeout_s

    async def call(self, method: str, url: str) -> tuple[int, Any]:
        """Return status and JSON body; raises ``RouterError``."""
        return await request_json(
            self._session,
            method,
            url,
            timeout_s=self._timeout_s,
            error_code=ResultCode.PEER_CLOSED,
        )


@dataclass(frozen=True)
class Platform:
    """Settings and clients that a command uses."""

    settings: ToolSettings
    tables: TableClient
    objects: ObjectClient
    host_list: HostListClient
    admin: AdminClient

    def ticket_log(self) -> TicketLog:
        """Return the log of accepted tickets."""
        return TicketLog(self.tables, self.objects, random.Random())

    async def live_hosts(self) -> list[ListedHost]:
        """Return the live entry hosts in the order of their ids."""
        hosts = (await self.host_list.fetch()).hosts
        live = [host for host in hosts if host.state is ServerState.LIVE]
        return sorted(live, key=lambda host: host.host_id)

    def admin_url(self, host: ListedHost) -> str | None:
        """Return the base URL of a host's admin listener, if known."""
        url = self.settings.admin_urls_by_host.get(host.host_id)
        if url is not None:
            return url.rstrip("/")
        if self.settings.admin_port is None:
            return None
        ip = f"[{host.ip}]" if ":" in host.ip else host.ip
        return f"http://{ip}:{self.settings.admin_port}"


@asynccontextmanager
async def open_platform(settings: ToolSettings) -> AsyncIterator[Platform]:
    """Yield the clients of a command; closes their connections at its end."""
    timeout_s = settings.timeout_s
    session = create_session(timeout_s)
    try:
        yield Platform(
            settings,
            HttpTableClient(session, settings.table_service_url, timeout_s),
            HttpObjectClient(session, settings.object_store_url, timeout_s),
            HttpHostListClient(session, settings.host_list_url, timeout_s),
            HttpAdminClient(session, timeout_s),
        )
    finally:
        await session.close()


@dataclass(frozen=True)
class HostResponse:
    """A host's response to an admin call, or the error if there is none."""

    host: ListedHost
    status: int
    document: Any
    error: str = ""

    @property
    def ok(self) -> bool:
        """Return whether the host responded with a status below 400."""
        return not self.error and self.status < 400


async def call_hosts(
    platform: Platform, hosts: list[ListedHost], method: str, path: str
) -> list[HostResponse]:
    """Call the same admin path on several hosts concurrently."""
    gate = asyncio.Semaphore(MAX_CONCURRENT_HOSTS)

    async def call_host(host: ListedHost) -> HostResponse:
        url = platform.admin_url(host)
        if url is None:
            error = "no admin address: set admin_port or admin_urls_by_host"
            return HostResponse(host, 0, None, error)
        async with gate:
            try:
                status, document = await platform.admin.call(method, url + path)
            except RouterError as error:
                return HostResponse(host, 0, None, f"{url}: {error.detail}")
        return HostResponse(host, status, document)

    return list(await asyncio.gather(*(call_host(host) for host in hosts)))


async def read_log(platform: Platform, after_position: int) -> list[Ticket]:
    """Return the accepted tickets after a log position, in order.

    Raises ``RouterError`` when the table service is unavailable.
    """
    log = platform.ticket_log()
    tickets: list[Ticket] = []
    position = after_position
    while True:
        match await log.read_after(position):
            case Failure(error):
                raise error
            case Success([]):
                return tickets
            case Success(batch):
                tickets.extend(batch)
                position = batch[-1].position


async def read_state(platform: Platform) -> TicketStore:
    """Return the merged state of all accepted tickets.

    Raises ``RouterError`` when the table service or object store is
    unavailable.
    """
    store = TicketStore()
    match await platform.ticket_log().start(store):
        case Failure(error):
            raise error
    return store

"""The live entry hosts as this host knows them, from the host list."""

import logging

from kumquat_core.configuration import ServerState
from kumquat_core.host_list_client import HostListClient, ListedHost
from kumquat_core.log_events import log_event
from kumquat_core.result_codes import RouterError
from kumquat_core.settings import Options

__all__ = ["HostDirectory"]

logger = logging.getLogger(__name__)


class HostDirectory:
    """Hosts by id, refreshed from the platform's host list.

    A failed refresh keeps the last list.
    """

    def __init__(self, options: Options, client: HostListClient) -> None:
        self._region = options.region
        self._own_id = options.host_id
        self._client = client
        self._hosts_by_id: dict[str, ListedHost] = {}
        self.backend_states_by_id: dict[str, ServerState] = {}

    async def refresh(self) -> None:
        """Fetch the host list."""
        try:
            host_list = await self._client.fetch()
        except RouterError as error:
            log_event(
                logger, "host_list_failed", level=logging.WARNING, detail=error.detail
            )
            return
        self._hosts_by_id = {host.host_id: host for host in host_list.hosts}
        self.backend_states_by_id = host_list.backend_states_by_id

    def live_host_ids(self) -> list[str]:
        """Return the live hosts of the own region, this host included."""
        live = {
            host.host_id
            for host in self._hosts_by_id.values()
            if host.state is ServerState.LIVE and host.region == self._region
        }
        return sorted(live | {self._own_id})

    def host(self, host_id: str) -> ListedHost | None:
        """Return a host by id, or None when it is not listed."""
        return self._hosts_by_id.get(host_id)

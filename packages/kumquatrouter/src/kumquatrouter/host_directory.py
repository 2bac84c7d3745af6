"""Local copy of the platform's host list."""

import logging

from kumquat_core.configuration import ServerState
from kumquat_core.host_list_client import HostListClient, ListedHost
from kumquat_core.log_events import log_event
from kumquat_core.result_codes import RouterError

__all__ = ["HostDirectory"]

logger = logging.getLogger(__name__)


class HostDirectory:
    """Holds the hosts by id, as of the last successful refresh.

    A failed refresh keeps the previous list.
    """

    def __init__(self, client: HostListClient) -> None:
        self._client = client
        self._hosts_by_id: dict[str, ListedHost] = {}
        self.backend_states_by_id: dict[str, ServerState] = {}

    async def refresh(self) -> bool:
        """Fetch the host list; return whether that succeeded."""
        try:
            host_list = await self._client.fetch()
        except RouterError as error:
            log_event(
                logger, "host_list_failed", level=logging.WARNING, detail=error.detail
            )
            return False
        self._hosts_by_id = {host.host_id: host for host in host_list.hosts}
        self.backend_states_by_id = host_list.backend_states_by_id
        return True

    def hosts(self) -> list[ListedHost]:
        """Return the entry hosts of the current list."""
        return list(self._hosts_by_id.values())

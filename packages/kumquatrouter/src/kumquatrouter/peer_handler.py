"""Handles the messages of peers, and queries the grants that peers hold."""

from dataclasses import dataclass

from kumquat_core.frames import PeerIdentity
from kumquat_core.peer_messages import (
    AdmissionRequest,
    CancelAdmission,
    GrantsHeld,
    GrantsQuery,
    Message,
    Ping,
    PingRequest,
    PrefillDone,
    Release,
    SlowStep,
    TicketFetch,
)
from kumquat_core.result_codes import RouterError

from .held_grants import HeldGrants
from .membership_driver import MembershipDriver
from .peer_links import PeerLinks
from .shard_owners import OwnedShards
from .ticket_sync import TicketSync

__all__ = ["GrantQueries", "PeerMessageHandler"]

GRANTS_QUERY_TIMEOUT_S = 0.5


@dataclass(frozen=True)
class GrantQueries:
    """Queries the grants that a host holds, this one too."""

    host_id: str
    held_grants: HeldGrants
    links: PeerLinks

    async def query(self, host_id: str, query: GrantsQuery) -> GrantsHeld | None:
        """Return the grants that a host holds, or None without a reply."""
        if host_id == self.host_id:
            return self.held_grants.answer_query(query)
        try:
            reply = await self.links.call(host_id, query, GRANTS_QUERY_TIMEOUT_S)
        except RouterError:
            return None
        return reply if isinstance(reply, GrantsHeld) else None


@dataclass(frozen=True)
class PeerMessageHandler:
    """Passes each message of a peer to the part that it concerns."""

    owners: OwnedShards
    held_grants: HeldGrants
    membership_driver: MembershipDriver
    ticket_sync: TicketSync

    async def handle(self, peer: PeerIdentity, message: Message) -> Message | None:
        """Handle a message of a peer and return the reply, if it has one."""
        match message:
            case AdmissionRequest():
                return await self.owners.admit(message)
            case PrefillDone() | SlowStep() | Release() | CancelAdmission():
                self.owners.handle(message)
            case GrantsQuery():
                return self.held_grants.answer_query(message)
            case Ping() | PingRequest():
                return await self.membership_driver.handle(peer.host_id, message)
            case TicketFetch():
                return self.ticket_sync.answer_fetch(message)
        return None

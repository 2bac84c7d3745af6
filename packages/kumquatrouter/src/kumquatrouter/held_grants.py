"""The pending admissions and current grants of this process.

A request id is added before its admission is requested and removed after its
engines were told to free it. Request ids are never reused, so that an absent
id belongs to a finished request, and a shard owner may free what an engine
still holds for it.
"""

from dataclasses import replace

from kumquat_core.configuration import Configuration
from kumquat_core.peer_messages import (
    AdmissionRequest,
    CancelAdmission,
    Grant,
    GrantsHeld,
    GrantsQuery,
    HeldGrant,
    PrefillDone,
    Progress,
    Release,
)

from .model_path import AdmissionClient

__all__ = ["HeldGrants", "TrackingAdmissionClient"]


class HeldGrants:
    """Requests of this process by id, with their grant once they have one."""

    def __init__(self, host_id: str, incarnation: int) -> None:
        self._host_id = host_id
        self._incarnation = incarnation
        self._grants_by_request_id: dict[str, HeldGrant | None] = {}

    def __len__(self) -> int:
        return len(self._grants_by_request_id)

    def add_pending_request(self, request_id: str) -> None:
        """Add a request before its admission is requested."""
        self._grants_by_request_id[request_id] = None

    def record_grant(self, grant: Grant) -> None:
        """Record the grant of a pending request."""
        self._grants_by_request_id[grant.request_id] = HeldGrant(
            grant.request_id,
            grant.prefill_engine,
            grant.decode_engine,
            grant.pieces,
            prefilling=True,
        )

    def record_prefill_done(self, request_id: str) -> None:
        """Record that a request no longer uses its prefill engine."""
        grant = self._grants_by_request_id.get(request_id)
        if grant is not None:
            grant = replace(grant, prefilling=False)
            self._grants_by_request_id[request_id] = grant

    def remove(self, request_id: str) -> None:
        """Remove a request that no longer uses any engine."""
        self._grants_by_request_id.pop(request_id, None)

    def find_grant(self, request_id: str) -> HeldGrant | None:
        """Return the grant of a request, or None without one."""
        return self._grants_by_request_id.get(request_id)

    def answer_query(self, query: GrantsQuery) -> GrantsHeld:
        """Return the grants of the queried requests and engines.

        Queried requests that are still waiting for admission are listed
        separately.
        """
        engine_ids = set(query.engine_ids)
        queried = {
            request_id: self._grants_by_request_id[request_id]
            for request_id in query.request_ids
            if request_id in self._grants_by_request_id
        }
        grants = [grant for grant in queried.values() if grant is not None]
        grants += [
            grant
            for grant in self._grants_by_request_id.values()
            if grant is not None
            and {grant.prefill_engine, grant.decode_engine} & engine_ids
        ]
        pending_ids = [
            request_id for request_id, grant in queried.items() if grant is None
        ]
        return GrantsHeld(
            self._host_id, self._incarnation, tuple(grants), tuple(pending_ids)
        )


class TrackingAdmissionClient:
    """Records the requests of an admission client in ``HeldGrants``."""

    def __init__(self, client: AdmissionClient, held: HeldGrants) -> None:
        self._client = client
        self._held = held

    async def admit(
        self, configuration: Configuration, pool: str, request: AdmissionRequest
    ) -> Grant:
        """Return a grant; raises ``RouterError`` when admission is refused."""
        self._held.add_pending_request(request.request_id)
        try:
            grant = await self._client.admit(configuration, pool, request)
        except BaseException:
            self._held.remove(request.request_id)
            raise
        self._held.record_grant(grant)
        return grant

    async def send_progress(self, message: Progress) -> None:
        """Send a message about a request and update its record."""
        match message:
            case PrefillDone():
                self._held.record_prefill_done(message.request_id)
            case Release() | CancelAdmission():
                self._held.remove(message.request_id)
        await self._client.send_progress(message)

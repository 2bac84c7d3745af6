"""The admissions and grants that this process uses at present.

A request id is entered before its admission is asked for and removed after
its engines were told to free it. Request ids are not used twice, so an id
that is absent is over for good, and a shard owner may free what an engine
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

__all__ = ["HeldGrants", "TrackedAdmissions"]


class HeldGrants:
    """Requests by id, with their grant once there is one."""

    def __init__(self, host_id: str, incarnation: int) -> None:
        self._host_id = host_id
        self._incarnation = incarnation
        self._grants_by_request_id: dict[str, HeldGrant | None] = {}

    def __len__(self) -> int:
        return len(self._grants_by_request_id)

    def begin(self, request_id: str) -> None:
        """Enter a request that is about to ask for admission."""
        self._grants_by_request_id[request_id] = None

    def granted(self, grant: Grant) -> None:
        """Keep the grant of a request that was entered."""
        self._grants_by_request_id[grant.request_id] = HeldGrant(
            grant.request_id,
            grant.prefill_engine,
            grant.decode_engine,
            grant.pieces,
            prefilling=True,
        )

    def prefill_done(self, request_id: str) -> None:
        """Note that a request no longer uses its prefill engine."""
        grant = self._grants_by_request_id.get(request_id)
        if grant is not None:
            grant = replace(grant, prefilling=False)
            self._grants_by_request_id[request_id] = grant

    def end(self, request_id: str) -> None:
        """Remove a request that uses no engine any more."""
        self._grants_by_request_id.pop(request_id, None)

    def held(self, request_id: str) -> HeldGrant | None:
        """Return the grant of a request, if it has one."""
        return self._grants_by_request_id.get(request_id)

    def answer(self, query: GrantsQuery) -> GrantsHeld:
        """Return what is held of the requests and engines asked for."""
        engine_ids = set(query.engine_ids)
        asked = {
            request_id: self._grants_by_request_id[request_id]
            for request_id in query.request_ids
            if request_id in self._grants_by_request_id
        }
        grants = [grant for grant in asked.values() if grant is not None]
        grants += [
            grant
            for grant in self._grants_by_request_id.values()
            if grant is not None
            and {grant.prefill_engine, grant.decode_engine} & engine_ids
        ]
        waiting = [request_id for request_id, grant in asked.items() if grant is None]
        return GrantsHeld(
            self._host_id, self._incarnation, tuple(grants), tuple(waiting)
        )


class TrackedAdmissions:
    """Enters the requests of an admission client in ``HeldGrants``."""

    def __init__(self, client: AdmissionClient, held: HeldGrants) -> None:
        self._client = client
        self._held = held

    async def admit(
        self, configuration: Configuration, pool: str, request: AdmissionRequest
    ) -> Grant:
        """Return a grant; raises ``RouterError`` for a refusal."""
        self._held.begin(request.request_id)
        try:
            grant = await self._client.admit(configuration, pool, request)
        except BaseException:
            self._held.end(request.request_id)
            raise
        self._held.granted(grant)
        return grant

    async def tell(self, message: Progress) -> None:
        """Pass on a message about a request."""
        match message:
            case PrefillDone():
                self._held.prefill_done(message.request_id)
            case Release() | CancelAdmission():
                self._held.end(message.request_id)
        await self._client.tell(message)

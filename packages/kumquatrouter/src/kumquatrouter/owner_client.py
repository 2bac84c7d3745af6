"""Requests admission from shard owners, here or over a peer stream."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import replace

from kumquat_core.clock import Clock
from kumquat_core.configuration import Configuration
from kumquat_core.peer_messages import (
    AdmissionRequest,
    CancelAdmission,
    Grant,
    Progress,
    Refusal,
    ShardSummary,
)
from kumquat_core.rendezvous import owner_of
from kumquat_core.result_codes import ResultCode, RouterError
from kumquat_core.shard_choice import choose_shard

from .peer_links import PeerLinks
from .shard_owners import OwnedShards

__all__ = ["OwnerClient"]

# The owner itself refuses a request when its patience ends; the margin covers
# the network round trip.
REPLY_MARGIN_S = 0.5
OWNER_RETRY_DELAY_S = 0.05


class OwnerClient:
    """Exchanges admission messages with the owners of shards."""

    def __init__(
        self,
        host_id: str,
        clock: Clock,
        owned_shards: OwnedShards,
        links: PeerLinks,
        live_host_ids: Callable[[], list[str]],
        rng: random.Random,
    ) -> None:
        self._host_id = host_id
        self._clock = clock
        self._owned_shards = owned_shards
        self._links = links
        self._live_host_ids = live_host_ids
        self._rng = rng
        self._summaries_by_shard_id: dict[str, ShardSummary] = {}

    async def admit(
        self, configuration: Configuration, pool: str, request: AdmissionRequest
    ) -> Grant:
        """Return a grant from one of the pool's shards.

        Raises ``RouterError`` with the code of the refusal. If the owner is
        unavailable, the request is retried there or at its successor until
        the patience of the request ends.
        """
        patience_deadline_s = self._clock.monotonic() + request.patience_ms / 1000
        while True:
            remaining_ms = int((patience_deadline_s - self._clock.monotonic()) * 1000)
            if remaining_ms <= 0:
                raise RouterError(ResultCode.OWNER_UNAVAILABLE, retry_after_s=1.0)
            shard_id = self._choose_shard(configuration, pool)
            reply = await self._request_admission(
                replace(request, shard_id=shard_id, patience_ms=remaining_ms)
            )
            match reply:
                case Grant():
                    self._record_summary(reply.summary)
                    return reply
                case Refusal(code=ResultCode.OWNER_UNAVAILABLE.value):
                    await asyncio.sleep(OWNER_RETRY_DELAY_S)
                case Refusal():
                    self._record_summary(reply.summary)
                    raise RouterError(
                        ResultCode(reply.code),
                        reply.detail,
                        retry_after_s=reply.retry_after_ms / 1000,
                    )

    async def send_progress(self, message: Progress) -> None:
        """Send a message about a request to the owner of its shard.

        A message that can't be delivered is dropped: the owner learns of
        the end of the request from the engine's report.
        """
        owner = owner_of(message.shard_id, self._live_host_ids())
        if owner == self._host_id or owner is None:
            self._owned_shards.handle(message)
            return
        try:
            await self._links.send(owner, message)
        except RouterError:
            return

    async def _request_admission(self, request: AdmissionRequest) -> Grant | Refusal:
        """Request admission from the shard's owner and return its reply.

        An unreachable owner counts as unavailable. When the calling
        task is cancelled, the admission is cancelled at the owner.
        """
        owner = owner_of(request.shard_id, self._live_host_ids())
        if owner == self._host_id or owner is None:
            return await self._owned_shards.admit(request)
        try:
            reply = await self._links.call(
                owner, request, request.patience_ms / 1000 + REPLY_MARGIN_S
            )
        except RouterError as error:
            return _unavailable(request, error.detail)
        except asyncio.CancelledError:
            cancel = CancelAdmission(request.request_id, request.shard_id)
            await asyncio.shield(self.send_progress(cancel))
            raise
        if isinstance(reply, Grant | Refusal):
            return reply
        return _unavailable(request, "unexpected reply")

    def _choose_shard(self, configuration: Configuration, pool: str) -> str:
        """Choose the better of two random shards by their last summaries."""
        return choose_shard(
            pool,
            len(configuration.engines_of(pool)),
            self._summaries_by_shard_id,
            self._rng,
        )

    def _record_summary(self, summary: ShardSummary | None) -> None:
        """Keep the latest summary of a shard for later choices."""
        if summary is not None:
            self._summaries_by_shard_id[summary.shard_id] = summary


def _unavailable(request: AdmissionRequest, detail: str) -> Refusal:
    return Refusal(request.request_id, ResultCode.OWNER_UNAVAILABLE.value, detail, 1000)

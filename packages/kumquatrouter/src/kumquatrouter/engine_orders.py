"""Sends role and model commands to engines, with a fencing token per shard.

The token (*fence*) is a number that the owner increments in the table service
by a conditional write. It does so only when it has a command to send and
no number yet, so that a change of owner costs no write. An owner that was
paused has a lower number than its successor, and engines that check the number
refuse its commands.
After a refusal the number is removed, and the calling code must check whether
it still owns the shard before it tries again.
"""

import logging
from dataclasses import replace

from kumquat_core.configuration import Engine
from kumquat_core.engine_client import EngineClient, EngineCommand
from kumquat_core.log_events import log_event
from kumquat_core.result_codes import ResultCode, RouterError
from kumquat_core.table_client import ABSENT, Row, TableClient, Write

__all__ = ["FENCES_TABLE", "EngineCommandSender"]

FENCES_TABLE = "owner_fences"
MAX_FENCE_WRITES = 5

logger = logging.getLogger(__name__)


class EngineCommandSender:
    """Sends commands to engines on behalf of one process."""

    def __init__(
        self,
        host_id: str,
        incarnation: int,
        table_client: TableClient,
        engine_client: EngineClient,
    ) -> None:
        self._holder = f"{host_id}.{incarnation}"
        self._table_client = table_client
        self._engine_client = engine_client
        self._fences_by_shard_id: dict[str, int] = {}

    async def send(self, shard_id: str, engine: Engine, command: EngineCommand) -> None:
        """Send a command with the fence of the shard.

        Raises ``STALE_FENCE`` when the engine has seen a higher fence and
        ``STORE_UNAVAILABLE`` when no fence can be acquired.
        """
        fence = self._fences_by_shard_id.get(shard_id)
        if fence is None:
            fence = await self._acquire_fence(shard_id)
            self._fences_by_shard_id[shard_id] = fence
        try:
            await self._engine_client.send_command(
                engine.url, replace(command, fence=fence)
            )
        except RouterError as error:
            if error.code is ResultCode.STALE_FENCE:
                self.remove_fence(shard_id)
            raise
        log_event(
            logger,
            "engine_order",
            shard=shard_id,
            engine=engine.id,
            kind=command.kind,
            fence=fence,
        )

    def remove_fence(self, shard_id: str) -> None:
        """Remove the fence of a shard that is not owned any more."""
        self._fences_by_shard_id.pop(shard_id, None)

    async def _acquire_fence(self, shard_id: str) -> int:
        """Increment the fence in the table service and return it.

        A write whose response was lost may have taken effect; it is retried
        with a higher fence, which is always safe.
        """
        for _ in range(MAX_FENCE_WRITES):
            row = await self._table_client.get(FENCES_TABLE, shard_id)
            fence = _stored_fence(row) + 1
            value = {"fence": fence, "holder": self._holder}
            version = ABSENT if row is None else row.version
            write = Write(FENCES_TABLE, shard_id, version, value)
            try:
                result = await self._table_client.transact([write])
            except RouterError:
                continue
            if result.committed:
                return fence
        detail = f"no fencing number for {shard_id}"
        raise RouterError(ResultCode.STORE_UNAVAILABLE, detail)


def _stored_fence(row: Row | None) -> int:
    """Return the fence of a row of the table, or 0 without a row."""
    return 0 if row is None else int(row.value["fence"])

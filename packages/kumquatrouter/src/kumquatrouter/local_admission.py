"""Admission by a baseline policy in this process, without a shard owner.

This host chooses engines for its own requests from load reports that it
polls itself. This serves for comparison with the ``kumquat`` policy.
"""

import asyncio
from collections.abc import Callable

from returns.pipeline import is_successful

from kumquat_core.configuration import Configuration, Engine
from kumquat_core.engine_client import EngineClient
from kumquat_core.peer_messages import (
    AdmissionRequest,
    CancelAdmission,
    Grant,
    PrefillDone,
    Progress,
    Release,
)
from kumquat_core.result_codes import ResultCode, RouterError
from kumquat_core.scheduling_policy import Scheduler

__all__ = ["LocalAdmissionClient"]

CreateScheduler = Callable[[str], Scheduler]


class LocalAdmissionClient:
    """An ``AdmissionClient`` with a scheduler of its own for each pool."""

    def __init__(
        self, engine_client: EngineClient, create_scheduler: CreateScheduler
    ) -> None:
        self._engine_client = engine_client
        self._create_scheduler = create_scheduler
        self._schedulers_by_pool: dict[str, Scheduler] = {}

    async def admit(
        self, configuration: Configuration, pool: str, request: AdmissionRequest
    ) -> Grant:
        """Return a grant at once; raises ``RouterError`` when refused."""
        scheduler = self._schedulers_by_pool.get(pool)
        if scheduler is None:
            scheduler = self._create_scheduler(pool)
            self._schedulers_by_pool[pool] = scheduler
        scheduler.update_engines(configuration.engines_of(pool))
        result = await scheduler.admit(request)
        if is_successful(result):
            return result.unwrap()
        refusal = result.failure()
        raise RouterError(
            ResultCode(refusal.code),
            refusal.detail,
            retry_after_s=refusal.retry_after_ms / 1000,
        )

    async def send_progress(self, message: Progress) -> None:
        """Apply a message about a request to the scheduler of its pool."""
        scheduler = self._schedulers_by_pool.get(message.shard_id)
        if scheduler is None:
            return
        match message:
            case PrefillDone():
                scheduler.prefill_done(message)
            case Release():
                scheduler.release(message)
            case CancelAdmission(request_id=request_id):
                scheduler.cancel(request_id)

    async def poll_reports(self, configuration: Configuration) -> None:
        """Read the load reports of all engines in use, which may lag."""
        await asyncio.gather(
            *(
                self._poll(scheduler, engine)
                for pool, scheduler in self._schedulers_by_pool.items()
                for engine in configuration.engines_of(pool)
            )
        )

    async def _poll(self, scheduler: Scheduler, engine: Engine) -> None:
        try:
            report = await self._engine_client.report(engine.url, fresh=False)
        except RouterError:
            return  # the scheduler keeps using the last report
        scheduler.observe_report(engine.id, report)

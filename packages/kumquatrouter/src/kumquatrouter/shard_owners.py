"""The shards that this host owns, each with its scheduler.

Reports of the engines are polled to find requests that hold engine memory
without a grant. Those of processes that no longer run are cancelled.
"""

import asyncio
import logging
from collections.abc import Callable

from returns.pipeline import is_successful

from kumquat_core.clock import Clock
from kumquat_core.configuration import Configuration
from kumquat_core.engine_client import EngineClient
from kumquat_core.log_events import log_event
from kumquat_core.peer_messages import (
    AdmissionRequest,
    CancelAdmission,
    Grant,
    PrefillDone,
    Refusal,
    Release,
    ShardSummary,
)
from kumquat_core.rendezvous import owner_of, shards_of
from kumquat_core.request_ids import RequestId
from kumquat_core.result_codes import ResultCode, RouterError
from kumquat_core.shard_scheduler import ShardScheduler

from .request_observer import RequestObserver

__all__ = ["CreateScheduler", "ShardOwners"]

OWNER_RETRY_MS = 100

logger = logging.getLogger(__name__)

CreateScheduler = Callable[[str, Clock], ShardScheduler]


def _create_scheduler(shard_id: str, clock: Clock) -> ShardScheduler:
    return ShardScheduler(shard_id, clock)


class ShardOwners:
    """Schedulers of the shards that this host owns."""

    def __init__(
        self,
        host_id: str,
        region: str,
        clock: Clock,
        engine_client: EngineClient,
        live_host_ids: Callable[[], list[str]],
        observer: RequestObserver | None = None,
        create_scheduler: CreateScheduler | None = None,
    ) -> None:
        self._create_scheduler = create_scheduler or _create_scheduler
        self._observer = observer or RequestObserver.from_clock(clock)
        self._host_id = host_id
        self._region = region
        self._clock = clock
        self._engine_client = engine_client
        self._live_host_ids = live_host_ids
        self._configuration = Configuration()
        self._schedulers_by_shard_id: dict[str, ShardScheduler] = {}

    def shard_ids(self) -> list[str]:
        """Return the shards that this host owns at present."""
        return sorted(self._schedulers_by_shard_id)

    def summaries(self) -> list[ShardSummary]:
        """Return the state of each owned shard."""
        schedulers = self._schedulers_by_shard_id
        return [schedulers[shard_id].summary() for shard_id in self.shard_ids()]

    def update(self, configuration: Configuration) -> None:
        """Take over the configuration and the present set of live hosts."""
        self._configuration = configuration
        live = self._live_host_ids()
        owned: dict[str, ShardScheduler] = {}
        for pool in configuration.pools_by_name.values():
            if pool.region != self._region:
                continue
            shards = shards_of(pool.name, configuration.engines_of(pool.name))
            for shard in shards:
                if owner_of(shard.id, live) != self._host_id:
                    continue
                scheduler = self._schedulers_by_shard_id.get(shard.id)
                if scheduler is None:
                    scheduler = self._create_scheduler(shard.id, self._clock)
                scheduler.update_configuration(configuration, len(shards))
                scheduler.update_engines(
                    configuration.engines_by_id[engine_id]
                    for engine_id in shard.engine_ids
                )
                owned[shard.id] = scheduler
        self._schedulers_by_shard_id = owned

    async def admit(self, request: AdmissionRequest) -> Grant | Refusal:
        """Wait for a grant; a grant that can't be delivered is freed."""
        scheduler = self._schedulers_by_shard_id.get(request.shard_id)
        if scheduler is None:
            return _not_owner(request)
        try:
            answer = await scheduler.admit(request)
        except asyncio.CancelledError:
            scheduler.cancel(request.request_id)
            raise
        decided = answer.unwrap() if is_successful(answer) else answer.failure()
        self._observer.owner_decided(request, decided)
        return decided

    def handle(self, message: PrefillDone | Release | CancelAdmission) -> None:
        """Apply a message about a request admitted earlier."""
        scheduler = self._schedulers_by_shard_id.get(message.shard_id)
        if scheduler is None:
            return
        match message:
            case PrefillDone():
                scheduler.prefill_done(message)
            case Release():
                scheduler.release(message)
            case CancelAdmission(request_id=request_id):
                scheduler.cancel(request_id)

    async def poll_reports(self) -> None:
        """Compare the reports of all owned engines with the accounts."""
        await asyncio.gather(
            *(
                self._poll_engine(scheduler, engine_id)
                for scheduler in self._schedulers_by_shard_id.values()
                for engine_id in scheduler.engine_ids
            )
        )

    async def _poll_engine(self, scheduler: ShardScheduler, engine_id: str) -> None:
        engine = self._configuration.engines_by_id.get(engine_id)
        if engine is None:
            return
        try:
            report = await self._engine_client.report(engine.url, fresh=True)
            scheduler.observe_report(engine_id, report)
            after = scheduler.last_cache_event(engine_id)
            events = await self._engine_client.cache_events(engine.url, after)
            scheduler.observe_cache_events(engine_id, events)
            for request_id in scheduler.unknown_requests(engine_id, report):
                if self._is_abandoned(request_id):
                    await self._sweep(engine.url, engine_id, request_id)
        except RouterError as error:
            log_event(
                logger,
                "engine_report_failed",
                level=logging.DEBUG,
                engine=engine_id,
                detail=error.detail,
            )

    def _is_abandoned(self, request_id: str) -> bool:
        try:
            host_id = RequestId.parse(request_id).host_id
        except ValueError:
            return False
        return host_id not in self._live_host_ids()

    async def _sweep(self, url: str, engine_id: str, request_id: str) -> None:
        log_event(logger, "request_swept", engine=engine_id, request=request_id)
        await self._engine_client.cancel(url, request_id)
        self._observer.metrics.add_sweep(1)


def _not_owner(request: AdmissionRequest) -> Refusal:
    return Refusal(
        request.request_id,
        ResultCode.OWNER_UNAVAILABLE.value,
        "not the owner of the shard",
        OWNER_RETRY_MS,
    )

"""One shard that this host owns: takeover, admission and sweep.

A new owner first reads fresh reports of the shard's engines and queries the
live hosts for the grants they hold. It grants only on engines whose report it
has read, because memory held at the other engines is not in the ledger yet.
When ownership is lost, all waiting requests are refused with
``OWNER_UNAVAILABLE``, so that their hosts ask the new owner.
"""

import asyncio
import contextlib
import logging
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import replace

from returns.pipeline import is_successful

from kumquat_core.clock import Clock
from kumquat_core.configuration import Engine, EngineRole, ServerState
from kumquat_core.engine_client import EngineClient, EngineReport
from kumquat_core.log_events import log_event
from kumquat_core.membership import Liveness
from kumquat_core.peer_messages import (
    AdmissionRequest,
    CancelAdmission,
    Grant,
    GrantsQuery,
    HeldGrant,
    PrefillDone,
    Progress,
    Refusal,
    Release,
    SlowStep,
)
from kumquat_core.request_ids import RequestId
from kumquat_core.result_codes import ResultCode, RouterError
from kumquat_core.shard_scheduler import ShardScheduler

from .shard_sweep import ShardSweep, SweepCallbacks

__all__ = ["OwnedShard", "not_owner_refusal"]

OWNER_RETRY_MS = 100

logger = logging.getLogger(__name__)

TAKEOVER_RETRY_S = 0.25


def _ignore_report(shard_id: str, engine: Engine, report: EngineReport) -> None:
    """Ignore a report; the default of ``on_report``."""


class OwnedShard:
    """The scheduler of one shard, with the takeover and sweep of its ledger.

    ``on_report`` is called with each report that ``poll`` reads.
    """

    def __init__(
        self,
        shard_id: str,
        scheduler: ShardScheduler,
        clock: Clock,
        engine_client: EngineClient,
        callbacks: SweepCallbacks,
        on_report: Callable[[str, Engine, EngineReport], None] = _ignore_report,
    ) -> None:
        self._on_report = on_report
        self.shard_id = shard_id
        self.scheduler = scheduler
        self._clock = clock
        self._engine_client = engine_client
        self._callbacks = callbacks
        self._sweep = ShardSweep(scheduler, clock, callbacks)
        self._engines_by_id: dict[str, Engine] = {}
        self._read_engine_ids: set[str] = set()
        self._ready = asyncio.Event()
        self._closed = False
        self._admissions_by_request_id: dict[str, asyncio.Task[Grant | Refusal]] = {}

    @property
    def engine_ids(self) -> list[str]:
        """Return the engines of the shard."""
        return list(self._engines_by_id)

    def update_engines(self, engines: Iterable[Engine]) -> None:
        """Replace the engines by those of the current configuration."""
        engines_by_id = {engine.id: engine for engine in engines}
        if engines_by_id == self._engines_by_id:
            return
        self._engines_by_id = engines_by_id
        self._read_engine_ids &= set(engines_by_id)
        self._update_scheduler()

    async def take_over(self, live_host_ids: Callable[[], list[str]]) -> None:
        """Fill the ledger from engines and hosts, then start to grant.

        Repeated until an engine of each role has been read, because without
        one all requests would be refused.
        """
        while not self._closed:
            await self._take_over(live_host_ids())
            if self._has_read_each_role():
                self._ready.set()
                return
            await asyncio.sleep(TAKEOVER_RETRY_S)

    async def _take_over(self, live_host_ids: list[str]) -> None:
        """Read all engines and query all live hosts once."""
        query = GrantsQuery(engine_ids=tuple(self._engines_by_id))
        reports_by_id, replies = await asyncio.gather(
            self._read_reports(),
            asyncio.gather(
                *(self._callbacks.query(host_id, query) for host_id in live_host_ids)
            ),
        )
        if self._closed:
            return
        for reply in replies:
            for grant in reply.grants if reply is not None else ():
                self.scheduler.track_grant(grant)
        self._record_held_memory(reports_by_id)
        self._read_engine_ids |= set(reports_by_id)
        self._update_scheduler()
        log_event(
            logger,
            "shard_taken_over",
            shard=self.shard_id,
            engines=len(self._engines_by_id),
            engines_read=len(reports_by_id),
            hosts_answered=sum(reply is not None for reply in replies),
            adopted=len(self.scheduler.held_grants()),
        )

    async def admit(self, request: AdmissionRequest) -> Grant | Refusal:
        """Wait for a grant; a grant that can't be delivered is freed.

        A repeated request replaces the earlier one, whose reply was lost.
        """
        earlier = self._admissions_by_request_id.get(request.request_id)
        if earlier is not None:
            earlier.cancel()
            await asyncio.wait([earlier])
        if self._closed:
            return not_owner_refusal(request)
        admission = asyncio.create_task(self._admit(request))
        self._admissions_by_request_id[request.request_id] = admission
        try:
            return await admission
        except asyncio.CancelledError:
            if not _is_cancelling():
                return not_owner_refusal(request)
            if not admission.cancel():
                self.scheduler.cancel(request.request_id)
            raise
        finally:
            if self._admissions_by_request_id.get(request.request_id) is admission:
                del self._admissions_by_request_id[request.request_id]

    def handle(self, message: Progress) -> None:
        """Apply a message about a request admitted earlier."""
        match message:
            case PrefillDone():
                self.scheduler.prefill_done(message)
            case SlowStep():
                self.scheduler.slow_step(message)
            case Release():
                self.scheduler.release(message)
            case CancelAdmission(request_id=request_id):
                self.scheduler.cancel(request_id)

    async def poll(self, engine_ids: Collection[str] | None = None) -> None:
        """Reconcile the ledger with fresh reports of engines.

        Reads the given engines, or all engines of the shard.
        """
        if not self._ready.is_set():
            return
        reports_by_id = await self._read_reports(engine_ids)
        if self._closed:
            return
        newly_read_ids = set(reports_by_id) - self._read_engine_ids
        if newly_read_ids:
            self._record_held_memory({e: reports_by_id[e] for e in newly_read_ids})
            self._read_engine_ids |= newly_read_ids
            self._update_scheduler()
        for engine_id, report in reports_by_id.items():
            self.scheduler.observe_report(engine_id, report)
            if engine_id in self._engines_by_id:
                engine = self._engines_by_id[engine_id]
                self._on_report(self.shard_id, engine, report)
        await asyncio.gather(
            self._sweep.run(reports_by_id),
            *(self._read_cache_events(engine_id) for engine_id in reports_by_id),
        )

    async def remove_process(self, host_id: str, incarnation: int) -> None:
        """Free the grants of a dead process, in the ledger and at engines."""
        await self._sweep.remove_process(host_id, incarnation)

    def close(self) -> None:
        """Stop granting and refuse all waiting requests as not the owner."""
        self._closed = True
        for admission in self._admissions_by_request_id.values():
            admission.cancel()

    async def _admit(self, request: AdmissionRequest) -> Grant | Refusal:
        """Admit a request once the takeover is complete.

        The time spent waiting for it counts against the patience.
        """
        started_s = self._clock.monotonic()
        try:
            async with asyncio.timeout(request.patience_ms / 1000):
                await self._ready.wait()
        except TimeoutError:
            return not_owner_refusal(request)
        elapsed_ms = int((self._clock.monotonic() - started_s) * 1000)
        remaining_ms = max(1, request.patience_ms - elapsed_ms)
        try:
            result = await self.scheduler.admit(
                replace(request, patience_ms=remaining_ms)
            )
        except asyncio.CancelledError:
            self.scheduler.cancel(request.request_id)
            raise
        return result.unwrap() if is_successful(result) else result.failure()

    async def _read_reports(
        self, engine_ids: Collection[str] | None = None
    ) -> dict[str, EngineReport]:
        """Return fresh reports by engine id, without unreachable engines."""
        engines = [
            engine
            for engine in self._engines_by_id.values()
            if engine_ids is None or engine.id in engine_ids
        ]
        reports = await asyncio.gather(
            *(self._read_report(engine) for engine in engines)
        )
        return {
            engine.id: report
            for engine, report in zip(engines, reports, strict=True)
            if report is not None
        }

    async def _read_report(self, engine: Engine) -> EngineReport | None:
        """Return a fresh report, or None if the engine did not respond."""
        try:
            return await self._engine_client.report(engine.url, fresh=True)
        except RouterError as error:
            log_event(
                logger,
                "engine_report_failed",
                level=logging.DEBUG,
                engine=engine.id,
                detail=error.detail,
            )
            return None

    async def _read_cache_events(self, engine_id: str) -> None:
        """Pass on new prefix cache events; failed reads are retried later."""
        engine = self._engines_by_id.get(engine_id)
        if engine is None:
            return
        after = self.scheduler.last_cache_event(engine_id)
        with contextlib.suppress(RouterError):
            events = await self._engine_client.cache_events(engine.url, after)
            self.scheduler.observe_cache_events(engine_id, events)

    def _has_read_each_role(self) -> bool:
        """Return whether an engine of each configured role has been read."""
        engines = self._engines_by_id.values()
        roles = {engine.role for engine in engines}
        read_roles = {
            engine.role for engine in engines if engine.id in self._read_engine_ids
        }
        return read_roles == roles

    def _record_held_memory(self, reports_by_id: Mapping[str, EngineReport]) -> None:
        """Record in the ledger the memory that decode engines hold.

        Requests of dead processes are left to the sweep, which queries the
        process first and frees what it does not hold. Prefill engines evict
        their results themselves.
        """
        for engine_id, report in reports_by_id.items():
            if report.role is not EngineRole.DECODE:
                continue
            for held in report.requests:
                if not self._may_run(held.request_id):
                    continue
                grant = HeldGrant(held.request_id, "", engine_id, held.pieces, False)
                self.scheduler.track_grant(grant)

    def _may_run(self, request_id: str) -> bool:
        """Return whether a request may still run.

        An id of another form belongs to no process of the router.
        """
        try:
            parsed = RequestId.parse(request_id)
        except ValueError:
            return False
        state = self._callbacks.liveness(parsed.host_id, parsed.incarnation)
        return state in (Liveness.LIVE, Liveness.UNKNOWN)

    def _update_scheduler(self) -> None:
        """Update the scheduler's engines; unread ones get no new requests."""
        self.scheduler.update_engines(
            engine
            if engine.id in self._read_engine_ids
            else replace(engine, state=ServerState.LEAVING)
            for engine in self._engines_by_id.values()
        )


def _is_cancelling() -> bool:
    """Return whether the running task itself was cancelled."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


def not_owner_refusal(request: AdmissionRequest) -> Refusal:
    """Return the refusal that makes a host ask the current owner."""
    return Refusal(
        request.request_id,
        ResultCode.OWNER_UNAVAILABLE.value,
        "not the owner of the shard",
        OWNER_RETRY_MS,
    )

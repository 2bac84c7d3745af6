"""Reports engines that crash at the beginning of an answer to their owner.

A run whose engine closed its connection is a crash only if the engine then
refuses connections, and if most of its other runs end too. The host that had
the run checks the first condition, the owner of the service the second. No
owner knows the runs at a backend server, so there the first one suffices until
the server is seen to live.

An engine may also fall silent, or accept connections again at once. Its runs
are kept until the store shows that its incarnation has ended.
"""

import asyncio
import logging
from collections.abc import Callable, Coroutine

from kumquat_core.clock import Clock
from kumquat_core.log_events import log_event
from kumquat_core.peer_messages import EngineCrashReport
from kumquat_core.result_codes import RouterError
from kumquat_core.task_errors import log_task_error
from kumquatrouter.peer_links import PeerLinks

from .caller_request import CallerRequest
from .crash_reports import CrashReports
from .engine_connection import SendFailedError
from .engine_pool import EnginePool
from .engine_registry import EngineEntry, EngineRegistry
from .engine_runs import EngineRun, EngineRuns
from .owner_selection import OwnerSelection
from .prompt_quarantine import PromptQuarantine

__all__ = ["CrashObserver"]

# A process that ends closes its connections and its listener within this time.
PROBE_DELAY_S = 0.02
# The owner decides again while the reports of other hosts are on their way.
DECISION_DELAYS_S = (0.0, 0.05, 0.2)
REPORT_ATTEMPTS = 3
REPORT_RETRY_S = 0.5
CONNECT_TIMEOUT_S = 0.35
PROXY_CLOSE_S = 0.03
# Outcomes of a probe that show that no process listens. A timeout may be due
# to the network.
REFUSED = ConnectionRefusedError.__name__
REFUSALS = (REFUSED, "closed")
LEAVING = "leaving"

logger = logging.getLogger(__name__)


class CrashObserver:
    """Reports crashes of engines and, as the owner, evaluates the reports.

    ``runs_at`` returns how many runs an owned queue has at an engine.
    """

    def __init__(
        self,
        host_id: str,
        clock: Clock,
        pool: EnginePool,
        registry: EngineRegistry,
        links: PeerLinks,
        owners: OwnerSelection,
        quarantine: PromptQuarantine,
    ) -> None:
        self._host_id = host_id
        self._clock = clock
        self._pool = pool
        self._registry = registry
        self._links = links
        self._owners = owners
        self._quarantine = quarantine
        self._reports = CrashReports()
        self._runs = EngineRuns(clock)
        self._tasks: set[asyncio.Task[None]] = set()
        self.runs_at: Callable[[str, str], int] = lambda service, engine_id: 0

    def run_broken(
        self, request: CallerRequest, entry: EngineEntry, trial_parts: tuple[str, ...]
    ) -> None:
        """Report the engine of a run that ended before its answer began."""
        parts = self._record_broken(request, entry, trial=bool(trial_parts))
        if not parts:
            return
        report = EngineCrashReport(
            request.service,
            request.id,
            entry.id,
            entry.born_ms,
            entry.address.text,
            parts,
            bool(trial_parts),
        )
        self._start(self._check_and_report(report, entry))

    def run_began(
        self, request: CallerRequest, entry: EngineEntry, *, trial: bool
    ) -> None:
        """Record that a request is sent to an engine."""
        self._runs.begin(request, entry, trial=trial)

    def run_ended(self, request_id: str, entry: EngineEntry | None = None) -> None:
        """Record that an engine, or all, have no run of a request any more."""
        self._runs.end(request_id, entry)

    def record_answer(self, request_id: str, entry: EngineEntry) -> None:
        """Record that an engine has answered, so that it lives."""
        self._runs.end(request_id)
        self._runs.record_answer(entry)

    def run_silent(
        self, request: CallerRequest, entry: EngineEntry, *, trial: bool
    ) -> None:
        """Record a run that got no whole answer though its engine may live."""
        self._record_broken(request, entry, trial=trial)

    async def plain_run_broken(
        self,
        request: CallerRequest,
        entry: EngineEntry,
        *,
        trial: bool,
    ) -> None:
        """Record a crash if the backend server now refuses connections."""
        parts = self._record_broken(request, entry, trial=trial)
        if parts and await self._check(request.id, entry) == REFUSED:
            self._record_crash(EngineRun(request.service, parts, entry, trial))

    def _record_broken(
        self, request: CallerRequest, entry: EngineEntry, *, trial: bool
    ) -> tuple[str, ...]:
        """Keep a broken run; return the parts that may crash engines."""
        parts = self._quarantine.unknown_parts(request)
        self._runs.record_broken(EngineRun(request.service, parts, entry, trial))
        return parts

    def engine_removed(self, entry: EngineEntry) -> None:
        """Apply the removal of an engine, or of the one that had its id.

        An engine that has announced its end did not crash.
        """
        listed = self._registry.get(entry.id)
        if listed is not None or not entry.draining:
            self.engine_ended(entry.id, listed.born_ms if listed else None)

    def engine_ended(self, engine_id: str, born_ms: int | None) -> None:
        """Record crashes under the runs that an ended incarnation had.

        The one that was born at ``born_ms`` lives.
        """
        open_runs, broken = self._runs.take_ended(engine_id, born_ms)
        for run in open_runs:
            parts = self._quarantine.unknown_parts(run.request)
            broken.append(EngineRun(run.request.service, parts, run.entry, run.trial))
        for item in broken:
            self._record_crash(item)

    def _record_crash(self, run: EngineRun) -> None:
        self._quarantine.record_crash(
            run.service,
            run.parts,
            run.entry.incarnation,
            run.entry.address.text,
            trial=run.trial,
        )

    def record_broken_run(self, engine_id: str) -> None:
        """Record at the owner that the connection of a run broke."""
        self._reports.record_broken_run(engine_id, self._clock.monotonic())

    def apply(self, report: EngineCrashReport) -> None:
        """Evaluate the report of a host."""
        self._start(self._decide(report))

    def remove_engine(self, engine_id: str) -> None:
        """Discard what is known about an engine that was removed."""
        self._reports.remove_engine(engine_id)

    def close(self) -> None:
        """Cancel all pending reports."""
        for task in self._tasks:
            task.cancel()

    async def _check_and_report(
        self, report: EngineCrashReport, entry: EngineEntry
    ) -> None:
        if await self._check(report.request_id, entry) in REFUSALS:
            await self._send(report)

    async def _check(self, request_id: str, entry: EngineEntry) -> str:
        """Return how the engine of a broken run treats a new connection."""
        await asyncio.sleep(PROBE_DELAY_S)
        listed = self._registry.get(entry.id)
        if listed is not None and listed.draining:
            return LEAVING
        outcome = await self._probe(entry)
        log_event(
            logger,
            "engine_crash_checked",
            engine=entry.id,
            request=request_id,
            outcome=outcome,
        )
        return outcome

    async def _probe(self, entry: EngineEntry) -> str:
        """Return how an engine treats a new connection."""
        try:
            connection = await self._pool.open(entry.address, CONNECT_TIMEOUT_S)
        except SendFailedError as error:
            return str(error)
        # A proxy of an engine that has ended accepts and closes.
        await asyncio.sleep(PROXY_CLOSE_S)
        if connection.closed_by_peer:
            connection.abort()
            return "closed"
        # A process that writes bytes without a request has not ended.
        self._pool.release(connection)
        return "connected"

    async def _send(self, report: EngineCrashReport) -> None:
        """Send a report to the owner, or to the next one if that is lost."""
        for _ in range(REPORT_ATTEMPTS):
            owner = self._owners.owner(report.service)
            if owner == self._host_id:
                await self._decide(report)
                return
            try:
                self._links.post(owner, report)
            except RouterError as error:
                log_event(
                    logger, "engine_crash_not_reported", peer=owner, detail=error.detail
                )
                await asyncio.sleep(REPORT_RETRY_S)
                continue
            return

    async def _decide(self, report: EngineCrashReport) -> None:
        """Record the crash once most runs of the engine have ended."""
        for delay_s in DECISION_DELAYS_S:
            await asyncio.sleep(delay_s)
            remaining = self.runs_at(report.service, report.engine)
            if self._reports.is_crash(
                report.engine, remaining, self._clock.monotonic()
            ):
                self._quarantine.record_crash(
                    report.service,
                    report.parts,
                    f"{report.engine}/{report.born_ms}",
                    report.address,
                    trial=report.trial,
                )
                return
        log_event(
            logger,
            "engine_crash_not_confirmed",
            engine=report.engine,
            request=report.request_id,
            remaining_runs=remaining,
        )

    def _start(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(log_task_error)

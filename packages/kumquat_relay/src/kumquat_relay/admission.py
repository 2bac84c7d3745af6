"""Requests slots from the owner of a service and reports the runs held.

A report goes to the owner every ``REPORT_S``. A report without a reply is
repeated at once on a new link, since an open connection may become
unresponsive while new ones work. If that fails too, the next host becomes the
owner, and the requests that waited at the unresponsive one are sent to it. A
new owner must first learn which runs are in progress, so a single lost reply
does not change the owner.

Idle hosts of large fleets report less often. The first request of an idle host
restores the usual period. Reports also show which limits of servers the host
knows, and replies carry those that differ.
"""

import asyncio
import logging

from kumquat_core.clock import Clock
from kumquat_core.limit_messages import limits_digest
from kumquat_core.log_events import log_event
from kumquat_core.peer_messages import (
    EngineNoticed,
    RunEnded,
    RunGrant,
    RunPrefilled,
    RunRefusal,
    RunRequest,
    RunsHeld,
    RunsNoted,
    RunStalled,
)
from kumquat_core.result_codes import ResultCode, RouterError
from kumquat_core.task_errors import log_task_error
from kumquatrouter.peer_links import PeerLinks

from .admission_refusal import AdmissionRefusedError
from .cluster_state import ClusterState
from .engine_registry import EngineEntry
from .known_limits import KnownLimits
from .local_run import LocalRun
from .owner_selection import OwnerSelection
from .prompt_quarantine import PromptQuarantine
from .protocols import EngineNotice
from .queue_owner import QueueOwner
from .relay_rules import ALL_RULES, RelayRules
from .report_period import idle_report_periods

__all__ = ["PREFILL_SKIPPED", "Admission"]

# Prefill time that marks a prefill as skipped because it was not needed.
PREFILL_SKIPPED = -1.0

# A hundred times the latency between failure domains, so that a busy host
# still replies in time.
REPORT_TIMEOUT_S = 0.3
# The owner itself refuses a request whose patience has ended.
REPLY_MARGIN_S = 0.3
# The next host in order usually replies; more attempts would use up the
# patience of the caller.
MAX_OWNER_ATTEMPTS = 4
# All hosts have selected the next owner within one report period after a loss.
NO_OWNER_RETRY_S = 0.5

logger = logging.getLogger(__name__)


class Admission:
    """Acquires and releases slots for this host and reports its runs."""

    def __init__(
        self,
        host_id: str,
        clock: Clock,
        cluster_state: ClusterState,
        links: PeerLinks,
        owners: OwnerSelection,
        queue_owner: QueueOwner,
        limits: KnownLimits,
        quarantine: PromptQuarantine,
        rules: RelayRules = ALL_RULES,
    ) -> None:
        self._rules = rules
        self._limits = limits
        self._quarantine = quarantine
        self._host_id = host_id
        self._clock = clock
        self._cluster_state = cluster_state
        self._links = links
        self._owners = owners
        self._queue_owner = queue_owner
        self._held_runs_by_id: dict[str, LocalRun] = {}
        self._reported_owner_by_service: dict[str, str] = {}
        self._pending_requests = 0
        self._periods_since_report = 0
        self._checks_by_owner: dict[str, asyncio.Task[None]] = {}

    async def acquire_slot(self, request: RunRequest) -> RunGrant:
        """Return the granted slot; raises ``AdmissionRefusedError``."""
        began_s = self._clock.monotonic()
        for _ in range(MAX_OWNER_ATTEMPTS):
            owner = self._owners.owner(request.service)
            self._pending_requests += 1
            try:
                reply = await self._request_slot(owner, request)
            except RouterError as error:
                await self._check_owner(owner, request.service, error.detail)
                continue
            finally:
                self._pending_requests -= 1
            if isinstance(reply, RunRefusal):
                raise AdmissionRefusedError(reply.reason, reply.retry_after_ms / 1000)
            held = LocalRun(
                request, reply.decode_engine, owner, self._clock.monotonic()
            )
            self._held_runs_by_id[request.request_id] = held
            await self._quarantine.synchronize(
                request.service, owner, reply.evidence_digest
            )
            return reply
        log_event(
            logger,
            "no_owner",
            level=logging.WARNING,
            request=request.request_id,
            ms=round((self._clock.monotonic() - began_s) * 1000),
        )
        raise AdmissionRefusedError("no_owner", NO_OWNER_RETRY_S)

    def report_prefill(
        self, request_id: str, prefill_ms: float, *, unreachable: bool = False
    ) -> None:
        """Notify the owner that a prefill took ``prefill_ms``.

        0 means that the prefill engine failed, ``PREFILL_SKIPPED`` that no
        prefill was requested.
        """
        held = self._held_runs_by_id.get(request_id)
        if held is None:
            return
        message = RunPrefilled(
            request_id, held.request.service, prefill_ms, unreachable
        )
        if held.owner == self._host_id:
            self._queue_owner.on_prefilled(message)
        else:
            self._send(held.owner, message)

    def record_progress(
        self, request_id: str, generated_tokens: int, gap_ms: float
    ) -> None:
        """Record the progress of a run for the next report."""
        held = self._held_runs_by_id.get(request_id)
        if held is None:
            return
        held.record_progress(generated_tokens, gap_ms, self._clock.monotonic())

    def report_stall(self, request_id: str, silent_ms: int) -> None:
        """Notify the owner that a run makes no progress."""
        held = self._held_runs_by_id.get(request_id)
        if held is None:
            return
        message = RunStalled(
            request_id, held.request.service, held.decode_engine, silent_ms
        )
        if held.owner == self._host_id:
            self._queue_owner.on_stalled(message)
        else:
            self._send(held.owner, message)

    def forward_notice(self, entry: EngineEntry, notice: EngineNotice) -> None:
        """Forward a notice of an engine to the owner of its service."""
        if self._cluster_state.engine_spec(entry.service) is None:
            return
        message = EngineNoticed(
            entry.service,
            entry.id,
            entry.born_ms,
            notice.leaving or notice.replaced,
            int(notice.pause_s * 1000),
        )
        owner = self._owners.owner(entry.service)
        if owner == self._host_id:
            self._queue_owner.apply_notice(message, self._host_id)
        else:
            self._send(owner, message)

    def release(
        self,
        request_id: str,
        gap_ms: float = 0.0,
        full_engine: str = "",
        failed_engine: str = "",
        *,
        unreachable: bool = False,
        generated_tokens: int = 0,
        error_response: bool = False,
        silent: bool = False,
    ) -> None:
        """Release the slot of a request and notify the owner of the outcome.

        ``generated_tokens`` is the length of a complete response, else 0.
        """
        held = self._held_runs_by_id.pop(request_id, None)
        if held is None:
            return
        message = RunEnded(
            request_id,
            held.request.service,
            gap_ms,
            full_engine,
            failed_engine,
            unreachable,
            generated_tokens,
            error_response,
            silent,
        )
        self._send_run_ended(held.owner, message)

    async def report(self) -> None:
        """Report the runs of each service to its owner."""
        if self._cluster_state.routes is None:
            return
        self._owners.set_outdated(self._host_id, self._cluster_state.outdated())
        if not self._is_report_due():
            return
        services = self._cluster_state.routes.services_by_name
        model_services = {name for name, spec in services.items() if spec.engine}
        groups = self._limits.groups() | self._quarantine.groups()
        for name in sorted(model_services | groups):
            await self._report_service(name)

    def _is_report_due(self) -> bool:
        """Return whether to report now; called once in each period."""
        self._periods_since_report += 1
        period = idle_report_periods(len(self._cluster_state.hosts_by_id))
        active = self._pending_requests > 0 or bool(self._held_runs_by_id)
        if not active and self._periods_since_report < period:
            return False
        self._periods_since_report = 0
        return True

    @property
    def held_run_count(self) -> int:
        """Return the number of runs that this host holds."""
        return len(self._held_runs_by_id)

    async def _request_slot(
        self, owner: str, request: RunRequest
    ) -> RunGrant | RunRefusal:
        """Return the owner's decision; withdraw the request if cancelled."""
        try:
            if owner == self._host_id:
                return await self._queue_owner.admit(request, self._host_id)
            timeout_s = request.patience_ms / 1000 + REPLY_MARGIN_S
            reply = await self._links.call(owner, request, timeout_s)
        except asyncio.CancelledError:
            ended = RunEnded(request.request_id, request.service)
            self._send_run_ended(owner, ended)
            raise
        if not isinstance(reply, RunGrant | RunRefusal):
            raise RouterError(ResultCode.PEER_PROTOCOL, type(reply).__name__)
        return reply

    def _send_run_ended(self, owner: str, message: RunEnded) -> None:
        """Notify the owner that granted the slot, and the current owner."""
        if owner == self._host_id:
            self._queue_owner.on_run_ended(message)
        else:
            self._send(owner, message)
        current = self._owners.owner(message.service)
        if current not in (owner, self._host_id):
            self._send(current, message)

    def _send(
        self,
        host_id: str,
        message: EngineNoticed | RunEnded | RunPrefilled | RunStalled,
    ) -> None:
        """Send a message ahead of any later request to the same owner."""
        try:
            self._links.post(host_id, message)
        except RouterError as error:
            # The next report contains the runs, and the next request the
            # engines that must not be used.
            log_event(
                logger,
                "message_not_sent",
                level=logging.DEBUG,
                peer=host_id,
                type=type(message).__name__,
                detail=error.detail,
            )

    async def _report_service(self, service: str) -> None:
        """Report to the owner, and to the preferred owner if due."""
        owner = self._owners.owner(service)
        await self._report_to(owner, service)
        preferred = self._owners.owner_to_probe(service)
        if preferred is not None and preferred != owner:
            await self._report_to(preferred, service)

    def _take_report(self, owner: str, service: str) -> RunsHeld:
        now_s = self._clock.monotonic()
        runs = tuple(
            held.take_report(now_s)
            for held in self._held_runs_by_id.values()
            if held.request.service == service
        )
        limits = self._limits.limits_of(service)
        # Hosts of earlier builds do not know the fields after ``runs``, so
        # these have their defaults unless there are limits.
        counted = self._is_counted_by(owner, service) or not limits
        digest = limits_digest(limits)
        if counted and self._limits.is_confirmed(service):
            limits = ()
        return RunsHeld(service, runs, counted, digest, limits)

    def _is_counted_by(self, owner: str, service: str) -> bool:
        """Return whether an owner may go on to count this host.

        Not with the first report after a change, since this host has been
        counted elsewhere, and not for reports that only probe an owner.
        """
        if owner != self._owners.owner(service):
            return False
        previous = self._reported_owner_by_service.get(service)
        self._reported_owner_by_service[service] = owner
        return owner == previous

    async def _report_to(self, owner: str, service: str) -> None:
        if owner == self._host_id:
            report = self._take_report(owner, service)
            reply = self._queue_owner.apply_report(report, self._host_id)
            self._limits.merge(service, reply.limits)
            return
        try:
            await self._send_report(owner, service)
        except RouterError as error:
            await self._check_owner(owner, service, error.detail)

    async def _check_owner(self, owner: str, service: str, detail: str) -> None:
        """Check an unresponsive owner; concurrent callers share one check."""
        if owner == self._host_id:
            return
        if not self._rules.owner_check:
            self._mark_unreachable(owner, detail)
            return
        check = self._checks_by_owner.get(owner)
        if check is None:
            check = asyncio.ensure_future(self._recheck_owner(owner, service, detail))
            self._checks_by_owner[owner] = check
            check.add_done_callback(lambda _: self._checks_by_owner.pop(owner, None))
            check.add_done_callback(log_task_error)
        await asyncio.shield(check)

    async def _recheck_owner(self, owner: str, service: str, detail: str) -> None:
        """Report on a new link; mark the owner unreachable if that fails."""
        self._links.drop(owner)
        # Let the dropped link close before a new one is opened.
        await asyncio.sleep(0)
        try:
            await self._send_report(owner, service)
        except RouterError as error:
            self._mark_unreachable(owner, error.detail)
            return
        log_event(logger, "owner_answers_again", peer=owner, reason=detail)

    async def _send_report(self, owner: str, service: str) -> None:
        """Send a report to an owner and apply its reply.

        Raises ``RouterError``.
        """
        message = self._take_report(owner, service)
        reply = await self._links.call(owner, message, REPORT_TIMEOUT_S)
        if not isinstance(reply, RunsNoted):
            return
        if owner == self._owners.owner(service):
            self._limits.merge(service, reply.limits)
        await self._quarantine.synchronize(service, owner, reply.evidence_digest)
        self._cluster_state.record_owner_version(reply.configuration)
        if reply.store_era:
            self._cluster_state.observe_era(reply.store_era, owner)
        if self._owners.set_outdated(owner, reply.outdated):
            log_event(logger, "owner_outdated", peer=owner, outdated=reply.outdated)
        if self._owners.mark_reachable(owner):
            log_event(logger, "dependency_regained", dependency="owner", peer=owner)

    def _mark_unreachable(self, owner: str, detail: str) -> None:
        self._links.drop(owner)
        if self._owners.mark_unreachable(owner):
            log_event(
                logger,
                "dependency_lost",
                level=logging.WARNING,
                dependency="owner",
                peer=owner,
                reason=detail,
            )

"""Commands engines of the services that this host owns to change roles.

A few role commands are pending at a time. A command without a response may
still be executed many seconds later, so the engine gets no other command until
then. Every command carries the number of commands that the engine has
accepted, which invalidates an older command that arrives late.
"""

import asyncio
import logging
from collections.abc import Callable, Iterable

from kumquat_core.clock import Clock
from kumquat_core.log_events import log_event

from .caller_request import Header
from .cluster_state import ClusterState
from .command_lease import CommandLease
from .engine_connection import ConnectionBrokenError, SendFailedError
from .engine_exchange import EngineExchanges
from .engine_health import EngineHealth
from .engine_notices import EngineNotices
from .engine_registry import EngineEntry, EngineRole
from .protocols import EngineDialect, EngineReport, StoreError
from .queue_owner import QueueOwner
from .role_planner import Demand, RoleChange, RolePlanner
from .routes import EngineSpec

__all__ = ["RoleController"]

# Engines respond to commands at once; a longer wait counts as no response.
COMMAND_TIMEOUT_S = 1.0
# A command without a response may be executed up to twelve seconds later.
UNANSWERED_HOLD_OFF_S = 14.0
# After an accepted command the engine's entry in the store is updated within
# a heartbeat.
LISTING_DELAY_S = 2.0
# Most commands are refused because the engine is executing another one, which
# takes seconds.
REFUSED_HOLD_OFF_S = 3.0
ACCEPTED_STATUSES = (200, 202)

logger = logging.getLogger(__name__)


class RoleController:
    """Plans and sends role commands; ``step`` is called periodically."""

    def __init__(
        self,
        clock: Clock,
        cluster_state: ClusterState,
        health: EngineHealth,
        owner: QueueOwner,
        lease: CommandLease,
        exchanges: EngineExchanges,
        dialect: EngineDialect,
        holder: str,
        notices: EngineNotices,
        owns: Callable[[str], bool] = lambda service: True,
    ) -> None:
        self._owns = owns
        self._notices = notices
        self._clock = clock
        self._cluster_state = cluster_state
        self._health = health
        self._owner = owner
        self._lease = lease
        self._exchanges = exchanges
        self._dialect = dialect
        self._holder = holder
        self._planners_by_service: dict[str, RolePlanner] = {}
        self._hold_off_until_by_engine: dict[str, float] = {}
        self._commanded_roles_by_engine: dict[str, EngineRole] = {}

    async def step(self) -> None:
        """Send the role commands that the owned services need now.

        Nothing is sent while another host holds the lease or the store
        doesn't respond.
        """
        for service, demand in self._owner.demands().items():
            spec = self._cluster_state.engine_spec(service)
            if not self._owns(service):
                continue
            while spec is not None:
                change = self._propose(service, spec, demand)
                if change is None:
                    break
                try:
                    if not self._lease.usable() and not await self._lease.acquire():
                        return
                except StoreError as error:
                    log_event(logger, "lease_not_taken", reason=str(error))
                    return
                await self._send_command(service, spec, change)

    def _propose(
        self, service: str, spec: EngineSpec, demand: Demand
    ) -> RoleChange | None:
        """Return the next role change of a service, if any."""
        now_s = self._clock.monotonic()
        engines = list(self._cluster_state.registry.usable(service))
        if self._owner.has_limits(service) and {item.role for item in engines} >= {
            EngineRole.PREFILL,
            EngineRole.DECODE,
        }:
            # The plan rests on slots and speeds, but now the limits bind, and
            # a change would leave fewer engines to share them.
            return None
        changing = {
            engine.id: self._commanded_roles_by_engine[engine.id]
            for engine in engines
            if self._is_held_off(engine.id, now_s)
        }
        planner = self._planners_by_service.setdefault(service, RolePlanner())
        runs = self._owner.runs_of(service)
        avoided = [
            engine.id
            for engine in engines
            if self._health.is_avoided(engine.id)
            or self._health.is_unreachable(engine.id)
            or self._notices.remaining_pause_s(engine.id) > 0
        ]
        last_decode_draining = any(
            entry.draining and entry.role is EngineRole.DECODE
            for entry in self._cluster_state.registry.all_entries()
            if entry.service == service
        )
        return planner.propose(
            engines,
            spec,
            demand,
            self._owner.performance_of(service),
            runs,
            now_s,
            avoided,
            changing,
            last_decode_draining=last_decode_draining,
        )

    def _is_held_off(self, engine_id: str, now_s: float) -> bool:
        """Return whether an engine must not get another command yet."""
        return now_s < self._hold_off_until_by_engine.get(engine_id, float("-inf"))

    async def _send_command(
        self, service: str, spec: EngineSpec, change: RoleChange
    ) -> None:
        """Command a role change unless the engine is executing another one."""
        self._commanded_roles_by_engine[change.engine.id] = change.role
        report = await self._fetch_report(change.engine)
        if report is None or report.executing_role_command or not self._lease.usable():
            self._hold_off(change.engine.id, REFUSED_HOLD_OFF_S)
            return
        method, target, headers, body = self._dialect.role_command(
            change.engine,
            change.role,
            self._holder,
            self._lease.fence,
            report.role_command_count,
        )
        status, _ = await self._call(change.engine, method, target, headers, body)
        if status in ACCEPTED_STATUSES:
            until_s = self._owner.begin_role_change(
                service, change.engine.id, spec.role_change_s + LISTING_DELAY_S
            )
            self._hold_off(change.engine.id, until_s - self._clock.monotonic())
        else:
            unanswered = status is None
            self._hold_off(
                change.engine.id,
                UNANSWERED_HOLD_OFF_S if unanswered else REFUSED_HOLD_OFF_S,
            )
        log_event(
            logger,
            "order_sent",
            engine=change.engine.id,
            role=change.role.value,
            fence=self._lease.fence,
            order_count=report.role_command_count,
            readers=change.prefill_engines,
            planned_readers=change.planned_prefill_engines,
            busy=round(change.utilization, 2),
            planned_busy=round(change.planned_utilization, 2),
            status=status if status is not None else "no_answer",
        )

    def _hold_off(self, engine_id: str, duration_s: float) -> None:
        self._hold_off_until_by_engine[engine_id] = self._clock.monotonic() + duration_s

    async def _fetch_report(self, engine: EngineEntry) -> EngineReport | None:
        """Return the report of an engine, or None if it can't be obtained."""
        method, target, headers = self._dialect.report_request(engine)
        status, body = await self._call(engine, method, target, headers, b"")
        try:
            return self._dialect.report(body) if status == 200 else None
        except ValueError as error:
            log_event(logger, "report_unreadable", engine=engine.id, reason=str(error))
            return None

    async def _call(
        self,
        engine: EngineEntry,
        method: str,
        target: str,
        headers: list[Header],
        body: bytes,
    ) -> tuple[int | None, bytes]:
        """Return the status and body of the response to a request.

        The status is None if there was no response and 0 if nothing was sent.
        """
        try:
            async with asyncio.timeout(COMMAND_TIMEOUT_S):
                return await self._exchanges.call(
                    engine,
                    method,
                    target,
                    headers,
                    body,
                    connect_timeout_s=COMMAND_TIMEOUT_S,
                )
        except SendFailedError as error:
            log_event(logger, "engine_call_not_sent", reason=str(error), target=target)
            return 0, b""
        except (ConnectionBrokenError, TimeoutError) as error:
            log_event(logger, "engine_call_failed", reason=repr(error), target=target)
            return None, b""

    def remove_engines(self, engine_ids: Iterable[str]) -> None:
        """Discard the state of engines that were removed."""
        for engine_id in engine_ids:
            self._hold_off_until_by_engine.pop(engine_id, None)
            self._commanded_roles_by_engine.pop(engine_id, None)

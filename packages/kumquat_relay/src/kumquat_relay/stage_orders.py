"""Carries out the stage plan of the services that this host owns.

A few orders are open at a time. An order without an answer may still be
carried out many seconds later, so its engine gets no other one until then;
every order names the number of orders the engine has accepted, which voids an
older one that arrives late.
"""

import asyncio
import logging
from collections.abc import Callable, Iterable

from kumquat_core.clock import Clock
from kumquat_core.log_events import log_event

from .beliefs import Beliefs
from .caller_request import Header
from .engine_connection import ConnectionBrokenError, SendFailedError
from .engine_health import EngineHealth
from .engine_notices import EngineNotices
from .engine_pool import EnginePool
from .engine_registry import EngineEntry, EngineRole
from .order_lease import OrderLease
from .protocols import EngineDialect, EngineReport, StoreError
from .routes import EngineSpec
from .stage_plan import Demand, RoleChange, StagePlan
from .stream_owner import StreamOwner

__all__ = ["StageOrders"]

# Engines answer orders at once; a longer silence counts as no answer.
ORDER_TIMEOUT_S = 1.0
# An order without an answer is carried out up to twelve seconds later.
OPEN_ORDER_S = 14.0
# Entries in the store follow an accepted order within a heartbeat.
LISTING_S = 2.0
# An order in progress at the engine, the usual reason, takes seconds.
REFUSED_PAUSE_S = 3.0
ACCEPTED = (200, 202)

logger = logging.getLogger(__name__)


class StageOrders:
    """Plans by service; ``step`` is called periodically."""

    def __init__(
        self,
        clock: Clock,
        beliefs: Beliefs,
        health: EngineHealth,
        owner: StreamOwner,
        lease: OrderLease,
        pool: EnginePool,
        dialect: EngineDialect,
        holder: str,
        notices: EngineNotices,
        owns: Callable[[str], bool] = lambda service: True,
    ) -> None:
        self._owns = owns
        self._notices = notices
        self._clock = clock
        self._beliefs = beliefs
        self._health = health
        self._owner = owner
        self._lease = lease
        self._pool = pool
        self._dialect = dialect
        self._holder = holder
        self._plans_by_service: dict[str, StagePlan] = {}
        self._closed_until_by_engine: dict[str, float] = {}
        self._ordered_roles_by_engine: dict[str, EngineRole] = {}

    async def step(self) -> None:
        """Propose a change for each owned service and order it."""
        for service, demand in self._owner.demands().items():
            spec = self._beliefs.engine_spec(service)
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
                await self._order(service, spec, change)

    def _propose(
        self, service: str, spec: EngineSpec, demand: Demand
    ) -> RoleChange | None:
        now_s = self._clock.monotonic()
        engines = list(self._beliefs.registry.usable(service))
        changing = {
            engine.id: self._ordered_roles_by_engine[engine.id]
            for engine in engines
            if self._is_closed(engine.id, now_s)
        }
        plan = self._plans_by_service.setdefault(service, StagePlan())
        runs = self._owner.runs_of(service)
        avoided = [
            engine.id
            for engine in engines
            if self._health.is_avoided(engine.id)
            or self._health.is_unreachable(engine.id)
            or self._notices.pause_left_s(engine.id) > 0
        ]
        leaves = any(
            entry.draining and entry.role is EngineRole.DECODE
            for entry in self._beliefs.registry.all_entries()
            if entry.service == service
        )
        return plan.propose(
            engines,
            spec,
            demand,
            self._owner.pace_of(service),
            runs,
            now_s,
            avoided,
            changing,
            leaves=leaves,
        )

    def _is_closed(self, engine_id: str, now_s: float) -> bool:
        return now_s < self._closed_until_by_engine.get(engine_id, float("-inf"))

    async def _order(self, service: str, spec: EngineSpec, change: RoleChange) -> None:
        self._ordered_roles_by_engine[change.engine.id] = change.role
        report = await self._report(change.engine)
        if report is None or report.busy_with_order or not self._lease.usable():
            self._close(change.engine.id, REFUSED_PAUSE_S)
            return
        method, target, headers, body = self._dialect.order(
            change.engine,
            change.role,
            self._holder,
            self._lease.fence,
            report.order_count,
        )
        status, _ = await self._call(change.engine, method, target, headers, body)
        if status in ACCEPTED:
            until_s = self._owner.set_changing(
                service, change.engine.id, spec.role_change_s + LISTING_S
            )
            self._close(change.engine.id, until_s - self._clock.monotonic())
        else:
            no_answer = status is None
            self._close(
                change.engine.id, OPEN_ORDER_S if no_answer else REFUSED_PAUSE_S
            )
        log_event(
            logger,
            "order_sent",
            engine=change.engine.id,
            role=change.role.value,
            fence=self._lease.fence,
            order_count=report.order_count,
            readers=change.readers,
            planned_readers=change.planned_readers,
            busy=round(change.busy, 2),
            planned_busy=round(change.planned_busy, 2),
            status=status if status is not None else "no_answer",
        )

    def _close(self, engine_id: str, for_s: float) -> None:
        self._closed_until_by_engine[engine_id] = self._clock.monotonic() + for_s

    async def _report(self, engine: EngineEntry) -> EngineReport | None:
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
        """Return status and body of the answer; no status without an answer.

        Status 0 means that nothing was sent.
        """
        try:
            connection = await self._pool.take(
                engine.address, fresh=True, timeout_s=ORDER_TIMEOUT_S
            )
        except SendFailedError as error:
            log_event(logger, "engine_call_not_sent", reason=str(error), target=target)
            return 0, b""
        answer = bytearray()
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                connection.send(method, target, headers, body)
                head = await connection.read_head()
                self._notices.take(engine, self._dialect.notice(head, engine.id))
                async for part in connection.read_body():
                    answer += part
        except (ConnectionBrokenError, SendFailedError, TimeoutError) as error:
            log_event(logger, "engine_call_failed", reason=repr(error), target=target)
            connection.abort()
            return None, b""
        self._pool.give_back(connection)
        return head.status, bytes(answer)

    def forget(self, engine_ids: Iterable[str]) -> None:
        """Drop what is known of engines that are gone."""
        for engine_id in engine_ids:
            self._closed_until_by_engine.pop(engine_id, None)
            self._ordered_roles_by_engine.pop(engine_id, None)

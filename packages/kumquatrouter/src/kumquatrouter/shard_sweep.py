"""Reconciles the ledger of a shard with the reports of its engines.

An engine may hold memory for a request that is not in the ledger (an
*orphan*), the ledger may hold a grant that no engine reports (an *absent*
grant, whose release was lost), and both may hold a request whose end
reached neither. The entry host of the request decides: what it still holds
is recorded in the ledger, what it does not hold is freed. A process that was
declared dead is queried too, because it may have resumed after a pause; if it
does not reply, its requests are freed. A request whose host is live but does
not reply is kept, so that a live stream is never cancelled.
"""

import asyncio
import logging
from collections import defaultdict
from collections.abc import Awaitable, Callable, Iterable, Mapping
from dataclasses import dataclass

from kumquat_core.clock import Clock
from kumquat_core.engine_client import EngineReport
from kumquat_core.log_events import log_event
from kumquat_core.membership import Liveness
from kumquat_core.peer_messages import GrantsHeld, GrantsQuery, HeldGrant
from kumquat_core.request_ids import RequestId
from kumquat_core.shard_scheduler import ShardScheduler

__all__ = ["CancelAtEngine", "ShardSweep", "SweepCallbacks"]

ORPHAN_AGE_S = 0.5

# A request in prefill holds no memory that an engine reports. A prefill takes
# seconds at most.
ABSENT_AGE_S = 2.0

# Ledger and engine agree, but the host may have failed to reach either of them
# at the end of the request. At 510 streams per host with a mean duration of
# 16 s, confirming each stream costs a host at most 3 KB/s.
CONFIRM_AGE_S = 15.0

# Longer than it takes to declare a known host dead. A process that membership
# still does not know by then is no longer running.
UNKNOWN_PROCESS_AGE_S = 6.0
MAX_QUERY_IDS = 256

# Longer than one round of reports of all engines of a host: 32 engines at 4
# reports a second take 8 s.
LAST_SEEN_EXPIRY_S = 30.0

logger = logging.getLogger(__name__)

Process = tuple[str, int]
CancelAtEngine = Callable[[str, str], Awaitable[None]]


@dataclass(frozen=True)
class SweepCallbacks:
    """Functions of the rest of the process that the sweep calls.

    ``query`` returns None when the host did not reply. ``may_cancel``
    returns whether a dead process's request of this age (ms) may be
    cancelled.
    """

    liveness: Callable[[str, int], Liveness]
    query: Callable[[str, GrantsQuery], Awaitable[GrantsHeld | None]]
    cancel: CancelAtEngine
    may_cancel: Callable[[int], bool]


@dataclass(frozen=True)
class _Holding:
    """Memory that an engine reports for a request."""

    engine_id: str
    pieces: int
    age_ms: int


class ShardSweep:
    """Frees grants and memory of one shard that no running request uses."""

    def __init__(
        self, scheduler: ShardScheduler, clock: Clock, callbacks: SweepCallbacks
    ) -> None:
        self._scheduler = scheduler
        self._clock = clock
        self._callbacks = callbacks
        self._first_seen_s_by_request_id: dict[str, float] = {}
        self._last_seen_s_by_request_id: dict[str, float] = {}

    async def run(self, reports_by_engine_id: Mapping[str, EngineReport]) -> None:
        """Reconcile the ledger with fresh reports of engines of the shard."""
        holdings_by_id = _holdings(reports_by_engine_id)
        grants_by_id = {g.request_id: g for g in self._scheduler.held_grants()}
        ages_s_by_id = dict.fromkeys(holdings_by_id, ORPHAN_AGE_S)
        for grant in grants_by_id.values():
            is_read = grant.decode_engine in reports_by_engine_id
            is_absent = is_read and grant.request_id not in holdings_by_id
            ages_s_by_id[grant.request_id] = _query_age_s(grant, is_absent)
        due = self._find_due(ages_s_by_id)
        ids_by_process = _group_by_process(ages_s_by_id)
        await asyncio.gather(
            *(
                self._sweep_process(process, request_ids, due, holdings_by_id)
                for process, request_ids in ids_by_process.items()
            )
        )

    async def remove_process(self, host_id: str, incarnation: int) -> None:
        """Free the grants of a dead process, in the ledger and at engines."""
        process = (host_id, incarnation)
        held = [grant.request_id for grant in self._scheduler.held_grants()]
        request_ids = _group_by_process(held).get(process, [])
        if request_ids and await self._has_ended(process):
            await self._free_process(process)

    async def _has_ended(self, process: Process) -> bool:
        """Return whether a process has ended.

        It has when a later one replaced it, or when it was declared dead
        and does not reply.
        """
        host_id, incarnation = process
        state = self._callbacks.liveness(host_id, incarnation)
        if state is not Liveness.DEAD:
            return state is Liveness.REPLACED
        reply = await self._callbacks.query(host_id, GrantsQuery())
        return reply is None or reply.incarnation != incarnation

    async def _free_process(self, process: Process) -> None:
        """Free all grants of a process if requests of any age may be freed."""
        if not self._callbacks.may_cancel(0):
            return
        removed = self._scheduler.remove_host_process(*process)
        await asyncio.gather(*(self._callbacks.cancel(*item) for item in removed))

    async def _sweep_process(
        self,
        process: Process,
        request_ids: list[str],
        due: set[str],
        holdings_by_id: dict[str, list[_Holding]],
    ) -> None:
        """Free the requests of an ended process, or query a running one.

        ``due`` are the requests old enough to be queried.
        """
        state = self._callbacks.liveness(*process)
        query_ids = [request_id for request_id in request_ids if request_id in due]
        if await self._has_ended(process):
            await self._free_process(process)
            await self._cancel_all(request_ids, holdings_by_id, state)
            for request_id in query_ids:
                if request_id not in holdings_by_id:
                    self._scheduler.cancel(request_id)
        elif query_ids:
            await self._query_host(process, query_ids, holdings_by_id, state)

    async def _query_host(
        self,
        process: Process,
        query_ids: list[str],
        holdings_by_id: dict[str, list[_Holding]],
        state: Liveness,
    ) -> None:
        """Query the host of some requests and reconcile those it replies to.

        Without a reply, requests of a process that membership never knew are
        freed after ``UNKNOWN_PROCESS_AGE_S``; all others are kept.
        """
        query = GrantsQuery(request_ids=tuple(query_ids[:MAX_QUERY_IDS]))
        reply = await self._callbacks.query(process[0], query)
        if reply is None or reply.incarnation < process[1]:
            if state is Liveness.UNKNOWN:
                expired_ids = [
                    request_id for request_id in query_ids if self._is_old(request_id)
                ]
                await self._cancel_all(expired_ids, holdings_by_id, state)
                for request_id in expired_ids:
                    self._scheduler.cancel(request_id)
            return
        grants_by_id = {grant.request_id: grant for grant in reply.grants}
        # Read once: a shard has up to 640 grants, and each may be queried.
        ledger_grants_by_id = {g.request_id: g for g in self._scheduler.held_grants()}
        for request_id in query.request_ids:
            self._first_seen_s_by_request_id.pop(request_id, None)
            if request_id in reply.waiting:
                continue
            grant = grants_by_id.get(request_id)
            holdings = holdings_by_id.get(request_id, [])
            ledger_grant = ledger_grants_by_id.get(request_id)
            await self._reconcile(request_id, grant, ledger_grant, holdings)

    async def _reconcile(
        self,
        request_id: str,
        grant: HeldGrant | None,
        ledger_grant: HeldGrant | None,
        holdings: list[_Holding],
    ) -> None:
        """Make the ledger and the engines match what the host holds."""
        used_engine_ids = (
            {grant.prefill_engine, grant.decode_engine} if grant else set()
        )
        for holding in holdings:
            if holding.engine_id not in used_engine_ids:
                await self._cancel(holding, request_id, "not_held")
        if grant is None:
            self._scheduler.cancel(request_id)
            return
        if ledger_grant is not None and (
            ledger_grant.decode_engine == grant.decode_engine
            and ledger_grant.prefill_engine
        ):
            return
        self._scheduler.cancel(request_id)
        self._scheduler.track_grant(grant)

    async def _cancel_all(
        self,
        request_ids: Iterable[str],
        holdings_by_id: dict[str, list[_Holding]],
        state: Liveness,
    ) -> None:
        """Cancel requests at the engines that hold them, if permitted."""
        for request_id in request_ids:
            for holding in holdings_by_id.get(request_id, []):
                if self._callbacks.may_cancel(holding.age_ms):
                    await self._cancel(holding, request_id, state.value)

    async def _cancel(self, holding: _Holding, request_id: str, reason: str) -> None:
        """Cancel a request at one engine; ``reason`` goes to the log."""
        log_event(
            logger,
            "request_swept",
            engine=holding.engine_id,
            request=request_id,
            age_ms=holding.age_ms,
            reason=reason,
        )
        await self._callbacks.cancel(holding.engine_id, request_id)

    def _find_due(self, ages_s_by_id: Mapping[str, float]) -> set[str]:
        """Return the requests whose host must be queried.

        These were first seen, or last confirmed, at least as long ago as
        the given age.
        """
        now_s = self._clock.monotonic()
        self._expire_last_seen(now_s)
        first_seen = self._first_seen_s_by_request_id
        for request_id in ages_s_by_id:
            first_seen.setdefault(request_id, now_s)
            self._last_seen_s_by_request_id[request_id] = now_s
        return {
            request_id
            for request_id, age_s in ages_s_by_id.items()
            if now_s - first_seen[request_id] >= age_s
        }

    def _expire_last_seen(self, now_s: float) -> None:
        """Remove the times of requests that were not seen for long.

        Not every engine is read each time, so that a request missing from
        one sweep may still be held.
        """
        for request_id, last_seen_s in list(self._last_seen_s_by_request_id.items()):
            if now_s - last_seen_s > LAST_SEEN_EXPIRY_S:
                del self._last_seen_s_by_request_id[request_id]
                self._first_seen_s_by_request_id.pop(request_id, None)

    def _is_old(self, request_id: str) -> bool:
        """Return whether an unknown process's request may be freed."""
        first_seen_s = self._first_seen_s_by_request_id[request_id]
        return self._clock.monotonic() - first_seen_s >= UNKNOWN_PROCESS_AGE_S


def _query_age_s(grant: HeldGrant, is_absent: bool) -> float:
    """Return the time after which the host of a grant is queried."""
    if not grant.prefill_engine:
        return ORPHAN_AGE_S
    return ABSENT_AGE_S if is_absent else CONFIRM_AGE_S


def _holdings(
    reports_by_engine_id: Mapping[str, EngineReport],
) -> dict[str, list[_Holding]]:
    """Return the memory that engines report, by request id."""
    holdings_by_id: dict[str, list[_Holding]] = defaultdict(list)
    for engine_id, report in reports_by_engine_id.items():
        for held in report.requests:
            holding = _Holding(engine_id, held.pieces, held.age_ms)
            holdings_by_id[held.request_id].append(holding)
    return holdings_by_id


def _group_by_process(request_ids: Iterable[str]) -> dict[Process, list[str]]:
    """Group request ids by process; ids of another form are left out."""
    ids_by_process: dict[Process, list[str]] = defaultdict(list)
    for request_id in sorted(request_ids):
        try:
            parsed = RequestId.parse(request_id)
        except ValueError:
            continue
        ids_by_process[parsed.host_id, parsed.incarnation].append(request_id)
    return ids_by_process

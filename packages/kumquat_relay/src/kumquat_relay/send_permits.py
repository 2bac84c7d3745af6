"""Permits of this host for plain requests to servers that named a limit.

Load pattern: all hosts want to send to a server that takes a few requests a
second from all of them. Each request needs a permit from the limit's owner. A
host that sends often fetches the permits for a short time at once, so that the
number of messages does not grow with the limit. A host that got fewer than it
wanted fetches again only after the time that the owner states.
"""

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from kumquat_core.clock import Clock
from kumquat_core.log_events import log_event
from kumquat_core.peer_messages import PermitGrant, PermitRequest, ServerLimitNotice
from kumquat_core.result_codes import RouterError
from kumquat_core.task_errors import log_task_error
from kumquatrouter.peer_links import PeerLinks

from .engine_registry import EngineEntry
from .known_limits import KnownLimits
from .limit_owner import LimitOwner
from .owner_selection import OwnerSelection

__all__ = ["SendPermits"]

# A permit that is used later would count in another window of the server.
PERMIT_TTL_S = 0.5
# A host requests as many permits as it wanted in this time before.
BATCH_S = 0.5
# An owner replies in milliseconds; most of the shortest latency objective is
# left for another server.
OWNER_TIMEOUT_S = 0.05
# Time until the next attempt if the owner does not reply. An unresponsive
# owner is replaced within a second.
OWNER_RETRY_S = 0.25
# An owner that states an odd wait is asked again after this time.
MAX_REFUSED_S = 60.0
# Longest time that callers are told; most deadlines end before a later one.
MAX_RETRY_AFTER_S = 5.0

logger = logging.getLogger(__name__)


@dataclass
class _PermitCache:
    """The permits of one server that this host holds; monotonic seconds.

    ``wanted_s`` are the times at which requests wanted one. Until
    ``refused_until_s`` the host does not fetch more. ``next_retry_s`` is the
    last time that a refused caller was told.
    """

    expiries_s: deque[float] = field(default_factory=deque)
    wanted_s: deque[float] = field(default_factory=deque)
    refused_until_s: float = float("-inf")
    next_retry_s: float = float("-inf")
    fetch: "asyncio.Task[None] | None" = None
    waiting: int = 0


class SendPermits:
    """Acquires a permit before each plain request to a limited server.

    ``on_outcome`` is called with whether a wanted permit was granted.
    """

    def __init__(
        self,
        host_id: str,
        clock: Clock,
        known: KnownLimits,
        links: PeerLinks,
        owners: OwnerSelection,
        limit_owner: LimitOwner,
    ) -> None:
        self._host_id = host_id
        self._clock = clock
        self._known = known
        self._links = links
        self._owners = owners
        self._limit_owner = limit_owner
        self._caches_by_id: dict[str, _PermitCache] = {}
        self.host_count = 1
        self.on_outcome: Callable[[bool], None] = lambda granted: None

    async def acquire(self, request_id: str, entry: EngineEntry) -> bool:
        """Return whether a request may be sent to a server now."""
        if not self._known.is_limited(entry.id):
            return True
        cache = self._caches_by_id.setdefault(entry.id, _PermitCache())
        self._record_demand(cache)
        cache.waiting += 1
        try:
            while not self._take(cache):
                if self._clock.monotonic() < cache.refused_until_s:
                    self._record_refusal(request_id, entry)
                    return False
                if not self._known.is_limited(entry.id):
                    return True
                await self._fetch_once(entry, cache)
        finally:
            cache.waiting -= 1
        self.on_outcome(True)
        return True

    def _record_refusal(self, request_id: str, entry: EngineEntry) -> None:
        self.on_outcome(False)
        rate_per_s = None
        if self._known.is_limited(entry.id):
            rate_per_s = self._known.rate_per_s(entry.id)
        log_event(
            logger,
            "permit_refused",
            request=request_id,
            engine=entry.id,
            rate_per_s=rate_per_s,
        )

    def give_back(self, entry: EngineEntry) -> None:
        """Keep a permit that was not used for the next request."""
        cache = self._caches_by_id.get(entry.id)
        if cache is not None:
            # Its lifetime restarts, which extends it by milliseconds.
            cache.expiries_s.append(self._clock.monotonic() + PERMIT_TTL_S)

    def retry_after_s(self, engine_ids: set[str]) -> float:
        """Return when a caller that got no permit should return, in seconds.

        Callers that this host refuses are told times as far apart as its equal
        share of the limits allows.
        """
        now_s = self._clock.monotonic()
        caches = [
            self._caches_by_id[engine_id]
            for engine_id in engine_ids
            if engine_id in self._caches_by_id
        ]
        if not caches:
            # All servers were removed after they had refused the request.
            return OWNER_RETRY_S
        first_s = min(cache.refused_until_s for cache in caches)
        rate_per_s = sum(
            self._known.rate_per_s(engine_id)
            for engine_id in engine_ids
            if self._known.is_limited(engine_id)
        )
        spacing_s = self.host_count / rate_per_s if rate_per_s > 0 else 0.0
        last_s = max(cache.next_retry_s for cache in caches)
        retry_s = max(first_s, min(last_s + spacing_s, now_s + MAX_RETRY_AFTER_S))
        for cache in caches:
            cache.next_retry_s = retry_s
        return retry_s - now_s

    def notify_owner(self, message: ServerLimitNotice) -> None:
        """Notify the owner of a limit that a server has named or ended."""
        owner = self._owners.owner(message.service)
        if owner == self._host_id:
            self._limit_owner.apply_notice(message, self._host_id)
            return
        try:
            self._links.post(owner, message)
        except RouterError as error:
            # The next report to the owner lists the limits.
            log_event(
                logger,
                "message_not_sent",
                level=logging.DEBUG,
                peer=owner,
                type=type(message).__name__,
                detail=error.detail,
            )

    def remove(self, engine_id: str) -> None:
        """Discard the permits of a server that was removed or restarted."""
        self._caches_by_id.pop(engine_id, None)

    def _take(self, cache: _PermitCache) -> bool:
        """Use a permit that is still valid; return whether there was one."""
        now_s = self._clock.monotonic()
        while cache.expiries_s and cache.expiries_s[0] < now_s:
            cache.expiries_s.popleft()
        if not cache.expiries_s:
            return False
        cache.expiries_s.popleft()
        return True

    def _record_demand(self, cache: _PermitCache) -> None:
        now_s = self._clock.monotonic()
        while cache.wanted_s and cache.wanted_s[0] < now_s - BATCH_S:
            cache.wanted_s.popleft()
        cache.wanted_s.append(now_s)

    async def _fetch_once(self, entry: EngineEntry, cache: _PermitCache) -> None:
        """Fetch permits of the owner once for all concurrent requests."""
        if cache.fetch is None or cache.fetch.done():
            cache.fetch = asyncio.ensure_future(self._fetch(entry, cache))
            # All requests that wait for it may have ended before.
            cache.fetch.add_done_callback(log_task_error)
        await asyncio.shield(cache.fetch)

    async def _fetch(self, entry: EngineEntry, cache: _PermitCache) -> None:
        wanted = max(cache.waiting, len(cache.wanted_s))
        group = self._known.group_of(entry.id) or entry.service
        message = PermitRequest(group, entry.id, wanted)
        reply = await self._call_owner(message)
        replied_s = self._clock.monotonic()
        if reply is None:
            cache.refused_until_s = replied_s + OWNER_RETRY_S
            return
        cache.expiries_s.extend([replied_s + PERMIT_TTL_S] * min(wanted, reply.granted))
        if reply.granted < wanted:
            wait_s = min(MAX_REFUSED_S, reply.wait_ms / 1000)
            cache.refused_until_s = replied_s + wait_s

    async def _call_owner(self, message: PermitRequest) -> PermitGrant | None:
        """Return the owner's reply, None if there is none."""
        owner = self._owners.owner(message.service)
        if owner == self._host_id:
            return self._limit_owner.grant_permits(message)
        try:
            reply = await self._links.call(owner, message, OWNER_TIMEOUT_S)
        except RouterError as error:
            log_event(
                logger,
                "permits_not_granted",
                engine=message.engine,
                peer=owner,
                reason=error.detail,
            )
            return None
        return reply if isinstance(reply, PermitGrant) else None

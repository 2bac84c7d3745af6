"""The request rates that servers have named, as this host knows them.

A host learns a limit from a response to it or from the owner of the group. It
ends when the server responds without naming one to a request that was sent
after the host knew of the limit, since responses may overtake each other, or
when the owner no longer lists it.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass

from kumquat_core.clock import Clock
from kumquat_core.log_events import log_event
from kumquat_core.peer_messages import ServerLimit, ServerLimitNotice

from .cluster_state import ClusterState
from .engine_registry import EngineEntry
from .protocols import EngineNotice

__all__ = ["KnownLimits"]

# Limits end after the owner has not listed them for this time. Meanwhile an
# owner that has just begun learns them, or receives the notice of a new one.
UNLISTED_TTL_S = 1.0
# Responses that tell nothing about the limit of the server: failures may be
# sent by a part of it that knows none.
FAILURE_STATUS = 500

logger = logging.getLogger(__name__)


@dataclass
class _KnownLimit:
    """A limit; ``since_s`` is when this host last learned of a change.

    ``unlisted_since_s`` is when the owner first listed others without it.
    """

    group: str
    limit: ServerLimit
    since_s: float
    unlisted_since_s: float | None = None


class KnownLimits:
    """Limits by server id.

    ``notify_owner`` receives each change that a response to this host shows.
    """

    def __init__(
        self, clock: Clock, cluster_state: ClusterState, *, enabled: bool = True
    ) -> None:
        self._enabled = enabled
        self._clock = clock
        self._cluster_state = cluster_state
        self._known_by_id: dict[str, _KnownLimit] = {}
        self._invalid_engine_ids: set[str] = set()
        self._unconfirmed_groups: set[str] = set()
        self.notify_owner: Callable[[ServerLimitNotice], None]
        self.notify_owner = lambda message: None

    def apply(
        self,
        entry: EngineEntry,
        notice: EngineNotice,
        sent_s: float | None,
        status: int,
    ) -> None:
        """Apply what a response says about the limit of its server.

        ``sent_s`` is when its request was sent, None for a control call, whose
        response need not name a limit.
        """
        if not self._enabled or notice.replaced:
            return
        if notice.limit_problem:
            self._log_invalid(entry, notice.limit_problem)
            return
        known = self._known_by_id.get(entry.id)
        if notice.limit_per_s is not None:
            self._set_named(entry, notice.limit_per_s, known)
        elif (
            known is not None
            and sent_s is not None
            and sent_s > known.since_s
            and status < FAILURE_STATUS
        ):
            del self._known_by_id[entry.id]
            self._notify(known.group, known.limit, named=False)

    def merge(self, group: str, limits: tuple[ServerLimit, ...] | None) -> None:
        """Apply the limits that the owner of a group lists.

        None means that they are those that this host has reported.
        """
        if not self._enabled:
            return
        if limits is None:
            self._unconfirmed_groups.discard(group)
            limits = self.limits_of(group)
        else:
            self._unconfirmed_groups.add(group)
        now_s = self._clock.monotonic()
        listed_ids = set()
        for limit in limits:
            listed_ids.add(limit.engine)
            known = self._known_by_id.get(limit.engine)
            if known is None or known.limit != limit:
                self._known_by_id[limit.engine] = _KnownLimit(group, limit, now_s)
            else:
                known.unlisted_since_s = None
        for engine_id, known in list(self._known_by_id.items()):
            if known.group != group or engine_id in listed_ids:
                continue
            if known.unlisted_since_s is None:
                known.unlisted_since_s = now_s
            elif now_s - known.unlisted_since_s > UNLISTED_TTL_S:
                del self._known_by_id[engine_id]

    def is_confirmed(self, group: str) -> bool:
        """Return whether the owner knew the same limits at the last report."""
        return group not in self._unconfirmed_groups

    def group_of(self, engine_id: str) -> str | None:
        """Return the group of a limited server, None without a limit."""
        known = self._known_by_id.get(engine_id)
        return known.group if known is not None else None

    def is_limited(self, engine_id: str) -> bool:
        """Return whether a server has named a limit that is in force."""
        return engine_id in self._known_by_id

    def rate_per_s(self, engine_id: str) -> float:
        """Return the limit of a limited server."""
        return self._known_by_id[engine_id].limit.rate_per_s

    def limits_of(self, group: str) -> tuple[ServerLimit, ...]:
        """Return the limits of a group for the report to its owner."""
        return tuple(
            known.limit for known in self._known_by_id.values() if known.group == group
        )

    def groups(self) -> set[str]:
        """Return the groups that have a limit."""
        return {known.group for known in self._known_by_id.values()}

    def count(self) -> int:
        """Return the number of limited servers."""
        return len(self._known_by_id)

    def remove(self, engine_id: str) -> None:
        """Remove what is known of a server that was removed or restarted."""
        self._known_by_id.pop(engine_id, None)
        self._invalid_engine_ids.discard(engine_id)

    def _set_named(
        self, entry: EngineEntry, rate_per_s: float, known: _KnownLimit | None
    ) -> None:
        limit = ServerLimit(entry.id, entry.service, entry.born_ms, rate_per_s)
        if known is not None and known.limit == limit:
            return
        group = self._cluster_state.owner_group(entry.service)
        now_s = self._clock.monotonic()
        self._known_by_id[entry.id] = _KnownLimit(group, limit, now_s)
        self._notify(group, limit, named=True)

    def _notify(self, group: str, limit: ServerLimit, *, named: bool) -> None:
        log_event(
            logger,
            "server_limit_named" if named else "server_limit_not_named",
            engine=limit.engine,
            rate_per_s=limit.rate_per_s,
        )
        self.notify_owner(ServerLimitNotice(group, limit, named))

    def _log_invalid(self, entry: EngineEntry, problem: str) -> None:
        if entry.id in self._invalid_engine_ids:
            return
        self._invalid_engine_ids.add(entry.id)
        log_event(
            logger,
            "server_limit_invalid",
            level=logging.WARNING,
            engine=entry.id,
            problem=problem,
        )

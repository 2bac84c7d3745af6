"""The owner's side of the request rates that servers name.

Limits belong to groups of services. The owner of a group grants permits for
plain requests to hosts; its queue of streams takes the permits of the engines
that it grants. An owner that begins learns the limits in force from the
reports of the hosts. Afterwards only notices of new responses change them,
because a host that has not heard of the end of a limit still reports it.
"""

import logging
import math
from collections.abc import Callable
from dataclasses import dataclass, field

from kumquat_core.clock import Clock
from kumquat_core.limit_messages import limits_digest
from kumquat_core.log_events import log_event
from kumquat_core.peer_messages import (
    PermitGrant,
    PermitRequest,
    RunsHeld,
    ServerLimit,
    ServerLimitNotice,
)

from .cluster_state import ClusterState
from .report_period import OWNERSHIP_IDLE_S, member_ttl_s
from .server_limits import HostPool, ServerLimits

__all__ = ["LimitOwner"]

# The next report of the host is answered within about this time.
UNKNOWN_LIMIT_RETRY_MS = 250

logger = logging.getLogger(__name__)


@dataclass
class _LimitGroup:
    """The limits of one group and the hosts that share them here."""

    limits: ServerLimits = field(default_factory=ServerLimits)
    pool: HostPool = field(default_factory=HostPool)
    last_used_s: float = float("-inf")
    learning_until_s: float = float("-inf")


class LimitOwner:
    """Owns the limits of service groups.

    ``on_change`` is called with the group after one of its limits has changed.
    """

    def __init__(self, clock: Clock, cluster_state: ClusterState) -> None:
        self._clock = clock
        self._cluster_state = cluster_state
        self._groups_by_name: dict[str, _LimitGroup] = {}
        self.on_change: Callable[[str], None] = lambda group: None

    def limits_of(self, group: str) -> ServerLimits:
        """Return the limits of a group; the object never changes."""
        return self._group(group).limits

    def apply_report(
        self, message: RunsHeld, host_id: str
    ) -> tuple[ServerLimit, ...] | None:
        """Count a host that reports; return the limits in force.

        None if the host knows the same limits.
        """
        group, now_s = self._used_group(message.service), self._now_s()
        if message.counted:
            group.pool.record(host_id, self._member_ttl_s(), now_s)
        else:
            group.pool.remove(host_id)
        if now_s < group.learning_until_s:
            for limit in message.limits:
                self._set_limit(message.service, limit, host_id)
        limits = group.limits.limits()
        if limits and limits_digest(limits) == message.digest:
            return None
        return limits

    def apply_notice(self, message: ServerLimitNotice, host_id: str) -> None:
        """Apply what a server has just named to a host."""
        group = self._used_group(message.service)
        if message.named:
            self._set_limit(message.service, message.limit, host_id)
        elif group.limits.end_limit(message.limit.engine):
            _log_end(message.limit.engine, host_id)
            self.on_change(message.service)

    def grant_permits(self, message: PermitRequest) -> PermitGrant:
        """Grant permits for requests to one server.

        A limit that only the host knows has ended, unless this owner has just
        begun and may still learn it.
        """
        group, now_s = self._used_group(message.service), self._now_s()
        limits = group.limits
        if not limits.is_limited(message.engine):
            if now_s < group.learning_until_s:
                return PermitGrant(message.engine, 0, UNKNOWN_LIMIT_RETRY_MS)
            return PermitGrant(message.engine, message.wanted, 0)
        granted = limits.take(message.engine, message.wanted, now_s)
        wait_s = 0.0
        if granted < message.wanted:
            wait_s = limits.defer(message.engine, now_s)
        return PermitGrant(message.engine, granted, math.ceil(wait_s * 1000))

    def remove_engine(self, engine_id: str) -> None:
        """Remove the limit of a server that was removed or has restarted."""
        for name, group in self._groups_by_name.items():
            if group.limits.end_limit(engine_id):
                _log_end(engine_id, "registry")
                self.on_change(name)

    def refresh_shares(self) -> None:
        """Adjust the shares to the hosts that report; call it periodically."""
        now_s = self._now_s()
        for group in self._groups_by_name.values():
            if group.limits.limits():
                self._update_share(group, now_s)

    def _group(self, name: str) -> _LimitGroup:
        return self._groups_by_name.setdefault(name, _LimitGroup())

    def _used_group(self, name: str) -> _LimitGroup:
        """Return a group that a message concerns; restart it after a gap."""
        group, now_s = self._group(name), self._now_s()
        if now_s - group.last_used_s > OWNERSHIP_IDLE_S:
            group.limits.discard_permits()
            group.learning_until_s = now_s + self._member_ttl_s()
        group.last_used_s = now_s
        return group

    def _set_limit(self, group_name: str, limit: ServerLimit, host_id: str) -> None:
        entry = self._cluster_state.registry.get(limit.engine)
        if entry is not None and entry.born_ms != limit.born_ms:
            # The notice concerns another incarnation of the server.
            return
        group, now_s = self._group(group_name), self._now_s()
        if group.limits.set_limit(limit, now_s):
            self._update_share(group, now_s)
            log_event(
                logger,
                "server_limited",
                engine=limit.engine,
                rate_per_s=limit.rate_per_s,
                source=host_id,
            )
            self.on_change(group_name)

    def _update_share(self, group: _LimitGroup, now_s: float) -> None:
        """Set the part of the limits that the hosts of the pool bring."""
        members = group.pool.members(self._member_ttl_s(), now_s)
        hosts = members | set(self._cluster_state.hosts_by_id)
        group.limits.set_share(len(members) / max(1, len(hosts)), now_s)

    def _now_s(self) -> float:
        return self._clock.monotonic()

    def _member_ttl_s(self) -> float:
        return member_ttl_s(len(self._cluster_state.hosts_by_id))


def _log_end(engine_id: str, source: str) -> None:
    log_event(logger, "server_limit_ended", engine=engine_id, source=source)

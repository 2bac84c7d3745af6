"""Selects the host that owns the queue of a service, from this host's view.

Load pattern: the owner is killed, frozen or partitioned during a load peak.
Each host selects the first host in rendezvous order that it does not know to
be unreachable, so all hosts select the same owner as long as they see the same
hosts. While they do not, two owners may grant the same slot, and the engines
refuse the excess.

Hosts that have lost the store own nothing while other hosts still reach it.
When no host reaches the store, the owner stays the same, because a new owner
would first have to learn which runs are in progress.
"""

from collections.abc import Callable, Mapping

from kumquat_core.clock import Clock
from kumquat_core.rendezvous import owner_of

from .relay_rules import ALL_RULES, RelayRules

__all__ = ["OwnerSelection"]

# Backoff before a report, not a request, is sent to an unreachable host again.
# It doubles with each failure.
INITIAL_BACKOFF_S = 1.0
MAX_BACKOFF_S = 8.0
# This host and one owner may both be partitioned from the store. If a second
# owner is outdated as well, the store itself is most likely unreachable.
MAX_PARTITIONED_HOSTS = 2
# Hosts below this fraction of the highest strength own no queue, because the
# owner's work grows with the number of hosts.
MIN_OWNER_STRENGTH_FRACTION = 0.8


class OwnerSelection:
    """Selects owners and keeps the unreachable and outdated hosts.

    ``strengths_by_host_id`` returns the strengths of the known hosts, and
    ``strength`` is that of this host.
    """

    def __init__(
        self,
        host_id: str,
        clock: Clock,
        strengths_by_host_id: Callable[[], Mapping[str, float]],
        strength: float = 1.0,
        rules: RelayRules = ALL_RULES,
    ) -> None:
        self._rules = rules
        self._host_id = host_id
        self._clock = clock
        self._strengths = strengths_by_host_id
        self._strength = strength
        self._outdated: set[str] = set()
        self._backoffs_by_host_id: dict[str, tuple[float, float]] = {}

    def owner(self, service: str, *, prefer_others: bool = False) -> str:
        """Return the owner of a service, or this host if no other is left.

        With ``prefer_others`` this host is the owner only in that case.
        """
        reachable = [
            host_id
            for host_id in self._eligible_hosts()
            if host_id not in self._backoffs_by_host_id
            and not (prefer_others and host_id == self._host_id)
        ]
        current = [host_id for host_id in reachable if host_id not in self._outdated]
        if self._is_store_unreachable_for_all():
            current = reachable
        return owner_of(service, current or reachable) or self._host_id

    def set_outdated(self, host_id: str, outdated: bool) -> bool:
        """Record whether a host is outdated; return whether that changed.

        An outdated host owns nothing while another host is up to date.
        """
        if not self._rules.hand_on or outdated == (host_id in self._outdated):
            return False
        if outdated:
            self._outdated.add(host_id)
        elif host_id == self._host_id:
            # A store that is reachable again from here most likely is for the
            # other hosts too; their next reports correct this.
            self._outdated.clear()
        else:
            self._outdated.discard(host_id)
        return True

    def _is_store_unreachable_for_all(self) -> bool:
        """Return whether no host is likely to reach the store."""
        return (
            self._host_id in self._outdated
            and len(self._outdated) > MAX_PARTITIONED_HOSTS
        )

    def preferred_owner(self, service: str) -> str:
        """Return the owner of a service if all known hosts were reachable."""
        return owner_of(service, self._eligible_hosts()) or self._host_id

    def is_eligible_owner(self) -> bool:
        """Return whether this host is strong enough to own queues."""
        return self._host_id in self._eligible_hosts()

    def _eligible_hosts(self) -> list[str]:
        """Return the hosts that are strong enough to own a queue."""
        strengths = {**self._strengths(), self._host_id: self._strength}
        min_strength = MIN_OWNER_STRENGTH_FRACTION * max(strengths.values())
        return [
            host_id for host_id, value in strengths.items() if value >= min_strength
        ]

    def mark_unreachable(self, host_id: str) -> bool:
        """Record a failed call; return whether the host was reachable."""
        if host_id == self._host_id:
            return False
        now_s = self._clock.monotonic()
        _, backoff_s = self._backoffs_by_host_id.get(host_id, (0.0, 0.0))
        was_reachable = backoff_s == 0.0
        backoff_s = min(MAX_BACKOFF_S, max(INITIAL_BACKOFF_S, backoff_s * 2))
        self._backoffs_by_host_id[host_id] = (now_s + backoff_s, backoff_s)
        return was_reachable

    def mark_reachable(self, host_id: str) -> bool:
        """Record a successful call; return whether that ends a backoff."""
        return self._backoffs_by_host_id.pop(host_id, None) is not None

    def owner_to_probe(self, service: str) -> str | None:
        """Return the preferred owner if it is unused but due for a report."""
        host_id = self.preferred_owner(service)
        if host_id in self._outdated:
            return host_id if host_id != self._host_id else None
        backoff = self._backoffs_by_host_id.get(host_id)
        if backoff is None or self._clock.monotonic() < backoff[0]:
            return None
        return host_id

    def reset_host(self, host_id: str) -> None:
        """Discard the state of a host that has restarted."""
        self._backoffs_by_host_id.pop(host_id, None)
        self._outdated.discard(host_id)

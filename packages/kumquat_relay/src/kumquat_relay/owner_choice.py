"""Which host owns the queue of a service, as this host sees it.

Load pattern: the owner is killed, frozen or cut off in the middle of a
peak. Hosts take the first host in rendezvous order that is not known to be
out of reach, so they agree as long as they see the same hosts; where they do
not, the engines refuse what is too much.

Hosts that no longer follow the store own nothing while others do. When the
store is away for all hosts, the owner stays: a new one must first learn which
runs there are.
"""

from collections.abc import Callable, Mapping

from kumquat_core.clock import Clock
from kumquat_core.rendezvous import owner_of

from .relay_rules import ALL_RULES, RelayRules

__all__ = ["OwnerChoice"]

# A host that could not be reached is asked again by a report, not by a
# request, after this time; it doubles with each failure.
FIRST_ABSENCE_S = 1.0
MAX_ABSENCE_S = 8.0
# A host without the store and one owner in the same state may be cut off from
# it together; with a second owner the store itself is most likely away.
ALONE_OUTDATED = 2
# The owner's work grows with the hosts, so weak hosts own nothing.
STRONG_SHARE = 0.8


class OwnerChoice:
    """The hosts that were out of reach, with the time to try them again."""

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
        self._absences_by_host_id: dict[str, tuple[float, float]] = {}

    def owner(self, service: str) -> str:
        """Return the owner to ask; this host itself if no other is left."""
        present = [
            host_id
            for host_id in self._candidates()
            if host_id not in self._absences_by_host_id
        ]
        current = [host_id for host_id in present if host_id not in self._outdated]
        if self._store_is_away_for_all():
            current = present
        return owner_of(service, current or present) or self._host_id

    def set_outdated(self, host_id: str, outdated: bool) -> bool:
        """Note whether a host follows the store; return whether it is news.

        An outdated host owns nothing while another one is known to be better.
        """
        if not self._rules.hand_on or outdated == (host_id in self._outdated):
            return False
        if outdated:
            self._outdated.add(host_id)
        elif host_id == self._host_id:
            # What is back for this host mostly is for the others; their next
            # answers tell.
            self._outdated.clear()
        else:
            self._outdated.discard(host_id)
        return True

    def _store_is_away_for_all(self) -> bool:
        return self._host_id in self._outdated and len(self._outdated) > ALONE_OUTDATED

    def first(self, service: str) -> str:
        """Return the owner if all known hosts could be reached."""
        return owner_of(service, self._candidates()) or self._host_id

    def may_own(self) -> bool:
        """Tell whether this host is strong enough to own queues."""
        return self._host_id in self._candidates()

    def _candidates(self) -> list[str]:
        """Return the hosts that are strong enough to own a queue."""
        strengths = {**self._strengths(), self._host_id: self._strength}
        limit = STRONG_SHARE * max(strengths.values())
        return [host_id for host_id, value in strengths.items() if value >= limit]

    def unreachable(self, host_id: str) -> bool:
        """Note a failed call; return whether this is news."""
        if host_id == self._host_id:
            return False
        now_s = self._clock.monotonic()
        _, absence_s = self._absences_by_host_id.get(host_id, (0.0, 0.0))
        news = absence_s == 0.0
        absence_s = min(MAX_ABSENCE_S, max(FIRST_ABSENCE_S, absence_s * 2))
        self._absences_by_host_id[host_id] = (now_s + absence_s, absence_s)
        return news

    def reachable(self, host_id: str) -> bool:
        """Note an answered call; return whether this is news."""
        return self._absences_by_host_id.pop(host_id, None) is not None

    def to_probe(self, service: str) -> str | None:
        """Return the first owner if it is away and its time has come."""
        host_id = self.first(service)
        if host_id in self._outdated:
            return host_id if host_id != self._host_id else None
        absence = self._absences_by_host_id.get(host_id)
        if absence is None or self._clock.monotonic() < absence[0]:
            return None
        return host_id

    def forget(self, host_id: str) -> None:
        """Drop what is known of a host whose process is another one now."""
        self._absences_by_host_id.pop(host_id, None)
        self._outdated.discard(host_id)

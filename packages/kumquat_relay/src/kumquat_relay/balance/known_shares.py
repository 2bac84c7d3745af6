"""Chooses servers by the shares that the owner of a service last stated.

Hosts that hold the same shares must not choose the same server at the same
moment. Each host walks through the shares by a sequence of its own, which is
evenly distributed and begins at a point given by the host's id, so that the
hosts together keep the shares and requests in quick succession at one host go
to different servers.

Servers that refused or failed a request of this host, and those that the owner
found silent, get none for a moment if there are others.

Shares are used less often the older they are. Without recent ones the host
decides by its own view.
"""

from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass

import xxhash

from kumquat_core.clock import Clock
from kumquat_core.load_messages import LoadShares, ServerShare

from ..engine_registry import EngineEntry
from .send_counts import SendOutcome

__all__ = ["KnownShares"]

# Idle hosts of large fleets report every 2 s, so shares are this old in normal
# operation. Servers are slow or failing for some seconds; older shares are
# worth no more than the host's own view.
FRESH_S = 2.5
STALE_S = 5.0
# A full server has ended several requests after this time.
REFUSED_S = 0.5
# A failure is much more likely at a server that fails than at a sound one.
FAILED_S = 1.0
# Longest time for which an owner can keep this host from a server.
MAX_SILENT_S = 1.0
# Fractional parts of the golden ratio and of the square root of two; their
# multiples are spread evenly. Draws of a second server have a sequence of
# their own, since points that follow each other in one depend on each other.
STEP = 0.6180339887498949
OTHER_STEP = 0.41421356237309515


class _Points:
    """A sequence of points that are spread evenly over [0, 1)."""

    def __init__(self, seed: str, step: float) -> None:
        self._point = xxhash.xxh32_intdigest(seed.encode()) / 2**32
        self._step = step

    def next(self) -> float:
        """Return the next point."""
        self._point = (self._point + self._step) % 1.0
        return self._point


@dataclass(frozen=True)
class _Shares:
    by_id: Mapping[str, ServerShare]
    computed_s: float


class KnownShares:
    """The shares of each service that this host knows."""

    def __init__(self, host_id: str, clock: Clock) -> None:
        self._clock = clock
        self._points = _Points(host_id, STEP)
        self._other_points = _Points(f"{host_id}/other", OTHER_STEP)
        self._trust_points = _Points(f"{host_id}/trust", STEP)
        self._shares_by_service: dict[str, _Shares] = {}
        self._avoid_until_s_by_id: dict[str, float] = {}

    def set(self, message: LoadShares) -> None:
        """Store the shares of a reply, unless the owner knows none yet."""
        if not message.shares:
            return
        by_id = {item.engine: item for item in message.shares}
        now_s = self._clock.monotonic()
        computed_s = now_s - message.age_ms / 1000
        self._avoid_until_s_by_id = {
            engine_id: until_s
            for engine_id, until_s in self._avoid_until_s_by_id.items()
            if until_s > now_s
        }
        for item in message.shares:
            if item.silent_ms:
                silent_s = min(MAX_SILENT_S, item.silent_ms / 1000)
                self._avoid(item.engine, computed_s + silent_s)
        self._shares_by_service[message.service] = _Shares(by_id, computed_s)

    def record_end(self, engine_id: str, outcome: SendOutcome) -> None:
        """Record how a request of this host ended."""
        now_s = self._clock.monotonic()
        match outcome:
            case SendOutcome.REFUSED:
                self._avoid(engine_id, now_s + REFUSED_S)
            case SendOutcome.FAILED:
                self._avoid(engine_id, now_s + FAILED_S)

    def remove(self, engine_id: str) -> None:
        """Discard what is known of a server that was removed."""
        self._avoid_until_s_by_id.pop(engine_id, None)

    def _avoid(self, engine_id: str, until_s: float) -> None:
        known_s = self._avoid_until_s_by_id.get(engine_id, until_s)
        self._avoid_until_s_by_id[engine_id] = max(known_s, until_s)

    def trust(self, service: str) -> float:
        """Return how often the shares of a service are followed, 0 to 1."""
        known = self._shares_by_service.get(service)
        if known is None:
            return 0.0
        age_s = self._clock.monotonic() - known.computed_s
        return min(1.0, max(0.0, (STALE_S - age_s) / (STALE_S - FRESH_S)))

    def pick(
        self,
        service: str,
        entries: Sequence[EngineEntry],
        open_requests: Callable[[str], int],
    ) -> EngineEntry | None:
        """Return one of the entries by its share, None without shares.

        A server that must not be used now is replaced by another one by the
        weights, which do not depend on the failure domain.

        If this host has requests open at the server, a second one is drawn,
        and the one with fewer open requests is returned: the first may have
        stopped answering.
        """
        if not entries:
            return None
        trust = self.trust(service)
        if trust <= 0 or (trust < 1 and self._trust_points.next() >= trust):
            return None
        known = self._shares_by_service[service].by_id
        usable_by_id = {entry.id: entry for entry in self._not_avoided(entries)}
        drawn = _draw(known.values(), lambda item: item.share, self._points.next())
        first = usable_by_id.get(drawn.engine) if drawn is not None else None
        if first is None:
            first = self._draw_other(known, usable_by_id)
        if first is None or not open_requests(first.id):
            return first
        del usable_by_id[first.id]
        second = self._draw_other(known, usable_by_id)
        if second is None:
            return first
        return min(first, second, key=lambda entry: open_requests(entry.id))

    def _draw_other(
        self,
        known: Mapping[str, ServerShare],
        usable_by_id: Mapping[str, EngineEntry],
    ) -> EngineEntry | None:
        """Draw one of the usable servers by weight."""
        items = [known[engine_id] for engine_id in usable_by_id if engine_id in known]
        drawn = _draw(items, lambda item: item.weight, self._other_points.next())
        return usable_by_id[drawn.engine] if drawn is not None else None

    def _not_avoided(self, entries: Sequence[EngineEntry]) -> Sequence[EngineEntry]:
        """Return the entries that are not avoided, or all if none is left."""
        now_s = self._clock.monotonic()
        avoid = self._avoid_until_s_by_id
        return [item for item in entries if avoid.get(item.id, now_s) <= now_s] or (
            entries
        )


def _draw(
    items: Collection[ServerShare], size: Callable[[ServerShare], int], point: float
) -> ServerShare | None:
    """Return the item at a point in [0, 1) of the sizes laid end to end."""
    left = point * sum(map(size, items))
    drawn = None
    for item in items:
        if size(item):
            drawn = item
            left -= size(item)
            if left < 0:
                break
    return drawn

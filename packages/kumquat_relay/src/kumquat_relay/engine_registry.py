"""The engines and backend servers that are known, by incarnation.

Load pattern: engines come, drain, crash and return at any time, addresses
are used again by other services, and the store that lists them may be away.

An entry with an older version than one already seen is ignored. While the
store is away entries may lapse although their engines live; removals that
arrive within ``RETURN_S`` after the store is reached again are held back for
that time, so that engines whose entries return were never given up.

An engine that has announced its leaving itself stays leaving, whatever the
store says of that incarnation later; only a new incarnation ends it.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum

from kumquat_core.settings import Address

__all__ = ["UNKNOWN_BORN_MS", "EngineEntry", "EngineRegistry", "EngineRole"]

# The platform restores entries of live engines within about two seconds.
RETURN_S = 2.0
# Entries state their start; a host may learn of an engine before its entry.
UNKNOWN_BORN_MS = 0
# Announcements kept, the oldest dropped first; engines that left mostly get a
# new id, and a release replaces some tens at a time.
MAX_ANNOUNCED = 4096


class EngineRole(Enum):
    """What a model engine does; other backend servers have no role."""

    PREFILL = "prefill"
    DECODE = "decode"


@dataclass(frozen=True)
class EngineEntry:
    """One incarnation of an engine or a backend server.

    ``born_ms`` is the start of the process in Unix milliseconds.
    """

    id: str
    service: str
    address: Address
    failure_domain: str
    places: int
    draining: bool
    role: EngineRole | None = None
    born_ms: int = 0


@dataclass
class _Known:
    entry: EngineEntry
    version: int
    remove_at_s: float | None = None


class EngineRegistry:
    """Entries by id; ``usable`` leaves out those that are leaving."""

    def __init__(self) -> None:
        self._known_by_id: dict[str, _Known] = {}
        self._removed_versions_by_id: dict[str, int] = {}
        self._leaving_born_ms_by_id: dict[str, int] = {}
        # Raised with each change of an entry.
        self.revision = 0
        self._returned_s = float("-inf")

    def store_returned(self, now_s: float) -> None:
        """Note that the store is reached again after it was away."""
        self._returned_s = now_s

    def put(self, entry: EngineEntry, version: int) -> bool:
        """Take over an entry; return false when a newer one is known."""
        known = self._known_by_id.get(entry.id)
        if known is not None and known.version >= version:
            return False
        if self._removed_versions_by_id.get(entry.id, -1) >= version:
            return False
        self.revision += 1
        self._known_by_id[entry.id] = _Known(self._as_announced(entry), version)
        return True

    def announce_leaving(self, engine_id: str, born_ms: int) -> bool:
        """Note that an incarnation said itself that it leaves.

        ``born_ms`` 0 means the incarnation that is known, or the first one to
        be listed. Returns whether this is news.
        """
        known = self._known_by_id.get(engine_id)
        if born_ms == UNKNOWN_BORN_MS and known is not None:
            born_ms = known.entry.born_ms
        if known is not None and born_ms < known.entry.born_ms:
            return False
        if self._leaving_born_ms_by_id.get(engine_id) == born_ms:
            return False
        while len(self._leaving_born_ms_by_id) >= MAX_ANNOUNCED:
            del self._leaving_born_ms_by_id[next(iter(self._leaving_born_ms_by_id))]
        self._leaving_born_ms_by_id[engine_id] = born_ms
        if known is not None:
            self.revision += 1
            known.entry = self._as_announced(known.entry)
        return True

    def _as_announced(self, entry: EngineEntry) -> EngineEntry:
        """Return an entry with what its engine has announced."""
        born_ms = self._leaving_born_ms_by_id.get(entry.id)
        if born_ms is None:
            return entry
        if born_ms == UNKNOWN_BORN_MS:
            born_ms = self._leaving_born_ms_by_id[entry.id] = entry.born_ms
        if born_ms < entry.born_ms:
            del self._leaving_born_ms_by_id[entry.id]
        return replace(entry, draining=entry.draining or born_ms == entry.born_ms)

    def remove(self, engine_id: str, version: int, now_s: float) -> bool:
        """Forget an entry, now or when the store has settled."""
        known = self._known_by_id.get(engine_id)
        if known is None or known.version > version:
            return False
        self._removed_versions_by_id[engine_id] = version
        if now_s < self._returned_s + RETURN_S:
            known.remove_at_s = self._returned_s + RETURN_S
            return False
        self._forget(engine_id)
        return True

    def retain(self, engine_ids: set[str], version: int, now_s: float) -> list[str]:
        """Remove all entries but these; return those removed at once."""
        gone = [key for key in self._known_by_id if key not in engine_ids]
        return [key for key in gone if self.remove(key, version, now_s)]

    def expire(self, now_s: float) -> list[str]:
        """Carry out the removals that were held back and are due."""
        due = [
            engine_id
            for engine_id, known in self._known_by_id.items()
            if known.remove_at_s is not None and known.remove_at_s <= now_s
        ]
        for engine_id in due:
            self._forget(engine_id)
        return due

    def _forget(self, engine_id: str) -> None:
        self.revision += 1
        del self._known_by_id[engine_id]

    def settling(self) -> bool:
        """Tell whether removals are held back."""
        return any(
            known.remove_at_s is not None for known in self._known_by_id.values()
        )

    def get(self, engine_id: str) -> EngineEntry | None:
        """Return an entry, also of a draining engine."""
        known = self._known_by_id.get(engine_id)
        return known.entry if known else None

    def was_removed(self, engine_id: str) -> bool:
        """Tell whether an entry was seen to be removed."""
        return engine_id in self._removed_versions_by_id

    def usable(
        self, service: str, role: EngineRole | None = None
    ) -> Iterator[EngineEntry]:
        """Yield the engines of a service and role that take new work."""
        for known in self._known_by_id.values():
            entry = known.entry
            if entry.service != service or entry.draining:
                continue
            if role is None or entry.role is role:
                yield entry

    def all_entries(self) -> list[EngineEntry]:
        """Return all entries that are known."""
        return [known.entry for known in self._known_by_id.values()]

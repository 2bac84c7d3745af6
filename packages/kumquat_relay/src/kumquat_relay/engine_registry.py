"""Keeps the known engines and backend servers with their incarnations.

Load pattern: engines start, drain, crash and restart at any time, addresses
are reused by other services, and the store that lists the engines may have an
outage.

An entry with an older version than one already seen is ignored. If the store
has come back from an older copy, an entry that its engine has not written
since changes nothing: it neither ends a shutdown nor brings back an engine
that was removed. During a store
outage, entries of running engines may expire. Removals that arrive within
``RECOVERY_GRACE_S`` after the store is reachable again are therefore deferred
until the end of that period, so that engines whose entries are restored remain
in use.

An engine that has announced itself that it is leaving remains so, whatever the
store reports about that incarnation later. Only a new incarnation ends this
state.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from enum import Enum

from kumquat_core.settings import Address

from .store_version import StoreVersion

__all__ = ["UNKNOWN_BORN_MS", "EngineEntry", "EngineRegistry", "EngineRole"]

# The platform restores the entries of running engines within about 2 s after a
# store outage.
RECOVERY_GRACE_S = 2.0
# Start time of an engine that a host has learned of before reading its entry.
UNKNOWN_BORN_MS = 0
# Number of leaving engines remembered; the oldest are dropped first. Engines
# mostly get a new id when they are replaced, so their records stay here, and a
# release replaces tens of engines at a time.
MAX_LEAVING_RECORDS = 4096


class EngineRole(Enum):
    """Stage that a model engine serves; other backend servers have no role."""

    PREFILL = "prefill"
    DECODE = "decode"


@dataclass(frozen=True)
class EngineEntry:
    """One incarnation of an engine or a backend server.

    ``born_ms`` is the start of the process in Unix milliseconds, and
    ``heartbeat`` rises with each write of the entry by its engine.
    """

    id: str
    service: str
    address: Address
    failure_domain: str
    slots: int
    draining: bool
    role: EngineRole | None = None
    born_ms: int = 0
    heartbeat: int = field(default=0, compare=False)

    @property
    def incarnation(self) -> str:
        """Return the id and the start, which no other process has."""
        return f"{self.id}/{self.born_ms}"


@dataclass
class _KnownEntry:
    """An entry with its version and the time of its deferred removal."""

    entry: EngineEntry
    version: StoreVersion
    remove_at_s: float | None = None


@dataclass
class _RemovedEntry:
    """The last entry of a removed engine, and the version of its removal.

    ``restored_heartbeat`` is that of an entry which is back in a later era,
    -1 without one.
    """

    entry: EngineEntry
    version: StoreVersion
    restored_heartbeat: int = -1

    def shows_life(self, entry: EngineEntry) -> bool:
        """Return whether the engine has written since the entry was back.

        A heartbeat alone does not change the version of an entry.
        """
        return entry.heartbeat > self.restored_heartbeat >= 0


class EngineRegistry:
    """Holds the newest entry of each engine and backend server.

    ``on_written`` is called with each entry that is new to this host, and
    ``on_address_taken`` with the address of each new incarnation.
    """

    def __init__(self) -> None:
        self._known_by_id: dict[str, _KnownEntry] = {}
        self._removed_by_id: dict[str, _RemovedEntry] = {}
        self._leaving_born_ms_by_id: dict[str, int] = {}
        # Incremented with each change of an entry.
        self.revision = 0
        self._reconnected_s = float("-inf")
        self.on_written: Callable[[EngineEntry], None] = lambda entry: None
        self.on_address_taken: Callable[[Address], None] = lambda address: None

    def store_reconnected(self, now_s: float) -> None:
        """Record that the store is reachable again after an outage."""
        self._reconnected_s = now_s

    def put(self, entry: EngineEntry, version: StoreVersion) -> bool:
        """Store an entry; return false if a newer or equal one is known."""
        known = self._known_by_id.get(entry.id)
        if known is not None and known.version >= version:
            return False
        removed = self._removed_by_id.get(entry.id)
        if removed is not None and (
            removed.version > version
            or (removed.version == version and not removed.shows_life(entry))
        ):
            return False
        if (
            known is not None
            and known.version.era != version.era
            and known.entry.draining
            and _is_same(entry, known.entry)
        ):
            # A shutdown does not end within an incarnation.
            self.announce_leaving(entry.id, entry.born_ms)
        if known is not None and _is_older_copy(entry, version, known):
            # Listed again, so it is not removed after the grace period.
            known.version, known.remove_at_s = version, None
            return False
        if known is None and removed and self._is_restored(entry, version, removed):
            return False
        self._removed_by_id.pop(entry.id, None)
        self.revision += 1
        self._known_by_id[entry.id] = _KnownEntry(
            self._with_announced_leaving(entry), version
        )
        if known is None or not _is_same(entry, known.entry):
            self.on_address_taken(entry.address)
        self.on_written(entry)
        return True

    def _is_restored(
        self, entry: EngineEntry, version: StoreVersion, removed: _RemovedEntry
    ) -> bool:
        """Return whether an entry of a removed engine is only an older copy.

        The first one in an era may be; a later heartbeat shows that the engine
        lives. Within an era the versions order all writes, so the start time
        that an entry states decides nothing there.
        """
        if not _is_same(entry, removed.entry):
            is_later_era = version.era != removed.version.era
            return is_later_era and entry.born_ms < removed.entry.born_ms
        if version.era == removed.version.era:
            is_restored = removed.restored_heartbeat >= 0
            if not is_restored or removed.shows_life(entry):
                return False
        else:
            removed.restored_heartbeat = entry.heartbeat
        removed.version = version
        return True

    def has_restored(self) -> bool:
        """Return whether entries of removed engines may be older copies."""
        return any(
            item.restored_heartbeat >= 0 for item in self._removed_by_id.values()
        )

    def announce_leaving(self, engine_id: str, born_ms: int) -> bool:
        """Record that an incarnation has announced itself that it is leaving.

        ``UNKNOWN_BORN_MS`` stands for the known incarnation, or the first one
        to be listed. Returns false if nothing changes.
        """
        known = self._known_by_id.get(engine_id)
        if born_ms == UNKNOWN_BORN_MS and known is not None:
            born_ms = known.entry.born_ms
        if known is not None and born_ms < known.entry.born_ms:
            return False
        if self._leaving_born_ms_by_id.get(engine_id) == born_ms:
            return False
        while len(self._leaving_born_ms_by_id) >= MAX_LEAVING_RECORDS:
            del self._leaving_born_ms_by_id[next(iter(self._leaving_born_ms_by_id))]
        self._leaving_born_ms_by_id[engine_id] = born_ms
        if known is not None:
            self.revision += 1
            known.entry = self._with_announced_leaving(known.entry)
        return True

    def _with_announced_leaving(self, entry: EngineEntry) -> EngineEntry:
        """Return an entry as draining if its engine has announced leaving.

        An announcement of an earlier incarnation is deleted.
        """
        born_ms = self._leaving_born_ms_by_id.get(entry.id)
        if born_ms is None:
            return entry
        if born_ms == UNKNOWN_BORN_MS:
            born_ms = self._leaving_born_ms_by_id[entry.id] = entry.born_ms
        if born_ms < entry.born_ms:
            del self._leaving_born_ms_by_id[entry.id]
        return replace(entry, draining=entry.draining or born_ms == entry.born_ms)

    def forget_impossible(self, newest: StoreVersion) -> None:
        """Forget versions that the store cannot have given out.

        ``newest`` is the version of an answer after all that they are of.
        Anything that the store has is newer than them then.
        """
        items: list[_KnownEntry | _RemovedEntry] = [*self._known_by_id.values()]
        items += self._removed_by_id.values()
        for item in items:
            if not item.version.is_possible(newest):
                item.version = StoreVersion(newest.era, 0)

    def remove(self, engine_id: str, version: StoreVersion, now_s: float) -> bool:
        """Remove an entry, or defer this while the store recovers.

        Returns whether the entry was removed at once.
        """
        known = self._known_by_id.get(engine_id)
        if known is None or known.version > version:
            return False
        self._removed_by_id[engine_id] = _RemovedEntry(known.entry, version)
        if now_s < self._reconnected_s + RECOVERY_GRACE_S:
            known.remove_at_s = self._reconnected_s + RECOVERY_GRACE_S
            return False
        self._delete(engine_id)
        return True

    def retain(
        self, engine_ids: set[str], version: StoreVersion, now_s: float
    ) -> list[str]:
        """Remove all entries except these; return the ids removed at once."""
        missing = [key for key in self._known_by_id if key not in engine_ids]
        return [key for key in missing if self.remove(key, version, now_s)]

    def expire(self, now_s: float) -> list[str]:
        """Carry out the deferred removals that are due; return their ids."""
        due = [
            engine_id
            for engine_id, known in self._known_by_id.items()
            if known.remove_at_s is not None and known.remove_at_s <= now_s
        ]
        for engine_id in due:
            self._delete(engine_id)
        return due

    def _delete(self, engine_id: str) -> None:
        self.revision += 1
        del self._known_by_id[engine_id]

    def has_deferred_removals(self) -> bool:
        """Tell whether any removal is deferred."""
        return any(
            known.remove_at_s is not None for known in self._known_by_id.values()
        )

    def get(self, engine_id: str) -> EngineEntry | None:
        """Return the entry of an engine, draining or not; None if unknown."""
        known = self._known_by_id.get(engine_id)
        return known.entry if known else None

    def was_removed(self, engine_id: str) -> bool:
        """Tell whether the store has reported the removal of an entry."""
        return engine_id in self._removed_by_id

    def usable(
        self, service: str, role: EngineRole | None = None
    ) -> Iterator[EngineEntry]:
        """Yield the engines of a service and role that are not draining."""
        for known in self._known_by_id.values():
            entry = known.entry
            if entry.service != service or entry.draining:
                continue
            if role is None or entry.role is role:
                yield entry

    def all_entries(self) -> list[EngineEntry]:
        """Return all known entries, including those of draining engines."""
        return [known.entry for known in self._known_by_id.values()]


def _is_same(entry: EngineEntry, other: EngineEntry) -> bool:
    """Return whether two entries are of one incarnation of an engine."""
    return entry.born_ms == other.born_ms


def _is_older_copy(
    entry: EngineEntry, version: StoreVersion, last: _KnownEntry
) -> bool:
    """Return whether an entry of a later era was written in an earlier one.

    The engine has not written it since the store came back from its copy.
    """
    if version.era == last.version.era or entry.born_ms > last.entry.born_ms:
        return False
    if entry.born_ms < last.entry.born_ms:
        return True
    has_heartbeats = entry.heartbeat > 0 or last.entry.heartbeat > 0
    return has_heartbeats and entry.heartbeat <= last.entry.heartbeat

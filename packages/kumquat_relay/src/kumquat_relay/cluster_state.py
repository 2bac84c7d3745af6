"""This host's copy of the state in the store.

It holds the configuration, the engines and the other hosts. Every change is
logged with its version. A configuration older than the current one is
ignored, whatever the store returns.
"""

import logging
from collections.abc import Callable

from kumquat_core.clock import Clock
from kumquat_core.log_events import log_event
from kumquat_core.settings import Address

from .engine_health import EngineHealth
from .engine_registry import EngineEntry, EngineRegistry
from .limit_history import LimitHistory
from .odd_entries import OddEntries
from .protocols import Change, Changes, HostEntry, StateKind
from .routes import EngineSpec, RouteTable
from .store_version import FIRST_ERA, NO_VERSION, StoreVersion, possible_versions

__all__ = ["DEFAULT_NOTICE_S", "ClusterState"]

# Polls for engines return within the time in which a host must detect an
# unresponsive connection; this allows for the delay of their response.
OUTDATED_MARGIN_S = 1.0
# Detection time where the settings do not set one.
DEFAULT_NOTICE_S = 3.0
# After the store has come back from a copy, hosts write their entries again
# within this time, and engines that live write a heartbeat.
HOSTS_GRACE_S = 4.0
ENGINES_RECHECK_S = 5.0
# Idle hosts report to an owner at least every 2 s.
OWNER_VERSION_TTL_S = 3.0

logger = logging.getLogger(__name__)


class ClusterState:
    """State of the store as this host last received it.

    The callbacks ``on_engines_changed`` and ``on_hosts_changed`` run after a
    change of the engines or hosts, ``on_host_unreadable`` after an entry of a
    host could not be read. ``on_engine_removed`` and
    ``on_engine_restarted`` receive the entry concerned, and
    ``on_newer_version`` runs when an owner has a newer configuration.
    ``on_era_changed`` runs when the store has come back from an older copy,
    ``on_engines_uncertain`` when the engines have to be read once more after
    that.
    """

    def __init__(
        self, clock: Clock, health: EngineHealth, notice_s: float = DEFAULT_NOTICE_S
    ) -> None:
        self._clock = clock
        self._outdated_s = notice_s + OUTDATED_MARGIN_S
        self._health = health
        self.routes: RouteTable | None = None
        self.limits = LimitHistory(clock)
        self.registry = EngineRegistry()
        self.odd_entries = OddEntries()
        self.hosts_by_id: dict[str, HostEntry] = {}
        self.on_engines_changed: Callable[[], None] = lambda: None
        self.on_engine_removed: Callable[[EngineEntry], None] = lambda entry: None
        self.on_engine_restarted: Callable[[EngineEntry], None] = lambda entry: None
        self.on_hosts_changed: Callable[[], None] = lambda: None
        self.on_host_unreadable: Callable[[str], None] = lambda host_id: None
        self.on_newer_version: Callable[[], None] = lambda: None
        self._owner_version = -1
        self._owner_version_at_s = float("-inf")
        self._host_versions_by_id: dict[str, StoreVersion] = {}
        self._left_incarnations_by_host: dict[str, int] = {}
        self._missing_host_ids: set[str] = set()
        self._hosts_due_s = float("inf")
        self._engines_recheck_s = float("inf")
        # The newest era of the store that this host has heard of, None before
        # the first answer.
        self.era: int | None = None
        self.on_era_changed: Callable[[], None] = lambda: None
        self.on_engines_uncertain: Callable[[], None] = lambda: None
        self._engines_current_at_s = clock.monotonic()
        self._loaded_kinds: set[StateKind] = set()

    @property
    def ready(self) -> bool:
        """Return whether configuration and engines have been loaded."""
        return self.routes is not None and StateKind.ENGINES in self._loaded_kinds

    def engine_spec(self, service: str) -> EngineSpec | None:
        """Return the engine parameters of a service, None for a plain one."""
        if self.routes is None:
            return None
        spec = self.routes.services_by_name.get(service)
        return spec.engine if spec is not None else None

    def owner_group(self, service: str) -> str:
        """Return the service whose owner keeps the limits and crashes of one.

        All hosts report to the owners of model services only, so a plain
        service belongs to the first of these, if there is one.
        """
        if self.routes is None or self.engine_spec(service) is not None:
            return service
        return min(self.routes.model_services, default=service)

    def max_connections(self) -> int:
        """Return the fewest connections that a service's engines accept.

        0 if none states a limit.
        """
        return self.routes.max_connections if self.routes is not None else 0

    @property
    def version(self) -> int:
        """Return the version of the configuration, or -1 without one."""
        return self.routes.version if self.routes is not None else -1

    def observe_era(self, era: int, source: str) -> bool:
        """Record the era of an answer; return whether it is not outdated.

        ``source`` is written to the log. An answer of an earlier era was on
        its way when the store came back from its copy.
        """
        if self.era is None or era == self.era:
            if self.era is None:
                log_event(logger, "store_era", source=source, era=era)
            self.era = era
            return True
        if era < self.era:
            log_event(
                logger, "store_answer_outdated", source=source, era=era, newer=self.era
            )
            return False
        log_event(
            logger,
            "store_era_changed",
            level=logging.WARNING,
            source=source,
            era=era,
            previous=self.era,
        )
        self.era = era
        now_s = self._clock.monotonic()
        self.registry.store_reconnected(now_s)
        self._hosts_due_s = now_s + HOSTS_GRACE_S
        self._engines_recheck_s = now_s + ENGINES_RECHECK_S
        self.on_era_changed()
        return True

    def later_era(self) -> int:
        """Return the newest era, 0 for a store never restored from a copy."""
        return self.era if self.era is not None and self.era > FIRST_ERA else 0

    def host_address(self, host_id: str) -> Address | None:
        """Return the address of a host for other hosts, None if unknown."""
        entry = self.hosts_by_id.get(host_id)
        return entry.address if entry is not None else None

    def strengths_by_host_id(self) -> dict[str, float]:
        """Return the strengths of the known hosts."""
        hosts = self.hosts_by_id
        return {host_id: entry.strength for host_id, entry in hosts.items()}

    def record_owner_version(self, version: int) -> None:
        """Record the configuration version that an owner reported."""
        self._owner_version_at_s = self._clock.monotonic()
        if version > self._owner_version:
            self._owner_version = version
            if self.is_behind():
                self.on_newer_version()

    def is_behind(self) -> bool:
        """Return whether an owner has a newer configuration than this host."""
        return self.version < self._owner_version

    def has_recent_owner_version(self) -> bool:
        """Return whether an owner reported its version recently."""
        return self._clock.monotonic() - self._owner_version_at_s <= OWNER_VERSION_TTL_S

    def mark_engines_current(self) -> None:
        """Record that the store has just confirmed the list of engines."""
        self._engines_current_at_s = self._clock.monotonic()

    def outdated(self) -> bool:
        """Return whether the list of engines may be out of date.

        After an outage it stays out of date until the deferred removals have
        been applied, since hosts without the outage have a better list.
        """
        age_s = self._clock.monotonic() - self._engines_current_at_s
        return age_s > self._outdated_s or self.registry.has_deferred_removals()

    def store_reconnected(self) -> None:
        """Start the recovery grace period after an outage of the store."""
        self.registry.store_reconnected(self._clock.monotonic())

    def apply_snapshot(self, kind: StateKind, snapshot: Changes) -> None:
        """Apply all objects of a kind and remove the others of that kind."""
        if kind is StateKind.ENGINES:
            self.registry.forget_impossible(snapshot.version)
        elif kind is StateKind.HOSTS:
            known = self._host_versions_by_id
            self._host_versions_by_id = possible_versions(known, snapshot.version)
        self.apply_changes(kind, snapshot)
        keys = {item.key for item in snapshot.items}
        if kind is StateKind.ENGINES:
            now_s = self._clock.monotonic()
            entries = {entry.id: entry for entry in self.registry.all_entries()}
            for engine_id in self.registry.retain(keys, snapshot.version, now_s):
                self._engine_removed(entries[engine_id], snapshot.version, "not listed")
            self.on_engines_changed()
        elif kind is StateKind.HOSTS:
            missing = set(self.hosts_by_id) - keys
            if self._clock.monotonic() < self._hosts_due_s < float("inf"):
                # They write their entries again.
                self._missing_host_ids = missing
                missing = set()
            for host_id in missing:
                self._remove_host(host_id, snapshot.version)
        self._loaded_kinds.add(kind)

    def apply_changes(self, kind: StateKind, changes: Changes) -> None:
        """Apply changed objects in their order."""
        for item in changes.items:
            try:
                self._apply(kind, item)
            except Exception as error:
                # An entry that cannot be applied must not keep the host from
                # following the others.
                self.odd_entries.record(kind, item, repr(error))
        if kind is StateKind.ENGINES and changes.items:
            self.on_engines_changed()

    def _apply(self, kind: StateKind, item: Change) -> None:
        """Apply one changed object."""
        if item.problem:
            self.odd_entries.record(kind, item, item.problem)
        else:
            self.odd_entries.forget(kind, item.key)
        match kind:
            case StateKind.CONFIGURATION:
                self._apply_routes(item)
            case StateKind.ENGINES:
                self._apply_engine(item)
            case StateKind.HOSTS:
                self._apply_host(item)

    def mark_engine_leaving(self, engine_id: str, born_ms: int, *, source: str) -> bool:
        """Mark an engine as shutting down; return whether that changed.

        ``source`` is written to the log: "answer" or "replaced" for a response
        to this host, otherwise the host that forwarded the notice.
        """
        if not self.registry.announce_leaving(engine_id, born_ms):
            return False
        log_event(
            logger,
            "engine_leaving",
            engine=engine_id,
            born_ms=born_ms or None,
            source=source,
        )
        self.on_engines_changed()
        return True

    def apply_deferred_removals(self) -> None:
        """Apply the removals deferred by the grace period that are now due."""
        now_s = self._clock.monotonic()
        if now_s >= self._hosts_due_s and self.era is not None:
            self._hosts_due_s = float("inf")
            for host_id in sorted(self._missing_host_ids):
                self._remove_host(host_id, StoreVersion(self.era, 0))
            self._missing_host_ids.clear()
        if now_s >= self._engines_recheck_s:
            self._engines_recheck_s = float("inf")
            if self.registry.has_restored():
                self.on_engines_uncertain()
        entries = {entry.id: entry for entry in self.registry.all_entries()}
        for engine_id in self.registry.expire(self._clock.monotonic()):
            self._engine_removed(entries[engine_id], None, "did not return")
            self.on_engines_changed()

    def _apply_routes(self, item: Change) -> None:
        table = item.value
        if not isinstance(table, RouteTable):
            return
        current = self.version
        if table.version <= current:
            if table.version < current:
                log_event(
                    logger,
                    "configuration_older",
                    version=table.version,
                    in_force=current,
                    store_version=item.version,
                )
            return
        self.routes = table
        self.limits.change(table.limits)
        log_event(
            logger,
            "configuration_in_force",
            version=table.version,
            previous=current,
            routes=len(table.routes),
        )
        self.on_engines_changed()

    def _apply_engine(self, item: Change) -> None:
        """Add, update or remove the engine that a change concerns."""
        previous = self.registry.get(item.key)
        if not isinstance(item.value, EngineEntry):
            # Only entries that lapsed with the store may return; one that is
            # odd names no engine to use.
            now_s = float("inf") if item.problem else self._clock.monotonic()
            removed = self.registry.remove(item.key, item.version, now_s)
            if removed and previous is not None:
                reason = "removed" if item.removed else "unreadable"
                self._engine_removed(previous, item.version, reason)
            return
        entry = item.value
        if not self.registry.put(entry, item.version):
            return
        entry = self.registry.get(entry.id) or entry
        restarted = previous is not None and previous.born_ms != entry.born_ms
        if restarted:
            self._health.remove(entry.id)
            self.on_engine_restarted(entry)
        if previous is None or restarted or previous != entry:
            log_event(
                logger,
                "engine_listed",
                engine=entry.id,
                service=entry.service,
                role=entry.role.value if entry.role else None,
                draining=entry.draining,
                born_ms=entry.born_ms,
                version=item.version,
            )

    def _engine_removed(
        self, entry: EngineEntry, version: StoreVersion | None, reason: str
    ) -> None:
        """Log the removal, clear its health state, and run the callback."""
        self._health.remove(entry.id)
        log_event(
            logger, "engine_gone", engine=entry.id, version=version, reason=reason
        )
        self.on_engine_removed(entry)

    def _apply_host(self, item: Change) -> None:
        """Add, update or remove a host unless a newer version is known."""
        last_version = self._host_versions_by_id.get(item.key, NO_VERSION)
        if last_version >= item.version:
            return
        if item.problem:
            # Another writer left it, which tells nothing about the host. The
            # host writes its entry again.
            if item.key in self.hosts_by_id:
                self._host_versions_by_id[item.key] = item.version
            self.on_host_unreadable(item.key)
            return
        if not isinstance(item.value, HostEntry):
            known = self.hosts_by_id.get(item.key)
            if known is not None and item.removed:
                self._left_incarnations_by_host[item.key] = known.incarnation
            self._remove_host(item.key, item.version)
            return
        if last_version.era != item.version.era and self._has_ended(item.value):
            # An older copy of an entry.
            self._host_versions_by_id[item.key] = item.version
            return
        self._left_incarnations_by_host.pop(item.key, None)
        self._missing_host_ids.discard(item.key)
        self._host_versions_by_id[item.key] = item.version
        self.hosts_by_id[item.key] = item.value
        log_event(
            logger,
            "host_listed",
            host=item.key,
            incarnation=item.value.incarnation,
            version=item.version,
        )
        self.on_hosts_changed()

    def _has_ended(self, entry: HostEntry) -> bool:
        """Return whether the process of a host entry has certainly ended."""
        known = self.hosts_by_id.get(entry.host_id)
        left = self._left_incarnations_by_host.get(entry.host_id, -1)
        return entry.incarnation <= left or (
            known is not None and entry.incarnation < known.incarnation
        )

    def _remove_host(self, host_id: str, version: StoreVersion) -> None:
        self._host_versions_by_id[host_id] = version
        if self.hosts_by_id.pop(host_id, None) is not None:
            log_event(logger, "host_gone", host=host_id, version=version)
            self.on_hosts_changed()

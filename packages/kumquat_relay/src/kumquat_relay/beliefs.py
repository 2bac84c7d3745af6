"""What this host believes: configuration, engines, and other hosts.

Every change is logged with its version. The configuration never goes back
to an older version, whatever the store answers.
"""

import logging
from collections.abc import Callable

from kumquat_core.clock import Clock
from kumquat_core.log_events import log_event

from .engine_health import EngineHealth
from .engine_registry import EngineEntry, EngineRegistry
from .protocols import Change, Changes, HostEntry, StateKind
from .routes import EngineSpec, RouteTable

__all__ = ["FIRST_NOTICE_S", "Beliefs"]

# Polls of the engines end within the time in which a host must notice that a
# connection fell silent; this is how much later their answer may come.
OUTDATED_MARGIN_S = 1.0
# Used where the settings do not state it.
FIRST_NOTICE_S = 3.0
# Hosts without work report to an owner each two seconds at least.
HINT_S = 3.0

logger = logging.getLogger(__name__)


class Beliefs:
    """State taken over from the store; ``on_engines`` is called on changes."""

    def __init__(
        self, clock: Clock, health: EngineHealth, notice_s: float = FIRST_NOTICE_S
    ) -> None:
        self._clock = clock
        self._outdated_s = notice_s + OUTDATED_MARGIN_S
        self._health = health
        self.routes: RouteTable | None = None
        self.registry = EngineRegistry()
        self.hosts_by_id: dict[str, HostEntry] = {}
        self.on_engines: Callable[[], None] = lambda: None
        self.on_engine_gone: Callable[[EngineEntry], None] = lambda entry: None
        self.on_engine_reborn: Callable[[EngineEntry], None] = lambda entry: None
        self.on_hosts: Callable[[], None] = lambda: None
        self.on_behind: Callable[[], None] = lambda: None
        self._peer_version = -1
        self._hinted_s = float("-inf")
        self._host_versions_by_id: dict[str, int] = {}
        self._engines_followed_s = clock.monotonic()
        self._complete: set[StateKind] = set()

    @property
    def ready(self) -> bool:
        """Tell whether configuration and engines are known."""
        return self.routes is not None and StateKind.ENGINES in self._complete

    def engine_spec(self, service: str) -> EngineSpec | None:
        """Return the engine figures of a service, None for a plain one."""
        if self.routes is None:
            return None
        spec = self.routes.services_by_name.get(service)
        return spec.engine if spec is not None else None

    @property
    def version(self) -> int:
        """Return the version of the configuration, -1 without one."""
        return self.routes.version if self.routes is not None else -1

    def peer_version(self, version: int) -> None:
        """Note the version of the configuration that an owner has."""
        self._hinted_s = self._clock.monotonic()
        if version > self._peer_version:
            self._peer_version = version
            if self.is_behind():
                self.on_behind()

    def is_behind(self) -> bool:
        """Tell whether an owner has a newer configuration than this host."""
        return self.version < self._peer_version

    def hinted(self) -> bool:
        """Tell whether an owner has lately told its version."""
        return self._clock.monotonic() - self._hinted_s <= HINT_S

    def engines_followed(self) -> None:
        """Note that the store has just told which engines there are."""
        self._engines_followed_s = self._clock.monotonic()

    def outdated(self) -> bool:
        """Tell whether the engines that are known may be old.

        That lasts until removals that were held back are carried out: hosts
        that followed the store all the time know better.
        """
        silent_s = self._clock.monotonic() - self._engines_followed_s
        return silent_s > self._outdated_s or self.registry.settling()

    def store_returned(self) -> None:
        """Note that the store is reached again."""
        self.registry.store_returned(self._clock.monotonic())

    def take_snapshot(self, kind: StateKind, snapshot: Changes) -> None:
        """Take over all objects of a kind; others of the kind are gone."""
        self.take_changes(kind, snapshot)
        keys = {item.key for item in snapshot.items}
        if kind is StateKind.ENGINES:
            now_s = self._clock.monotonic()
            entries = {entry.id: entry for entry in self.registry.all_entries()}
            for engine_id in self.registry.retain(keys, snapshot.version, now_s):
                self._engine_gone(entries[engine_id], snapshot.version, "not listed")
            self.on_engines()
        elif kind is StateKind.HOSTS:
            for host_id in set(self.hosts_by_id) - keys:
                self._remove_host(host_id, snapshot.version)
        self._complete.add(kind)

    def take_changes(self, kind: StateKind, changes: Changes) -> None:
        """Take over changed objects in their order."""
        for item in changes.items:
            if item.problem:
                log_event(
                    logger,
                    "entry_unreadable",
                    level=logging.WARNING,
                    kind=kind.value,
                    key=item.key,
                    version=item.version,
                    problem=item.problem,
                )
            match kind:
                case StateKind.CONFIGURATION:
                    self._take_routes(item)
                case StateKind.ENGINES:
                    self._take_engine(item)
                case StateKind.HOSTS:
                    self._take_host(item)
        if kind is StateKind.ENGINES and changes.items:
            self.on_engines()

    def engine_leaves(self, engine_id: str, born_ms: int, *, source: str) -> bool:
        """Note that an engine announced its leaving; return if it is news.

        ``source`` tells who heard it: an answer to this host or a peer.
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
        self.on_engines()
        return True

    def expire_engines(self) -> None:
        """Carry out removals that were held back while the store settled."""
        entries = {entry.id: entry for entry in self.registry.all_entries()}
        for engine_id in self.registry.expire(self._clock.monotonic()):
            self._engine_gone(entries[engine_id], 0, "did not return")
            self.on_engines()

    def _take_routes(self, item: Change) -> None:
        table = item.value
        if not isinstance(table, RouteTable):
            return
        current = self.version
        if table.version <= current:
            return
        self.routes = table
        log_event(
            logger,
            "configuration_in_force",
            version=table.version,
            previous=current,
            routes=len(table.routes),
        )
        self.on_engines()

    def _take_engine(self, item: Change) -> None:
        previous = self.registry.get(item.key)
        if not isinstance(item.value, EngineEntry):
            now_s = self._clock.monotonic()
            removed = self.registry.remove(item.key, item.version, now_s)
            if removed and previous is not None:
                reason = "removed" if item.removed else "unreadable"
                self._engine_gone(previous, item.version, reason)
            return
        entry = item.value
        if not self.registry.put(entry, item.version):
            return
        entry = self.registry.get(entry.id) or entry
        reborn = previous is not None and previous.born_ms != entry.born_ms
        if reborn:
            self._health.forget(entry.id)
            self.on_engine_reborn(entry)
        if previous is None or reborn or previous != entry:
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

    def _engine_gone(self, entry: EngineEntry, version: int, reason: str) -> None:
        self._health.forget(entry.id)
        log_event(
            logger, "engine_gone", engine=entry.id, version=version, reason=reason
        )
        self.on_engine_gone(entry)

    def _take_host(self, item: Change) -> None:
        if self._host_versions_by_id.get(item.key, -1) >= item.version:
            return
        if not isinstance(item.value, HostEntry):
            self._remove_host(item.key, item.version)
            return
        self._host_versions_by_id[item.key] = item.version
        self.hosts_by_id[item.key] = item.value
        log_event(
            logger,
            "host_listed",
            host=item.key,
            incarnation=item.value.incarnation,
            version=item.version,
        )
        self.on_hosts()

    def _remove_host(self, host_id: str, version: int) -> None:
        self._host_versions_by_id[host_id] = version
        if self.hosts_by_id.pop(host_id, None) is not None:
            log_event(logger, "host_gone", host=host_id, version=version)
            self.on_hosts()

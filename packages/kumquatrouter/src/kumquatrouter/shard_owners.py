"""The shards that this host owns, by rendezvous hash over the live hosts.

A newly owned shard is taken over in the background. A shard that this
host no longer owns is closed, so that its waiting requests go to the new
owner. When a process dies, its grants are freed in the ledgers and at the
engines.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Collection, Mapping
from dataclasses import dataclass, replace

from kumquat_core.clock import Clock
from kumquat_core.configuration import Configuration, Engine, ServerState
from kumquat_core.engine_client import EngineClient, EngineCommand, EngineReport
from kumquat_core.log_events import log_event
from kumquat_core.membership import ChangeKind, Membership, MembershipChange
from kumquat_core.peer_messages import (
    AdmissionRequest,
    Grant,
    GrantsHeld,
    GrantsQuery,
    Progress,
    Refusal,
    ShardSummary,
)
from kumquat_core.rendezvous import Shard, owner_of, shards_of
from kumquat_core.result_codes import RouterError
from kumquat_core.shard_scheduler import ShardScheduler

from .background import BackgroundTasks
from .engine_orders import EngineCommandSender
from .owned_shard import OwnedShard, not_owner_refusal
from .request_observer import RequestObserver
from .shard_sweep import SweepCallbacks

__all__ = ["CreateScheduler", "OwnedShards"]

# A starting host knows no other host. It owns no shard until it has probed all
# listed hosts of its region, or until this time after its start.
MAX_INITIAL_PROBE_WAIT_S = 3.0

# A model takes seconds to load, and the engine reports it only when loaded, so
# that a command must not be repeated with every report.
COMMAND_INTERVAL_S = 5.0

# Used until the configuration has a request class with a deadline.
DEFAULT_DEADLINE_MS = 300_000

logger = logging.getLogger(__name__)

QueryHost = Callable[[str, GrantsQuery], Awaitable[GrantsHeld | None]]

CreateScheduler = Callable[[str, Clock], ShardScheduler]


def _create_scheduler(shard_id: str, clock: Clock) -> ShardScheduler:
    return ShardScheduler(shard_id, clock)


@dataclass(frozen=True)
class _OwnershipInputs:
    """The values from which the ownership of shards is computed.

    The configuration and the states are replaced, never changed in place,
    so that comparing their identity is enough. They are compared ten times
    a second; dividing all pools into shards each time would take several
    percent of a core at the target size.
    """

    configuration: Configuration
    candidates: Collection[str]
    server_states: Mapping[str, ServerState]

    def matches(self, other: "_OwnershipInputs | None") -> bool:
        """Return whether ownership is certainly the same as for ``other``."""
        return (
            other is not None
            and self.configuration is other.configuration
            and self.server_states is other.server_states
            and self.candidates == other.candidates
        )


class OwnedShards:
    """Creates, updates and closes the shards that this host owns.

    ``query_host`` queries a host, this one included, for the grants it
    holds. ``server_states`` returns the states of engines and backend
    servers by id, as the host list gives them.
    """

    def __init__(
        self,
        host_id: str,
        region: str,
        clock: Clock,
        engine_client: EngineClient,
        membership: Membership,
        background: BackgroundTasks,
        query_host: QueryHost,
        server_states: Callable[[], Mapping[str, ServerState]],
        observer: RequestObserver | None = None,
        create_scheduler: CreateScheduler | None = None,
        command_sender: EngineCommandSender | None = None,
    ) -> None:
        self._command_sender = command_sender
        self._command_sent_s_by_engine_id: dict[str, float] = {}
        self._create_scheduler = create_scheduler or _create_scheduler
        self._observer = observer or RequestObserver.from_clock(clock)
        self._host_id = host_id
        self._region = region
        self._clock = clock
        self._engine_client = engine_client
        self._membership = membership
        self._background = background
        self._server_states = server_states
        self._started_s = clock.monotonic()
        self._configuration = Configuration()
        self._shards_by_id: dict[str, OwnedShard] = {}
        self._inputs: _OwnershipInputs | None = None
        self._next_engine_index = 0
        self._callbacks = SweepCallbacks(
            membership.liveness, query_host, self._cancel, self._may_cancel
        )
        membership.subscribe(self._on_member_change)

    def shard_ids(self) -> list[str]:
        """Return the ids of the shards that this host currently owns."""
        return sorted(self._shards_by_id)

    def summaries(self) -> list[ShardSummary]:
        """Return the load summary of each owned shard."""
        shards = self._shards_by_id
        return [shards[shard_id].scheduler.summary() for shard_id in self.shard_ids()]

    def held_pieces_by_engine(self) -> dict[str, int]:
        """Return the pieces granted at each engine of the owned shards.

        Pieces, the allocation units of an engine's KV cache, are granted at
        decode engines only.
        """
        pieces_by_engine_id: dict[str, int] = {}
        for shard in self._shards_by_id.values():
            pieces_by_engine_id |= dict.fromkeys(shard.scheduler.engine_ids, 0)
            for grant in shard.scheduler.held_grants():
                pieces_by_engine_id[grant.decode_engine] += grant.pieces
        return pieces_by_engine_id

    def update(self, configuration: Configuration) -> None:
        """Update the owned shards for a configuration and the live hosts."""
        self._configuration = configuration
        if not self._may_own_shards():
            return
        candidates = self._membership.owner_candidates()
        inputs = _OwnershipInputs(configuration, candidates, self._server_states())
        if inputs.matches(self._inputs):
            return
        self._inputs = inputs
        owned: dict[str, OwnedShard] = {}
        for pool in configuration.pools_by_name.values():
            if pool.region != self._region:
                continue
            shards = shards_of(pool.name, configuration.engines_of(pool.name))
            for shard in shards:
                if owner_of(shard.id, candidates) == self._host_id:
                    owned[shard.id] = self._ensure_owned(shard, len(shards))
        for shard_id, lost in self._shards_by_id.items():
            if shard_id not in owned:
                lost.close()
                if self._command_sender is not None:
                    self._command_sender.remove_fence(shard_id)
        self._shards_by_id = owned

    async def admit(self, request: AdmissionRequest) -> Grant | Refusal:
        """Wait for a grant from the shard of a request."""
        shard = self._shards_by_id.get(request.shard_id)
        if shard is None:
            return not_owner_refusal(request)
        result = await shard.admit(request)
        self._observer.record_owner_decision(request, result)
        return result

    def handle(self, message: Progress) -> None:
        """Apply a message about a request admitted earlier."""
        shard = self._shards_by_id.get(message.shard_id)
        if shard is not None:
            shard.handle(message)

    async def poll_reports(self, limit: int | None = None) -> None:
        """Reconcile the ledgers with reports of the owned shards' engines.

        Reads at most ``limit`` engines and continues with the others at the
        next call, so that the cost does not grow with their number.
        """
        self._observer.metrics.add_sweeps(len(self._shards_by_id))
        selected = self._next_engines(limit)
        await asyncio.gather(
            *(self._shards_by_id[shard_id].poll(ids) for shard_id, ids in selected)
        )

    def _next_engines(self, limit: int | None) -> list[tuple[str, set[str]]]:
        """Return the engines to read next, grouped by shard."""
        engines = [
            (shard_id, engine_id)
            for shard_id in self.shard_ids()
            for engine_id in self._shards_by_id[shard_id].engine_ids
        ]
        count = len(engines) if limit is None else min(limit, len(engines))
        start = self._next_engine_index
        self._next_engine_index = (start + count) % max(1, len(engines))
        ids_by_shard: dict[str, set[str]] = {}
        for offset in range(count):
            shard_id, engine_id = engines[(start + offset) % len(engines)]
            ids_by_shard.setdefault(shard_id, set()).add(engine_id)
        return list(ids_by_shard.items())

    def _ensure_owned(self, shard: Shard, shard_count: int) -> OwnedShard:
        """Return an updated owned shard; starts the takeover of a new one."""
        engines = [self._current_engine(engine_id) for engine_id in shard.engine_ids]
        owned = self._shards_by_id.get(shard.id)
        is_new = owned is None
        if owned is None:
            scheduler = self._create_scheduler(shard.id, self._clock)
            owned = OwnedShard(
                shard.id,
                scheduler,
                self._clock,
                self._engine_client,
                self._callbacks,
                self._on_report,
            )
        owned.scheduler.update_configuration(self._configuration, shard_count)
        owned.update_engines(engines)
        if is_new:
            take_over = owned.take_over(self._membership.live_host_ids)
            self._background.spawn(take_over, "take_over_shard")
        return owned

    def _current_engine(self, engine_id: str) -> Engine:
        """Return an engine in its current state.

        The host list may report before the configuration that it is leaving.
        """
        engine = self._configuration.engines_by_id[engine_id]
        if self._server_states().get(engine_id) is ServerState.LEAVING:
            return replace(engine, state=ServerState.LEAVING)
        return engine

    def _on_report(self, shard_id: str, engine: Engine, report: EngineReport) -> None:
        """Send a command if an engine differs from its configuration.

        At most one command per ``COMMAND_INTERVAL_S`` is sent to an engine.
        """
        command = self._required_command(engine, report)
        if command is None or self._command_sender is None:
            return
        now_s = self._clock.monotonic()
        last_s = self._command_sent_s_by_engine_id.get(engine.id)
        if last_s is not None and now_s - last_s < COMMAND_INTERVAL_S:
            return
        self._command_sent_s_by_engine_id[engine.id] = now_s
        self._background.spawn(
            self._send_command(shard_id, engine, command), "engine_order"
        )

    def _required_command(
        self, engine: Engine, report: EngineReport
    ) -> EngineCommand | None:
        """Return the command for the first difference, or None.

        The role is changed before missing models are loaded.
        """
        if report.role is not engine.role:
            return EngineCommand(0, "set_role", role=engine.role.value)
        for name in engine.models:
            model = self._configuration.models_by_name.get(name)
            if model is not None and name not in report.models:
                return EngineCommand(0, "load_model", name, model.version)
        return None

    async def _send_command(
        self, shard_id: str, engine: Engine, command: EngineCommand
    ) -> None:
        """Send a command if the shard is still owned; logs a failure."""
        if self._command_sender is None or shard_id not in self._shards_by_id:
            return
        try:
            await self._command_sender.send(shard_id, engine, command)
        except RouterError as error:
            log_event(
                logger,
                "engine_order_failed",
                level=logging.WARNING,
                engine=engine.id,
                kind=command.kind,
                code=error.code.value,
                detail=error.detail,
            )

    def _may_own_shards(self) -> bool:
        """Return whether the initial probes are done or took too long."""
        waited_s = self._clock.monotonic() - self._started_s
        return (
            self._membership.initial_probes_done or waited_s >= MAX_INITIAL_PROBE_WAIT_S
        )

    def _on_member_change(self, change: MembershipChange) -> None:
        """Free the grants of a process that was declared dead."""
        if change.kind is not ChangeKind.DIED:
            return
        for shard in self._shards_by_id.values():
            removal = shard.remove_process(change.host_id, change.incarnation)
            self._background.spawn(removal, "drop_process")

    def _may_cancel(self, age_ms: int) -> bool:
        """Return whether a dead process's request of this age may be freed.

        Without a majority, the other hosts may be alive on the other side
        of a network partition. Their requests are then freed only once they
        are older than the longest deadline.
        """
        if self._membership.sees_majority:
            return True
        classes = self._configuration.classes_by_name.values()
        deadlines = [item.deadline_ms for item in classes]
        return age_ms > max(deadlines, default=DEFAULT_DEADLINE_MS)

    async def _cancel(self, engine_id: str, request_id: str) -> None:
        """Free a request at an engine; the next sweep retries a failure."""
        engine = self._configuration.engines_by_id.get(engine_id)
        if engine is None:
            return
        self._observer.metrics.add_swept_request()
        try:
            await self._engine_client.cancel(engine.url, request_id)
        except RouterError:
            return

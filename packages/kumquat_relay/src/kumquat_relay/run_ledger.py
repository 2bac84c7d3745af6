"""What the engines of a service hold, as the owner of its queue knows it.

Load pattern: releases are lost, hosts die with their runs, and a new owner
begins while the engines are full. Every host reports the runs it holds; the
ledger adopts what it did not know and drops what nobody reports any more.

Hundreds of hosts report on hundreds of engines, so runs are found by request
and by host, and engines are listed anew only when the registry has changed.
"""

from collections.abc import Iterable

from kumquat_core.peer_messages import HeldRun, RunRequest

from .engine_health import EngineHealth
from .engine_load import EngineLoad, PrefillJob, Run
from .engine_registry import EngineRegistry, EngineRole
from .output_estimate import OutputEstimate
from .queue_types import QueueTerms
from .routes import EngineSpec
from .service_pace import ServicePace

__all__ = ["RunLedger"]

# The expected ends of runs are listed anew when one in this many has changed,
# or after this time in seconds, a hundredth of the time of a usual run.
ENDS_PART = 32
ENDS_S = 0.05


class RunLedger:
    """Loads of the engines of one service by engine id."""

    def __init__(
        self,
        service: str,
        registry: EngineRegistry,
        health: EngineHealth,
        terms: QueueTerms,
    ) -> None:
        self.service = service
        self._registry = registry
        self._health = health
        self._terms = terms
        self._loads_by_id: dict[str, EngineLoad] = {}
        self._loads_by_role: dict[EngineRole, list[EngineLoad]] = {}
        self._listed: tuple[int, EngineSpec] | None = None
        # Where requests hold a place, and where their prompts are read.
        self._decoders_by_request: dict[str, EngineLoad] = {}
        self._readers_by_request: dict[str, EngineLoad] = {}
        self._requests_by_host: dict[str, set[str]] = {}
        # Ends of the runs as expected a moment ago; see ``_ends_s``.
        self._ends: list[float] = []
        self._ends_at_s = float("-inf")
        self._ends_changes = 0
        self._changes = 0
        self.estimate = OutputEstimate(learns=terms.rules.output_estimate)
        self.pace = ServicePace()

    def refresh(self, spec: EngineSpec) -> None:
        """Take over the engines that are known now."""
        if self._listed == (self._registry.revision, spec):
            return
        self._listed = (self._registry.revision, spec)
        known_ids = set()
        self._loads_by_role = {role: [] for role in EngineRole}
        for entry in self._registry.all_entries():
            if entry.service != self.service:
                continue
            known_ids.add(entry.id)
            load = self._loads_by_id.get(entry.id)
            if load is None or load.entry.born_ms != entry.born_ms:
                self._forget_runs(load)
                load = EngineLoad(entry, spec, self.pace, self._terms.rules)
                self._loads_by_id[entry.id] = load
            else:
                load.update(entry, spec)
            if entry.role is not None and not entry.draining:
                self._loads_by_role[entry.role].append(load)
        for engine_id in set(self._loads_by_id) - known_ids:
            self._forget_runs(self._loads_by_id.pop(engine_id))

    def _forget_runs(self, load: EngineLoad | None) -> None:
        """Forget what an engine held that is gone or has started anew."""
        if load is None:
            return
        for request_id in list(load.runs_by_id):
            self._drop(request_id)
        for request_id in list(load.jobs_by_id):
            self._readers_by_request.pop(request_id, None)

    def grant(
        self,
        request: RunRequest,
        host_id: str,
        decode: EngineLoad,
        reader: EngineLoad | None,
        now_s: float,
        stated_tokens: int,
    ) -> None:
        """Note that a request holds a place, and who reads its prompt.

        ``stated_tokens`` is the caller's own estimate of the answer.
        """
        # A host that lost the answer to an earlier request asks again.
        self._drop(request.request_id)
        run = Run(
            request.request_id,
            host_id,
            request.prompt_tokens,
            request.expected_tokens,
            now_s,
            confirmed_s=now_s,
            stated_tokens=stated_tokens,
        )
        self._hold(decode, run)
        if reader is None:
            decode.begin_own_read(request.request_id, request.prompt_tokens, now_s)
            return
        reader.jobs_by_id[request.request_id] = PrefillJob(
            request.request_id, request.prompt_tokens, now_s
        )
        self._readers_by_request[request.request_id] = reader

    def prefilled(self, request_id: str, read_ms: float, now_s: float) -> None:
        """Note that the prompt of a granted request was read in ``read_ms``.

        0 means that a prefill engine failed to read it, a negative time that
        it was not asked.
        """
        decoder = self._decoders_by_request.get(request_id)
        if decoder is not None:
            decoder.end_own_read(request_id, read_ms, now_s)
        reader = self._readers_by_request.pop(request_id, None)
        if reader is None:
            return
        job = reader.jobs_by_id.pop(request_id)
        if read_ms > 0:
            ahead = [
                other
                for other in reader.jobs_by_id.values()
                if other.granted_s <= job.granted_s
            ]
            behind_ms = sum(o.tokens for o in ahead) / reader.read_tokens_per_ms
            reader.observe_read(job.tokens, read_ms, behind_ms)

    def ended(
        self, request_id: str, gap_ms: float, now_s: float, made_tokens: int = 0
    ) -> None:
        """Free what a request holds; learn from it.

        ``made_tokens`` is the length of a complete answer, else 0.
        """
        load = self._decoders_by_request.get(request_id)
        run = self._drop(request_id, now_s)
        if load is None or run is None:
            return
        if gap_ms > 0:
            load.observe_gap(gap_ms)
            load.accepted()
            self.pace.place_s.observe(now_s - run.granted_s)
        if run.stated_tokens > 0 and made_tokens > 0:
            self.estimate.observe_answer(run.stated_tokens, made_tokens)

    def engine_full(self, engine_id: str, now_s: float) -> None:
        """Note that an engine refused a granted run for lack of room."""
        load = self._loads_by_id.get(engine_id)
        if load is not None:
            self._ends_at_s = float("-inf")
            load.refused(now_s, self._terms.full_pause_s)

    def stalled(self, engine_id: str, now_s: float) -> None:
        """Prefer other engines to one whose runs make no progress."""
        load = self._loads_by_id.get(engine_id)
        if load is not None:
            load.stalled_until_s = now_s + self._terms.stall_s

    def note_outcome(
        self, engine_id: str, request_id: str, failed: bool, now_s: float
    ) -> None:
        """Note how the work of an engine for a granted request ended."""
        load = self._loads_by_id.get(engine_id)
        decoder = self._decoders_by_request.get(request_id)
        run = decoder.runs_by_id.get(request_id) if decoder is not None else None
        if load is not None and run is not None:
            load.failures.observe(failed, run.host_id, now_s)

    def set_changing(self, engine_id: str, away_s: float, now_s: float) -> float:
        """Grant nothing at an engine until its entry shows its new role.

        The change takes ``away_s`` after the engine's runs have ended. Returns
        when it is expected to be over.
        """
        load = self._loads_by_id.get(engine_id)
        if load is None:
            return now_s + away_s
        ends_s = [load.remaining_s(run, now_s) for run in load.runs_by_id.values()]
        load.changing = True
        load.changing_until_s = now_s + max(ends_s, default=0.0) + away_s
        return load.changing_until_s

    def end_changes(self, now_s: float) -> list[str]:
        """Grant again at engines that should have changed their role.

        An entry with the new role ends a change earlier. One that still has
        runs is busy with them, so its change is expected later.
        """
        ended = []
        for engine_id, load in self._loads_by_id.items():
            if not load.changing or now_s < load.changing_until_s:
                continue
            if load.runs_by_id:
                load.changing_until_s = now_s + self._terms.unconfirmed_s
                continue
            load.changing = False
            ended.append(engine_id)
        return ended

    def confirm(self, host_id: str, runs: Iterable[HeldRun], now_s: float) -> int:
        """Take over a host's report of the runs it holds.

        Unknown runs are adopted, missing ones dropped once they are older
        than a report can be. Returns how many were adopted or dropped.
        """
        held_by_id = {run.request_id: run for run in runs}
        changed = 0
        for request_id in list(self._requests_by_host.get(host_id, ())):
            load = self._decoders_by_request[request_id]
            run = load.runs_by_id[request_id]
            held = held_by_id.get(request_id)
            if held is not None and held.decode_engine == load.entry.id:
                run.confirmed_s = now_s
                load.note_progress(run, held.made_tokens, held.gap_ms)
                load.note_pause(run, held.longest_gap_ms / 1000, now_s)
                del held_by_id[request_id]
            elif self._is_stale(run, now_s):
                self._drop(request_id, now_s)
                changed += 1
        for held in held_by_id.values():
            changed += self._adopt(held, host_id, now_s)
        return changed

    def drop_unconfirmed(self, now_s: float) -> int:
        """Drop the runs of hosts that report no longer; return the number."""
        stale = [
            run.request_id
            for load in self._loads_by_id.values()
            for run in load.runs_by_id.values()
            if self._is_stale(run, now_s)
        ]
        for request_id in stale:
            self._drop(request_id, now_s)
        return len(stale)

    def reader_of(self, request_id: str) -> str:
        """Return the prefill engine that reads for a request, or nothing."""
        load = self._readers_by_request.get(request_id)
        return load.entry.id if load is not None else ""

    def engine_of(self, request_id: str) -> str:
        """Return the decode engine that a request holds, or nothing."""
        load = self._decoders_by_request.get(request_id)
        return load.entry.id if load is not None else ""

    def runs_by_engine(self) -> dict[str, int]:
        """Return the number of runs at each engine."""
        return {
            engine_id: len(load.runs_by_id) + len(load.jobs_by_id)
            for engine_id, load in self._loads_by_id.items()
        }

    def free_places(self) -> int:
        """Return the free places of all usable decode engines."""
        return sum(max(0, load.free_places()) for load in self.decode_loads())

    def all_places(self) -> int:
        """Return the places of all usable decode engines."""
        return sum(load.places for load in self.decode_loads())

    def decode_loads(self) -> list[EngineLoad]:
        """Return the decode engines that may be used."""
        return self._loads(EngineRole.DECODE)

    def readers(self) -> list[EngineLoad]:
        """Return the prefill engines that may be used."""
        return self._loads(EngineRole.PREFILL)

    def read_s(self, prompt_tokens: int) -> float:
        """Return the time in which an idle engine reads a prompt."""
        readers = self.readers()
        if readers:
            return min(
                prompt_tokens / load.read_tokens_per_ms / 1000 for load in readers
            )
        loads = self.decode_loads()
        return min((load.own_read_s(prompt_tokens) for load in loads), default=0.0)

    def nth_free_s(self, ahead: int, now_s: float) -> float:
        """Return the time until place number ``ahead`` + 1 becomes free."""
        ends = self._ends_s(now_s)
        if not ends:
            return 0.0
        rounds, index = divmod(ahead, len(ends))
        mean_s = 2 * (sum(ends) / len(ends) - now_s) if rounds else 0.0
        return max(0.0, ends[index] - now_s) + rounds * mean_s

    def _ends_s(self, now_s: float) -> list[float]:
        """Return when the runs are expected to end, in order.

        The list serves until a part of the runs have changed or a time has
        passed in which few of them end.
        """
        changes = self._changes - self._ends_changes
        if changes * ENDS_PART > len(self._ends) or now_s > self._ends_at_s + ENDS_S:
            self._ends = sorted(
                max(now_s + load.remaining_s(run, now_s), load.blocked_until_s)
                for load in self.decode_loads()
                for run in load.runs_by_id.values()
            )
            self._ends_changes, self._ends_at_s = self._changes, now_s
        return self._ends

    def role_change_wait_s(self, now_s: float) -> float:
        """Return when the first engine that changes its role is back."""
        ends = [load.changing_until_s for load in self._loads_by_id.values()]
        return min((end - now_s for end in ends if end > now_s), default=0.0)

    def _loads(self, role: EngineRole) -> list[EngineLoad]:
        if self._listed is not None:
            self.refresh(self._listed[1])
        loads = [
            load for load in self._loads_by_role.get(role, ()) if not load.changing
        ]
        if not self._health.any_trouble:
            return loads
        reachable = self._health.reachable(load.entry for load in loads)
        return [self._loads_by_id[entry.id] for entry in reachable]

    def _is_stale(self, run: Run, now_s: float) -> bool:
        return now_s - run.confirmed_s > self._terms.unconfirmed_s

    def _hold(self, load: EngineLoad, run: Run) -> None:
        load.add_run(run)
        self._changes += 1
        self._decoders_by_request[run.request_id] = load
        self._requests_by_host.setdefault(run.host_id, set()).add(run.request_id)

    def _drop(self, request_id: str, now_s: float | None = None) -> Run | None:
        """Free what a request holds; return its run.

        Without ``now_s`` the request itself goes on.
        """
        reader = self._readers_by_request.pop(request_id, None)
        if reader is not None:
            reader.jobs_by_id.pop(request_id, None)
        load = self._decoders_by_request.pop(request_id, None)
        if load is None:
            return None
        if now_s is not None:
            load.end_own_read(request_id, 0.0, now_s)
        run = load.remove_run(request_id)
        self._changes += 1
        if run is not None:
            held_ids = self._requests_by_host[run.host_id]
            held_ids.discard(request_id)
            if not held_ids:
                del self._requests_by_host[run.host_id]
        return run

    def _adopt(self, held: HeldRun, host_id: str, now_s: float) -> int:
        load = self._loads_by_id.get(held.decode_engine)
        if load is None:
            return 0
        self._drop(held.request_id)
        granted_s = now_s - held.age_ms / 1000
        run = Run(
            held.request_id,
            host_id,
            held.prompt_tokens,
            self.estimate.tokens(held.expected_tokens),
            granted_s,
            confirmed_s=now_s,
            stated_tokens=held.expected_tokens,
        )
        self._hold(load, run)
        load.note_progress(run, held.made_tokens, held.gap_ms)
        return 1

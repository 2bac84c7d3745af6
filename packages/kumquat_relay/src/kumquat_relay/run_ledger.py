"""What the engines of a service hold, as the owner of its queue knows it.

Load pattern: releases are lost, hosts die with their runs, and a new owner
begins while the engines are full. Every host reports the runs it holds; the
ledger adopts what it did not know and drops what nobody reports any more.
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
        self.estimate = OutputEstimate()
        self.pace = ServicePace()

    def refresh(self, spec: EngineSpec) -> None:
        """Take over the engines that are known now."""
        for entry in self._registry.all_entries():
            if entry.service != self.service:
                continue
            load = self._loads_by_id.get(entry.id)
            if load is None or load.entry.born_ms != entry.born_ms:
                self._loads_by_id[entry.id] = EngineLoad(entry, spec, self.pace)
            else:
                load.update(entry, spec)
        for engine_id in list(self._loads_by_id):
            if self._registry.get(engine_id) is None:
                del self._loads_by_id[engine_id]

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
        for load in self._loads_by_id.values():
            self._drop(load, request.request_id)
        run = Run(
            request.request_id,
            host_id,
            request.prompt_tokens,
            request.expected_tokens,
            now_s,
            confirmed_s=now_s,
            stated_tokens=stated_tokens,
        )
        decode.add_run(run)
        if reader is None:
            decode.begin_own_read(request.request_id, request.prompt_tokens, now_s)
            return
        reader.jobs_by_id[request.request_id] = PrefillJob(
            request.request_id, request.prompt_tokens, now_s
        )

    def prefilled(self, request_id: str, read_ms: float, now_s: float) -> None:
        """Note that the prompt of a granted request was read in ``read_ms``.

        0 means that a prefill engine failed to read it.
        """
        for load in self._loads_by_id.values():
            load.end_own_read(request_id, read_ms, now_s)
            job = load.jobs_by_id.pop(request_id, None)
            if job is None:
                continue
            if read_ms > 0:
                ahead = [
                    other
                    for other in load.jobs_by_id.values()
                    if other.granted_s <= job.granted_s
                ]
                behind_ms = sum(o.tokens for o in ahead) / load.read_tokens_per_ms
                load.observe_read(job.tokens, read_ms, behind_ms)

    def ended(
        self, request_id: str, gap_ms: float, now_s: float, made_tokens: int = 0
    ) -> None:
        """Free what a request holds; learn from it.

        ``made_tokens`` is the length of a complete answer, else 0.
        """
        for load in self._loads_by_id.values():
            load.end_own_read(request_id, 0.0, now_s)
            load.jobs_by_id.pop(request_id, None)
            run = load.remove_run(request_id)
            if run is not None and gap_ms > 0:
                load.observe_gap(gap_ms)
                load.accepted()
                self.pace.place_s.observe(now_s - run.granted_s)
            if run is not None and run.stated_tokens > 0 and made_tokens > 0:
                self.estimate.observe_answer(run.stated_tokens, made_tokens)

    def engine_full(self, engine_id: str, now_s: float) -> None:
        """Note that an engine refused a granted run for lack of room."""
        load = self._loads_by_id.get(engine_id)
        if load is not None:
            load.refused(now_s, self._terms.full_pause_s)

    def stalled(self, engine_id: str, now_s: float) -> None:
        """Prefer other engines to one whose runs make no progress."""
        load = self._loads_by_id.get(engine_id)
        if load is not None:
            load.stalled_until_s = now_s + self._terms.stall_s

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
        for load in self._loads_by_id.values():
            for run in list(load.runs_by_id.values()):
                held = held_by_id.get(run.request_id)
                if held is not None and held.decode_engine == load.entry.id:
                    run.confirmed_s = now_s
                    load.note_progress(run, held.made_tokens, held.gap_ms)
                    load.note_pause(run, held.longest_gap_ms / 1000, now_s)
                    del held_by_id[run.request_id]
                elif run.host_id == host_id and self._is_stale(run, now_s):
                    self._drop(load, run.request_id)
                    changed += 1
        for held in held_by_id.values():
            changed += self._adopt(held, host_id, now_s)
        return changed

    def drop_unconfirmed(self, now_s: float) -> int:
        """Drop the runs of hosts that report no longer; return the number."""
        dropped = 0
        for load in self._loads_by_id.values():
            for run in list(load.runs_by_id.values()):
                if self._is_stale(run, now_s):
                    self._drop(load, run.request_id)
                    dropped += 1
        return dropped

    def reader_of(self, request_id: str) -> str:
        """Return the prefill engine that reads for a request, or nothing."""
        for load in self._loads_by_id.values():
            if request_id in load.jobs_by_id:
                return load.entry.id
        return ""

    def engine_of(self, request_id: str) -> str:
        """Return the decode engine that a request holds, or nothing."""
        for load in self._loads_by_id.values():
            if request_id in load.runs_by_id:
                return load.entry.id
        return ""

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
        ends = sorted(
            max(load.remaining_s(run, now_s), load.blocked_until_s - now_s)
            for load in self.decode_loads()
            for run in load.runs_by_id.values()
        )
        if not ends:
            return 0.0
        rounds, index = divmod(ahead, len(ends))
        mean_s = 2 * sum(ends) / len(ends)
        return ends[index] + rounds * mean_s

    def role_change_wait_s(self, now_s: float) -> float:
        """Return when the first engine that changes its role is back."""
        ends = [load.changing_until_s for load in self._loads_by_id.values()]
        return min((end - now_s for end in ends if end > now_s), default=0.0)

    def _loads(self, role: EngineRole) -> list[EngineLoad]:
        entries = self._registry.usable(self.service, role)
        return [
            self._loads_by_id[entry.id]
            for entry in self._health.reachable(entries)
            if entry.id in self._loads_by_id
            and not self._loads_by_id[entry.id].changing
        ]

    def _is_stale(self, run: Run, now_s: float) -> bool:
        return now_s - run.confirmed_s > self._terms.unconfirmed_s

    def _drop(self, load: EngineLoad, request_id: str) -> None:
        load.remove_run(request_id)
        for other in self._loads_by_id.values():
            other.jobs_by_id.pop(request_id, None)

    def _adopt(self, held: HeldRun, host_id: str, now_s: float) -> int:
        load = self._loads_by_id.get(held.decode_engine)
        if load is None:
            return 0
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
        load.add_run(run)
        load.note_progress(run, held.made_tokens, held.gap_ms)
        return 1

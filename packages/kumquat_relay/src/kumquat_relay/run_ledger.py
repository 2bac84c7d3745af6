"""Records which runs the engines of a service hold, at the queue's owner.

Load pattern: release messages are lost, hosts crash together with their runs,
and a new owner takes over while the engines are full. Every host reports the
runs it holds. The ledger adds runs that it does not know and removes those
that no host reports any more.

Hundreds of hosts report on hundreds of engines. Runs are therefore indexed by
request and by host, and the list of engines is rebuilt only when the registry
has changed.
"""

from collections.abc import Iterable

from kumquat_core.peer_messages import HeldRun, RunRequest

from .engine_health import EngineHealth
from .engine_load import EngineLoad, PrefillJob, Run
from .engine_registry import EngineRegistry, EngineRole
from .output_length import OutputLengthEstimator
from .queue_types import QueueParameters
from .routes import EngineSpec
from .service_performance import ServicePerformance

__all__ = ["RunLedger"]

# The expected end times of runs are recomputed when one run in
# END_TIMES_CHANGE_DIVISOR has changed or after END_TIMES_MAX_AGE_S, which is
# a hundredth of the duration of a typical run.
END_TIMES_CHANGE_DIVISOR = 32
END_TIMES_MAX_AGE_S = 0.05


class RunLedger:
    """The load of each engine of one service."""

    def __init__(
        self,
        service: str,
        registry: EngineRegistry,
        health: EngineHealth,
        parameters: QueueParameters,
    ) -> None:
        self.service = service
        self._registry = registry
        self._health = health
        self._parameters = parameters
        self._loads_by_id: dict[str, EngineLoad] = {}
        self._loads_by_role: dict[EngineRole, list[EngineLoad]] = {}
        self._refreshed_for: tuple[int, EngineSpec] | None = None
        # The engines at which requests hold a slot or wait for their prefill.
        self._decode_loads_by_request: dict[str, EngineLoad] = {}
        self._prefill_loads_by_request: dict[str, EngineLoad] = {}
        self._requests_by_host: dict[str, set[str]] = {}
        # Cache of ``_expected_end_times``.
        self._end_times: list[float] = []
        self._end_times_computed_s = float("-inf")
        self._end_times_change_count = 0
        self._change_count = 0
        self.output_length = OutputLengthEstimator(
            enabled=parameters.rules.output_estimate
        )
        self.performance = ServicePerformance()

    def refresh(self, spec: EngineSpec) -> None:
        """Synchronize the loads with the registry if that has changed."""
        if self._refreshed_for == (self._registry.revision, spec):
            return
        self._refreshed_for = (self._registry.revision, spec)
        known_ids = set()
        self._loads_by_role = {role: [] for role in EngineRole}
        for entry in self._registry.all_entries():
            if entry.service != self.service:
                continue
            known_ids.add(entry.id)
            load = self._loads_by_id.get(entry.id)
            if load is None or load.entry.born_ms != entry.born_ms:
                self._remove_runs(load)
                load = EngineLoad(entry, spec, self.performance, self._parameters.rules)
                self._loads_by_id[entry.id] = load
            else:
                load.update(entry, spec)
            if entry.role is not None and not entry.draining:
                self._loads_by_role[entry.role].append(load)
        for engine_id in set(self._loads_by_id) - known_ids:
            self._remove_runs(self._loads_by_id.pop(engine_id))

    def _remove_runs(self, load: EngineLoad | None) -> None:
        """Remove the work of an engine that was removed or has restarted."""
        if load is None:
            return
        for request_id in list(load.runs_by_id):
            self._remove(request_id)
        for request_id in list(load.jobs_by_id):
            self._prefill_loads_by_request.pop(request_id, None)

    def grant(
        self,
        request: RunRequest,
        host_id: str,
        decode_load: EngineLoad,
        prefill_load: EngineLoad | None,
        now_s: float,
        declared_tokens: int,
    ) -> None:
        """Record that a request holds a slot, and which engine prefills it.

        Without ``prefill_load`` the decode engine prefills the prompt itself.
        ``declared_tokens`` is the caller's own estimate of the output length.
        """
        # A host that lost the reply to an earlier request asks again.
        self._remove(request.request_id)
        run = Run(
            request.request_id,
            host_id,
            request.prompt_tokens,
            request.expected_tokens,
            now_s,
            confirmed_s=now_s,
            declared_tokens=declared_tokens,
        )
        self._add(decode_load, run)
        if prefill_load is None:
            decode_load.begin_local_prefill(
                request.request_id, request.prompt_tokens, now_s
            )
            return
        prefill_load.jobs_by_id[request.request_id] = PrefillJob(
            request.request_id, request.prompt_tokens, now_s
        )
        self._prefill_loads_by_request[request.request_id] = prefill_load

    def record_prefill(self, request_id: str, prefill_ms: float, now_s: float) -> None:
        """Record that the prefill of a granted request ended.

        ``prefill_ms`` is 0 if the prefill engine failed, and negative if the
        prefill was skipped.
        """
        decode_load = self._decode_loads_by_request.get(request_id)
        if decode_load is not None:
            decode_load.end_local_prefill(request_id, prefill_ms, now_s)
        prefill_load = self._prefill_loads_by_request.pop(request_id, None)
        if prefill_load is None:
            return
        job = prefill_load.jobs_by_id.pop(request_id)
        if prefill_ms > 0:
            ahead = [
                other
                for other in prefill_load.jobs_by_id.values()
                if other.granted_s <= job.granted_s
            ]
            queued_ms = (
                sum(job_ahead.tokens for job_ahead in ahead)
                / prefill_load.prefill_tokens_per_ms
            )
            prefill_load.observe_prefill(job.tokens, prefill_ms, queued_ms)

    def release(
        self, request_id: str, gap_ms: float, now_s: float, generated_tokens: int = 0
    ) -> None:
        """Remove the run of a request and update the estimates from it.

        ``gap_ms`` is the mean gap between its events, 0 if there were too
        few. ``generated_tokens`` is the length of a complete output, else 0.
        """
        load = self._decode_loads_by_request.get(request_id)
        run = self._remove(request_id, now_s)
        if load is None or run is None:
            return
        if gap_ms > 0:
            load.observe_gap(gap_ms)
            load.record_acceptance()
            self.performance.slot_s.observe(now_s - run.granted_s)
        if run.declared_tokens > 0 and generated_tokens > 0:
            self.output_length.observe_output(run.declared_tokens, generated_tokens)

    def record_engine_full(self, engine_id: str, now_s: float) -> None:
        """Back off from an engine that refused a granted run as full."""
        load = self._loads_by_id.get(engine_id)
        if load is not None:
            self._end_times_computed_s = float("-inf")
            load.record_refusal(now_s, self._parameters.full_backoff_s)

    def record_stall(self, engine_id: str, now_s: float) -> None:
        """Prefer other engines for a while after a run made no progress."""
        load = self._loads_by_id.get(engine_id)
        if load is not None:
            load.stalled_until_s = now_s + self._parameters.stall_penalty_s

    def record_outcome(
        self, engine_id: str, request_id: str, failed: bool, now_s: float
    ) -> None:
        """Record whether the work of an engine for a granted request failed.

        ``engine_id`` is its prefill or its decode engine.
        """
        load = self._loads_by_id.get(engine_id)
        decode_load = self._decode_loads_by_request.get(request_id)
        run = (
            decode_load.runs_by_id.get(request_id) if decode_load is not None else None
        )
        if load is not None and run is not None:
            load.outcomes.observe(failed, run.host_id, now_s)

    def begin_role_change(
        self, engine_id: str, unavailable_s: float, now_s: float
    ) -> float:
        """Stop grants at an engine until its entry shows its new role.

        The change takes ``unavailable_s`` after the engine's runs have ended.
        Returns the time at which it is expected to be complete.
        """
        load = self._loads_by_id.get(engine_id)
        if load is None:
            return now_s + unavailable_s
        ends_s = [load.remaining_s(run, now_s) for run in load.runs_by_id.values()]
        load.role_changing = True
        load.role_change_until_s = now_s + max(ends_s, default=0.0) + unavailable_s
        return load.role_change_until_s

    def end_overdue_role_changes(self, now_s: float) -> list[str]:
        """Resume grants at engines whose role change is overdue.

        Returns their ids. A registry entry with the new role ends a change
        earlier. An engine that still has runs has not begun its change, so
        its deadline is extended.
        """
        ended = []
        for engine_id, load in self._loads_by_id.items():
            if not load.role_changing or now_s < load.role_change_until_s:
                continue
            if load.runs_by_id:
                load.role_change_until_s = (
                    now_s + self._parameters.unconfirmed_timeout_s
                )
                continue
            load.role_changing = False
            ended.append(engine_id)
        return ended

    def reconcile(self, host_id: str, runs: Iterable[HeldRun], now_s: float) -> int:
        """Compare the ledger with a host's report of the runs it holds.

        Unknown runs are added. Missing ones are removed once they have been
        unconfirmed for longer than a report can take. Returns the number of
        runs added or removed.
        """
        held_by_id = {run.request_id: run for run in runs}
        changed = 0
        for request_id in list(self._requests_by_host.get(host_id, ())):
            load = self._decode_loads_by_request[request_id]
            run = load.runs_by_id[request_id]
            held = held_by_id.get(request_id)
            if held is not None and held.decode_engine == load.entry.id:
                run.confirmed_s = now_s
                load.record_progress(run, held.generated_tokens, held.gap_ms)
                load.record_longest_gap(run, held.longest_gap_ms / 1000, now_s)
                del held_by_id[request_id]
            elif self._is_stale(run, now_s):
                self._remove(request_id, now_s)
                changed += 1
        for held in held_by_id.values():
            changed += self._track(held, host_id, now_s)
        return changed

    def remove_unconfirmed(self, now_s: float) -> int:
        """Remove the runs that no host confirms; return their number."""
        stale = [
            run.request_id
            for load in self._loads_by_id.values()
            for run in load.runs_by_id.values()
            if self._is_stale(run, now_s)
        ]
        for request_id in stale:
            self._remove(request_id, now_s)
        return len(stale)

    def prefill_engine_of(self, request_id: str) -> str:
        """Return the id of the prefill engine of a request, "" if none."""
        load = self._prefill_loads_by_request.get(request_id)
        return load.entry.id if load is not None else ""

    def decode_engine_of(self, request_id: str) -> str:
        """Return the id of the decode engine of a request, "" if none."""
        load = self._decode_loads_by_request.get(request_id)
        return load.entry.id if load is not None else ""

    def runs_by_engine(self) -> dict[str, int]:
        """Return the number of runs and prefill jobs of each engine."""
        return {
            engine_id: len(load.runs_by_id) + len(load.jobs_by_id)
            for engine_id, load in self._loads_by_id.items()
        }

    def host_ids(self) -> set[str]:
        """Return the hosts that hold runs."""
        return set(self._requests_by_host)

    def free_slots(self) -> int:
        """Return the number of free slots of all usable decode engines."""
        return sum(max(0, load.free_slots()) for load in self.decode_loads())

    def all_slots(self) -> int:
        """Return the number of slots of all usable decode engines."""
        return sum(load.slots for load in self.decode_loads())

    def decode_loads(self) -> list[EngineLoad]:
        """Return the loads of the usable decode engines."""
        return self._loads(EngineRole.DECODE)

    def prefill_loads(self) -> list[EngineLoad]:
        """Return the loads of the usable prefill engines."""
        return self._loads(EngineRole.PREFILL)

    def prefill_s(self, prompt_tokens: int) -> float:
        """Return the time in which the fastest engine prefills a prompt.

        Queueing is not included. Without prefill engines it is the time of a
        local prefill.
        """
        prefill_loads = self.prefill_loads()
        if prefill_loads:
            return min(
                prompt_tokens / load.prefill_tokens_per_ms / 1000
                for load in prefill_loads
            )
        loads = self.decode_loads()
        return min((load.local_prefill_s(prompt_tokens) for load in loads), default=0.0)

    def nth_free_slot_s(self, ahead: int, now_s: float) -> float:
        """Return the time until ``ahead`` + 1 slots have become free.

        If ``ahead`` exceeds the number of runs, each further round of ends
        takes a mean run duration, which is twice the mean remaining time.
        """
        ends = self._expected_end_times(now_s)
        if not ends:
            return 0.0
        rounds, index = divmod(ahead, len(ends))
        mean_s = 2 * (sum(ends) / len(ends) - now_s) if rounds else 0.0
        return max(0.0, ends[index] - now_s) + rounds * mean_s

    def _expected_end_times(self, now_s: float) -> list[float]:
        """Return the sorted times at which the runs are expected to end.

        The list is cached until enough runs have changed or it is too old.
        """
        changes = self._change_count - self._end_times_change_count
        if (
            changes * END_TIMES_CHANGE_DIVISOR > len(self._end_times)
            or now_s > self._end_times_computed_s + END_TIMES_MAX_AGE_S
        ):
            self._end_times = sorted(
                max(now_s + load.remaining_s(run, now_s), load.backoff_until_s)
                for load in self.decode_loads()
                for run in load.runs_by_id.values()
            )
            self._end_times_change_count, self._end_times_computed_s = (
                self._change_count,
                now_s,
            )
        return self._end_times

    def role_change_wait_s(self, now_s: float) -> float:
        """Return the time until the first pending role change completes."""
        ends = [load.role_change_until_s for load in self._loads_by_id.values()]
        return min((end - now_s for end in ends if end > now_s), default=0.0)

    def _loads(self, role: EngineRole) -> list[EngineLoad]:
        """Return the usable engines of a role, except those that change it."""
        if self._refreshed_for is not None:
            self.refresh(self._refreshed_for[1])
        loads = [
            load for load in self._loads_by_role.get(role, ()) if not load.role_changing
        ]
        if not self._health.any_unhealthy:
            return loads
        reachable = self._health.reachable(load.entry for load in loads)
        return [self._loads_by_id[entry.id] for entry in reachable]

    def _is_stale(self, run: Run, now_s: float) -> bool:
        return now_s - run.confirmed_s > self._parameters.unconfirmed_timeout_s

    def _add(self, load: EngineLoad, run: Run) -> None:
        load.add_run(run)
        self._change_count += 1
        self._decode_loads_by_request[run.request_id] = load
        self._requests_by_host.setdefault(run.host_id, set()).add(run.request_id)

    def _remove(self, request_id: str, now_s: float | None = None) -> Run | None:
        """Remove the prefill job and the run of a request; return the run.

        ``now_s`` also ends its local prefill. It is omitted if the request
        itself continues.
        """
        prefill_load = self._prefill_loads_by_request.pop(request_id, None)
        if prefill_load is not None:
            prefill_load.jobs_by_id.pop(request_id, None)
        load = self._decode_loads_by_request.pop(request_id, None)
        if load is None:
            return None
        if now_s is not None:
            load.end_local_prefill(request_id, 0.0, now_s)
        run = load.remove_run(request_id)
        self._change_count += 1
        if run is not None:
            held_ids = self._requests_by_host[run.host_id]
            held_ids.discard(request_id)
            if not held_ids:
                del self._requests_by_host[run.host_id]
        return run

    def _track(self, held: HeldRun, host_id: str, now_s: float) -> int:
        """Add a reported run; return 1, or 0 if its engine is unknown."""
        load = self._loads_by_id.get(held.decode_engine)
        if load is None:
            return 0
        self._remove(held.request_id)
        granted_s = now_s - held.age_ms / 1000
        run = Run(
            held.request_id,
            host_id,
            held.prompt_tokens,
            self.output_length.predict_tokens(held.expected_tokens),
            granted_s,
            confirmed_s=now_s,
            declared_tokens=held.expected_tokens,
        )
        self._add(load, run)
        load.record_progress(run, held.generated_tokens, held.gap_ms)
        return 1

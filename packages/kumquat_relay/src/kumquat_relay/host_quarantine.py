"""Builds and connects the parts of a host that quarantine requests."""

from dataclasses import dataclass

from kumquatrouter.peer_links import PeerLinks

from .caller_request import CallerRequest
from .crash_observer import CrashObserver
from .engine_notices import EngineNotices
from .engine_registry import EngineEntry
from .host_parts import HostParts
from .owner_selection import OwnerSelection
from .plain_quarantine import PlainQuarantine
from .prompt_quarantine import PromptQuarantine
from .relay_metrics import RelayMetrics
from .request_trials import RequestTrials
from .stream_progress import StreamProgress

__all__ = ["HostQuarantine"]


@dataclass
class HostQuarantine:
    """The verdicts on requests and their parts, and the reports of crashes."""

    prompts: PromptQuarantine
    observer: CrashObserver
    trials: RequestTrials
    plain: PlainQuarantine

    @classmethod
    def from_parts(
        cls,
        host_id: str,
        parts: HostParts,
        links: PeerLinks,
        owners: OwnerSelection,
    ) -> "HostQuarantine":
        """Create the parts of a host and connect them."""
        prompts = PromptQuarantine(
            host_id,
            parts.clock,
            links,
            owners,
            enabled=parts.rules.crash_quarantine,
            group_of=parts.cluster_state.owner_group,
            all_hosts=lambda: parts.cluster_state.hosts_by_id,
        )
        registry = parts.cluster_state.registry
        registry.on_written = prompts.record_life
        observer = CrashObserver(
            host_id,
            parts.clock,
            parts.pool,
            registry,
            links,
            owners,
            prompts,
        )
        trials = RequestTrials(parts.clock, prompts, registry)
        plain = PlainQuarantine(
            host_id, parts.clock, links, owners, prompts, observer, trials
        )
        plain.on_refused = parts.metrics.quarantined_requests.inc
        return cls(prompts, observer, trials, plain)

    def stream_began(
        self, request: CallerRequest, progress: StreamProgress, entry: EngineEntry
    ) -> None:
        """Record that a run of a stream is sent to an engine."""
        self.observer.run_began(request, entry, trial=bool(progress.trial_parts))

    def stream_broken(
        self,
        request: CallerRequest,
        progress: StreamProgress,
        entry: EngineEntry,
        closed_by_engine: bool,
    ) -> None:
        """Report a run under whose beginning its engine may have crashed.

        Its request runs on trial before the owner has decided.
        """
        self.observer.run_ended(request.id, entry)
        if not closed_by_engine:
            trial = bool(progress.trial_parts)
            self.observer.run_silent(request, entry, trial=trial)
            return
        self.observer.run_broken(request, entry, progress.trial_parts)
        progress.own_suspects.update(self.prompts.unknown_parts(request))

    def engine_removed(self, entry: EngineEntry) -> None:
        """Apply that an engine was removed or has restarted."""
        self.observer.engine_removed(entry)
        self.observer.remove_engine(entry.id)

    def follow_notices(self, notices: EngineNotices) -> None:
        """Learn of engines whose address belongs to another one."""
        notices.on_replaced = lambda entry: self.observer.engine_ended(entry.id, None)

    def update_metrics(self, metrics: RelayMetrics) -> None:
        """Set the numbers of quarantined and suspect parts."""
        quarantined, suspect = self.prompts.counts()
        metrics.quarantined_parts.set(quarantined)
        metrics.suspect_parts.set(suspect)

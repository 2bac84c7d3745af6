"""Decides whether a run of a stream goes on, or another may follow."""

from .caller_request import CallerRequest
from .caller_response import PROMISE_STATUSES
from .cluster_state import ClusterState
from .continuation import check_continuation
from .engine_registry import EngineEntry, EngineRole
from .host_retry_budget import HostRetryBudget
from .open_stream import ContinuationError, OpenStream, RunFailedError
from .relay_rules import RelayRules
from .stream_limits import max_events
from .stream_progress import StreamProgress

__all__ = ["RunPolicy"]


class RunPolicy:
    """Applies the limits of routes, engines and the retry budget to runs."""

    def __init__(
        self,
        cluster_state: ClusterState,
        retries: HostRetryBudget,
        rules: RelayRules,
    ) -> None:
        self._cluster_state = cluster_state
        self._retries = retries
        self._rules = rules

    def may_resume(self, request: CallerRequest, progress: StreamProgress) -> bool:
        """Tell whether another engine may resume or restart the stream."""
        if not request.route.allows_run_after(progress.counts.runs):
            return False
        if not self._rules.resumption and progress.splitter.events > 0:
            return False
        if progress.splitter.events > max_events(request):
            return False
        return progress.splitter.can_continue

    def may_begin_standby(
        self, request: CallerRequest, progress: StreamProgress, silent: EngineEntry
    ) -> bool:
        """Tell whether another engine might continue the stream.

        A prompt that may crash engines is tried at one engine at a time.
        """
        if progress.trial_parts or progress.own_suspects:
            return False
        if not self.may_resume(request, progress):
            return False
        if not self._retries.may_spend(request.service):
            return False
        registry = self._cluster_state.registry
        others = registry.usable(request.service, EngineRole.DECODE)
        return any(
            entry.id != silent.id and entry.id not in progress.excluded
            for entry in others
        )

    def unusable(
        self,
        request: CallerRequest,
        stream: OpenStream,
        progress: StreamProgress,
        *,
        has_standby: bool,
    ) -> RunFailedError | None:
        """Return why a response is not forwarded, None if it is.

        An error is forwarded if no other run may follow; ``has_standby`` tells
        whether one is beginning. A silent run is given up only for a response
        that can continue the stream.
        """
        if progress.is_standby:
            try:
                check_continuation(stream)
            except ContinuationError as error:
                return error
        is_unproven = stream.status in PROMISE_STATUSES
        if progress.sink.started or not (stream.status >= 500 or is_unproven):
            return None
        if is_unproven or has_standby or self.may_resume(request, progress):
            return RunFailedError(f"status_{stream.status}")
        return None

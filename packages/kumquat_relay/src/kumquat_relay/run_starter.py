"""Starts runs at granted engines: reservation, prefill and response head.

A prompt is prefilled only once if possible. If the decode engine is
unreachable, the prefill result is kept for another engine; if the result has
expired, the parts of the prompt are fetched from the prefill engine.
"""

import logging

from kumquat_core.clock import Clock
from kumquat_core.log_events import log_event
from kumquat_core.peer_messages import RunGrant

from .admission import Admission
from .caller_request import CallerRequest, PromptMetadata
from .cluster_state import ClusterState
from .engine_calls import EngineCalls, NotExecutedError, RunParameters
from .engine_notices import EngineNotices
from .engine_registry import EngineEntry, EngineRole
from .host_retry_budget import HostRetryBudget
from .known_limits import KnownLimits
from .open_stream import OpenStream
from .prefill_expiry import PrefillExpiry
from .prompt_quarantine import PromptQuarantine
from .protocols import EngineNotice
from .relay_rules import RelayRules
from .relay_settings import parse_address
from .stream_progress import StreamProgress

__all__ = ["RetryBudgetExhaustedError", "RunStarter"]

# Output tokens for which memory is reserved. They cover the first events; runs
# that end meanwhile free the memory for the others.
RESERVED_OUTPUT_TOKENS = 500
# Part of the lifetime of a prefill result during which it may be sent to
# another decode engine.
PREFILL_REUSE_SHARE = 0.7

logger = logging.getLogger(__name__)


class RetryBudgetExhaustedError(Exception):
    """A further send would exceed the retry budget or the route's limit."""


class RunStarter:
    """Starts runs in the slots that were granted to this host."""

    def __init__(
        self,
        clock: Clock,
        cluster_state: ClusterState,
        admission: Admission,
        calls: EngineCalls,
        retries: HostRetryBudget,
        notices: EngineNotices,
        limits: KnownLimits,
        quarantine: PromptQuarantine,
        rules: RelayRules,
    ) -> None:
        self._quarantine = quarantine
        self._limits = limits
        self._rules = rules
        self._notices = notices
        self._clock = clock
        self._cluster_state = cluster_state
        self._admission = admission
        self._calls = calls
        self._retries = retries
        self._expiry = PrefillExpiry(clock)

    async def reserve(
        self, request: CallerRequest, entry: EngineEntry, progress: StreamProgress
    ) -> bool:
        """Reserve the granted slot, which the owner is uncertain about.

        Returns whether the run may start there, which is also the case if the
        service has no reservations.
        """
        self.release_reservation(request, progress)
        spec = self._cluster_state.engine_spec(request.service)
        if spec is None or not spec.reservation_ttl_ms or not self._rules.reservation:
            return True
        if self._limits.is_limited(entry.id):
            # A reservation would count as a request towards the limit.
            return True
        prompt = request.metadata.prompt or PromptMetadata(1, 1, 1)
        tokens = prompt.prompt_tokens + RESERVED_OUTPUT_TOKENS
        try:
            progress.reservation_id = await self._calls.reserve(
                entry, tokens, spec.reservation_ttl_ms
            )
        except NotExecutedError as error:
            log_event(
                logger,
                "not_reserved",
                request=request.id,
                engine=entry.id,
                reason=error.reason,
            )
            if not self._has_other_engine(request, entry):
                # It may only have paused, and then still accepts the run.
                return True
            progress.excluded.add(entry.id)
            return False
        progress.reservation_engine = entry
        return bool(progress.reservation_id)

    def _has_other_engine(self, request: CallerRequest, entry: EngineEntry) -> bool:
        engines = self._cluster_state.registry.usable(
            request.service, EngineRole.DECODE
        )
        return any(engine.id != entry.id for engine in engines)

    def release_reservation(
        self, request: CallerRequest, progress: StreamProgress
    ) -> None:
        """Release a reservation that no run has used, if there is one."""
        if progress.reservation_id and progress.reservation_engine is not None:
            self._calls.release_reservation(
                progress.reservation_engine, progress.reservation_id, request.id
            )
        progress.reservation_id = ""

    async def prefill(
        self, request: CallerRequest, grant: RunGrant, progress: StreamProgress
    ) -> bool:
        """Prefill the prompt at the granted engine; return false on failure.

        Returns true if no prefill engine was granted, since the decode engine
        then prefills the prompt itself. Raises ``QuarantineError``.
        """
        if not grant.prefill_engine:
            return True
        self._quarantine.check(request, progress.trial_parts)
        entry = self.granted_engine(
            request, grant.prefill_engine, grant.prefill_address
        )
        if entry is None:
            # The next grant excludes it; another engine can do the prefill.
            progress.blocked_engines.add(grant.prefill_engine)
            return False
        progress.excluded.add(entry.id)
        if progress.counts.prefills > 0 and not self._retries.try_spend(
            request.service
        ):
            return False
        progress.counts.prefills += 1
        began_s = self._clock.monotonic()
        try:
            progress.prefill = await self._calls.prefill(request, entry)
        except NotExecutedError as error:
            self._admission.report_prefill(
                progress.slot_id, 0.0, unreachable=error.unreachable
            )
            if not error.unreachable:
                self._retries.record_retry(request.service)
            return False
        progress.excluded.discard(entry.id)
        progress.prefilled_s = self._clock.monotonic()
        self._admission.report_prefill(
            progress.slot_id, (progress.prefilled_s - began_s) * 1000
        )
        return True

    async def open(
        self, request: CallerRequest, entry: EngineEntry, progress: StreamProgress
    ) -> OpenStream:
        """Start a run, with the parts of the prompt if its result has expired.

        An engine gives the same response when it is full and when the prefill
        result has expired; an accepted reservation shows that it has capacity.
        The parts of the prompt often remain at the engine that prefilled them.
        """
        if progress.reservation_engine != entry:
            # An earlier grant was for another engine.
            self.release_reservation(request, progress)
        source, progress.prefill = progress.prefill, None
        reservation_id, progress.reservation_id = progress.reservation_id, ""
        last_id = progress.splitter.last_id
        probably_expired = source is not None and self._expiry.likely_expired(
            source.engine.address
        )
        if source is not None and not probably_expired:
            try:
                start = RunParameters(source, None, last_id, reservation_id)
                return await self._send(request, entry, start, progress)
            except NotExecutedError as error:
                # The first request that names a reservation consumes it.
                had_capacity, reservation_id = bool(reservation_id), ""
                if not self._rules.fetching:
                    raise
                is_limited = self._limits.is_limited(entry.id)
                if (
                    is_limited
                    or not error.overloaded
                    or not (
                        had_capacity or await self.reserve(request, entry, progress)
                    )
                ):
                    # The engine has not used the result; another one can. A
                    # second send to a limited engine needs another grant.
                    progress.prefill = source
                    raise
                reservation_id, progress.reservation_id = progress.reservation_id, ""
        fetch_from = source.engine.address if source is not None else None
        start = RunParameters(None, fetch_from, last_id, reservation_id)
        stream = await self._send(request, entry, start, progress)
        if source is not None and not probably_expired:
            self._expiry.record_expired(source.engine.address)
            log_event(logger, "prefill_lapsed", request=request.id, engine=entry.id)
        return stream

    def granted_engine(
        self, request: CallerRequest, engine_id: str, address: str
    ) -> EngineEntry | None:
        """Return the entry of a granted engine, None if it must not be used.

        The owner may know an engine that this host has not yet read from the
        store. If the engine is draining, the owner is notified, since it may
        be unable to read the store.
        """
        if self._notices.remaining_pause_s(engine_id) > 0:
            return None
        entry = self._cluster_state.registry.get(engine_id)
        if entry is not None and entry.draining:
            self._admission.forward_notice(entry, EngineNotice(leaving=True))
            return None
        if entry is not None:
            return entry
        if self._cluster_state.registry.was_removed(engine_id):
            return None
        return EngineEntry(
            engine_id, request.service, parse_address(address), "", 0, False
        )

    def blocked_engines(self, request: CallerRequest) -> set[str]:
        """Return the engines to which this host sends no new requests."""
        return self._notices.blocked_engines(request.service)

    def discard_old_prefill(
        self, request: CallerRequest, progress: StreamProgress
    ) -> None:
        """Discard a prefill result that may expire before the run starts."""
        spec = self._cluster_state.engine_spec(request.service)
        ttl_s = PREFILL_REUSE_SHARE * (spec.handle_ttl_s if spec else 0.0)
        if self._clock.monotonic() - progress.prefilled_s > ttl_s:
            progress.prefill = None

    async def _send(
        self,
        request: CallerRequest,
        entry: EngineEntry,
        start: RunParameters,
        progress: StreamProgress,
    ) -> OpenStream:
        """Send a run within the retry budget.

        Raises ``RetryBudgetExhaustedError``, ``NotExecutedError``,
        ``QuarantineError`` and ``RunFailedError``.
        """
        self._quarantine.check(request, progress.trial_parts)
        counts = progress.counts
        if counts.runs > 0 and not request.route.allows_run_after(counts.runs):
            # Another run of the stream has begun beside this one meanwhile.
            raise RetryBudgetExhaustedError
        if counts.sends > 0 and not self._retries.try_spend(request.service):
            raise RetryBudgetExhaustedError
        counts.sends += 1
        counts.runs += 1
        try:
            return await self._calls.open_stream(request, entry, start)
        except NotExecutedError as error:
            counts.runs -= 1
            if error.unreachable:
                counts.sends -= 1
            raise

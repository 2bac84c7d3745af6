"""Starts a run at granted engines: reservation, prompt, first byte.

A prompt is read once where that is possible: its result survives an engine
that cannot be reached, and where it lapsed its parts are fetched.
"""

import logging

from kumquat_core.clock import Clock
from kumquat_core.log_events import log_event
from kumquat_core.peer_messages import RunGrant

from .admission import Admission
from .beliefs import Beliefs
from .caller_request import CallerRequest, PromptFacts
from .engine_calls import EngineCalls, NotRunError, RunStart
from .engine_notices import EngineNotices
from .engine_registry import EngineEntry
from .open_stream import OpenStream
from .prefill_lapses import PrefillLapses
from .protocols import EngineNotice
from .relay_rules import RelayRules
from .relay_settings import parse_address
from .retry_share import RetryShare
from .stream_progress import StreamProgress

__all__ = ["BudgetSpentError", "RunStarter"]

# Room for the first events; the memory for the others is freed by other runs.
RESERVED_OUTPUT_TOKENS = 500
# Part of the life of a prefill result in which it is still sent elsewhere.
PREFILL_USE_SHARE = 0.7

logger = logging.getLogger(__name__)


class BudgetSpentError(Exception):
    """A further send would exceed this host's share of the retry budget."""


class RunStarter:
    """Uses granted places to start runs."""

    def __init__(
        self,
        clock: Clock,
        beliefs: Beliefs,
        admission: Admission,
        calls: EngineCalls,
        retries: RetryShare,
        notices: EngineNotices,
        rules: RelayRules,
    ) -> None:
        self._rules = rules
        self._notices = notices
        self._clock = clock
        self._beliefs = beliefs
        self._admission = admission
        self._calls = calls
        self._retries = retries
        self._lapses = PrefillLapses(clock)

    async def reserve(
        self, request: CallerRequest, entry: EngineEntry, progress: StreamProgress
    ) -> bool:
        """Reserve the granted place where the owner is not sure of it."""
        spec = self._beliefs.engine_spec(request.service)
        if spec is None or not spec.hold_ttl_ms or not self._rules.reservation:
            return True
        prompt = request.facts.prompt or PromptFacts(1, 1, 1)
        tokens = prompt.prompt_tokens + RESERVED_OUTPUT_TOKENS
        try:
            progress.hold = await self._calls.reserve(entry, tokens, spec.hold_ttl_ms)
        except NotRunError as error:
            log_event(
                logger,
                "not_reserved",
                request=request.id,
                engine=entry.id,
                reason=error.reason,
            )
            progress.excluded.add(entry.id)
            return False
        progress.hold_entry = entry
        return bool(progress.hold)

    async def prefill(
        self, request: CallerRequest, grant: RunGrant, progress: StreamProgress
    ) -> bool:
        """Have the prompt read; return false when that failed.

        Without a prefill engine the decode engine reads the prompt.
        """
        if not grant.prefill_engine:
            return True
        entry = self.entry(request, grant.prefill_engine, grant.prefill_address)
        if entry is None:
            # The next place comes without it; a prompt can be read elsewhere.
            progress.barred.add(grant.prefill_engine)
            return False
        progress.excluded.add(entry.id)
        if progress.prefills > 0 and not self._retries.try_spend(request.service):
            return False
        progress.prefills += 1
        began_s = self._clock.monotonic()
        try:
            progress.prefill = await self._calls.prefill(request, entry)
        except NotRunError as error:
            self._admission.prefilled(request.id, 0.0, unreachable=error.unreachable)
            if not error.unreachable:
                self._retries.count_unavoidable(request.service)
            return False
        progress.excluded.discard(entry.id)
        progress.prefilled_s = self._clock.monotonic()
        self._admission.prefilled(request.id, (progress.prefilled_s - began_s) * 1000)
        return True

    async def open(
        self, request: CallerRequest, entry: EngineEntry, progress: StreamProgress
    ) -> OpenStream:
        """Start a run; a prefill result that is gone is fetched instead.

        An engine refuses alike when it is full and when the result is gone; a
        reservation that it accepts tells that it has room. The prompt's parts
        often stay at the engine that read them.
        """
        source, progress.prefill = progress.prefill, None
        hold, progress.hold = progress.hold, ""
        last_id = progress.splitter.last_id
        lapses = source is not None and self._lapses.expected(source.engine.address)
        if source is not None and not lapses:
            try:
                start = RunStart(source, None, last_id, hold)
                return await self._send(request, entry, start, progress)
            except NotRunError as error:
                # A reservation is used up by the first request that names it.
                had_room, hold = bool(hold), ""
                if not self._rules.fetching:
                    raise
                if not error.shed or not (
                    had_room or await self.reserve(request, entry, progress)
                ):
                    # The engine has not taken the result; another one can.
                    progress.prefill = source
                    raise
                hold, progress.hold = progress.hold, ""
        fetch_from = source.engine.address if source is not None else None
        start = RunStart(None, fetch_from, last_id, hold)
        stream = await self._send(request, entry, start, progress)
        if source is not None and not lapses:
            self._lapses.note(source.engine.address)
            log_event(logger, "prefill_lapsed", request=request.id, engine=entry.id)
        return stream

    def entry(
        self, request: CallerRequest, engine_id: str, address: str
    ) -> EngineEntry | None:
        """Return the granted engine, None if nothing may be sent to it.

        The owner may know an engine that the store has not shown here yet. An
        owner without the store learns here that an engine leaves.
        """
        if self._notices.pause_left_s(engine_id) > 0:
            return None
        entry = self._beliefs.registry.get(engine_id)
        if entry is not None and entry.draining:
            self._admission.noticed(entry, EngineNotice(leaving=True))
            return None
        if entry is not None:
            return entry
        if self._beliefs.registry.was_removed(engine_id):
            return None
        return EngineEntry(
            engine_id, request.service, parse_address(address), "", 0, False
        )

    def barred(self, request: CallerRequest) -> set[str]:
        """Return the engines to which this host sends nothing new."""
        return self._notices.barred(request.service)

    def drop_old_prefill(
        self, request: CallerRequest, progress: StreamProgress
    ) -> None:
        """Forget a prefill result that has lapsed before a place was found."""
        spec = self._beliefs.engine_spec(request.service)
        ttl_s = PREFILL_USE_SHARE * (spec.handle_ttl_s if spec else 0.0)
        if self._clock.monotonic() - progress.prefilled_s > ttl_s:
            progress.prefill = None

    async def _send(
        self,
        request: CallerRequest,
        entry: EngineEntry,
        start: RunStart,
        progress: StreamProgress,
    ) -> OpenStream:
        if progress.sends > 0 and not self._retries.try_spend(request.service):
            raise BudgetSpentError
        progress.sends += 1
        try:
            return await self._calls.open_stream(request, entry, start)
        except NotRunError as error:
            if error.unreachable:
                progress.sends -= 1
            raise

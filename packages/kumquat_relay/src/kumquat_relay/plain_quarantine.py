"""Decides whether a plain request may be sent to a backend server.

A request under which servers have crashed is refused. One that may be the
cause runs on trial, where the owner of the group grants it a server. Before
a retry, the host finds out whether the server of the broken run has ended.
"""

import asyncio
import logging
from collections.abc import Callable, Sequence
from typing import NoReturn

from kumquat_core.clock import Clock
from kumquat_core.log_events import log_event
from kumquat_core.peer_messages import (
    Message,
    TrialEnded,
    TrialGrant,
    TrialRequest,
)
from kumquat_core.result_codes import RouterError
from kumquat_core.task_errors import log_task_error
from kumquatrouter.peer_links import PeerLinks

from .caller_request import CallerRequest
from .crash_evidence import Verdict
from .crash_observer import CrashObserver
from .engine_registry import EngineEntry
from .owner_selection import OwnerSelection
from .prompt_quarantine import PromptQuarantine, QuarantineError
from .request_trials import RequestTrials

__all__ = ["PlainQuarantine"]

# Several times the usual time of a plain request, so that a few trials may
# come first.
MAX_WAIT_S = 1.0
REPLY_MARGIN_S = 0.3
MAX_OWNER_ATTEMPTS = 3

logger = logging.getLogger(__name__)


class PlainQuarantine:
    """The verdicts on plain requests and their trials."""

    def __init__(
        self,
        host_id: str,
        clock: Clock,
        links: PeerLinks,
        owners: OwnerSelection,
        quarantine: PromptQuarantine,
        observer: CrashObserver,
        trials: RequestTrials,
    ) -> None:
        self._host_id = host_id
        self._clock = clock
        self._links = links
        self._owners = owners
        self._quarantine = quarantine
        self._observer = observer
        self._trials = trials
        # Owners that granted trials, and checks of servers, by request id.
        self._owners_by_request_id: dict[str, str] = {}
        self._checks_by_request_id: dict[str, asyncio.Task[None]] = {}
        self.on_refused: Callable[[], None] = lambda: None

    async def choose(
        self,
        request: CallerRequest,
        entry: EngineEntry,
        ranked: Callable[[], Sequence[EngineEntry]],
    ) -> EngineEntry:
        """Return the server for the next send, usually ``entry``.

        A suspect request gets one of those that ``ranked`` returns. Raises
        ``QuarantineError``.
        """
        verdict = self._quarantine.verdict(request)
        if verdict is Verdict.NORMAL:
            return entry
        if verdict is Verdict.TRIAL:
            entries_by_id = {item.id: item for item in ranked()}
            engine_id = await self._acquire(request, tuple(entries_by_id))
            verdict = self._quarantine.verdict(request)
            if engine_id in entries_by_id and verdict is not Verdict.REFUSED:
                return entries_by_id[engine_id]
            if verdict is Verdict.NORMAL:
                # Cleared while it waited for an owner that did not answer.
                return entry
        self._refuse(request, verdict)

    def check(self, request: CallerRequest) -> None:
        """Raise ``QuarantineError`` if a request is refused by now."""
        if self._quarantine.verdict(request) is Verdict.REFUSED:
            self._refuse(request, Verdict.REFUSED)

    def _refuse(self, request: CallerRequest, verdict: Verdict) -> NoReturn:
        if verdict is Verdict.REFUSED:
            self.on_refused()
        log_event(
            logger,
            "request_quarantined",
            request=request.id,
            parts=self._quarantine.marks.mark(request),
            verdict=verdict.value,
        )
        raise QuarantineError(verdict)

    def run_began(self, request: CallerRequest, entry: EngineEntry) -> None:
        """Record that a request is sent to a server."""
        self._observer.run_began(request, entry, trial=self._is_on_trial(request))

    def run_ended(self, request: CallerRequest) -> None:
        """Record that no server has a run of a request any more."""
        self._observer.run_ended(request.id)

    def record_answered(self, request: CallerRequest, entry: EngineEntry) -> None:
        """Record that a server has survived a request, and end its trial."""
        self._observer.record_answer(request.id, entry)
        self._quarantine.record_answered(request)
        self.end_trial(request)

    def run_broken(
        self, request: CallerRequest, entry: EngineEntry, *, closed_by_server: bool
    ) -> None:
        """Find out whether the server of a broken run has ended.

        A trial ends after that, so that no other one starts there before.
        """
        trial = self._is_on_trial(request)
        if not closed_by_server:
            self._observer.run_silent(request, entry, trial=trial)
            return
        check = asyncio.ensure_future(self._check_server(request, entry, trial=trial))
        self._checks_by_request_id[request.id] = check
        check.add_done_callback(
            lambda _: self._checks_by_request_id.pop(request.id, None)
        )
        check.add_done_callback(log_task_error)

    async def wait_for_check(self, request: CallerRequest) -> None:
        """Wait until it is known whether the server has ended."""
        check = self._checks_by_request_id.get(request.id)
        if check is not None:
            await asyncio.shield(check)

    async def _check_server(
        self, request: CallerRequest, entry: EngineEntry, *, trial: bool
    ) -> None:
        try:
            await self._observer.plain_run_broken(request, entry, trial=trial)
        finally:
            self._end_trial(request)

    def end_trial(self, request: CallerRequest) -> None:
        """End the trial of a request, unless its server is being checked."""
        if request.id not in self._checks_by_request_id:
            self._end_trial(request)

    def _end_trial(self, request: CallerRequest) -> None:
        owner = self._owners_by_request_id.pop(request.id, None)
        if owner is None:
            return
        message = TrialEnded(self._quarantine.group(request), request.id)
        if owner == self._host_id:
            self._trials.end(message)
            return
        try:
            self._links.post(owner, message)
        except RouterError as error:
            # The owner ends it after the deadline of the request.
            log_event(logger, "trial_end_not_sent", peer=owner, detail=error.detail)

    def _is_on_trial(self, request: CallerRequest) -> bool:
        return request.id in self._owners_by_request_id

    async def _acquire(self, request: CallerRequest, engines: tuple[str, ...]) -> str:
        """Return the engine that the owner grants for a trial, or none."""
        group = self._quarantine.group(request)
        now_s = self._clock.monotonic()
        left_ms = request.left_ms(now_s)
        message = TrialRequest(
            group,
            request.id,
            self._quarantine.marks.mark(request),
            engines,
            min(left_ms, int(MAX_WAIT_S * 1000)),
            left_ms,
        )
        for _ in range(MAX_OWNER_ATTEMPTS):
            owner = self._owners.owner(group)
            # Set before the call: a grant may be on its way when it ends.
            self._owners_by_request_id[request.id] = owner
            try:
                reply = await self._ask(owner, message)
            except RouterError as error:
                log_event(
                    logger,
                    "trial_owner_unreachable",
                    request=request.id,
                    peer=owner,
                    detail=error.detail,
                )
                self._owners.mark_unreachable(owner)
                continue
            except BaseException:
                self.end_trial(request)
                raise
            if isinstance(reply, TrialGrant):
                await self._quarantine.synchronize(group, owner, reply.evidence_digest)
                if not reply.engine:
                    self.end_trial(request)
                return reply.engine
        self.end_trial(request)
        return ""

    async def _ask(self, owner: str, message: TrialRequest) -> Message:
        if owner == self._host_id:
            return await self._trials.grant(message)
        timeout_s = message.wait_ms / 1000 + REPLY_MARGIN_S
        return await self._links.call(owner, message, timeout_s)

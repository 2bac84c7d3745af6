"""Asks the owner of a service for places, and reports the runs held.

A report goes to the owner every ``REPORT_S``. One that stays unanswered is
repeated at once on a new link, since open connections may fall silent while
new ones work. If that fails too, the next host becomes the owner, and the
requests that waited at the silent one ask again. A new owner must first learn
which runs there are, so a short silence does not make one.

The owner reads the reports of all hosts, so hosts without any work report less
often, the more hosts there are. The first request of such a host brings its
reports back to the usual period.
"""

import asyncio
import logging
from dataclasses import dataclass

from kumquat_core.clock import Clock
from kumquat_core.log_events import log_event
from kumquat_core.peer_messages import (
    EngineNoticed,
    HeldRun,
    RunEnded,
    RunGrant,
    RunPrefilled,
    RunRefusal,
    RunRequest,
    RunsHeld,
    RunsNoted,
    RunStalled,
)
from kumquat_core.result_codes import ResultCode, RouterError
from kumquatrouter.peer_links import PeerLinks

from .beliefs import Beliefs
from .engine_registry import EngineEntry
from .owner_choice import OwnerChoice
from .protocols import EngineNotice
from .relay_rules import ALL_RULES, RelayRules
from .stream_owner import StreamOwner

__all__ = ["NOT_READ", "Admission", "PlaceRefusedError"]

# Stands for the time of a prefill that was not needed.
NOT_READ = -1.0

# Period of the reports; half of the time in which a lost owner is noticed.
REPORT_S = 0.5
# Hosts whose reports an owner reads at the usual period; beyond that, idle
# ones leave out reports. Four of them together take 2 s, within the time after
# which an owner that is not asked forgets what it owns.
FREQUENT_HOSTS = 32
MAX_LEFT_OUT = 4
# A hundred times the way between failure domains; a busy host still answers.
REPORT_TIMEOUT_S = 0.3
# The owner refuses by itself when the patience ends.
REPLY_MARGIN_S = 0.3
# The next host in order mostly answers; more tries would use up the patience.
MAX_OWNERS_TRIED = 4
# One report after the loss, all hosts have turned to the next owner.
NO_OWNER_RETRY_S = 0.5

logger = logging.getLogger(__name__)


class PlaceRefusedError(Exception):
    """The owner has no place in time."""

    def __init__(self, reason: str, retry_after_s: float) -> None:
        super().__init__(reason)
        self.reason = reason
        self.retry_after_s = retry_after_s


@dataclass
class _Held:
    request: RunRequest
    decode_engine: str
    owner: str
    since_s: float
    made_tokens: int = 0
    gap_ms: float = 0.0
    longest_gap_ms: float = 0.0
    last_event_s: float | None = None


class Admission:
    """The places that this host asks for and holds."""

    def __init__(
        self,
        host_id: str,
        clock: Clock,
        beliefs: Beliefs,
        links: PeerLinks,
        owners: OwnerChoice,
        local: StreamOwner,
        rules: RelayRules = ALL_RULES,
    ) -> None:
        self._rules = rules
        self._host_id = host_id
        self._clock = clock
        self._beliefs = beliefs
        self._links = links
        self._owners = owners
        self._local = local
        self._held_by_id: dict[str, _Held] = {}
        self._asking = 0
        self._reports_due = 0
        self._checks_by_owner: dict[str, asyncio.Task[None]] = {}

    async def place(self, request: RunRequest) -> RunGrant:
        """Return a granted place; raises ``PlaceRefusedError``."""
        began_s = self._clock.monotonic()
        for _ in range(MAX_OWNERS_TRIED):
            owner = self._owners.owner(request.service)
            self._asking += 1
            try:
                answer = await self._ask(owner, request)
            except RouterError as error:
                await self._check_owner(owner, request.service, error.detail)
                continue
            finally:
                self._asking -= 1
            if isinstance(answer, RunRefusal):
                raise PlaceRefusedError(answer.reason, answer.retry_after_ms / 1000)
            held = _Held(request, answer.decode_engine, owner, self._clock.monotonic())
            self._held_by_id[request.request_id] = held
            return answer
        log_event(
            logger,
            "no_owner",
            level=logging.WARNING,
            request=request.request_id,
            ms=round((self._clock.monotonic() - began_s) * 1000),
        )
        raise PlaceRefusedError("no_owner", NO_OWNER_RETRY_S)

    def prefilled(
        self, request_id: str, read_ms: float, *, unreachable: bool = False
    ) -> None:
        """Tell the owner that the prompt was read in ``read_ms``.

        0 means that the prefill engine failed, ``NOT_READ`` that it was not
        asked.
        """
        held = self._held_by_id.get(request_id)
        if held is None:
            return
        message = RunPrefilled(request_id, held.request.service, read_ms, unreachable)
        if held.owner == self._host_id:
            self._local.prefilled(message)
        else:
            self._send(held.owner, message)

    def progressed(self, request_id: str, made_tokens: int, gap_ms: float) -> None:
        """Note the progress of a run for the next report."""
        held = self._held_by_id.get(request_id)
        if held is None:
            return
        now_s = self._clock.monotonic()
        if held.last_event_s is not None:
            gap_since_ms = (now_s - held.last_event_s) * 1000
            held.longest_gap_ms = max(held.longest_gap_ms, gap_since_ms)
        held.last_event_s = now_s
        held.made_tokens, held.gap_ms = made_tokens, gap_ms

    def stalled(self, request_id: str, silent_ms: int) -> None:
        """Tell the owner that a run makes no progress."""
        held = self._held_by_id.get(request_id)
        if held is None:
            return
        message = RunStalled(
            request_id, held.request.service, held.decode_engine, silent_ms
        )
        if held.owner == self._host_id:
            self._local.stalled(message)
        else:
            self._send(held.owner, message)

    def noticed(self, entry: EngineEntry, notice: EngineNotice) -> None:
        """Tell the owner of a service what an engine said of itself."""
        if self._beliefs.engine_spec(entry.service) is None:
            return
        message = EngineNoticed(
            entry.service,
            entry.id,
            entry.born_ms,
            notice.leaving or notice.replaced,
            int(notice.pause_s * 1000),
        )
        owner = self._owners.owner(entry.service)
        if owner == self._host_id:
            self._local.noticed(message, self._host_id)
        else:
            self._send(owner, message)

    def ended(
        self,
        request_id: str,
        gap_ms: float = 0.0,
        full_engine: str = "",
        failed_engine: str = "",
        *,
        unreachable: bool = False,
        made_tokens: int = 0,
        error_answer: bool = False,
    ) -> None:
        """Give a place back; ``made_tokens`` of a complete answer, else 0."""
        held = self._held_by_id.pop(request_id, None)
        if held is None:
            return
        message = RunEnded(
            request_id,
            held.request.service,
            gap_ms,
            full_engine,
            failed_engine,
            unreachable,
            made_tokens,
            error_answer,
        )
        self._tell_ended(held.owner, message)

    async def report(self) -> None:
        """Report the runs of each service to its owner."""
        if self._beliefs.routes is None:
            return
        self._owners.set_outdated(self._host_id, self._beliefs.outdated())
        if not self._is_report_due():
            return
        for name, spec in self._beliefs.routes.services_by_name.items():
            if spec.engine is not None:
                await self._report_service(name)

    def _is_report_due(self) -> bool:
        """Tell whether to report now; called once in each period."""
        self._reports_due += 1
        hosts = len(self._beliefs.hosts_by_id)
        period = min(MAX_LEFT_OUT, max(1, hosts // FREQUENT_HOSTS))
        busy = self._asking > 0 or bool(self._held_by_id)
        if not busy and self._reports_due < period:
            return False
        self._reports_due = 0
        return True

    @property
    def held_count(self) -> int:
        """Return the number of places that this host holds."""
        return len(self._held_by_id)

    async def _ask(self, owner: str, request: RunRequest) -> RunGrant | RunRefusal:
        """Return the owner's decision; a cancelled wait is withdrawn."""
        try:
            if owner == self._host_id:
                return await self._local.admit(request, self._host_id)
            timeout_s = request.patience_ms / 1000 + REPLY_MARGIN_S
            answer = await self._links.call(owner, request, timeout_s)
        except asyncio.CancelledError:
            ended = RunEnded(request.request_id, request.service)
            self._tell_ended(owner, ended)
            raise
        if not isinstance(answer, RunGrant | RunRefusal):
            raise RouterError(ResultCode.PEER_PROTOCOL, type(answer).__name__)
        return answer

    def _tell_ended(self, owner: str, message: RunEnded) -> None:
        if owner == self._host_id:
            self._local.ended(message)
        else:
            self._send(owner, message)
        current = self._owners.owner(message.service)
        if current not in (owner, self._host_id):
            self._send(current, message)

    def _send(
        self,
        host_id: str,
        message: EngineNoticed | RunEnded | RunPrefilled | RunStalled,
    ) -> None:
        """Send a message ahead of any later request to the same owner."""
        try:
            self._links.post(host_id, message)
        except RouterError as error:
            # Runs are in the next report, and engines that must not be used in
            # the next request.
            log_event(
                logger,
                "message_not_sent",
                level=logging.DEBUG,
                peer=host_id,
                type=type(message).__name__,
                detail=error.detail,
            )

    async def _report_service(self, service: str) -> None:
        owner = self._owners.owner(service)
        await self._report_to(owner, service)
        away = self._owners.to_probe(service)
        if away is not None and away != owner:
            await self._report_to(away, service)

    def _held_runs(self, service: str) -> RunsHeld:
        now_s = self._clock.monotonic()
        runs = tuple(
            HeldRun(
                request_id,
                held.decode_engine,
                held.request.prompt_tokens,
                held.request.expected_tokens,
                int((now_s - held.since_s) * 1000),
                held.made_tokens,
                held.gap_ms,
                held.longest_gap_ms,
            )
            for request_id, held in self._held_by_id.items()
            if held.request.service == service
        )
        return RunsHeld(service, runs)

    def _forget_gaps(self, service: str) -> None:
        for held in self._held_by_id.values():
            if held.request.service == service:
                held.longest_gap_ms = 0.0

    async def _report_to(self, owner: str, service: str) -> None:
        if owner == self._host_id:
            self._local.held(self._held_runs(service), self._host_id)
            self._forget_gaps(service)
            return
        try:
            await self._call_owner(owner, service)
        except RouterError as error:
            await self._check_owner(owner, service, error.detail)

    async def _check_owner(self, owner: str, service: str, detail: str) -> None:
        """Ask a silent owner once more on a new link, for all who wait."""
        if owner == self._host_id:
            return
        if not self._rules.owner_check:
            self._note_unreachable(owner, detail)
            return
        check = self._checks_by_owner.get(owner)
        if check is None:
            check = asyncio.ensure_future(self._ask_again(owner, service, detail))
            self._checks_by_owner[owner] = check
            check.add_done_callback(lambda _: self._checks_by_owner.pop(owner, None))
        await asyncio.shield(check)

    async def _ask_again(self, owner: str, service: str, detail: str) -> None:
        self._links.drop(owner)
        # The dropped link ends before another one can begin.
        await asyncio.sleep(0)
        try:
            await self._call_owner(owner, service)
        except RouterError as error:
            self._note_unreachable(owner, error.detail)
            return
        log_event(logger, "owner_answers_again", peer=owner, reason=detail)

    async def _call_owner(self, owner: str, service: str) -> None:
        """Report the runs to an owner; raises ``RouterError``."""
        message = self._held_runs(service)
        self._forget_gaps(service)
        answer = await self._links.call(owner, message, REPORT_TIMEOUT_S)
        if not isinstance(answer, RunsNoted):
            return
        self._beliefs.peer_version(answer.configuration)
        if self._owners.set_outdated(owner, answer.outdated):
            log_event(logger, "owner_outdated", peer=owner, outdated=answer.outdated)
        if self._owners.reachable(owner):
            log_event(logger, "dependency_regained", dependency="owner", peer=owner)

    def _note_unreachable(self, owner: str, detail: str) -> None:
        self._links.drop(owner)
        if self._owners.unreachable(owner):
            log_event(
                logger,
                "dependency_lost",
                level=logging.WARNING,
                dependency="owner",
                peer=owner,
                reason=detail,
            )

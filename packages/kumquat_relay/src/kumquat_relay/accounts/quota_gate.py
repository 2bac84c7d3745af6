"""Admits the requests of client accounts that have a quota.

Load pattern: thousands of requests a second. Requests that find no credit
share one call to the quota owner; a host has at most one call in flight. A
request over the quota is refused before it takes a place in a queue.

An owner that does not reply is tried once more, then the next host is the
owner. Time in which this host did not run counts neither as silence of the
owner nor as waiting time of a request. A host of a build without quotas does
not understand the request; then this host enforces its own share alone for a
while.
"""

import asyncio
import logging
from collections.abc import Callable

from kumquat_core.clock import Clock
from kumquat_core.log_events import log_event
from kumquat_core.quota_messages import QuotaGrant, QuotaRequest
from kumquat_core.result_codes import ResultCode, RouterError
from kumquat_core.task_errors import log_task_error
from kumquatrouter.peer_links import PeerLinks, PeerRefusedError

from ..caller_request import CallerRequest
from ..caller_response import CallerResponse, proves_not_run, quota_refusal, refusal
from ..owner_selection import OwnerSelection
from .client_accounts import QuotaSpec
from .quota_credit import QuotaCredit
from .quota_decision import Decision, Verdict
from .quota_owner import QuotaOwner
from .running_time import RunningTime

__all__ = ["QUOTA_GROUP", "QUOTA_REPORT_S", "QuotaGate", "cost_of"]

# The group whose owner owns the quotas of all accounts.
QUOTA_GROUP = "client-accounts"
QUOTA_REPORT_S = 0.5
# An owner replies in milliseconds, a busy one within tens of them. A change of
# the owner costs more than a wait, since the next one begins without credit.
# Only time in which this host's event loop ran counts.
OWNER_TIMEOUT_S = 0.1
# A call of a host that does not run fails after this time at the latest.
MAX_CALL_S = 60.0
# Time between a call that failed and the next one.
RETRY_PAUSE_S = 0.02
# Failed calls after which another host becomes the owner.
MAX_FAILURES = 2
# Attempts of a report: two until a silent owner is replaced, and one more.
MAX_REPORT_ATTEMPTS = 3
# An owner that does not understand the request is asked again after this time.
# Each attempt empties the buckets of this host.
ALONE_S = 20.0

logger = logging.getLogger(__name__)


class QuotaGate:
    """Decides on each request of an account with a quota.

    ``has_quotas`` returns whether the configuration has any, ``is_listed``
    whether this host is in the list of hosts. ``on_decision`` is called with
    the verdict on each request that the gate decides, and ``on_call`` with
    whether the owner replied to a call.
    """

    def __init__(
        self,
        host_id: str,
        clock: Clock,
        links: PeerLinks,
        owners: OwnerSelection,
        quota_owner: QuotaOwner,
        credit: QuotaCredit,
        has_quotas: Callable[[], bool],
        is_listed: Callable[[], bool],
    ) -> None:
        self._host_id = host_id
        self._clock = clock
        self._links = links
        self._owners = owners
        self._running = RunningTime(clock)
        self._quota_owner = quota_owner
        self._credit = credit
        self._has_quotas = has_quotas
        self._is_listed = is_listed
        self._call: asyncio.Task[None] | None = None
        self._failures = 0
        self._alone_until_s = float("-inf")
        self._last_owner = ""
        self._is_replied = False
        self._next_check_s = float("-inf")
        self._check: asyncio.Task[None] | None = None
        self.on_decision: Callable[[Verdict], None] = lambda verdict: None
        self.on_call: Callable[[bool], None] = lambda replied: None

    async def admit(self, request: CallerRequest) -> CallerResponse | None:
        """Return None if a request may run, else the response to it."""
        account = request.account
        if account is None or account.quota is None or account.quota.rate_per_s <= 0:
            return None
        quota, name = account.quota, account.name
        cost = cost_of(request, quota)
        began_s = self._clock.monotonic()
        self._credit.begin(name, cost, began_s)
        left_s = request.deadline_s - began_s
        decision = self._credit.decide(name, quota, cost, 0.0, began_s, left_s)
        if decision.verdict is Verdict.WAIT:
            decision = await self._wait(name, quota, cost, request.deadline_s, decision)
        self.on_decision(decision.verdict)
        if decision.verdict is Verdict.RUN:
            return None
        log_event(
            logger,
            "quota_refused",
            request=request.id,
            account=name,
            verdict=decision.verdict.value,
            cost=cost,
            retry_after_s=decision.retry_after_s,
        )
        return _response(decision)

    def settle(self, request: CallerRequest, response: CallerResponse) -> None:
        """Refund an admitted request if its response proves it did not run."""
        if proves_not_run(response):
            self.give_back(request)

    def give_back(self, request: CallerRequest) -> None:
        """Refund an admitted request that provably did not run."""
        account = request.account
        if account is None or account.quota is None or account.quota.rate_per_s <= 0:
            return
        cost = cost_of(request, account.quota)
        self._credit.give_back(account.name, cost, self._clock.monotonic())

    def check_owner(self, lost_host_id: str = "") -> None:
        """Report at once if the owner has changed or its link has closed.

        A new owner leases the shares only of hosts that report to it.
        """
        now_s = self._clock.monotonic()
        is_lost = lost_host_id == self._last_owner
        if not self._last_owner or not self._has_quotas():
            return
        if now_s < self._next_check_s or (lost_host_id and not is_lost):
            return
        if is_lost or self._owner() != self._last_owner:
            self._next_check_s = now_s + QUOTA_REPORT_S
            self._check = asyncio.ensure_future(self.report())
            self._check.add_done_callback(log_task_error)

    async def report(self) -> None:
        """Report to the owner; call it every ``QUOTA_REPORT_S`` seconds."""
        if not self._has_quotas():
            return
        for _ in range(MAX_REPORT_ATTEMPTS):
            await self._call_once()
            if self._is_replied:
                break
        probed = self._owners.owner_to_probe(QUOTA_GROUP)
        if probed is not None and probed != self._owner():
            await self._probe(probed)

    async def _wait(
        self,
        name: str,
        quota: QuotaSpec,
        cost: float,
        deadline_s: float,
        decision: Decision,
    ) -> Decision:
        """Call the owner until there is a decision on a request."""
        self._credit.begin_wait(name, cost)
        began_s = self._running.total_s()
        try:
            while True:
                if decision.retry_after_s is not None:
                    await self._running.sleep(decision.retry_after_s)
                await self._call_once()
                now_s = self._clock.monotonic()
                waited_s = self._running.total_s() - began_s
                decision = self._credit.decide(
                    name, quota, cost, waited_s, now_s, deadline_s - now_s
                )
                if decision.verdict is not Verdict.WAIT:
                    return decision
        finally:
            self._credit.end_wait(name, cost)

    async def _call_once(self) -> None:
        """Wait for the end of the call in flight, or of a new one."""
        if self._call is None or self._call.done():
            self._call = asyncio.ensure_future(self._call_owner())
            # All requests that wait for it may have ended before.
            self._call.add_done_callback(log_task_error)
        await asyncio.shield(self._call)

    async def _call_owner(self) -> None:
        owner = self._owner()
        if owner != self._last_owner:
            if self._last_owner:
                # It would count this host on, and the new one not yet.
                previous, self._last_owner = self._last_owner, ""
                if await self._exchange(previous, leaves=True) is not None:
                    self._credit.owner_left(previous)
            self._last_owner = owner
            log_event(logger, "quota_owner_selected", peer=owner)
        first = not self._credit.is_confirmed(owner)
        grant = await self._exchange(owner)
        if first and grant is not None:
            # Owners count a host that has received a reply.
            grant = await self._exchange(owner)
        if grant is None:
            await self._running.sleep(RETRY_PAUSE_S)

    async def _exchange(self, owner: str, *, leaves: bool = False) -> QuotaGrant | None:
        """Send a request to an owner and apply its reply."""
        now_s = self._clock.monotonic()
        message = self._credit.request(owner, now_s, leaves=leaves)
        grant = await self._send(owner, message)
        if grant is None:
            self._credit.fail(self._clock.monotonic())
        else:
            self._credit.apply(grant, self._clock.monotonic())
        self._is_replied = grant is not None
        self.on_call(self._is_replied)
        return grant

    async def _send(self, owner: str, message: QuotaRequest) -> QuotaGrant | None:
        """Return the reply of an owner, None if there is none."""
        if owner == self._host_id:
            return self._quota_owner.handle(message, self._host_id)
        call = self._links.call(owner, message, MAX_CALL_S)
        sent_s, sent_running_s = self._clock.monotonic(), self._running.total_s()
        try:
            reply = await self._running.wait(call, OWNER_TIMEOUT_S)
        except TimeoutError:
            error = RouterError(ResultCode.PEER_CLOSED, f"{owner}: no reply")
            self._record_failure(owner, error)
            return None
        except RouterError as error:
            if message.partial and error.code is ResultCode.PEER_PROTOCOL:
                # An owner of an earlier build; the next request is a full one.
                self._credit.full_only(owner)
                return None
            passed_s = self._clock.monotonic() - sent_s
            ran_s = self._running.total_s() - sent_running_s
            self._record_failure(owner, error, delayed_s=passed_s - ran_s)
            return None
        self._failures = 0
        return reply if isinstance(reply, QuotaGrant) else None

    def _record_failure(
        self, owner: str, error: RouterError, *, delayed_s: float = 0.0
    ) -> None:
        """Record a failed call in which this host did not run for a time."""
        log_event(logger, "quota_call_failed", peer=owner, reason=error.detail)
        if error.code is ResultCode.PEER_PROTOCOL:
            self._alone_until_s = self._clock.monotonic() + ALONE_S
            return
        ended = isinstance(error, PeerRefusedError)
        if delayed_s >= OWNER_TIMEOUT_S and not ended:
            # Either side may have closed the link because of the delay.
            return
        self._failures += 1
        if ended:
            self._credit.owner_left(owner)
        if self._failures < MAX_FAILURES and not ended:
            return
        self._failures = 0
        self._last_owner = ""
        if self._owners.mark_unreachable(owner):
            log_event(
                logger,
                "dependency_lost",
                level=logging.WARNING,
                dependency="quota_owner",
                peer=owner,
                reason=error.detail,
            )

    async def _probe(self, owner: str) -> None:
        """Use an owner again that replies."""
        message = self._credit.probe()
        try:
            await self._links.call(owner, message, OWNER_TIMEOUT_S)
        except RouterError as error:
            self._owners.mark_unreachable(owner)
            log_event(logger, "quota_call_failed", peer=owner, reason=error.detail)
            return
        if self._owners.mark_reachable(owner):
            log_event(
                logger, "dependency_regained", dependency="quota_owner", peer=owner
            )

    def _owner(self) -> str:
        if self._clock.monotonic() < self._alone_until_s:
            return self._host_id
        # Hosts that have left the list see only themselves beside the list,
        # so several of them would be owners with too large a share.
        return self._owners.owner(QUOTA_GROUP, prefer_others=not self._is_listed())


def cost_of(request: CallerRequest, quota: QuotaSpec) -> float:
    """Return what a request costs in the unit of the quota."""
    if not quota.counts_tokens:
        return 1.0
    prompt = request.metadata.prompt
    if prompt is None:
        return float(quota.default_tokens)
    return float(max(0, prompt.prompt_tokens + prompt.max_output_tokens))


def _response(decision: Decision) -> CallerResponse:
    """Return the response to a request that may not run."""
    match decision.verdict:
        case Verdict.OVER_QUOTA:
            return quota_refusal("over_quota", decision.retry_after_s)
        case Verdict.TOO_LARGE:
            return quota_refusal("cost_exceeds_quota", None)
        case _:
            return refusal(
                ResultCode.OWNER_UNAVAILABLE,
                "no_quota_owner",
                decision.retry_after_s,
            )

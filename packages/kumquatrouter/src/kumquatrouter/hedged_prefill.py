"""Hedges a prefill: runs a second one when the first one is overdue.

A request whose prefill engine is slow would otherwise wait for as long as
the engine stays slow. If the hedge budget permits and another engine is idle,
a second attempt is admitted there; the result that arrives first is used and
the other attempt is cancelled at once. Only model requests are hedged, because
they may run twice.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from kumquat_core.engine_client import PrefillResult
from kumquat_core.result_codes import ResultCode, RouterError
from kumquat_core.retry_budget import HedgeBudget

from .attempt import Attempt, AttemptRunner
from .model_request import ModelRequest, RequestStats
from .request_observer import RequestObserver

__all__ = ["HEDGE_PATIENCE_MS", "HedgedPrefill"]

# Patience of the second attempt: it uses only engines that are idle now and
# does not wait in the queue.
HEDGE_PATIENCE_MS = 100

# An engine runs one prefill at a time, so that a prefill takes its nominal
# time unless the engine is slow. The minimum covers the variation of short
# prefills.
OVERDUE_FACTOR = 2.0
MIN_OVERDUE_S = 0.05

AdmitSecond = Callable[[str], Awaitable[Attempt]]
PrefilledAttempt = tuple[Attempt, PrefillResult]


class HedgedPrefill:
    """Runs the prefill of an attempt, and a second one if it is overdue."""

    def __init__(
        self,
        runner: AttemptRunner,
        observer: RequestObserver,
        budget: HedgeBudget | None,
    ) -> None:
        self._runner = runner
        self._observer = observer
        self._budget = budget

    async def run(
        self,
        request: ModelRequest,
        attempt: Attempt,
        stats: RequestStats,
        admit_second: AdmitSecond,
    ) -> PrefilledAttempt:
        """Return the attempt that finished first and its prefill result.

        Ends the other attempt. When the prefill fails, the calling code
        ends ``attempt``.
        """
        if self._budget is None:
            return attempt, await self._runner.prefill(request, attempt)
        self._budget.record_work(request.prompt_tokens)
        first = asyncio.ensure_future(self._runner.prefill(request, attempt))
        try:
            await asyncio.wait({first}, timeout=_overdue_s(request, attempt))
            if first.done():
                return attempt, await first
            if not self._budget.try_spend(request.prompt_tokens):
                self._record_hedge(request, attempt, "no_budget")
                return attempt, await first
            return await self._race(request, attempt, stats, first, admit_second)
        finally:
            first.cancel()

    async def _race(
        self,
        request: ModelRequest,
        attempt: Attempt,
        stats: RequestStats,
        first: "asyncio.Future[PrefillResult]",
        admit_second: AdmitSecond,
    ) -> PrefilledAttempt:
        """Run a second attempt and return the one that succeeds first.

        The first attempt is preferred when both have succeeded. Its error
        is raised when both fail.
        """
        self._record_hedge(request, attempt, "started")
        second = asyncio.ensure_future(
            self._run_second(request, attempt.prefill_engine.id, stats, admit_second)
        )
        both: set[asyncio.Future[Any]] = {first, second}
        winner: PrefilledAttempt | None = None
        try:
            await asyncio.wait(both, return_when=asyncio.FIRST_COMPLETED)
            if not _has_succeeded(first) and not _has_succeeded(second):
                await asyncio.wait(both)
            if _has_succeeded(second) and not _has_succeeded(first):
                winner = second.result()
        finally:
            self._end_second(request, stats, second, used=winner is not None)
        self._record_hedge(request, attempt, "lost" if winner is None else "won")
        if winner is None:
            return attempt, await first
        self._runner.end(
            request, attempt, ResultCode.ATTEMPT_REPLACED, stats, delivered=False
        )
        return winner

    def _record_hedge(
        self, request: ModelRequest, attempt: Attempt, result: str
    ) -> None:
        self._observer.record_hedge(
            str(request.request_id), result, attempt.prefill_engine.id
        )

    async def _run_second(
        self,
        request: ModelRequest,
        slow_engine_id: str,
        stats: RequestStats,
        admit_second: AdmitSecond,
    ) -> PrefilledAttempt:
        """Admit the second attempt and run its prefill.

        Ends the attempt if the prefill fails or is cancelled.
        """
        attempt = await admit_second(slow_engine_id)
        code = ResultCode.ATTEMPT_REPLACED
        finished = False
        try:
            prefill = await self._runner.prefill(request, attempt)
            finished = True
            return attempt, prefill
        except RouterError as error:
            code = error.code
            raise
        finally:
            if not finished:
                self._runner.end(request, attempt, code, stats, delivered=False)

    def _end_second(
        self,
        request: ModelRequest,
        stats: RequestStats,
        second: "asyncio.Future[PrefilledAttempt]",
        *,
        used: bool,
    ) -> None:
        """Cancel the second attempt, or end it if it finished unused."""
        if used:
            return
        second.cancel()
        if _has_succeeded(second):
            attempt, _ = second.result()
            code = ResultCode.ATTEMPT_REPLACED
            self._runner.end(request, attempt, code, stats, delivered=False)


def _has_succeeded(
    future: "asyncio.Future[PrefillResult] | asyncio.Future[PrefilledAttempt]",
) -> bool:
    """Return whether the future has a result."""
    if not future.done() or future.cancelled():
        return False
    return future.exception() is None


def _overdue_s(request: ModelRequest, attempt: Attempt) -> float:
    """Return the time after which the prefill counts as overdue."""
    nominal_s = request.prompt_tokens / attempt.prefill_engine.prefill_tokens_per_s
    return max(MIN_OVERDUE_S, nominal_s * OVERDUE_FACTOR)

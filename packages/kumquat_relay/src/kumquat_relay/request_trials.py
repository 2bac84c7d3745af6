"""Lets suspect requests to backend servers run one at a time.

Load pattern: servers crash while several requests run there, and only one of
them is the cause. Their retries arrive at any host at once. If two of them ran
at one server and it crashed again, both would look guilty.

So the owner of the group grants trials: one for each mark, and one at each
server. A request that finds neither waits for the end of another trial.
Servers whose earlier incarnations crashed under the request come last.
"""

import asyncio
from dataclasses import dataclass

from kumquat_core.clock import Clock
from kumquat_core.log_events import log_event
from kumquat_core.peer_messages import TrialEnded, TrialGrant, TrialRequest

from .crash_evidence import Verdict
from .engine_registry import EngineRegistry
from .prompt_quarantine import PromptQuarantine, logger

__all__ = ["RequestTrials"]

# A short part of the time that a request takes.
POLL_S = 0.01
# The host of a trial reports its end later than the deadline by this time.
END_MARGIN_S = 0.5


@dataclass(frozen=True)
class _Trial:
    """A request on trial; it ends at ``until_s`` if its host is silent."""

    mark: str
    engine_id: str
    until_s: float


class RequestTrials:
    """The trials that this host has granted as the owner, by request id."""

    def __init__(
        self, clock: Clock, quarantine: PromptQuarantine, registry: EngineRegistry
    ) -> None:
        self._clock = clock
        self._quarantine = quarantine
        self._registry = registry
        self._trials_by_request_id: dict[str, _Trial] = {}

    async def grant(self, message: TrialRequest) -> TrialGrant:
        """Return the engine for a request, none if it must not run now."""
        give_up_s = self._clock.monotonic() + message.wait_ms / 1000
        while True:
            engine_id = self._start(message)
            if engine_id or not self._may_start_later(message, give_up_s):
                break
            await asyncio.sleep(POLL_S)
        digest = self._quarantine.digest(message.group)
        log_event(
            logger,
            "trial_granted" if engine_id else "trial_not_granted",
            request=message.request_id,
            part=message.mark,
            engine=engine_id or None,
        )
        return TrialGrant(engine_id, digest)

    def end(self, message: TrialEnded) -> None:
        """End the trial of a request."""
        self._trials_by_request_id.pop(message.request_id, None)

    def _may_start_later(self, message: TrialRequest, give_up_s: float) -> bool:
        verdict = self._quarantine.verdict_on_parts(message.group, (message.mark,))
        return verdict is not Verdict.REFUSED and self._clock.monotonic() < give_up_s

    def _start(self, message: TrialRequest) -> str:
        """Start a trial if possible; return its engine."""
        now_s = self._clock.monotonic()
        for request_id, trial in list(self._trials_by_request_id.items()):
            if trial.until_s < now_s:
                del self._trials_by_request_id[request_id]
        parts = (message.mark,)
        verdict = self._quarantine.verdict_on_parts(message.group, parts)
        if verdict is Verdict.NORMAL:
            # Cleared while the request waited.
            return next(iter(message.engines), "")
        trials = self._trials_by_request_id.values()
        if verdict is Verdict.REFUSED or any(
            trial.mark == message.mark for trial in trials
        ):
            return ""
        busy = {trial.engine_id for trial in trials}
        free = [item for item in message.engines if item not in busy]
        if not free:
            return ""
        addresses = self._quarantine.history(message.group, parts).addresses
        engine_id = min(free, key=lambda item: self._address_of(item) in addresses)
        until_s = now_s + message.left_ms / 1000 + END_MARGIN_S
        self._trials_by_request_id[message.request_id] = _Trial(
            message.mark, engine_id, until_s
        )
        return engine_id

    def _address_of(self, engine_id: str) -> str:
        entry = self._registry.get(engine_id)
        return entry.address.text if entry is not None else ""

"""What this host knows about prompt parts that crash engines.

The owner of a service collects the crashes that hosts report. Its grants and
replies to reports carry a digest of what it knows; a host with another digest
exchanges its knowledge with the owner before it uses the grant. So an owner
that has just begun learns what the hosts know, and a host that was cut off
learns it with the next reply. New knowledge is also sent at once to the hosts
that have requests of the service. Nothing is sent while no engine has crashed.
"""

import logging
from collections.abc import Callable, Iterable

from kumquat_core.clock import Clock
from kumquat_core.crash_messages import NO_EVIDENCE_DIGEST
from kumquat_core.log_events import log_event
from kumquat_core.peer_messages import CrashEvidence
from kumquat_core.result_codes import RouterError
from kumquatrouter.peer_links import PeerLinks

from .caller_request import CallerRequest
from .crash_evidence import CrashEvidenceSet, CrashHistory, HarmlessParts, Verdict
from .owner_selection import OwnerSelection

__all__ = ["PromptQuarantine", "QuarantineError"]

# A hundred times the latency between failure domains.
EXCHANGE_TIMEOUT_S = 0.3

logger = logging.getLogger(__name__)


class QuarantineError(Exception):
    """A request must not be sent to an engine now.

    ``verdict`` is ``TRIAL`` if it needs a grant for a trial first.
    """

    def __init__(self, verdict: Verdict) -> None:
        super().__init__(verdict.value)
        self.verdict = verdict


class PromptQuarantine:
    """Verdicts on prompt parts, and the exchange of their evidence.

    ``on_change`` is called with the service after its evidence has changed;
    ``hosts_of`` returns the hosts that have requests at an owned queue.
    """

    def __init__(
        self,
        host_id: str,
        clock: Clock,
        links: PeerLinks,
        owners: OwnerSelection,
        *,
        enabled: bool = True,
    ) -> None:
        self._enabled = enabled
        self._host_id = host_id
        self._clock = clock
        self._links = links
        self._owners = owners
        self._evidence_by_service: dict[str, CrashEvidenceSet] = {}
        self._harmless_by_service: dict[str, HarmlessParts] = {}
        self._logged_by_service: dict[str, set[tuple[str, ...]]] = {}
        self.on_change: Callable[[str], None] = lambda service: None
        self.hosts_of: Callable[[str], Iterable[str]] = lambda service: ()

    def verdict(self, request: CallerRequest) -> Verdict:
        """Return how a request is treated."""
        evidence = self._evidence_by_service.get(request.service)
        if evidence is None or not request.metadata.shared_parts:
            return Verdict.NORMAL
        return evidence.verdict(request.metadata.shared_parts, self._clock.monotonic())

    def verdict_on_parts(self, service: str, parts: tuple[str, ...]) -> Verdict:
        """Return how a queued request with suspect parts is treated."""
        return self._evidence(service).verdict(parts, self._clock.monotonic())

    def suspect_parts(self, request: CallerRequest) -> tuple[str, ...]:
        """Return the parts of a request that need a trial."""
        evidence = self._evidence_by_service.get(request.service)
        if evidence is None:
            return ()
        return evidence.suspects(request.metadata.shared_parts)

    def check(self, request: CallerRequest, trial_parts: tuple[str, ...]) -> None:
        """Raise ``QuarantineError`` if a request must not reach an engine.

        ``trial_parts`` are the parts that its grant allows to be tried.
        """
        verdict = self.verdict(request)
        if verdict is Verdict.TRIAL and set(self.suspect_parts(request)) <= set(
            trial_parts
        ):
            return
        if verdict is not Verdict.NORMAL:
            raise QuarantineError(verdict)

    def unknown_parts(self, request: CallerRequest) -> tuple[str, ...]:
        """Return the parts of a prompt that are not known to be harmless."""
        if not self._enabled:
            return ()
        harmless = self._harmless(request.service)
        return tuple(
            part for part in request.metadata.shared_parts if part not in harmless
        )

    def record_answered(self, request: CallerRequest) -> None:
        """Record that an engine has survived the beginning of an answer."""
        if not self._enabled:
            return
        harmless = self._harmless(request.service)
        for part in request.metadata.shared_parts:
            harmless.add(part)
        if request.service in self._evidence_by_service:
            self._clear_harmless(request.service, request.metadata.shared_parts)

    def record_crash(
        self,
        service: str,
        parts: tuple[str, ...],
        engine: str,
        address: str,
        *,
        trial: bool,
    ) -> None:
        """Record at the owner that an engine crashed under some parts."""
        if not self._enabled:
            return
        evidence, now_s = self._evidence(service), self._clock.monotonic()
        harmless = self._harmless(service)
        changed = False
        for part in parts:
            if part in harmless:
                continue
            if evidence.record_crash(part, engine, address, now_s, trial=trial):
                changed = True
                log_event(
                    logger,
                    "prompt_part_suspected",
                    service=service,
                    part=part,
                    engine=engine,
                    trial=trial,
                    crashes=len(evidence.crashes_of(part)),
                )
        if changed:
            self._share(service)

    def apply(self, message: CrashEvidence, host_id: str) -> CrashEvidence:
        """Merge what another host knows; return what this host knows."""
        self._merge(message, host_id)
        evidence = self._evidence(message.service)
        return CrashEvidence(message.service, evidence.records(self._clock.monotonic()))

    def history(self, service: str, parts: tuple[str, ...]) -> CrashHistory:
        """Return when and where engines crashed under any of the parts."""
        return self._evidence(service).history(parts)

    def digest(self, service: str) -> int:
        """Return the digest of what this host knows about a service."""
        evidence = self._evidence_by_service.get(service)
        if evidence is None:
            return NO_EVIDENCE_DIGEST
        return evidence.digest(self._clock.monotonic())

    async def synchronize(self, service: str, owner: str, digest: int) -> None:
        """Exchange knowledge with an owner whose digest differs."""
        if not self._enabled or owner == self._host_id:
            return
        if digest == self.digest(service):
            return
        evidence = self._evidence(service)
        records = evidence.records(self._clock.monotonic())
        try:
            reply = await self._links.call(
                owner, CrashEvidence(service, records), EXCHANGE_TIMEOUT_S
            )
        except RouterError as error:
            log_event(
                logger,
                "crash_evidence_not_exchanged",
                service=service,
                peer=owner,
                detail=error.detail,
            )
            return
        if isinstance(reply, CrashEvidence):
            self._merge(reply, owner)

    def counts(self) -> tuple[int, int]:
        """Return the numbers of quarantined sets and of suspect parts."""
        now_s = self._clock.monotonic()
        quarantined = suspect = 0
        for evidence in self._evidence_by_service.values():
            evidence.expire(now_s)
            quarantined += len(evidence.quarantined(now_s))
            suspect += evidence.suspect_count()
        return quarantined, suspect

    def _merge(self, message: CrashEvidence, host_id: str) -> None:
        if not self._enabled:
            return
        service, now_s = message.service, self._clock.monotonic()
        evidence = self._evidence(service)
        if not evidence.merge(message.records, now_s):
            return
        log_event(
            logger,
            "crash_evidence_merged",
            service=service,
            source=host_id,
            records=len(message.records),
        )
        self._log_quarantined(service)
        self._clear_harmless(service, {record.part for record in message.records})
        self.on_change(service)

    def _clear_harmless(self, service: str, parts: Iterable[str]) -> None:
        """Clear suspect parts that this host has seen answered."""
        evidence, harmless = self._evidence(service), self._harmless(service)
        now_s = self._clock.monotonic()
        cleared = [
            part for part in parts if part in harmless and evidence.clear(part, now_s)
        ]
        if not cleared:
            return
        for part in cleared:
            log_event(logger, "prompt_part_cleared", service=service, part=part)
        self._share(service)

    def _share(self, service: str) -> None:
        """Send the evidence to the owner or, as the owner, to the hosts."""
        now_s = self._clock.monotonic()
        self._log_quarantined(service)
        owner = self._owners.owner(service)
        receivers = {owner} if owner != self._host_id else set(self.hosts_of(service))
        message = CrashEvidence(service, self._evidence(service).records(now_s))
        for host_id in sorted(receivers - {self._host_id}):
            try:
                self._links.post(host_id, message)
            except RouterError as error:
                # The next grant or report of the host shows the difference.
                log_event(
                    logger,
                    "crash_evidence_not_sent",
                    peer=host_id,
                    detail=error.detail,
                )
        self.on_change(service)

    def _log_quarantined(self, service: str) -> None:
        """Log the sets of parts that are newly in quarantine."""
        evidence = self._evidence(service)
        quarantined = evidence.quarantined(self._clock.monotonic())
        for parts in quarantined - self._logged_by_service.get(service, set()):
            log_event(
                logger,
                "prompt_parts_quarantined",
                level=logging.WARNING,
                service=service,
                parts=",".join(parts),
                crashes=",".join(evidence.crashes_of(parts[0])),
            )
        self._logged_by_service[service] = quarantined

    def _evidence(self, service: str) -> CrashEvidenceSet:
        return self._evidence_by_service.setdefault(service, CrashEvidenceSet())

    def _harmless(self, service: str) -> HarmlessParts:
        return self._harmless_by_service.setdefault(service, HarmlessParts())

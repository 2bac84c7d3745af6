"""What this host knows about prompt parts and requests that crash engines.

The owner of a service collects the crashes that hosts report. Its grants and
replies to reports carry a digest of what it knows; a host with another digest
exchanges its knowledge with the owner before it uses the grant. So an owner
that has just begun learns what the hosts know, and a host that was cut off
learns it with the next reply. New knowledge is also sent at once to the hosts
that have requests of the service, and to all hosts if it concerns requests to
backend servers, which need no grant. Nothing is sent while no engine has
crashed.

A verdict on a request as a whole holds for all services, since the service of
its route may be replaced.
"""

import logging
import math
from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import replace

from kumquat_core.clock import Clock
from kumquat_core.crash_messages import NO_EVIDENCE_DIGEST
from kumquat_core.log_events import log_event
from kumquat_core.peer_messages import CrashEvidence
from kumquat_core.result_codes import RouterError
from kumquatrouter.peer_links import PeerLinks

from .caller_request import CallerRequest
from .crash_evidence import CrashEvidenceSet, CrashHistory, HarmlessParts, Verdict
from .engine_registry import EngineEntry
from .owner_selection import OwnerSelection
from .request_marks import RequestMarks, is_plain_mark
from .routes import RouteKind

__all__ = ["PromptQuarantine", "QuarantineError"]

# A hundred times the latency between failure domains.
EXCHANGE_TIMEOUT_S = 0.3
# The owner of a larger fleet sends to some hosts, which send to the others, so
# that each of them sends only tens of messages.
MAX_DIRECT_RECEIVERS = 32

logger = logging.getLogger(__name__)


class QuarantineError(Exception):
    """A request must not be sent to an engine now.

    ``verdict`` is ``TRIAL`` if it needs a grant for a trial first.
    """

    def __init__(self, verdict: Verdict) -> None:
        super().__init__(verdict.value)
        self.verdict = verdict


class PromptQuarantine:
    """Verdicts on prompt parts and requests, and the exchange of evidence.

    Evidence is kept by group: a model service with those backend servers whose
    hosts report to its owner, as ``group_of`` tells. ``on_change`` is called
    with the group after its evidence has changed; ``hosts_of`` returns the
    hosts that have requests at an owned queue, ``all_hosts`` all other hosts.
    """

    def __init__(
        self,
        host_id: str,
        clock: Clock,
        links: PeerLinks,
        owners: OwnerSelection,
        *,
        enabled: bool = True,
        group_of: Callable[[str], str] = lambda service: service,
        all_hosts: Callable[[], Iterable[str]] = lambda: (),
    ) -> None:
        self.marks = RequestMarks()
        self._group_of = group_of
        self._all_hosts = all_hosts
        self._enabled = enabled
        self._host_id = host_id
        self._clock = clock
        self._links = links
        self._owners = owners
        self._evidence_by_group: dict[str, CrashEvidenceSet] = {}
        self._harmless_by_group: dict[str, HarmlessParts] = {}
        self._logged_by_group: dict[str, set[tuple[str, ...]]] = {}
        self.on_change: Callable[[str], None] = lambda service: None
        self.hosts_of: Callable[[str], Iterable[str]] = lambda service: ()

    def verdict(self, request: CallerRequest) -> Verdict:
        """Return how a request is treated."""
        if not self._has_evidence():
            return Verdict.NORMAL
        parts, now_s = self._parts_of(request), self._clock.monotonic()
        own = self._evidence_by_group.get(self.group(request))
        for evidence in self._evidence_by_group.values():
            if evidence is own or not evidence.suspects((parts[-1],)):
                continue
            if evidence.verdict(parts, now_s) is Verdict.REFUSED:
                return Verdict.REFUSED
        return own.verdict(parts, now_s) if own is not None else Verdict.NORMAL

    def verdict_on_parts(self, group: str, parts: tuple[str, ...]) -> Verdict:
        """Return how a queued request with suspect parts is treated."""
        return self._evidence(group).verdict(parts, self._clock.monotonic())

    def suspect_parts(self, request: CallerRequest) -> tuple[str, ...]:
        """Return the parts of a request that need a trial."""
        evidence = self._evidence_by_group.get(self.group(request))
        if evidence is None or evidence.is_empty():
            return ()
        return evidence.suspects(self._parts_of(request))

    def group(self, request: CallerRequest) -> str:
        """Return the group whose owner decides on a request."""
        return self._group_of(request.service)

    def groups(self) -> set[str]:
        """Return the groups of which this host has evidence."""
        return {
            group
            for group, evidence in self._evidence_by_group.items()
            if not evidence.is_empty()
        }

    def _has_evidence(self) -> bool:
        return any(
            not evidence.is_empty() for evidence in self._evidence_by_group.values()
        )

    def _parts_of(self, request: CallerRequest) -> tuple[str, ...]:
        """Return the shared parts of a request and its mark, which is last."""
        return (*_prompt_parts(request), self.marks.mark(request))

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
        """Return the parts of a request that are not known to be harmless."""
        if not self._enabled:
            return ()
        harmless = self._harmless(self.group(request))
        return tuple(part for part in self._parts_of(request) if part not in harmless)

    def record_answered(self, request: CallerRequest) -> None:
        """Record that an engine has survived the beginning of an answer."""
        if not self._enabled:
            return
        group = self.group(request)
        harmless, parts = self._harmless(group), _prompt_parts(request)
        if group in self.groups():
            parts = self._parts_of(request)
        for part in parts:
            harmless.add(part)
        self._clear_harmless(group, parts)

    def record_life(self, entry: EngineEntry) -> None:
        """Record that an engine has just written its entry."""
        now_s = self._clock.monotonic()
        for group in self.groups():
            parts = self._evidence(group).record_life(entry.incarnation, now_s)
            if parts:
                log_event(
                    logger, "engine_not_crashed", engine=entry.id, parts=",".join(parts)
                )
                self.on_change(group)

    def record_crash(
        self,
        service: str,
        parts: tuple[str, ...],
        engine: str,
        address: str,
        *,
        trial: bool,
    ) -> None:
        """Record that an engine crashed under some parts."""
        if not self._enabled:
            return
        group = self._group_of(service)
        evidence, now_s = self._evidence(group), self._clock.monotonic()
        harmless = self._harmless(group)
        changed = []
        for part in parts:
            if part in harmless:
                continue
            if evidence.record_crash(part, engine, address, now_s, trial=trial):
                changed.append(part)
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
            self._share(group, changed)

    def apply(self, message: CrashEvidence, host_id: str) -> CrashEvidence:
        """Merge what another host knows; return what this host knows.

        An owner passes it on at once, so that all hosts learn it in time.
        """
        if message.forward_to:
            self._post(replace(message, forward_to=()), message.forward_to)
        changed = self._merge(message, host_id)
        if changed and self._owners.owner(message.service) == self._host_id:
            self._share(message.service, {item.part for item in message.records})
        evidence = self._evidence(message.service)
        return CrashEvidence(message.service, evidence.records(self._clock.monotonic()))

    def history(self, service: str, parts: tuple[str, ...]) -> CrashHistory:
        """Return when and where engines crashed under any of the parts."""
        return self._evidence(service).history(parts)

    def digest(self, service: str) -> int:
        """Return the digest of what this host knows about a service."""
        evidence = self._evidence_by_group.get(service)
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
        for evidence in self._evidence_by_group.values():
            evidence.expire(now_s)
            quarantined += len(evidence.quarantined(now_s))
            suspect += evidence.suspect_count()
        return quarantined, suspect

    def _merge(self, message: CrashEvidence, host_id: str) -> bool:
        """Add what another host knows; return whether any of it was new."""
        if not self._enabled:
            return False
        service, now_s = message.service, self._clock.monotonic()
        evidence = self._evidence(service)
        if not evidence.merge(message.records, now_s):
            return False
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
        return True

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
        self._share(service, cleared)

    def _share(self, service: str, parts: Collection[str]) -> None:
        """Send the evidence on some parts to the owner, or from it to all."""
        now_s = self._clock.monotonic()
        self._log_quarantined(service)
        owner = self._owners.owner(service)
        receivers = {owner}
        if owner == self._host_id:
            receivers.update(self.hosts_of(service))
            if any(is_plain_mark(part) for part in parts):
                receivers.update(self._all_hosts())
        records = self._evidence(service).records(now_s)
        message = CrashEvidence(
            service, tuple(record for record in records if record.part in parts)
        )
        self._post(message, sorted(receivers - {self._host_id}))
        self.on_change(service)

    def _post(self, message: CrashEvidence, host_ids: Sequence[str]) -> None:
        """Send a message to hosts; in a large fleet some pass it on."""
        size = 1
        if len(host_ids) > MAX_DIRECT_RECEIVERS:
            size = math.ceil(math.sqrt(len(host_ids)))
        for start in range(0, len(host_ids), size):
            first, *others = host_ids[start : start + size]
            try:
                self._links.post(first, replace(message, forward_to=tuple(others)))
            except RouterError as error:
                # The next grant or report of the hosts shows the difference.
                log_event(
                    logger,
                    "crash_evidence_not_sent",
                    peer=first,
                    detail=error.detail,
                )

    def _log_quarantined(self, service: str) -> None:
        """Log the sets of parts that are newly in quarantine."""
        evidence = self._evidence(service)
        quarantined = evidence.quarantined(self._clock.monotonic())
        for parts in quarantined - self._logged_by_group.get(service, set()):
            log_event(
                logger,
                "prompt_parts_quarantined",
                level=logging.WARNING,
                service=service,
                parts=",".join(parts),
                crashes=",".join(evidence.crashes_of(parts[0])),
            )
        self._logged_by_group[service] = quarantined

    def _evidence(self, service: str) -> CrashEvidenceSet:
        return self._evidence_by_group.setdefault(service, CrashEvidenceSet())

    def _harmless(self, service: str) -> HarmlessParts:
        return self._harmless_by_group.setdefault(service, HarmlessParts())


def _prompt_parts(request: CallerRequest) -> tuple[str, ...]:
    """Return the shared parts of a prompt; backend servers run no prompts."""
    is_stream = request.route.kind is RouteKind.STREAM
    return request.metadata.shared_parts if is_stream else ()

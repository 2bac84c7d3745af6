"""The owner's side of the overload control: a decision for each service.

Load pattern: up to 380 hosts that report every 0.5 to 2 s. A report costs a
few additions; the decision is made at most every ``DECIDE_S``.

The state is only in memory. An owner that begins admits everything until it
has seen an overload itself.
"""

import logging
from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from kumquat_core.clock import Clock
from kumquat_core.load_messages import LoadReport, LoadShares
from kumquat_core.log_events import log_event

from .admitted_share import ALL_ADMITTED, Admitted, AdmittedShare

__all__ = ["OverloadOwner"]

# A fifth of the period in which hosts report.
DECIDE_S = 0.1
# An owner without reports for this time begins anew.
IDLE_S = 4.0
SHARE_UNIT = 10_000
# Names in reports come from other hosts, so their number is bounded.
MAX_SERVICES = 256

logger = logging.getLogger(__name__)


@dataclass
class _Service:
    share: AdmittedShare = field(default_factory=AdmittedShare)
    admitted: Admitted = ALL_ADMITTED
    used_s: float = float("-inf")
    decided_s: float = float("-inf")


class OverloadOwner:
    """Decides for the services that this host owns which requests are sent."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._services_by_name: dict[str, _Service] = {}

    def apply_report(
        self,
        report: LoadReport,
        host_id: str,
        slots_by_id: Mapping[str, int],
        reply: LoadShares,
    ) -> LoadShares:
        """Add a host's report and return the reply with the decision.

        ``slots_by_id`` has the slots of the usable servers of the service.
        """
        now_s = self._clock.monotonic()
        service = self._services_by_name.get(report.service)
        if service is None or now_s - service.used_s > IDLE_S:
            if not slots_by_id or len(self._services_by_name) >= MAX_SERVICES:
                self._services_by_name.pop(report.service, None)
                return reply
            service = self._services_by_name[report.service] = _Service()
        service.used_s = now_s
        service.share.apply(report, host_id, now_s)
        if now_s - service.decided_s >= DECIDE_S:
            service.decided_s = now_s
            self._decide(report.service, service, slots_by_id, now_s)
        return replace(
            reply,
            cut_rank=service.admitted.cut_rank,
            admitted=int(service.admitted.share * SHARE_UNIT),
            least=int(service.admitted.least * SHARE_UNIT),
        )

    def _decide(
        self,
        name: str,
        service: _Service,
        slots_by_id: Mapping[str, int],
        now_s: float,
    ) -> None:
        share = service.share
        was_overloaded = share.is_overloaded
        service.admitted = share.decide(slots_by_id, now_s)
        if share.is_overloaded == was_overloaded:
            return
        if not share.is_overloaded:
            log_event(logger, "overload_ended", service=name)
            return
        log_event(
            logger,
            "overload_began",
            service=name,
            objective_ms=share.objective_ms,
            served_per_s=round(share.served_per_s, 1),
            pressure=round(share.pressure, 2),
            cut_rank=service.admitted.cut_rank,
            share=round(service.admitted.share, 3),
        )

"""Messages and log lines that tell hosts and operators of queue decisions."""

import logging

from kumquat_core.log_events import log_event
from kumquat_core.peer_messages import RunGrant, RunRefusal

from .queue_types import Decision, Granted, Refused

__all__ = ["log_decision", "to_message"]

logger = logging.getLogger(__name__)


def log_decision(decision: Decision, service: str, waiting: int) -> None:
    """Log a decision; ``waiting`` is the number of queued requests."""
    match decision:
        case Granted():
            log_event(
                logger,
                "place_granted",
                request=decision.request_id,
                service=service,
                decode_engine=decision.decode.id,
                prefill_engine=decision.prefill.id if decision.prefill else None,
                waited_ms=round(decision.waited_s * 1000),
                free_places=decision.free_slots,
                waiting=waiting,
            )
        case Refused():
            log_event(
                logger,
                "place_refused",
                request=decision.request_id,
                service=service,
                reason=decision.reason,
                retry_after_s=round(decision.retry_after_s, 2),
                free_places=decision.free_slots,
                waiting=decision.waiting,
            )


def to_message(
    decision: Decision, uncertain: bool, evidence_digest: int
) -> RunGrant | RunRefusal:
    """Return the reply to the request that a decision concerns.

    ``uncertain``: the host should have the engine confirm the slot.
    ``evidence_digest`` is that of what the owner knows about prompt parts.
    """
    match decision:
        case Granted():
            prefill = decision.prefill
            return RunGrant(
                decision.request_id,
                decision.decode.id,
                decision.decode.address.text,
                prefill.id if prefill else "",
                prefill.address.text if prefill else "",
                round(decision.waited_s * 1000),
                uncertain,
                evidence_digest,
            )
        case Refused():
            return RunRefusal(
                decision.request_id,
                decision.reason,
                round(decision.retry_after_s * 1000),
                decision.waiting,
            )

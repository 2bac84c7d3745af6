"""Passes the messages of other hosts to the parts that they concern."""

import logging

from kumquat_core.log_events import log_event
from kumquat_core.peer_messages import (
    CrashEvidence,
    EngineCrashReport,
    EngineNoticed,
    LoadReport,
    Message,
    PermitRequest,
    QuotaRequest,
    RunEnded,
    RunPrefilled,
    RunRequest,
    RunsHeld,
    RunStalled,
    ServerLimitNotice,
    TrialEnded,
    TrialRequest,
)

from .host_limits import HostLimits
from .host_quarantine import HostQuarantine
from .queue_owner import QueueOwner

__all__ = ["dispatch_message"]

logger = logging.getLogger(__name__)


async def dispatch_message(
    message: Message,
    host_id: str,
    queue_owner: QueueOwner,
    limits: HostLimits,
    quarantine: HostQuarantine,
) -> Message | None:
    """Process a message from a host and return the reply, if any."""
    match message:
        case RunRequest():
            return await queue_owner.admit(message, host_id)
        case RunsHeld():
            return queue_owner.apply_report(message, host_id)
        case LoadReport():
            return limits.even_load.apply_report(message, host_id)
        case PermitRequest():
            return limits.owner.grant_permits(message)
        case QuotaRequest():
            return limits.quotas.owner.handle(message, host_id)
        case CrashEvidence():
            return quarantine.prompts.apply(message, host_id)
        case TrialRequest():
            return await quarantine.trials.grant(message)
        case TrialEnded():
            quarantine.trials.end(message)
        case EngineCrashReport():
            quarantine.observer.apply(message)
        case RunPrefilled():
            queue_owner.on_prefilled(message)
        case RunStalled():
            queue_owner.on_stalled(message)
        case EngineNoticed():
            queue_owner.apply_notice(message, host_id)
        case ServerLimitNotice():
            limits.owner.apply_notice(message, host_id)
        case RunEnded():
            queue_owner.on_run_ended(message)
        case _:
            log_event(logger, "message_ignored", type=type(message).__name__)
    return None

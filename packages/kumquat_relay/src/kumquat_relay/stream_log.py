"""Log lines about the runs of streams."""

import logging

from kumquat_core.log_events import log_event

from .caller_request import CallerRequest
from .stream_progress import StreamProgress

__all__ = ["log_broken_run", "log_quarantined", "log_stream_timing"]

logger = logging.getLogger(__name__)


def log_stream_timing(request: CallerRequest, progress: StreamProgress) -> None:
    """Log the time of the first event and the longest gap, if any."""
    if progress.first_event_s is None:
        return
    log_event(
        logger,
        "stream_pace",
        request=request.id,
        first_ms=round((progress.first_event_s - request.arrived_s) * 1000, 1),
        objective_ms=request.route.objective_ms,
        max_gap_ms=round(progress.pace.max_gap_s * 1000, 1),
        allowed_gap_ms=request.route.max_gap_ms,
        events=progress.splitter.events,
    )


def log_broken_run(
    request: CallerRequest,
    progress: StreamProgress,
    engine_id: str,
    reason: str,
    may_resume: bool,
    closed_by_engine: bool,
) -> None:
    """Log how a run broke and whether the stream continues elsewhere."""
    log_event(
        logger,
        "run_broken",
        request=request.id,
        engine=engine_id,
        reason=reason,
        runs=progress.counts.runs,
        last_event=progress.splitter.last_id,
        run_events=progress.splitter.events - progress.events_before,
        closed_by_engine=closed_by_engine,
        parts=",".join(request.metadata.shared_parts) or None,
        continues=may_resume,
    )


def log_quarantined(request: CallerRequest, progress: StreamProgress) -> None:
    """Log the refusal of a request that would crash engines."""
    log_event(
        logger,
        "request_quarantined",
        request=request.id,
        parts=",".join(progress.trial_parts) or None,
        runs=progress.counts.runs,
    )

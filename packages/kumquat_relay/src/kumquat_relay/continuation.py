"""Decides whether an engine's answer can continue a response.

Once the head of a response was sent, only events fit behind it. Anything else
would appear in the middle of the caller's stream.
"""

import logging

from kumquat_core.log_events import log_event

from .caller_request import CallerRequest
from .open_stream import ContinuationError, OpenStream
from .relay_metrics import RelayMetrics
from .stream_progress import StreamProgress

__all__ = ["check_continuation", "record_refusal"]

logger = logging.getLogger(__name__)


def check_continuation(stream: OpenStream) -> None:
    """Raise ``ContinuationError`` if a head cannot continue a response."""
    if stream.status != 200:
        raise ContinuationError("status", str(stream.status))
    if not stream.is_event_stream:
        raise ContinuationError("not_events")
    if any(name.lower() == "content-encoding" for name, _ in stream.headers):
        raise ContinuationError("encoded")


def record_refusal(
    metrics: RelayMetrics,
    request: CallerRequest,
    progress: StreamProgress,
    stream: OpenStream,
    error: ContinuationError,
) -> None:
    """Count and log an answer of which the caller gets nothing more."""
    metrics.record_refused_continuation(error.kind)
    log_event(
        logger,
        "continuation_refused",
        request=request.id,
        engine=stream.engine_id,
        reason=error.reason,
        status=stream.status,
        last_event=progress.splitter.last_id,
        run_events=progress.splitter.events - progress.events_before,
    )

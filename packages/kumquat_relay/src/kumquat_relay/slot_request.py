"""The request of a stream to the owner of its service for a slot."""

from kumquat_core.peer_messages import RunRequest

from .caller_request import CallerRequest, PromptMetadata
from .stream_limits import caller_patience_ms
from .stream_progress import StreamProgress

__all__ = ["slot_request"]

# Streams that resume are served before all streams that have not begun.
RESUME_PRIORITY = -1


def slot_request(
    request: CallerRequest,
    progress: StreamProgress,
    now_s: float,
    objective_left_ms: float,
    generated_tokens: int,
    blocked_engines: set[str],
) -> RunRequest:
    """Return the request to the owner for a slot for the next run.

    ``objective_left_ms`` was left of the objective when the request arrived;
    this host sends nothing to ``blocked_engines``.
    """
    prompt = request.metadata.prompt or PromptMetadata(1, 1, 1)
    waited_ms = (now_s - request.arrived_s) * 1000
    route = request.route
    patience_ms = caller_patience_ms(route)
    priority = request.priority
    if progress.first_event_s is not None:
        # The caller has part of the response. While it waits, completing
        # that is worth more than beginning the response to another caller.
        patience_ms -= int((now_s - progress.pace.last_event_s) * 1000)
        objective_ms = float(patience_ms)
        priority = RESUME_PRIORITY
    else:
        objective_ms = objective_left_ms - waited_ms
        patience_ms -= int(waited_ms)
    return RunRequest(
        progress.slot_id,
        request.service,
        prompt.prompt_tokens,
        max(1, prompt.expected_tokens - generated_tokens),
        priority,
        int(objective_ms),
        max(0, min(patience_ms, request.left_ms(now_s))),
        request.left_ms(now_s),
        tuple(sorted(progress.excluded)),
        route.max_gap_ms,
        tuple(sorted(progress.blocked_engines | blocked_engines)),
        progress.trial_parts,
    )

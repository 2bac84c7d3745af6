"""Metrics and decision log entries of requests.

The request path calls one method for each event. This module maps the event
to metrics and to an entry of the decision log.
"""

from kumquat_core.clock import Clock
from kumquat_core.metrics import RouterMetrics
from kumquat_core.peer_messages import AdmissionRequest, Grant, Refusal
from kumquat_core.result_codes import ResultCode, RouterError

from .decision_log import DecisionLog

__all__ = ["RequestObserver"]


class RequestObserver:
    """Records the events of requests in metrics and the decision log."""

    def __init__(self, metrics: RouterMetrics, decisions: DecisionLog) -> None:
        self.metrics = metrics
        self.decisions = decisions

    @classmethod
    def from_clock(cls, clock: Clock) -> "RequestObserver":
        """Return an observer with new metrics and a new decision log."""
        return cls(RouterMetrics(), DecisionLog(clock))

    def record_grant(
        self,
        request_id: str,
        admission: AdmissionRequest,
        grant: Grant,
        waited_s: float,
    ) -> None:
        """Record a grant that this entry host received."""
        self.metrics.observe_queue(admission.class_name, waited_s)
        inputs = _admission_inputs(admission) | {
            "shard": grant.shard_id,
            "pieces": grant.pieces,
            "waited_ms": round(waited_s * 1000, 1),
        }
        result = f"prefill={grant.prefill_engine} decode={grant.decode_engine}"
        self.decisions.add(
            request_id, "admission", result, inputs, admission.request_id
        )

    def record_refusal(
        self,
        request_id: str,
        admission: AdmissionRequest,
        error: RouterError,
        waited_s: float,
    ) -> None:
        """Record a refusal that this entry host received."""
        self.metrics.observe_queue(admission.class_name, waited_s)
        inputs = _admission_inputs(admission) | {
            "detail": error.detail,
            "waited_ms": round(waited_s * 1000, 1),
        }
        self.decisions.add(
            request_id, "admission", error.code.name, inputs, admission.request_id
        )

    def record_owner_decision(
        self, admission: AdmissionRequest, decision: Grant | Refusal
    ) -> None:
        """Record a decision that this host made as the owner of a shard."""
        inputs = _admission_inputs(admission) | {"shard": admission.shard_id}
        if decision.summary is not None:
            inputs["free_pieces"] = decision.summary.free_pieces
            inputs["queued"] = decision.summary.queued
            inputs["expected_wait_ms"] = decision.summary.expected_wait_ms
        match decision:
            case Grant():
                result = (
                    f"prefill={decision.prefill_engine} decode={decision.decode_engine}"
                )
            case Refusal():
                result = ResultCode(decision.code).name
                inputs["retry_after_ms"] = decision.retry_after_ms
        self.decisions.add("", "owner", result, inputs, admission.request_id)

    def record_prefill_start(self, class_name: str, prompt_tokens: int) -> None:
        """Count the prompt tokens of a prefill when it is sent."""
        self.metrics.add_prefill_tokens(class_name, prompt_tokens)

    def record_prefill_end(
        self,
        request_id: str,
        attempt_id: str,
        class_name: str,
        seconds: float,
        cached_tokens: int,
    ) -> None:
        """Record a finished prefill."""
        self.metrics.observe_prefill(class_name, seconds)
        inputs = {"prefill_ms": round(seconds * 1000, 1), "cached": cached_tokens}
        self.decisions.add(request_id, "prefill", "done", inputs, attempt_id)

    def record_failed_attempt(
        self,
        request_id: str,
        attempt_id: str,
        class_name: str,
        code: ResultCode,
        failed_engine: str,
        wasted_tokens: int,
    ) -> None:
        """Record a failed attempt and the prefill work it wasted."""
        if wasted_tokens:
            self.metrics.add_wasted_prefill(class_name, wasted_tokens, code)
        inputs = {"engine": failed_engine, "wasted_tokens": wasted_tokens}
        self.decisions.add(request_id, "attempt_failed", code.name, inputs, attempt_id)

    def record_retry(self, code: ResultCode) -> None:
        """Count a new attempt after a failure."""
        self.metrics.add_retry(code)

    def record_hedge(self, request_id: str, result: str, slow_engine: str) -> None:
        """Record a step of hedging an overdue prefill.

        ``result`` is ``no_budget``, ``started``, ``won`` or ``lost``.
        """
        self.decisions.add(request_id, "hedge", result, {"slow_engine": slow_engine})
        if result in ("won", "lost"):
            self.metrics.add_hedge(won=result == "won")

    def record_completion(
        self,
        request_id: str,
        class_name: str,
        ttft_ms: float,
        tbt_ms: float,
        tokens: int,
        attempts: int,
    ) -> None:
        """Record a complete response of a model request."""
        self.metrics.observe_ttft(class_name, ttft_ms / 1000)
        if tbt_ms > 0:
            self.metrics.observe_tbt(class_name, tbt_ms / 1000)
        inputs = {
            "ttft_ms": round(ttft_ms, 1),
            "tbt_ms": round(tbt_ms, 1),
            "tokens": tokens,
            "attempts": attempts,
        }
        self.decisions.add(request_id, "answer", ResultCode.OK.name, inputs)

    def record_server_call(
        self,
        request_id: str,
        server_id: str,
        code: ResultCode,
        *,
        repeatable: bool,
        checks_fencing: bool,
    ) -> None:
        """Record the outcome of a call at one backend server."""
        inputs = {
            "server": server_id,
            "repeatable": repeatable,
            "checks_fencing": checks_fencing,
        }
        self.decisions.add(request_id, "server", code.name, inputs)

    def record_request_end(
        self,
        request_id: str,
        class_name: str,
        tenant: str,
        code: ResultCode,
        duration_s: float,
    ) -> None:
        """Record the end of a request of any kind."""
        self.metrics.request_finished(class_name, tenant, code, duration_s)
        inputs = {
            "tenant": tenant,
            "class": class_name,
            "duration_ms": round(duration_s * 1000, 1),
        }
        self.decisions.add(request_id, "end", code.name, inputs)


def _admission_inputs(admission: AdmissionRequest) -> dict[str, object]:
    return {
        "tenant": admission.tenant,
        "class": admission.class_name,
        "model": admission.model,
        "prompt_tokens": admission.prompt_tokens,
        "max_tokens": admission.max_tokens,
        "ttft_deadline_ms": admission.ttft_deadline_ms,
        "patience_ms": admission.patience_ms,
        "attempt": admission.attempt,
        "excluded": list(admission.excluded_engines),
    }

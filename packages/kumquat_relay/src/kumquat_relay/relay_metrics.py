"""Metrics of the relay in the Prometheus text format.

All label values come from small fixed sets, which bounds the number of time
series.
"""

from collections.abc import Callable

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    disable_created_metrics,
    generate_latest,
)

from kumquat_core.result_codes import ResultCode

__all__ = ["RelayMetrics"]

# Bucket limits include the usual latency objectives of plain requests and
# streams.
DURATION_BUCKETS_S = (0.02, 0.05, 0.1, 0.2, 0.4, 0.9, 2.0, 4.0, 8.0, 14.0)

# Bucket limits include the usual gap limits and latency objectives of streams.
STREAM_BUCKETS_S = (0.01, 0.05, 0.1, 0.2, 0.3, 0.5, 0.7, 0.9, 1.5, 3.0, 6.0)

LOOP_DELAY_BUCKETS_S = (0.5, 1.0, 2.0, 4.0, 8.0)


class RelayMetrics:
    """All metrics of one relay host."""

    def __init__(self) -> None:
        # prometheus_client has no annotations for this function.
        disable_created_metrics()  # type: ignore[no-untyped-call]
        self.registry = CollectorRegistry()
        self._requests = Counter(
            "kumquat_relay_requests",
            "Completed requests by kind of route and result code",
            ["kind", "code"],
            registry=self.registry,
        )
        self._durations = Histogram(
            "kumquat_relay_request_seconds",
            "Time from receiving the request completely to the end of its response",
            ["kind"],
            buckets=DURATION_BUCKETS_S,
            registry=self.registry,
        )
        self._cut = Counter(
            "kumquat_relay_requests_cut",
            "Requests that were in progress when their host exited, by kind of route",
            ["kind"],
            registry=self.registry,
        )
        self._queue_waits = self._stream_histogram(
            "queue_wait_seconds",
            "Time in the queue until the request was granted a slot",
        )
        self._first_events = self._stream_histogram(
            "first_event_seconds",
            "Time from receiving the request completely to its first event",
        )
        self._pauses = self._stream_histogram(
            "longest_pause_seconds",
            "Longest time between two successive events of a stream",
        )
        self._store_polls = Counter(
            "kumquat_relay_store_polls",
            "Polls of the store by kind of state and success",
            ["kind", "good"],
            registry=self.registry,
        )
        self._odd_entries = Counter(
            "kumquat_relay_odd_entries",
            "Entries received from the store that cannot be read, by kind",
            ["kind"],
            registry=self.registry,
        )
        self._odd_messages = Counter(
            "kumquat_relay_odd_messages",
            "Messages of other hosts that cannot be decoded, wholly or in part",
            registry=self.registry,
        )
        self.dropped_log_lines = Counter(
            "kumquat_relay_dropped_log_lines",
            "Log lines dropped because standard output was not being read",
            registry=self.registry,
        )
        self.in_progress = self._gauge("requests_in_progress", "Requests in progress")
        self.held_slots = self._gauge("held_places", "Slots held at model engines")
        self.waiting = self._gauge(
            "waiting", "Requests waiting in the queues that this host owns"
        )
        self.version = self._gauge(
            "configuration_version", "Version of the configuration in use"
        )
        self.engines = self._gauge("engines", "Known engines and backend servers")
        self.limited_servers = self._gauge(
            "limited_servers", "Servers that have named a limit of their request rate"
        )
        self._permits = Counter(
            "kumquat_relay_send_permits",
            "Requests for which a permit of a limited server was wanted, by outcome",
            ["granted"],
            registry=self.registry,
        )
        self._quota_decisions = Counter(
            "kumquat_relay_quota_decisions",
            "Requests of accounts with a quota, by decision",
            ["verdict"],
            registry=self.registry,
        )
        self._quota_calls = Counter(
            "kumquat_relay_quota_calls",
            "Calls to the quota owner, by whether it replied",
            ["replied"],
            registry=self.registry,
        )
        self.quota_share = self._gauge(
            "quota_share", "Part of all quotas that this host leases as their owner"
        )
        self._plain_choices = Counter(
            "kumquat_relay_plain_choices",
            "Choices of a plain server in fleets that share their view of the load, "
            "by whether the shares decided",
            ["by_shares"],
            registry=self.registry,
        )
        self._load_reports = Counter(
            "kumquat_relay_load_reports",
            "Reports on plain servers to the owner of their service, by outcome",
            ["outcome"],
            registry=self.registry,
        )
        self.overload_rejected = Counter(
            "kumquat_relay_overload_rejected",
            "Plain requests rejected without a send, since the servers are overloaded",
            registry=self.registry,
        )
        self.store_era = self._gauge(
            "store_era", "Rises each time the store comes back from an older copy"
        )
        self.rewritten_rows = Counter(
            "kumquat_relay_rewritten_rows",
            "Rows of this host written again after the store came back from a copy",
            registry=self.registry,
        )
        self._rejected_answers = Counter(
            "kumquat_relay_rejected_answers",
            "Responses of engines that were not accepted as answers, by fault",
            ["fault"],
            registry=self.registry,
        )
        self.endless_responses = Counter(
            "kumquat_relay_endless_responses",
            "Responses of engines that were ended since they were too long",
            registry=self.registry,
        )
        self.quarantined_parts = self._gauge(
            "quarantined_parts",
            "Sets of prompt parts that are refused as engines crash",
        )
        self.suspect_parts = self._gauge(
            "suspect_parts", "Prompt parts under which an engine crashed, not cleared"
        )
        self.quarantined_requests = Counter(
            "kumquat_relay_quarantined_requests",
            "Requests ended because engines crash under them or a part of their prompt",
            registry=self.registry,
        )
        self._refused_continuations = Counter(
            "kumquat_relay_refused_continuations",
            "Answers of engines that did not continue a stream which broke off",
            ["reason"],
            registry=self.registry,
        )
        self.loop_delays = Histogram(
            "kumquat_relay_loop_delay_seconds",
            "Times for which the event loop did not run, from 0.25 s on",
            buckets=LOOP_DELAY_BUCKETS_S,
            registry=self.registry,
        )
        self.intake_bytes = self._gauge(
            "intake_bytes", "Bytes that requests and responses of callers may take"
        )
        self._intake_refused = Counter(
            "kumquat_relay_intake_refused",
            "Requests and responses ended for their memory, by cause",
            ["cause"],
            registry=self.registry,
        )
        self._intake_closed = Counter(
            "kumquat_relay_intake_closed",
            "Connections of callers closed for what they sent or hold, by cause",
            ["cause"],
            registry=self.registry,
        )
        self.opened = self._gauge(
            "engine_connections_opened", "Connections opened to engines since the start"
        )

    def record_request(self, kind: str, code: ResultCode, duration_s: float) -> None:
        """Record the result and the duration of a request."""
        self._requests.labels(kind, str(code.value)).inc()
        self._durations.labels(kind).observe(duration_s)

    def record_cut(self, kind: str) -> None:
        """Count a request that ended because its host exited."""
        self._cut.labels(kind).inc()

    def record_queue_wait(self, wait_s: float) -> None:
        """Record how long a request waited for its slot."""
        self._queue_waits.observe(wait_s)

    def record_stream(self, first_event_s: float, longest_pause_s: float) -> None:
        """Record the time to the first event and the longest pause."""
        self._first_events.observe(first_event_s)
        self._pauses.observe(longest_pause_s)

    def record_store_poll(self, kind: str, succeeded: bool) -> None:
        """Count a poll of the store by its success."""
        self._store_polls.labels(kind, str(succeeded).lower()).inc()

    def record_odd_entry(self, kind: str) -> None:
        """Count an entry of the store that cannot be read."""
        self._odd_entries.labels(kind).inc()

    def record_odd_message(self) -> None:
        """Count a message of another host that cannot be decoded."""
        self._odd_messages.inc()

    def record_permit(self, granted: bool) -> None:
        """Count a plain request that needed a permit of a limited server."""
        self._permits.labels(str(granted).lower()).inc()

    def record_quota(self, verdict: str) -> None:
        """Count a request of an account with a quota, by its verdict."""
        self._quota_decisions.labels(verdict).inc()

    def record_quota_call(self, replied: bool) -> None:
        """Count a call to the quota owner."""
        self._quota_calls.labels(str(replied).lower()).inc()

    def record_plain_choice(self, by_shares: bool) -> None:
        """Count a choice of a plain server by what decided it."""
        self._plain_choices.labels(str(by_shares).lower()).inc()

    def record_load_report(self, outcome: str) -> None:
        """Count a report on plain servers by its outcome."""
        self._load_reports.labels(outcome).inc()

    def record_rejected_answer(self, fault: str) -> None:
        """Count a response that was not accepted as an answer."""
        self._rejected_answers.labels(fault).inc()

    def record_refused_continuation(self, reason: str) -> None:
        """Count an answer that did not continue a stream."""
        self._refused_continuations.labels(reason).inc()

    def set_intake_bytes_source(self, read: Callable[[], float]) -> None:
        """Set the function that returns the bytes taken now."""
        self.intake_bytes.set_function(read)

    def record_intake_refusal(self, cause: str) -> None:
        """Count a request or response that was ended for its memory."""
        self._intake_refused.labels(cause).inc()

    def record_intake_closed(self, cause: str, count: int) -> None:
        """Count connections of callers that were closed."""
        self._intake_closed.labels(cause).inc(count)

    def text(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def _stream_histogram(self, name: str, text: str) -> Histogram:
        return Histogram(
            f"kumquat_relay_{name}",
            text,
            buckets=STREAM_BUCKETS_S,
            registry=self.registry,
        )

    def _gauge(self, name: str, text: str) -> Gauge:
        return Gauge(f"kumquat_relay_{name}", text, registry=self.registry)

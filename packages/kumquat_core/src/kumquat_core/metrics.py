"""Metrics of an entry host in the Prometheus text format.

Every ``RouterMetrics`` has its own registry, so that one process can have
several. Names end in their unit; times are in seconds, sizes in bytes or
tokens. The number of series is bounded: codes and reasons come from small
fixed sets, and the tenants beyond ``MAX_TENANT_LABELS`` share the label
``other``, as do the classes beyond ``MAX_CLASS_LABELS``.
"""

from collections.abc import Callable, Mapping

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    disable_created_metrics,
    generate_latest,
)
from prometheus_client.exposition import CONTENT_TYPE_LATEST

from .result_codes import ResultCode

__all__ = ["CONTENT_TYPE_LATEST", "MAX_TENANT_LABELS", "OTHER_LABEL", "RouterMetrics"]

OTHER_LABEL = "other"

# 1,100 client accounts on 380 hosts would make 418,000 series for each
# counter and outcome; with 200 labels a host has at most 603 tenant series.
MAX_TENANT_LABELS = 200
MAX_CLASS_LABELS = 50

# The targets (1.3 s and 34 ms) are bucket bounds, so that the share of
# requests within a target can be computed exactly.
TTFT_BUCKETS_S = (0.025, 0.05, 0.1, 0.2, 0.4, 0.7, 1.0, 1.3, 2.0, 4.0, 8.0, 30.0)
TBT_BUCKETS_S = (0.005, 0.01, 0.015, 0.02, 0.025, 0.034, 0.05, 0.1, 0.3, 1.0)
PREFILL_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 5.0)
QUEUE_BUCKETS_S = (0.001, 0.005, 0.02, 0.1, 0.4, 1.0, 2.0, 5.0, 30.0)
DURATION_BUCKETS_S = (0.01, 0.05, 0.2, 1.0, 4.0, 8.0, 16.0, 32.0, 64.0, 300.0)
STORE_BUCKETS_S = (0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 1.0)

# "listed": in the host list, but no response has arrived from the host yet.
MEMBER_STATES = ("listed", "alive", "suspect", "dead")

FIRST_REFUSAL_CODE = 1100
FIRST_FAILURE_CODE = 1300


class BoundedLabels:
    """Assigns each of the first ``limit`` names its own label.

    Later names share the label ``other`` until the process ends.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._names: set[str] = set()

    def label_of(self, name: str) -> str:
        """Return the name itself, or ``other`` once the limit is reached."""
        if name in self._names:
            return name
        if len(self._names) >= self._limit:
            return OTHER_LABEL
        self._names.add(name)
        return name


class RouterMetrics:
    """All metrics of one entry host.

    ``tenant_limit`` is the highest number of tenants with their own label.
    """

    def __init__(self, tenant_limit: int = MAX_TENANT_LABELS) -> None:
        # The library does not annotate this function.
        disable_created_metrics()  # type: ignore[no-untyped-call]
        self.registry = CollectorRegistry()
        self._tenants = BoundedLabels(tenant_limit)
        self._classes = BoundedLabels(MAX_CLASS_LABELS)
        self._create_request_metrics()
        self._create_work_metrics()
        self._create_state_metrics()

    def _create_request_metrics(self) -> None:
        self._ttft = self._histogram(
            "ttft", "Time to the first token.", TTFT_BUCKETS_S, ["class"]
        )
        self._tbt = self._histogram(
            "tbt", "Mean time between tokens of a request.", TBT_BUCKETS_S, ["class"]
        )
        self._prefill = self._histogram(
            "prefill", "Time of one prefill call.", PREFILL_BUCKETS_S, ["class"]
        )
        self._queue = self._histogram(
            "queue", "Time until a grant or refusal.", QUEUE_BUCKETS_S, ["class"]
        )
        self._duration = self._histogram(
            "request", "Whole duration of a request.", DURATION_BUCKETS_S, ["class"]
        )
        self._requests = self._counter(
            "requests", "Finished requests by class and result code.", ["class", "code"]
        )
        self._tenant_requests = self._counter(
            "tenant_requests",
            "Finished requests by tenant and outcome: ok, refused or failed.",
            ["tenant", "outcome"],
        )

        self._cut = self._counter(
            "cut_requests",
            "Requests that the end of the host cut: request or answer.",
            ["part"],
        )

    def _create_work_metrics(self) -> None:
        self._retries = self._counter(
            "retries", "New grants after a failure, by result code.", ["code"]
        )
        self._hedges = self._counter(
            "hedges", "Hedged prefills by outcome: won or lost.", ["outcome"]
        )
        self._prefill_tokens = self._counter(
            "prefill_tokens", "Prompt tokens sent to a prefill engine.", ["class"]
        )
        self._wasted_tokens = self._counter(
            "wasted_prefill_tokens",
            "Prompt tokens whose prefill did not lead to an answer.",
            ["class", "reason"],
        )
        self._sweeps = self._counter(
            "sweeps", "Comparisons of a shard's account with its engines.", []
        )
        self._swept = self._counter(
            "swept_requests", "Abandoned requests cancelled at engines.", []
        )

    def _create_state_metrics(self) -> None:
        self._store_errors = self._counter(
            "store_errors", "Failed calls of a platform service.", ["operation"]
        )
        self._store = self._histogram(
            "store", "Time of a platform service call.", STORE_BUCKETS_S, ["operation"]
        )
        self._ticket_position = self._gauge(
            "ticket_position", "Ticket log position in force.", []
        )
        self._ticket_age = self._gauge(
            "ticket_age_seconds",
            "Time since the ticket log was last read from the store.",
            [],
        )
        self._members = self._gauge(
            "members", "Known entry hosts by membership state.", ["state"]
        )
        self._open_streams = self._gauge(
            "open_streams", "Requests in progress on this host.", []
        )
        self._ready = self._gauge("ready", "1 while the host takes requests.", [])
        self._peer_bytes = self._counter(
            "peer_bytes", "Bytes of peer frames by direction: in, out.", ["direction"]
        )
        self._intake_bytes = self._gauge(
            "intake_bytes", "Bytes that requests and responses of callers take.", []
        )
        self._intake_refused = self._counter(
            "intake_refused",
            "Requests and responses ended for their memory, by cause.",
            ["cause"],
        )
        self._intake_closed = self._counter(
            "intake_closed",
            "Connections of callers closed for what they sent or hold, by cause.",
            ["cause"],
        )

    def _histogram(
        self, name: str, text: str, buckets: tuple[float, ...], labels: list[str]
    ) -> Histogram:
        return Histogram(
            f"kumquat_{name}_seconds",
            text,
            labels,
            buckets=buckets,
            registry=self.registry,
        )

    def _counter(self, name: str, text: str, labels: list[str]) -> Counter:
        return Counter(f"kumquat_{name}", text, labels, registry=self.registry)

    def _gauge(self, name: str, text: str, labels: list[str]) -> Gauge:
        return Gauge(f"kumquat_{name}", text, labels, registry=self.registry)

    def request_started(self) -> None:
        """Count a request in progress."""
        self._open_streams.inc()

    def request_finished(
        self, class_name: str, tenant: str, code: ResultCode, duration_s: float
    ) -> None:
        """Record result and duration in seconds of a request in progress."""
        label = self._classes.label_of(class_name)
        self._open_streams.dec()
        self._duration.labels(label).observe(duration_s)
        self._requests.labels(label, code.name).inc()
        self._tenant_requests.labels(
            self._tenants.label_of(tenant), outcome_of(code)
        ).inc()

    def add_cut_requests(self, count: int) -> None:
        """Count requests in progress that the end of the host cut."""
        self._cut.labels("request").inc(count)

    def add_cut_answers(self, count: int) -> None:
        """Count answers that the end of the host left unsent in part."""
        self._cut.labels("answer").inc(count)

    def observe_ttft(self, class_name: str, seconds: float) -> None:
        """Record the time to the first token in seconds."""
        self._ttft.labels(self._classes.label_of(class_name)).observe(seconds)

    def observe_tbt(self, class_name: str, seconds: float) -> None:
        """Record a request's mean time between tokens in seconds."""
        self._tbt.labels(self._classes.label_of(class_name)).observe(seconds)

    def observe_prefill(self, class_name: str, seconds: float) -> None:
        """Record the duration of a finished prefill call in seconds."""
        self._prefill.labels(self._classes.label_of(class_name)).observe(seconds)

    def add_prefill_tokens(self, class_name: str, tokens: int) -> None:
        """Count prompt tokens sent to a prefill engine."""
        self._prefill_tokens.labels(self._classes.label_of(class_name)).inc(tokens)

    def observe_queue(self, class_name: str, seconds: float) -> None:
        """Record the time until the owner granted or refused, in seconds."""
        self._queue.labels(self._classes.label_of(class_name)).observe(seconds)

    def add_wasted_prefill(
        self, class_name: str, tokens: int, reason: ResultCode
    ) -> None:
        """Count prompt tokens whose prefill was wasted."""
        label = self._classes.label_of(class_name)
        self._wasted_tokens.labels(label, reason.name).inc(tokens)

    def add_retry(self, code: ResultCode) -> None:
        """Count a retry after a failure with ``code``."""
        self._retries.labels(code.name).inc()

    def add_hedge(self, *, won: bool) -> None:
        """Count a hedged prefill; ``won`` if its result was used."""
        self._hedges.labels("won" if won else "lost").inc()

    def add_sweeps(self, count: int) -> None:
        """Count comparisons of a shard's ledger with its engines."""
        self._sweeps.inc(count)

    def add_swept_request(self) -> None:
        """Count an abandoned request that is cancelled at an engine."""
        self._swept.inc()

    def observe_store(self, operation: str, seconds: float, *, failed: bool) -> None:
        """Record a call to a platform service, such as ``table_transact``."""
        self._store.labels(operation).observe(seconds)
        if failed:
            self._store_errors.labels(operation).inc()

    def set_tickets(self, position: int, age_s: float) -> None:
        """Set the log position and the seconds since the log was last read."""
        self._ticket_position.set(position)
        self._ticket_age.set(age_s)

    def set_members(self, counts_by_state: Mapping[str, int]) -> None:
        """Set the number of known hosts for each membership state."""
        for state in MEMBER_STATES:
            self._members.labels(state).set(counts_by_state.get(state, 0))

    def set_ready(self, ready: bool) -> None:
        """Set whether the host accepts requests."""
        self._ready.set(int(ready))

    def add_peer_bytes(self, direction: str, count: int) -> None:
        """Count bytes of peer frames; ``direction`` is ``in`` or ``out``."""
        self._peer_bytes.labels(direction).inc(count)

    def set_intake_bytes_source(self, read: Callable[[], float]) -> None:
        """Set the function that returns the bytes taken now."""
        self._intake_bytes.set_function(read)

    def record_intake_refusal(self, cause: str) -> None:
        """Count a request or response that was ended for its memory."""
        self._intake_refused.labels(cause).inc()

    def record_intake_closed(self, cause: str, count: int) -> None:
        """Count connections of callers that were closed."""
        self._intake_closed.labels(cause).inc(count)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)


def outcome_of(code: ResultCode) -> str:
    """Return ``ok``, ``refused`` (before the request ran) or ``failed``."""
    if code < FIRST_REFUSAL_CODE:
        return "ok"
    return "refused" if code < FIRST_FAILURE_CODE else "failed"

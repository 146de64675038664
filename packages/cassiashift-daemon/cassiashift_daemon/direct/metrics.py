"""Metrics of a direct entry in the text format of Prometheus."""

import attrs
import prometheus_client
from prometheus_client import exposition

from cassiashift_daemon import logs

LATENCY_BUCKETS_S = (
    0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8,
)  # fmt: skip
# Actual cost as a multiple of the expected one.
RATIO_BUCKETS = (0.1, 0.25, 0.5, 0.8, 1.0, 1.25, 2.0, 4.0, 10.0)
CONTENT_TYPE = 'text/plain'


def _registry() -> prometheus_client.CollectorRegistry:
    return prometheus_client.CollectorRegistry()


@attrs.define(eq=False, slots=False)
class Metrics:
    """Metrics of this process; their names begin with ``cassiashift_``."""

    registry: prometheus_client.CollectorRegistry = attrs.field(
        factory=_registry
    )

    def __attrs_post_init__(self) -> None:
        """Register every metric."""
        registry = self.registry
        self._requests = prometheus_client.Histogram(
            'cassiashift_request_seconds',
            'Time of a request at this entry, by outcome.',
            ('outcome',),
            registry=registry,
            buckets=LATENCY_BUCKETS_S,
        )
        self._first_events = prometheus_client.Histogram(
            'cassiashift_first_event_seconds',
            'Time to the first event of a stream.',
            registry=registry,
            buckets=LATENCY_BUCKETS_S,
        )
        self._longest_pauses = prometheus_client.Histogram(
            'cassiashift_longest_pause_seconds',
            'Longest time between two events of a stream.',
            registry=registry,
            buckets=LATENCY_BUCKETS_S,
        )
        self._failed_sends = prometheus_client.Counter(
            'cassiashift_failed_sends',
            'Sends to upstreams without an answer, by reason.',
            ('reason',),
            registry=registry,
        )
        self._blocked_requests = prometheus_client.Counter(
            'cassiashift_blocked_requests',
            'Requests refused for a part of their prompts.',
            registry=registry,
        )
        self._signals = prometheus_client.Counter(
            'cassiashift_upstream_signals',
            'Answers by which upstreams asked for no more requests, by cause.',
            ('cause',),
            registry=registry,
        )
        self._permits = prometheus_client.Counter(
            'cassiashift_permits',
            'Answers to requests for permits to send, by outcome.',
            ('outcome',),
            registry=registry,
        )
        self._evacuations = prometheus_client.Counter(
            'cassiashift_evacuation_orders',
            'Orders of operators on evacuations, by order and outcome.',
            ('order', 'outcome'),
            registry=registry,
        )
        self._cost_ratios = prometheus_client.Histogram(
            'cassiashift_cost_ratio',
            'Actual cost of a request divided by the expected one, by kind.',
            ('kind',),
            registry=registry,
            buckets=RATIO_BUCKETS,
        )
        self._queue_waits = prometheus_client.Histogram(
            'cassiashift_queue_wait_seconds',
            'Time in the queue of requests that were placed, by priority.',
            ('priority',),
            registry=registry,
            buckets=LATENCY_BUCKETS_S,
        )
        self._refusals = prometheus_client.Counter(
            'cassiashift_refusals',
            'Requests refused for want of capacity, by reason and priority.',
            ('reason', 'priority'),
            registry=registry,
        )
        self._returns = prometheus_client.Counter(
            'cassiashift_promised_returns',
            'Returns of refused callers that were promised a time.',
            ('outcome',),
            registry=registry,
        )
        self._limits = prometheus_client.Gauge(
            'cassiashift_concurrency_limit',
            'Requests that may be in flight at one upstream, by service.',
            ('service',),
            registry=registry,
        )
        self._memory_events = prometheus_client.Counter(
            'cassiashift_memory_events',
            'Requests refused and callers given up for want of memory.',
            ('cause',),
            registry=registry,
        )
        self._gauges = prometheus_client.Gauge(
            'cassiashift_state',
            'State of this entry, by name.',
            ('name',),
            registry=registry,
        )

    def record_request(self, outcome: str, spent_s: float) -> None:
        """Record the outcome and duration of a request."""
        self._requests.labels(outcome).observe(spent_s)

    def record_first_event(self, after_s: float) -> None:
        """Record the time from a request to the first event of its stream."""
        self._first_events.observe(after_s)

    def record_longest_pause(self, pause_s: float) -> None:
        """Record the longest time between two events of a stream."""
        self._longest_pauses.observe(pause_s)

    def record_failed_send(self, reason: str) -> None:
        """Count a send without a usable answer."""
        self._failed_sends.labels(reason).inc()

    def record_blocked_request(self) -> None:
        """Count a request refused for a part of its prompt."""
        self._blocked_requests.inc()

    def record_signal(self, cause: str) -> None:
        """Count an answer by which an upstream asks for no more requests."""
        self._signals.labels(cause).inc()

    def record_permit(self, outcome: str) -> None:
        """Count an issuer's answer: granted, denied or too late."""
        self._permits.labels(outcome).inc()

    def record_evacuation(self, order: str, outcome: str) -> None:
        """Count an order of an operator to start or end an evacuation."""
        self._evacuations.labels(order, outcome).inc()

    def record_cost(self, kind: str, actual: float, expected: float) -> None:
        """Record the actual and the expected cost of a request.

        Args:
            kind: time or output.
        """
        if expected > 0:
            self._cost_ratios.labels(kind).observe(actual / expected)

    def record_queue_wait(self, priority: int, waited_s: float) -> None:
        """Record the time that a placed request has waited."""
        self._queue_waits.labels(str(priority)).observe(waited_s)

    def record_refusal(self, reason: str, priority: int) -> None:
        """Count a request that was refused for want of capacity."""
        self._refusals.labels(reason, str(priority)).inc()

    def record_return(self, outcome: str) -> None:
        """Count a return: promised, returned, and then placed or refused."""
        self._returns.labels(outcome).inc()

    def record_limit(self, service: str, limit: float) -> None:
        """Set the concurrency limit of a service."""
        self._limits.labels(service).set(limit)

    def record_memory_event(self, cause: str) -> None:
        """Count a refusal, or a caller given up, to bound the memory."""
        self._memory_events.labels(cause).inc()

    def text(self, **gauges: float) -> bytes:
        """Set the gauges and return all metrics as text."""
        for name, value in gauges.items():
            self._gauges.labels(name).set(value)
        self._gauges.labels('log_lines_dropped').set(logs.dropped())
        return exposition.generate_latest(self.registry)

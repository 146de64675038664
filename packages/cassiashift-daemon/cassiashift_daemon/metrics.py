"""Metrics by statsd; the names are listed in docs/OPERATIONS."""

import attrs
import statsd

PREFIX = 'cassiashift'


@attrs.define
class Metrics:
    """A statsd client, or nothing when no server is set."""

    _client: statsd.StatsClient | None = None

    @classmethod
    def from_config(cls, address: str, role: str) -> 'Metrics':
        """Return the metrics of a role for a ``HOST:PORT`` or empty."""
        if not address:
            return cls()
        host, _, port = address.rpartition(':')
        prefix = f'{PREFIX}.{role}'
        return cls(statsd.StatsClient(host, int(port), prefix=prefix))

    def increment(self, name: str, count: int = 1) -> None:
        """Add to a counter."""
        if self._client is not None:
            self._client.incr(name, count)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        if self._client is not None:
            self._client.gauge(name, value)

    def timing(self, name: str, seconds: float) -> None:
        """Record a duration."""
        if self._client is not None:
            self._client.timing(name, seconds * 1000.0)

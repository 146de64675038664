"""Metrics sent to statsd; docs/OPERATIONS lists their names."""

import attrs
import statsd

PREFIX = 'cassiashift'


@attrs.define
class Metrics:
    """A statsd client; sends nothing if no server is set."""

    _client: statsd.StatsClient | None = None

    @classmethod
    def from_config(cls, address: str, role: str) -> 'Metrics':
        """Return the metrics of a role.

        Args:
            address: ``HOST:PORT`` of the server, or empty for none.
            role: becomes part of each name.
        """
        if not address:
            return cls()
        host, _, port = address.rpartition(':')
        prefix = f'{PREFIX}.{role}'
        return cls(statsd.StatsClient(host, int(port), prefix=prefix))

    def increment(self, name: str, count: int = 1) -> None:
        """Add a count to a counter."""
        if self._client is not None:
            self._client.incr(name, count)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge to a value."""
        if self._client is not None:
            self._client.gauge(name, value)

    def timing(self, name: str, seconds: float) -> None:
        """Send a duration, which statsd gets in milliseconds."""
        if self._client is not None:
            self._client.timing(name, seconds * 1000.0)

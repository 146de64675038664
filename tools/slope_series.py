"""Lines fitted to measurements, and a network that measures its hosts."""

import time

import attrs
import numpy

from tests.scenarios import network


@attrs.frozen
class Series:
    """Measurements by size, and the line fitted to them.

    Attributes:
        residual: largest distance from the line, as a share of the mean.
    """

    name: str
    x: str
    unit: str
    points: tuple[tuple[float, float], ...]
    slope: float
    intercept: float
    residual: float

    @classmethod
    def fit(
        cls, name: str, x: str, unit: str, points: list[tuple[float, float]]
    ) -> 'Series':
        """Return the series with the least-squares line of its points."""
        xs, ys = numpy.array(points, dtype=float).T
        slope, intercept = numpy.polyfit(xs, ys, 1)
        distance = numpy.abs(ys - (slope * xs + intercept)).max()
        mean = abs(ys.mean()) or 1.0
        return cls(
            name=name,
            x=x,
            unit=unit,
            points=tuple((float(a), round(float(b), 3)) for a, b in points),
            slope=round(float(slope), 6),
            intercept=round(float(intercept), 3),
            residual=round(float(distance / mean), 4),
        )


@attrs.define
class MeasuredNetwork(network.Network):
    """A network that counts the processor time of each host."""

    cpu_s: dict[str, float] = attrs.field(factory=dict)

    def _step(self, host, node, sender, message):
        start = time.process_time()
        super()._step(host, node, sender, message)
        used_s = time.process_time() - start
        self.cpu_s[host] = self.cpu_s.get(host, 0.0) + used_s

    def reset(self):
        """Set all counts to zero."""
        self.cpu_s.clear()
        for node in self.nodes.values():
            node.sent_messages = node.received_messages = 0
            node.sent_bytes = node.received_bytes = 0

    def mean(self, hosts: list[str], seconds: float) -> dict[str, float]:
        """Return the rates for each host and second, averaged over hosts."""
        nodes = [self.nodes[host] for host in hosts]
        count = len(hosts) * seconds
        return {
            'messages': sum(
                node.sent_messages + node.received_messages for node in nodes
            )
            / count,
            'bytes': sum(
                node.sent_bytes + node.received_bytes for node in nodes
            )
            / count,
            'cpu': 1e6 * sum(self.cpu_s.get(h, 0.0) for h in hosts) / count,
        }


UNITS = {
    'messages': 'messages/s',
    'bytes': 'bytes/s',
    'cpu': 'microseconds/s',
}


def rate_series(
    name: str, x: str, measured: dict[int, dict[str, float]]
) -> list[Series]:
    """Return one series for each rate in ``UNITS``."""
    return [
        Series.fit(
            f'{name}.{rate}',
            x,
            unit,
            [(size, rates[rate]) for size, rates in measured.items()],
        )
        for rate, unit in UNITS.items()
    ]

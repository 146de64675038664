"""Settings of a rank's agent."""

import attrs

BYTES_PER_MEGABIT = 125_000


@attrs.frozen(kw_only=True)
class RankAgentConfig:
    """Settings of a rank's agent.

    Attributes:
        host: IP address; it is also the host's name in the fleet.
        link_port: port for links, the same on all hosts.
        seeds: hosts of some entries, to contact first.
        service: name of the service that the engine belongs to.
        engine: IP and port of the engine.
        link_mbps: rate of the host's link in Mbit/s; 0 if not stated.
    """

    host: str
    link_port: int
    seeds: tuple[str, ...]
    service: str
    engine: str
    link_mbps: float = 0.0

    @property
    def link_bytes_per_s(self) -> float:
        """Return the rate of the host's link; 0 if it is not stated."""
        return BYTES_PER_MEGABIT * self.link_mbps

    def link_of(self, host: str) -> str:
        """Return the link address of a host, as ``tcp://IP:PORT``."""
        return f'tcp://{host}:{self.link_port}'

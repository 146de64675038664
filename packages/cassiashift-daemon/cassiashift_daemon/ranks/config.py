"""Settings of the agent beside a rank."""

import attrs


@attrs.frozen(kw_only=True)
class RankAgentConfig:
    """Settings of the agent beside a rank.

    Attributes:
        host: IP address, which is the name of the host in the fleet.
        link_port: port for links, equal on all hosts.
        seeds: hosts of some entries.
        service: name of the service that the engine belongs to.
        engine: IP and port of the engine.
    """

    host: str
    link_port: int
    seeds: tuple[str, ...]
    service: str
    engine: str

    def link_of(self, host: str) -> str:
        """Return the link address of a host."""
        return f'tcp://{host}:{self.link_port}'

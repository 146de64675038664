"""Settings of a rank's agent."""

import attrs


@attrs.frozen(kw_only=True)
class RankAgentConfig:
    """Settings of a rank's agent.

    Attributes:
        host: IP address; it is also the host's name in the fleet.
        link_port: port for links, the same on all hosts.
        seeds: hosts of some entries, to contact first.
        service: name of the service that the engine belongs to.
        engine: IP and port of the engine.
    """

    host: str
    link_port: int
    seeds: tuple[str, ...]
    service: str
    engine: str

    def link_of(self, host: str) -> str:
        """Return the link address of a host, as ``tcp://IP:PORT``."""
        return f'tcp://{host}:{self.link_port}'

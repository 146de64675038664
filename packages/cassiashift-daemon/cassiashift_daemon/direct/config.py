"""Settings of a direct entry."""

import attrs


@attrs.frozen(kw_only=True)
class Listeners:
    """Addresses to listen on, as ``IP:PORT``; empty ones are disabled."""

    front: str = ''
    readiness: str = ''
    control: str = ''
    directory: str = ''
    metrics: str = ''


@attrs.frozen(kw_only=True)
class Bounds:
    """Limits that the deployment guarantees to its users.

    Attributes:
        apply_s: seconds until an accepted configuration is in force at
            every entry.
        drain_s: seconds until every entry knows that an upstream leaves.
        grace_s: seconds from SIGTERM until the process is killed.
        retry_ratio: retries allowed for each first send.
        retry_slack: retries in a window that are allowed in addition, over
            all entries.
        retry_window_s: length of that window in seconds.
        evacuation_s: seconds until an evacuation is in force at every entry.
        order_s: seconds for which operators resend an order of an
            evacuation; an older one is not proposed.
        cold_overage: arrivals at a cold upstream in any second that are
            allowed for each request a second that it takes.
        cold_slack: arrivals in a second that are allowed in addition.
        longest_ttl_s: longest time in seconds that callers may cache an
            answer of the directory.
        contact_s: seconds until the loss of a host is known; callers may be
            sent to it for three seconds more.
    """

    apply_s: float = 2.0
    drain_s: float = 2.0
    grace_s: float = 8.0
    evacuation_s: float = 5.0
    order_s: float = 5.0
    retry_ratio: float = 0.2
    retry_slack: float = 0.0
    retry_window_s: float = 10.0
    longest_ttl_s: float = 5.0
    cold_overage: float = 1.5
    cold_slack: float = 5.0
    contact_s: float = 4.0


@attrs.frozen(kw_only=True)
class HostLimits:
    """What this process may use of its host; 0 where it is not stated.

    Attributes:
        cpu_cores: cores of the host.
        cpu_share: share of them for this process.
        memory_mb: resident memory in MiB.
        link_mbps: rate of the link in Mbit/s.
    """

    cpu_cores: float = 0.0
    cpu_share: float = 0.0
    memory_mb: int = 0
    link_mbps: float = 0.0


@attrs.frozen(kw_only=True)
class DirectConfig:
    """Settings of a direct entry.

    Attributes:
        host: IP address; it is also the host's name in the fleet.
        link_port: port for links between entries, the same on all of them.
        seeds: hosts to contact first.
        data_dir: data folder; empty for a host without a disk.
        is_first_start: the whole system starts with empty disks.
        tolerated_losses: how many hosts with a disk may be lost at once.
        heartbeat_s: seconds between two heartbeats of an upstream.
        data_centres: names of the data centres that can be evacuated; empty
            if they are not stated.
    """

    host: str
    data_centre: str
    region: str
    link_port: int
    listeners: Listeners
    seeds: tuple[str, ...]
    data_dir: str = ''
    is_first_start: bool = False
    tolerated_losses: int = 0
    heartbeat_s: float = 1.0
    data_centres: frozenset[str] = frozenset()
    bounds: Bounds = Bounds()
    limits: HostLimits = HostLimits()

    def link_of(self, host: str) -> str:
        """Return the link address of an entry, as ``tcp://IP:PORT``."""
        return f'tcp://{host}:{self.link_port}'

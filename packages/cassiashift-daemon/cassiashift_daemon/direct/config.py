"""Settings of a direct entry."""

import attrs


@attrs.frozen(kw_only=True)
class Listeners:
    """Addresses as ``IP:PORT``; an empty one is not served."""

    front: str = ''
    readiness: str = ''
    control: str = ''
    directory: str = ''
    metrics: str = ''


@attrs.frozen(kw_only=True)
class Bounds:
    """What the deployment promises, in seconds where not said otherwise.

    Attributes:
        apply_s: an accepted configuration is in force everywhere.
        drain_s: every entry knows that an upstream leaves.
        grace_s: a process is killed this long after SIGTERM.
        repeat_ratio: repeated sends that one first send pays for.
        repeat_slack: repeated sends that are free in a window.
        repeat_window_s: length of that window.
        longest_ttl_s: callers keep no answer of the directory longer.
    """

    apply_s: float = 2.0
    drain_s: float = 2.0
    grace_s: float = 8.0
    repeat_ratio: float = 0.2
    repeat_slack: float = 0.0
    repeat_window_s: float = 10.0
    longest_ttl_s: float = 5.0


@attrs.frozen(kw_only=True)
class DirectConfig:
    """Settings of a direct entry.

    Attributes:
        host: IP address, which is the name of the host in the fleet.
        link_port: port for links between entries, equal on all of them.
        seeds: hosts that the process is told of.
        data_dir: empty for a host without a disk.
        is_first_start: the whole system starts with empty disks.
        tolerated_losses: hosts with a disk that may be lost at once.
        heartbeat_s: time between two announcements of an upstream.
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
    bounds: Bounds = Bounds()

    def link_of(self, host: str) -> str:
        """Return the link address of an entry."""
        return f'tcp://{host}:{self.link_port}'

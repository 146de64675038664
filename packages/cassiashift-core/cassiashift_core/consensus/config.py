"""Settings of a replica and their default values."""

import attrs

ELECTION_TIMEOUT_S = 1.0
HEARTBEAT_S = 0.1
MAX_APPEND_BYTES = 256 * 1024
MAX_APPEND_ENTRIES = 512
MAX_INFLIGHT_APPENDS = 2
MAX_UNCOMMITTED_ENTRIES = 8192
SNAPSHOT_CHUNK_BYTES = 256 * 1024
SNAPSHOT_EVERY_ENTRIES = 10_000
TRAILING_ENTRIES = 1_000

# Shares of the election timeout; a pair is a range for a random wait.
CLOCK_DRIFT_SHARE = 0.1
CLOCK_STEP_SHARE = 0.25
ELECTION_WAIT_SHARES = (1.0, 1.5)
ELECTION_RETRY_SHARES = (0.1, 0.2)


@attrs.frozen
class ReplicaConfig:
    """Settings of a replica.

    Attributes:
        voters: hosts of the first voter set, equal on all of them; empty on
            a host that is added later.
        election_timeout_s: shortest time without a leader before an
            election; the actual time is random and at least this.
        start: identifies the start of the process, different for each one;
            empty on a host that always waits for the election timeout after
            its start.
        snapshot_every_entries: applied entries between two snapshots.
        trailing_entries: entries kept in memory after a snapshot, for slow
            followers.
    """

    host: str
    voters: tuple[str, ...] = ()
    start: str = ''
    election_timeout_s: float = ELECTION_TIMEOUT_S
    heartbeat_s: float = HEARTBEAT_S
    max_append_bytes: int = MAX_APPEND_BYTES
    max_append_entries: int = MAX_APPEND_ENTRIES
    max_inflight_appends: int = MAX_INFLIGHT_APPENDS
    max_uncommitted_entries: int = MAX_UNCOMMITTED_ENTRIES
    snapshot_chunk_bytes: int = SNAPSHOT_CHUNK_BYTES
    snapshot_every_entries: int = SNAPSHOT_EVERY_ENTRIES
    trailing_entries: int = TRAILING_ENTRIES

    @property
    def tick_s(self) -> float:
        """Return the longest time between two Tick events, in seconds."""
        return self.heartbeat_s / 2

    @property
    def clock_step_s(self) -> float:
        """Return the gap between events, in seconds, that is a clock step."""
        return self.election_timeout_s * CLOCK_STEP_SHARE

    @property
    def lease_s(self) -> float:
        """Return the duration of a leader lease, in seconds.

        A follower refuses votes for the whole election timeout. The lease is
        shorter by the bound on clock drift and by the longest clock step
        that is not detected.
        """
        share = 1 - CLOCK_DRIFT_SHARE - CLOCK_STEP_SHARE
        return self.election_timeout_s * share

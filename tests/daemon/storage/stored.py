"""A simulated cluster that stores its logs in ``storage.Storage``."""

import contextlib

from cassiashift_core import consensus
from cassiashift_core import errors
from tests.core.consensus import cluster
from tests.daemon.storage import faulty_files


class StoredDisk(cluster.Disk):
    """A simulated disk, backed by a storage on a faulty file system."""

    def __init__(self, seed):
        super().__init__('')
        self.files = faulty_files.FaultyFiles(seed)
        self.storage = None

    def sync(self):
        """Persist the oldest pending change."""
        self.storage.persist([self.pending[0]])
        return super().sync()

    def lose_power(self):
        """Persist all pending changes, losing power at a random step."""
        self.files.crash_at = self.files.steps + self.files.rng.randint(1, 9)
        try:
            self.storage.persist(self.pending)
        except faulty_files.Crash:
            pass
        self.pending.clear()
        self.files = self.files.reboot()
        self.storage = None

    def fail(self):
        """Persist a part of the pending changes at most, and close."""
        if self.pending and not self.storage.has_failed:
            self.files.fail_at = self.files.steps + self.files.rng.randint(
                1, 3
            )
            with contextlib.suppress(errors.CassiashiftError):
                self.storage.persist(self.pending)
            self.files.fail_at = None
        self.storage.close()
        self.pending.clear()

    def load(self):
        """Open the folder and return the recovered state."""
        self.storage = faulty_files.open_storage(
            self.files, segment_bytes=2000
        )
        saved = self.storage.load()
        self.incarnation = saved.incarnation
        self.hard_state = saved.hard_state
        self.entries = list(saved.entries)
        self.snapshot = saved.snapshot
        return saved


class StoredCluster(cluster.Cluster):
    """A cluster whose hosts use ``StoredDisk``."""

    def start(self, host):
        """Start a host that is down; its recovered entries count as synced."""
        node = self.nodes[host]
        if not node.is_up:
            super().start(host)
            recovered = consensus.Persist(0, entries=tuple(node.disk.entries))
            self.checker.on_synced(node, recovered)

    def crash(self, host, synced=0):
        """Crash a host; its storage loses power at a random step."""
        node = self.nodes[host]
        if node.is_up:
            node.disk.lose_power()
        super().crash(host)

    def _new_disk(self):
        return StoredDisk(self.rng.random())

"""Snapshots in parts: serving them to children and assembling them."""

import attrs
import xxhash

from cassiashift_core.spread import messages

PART_BYTES = 65_536
MAX_PARTS = 4096
MAX_WAITING = 256
IDLE_S = 30.0
PART_TIMEOUT_S = 1.0
MAX_PART_RETRIES = 2


@attrs.define
class SnapshotServer:
    """Holds one snapshot for children while they ask for it."""

    _taken: 'TakenSnapshot | None' = None
    _waiting: set[str] = attrs.field(factory=set)
    _used_s: float = 0.0
    requested: bool = False

    @property
    def revision(self) -> int:
        """Return the revision of the snapshot held, 0 for none."""
        return self._taken.revision if self._taken else 0

    def hold(self, revision: int, data: bytes, now: float) -> None:
        """Hold a snapshot in place of an older one."""
        self.requested = False
        self._taken = TakenSnapshot.of(revision, data)
        self._used_s = now

    def wait(self, child: str) -> None:
        """Remember a child that waits for a snapshot."""
        if len(self._waiting) < MAX_WAITING:
            self._waiting.add(child)

    def take_waiting(self) -> list[str]:
        """Return the waiting children, once."""
        waiting = sorted(self._waiting)
        self._waiting.clear()
        return waiting

    def part(
        self, request: messages.SnapshotPull, now: float
    ) -> messages.SnapshotPart:
        """Return the part asked for, or the first of a newer snapshot."""
        self._used_s = now
        index = request.index
        if request.revision != self.revision:
            index = 0
        return self._taken.part(index)

    def can_serve(self, base: int, limit: int) -> bool:
        """Tell whether the snapshot held is of use to a child.

        Args:
            base: lowest revision from which deltas lead on.
            limit: highest revision that may be given away.
        """
        return bool(self.revision) and base <= self.revision <= limit

    def should_request(self, limit: int) -> bool:
        """Tell, once, whether a new snapshot has to be taken."""
        if self.requested or self.revision > limit:
            return False
        self.requested = True
        return True

    def expire(self, now: float) -> None:
        """Free the snapshot after it has not been used for a while."""
        if self._taken and now - self._used_s > IDLE_S:
            self._taken = None


@attrs.frozen
class TakenSnapshot:
    """A snapshot and its digest."""

    revision: int
    data: bytes
    digest: int

    @classmethod
    def of(cls, revision: int, data: bytes) -> 'TakenSnapshot':
        """Return a snapshot with its digest."""
        return cls(revision, data, xxhash.xxh3_64_intdigest(data))

    @property
    def count(self) -> int:
        """Return the number of parts."""
        return max(1, -(-len(self.data) // PART_BYTES))

    def part(self, index: int) -> messages.SnapshotPart:
        """Return one part; an index out of range gives the first."""
        if not 0 <= index < self.count:
            index = 0
        start = index * PART_BYTES
        return messages.SnapshotPart(
            revision=self.revision,
            index=index,
            count=self.count,
            digest=self.digest,
            data=self.data[start : start + PART_BYTES],
        )


@attrs.define
class Assembly:
    """A snapshot that is being pulled from one parent."""

    parent: str
    asked_s: float
    revision: int = 0
    retries: int = 0
    _parts: list[bytes] = attrs.field(factory=list)

    @property
    def request(self) -> messages.SnapshotPull:
        """Return the request for the next part."""
        return messages.SnapshotPull(self.revision, len(self._parts))

    def retry(self, now: float) -> messages.SnapshotPull | None:
        """Return the request again if its answer is overdue."""
        if now - self.asked_s < PART_TIMEOUT_S or self.is_given_up(now):
            return None
        self.retries += 1
        self.asked_s = now
        return self.request

    def is_given_up(self, now: float) -> bool:
        """Tell whether the parent has been asked often enough."""
        overdue = now - self.asked_s >= PART_TIMEOUT_S
        return overdue and self.retries >= MAX_PART_RETRIES

    def add(self, part: messages.SnapshotPart) -> bool:
        """Take in a part; return whether it was the one expected."""
        if part.index == 0 and part.revision != self.revision:
            self._parts = []
            self.revision = part.revision
        if part.revision != self.revision:
            return False
        if part.index != len(self._parts) or part.count > MAX_PARTS:
            return False
        if len(part.data) > PART_BYTES:
            return False
        self._parts.append(part.data)
        self.retries = 0
        return True

    def data(self, part: messages.SnapshotPart) -> bytes | None:
        """Return the whole once its last part is in and undamaged."""
        if len(self._parts) != part.count:
            return None
        data = b''.join(self._parts)
        if xxhash.xxh3_64_intdigest(data) != part.digest:
            self._parts = []
            self.revision = 0
            return None
        return data

"""Records of the replicated log that are kept on disk.

The algorithm is Raft: Ongaro and Ousterhout, "In search of an understandable
consensus algorithm", USENIX ATC 2014; voter changes, leases and snapshots
follow Ongaro's dissertation (Stanford, 2014), chapters 4 to 6.
"""

from collections.abc import Mapping
import enum
import functools

import attrs


class EntryKind(enum.Enum):
    """The kind of a log entry."""

    COMMAND = 'command'
    NOOP = 'noop'
    VOTERS = 'voters'


@attrs.frozen
class Voter:
    """A member of the voter set.

    Attributes:
        incarnation: identity of the member's data folder; empty until it
            is known.
    """

    host: str
    incarnation: str = ''


@attrs.frozen
class VoterSet:
    """The voters, and the learners that catch up to become voters."""

    voters: tuple[Voter, ...] = ()
    learners: tuple[Voter, ...] = ()

    @functools.cached_property
    def voter_hosts(self) -> tuple[str, ...]:
        """Return the hosts whose votes and acknowledgements count."""
        return tuple(voter.host for voter in self.voters)

    @property
    def hosts(self) -> tuple[str, ...]:
        """Return the hosts that receive the log."""
        return tuple(item.host for item in self.voters + self.learners)

    @property
    def quorum(self) -> int:
        """Return the number of voters in a majority."""
        return len(self.voter_hosts) // 2 + 1

    @property
    def is_bound(self) -> bool:
        """Whether the incarnation of every voter is known."""
        return all(voter.incarnation for voter in self.voters)

    @property
    def votes_needed(self) -> int:
        """Return the votes that elect a leader.

        Until an entry records the incarnations of the voters, an emptied
        data folder looks like a new one, so all votes are needed.
        """
        return self.quorum if self.is_bound else len(self.voter_hosts)

    def find(self, host: str) -> Voter | None:
        """Return the voter or learner on a host, or None."""
        for item in self.voters + self.learners:
            if item.host == host:
                return item
        return None

    def quorum_value(self, values: Mapping[str, int]) -> int:
        """Return the highest value that a majority of voters has reached.

        A voter without a value counts as 0.
        """
        ranked = sorted(
            (values.get(host, 0) for host in self.voter_hosts), reverse=True
        )
        return ranked[self.quorum - 1] if ranked else 0

    def bind(self, incarnations: Mapping[str, str]) -> 'VoterSet':
        """Return the set with missing incarnations of voters filled in."""
        voters = tuple(
            attrs.evolve(
                item,
                incarnation=item.incarnation
                or incarnations.get(item.host, ''),
            )
            for item in self.voters
        )
        return attrs.evolve(self, voters=voters)

    def with_learner(self, host: str) -> 'VoterSet':
        """Return the set with one more learner."""
        return attrs.evolve(self, learners=(*self.learners, Voter(host)))

    def with_promoted(self, host: str, incarnation: str) -> 'VoterSet':
        """Return the set with a learner promoted to voter."""
        promoted = Voter(host, incarnation)
        rest = self.without(host)
        return attrs.evolve(rest, voters=(*rest.voters, promoted))

    def without(self, host: str) -> 'VoterSet':
        """Return the set without a host, be it a voter or a learner."""
        return VoterSet(
            tuple(item for item in self.voters if item.host != host),
            tuple(item for item in self.learners if item.host != host),
        )


@attrs.frozen
class Entry:
    """One entry of the log; ``voters`` is set for the kind VOTERS only."""

    index: int
    term: int
    kind: EntryKind = EntryKind.COMMAND
    data: bytes = b''
    voters: VoterSet | None = None


@attrs.frozen
class HardState:
    """Term and vote, which must be durable; ``commit`` may lag behind."""

    term: int = 0
    vote: str = ''
    commit: int = 0


@attrs.frozen
class Snapshot:
    """The owner's state after the entry at ``index`` was applied."""

    index: int
    term: int
    voters: VoterSet
    data: bytes = b''


@attrs.frozen
class SavedState:
    """The content of the storage; no gap between snapshot and entries.

    Attributes:
        incarnation: identity of the data folder.
    """

    hard_state: HardState = HardState()
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None
    incarnation: str = ''

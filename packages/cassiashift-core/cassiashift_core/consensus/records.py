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
    """What an entry of the log carries."""

    COMMAND = 'command'
    NOOP = 'noop'
    VOTERS = 'voters'


@attrs.frozen
class Voter:
    """A member of the voter set.

    Attributes:
        incarnation: identity of the member's data folder; empty while it is
            not known yet.
    """

    host: str
    incarnation: str = ''


@attrs.frozen
class VoterSet:
    """Voters, and learners that are catching up to become voters."""

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
        """Tell whether the incarnation of every voter is known."""
        return all(voter.incarnation for voter in self.voters)

    @property
    def votes_needed(self) -> int:
        """Return the votes that elect a leader.

        Before the first entry binds the incarnations, nobody can tell an
        emptied folder from a new one. All voters must agree until then.
        """
        return self.quorum if self.is_bound else len(self.voter_hosts)

    def find(self, host: str) -> Voter | None:
        """Return the voter or learner of a host."""
        for item in self.voters + self.learners:
            if item.host == host:
                return item
        return None

    def quorum_value(self, values: Mapping[str, int]) -> int:
        """Return the greatest value that a majority of voters reaches."""
        ranked = sorted(
            (values.get(host, 0) for host in self.voter_hosts), reverse=True
        )
        return ranked[self.quorum - 1] if ranked else 0

    def bind(self, incarnations: Mapping[str, str]) -> 'VoterSet':
        """Return the set with incarnations given to its unbound voters."""
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
        """Return the set with a learner turned into a voter."""
        promoted = Voter(host, incarnation)
        rest = self.without(host)
        return attrs.evolve(rest, voters=(*rest.voters, promoted))

    def without(self, host: str) -> 'VoterSet':
        """Return the set without a host."""
        return VoterSet(
            tuple(item for item in self.voters if item.host != host),
            tuple(item for item in self.learners if item.host != host),
        )


@attrs.frozen
class Entry:
    """One entry of the log; ``voters`` belongs to the kind VOTERS."""

    index: int
    term: int
    kind: EntryKind = EntryKind.COMMAND
    data: bytes = b''
    voters: VoterSet | None = None


@attrs.frozen
class HardState:
    """What a replica must remember; ``commit`` may lag behind."""

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
    """What the storage holds; entries follow the snapshot without a gap.

    Attributes:
        incarnation: identity of the data folder.
    """

    hard_state: HardState = HardState()
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None
    incarnation: str = ''

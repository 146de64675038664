"""Selects the next host that the leader adds to or removes from the voters."""

from collections.abc import Iterable

from cassiashift_core import consensus
from cassiashift_core.fleet import messages


def next_voter_change(
    voters: consensus.VoterSet,
    own_host: str,
    alive: Iterable[messages.EntryRecord],
    tolerated: int,
) -> tuple[str, str] | None:
    """Return ``(host to add, host to remove)``, one of them empty, or None.

    A voter whose disk was emptied is removed first, since it can't vote under
    the identity in the voter set. Live hosts with a disk that aren't members
    are added one at a time. A silent voter is removed only while the others
    still tolerate the losses that the platform states.

    Args:
        voters: the newest voter set.
        own_host: the leader, which is never removed.
        alive: recent records of hosts, without the leader's.
        tolerated: hosts with a disk that may be lost at once.
    """
    stores = {item.host: item.store for item in alive if item.store}
    for member in voters.voters + voters.learners:
        store = stores.get(member.host)
        if member.host == own_host or store is None:
            continue
        if member.incarnation and member.incarnation != store:
            return '', member.host
    silent = [
        member.host
        for member in voters.voters + voters.learners
        if member.host != own_host and member.host not in stores
    ]
    for learner in voters.learners:
        if learner.host in silent:
            return '', learner.host
    if voters.learners:
        return None
    leaving = {item.host for item in alive if item.is_leaving}
    joining = sorted(stores.keys() - set(voters.hosts) - leaving)
    if joining:
        return joining[0], ''
    if silent and len(voters.voters) > 2 * tolerated + 1:
        return '', silent[0]
    return None

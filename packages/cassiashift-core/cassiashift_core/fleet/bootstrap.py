"""Bootstrap: decides which host starts the replicated log of a new system.

All hosts of a new system get the same few seeds and know nothing else. One
host starts the log with itself as the only voter; all other hosts with a
disk join it as learners. Two logs must never be started, so the decision
uses only facts that are the same for every host: which seeds have a disk, as
in the first hello of each one, and not which of them have opened it.
"""

from collections.abc import Iterable
import enum

from cassiashift_core.fleet import messages

# Wait for hosts other than the seeds. Hosts of one system start within a
# second; this is several times that.
SETTLE_S = 3.0


class BootstrapAction(enum.Enum):
    """What a host with a disk and an empty log does.

    ``FOUND`` starts the log, ``JOIN`` waits to be added to one.
    """

    WAIT = 'wait'
    FOUND = 'found'
    JOIN = 'join'


def decide_bootstrap(
    own: messages.EntryRecord,
    seeds: Iterable[str],
    received: Iterable[messages.EntryRecord],
    is_first_start: bool,
    waited_s: float,
) -> BootstrapAction:
    """Return the action of this host: start the log, join one or wait.

    The founder starts the log again if its disk has failed before the first
    entry was durable. No other host has received an entry by then.

    Args:
        own: the record of this host, whose data folder is open and whose
            log is empty.
        seeds: hosts configured at every process of a new system.
        received: records received from other hosts so far.
        is_first_start: the platform states that the whole system is new.
        waited_s: seconds since this process began to wait.
    """
    records = {item.host: item for item in received}
    records.pop(own.host, None)
    if not is_first_start or any(item.founded for item in records.values()):
        return BootstrapAction.JOIN
    if own.founded:
        has_founded = own.founded == (own.host,)
        return BootstrapAction.FOUND if has_founded else BootstrapAction.JOIN
    records[own.host] = own
    seeds = set(seeds)
    if not seeds <= records.keys():
        return BootstrapAction.WAIT
    eligible = [host for host in seeds if records[host].has_disk]
    if not eligible:
        if waited_s < SETTLE_S:
            return BootstrapAction.WAIT
        eligible = [host for host, item in records.items() if item.has_disk]
    return (
        BootstrapAction.FOUND
        if min(eligible) == own.host
        else BootstrapAction.WAIT
    )

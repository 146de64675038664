"""What an entry knows of the other busy entries, to estimate their work."""

from collections.abc import Collection
from collections.abc import Mapping

import attrs


@attrs.frozen
class BusyPeers:
    """The other entries that have work at engines.

    Attributes:
        heard: number of those that state their work.
        silent: number of those that stopped to state it without notice.
        unheard: number of those whose statements don't arrive here.
        unheard_load: work of the unheard ones, as a multiple of the work of
            those that are heard.
    """

    heard: int = 0
    silent: int = 0
    unheard: int = 0
    unheard_load: float = 0.0

    @classmethod
    def from_rates(
        cls,
        rates: Mapping[str, float],
        heard: Collection[str],
        silent: Collection[str],
    ) -> 'BusyPeers':
        """Return the peers whose work at engines compares like their rates.

        Args:
            rates: announced requests per second at engines, by host; 0 for
                those known to be busy by their statements only.
            heard: hosts in ``rates``, as are those in ``silent``.
        """
        unheard = [host for host in rates if host not in {*heard, *silent}]
        heard_rate = sum(rates[host] for host in heard)
        load = 0.0
        if heard_rate:
            load = sum(rates[host] for host in unheard) / heard_rate
        elif heard:
            load = len(unheard) / len(heard)
        return cls(len(heard), len(silent), len(unheard), load)

    @property
    def count(self) -> int:
        """Return the number of the other busy entries."""
        return self.heard + self.silent + self.unheard

"""Withholds the configurations of a restarted log until a quorum answers.

A voter saves its commit index some time after it has acknowledged a change.
After a restart its disk may therefore call an older configuration the newest
committed one. While any process runs that has a newer one in force, it passes
it on; after a restart of all, no process has, and the older one would return.
The same holds for evacuations, which one read confirms with the configuration.
"""

import attrs

from cassiashift_core import evacuation
from cassiashift_core.fleet import documents


@attrs.define
class LogConfirmation:
    """Decides when configurations of the own log may come into force.

    Attributes:
        floor: version that a majority of the voters returned to a read after
            the start of this process; None until one has.
    """

    floor: int | None = None
    _withheld: documents.Document = documents.Document()
    _evacuations: evacuation.Evacuations = evacuation.Evacuations()

    def offer(self, document: documents.Document) -> documents.Document | None:
        """Return a document of the own log if it may be in force, or None."""
        if document.version > self._withheld.version:
            self._withheld = document
        return self._release()

    def offer_evacuations(
        self, state: evacuation.Evacuations
    ) -> evacuation.Evacuations | None:
        """Return the newest state if it may be in force, or None."""
        if state.revision > self._evacuations.revision:
            self._evacuations = state
        return self.evacuations

    @property
    def evacuations(self) -> evacuation.Evacuations | None:
        """Return the newest confirmed state; None before a confirmation."""
        return None if self.floor is None else self._evacuations

    def confirm(
        self,
        version: int,
        evacuations: evacuation.Evacuations = evacuation.Evacuations(),
    ) -> documents.Document | None:
        """Record the answer of a majority to a read.

        Returns:
            the newest withheld document if it is not older. The evacuations
            have to be in force before it.
        """
        if self.floor is None:
            self.floor = version
        self.offer_evacuations(evacuations)
        return self._release()

    def _release(self) -> documents.Document | None:
        newest = self._withheld
        if self.floor is None or newest.version < max(self.floor, 1):
            return None
        return newest

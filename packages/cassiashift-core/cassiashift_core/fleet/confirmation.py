"""Withholds the configurations of a restarted log until a quorum answers.

A voter saves its commit index some time after it has acknowledged a change.
After a restart its disk may therefore call an older configuration the newest
committed one. While any process runs that has a newer one in force, it passes
it on; after a restart of all nobody has, and the older one would return.
"""

import attrs

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

    def offer(self, document: documents.Document) -> documents.Document | None:
        """Return a document of the own log if it may be in force, or None."""
        if document.version > self._withheld.version:
            self._withheld = document
        return self._release()

    def confirm(self, version: int) -> documents.Document | None:
        """Set the floor; return the newest withheld document if it fits."""
        if self.floor is None:
            self.floor = version
        return self._release()

    def _release(self) -> documents.Document | None:
        newest = self._withheld
        if self.floor is None or newest.version < max(self.floor, 1):
            return None
        return newest

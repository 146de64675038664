"""The operators' configuration in the replicated state."""

import enum

import attrs

from cassiashift_core import hashing


class Standing(enum.Enum):
    """What an offered configuration is to the one that is held."""

    NEWER = 'newer'
    HELD = 'held'
    OLDER = 'older'
    CONFLICTING = 'conflicting'


@attrs.frozen
class Document:
    """A configuration as committed; version 0 stands for none.

    Attributes:
        body: the operators' bytes, compressed by whoever committed them.
        digest: of the content, so that a resend is recognised.
    """

    version: int = 0
    body: bytes = b''
    digest: int = 0

    @classmethod
    def from_content(
        cls, version: int, body: bytes, content: bytes
    ) -> 'Document':
        """Return a document with the digest of its uncompressed content."""
        return cls(version, body, hashing.digest_of(content))

    def standing_of(self, offered: 'Document') -> Standing:
        """Compare an offered document with this one."""
        if offered.version > self.version:
            return Standing.NEWER
        if offered.version < self.version:
            return Standing.OLDER
        if offered.digest == self.digest:
            return Standing.HELD
        return Standing.CONFLICTING

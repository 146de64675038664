"""The operators' configuration, as kept in the replicated state."""

import enum

import attrs

from cassiashift_core import hashing


class Standing(enum.Enum):
    """Relation of an offered configuration to the current one.

    ``HELD`` is the same version and content, ``CONFLICTING`` the same version
    with other content.
    """

    NEWER = 'newer'
    HELD = 'held'
    OLDER = 'older'
    CONFLICTING = 'conflicting'


@attrs.frozen
class Document:
    """A committed configuration; version 0 means none.

    Attributes:
        body: the content that the operators sent, compressed.
        digest: hash of the content, which identifies a resend.
    """

    version: int = 0
    body: bytes = b''
    digest: int = 0

    @classmethod
    def from_content(
        cls, version: int, body: bytes, content: bytes
    ) -> 'Document':
        """Return a document with the digest of the uncompressed content."""
        return cls(version, body, hashing.stable_digest(content))

    def compare(self, offered: 'Document') -> Standing:
        """Compare an offered document with this one, by version and digest."""
        if offered.version > self.version:
            return Standing.NEWER
        if offered.version < self.version:
            return Standing.OLDER
        if offered.digest == self.digest:
            return Standing.HELD
        return Standing.CONFLICTING

"""Encodes typed values as tagged MessagePack."""

from typing import Any
from typing import TypeVar

import attrs
import msgspec

T = TypeVar('T')


class DecodeError(ValueError):
    """Bytes that are not a value of a registered type."""


@attrs.define
class Codec:
    """A set of attrs classes, each with a tag that stands for it."""

    _tags: dict[type, str] = attrs.field(factory=dict)
    _decoders: dict[str, msgspec.msgpack.Decoder] = attrs.field(factory=dict)
    _encoder: msgspec.msgpack.Encoder = attrs.field(
        factory=msgspec.msgpack.Encoder
    )

    def register(self, tag: str, cls: type[T]) -> type[T]:
        """Add a class under a tag that no other class has."""
        if tag in self._decoders:
            raise ValueError(f'tag {tag} is taken')
        self._tags[cls] = tag
        self._decoders[tag] = msgspec.msgpack.Decoder(cls)
        return cls

    def tags(self) -> list[str]:
        """Return every registered tag."""
        return sorted(self._decoders)

    def frames(self, value: Any) -> tuple[bytes, bytes]:
        """Return the tag and the body of a value."""
        return self._tags[type(value)].encode(), self._encoder.encode(value)

    def value(self, tag: bytes, body: bytes) -> Any:
        """Return the value that ``frames`` gave as tag and body.

        Raises:
            DecodeError: the tag is unknown or the body does not fit it.
        """
        decoder = self._decoders.get(tag.decode('ascii', 'replace'))
        if decoder is None:
            raise DecodeError(f'unknown tag {tag[:32]!r}')
        try:
            return decoder.decode(body)
        except (msgspec.DecodeError, RecursionError) as exc:
            raise DecodeError(str(exc)) from exc

    def encode(self, value: Any) -> bytes:
        """Return a value as one piece of bytes."""
        tag, body = self.frames(value)
        return bytes((len(tag),)) + tag + body

    def decode(self, data: bytes) -> Any:
        """Return the value that ``encode`` gave as bytes.

        Raises:
            DecodeError: the bytes are not such a value.
        """
        if not data or len(data) < 1 + data[0]:
            raise DecodeError('truncated value')
        end = 1 + data[0]
        return self.value(data[1:end], data[end:])

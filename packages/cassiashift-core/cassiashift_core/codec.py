"""Encodes typed values as tagged MessagePack."""

from typing import Any
from typing import TypeVar

import attrs
import msgspec

T = TypeVar('T')


class DecodeError(ValueError):
    """The bytes do not encode a value of a registered class."""


@attrs.define
class Codec:
    """Encodes and decodes attrs classes, each registered under a tag."""

    _tags: dict[type, str] = attrs.field(factory=dict)
    _decoders: dict[str, msgspec.msgpack.Decoder] = attrs.field(factory=dict)
    _encoder: msgspec.msgpack.Encoder = attrs.field(
        factory=msgspec.msgpack.Encoder
    )

    def register(self, tag: str, cls: type[T]) -> type[T]:
        """Register a class and return it.

        Raises:
            ValueError: the tag is already registered.
        """
        if tag in self._decoders:
            raise ValueError(f'tag {tag} is already registered')
        self._tags[cls] = tag
        self._decoders[tag] = msgspec.msgpack.Decoder(cls)
        return cls

    def tags(self) -> list[str]:
        """Return every registered tag, sorted."""
        return sorted(self._decoders)

    def encode_frames(self, value: Any) -> tuple[bytes, bytes]:
        """Return the tag and the MessagePack body of a value as two frames."""
        return self._tags[type(value)].encode(), self._encoder.encode(value)

    def decode_frames(self, tag: bytes, body: bytes) -> Any:
        """Return the value that ``encode_frames`` encoded as tag and body.

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
        """Return a value as its tag's length in one byte, tag and body."""
        tag, body = self.encode_frames(value)
        return bytes((len(tag),)) + tag + body

    def decode(self, data: bytes) -> Any:
        """Return the value that ``encode`` encoded.

        Raises:
            DecodeError: the bytes are truncated, the tag is unknown or the
                body does not fit it.
        """
        if not data or len(data) < 1 + data[0]:
            raise DecodeError('truncated value')
        end = 1 + data[0]
        return self.decode_frames(data[1:end], data[end:])

"""Encodes typed values as tagged MessagePack."""

from collections.abc import Callable
from collections.abc import Mapping
import importlib
import sys
import types
from typing import Any
from typing import TypeVar

import attrs
import msgspec

T = TypeVar('T')


class DecodeError(ValueError):
    """The bytes do not encode a value of a registered class."""


@attrs.frozen
class _Deferred:
    """A module whose classes are registered with their first use."""

    module: str
    classes_of: Callable[[types.ModuleType], Mapping[str, type]]


@attrs.define
class Codec:
    """Encodes and decodes attrs classes, each registered under a tag.

    The classes of a module may be registered with their first use, so that
    a process which never gets them doesn't load the module.
    """

    _tags: dict[type, str] = attrs.field(factory=dict)
    _classes: dict[str, type] = attrs.field(factory=dict)
    _deferred: dict[str, _Deferred] = attrs.field(factory=dict)
    _decoders: dict[str, msgspec.msgpack.Decoder] = attrs.field(factory=dict)
    _encoder: msgspec.msgpack.Encoder = attrs.field(
        factory=msgspec.msgpack.Encoder
    )

    def register(self, tag: str, cls: type[T]) -> type[T]:
        """Register a class and return it.

        Raises:
            ValueError: the tag is already registered.
        """
        if tag in self._classes:
            raise ValueError(f'tag {tag} is already registered')
        self._tags[cls] = tag
        self._classes[tag] = cls
        return cls

    def register_later(
        self,
        prefix: str,
        module: str,
        classes_of: Callable[[types.ModuleType], Mapping[str, type]],
    ) -> None:
        """Register the classes of a module when one of them is first used.

        Args:
            prefix: the first part, up to a dot, of all of their tags.
            module: name of the module or package that defines them.
            classes_of: returns the classes by tag from the loaded module.

        Raises:
            ValueError: the prefix is already registered.
        """
        if prefix in self._deferred:
            raise ValueError(f'prefix {prefix} is already registered')
        self._deferred[prefix] = _Deferred(module, classes_of)

    def tags(self) -> list[str]:
        """Return every registered tag, sorted; load all modules for that."""
        for prefix in list(self._deferred):
            self._load(prefix)
        return sorted(self._classes)

    def encode_frames(self, value: Any) -> tuple[bytes, bytes]:
        """Return the tag and the MessagePack body of a value as two frames."""
        tag = self._tags.get(type(value)) or self._find_tag(type(value))
        return tag.encode(), self._encoder.encode(value)

    def decode_frames(self, tag: bytes, body: bytes) -> Any:
        """Return the value that ``encode_frames`` encoded as tag and body.

        Raises:
            DecodeError: the tag is unknown or the body does not fit it.
        """
        text = tag.decode('ascii', 'replace')
        decoder = self._decoders.get(text) or self._find_decoder(text)
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

    def _load(self, prefix: str) -> None:
        """Register the deferred classes of a prefix, if there are any."""
        deferred = self._deferred.pop(prefix, None)
        if deferred is not None:
            module = importlib.import_module(deferred.module)
            for tag, cls in deferred.classes_of(module).items():
                self.register(tag, cls)

    def _find_tag(self, cls: type) -> str:
        """Return the tag of a class whose module may not be registered yet.

        Raises:
            KeyError: the class is not registered.
        """
        # Where there is a value, the module of its class is loaded.
        for prefix, deferred in list(self._deferred.items()):
            if deferred.module in sys.modules:
                self._load(prefix)
        return self._tags[cls]

    def _find_decoder(self, tag: str) -> msgspec.msgpack.Decoder | None:
        """Return the decoder of a tag, created with its first use."""
        if tag not in self._classes:
            self._load(tag.partition('.')[0])
        cls = self._classes.get(tag)
        if cls is None:
            return None
        return self._decoders.setdefault(tag, msgspec.msgpack.Decoder(cls))

"""Encodes the messages between replicas of the log."""

from typing import Any

from cassiashift_core import codec
from cassiashift_core import consensus

_CODEC = codec.Codec()
for _tag, _cls in consensus.MESSAGE_TYPES.items():
    _CODEC.register(_tag, _cls)


def encode(message: Any) -> bytes:
    """Return a replica's message as bytes."""
    return _CODEC.encode(message)


def decode(data: bytes) -> Any:
    """Return the message that ``encode`` gave as bytes.

    Raises:
        DecodeError: the bytes are not such a message.
    """
    return _CODEC.decode(data)
